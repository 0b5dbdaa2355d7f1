#include <galenarock/relays.h>

#include <algorithm>
#include <charconv>

#include <fmt/format.h>

namespace Galenarock
{

namespace
{
/// Time for which a daemon that could not help is left out.
constexpr Duration LeftOutTime = seconds(1);
}

void RelayChoice::setMembers(const Identity &self, const std::string &failureDomain, const std::vector<Member> &members)
{
    m_local.clear();
    m_others.clear();
    for (const auto &it : members) {
        if (it.identity.name == self.name || it.status != MemberStatus::Alive || it.address.empty()) {
            continue;
        }
        auto &list = it.failureDomain == failureDomain ? m_local : m_others;
        list.push_back({it.identity.name, it.address});
    }
}

std::optional<Relay> RelayChoice::choose(Instant now, const std::vector<std::string> &tried, std::uint64_t random) const
{
    const auto local = chooseFrom(m_local, now, tried, random);
    return local ? local : chooseFrom(m_others, now, tried, random);
}

std::optional<Relay> RelayChoice::chooseFrom(const std::vector<Relay> &relays, Instant now,
                                             const std::vector<std::string> &tried, std::uint64_t random) const
{
    std::vector<const Relay *> usable;
    for (const auto &it : relays) {
        const auto leftOut = m_leftOutUntil.find(it.vm);
        const bool isLeftOut = leftOut != m_leftOutUntil.end() && now < leftOut->second;
        if (isLeftOut || std::find(tried.begin(), tried.end(), it.vm) != tried.end()) {
            continue;
        }
        usable.push_back(&it);
    }
    return usable.empty() ? std::nullopt : std::optional(*usable[random % usable.size()]);
}

void RelayChoice::failed(Instant now, const std::string &vm)
{
    for (auto it = m_leftOutUntil.begin(); it != m_leftOutUntil.end();) {
        it = it->second <= now ? m_leftOutUntil.erase(it) : std::next(it);
    }
    m_leftOutUntil[vm] = now + LeftOutTime;
}

std::string toString(const RelayedRequest &relayed)
{
    const auto text = fmt::format("{} {}", relayed.attempts, relayed.caller);
    return relayed.configuration == 0 ? text : fmt::format("{} {}", text, relayed.configuration);
}

std::optional<RelayedRequest> parseRelayedRequest(std::string_view text)
{
    RelayedRequest relayed;
    const char *end = text.data() + text.size();
    const auto attempts = std::from_chars(text.data(), end, relayed.attempts);
    if (attempts.ec != std::errc() || attempts.ptr == end || *attempts.ptr != ' ' || relayed.attempts == 0) {
        return {};
    }
    const auto caller = std::from_chars(attempts.ptr + 1, end, relayed.caller);
    if (caller.ec != std::errc()) {
        return {};
    }
    if (caller.ptr == end) {
        return relayed;
    }
    const auto configuration = std::from_chars(caller.ptr + 1, end, relayed.configuration);
    const bool isComplete = configuration.ec == std::errc() && configuration.ptr == end;
    return *caller.ptr == ' ' && isComplete && relayed.configuration > 0 ? std::optional(relayed) : std::nullopt;
}

}

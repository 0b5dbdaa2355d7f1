#include <galenarock/sharedserverlimits.h>

#include <algorithm>

#include <fmt/format.h>

#include "events_p.h"

namespace Galenarock
{

namespace
{
constexpr Duration SummaryInterval = seconds(2);
/// Servers that one line of the summary names, those with the most requests first.
constexpr std::size_t MaxSummaryServers = 6;
}

SharedServerLimits::SharedServerLimits(Metrics &metrics, std::string self, std::uint64_t seed)
    : m_malformed(metrics.counter("galenarock_malformed_peer_messages_total"))
    , m_limits(std::move(self), seed)
{
}

/// Runs `body` with the mutex held, and carries out its actions afterwards.
template<typename Body> auto SharedServerLimits::locked(Body &&body)
{
    LimitActions actions;
    std::unique_lock lock(m_mutex);
    auto result = body(m_limits, actions);
    m_limitedServers.store(m_limits.limitedServers(), std::memory_order_relaxed);
    m_coldServers.store(m_limits.coldServers(), std::memory_order_relaxed);
    for (const auto &it : actions.outcomes) {
        m_outcomes.emplace(it.number, it.permit);
    }
    lock.unlock();
    carryOut(actions);
    return result;
}

void SharedServerLimits::carryOut(const LimitActions &actions)
{
    for (const auto &it : actions.changes) {
        logEvent(Events::ServerRateChanged, "{}: {:.2f} requests/s from all daemons, version {}", toString(it.server),
                 it.perSecond, it.version);
    }
    for (const auto &it : actions.messages) {
        m_send(it);
    }
    if (!actions.outcomes.empty()) {
        m_wake();
    }
}

void SharedServerLimits::setMembers(Instant now, const std::vector<Member> &members)
{
    locked([&](ServerLimits &it, LimitActions &) {
        it.setMembers(now, members);
        return 0;
    });
}

void SharedServerLimits::setFleetListed()
{
    locked([&](ServerLimits &it, LimitActions &) {
        it.setFleetListed();
        return 0;
    });
}

void SharedServerLimits::observe(Instant now, const Identity &server, std::optional<double> perSecond)
{
    if (!perSecond && !hasLimits()) {
        return; // servers rarely state a rate, so most responses take no lock
    }
    locked([&](ServerLimits &it, LimitActions &) {
        it.observe(now, server, perSecond);
        return 0;
    });
}

void SharedServerLimits::setColdServers(const std::vector<ColdServer> &servers)
{
    locked([&](ServerLimits &it, LimitActions &) {
        it.setColdServers(servers);
        m_coldList = servers;
        return 0;
    });
    m_coldRevision.fetch_add(1, std::memory_order_release);
}

std::vector<ColdServer> SharedServerLimits::coldList()
{
    const std::lock_guard lock(m_mutex);
    return m_coldList;
}

void SharedServerLimits::observeAnswer(Instant now, const Identity &server, const PaceSigns &signs)
{
    if (coldServers() == 0) {
        return;
    }
    locked([&](ServerLimits &it, LimitActions &) {
        it.observeAnswer(now, server, signs);
        return 0;
    });
}

PermitDecision SharedServerLimits::ask(Instant now, const Identity &server, std::uint32_t priority, Duration maxDelay)
{
    return locked(
        [&](ServerLimits &it, LimitActions &actions) { return it.ask(now, server, priority, maxDelay, actions); });
}

std::optional<Permit> SharedServerLimits::takeOutcome(std::uint64_t number)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_outcomes.find(number);
    if (found == m_outcomes.end()) {
        return {};
    }
    const auto permit = found->second;
    m_outcomes.erase(found);
    return permit;
}

void SharedServerLimits::receive(Instant now, const PeerEvent &event)
{
    locked([&](ServerLimits &it, LimitActions &actions) {
        tryOr([&]() -> Result<void> { return it.receive(now, event, actions); },
              [&](ErrorCode, const std::string &) { m_malformed.add(); });
        return 0;
    });
}

void SharedServerLimits::step(Instant now)
{
    locked([&](ServerLimits &it, LimitActions &actions) {
        it.step(now, actions);
        return 0;
    });
    logSummaryIfDue(now);
}

void SharedServerLimits::countSent(const Identity &server, bool isRepeated)
{
    if (!hasLimits()) {
        return;
    }
    const std::lock_guard lock(m_mutex);
    if (!m_limits.isLimited(server)) {
        return;
    }
    auto &count = m_sent[server];
    ++count.sent;
    count.repeated += isRepeated ? 1 : 0;
}

bool SharedServerLimits::isLimited(const Identity &server)
{
    if (!hasLimits()) {
        return false;
    }
    const std::lock_guard lock(m_mutex);
    return m_limits.isLimited(server);
}

Instant SharedServerLimits::refusedUntil(const Identity &server, std::uint32_t priority)
{
    const std::lock_guard lock(m_mutex);
    return m_limits.refusedUntil(server, priority);
}

std::map<Identity, double> SharedServerLimits::rates()
{
    const std::lock_guard lock(m_mutex);
    return m_limits.rates();
}

/// Logs what this daemon sent to servers that state a rate, so that too many requests can be traced to daemons and to
/// repetitions.
void SharedServerLimits::logSummaryIfDue(Instant now)
{
    std::string text;
    {
        const std::lock_guard lock(m_mutex);
        if (now < m_nextSummaryAt) {
            return;
        }
        m_nextSummaryAt = now + SummaryInterval;
        std::vector<std::pair<SentCount, Identity>> counts;
        for (const auto &[server, it] : m_sent) {
            counts.emplace_back(it, server);
        }
        m_sent.clear();
        std::sort(counts.begin(), counts.end(),
                  [](const auto &a, const auto &b) { return a.first.sent > b.first.sent; });
        counts.resize(std::min(counts.size(), MaxSummaryServers));
        const auto rates = m_limits.rates();
        for (const auto &[count, server] : counts) {
            const auto rate = rates.find(server);
            text += fmt::format("{}{} {} sent, {} of them again, rate {:.2f}/s", text.empty() ? "" : "; ", server.name,
                                count.sent, count.repeated, rate == rates.end() ? 0 : rate->second);
        }
    }
    if (!text.empty()) {
        logEvent(Events::ServerRateSummary, "{}", text);
    }
}

}

#include <galenarock/suspects.h>

#include <algorithm>
#include <sstream>
#include <utility>

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/array.hpp>
#include <fmt/format.h>

namespace Galenarock
{

template<typename Archive> static void serialize(Archive &archive, SuspectReport &report)
{
    archive(report.fingerprint, report.caller, report.servers, report.cleared);
}

namespace
{
/// Adds `server` unless it is present or the array is full. True if it was added.
bool addServer(std::array<std::uint64_t, SuspectReport::maxServers> &servers, std::uint64_t server)
{
    for (auto &it : servers) {
        if (it == server) {
            return false;
        }
        if (it == 0) {
            it = server;
            return true;
        }
    }
    return false;
}

std::size_t countServers(const std::array<std::uint64_t, SuspectReport::maxServers> &servers)
{
    return servers.size() - static_cast<std::size_t>(std::count(servers.begin(), servers.end(), 0U));
}

/// Hash of a name; 0 is reserved for unused places.
std::uint64_t nameHash(const std::string &name)
{
    return std::max<std::uint64_t>(1, hashKey(name));
}
}

Fingerprint requestFingerprint(std::string_view service, std::string_view method, std::string_view path,
                               std::string_view bodyPrefix, std::string_view requestId)
{
    const auto content = requestId.empty() ? bodyPrefix.substr(0, fingerprintBodyBytes) : requestId;
    // Lengths separate the parts, so that "a" + "bc" differs from "ab" + "c".
    return hashKey(fmt::format("{} {} {} {} {} {} {}", service.size(), service, method.size(), method, path.size(),
                               path, toHex(hashKey(content))));
}

std::string encode(const SuspectReport &report)
{
    std::ostringstream buf;
    auto copy = report;
    cereal::PortableBinaryOutputArchive archive(buf);
    archive(copy);
    return buf.str();
}

Result<SuspectReport> decodeSuspectReport(const std::string &payload)
{
    SuspectReport report;
    if (payload.size() != encode(report).size()) {
        return fail(ErrorCode::MalformedMessage, "suspect report has the wrong size");
    }
    std::istringstream buf(payload);
    try {
        cereal::PortableBinaryInputArchive archive(buf);
        archive(report);
    } catch (const cereal::Exception &e) {
        return fail(ErrorCode::MalformedMessage, e.what());
    }
    return report;
}

CrashSuspects::CrashSuspects(SuspectSettings settings)
    : m_settings(settings)
{
}

std::uint64_t CrashSuspects::lastSeenBoot(const std::string &server) const
{
    const auto it = m_boots.find(server);
    return it == m_boots.end() ? 0 : it->second.boot;
}

void CrashSuspects::erase(Fingerprint fingerprint)
{
    const auto it = m_suspects.find(fingerprint);
    if (it == m_suspects.end()) {
        return;
    }
    const auto caller = m_perCaller.find(it->second.caller);
    if (caller != m_perCaller.end() && --caller->second == 0) {
        m_perCaller.erase(caller);
    }
    m_suspects.erase(it);
}

void CrashSuspects::evictWeakest(std::optional<std::uint64_t> caller)
{
    auto weakest = m_suspects.end();
    const auto strength = [](const Suspect &it) {
        return std::make_pair(countServers(it.servers), it.expiresAt);
    };
    for (auto it = m_suspects.begin(); it != m_suspects.end(); ++it) {
        if (caller && it->second.caller != *caller) {
            continue;
        }
        if (weakest == m_suspects.end() || strength(it->second) < strength(weakest->second)) {
            weakest = it;
        }
    }
    if (weakest != m_suspects.end()) {
        erase(weakest->first);
    }
}

CrashSuspects::Suspect &CrashSuspects::suspectFor(Instant now, Fingerprint fingerprint, std::uint64_t caller)
{
    const auto known = m_suspects.find(fingerprint);
    if (known != m_suspects.end()) {
        known->second.expiresAt = now + m_settings.lifetime;
        return known->second;
    }
    const auto n = m_perCaller.find(caller);
    if (n != m_perCaller.end() && n->second >= m_settings.maxPerCaller) {
        evictWeakest(caller);
    }
    if (m_suspects.size() >= m_settings.maxEntries) {
        evictWeakest({});
    }
    ++m_perCaller[caller];
    return m_suspects.emplace(fingerprint, Suspect{caller, {}, now + m_settings.lifetime}).first->second;
}

std::optional<SuspectReport> CrashSuspects::confirm(Instant now, const LostRequest &lost)
{
    auto &suspect = suspectFor(now, lost.fingerprint, lost.caller);
    if (!addServer(suspect.servers, nameHash(lost.server))) {
        return {};
    }
    return SuspectReport{lost.fingerprint, suspect.caller, suspect.servers, false};
}

template<typename Condition> void CrashSuspects::erasePending(const Condition &condition)
{
    m_pending.erase(std::remove_if(m_pending.begin(), m_pending.end(), condition), m_pending.end());
    m_silences = static_cast<std::size_t>(
        std::count_if(m_pending.begin(), m_pending.end(), [](const Pending &it) { return it.isSilence; }));
}

bool CrashSuspects::isPlanned(const LostRequest &lost) const
{
    const auto it = m_planned.find(lost.server);
    return it != m_planned.end() && it->second.boot == lost.boot;
}

void CrashSuspects::expireIfDue(Instant now)
{
    if (now < m_nextExpiryAt) {
        return;
    }
    m_nextExpiryAt = now + m_settings.expireInterval;
    expire(now);
}

std::vector<SuspectReport> CrashSuspects::connectionLost(Instant now, const LostRequest &lost)
{
    return lose(now, lost, false);
}

std::vector<SuspectReport> CrashSuspects::unanswered(Instant now, const LostRequest &lost)
{
    return lose(now, lost, true);
}

void CrashSuspects::answered(const std::string &server, std::uint64_t boot)
{
    erasePending([&](const Pending &it) { return it.isSilence && it.lost.boot == boot && it.lost.server == server; });
}

void CrashSuspects::stoppedAsPlanned(Instant now, const std::string &server, std::uint64_t boot)
{
    m_planned[server] = {boot, now};
    erasePending([&](const Pending &it) { return it.lost.boot == boot && it.lost.server == server; });
}

std::vector<SuspectReport> CrashSuspects::lose(Instant now, const LostRequest &lost, bool isSilence)
{
    expireIfDue(now);
    const auto lastSeen = lastSeenBoot(lost.server);
    auto pending = lost;
    pending.boot = lost.boot != 0 ? lost.boot : lastSeen;
    if (pending.boot == 0) {
        // Without an earlier boot number, a restart cannot be distinguished from a broken connection.
        return {};
    }
    if (isPlanned(pending)) {
        return {};
    }
    if (lastSeen != 0 && lastSeen != pending.boot) {
        const auto report = confirm(now, pending);
        return report ? std::vector{*report} : std::vector<SuspectReport>();
    }
    if (m_pending.size() >= m_settings.maxEntries) {
        m_silences -= m_pending.front().isSilence ? 1 : 0;
        m_pending.erase(m_pending.begin());
    }
    const auto confirmWithin = isSilence ? m_settings.confirmSilentWithin : m_settings.confirmWithin;
    m_pending.push_back({std::move(pending), now + confirmWithin, isSilence});
    m_silences += isSilence ? 1 : 0;
    return {};
}

std::vector<SuspectReport> CrashSuspects::bootSeen(Instant now, const std::string &server, std::uint64_t boot)
{
    expireIfDue(now);
    m_boots[server] = {boot, now};
    std::vector<SuspectReport> reports;
    const auto isConfirmed = [&](const Pending &it) {
        return it.lost.server == server && it.lost.boot != boot && now < it.expiresAt;
    };
    for (const auto &it : m_pending) {
        if (!isConfirmed(it)) {
            continue;
        }
        if (auto report = confirm(now, it.lost)) {
            reports.push_back(*report);
        }
    }
    erasePending(isConfirmed);
    return reports;
}

std::vector<SuspectReport> CrashSuspects::succeeded(Instant /*now*/, Fingerprint fingerprint)
{
    if (!m_pending.empty()) {
        const auto isSame = [&](const Pending &it) {
            return it.lost.fingerprint == fingerprint;
        };
        erasePending(isSame);
    }
    const auto it = m_suspects.find(fingerprint);
    if (it == m_suspects.end()) {
        return {};
    }
    SuspectReport report{fingerprint, it->second.caller, it->second.servers, true};
    erase(fingerprint);
    return {report};
}

void CrashSuspects::reportReceived(Instant now, const SuspectReport &report)
{
    expireIfDue(now);
    if (report.cleared) {
        erase(report.fingerprint);
        return;
    }
    auto &suspect = suspectFor(now, report.fingerprint, report.caller);
    for (const auto it : report.servers) {
        if (it != 0) {
            addServer(suspect.servers, it);
        }
    }
}

std::optional<Refusal> CrashSuspects::refusalFor(Instant now, Fingerprint fingerprint) const
{
    const auto it = m_suspects.find(fingerprint);
    if (it == m_suspects.end() || now >= it->second.expiresAt) {
        return {};
    }
    const auto servers = countServers(it->second.servers);
    if (servers < m_settings.serversToRefuse) {
        return {};
    }
    const auto until = duration_cast<milliseconds>(it->second.expiresAt - now).count();
    return Refusal{Reason::CrashSuspect, reasonInfo(Reason::CrashSuspect).outcome,
                   fmt::format("the same request was in flight when {} backend servers crashed", servers), until};
}

void CrashSuspects::expire(Instant now)
{
    std::vector<Fingerprint> expired;
    for (const auto &it : m_suspects) {
        if (now >= it.second.expiresAt) {
            expired.push_back(it.first);
        }
    }
    for (const auto it : expired) {
        erase(it);
    }
    const auto isOver = [&](const Pending &it) {
        return now >= it.expiresAt;
    };
    erasePending(isOver);
    for (auto *boots : {&m_boots, &m_planned}) {
        for (auto it = boots->begin(); it != boots->end();) {
            it = now - it->second.seenAt >= m_settings.lifetime ? boots->erase(it) : std::next(it);
        }
    }
}

}

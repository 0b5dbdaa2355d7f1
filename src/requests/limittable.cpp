#include <galenarock/serverlimits.h>

#include <cmath>

namespace Galenarock
{

namespace
{
/// Smaller relative changes of a rate are ignored.
constexpr double NotableChange = 0.05;
constexpr Duration LiftedRetention = seconds(60);
constexpr Duration LimitRetention = seconds(600);
/// Bounds the memory; servers beyond it are not limited.
constexpr std::size_t MaxEntries = 16'384;

bool isNotable(double before, double after)
{
    if (before == 0 || after == 0) {
        return before != after;
    }
    return std::abs(after - before) > NotableChange * before;
}

/// Whether `a` replaces `b`. At equal versions, which two daemons may give to different observations, the lower rate
/// wins.
bool isNewer(const ServerLimit &a, const ServerLimit &b)
{
    if (a.version != b.version) {
        return a.version > b.version;
    }
    return a.perSecond > 0 && (b.perSecond == 0 || a.perSecond < b.perSecond);
}
}

bool ServerLimitTable::put(Instant now, const ServerLimit &limit)
{
    const auto found = m_entries.find(limit.server);
    if (found == m_entries.end() && m_entries.size() >= MaxEntries) {
        return false;
    }
    auto &entry = m_entries[limit.server];
    m_limitedServers -= entry.limit.perSecond > 0 ? 1 : 0;
    m_limitedServers += limit.perSecond > 0 ? 1 : 0;
    entry = {limit, now};
    return true;
}

bool ServerLimitTable::observe(Instant now, const Identity &server, double perSecond)
{
    const auto known = find(server);
    if (!isNotable(known.perSecond, perSecond)) {
        return false;
    }
    return put(now, {server, perSecond, known.version + 1});
}

bool ServerLimitTable::merge(Instant now, const ServerLimit &limit)
{
    const auto known = find(limit.server);
    return limit.version > 0 && isNewer(limit, known) && put(now, limit);
}

ServerLimit ServerLimitTable::find(const Identity &server) const
{
    const auto found = m_entries.find(server);
    return found == m_entries.end() ? ServerLimit{server, 0, 0} : found->second.limit;
}

std::vector<ServerLimit> ServerLimitTable::all() const
{
    std::vector<ServerLimit> limits;
    for (const auto &[server, it] : m_entries) {
        limits.push_back(it.limit);
    }
    return limits;
}

std::vector<ServerLimit> ServerLimitTable::changedWithin(Instant now, Duration age) const
{
    std::vector<ServerLimit> limits;
    for (const auto &[server, it] : m_entries) {
        if (now - it.changedAt < age) {
            limits.push_back(it.limit);
        }
    }
    return limits;
}

void ServerLimitTable::expire(Instant now)
{
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        const bool isLimited = it->second.limit.perSecond > 0;
        if (now - it->second.changedAt < (isLimited ? LimitRetention : LiftedRetention)) {
            ++it;
            continue;
        }
        m_limitedServers -= isLimited ? 1 : 0;
        it = m_entries.erase(it);
    }
}

}

#include "evacuations_p.h"

#include <algorithm>
#include <utility>

namespace Galenarock
{

namespace
{
/// Part of the bound after which ranges that have not moved are no longer routed, counted from when this daemon heard
/// of the evacuation. The rest covers the way from the store to this daemon, and from the routing to the sending of a
/// request.
constexpr double MoveTimeShare = 0.6;
}

/// A daemon that starts during an evacuation does not know since when it has been in progress, so it routes nothing to
/// the domain.
bool Evacuations::begin(Instant now, const std::string &domain)
{
    const auto moveTime = duration_cast<Duration>(m_bound * MoveTimeShare);
    const Domain entry{m_isSynced ? now + moveTime : now, !m_isSynced};
    return m_domains.emplace(domain, entry).second;
}

bool Evacuations::end(const std::string &domain)
{
    return m_domains.erase(domain) > 0;
}

bool Evacuations::synced()
{
    return !std::exchange(m_isSynced, true);
}

bool Evacuations::update(Instant now)
{
    bool isAnyClosed = false;
    for (auto &[name, it] : m_domains) {
        if (it.isClosed || now < it.closesAt) {
            continue;
        }
        it.isClosed = true;
        isAnyClosed = true;
    }
    return isAnyClosed;
}

std::vector<std::string> Evacuations::domains() const
{
    std::vector<std::string> names;
    for (const auto &[name, it] : m_domains) {
        names.push_back(name);
    }
    return names;
}

std::vector<std::string> Evacuations::closedDomains() const
{
    std::vector<std::string> names;
    for (const auto &[name, it] : m_domains) {
        if (it.isClosed) {
            names.push_back(name);
        }
    }
    return names;
}

std::vector<LeaseServer> Evacuations::mark(std::vector<LeaseServer> servers) const
{
    const bool hasOther = std::any_of(servers.begin(), servers.end(), [&](const LeaseServer &it) {
        return !it.leaving && !isEvacuated(it.failureDomain);
    });
    for (auto &it : servers) {
        if (it.leaving || !isEvacuated(it.failureDomain)) {
            continue; // a server that leaves anyway has less time
        }
        it.evacuated = true;
        it.leaving = hasOther;
    }
    return servers;
}

}

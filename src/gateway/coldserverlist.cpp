#include "coldserverlist_p.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "events_p.h"

namespace Galenarock
{

namespace
{
/// Time for which no request goes to a server that became cold again, so that those which other daemons sent before
/// they heard of it are not added to the ones with permits within one second.
constexpr Duration ColdAgainPause = seconds(1);
}

ColdServerList::ColdServerList(WarmupBound bound)
    : m_bound(bound)
{
}

bool ColdServerList::update(Instant now, const RouteConfiguration &configuration, ServerDirectory &servers)
{
    const auto revision = servers.warmupRevision();
    const auto version = configuration.version;
    if (m_bound.overshoot <= 0 || (m_warmupRevision == revision && m_configurationVersion == version)) {
        return false;
    }
    m_warmupRevision = revision;
    m_configurationVersion = version;
    auto list = read(now, configuration, servers);
    if (list == m_servers) {
        return false;
    }
    for (const auto &it : list) {
        const auto isKnown = [&](const ColdServer &known) {
            return known.server == it.server && known.until > now;
        };
        if (std::none_of(m_servers.begin(), m_servers.end(), isKnown)) {
            logEvent(Events::ServerCold, "{} is cold for {} ms: {:.2f} requests/s from all daemons",
                     toString(it.server), duration_cast<milliseconds>(it.until - now).count(), it.perSecond);
        }
    }
    m_servers = std::move(list);
    return true;
}

std::vector<ColdServer> ColdServerList::read(Instant now, const RouteConfiguration &configuration,
                                             ServerDirectory &servers) const
{
    const auto &services = configuration.services;
    std::vector<ColdServer> list;
    for (const auto &it : servers.warmups(now)) {
        const auto rule = std::find_if(services.begin(), services.end(),
                                       [&](const ServiceRule &rule) { return rule.name == it.service; });
        const double rate = rule == services.end() ? 0 : coldRate(rule->warmupPerSecond, m_bound);
        if (rate <= 0) {
            continue;
        }
        const bool isJoined = it.joinedAt && !it.isStated;
        const auto until = isJoined ? *it.joinedAt + milliseconds(rule->warmupMs) : it.until;
        const auto openAt = it.hadTraffic ? it.since + ColdAgainPause : Instant();
        if (until > now) {
            list.push_back({it.server, rate, openAt, until});
        }
    }
    return list;
}

}

#include <utility>

#include "plane_p.h"

/// What the admin interface shows of the control plane.
namespace Galenarock
{

namespace
{
constexpr Duration StatusInterval = milliseconds(500);
}

void GatewayControlPlane::publishStatus(Instant now)
{
    if (now < m_nextStatusAt) {
        return;
    }
    m_nextStatusAt = now + StatusInterval;
    auto leases = nlohmann::json::object();
    for (const auto &[service, it] : m_leases) {
        leases[service] = {{"leader", it.leaderName()},
                           {"isLeader", it.isLeader()},
                           {"epoch", it.table().epoch},
                           {"ranges", it.table().slices.size()},
                           {"unserved", it.unservedRanges()}};
    }
    const auto &routes = m_serviceRoutes.configuration();
    nlohmann::json summary{{"self", toString(m_settings.self)},
                           {"ready", isReady()},
                           {"configurationVersion", routes ? routes->configuration().version : 0},
                           {"servers", m_servers.size()},
                           {"daemons", m_members.size()},
                           {"leases", std::move(leases)}};
    if (m_evacuations.isOn()) {
        summary["evacuated"] = m_evacuations.domains();
    }
    if (!m_builds) {
        m_builds = std::make_shared<const nlohmann::json>(builds());
    }
    std::atomic_store(&m_status, std::make_shared<const GatewayStatus>(GatewayStatus{std::move(summary), m_builds}));
}

/// Version and features of each member; null for a build that has stated none.
nlohmann::json GatewayControlPlane::builds() const
{
    auto list = nlohmann::json::object();
    for (const auto &it : m_members) {
        const auto build = m_features.build(it.identity);
        list[it.identity.name] =
            build ? nlohmann::json{{"version", build->version}, {"features", featureNames(*build)}} : nlohmann::json();
    }
    return list;
}

nlohmann::json GatewayControlPlane::status() const
{
    const auto status = std::atomic_load(&m_status);
    auto json = status->summary;
    json["builds"] = status->builds ? *status->builds : nlohmann::json::object();
    return json;
}

}

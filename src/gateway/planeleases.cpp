#include <algorithm>
#include <utility>

#include "plane_p.h"

/// What the lease controllers of the keyed services learn from the control plane: servers, loads and events.
namespace Galenarock
{

namespace
{
constexpr Duration LoadInterval = milliseconds(250);
/// Lease calls per second for which a leader plans, per core; about two thirds of what a VM with requests can make.
constexpr double LeaseCallsPerCore = 2'000;
/// Grants last at most this share of the servers' limit. The margin is larger than the error of a slow clock.
constexpr double MaxGrantShare = 0.9;

LeaseSettings leaseSettings(const GatewayControlPlaneSettings &plane, const std::string &service)
{
    LeaseSettings settings;
    settings.self = plane.self;
    settings.service = service;
    const auto limit = duration_cast<Duration>(plane.maxGrantDuration * MaxGrantShare);
    settings.grantDuration =
        limit > Duration::zero() ? std::min(settings.grantDuration, limit) : settings.grantDuration;
    settings.callsPerSecond = LeaseCallsPerCore * plane.cpuPercent / 100;
    settings.renewEvery = std::min(settings.renewEvery, settings.grantDuration / 3);
    return settings;
}
}

void GatewayControlPlane::refreshLeases(Instant now)
{
    for (const auto &it : m_serviceRoutes.configuration()->configuration().services) {
        if (!it.isKeyed || m_leases.count(it.name) > 0) {
            continue;
        }
        auto &controller = m_leases.emplace(it.name, LeaseController(leaseSettings(m_settings, it.name))).first->second;
        carryOut(controller.step(now, MembersEvent{m_members}));
        carryOut(controller.step(now, StoreEraEvent{m_storeEra}));
        setLeaseServers(now, it.name, controller);
    }
}

/// Passes the lists of servers that have changed to the lease controllers.
void GatewayControlPlane::updateLeaseServers(Instant now)
{
    if (!std::exchange(m_haveServersChanged, false)) {
        return;
    }
    for (auto &[service, controller] : m_leases) {
        if (m_leaseServerRevisions[service] != m_servers.revision(service)) {
            setLeaseServers(now, service, controller);
        }
    }
}

void GatewayControlPlane::setLeaseServers(Instant now, const std::string &service, LeaseController &controller)
{
    m_leaseServerRevisions[service] = m_servers.revision(service);
    carryOut(controller.setServers(now, m_evacuations.mark(m_servers.leaseServers(service))));
}

void GatewayControlPlane::stepLeases(Instant now, const ControlEvent &event)
{
    if (!m_areServersKnown || !m_evacuations.isKnown()) {
        return;
    }
    updateLeaseServers(now);
    bool isHandedOver = true;
    for (auto &[service, it] : m_leases) {
        carryOut(it.step(now, event));
        isHandedOver = isHandedOver && it.isHandedOver();
    }
    m_isHandedOver.store(m_isStopping && isHandedOver, std::memory_order_release);
}

void GatewayControlPlane::sendLoadReports(Instant now)
{
    if (now < m_nextLoadAt) {
        return;
    }
    m_nextLoadAt = now + LoadInterval;
    const auto rates = m_hooks.requestRates();
    for (auto &[service, controller] : m_leases) {
        controller.setRequestRates(rates);
    }
    for (const auto &it : m_hooks.takeLoads()) {
        const auto found = m_leases.find(it.service);
        if (found != m_leases.end()) {
            carryOut(found->second.addLoad(now, it));
        }
    }
}

}

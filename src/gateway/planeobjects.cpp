#include <utility>

#include <fmt/format.h>

#include "events_p.h"
#include "plane_p.h"

/// The objects of the store that the control plane reads: the configuration, servers and evacuations.
namespace Galenarock
{

void GatewayControlPlane::onObject(Instant now, const StoredObject &object)
{
    if (object.key == m_dialect.configuration) {
        adoptConfiguration(now, object);
    } else if (object.key.kind == m_dialect.serverKind) {
        adoptServer(now, object);
    } else if (object.key.kind == ObjectKind::Daemon) {
        adoptDaemon(object);
    } else if (m_evacuations.isOn() && object.key.kind == m_dialect.evacuationKind) {
        adoptEvacuation(now, object.key.name);
    } else if (object.key == peerKeyObject()) {
        onPeerKeyStored(object);
    }
}

void GatewayControlPlane::onMissing(Instant now, const ObjectKey &key)
{
    if (key == peerKeyObject()) {
        m_isPeerKeyWritten = false; // joinFleet() writes it
    }
    if (m_evacuations.isOn() && key.kind == m_dialect.evacuationKind) {
        endEvacuation(key.name);
    }
    if (key.kind == m_dialect.serverKind) {
        removeServer(now, key.name);
    }
}

void GatewayControlPlane::onSynced(Instant now, const KindSyncedEvent &event)
{
    m_feed.synced(event.kind, event.lastChange);
    m_verification.changed(event.kind, event.lastChange);
    if (event.kind == m_dialect.serverKind && !m_areServersKnown) {
        m_areServersKnown = true;
        m_servers.setListed(now);
        serversChanged();
    }
    if (event.kind == m_dialect.evacuationKind && m_evacuations.synced()) {
        evacuationsChanged();
    }
}

void GatewayControlPlane::adoptConfiguration(Instant now, const StoredObject &object)
{
    auto parsed = m_dialect.readConfiguration(object);
    if (!parsed.findings.empty()) {
        logEvent(Events::ConfigurationRefused, "object version {} is invalid and ignored: {}", object.version,
                 toString(parsed.findings));
        return;
    }
    const auto version = parsed.configuration.version;
    const auto &active = m_serviceRoutes.configuration();
    if (active && version <= active->configuration().version) {
        return; // a version that is not newer never replaces the active one
    }
    if (!parsed.unknownValues.empty()) {
        logEvent(Events::UnknownValues, "version {}: {}", version, toString(parsed.unknownValues));
    }
    m_hooks.unknownValuesChanged(parsed.unknownValues.size());
    const auto routes = std::make_shared<const RouteTable>(std::move(parsed.configuration));
    m_serviceRoutes.setConfiguration(routes);
    m_isSnapshotOutdated = true;
    logEvent(Events::ConfigurationAdopted, "version {}, {} routes, {} services", version,
             routes->configuration().routes.size(), routes->configuration().services.size());
    refreshLeases(now);
}

void GatewayControlPlane::adoptServer(Instant now, const StoredObject &object)
{
    const auto parsed = m_dialect.readServer(object);
    if (!parsed.findings.empty()) {
        logEvent(Events::ServerRefused, "the registration of {} is invalid and ignored: {}", object.key.name,
                 toString(parsed.findings));
        return;
    }
    const auto &entry = parsed.server;
    const auto *before = m_servers.find(entry.identity.name);
    if (before && before->isDraining && before->identity != entry.identity) {
        m_hooks.stoppedAsPlanned(before->identity);
    }
    if (!m_servers.put(now, entry)) {
        return;
    }
    logEvent(Events::ServerSeen, "{} of {} at {} in {}, {} slots{}", toString(entry.identity), entry.service,
             entry.address, entry.failureDomain, entry.slots, entry.isDraining ? ", draining" : "");
    m_hooks.bootSeen(entry.identity.name, entry.identity.boot);
    serversChanged();
}

void GatewayControlPlane::removeServer(Instant now, const std::string &name)
{
    const auto *entry = m_servers.find(name);
    if (!entry) {
        return;
    }
    const auto process = entry->identity;
    const bool isPlanned = entry->isDraining;
    if (m_servers.remove(now, name)) {
        logEvent(Events::ServerGone, "{} is not registered any more", name);
        if (isPlanned) {
            m_hooks.stoppedAsPlanned(process);
        } else {
            m_hooks.bootSeen(process.name, process.boot + 1);
        }
        serversChanged();
    }
}

void GatewayControlPlane::adoptEvacuation(Instant now, const std::string &domain)
{
    if (m_evacuations.begin(now, domain)) {
        logEvent(Events::EvacuationStarted, "no requests go to servers in {} any more; their keys move", domain);
        evacuationsChanged();
    }
}

void GatewayControlPlane::endEvacuation(const std::string &domain)
{
    if (m_evacuations.end(domain)) {
        logEvent(Events::EvacuationEnded, "requests may go to servers in {} again", domain);
        evacuationsChanged();
    }
}

/// All services are affected: a failure domain has servers of each.
void GatewayControlPlane::evacuationsChanged()
{
    const auto domains = m_evacuations.domains();
    m_hooks.evacuationsChanged(domains.size());
    m_serviceRoutes.setEvacuations(domains, m_evacuations.closedDomains());
    m_leaseServerRevisions.clear();
    serversChanged();
}

void GatewayControlPlane::serversChanged()
{
    m_isSnapshotOutdated = true;
    m_haveServersChanged = true;
}

}

#include "plane_p.h"

#include <utility>

#include <fmt/format.h>

#include "events_p.h"

namespace Galenarock
{

namespace
{
/// Time within which the daemons write their own objects again after the store was restored.
constexpr Duration RewriteSpread = milliseconds(1'500);
}

GatewayControlPlane::GatewayControlPlane(GatewayControlPlaneSettings settings, GatewayDialect dialect,
                                         GatewayHooks hooks)
    : m_settings(std::move(settings))
    , m_dialect(std::move(dialect))
    , m_hooks(std::move(hooks))
    , m_membership(membershipSettings(m_settings, {}))
    , m_features(m_settings.self, ownBuild())
    , m_feed(m_settings.self, WatchFeedSettings())
    , m_verification(m_settings.self, WatchVerificationSettings())
    , m_coldServers(m_settings.warmupBound)
    , m_evacuations(m_dialect.evacuationKind.empty() ? Duration::zero() : m_settings.evacuationBound)
    , m_serviceRoutes(m_settings.retryPercent)
    , m_status(std::make_shared<const GatewayStatus>())
    , m_peerKeyCheck(m_settings.seed)
{
}

void GatewayControlPlane::handle(Instant now, const ControlEvent &event)
{
    if (std::holds_alternative<TickEvent>(event)) {
        tick(now);
    } else if (std::holds_alternative<StopEvent>(event)) {
        m_isStopping = true;
    } else if (const auto *peer = std::get_if<PeerEvent>(&event)) {
        if (onPeerMessage(now, *peer)) {
            return;
        }
    } else if (const auto *leaving = std::get_if<ServerLeavingEvent>(&event)) {
        onServerLeaving(now, leaving->server);
        return;
    } else if (const auto *reply = std::get_if<LeaseReplyEvent>(&event)) {
        if (reply->isServerLeaving) {
            onServerLeaving(now, reply->call.server);
        }
    } else if (onStoreEvent(now, event)) {
        return;
    }
    stepMembership(now, event);
    stepLeases(now, event);
}

/// Returns true if membership and leases do not get the event.
bool GatewayControlPlane::onStoreEvent(Instant now, const ControlEvent &event)
{
    if (const auto *object = std::get_if<ObjectEvent>(&event)) {
        onObject(now, object->object);
        const auto &kind = object->object.key.kind;
        return kind == m_dialect.serverKind || kind == ObjectKind::Daemon; // endBatch() passes them on
    }
    if (const auto *missing = std::get_if<ObjectMissingEvent>(&event)) {
        onMissing(now, missing->key);
    } else if (const auto *written = std::get_if<WriteResultEvent>(&event)) {
        onWritten(*written);
    } else if (const auto *store = std::get_if<StoreEraEvent>(&event)) {
        onStoreEra(now, store->era);
        return true;
    } else if (const auto *synced = std::get_if<KindSyncedEvent>(&event)) {
        onSynced(now, *synced);
        return true;
    }
    return false;
}

void GatewayControlPlane::tick(Instant now)
{
    if (m_servers.update(now, m_hooks.isStoreReachable())) {
        serversChanged();
    }
    if (m_evacuations.update(now)) {
        evacuationsChanged();
    }
    joinFleet(now);
    checkPeerKey(now);
    carryOut(m_features.tick(now));
    const bool isStoreReachable = m_hooks.isStoreReachable();
    carryOut(m_feed.tick(now, isStoreReachable));
    carryOut(m_verification.tick(now, isStoreReachable));
    const bool reachesServers = m_hooks.reachesServers();
    for (auto &[service, controller] : m_leases) {
        controller.setReachesServers(reachesServers);
        controller.setReachesStore(isStoreReachable);
    }
    sendLoadReports(now);
}

/// What this daemon wrote may be lost, as may be the entries of servers until they write again.
void GatewayControlPlane::onStoreEra(Instant now, std::uint64_t era)
{
    const bool isRestored = m_storeEra != 0;
    m_storeEra = era;
    m_feed.setEra(era);
    m_verification.setEra(era);
    for (auto &[service, controller] : m_leases) {
        carryOut(controller.step(now, StoreEraEvent{era}));
    }
    if (isRestored) {
        m_servers.storeRestored(now);
        m_isDaemonEntryWritten = false;
        m_isPeerKeyWritten = false;
        // At different times, so that a large fleet does not write all at once.
        m_nextJoinAt =
            now + duration_cast<Duration>(RewriteSpread * (static_cast<double>(m_settings.seed % 1'000) / 1'000));
    }
}

void GatewayControlPlane::stepMembership(Instant now, const ControlEvent &event)
{
    if (!m_isPeerKeyNeeded) {
        carryOut(m_membership.step(now, event));
    }
}

void GatewayControlPlane::carryOut(LeaseActions actions)
{
    for (const auto &it : actions.calls) {
        m_hooks.callServer(it);
    }
    carryOut(std::move(actions.control));
}

void GatewayControlPlane::carryOut(ControlActions actions)
{
    for (auto &action : actions) {
        if (const auto *read = std::get_if<ReadObjectAction>(&action)) {
            m_hooks.readObject(*read);
        } else if (const auto *write = std::get_if<WriteObjectAction>(&action)) {
            m_hooks.writeObject(*write);
        } else if (const auto *send = std::get_if<SendPeerAction>(&action)) {
            m_hooks.sendPeer(*send);
        } else if (const auto *table = std::get_if<PublishAssignmentAction>(&action)) {
            m_serviceRoutes.setTable(table->assignment);
            m_isSnapshotOutdated = true;
        } else if (const auto *members = std::get_if<PublishMembersAction>(&action)) {
            m_members = members->members;
            m_hooks.membersChanged(m_members);
            m_haveMembersChanged = true;
        } else if (const auto *decision = std::get_if<DecisionAction>(&action)) {
            logEvent(decision->event, "{} {}-{}: {}", decision->service, toHex(decision->range.first),
                     toHex(decision->range.last), decision->text);
            m_decisions.add(*decision, wallClockNow());
        }
    }
}

/// Acts on what the events of the batch have changed, once for all of them: at the start of a large fleet each daemon
/// hears of hundreds of daemons and servers within a second.
void GatewayControlPlane::applyChanges(Instant now)
{
    if (std::exchange(m_haveDaemonsChanged, false)) {
        stepMembership(now, VmListEvent{m_daemons});
    }
    if (std::exchange(m_haveMembersChanged, false)) {
        m_features.setMembers(m_members);
        m_areFeaturesOutdated = true;
        stepLeases(now, MembersEvent{m_members});
    }
    if (std::exchange(m_areFeaturesOutdated, false)) {
        publishFeatures(now);
    }
    updateColdServers(now); // before the snapshot, so that no request is sent without a permit
    updateLeaseServers(now);
    updateFeed(now);
}

/// Passes on which servers are cold. Their ends are found without a call.
void GatewayControlPlane::updateColdServers(Instant now)
{
    const auto &routes = m_serviceRoutes.configuration();
    if (routes && m_coldServers.update(now, routes->configuration(), m_servers)) {
        m_hooks.coldServersChanged(m_coldServers.servers());
    }
}

void GatewayControlPlane::endBatch(Instant now)
{
    applyChanges(now);
    if (m_isSnapshotOutdated && m_serviceRoutes.configuration() && m_evacuations.isKnown()) {
        m_isSnapshotOutdated = false;
        m_snapshot = m_serviceRoutes.build(now, m_servers);
        m_hooks.snapshotChanged(m_snapshot);
    }
    bool isReady = m_snapshot && m_areServersKnown && m_servers.size() > 0 && !m_isStopping;
    for (const auto &[service, it] : m_leases) {
        isReady = isReady && !it.table().slices.empty();
    }
    if (isReady != m_isReady.load(std::memory_order_relaxed)) {
        m_isReady.store(isReady, std::memory_order_release);
        logEvent(Events::ReadinessChanged, "{}, {} servers", isReady ? "ready" : "not ready", m_servers.size());
    }
    publishStatus(now);
}

}

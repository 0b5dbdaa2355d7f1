#include "plane_p.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include <galenarock/leavingservers.h>

#include "events_p.h"

namespace Galenarock
{

namespace
{
constexpr Duration JoinRetryInterval = milliseconds(500);
constexpr Duration LoadInterval = milliseconds(250);
constexpr Duration StatusInterval = milliseconds(500);
/// Time within which the daemons write their own objects again after the store was restored.
constexpr Duration RewriteSpread = milliseconds(1'500);
/// Era of a store that has never been restored.
constexpr std::uint64_t FirstEra = 1;
constexpr const char *PeerKeyName = "peer-key";
/// Lease calls per second for which a leader plans, per core; about two thirds of what a VM with requests can make.
constexpr double LeaseCallsPerCore = 2'000;
/// Grants last at most this share of the servers' limit. The margin is larger than the error of a slow clock.
constexpr double MaxGrantShare = 0.9;
/// Time for which no request goes to a server that became cold again, so that those which other daemons sent before
/// they heard of it are not added to the ones with permits within one second.
constexpr Duration ColdAgainPause = seconds(1);

MembershipSettings membershipSettings(const GatewayControlPlaneSettings &settings, const std::string &peerAddress)
{
    MembershipSettings membership;
    membership.self.identity = settings.self;
    membership.self.failureDomain = settings.failureDomain;
    membership.self.address = settings.address;
    membership.self.peerAddress = peerAddress;
    membership.self.cpuPercent = settings.cpuPercent;
    membership.startIncarnation = static_cast<std::uint64_t>(wallClockNow());
    membership.seed = settings.seed;
    return membership;
}

/// String field of a JSON object; empty if missing or of another type.
std::string textOf(const nlohmann::json &value, const char *name)
{
    const auto it = value.is_object() ? value.find(name) : value.end();
    return it != value.end() && it->is_string() ? it->get<std::string>() : std::string();
}

/// Number field of a JSON object; 0 if missing or of another type.
std::uint64_t numberOf(const nlohmann::json &value, const char *name)
{
    const auto it = value.is_object() ? value.find(name) : value.end();
    return it != value.end() && it->is_number_unsigned() ? it->get<std::uint64_t>() : 0;
}

/// CPU share in hundredths of a core; 100, one core, if the field is missing or out of range.
std::uint16_t percentOf(const nlohmann::json &value, const char *name)
{
    const auto it = value.is_object() ? value.find(name) : value.end();
    const bool isPercent = it != value.end() && it->is_number_unsigned() && it->get<std::uint64_t>() <= 65'535;
    return isPercent ? it->get<std::uint16_t>() : std::uint16_t(100);
}
}

GatewayControlPlane::GatewayControlPlane(GatewayControlPlaneSettings settings, GatewayDialect dialect,
                                         GatewayHooks hooks)
    : m_settings(std::move(settings))
    , m_dialect(std::move(dialect))
    , m_hooks(std::move(hooks))
    , m_membership(membershipSettings(m_settings, {}))
    , m_features(m_settings.self, ownBuild())
    , m_feed(m_settings.self, WatchFeedSettings())
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
    } else if (const auto *object = std::get_if<ObjectEvent>(&event)) {
        onObject(now, object->object);
        const auto &kind = object->object.key.kind;
        if (kind == m_dialect.serverKind || kind == ObjectKind::Daemon) {
            return; // endBatch() passes them on
        }
    } else if (const auto *missing = std::get_if<ObjectMissingEvent>(&event)) {
        onMissing(now, missing->key);
    } else if (const auto *written = std::get_if<WriteResultEvent>(&event)) {
        onWritten(now, *written);
    } else if (const auto *store = std::get_if<StoreEraEvent>(&event)) {
        onStoreEra(now, store->era);
        return;
    } else if (const auto *synced = std::get_if<KindSyncedEvent>(&event)) {
        m_feed.synced(synced->kind, synced->revision);
        if (synced->kind == m_dialect.serverKind && !m_areServersKnown) {
            m_areServersKnown = true;
            m_servers.setListed(now);
            serversChanged();
        }
        if (synced->kind == m_dialect.evacuationKind && m_evacuations.synced()) {
            evacuationsChanged();
        }
        return;
    } else if (const auto *peer = std::get_if<PeerEvent>(&event)) {
        if (peer->type >= PeerMessageRange::Requests) {
            m_hooks.requestMessage(*peer);
            return;
        }
        if (peer->type == FeatureMessage::Statement) {
            carryOut(m_features.receive(*peer));
            m_areFeaturesOutdated = true;
            return;
        }
        if (peer->type == WatchMessage::Status || peer->type == WatchMessage::Change) {
            receiveFeed(now, *peer);
            return;
        }
        if (peer->type == LeavingMessage::Notice) {
            receiveLeavingNotice(now, *peer);
            return;
        }
    } else if (const auto *leaving = std::get_if<ServerLeavingEvent>(&event)) {
        onServerLeaving(now, leaving->server);
        return;
    } else if (const auto *reply = std::get_if<LeaseReplyEvent>(&event)) {
        if (reply->isServerLeaving) {
            onServerLeaving(now, reply->call.server);
        }
    } else if (std::holds_alternative<StopEvent>(event)) {
        m_isStopping = true;
    }
    stepMembership(now, event);
    stepLeases(now, event);
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
    carryOut(m_feed.tick(now, m_hooks.isStoreReachable()));
    const bool reachesServers = m_hooks.reachesServers();
    for (auto &[service, controller] : m_leases) {
        controller.setReachesServers(reachesServers);
    }
    sendLoadReports(now);
}

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
    } else if (object.key == ObjectKey{ObjectKind::Fleet, PeerKeyName}) {
        onPeerKeyStored(object);
    }
}

void GatewayControlPlane::onMissing(Instant now, const ObjectKey &key)
{
    if (key == ObjectKey{ObjectKind::Fleet, PeerKeyName}) {
        m_isPeerKeyWritten = false; // joinFleet() writes it
    }
    if (m_evacuations.isOn() && key.kind == m_dialect.evacuationKind) {
        endEvacuation(key.name);
    }
    if (key.kind != m_dialect.serverKind) {
        return;
    }
    const auto *entry = m_servers.find(key.name);
    if (!entry) {
        return;
    }
    const auto process = entry->identity;
    const bool isPlanned = entry->isDraining;
    if (m_servers.remove(now, key.name)) {
        logEvent(Events::ServerGone, "{} is not registered any more", key.name);
        if (isPlanned) {
            m_hooks.stoppedAsPlanned(process);
        } else {
            m_hooks.bootSeen(process.name, process.boot + 1);
        }
        serversChanged();
    }
}

void GatewayControlPlane::onWritten(Instant now, const WriteResultEvent &event)
{
    const bool isRefused = event.status == WriteStatus::Conflict && event.current.version > 0;
    if (event.key == ObjectKey{ObjectKind::Fleet, PeerKeyName}) {
        if (isRefused || event.status == WriteStatus::Applied) {
            onPeerKeyStored(event.current);
        }
    } else if (event.key.kind == ObjectKind::Daemon && event.key.name == m_settings.self.name) {
        if (event.status == WriteStatus::Applied) {
            m_isDaemonEntryWritten = true;
            m_hooks.listObjects(ObjectKind::Daemon);
        } else if (isRefused) {
            writeDaemonEntry(event.current.version);
        }
    }
    static_cast<void>(now);
}

/// What this daemon wrote may be lost, as may be the entries of servers until they write again.
void GatewayControlPlane::onStoreEra(Instant now, std::uint64_t era)
{
    const bool isRestored = m_storeEra != 0;
    m_storeEra = era;
    m_feed.setEra(era);
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

/// Passes the lists of servers that have changed to the lease controllers.
void GatewayControlPlane::updateLeaseServers(Instant now)
{
    if (!std::exchange(m_haveServersChanged, false)) {
        return;
    }
    for (auto &[service, controller] : m_leases) {
        const auto revision = m_servers.revision(service);
        if (std::exchange(m_leaseServerRevisions[service], revision) != revision) {
            carryOut(controller.setServers(now, m_evacuations.mark(m_servers.leaseServers(service))));
        }
    }
}

void GatewayControlPlane::refreshLeases(Instant now)
{
    for (const auto &it : m_serviceRoutes.configuration()->configuration().services) {
        if (!it.isKeyed || m_leases.count(it.name) > 0) {
            continue;
        }
        LeaseSettings settings;
        settings.self = m_settings.self;
        settings.service = it.name;
        const auto limit = duration_cast<Duration>(m_settings.maxGrantDuration * MaxGrantShare);
        settings.grantDuration =
            limit > Duration::zero() ? std::min(settings.grantDuration, limit) : settings.grantDuration;
        settings.callsPerSecond = LeaseCallsPerCore * m_settings.cpuPercent / 100;
        settings.renewEvery = std::min(settings.renewEvery, settings.grantDuration / 3);
        auto &controller = m_leases.emplace(it.name, LeaseController(settings)).first->second;
        carryOut(controller.step(now, MembersEvent{m_members}));
        carryOut(controller.step(now, StoreEraEvent{m_storeEra}));
        m_leaseServerRevisions[it.name] = m_servers.revision(it.name);
        carryOut(controller.setServers(now, m_evacuations.mark(m_servers.leaseServers(it.name))));
    }
}

void GatewayControlPlane::joinFleet(Instant now)
{
    if (now < m_nextJoinAt || m_isStopping || (m_isPeerKeyWritten && m_isDaemonEntryWritten)) {
        return;
    }
    m_nextJoinAt = now + JoinRetryInterval;
    if (!m_isPeerKeyWritten) {
        const auto value = toJson(m_isPeerKeyNeeded ? newPeerKey() : m_peerKey);
        m_hooks.writeObject(
            {{ObjectKind::Fleet, PeerKeyName}, 0, randomNonce(), value, CallPriority::Leadership, false});
    } else {
        writeDaemonEntry(0);
    }
}

void GatewayControlPlane::writeDaemonEntry(std::uint64_t version)
{
    const nlohmann::json value{{"boot", m_settings.self.boot},
                               {"failureDomain", m_settings.failureDomain},
                               {"address", m_settings.address},
                               {"peer", m_peerAddress},
                               {"cpuPercent", m_settings.cpuPercent}};
    m_hooks.writeObject(
        {{ObjectKind::Daemon, m_settings.self.name}, version, randomNonce(), value, CallPriority::Leadership, false});
}

/// Whether this daemon hears more than half of the daemons that it knows. One that knows no other may have started
/// while a restored store had lost their entries.
bool GatewayControlPlane::isFleetHeard() const
{
    if (m_members.size() < 2) {
        return m_storeEra <= FirstEra;
    }
    const auto heard = std::count_if(m_members.begin(), m_members.end(), [](const Member &it) {
        return it.status == MemberStatus::Alive || it.status == MemberStatus::Leaving;
    });
    return 2 * static_cast<std::size_t>(heard) > m_members.size();
}

/// Reads the key of the store again when this daemon may use another one than the other daemons.
void GatewayControlPlane::checkPeerKey(Instant now)
{
    if (m_isPeerKeyNeeded || m_isStopping) {
        return;
    }
    const bool isHeard = isFleetHeard();
    if (!m_peerKeyCheck.isDue(now, m_hooks.foreignFrames(), isHeard)) {
        return;
    }
    m_hooks.readObject({{ObjectKind::Fleet, PeerKeyName}, CallPriority::Leadership});
    if (!isHeard) {
        m_hooks.listObjects(ObjectKind::Daemon);
        // Membership takes the listed address of a process that it has not heard only once the earlier one is dead.
        ++m_daemons.revision;
        m_haveDaemonsChanged = true;
    }
}

/// Of two keys the one that was created first stays, so that all daemons come to use the same one.
void GatewayControlPlane::onPeerKeyStored(const StoredObject &object)
{
    const auto stored = peerKeyFromJson(object.value);
    if (m_isPeerKeyNeeded) {
        adoptPeerKey(stored);
        return;
    }
    if (stored.hex != m_peerKey.hex && stored.precedes(m_peerKey)) {
        changePeerKey(stored);
    }
    m_isPeerKeyWritten = stored.hex == m_peerKey.hex;
    if (m_isPeerKeyWritten) {
        m_peerKey.createdMs = std::min(m_peerKey.createdMs, stored.createdMs);
        return;
    }
    logEvent(Events::PeerKeyReplaced,
             "the store has a later key for peer messages than the one this daemon uses; replacing it");
    m_hooks.writeObject(
        {object.key, object.version, randomNonce(), toJson(m_peerKey), CallPriority::Leadership, false});
}

void GatewayControlPlane::adoptPeerKey(const SharedPeerKey &stored)
{
    m_peerAddress = m_hooks.openPeers(stored.hex);
    if (m_peerAddress.empty()) {
        return;
    }
    m_peerKey = stored;
    m_isPeerKeyNeeded = false;
    m_isPeerKeyWritten = true;
    m_nextJoinAt = {};
    m_membership = MembershipCore(membershipSettings(m_settings, m_peerAddress));
}

/// Uses another key from now on and joins the daemons that have it as after a start: so far neither side has heard the
/// other.
void GatewayControlPlane::changePeerKey(const SharedPeerKey &stored)
{
    if (!m_hooks.changePeerKey(stored.hex)) {
        return;
    }
    logEvent(Events::PeerKeyChanged, "the store has an earlier key for peer messages than the one this daemon used");
    m_peerKey = stored;
    m_peerKeyCheck.keyChanged(m_hooks.foreignFrames());
    m_membership = MembershipCore(membershipSettings(m_settings, m_peerAddress));
    m_haveDaemonsChanged = true;
}

void GatewayControlPlane::adoptDaemon(const StoredObject &object)
{
    VmEntry entry;
    entry.name = object.key.name;
    entry.failureDomain = textOf(object.value, "failureDomain");
    entry.address = textOf(object.value, "address");
    entry.peerAddress = textOf(object.value, "peer");
    entry.cpuPercent = percentOf(object.value, "cpuPercent");
    entry.boot = numberOf(object.value, "boot");
    if (entry.peerAddress.empty() || entry.failureDomain.empty()) {
        logEvent(Events::DaemonEntryRefused, "{} has no peer address or failure domain and is ignored",
                 object.key.name);
        return;
    }
    if (entry.name == m_settings.self.name) {
        m_hooks.fleetListed(); // this daemon lists the entries after it has written its own
    }
    auto &vms = m_daemons.vms;
    const auto found = std::find_if(vms.begin(), vms.end(), [&](const VmEntry &it) { return it.name == entry.name; });
    if (found != vms.end() && *found == entry) {
        return;
    }
    if (found != vms.end()) {
        *found = entry;
    } else {
        vms.push_back(entry);
    }
    ++m_daemons.revision;
    m_haveDaemonsChanged = true;
}

void GatewayControlPlane::stepMembership(Instant now, const ControlEvent &event)
{
    if (!m_isPeerKeyNeeded) {
        carryOut(m_membership.step(now, event));
    }
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

std::vector<ColdServer> GatewayControlPlane::coldServers(Instant now)
{
    const auto &services = m_serviceRoutes.configuration()->configuration().services;
    std::vector<ColdServer> list;
    for (const auto &it : m_servers.warmups(now)) {
        const auto rule = std::find_if(services.begin(), services.end(),
                                       [&](const ServiceRule &rule) { return rule.name == it.service; });
        const double rate = rule == services.end() ? 0 : coldRate(rule->warmupPerSecond, m_settings.warmupBound);
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

/// Passes on which servers are cold. Their ends are found without a call.
void GatewayControlPlane::updateColdServers(Instant now)
{
    const auto &routes = m_serviceRoutes.configuration();
    if (!routes || m_settings.warmupBound.overshoot <= 0) {
        return;
    }
    const auto version = routes->configuration().version;
    const bool isSame = m_warmupRevision == m_servers.warmupRevision() && m_warmupConfiguration == version;
    if (isSame) {
        return;
    }
    m_warmupRevision = m_servers.warmupRevision();
    m_warmupConfiguration = version;
    auto list = coldServers(now);
    if (list == m_coldServers) {
        return;
    }
    for (const auto &it : list) {
        const auto isKnown = [&](const ColdServer &known) {
            return known.server == it.server && known.until > now;
        };
        if (std::none_of(m_coldServers.begin(), m_coldServers.end(), isKnown)) {
            logEvent(Events::ServerCold, "{} is cold for {} ms: {:.2f} requests/s from all daemons",
                     toString(it.server), duration_cast<milliseconds>(it.until - now).count(), it.perSecond);
        }
    }
    m_coldServers = std::move(list);
    m_hooks.coldServersChanged(m_coldServers);
}

/// Changes of the store that another daemon passes on, and what it knows.
void GatewayControlPlane::receiveFeed(Instant now, const PeerEvent &event)
{
    tryOr(
        [&]() -> Result<void> {
            if (event.type == WatchMessage::Status) {
                BOOST_LEAF_AUTO(status, decodeWatchStatus(event.payload));
                m_feed.receive(now, status);
                return {};
            }
            BOOST_LEAF_AUTO(fed, decodeFedChange(event.payload));
            if (fed.sinceOutage) {
                m_servers.outageSeen(now - *fed.sinceOutage);
            }
            m_hooks.applyChange(fed.change);
            return {};
        },
        [&](ErrorCode code, const std::string &detail) {
            logEvent(Events::WatchFeedMalformed, "type {} from {}: {} {}", event.type, event.sender.name,
                     errorMessage(code), detail);
        });
}

bool GatewayControlPlane::markLeaving(Instant now, const Identity &server)
{
    const bool isNews = m_servers.markLeaving(now, server);
    if (isNews) {
        logEvent(Events::ServerLeaving, "{} says that it leaves", toString(server));
        serversChanged();
    }
    return isNews;
}

/// A server has said to this daemon that it leaves. The leader of a keyed service hears of it as well, unless the store
/// has told it.
void GatewayControlPlane::onServerLeaving(Instant now, const Identity &server)
{
    const bool isNews = markLeaving(now, server);
    if (!isNews && !m_servers.isLeavingUnconfirmed(server)) {
        return;
    }
    const auto lease = m_leases.find(m_servers.find(server.name)->service);
    if (lease == m_leases.end()) {
        return;
    }
    const auto leader = lease->second.leaderName();
    if (!leader.empty() && leader != m_settings.self.name) {
        m_hooks.sendPeer({leader, LeavingMessage::Notice, encodeLeavingServer(server)});
    }
}

void GatewayControlPlane::receiveLeavingNotice(Instant now, const PeerEvent &event)
{
    tryOr(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(server, decodeLeavingServer(event.payload));
            markLeaving(now, server);
            return {};
        },
        [&](ErrorCode code, const std::string &detail) {
            logEvent(Events::WatchFeedMalformed, "type {} from {}: {} {}", event.type, event.sender.name,
                     errorMessage(code), detail);
        });
}

/// Passes on what this daemon has read of the store, and tells the store client what others pass on.
void GatewayControlPlane::updateFeed(Instant now)
{
    for (auto &it : m_hooks.takeChanges()) {
        carryOut(m_feed.share(now, {std::move(it), m_servers.sinceOutage(now)}));
    }
    auto view = m_feed.view(now);
    if (view == m_feedView) {
        return;
    }
    if (view.isWatcher != m_feedView.isWatcher) {
        logEvent(Events::WatcherChanged, "{}",
                 view.isWatcher ? "watches the store for others" : "does not watch for others");
    }
    m_feedView = std::move(view);
    m_hooks.setFeed(m_feedView);
}

/// Called when a member or its build has changed.
void GatewayControlPlane::publishFeatures(Instant now)
{
    m_builds.reset();
    auto feeding = m_features.membersWith(PeerFeature::WatchFeed);
    const auto isGone = [](const Member &it) {
        return it.status != MemberStatus::Alive && it.status != MemberStatus::Suspect;
    };
    feeding.erase(std::remove_if(feeding.begin(), feeding.end(), isGone), feeding.end());
    m_feed.setMembers(now, feeding);
    // A build without this feature would decide a relayed request by its own configuration, also by an older one.
    const auto relays = m_features.membersWith(PeerFeature::RelayVersions);
    m_hooks.relaysChanged(relays);
    const bool isFleetWide = m_features.isFleetWide(PeerFeature::RelayVersions);
    if (isFleetWide != m_areRelaysFleetWide) {
        m_areRelaysFleetWide = isFleetWide;
        logEvent(Events::FeatureUseChanged, "{} of {} known daemons take relayed requests", relays.size(),
                 m_members.size());
    }
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
    if (now >= m_nextStatusAt) {
        m_nextStatusAt = now + StatusInterval;
        publishStatus();
    }
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

void GatewayControlPlane::publishStatus()
{
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

nlohmann::json GatewayControlPlane::status() const
{
    const auto status = std::atomic_load(&m_status);
    auto json = status->summary;
    json["builds"] = status->builds ? *status->builds : nlohmann::json::object();
    return json;
}

}

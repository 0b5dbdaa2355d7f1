#include "controlplane_p.h"

#include <fmt/format.h>

#include <galenarock/ledger.h>

#include "events_p.h"

namespace Galenarock
{

namespace
{
constexpr Duration StatusInterval = milliseconds(250);
/// Servers of balanced services hold no grants. They are polled for their boot number and their drain signal, which
/// must stop new requests within 2 s.
constexpr Duration BalancedPollInterval = seconds(1);
/// The stop of a slice is queried at least every 400 ms until it is acknowledged, so a query after a longer gap belongs
/// to another stop.
constexpr Duration StopQueryLifetime = seconds(1);
/// Load reports take about 0.6 KB for each keyed service and interval.
constexpr Duration LoadReportInterval = seconds(10);

MembershipSettings membershipSettings(const ControlPlaneSettings &settings)
{
    MembershipSettings membership;
    membership.self.identity = settings.self;
    membership.self.failureDomain = settings.failureDomain;
    membership.self.address = settings.address;
    membership.self.peerAddress = settings.peerAddress;
    membership.startIncarnation = static_cast<std::uint64_t>(wallClockNow());
    membership.seed = settings.seed;
    return membership;
}

ConfigSettings configSettings(const ControlPlaneSettings &settings)
{
    ConfigSettings config;
    config.self = settings.self;
    config.failureDomain = settings.failureDomain;
    config.seed = settings.seed;
    return config;
}

nlohmann::json reportsJson(const ConfigCore &config)
{
    auto json = nlohmann::json::object();
    for (const auto &report : config.reports()) {
        auto lagging = nlohmann::json::object();
        for (const auto &it : report.lagging) {
            lagging[it.key.kind + "/" + it.key.name] = it.version;
        }
        json[report.vm] = {{"current", report.isCurrent}, {"lagging", std::move(lagging)}};
    }
    return json;
}

nlohmann::json memberJson(const Member &member)
{
    constexpr const char *names[] = {"alive", "suspect", "dead", "leaving"};
    return {{"identity", toString(member.identity)},
            {"failureDomain", member.failureDomain},
            {"address", member.address},
            {"status", names[static_cast<std::size_t>(member.status)]},
            {"listed", member.listed}};
}

nlohmann::json serverJson(const ServerStatus &server)
{
    return {{"identity", toString(server.identity)},
            {"failureDomain", server.failureDomain},
            {"listed", server.listed},
            {"leaving", server.leaving},
            {"responsive", server.responsive},
            {"stopped", server.stopped},
            {"epoch", server.epoch},
            {"slices", server.held.size()}};
}

nlohmann::json shardJson(const ShardController &controller, Instant now)
{
    constexpr const char *roles[] = {"none", "deputy", "coordinator"};
    const auto status = controller.status(now);
    nlohmann::json json{{"role", roles[static_cast<std::size_t>(status.role)]},
                        {"epoch", controller.epoch()},
                        {"platformDown", status.platformDown},
                        {"holdCapReached", status.holdCapReached},
                        {"waitingFor", status.waitingFor},
                        {"unownedSlices", status.unowned.size()}};
    if (status.mandate) {
        json["coordinator"] = toString(status.mandate->coordinator);
        json["deputy"] = status.mandate->deputy ? toString(*status.mandate->deputy) : "";
    }
    json["servers"] = nlohmann::json::array();
    for (const auto &it : status.servers) {
        json["servers"].push_back(serverJson(it));
    }
    return json;
}
}

ControlPlane::ControlPlane(ControlPlaneSettings settings, ControlPlaneHooks hooks)
    : m_settings(std::move(settings))
    , m_hooks(std::move(hooks))
    , m_membership(membershipSettings(m_settings))
    , m_config(configSettings(m_settings))
    , m_shards([this](const ServiceDocument &document) { return shardSettings(document); })
    , m_status(std::make_shared<const nlohmann::json>(nlohmann::json::object()))
{
}

ShardSettings ControlPlane::shardSettings(const ServiceDocument &document)
{
    ShardSettings settings;
    settings.self = m_settings.self;
    settings.failureDomain = m_settings.failureDomain;
    settings.shard = document.service;
    settings.document = document;
    settings.policy = placementPolicies().front().policy;
    settings.seed = m_settings.seed ^ hashKey(document.service);
    if (!document.pool.checksGrants) {
        // Only for servers that do not check grants. The others reject a renewal whose nonce is not the newest and
        // count the term from the issue of the nonce, so a renewal that is still queued in a ring cannot extend a grant
        // beyond the bound that the stop reports.
        settings.outgoingEmpty = m_hooks.outgoingEmpty;
        settings.mayRun = [this, service = document.service](const Identity &server, const SliceRange &range) {
            return !isStopPublished(service, server, range) || m_hooks.mayRun(service, server, range);
        };
    }
    return settings;
}

void ControlPlane::handle(Instant now, const ControlEvent &event)
{
    m_now = now;
    if (const auto *vms = std::get_if<VmListEvent>(&event)) {
        if (vms->list == m_vms) {
            return;
        }
        m_vms = vms->list;
        m_isSnapshotOutdated = true;
        step(now, VmListEvent{withLedgerServers(vms->list)});
        return;
    }
    observe(now, event);
    step(now, event);
}

void ControlPlane::observe(Instant now, const ControlEvent &event)
{
    if (const auto *reply = std::get_if<GrantReplyEvent>(&event)) {
        observeReply(*reply);
    } else if (const auto *peer = std::get_if<PeerEvent>(&event)) {
        if (peer->type == LoadMessage::Report) {
            if (auto report =
                    tryOr([&]() -> Result<std::optional<LoadReport>> { return decodeLoadReport(peer->payload); },
                          [](ErrorCode, const std::string &) { return std::optional<LoadReport>(); })) {
                addLoadReport(now, peer->sender.name, std::move(*report));
            }
        } else if (peer->type >= PeerMessageRange::Requests) {
            m_hooks.requestMessage(*peer);
        }
    } else if (std::holds_alternative<TickEvent>(event)) {
        startLedger(now);
        pollBalanced(now);
        sendLoadReports(now);
    }
}

void ControlPlane::observeReply(const GrantReplyEvent &event)
{
    if (!event.reply) {
        return;
    }
    m_hooks.bootSeen(event.server, event.reply->boot);
    const bool isDraining = event.reply->state == ServerState::Draining;
    const bool wasDraining = m_draining.count(event.server) > 0;
    if (isDraining == wasDraining) {
        return;
    }
    m_isSnapshotOutdated = true;
    if (isDraining) {
        m_draining.insert(event.server);
    } else {
        m_draining.erase(event.server);
    }
}

void ControlPlane::startLedger(Instant now)
{
    if (m_isLedgerStarted || m_members.empty()) {
        return;
    }
    m_isLedgerStarted = true;
    carryOut(now, "ownership", m_shards.setDocument(now, ledgerDocument()));
}

void ControlPlane::pollBalanced(Instant now)
{
    if (now < m_nextPoll) {
        return;
    }
    m_nextPoll = now + BalancedPollInterval;
    if (!m_snapshot) {
        return;
    }
    for (const auto &route : m_snapshot->services()) {
        if (route->document().distribution == Distribution::Keyed) {
            continue;
        }
        for (const auto &it : route->servers()) {
            if (it.address.empty()) {
                continue;
            }
            GrantRequest poll;
            poll.service = route->document().service;
            poll.sender = m_settings.self;
            m_hooks.callServer({it.identity.name, it.address, poll});
        }
    }
}

void ControlPlane::sendLoadReports(Instant now)
{
    if (now < m_nextLoadReport) {
        return;
    }
    m_nextLoadReport = now + LoadReportInterval;
    for (auto &report : m_hooks.takeLoads()) {
        const auto shard = m_shards.controllers().find(report.service);
        const auto mandate = shard == m_shards.controllers().end() ? std::nullopt : shard->second->status(now).mandate;
        if (!mandate) {
            continue;
        }
        if (mandate->coordinator == m_settings.self) {
            addLoadReport(now, m_settings.self.name, std::move(report));
        } else {
            m_hooks.sendPeer({mandate->coordinator.name, LoadMessage::Report, encode(report)});
        }
    }
}

void ControlPlane::addLoadReport(Instant now, const std::string &daemon, LoadReport report)
{
    const auto shard = m_shards.controllers().find(report.service);
    const auto *assignment = shard == m_shards.controllers().end() ? nullptr : shard->second->assignment();
    if (!assignment) {
        return;
    }
    auto &loadBook = m_loadBooks[report.service];
    loadBook.add(now, daemon, std::move(report));
    shard->second->setLoads(loadBook.sliceLoads(now, *assignment), loadBook.hotKeys(now));
}

void ControlPlane::step(Instant now, const ControlEvent &event)
{
    if (m_hooks.trace) {
        m_hooks.trace(EventRecord{now, event});
    }
    carryOut(now, "membership", m_membership.step(now, event));
    carryOut(now, "configuration", m_config.step(now, event));
    carryOut(now, "ownership", m_shards.step(now, event));
    for (const auto &it : m_config.takeChanged()) {
        applyObject(now, it);
    }
}

void ControlPlane::applyObject(Instant now, const StoredObject &object)
{
    if (object.key.kind != ObjectKind::Service) {
        carryOut(now, "ownership", m_shards.step(now, ObjectEvent{object, false}));
        return;
    }
    if (!m_documents.apply(object)) {
        return;
    }
    m_isSnapshotOutdated = true;
    if (m_hooks.trace) {
        m_hooks.trace(ConfigurationRecord{now, object.key.name, object.version});
    }
    for (const auto &it : m_documents.documents()) {
        if (it.service == object.key.name) {
            carryOut(now, "ownership", m_shards.setDocument(now, it));
        }
    }
}

void ControlPlane::carryOut(Instant now, const std::string &core, ControlActions actions)
{
    for (const auto &action : actions) {
        if (m_hooks.trace) {
            m_hooks.trace(ActionRecord{now, core, action});
        }
        if (const auto *read = std::get_if<ReadObjectAction>(&action)) {
            m_hooks.readObject(*read);
        } else if (const auto *write = std::get_if<WriteObjectAction>(&action)) {
            m_hooks.writeObject(*write);
        } else if (const auto *call = std::get_if<CallServerAction>(&action)) {
            m_hooks.callServer(*call);
        } else if (const auto *send = std::get_if<SendPeerAction>(&action)) {
            m_hooks.sendPeer(*send);
        } else if (const auto *assignment = std::get_if<PublishAssignmentAction>(&action)) {
            publishAssignment(assignment->assignment);
        } else if (const auto *members = std::get_if<PublishMembersAction>(&action)) {
            publishMembers(now, members->members);
        } else if (const auto *decision = std::get_if<DecisionAction>(&action)) {
            logEvent(decision->event, "{}: {}", decision->service, decision->text);
            m_decisions.add(*decision, wallClockNow());
        }
    }
}

void ControlPlane::publishAssignment(const Assignment &assignment)
{
    auto &stored = m_assignments[assignment.service];
    const auto isOlder =
        std::tie(assignment.epoch, assignment.nextSequence) < std::tie(stored.epoch, stored.nextSequence);
    if (isOlder) {
        return;
    }
    stored = assignment;
    m_isSnapshotOutdated = true;
}

void ControlPlane::publishMembers(Instant now, const std::vector<Member> &members)
{
    m_members = members;
    m_hooks.membersChanged(members);
    step(now, MembersEvent{members});
}

void ControlPlane::endBatch(Instant now)
{
    if (m_isSnapshotOutdated) {
        publishSnapshot(now);
    }
    publishSendLeases();
    ++m_batchNumber;
    if (m_config.shouldWatch() != m_isRelay) {
        m_isRelay = m_config.shouldWatch();
        m_hooks.relayChanged(m_isRelay);
    }
    if (now >= m_nextStatus) {
        m_nextStatus = now + StatusInterval;
        m_isHandedOver.store(m_shards.isHandedOver(), std::memory_order_release);
        publishStatus(now);
    }
}

bool ControlPlane::isStopPublished(const std::string &service, const Identity &server, const SliceRange &range)
{
    const auto [it, isNew] = m_stopQueries.try_emplace({service, server, range}, StopQuery{m_batchNumber, m_now});
    auto &query = it->second;
    if (m_now - query.lastQueriedAt > StopQueryLifetime) {
        query.firstBatch = m_batchNumber;
    }
    query.lastQueriedAt = m_now;
    return !isNew && query.firstBatch != m_batchNumber;
}

void ControlPlane::publishSendLeases()
{
    for (const auto &[name, it] : m_shards.controllers()) {
        if (const auto end = it->routePermitEnd()) {
            m_hooks.sendLeaseChanged(name, *end);
        }
    }
}

void ControlPlane::publishSnapshot(Instant now)
{
    m_isSnapshotOutdated = false;
    RoutingInput input;
    input.documents = m_documents.documents();
    for (const auto &[name, it] : m_assignments) {
        input.assignments.push_back(it);
    }
    input.vms = m_vms;
    input.draining.assign(m_draining.begin(), m_draining.end());
    m_snapshot = input.documents.empty() ? nullptr : RoutingSnapshot::build(input, now, m_snapshot.get());
    m_hooks.snapshotChanged(m_snapshot);
    const auto ledger = m_assignments.find(std::string(ledgerService));
    if (ledger != m_assignments.end()) {
        m_hooks.ledgerChanged(ledger->second, m_vms);
    }
    logEvent(Events::SnapshotPublished, "routing snapshot with {} services", input.documents.size());
}

void ControlPlane::publishStatus(Instant now)
{
    nlohmann::json json{{"vm", toString(m_settings.self)},
                        {"failureDomain", m_settings.failureDomain},
                        {"version", GALENAROCK_VERSION},
                        {"configuration", m_documents.versions()},
                        {"relay", m_isRelay},
                        {"missingConfiguration", m_config.missingReason()},
                        {"reports", reportsJson(m_config)}};
    json["members"] = nlohmann::json::array();
    for (const auto &it : m_members) {
        json["members"].push_back(memberJson(it));
    }
    json["shards"] = nlohmann::json::object();
    for (const auto &[name, it] : m_shards.controllers()) {
        json["shards"][name] = shardJson(*it, now);
    }
    std::atomic_store(&m_status,
                      std::shared_ptr<const nlohmann::json>(std::make_shared<nlohmann::json>(std::move(json))));
}

}

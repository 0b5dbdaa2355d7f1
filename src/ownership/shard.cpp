#include "ownership/shard_p.h"

#include <algorithm>

namespace Galenarock
{

namespace
{
/// A longer gap between two steps means that this daemon was paused; steps come each 50 ms.
constexpr Duration pauseGap = milliseconds(300);
}

Shard::Shard(ShardSettings settings)
    : m_settings(std::move(settings))
    , m_random(m_settings.seed)
    , m_mandateWriter({ObjectKind::Mandate, m_settings.shard}, CallPriority::Leadership, nextRandom(m_random))
    , m_assignmentWriter({ObjectKind::Assignment, m_settings.shard}, CallPriority::Grant, nextRandom(m_random))
{
    if (!m_settings.policy) {
        m_settings.policy = evenPlacement;
    }
}

ControlActions Shard::step(Instant now, const ControlEvent &event)
{
    ControlActions actions;
    if (m_settings.document.distribution != Distribution::Keyed) {
        return actions;
    }
    m_now = now;
    m_actions = &actions;
    std::visit([this](const auto &it) { on(it); }, event);
    reconcile();
    sendFollowUps();
    m_actions = nullptr;
    return actions;
}

void Shard::act(ControlAction action)
{
    m_actions->push_back(std::move(action));
}

void Shard::setLoads(std::vector<SliceLoad> loads, std::vector<HotKey> hotKeys)
{
    m_loads = std::move(loads);
    m_hotKeys = std::move(hotKeys);
}

void Shard::setDocument(const ServiceDocument &document)
{
    m_settings.document = document;
}

void Shard::on(const TickEvent &)
{
    if (!m_lastTickAt || m_now - *m_lastTickAt > pauseGap) {
        m_resumedAt = m_now;
    }
    m_lastTickAt = m_now;
    m_mandateWriter.tick(m_now, *m_actions);
    m_assignmentWriter.tick(m_now, *m_actions);
    tickMandate();
    tickServers();
    tickStops();
    tickPermits();
    tickSpread();
}

void Shard::on(const VmListEvent &event)
{
    if (event.list.revision < m_vms.revision) {
        return;
    }
    m_vms = event.list;
    m_listedNow.clear();
    for (const auto &it : m_vms.vms) {
        m_listedNow.insert(it.name);
        m_listedOnce.insert(it.name);
    }
    for (auto &[name, it] : m_servers) {
        it.listed = false;
    }
    for (const auto &it : m_vms.vms) {
        if (it.role != VmRole::Backend || it.service != m_settings.document.service) {
            continue;
        }
        auto &record = m_servers[it.name];
        if (record.vm.name.empty()) {
            record.listedAt = m_now;
        }
        record.vm = it;
        record.listed = true;
    }
}

void Shard::on(const ObjectEvent &event)
{
    if (event.fromPlatform) {
        markPlatformUp();
    }
    if (event.object.key == m_mandateWriter.key()) {
        onMandateOutcome(m_mandateWriter.onObject(m_now, event.object, event.fromPlatform, *m_actions));
    } else if (event.object.key == m_assignmentWriter.key()) {
        onAssignmentOutcome(m_assignmentWriter.onObject(m_now, event.object, event.fromPlatform, *m_actions));
    }
}

void Shard::on(const ObjectMissingEvent &event)
{
    markPlatformUp();
    if (event.key == m_mandateWriter.key()) {
        m_mandateWriter.onMissing(m_now, *m_actions);
    } else if (event.key == m_assignmentWriter.key()) {
        m_assignmentWriter.onMissing(m_now, *m_actions);
        m_assignmentFresh = true;
    }
}

void Shard::on(const WriteResultEvent &event)
{
    const bool isMandate = event.key == m_mandateWriter.key();
    if (!isMandate && !(event.key == m_assignmentWriter.key())) {
        return;
    }
    if (event.status == WriteStatus::Applied || event.status == WriteStatus::Conflict) {
        markPlatformUp();
    } else {
        markPlatformDown();
    }
    if (isMandate) {
        onMandateOutcome(m_mandateWriter.onResult(m_now, event, *m_actions));
    } else {
        onAssignmentOutcome(m_assignmentWriter.onResult(m_now, event, *m_actions));
    }
}

void Shard::on(const MembersEvent &event)
{
    m_members = event.members;
}

void Shard::on(const StopEvent &)
{
    m_stopping = true;
}

void Shard::on(const PeerEvent &event)
{
    using OwnershipMessages::Type;
    switch (static_cast<Type>(event.type)) {
    case Type::AssignmentUpdate:
        return onMessage<OwnershipMessages::AssignmentUpdate>(event);
    case Type::StopRequest:
        return onMessage<OwnershipMessages::StopRequest>(event);
    case Type::StopAck:
        return onMessage<OwnershipMessages::StopAck>(event);
    case Type::ContactQuery:
        return onMessage<OwnershipMessages::ContactQuery>(event);
    case Type::ContactAnswer:
        return onMessage<OwnershipMessages::ContactAnswer>(event);
    case Type::AssignmentDigest:
        return onMessage<OwnershipMessages::AssignmentDigest>(event);
    case Type::PermitQuery:
        return onMessage<OwnershipMessages::PermitQuery>(event);
    case Type::PermitAnswer:
        return onMessage<OwnershipMessages::PermitAnswer>(event);
    case Type::SliceStopRequest:
        return onMessage<OwnershipMessages::SliceStopRequest>(event);
    case Type::SliceStopAck:
        return onMessage<OwnershipMessages::SliceStopAck>(event);
    }
}

template<typename Message> void Shard::onMessage(const PeerEvent &event)
{
    const auto message = OwnershipMessages::decode<Message>(event.payload);
    if (!message) {
        decide(OwnershipEvents::MalformedPeerMessage, {}, "type {} from {}", event.type, toString(event.sender));
        return;
    }
    if (message->shard == m_settings.shard) {
        receive(event, *message);
    }
}

const Assignment *Shard::assignment() const
{
    return m_published ? &*m_published : nullptr;
}

ShardController::ShardController(ShardSettings settings)
    : m_shard(std::make_unique<Shard>(std::move(settings)))
{
}

ShardController::ShardController(ShardController &&) noexcept = default;
ShardController &ShardController::operator=(ShardController &&) noexcept = default;
ShardController::~ShardController() = default;

ControlActions ShardController::step(Instant now, const ControlEvent &event)
{
    return m_shard->step(now, event);
}

void ShardController::setLoads(std::vector<SliceLoad> loads, std::vector<HotKey> hotKeys)
{
    m_shard->setLoads(std::move(loads), std::move(hotKeys));
}

void ShardController::setDocument(const ServiceDocument &document)
{
    m_shard->setDocument(document);
}

ShardRole ShardController::role() const
{
    return m_shard->role();
}

std::uint32_t ShardController::epoch() const
{
    return m_shard->epoch();
}

const Assignment *ShardController::assignment() const
{
    return m_shard->assignment();
}

bool ShardController::isHandedOver() const
{
    return m_shard->isHandedOver();
}

std::optional<Instant> ShardController::routePermitEnd() const
{
    return m_shard->routePermitEnd();
}

ShardStatus ShardController::status(Instant now) const
{
    return m_shard->status(now);
}

std::vector<std::string> ShardController::explain(Instant now, KeyHash hash) const
{
    return m_shard->explain(now, hash);
}

}

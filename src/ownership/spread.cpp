#include "ownership/shard_p.h"

#include <algorithm>

#include <galenarock/jsontext.h>

namespace Galenarock
{

namespace
{
/// Interval at which a daemon tells another one which versions it has; repairs lost updates.
constexpr Duration digestInterval = seconds(1);
/// Daemons that learn of a newer assignment pass it to this many others; the coordinator sends it to all.
constexpr std::size_t fanout = 2;
}

bool Shard::isNewer(const Assignment &assignment) const
{
    return !m_published
        || std::tie(assignment.epoch, assignment.nextSequence)
        > std::tie(m_published->epoch, m_published->nextSequence);
}

void Shard::publish(const Assignment &assignment)
{
    if (!isNewer(assignment)) {
        return;
    }
    m_published = assignment;
    publishRoutes();
    sendUpdateToAll();
}

OwnershipMessages::AssignmentUpdate Shard::currentUpdate() const
{
    const auto &mandate = m_mandateWriter.object();
    OwnershipMessages::AssignmentUpdate update{m_settings.shard, mandate.version, mandate.writer, {}, {}};
    if (mandate.version != 0) {
        update.mandate = jsonText(mandate.value);
    }
    if (m_published) {
        update.assignment = jsonText(toJson(*m_published));
    }
    return update;
}

void Shard::sendUpdateToAll()
{
    std::vector<std::string> targets;
    for (const auto &it : m_members) {
        if (it.identity != m_settings.self && it.status != MemberStatus::Dead) {
            targets.push_back(it.identity.name);
        }
    }
    if (role() != ShardRole::Coordinator && targets.size() > fanout) {
        const auto start = nextRandom(m_random) % targets.size();
        std::rotate(targets.begin(), targets.begin() + static_cast<std::ptrdiff_t>(start), targets.end());
        targets.resize(fanout);
    }
    const auto update = currentUpdate();
    for (const auto &it : targets) {
        act(toPeer(it, update));
    }
}

void Shard::tickSpread()
{
    if (m_now < m_nextDigestAt || m_members.size() < 2) {
        return;
    }
    m_nextDigestAt = m_now + digestInterval;
    const auto &other = m_members[nextRandom(m_random) % m_members.size()];
    if (other.identity == m_settings.self || other.status == MemberStatus::Dead) {
        return;
    }
    OwnershipMessages::AssignmentDigest digest{m_settings.shard, m_mandateWriter.object().version, 0, 0};
    if (m_published) {
        digest.epoch = m_published->epoch;
        digest.nextSequence = m_published->nextSequence;
    }
    act(toPeer(other.identity.name, digest));
}

void Shard::receive(const PeerEvent &event, const OwnershipMessages::AssignmentDigest &message)
{
    const bool hasNewerMandate = m_mandateWriter.object().version > message.mandateVersion;
    const bool hasNewerAssignment = m_published
        && std::tie(m_published->epoch, m_published->nextSequence) > std::tie(message.epoch, message.nextSequence);
    if (hasNewerMandate || hasNewerAssignment) {
        act(toPeer(event.sender.name, currentUpdate()));
    }
}

void Shard::receive(const PeerEvent &event, const OwnershipMessages::AssignmentUpdate &message)
{
    auto mandate = nlohmann::json::parse(message.mandate, nullptr, false);
    if (message.mandateVersion != 0 && !mandate.is_discarded()) {
        const StoredObject object{m_mandateWriter.key(), message.mandateVersion, message.mandateWriter,
                                  std::move(mandate)};
        onMandateOutcome(m_mandateWriter.onObject(m_now, object, false, *m_actions));
    }
    if (message.assignment.empty() || (role() == ShardRole::Coordinator && event.sender != m_settings.self)) {
        return;
    }
    const auto json = nlohmann::json::parse(message.assignment, nullptr, false);
    if (const auto assignment = parseAssignment(json)) {
        publish(*assignment);
    }
}

void Shard::adoptStored()
{
    const auto &object = m_assignmentWriter.object();
    if (object.version == 0 || object.version == m_adoptedVersion) {
        return;
    }
    m_adoptedVersion = object.version;
    if (const auto assignment = parseAssignment(object.value)) {
        publish(*assignment);
    }
}

}

#include "ownership/shard_p.h"

#include <algorithm>

/// Rule R10: for pools that do not check grants, the senders enforce ownership.
///
/// Every daemon routes under a permit that the coordinator or the deputy issued for a term. A slice moves after every
/// daemon has acknowledged that it neither routes the slice nor has a request of it in flight. There are no moves
/// while the platform is down: the servers could not tell the next coordinator about them.
namespace Galenarock
{

namespace
{
constexpr Duration permitInterval = milliseconds(300);
/// Wait after the VM list shows a daemon gone; longer than a permit, so that its last one has ended (R10).
constexpr Duration goneWait = seconds(2);
}

bool Shard::checksGrants() const
{
    return m_settings.document.pool.checksGrants;
}

std::optional<Instant> Shard::routePermitEnd() const
{
    if (checksGrants()) {
        return {};
    }
    const bool isCurrent = m_published
        && std::tie(m_published->epoch, m_published->nextSequence) >= std::tie(m_permitEpoch, m_permitSequence);
    return isCurrent ? m_permitEnd : Instant::min();
}

void Shard::tickPermits()
{
    if (checksGrants()) {
        return;
    }
    if (isIssuer()) {
        issueOwnPermit();
    }
    if (isActive()) {
        trackGoneDaemons();
        sendSliceStops();
        freeStoppedSlices();
    }
    if (!m_mandate || m_now < m_permitAskedAt + permitInterval) {
        return;
    }
    m_permitAskedAt = m_now;
    m_permitNonce = nextNonce(m_random);
    const OwnershipMessages::PermitQuery query{m_settings.shard, m_permitNonce};
    for (const auto &it : pairMembers()) {
        if (it != m_settings.self) {
            act(toPeer(it.name, query));
        }
    }
}

std::vector<Identity> Shard::pairMembers() const
{
    std::vector<Identity> members{m_mandate->coordinator};
    if (m_mandate->deputy) {
        members.push_back(*m_mandate->deputy);
    }
    return members;
}

bool Shard::isIssuer() const
{
    // The permit names the least version that its holder must route by, so the issuer needs one of its own epoch.
    const bool hasVersion = m_published && m_published->epoch == epoch();
    return isEntitled() && hasVersion && (role() == ShardRole::Deputy || m_stamped);
}

void Shard::issueOwnPermit()
{
    m_permitEpoch = epoch();
    m_permitSequence = m_published->nextSequence;
    m_permitEnd = m_now + term();
}

void Shard::receive(const PeerEvent &event, const OwnershipMessages::PermitQuery &message)
{
    if (checksGrants() || !isIssuer() || isUnlisted(event.sender.name)) {
        return;
    }
    m_permitHolders[event.sender] = m_now + lengthened(term());
    OwnershipMessages::PermitAnswer answer;
    answer.shard = m_settings.shard;
    answer.nonce = message.nonce;
    answer.epoch = epoch();
    answer.nextSequence = m_published->nextSequence;
    answer.stopCounter = m_sliceStopCounter;
    for (const auto &[sequence, it] : m_sliceStops) {
        answer.stops.push_back(sequence);
    }
    act(toPeer(event.sender.name, answer));
}

void Shard::receive(const PeerEvent &, const OwnershipMessages::PermitAnswer &message)
{
    if (checksGrants() || message.nonce != m_permitNonce || message.epoch < m_permitEpoch) {
        return;
    }
    learnSliceStops(message.epoch, message.stopCounter, message.stops);
    const auto floor = std::tie(message.epoch, message.nextSequence);
    if (floor > std::tie(m_permitEpoch, m_permitSequence)) {
        m_permitEpoch = message.epoch;
        m_permitSequence = message.nextSequence;
    }
    // Counted from the sending of the query, and shortened, because the issuer counts on its own clock.
    m_permitEnd = std::max(m_permitEnd, m_permitAskedAt + term() - (lengthened(term()) - term()));
}

void Shard::learnSliceStops(std::uint32_t epoch, std::uint64_t counter, const std::vector<std::uint64_t> &sequences)
{
    if (std::tie(epoch, counter) <= std::tie(m_routeStopEpoch, m_routeStopCounter)) {
        return;
    }
    m_routeStopEpoch = epoch;
    m_routeStopCounter = counter;
    std::set<std::uint64_t> stops(sequences.begin(), sequences.end());
    if (stops == m_routeStops) {
        return;
    }
    m_routeStops = std::move(stops);
    publishRoutes();
}

void Shard::publishRoutes()
{
    if (!m_published) {
        return;
    }
    auto routes = *m_published;
    for (auto &it : routes.slices) {
        if (m_routeStops.count(it.sequence) != 0) {
            it.owner = noServer;
            it.successors.clear();
        }
    }
    act(PublishAssignmentAction{std::move(routes)});
}

void Shard::startSliceStop(const SliceAssignment &slice)
{
    SliceStop stop;
    stop.range = slice.range;
    stop.server = ownerOf(slice);
    m_sliceStops[slice.sequence] = std::move(stop);
    ++m_sliceStopCounter;
    m_sliceStopsSentAt = m_now - resendInterval;
    std::vector<std::uint64_t> sequences;
    for (const auto &[sequence, it] : m_sliceStops) {
        sequences.push_back(sequence);
    }
    learnSliceStops(epoch(), m_sliceStopCounter, sequences);
}

void Shard::sendSliceStops()
{
    if (m_sliceStops.empty() || m_now < m_sliceStopsSentAt + resendInterval) {
        return;
    }
    m_sliceStopsSentAt = m_now;
    OwnershipMessages::SliceStopRequest request{m_settings.shard, epoch(), m_sliceStopCounter, {}, {}, {}, {}};
    for (const auto &[sequence, it] : m_sliceStops) {
        request.sequences.push_back(sequence);
        request.first.push_back(it.range.first);
        request.last.push_back(it.range.last);
        request.servers.push_back(toString(it.server));
    }
    for (const auto &it : daemonsToStop()) {
        if (it != m_settings.self) {
            act(toPeer(it.name, request));
        }
    }
}

std::set<Identity> Shard::daemonsToStop() const
{
    std::set<Identity> daemons;
    for (const auto &it : m_members) {
        daemons.insert(it.identity);
    }
    for (const auto &[holder, until] : m_permitHolders) {
        daemons.insert(holder);
    }
    return daemons;
}

void Shard::receive(const PeerEvent &event, const OwnershipMessages::SliceStopRequest &message)
{
    const auto n = message.sequences.size();
    if (message.epoch < m_routeStopEpoch || message.first.size() != n || message.last.size() != n
        || message.servers.size() != n) {
        return;
    }
    learnSliceStops(message.epoch, message.counter, message.sequences);
    OwnershipMessages::SliceStopAck ack{m_settings.shard, message.epoch, {}, {}};
    for (std::size_t it = 0; it < n; ++it) {
        const auto server = parseIdentity(message.servers[it]);
        const bool isStoppedHere = m_routeStops.count(message.sequences[it]) != 0;
        if (server && isStoppedHere && !mayRun(*server, {message.first[it], message.last[it]})) {
            ack.sequences.push_back(message.sequences[it]);
        }
    }
    for (const auto &[holder, until] : m_permitHolders) {
        if (m_now < until) {
            ack.holders.push_back(toString(holder));
        }
    }
    if (outgoingEmpty()) {
        act(toPeer(event.sender.name, ack));
    }
}

bool Shard::mayRun(const Identity &server, const SliceRange &range) const
{
    const auto it = m_servers.find(server.name);
    const bool isServerGone = it != m_servers.end() && !it->second.listed;
    return !isServerGone && m_settings.mayRun && m_settings.mayRun(server, range);
}

void Shard::receive(const PeerEvent &event, const OwnershipMessages::SliceStopAck &message)
{
    if (!isActive() || message.epoch != epoch()) {
        return;
    }
    for (const auto &text : message.holders) {
        if (const auto holder = parseIdentity(text)) {
            // Only the identity matters: the holder has to acknowledge, however long its permit lasts.
            m_permitHolders.emplace(*holder, m_now);
        }
    }
    for (const auto &it : daemonsToStop()) {
        // The answer to this epoch comes from a later process of the VM, so the earlier one has ended.
        if (it.name == event.sender.name && it != event.sender) {
            m_replacedDaemons.insert(it);
        }
    }
    for (const auto sequence : message.sequences) {
        const auto it = m_sliceStops.find(sequence);
        if (it != m_sliceStops.end()) {
            it->second.acknowledged.insert(event.sender);
        }
    }
}

void Shard::trackGoneDaemons()
{
    for (const auto &it : daemonsToStop()) {
        if (isUnlisted(it.name) || m_replacedDaemons.count(it) != 0) {
            m_goneSince.emplace(it, m_now);
        } else {
            m_goneSince.erase(it);
        }
    }
    for (auto it = m_permitHolders.begin(); it != m_permitHolders.end();) {
        const auto gone = m_goneSince.find(it->first);
        const bool isOver = gone != m_goneSince.end() && m_now > gone->second + goneWait;
        it = isOver ? m_permitHolders.erase(it) : std::next(it);
    }
}

bool Shard::isStoppedEverywhere(const SliceStop &stop) const
{
    if (!outgoingEmpty() || mayRun(stop.server, stop.range)) {
        return false;
    }
    for (const auto &it : daemonsToStop()) {
        const auto gone = m_goneSince.find(it);
        const bool isOver = gone != m_goneSince.end() && m_now > gone->second + goneWait;
        if (it != m_settings.self && !isOver && stop.acknowledged.count(it) == 0) {
            return false;
        }
    }
    return true;
}

void Shard::freeStoppedSlices()
{
    for (const auto &[sequence, it] : m_sliceStops) {
        if (m_free.count(sequence) == 0 && isStoppedEverywhere(it)) {
            m_free.insert(sequence);
            decide(OwnershipEvents::SliceStopped, it.range, "no daemon sends to {}", toString(it.server));
        }
    }
}

void Shard::pruneSliceStops(const std::set<std::uint64_t> &present)
{
    const auto before = m_sliceStops.size();
    for (auto it = m_sliceStops.begin(); it != m_sliceStops.end();) {
        it = present.count(it->first) != 0 ? std::next(it) : m_sliceStops.erase(it);
    }
    m_sliceStopCounter += before != m_sliceStops.size() ? 1 : 0;
}

}

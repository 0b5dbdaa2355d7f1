#include "ownership/shard_p.h"

#include <algorithm>

namespace Galenarock
{

namespace
{
OwnershipMessages::ServerReport reportOf(const ServerRecord &server)
{
    OwnershipMessages::ServerReport report;
    report.server = toString(server.identity());
    report.epoch = server.epoch;
    for (const auto &it : server.held) {
        report.first.push_back(it.range.first);
        report.last.push_back(it.range.last);
        report.sequences.push_back(it.sequence);
    }
    return report;
}

constexpr Duration formerAskInterval = milliseconds(400);
}

bool Shard::isStopped(const Identity &server) const
{
    return m_stops.count(server) != 0;
}

bool Shard::outgoingEmpty() const
{
    return !m_settings.outgoingEmpty || m_settings.outgoingEmpty();
}

void Shard::tickStops()
{
    if (role() != ShardRole::Coordinator) {
        return;
    }
    requestFormerStops();
    if (!isActive()) {
        return;
    }
    if (!checksGrants()) {
        return;
    }
    suspectServers();
    resumeServers();
    sendStopRequests();
}

void Shard::suspectServers()
{
    std::set<Identity> owners;
    for (const auto &it : m_live->slices) {
        owners.insert(ownerOf(it));
        for (const auto successor : it.successors) {
            const auto server = serverOf(*m_live, successor);
            if (!isCleared(server)) {
                owners.insert(server);
            }
        }
    }
    for (const auto &it : owners) {
        const auto *const record = recordOf(it);
        const bool isWell = record && record->listed && isResponsive(*record);
        const auto known = m_servers.find(it.name);
        const bool isNewlyListed = known != m_servers.end() && known->second.boot == 0 && known->second.listed
            && m_now - std::max(known->second.listedAt, m_resumedAt) < suspectAfter;
        if (!it.name.empty() && !isWell && !isNewlyListed && !isStopped(it)) {
            startStop(it);
        }
    }
}

void Shard::startStop(const Identity &server)
{
    StopRecord stop;
    const auto *const record = recordOf(server);
    stop.ownBound = record ? record->nonceAt : std::nullopt;
    stop.since = m_now;
    m_stops[server] = stop;
    ++m_stopCounter;
    decide(OwnershipEvents::ServerStopped, {}, "server {} gives no reply; renewals stop", toString(server));
}

void Shard::resumeServers()
{
    for (auto it = m_stops.begin(); it != m_stops.end();) {
        const auto *const record = recordOf(it->first);
        const bool isBack = record && record->listed && isResponsive(*record);
        const auto isOwned = [&](const auto &slice) {
            return ownerOf(slice) == it->first;
        };
        const bool isForgotten = !record && std::none_of(m_live->slices.begin(), m_live->slices.end(), isOwned);
        if (!isBack && !isForgotten) {
            ++it;
            continue;
        }
        if (isBack) {
            decide(OwnershipEvents::OwnerBack, {}, "server {} replies again", toString(it->first));
        }
        ++m_stopCounter;
        it = m_stops.erase(it);
    }
}

void Shard::sendStopRequests()
{
    const bool isDone = m_deputyCounter == m_stopCounter;
    if (!m_mandate->deputy || isDone) {
        return;
    }
    if (m_sentStopCounter == m_stopCounter && m_now < m_stopsSentAt + resendInterval) {
        return;
    }
    OwnershipMessages::StopRequest request{m_settings.shard, epoch(), m_stopCounter, {}};
    for (const auto &[server, stop] : m_stops) {
        request.servers.push_back(toString(server));
    }
    m_stopsSentAt = m_now;
    m_sentStopCounter = m_stopCounter;
    act(toPeer(m_mandate->deputy->name, request));
}

void Shard::requestFormerStops()
{
    if (m_former.empty() || m_now < m_formerAskedAt + formerAskInterval) {
        return;
    }
    m_formerAskedAt = m_now;
    const auto former = m_former;
    for (const auto &it : former) {
        if (isUnlisted(it.name)) {
            removeFormer(it.name);
            continue;
        }
        act(toPeer(it.name, OwnershipMessages::StopRequest{m_settings.shard, epoch(), 0, {}}));
    }
}

void Shard::removeFormer(const std::string &vm)
{
    // An answer of another process of the VM to this epoch means that the earlier process has ended.
    for (auto it = m_former.begin(); it != m_former.end();) {
        if (it->name != vm) {
            ++it;
            continue;
        }
        // Its last renewal may have carried a nonce that it received just now.
        m_formerBound = std::max(m_formerBound, m_now + lengthened(term()));
        decide(OwnershipEvents::FormerMemberStopped, {}, "{} renews no server of shard {}", toString(*it),
               m_settings.shard);
        it = m_former.erase(it);
    }
}

void Shard::receive(const PeerEvent &event, const OwnershipMessages::StopRequest &message)
{
    if (message.counter == 0) {
        return stopAll(event, message);
    }
    const bool isMine =
        role() == ShardRole::Deputy && message.epoch == epoch() && event.sender == m_mandate->coordinator;
    if (!isMine || message.counter < m_stopCounter) {
        return;
    }
    m_stopCounter = message.counter;
    OwnershipMessages::StopAck ack{m_settings.shard, epoch(), message.counter, false, {}, {}, {}};
    std::map<Identity, StopRecord> stops;
    for (const auto &text : message.servers) {
        const auto server = parseIdentity(text);
        if (!server) {
            continue;
        }
        const auto *const record = recordOf(*server);
        if (!isStopped(*server) && record && record->listed && isResponsive(*record)) {
            ack.refused.push_back(reportOf(*record));
            continue;
        }
        StopRecord stop;
        stop.ownBound = record ? record->nonceAt : std::nullopt;
        const auto known = m_stops.find(*server);
        const auto &kept = stops[*server] = known != m_stops.end() ? known->second : stop;
        ack.servers.push_back(text);
        ack.nonceAgeMs.push_back(kept.ownBound ? duration_cast<milliseconds>(m_now - *kept.ownBound).count() : -1);
    }
    m_stops = std::move(stops);
    if (outgoingEmpty()) {
        act(toPeer(event.sender.name, ack));
    }
}

void Shard::stopAll(const PeerEvent &event, const OwnershipMessages::StopRequest &message)
{
    if (message.epoch > epoch()) {
        m_supersededBy = std::max(m_supersededBy, message.epoch);
        m_mandateWriter.read(*m_actions);
    }
    if (outgoingEmpty()) {
        act(toPeer(event.sender.name,
                   OwnershipMessages::StopAck{m_settings.shard, message.epoch, 0, true, {}, {}, {}}));
    }
}

void Shard::receive(const PeerEvent &event, const OwnershipMessages::StopAck &message)
{
    if (role() != ShardRole::Coordinator || message.epoch != epoch()) {
        return;
    }
    if (message.allStopped) {
        return removeFormer(event.sender.name);
    }
    if (m_mandate->deputy != event.sender || message.counter != m_stopCounter
        || message.nonceAgeMs.size() != message.servers.size()) {
        return;
    }
    if (message.refused.empty()) {
        m_deputyCounter = message.counter;
    }
    for (const auto &it : message.refused) {
        learnReport(it);
    }
    for (std::size_t n = 0; n < message.servers.size(); ++n) {
        const auto server = parseIdentity(message.servers[n]);
        const auto it = server ? m_stops.find(*server) : m_stops.end();
        if (it == m_stops.end() || it->second.deputyStopped) {
            continue;
        }
        it->second.deputyStopped = true;
        if (message.nonceAgeMs[n] >= 0) {
            it->second.deputyBound = m_now - milliseconds(message.nonceAgeMs[n]);
        }
    }
}

void Shard::learnReport(const OwnershipMessages::ServerReport &report)
{
    const auto server = parseIdentity(report.server);
    const auto n = report.sequences.size();
    if (!server || !isActive() || report.epoch != epoch() || report.first.size() != n || report.last.size() != n) {
        return;
    }
    for (std::size_t it = 0; it < n; ++it) {
        adoptSuccessor(*server, {{report.first[it], report.last[it]}, report.sequences[it]});
    }
    m_reported.insert(*server);
}

bool Shard::isReplaced(const Identity &server) const
{
    const auto it = m_servers.find(server.name);
    if (it == m_servers.end() || it->second.boot == 0 || it->second.boot == server.boot) {
        return false;
    }
    // The boot seen here may also be the older one; a reply to a call sent after the identity was known is not.
    return it->second.repliedSentAt >= m_activeSince;
}

bool Shard::hasPairStopped(const Identity &server) const
{
    const auto it = m_stops.find(server);
    if (it == m_stops.end() || !outgoingEmpty()) {
        return false;
    }
    const auto &stop = it->second;
    if (m_mandate->deputy && !stop.deputyStopped) {
        return false;
    }
    const auto ends = [&](const std::optional<Instant> &bound) {
        return !bound || m_now > *bound + lengthened(term());
    };
    return ends(stop.ownBound) && ends(stop.deputyBound);
}

bool Shard::isCleared(const Identity &server) const
{
    const bool hasFormerStopped = (m_former.empty() && m_now >= m_formerBound)
        || m_now >= m_epochSince + lengthened(holdCap()) + lengthened(term());
    if (!checksGrants()) {
        // No server can say that it obeys the new pair only.
        return hasFormerStopped;
    }
    // The own pair counts as well: the deputy may renew a server, under a token of the last outage, that this daemon
    // has not reached.
    if (m_reported.count(server) != 0 || (hasFormerStopped && hasPairStopped(server))) {
        return true;
    }
    const auto *const record = recordOf(server);
    return (record && record->epoch >= epoch()) || isReplaced(server) || isUnlisted(server.name);
}

bool Shard::isClear(const SliceAssignment &slice) const
{
    const auto cleared = [&](ServerIndex it) {
        return isCleared(serverOf(*m_live, it));
    };
    return (slice.owner == noServer || cleared(slice.owner))
        && std::all_of(slice.successors.begin(), slice.successors.end(), cleared);
}

bool Shard::hasLapsed(const Identity &server) const
{
    if (isReplaced(server)) {
        return true;
    }
    return hasPairStopped(server) && isCleared(server);
}

void Shard::freeLostOwners()
{
    if (!checksGrants()) {
        return;
    }
    std::map<Identity, bool> lapsed;
    for (const auto &slice : m_live->slices) {
        const auto owner = ownerOf(slice);
        if (m_free.count(slice.sequence) != 0 || slice.owner == noServer) {
            continue;
        }
        const auto it = lapsed.find(owner);
        const bool isLapsed = it != lapsed.end() ? it->second : (lapsed[owner] = hasLapsed(owner));
        if (!isLapsed || !isClear(slice)) {
            continue;
        }
        m_free.insert(slice.sequence);
        m_revoking.erase(slice.sequence);
        decide(OwnershipEvents::OwnerLost, slice.range, "term of {} has ended", toString(owner));
    }
}

}

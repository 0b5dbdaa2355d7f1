#include "membership/membership_p.h"

#include <algorithm>

#include <fmt/format.h>

#include "membership/events_p.h"

/// Gossip of the membership core: sending messages with piggybacked updates, and merging received updates.
namespace Galenarock
{

namespace
{
/// Maximum indirect probes in flight on behalf of other members.
constexpr std::size_t MaxRelayedProbes = 256;
/// Rate limit of table replies, as a token bucket: refill rate and capacity.
constexpr double TablesPerSecond = 2;
constexpr double TableBurst = 4;
}

std::vector<MemberUpdate> MembershipCore::Private::piggybackedUpdates(const std::string &receiver, bool isBriefSelf)
{
    std::vector<MemberUpdate> updates{self().update(isBriefSelf)};
    std::size_t bytes = updates.front().size();
    // Tell a suspected or dead receiver its status, so that it can refute it.
    const auto *known = m_table.find(receiver);
    if (known != nullptr && known->member.status != MemberStatus::Alive) {
        updates.push_back(known->update(true));
        bytes += updates.back().size();
    }
    m_updateQueue.select(maxTransmissions(), [&](const std::string &name) {
        const auto *state = m_table.find(name);
        if (state == nullptr || name == m_settings.self.identity.name) {
            return true; // own update is included above; removed members have no update
        }
        // Suspect and Dead updates need no addresses: receivers that do not have the member ignore them.
        const bool isBrief =
            state->member.status == MemberStatus::Dead || state->member.status == MemberStatus::Suspect;
        auto update = state->update(isBrief);
        if (bytes + update.size() > maxPiggybackBytes) {
            return false;
        }
        bytes += update.size();
        updates.push_back(std::move(update));
        return true;
    });
    return updates;
}

void MembershipCore::Private::sendProbe(const std::string &receiver, std::uint16_t type, std::uint64_t sequence,
                                        const std::string &target)
{
    ProbeMessage message{sequence, target, piggybackedUpdates(receiver, type == MemberMessage::Ack)};
    m_actions.emplace_back(SendPeerAction{receiver, type, Wire::encode(std::move(message))});
}

void MembershipCore::Private::sendTable(const std::string &receiver, std::uint16_t type, bool isComplete)
{
    TableMessage message{m_table.digest(), {self().update(false)}};
    if (isComplete) {
        for (const auto &[name, state] : m_table.all()) {
            if (message.updates.size() >= maxTableEntries || name == m_settings.self.identity.name) {
                continue;
            }
            message.updates.push_back(state.update(false));
        }
    }
    m_actions.emplace_back(SendPeerAction{receiver, type, Wire::encode(std::move(message))});
}

void MembershipCore::Private::onPeer(const PeerEvent &event)
{
    switch (event.type) {
    case MemberMessage::Ping:
    case MemberMessage::Ack:
    case MemberMessage::IndirectPing:
        onProbeMessage(event);
        break;
    case MemberMessage::TableQuery:
    case MemberMessage::Table:
        onTableMessage(event);
        break;
    default:
        break; // handled by another module
    }
}

void MembershipCore::Private::onProbeMessage(const PeerEvent &event)
{
    const auto message =
        tryOr([&]() -> Result<std::optional<ProbeMessage>> { return Wire::decode<ProbeMessage>(event.payload); },
              [](ErrorCode, const std::string &) { return std::optional<ProbeMessage>(); });
    if (!message) {
        ++m_counters.malformed;
        return;
    }
    for (const auto &it : message->updates) {
        applyUpdate(it);
    }
    if (event.type == MemberMessage::Ping) {
        sendProbe(event.sender.name, MemberMessage::Ack, message->sequence);
    } else if (event.type == MemberMessage::Ack) {
        onAck(event.sender.name, *message);
    } else {
        onIndirectPing(event.sender.name, *message);
    }
}

void MembershipCore::Private::onAck(const std::string &sender, const ProbeMessage &message)
{
    const auto isAnswered = [&](const Probe &it) {
        return it.sequence == message.sequence;
    };
    m_probes.erase(std::remove_if(m_probes.begin(), m_probes.end(), isAnswered), m_probes.end());
    for (auto it = m_relayedProbes.begin(); it != m_relayedProbes.end(); ++it) {
        if (it->sequence != message.sequence) {
            continue;
        }
        const auto relay = std::move(*it);
        m_relayedProbes.erase(it);
        m_updateQueue.add(sender); // forwards the probed member's own update with the acknowledgement
        sendProbe(relay.origin, MemberMessage::Ack, relay.originSequence);
        return;
    }
}

void MembershipCore::Private::onIndirectPing(const std::string &sender, const ProbeMessage &message)
{
    if (m_table.find(message.target) == nullptr) {
        return;
    }
    if (m_relayedProbes.size() >= MaxRelayedProbes) {
        m_relayedProbes.pop_front();
    }
    m_relayedProbes.push_back({++m_sequence, sender, message.sequence});
    sendProbe(message.target, MemberMessage::Ping, m_sequence);
}

void MembershipCore::Private::onTableMessage(const PeerEvent &event)
{
    const auto message =
        tryOr([&]() -> Result<std::optional<TableMessage>> { return Wire::decode<TableMessage>(event.payload); },
              [](ErrorCode, const std::string &) { return std::optional<TableMessage>(); });
    if (!message) {
        ++m_counters.malformed;
        return;
    }
    for (const auto &it : message->updates) {
        applyUpdate(it);
    }
    if (event.type != MemberMessage::TableQuery || message->digest == m_table.digest()) {
        return;
    }
    const std::chrono::duration<double> elapsed = m_now - m_tableTokensRefilledAt;
    m_tableTokensRefilledAt = m_now;
    m_tableTokens = std::min(TableBurst, m_tableTokens + elapsed.count() * TablesPerSecond);
    if (m_tableTokens < 1) {
        return;
    }
    m_tableTokens -= 1;
    sendTable(event.sender.name, MemberMessage::Table, true);
}

void MembershipCore::Private::applyUpdate(const MemberUpdate &update)
{
    if (!update.isValid()) {
        ++m_counters.malformed;
        return;
    }
    if (update.identity.name == m_settings.self.identity.name) {
        applyToSelf(update);
        return;
    }
    auto *known = m_table.find(update.identity.name);
    if (known != nullptr) {
        applyToMember(*known, update);
        return;
    }
    if (update.isBrief() || update.status == MemberStatus::Dead) {
        return;
    }
    if (m_table.size() >= m_settings.maxMembers) {
        ++m_counters.rejected;
        return;
    }
    auto &added = m_table.add(update.identity.name);
    added.member.listed = !m_hasVmList; // the VM list is polled every second and corrects this
    applyToMember(added, update);
}

void MembershipCore::Private::applyToSelf(const MemberUpdate &update)
{
    auto &state = self();
    if (update.identity.boot != state.member.identity.boot) {
        // An update about a previous process of this VM: raise the own incarnation above it.
        if (update.incarnation >= state.incarnation) {
            raiseOwnIncarnation(update.incarnation, state.member.status);
        }
        return;
    }
    if (!supersedes(update, state)) {
        return;
    }
    logDecision(Events::OwnSuspicionRefuted,
                fmt::format("refuted an update about this daemon with incarnation {}", update.incarnation));
    raiseOwnIncarnation(update.incarnation, state.member.status);
}

void MembershipCore::Private::applyToMember(MemberState &state, const MemberUpdate &update)
{
    if (!update.isBrief() && update.incarnation >= state.incarnation) {
        state.member.failureDomain = update.failureDomain;
        state.member.address = update.address;
        state.member.peerAddress = update.peerAddress;
        m_isPublishDue = m_isPublishDue || state.member.cpuPercent != update.cpuPercent;
        state.member.cpuPercent = update.cpuPercent;
    }
    if (!supersedes(update, state)) {
        return;
    }
    const auto previousStatus = state.member.status;
    const bool isNewProcess = state.member.identity.boot != update.identity.boot;
    m_table.toggleDigest(state);
    state.member.identity = update.identity;
    state.member.status = update.status;
    state.incarnation = update.incarnation;
    m_table.toggleDigest(state);
    queueUpdate(state);
    const auto text = toString(state.member.identity);
    switch (update.status) {
    case MemberStatus::Alive:
        m_counters.refutations += previousStatus == MemberStatus::Suspect ? 1 : 0;
        logDecision(isNewProcess ? Events::MemberJoined : Events::MemberAlive, text);
        break;
    case MemberStatus::Suspect:
        state.statusDeadline = std::max(m_now + suspicionTime(), m_pauseGraceUntil);
        m_suspicionDeadlines.insert({state.statusDeadline, state.member.identity.name});
        break;
    case MemberStatus::Leaving:
        logDecision(Events::MemberLeaving, text);
        break;
    case MemberStatus::Dead:
        state.statusDeadline = m_now;
        logDecision(Events::MemberDead, text);
        break;
    }
}

void MembershipCore::Private::onVmList(const VmList &list)
{
    if (m_hasVmList && list.revision <= m_vmListRevision) {
        return; // unchanged or outdated
    }
    m_hasVmList = true;
    m_vmListRevision = list.revision;
    std::set<std::string> names;
    for (const auto &it : list.vms) {
        if (it.role != VmRole::Entry) {
            continue;
        }
        names.insert(it.name);
        onVmEntry(it);
    }
    for (auto &[name, state] : m_table.all()) {
        const bool isListed = names.count(name) != 0;
        m_isPublishDue = m_isPublishDue || state.member.listed != isListed;
        state.member.listed = isListed;
        state.isListedLeaving = state.isListedLeaving && isListed;
    }
    removeExpiredMembers();
}

void MembershipCore::Private::onVmEntry(const VmEntry &vm)
{
    const auto maxLength =
        std::max({vm.name.size(), vm.failureDomain.size(), vm.address.size(), vm.peerAddress.size()});
    if (vm.name.empty() || maxLength > maxMemberTextBytes) {
        ++m_counters.malformed; // exceeds the wire limits
        return;
    }
    auto *state = m_table.find(vm.name);
    if (state == nullptr) {
        if (m_table.size() >= m_settings.maxMembers) {
            ++m_counters.rejected;
            return;
        }
        state = &m_table.add(vm.name);
        m_isPublishDue = true;
        logDecision(Events::MemberJoined, fmt::format("{} added from the VM list", vm.name));
    }
    // Once the member has sent its own update (incarnation above 0), its addresses override the VM list's. A dead one
    // may have another process since, which this daemon has not heard.
    const bool isReplaced =
        state->member.status == MemberStatus::Dead && vm.boot != 0 && vm.boot != state->member.identity.boot;
    if (state->incarnation == 0 || isReplaced) {
        m_isPublishDue = m_isPublishDue || state->member.peerAddress != vm.peerAddress;
        state->member.failureDomain = vm.failureDomain;
        state->member.address = vm.address;
        state->member.peerAddress = vm.peerAddress;
        state->member.cpuPercent = vm.cpuPercent;
    }
    const bool isLeaving = vm.state == VmState::Leaving;
    m_isPublishDue = m_isPublishDue || state->isListedLeaving != isLeaving;
    state->isListedLeaving = isLeaving;
}

void MembershipCore::Private::removeExpiredMembers()
{
    std::vector<std::string> names;
    for (const auto &[name, state] : m_table.all()) {
        if (state.member.listed || state.member.status != MemberStatus::Dead
            || m_now - state.statusDeadline < m_settings.deadMemberRetention) {
            continue;
        }
        names.push_back(name);
    }
    for (const auto &it : names) {
        m_table.remove(it);
        m_updateQueue.remove(it);
        m_isPublishDue = true;
        logDecision(Events::MemberForgotten, it);
    }
}

}

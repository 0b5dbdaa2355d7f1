#include "membership/membership_p.h"

#include <algorithm>

#include <fmt/format.h>

#include "membership/events_p.h"

/// Messages and news of the membership core: what it says, and what it believes of what others say.
namespace Galenarock
{

namespace
{
/// Probes made for others that may be outstanding.
constexpr std::size_t maxRelays = 256;
/// Tables that a daemon gives out per second at most, and in a burst.
constexpr double tablesPerSecond = 2;
constexpr double tableBurst = 4;
}

std::vector<MemberUpdate> MembershipCore::Private::piggyback(const std::string &receiver, bool isBriefSelf)
{
    std::vector<MemberUpdate> updates{self().update(isBriefSelf)};
    std::size_t bytes = updates.front().size();
    // A member that is suspected or thought dead must hear of it, otherwise it cannot refute.
    const auto *known = m_table.find(receiver);
    if (known != nullptr && known->member.status != MemberStatus::Alive) {
        updates.push_back(known->update(true));
        bytes += updates.back().size();
    }
    m_updates.select(sendLimit(), [&](const std::string &name) {
        const auto *state = m_table.find(name);
        if (state == nullptr || name == m_settings.self.identity.name) {
            return true; // sent anyway, or forgotten
        }
        // The receiver of a death or suspicion knows the member, or does not need to.
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
    ProbeMessage message{sequence, target, piggyback(receiver, type == MemberMessage::Ack)};
    m_messages.emplace_back(SendPeerAction{receiver, type, Wire::encode(std::move(message))});
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
    m_messages.emplace_back(SendPeerAction{receiver, type, Wire::encode(std::move(message))});
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
        break; // another module's message
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
        apply(it);
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
    for (auto it = m_relays.begin(); it != m_relays.end(); ++it) {
        if (it->sequence != message.sequence) {
            continue;
        }
        const auto relay = std::move(*it);
        m_relays.erase(it);
        m_updates.add(sender); // what the probed member said about itself travels on with the acknowledgement
        sendProbe(relay.origin, MemberMessage::Ack, relay.originSequence);
        return;
    }
}

void MembershipCore::Private::onIndirectPing(const std::string &sender, const ProbeMessage &message)
{
    if (m_table.find(message.target) == nullptr) {
        return;
    }
    if (m_relays.size() >= maxRelays) {
        m_relays.pop_front();
    }
    m_relays.push_back({++m_sequence, sender, message.sequence});
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
        apply(it);
    }
    if (event.type != MemberMessage::TableQuery || message->digest == m_table.digest()) {
        return;
    }
    const std::chrono::duration<double> elapsed = m_now - m_creditAt;
    m_creditAt = m_now;
    m_tableCredit = std::min(tableBurst, m_tableCredit + elapsed.count() * tablesPerSecond);
    if (m_tableCredit < 1) {
        return;
    }
    m_tableCredit -= 1;
    sendTable(event.sender.name, MemberMessage::Table, true);
}

void MembershipCore::Private::apply(const MemberUpdate &update)
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
        applyToKnown(*known, update);
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
    added.member.listed = !m_hasVmList; // the list is asked again within a second
    applyToKnown(added, update);
}

void MembershipCore::Private::applyToSelf(const MemberUpdate &update)
{
    auto &state = self();
    if (update.identity.boot != state.member.identity.boot) {
        // An earlier process of this VM; its number must not outlive it.
        if (update.incarnation >= state.incarnation) {
            raiseOwn(update.incarnation, state.member.status);
        }
        return;
    }
    if (!supersedes(update, state)) {
        return;
    }
    decide(Events::OwnSuspicionRefuted, fmt::format("incarnation {}", update.incarnation));
    raiseOwn(update.incarnation, state.member.status);
}

void MembershipCore::Private::applyToKnown(MemberState &state, const MemberUpdate &update)
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
    const auto before = state.member.status;
    const bool isNew = state.member.identity.boot != update.identity.boot;
    m_table.toggleDigest(state);
    state.member.identity = update.identity;
    state.member.status = update.status;
    state.incarnation = update.incarnation;
    m_table.toggleDigest(state);
    changed(state);
    const auto text = toString(state.member.identity);
    switch (update.status) {
    case MemberStatus::Alive:
        m_counters.refutations += before == MemberStatus::Suspect ? 1 : 0;
        decide(isNew ? Events::MemberJoined : Events::MemberAlive, text);
        break;
    case MemberStatus::Suspect:
        state.changeAt = std::max(m_now + suspicionTime(), m_distrustUntil);
        m_suspicions.insert({state.changeAt, state.member.identity.name});
        break;
    case MemberStatus::Leaving:
        decide(Events::MemberLeaving, text);
        break;
    case MemberStatus::Dead:
        state.changeAt = m_now;
        decide(Events::MemberDead, text);
        break;
    }
}

void MembershipCore::Private::onVmList(const VmList &list)
{
    if (m_hasVmList && list.revision <= m_vmListRevision) {
        return; // unchanged, or an old copy
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
    forgetDead();
}

void MembershipCore::Private::onVmEntry(const VmEntry &vm)
{
    const auto longest = std::max({vm.name.size(), vm.failureDomain.size(), vm.address.size(), vm.peerAddress.size()});
    if (vm.name.empty() || longest > maxMemberTextBytes) {
        ++m_counters.malformed; // would not fit a message
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
        decide(Events::MemberJoined, fmt::format("{} by the VM list", vm.name));
    }
    // Addresses in a member's own words are newer than the list's.
    if (state->incarnation == 0) {
        state->member.failureDomain = vm.failureDomain;
        state->member.address = vm.address;
        state->member.peerAddress = vm.peerAddress;
        state->member.cpuPercent = vm.cpuPercent;
    }
    const bool isLeaving = vm.state == VmState::Leaving;
    m_isPublishDue = m_isPublishDue || state->isListedLeaving != isLeaving;
    state->isListedLeaving = isLeaving;
}

void MembershipCore::Private::forgetDead()
{
    std::vector<std::string> names;
    for (const auto &[name, state] : m_table.all()) {
        if (state.member.listed || state.member.status != MemberStatus::Dead
            || m_now - state.changeAt < m_settings.forgetTime) {
            continue;
        }
        names.push_back(name);
    }
    for (const auto &it : names) {
        m_table.remove(it);
        m_updates.remove(it);
        m_isPublishDue = true;
        decide(Events::MemberForgotten, it);
    }
}

}

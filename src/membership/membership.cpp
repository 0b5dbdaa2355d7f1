#include "membership/membership_p.h"

#include <algorithm>
#include <cmath>

#include <fmt/format.h>

#include "membership/events_p.h"

namespace Galenarock
{

namespace
{
/// Maximum attempts to select a suitable member; bounds the work of a tick when many members are dead.
constexpr int MaxPickAttempts = 32;
/// Interval of probes to a random dead member; they reconnect the two sides after a partition has healed.
constexpr Duration DeadProbeInterval = seconds(2);
/// Bandwidth of table synchronization, and the assumed size of a table entry; together they set the sync interval.
constexpr double SyncBytesPerSecond = 200;
constexpr double TableEntryBytes = 80;
constexpr Duration MinSyncInterval = seconds(5);
/// Interval of table queries to the seeds while no other member is known.
constexpr Duration JoinInterval = seconds(1);
/// Each member sends an update this factor times log10 of the number of members. Three times as many transmissions kept
/// 200 daemons at 3.7 KB/s for over a minute after a common start, and the updates did not spread faster.
constexpr double TransmissionFactor = 4;
/// The publish interval grows by one tick for every 200 members.
constexpr std::size_t MembersPerPublishTick = 200;
/// Members that are notified directly of a planned stop.
constexpr int StopAnnouncements = 8;
constexpr Duration TickInterval = milliseconds(50);
}

MembershipCore::Private::Private(MembershipSettings settings)
    : m_settings(std::move(settings))
    , m_table(m_settings.seed)
{
    auto &state = m_table.add(m_settings.self.identity.name);
    m_table.toggleDigest(state);
    state.member = m_settings.self;
    state.member.status = MemberStatus::Alive;
    state.member.listed = true;
    state.incarnation = m_settings.startIncarnation;
    m_table.toggleDigest(state);
    m_updateQueue.add(state.member.identity.name);
}

ControlActions MembershipCore::Private::step(Instant now, const ControlEvent &event)
{
    const auto before = std::exchange(m_now, now);
    if (!m_isStarted) {
        m_isStarted = true;
        m_tableTokensRefilledAt = now;
    } else if (now - before > m_settings.pauseThreshold) {
        onProcessPause();
    }
    if (std::holds_alternative<TickEvent>(event)) {
        onTick();
    } else if (const auto *vms = std::get_if<VmListEvent>(&event)) {
        onVmList(vms->list);
    } else if (const auto *peer = std::get_if<PeerEvent>(&event)) {
        onPeer(*peer);
    } else if (std::holds_alternative<StopEvent>(event)) {
        onStop();
    }
    return takeActions();
}

void MembershipCore::Private::onProcessPause()
{
    ++m_counters.pauses;
    logDecision(Events::OwnPause, "no event for longer than the pause threshold; raising suspicions is suspended");
    m_probes.clear();
    m_pauseGraceUntil = m_now + m_settings.pauseGracePeriod;
    // Refutations may still be queued, so running suspicions are extended to the end of the grace period.
    std::set<std::pair<Instant, std::string>> extended;
    for (const auto &[at, name] : m_suspicionDeadlines) {
        auto *state = m_table.find(name);
        if (state == nullptr || state->statusDeadline != at) {
            continue;
        }
        state->statusDeadline = std::max(at, m_pauseGraceUntil);
        extended.insert({state->statusDeadline, name});
    }
    m_suspicionDeadlines = std::move(extended);
}

void MembershipCore::Private::onTick()
{
    checkProbes();
    checkSuspicions();
    if (m_now >= m_nextProbe) {
        m_nextProbe = m_now + m_settings.probeInterval;
        startProbe();
    }
    if (m_now >= m_nextDeadProbe) {
        m_nextDeadProbe = m_now + DeadProbeInterval;
        probeDeadMember();
    }
    if (m_now >= m_nextSync) {
        startTableSync();
    }
}

MemberState *MembershipCore::Private::nextProbeTarget()
{
    for (int n = 0; n < MaxPickAttempts; ++n) {
        auto *state = m_table.nextInRound();
        if (state == nullptr) {
            return nullptr;
        }
        if (state->member.identity.name == m_settings.self.identity.name
            || state->member.status == MemberStatus::Dead) {
            continue;
        }
        return state;
    }
    return nullptr;
}

void MembershipCore::Private::startProbe()
{
    const auto *target = nextProbeTarget();
    if (target == nullptr) {
        return;
    }
    ++m_counters.probes;
    m_probes.push_back({target->member.identity.name, ++m_sequence, m_now, false});
    sendProbe(target->member.identity.name, MemberMessage::Ping, m_sequence);
}

void MembershipCore::Private::probeDeadMember()
{
    for (int n = 0; n < MaxPickAttempts; ++n) {
        const auto *state = m_table.randomMember();
        if (state == nullptr || state->member.status != MemberStatus::Dead) {
            continue;
        }
        // The ping piggybacks the receiver's Dead status, which a running member refutes.
        sendProbe(state->member.identity.name, MemberMessage::Ping, ++m_sequence);
        return;
    }
}

MemberState *MembershipCore::Private::randomAlive()
{
    for (int n = 0; n < MaxPickAttempts; ++n) {
        auto *state = m_table.randomMember();
        if (state->member.identity.name == m_settings.self.identity.name
            || state->member.status != MemberStatus::Alive) {
            continue;
        }
        return state;
    }
    return nullptr;
}

void MembershipCore::Private::checkProbes()
{
    while (!m_probes.empty() && m_now - m_probes.front().sentAt >= m_settings.probeTimeout) {
        const auto probe = std::move(m_probes.front());
        m_probes.pop_front();
        auto *state = m_table.find(probe.target);
        if (state != nullptr && m_now >= m_pauseGraceUntil) {
            suspect(*state);
        }
    }
    for (auto &it : m_probes) {
        if (it.isIndirect || m_now - it.sentAt < m_settings.directTimeout) {
            continue;
        }
        sendIndirectProbes(it);
    }
}

void MembershipCore::Private::sendIndirectProbes(Probe &probe)
{
    probe.isIndirect = true;
    for (std::size_t n = 0; n < m_settings.indirectProbes; ++n) {
        const auto *relay = randomAlive();
        if (relay == nullptr || relay->member.identity.name == probe.target) {
            continue;
        }
        ++m_counters.indirectProbes;
        sendProbe(relay->member.identity.name, MemberMessage::IndirectPing, probe.sequence, probe.target);
    }
}

void MembershipCore::Private::suspect(MemberState &state)
{
    if (state.member.status == MemberStatus::Leaving) {
        declareDead(state); // planned stop, no suspicion needed
        return;
    }
    if (state.member.status != MemberStatus::Alive) {
        return;
    }
    ++m_counters.suspicions;
    m_table.toggleDigest(state);
    state.member.status = MemberStatus::Suspect;
    m_table.toggleDigest(state);
    state.statusDeadline = m_now + suspicionTime();
    m_suspicionDeadlines.insert({state.statusDeadline, state.member.identity.name});
    logDecision(Events::MemberSuspected,
                fmt::format("{} did not acknowledge a probe in time", toString(state.member.identity)));
    queueUpdate(state);
}

void MembershipCore::Private::checkSuspicions()
{
    while (!m_suspicionDeadlines.empty() && m_suspicionDeadlines.begin()->first <= m_now) {
        const auto [at, name] = *m_suspicionDeadlines.begin();
        m_suspicionDeadlines.erase(m_suspicionDeadlines.begin());
        auto *state = m_table.find(name);
        if (state == nullptr || state->member.status != MemberStatus::Suspect || state->statusDeadline != at) {
            continue;
        }
        declareDead(*state);
    }
}

void MembershipCore::Private::declareDead(MemberState &state)
{
    ++m_counters.deaths;
    m_table.toggleDigest(state);
    state.member.status = MemberStatus::Dead;
    m_table.toggleDigest(state);
    state.statusDeadline = m_now;
    logDecision(Events::MemberDead, toString(state.member.identity));
    queueUpdate(state);
}

void MembershipCore::Private::queueUpdate(MemberState &state)
{
    m_updateQueue.add(state.member.identity.name);
    m_isPublishDue = true;
}

void MembershipCore::Private::raiseOwnIncarnation(std::uint64_t atLeast, MemberStatus status)
{
    auto &state = self();
    m_table.toggleDigest(state);
    state.incarnation = std::max(state.incarnation, atLeast) + 1;
    state.member.status = status;
    m_table.toggleDigest(state);
    queueUpdate(state);
}

void MembershipCore::Private::onStop()
{
    raiseOwnIncarnation(0, MemberStatus::Leaving);
    for (int n = 0; n < StopAnnouncements; ++n) {
        const auto *receiver = randomAlive();
        if (receiver == nullptr) {
            return;
        }
        sendProbe(receiver->member.identity.name, MemberMessage::Ping, ++m_sequence);
    }
}

void MembershipCore::Private::startTableSync()
{
    const auto *peer = randomAlive();
    m_nextSync = m_now + (peer == nullptr ? JoinInterval : syncInterval());
    if (peer != nullptr) {
        sendTable(peer->member.identity.name, MemberMessage::TableQuery, false);
        return;
    }
    if (!m_settings.seeds.empty()) {
        sendTable(m_settings.seeds[m_table.randomBelow(m_settings.seeds.size())], MemberMessage::TableQuery, false);
    }
}

Duration MembershipCore::Private::suspicionTime() const
{
    const auto scale = std::max(1.0, std::log10(static_cast<double>(m_table.size())));
    const std::chrono::duration<double> interval = m_settings.probeInterval;
    return duration_cast<Duration>(interval * m_settings.suspicionFactor * scale);
}

Duration MembershipCore::Private::publishInterval() const
{
    return TickInterval * (m_table.size() / MembersPerPublishTick);
}

Duration MembershipCore::Private::syncInterval() const
{
    const auto bytes = TableEntryBytes * static_cast<double>(m_table.size());
    const auto interval = duration_cast<Duration>(std::chrono::duration<double>(bytes / SyncBytesPerSecond));
    return std::max(interval, MinSyncInterval);
}

std::size_t MembershipCore::Private::maxTransmissions() const
{
    return static_cast<std::size_t>(
        std::ceil(TransmissionFactor * std::log10(static_cast<double>(m_table.size()) + 1)));
}

void MembershipCore::Private::logDecision(const EventType &event, std::string text)
{
    m_actions.emplace_back(DecisionAction{event, {}, {}, std::move(text)});
}

ControlActions MembershipCore::Private::takeActions()
{
    auto actions = std::exchange(m_actions, {});
    if (!m_isPublishDue || m_now - m_lastPublished < publishInterval()) {
        return actions;
    }
    m_isPublishDue = false;
    m_lastPublished = m_now;
    // The table comes before the messages: the transport needs the receivers' addresses to send them.
    actions.insert(actions.begin(), PublishMembersAction{m_table.publishedMembers()});
    return actions;
}

MembershipCore::MembershipCore(MembershipSettings settings)
    : m_data(std::make_unique<Private>(std::move(settings)))
{
}

MembershipCore::~MembershipCore() = default;
MembershipCore::MembershipCore(MembershipCore &&) noexcept = default;
MembershipCore &MembershipCore::operator=(MembershipCore &&) noexcept = default;

ControlActions MembershipCore::step(Instant now, const ControlEvent &event)
{
    return m_data->step(now, event);
}

std::vector<Member> MembershipCore::members() const
{
    return m_data->m_table.publishedMembers();
}

const MembershipCounters &MembershipCore::counters() const
{
    return m_data->m_counters;
}

std::uint64_t MembershipCore::incarnation() const
{
    return m_data->self().incarnation;
}

}

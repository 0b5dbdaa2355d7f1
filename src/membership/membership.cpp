#include "membership/membership_p.h"

#include <algorithm>
#include <cmath>

#include <fmt/format.h>

#include "membership/events_p.h"

namespace Galenarock
{

namespace
{
/// Attempts to find a suitable member at random or in the round; bounds the work of a tick when many are dead.
constexpr int pickAttempts = 32;
/// Interval of probes to one dead member, which find each other again after a partition.
constexpr Duration deadProbeInterval = seconds(2);
/// Bytes per second that table comparisons may cost, and the size of a table entry.
constexpr double syncBytesPerSecond = 200;
constexpr double tableEntryBytes = 80;
constexpr Duration shortestSyncInterval = seconds(5);
/// Interval of table queries while no other member is known.
constexpr Duration joinInterval = seconds(1);
/// Times that an update is sent by one member: this factor times log10 of the number of members. Three times as many
/// sends kept 200 daemons at 3.7 KB/s for over a minute after a common start, without reaching them earlier.
constexpr double sendFactor = 4;
/// Members per published table at full tick rate.
constexpr std::size_t publishStep = 200;
/// Members that learn of a planned stop directly.
constexpr int stopAnnouncements = 8;
constexpr Duration tick = milliseconds(50);
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
    m_updates.add(state.member.identity.name);
}

ControlActions MembershipCore::Private::step(Instant now, const ControlEvent &event)
{
    const auto before = std::exchange(m_now, now);
    if (!m_isStarted) {
        m_isStarted = true;
        m_creditAt = now;
    } else if (now - before > m_settings.pauseThreshold) {
        notePause();
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

void MembershipCore::Private::notePause()
{
    ++m_counters.pauses;
    decide(Events::OwnPause, "no event for a while; own suspicions are not raised for now");
    m_probes.clear();
    m_distrustUntil = m_now + m_settings.distrustTime;
    // Refutations may be among the messages that are still queued.
    std::set<std::pair<Instant, std::string>> later;
    for (const auto &[at, name] : m_suspicions) {
        auto *state = m_table.find(name);
        if (state == nullptr || state->changeAt != at) {
            continue;
        }
        state->changeAt = std::max(at, m_distrustUntil);
        later.insert({state->changeAt, name});
    }
    m_suspicions = std::move(later);
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
        m_nextDeadProbe = m_now + deadProbeInterval;
        probeDead();
    }
    if (m_now >= m_nextSync) {
        syncTable();
    }
}

MemberState *MembershipCore::Private::nextTarget()
{
    for (int n = 0; n < pickAttempts; ++n) {
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
    const auto *target = nextTarget();
    if (target == nullptr) {
        return;
    }
    ++m_counters.probes;
    m_probes.push_back({target->member.identity.name, ++m_sequence, m_now, false});
    sendProbe(target->member.identity.name, MemberMessage::Ping, m_sequence);
}

void MembershipCore::Private::probeDead()
{
    for (int n = 0; n < pickAttempts; ++n) {
        const auto *state = m_table.random();
        if (state == nullptr || state->member.status != MemberStatus::Dead) {
            continue;
        }
        // The message carries the report of its death, which a living member refutes.
        sendProbe(state->member.identity.name, MemberMessage::Ping, ++m_sequence);
        return;
    }
}

MemberState *MembershipCore::Private::randomAlive()
{
    for (int n = 0; n < pickAttempts; ++n) {
        auto *state = m_table.random();
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
        if (state != nullptr && m_now >= m_distrustUntil) {
            suspect(*state);
        }
    }
    for (auto &it : m_probes) {
        if (it.isIndirect || m_now - it.sentAt < m_settings.directTimeout) {
            continue;
        }
        askOthers(it);
    }
}

void MembershipCore::Private::askOthers(Probe &probe)
{
    probe.isIndirect = true;
    for (std::size_t n = 0; n < m_settings.indirectProbes; ++n) {
        const auto *helper = randomAlive();
        if (helper == nullptr || helper->member.identity.name == probe.target) {
            continue;
        }
        ++m_counters.indirectProbes;
        sendProbe(helper->member.identity.name, MemberMessage::IndirectPing, probe.sequence, probe.target);
    }
}

void MembershipCore::Private::suspect(MemberState &state)
{
    if (state.member.status == MemberStatus::Leaving) {
        declareDead(state); // it announced its stop
        return;
    }
    if (state.member.status != MemberStatus::Alive) {
        return;
    }
    ++m_counters.suspicions;
    m_table.toggleDigest(state);
    state.member.status = MemberStatus::Suspect;
    m_table.toggleDigest(state);
    state.changeAt = m_now + suspicionTime();
    m_suspicions.insert({state.changeAt, state.member.identity.name});
    decide(Events::MemberSuspected, fmt::format("{} did not answer", toString(state.member.identity)));
    changed(state);
}

void MembershipCore::Private::checkSuspicions()
{
    while (!m_suspicions.empty() && m_suspicions.begin()->first <= m_now) {
        const auto [at, name] = *m_suspicions.begin();
        m_suspicions.erase(m_suspicions.begin());
        auto *state = m_table.find(name);
        if (state == nullptr || state->member.status != MemberStatus::Suspect || state->changeAt != at) {
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
    state.changeAt = m_now;
    decide(Events::MemberDead, toString(state.member.identity));
    changed(state);
}

void MembershipCore::Private::changed(MemberState &state)
{
    m_updates.add(state.member.identity.name);
    m_isPublishDue = true;
}

void MembershipCore::Private::raiseOwn(std::uint64_t atLeast, MemberStatus status)
{
    auto &state = self();
    m_table.toggleDigest(state);
    state.incarnation = std::max(state.incarnation, atLeast) + 1;
    state.member.status = status;
    m_table.toggleDigest(state);
    changed(state);
}

void MembershipCore::Private::onStop()
{
    raiseOwn(0, MemberStatus::Leaving);
    for (int n = 0; n < stopAnnouncements; ++n) {
        const auto *receiver = randomAlive();
        if (receiver == nullptr) {
            return;
        }
        sendProbe(receiver->member.identity.name, MemberMessage::Ping, ++m_sequence);
    }
}

void MembershipCore::Private::syncTable()
{
    const auto *peer = randomAlive();
    m_nextSync = m_now + (peer == nullptr ? joinInterval : syncInterval());
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
    return tick * (m_table.size() / publishStep);
}

Duration MembershipCore::Private::syncInterval() const
{
    const auto bytes = tableEntryBytes * static_cast<double>(m_table.size());
    const auto interval = duration_cast<Duration>(std::chrono::duration<double>(bytes / syncBytesPerSecond));
    return std::max(interval, shortestSyncInterval);
}

std::size_t MembershipCore::Private::sendLimit() const
{
    return static_cast<std::size_t>(std::ceil(sendFactor * std::log10(static_cast<double>(m_table.size()) + 1)));
}

void MembershipCore::Private::decide(const EventType &event, std::string text)
{
    m_messages.emplace_back(DecisionAction{event, {}, {}, std::move(text)});
}

ControlActions MembershipCore::Private::takeActions()
{
    auto actions = std::exchange(m_messages, {});
    if (!m_isPublishDue || m_now - m_lastPublished < publishInterval()) {
        return actions;
    }
    m_isPublishDue = false;
    m_lastPublished = m_now;
    // The table comes first, so that the transport knows the addresses of the messages' receivers.
    actions.insert(actions.begin(), PublishMembersAction{m_table.published()});
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
    return m_data->m_table.published();
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

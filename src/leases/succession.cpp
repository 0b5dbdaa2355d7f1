#include "controller_p.h"

#include <algorithm>

#include <fmt/format.h>

#include "events_p.h"

/// Who leads a service: the order of succession, the takeover, and which earlier leaders may still order.
namespace Galenarock
{

namespace
{
/// Daemons whose turn comes one after the other. Behind them, each waits for a random time: when a herd of daemons is
/// lost, the others must not wait for the turn of every one of them.
constexpr std::ptrdiff_t LongestSuccession = 6;
constexpr std::uint64_t LateSuccessionMs = 600;
/// A leader that lives renews its record within this time, unless the store is away.
constexpr Duration SilentRecord = milliseconds(1'700);
/// At the first start of a deployment the servers are divided once they have all registered, instead of a move for
/// each one that appears.
constexpr Duration FirstDivisionQuiet = milliseconds(500);
constexpr Duration FirstDivisionLatest = seconds(3);
}

void LeaseController::Private::drawLateSuccession()
{
    m_lateSuccession = milliseconds(randomNonce() % LateSuccessionMs);
}

/// Daemons that come earlier in the order of succession: large VMs first, since a leader orders, plans and sends for
/// the whole fleet; then by name.
std::ptrdiff_t LeaseController::Private::successorsAhead() const
{
    const auto self = std::find_if(m_members.begin(), m_members.end(),
                                   [&](const Member &it) { return it.identity.name == m_settings.self.name; });
    const int cpuPercent = self == m_members.end() ? 0 : self->cpuPercent;
    return std::count_if(m_members.begin(), m_members.end(), [&](const Member &it) {
        const bool isBefore = std::make_tuple(-int(it.cpuPercent), std::cref(it.identity.name))
            < std::make_tuple(-cpuPercent, std::cref(m_settings.self.name));
        return it.status == MemberStatus::Alive && isBefore && it.identity.name != m_leaderName;
    });
}

Duration LeaseController::Private::takeoverDelay() const
{
    const auto ahead = successorsAhead();
    const auto steps = std::min(ahead, LongestSuccession);
    return m_settings.takeoverAfter + steps * m_settings.takeoverStagger
        + (ahead > steps ? m_lateSuccession : Duration());
}

/// Of many small VMs some are always slow to read their messages. One that missed the leader must not take its lead.
bool LeaseController::Private::isLateSuccessor() const
{
    return successorsAhead() > LongestSuccession;
}

void LeaseController::Private::noteSilentRecord()
{
    if (m_silentVersion != m_recordVersion) {
        m_silentVersion = m_recordVersion;
        m_silentSince = m_now;
    }
}

void LeaseController::Private::follow()
{
    if (m_servers.empty() || m_role == LeaseRole::Candidate) {
        return;
    }
    const bool isWatching = isLateSuccessor() && m_now - m_leaderHeardAt >= m_settings.takeoverAfter
        && m_now - m_silentSince >= SilentRecord;
    if (isWatching || m_now - m_leaderHeardAt >= takeoverDelay()) {
        readRecord();
    }
}

void LeaseController::Private::tryTakeOver()
{
    noteSilentRecord();
    const bool isRecordSilent = !m_record || !isLateSuccessor() || m_now - m_silentSince >= SilentRecord;
    const bool isDue = m_now - m_leaderHeardAt >= takeoverDelay() && isRecordSilent;
    if (!isDue || m_isStopping || m_role != LeaseRole::Follower || m_servers.empty() || m_openWrite != 0) {
        return;
    }
    LeaseRecord record;
    if (m_record) {
        record = *m_record;
    } else {
        const bool isSettled =
            m_now - m_serversChangedAt >= FirstDivisionQuiet || m_now - m_serversKnownAt >= FirstDivisionLatest;
        if (!isSettled) {
            return;
        }
        record.service = m_settings.service;
        record.ranges = evenRanges();
        if (record.ranges.empty()) {
            return;
        }
    }
    ++record.epoch;
    if (m_soleEpoch + 1 == record.epoch) {
        record.former.clear(); // its leader knew that they had stopped
    }
    if (!record.leader.name.empty()) {
        record.former.push_back(record.leader);
    }
    // An earlier process of this VM has ended.
    record.former.erase(std::remove_if(record.former.begin(), record.former.end(),
                                       [&](const Identity &it) { return it.name == m_settings.self.name; }),
                        record.former.end());
    record.leader = m_settings.self;
    m_role = LeaseRole::Candidate;
    writeRecord(record);
}

std::vector<RecordedRange> LeaseController::Private::evenRanges() const
{
    std::vector<const LeaseServer *> usable;
    double slots = 0;
    for (const auto &it : m_servers) {
        if (it.leaving) {
            continue;
        }
        usable.push_back(&it);
        slots += it.slots;
    }
    std::vector<RecordedRange> ranges;
    KeyHash first = 0;
    double before = 0;
    for (const auto *it : usable) {
        before += it->slots;
        const bool isLast = it == usable.back();
        const KeyHash minRanges = ~KeyHash(0) / m_settings.minRangeWidth + 1;
        const auto end =
            static_cast<KeyHash>(before / slots * static_cast<double>(minRanges)) * m_settings.minRangeWidth;
        const KeyHash last = isLast ? ~KeyHash(0) : end - 1;
        ranges.push_back({{first, last}, {}, it->identity});
        first = last + 1;
    }
    return ranges;
}

void LeaseController::Private::becomeLeader()
{
    m_role = LeaseRole::Leader;
    m_isTableStale = true;
    m_epoch = m_record->epoch;
    m_leaderName = m_settings.self.name;
    m_nextSequence = 1;
    m_former = m_record->former;
    m_predecessorBound = termEnd(m_now + m_settings.leadershipTimeout);
    std::vector<LeaseSlice> slices;
    for (const auto &it : m_record->ranges) {
        LeaseSlice slice;
        slice.range = it.range;
        slice.holder = it.holder.name.empty() ? it.next : it.holder;
        slice.holdsUntil = m_predecessorBound;
        slice.unansweredUntil = m_predecessorBound;
        slice.changedAt = m_now;
        if (!it.holder.name.empty() && !it.next.name.empty()) {
            slice.target = it.next;
            slice.targetHoldsUntil = m_predecessorBound;
        }
        slices.push_back(std::move(slice));
    }
    m_slices.clear();
    m_slices.assign(std::move(slices));
    if (m_former.empty()) {
        limitToOneTerm();
    }
    dropReplacedLeaders();
    m_nextPlanAt = m_now;
    m_nextAnnounceAt = m_now;
    m_positions.clear();
    m_loadSince = m_now;
    decide(LeaseEvents::LeadTaken, {},
           fmt::format("epoch {}, {} earlier leaders may still order", m_epoch, m_former.size()));
    lead();
}

/// Nobody else orders any more: what servers hold ends within one term.
void LeaseController::Private::limitToOneTerm()
{
    m_slices.limitPossible(termEnd(m_now));
}

void LeaseController::Private::stoppedOrdering(const std::function<bool(const Identity &)> &hasStopped)
{
    if (m_role != LeaseRole::Leader || m_former.empty()) {
        return;
    }
    m_former.erase(std::remove_if(m_former.begin(), m_former.end(), hasStopped), m_former.end());
    if (m_former.empty()) {
        limitToOneTerm();
    }
}

/// An earlier leader whose VM runs a later process has stopped ordering. A process that was never seen may be the later
/// one: then this daemon's member table is behind.
void LeaseController::Private::dropReplacedLeaders()
{
    stoppedOrdering([&](const Identity &former) {
        return std::any_of(m_members.begin(), m_members.end(), [&](const Member &it) {
            return m_knownProcesses.count(former) > 0 && it.identity.name == former.name
                && it.identity.boot != former.boot && it.identity.boot != 0 && it.status == MemberStatus::Alive;
        });
    });
}

void LeaseController::Private::loseLead(const std::string &why)
{
    decide(LeaseEvents::LeadLost, {}, why);
    m_role = LeaseRole::Follower;
    m_isHandedOver = m_isStopping;
    m_leaderHeardAt = m_now;
    m_slices.clear();
}

}

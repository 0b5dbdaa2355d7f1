#include "controller_p.h"

#include <algorithm>

#include <fmt/format.h>

#include "events_p.h"

/// Leader election of a service: the takeover order, the takeover, and earlier leaders that may still send lease calls.
namespace Galenarock
{

namespace
{
/// Number of daemons with staggered takeover delays. Later ones add a random time to the longest of these delays: when
/// many daemons fail at once, a survivor must not wait for the turn of each of them.
constexpr std::ptrdiff_t MaxStaggeredDaemons = 6;
constexpr std::uint64_t MaxLateTakeoverDelayMs = 600;
/// A running leader renews its record within this time, unless the store is unavailable.
constexpr Duration RecordRenewalTimeout = milliseconds(1'700);
/// The epochs of a successor that cannot know the last one begin at the era times two to this power, above all epochs
/// of earlier eras.
constexpr unsigned EpochBitsPerEra = 16;
/// Era of a store that has never been restored.
constexpr std::uint64_t FirstEra = 1;
/// Time for which all members must have been alive before no unknown leader is left: a member that does not answer is
/// suspected earlier, and one that does has heard this leader and stopped.
constexpr Duration UnknownLeaderSilence = seconds(3);
/// Takeovers that follow each other within this time count as quick: a daemon takes over after 0.65 s to 2.3 s.
constexpr Duration QuickChangeTime = seconds(5);
/// One leader that is lost, and a successor that is lost as well, are no contest.
constexpr std::uint32_t MaxQuickChanges = 3;
/// Time without a change of the leader after which a contest is over for daemons that hear the leader.
constexpr Duration ContestMemory = seconds(60);
/// At the first start of a deployment the ranges are divided once the list of servers is stable, which avoids a move
/// for each server that registers.
constexpr Duration FirstDivisionQuiet = milliseconds(500);
/// Age up to which a report shows that another daemon reaches servers; reports come each 250 ms.
constexpr Duration ContactReportLifetime = milliseconds(500);
constexpr Duration FirstDivisionLatest = seconds(3);
/// Longest time from the sending of a load report to its arrival in a sound connection.
constexpr Duration ReportDelay = milliseconds(100);
/// Time before the first grants at which the record is read as evidence for them.
constexpr Duration ProofReadAhead = milliseconds(100);
/// A VM outranks the leader when its share of processor time is so many times as large.
constexpr int OutrankFactor = 2;
/// Time for which a VM must have led before it hands the lead over to a larger one.
constexpr Duration LeadBeforeHandover = seconds(2);
/// Time after such a handover before this VM begins another one: the larger VM may not have been able to take the lead.
constexpr Duration RepeatedHandoverInterval = seconds(60);
/// Time after the last announcement that asks for a successor for which the request holds.
constexpr Duration SuccessorRequestLifetime = milliseconds(500);
}

void LeaseController::Private::drawLateTakeoverDelay()
{
    m_lateTakeoverDelay = milliseconds(randomNonce() % MaxLateTakeoverDelayMs);
}

/// Number of daemons that precede this one in the takeover order: by size of the VM, since a leader plans and sends
/// lease calls and tables for the whole fleet; then by name.
std::ptrdiff_t LeaseController::Private::daemonsAhead() const
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

Duration LeaseController::Private::takeoverTurn() const
{
    const auto ahead = daemonsAhead();
    const auto steps = std::min(ahead, MaxStaggeredDaemons);
    return steps * m_settings.takeoverStagger + (ahead > steps ? m_lateTakeoverDelay : Duration());
}

Duration LeaseController::Private::takeoverDelay() const
{
    return m_settings.takeoverAfter + takeoverTurn()
        + (m_reachesServers ? Duration() : m_settings.unreachableTakeoverDelay);
}

bool LeaseController::Private::wantsSuccessor() const
{
    return m_role == LeaseRole::Leader && m_writesFailSince != Instant()
        && m_now - m_writesFailSince >= m_settings.successorAfter;
}

void LeaseController::Private::noteSuccessorWanted(const LeaseNotice &notice)
{
    if (!notice.wantsSuccessor) {
        m_successorWantedEpoch = 0;
        return;
    }
    m_successorWantedSince = m_successorWantedEpoch == notice.epoch ? m_successorWantedSince : m_now;
    m_successorWantedEpoch = notice.epoch;
    m_successorWantedAt = m_now;
}

/// The lead is taken through the record as from a leader that is silent: the former one is heard to stop, or its grants
/// end, before another server is granted a range.
bool LeaseController::Private::isSuccessionDue() const
{
    const bool isWanted = m_successorWantedEpoch != 0 && m_successorWantedEpoch == m_seenEpoch
        && m_now - m_successorWantedAt < SuccessorRequestLifetime;
    const bool isStoreSound = m_reachesStore && m_now - m_storeReachedSince >= m_settings.storeContactBeforeSuccession;
    return isWanted && isStoreSound && m_reachesServers && m_now - m_successorWantedSince >= takeoverTurn();
}

/// Daemons far back in the takeover order also need an unchanged record before they take over. Among many small VMs
/// some are slow to read messages, and one that missed announcements must not replace a running leader.
bool LeaseController::Private::isLateInTakeoverOrder() const
{
    return daemonsAhead() > MaxStaggeredDaemons;
}

void LeaseController::Private::trackUnchangedRecord()
{
    if (m_unchangedVersion != m_recordVersion) {
        m_unchangedVersion = m_recordVersion;
        m_unchangedSince = m_now;
    }
}

/// Whether most of the known daemons are alive for this one and have been heard, themselves or through others: one that
/// is only listed has no boot number yet.
bool LeaseController::Private::isOfMajority() const
{
    const auto alive = std::count_if(m_members.begin(), m_members.end(), [](const Member &it) {
        return it.status == MemberStatus::Alive && it.identity.boot != 0;
    });
    return 2 * static_cast<std::size_t>(alive) > m_members.size();
}

/// Whether the silence of the leader is no evidence that it has stopped, so that only a record that stays unchanged is.
///
/// A leader that this daemon has never heard wrote the record, so it runs, or did; in the minority of a partition that
/// is all there is to know. In a restored store without a record the leader may be about to write it again. And where
/// leaders follow each other quickly, daemons do not hear each other, whatever the cause and whoever is right: each
/// would take the lead again.
bool LeaseController::Private::isRecordDecisive() const
{
    if (!m_record) {
        return m_storeEra > FirstEra && m_heardEpoch == 0;
    }
    if (m_record->leader.name.empty() || m_record->leader.name == m_settings.self.name) {
        return false;
    }
    const bool isUnheard = m_heardEpoch < m_record->epoch;
    const bool isContested = m_quickChanges >= MaxQuickChanges && (isUnheard || m_now - m_changeSeenAt < ContestMemory);
    return isContested || (isUnheard && !isOfMajority());
}

/// Counts the takeovers since the epoch that this daemon knew, unless the last leader had handed its lead over.
void LeaseController::Private::noteTakeovers(std::uint32_t epoch, const std::string &leader)
{
    const auto known = std::max(m_record ? m_record->epoch : 0, m_heardEpoch);
    const bool isHandedOver =
        m_stoppedEpoch == known || (m_record && m_record->epoch == known && m_record->leader.name.empty());
    if (known == 0 || epoch <= known || isHandedOver || leader == m_leaderName) {
        return;
    }
    // The epoch rises by one with each takeover, but leaps in a restored store.
    const bool hasLeapt = epoch >> EpochBitsPerEra != known >> EpochBitsPerEra;
    noteChanges(hasLeapt ? 1 : epoch - known);
}

/// Once takeovers that follow each other quickly are a contest, later ones belong to it.
void LeaseController::Private::noteChanges(std::uint32_t count)
{
    const auto age = m_now - m_changeSeenAt;
    const bool isContinued = age < QuickChangeTime || (m_quickChanges >= MaxQuickChanges && age < ContestMemory);
    m_quickChanges = std::min((isContinued ? m_quickChanges : 0) + count, MaxQuickChanges);
    m_changeSeenAt = m_now;
}

void LeaseController::Private::runAsFollower()
{
    if (m_servers.empty() || m_role == LeaseRole::Candidate) {
        return;
    }
    if (m_record && isRecordDecisive() && m_now - m_unchangedSince < RecordRenewalTimeout) {
        return; // an earlier read decides nothing
    }
    const bool isRecordReadDue = isLateInTakeoverOrder() && m_now - m_leaderHeardAt >= m_settings.takeoverAfter
        && m_now - m_unchangedSince >= RecordRenewalTimeout;
    if (isRecordReadDue || isSuccessionDue() || m_now - m_leaderHeardAt >= takeoverDelay()) {
        readRecord();
    }
}

void LeaseController::Private::tryTakeOver()
{
    trackUnchangedRecord();
    const bool mustBeUnchanged = isRecordDecisive() || (m_record && isLateInTakeoverOrder());
    const bool isRecordUnchanged = !mustBeUnchanged || m_now - m_unchangedSince >= RecordRenewalTimeout;
    const bool isLeaderLost = isSuccessionDue() || m_now - m_leaderHeardAt >= takeoverDelay();
    const bool isDue = isLeaderLost && isRecordUnchanged;
    if (!isDue || m_isStopping || m_role != LeaseRole::Follower || m_servers.empty() || m_openWrite != 0) {
        return;
    }
    LeaseRecord record;
    if (m_record) {
        record = isOutdated(*m_record) ? distrusted(*m_record) : *m_record;
    } else {
        const bool isSettled =
            m_now - m_serversChangedAt >= FirstDivisionQuiet || m_now - m_serversKnownAt >= FirstDivisionLatest;
        if (!isSettled) {
            return;
        }
        record.service = m_settings.service;
        record.ranges = initialRanges();
        if (record.ranges.empty()) {
            return;
        }
        const bool mayBeLost = m_seenEpoch > 0 || m_storeEra > FirstEra;
        record = mayBeLost ? distrusted(record) : record;
    }
    // The last leader announced that they have stopped. An unknown one may have come up since, after a restore.
    const bool hasUnknown =
        std::find(record.former.begin(), record.former.end(), UnknownProcess) != record.former.end();
    if (hasUnknown) {
        record.epoch = std::max(record.epoch, lastEarlierEpoch());
    }
    ++record.epoch;
    record.era = m_storeEra;
    if (m_soleEpoch + 1 == record.epoch && !hasUnknown) {
        record.former.clear();
    }
    if (!record.leader.name.empty()) {
        record.former.push_back(record.leader);
    }
    // Earlier processes of this VM have ended.
    record.former.erase(std::remove_if(record.former.begin(), record.former.end(),
                                       [&](const Identity &it) { return it.name == m_settings.self.name; }),
                        record.former.end());
    record.leader = m_settings.self;
    m_role = LeaseRole::Candidate;
    m_wasCandidate = true;
    writeRecord(record);
}

/// The record as a successor may use it that knows neither the last leader's record nor whether there was a later
/// leader: any server may hold each range, and the epoch is higher than any that can have been used.
LeaseRecord LeaseController::Private::distrusted(LeaseRecord record) const
{
    const auto lastLeader = std::find_if(m_members.begin(), m_members.end(), [&](const Member &it) {
        return m_heardEpoch > 0 && it.identity.name == m_leaderName && it.identity != record.leader;
    });
    if (lastLeader != m_members.end()) {
        record.former.push_back(lastLeader->identity);
    }
    // One that this daemon has not heard may have followed.
    record.former.push_back(UnknownProcess);
    record.epoch = std::max({record.epoch, m_seenEpoch, lastEarlierEpoch()});
    for (auto &it : record.ranges) {
        it.next = it.holder.name.empty() ? it.next : it.holder;
        it.holder = UnknownProcess;
    }
    return record;
}

std::vector<RecordedRange> LeaseController::Private::initialRanges() const
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
    m_tokenEpoch = m_epoch;
    m_leaderName = m_settings.self.name;
    m_leadingSince = m_now;
    m_leadProof.reset();
    m_leadProof.confirmed(m_writeSentAt);
    m_formerProofEndsAt =
        std::max(m_now + LeadProof::StoreLifetime, m_reportedAt + LeadProof::ReportLifetime + ReportDelay);
    m_nextReadAt = m_formerProofEndsAt - ProofReadAhead;
    m_nextSequence = 1;
    m_writesFailSince = {};
    m_contactReportedAt.clear();
    m_unresolvedWrites.clear();
    m_mayHandOver = m_reachesServers; // otherwise no other daemon took the lead
    m_former = m_record->former;
    m_formerGrantsEndAt = latestGrantEnd(m_now + m_settings.leadershipTimeout);
    std::vector<LeaseSlice> slices;
    for (const auto &it : m_record->ranges) {
        LeaseSlice slice;
        slice.range = it.range;
        slice.holder = it.holder.name.empty() ? it.next : it.holder;
        slice.holdsUntil = m_formerGrantsEndAt;
        slice.unansweredUntil = m_formerGrantsEndAt;
        slice.changedAt = m_now;
        if (!it.holder.name.empty() && !it.next.name.empty()) {
            slice.target = it.next;
            slice.targetHoldsUntil = m_formerGrantsEndAt;
        }
        slices.push_back(std::move(slice));
    }
    m_slices.clear();
    m_slices.assign(std::move(slices));
    adoptRestarts();
    if (m_former.empty()) {
        limitToOneGrant();
    }
    dropReplacedLeaders();
    m_nextPlanAt = m_now;
    m_nextAnnounceAt = m_now;
    m_positions.clear();
    m_hotRanges.clear();
    m_loadSince = m_now;
    decide(LeaseEvents::LeadershipTaken, {},
           fmt::format("epoch {}, {} earlier leaders may still send lease calls", m_epoch, m_former.size()));
    runAsLeader();
}

/// Called when no earlier leader makes lease calls any more: all of their grants expire within one grant duration from
/// the time at which the last call that waits in its process can be sent.
void LeaseController::Private::limitToOneGrant()
{
    m_slices.limitGrantEnds(latestGrantEnd(m_now));
}

bool LeaseController::Private::mayFormerLeaderGrant() const
{
    return !m_former.empty() && m_now < m_formerProofEndsAt;
}

void LeaseController::Private::removeFormerLeaders(const std::function<bool(const Identity &)> &hasStopped)
{
    if (m_role != LeaseRole::Leader || m_former.empty()) {
        return;
    }
    m_former.erase(std::remove_if(m_former.begin(), m_former.end(), hasStopped), m_former.end());
    if (m_former.empty()) {
        limitToOneGrant();
    }
}

/// An earlier leader has ended when its VM runs another process. This applies only to processes that this daemon has
/// seen: an unseen one may be newer than the process in a member table that is not up to date.
void LeaseController::Private::dropReplacedLeaders()
{
    removeFormerLeaders([&](const Identity &former) {
        return std::any_of(m_members.begin(), m_members.end(), [&](const Member &it) {
            return m_knownProcesses.count(former) > 0 && it.identity.name == former.name
                && it.identity.boot != former.boot && it.identity.boot != 0 && it.status == MemberStatus::Alive;
        });
    });
}

/// Another daemon may have taken over in the time that the store has lost, if it did not hear this one. Only the grants
/// that servers have accepted from this daemon are renewed until that is out of the question.
void LeaseController::Private::suspectUnknownLeader()
{
    m_formerGrantsEndAt = latestGrantEnd(m_now + m_settings.leadershipTimeout);
    m_leadingSince = m_now;
    if (std::find(m_former.begin(), m_former.end(), UnknownProcess) == m_former.end()) {
        m_former.push_back(UnknownProcess);
    }
    for (const auto &it : m_slices.all()) {
        m_slices.addPossibleHolder({it.range, UnknownProcess, m_formerGrantsEndAt});
    }
}

/// An unknown earlier leader is a member that this daemon does not hear. When it has heard all of them for a while,
/// there is none.
bool LeaseController::Private::isUnknownLeaderGone() const
{
    const auto isQuiet = m_now - std::max(m_leadingSince, m_allAliveSince) >= UnknownLeaderSilence;
    return m_allAliveSince != Instant() && isQuiet;
}

void LeaseController::Private::dropUnknownLeader()
{
    if (isUnknownLeaderGone()) {
        removeFormerLeaders([](const Identity &it) { return it == UnknownProcess; });
    }
}

std::uint32_t LeaseController::Private::lastEarlierEpoch() const
{
    return static_cast<std::uint32_t>(m_storeEra << EpochBitsPerEra);
}

bool LeaseController::Private::needsHigherEpoch() const
{
    return m_restoredEra != 0 && m_restoredEra == m_storeEra && m_epoch <= lastEarlierEpoch();
}

/// The epoch stays until the unknown leader is out of the question. With a higher one at once, that leader would give
/// way to this daemon, which does not know the holders.
std::uint32_t LeaseController::Private::epochToRecord() const
{
    const bool mayRaise = needsHigherEpoch() && (isUnknownLeaderGone() || m_now >= m_formerGrantsEndAt);
    return mayRaise ? std::max(m_seenEpoch, lastEarlierEpoch()) + 1 : m_epoch;
}

void LeaseController::Private::raiseEpoch(std::uint32_t epoch)
{
    decide(LeaseEvents::RecordRestored, {}, fmt::format("epoch {} follows epoch {} of an earlier era", epoch, m_epoch));
    m_epoch = epoch;
    m_seenEpoch = std::max(m_seenEpoch, epoch);
    m_nextAnnounceAt = m_now;
    m_isTableStale = true;
}

/// Lets the next grants have tokens of the raised epoch. A server with a grant keeps its token: as it has been renewed
/// all the time, the unknown leader has not given its keys to another server.
void LeaseController::Private::useRaisedEpoch()
{
    if (m_tokenEpoch == m_epoch || m_slices.isPossibleHolder(UnknownProcess)) {
        return;
    }
    m_tokenEpoch = m_epoch;
    for (auto &it : m_slices.all()) {
        if (!it.isGranted) {
            dropToken(it);
        }
    }
}

bool LeaseController::Private::hasReportedContact(const std::string &daemon) const
{
    const auto found = m_contactReportedAt.find(daemon);
    return found != m_contactReportedAt.end() && m_now - found->second < ContactReportLifetime;
}

/// The number of ranges and of moves is bounded by the lease calls that the leader can make. A small VM leads when it
/// was the first at the start of a fleet, or when all larger ones were away.
bool LeaseController::Private::isOutranked() const
{
    const bool isSettled = m_former.empty() && m_now - m_leadingSince >= LeadBeforeHandover && isStoreSteady();
    const bool isRepeated = m_handedToLargerAt != Instant() && m_now - m_handedToLargerAt < RepeatedHandoverInterval;
    if (!isSettled || isRepeated) {
        return false;
    }
    const auto self = std::find_if(m_members.begin(), m_members.end(),
                                   [&](const Member &it) { return it.identity.name == m_settings.self.name; });
    return self != m_members.end() && std::any_of(m_members.begin(), m_members.end(), [&](const Member &it) {
               return it.status == MemberStatus::Alive && it.cpuPercent >= OutrankFactor * self->cpuPercent
                   && hasReportedContact(it.identity.name);
           });
}

bool LeaseController::Private::isHandingOver() const
{
    if (m_isStopping || isOutranked()) {
        return true;
    }
    return !m_reachesServers && m_mayHandOver && std::any_of(m_members.begin(), m_members.end(), [&](const Member &it) {
        return hasReportedContact(it.identity.name);
    });
}

void LeaseController::Private::loseLeadership(const std::string &why)
{
    decide(LeaseEvents::LeadershipLost, {}, why);
    m_role = LeaseRole::Follower;
    m_isHandedOver = m_isStopping;
    m_leaderHeardAt = m_now;
    m_slices.clear();
}

}

#include "controller_p.h"

#include <algorithm>

#include <fmt/format.h>

#include "events_p.h"

/// Events of one service and the lease record in the store.
namespace Galenarock
{

namespace
{
/// A longer gap between two steps means that the process or the VM was suspended.
constexpr Duration PauseThreshold = milliseconds(600);
/// Interval at which a daemon reads the record before a takeover, or to confirm that it is still the leader.
constexpr Duration ReadInterval = milliseconds(250);
/// After a suspension a daemon waits this long for an announcement of the leader before it takes over.
constexpr Duration GraceAfterPause = milliseconds(400);
constexpr Duration SummaryInterval = seconds(2);
/// Time for which the next holders of released ranges wait for the answers to other releases, so that one write records
/// them all.
constexpr Duration ReleaseBatchTime = milliseconds(40);
/// Time after a failed write of the record for which the store counts as unsteady; three periodic writes.
constexpr Duration StoreSettleTime = seconds(5);

ObjectKey recordKey(const std::string &service)
{
    return {ObjectKind::Lease, service};
}
}

LeaseController::Private::Private(LeaseSettings settings)
    : m_settings(std::move(settings))
    , m_leadProof(m_settings)
{
    m_table.service = m_settings.service;
    m_nextWriter = randomNonce() | 1;
    drawLateTakeoverDelay();
}

void LeaseController::Private::begin(Instant now)
{
    const bool isFirst = m_lastStep == Instant();
    const bool wasPaused = !isFirst && now - m_lastStep > PauseThreshold;
    m_now = now;
    m_lastStep = now;
    if (isFirst) {
        m_leaderHeardAt = now;
    }
    if (!wasPaused) {
        return;
    }
    m_leaderHeardAt = std::max(m_leaderHeardAt, now - m_settings.takeoverAfter + GraceAfterPause);
    if (m_role == LeaseRole::Leader) {
        m_isConfirmed = false;
        m_nextReadAt = now;
        decide(LeaseEvents::Paused, {}, "lease calls wait until the store confirms the leadership");
    }
}

LeaseActions LeaseController::Private::end()
{
    publishIfChanged();
    sendChangesIfDue();
    return std::move(m_actions);
}

void LeaseController::Private::handle(const ControlEvent &event)
{
    if (std::holds_alternative<TickEvent>(event)) {
        onTick();
    } else if (const auto *object = std::get_if<ObjectEvent>(&event)) {
        onRecord(*object);
    } else if (const auto *missing = std::get_if<ObjectMissingEvent>(&event)) {
        if (missing->key == recordKey(m_settings.service)) {
            onRecordMissing();
        }
    } else if (const auto *written = std::get_if<WriteResultEvent>(&event)) {
        onWritten(*written);
    } else if (const auto *reply = std::get_if<LeaseReplyEvent>(&event)) {
        onReply(*reply);
    } else if (const auto *peer = std::get_if<PeerEvent>(&event)) {
        onPeer(*peer);
    } else if (const auto *members = std::get_if<MembersEvent>(&event)) {
        onMembers(*members);
    } else if (const auto *store = std::get_if<StoreEraEvent>(&event)) {
        onStoreEra(store->era);
    } else if (std::holds_alternative<StopEvent>(event)) {
        onStop();
    }
}

void LeaseController::Private::onTick()
{
    m_isTableStale = true;
    if (m_role == LeaseRole::Leader) {
        runAsLeader();
    } else if (!m_isStopping) {
        runAsFollower();
    }
}

void LeaseController::Private::readRecord()
{
    if (m_now < m_nextReadAt) {
        return;
    }
    m_nextReadAt = m_now + ReadInterval;
    m_readSentAt = m_readSentAt == Instant() ? m_now : m_readSentAt;
    m_actions.control.emplace_back(ReadObjectAction{recordKey(m_settings.service), CallPriority::Leadership});
}

/// The record and its version belong to the earlier era, whatever the store returns now.
void LeaseController::Private::onStoreEra(std::uint64_t era)
{
    const bool isRestored = m_storeEra != 0 && era > m_storeEra;
    if (era > m_storeEra) {
        m_unchangedSince = m_now;
    }
    m_storeEra = std::max(m_storeEra, era);
    if (!isRestored) {
        return;
    }
    m_nextReadAt = m_now;
    if (m_role == LeaseRole::Leader) {
        readRecord();
        return;
    }
    m_record.reset();
    m_recordVersion = 0;
    m_unchangedVersion = 0;
}

void LeaseController::Private::onRecord(const ObjectEvent &event)
{
    const auto &object = event.object;
    if (!(object.key == recordKey(m_settings.service))) {
        return;
    }
    m_answeredReadSentAt = std::exchange(m_readSentAt, Instant());
    if (std::tie(object.era, object.version) < std::tie(m_recordEra, m_recordVersion)) {
        return;
    }
    adopt(object);
}

void LeaseController::Private::adopt(const StoredObject &object)
{
    const auto record =
        tryOr([&]() -> Result<std::optional<LeaseRecord>> { return leaseRecordFromJson(object.value); },
              [&](ErrorCode code, const std::string &detail) {
                  decide(LeaseEvents::RecordMalformed, {}, fmt::format("{}: {}", errorMessage(code), detail));
                  return std::optional<LeaseRecord>();
              });
    if (!record) {
        return;
    }
    if (std::tie(m_recordEra, m_recordVersion) < std::tie(object.era, object.version)) {
        m_unresolvedWrites.clear(); // their condition no longer holds
    }
    m_recordVersion = object.version;
    m_recordEra = object.era;
    m_isRecordMissing = false;
    if (m_role == LeaseRole::Leader) {
        adoptAsLeader(*record);
        return;
    }
    noteTakeovers(record->epoch, record->leader.name);
    m_record = record;
    const bool isNewEpoch = record->epoch > m_seenEpoch;
    m_seenEpoch = std::max(m_seenEpoch, record->epoch);
    if (isNewEpoch && !record->leader.name.empty() && record->leader.name != m_settings.self.name) {
        // A new leader whose announcements have not arrived yet gets the full takeover delay.
        m_leaderHeardAt = m_now;
        m_leaderName = record->leader.name;
        return;
    }
    tryTakeOver();
}

void LeaseController::Private::adoptAsLeader(const LeaseRecord &record)
{
    if (record.epoch > m_epoch && record.leader == m_settings.self) {
        raiseEpoch(record.epoch); // the write had no answer
    }
    const bool isLost = record.epoch < m_epoch || (record.epoch == m_epoch && isOutdated(record));
    if (isLost && m_isConfirmed) {
        restoreRecord(fmt::format("epoch {}", record.epoch));
        return;
    }
    if (record.epoch > m_epoch && record.leader != m_settings.self && !record.leader.name.empty()) {
        noteChanges(1);
    }
    m_record = record;
    m_seenEpoch = std::max(m_seenEpoch, record.epoch);
    if (isLost || record.epoch > m_epoch || record.leader != m_settings.self) {
        loseLeadership(fmt::format("the record names {} under epoch {}", toString(record.leader), record.epoch));
    } else {
        m_isConfirmed = true;
        m_leadProof.confirmed(m_answeredReadSentAt);
        runAsLeader(); // moves wait for the evidence
    }
}

bool LeaseController::Private::isOutdated(const LeaseRecord &record) const
{
    return record.era != 0 && record.era < m_storeEra;
}

/// Writes the record again after the store has lost it. Until then this leader goes on from what it knows, which a
/// successor does not need: it does not trust a record of an earlier era.
void LeaseController::Private::restoreRecord(const std::string &found)
{
    if (m_restoredEra != m_storeEra) {
        m_restoredEra = m_storeEra;
        decide(LeaseEvents::RecordRestored, {},
               fmt::format("the store has {} in era {}; writing epoch {} again", found, m_storeEra, m_epoch));
        suspectUnknownLeader();
    }
    if (m_openWrite == 0) {
        writeRecord(wantedRecord());
        m_isRestoringRecord = true;
    }
}

void LeaseController::Private::onRecordMissing()
{
    if (m_role == LeaseRole::Leader && m_openWrite != 0) {
        return; // the result of the write in flight tells more
    }
    m_readSentAt = {};
    m_isRecordMissing = true;
    m_recordVersion = 0;
    const bool isLost = m_recordEra < m_storeEra;
    m_recordEra = m_storeEra;
    if (m_role == LeaseRole::Leader && m_isConfirmed && isLost) {
        restoreRecord("no record");
        return;
    }
    m_record.reset();
    if (m_role == LeaseRole::Leader) {
        loseLeadership("the lease record no longer exists");
        return;
    }
    tryTakeOver();
}

void LeaseController::Private::writeRecord(const LeaseRecord &record)
{
    m_writing = record;
    m_openWrite = m_nextWriter++;
    m_isRestoringRecord = false;
    m_writeSentAt = m_now;
    m_nextRecordAt = m_now + m_settings.renewRecordEvery;
    m_actions.control.emplace_back(WriteObjectAction{recordKey(m_settings.service), m_recordVersion, m_openWrite,
                                                     toJson(record), CallPriority::Leadership, false});
}

void LeaseController::Private::onWritten(const WriteResultEvent &event)
{
    if (!(event.key == recordKey(m_settings.service)) || event.writer != m_openWrite) {
        return;
    }
    m_openWrite = 0;
    if (event.status == WriteStatus::Conflict && event.current.writer != event.writer) {
        if (m_role == LeaseRole::Candidate) {
            m_role = LeaseRole::Follower;
        }
        const bool isNewer =
            std::tie(m_recordEra, m_recordVersion) < std::tie(event.current.era, event.current.version);
        if (event.current.version > 0 && isNewer) {
            adopt(event.current);
        } else {
            m_nextReadAt = m_now;
            readRecord();
        }
        return;
    }
    if (event.status != WriteStatus::Applied && event.status != WriteStatus::Conflict) {
        // A write without a response may have taken effect or may still do so; a read of the record resolves this.
        if (m_role == LeaseRole::Candidate) {
            m_role = LeaseRole::Follower;
        }
        m_nextRecordAt = m_now + ReadInterval;
        m_writeFailedAt = m_now;
        noteWriteFailure();
        if (event.status == WriteStatus::Unknown) {
            m_unresolvedWrites.push_back(m_writing);
            readRecord();
        }
        returnToRecordedHolders();
        return;
    }
    m_writesFailSince = {};
    m_unresolvedWrites.clear();
    if (m_role == LeaseRole::Candidate && m_record && !m_record->leader.name.empty()) {
        noteChanges(1);
    }
    m_record = m_writing;
    m_recordVersion = event.current.version;
    m_recordEra = event.current.era;
    m_seenEpoch = std::max(m_seenEpoch, m_record->epoch);
    // A leader that took over in the lost time, if there is one, is heard of before the next write. Until then this
    // daemon leads no longer than it would have without the store.
    // Nor is a write of before the restore evidence: versions repeat, so it may have replaced the record of that
    // leader.
    const bool isEvidence = !m_isRestoringRecord && !isOutdated(m_writing);
    m_confirmedAt = isEvidence ? m_writeSentAt : m_confirmedAt;
    m_isConfirmed = true;
    if (isEvidence) {
        m_leadProof.confirmed(m_writeSentAt);
    }
    if (m_role == LeaseRole::Leader && m_record->epoch > m_epoch) {
        raiseEpoch(m_record->epoch);
    }
    if (m_role == LeaseRole::Candidate) {
        becomeLeader();
    } else if (m_record->leader.name.empty()) {
        m_role = LeaseRole::Follower;
        m_isHandedOver = m_isStopping;
        m_leaderHeardAt = m_now;
        m_slices.clear();
        const std::string_view cause = m_isStopping ? ", planned stop"
            : m_reachesServers                      ? ", a larger VM can lead"
                                                    : ", this VM reaches no server";
        decide(LeaseEvents::LeadershipHandedOver, {}, fmt::format("epoch {}{}", m_epoch, cause));
        sendPeer({}, LeaseMessage::Stopped, encode(notice()));
    } else if (m_role == LeaseRole::Leader && isEvidence) {
        runAsLeader(); // a released range has no owner until its next holder, now recorded, is granted it
    }
}

void LeaseController::Private::noteWriteFailure()
{
    if (m_role != LeaseRole::Leader) {
        return;
    }
    const bool wantedSuccessor = wantsSuccessor();
    m_writesFailSince = m_writesFailSince == Instant() ? m_writeSentAt : m_writesFailSince;
    if (wantsSuccessor() && !wantedSuccessor) {
        decide(LeaseEvents::SuccessorWanted, {},
               fmt::format("the record of epoch {} could not be written for {} ms", m_epoch,
                           duration_cast<milliseconds>(m_now - m_writesFailSince).count()));
    }
}

bool LeaseController::Private::mayBeHandedOver() const
{
    const bool isUnresolved = std::any_of(m_unresolvedWrites.begin(), m_unresolvedWrites.end(),
                                          [](const LeaseRecord &it) { return it.leader.name.empty(); });
    return isUnresolved || (m_openWrite != 0 && m_writing.leader.name.empty());
}

void LeaseController::Private::runAsLeader()
{
    if (!needsHigherEpoch()) {
        m_slices.expirePossibleHolders(m_now);
        if (m_now >= m_formerGrantsEndAt) {
            m_former.clear();
        }
        dropUnknownLeader();
        useRaisedEpoch();
    }
    if (!m_isConfirmed) {
        readRecord();
        return;
    }
    if (m_now - m_confirmedAt > m_settings.leadershipTimeout) {
        decide(LeaseEvents::LeadershipTimedOut, {}, "the record could not be written for too long");
        loseLeadership("leadership timed out");
        return;
    }
    if (m_now >= m_nextPlanAt && m_openWrite == 0) {
        m_nextPlanAt = m_now + m_settings.planEvery;
        plan();
    }
    joinQuietSlices();
    writeRecordIfNeeded();
    sendDueCalls();
    if (m_now >= m_nextAnnounceAt) {
        announce();
    }
    logSummaryIfDue();
}

/// Logs how much the leader manages and how its lease calls ended, so that a leader with too many calls can be told
/// from servers that refuse them.
void LeaseController::Private::logSummaryIfDue()
{
    if (m_now < m_nextSummaryAt) {
        return;
    }
    m_nextSummaryAt = m_now + SummaryInterval;
    const auto &slices = m_slices.all();
    const auto granted = std::count_if(slices.begin(), slices.end(), [](const LeaseSlice &it) { return it.isGranted; });
    const auto moving = std::count_if(slices.begin(), slices.end(), [](const LeaseSlice &it) { return it.isBusy(); });
    const auto excluded = std::count_if(m_exclusions.begin(), m_exclusions.end(),
                                        [&](const auto &it) { return it.second.until > m_now; });
    const auto &n = m_replyCounts;
    decide(
        LeaseEvents::LeaderSummary, {},
        fmt::format(
            "{} ranges, {} granted, {} moving; {} servers, {} of them excluded; lease calls since the last "
            "summary: {} accepted, {} outdated, {} refused, {} not sent, {} without an answer, {} late, {} reconnected",
            slices.size(), granted, moving, m_servers.size(), excluded, n[0], n[1], n[2], n[3], n[4], n[5], n[6]));
    m_replyCounts = {};
}

LeaseRecord LeaseController::Private::wantedRecord() const
{
    LeaseRecord record;
    record.service = m_settings.service;
    record.epoch = epochToRecord();
    record.era = m_storeEra;
    record.leader = isHandingOver() ? Identity() : m_settings.self;
    record.former = m_former;
    for (const auto &it : m_slices.all()) {
        record.ranges.push_back(recordedRange(it));
    }
    return record;
}

/// Names only servers that may hold the range, so that a successor that finds one name may grant the range to it at
/// once. The next holder is named when the former one holds nothing any more; while writes fail, before the release, as
/// a released range would have no owner until one succeeds.
RecordedRange LeaseController::Private::recordedRange(const LeaseSlice &slice) const
{
    const bool isTargetNamed =
        slice.target && (slice.holder.name.empty() || m_now < slice.targetHoldsUntil || !isStoreSteady());
    RecordedRange recorded{slice.range, slice.holder, isTargetNamed ? *slice.target : Identity()};
    const auto *other = m_slices.otherPossibleHolder(slice.range, slice.holder);
    if (!other) {
        return recorded;
    }
    recorded.holder = other->server;
    const bool isHolderNamed = slice.mayBeHeld(m_now) || m_slices.isPossibleHolder(UnknownProcess);
    recorded.next = isTargetNamed ? *slice.target : isHolderNamed ? slice.holder : Identity();
    return recorded;
}

/// Gives released ranges back to the servers that the record names when it cannot be written, so that they are not
/// without an owner until the store returns. No successor can know another holder, as no write is unresolved.
void LeaseController::Private::returnToRecordedHolders()
{
    if (m_role != LeaseRole::Leader || !m_record || !m_unresolvedWrites.empty()) {
        return;
    }
    for (auto &slice : m_slices.all()) {
        if (slice.isBusy() || slice.holder.name.empty() || slice.mayBeHeld(m_now)
            || isRecorded(slice.range, slice.holder)) {
            continue;
        }
        const auto recorded = std::find_if(m_record->ranges.begin(), m_record->ranges.end(),
                                           [&](const RecordedRange &it) { return it.range.overlaps(slice.range); });
        const bool isUsable = recorded != m_record->ranges.end() && recorded->next.name.empty()
            && server(recorded->holder) && !isExcluded(recorded->holder) && isRecorded(slice.range, recorded->holder)
            && !m_slices.otherPossibleHolder(slice.range, recorded->holder);
        if (!isUsable) {
            continue;
        }
        decide(LeaseEvents::MovePlanned, slice.range,
               fmt::format("back to {}, since the record cannot be written", recorded->holder.name));
        slice.holder = recorded->holder;
        dropToken(slice);
        slice.failures = 0;
        slice.nextCallAt = m_now;
        slice.changedAt = m_now;
    }
}

void LeaseController::Private::writeRecordIfNeeded()
{
    if (m_openWrite != 0) {
        return;
    }
    auto wanted = wantedRecord();
    const bool hasChanged = !m_record || !(wanted == *m_record);
    // A new holder must be recorded before its grant; other changes may wait for the next periodic write.
    const bool isUrgent = hasChanged
        && (wanted.leader.name.empty() || wanted.epoch != m_epoch
            || std::any_of(wanted.ranges.begin(), wanted.ranges.end(), [&](const RecordedRange &it) {
                   const auto &next = it.next.name.empty() ? it.holder : it.next;
                   return !next.name.empty() && !isRecorded(it.range, next);
               }));
    const bool isBatchOpen = isReleaseInFlight() && !wanted.leader.name.empty();
    if (m_now < m_nextRecordAt && (!isUrgent || isBatchOpen)) {
        return;
    }
    if (wanted.leader.name.empty() && !m_isStopping && m_reachesServers) {
        m_handedToLargerAt = m_now;
    }
    writeRecord(wanted);
}

/// Whether the answer to a release is likely to come in a moment, so that one write records several next holders.
bool LeaseController::Private::isReleaseInFlight() const
{
    const auto &slices = m_slices.all();
    return std::any_of(slices.begin(), slices.end(), [&](const LeaseSlice &it) {
        return it.isReleasing && it.openCall != 0 && m_now < it.nextCallAt - m_settings.renewEvery + ReleaseBatchTime;
    });
}

bool LeaseController::Private::isStoreSteady() const
{
    return m_now - m_writeFailedAt >= StoreSettleTime;
}

/// Whether a successor would find the server, whichever of the writes without an answer takes effect; the one in flight
/// may also be the last that does.
bool LeaseController::Private::isRecorded(const SliceRange &range, const Identity &server) const
{
    const auto names = [&](const LeaseRecord &record) {
        return std::all_of(record.ranges.begin(), record.ranges.end(), [&](const RecordedRange &it) {
            return !it.range.overlaps(range) || it.holder == server || it.next == server;
        });
    };
    const bool isInFlightNamed = m_openWrite == 0 || names(m_writing);
    return m_record && names(*m_record) && isInFlightNamed
        && std::all_of(m_unresolvedWrites.begin(), m_unresolvedWrites.end(), names);
}

void LeaseController::Private::onMembers(const MembersEvent &event)
{
    m_members = event.members;
    std::vector<std::string> others;
    for (const auto &it : m_members) {
        m_knownProcesses.insert(it.identity);
        if (it.identity.name != m_settings.self.name && it.status != MemberStatus::Dead) {
            others.push_back(it.identity.name);
        }
    }
    m_leadProof.setOthers(std::move(others));
    const bool areAllAlive = m_members.size() > 1
        && std::all_of(m_members.begin(), m_members.end(),
                       [](const Member &it) { return it.status == MemberStatus::Alive; });
    m_allAliveSince = !areAllAlive ? Instant() : m_allAliveSince == Instant() ? m_now : m_allAliveSince;
    dropReplacedLeaders();
}

void LeaseController::Private::setReachesServers(bool reachesServers)
{
    m_reachesServers = reachesServers;
    m_mayHandOver = m_mayHandOver || reachesServers;
}

void LeaseController::Private::setReachesStore(bool reachesStore)
{
    m_storeReachedSince = reachesStore && !m_reachesStore ? m_now : m_storeReachedSince;
    m_reachesStore = reachesStore;
}

void LeaseController::Private::onStop()
{
    m_isStopping = true;
    if (m_role != LeaseRole::Leader) {
        m_isHandedOver = true;
        return;
    }
    writeRecordIfNeeded();
}

LeaseController::LeaseController(LeaseSettings settings)
    : m_data(std::make_unique<Private>(std::move(settings)))
{
}

LeaseController::~LeaseController() = default;
LeaseController::LeaseController(LeaseController &&) noexcept = default;
LeaseController &LeaseController::operator=(LeaseController &&) noexcept = default;

LeaseActions LeaseController::step(Instant now, const ControlEvent &event)
{
    m_data->begin(now);
    m_data->handle(event);
    return m_data->end();
}

LeaseActions LeaseController::setServers(Instant now, std::vector<LeaseServer> servers)
{
    m_data->begin(now);
    m_data->setServers(std::move(servers));
    return m_data->end();
}

LeaseActions LeaseController::addLoad(Instant now, const KeyLoad &load)
{
    m_data->begin(now);
    m_data->addLoad(load);
    return m_data->end();
}

void LeaseController::setRequestRates(std::map<Identity, double> rates)
{
    m_data->m_requestRates = std::move(rates);
}

void LeaseController::setReachesServers(bool reachesServers)
{
    m_data->setReachesServers(reachesServers);
}

void LeaseController::setReachesStore(bool reachesStore)
{
    m_data->setReachesStore(reachesStore);
}

bool LeaseController::isLeader() const
{
    return m_data->m_role == LeaseRole::Leader;
}

bool LeaseController::isHandedOver() const
{
    return m_data->m_isHandedOver;
}

std::uint32_t LeaseController::epoch() const
{
    return m_data->m_epoch;
}

std::string LeaseController::leaderName() const
{
    return m_data->m_leaderName;
}

const Assignment &LeaseController::table() const
{
    return m_data->m_table;
}

std::size_t LeaseController::unservedRanges() const
{
    const auto &slices = m_data->m_table.slices;
    return static_cast<std::size_t>(
        std::count_if(slices.begin(), slices.end(), [](const SliceAssignment &it) { return it.owner == noServer; }));
}

}

#include "controller_p.h"

#include <algorithm>

#include <fmt/format.h>

#include "events_p.h"

/// Leadership of one service and its record in the store.
namespace Galenarock
{

namespace
{
/// A longer gap between two steps is a suspension of the process or the VM.
constexpr Duration PauseThreshold = milliseconds(600);
/// Interval of record reads by a daemon that wants to lead, or that must find out whether it still does.
constexpr Duration ReadInterval = milliseconds(250);
/// A daemon that was suspended, or saw another one take over, waits this long for the leader to announce itself.
constexpr Duration GraceAfterPause = milliseconds(400);

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

ObjectKey recordKey(const std::string &service)
{
    return {ObjectKind::Lease, service};
}
}

LeaseController::Private::Private(LeaseSettings settings)
    : m_settings(std::move(settings))
{
    m_table.service = m_settings.service;
    m_nextWriter = randomNonce() | 1;
    m_lateSuccession = milliseconds(randomNonce() % LateSuccessionMs);
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
        decide(LeaseEvents::Paused, {}, "orders wait until the store confirms the lead");
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
    } else if (std::holds_alternative<StopEvent>(event)) {
        onStop();
    }
}

void LeaseController::Private::onTick()
{
    m_isTableStale = true;
    if (m_role == LeaseRole::Leader) {
        lead();
    } else if (!m_isStopping) {
        follow();
    }
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

void LeaseController::Private::readRecord()
{
    if (m_now < m_nextReadAt) {
        return;
    }
    m_nextReadAt = m_now + ReadInterval;
    m_actions.control.emplace_back(ReadObjectAction{recordKey(m_settings.service), CallPriority::Mandate});
}

void LeaseController::Private::onRecord(const ObjectEvent &event)
{
    if (!(event.object.key == recordKey(m_settings.service)) || event.object.version < m_recordVersion) {
        return;
    }
    adopt(event.object);
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
    m_record = record;
    m_recordVersion = object.version;
    m_isRecordMissing = false;
    const bool isNewEpoch = record->epoch > m_seenEpoch;
    m_seenEpoch = std::max(m_seenEpoch, record->epoch);
    if (m_role == LeaseRole::Leader) {
        if (record->epoch > m_epoch || record->leader != m_settings.self) {
            loseLead(fmt::format("the record names {} under epoch {}", toString(record->leader), record->epoch));
        } else {
            m_isConfirmed = true;
        }
        return;
    }
    if (isNewEpoch && !record->leader.name.empty() && record->leader.name != m_settings.self.name) {
        // Someone leads of whom nothing was heard yet: it has as long as a silent leader.
        m_leaderHeardAt = m_now;
        m_leaderName = record->leader.name;
        return;
    }
    tryTakeOver();
}

void LeaseController::Private::onRecordMissing()
{
    m_isRecordMissing = true;
    m_record.reset();
    m_recordVersion = 0;
    if (m_role == LeaseRole::Leader) {
        loseLead("the record is gone");
        return;
    }
    tryTakeOver();
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
        record.holds = evenHolds();
        if (record.holds.empty()) {
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

std::vector<RecordedHold> LeaseController::Private::evenHolds() const
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
    std::vector<RecordedHold> holds;
    KeyHash first = 0;
    double before = 0;
    for (const auto *it : usable) {
        before += it->slots;
        const bool isLast = it == usable.back();
        const KeyHash grains = ~KeyHash(0) / m_settings.grain + 1;
        const auto end = static_cast<KeyHash>(before / slots * static_cast<double>(grains)) * m_settings.grain;
        const KeyHash last = isLast ? ~KeyHash(0) : end - 1;
        holds.push_back({{first, last}, {}, it->identity});
        first = last + 1;
    }
    return holds;
}

void LeaseController::Private::writeRecord(const LeaseRecord &record)
{
    m_writing = record;
    m_openWrite = m_nextWriter++;
    m_writeSentAt = m_now;
    m_nextRecordAt = m_now + m_settings.renewRecordEvery;
    m_actions.control.emplace_back(WriteObjectAction{recordKey(m_settings.service), m_recordVersion, m_openWrite,
                                                     toJson(record), CallPriority::Mandate, false});
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
        if (event.current.version > m_recordVersion) {
            adopt(event.current);
        } else {
            m_nextReadAt = m_now;
            readRecord();
        }
        return;
    }
    if (event.status != WriteStatus::Applied && event.status != WriteStatus::Conflict) {
        // The write may have taken effect or may still do so; only the store can tell.
        if (m_role == LeaseRole::Candidate) {
            m_role = LeaseRole::Follower;
        }
        m_nextRecordAt = m_now + ReadInterval;
        if (event.status == WriteStatus::Unknown) {
            readRecord();
        }
        return;
    }
    m_record = m_writing;
    m_recordVersion = event.current.version;
    m_seenEpoch = std::max(m_seenEpoch, m_record->epoch);
    m_confirmedAt = m_writeSentAt;
    m_isConfirmed = true;
    if (m_role == LeaseRole::Candidate) {
        becomeLeader();
    } else if (m_isStopping && m_record->leader.name.empty()) {
        m_role = LeaseRole::Follower;
        m_isHandedOver = true;
        decide(LeaseEvents::LeadHandedOver, {}, fmt::format("epoch {}", m_epoch));
        sendPeer({}, LeaseMessage::Stopped, encode(notice()));
    }
}

void LeaseController::Private::becomeLeader()
{
    m_role = LeaseRole::Leader;
    m_isTableStale = true;
    m_epoch = m_record->epoch;
    m_leaderName = m_settings.self.name;
    m_nextSequence = 1;
    m_former = m_record->former;
    m_predecessorBound = termEnd(m_now + m_settings.authority);
    std::vector<LeaseSlice> slices;
    for (const auto &it : m_record->holds) {
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

void LeaseController::Private::loseLead(const std::string &why)
{
    decide(LeaseEvents::LeadLost, {}, why);
    m_role = LeaseRole::Follower;
    m_isHandedOver = m_isStopping;
    m_leaderHeardAt = m_now;
    m_slices.clear();
}

void LeaseController::Private::lead()
{
    m_slices.expirePossible(m_now);
    if (m_now >= m_predecessorBound) {
        m_former.clear();
    }
    if (!m_isConfirmed) {
        readRecord();
        return;
    }
    if (m_now - m_confirmedAt > m_settings.authority) {
        decide(LeaseEvents::AuthorityEnded, {}, "the record could not be written for too long");
        loseLead("authority ended");
        return;
    }
    if (m_now >= m_nextPlanAt && m_openWrite == 0) {
        m_nextPlanAt = m_now + m_settings.planEvery;
        plan();
    }
    joinQuietSlices();
    writeRecordIfNeeded();
    orderAll();
    if (m_now >= m_nextAnnounceAt) {
        announce();
    }
}

LeaseRecord LeaseController::Private::wantedRecord() const
{
    LeaseRecord record;
    record.service = m_settings.service;
    record.epoch = m_epoch;
    record.leader = m_isStopping ? Identity() : m_settings.self;
    record.former = m_former;
    for (const auto &it : m_slices.all()) {
        RecordedHold hold{it.range, it.holder, it.target.value_or(Identity())};
        if (const auto *other = m_slices.possibleOther(it.range, it.holder)) {
            hold.next = it.target.value_or(it.holder);
            hold.holder = other->server;
        }
        record.holds.push_back(std::move(hold));
    }
    return record;
}

void LeaseController::Private::writeRecordIfNeeded()
{
    if (m_openWrite != 0) {
        return;
    }
    auto wanted = wantedRecord();
    const bool hasChanged = !m_record || !(wanted == *m_record);
    // A move that has ended may stay recorded as under way until the next write; one that begins may not wait.
    const bool isUrgent = hasChanged
        && (m_isStopping || std::any_of(wanted.holds.begin(), wanted.holds.end(), [&](const RecordedHold &it) {
                              const auto &next = it.next.name.empty() ? it.holder : it.next;
                              return !next.name.empty() && !isRecorded(it.range, next);
                          }));
    if (m_now < m_nextRecordAt && !isUrgent) {
        return;
    }
    writeRecord(wanted);
}

bool LeaseController::Private::isRecorded(const SliceRange &range, const Identity &server) const
{
    if (!m_record) {
        return false;
    }
    return std::all_of(m_record->holds.begin(), m_record->holds.end(), [&](const RecordedHold &it) {
        return !it.range.overlaps(range) || it.holder == server || it.next == server;
    });
}

void LeaseController::Private::onMembers(const MembersEvent &event)
{
    m_members = event.members;
    for (const auto &it : m_members) {
        m_knownProcesses.insert(it.identity);
    }
    dropReplacedLeaders();
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

#pragma once

#include <array>
#include <map>
#include <set>

#include <galenarock/leases.h>

#include "hotranges_p.h"
#include "leadproof_p.h"
#include "slices_p.h"
#include "tablechange_p.h"

namespace Galenarock
{

/// A server or a daemon that is not known by name.
inline const Identity UnknownProcess{"*", 0};

enum class LeaseRole : std::uint8_t
{
    Follower,
    /// The write of the new epoch is in flight.
    Candidate,
    Leader,
};

/// State of one LeaseController. Files: controller.cpp (events, record), takeover.cpp (leader election), leasecalls.cpp
/// (grants and releases), tables.cpp (table for routing, messages, load).
class LeaseController::Private
{
public:
    explicit Private(LeaseSettings settings);

    void begin(Instant now);
    LeaseActions end();
    void handle(const ControlEvent &event);
    void setServers(std::vector<LeaseServer> servers);
    void addLoad(const KeyLoad &load);
    void setReachesServers(bool reachesServers);
    void setReachesStore(bool reachesStore);

    const LeaseSettings m_settings;
    LeaseRole m_role = LeaseRole::Follower;
    std::uint32_t m_epoch = 0;
    std::string m_leaderName;
    bool m_isStopping = false;
    bool m_isHandedOver = false;
    Assignment m_table;
    LeaseSlices m_slices;
    /// Requests per second that servers state as their limit.
    std::map<Identity, double> m_requestRates;
    bool m_reachesServers = true;

private:
    // events
    void onTick();
    void onRecord(const ObjectEvent &event);
    void onRecordMissing();
    void onWritten(const WriteResultEvent &event);
    void onReply(const LeaseReplyEvent &event);
    void onPeer(const PeerEvent &event);
    void onMembers(const MembersEvent &event);
    void onStoreEra(std::uint64_t era);
    void onStop();

    // leadership and record
    void runAsFollower();
    Duration takeoverDelay() const;
    /// Time after the leader's request for a successor at which this daemon's turn comes.
    Duration takeoverTurn() const;
    /// Whether this leader has failed to write the record for too long.
    bool wantsSuccessor() const;
    /// Whether this daemon is to replace a leader that asks for a successor.
    bool isSuccessionDue() const;
    void noteSuccessorWanted(const LeaseNotice &notice);
    void noteWriteFailure();
    std::ptrdiff_t daemonsAhead() const;
    void drawLateTakeoverDelay();
    bool isLateInTakeoverOrder() const;
    void trackUnchangedRecord();
    bool isOfMajority() const;
    bool isRecordDecisive() const;
    void noteTakeovers(std::uint32_t epoch, const std::string &leader);
    void noteChanges(std::uint32_t count);
    void tryTakeOver();
    void readRecord();
    void adopt(const StoredObject &object);
    void adoptAsLeader(const LeaseRecord &record);
    /// Whether the record was written before the store was restored, so that later ones are lost.
    bool isOutdated(const LeaseRecord &record) const;
    void restoreRecord(const std::string &found);
    void dropUnknownLeader();
    void suspectUnknownLeader();
    bool isUnknownLeaderGone() const;
    /// Highest epoch that a leader of an earlier era can have used.
    std::uint32_t lastEarlierEpoch() const;
    /// Whether a leader that the store lost may have used the epoch of this one, or a higher one.
    bool needsHigherEpoch() const;
    /// Epoch of the next record: the present one, or one above those that the store lost.
    std::uint32_t epochToRecord() const;
    void raiseEpoch(std::uint32_t epoch);
    void useRaisedEpoch();
    LeaseRecord distrusted(LeaseRecord record) const;
    void takeOver(const LeaseRecord &before);
    void becomeLeader();
    void loseLeadership(const std::string &why);
    void runAsLeader();
    /// Whether a record without a leader may be in the store, so that a successor takes this daemon for stopped.
    bool mayBeHandedOver() const;
    /// Whether the leader is to write a record without a leader and stop.
    bool isHandingOver() const;
    bool hasReportedContact(const std::string &daemon) const;
    /// Whether a VM that can make far more lease calls is ready to lead.
    bool isOutranked() const;
    void writeRecordIfNeeded();
    void writeRecord(const LeaseRecord &record);
    LeaseRecord wantedRecord() const;
    RecordedRange recordedRange(const LeaseSlice &slice) const;
    bool isReleaseInFlight() const;
    /// Whether no write of the record has failed lately.
    bool isStoreSteady() const;
    void returnToRecordedHolders();
    bool isRecorded(const SliceRange &range, const Identity &server) const;
    std::vector<RecordedRange> initialRanges() const;
    void limitToOneGrant();
    void dropReplacedLeaders();
    void tellStopped(const std::string &leader, const LeaseNotice &notice);
    /// Whether an earlier leader may still have evidence of its lead and grant keys to a restarted server.
    bool mayFormerLeaderGrant() const;
    void removeFormerLeaders(const std::function<bool(const Identity &)> &hasStopped);

    // lease calls
    void plan();
    bool isGrantDue(const LeaseSlice &slice) const;
    bool isFormerWaitLong(const LeaseSlice &slice) const;
    LeasePlanLimits planLimits() const;
    bool isExcluded(const Identity &server) const;
    void sendDueCalls();
    void sendDueCall(LeaseSlice &slice);
    void sendMoveCall(LeaseSlice &slice);
    /// Whether the holder may be asked to release the range: the next one is granted it only after a write of the
    /// record.
    bool mayRelease(const LeaseSlice &slice) const;
    bool isRenewalDue(const LeaseSlice &slice) const;
    void sendGrant(LeaseSlice &slice);
    /// Keys of which the server holds none; empty if it may hold all.
    std::optional<SliceRange> unheldRange(const Identity &server) const;
    bool isLeadProven(LeaseSlice &slice);
    void takeToken(LeaseSlice &slice);
    void sendRelease(LeaseSlice &slice);
    void send(LeaseSlice &slice, LeaseCall call);
    /// Makes the later process the holder where the list of servers shows that the holder has restarted.
    void adoptRestarts();
    void restartHolder(LeaseSlice &slice, const Identity &restarted);
    /// Lets the next grant have a new fencing token, which no server has accepted yet.
    static void dropToken(LeaseSlice &slice);
    void finishRelease(LeaseSlice &slice, bool isAnswered);
    void onGrantReply(LeaseSlice &slice, const LeaseReplyEvent &event);
    void countAsUnanswered(LeaseSlice &slice, const LeaseReplyEvent &event);
    void onReleaseReply(LeaseSlice &slice, const LeaseReplyEvent &event);
    void joinQuietSlices();
    /// End of a grant that has arrived by this time.
    Instant grantEnd(Instant arrivedBy) const;
    /// End of all grants whose calls were made by this time, also by a process that is suspended since.
    Instant latestGrantEnd(Instant madeBy) const;
    const LeaseServer *server(const Identity &identity) const;

    // tables, messages, load
    void publishIfChanged();
    void sendChangesIfDue();
    void announce();
    void sendTable(const std::string &vm);
    void requestTable(const std::string &vm);
    void adoptTable(const Assignment &table);
    void adoptChange(const PeerEvent &event, const TableChange &change);
    void onNotice(const PeerEvent &event, const LeaseNotice &notice);
    void receiveLoad(const std::string &daemon, const KeyLoad &load);
    void refreshPositions();
    LeaseLoad currentLoad();
    LeaseNotice notice() const;
    void decide(const EventType &event, const SliceRange &range, std::string text);
    void logSummaryIfDue();
    void sendPeer(const std::string &vm, std::uint16_t type, std::string payload);

    Instant m_now{};
    Instant m_lastStep{};
    LeaseActions m_actions;
    std::vector<LeaseServer> m_servers;
    std::vector<Member> m_members;
    /// Every process that was in the member table at any time.
    std::set<Identity> m_knownProcesses;

    // last known content of the record in the store
    std::optional<LeaseRecord> m_record;
    std::uint64_t m_recordVersion = 0;
    /// Era in which the version was read or written.
    std::uint64_t m_recordEra = 0;
    /// Era of the store; 0 while unknown, or for a store without eras.
    std::uint64_t m_storeEra = 0;
    bool m_isRecordMissing = false;
    std::uint64_t m_nextWriter = 1;
    /// Nonce of the write in flight; 0 for none.
    std::uint64_t m_openWrite = 0;
    LeaseRecord m_writing;
    Instant m_writeSentAt{};
    Instant m_nextRecordAt{};
    /// Last write that was not sent or got no answer.
    Instant m_writeFailedAt{};
    /// First failure to write the record since the last write that was applied; zero for none.
    Instant m_writesFailSince{};
    bool m_reachesStore = true;
    Instant m_storeReachedSince{};
    /// The leader of this epoch has asked for a successor since the first and until the second time.
    std::uint32_t m_successorWantedEpoch = 0;
    Instant m_successorWantedSince{};
    Instant m_successorWantedAt{};
    Instant m_nextReadAt{};
    /// When the read was sent whose response is awaited; zero for none.
    Instant m_readSentAt{};
    /// When the read was sent whose response came last.
    Instant m_answeredReadSentAt{};
    /// Time at which the last successful write was sent.
    Instant m_confirmedAt{};
    /// False after a pause, until the stored record shows that this daemon is still the leader.
    bool m_isConfirmed = false;

    // followers
    Instant m_leaderHeardAt{};
    /// Last load report to another daemon, which takes it as evidence of its lead.
    Instant m_reportedAt{};
    /// Highest epoch seen in a message or a record.
    std::uint32_t m_seenEpoch = 0;
    /// Highest epoch of a leader that this daemon has heard.
    std::uint32_t m_heardEpoch = 0;
    /// This daemon has written the record to take the lead.
    bool m_wasCandidate = false;
    Instant m_nextStoppedAt{};
    /// Latest epoch whose leader was sent a Stopped message by this daemon.
    std::uint32_t m_stoppedSentEpoch = 0;
    Instant m_nextTableRequestAt{};
    /// Latest epoch whose leader announced that no earlier leader sends lease calls any more.
    std::uint32_t m_soleEpoch = 0;
    /// Version of the record and since when it is unchanged, to detect that the leader no longer renews it.
    std::uint64_t m_unchangedVersion = 0;
    Instant m_unchangedSince{};
    /// Latest epoch whose leader said that it has stopped.
    std::uint32_t m_stoppedEpoch = 0;
    /// Takeovers that each followed the one before quickly, and when the last one was seen.
    std::uint32_t m_quickChanges = 0;
    Instant m_changeSeenAt{};
    /// Random addition to the takeover delay for daemons far back in the takeover order.
    Duration m_lateTakeoverDelay{};
    /// Last change of the list of servers, and the time at which it got its first entry.
    Instant m_serversChangedAt{};
    Instant m_serversKnownAt{};

    // leader
    Instant m_leadingSince{};
    LeadProof m_leadProof;
    /// End of all evidence that an earlier leader may have when this daemon takes the lead.
    Instant m_formerProofEndsAt{};
    /// Last reports of other daemons that reach servers, by the daemon's name.
    std::map<std::string, Instant> m_contactReportedAt;
    /// When this daemon last began to hand the lead over to a larger VM; zero for never.
    Instant m_handedToLargerAt{};
    /// This VM has reached servers since it took the lead.
    bool m_mayHandOver = true;
    /// Since when all members are alive and there is another one than this daemon; zero while that is not so.
    Instant m_allAliveSince{};
    /// Latest era in which this leader wrote its record again.
    std::uint64_t m_restoredEra = 0;
    /// Epoch of new fencing tokens. It follows m_epoch once the grants of an unknown leader have ended: until then the
    /// servers that have seen a token of that leader must refuse the ones of this daemon.
    std::uint32_t m_tokenEpoch = 0;
    /// The write in flight restores a record that the store has lost.
    bool m_isRestoringRecord = false;
    /// Writes that got no answer and may still take effect, since the record has not been seen to change.
    std::vector<LeaseRecord> m_unresolvedWrites;
    /// Earlier leaders that may still send lease calls, and the latest end of their grants.
    std::vector<Identity> m_former;
    Instant m_formerGrantsEndAt{};
    std::uint64_t m_nextCallNumber = 1;
    std::uint64_t m_nextSequence = 1;
    Instant m_nextPlanAt{};
    Instant m_nextAnnounceAt{};
    Instant m_nextJoinAt{};
    /// Table that was last sent to the other daemons.
    Assignment m_sentTable;
    Instant m_nextTableAt{};
    /// A slice changed since m_table was built. Saves rebuilding it for renewals and load reports, which are most
    /// steps.
    bool m_isTableStale = true;

    std::map<KeyHash, PositionLoad> m_positions;
    HotRanges m_hotRanges;
    struct Exclusion
    {
        Instant until{};
        Duration length{};
    };
    /// Servers that did not reply to calls, and until when they get no keys.
    std::map<Identity, Exclusion> m_exclusions;
    struct ServiceTime
    {
        double seconds = 0;
        Instant updatedAt;
    };
    std::map<Identity, ServiceTime> m_serviceTimes;
    Instant m_loadSince{};
    /// Replies to lease calls since the last summary, by LeaseCallStatus.
    std::array<std::size_t, 7> m_replyCounts{};
    Instant m_nextSummaryAt{};
};

}

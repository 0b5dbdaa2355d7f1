#pragma once

#include <map>
#include <set>

#include <galenarock/leases.h>

#include "slices_p.h"
#include "tablechange_p.h"

namespace Galenarock
{

enum class LeaseRole : std::uint8_t
{
    Follower,
    /// Its write of a new epoch was not answered yet.
    Candidate,
    Leader,
};

/// State of one LeaseController. Files: controller.cpp (events, record), succession.cpp (who leads), orders.cpp (grants
/// and releases), tables.cpp (table for routing, messages, load).
class LeaseController::Private
{
public:
    explicit Private(LeaseSettings settings);

    void begin(Instant now);
    LeaseActions end();
    void handle(const ControlEvent &event);
    void setServers(std::vector<LeaseServer> servers);
    void addLoad(const KeyLoad &load);

    const LeaseSettings m_settings;
    LeaseRole m_role = LeaseRole::Follower;
    std::uint32_t m_epoch = 0;
    std::string m_leaderName;
    bool m_isStopping = false;
    bool m_isHandedOver = false;
    Assignment m_table;
    LeaseSlices m_slices;

private:
    // events
    void onTick();
    void onRecord(const ObjectEvent &event);
    void onRecordMissing();
    void onWritten(const WriteResultEvent &event);
    void onReply(const LeaseReplyEvent &event);
    void onPeer(const PeerEvent &event);
    void onMembers(const MembersEvent &event);
    void onStop();

    // leadership and record
    void follow();
    Duration takeoverDelay() const;
    std::ptrdiff_t successorsAhead() const;
    void drawLateSuccession();
    bool isLateSuccessor() const;
    void noteSilentRecord();
    void tryTakeOver();
    void readRecord();
    void adopt(const StoredObject &object);
    void takeOver(const LeaseRecord &before);
    void becomeLeader();
    void loseLead(const std::string &why);
    void lead();
    void writeRecordIfNeeded();
    void writeRecord(const LeaseRecord &record);
    LeaseRecord wantedRecord() const;
    bool isRecorded(const SliceRange &range, const Identity &server) const;
    std::vector<RecordedRange> evenRanges() const;
    void limitToOneTerm();
    void dropReplacedLeaders();
    void stoppedOrdering(const std::function<bool(const Identity &)> &hasStopped);

    // orders
    void plan();
    void orderAll();
    void order(LeaseSlice &slice);
    void sendGrant(LeaseSlice &slice);
    void sendRelease(LeaseSlice &slice);
    void send(LeaseSlice &slice, LeaseCall call);
    void finishRelease(LeaseSlice &slice, bool isAnswered);
    void onGrantReply(LeaseSlice &slice, const LeaseReplyEvent &event);
    void onReleaseReply(LeaseSlice &slice, const LeaseReplyEvent &event);
    void joinQuietSlices();
    Instant termEnd(Instant sentAt) const;
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
    void sendPeer(const std::string &vm, std::uint16_t type, std::string payload);

    Instant m_now{};
    Instant m_lastStep{};
    LeaseActions m_actions;
    std::vector<LeaseServer> m_servers;
    std::vector<Member> m_members;
    /// Every process that was ever in the member table.
    std::set<Identity> m_knownProcesses;

    // record as the store is known to hold it
    std::optional<LeaseRecord> m_record;
    std::uint64_t m_recordVersion = 0;
    bool m_isRecordMissing = false;
    std::uint64_t m_nextWriter = 1;
    /// Nonce of the write that was not answered yet; 0 for none.
    std::uint64_t m_openWrite = 0;
    LeaseRecord m_writing;
    Instant m_writeSentAt{};
    Instant m_nextRecordAt{};
    Instant m_nextReadAt{};
    /// Sending of the last write that succeeded.
    Instant m_confirmedAt{};
    /// False after a pause, until the store shows that this daemon still leads.
    bool m_isConfirmed = false;

    // followers
    Instant m_leaderHeardAt{};
    /// Highest epoch seen in a message or a record.
    std::uint32_t m_seenEpoch = 0;
    /// Latest epoch whose leader was told that this daemon has stopped ordering.
    std::uint32_t m_stoppedFor = 0;
    Instant m_nextTableRequestAt{};
    /// Latest epoch whose leader said that no earlier leader orders any more.
    std::uint32_t m_soleEpoch = 0;
    /// Version of the record during the leader's silence, and since when it is that version.
    std::uint64_t m_silentVersion = 0;
    Instant m_silentSince{};
    /// Additional silence behind the daemons whose turn comes one after the other.
    Duration m_lateSuccession{};
    /// Last change of the servers, and the first one.
    Instant m_serversChangedAt{};
    Instant m_serversKnownAt{};

    // leader
    /// Earlier leaders that may still order, and the latest end of what they may have granted.
    std::vector<Identity> m_former;
    Instant m_predecessorBound{};
    std::uint64_t m_nextOrder = 1;
    std::uint64_t m_nextSequence = 1;
    Instant m_nextPlanAt{};
    Instant m_nextAnnounceAt{};
    Instant m_nextJoinAt{};
    /// Table that the other daemons were sent last.
    Assignment m_sentTable;
    Instant m_nextTableAt{};
    /// A slice changed since m_table was made. Most steps of a leader are renewals and reports that change none.
    bool m_isTableStale = true;

    struct PositionLoad
    {
        /// Requests a second.
        double shortRate = 0;
        double longRate = 0;
        Instant updatedAt;
    };
    std::map<KeyHash, PositionLoad> m_positions;
    struct Silence
    {
        Instant until{};
        Duration memory{};
    };
    /// Servers that left orders unanswered, and until when they get no keys.
    std::map<Identity, Silence> m_silences;
    struct ServiceTime
    {
        double seconds = 0;
        Instant updatedAt;
    };
    std::map<Identity, ServiceTime> m_serviceTimes;
    Instant m_loadSince{};
};

}

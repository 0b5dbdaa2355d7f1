#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <galenarock/assignment.h>
#include <galenarock/control.h>

/// Ownership of keys at servers that check fencing tokens but issue no nonce.
///
/// A server holds a range of keys from the arrival of a grant for a time that the grant states. Safety rests on two
/// things: a range goes to another server only when no earlier grant of it can be in force any more, and every change
/// of holder has a higher fencing token. One daemon at a time leads a service; it writes who may hold what to the
/// platform's store before it orders anything, so that its successor knows every possible holder.
namespace Galenarock
{

namespace ObjectKind
{
/// One object for each keyed service: leader, epoch and possible holders.
inline constexpr const char *Lease = "galenarock-lease";
}

/// A backend server to which keys may be given.
struct LeaseServer
{
    Identity identity;
    std::string address;
    std::string failureDomain;
    std::uint32_t slots = 1;
    /// Hands its keys over and gets no more.
    bool leaving = false;

    friend bool operator==(const LeaseServer &a, const LeaseServer &b)
    {
        return a.identity == b.identity && a.address == b.address && a.failureDomain == b.failureDomain
            && a.slots == b.slots && a.leaving == b.leaving;
    }
};

/// Who may hold a range. `next` is recorded before a move begins; until the move is recorded as done both may hold it.
struct RecordedRange
{
    SliceRange range;
    /// Empty name: nobody.
    Identity holder;
    Identity next;

    friend bool operator==(const RecordedRange &a, const RecordedRange &b)
    {
        return a.range == b.range && a.holder == b.holder && a.next == b.next;
    }
};

/// Content of a lease object. Ranges are sorted and cover the space of positions.
struct LeaseRecord
{
    std::string service;
    /// Grows with each change of leader.
    std::uint32_t epoch = 0;
    /// Empty name after a planned stop: the former leader has stopped ordering.
    Identity leader;
    /// Earlier leaders that are not known to have stopped ordering.
    std::vector<Identity> former;
    std::vector<RecordedRange> ranges;

    friend bool operator==(const LeaseRecord &a, const LeaseRecord &b)
    {
        return a.service == b.service && a.epoch == b.epoch && a.leader == b.leader && a.former == b.former
            && a.ranges == b.ranges;
    }
};

/// JSON shape: `{"service":"s","epoch":3,"leader":"vm-1#7","former":[],"holds":[["0","ffff","i-1#5",""]]}`.
nlohmann::json toJson(const LeaseRecord &record);
Result<LeaseRecord> leaseRecordFromJson(const nlohmann::json &json);

/// Use of one server as one daemon saw it.
struct ServerUse
{
    Identity server;
    /// Mean time that an answer takes while the server has no queue, in seconds; 0 when not known.
    double serviceSeconds = 0;

    friend bool operator==(const ServerUse &a, const ServerUse &b)
    {
        return a.server == b.server && a.serviceSeconds == b.serviceSeconds;
    }
};

/// Requests by key position at one daemon over some time.
struct KeyLoad
{
    std::string service;
    /// Length of the counted time.
    double seconds = 0;
    std::vector<std::pair<KeyHash, std::uint32_t>> positions;
    std::vector<ServerUse> servers;

    friend bool operator==(const KeyLoad &a, const KeyLoad &b)
    {
        return a.service == b.service && a.seconds == b.seconds && a.positions == b.positions && a.servers == b.servers;
    }
};

/// Messages between daemons about leases.
namespace LeaseMessage
{
/// Leader to all: it leads, and the version of its table.
inline constexpr std::uint16_t Announce = PeerMessageRange::Ownership + 20;
/// Leader to all: the table.
inline constexpr std::uint16_t Table = Announce + 1;
/// To the leader: the sender's table is older than announced.
inline constexpr std::uint16_t TableRequest = Announce + 2;
/// To the leader: load by key.
inline constexpr std::uint16_t Load = Announce + 3;
/// Former leader to its successor: it has stopped ordering.
inline constexpr std::uint16_t Stopped = Announce + 4;
/// Leader to all: the slices that differ from an earlier version of the table.
inline constexpr std::uint16_t TableChange = Announce + 5;
}

/// The part of a peer message that names service and table version.
struct LeaseNotice
{
    std::string service;
    std::uint32_t epoch = 0;
    std::uint64_t version = 0;
    /// Announce: no leader before the sender orders any more. The record says so only after its next write.
    bool isSole = false;

    friend bool operator==(const LeaseNotice &a, const LeaseNotice &b)
    {
        return a.service == b.service && a.epoch == b.epoch && a.version == b.version && a.isSole == b.isSole;
    }
};

/// cereal portable binary.
std::string encode(const LeaseNotice &notice);
std::string encode(const KeyLoad &load);
std::string encodeLeaseTable(const Assignment &table);
Result<LeaseNotice> decodeLeaseNotice(const std::string &payload);
Result<KeyLoad> decodeKeyLoad(const std::string &payload);
Result<Assignment> decodeLeaseTable(const std::string &payload);

struct LeaseSettings
{
    Identity self;
    std::string service;
    /// Length of a grant. After a server's crash its keys wait about this long for another holder, and a change of
    /// leader must be complete within it.
    Duration grantDuration = milliseconds(1'900);
    Duration renewEvery = milliseconds(500);
    /// How much slower than ours a server's clock may run.
    double clockDrift = 0.02;
    /// From the sending of an order to its latest arrival.
    Duration deliveryAllowance = milliseconds(200);
    /// A leader that could not write its record for this long stops ordering. Long enough for an outage of the store,
    /// since no other daemon can take over during one.
    Duration leadershipTimeout = seconds(15);
    Duration renewRecordEvery = milliseconds(1'500);
    Duration announceEvery = milliseconds(150);
    /// Silence of the leader after which another daemon takes over.
    Duration takeoverAfter = milliseconds(650);
    /// Additional silence for each daemon that comes earlier in the order of succession.
    Duration takeoverStagger = milliseconds(150);
    /// Bytes a second that the leader spends on sending its table; a fifth of a link of 10 Mbit/s. A table that
    /// changes faster is sent less often, with all changes in one message.
    double tableBytesPerSecond = 250'000;
    Duration planEvery = milliseconds(300);
    /// Width of the smallest range that is moved by itself; a power of two.
    KeyHash minRangeWidth = KeyHash(1) << 48;
};

struct LeaseActions
{
    ControlActions control;
    std::vector<LeaseCall> calls;
};

/// One range and its holder in the leader's memory, as planning sees it.
struct PlannedSlice
{
    SliceRange range;
    /// Empty name: nobody.
    Identity holder;
    /// In the middle of a move or with an order that was not answered yet.
    bool isBusy = false;
    /// Its holder changed a short while ago; the load that the move caused is not measured yet.
    bool isRecent = false;
};

/// A move of a range to another server; splits the slice that contains it.
struct LeaseMove
{
    SliceRange range;
    Identity target;

    friend bool operator==(const LeaseMove &a, const LeaseMove &b)
    {
        return a.range == b.range && a.target == b.target;
    }
};

/// What planning knows about the load.
struct LeaseLoad
{
    /// Requests a second by position; only positions with requests.
    std::map<KeyHash, double> positions;
    /// Answers without queueing take this long at each server, in seconds.
    std::map<Identity, double> serviceSeconds;
};

/// Moves that bring ranges without a usable holder to servers and even out the servers' use. Pure.
///
/// The narrowest range that carries the surplus moves, since each key that changes hands has a cost: a group of hot
/// neighbouring keys is spread over several servers within a few calls, and idle keys stay where they are.
std::vector<LeaseMove> planLeaseMoves(const std::vector<PlannedSlice> &slices, const std::vector<LeaseServer> &servers,
                                      const LeaseLoad &load, KeyHash minRangeWidth);

/// Pure core for one keyed service on one daemon: leadership, record, orders, moves and the table for routing.
///
/// Handles TickEvent (each 50 ms), ObjectEvent and ObjectMissingEvent of its record, WriteResultEvent, LeaseReplyEvent,
/// PeerEvent (LeaseMessage), MembersEvent and StopEvent. The table is published as an Assignment whose slices have no
/// owner while a move is under way.
class LeaseController
{
public:
    explicit LeaseController(LeaseSettings settings);
    ~LeaseController();
    LeaseController(LeaseController &&) noexcept;
    LeaseController &operator=(LeaseController &&) noexcept;

    LeaseActions step(Instant now, const ControlEvent &event);
    /// Servers that are registered now; call at each change.
    LeaseActions setServers(Instant now, std::vector<LeaseServer> servers);
    /// Load of this daemon; sent to the leader, or taken in when it is this daemon.
    LeaseActions addLoad(Instant now, const KeyLoad &load);

    bool isLeader() const;
    /// Nothing is left to hand over after a StopEvent.
    bool isHandedOver() const;
    std::uint32_t epoch() const;
    /// Name of the daemon that leads as far as this one knows; empty when unknown.
    std::string leaderName() const;
    const Assignment &table() const;
    /// Ranges without a holder that may serve them now.
    std::size_t unservedRanges() const;

private:
    class Private;
    std::unique_ptr<Private> m_data;
};

}

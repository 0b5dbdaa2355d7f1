#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <galenarock/assignment.h>
#include <galenarock/control.h>

/// Ownership of keys at servers that check fencing tokens but issue no nonce.
///
/// A server holds a range of keys for the duration of a grant, counted from its arrival. Safety rests on two rules: a
/// range goes to another server only when no earlier grant of it can be in force any more, and every change of holder
/// has a higher fencing token. One daemon at a time is the leader of a service. It writes the possible holders to the
/// platform's store before it sends a lease call, so that the next leader can read them. The next leader makes no grant
/// before the evidence of its predecessor's lead has ended, since a restarted server refuses no token.
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
    /// Its keys move to other servers, and it gets no new ones.
    bool leaving = false;
    /// Its failure domain is being evacuated: its keys move as from a leaving server, but in several plans.
    bool evacuated = false;

    friend bool operator==(const LeaseServer &a, const LeaseServer &b)
    {
        return a.identity == b.identity && a.address == b.address && a.failureDomain == b.failureDomain
            && a.slots == b.slots && a.leaving == b.leaving && a.evacuated == b.evacuated;
    }
};

/// Possible holders of a range: `holder`, and from before a move begins until its end is recorded also `next`.
struct RecordedRange
{
    SliceRange range;
    /// Empty name: no server.
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
    /// Increases with each change of leader.
    std::uint32_t epoch = 0;
    /// Empty name after a planned stop: the former leader no longer sends lease calls.
    Identity leader;
    /// Earlier leaders that may still send lease calls.
    std::vector<Identity> former;
    std::vector<RecordedRange> ranges;
    /// Era of the store in which it was written; 0 for a store without eras.
    std::uint64_t era = 0;

    friend bool operator==(const LeaseRecord &a, const LeaseRecord &b)
    {
        return a.service == b.service && a.epoch == b.epoch && a.leader == b.leader && a.former == b.former
            && a.ranges == b.ranges && a.era == b.era;
    }
};

/// JSON shape: `{"service":"s","epoch":3,"era":1,"leader":"vm-1#7","former":[],"holds":[["0","ffff","i-1#5",""]]}`.
nlohmann::json toJson(const LeaseRecord &record);
Result<LeaseRecord> leaseRecordFromJson(const nlohmann::json &json);

/// Measurement of one server by one daemon.
struct ServerUse
{
    Identity server;
    /// Mean response time while the server has no queue, in seconds; 0 when unknown.
    double serviceSeconds = 0;

    friend bool operator==(const ServerUse &a, const ServerUse &b)
    {
        return a.server == b.server && a.serviceSeconds == b.serviceSeconds;
    }
};

/// Number of requests by key position, counted by one daemon over a period.
struct KeyLoad
{
    std::string service;
    /// Length of the period in seconds.
    double seconds = 0;
    std::vector<std::pair<KeyHash, std::uint32_t>> positions;
    std::vector<ServerUse> servers;
    /// A server of any service has answered the daemon a moment ago.
    bool hasServerContact = false;

    friend bool operator==(const KeyLoad &a, const KeyLoad &b)
    {
        return a.service == b.service && a.seconds == b.seconds && a.positions == b.positions && a.servers == b.servers
            && a.hasServerContact == b.hasServerContact;
    }
};

/// Messages between daemons about leases.
namespace LeaseMessage
{
/// Leader to all: heartbeat with the version of its table.
inline constexpr std::uint16_t Announce = PeerMessageRange::Ownership + 20;
/// Leader to all: the table.
inline constexpr std::uint16_t Table = Announce + 1;
/// To the leader: the sender needs the table, since its own is older than the announced one.
inline constexpr std::uint16_t TableRequest = Announce + 2;
/// To the leader: load by key.
inline constexpr std::uint16_t Load = Announce + 3;
/// Former leader to its successor: it no longer sends lease calls.
inline constexpr std::uint16_t Stopped = Announce + 4;
/// Leader to all: the slices that differ from an earlier version of the table.
inline constexpr std::uint16_t TableChange = Announce + 5;
}

/// Payload of Announce, TableRequest and Stopped: service, epoch and table version.
struct LeaseNotice
{
    std::string service;
    std::uint32_t epoch = 0;
    std::uint64_t version = 0;
    /// Announce: no earlier leader sends lease calls any more. The record shows this only after its next write.
    bool isSole = false;
    /// Announce: the leader cannot write its record, and asks a daemon that can to take the lead.
    bool wantsSuccessor = false;

    friend bool operator==(const LeaseNotice &a, const LeaseNotice &b)
    {
        return a.service == b.service && a.epoch == b.epoch && a.version == b.version && a.isSole == b.isSole
            && a.wantsSuccessor == b.wantsSuccessor;
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
    /// Length of a grant. After the crash of a server its keys are unavailable for about this long, and a change of
    /// leader must be complete within it, before the grants expire.
    Duration grantDuration = milliseconds(1'900);
    Duration renewEvery = milliseconds(500);
    /// Fraction by which a server's clock may run slower than the clock of this daemon.
    double clockDrift = 0.02;
    /// Longest time from the end of a call's connection, which discards what it has not sent (discardUnsent), to the
    /// arrival of bytes sent before.
    Duration deliveryAllowance = milliseconds(50);
    /// Longest time from the sending of a call to its arrival when its process may be suspended, so that the end of its
    /// connection is not known. The kernel sends unacknowledged bytes twice more, about 210 ms apart, before it
    /// discards them (`TCP_USER_TIMEOUT` of 250 ms, counted from the second time).
    Duration callLifetime = milliseconds(500);
    /// A call that waited longer in this process is dropped, since the state behind it is outdated.
    Duration sendWithin = milliseconds(250);
    /// A leader that could not write its record for this long stops sending lease calls. Long enough for an outage
    /// of the store, since no other daemon can take over during one.
    Duration leadershipTimeout = seconds(15);
    Duration renewRecordEvery = milliseconds(1'500);
    Duration announceEvery = milliseconds(150);
    /// Time without a message from the leader after which another daemon takes over.
    Duration takeoverAfter = milliseconds(650);
    /// Additional delay for a daemon that reaches no server, so that one that does comes first.
    Duration unreachableTakeoverDelay = seconds(2);
    /// Additional delay for each daemon that comes earlier in the takeover order.
    Duration takeoverStagger = milliseconds(150);
    /// Time for which a leader must have failed to write its record before it asks for a successor.
    Duration successorAfter = seconds(1);
    /// Time for which a daemon must have reached the store without a failure before it replaces such a leader: after an
    /// outage for all daemons the leader writes again first.
    Duration storeContactBeforeSuccession = seconds(3);
    /// Bytes per second that the leader uses for sending its table; a fifth of a link of 10 Mbit/s. When the table
    /// changes faster, several changes are sent in one message.
    double tableBytesPerSecond = 250'000;
    Duration planEvery = milliseconds(300);
    /// Lease calls that this VM can make beside its other work. Bounds the number of ranges, each of which needs its
    /// own renewals, and of moves.
    double callsPerSecond = 2'000;
    /// Width of the smallest range that can move, in key positions; a power of two.
    KeyHash minRangeWidth = KeyHash(1) << 48;
};

struct LeaseActions
{
    ControlActions control;
    std::vector<LeaseCall> calls;
};

/// State of one range as input of planLeaseMoves.
struct PlannedSlice
{
    SliceRange range;
    /// Empty name: no server.
    Identity holder;
    /// A move is under way or a lease call is in flight.
    bool isBusy = false;
    /// The holder changed a short time ago, so the measured load does not reflect the move yet.
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

/// Measured load as input of planLeaseMoves.
struct LeaseLoad
{
    /// Requests per second by key position; only positions with requests.
    std::map<KeyHash, double> positions;
    /// Mean response time of each server without queueing, in seconds.
    std::map<Identity, double> serviceSeconds;
    /// Requests per second that servers state as their limit; only servers that state one.
    std::map<Identity, double> requestRates;
    /// Groups of neighbouring keys whose load has risen suddenly.
    std::vector<SliceRange> hotRanges;
};

/// Bounds of one plan.
struct LeasePlanLimits
{
    /// Width of the smallest range that can move; a power of two.
    KeyHash minRangeWidth = KeyHash(1) << 48;
    /// Number of ranges from which none is divided any more to balance load.
    std::size_t maxRanges = std::numeric_limits<std::size_t>::max();
    /// Moves beyond those of ranges without a usable holder.
    std::size_t maxBalancingMoves = std::numeric_limits<std::size_t>::max();
};

/// Plans moves that assign ranges without a usable holder and balance the utilization of the servers. Pure function.
///
/// Ranges of evacuated servers move hottest first, in each plan as many as its limits and the room of the other servers
/// allow, but at least a third of them, so that they have left within a few plans. Without any other server they stay.
///
/// Close to `maxRanges`, lightly loaded ranges also move to the holder of a neighbour, so that they can be joined.
///
/// Moves the narrowest range that carries the excess load, since each moved key has a cost: a group of hot
/// neighbouring keys is spread over several servers within a few calls, and idle keys stay where they are. A hot range
/// whose holder is overloaded is divided in one call over as many servers as its load needs.
std::vector<LeaseMove> planLeaseMoves(const std::vector<PlannedSlice> &slices, const std::vector<LeaseServer> &servers,
                                      const LeaseLoad &load, const LeasePlanLimits &limits);

/// Pure core for one keyed service on one daemon: leadership, record, lease calls, moves and the table for routing.
///
/// Handles TickEvent (each 50 ms), ObjectEvent and ObjectMissingEvent of its record, WriteResultEvent, LeaseReplyEvent,
/// PeerEvent (LeaseMessage), MembersEvent, StoreEraEvent and StopEvent. The table is published as an Assignment whose
/// slices have no owner while a move is under way.
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
    /// Load measured by this daemon; sent to the leader, or used directly when this daemon is the leader.
    LeaseActions addLoad(Instant now, const KeyLoad &load);
    /// Requests per second that servers state as their limit. The next plan moves keys accordingly.
    void setRequestRates(std::map<Identity, double> rates);

    /// Whether this VM reaches servers at all. A leader that does not hands its lead over when another daemon reports
    /// contact, and a follower that does not takes the lead only when no other daemon does.
    void setReachesServers(bool reachesServers);
    /// Whether the store answers this daemon. Only one that it answers replaces a leader that cannot write the record.
    void setReachesStore(bool reachesStore);

    bool isLeader() const;
    /// After a StopEvent: leadership was handed over, or there was none to hand over.
    bool isHandedOver() const;
    std::uint32_t epoch() const;
    /// Name of the last leader that this daemon has seen; empty when unknown.
    std::string leaderName() const;
    const Assignment &table() const;
    /// Number of ranges without a holder that may serve them now.
    std::size_t unservedRanges() const;

private:
    class Private;
    std::unique_ptr<Private> m_data;
};

}

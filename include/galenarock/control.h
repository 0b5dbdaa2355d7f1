#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <galenarock/assignment.h>
#include <galenarock/base.h>
#include <galenarock/eventlog.h>
#include <galenarock/platform.h>

/// Events and actions of the control cores (ownership, membership, configuration).
///
/// A core is a class with `std::vector<ControlAction> step(Instant now, const ControlEvent &event)`. It has no clock,
/// socket, thread or random source of its own. The control thread of the daemon feeds every event to every core and
/// carries the actions out; replay and fuzzing feed recorded or generated events to the same classes.
namespace Galenarock
{

/// Sent each 50 ms.
struct TickEvent
{
};

struct VmListEvent
{
    VmList list;
};

/// A read, a watch or a peer delivered this version of an object.
struct ObjectEvent
{
    StoredObject object;
    /// False when it came from another daemon instead of the platform.
    bool fromPlatform = true;
};

struct ObjectMissingEvent
{
    ObjectKey key;
};

/// A list of all objects of a kind is complete, or a watch of it has continued: what was handed up before is the
/// kind's state at this revision.
struct KindSyncedEvent
{
    std::string kind;
    std::uint64_t revision = 0;
    /// Revision of the kind's last change, as far as the client knows. Not part of recorded traces.
    std::uint64_t lastChange = 0;
};

struct WriteResultEvent
{
    ObjectKey key;
    std::uint64_t writer = 0;
    /// When the request was sent; contact with the platform counts from here.
    Instant sentAt;
    WriteStatus status = WriteStatus::Unknown;
    /// Applied: the new version. Conflict: the current object.
    StoredObject current;
};

enum class GrantAction : std::uint8_t
{
    Poll,
    Renew,
    Grant,
    Revoke,
    Fence,
};

struct GrantedSlice
{
    SliceRange range;
    std::uint64_t sequence = 0;

    friend bool operator==(const GrantedSlice &a, const GrantedSlice &b)
    {
        return a.range == b.range && a.sequence == b.sequence;
    }
};

/// Body of `POST /grants`.
struct GrantRequest
{
    std::string service;
    Identity sender;
    /// Boot number of the server that is meant; 0 in the first poll. Another boot refuses.
    std::uint64_t boot = 0;
    std::uint32_t epoch = 0;
    std::uint64_t nonce = 0;
    std::int64_t termMs = 0;
    GrantAction action = GrantAction::Poll;
    std::vector<GrantedSlice> slices;
};

enum class ServerState : std::uint8_t
{
    Cold,
    Ready,
    Draining,
};

/// Response to `POST /grants`. Every response carries a fresh nonce, from whose issue the next term is counted.
struct GrantReply
{
    std::uint64_t boot = 0;
    std::uint32_t epoch = 0;
    std::uint64_t nonce = 0;
    bool accepted = false;
    std::string reason;
    ServerState state = ServerState::Ready;
    std::uint32_t inFlight = 0;
    std::vector<GrantedSlice> held;
};

nlohmann::json toJson(const GrantRequest &request);
nlohmann::json toJson(const GrantReply &reply);
Result<GrantRequest> grantRequestFromJson(const nlohmann::json &json);
Result<GrantReply> grantReplyFromJson(const nlohmann::json &json);

struct GrantReplyEvent
{
    /// Name in the VM list.
    std::string server;
    GrantRequest request;
    Instant sentAt;
    /// Empty when the call failed or timed out.
    std::optional<GrantReply> reply;
};

/// An order to a server that checks fencing tokens but issues no nonce (galenarock/leases.h).
enum class LeaseCommand : std::uint8_t
{
    /// Gives or renews keys for `grantDuration`, counted by the server from the arrival of the call.
    Grant,
    /// Takes keys back; answered when the requests that run on them have ended.
    Release,
};

struct LeaseCall
{
    std::string service;
    Identity server;
    std::string address;
    LeaseCommand command = LeaseCommand::Grant;
    SliceRange range;
    /// Fencing token under which the server holds the keys.
    std::uint64_t fencingToken = 0;
    Duration grantDuration{};
    /// Proof of the former holder's release, passed to the next one so that the keys arrive warm; may be empty.
    std::string releaseProof;
    /// Matches the reply to the call.
    std::uint64_t callNumber = 0;
    /// The call is not sent later than this on the clock that counts suspension.
    Instant sendBefore{};
    /// LeaseReplyEvent::connection of the call in which the server accepted the fencing token; 0 if it has not yet. The
    /// call is then not sent over a connection opened later, at whose other end may be a later process of the server.
    std::uint64_t connection = 0;
    /// Grants: a range that the server does not hold. It is released over a new connection before the grant goes over
    /// it, to see that the server reads what arrives there. Empty if no such range is known.
    std::optional<SliceRange> unheldRange;
};

enum class LeaseCallStatus : std::uint8_t
{
    Accepted,
    /// The server has seen a higher fencing token for one of the keys.
    Outdated,
    /// Refused for another reason; it had no effect.
    Refused,
    /// The server could not be reached; no byte of the call was sent.
    NotSent,
    /// No answer; the order may have taken effect, or may still do so.
    Unknown,
    /// Dropped in this process because it waited too long to be sent; says nothing about the server.
    Late,
    /// Not sent, since the connection over which the server accepted the fencing token is not the latest one.
    Reconnected,
};

struct LeaseReplyEvent
{
    LeaseCall call;
    /// The call was sent no earlier than this.
    Instant sentAt;
    LeaseCallStatus status = LeaseCallStatus::Unknown;
    /// Number of the latest connection to the address when the call was sent. Increases with each new connection.
    std::uint64_t connection = 0;
    /// Release: proof for the next holder.
    std::string releaseProof;
    /// Why the call failed, for the log; empty when it was accepted.
    std::string detail;
    /// By this time the reply was complete, or the connection had ended and its unsent bytes were discarded.
    Instant endedAt{};
    /// The reply says that the server leaves.
    bool isServerLeaving = false;
};

/// A message from another daemon whose MAC was verified. `payload` is the slice's own cereal encoding.
struct PeerEvent
{
    Identity sender;
    std::uint16_t type = 0;
    std::string payload;
};

enum class MemberStatus : std::uint8_t
{
    Alive,
    Suspect,
    Dead,
    /// Announced a planned stop.
    Leaving,
};

/// One daemon as the local failure detector sees it.
struct Member
{
    Identity identity;
    std::string failureDomain;
    std::string address;
    std::string peerAddress;
    MemberStatus status = MemberStatus::Alive;
    /// False once the platform's VM list no longer names the VM.
    bool listed = true;
    /// Processor time that the VM may use, in hundredths of a core. Control duties go to large VMs first.
    std::uint16_t cpuPercent = 100;

    friend bool operator==(const Member &a, const Member &b)
    {
        return a.identity == b.identity && a.failureDomain == b.failureDomain && a.address == b.address
            && a.peerAddress == b.peerAddress && a.status == b.status && a.listed == b.listed
            && a.cpuPercent == b.cpuPercent;
    }
};

/// The complete member table, this daemon included, sorted by name; sent after each change.
struct MembersEvent
{
    std::vector<Member> members;
};

/// SIGTERM: hand over and stop.
struct StopEvent
{
};

/// The store's era, which rises each time the store continues from an older copy of itself: what was written since is
/// lost, and versions are given out again. Comes before the first event of the era, also of the first one.
struct StoreEraEvent
{
    std::uint64_t era = 0;
};

/// A server says in a response that it leaves.
struct ServerLeavingEvent
{
    Identity server;
};

using ControlEvent =
    std::variant<TickEvent, VmListEvent, ObjectEvent, ObjectMissingEvent, WriteResultEvent, GrantReplyEvent, PeerEvent,
                 MembersEvent, StopEvent, KindSyncedEvent, LeaseReplyEvent, StoreEraEvent, ServerLeavingEvent>;

struct ReadObjectAction
{
    ObjectKey key;
    CallPriority priority = CallPriority::Configuration;
};

/// Conditional update; `expectedVersion` 0 creates.
struct WriteObjectAction
{
    ObjectKey key;
    std::uint64_t expectedVersion = 0;
    std::uint64_t writer = 0;
    nlohmann::json value;
    CallPriority priority = CallPriority::Status;
    /// Removes the object instead; `expectedVersion` 0 removes any version.
    bool isRemoval = false;
};

struct CallServerAction
{
    std::string server;
    std::string address;
    GrantRequest request;
};

/// Sends to the VM of that name; UDP when the frame is at most 1,200 bytes, else TCP.
struct SendPeerAction
{
    std::string vm;
    std::uint16_t type = 0;
    std::string payload;
};

/// The routing threads use this assignment from now on.
struct PublishAssignmentAction
{
    Assignment assignment;
};

/// The member table changed; the control thread passes it to every core as a MembersEvent.
struct PublishMembersAction
{
    std::vector<Member> members;
};

/// A decision for the log and for `/explain`; `range` is the affected part of the service's hash space.
struct DecisionAction
{
    EventType event;
    std::string service;
    SliceRange range;
    std::string text;
};

using ControlAction = std::variant<ReadObjectAction, WriteObjectAction, CallServerAction, SendPeerAction,
                                   PublishAssignmentAction, PublishMembersAction, DecisionAction>;

using ControlActions = std::vector<ControlAction>;

/// Peer message type numbers, divided among the slices.
namespace PeerMessageRange
{
inline constexpr std::uint16_t Membership = 1;
inline constexpr std::uint16_t Config = 20;
inline constexpr std::uint16_t Ownership = 40;
inline constexpr std::uint16_t Requests = 70;
}

}

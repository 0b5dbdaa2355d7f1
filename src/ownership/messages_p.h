#pragma once

#include <optional>
#include <sstream>
#include <string>
#include <vector>

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <galenarock/control.h>

/// Messages between the shard controllers of the daemons, types 40 to 69.
namespace Galenarock::OwnershipMessages
{

/// Values on the wire; never reused.
enum class Type : std::uint16_t
{
    AssignmentUpdate = PeerMessageRange::Ownership,
    StopRequest,
    StopAck,
    ContactQuery,
    ContactAnswer,
    PermitQuery,
    PermitAnswer,
    AssignmentDigest,
    SliceStopRequest,
    SliceStopAck,
};

/// The mandate object and the assignment in effect, each as JSON text; the text is empty when it is not known.
struct AssignmentUpdate
{
    static constexpr Type type = Type::AssignmentUpdate;
    std::string shard;
    std::uint64_t mandateVersion = 0;
    std::uint64_t mandateWriter = 0;
    std::string mandate;
    std::string assignment;
    template<typename Archive> void serialize(Archive &archive)
    {
        archive(shard, mandateVersion, mandateWriter, mandate, assignment);
    }
};

/// Asks to send no renewals to `servers` (each `name#boot`) any more; the set replaces the one of a lower counter.
/// A request of a higher epoch than the receiver's mandate asks it to stop all renewals.
struct StopRequest
{
    static constexpr Type type = Type::StopRequest;
    std::string shard;
    std::uint32_t epoch = 0;
    std::uint64_t counter = 0;
    std::vector<std::string> servers;
    template<typename Archive> void serialize(Archive &archive)
    {
        archive(shard, epoch, counter, servers);
    }
};

/// What a server answered to the deputy; the lists have one entry for each slice held.
struct ServerReport
{
    std::string server;
    std::uint32_t epoch = 0;
    std::vector<std::uint64_t> first;
    std::vector<std::uint64_t> last;
    std::vector<std::uint64_t> sequences;
    template<typename Archive> void serialize(Archive &archive)
    {
        archive(server, epoch, first, last, sequences);
    }
};

struct StopAck
{
    static constexpr Type type = Type::StopAck;
    std::string shard;
    std::uint32_t epoch = 0;
    std::uint64_t counter = 0;
    /// True when every renewal of every epoch below `epoch` has stopped.
    bool allStopped = false;
    std::vector<std::string> servers;
    /// For each server, time since the sender received its last nonce that a renewal may have carried; -1 for never.
    std::vector<std::int64_t> nonceAgeMs;
    /// Servers that the sender still reaches and therefore goes on renewing.
    std::vector<ServerReport> refused;
    template<typename Archive> void serialize(Archive &archive)
    {
        archive(shard, epoch, counter, allStopped, servers, nonceAgeMs, refused);
    }
};

struct ContactQuery
{
    static constexpr Type type = Type::ContactQuery;
    std::string shard;
    std::uint32_t epoch = 0;
    std::uint64_t nonce = 0;
    template<typename Archive> void serialize(Archive &archive)
    {
        archive(shard, epoch, nonce);
    }
};

struct ContactAnswer
{
    static constexpr Type type = Type::ContactAnswer;
    std::string shard;
    std::uint32_t epoch = 0;
    std::uint64_t nonce = 0;
    /// Age of the coordinator's last successful mandate write, from its sending.
    std::int64_t ageMs = 0;
    template<typename Archive> void serialize(Archive &archive)
    {
        archive(shard, epoch, nonce, ageMs);
    }
};

/// Versions that a daemon has; one that has newer ones replies with an AssignmentUpdate.
struct AssignmentDigest
{
    static constexpr Type type = Type::AssignmentDigest;
    std::string shard;
    std::uint64_t mandateVersion = 0;
    std::uint32_t epoch = 0;
    std::uint64_t nextSequence = 0;
    template<typename Archive> void serialize(Archive &archive)
    {
        archive(shard, mandateVersion, epoch, nextSequence);
    }
};

struct PermitQuery
{
    static constexpr Type type = Type::PermitQuery;
    std::string shard;
    std::uint64_t nonce = 0;
    template<typename Archive> void serialize(Archive &archive)
    {
        archive(shard, nonce);
    }
};

/// Permission to route for a term, counted from the sending of the query, by an assignment not older than
/// (epoch, nextSequence) and without the slices of `stops`.
struct PermitAnswer
{
    static constexpr Type type = Type::PermitAnswer;
    std::string shard;
    std::uint64_t nonce = 0;
    std::uint32_t epoch = 0;
    std::uint64_t nextSequence = 0;
    std::uint64_t stopCounter = 0;
    std::vector<std::uint64_t> stops;
    template<typename Archive> void serialize(Archive &archive)
    {
        archive(shard, nonce, epoch, nextSequence, stopCounter, stops);
    }
};

/// Asks every daemon to route the slices to nobody; the lists have one entry for each slice.
struct SliceStopRequest
{
    static constexpr Type type = Type::SliceStopRequest;
    std::string shard;
    std::uint32_t epoch = 0;
    std::uint64_t counter = 0;
    std::vector<std::uint64_t> sequences;
    std::vector<std::uint64_t> first;
    std::vector<std::uint64_t> last;
    std::vector<std::string> servers;
    template<typename Archive> void serialize(Archive &archive)
    {
        archive(shard, epoch, counter, sequences, first, last, servers);
    }
};

/// Slices that the sender does not route and of which none of its requests may still run.
struct SliceStopAck
{
    static constexpr Type type = Type::SliceStopAck;
    std::string shard;
    std::uint32_t epoch = 0;
    std::vector<std::uint64_t> sequences;
    /// Daemons (`name#boot`) with a running permit from the sender.
    std::vector<std::string> holders;
    template<typename Archive> void serialize(Archive &archive)
    {
        archive(shard, epoch, sequences, holders);
    }
};

template<typename Message> std::string encode(const Message &message)
{
    std::ostringstream buf;
    {
        cereal::PortableBinaryOutputArchive archive(buf);
        archive(message);
    }
    return buf.str();
}

/// Empty on a truncated or malformed payload.
template<typename Message> std::optional<Message> decode(const std::string &payload)
{
    try {
        std::istringstream buf(payload);
        cereal::PortableBinaryInputArchive archive(buf);
        Message message;
        archive(message);
        return message;
    } catch (const std::exception &) {
        return {};
    }
}

template<typename Message> SendPeerAction toPeer(const std::string &vm, const Message &message)
{
    return SendPeerAction{vm, static_cast<std::uint16_t>(Message::type), encode(message)};
}

}

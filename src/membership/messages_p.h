#pragma once

#include <string>
#include <vector>

#include <galenarock/control.h>

#include "peer/wire_p.h"

namespace Galenarock
{

/// Message types of the membership module (1-19).
namespace MemberMessage
{
inline constexpr std::uint16_t Ping = PeerMessageRange::Membership;
inline constexpr std::uint16_t Ack = Ping + 1;
inline constexpr std::uint16_t IndirectPing = Ping + 2;
/// Requests the full table; not answered when the receiver's digest is equal.
inline constexpr std::uint16_t TableQuery = Ping + 3;
inline constexpr std::uint16_t Table = Ping + 4;
inline constexpr std::uint16_t End = 20;
}

/// Maximum length of names, failure domains and addresses on the wire.
inline constexpr std::size_t maxMemberTextBytes = 63;
/// Maximum size of the updates in one probe message. At about 5.2 messages per second a daemon sends at most 2.7 KB/s,
/// even while updates about a lost failure domain spread.
inline constexpr std::size_t maxPiggybackBytes = 400;
inline constexpr std::size_t maxTableEntries = 20'000;

/// Gossip update about one member. Addresses and failure domain are empty in a brief update.
struct MemberUpdate
{
    Identity identity;
    std::uint64_t incarnation = 0;
    MemberStatus status = MemberStatus::Alive;
    std::string failureDomain;
    std::string address;
    std::string peerAddress;
    /// Member::cpuPercent; not meaningful in a brief update.
    std::uint16_t cpuPercent = 100;

    template<typename Archive> void serialize(Archive &archive)
    {
        Wire::text<std::uint8_t>(archive, identity.name, maxMemberTextBytes);
        archive(identity.boot, incarnation, status);
        Wire::text<std::uint8_t>(archive, failureDomain, maxMemberTextBytes);
        Wire::text<std::uint8_t>(archive, address, maxMemberTextBytes);
        Wire::text<std::uint8_t>(archive, peerAddress, maxMemberTextBytes);
        archive(cpuPercent);
    }
    std::size_t size() const
    {
        return 4 + 8 + 8 + 1 + 2 + identity.name.size() + failureDomain.size() + address.size() + peerAddress.size();
    }
    bool isBrief() const
    {
        return peerAddress.empty();
    }
    bool isValid() const
    {
        return !identity.name.empty() && status <= MemberStatus::Leaving;
    }
};

/// Ping, Ack and IndirectPing.
struct ProbeMessage
{
    std::uint64_t sequence = 0;
    /// IndirectPing: the member to probe.
    std::string target;
    std::vector<MemberUpdate> updates;

    template<typename Archive> void serialize(Archive &archive)
    {
        archive(sequence);
        Wire::text<std::uint8_t>(archive, target, maxMemberTextBytes);
        Wire::list(archive, updates, maxTableEntries);
    }
};

/// TableQuery (only the sender's own update) and Table (updates of all members).
struct TableMessage
{
    std::uint64_t digest = 0;
    std::vector<MemberUpdate> updates;

    template<typename Archive> void serialize(Archive &archive)
    {
        archive(digest);
        Wire::list(archive, updates, maxTableEntries);
    }
};

}

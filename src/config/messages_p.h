#pragma once

#include <string>
#include <vector>

#include <galenarock/control.h>

#include "peer/wire_p.h"

namespace Galenarock
{

/// Message types of the configuration module (20-39).
namespace ConfigMessage
{
inline constexpr std::uint16_t Digest = PeerMessageRange::Config;
inline constexpr std::uint16_t Items = Digest + 1;
inline constexpr std::uint16_t Versions = Digest + 2;
inline constexpr std::uint16_t Query = Digest + 3;
inline constexpr std::uint16_t Report = Digest + 4;
}

/// Objects are divided by their key's hash; 64 buckets take 512 bytes, so a digest fits a datagram at any count.
inline constexpr std::size_t bucketCount = 64;
inline constexpr std::size_t maxKeyTextBytes = 255;
/// The platform stores values up to 1 MB.
inline constexpr std::size_t maxValueBytes = 2 << 20;
/// Versions or keys in one message.
inline constexpr std::size_t maxListedVersions = 512;
/// Values in one message, in bytes; a single larger value is sent alone.
inline constexpr std::size_t maxItemsBytes = 256 << 10;
/// News up to this size are sent with their values; above, only versions are announced and the values asked for.
inline constexpr std::size_t maxEagerBytes = 900;
inline constexpr std::size_t maxReportedVersions = 16;

template<typename Archive> void serializeKey(Archive &archive, ObjectKey &key)
{
    Wire::text<std::uint8_t>(archive, key.kind, maxKeyTextBytes);
    Wire::text<std::uint8_t>(archive, key.name, maxKeyTextBytes);
}

/// Without buckets: asks whether the receiver's digest is the same. With buckets: the answer when it is not.
struct DigestMessage
{
    std::uint64_t root = 0;
    /// An answer is wanted even when the digests are equal.
    bool wantsAnswer = false;
    std::vector<std::uint64_t> buckets;

    template<typename Archive> void serialize(Archive &archive)
    {
        archive(root, wantsAnswer);
        Wire::list(archive, buckets, bucketCount);
    }
};

struct WireVersion
{
    ObjectKey key;
    std::uint64_t version = 0;

    template<typename Archive> void serialize(Archive &archive)
    {
        serializeKey(archive, key);
        archive(version);
    }
    std::size_t size() const
    {
        return 2 + 8 + key.kind.size() + key.name.size();
    }
};

/// Versions of the sender. `buckets` marks the buckets that are listed completely: what is missing there, the sender
/// does not have.
struct VersionsMessage
{
    std::uint64_t buckets = 0;
    std::vector<WireVersion> versions;

    template<typename Archive> void serialize(Archive &archive)
    {
        archive(buckets);
        Wire::list(archive, versions, maxListedVersions);
    }
};

/// Asks for objects.
struct QueryMessage
{
    std::vector<WireVersion> wanted;

    template<typename Archive> void serialize(Archive &archive)
    {
        Wire::list(archive, wanted, maxListedVersions);
    }
};

/// An object with its value as JSON text.
struct WireItem
{
    ObjectKey key;
    std::uint64_t version = 0;
    std::uint64_t writer = 0;
    std::string value;

    template<typename Archive> void serialize(Archive &archive)
    {
        serializeKey(archive, key);
        archive(version, writer);
        Wire::text<std::uint32_t>(archive, value, maxValueBytes);
    }
    std::size_t size() const
    {
        return 2 + 8 + 8 + 4 + key.kind.size() + key.name.size() + value.size();
    }
};

struct ItemsMessage
{
    std::vector<WireItem> items;

    template<typename Archive> void serialize(Archive &archive)
    {
        Wire::list(archive, items, maxListedVersions);
    }
};

/// State of a daemon for the relay of its failure domain: digest and latest changes.
struct ReportMessage
{
    std::uint64_t root = 0;
    std::vector<WireVersion> latest;

    template<typename Archive> void serialize(Archive &archive)
    {
        archive(root);
        Wire::list(archive, latest, maxReportedVersions);
    }
};

}

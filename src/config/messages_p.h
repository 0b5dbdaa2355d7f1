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

/// Objects are assigned to buckets by the hash of their key. 64 bucket digests take 512 bytes, so a digest message fits
/// one datagram for any number of objects.
inline constexpr std::size_t bucketCount = 64;
inline constexpr std::size_t maxKeyTextBytes = 255;
/// Maximum size of a JSON value; the platform stores values up to 1 MB.
inline constexpr std::size_t maxValueBytes = 2 << 20;
/// Maximum number of versions or items in one message.
inline constexpr std::size_t maxListedVersions = 512;
/// Maximum total size of the items in one message; a single larger item is sent alone.
inline constexpr std::size_t maxItemsBytes = 256 << 10;
/// Updates up to this total size are pushed with their values. For larger ones only the versions are announced, and the
/// receiver queries the values.
inline constexpr std::size_t maxEagerPushBytes = 900;
inline constexpr std::size_t maxReportedVersions = 16;

template<typename Archive> void serializeKey(Archive &archive, ObjectKey &key)
{
    Wire::text<std::uint8_t>(archive, key.kind, maxKeyTextBytes);
    Wire::text<std::uint8_t>(archive, key.name, maxKeyTextBytes);
}

/// Anti-entropy digest. Without buckets: a request to compare digests. With buckets: the reply, sent when the digests
/// differ or a reply is required.
struct DigestMessage
{
    std::uint64_t root = 0;
    /// Requests a reply even when the digests are equal.
    bool isReplyRequired = false;
    std::vector<std::uint64_t> buckets;

    template<typename Archive> void serialize(Archive &archive)
    {
        archive(root, isReplyRequired);
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

/// Versions of the sender. `buckets` is a bit mask of the buckets that are listed completely: the sender does not have
/// any other object of these buckets.
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

/// Requests objects with their values.
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

/// Report of a daemon to the relays of its failure domain: root digest and latest changes.
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

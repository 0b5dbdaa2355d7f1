#pragma once

#include <array>
#include <deque>
#include <map>

#include "config/messages_p.h"

namespace Galenarock
{

/// Highest known version of each object. Values are stored as text: an assignment of 10,000 slices takes 0.6 MB as text
/// and about 20 times as much as a JSON tree.
class ObjectStore
{
public:
    enum class Outcome : std::uint8_t
    {
        Newer,
        Stale,
        Contradiction,
    };

    struct Entry
    {
        std::uint64_t version = 0;
        std::uint64_t writer = 0;
        std::string value;
    };

    /// Stores a newer version. Contradiction: the known version with different content, which is not stored.
    Outcome put(const WireItem &item);
    const Entry *find(const ObjectKey &key) const;
    /// 0 when the object is not known.
    std::uint64_t versionOf(const ObjectKey &key) const;
    bool hasKind(const std::string &kind) const;

    static std::size_t bucketOf(const ObjectKey &key);
    const std::array<std::uint64_t, bucketCount> &buckets() const
    {
        return m_buckets;
    }
    /// Digest over all buckets; equal for equal versions of all objects.
    std::uint64_t root() const;
    const std::map<ObjectKey, Entry> &all() const
    {
        return m_objects;
    }
    std::vector<ObjectKey> keysOf(std::size_t bucket) const;
    /// Most recently changed objects, newest first; at most maxReportedVersions.
    const std::deque<ObjectKey> &latest() const
    {
        return m_latest;
    }

private:
    void updateLatest(const ObjectKey &key);

    std::map<ObjectKey, Entry> m_objects;
    std::array<std::vector<ObjectKey>, bucketCount> m_keys;
    std::array<std::uint64_t, bucketCount> m_buckets{};
    std::deque<ObjectKey> m_latest;
};

WireItem toItem(const ObjectKey &key, const ObjectStore::Entry &entry);
/// Empty when the value is not valid JSON.
std::optional<StoredObject> toObject(const ObjectKey &key, const ObjectStore::Entry &entry);

}

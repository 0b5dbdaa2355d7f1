#include "config/objectstore_p.h"

#include <algorithm>

namespace Galenarock
{

namespace
{
std::uint64_t hashOf(const ObjectKey &key, std::uint64_t version)
{
    auto text = key.kind;
    text += '/';
    text += key.name;
    text.append(reinterpret_cast<const char *>(&version), sizeof version);
    return hashKey(text);
}
}

std::size_t ObjectStore::bucketOf(const ObjectKey &key)
{
    return hashOf(key, 0) % bucketCount;
}

ObjectStore::Outcome ObjectStore::put(const WireItem &item)
{
    const auto known = versionOf(item.key);
    if (item.version < known || item.version == 0) {
        return Outcome::Stale;
    }
    auto &entry = m_objects[item.key];
    if (item.version == known) {
        return item.value == entry.value ? Outcome::Stale : Outcome::Contradiction;
    }
    const auto bucket = bucketOf(item.key);
    if (entry.version == 0) {
        m_keys[bucket].push_back(item.key);
    } else {
        m_buckets[bucket] ^= hashOf(item.key, entry.version);
    }
    entry = Entry{item.version, item.writer, item.value};
    m_buckets[bucket] ^= hashOf(item.key, entry.version);
    updateLatest(item.key);
    return Outcome::Newer;
}

void ObjectStore::updateLatest(const ObjectKey &key)
{
    m_latest.erase(std::remove(m_latest.begin(), m_latest.end(), key), m_latest.end());
    m_latest.push_front(key);
    if (m_latest.size() > maxReportedVersions) {
        m_latest.pop_back();
    }
}

const ObjectStore::Entry *ObjectStore::find(const ObjectKey &key) const
{
    const auto it = m_objects.find(key);
    return it == m_objects.end() ? nullptr : &it->second;
}

std::uint64_t ObjectStore::versionOf(const ObjectKey &key) const
{
    const auto *entry = find(key);
    return entry == nullptr ? 0 : entry->version;
}

bool ObjectStore::hasKind(const std::string &kind) const
{
    const auto it = m_objects.lower_bound(ObjectKey{kind, {}});
    return it != m_objects.end() && it->first.kind == kind;
}

std::uint64_t ObjectStore::root() const
{
    return hashKey({reinterpret_cast<const char *>(m_buckets.data()), sizeof m_buckets});
}

std::vector<ObjectKey> ObjectStore::keysOf(std::size_t bucket) const
{
    return m_keys[bucket];
}

WireItem toItem(const ObjectKey &key, const ObjectStore::Entry &entry)
{
    return WireItem{key, entry.version, entry.writer, entry.value};
}

std::optional<StoredObject> toObject(const ObjectKey &key, const ObjectStore::Entry &entry)
{
    auto value = nlohmann::json::parse(entry.value, nullptr, false);
    if (value.is_discarded()) {
        return {};
    }
    return StoredObject{key, entry.version, entry.writer, std::move(value)};
}

}

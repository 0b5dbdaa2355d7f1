#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include <galenarock/platform.h>

namespace Galenarock::Standin
{

/// One version of an object. `writer` is kept as JSON and returned as it was sent.
struct ObjectVersion
{
    std::uint64_t version = 0;
    /// Position in the order of all writes of the store.
    std::uint64_t revision = 0;
    Instant writtenAt;
    nlohmann::json writer;
    nlohmann::json value;
};

/// A conditional update.
struct ObjectWrite
{
    ObjectKey key;
    std::uint64_t expectedVersion = 0;
    nlohmann::json writer;
    nlohmann::json value;
    /// Header X-Team; empty when the system itself writes.
    std::string team;
};

struct ObjectWriteResult
{
    enum class Status : std::uint8_t
    {
        Applied,
        Conflict,
        WrongTeam,
        TooLarge,
    };
    Status status = Status::Applied;
    std::uint64_t version = 0;
    /// Conflict: the stored object, or null when none is stored.
    nlohmann::json current;
    std::string detail;
};

struct ObjectList
{
    std::uint64_t revision = 0;
    std::vector<nlohmann::json> items;
};

/// Largest value, as JSON text without blanks.
inline constexpr std::size_t maxValueBytes = 1'000'000;

/// The objects of the platform with a history that answers stale reads. Has no clock: the time is passed in.
class ObjectStore
{
public:
    /// How long superseded versions stay available for stale reads; longer staleness is not supported.
    static constexpr Duration historyLength = seconds(120);

    ObjectWriteResult write(Instant now, const ObjectWrite &write);
    /// The object as it was at `asOf`; null when it did not exist.
    nlohmann::json read(const ObjectKey &key, Instant asOf) const;
    /// All objects of `kind` changed after `since`, as they were at `asOf`.
    ObjectList list(const std::string &kind, std::uint64_t since, Instant asOf) const;
    std::uint64_t revision() const
    {
        return m_revision;
    }

private:
    using History = std::vector<ObjectVersion>;
    static const ObjectVersion *find(const History &history, Instant asOf);
    static nlohmann::json toJson(const ObjectKey &key, const ObjectVersion &version);
    static void prune(History &history, Instant now);
    std::string teamFinding(const ObjectWrite &write, const ObjectVersion *current) const;

    std::map<ObjectKey, History> m_objects;
    /// Time and number of each write, for the revision of a stale list.
    std::map<std::uint64_t, Instant> m_writeTimes;
    std::uint64_t m_revision = 0;
};

}

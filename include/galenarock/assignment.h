#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include <galenarock/base.h>
#include <galenarock/error.h>

/// Slices of the hash space, fencing tokens and the assignment of slices to backend servers.
namespace Galenarock
{

/// Fencing token of a slice. The epoch is the mandate's; the sequence grows with each change of the slice's owner.
/// A server refuses a request whose token is not exactly the one that it holds for the key.
struct Token
{
    std::uint32_t epoch = 0;
    std::uint64_t sequence = 0;

    friend bool operator==(const Token &a, const Token &b)
    {
        return a.epoch == b.epoch && a.sequence == b.sequence;
    }
    friend bool operator!=(const Token &a, const Token &b)
    {
        return !(a == b);
    }
    friend bool operator<(const Token &a, const Token &b)
    {
        return std::tie(a.epoch, a.sequence) < std::tie(b.epoch, b.sequence);
    }
};

/// `<epoch>.<sequence>`, as in the header Galenarock-Token.
std::string toString(const Token &token);
std::optional<Token> parseToken(std::string_view text);

/// Inclusive range [first, last] of the 64-bit hash space; inclusive so that the whole space is expressible.
/// In JSON, `begin` is the first and `end` the last position, as hexadecimal text.
struct SliceRange
{
    KeyHash first = 0;
    KeyHash last = ~KeyHash(0);

    bool contains(KeyHash hash) const
    {
        return first <= hash && hash <= last;
    }
    bool overlaps(const SliceRange &other) const
    {
        return first <= other.last && other.first <= last;
    }
    /// A hot key isolated by itself.
    bool isSingleKey() const
    {
        return first == last;
    }
    friend bool operator==(const SliceRange &a, const SliceRange &b)
    {
        return a.first == b.first && a.last == b.last;
    }
    friend bool operator<(const SliceRange &a, const SliceRange &b)
    {
        return std::tie(a.first, a.last) < std::tie(b.first, b.last);
    }
};

/// Index into Assignment::servers.
using ServerIndex = std::uint16_t;
inline constexpr ServerIndex noServer = 0xffff;

/// Number of servers after the owner for which tokens are reserved in advance (sequence + 1, sequence + 2).
inline constexpr std::size_t successorCount = 2;

/// One slice with its owner. `owner` is noServer while nobody may serve it.
struct SliceAssignment
{
    SliceRange range;
    ServerIndex owner = noServer;
    std::uint64_t sequence = 0;
    std::vector<ServerIndex> successors;

    friend bool operator==(const SliceAssignment &a, const SliceAssignment &b)
    {
        return a.range == b.range && a.owner == b.owner && a.sequence == b.sequence && a.successors == b.successors;
    }
};

/// The assignment of one control shard, as stored in the platform object `assignment/<shard>`.
///
/// Invariant (checked by validate()): slices are sorted, do not overlap and cover the hash space; indices are valid.
struct Assignment
{
    std::string service;
    std::uint32_t epoch = 0;
    /// Grows with every change; the highest sequence used or reserved by any slice is below it.
    std::uint64_t nextSequence = 1;
    std::vector<Identity> servers;
    std::vector<SliceAssignment> slices;

    /// The slice that contains `hash`; null only when the assignment has no slices.
    const SliceAssignment *find(KeyHash hash) const;
    /// Token under which `slice` is held now.
    Token token(const SliceAssignment &slice) const
    {
        return Token{epoch, slice.sequence};
    }
    Findings validate() const;

    friend bool operator==(const Assignment &a, const Assignment &b)
    {
        return a.service == b.service && a.epoch == b.epoch && a.nextSequence == b.nextSequence
            && a.servers == b.servers && a.slices == b.slices;
    }
};

/// JSON shape: `{"service":"vitrina","epoch":3,"nextSequence":12,"servers":["vitrina-1#77"],
/// "slices":[["0","ffff",0,7,[1,2]]]}`; a slice is [first, last, owner or -1, sequence, successors].
/// 10,000 slices take about 0.6 MB, below the platform's limit of 1 MB.
nlohmann::json toJson(const Assignment &assignment);
Result<Assignment> assignmentFromJson(const nlohmann::json &json);

}

#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include <galenarock/leases.h>

namespace Galenarock
{

/// What differs between two versions of a service's routing table under one epoch.
struct TableChange
{
    /// A slice of the later version; an empty name means that nobody may serve it.
    struct Slice
    {
        SliceRange range;
        Identity owner;
        std::uint64_t sequence = 0;

        friend bool operator==(const Slice &a, const Slice &b)
        {
            return a.range == b.range && a.owner == b.owner && a.sequence == b.sequence;
        }
    };
    std::string service;
    std::uint32_t epoch = 0;
    /// Assignment::nextSequence of the earlier and of the later version.
    std::uint64_t fromVersion = 0;
    std::uint64_t toVersion = 0;
    /// Sorted; they cover every position at which the versions differ.
    std::vector<Slice> slices;

    friend bool operator==(const TableChange &a, const TableChange &b)
    {
        return a.service == b.service && a.epoch == b.epoch && a.fromVersion == b.fromVersion
            && a.toVersion == b.toVersion && a.slices == b.slices;
    }
};

TableChange changeBetween(const Assignment &before, const Assignment &after);

/// The later version; empty when `change` is not based on `table`, or when the result is no valid table.
///
/// Example: `applied(before, changeBetween(before, after))` equals `after`.
std::optional<Assignment> applied(const Assignment &table, const TableChange &change);

/// cereal portable binary.
std::string encode(const TableChange &change);
Result<TableChange> decodeTableChange(const std::string &payload);

/// Index of `identity` in `table.servers`, which is extended when needed. `known` holds the indices given so far.
ServerIndex serverIndex(Assignment &table, std::map<Identity, ServerIndex> &known, const Identity &identity);

}

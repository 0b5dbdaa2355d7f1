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
    /// A slice of the later version. An owner with an empty name means that no server may serve the slice.
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
    /// Sorted by position; they cover every position at which the versions differ.
    std::vector<Slice> slices;

    friend bool operator==(const TableChange &a, const TableChange &b)
    {
        return a.service == b.service && a.epoch == b.epoch && a.fromVersion == b.fromVersion
            && a.toVersion == b.toVersion && a.slices == b.slices;
    }
};

TableChange changeBetween(const Assignment &before, const Assignment &after);

/// The later version; empty when `change` starts from another version than `table`, or when the result is not a valid
/// table.
///
/// Example: `applyChange(before, changeBetween(before, after))` equals `after`.
std::optional<Assignment> applyChange(const Assignment &table, const TableChange &change);

/// cereal portable binary.
std::string encode(const TableChange &change);
Result<TableChange> decodeTableChange(const std::string &payload);

/// Index of `identity` in `table.servers`; appends the server if it is not listed yet. `indices` maps the listed
/// servers to their indices.
ServerIndex findOrAddServer(Assignment &table, std::map<Identity, ServerIndex> &indices, const Identity &identity);

}

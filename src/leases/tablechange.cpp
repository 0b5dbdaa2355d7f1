#include "tablechange_p.h"

#include <algorithm>

/// Differences between versions of a routing table. In a large fleet, daemons receive the changes instead of the whole
/// table.
namespace Galenarock
{

namespace
{
TableChange::Slice sliceWithOwner(const Assignment &table, const SliceAssignment &slice)
{
    const bool isOwned = slice.owner != noServer;
    return {slice.range, isOwned ? table.servers[slice.owner] : Identity(), slice.sequence};
}

std::vector<TableChange::Slice> slicesWithOwners(const Assignment &table)
{
    std::vector<TableChange::Slice> list;
    list.reserve(table.slices.size());
    for (const auto &it : table.slices) {
        list.push_back(sliceWithOwner(table, it));
    }
    return list;
}

/// Slices of `table` that do not overlap any slice of `change`.
std::vector<TableChange::Slice> unchangedSlices(const Assignment &table, const TableChange &change)
{
    std::vector<TableChange::Slice> list;
    auto next = change.slices.begin();
    for (const auto &it : table.slices) {
        while (next != change.slices.end() && next->range.last < it.range.first) {
            ++next;
        }
        if (next != change.slices.end() && next->range.overlaps(it.range)) {
            continue;
        }
        list.push_back(sliceWithOwner(table, it));
    }
    return list;
}

bool startsBefore(const TableChange::Slice &a, const TableChange::Slice &b)
{
    return a.range < b.range;
}
}

TableChange changeBetween(const Assignment &before, const Assignment &after)
{
    TableChange change{after.service, after.epoch, before.nextSequence, after.nextSequence, {}};
    const auto oldSlices = slicesWithOwners(before);
    for (auto &it : slicesWithOwners(after)) {
        const auto match = std::lower_bound(oldSlices.begin(), oldSlices.end(), it, startsBefore);
        if (match != oldSlices.end() && *match == it) {
            continue;
        }
        change.slices.push_back(std::move(it));
    }
    return change;
}

ServerIndex findOrAddServer(Assignment &table, std::map<Identity, ServerIndex> &indices, const Identity &identity)
{
    const auto [it, isNew] = indices.emplace(identity, static_cast<ServerIndex>(table.servers.size()));
    if (isNew) {
        table.servers.push_back(identity);
    }
    return it->second;
}

std::optional<Assignment> applyChange(const Assignment &table, const TableChange &change)
{
    const bool isApplicable =
        table.service == change.service && table.epoch == change.epoch && table.nextSequence == change.fromVersion;
    if (!isApplicable) {
        return {};
    }
    auto slices = unchangedSlices(table, change);
    slices.insert(slices.end(), change.slices.begin(), change.slices.end());
    std::sort(slices.begin(), slices.end(), startsBefore);
    Assignment result;
    result.service = table.service;
    result.epoch = table.epoch;
    result.nextSequence = change.toVersion;
    std::map<Identity, ServerIndex> indices;
    for (const auto &it : slices) {
        const auto owner = it.owner.name.empty() ? noServer : findOrAddServer(result, indices, it.owner);
        result.slices.push_back({it.range, owner, it.sequence, {}});
    }
    if (!result.validate().empty()) {
        return {};
    }
    return result;
}

}

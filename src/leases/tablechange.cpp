#include "tablechange_p.h"

#include <algorithm>

/// Differences between versions of a table: a daemon of a large fleet receives changes, not whole tables.
namespace Galenarock
{

namespace
{
TableChange::Slice named(const Assignment &table, const SliceAssignment &slice)
{
    const bool isOwned = slice.owner != noServer;
    return {slice.range, isOwned ? table.servers[slice.owner] : Identity(), slice.sequence};
}

std::vector<TableChange::Slice> namedSlices(const Assignment &table)
{
    std::vector<TableChange::Slice> list;
    list.reserve(table.slices.size());
    for (const auto &it : table.slices) {
        list.push_back(named(table, it));
    }
    return list;
}

/// Slices of `table` that no slice of `change` touches.
std::vector<TableChange::Slice> untouched(const Assignment &table, const TableChange &change)
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
        list.push_back(named(table, it));
    }
    return list;
}

bool isEarlier(const TableChange::Slice &a, const TableChange::Slice &b)
{
    return a.range < b.range;
}
}

TableChange changeBetween(const Assignment &before, const Assignment &after)
{
    TableChange change{after.service, after.epoch, before.nextSequence, after.nextSequence, {}};
    const auto known = namedSlices(before);
    for (auto &it : namedSlices(after)) {
        const auto same = std::lower_bound(known.begin(), known.end(), it, isEarlier);
        if (same != known.end() && *same == it) {
            continue;
        }
        change.slices.push_back(std::move(it));
    }
    return change;
}

ServerIndex serverIndex(Assignment &table, std::map<Identity, ServerIndex> &known, const Identity &identity)
{
    const auto [it, isNew] = known.emplace(identity, static_cast<ServerIndex>(table.servers.size()));
    if (isNew) {
        table.servers.push_back(identity);
    }
    return it->second;
}

std::optional<Assignment> applied(const Assignment &table, const TableChange &change)
{
    const bool isBase =
        table.service == change.service && table.epoch == change.epoch && table.nextSequence == change.fromVersion;
    if (!isBase) {
        return {};
    }
    auto slices = untouched(table, change);
    slices.insert(slices.end(), change.slices.begin(), change.slices.end());
    std::sort(slices.begin(), slices.end(), isEarlier);
    Assignment result;
    result.service = table.service;
    result.epoch = table.epoch;
    result.nextSequence = change.toVersion;
    std::map<Identity, ServerIndex> known;
    for (const auto &it : slices) {
        const auto owner = it.owner.name.empty() ? noServer : serverIndex(result, known, it.owner);
        result.slices.push_back({it.range, owner, it.sequence, {}});
    }
    if (!result.validate().empty()) {
        return {};
    }
    return result;
}

}

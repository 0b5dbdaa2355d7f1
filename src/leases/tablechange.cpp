#include "tablechange_p.h"

#include <algorithm>
#include <iterator>

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

namespace
{
/// Builds the later version of a table. Servers are numbered by the order of the slices, as in the leader's table.
class TableMerge
{
public:
    TableMerge(const Assignment &table, const TableChange &change)
        : m_table(table)
        , m_newIndexOfOld(table.servers.size(), noServer)
    {
        for (const auto &it : change.slices) {
            m_changedOwners.emplace(it.owner, noServer);
        }
        // A changed slice may go to a server that has other slices.
        for (std::size_t n = 0; n < table.servers.size(); ++n) {
            const auto found = m_changedOwners.find(table.servers[n]);
            if (found != m_changedOwners.end()) {
                found->second = static_cast<ServerIndex>(n);
            }
        }
        m_result.service = table.service;
        m_result.epoch = table.epoch;
        m_result.nextSequence = change.toVersion;
        m_result.slices.reserve(table.slices.size() + change.slices.size());
    }

    void keep(const SliceAssignment &slice)
    {
        const auto owner = slice.owner == noServer ? noServer : indexOf(slice.owner);
        m_result.slices.push_back({slice.range, owner, slice.sequence, {}});
    }

    void replace(const TableChange::Slice &slice)
    {
        m_result.slices.push_back({slice.range, ownerOf(slice), slice.sequence, {}});
    }

    Assignment take()
    {
        return std::move(m_result);
    }

private:
    ServerIndex add(const Identity &identity)
    {
        m_result.servers.push_back(identity);
        return static_cast<ServerIndex>(m_result.servers.size() - 1);
    }

    ServerIndex indexOf(ServerIndex old)
    {
        auto &index = m_newIndexOfOld[old];
        index = index == noServer ? add(m_table.servers[old]) : index;
        return index;
    }

    ServerIndex ownerOf(const TableChange::Slice &slice)
    {
        if (slice.owner.name.empty()) {
            return noServer;
        }
        const auto old = m_changedOwners.at(slice.owner);
        if (old != noServer) {
            return indexOf(old);
        }
        const auto [it, isNew] = m_added.emplace(slice.owner, noServer);
        if (isNew) {
            it->second = add(slice.owner);
        }
        return it->second;
    }

    const Assignment &m_table;
    /// Index in the earlier table of each owner of a changed slice; noServer if it is not listed there.
    std::map<Identity, ServerIndex> m_changedOwners;
    std::vector<ServerIndex> m_newIndexOfOld;
    std::map<Identity, ServerIndex> m_added;
    Assignment m_result;
};
}

std::optional<Assignment> applyChange(const Assignment &table, const TableChange &change)
{
    const bool isApplicable =
        table.service == change.service && table.epoch == change.epoch && table.nextSequence == change.fromVersion;
    if (!isApplicable || !std::is_sorted(change.slices.begin(), change.slices.end(), startsBefore)) {
        return {};
    }
    TableMerge merge(table, change);
    auto next = change.slices.begin();
    for (const auto &it : table.slices) {
        while (next != change.slices.end() && next->range.first <= it.range.last) {
            merge.replace(*next++);
        }
        const bool isReplaced = next != change.slices.begin() && std::prev(next)->range.overlaps(it.range);
        if (!isReplaced) {
            merge.keep(it);
        }
    }
    while (next != change.slices.end()) {
        merge.replace(*next++);
    }
    auto result = merge.take();
    if (!result.validate().empty()) {
        return {};
    }
    return result;
}

}

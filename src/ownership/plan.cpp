#include "ownership/plan_p.h"

#include <algorithm>

namespace Galenarock
{

std::vector<SliceGroup> groupSlices(const Assignment &current, const std::vector<WantedSlice> &wanted)
{
    std::vector<SliceGroup> groups;
    auto it = current.slices.begin();
    SliceGroup group;
    for (const auto &target : wanted) {
        group.wanted.push_back(&target);
        while (it != current.slices.end() && it->range.first <= target.range.last) {
            group.current.push_back(&*it++);
        }
        const bool isWhole = current.slices.empty() ? target.range.last == ~KeyHash(0)
                                                    : group.current.back()->range.last == target.range.last;
        if (isWhole) {
            groups.push_back(std::move(group));
            group = {};
        }
    }
    return groups;
}

Identity serverOf(const Assignment &assignment, ServerIndex index)
{
    return index < assignment.servers.size() ? assignment.servers[index] : Identity();
}

AssignmentBuilder::AssignmentBuilder(const Assignment &base, std::uint32_t epoch)
    : m_base(base)
{
    m_built.service = base.service;
    m_built.epoch = epoch;
    m_built.nextSequence = base.nextSequence;
}

ServerIndex AssignmentBuilder::indexOf(const Identity &server)
{
    const auto it = std::find(m_built.servers.begin(), m_built.servers.end(), server);
    if (it != m_built.servers.end()) {
        return static_cast<ServerIndex>(it - m_built.servers.begin());
    }
    m_built.servers.push_back(server);
    return static_cast<ServerIndex>(m_built.servers.size() - 1);
}

void AssignmentBuilder::keep(const SliceAssignment &slice)
{
    auto copy = slice;
    if (slice.owner != noServer) {
        copy.owner = indexOf(serverOf(m_base, slice.owner));
    }
    for (auto &it : copy.successors) {
        it = indexOf(serverOf(m_base, it));
    }
    m_built.slices.push_back(std::move(copy));
}

void AssignmentBuilder::add(const WantedSlice &slice)
{
    SliceAssignment added;
    added.range = slice.range;
    added.owner = indexOf(slice.owner);
    added.sequence = m_built.nextSequence++;
    for (const auto &it : slice.successors) {
        added.successors.push_back(indexOf(it));
        ++m_built.nextSequence;
    }
    m_built.slices.push_back(std::move(added));
}

Assignment AssignmentBuilder::take()
{
    return std::move(m_built);
}

}

#pragma once

#include <vector>

#include <galenarock/assignment.h>

namespace Galenarock
{

/// One slice of the wanted partition, by identities instead of indices.
struct WantedSlice
{
    SliceRange range;
    Identity owner;
    std::vector<Identity> successors;
};

/// A smallest range at whose ends both the present and the wanted partition have a boundary.
struct SliceGroup
{
    std::vector<const SliceAssignment *> current;
    std::vector<const WantedSlice *> wanted;
};

/// Groups in order. An empty present assignment gives one group for the whole hash space without current slices.
std::vector<SliceGroup> groupSlices(const Assignment &current, const std::vector<WantedSlice> &wanted);

/// Builds an assignment slice by slice; indices follow the servers in order of first use.
class AssignmentBuilder
{
public:
    AssignmentBuilder(const Assignment &base, std::uint32_t epoch);
    /// Copies a slice of the base with its token.
    void keep(const SliceAssignment &slice);
    /// Adds a slice under a fresh sequence, with the sequences after it reserved for its successors.
    void add(const WantedSlice &slice);
    Assignment take();

private:
    ServerIndex indexOf(const Identity &server);

    const Assignment &m_base;
    Assignment m_built;
};

Identity serverOf(const Assignment &assignment, ServerIndex index);

}

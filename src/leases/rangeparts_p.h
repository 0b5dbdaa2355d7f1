#pragma once

#include <optional>

#include <galenarock/leases.h>

#include "ownership/rangewidth_p.h"

namespace Galenarock
{

/// A range that could move, with its load in requests per second and the cost of the move as a share of the key space.
struct MoveCandidate
{
    SliceRange range;
    double load = 0;
    double cost = 0;
};

/// Loads of ranges and of their parts, as measured by key position. Does no I/O.
class RangeParts
{
public:
    /// `load` must outlive this object.
    RangeParts(const LeaseLoad &load, KeyHash minRangeWidth);

    /// Requests per second, with a small addition for the width, so that ranges without traffic have a load as well.
    double loadOf(const SliceRange &range) const;
    /// Last position of the smallest range that contains `position`.
    KeyHash minRangeEnd(KeyHash position) const;
    /// Shortest prefix of `range` with a load of at least `wanted`; empty when the whole range has less.
    std::optional<MoveCandidate> prefixWithLoad(const SliceRange &range, double wanted) const;
    /// Cheapest part of `range`, or all of it, with a load of about `wanted` and at most `limit`.
    std::optional<MoveCandidate> cheapestPartOf(const SliceRange &range, double wanted, double limit,
                                                bool mayBeDivided) const;

private:
    /// Narrowest part of `range` whose measured positions have a load of at least `wanted`.
    std::optional<MoveCandidate> narrowestWithLoad(const SliceRange &range, double wanted) const;

    const LeaseLoad &m_load;
    const KeyHash m_minRangeWidth;
};

}

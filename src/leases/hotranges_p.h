#pragma once

#include <map>
#include <vector>

#include <galenarock/leases.h>

namespace Galenarock
{

/// Moving averages of the requests for one key position.
struct PositionLoad
{
    /// Requests per second.
    double shortRate = 0;
    double longRate = 0;
    Instant updatedAt;
};

/// Half-lives of the moving averages. The short average is noisy, so it is used only where it exceeds the long one by
/// more than chance: then keys have become hot and must be spread over servers within a second.
constexpr double ShortHalfLifeSeconds = 0.35;
constexpr double LongHalfLifeSeconds = 2.5;

/// Whether a short-term rate exceeds the long-term one by more than chance.
bool isBurst(double shortRate, double longRate);

/// Groups of neighbouring keys whose load has risen suddenly, with the requests counted since then. A moving average
/// lags behind such a rise: after 0.3 s the short one shows less than half of it, and a plan by that leaves the rest to
/// later plans, which move the keys again.
class HotRanges
{
public:
    /// Finds hot groups and drops those whose load has ended. `positions` are decayed to `now`. Returns the groups that
    /// overlap none of before.
    std::vector<SliceRange> update(Instant now, const std::map<KeyHash, PositionLoad> &positions,
                                   KeyHash minRangeWidth);
    /// Adds requests that a daemon has reported.
    void count(KeyHash position, std::uint32_t requests);
    /// Replaces the rates of the hot positions by those since the rise, and names the groups.
    void apply(Instant now, KeyHash minRangeWidth, LeaseLoad &load) const;
    void clear();

private:
    struct Group
    {
        SliceRange range;
        /// Estimated start of the rise.
        Instant since;
        std::map<KeyHash, double> counts;

        double sum() const;
        double seconds(Instant now) const;
    };
    struct Block
    {
        double shortRate = 0;
        double longRate = 0;
    };

    Group *find(KeyHash position);
    bool hasEnded(const Group &group, Instant now, const std::map<KeyHash, PositionLoad> &positions) const;
    bool overlapsGroup(const SliceRange &range) const;
    SliceRange withNeighbours(const SliceRange &blocks) const;
    static SliceRange trimmed(const SliceRange &range, const std::map<KeyHash, PositionLoad> &positions);
    void add(Instant now, const SliceRange &blocks, const std::map<KeyHash, PositionLoad> &positions,
             KeyHash minRangeWidth);

    std::vector<Group> m_groups;
    /// Rates of the blocks when they were last not hot, by the first position.
    std::map<KeyHash, double> m_quietRates;
};

/// A part of a hot range for one of the targets of divideHotRange.
struct HotPart
{
    SliceRange range;
    /// Requests per second.
    double load = 0;
    std::size_t target = 0;
};

/// Divides `range` over servers with the spare capacities `spare`, in requests per second, in this order. The first
/// positions, with a load of `kept`, stay with the holder. A key with more load than any spare capacity stays too.
std::vector<HotPart> divideHotRange(const SliceRange &range, const std::map<KeyHash, double> &positions, double kept,
                                    const std::vector<double> &spare, KeyHash minRangeWidth);

}

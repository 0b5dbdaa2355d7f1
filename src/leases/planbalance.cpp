#include <algorithm>

#include "moveplanner_p.h"

/// Moves load from the busiest servers to the least utilized ones.
namespace Galenarock
{

namespace
{
/// Load is taken from a server only when its utilization exceeds that of the least utilized server by this difference;
/// below it a move does not shorten waiting times.
constexpr double MinUtilizationDifference = 0.25;
/// Load that a move may transfer even if the target has less spare capacity, as a fraction of the target's capacity.
/// Where all servers are busy, the spare capacity of each is tiny.
constexpr double MinMovedCapacityFraction = 0.1;
/// A move may exceed the wanted load by this factor, because the load of a range grows in steps of whole keys.
constexpr double WantedLoadTolerance = 1.5;
/// A hot key moves by itself when the higher utilization of the two servers afterwards is below this fraction of what
/// the alternative move would leave.
constexpr double HotKeyImprovementFactor = 0.85;
/// A key whose load exceeds the target's capacity moves only when the source has less than this fraction of that
/// capacity.
constexpr double OverloadedKeyCapacityRatio = 0.7;
}

bool MovePlanner::offloadBusiest()
{
    auto &busiest = mostUtilized();
    auto &target = leastUtilized();
    if (busiest.isExcluded || busiest.utilization() < MinSourceUtilization
        || busiest.utilization() - target.utilization() < MinUtilizationDifference) {
        return false;
    }
    const double equalizingLoad =
        (busiest.load * target.capacity - target.load * busiest.capacity) / (busiest.capacity + target.capacity);
    const double wanted = wantedLoad(target, equalizingLoad);
    const double limit = std::min(equalizingLoad * 1.1, wanted * WantedLoadTolerance);
    const auto candidate = cheapestPartHeldBy(busiest.entry->identity, wanted, limit, mayDivide());
    const double utilization =
        candidate ? utilizationAfterMove(busiest, target, candidate->load) : busiest.utilization();
    if (moveHottestKey(busiest, utilization)) {
        return true;
    }
    if (!candidate) {
        busiest.isExcluded = true; // moves from the next busiest server may still help
        return true;
    }
    busiest.load -= candidate->load;
    move(candidate->range, candidate->load, target);
    return true;
}

double MovePlanner::wantedLoad(const PlannedServer &target, double equalizingLoad) const
{
    const double level = m_load.hotRanges.empty() ? MaxTargetUtilization : hotLevel();
    const double spareCapacity = std::max(m_meanUtilization, level) * target.capacity - target.load;
    return std::min(MovedFraction * equalizingLoad,
                    std::max(spareCapacity, MinMovedCapacityFraction * target.capacity));
}

MovePlanner::HottestKey MovePlanner::hottestKeyOf(const PlannedServer &server) const
{
    HottestKey hottest;
    for (const auto &it : m_slices) {
        if (it.isBusy || it.isRecent || it.holder != server.entry->identity) {
            continue;
        }
        const auto end = m_load.positions.upper_bound(it.range.last);
        for (auto position = m_load.positions.lower_bound(it.range.first); position != end; ++position) {
            if (!hottest.slice || position->second > hottest.load) {
                hottest = {&it, position->first, position->second};
            }
        }
    }
    return hottest;
}

bool MovePlanner::moveHottestKey(PlannedServer &source, double alternative)
{
    const auto key = hottestKeyOf(source);
    if (!key.slice) {
        return false;
    }
    PlannedServer *best = nullptr;
    double bestUtilization = alternative * HotKeyImprovementFactor;
    for (auto &it : m_servers) {
        const double utilization = utilizationAfterMove(source, it, key.load);
        if (&it != &source && utilization < bestUtilization && isUsefulKeyMove(source, it, key.load)) {
            best = &it;
            bestUtilization = utilization;
        }
    }
    if (!best) {
        return false;
    }
    const auto &whole = key.slice->range;
    const SliceRange range{std::max(whole.first, key.position & ~(m_minRangeWidth - 1)),
                           std::min(whole.last, m_parts.minRangeEnd(key.position))};
    if (!(range == whole) && !mayDivide()) {
        return false;
    }
    source.load -= key.load;
    move(range, key.load, *best);
    return true;
}

bool MovePlanner::isUsefulKeyMove(const PlannedServer &source, const PlannedServer &target, double load)
{
    return load < target.capacity || source.capacity < target.capacity * OverloadedKeyCapacityRatio;
}

double MovePlanner::utilizationAfterMove(const PlannedServer &source, const PlannedServer &target, double load)
{
    return std::max((source.load - load) / source.capacity, (target.load + load) / target.capacity);
}

std::optional<MoveCandidate> MovePlanner::cheapestPartHeldBy(const Identity &holder, double wanted, double limit,
                                                             bool mayBeDivided) const
{
    // Without a suitable slice for the whole of the wanted load, a half and then a quarter of it are tried.
    for (const double fraction : {1.0, 0.5, 0.25}) {
        std::optional<MoveCandidate> best;
        for (const auto &it : m_slices) {
            if (it.isBusy || it.holder != holder) {
                continue;
            }
            const auto candidate = m_parts.cheapestPartOf(it.range, fraction * wanted, limit, mayBeDivided);
            if (candidate && (!best || candidate->cost < best->cost)) {
                best = candidate;
            }
        }
        if (best) {
            return best;
        }
    }
    return {};
}

}

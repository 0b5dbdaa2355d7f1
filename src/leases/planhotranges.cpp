#include <algorithm>

#include "hotranges_p.h"
#include "moveplanner_p.h"

/// Divides ranges whose load has risen suddenly.
namespace Galenarock
{

namespace
{
/// Utilization that the servers of a hot range get, as a multiple of the mean, within these limits. Where that gives
/// too little room, the level rises in steps up to MaxTargetUtilization.
constexpr double HotLevelOverMean = 1.3;
constexpr double MinHotLevel = 0.5;
constexpr double HotLevelStep = 1.05;
/// A hot range is divided when its holder is above the level by this factor, since each part interrupts its keys.
constexpr double HotSourceFactor = 1.15;
/// Spare capacity, as a fraction of the whole, from which a server gets a part of a hot range.
constexpr double MinHotTargetShare = 0.08;
}

void MovePlanner::divideHotRanges()
{
    std::vector<std::pair<double, SliceRange>> hottest;
    for (const auto &it : m_load.hotRanges) {
        hottest.emplace_back(-m_parts.loadOf(it), it);
    }
    std::sort(hottest.begin(), hottest.end(), [](const auto &a, const auto &b) { return a.first < b.first; });
    for (const auto &[load, range] : hottest) {
        const auto slices = m_slices;
        for (const auto &it : slices) {
            if (!it.isBusy && it.range.overlaps(range)) {
                divideHotPart(it.holder, {std::max(it.range.first, range.first), std::min(it.range.last, range.last)});
            }
        }
    }
}

double MovePlanner::hotLevel() const
{
    return std::clamp(HotLevelOverMean * m_meanUtilization, MinHotLevel, MaxTargetUtilization);
}

std::vector<std::pair<double, PlannedServer *>> MovePlanner::spareCapacity(const PlannedServer &source, double level)
{
    std::vector<std::pair<double, PlannedServer *>> spare;
    for (auto &it : m_servers) {
        const double room = level * it.capacity - it.load;
        if (&it != &source && room >= MinHotTargetShare * it.capacity) {
            spare.emplace_back(room, &it);
        }
    }
    std::sort(spare.rbegin(), spare.rend());
    spare.resize(std::min(spare.size(), m_maxHotMoves - std::min(m_maxHotMoves, m_moves.size())));
    return spare;
}

void MovePlanner::divideHotPart(const Identity &holder, const SliceRange &range)
{
    auto *source = findServer(holder);
    double level = hotLevel();
    if (!source || source->utilization() < std::max(MinSourceUtilization, HotSourceFactor * level) || !mayDivide()) {
        return;
    }
    std::vector<std::pair<double, PlannedServer *>> targets;
    for (;; level = std::min(MaxTargetUtilization, level * HotLevelStep)) {
        targets = spareCapacity(*source, level);
        double room = 0;
        for (const auto &it : targets) {
            room += it.first;
        }
        if (level >= MaxTargetUtilization || room >= source->load - level * source->capacity) {
            break;
        }
    }
    std::vector<double> spare;
    for (const auto &it : targets) {
        spare.push_back(it.first);
    }
    const double load = m_parts.loadOf(range);
    const double kept = load - std::min(load, source->load - level * source->capacity);
    for (const auto &it : divideHotRange(range, m_load.positions, kept, spare, m_minRangeWidth)) {
        source->load -= it.load;
        move(it.range, it.load, *targets[it.target].second);
    }
}

}

#include <algorithm>

#include "moveplanner_p.h"

/// Which ranges of evacuated servers move in this plan, and which in later ones.
namespace Galenarock
{

namespace
{
/// A plan moves at least one in this many of the ranges that evacuated servers still have, and at least MinMoveLimit:
/// 200 ranges leave in 9 plans, 2.7 s, well within the bound of an evacuation of 5 s.
constexpr std::size_t EvacuationDivisor = 3;
}

void MovePlanner::holdBackEvacuated(const std::vector<LeaseServer> &servers)
{
    std::set<Identity> evacuated;
    for (const auto &it : servers) {
        if (it.evacuated) {
            evacuated.insert(it.identity);
        }
    }
    if (evacuated.empty()) {
        return;
    }
    auto waiting = takeMovable(evacuated);
    const auto moving = static_cast<std::size_t>(std::count_if(
        m_slices.begin(), m_slices.end(), [&](const PlannedSlice &it) { return evacuated.count(it.holder) > 0; }));
    const auto least = std::max(MinMoveLimit, (waiting.size() + EvacuationDivisor - 1) / EvacuationDivisor);
    const auto most = m_maxMoves - std::min(m_maxMoves, moving);
    double room = spareCapacity();
    for (std::size_t n = 0; n < waiting.size(); ++n) {
        auto &[load, slice] = waiting[n];
        room -= load;
        slice.isBusy = n >= least && (n >= most || room < 0);
        m_slices.push_back(slice);
    }
}

std::vector<std::pair<double, PlannedSlice>> MovePlanner::takeMovable(const std::set<Identity> &holders)
{
    std::vector<std::pair<double, PlannedSlice>> taken;
    std::vector<PlannedSlice> others;
    for (const auto &it : m_slices) {
        if (it.isBusy || holders.count(it.holder) == 0) {
            others.push_back(it);
        } else {
            taken.emplace_back(m_parts.loadOf(it.range), it);
        }
    }
    m_slices = std::move(others);
    std::stable_sort(taken.begin(), taken.end(), [](const auto &a, const auto &b) { return a.first > b.first; });
    return taken;
}

double MovePlanner::spareCapacity() const
{
    double sum = 0;
    for (const auto &it : m_servers) {
        sum += std::max(0.0, MaxTargetUtilization * it.capacity - it.load);
    }
    return sum;
}

}

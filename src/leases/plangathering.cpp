#include <algorithm>

#include "moveplanner_p.h"

/// Moves lightly loaded ranges to their neighbours, to keep the number of ranges low.
namespace Galenarock
{

namespace
{
/// Lightly loaded ranges are gathered from this fraction of the largest number of ranges on.
constexpr double GatherFrom = 0.8;
}

void MovePlanner::gatherLightRanges()
{
    if (static_cast<double>(m_slices.size()) < GatherFrom * static_cast<double>(m_maxRanges)) {
        return;
    }
    auto sorted = m_slices;
    std::sort(sorted.begin(), sorted.end(),
              [](const PlannedSlice &a, const PlannedSlice &b) { return a.range.first < b.range.first; });
    std::vector<std::pair<double, std::size_t>> lightest;
    for (std::size_t n = 0; n < sorted.size(); ++n) {
        if (!sorted[n].isBusy && !sorted[n].isRecent) {
            lightest.emplace_back(m_parts.loadOf(sorted[n].range), n);
        }
    }
    std::sort(lightest.begin(), lightest.end());
    const auto maxMoves = m_moves.size() + m_maxMoves / 2;
    for (const auto &[load, n] : lightest) {
        if (m_moves.size() >= std::min(maxMoves, m_maxMoves)) {
            return;
        }
        gather(sorted, n, load);
    }
}

void MovePlanner::gather(std::vector<PlannedSlice> &sorted, std::size_t index, double load)
{
    auto &slice = sorted[index];
    PlannedServer *target = nullptr;
    for (const auto neighbour : {index - 1, index + 1}) {
        if (neighbour >= sorted.size() || sorted[neighbour].isBusy || sorted[neighbour].holder == slice.holder) {
            continue;
        }
        auto *holder = findServer(sorted[neighbour].holder);
        if (holder && (!target || holder->utilization() < target->utilization())) {
            target = holder;
        }
    }
    auto *source = findServer(slice.holder);
    if (!source || !target || slice.isBusy
        || (target->load + load) / target->capacity > std::max(m_meanUtilization, MaxTargetUtilization)) {
        return;
    }
    source->load -= load;
    slice.isBusy = true;
    move(slice.range, load, *target);
}

}

#include "rangeparts_p.h"

#include <algorithm>

namespace Galenarock
{

namespace
{
/// Cost of each additional range, as a share of the key space; every range needs its own renewal calls.
constexpr double ExtraRangeCost = 0.0005;
/// Requests per second that are added to the measured load for each thousandth of the key space, so that ranges without
/// traffic are also divided evenly.
constexpr double IdleLoadPerThousandth = 0.02;
}

RangeParts::RangeParts(const LeaseLoad &load, KeyHash minRangeWidth)
    : m_load(load)
    , m_minRangeWidth(minRangeWidth)
{
}

double RangeParts::loadOf(const SliceRange &range) const
{
    double sum = widthShare(range) * 1000 * IdleLoadPerThousandth;
    const auto end = m_load.positions.upper_bound(range.last);
    for (auto it = m_load.positions.lower_bound(range.first); it != end; ++it) {
        sum += it->second;
    }
    return sum;
}

KeyHash RangeParts::minRangeEnd(KeyHash position) const
{
    return position | (m_minRangeWidth - 1);
}

std::optional<MoveCandidate> RangeParts::prefixWithLoad(const SliceRange &range, double wanted) const
{
    double sum = 0;
    const double totalIdleLoad = 1000 * IdleLoadPerThousandth;
    KeyHash from = range.first;
    const auto end = m_load.positions.upper_bound(range.last);
    for (auto it = m_load.positions.lower_bound(range.first); it != end; ++it) {
        const auto idleLoad = totalIdleLoad * (static_cast<double>(it->first - from)) * 0x1p-64;
        if (sum + idleLoad >= wanted) {
            break;
        }
        sum += idleLoad + it->second;
        from = std::min(minRangeEnd(it->first), range.last);
        if (sum >= wanted || from == range.last) {
            return MoveCandidate{{range.first, from}, sum, 0};
        }
    }
    const double idleWidth = (wanted - sum) / totalIdleLoad * 0x1p64;
    if (idleWidth >= static_cast<double>(range.last - from)) {
        return {};
    }
    const auto last = std::min(range.last, minRangeEnd(from + static_cast<KeyHash>(idleWidth)));
    return MoveCandidate{{range.first, last}, wanted, 0};
}

std::optional<MoveCandidate> RangeParts::narrowestWithLoad(const SliceRange &range, double wanted) const
{
    std::optional<MoveCandidate> best;
    const auto end = m_load.positions.upper_bound(range.last);
    auto first = m_load.positions.lower_bound(range.first);
    double sum = 0;
    for (auto last = first; last != end; ++last) {
        sum += last->second;
        while (sum - first->second >= wanted && first != last) {
            sum -= first->second;
            ++first;
        }
        if (sum < wanted) {
            continue;
        }
        const SliceRange window{std::max(range.first, first->first & ~(m_minRangeWidth - 1)),
                                std::min(range.last, minRangeEnd(last->first))};
        if (!best || widthShare(window) < widthShare(best->range)) {
            best = MoveCandidate{window, sum, 0};
        }
    }
    return best;
}

std::optional<MoveCandidate> RangeParts::cheapestPartOf(const SliceRange &range, double wanted, double limit,
                                                        bool mayBeDivided) const
{
    std::optional<MoveCandidate> best;
    auto candidates = {prefixWithLoad(range, wanted), narrowestWithLoad(range, wanted)};
    for (auto it : candidates) {
        if (!mayBeDivided || !it || it->load > limit || it->range == range) {
            continue;
        }
        const int splits = (it->range.first != range.first ? 1 : 0) + (it->range.last != range.last ? 1 : 0);
        it->cost = widthShare(it->range) + splits * ExtraRangeCost;
        if (!best || it->cost < best->cost) {
            best = it;
        }
    }
    const double wholeLoad = loadOf(range);
    if (wholeLoad <= limit && wholeLoad >= wanted / 2 && (!best || widthShare(range) <= best->cost)) {
        best = MoveCandidate{range, wholeLoad, widthShare(range)};
    }
    return best;
}

}

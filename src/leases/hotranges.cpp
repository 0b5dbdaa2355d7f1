#include "hotranges_p.h"

#include <algorithm>
#include <cmath>

/// Detection of hot groups of keys, and the estimate of their load.
namespace Galenarock
{

namespace
{
/// Deviations of the count in the short window up to this many standard deviations are treated as chance.
constexpr double ChanceDeviations = 3;
/// Width of the blocks that are tested for a rise; a 1,024th of the key space. A group of 200 of 60,000 keys covers
/// three of them, so that its load is not lost in that of a whole range.
constexpr KeyHash BlockWidth = KeyHash(1) << 54;
/// Requests of a group in the short window from which it is hot: with fewer, the estimate of its load would be too
/// inaccurate for a division that lasts.
constexpr double MinHotRequests = 16;
/// Requests in the short window from which a position may be the end of a group; one request counts as this much for
/// about 0.8 s.
constexpr double MinActiveRequests = 0.2;
/// A position this many mean distances away from the next is not in the group: by chance one in 150 would be.
constexpr double FarDistances = 5;
/// Time for which a group is found anew in each plan, since its ends and its start become clearer.
constexpr double SettlingSeconds = 1;
/// Length of the count from which older requests lose weight.
constexpr double LongestCountSeconds = 12;
/// A group has ended when its short-term rate is below this fraction of the estimate.
constexpr double EndedRatio = 0.35;
/// Widest group; a load that rises on more of the key space is not that of a few hot keys.
constexpr KeyHash MaxGroupWidth = 32 * BlockWidth;
/// Largest number of positions over which the mean of a group is spread.
constexpr KeyHash MaxSmoothedPositions = 4'096;

constexpr double ShortWindow = ShortHalfLifeSeconds / M_LN2;
constexpr double LongWindow = LongHalfLifeSeconds / M_LN2;

/// Seconds since a steady load began, from the ratio of its short and long average.
double secondsSinceRise(double shortRate, double longRate)
{
    double low = 0.02;
    double high = 4 * ShortHalfLifeSeconds;
    for (int n = 0; n < 20; ++n) {
        const double middle = (low + high) / 2;
        const double ratio =
            (1 - std::exp2(-middle / ShortHalfLifeSeconds)) / (1 - std::exp2(-middle / LongHalfLifeSeconds));
        (ratio * longRate > shortRate ? low : high) = middle;
    }
    return low;
}
}

bool isBurst(double shortRate, double longRate)
{
    const double expected = longRate * ShortWindow;
    return shortRate * ShortWindow > expected + ChanceDeviations * std::sqrt(expected + 1);
}

double HotRanges::Group::sum() const
{
    double sum = 0;
    for (const auto &[position, count] : counts) {
        sum += count;
    }
    return sum;
}

double HotRanges::Group::seconds(Instant now) const
{
    return std::chrono::duration<double>(now - since).count();
}

void HotRanges::clear()
{
    m_groups.clear();
    m_quietRates.clear();
}

HotRanges::Group *HotRanges::find(KeyHash position)
{
    const auto it = std::find_if(m_groups.begin(), m_groups.end(),
                                 [&](const Group &group) { return group.range.contains(position); });
    return it == m_groups.end() ? nullptr : &*it;
}

void HotRanges::count(KeyHash position, std::uint32_t requests)
{
    if (auto *group = find(position)) {
        group->counts[position] += requests;
    }
}

bool HotRanges::hasEnded(const Group &group, Instant now, const std::map<KeyHash, PositionLoad> &positions) const
{
    double shortRate = 0;
    const auto end = positions.upper_bound(group.range.last);
    for (auto it = positions.lower_bound(group.range.first); it != end; ++it) {
        shortRate += it->second.shortRate;
    }
    return shortRate < EndedRatio * group.sum() / group.seconds(now);
}

std::vector<SliceRange> HotRanges::update(Instant now, const std::map<KeyHash, PositionLoad> &positions,
                                          KeyHash minRangeWidth)
{
    const auto before = m_groups;
    m_groups.erase(std::remove_if(m_groups.begin(), m_groups.end(),
                                  [&](const Group &it) {
                                      return it.seconds(now) < SettlingSeconds || hasEnded(it, now, positions);
                                  }),
                   m_groups.end());
    for (auto &it : m_groups) {
        if (it.seconds(now) < LongestCountSeconds) {
            continue;
        }
        it.since = now - duration_cast<Duration>((now - it.since) / 2);
        for (auto &[position, count] : it.counts) {
            count /= 2;
        }
    }
    std::map<KeyHash, Block> blocks;
    for (const auto &[position, load] : positions) {
        auto &block = blocks[position & ~(BlockWidth - 1)];
        block.shortRate += load.shortRate;
        block.longRate += load.longRate;
    }
    const auto isHot = [&](const std::pair<const KeyHash, Block> &it) {
        return isBurst(it.second.shortRate, it.second.longRate)
            && !overlapsGroup({it.first, it.first | (BlockWidth - 1)});
    };
    std::vector<SliceRange> runs;
    for (const auto &it : blocks) {
        if (!isHot(it)) {
            continue;
        }
        const SliceRange block{it.first, it.first | (BlockWidth - 1)};
        if (!runs.empty() && runs.back().last + 1 == block.first) {
            runs.back().last = block.last;
        } else {
            runs.push_back(block);
        }
    }
    for (const auto &it : runs) {
        add(now, withNeighbours(it), positions, minRangeWidth);
    }
    for (const auto &[first, it] : blocks) {
        if (!overlapsGroup({first, first | (BlockWidth - 1)})) {
            m_quietRates[first] = it.longRate;
        }
    }
    std::vector<SliceRange> added;
    for (const auto &it : m_groups) {
        const auto isKnown = [&](const Group &known) {
            return known.range.overlaps(it.range);
        };
        if (std::none_of(before.begin(), before.end(), isKnown)) {
            added.push_back(it.range);
        }
    }
    return added;
}

bool HotRanges::overlapsGroup(const SliceRange &range) const
{
    return std::any_of(m_groups.begin(), m_groups.end(), [&](const Group &it) { return it.range.overlaps(range); });
}

/// The ends of a group may cover too little of their block for a rise there to be more than chance.
SliceRange HotRanges::withNeighbours(const SliceRange &blocks) const
{
    auto range = blocks;
    if (range.first != 0 && !overlapsGroup({range.first - BlockWidth, range.first - 1})) {
        range.first -= BlockWidth;
    }
    if (range.last != ~KeyHash(0) && !overlapsGroup({range.last + 1, range.last + BlockWidth})) {
        range.last += BlockWidth;
    }
    return range;
}

/// The positions in `range` that belong to the group: those with recent requests, without the outermost ones as long as
/// they are much farther from the next than the mean distance.
SliceRange HotRanges::trimmed(const SliceRange &range, const std::map<KeyHash, PositionLoad> &positions)
{
    std::vector<KeyHash> active;
    const auto end = positions.upper_bound(range.last);
    for (auto it = positions.lower_bound(range.first); it != end; ++it) {
        if (it->second.shortRate * ShortWindow >= MinActiveRequests) {
            active.push_back(it->first);
        }
    }
    std::size_t first = 0;
    std::size_t last = active.empty() ? 0 : active.size() - 1;
    const auto isFar = [&](std::size_t n) {
        const auto distance = static_cast<double>(active[last] - active[first]) / static_cast<double>(last - first);
        return static_cast<double>(active[n + 1] - active[n]) > FarDistances * distance;
    };
    for (bool isChanged = true; isChanged && last > first + 1;) {
        isChanged = isFar(first) || isFar(last - 1);
        first += isFar(first) ? 1 : 0;
        last -= isChanged && last > first + 1 && isFar(last - 1) ? 1 : 0;
    }
    return active.empty() ? SliceRange{range.first, range.first} : SliceRange{active[first], active[last]};
}

void HotRanges::add(Instant now, const SliceRange &blocks, const std::map<KeyHash, PositionLoad> &positions,
                    KeyHash minRangeWidth)
{
    if (blocks.last - blocks.first >= MaxGroupWidth) {
        return;
    }
    const auto range = trimmed(blocks, positions);
    const auto first = positions.lower_bound(range.first);
    const auto end = positions.upper_bound(range.last);
    double quietRate = 0;
    const auto quietEnd = m_quietRates.upper_bound(range.last);
    for (auto it = m_quietRates.lower_bound(range.first & ~(BlockWidth - 1)); it != quietEnd; ++it) {
        quietRate += it->second;
    }
    double shortRate = 0;
    double longRate = 0;
    for (auto it = first; it != end; ++it) {
        shortRate += it->second.shortRate;
        longRate += it->second.longRate;
    }
    if (shortRate * ShortWindow < MinHotRequests) {
        return;
    }
    const auto age = std::chrono::duration<double>(
        secondsSinceRise(std::max(0.0, shortRate - quietRate), std::max(0.0, longRate - quietRate)));
    Group group;
    group.range = {range.first & ~(minRangeWidth - 1), range.last | (minRangeWidth - 1)};
    group.since = now - duration_cast<Duration>(age);
    const double share = std::clamp(1 - quietRate / longRate, 0.0, 1.0);
    for (auto it = first; it != end; ++it) {
        group.counts[it->first] = it->second.longRate * LongWindow * share;
    }
    m_groups.push_back(std::move(group));
}

/// The count of a single position is too small to divide by soon after the rise. So it is drawn towards the mean of the
/// group as far as chance alone explains the differences between the positions.
void HotRanges::apply(Instant now, KeyHash minRangeWidth, LeaseLoad &load) const
{
    for (const auto &it : m_groups) {
        load.hotRanges.push_back(it.range);
        load.positions.erase(load.positions.lower_bound(it.range.first), load.positions.upper_bound(it.range.last));
        const auto size = (it.range.last - it.range.first) / minRangeWidth + 1;
        const double mean = it.sum() / static_cast<double>(size);
        double squares = 0;
        for (const auto &[position, count] : it.counts) {
            squares += count * count;
        }
        const double variance = std::max(0.0, squares / static_cast<double>(size) - mean * mean);
        const bool isSmoothed = size <= MaxSmoothedPositions;
        const double weight = !isSmoothed ? 1 : variance <= mean ? 0 : (variance - mean) / variance;
        const double seconds = it.seconds(now);
        for (const auto &[position, count] : it.counts) {
            load.positions[position] = weight * count / seconds;
        }
        for (KeyHash n = 0; isSmoothed && n < size; ++n) {
            load.positions[it.range.first + n * minRangeWidth] += (1 - weight) * mean / seconds;
        }
    }
}

std::vector<HotPart> divideHotRange(const SliceRange &range, const std::map<KeyHash, double> &positions, double kept,
                                    const std::vector<double> &spare, KeyHash minRangeWidth)
{
    std::vector<HotPart> parts;
    std::size_t target = 0;
    auto first = range.first;
    double load = 0;
    const auto close = [&](KeyHash last) {
        if (load > 0 && first <= last) {
            parts.push_back({{first, last}, load, target});
        }
        load = 0;
    };
    const auto end = positions.upper_bound(range.last);
    for (auto it = positions.lower_bound(range.first); it != end && target < spare.size(); ++it) {
        const auto start = std::max(range.first, it->first & ~(minRangeWidth - 1));
        const auto last = std::min(range.last, it->first | (minRangeWidth - 1));
        if (kept > 0 || it->second > spare[target]) {
            if (load > 0) {
                close(start - 1);
                ++target;
            }
            const bool fitsNext = kept <= 0 && target < spare.size() && it->second <= spare[target];
            if (!fitsNext) {
                kept -= it->second;
                first = last + 1;
                continue;
            }
            first = start;
        } else if (load + it->second > spare[target]) {
            close(start - 1);
            first = start;
            if (++target >= spare.size()) {
                break;
            }
        }
        load += it->second;
    }
    if (target < spare.size() && load > 0) {
        close(range.last);
    }
    return parts;
}

}

#include <algorithm>

#include <galenarock/shardcontroller.h>

#include "ownership/random_p.h"

namespace Galenarock
{

namespace
{
using Counts = std::vector<std::size_t>;

std::uint64_t rendezvous(const Identity &server, const SliceRange &range)
{
    return mixBits(hashKey(server.name) ^ mixBits(range.first + 1));
}

std::vector<SliceRange> evenRanges(std::uint32_t count)
{
    const KeyHash width = ~KeyHash(0) / std::max(count, 1u);
    std::vector<SliceRange> ranges;
    for (std::uint32_t n = 0; n < std::max(count, 1u); ++n) {
        ranges.push_back({n * width + (n == 0 ? 0 : 1), (n + 1) * width});
    }
    ranges.back().last = ~KeyHash(0);
    return ranges;
}

std::vector<ServerIndex> usableServers(const PlacementInput &input)
{
    std::vector<ServerIndex> usable;
    for (std::size_t n = 0; n < input.servers.size(); ++n) {
        if (input.servers[n].usable) {
            usable.push_back(static_cast<ServerIndex>(n));
        }
    }
    return usable;
}

ServerIndex leastLoaded(const std::vector<ServerIndex> &usable, const Counts &counts)
{
    return *std::min_element(usable.begin(), usable.end(), [&](auto a, auto b) { return counts[a] < counts[b]; });
}

/// Keeps usable owners and replaces the others by their first usable successor.
void keepOwners(const PlacementInput &input, std::vector<SliceTarget> &targets, Counts &counts)
{
    const auto isUsable = [&](ServerIndex n) {
        return n < input.servers.size() && input.servers[n].usable;
    };
    for (const auto &it : input.current.slices) {
        SliceTarget target{it.range, isUsable(it.owner) ? it.owner : noServer, {}};
        for (const auto successor : it.successors) {
            if (target.owner == noServer && isUsable(successor)) {
                target.owner = successor;
            }
        }
        if (target.owner != noServer) {
            ++counts[target.owner];
        }
        targets.push_back(std::move(target));
    }
}

/// Moves slices from the server with most to the one with fewest while they differ by more than one.
void balance(const std::vector<ServerIndex> &usable, double budget, std::vector<SliceTarget> &targets, Counts &counts)
{
    const auto less = [&](auto a, auto b) {
        return counts[a] < counts[b];
    };
    auto moves = static_cast<std::size_t>(budget * static_cast<double>(targets.size()));
    for (auto it = targets.begin(); it != targets.end() && moves > 0; ++it) {
        const auto most = *std::max_element(usable.begin(), usable.end(), less);
        const auto fewest = *std::min_element(usable.begin(), usable.end(), less);
        if (counts[it->owner] < counts[most] || counts[most] < counts[fewest] + 2) {
            continue;
        }
        --counts[it->owner];
        it->owner = fewest;
        ++counts[fewest];
        --moves;
    }
}

std::vector<ServerIndex> successorsOf(const PlacementInput &input, const std::vector<ServerIndex> &usable,
                                      const SliceTarget &target)
{
    std::vector<ServerIndex> ranked;
    for (const auto it : usable) {
        if (it != target.owner) {
            ranked.push_back(it);
        }
    }
    const auto count = std::min(ranked.size(), successorCount);
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count), ranked.end(),
                      [&](auto a, auto b) {
                          return rendezvous(input.servers[a].identity, target.range)
                              > rendezvous(input.servers[b].identity, target.range);
                      });
    ranked.resize(count);
    return ranked;
}
}

std::vector<SliceTarget> evenPlacement(const PlacementInput &input)
{
    std::vector<SliceTarget> targets;
    Counts counts(input.servers.size());
    const auto usable = usableServers(input);
    if (usable.empty()) {
        return targets;
    }
    keepOwners(input, targets, counts);
    if (targets.empty()) {
        for (const auto &it : evenRanges(input.ownership.slices)) {
            targets.push_back({it, noServer, {}});
        }
    }
    for (auto &it : targets) {
        if (it.owner != noServer) {
            continue;
        }
        it.owner = leastLoaded(usable, counts);
        ++counts[it.owner];
    }
    balance(usable, input.churnBudget, targets, counts);
    for (auto &it : targets) {
        it.successors = successorsOf(input, usable, it);
    }
    return targets;
}

}

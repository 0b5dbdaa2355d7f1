#include "placement_p.h"

#include <algorithm>
#include <cmath>

namespace Galenarock
{

namespace
{
/// Replaces `values` by shares of their sum; false when the sum is 0.
bool toShares(std::vector<double> &values)
{
    double sum = 0;
    for (const auto it : values) {
        sum += it;
    }
    if (!(sum > 0) || !std::isfinite(sum)) {
        return false;
    }
    for (auto &it : values) {
        it /= sum;
    }
    return true;
}
}

std::uint64_t preference(const Identity &server, KeyHash position)
{
    // Finalizer of MurmurHash3: every input bit changes about half of the output bits.
    auto n = hashKey(server.name) ^ (position * 0x9e3779b97f4a7c15u);
    n = (n ^ (n >> 33)) * 0xff51afd7ed558ccdu;
    n = (n ^ (n >> 33)) * 0xc4ceb9fe1a85ec53u;
    return n ^ (n >> 33);
}

PlacementDraft::PlacementDraft(const PlacementInput &input)
    : m_input(input)
{
    for (std::size_t n = 0; n < input.servers.size(); ++n) {
        if (input.servers[n].usable) {
            m_usable.push_back(static_cast<ServerIndex>(n));
        }
    }
    if (input.current.slices.empty()) {
        makeEvenSlices();
        return;
    }
    readSlices();
}

void PlacementDraft::makeEvenSlices()
{
    const auto count = std::max(m_input.ownership.slices, 1u);
    const KeyHash width = ~KeyHash(0) / count;
    for (std::uint32_t n = 0; n < count; ++n) {
        DraftSlice slice;
        slice.range = {n == 0 ? 0 : n * width + 1, n + 1 == count ? ~KeyHash(0) : (n + 1) * width};
        slice.load = slice.keys = widthShare(slice.range);
        slices.push_back(std::move(slice));
    }
}

void PlacementDraft::readSlices()
{
    const auto &current = m_input.current.slices;
    std::vector<double> widths;
    for (const auto &it : current) {
        widths.push_back(widthShare(it.range));
    }
    std::vector<double> loads;
    std::vector<double> keys;
    if (m_input.loads.size() == current.size()) {
        for (const auto &it : m_input.loads) {
            loads.push_back(std::max(it.requestsPerSecond, 0.0));
            keys.push_back(std::max(it.keys, 0.0));
        }
    }
    m_hasLoads = toShares(loads);
    const bool hasKeys = toShares(keys);
    for (std::size_t n = 0; n < current.size(); ++n) {
        const auto &it = current[n];
        slices.push_back({it.range, it.owner, it.successors, m_hasLoads ? loads[n] : widths[n],
                          hasKeys ? keys[n] : widths[n], false});
    }
}

std::vector<ServerShare> PlacementDraft::serverShares() const
{
    std::vector<ServerShare> shares(m_input.servers.size());
    double total = 0;
    for (const auto it : m_usable) {
        // A capacity of 0 would make every share infinite.
        shares[it].capacity = std::max(m_input.servers[it].capacity, 0.01);
        total += shares[it].capacity;
    }
    for (auto &it : shares) {
        it.capacity /= total;
    }
    for (const auto &it : slices) {
        if (isUsable(it.owner)) {
            shares[it.owner].load += it.load / shares[it.owner].capacity;
            shares[it.owner].keys += it.keys / shares[it.owner].capacity;
        }
    }
    return shares;
}

void PlacementDraft::giveToSuccessor(DraftSlice &slice) const
{
    for (const auto it : slice.successors) {
        if (isUsable(it)) {
            slice.owner = it;
            return;
        }
    }
    slice.owner = noServer;
}

void PlacementDraft::replaceUnusableOwners()
{
    for (auto &it : slices) {
        if (!isUsable(it.owner)) {
            giveToSuccessor(it);
        }
    }
    auto shares = serverShares();
    for (auto &it : slices) {
        if (it.owner != noServer) {
            continue;
        }
        const auto best = std::min_element(m_usable.begin(), m_usable.end(), [&](ServerIndex a, ServerIndex b) {
            const auto filled = [&](ServerIndex n) {
                return shares[n].load + it.load / shares[n].capacity;
            };
            const auto fa = filled(a);
            const auto fb = filled(b);
            // Equally loaded servers are told apart by the slice's own order, which scatters neighbouring slices.
            return std::abs(fa - fb) > 1e-9 ? fa < fb
                                            : preference(m_input.servers[a].identity, it.range.first)
                    > preference(m_input.servers[b].identity, it.range.first);
        });
        it.owner = *best;
        shares[*best].load += it.load / shares[*best].capacity;
    }
}

std::vector<SliceTarget> PlacementDraft::take()
{
    chooseSuccessors(m_input, slices);
    std::vector<SliceTarget> targets;
    targets.reserve(slices.size());
    for (auto &it : slices) {
        targets.push_back({it.range, it.owner, std::move(it.successors)});
    }
    return targets;
}

const std::vector<NamedPlacement> &placementPolicies()
{
    static const std::vector<NamedPlacement> policies{
        {"weighted-slices", weightedSlicesPlacement},
        {"weighted-slices-without-hot-keys", weightedSlicesWithoutHotKeys},
        {"bounded-loads", boundedLoadsPlacement},
        {"consistent-hashing", consistentHashingPlacement},
    };
    return policies;
}

}

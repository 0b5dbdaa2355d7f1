#include "placement_p.h"

#include <algorithm>

namespace Galenarock
{

namespace
{
/// Points of one server of capacity 1 on the ring; with 16 servers as many slices as the default of the other policies.
constexpr double pointsPerServer = 16;

/// Largest load and number of keys of a server under bounded loads, relative to the mean. Lower bounds move more.
constexpr double loadBound = 1.25;
constexpr double keyBound = 1.5;

struct RingPoint
{
    KeyHash position;
    ServerIndex server;

    friend bool operator<(const RingPoint &a, const RingPoint &b)
    {
        return std::tie(a.position, a.server) < std::tie(b.position, b.server);
    }
};

std::vector<RingPoint> ringPoints(const PlacementDraft &draft)
{
    std::vector<RingPoint> points;
    for (const auto it : draft.usable()) {
        const auto &server = draft.input().servers[it];
        const auto count = std::max(1, static_cast<int>(pointsPerServer * server.capacity));
        for (int n = 0; n < count; ++n) {
            points.push_back({preference(server.identity, static_cast<KeyHash>(n)), it});
        }
    }
    std::sort(points.begin(), points.end());
    const auto isSame = [](const RingPoint &a, const RingPoint &b) {
        return a.position == b.position;
    };
    points.erase(std::unique(points.begin(), points.end(), isSame), points.end());
    return points;
}

/// Successors of the present slice that contains `position`, so that they stay when boundaries change.
std::vector<ServerIndex> presentSuccessors(const PlacementInput &input, KeyHash position)
{
    const auto *const slice = input.current.find(position);
    return slice == nullptr ? std::vector<ServerIndex>() : slice->successors;
}

class LoadBounder
{
public:
    explicit LoadBounder(PlacementDraft &draft)
        : m_draft(draft)
        , m_shares(draft.serverShares())
        , m_budget(draft.input().churnBudget)
    {
    }

    /// Moves slices away from servers above the bound, the most wanted elsewhere first, within the churn budget.
    void run()
    {
        for (auto &it : m_draft.slices) {
            const auto &share = m_shares[it.owner];
            if ((share.load <= loadBound && share.keys <= keyBound) || it.keys > m_budget) {
                continue;
            }
            const auto target = firstWithRoom(it);
            if (target != noServer) {
                move(it, target);
            }
        }
    }

private:
    ServerIndex firstWithRoom(const DraftSlice &slice) const
    {
        const auto &servers = m_draft.input().servers;
        ServerIndex best = noServer;
        for (const auto it : m_draft.usable()) {
            const auto &share = m_shares[it];
            const bool hasRoom = share.load + slice.load / share.capacity <= loadBound
                && share.keys + slice.keys / share.capacity <= keyBound;
            if (!hasRoom || it == slice.owner) {
                continue;
            }
            const auto rank = [&](ServerIndex n) {
                return preference(servers[n].identity, slice.range.first);
            };
            best = best == noServer || rank(it) > rank(best) ? it : best;
        }
        return best;
    }

    void move(DraftSlice &slice, ServerIndex target)
    {
        auto &from = m_shares[slice.owner];
        auto &to = m_shares[target];
        from.load -= slice.load / from.capacity;
        from.keys -= slice.keys / from.capacity;
        to.load += slice.load / to.capacity;
        to.keys += slice.keys / to.capacity;
        m_budget -= slice.keys;
        slice.owner = target;
    }

    PlacementDraft &m_draft;
    std::vector<ServerShare> m_shares;
    double m_budget;
};
}

std::vector<SliceTarget> consistentHashingPlacement(const PlacementInput &input)
{
    PlacementDraft draft(input);
    const auto points = ringPoints(draft);
    draft.slices.clear();
    if (points.empty()) {
        return {};
    }
    // A server owns the range that ends at its point; the last range wraps around to the first point's server.
    KeyHash first = 0;
    for (const auto &it : points) {
        draft.slices.push_back({{first, it.position}, it.server, presentSuccessors(input, first), 0, 0, false});
        first = it.position + 1;
    }
    if (points.back().position != ~KeyHash(0)) {
        draft.slices.push_back(
            {{first, ~KeyHash(0)}, points.front().server, presentSuccessors(input, first), 0, 0, false});
    }
    return draft.take();
}

std::vector<SliceTarget> boundedLoadsPlacement(const PlacementInput &input)
{
    PlacementDraft draft(input);
    if (draft.usable().empty()) {
        return {};
    }
    draft.replaceUnusableOwners();
    LoadBounder(draft).run();
    return draft.take();
}

}

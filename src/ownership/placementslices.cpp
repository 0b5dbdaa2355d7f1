#include "placement_p.h"

#include <algorithm>

namespace Galenarock
{

namespace
{
/// A key becomes a slice of its own above this part of a server's mean load, and rejoins its neighbour below the lower
/// one. The distance between the two keeps a key from alternating.
constexpr double hotKeyShare = 0.10;
constexpr double coolKeyShare = 0.03;
/// A slice is split above this part of a server's mean load, because no placement can balance larger pieces finely.
constexpr double splitShare = 0.20;
/// Two neighbours of one owner are merged when together they stay below this multiple of the mean slice.
constexpr double mergeFactor = 1.0;
/// Splits and merges of one sort in one round; each gives the pieces new tokens.
constexpr std::size_t maxReshapes = 8;
/// Slices, hot keys not counted, relative to the document's `slices`.
constexpr double maxSliceFactor = 1.5;
/// Weight of load against keys when servers are compared; the document's measure has both.
constexpr double loadWeight = 0.6;
/// Price of a move besides its keys, as a share of all keys: every move costs two calls and a platform write.
constexpr double movePrice = 0.0005;
/// Tolerated excess of the most loaded server: the lower bound when only imbalance counts, and what is added when it
/// does not count at all.
constexpr double minTolerance = 0.15;
constexpr double addedTolerance = 0.8;
/// Weight of a moved slice's load against its keys in the price: a move leaves a slice unowned for about a twentieth of
/// the time that a lost server does.
constexpr double loadPrice = 0.15;
/// A server below this level, such as one that just joined, receives slices although nobody is overloaded.
constexpr double minLevel = 0.6;
constexpr std::size_t maxMoves = 64;

class SlicePlanner
{
public:
    explicit SlicePlanner(const PlacementInput &input)
        : m_input(input)
        , m_draft(input)
        , m_budget(input.churnBudget)
    {
    }

    std::vector<SliceTarget> run(bool isolatesHotKeys)
    {
        if (m_draft.usable().empty()) {
            return {};
        }
        m_meanLoad = 1.0 / static_cast<double>(m_draft.usable().size());
        m_draft.replaceUnusableOwners();
        m_shares = m_draft.serverShares();
        if (m_draft.hasLoads()) {
            if (isolatesHotKeys) {
                isolateHotKeys();
            }
            m_reshapes = 0;
            rejoinCoolKeys();
            m_reshapes = 0;
            splitHeavySlices();
            m_reshapes = 0;
            mergeLightSlices();
        }
        balance();
        return m_draft.take();
    }

private:
    std::vector<DraftSlice> &slices()
    {
        return m_draft.slices;
    }

    std::vector<DraftSlice>::iterator sliceOf(KeyHash hash)
    {
        return std::prev(std::upper_bound(slices().begin(), slices().end(), hash,
                                          [](KeyHash n, const DraftSlice &it) { return n < it.range.first; }));
    }

    /// Slices are split only where pieces are needed to balance a server.
    bool isOverloaded(ServerIndex server) const
    {
        return level(m_shares[server]) > 1 + tolerance();
    }

    bool mayReshape() const
    {
        return m_reshapes < maxReshapes;
    }

    bool hasRoomForSlices() const
    {
        const auto isRange = [](const DraftSlice &it) {
            return !it.range.isSingleKey();
        };
        const auto count = std::count_if(m_draft.slices.begin(), m_draft.slices.end(), isRange);
        return static_cast<double>(count) < maxSliceFactor * m_input.ownership.slices;
    }

    void isolateHotKeys()
    {
        double total = 0;
        for (const auto &it : m_input.loads) {
            total += std::max(it.requestsPerSecond, 0.0);
        }
        for (const auto &it : m_input.hotKeys) {
            const double load = it.requestsPerSecond / total;
            const auto slice = sliceOf(it.hash);
            if (load < hotKeyShare * m_meanLoad || !mayReshape()) {
                return;
            }
            if (!slice->range.isSingleKey() && isOverloaded(slice->owner)) {
                isolate(slice, it.hash, load);
            }
        }
    }

    void isolate(std::vector<DraftSlice>::iterator at, KeyHash hash, double load)
    {
        const DraftSlice whole = *at;
        DraftSlice key = whole;
        key.range = {hash, hash};
        key.load = std::min(load, whole.load);
        key.keys = std::min(widthShare(key.range), whole.keys);
        const auto rest = [&](KeyHash first, KeyHash last) {
            DraftSlice piece = whole;
            piece.range = {first, last};
            const double part = widthShare(piece.range) / widthShare(whole.range);
            piece.load = part * (whole.load - key.load);
            piece.keys = part * whole.keys;
            return piece;
        };
        std::vector<DraftSlice> pieces;
        if (hash > whole.range.first) {
            pieces.push_back(rest(whole.range.first, hash - 1));
        }
        pieces.push_back(key);
        if (hash < whole.range.last) {
            pieces.push_back(rest(hash + 1, whole.range.last));
        }
        replace(at, std::move(pieces));
    }

    void replace(std::vector<DraftSlice>::iterator at, std::vector<DraftSlice> pieces)
    {
        for (auto &it : pieces) {
            it.isReshaped = true;
        }
        const auto next = slices().erase(at);
        slices().insert(next, pieces.begin(), pieces.end());
        ++m_reshapes;
    }

    /// A cool key first moves to its neighbour's owner, which costs one key, and is merged in a later round.
    void rejoinCoolKeys()
    {
        for (std::size_t n = 0; n < slices().size() && mayReshape(); ++n) {
            auto &slice = slices()[n];
            if (!slice.range.isSingleKey() || slice.isReshaped || slice.load >= coolKeyShare * m_meanLoad) {
                continue;
            }
            const auto neighbour = n > 0 ? n - 1 : n + 1;
            if (neighbour >= slices().size() || slices()[neighbour].isReshaped) {
                continue;
            }
            if (slices()[neighbour].owner == slice.owner) {
                mergeWithNext(std::min(n, neighbour));
                continue;
            }
            if (slice.keys <= m_budget) {
                m_budget -= slice.keys;
                slice.owner = slices()[neighbour].owner;
            }
        }
    }

    void mergeWithNext(std::size_t n)
    {
        DraftSlice merged = slices()[n];
        const auto &next = slices()[n + 1];
        merged.range.last = next.range.last;
        merged.load += next.load;
        merged.keys += next.keys;
        merged.isReshaped = true;
        slices()[n] = std::move(merged);
        slices().erase(slices().begin() + static_cast<std::ptrdiff_t>(n) + 1);
        ++m_reshapes;
    }

    void splitHeavySlices()
    {
        for (std::size_t n = 0; n < slices().size() && mayReshape(); ++n) {
            const DraftSlice whole = slices()[n];
            // The count over all slices comes last, because it makes the loop quadratic.
            if (whole.isReshaped || whole.range.isSingleKey() || !isOverloaded(whole.owner)
                || std::max(whole.load, whole.keys) < splitShare * m_meanLoad || !hasRoomForSlices()) {
                continue;
            }
            DraftSlice low = whole;
            low.range.last = whole.range.first + (whole.range.last - whole.range.first) / 2;
            low.load = whole.load / 2;
            low.keys = whole.keys / 2;
            DraftSlice high = low;
            high.range = {low.range.last + 1, whole.range.last};
            replace(slices().begin() + static_cast<std::ptrdiff_t>(n), {low, high});
            ++n;
        }
    }

    void mergeLightSlices()
    {
        for (std::size_t n = 0; n + 1 < slices().size() && mayReshape(); ++n) {
            const auto &a = slices()[n];
            const auto &b = slices()[n + 1];
            const bool isLight = std::max(a.load + b.load, a.keys + b.keys) * m_input.ownership.slices < mergeFactor;
            // The document's number of slices is kept, so that later moves stay small.
            const bool isSurplus = slices().size() > m_input.ownership.slices;
            if (a.owner == b.owner && isLight && isSurplus && !a.isReshaped && !b.isReshaped && !a.range.isSingleKey()
                && !b.range.isSingleKey()) {
                mergeWithNext(n);
            }
        }
    }

    /// How far above the mean a server may be before slices move: small when the document weighs imbalance most.
    double tolerance() const
    {
        const auto &weights = m_input.weights;
        const double sum = weights.imbalance + weights.churn + weights.unavailableTime;
        const double others = sum > 0 ? 1 - weights.imbalance / sum : 0.5;
        return minTolerance + addedTolerance * others * others;
    }

    static double level(const ServerShare &share)
    {
        return loadWeight * share.load + (1 - loadWeight) * share.keys;
    }

    struct Move
    {
        std::size_t slice = 0;
        ServerIndex target = noServer;
        double value = 0;
    };

    /// Reduction of the capacity-weighted sum of squared server shares.
    static double gain(const ServerShare &from, const ServerShare &to, const DraftSlice &slice)
    {
        const auto reduction = [&](double a, double b, double part) {
            return 2 * part * (a - b) - part * part * (1 / from.capacity + 1 / to.capacity);
        };
        return loadWeight * reduction(from.load, to.load, slice.load)
            + (1 - loadWeight) * reduction(from.keys, to.keys, slice.keys);
    }

    double price(const DraftSlice &slice) const
    {
        const auto &weights = m_input.weights;
        return movePrice + weights.churn * slice.keys + loadPrice * weights.unavailableTime * slice.load;
    }

    Move bestMove(ServerIndex source, const std::vector<ServerIndex> &targets) const
    {
        Move best;
        for (std::size_t n = 0; n < m_draft.slices.size(); ++n) {
            const auto &slice = m_draft.slices[n];
            if (slice.owner != source || slice.isReshaped || slice.keys > m_budget) {
                continue;
            }
            for (const auto it : targets) {
                const double value = it == source ? 0 : gain(m_shares[source], m_shares[it], slice) / price(slice);
                if (value > best.value) {
                    best = {n, it, value};
                }
            }
        }
        return best;
    }

    void balance()
    {
        m_shares = m_draft.serverShares();
        const auto &usable = m_draft.usable();
        const auto lower = [&](ServerIndex a, ServerIndex b) {
            return level(m_shares[a]) < level(m_shares[b]);
        };
        for (std::size_t n = 0; n < maxMoves; ++n) {
            const auto [lowest, highest] = std::minmax_element(usable.begin(), usable.end(), lower);
            const bool isOver = isOverloaded(*highest);
            if (!isOver && level(m_shares[*lowest]) >= minLevel) {
                return;
            }
            const auto move = bestMove(*highest, isOver ? usable : std::vector<ServerIndex>{*lowest});
            if (move.target == noServer) {
                return;
            }
            apply(move);
        }
    }

    void apply(const Move &move)
    {
        auto &slice = slices()[move.slice];
        auto &from = m_shares[slice.owner];
        auto &to = m_shares[move.target];
        from.load -= slice.load / from.capacity;
        from.keys -= slice.keys / from.capacity;
        to.load += slice.load / to.capacity;
        to.keys += slice.keys / to.capacity;
        m_budget -= slice.keys;
        slice.owner = move.target;
    }

    const PlacementInput &m_input;
    PlacementDraft m_draft;
    std::vector<ServerShare> m_shares;
    double m_budget;
    double m_meanLoad = 0;
    std::size_t m_reshapes = 0;
};
}

std::vector<SliceTarget> weightedSlicesPlacement(const PlacementInput &input)
{
    return SlicePlanner(input).run(true);
}

std::vector<SliceTarget> weightedSlicesWithoutHotKeys(const PlacementInput &input)
{
    return SlicePlanner(input).run(false);
}

}

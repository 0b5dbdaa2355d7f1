#include <algorithm>
#include <optional>

#include <galenarock/leases.h>

/// Which ranges move where: homes for ranges without a usable holder, then balance.
namespace Galenarock
{

namespace
{
/// Moves of one plan; the next plan sees their effect. Many servers are lost, added or become hot at once in a large
/// service, so that the number grows with theirs.
constexpr std::size_t LeastMoves = 6;
constexpr std::size_t ServersPerMove = 4;
/// A server is relieved only when it is busier than this share of its capacity and this much busier than the least busy
/// one; below, a move changes no waiting time.
constexpr double BusyUse = 0.6;
constexpr double UseGap = 0.25;
/// Part of the difference that one plan moves; the load is measured with a delay, and a whole step would overshoot.
constexpr double Step = 0.8;
/// Use up to which a server takes over load; with the mean use of a service that is half idle as the bound, a very hot
/// range would be cut into more parts than one plan moves.
constexpr double TakeOverUse = 0.85;
/// Least part of a server's capacity that moves at once: where all servers are busy, the room of each is tiny.
constexpr double LeastMoveShare = 0.1;
/// A move may exceed the wanted load by this factor, since a range ends at a key.
constexpr double WantedTolerance = 1.5;
/// A hot key moves when the busier server is left with less than this part of the alternative's share.
constexpr double ClearlyBetter = 0.85;
/// A key that no server can serve alone moves only to a server that is faster by more than this.
constexpr double SaturatedGain = 0.7;
/// Service time of a server that nobody has measured, in seconds, when no other server was measured either.
constexpr double UnknownServiceSeconds = 0.1;
/// Parts into which the keys of a leaving or lost server are divided.
constexpr std::size_t HomelessParts = 3;
/// They are divided only when they are wider than this part of a server's even share.
constexpr double DivisibleShare = 0.3;
constexpr std::size_t MaxRangesPerServer = 12;
/// Cost of one more range, in positions' share of all keys; each range costs a renewal call.
constexpr double ExtraRangeCost = 0.0005;
/// Requests a second that a thousandth of the keys counts for beyond what was measured, so that ranges without traffic
/// are also divided evenly.
constexpr double IdleLoadPerKeys = 0.02;

double widthShare(const SliceRange &range)
{
    return (static_cast<double>(range.last - range.first) + 1) * 0x1p-64;
}

/// A server with what it has to do under the moves planned so far.
struct Use
{
    const LeaseServer *server = nullptr;
    /// Requests a second that it can serve.
    double capacity = 1;
    double load = 0;
    /// No move relieves it, for example of a single key that no server can serve.
    bool isStuck = false;

    double share() const
    {
        return load / capacity;
    }
};

/// A range that could move, with its load.
struct Window
{
    SliceRange range;
    double load = 0;
    double cost = 0;
};

class Plan
{
public:
    Plan(std::vector<PlannedSlice> slices, const std::vector<LeaseServer> &servers, const LeaseLoad &load,
         KeyHash minRangeWidth)
        : m_slices(std::move(slices))
        , m_load(load)
        , m_minRangeWidth(minRangeWidth)
        , m_maxMoves(std::max(LeastMoves, servers.size() / ServersPerMove))
    {
        for (const auto &it : servers) {
            if (it.leaving) {
                continue;
            }
            m_uses.push_back({&it, it.slots / serviceSeconds(it.identity), 0});
        }
        for (const auto &it : m_slices) {
            if (auto *use = useOf(it.holder)) {
                use->load += loadOf(it.range);
            }
        }
    }

    std::vector<LeaseMove> make()
    {
        if (m_uses.empty()) {
            return {};
        }
        const auto slices = m_slices;
        for (const auto &it : slices) {
            if (!it.isBusy && !useOf(it.holder)) {
                findHomes(it);
            }
        }
        sumUp();
        for (auto &it : m_uses) {
            if (m_moves.size() < m_maxMoves && !hasSlices(it)) {
                giveFirst(it);
            }
        }
        const bool hasRoom = m_slices.size() < MaxRangesPerServer * m_uses.size();
        while (hasRoom && m_moves.size() < m_maxMoves && relieveBusiest()) {}
        return std::move(m_moves);
    }

private:
    double serviceSeconds(const Identity &server) const
    {
        const auto known = m_load.serviceSeconds.find(server);
        if (known != m_load.serviceSeconds.end()) {
            return known->second;
        }
        double sum = 0;
        for (const auto &[identity, it] : m_load.serviceSeconds) {
            sum += it;
        }
        return sum == 0 ? UnknownServiceSeconds : sum / static_cast<double>(m_load.serviceSeconds.size());
    }

    Use *useOf(const Identity &identity)
    {
        for (auto &it : m_uses) {
            if (it.server->identity == identity) {
                return &it;
            }
        }
        return nullptr;
    }

    double loadOf(const SliceRange &range) const
    {
        double sum = widthShare(range) * 1000 * IdleLoadPerKeys;
        const auto end = m_load.positions.upper_bound(range.last);
        for (auto it = m_load.positions.lower_bound(range.first); it != end; ++it) {
            sum += it->second;
        }
        return sum;
    }

    Use &leastBusy()
    {
        return *std::min_element(m_uses.begin(), m_uses.end(),
                                 [](const Use &a, const Use &b) { return a.share() < b.share(); });
    }

    Use &mostBusy()
    {
        return *std::max_element(m_uses.begin(), m_uses.end(), [](const Use &a, const Use &b) {
            return std::make_tuple(!a.isStuck, a.share()) < std::make_tuple(!b.isStuck, b.share());
        });
    }

    void move(const SliceRange &range, double load, Use &target)
    {
        target.load += load;
        m_moves.push_back({range, target.server->identity});
        cut(range);
    }

    /// Takes `range` out of the slice that contains it, so that the rest of the slice may move as well.
    void cut(const SliceRange &range)
    {
        const auto it = std::find_if(m_slices.begin(), m_slices.end(), [&](const PlannedSlice &slice) {
            return slice.range.contains(range.first) && slice.range.contains(range.last);
        });
        if (it == m_slices.end()) {
            return;
        }
        const auto whole = *it;
        it->range = range;
        it->isBusy = true;
        if (whole.range.first < range.first) {
            m_slices.push_back({{whole.range.first, range.first - 1}, whole.holder, whole.isBusy, whole.isRecent});
        }
        if (range.last < whole.range.last) {
            m_slices.push_back({{range.last + 1, whole.range.last}, whole.holder, whole.isBusy, whole.isRecent});
        }
    }

    /// Use of the service as a whole.
    void sumUp()
    {
        double load = 0;
        double capacity = 0;
        for (const auto &it : m_uses) {
            load += it.load;
            capacity += it.capacity;
        }
        m_meanShare = load / capacity;
    }

    /// Load that a server should take over: what it has room for. Half of a difference would make the server that
    /// relieves a very hot one as overloaded as that, and spread the load by halves, one plan after the other.
    double wantedLoad(const Use &target, double even) const
    {
        const double room = std::max(m_meanShare, TakeOverUse) * target.capacity - target.load;
        return std::min(Step * even, std::max(room, LeastMoveShare * target.capacity));
    }

    bool hasSlices(const Use &use) const
    {
        const auto &identity = use.server->identity;
        return std::any_of(m_slices.begin(), m_slices.end(),
                           [&](const PlannedSlice &it) { return it.holder == identity; })
            || std::any_of(m_moves.begin(), m_moves.end(), [&](const LeaseMove &it) { return it.target == identity; });
    }

    /// A server that holds nothing gets its share from the busiest one, whatever the load: without keys it would never
    /// be used.
    void giveFirst(Use &target)
    {
        auto &busiest = mostBusy();
        const double even = busiest.load * target.capacity / (busiest.capacity + target.capacity);
        if (const auto window = cheapestPart(busiest.server->identity, Step * even, even * 1.5)) {
            busiest.load -= window->load;
            move(window->range, window->load, target);
        }
    }

    /// Divides the range into parts of equal load for the least busy servers.
    void findHomes(const PlannedSlice &slice)
    {
        const double total = loadOf(slice.range);
        // Small ranges and many ranges stay whole: while servers keep failing, each plan would divide them again.
        const bool isDivisible = widthShare(slice.range) * static_cast<double>(m_uses.size()) > DivisibleShare
            && m_slices.size() < MaxRangesPerServer * m_uses.size();
        const auto parts = isDivisible ? std::min(HomelessParts, m_uses.size()) : 1;
        auto left = slice.range;
        for (std::size_t n = parts; n > 1; --n) {
            const auto part = prefixWithLoad(left, total / static_cast<double>(parts));
            if (!part || part->range.last == left.last) {
                break;
            }
            move(part->range, part->load, leastBusy());
            left.first = part->range.last + 1;
        }
        move(left, loadOf(left), leastBusy());
    }

    KeyHash minRangeEnd(KeyHash position) const
    {
        return position | (m_minRangeWidth - 1);
    }

    /// Shortest prefix that carries at least `wanted`; empty when the whole range carries less.
    std::optional<Window> prefixWithLoad(const SliceRange &range, double wanted) const
    {
        double sum = 0;
        const double idle = 1000 * IdleLoadPerKeys;
        KeyHash from = range.first;
        const auto end = m_load.positions.upper_bound(range.last);
        for (auto it = m_load.positions.lower_bound(range.first); it != end; ++it) {
            const auto idleLoad = idle * (static_cast<double>(it->first - from)) * 0x1p-64;
            if (sum + idleLoad >= wanted) {
                break;
            }
            sum += idleLoad + it->second;
            from = std::min(minRangeEnd(it->first), range.last);
            if (sum >= wanted || from == range.last) {
                return Window{{range.first, from}, sum, 0};
            }
        }
        const double step = (wanted - sum) / idle * 0x1p64;
        if (step >= static_cast<double>(range.last - from)) {
            return {};
        }
        const auto last = std::min(range.last, minRangeEnd(from + static_cast<KeyHash>(step)));
        return Window{{range.first, last}, wanted, 0};
    }

    /// Narrowest window whose busy positions carry about `wanted`.
    std::optional<Window> narrowest(const SliceRange &range, double wanted) const
    {
        std::optional<Window> best;
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
                best = Window{window, sum, 0};
            }
        }
        return best;
    }

    /// Cheapest part of the slice that carries about `wanted` and no more than `limit`.
    std::optional<Window> partOf(const SliceRange &range, double wanted, double limit) const
    {
        std::optional<Window> best;
        auto candidates = {prefixWithLoad(range, wanted), narrowest(range, wanted)};
        for (auto it : candidates) {
            if (!it || it->load > limit || it->range == range) {
                continue;
            }
            const int cuts = (it->range.first != range.first ? 1 : 0) + (it->range.last != range.last ? 1 : 0);
            it->cost = widthShare(it->range) + cuts * ExtraRangeCost;
            if (!best || it->cost < best->cost) {
                best = it;
            }
        }
        const double whole = loadOf(range);
        if (whole <= limit && whole >= wanted / 2 && (!best || widthShare(range) <= best->cost)) {
            best = Window{range, whole, widthShare(range)};
        }
        return best;
    }

    bool relieveBusiest()
    {
        auto &busiest = mostBusy();
        auto &target = leastBusy();
        if (busiest.isStuck || busiest.share() < BusyUse || busiest.share() - target.share() < UseGap) {
            return false;
        }
        const double even =
            (busiest.load * target.capacity - target.load * busiest.capacity) / (busiest.capacity + target.capacity);
        const double wanted = wantedLoad(target, even);
        const double limit = std::min(even * 1.1, wanted * WantedTolerance);
        const auto window = cheapestPart(busiest.server->identity, wanted, limit);
        const double result = window ? shareAfter(busiest, target, window->load) : busiest.share();
        if (moveHottest(busiest, result)) {
            return true;
        }
        if (!window) {
            busiest.isStuck = true; // the next busy server may still be relieved
            return true;
        }
        busiest.load -= window->load;
        move(window->range, window->load, target);
        return true;
    }

    /// Share of the busier of both after a move.
    static double shareAfter(const Use &source, const Use &target, double load)
    {
        return std::max((source.load - load) / source.capacity, (target.load + load) / target.capacity);
    }

    /// No server can serve the key alone: it stays, unless another server answers clearly more of its requests. Each
    /// move interrupts the key, and by itself the load looks lower wherever the key is not.
    static bool isWorthIt(const Use &source, const Use &target, double load)
    {
        return load < target.capacity || source.capacity < target.capacity * SaturatedGain;
    }

    /// A single hot key cannot be divided: it goes to the server where it fits best, when that is clearly better than
    /// `otherResult`, the share that moving other keys would leave.
    bool moveHottest(Use &source, double otherResult)
    {
        const PlannedSlice *slice = nullptr;
        auto hottest = m_load.positions.end();
        for (const auto &it : m_slices) {
            if (it.isBusy || it.isRecent || it.holder != source.server->identity) {
                continue;
            }
            const auto end = m_load.positions.upper_bound(it.range.last);
            for (auto position = m_load.positions.lower_bound(it.range.first); position != end; ++position) {
                if (hottest == m_load.positions.end() || position->second > hottest->second) {
                    hottest = position;
                    slice = &it;
                }
            }
        }
        if (!slice) {
            return false;
        }
        Use *best = nullptr;
        double bestResult = otherResult * ClearlyBetter;
        for (auto &it : m_uses) {
            const double result = shareAfter(source, it, hottest->second);
            if (&it != &source && result < bestResult && isWorthIt(source, it, hottest->second)) {
                best = &it;
                bestResult = result;
            }
        }
        if (!best) {
            return false;
        }
        const SliceRange range{std::max(slice->range.first, hottest->first & ~(m_minRangeWidth - 1)),
                               std::min(slice->range.last, minRangeEnd(hottest->first))};
        source.load -= hottest->second;
        move(range, hottest->second, *best);
        return true;
    }

    std::optional<Window> cheapestPart(const Identity &holder, double wanted, double limit) const
    {
        // A slice that carries less than the surplus moves whole or gives a part of it.
        for (const double part : {1.0, 0.5, 0.25}) {
            std::optional<Window> best;
            for (const auto &it : m_slices) {
                if (it.isBusy || it.holder != holder) {
                    continue;
                }
                const auto window = partOf(it.range, part * wanted, limit);
                if (window && (!best || window->cost < best->cost)) {
                    best = window;
                }
            }
            if (best) {
                return best;
            }
        }
        return {};
    }

    /// Slices as they will be after the moves planned so far.
    std::vector<PlannedSlice> m_slices;
    const LeaseLoad &m_load;
    const KeyHash m_minRangeWidth;
    const std::size_t m_maxMoves;
    std::vector<Use> m_uses;
    std::vector<LeaseMove> m_moves;
    double m_meanShare = 0;
};
}

std::vector<LeaseMove> planLeaseMoves(const std::vector<PlannedSlice> &slices, const std::vector<LeaseServer> &servers,
                                      const LeaseLoad &load, KeyHash minRangeWidth)
{
    return Plan(slices, servers, load, minRangeWidth).make();
}

}

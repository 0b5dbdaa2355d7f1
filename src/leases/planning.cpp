#include <algorithm>
#include <optional>
#include <set>

#include <galenarock/leases.h>

#include "hotranges_p.h"

/// Plans the moves of ranges: ranges without a usable holder are assigned first, then the load is balanced.
namespace Galenarock
{

namespace
{
/// Limit of the moves in one plan; the next plan takes their effect into account. The limit grows with the number of
/// servers, since many servers of a large service may be lost, added or overloaded at the same time.
constexpr std::size_t MinMoveLimit = 6;
constexpr std::size_t ServersPerMove = 4;
/// Load is taken from a server only above this utilization, and only when its utilization exceeds that of the least
/// utilized server by this difference; below these limits a move does not shorten waiting times.
constexpr double MinSourceUtilization = 0.6;
constexpr double MinUtilizationDifference = 0.25;
/// Fraction of the load difference between two servers that one move transfers. The load is measured with a delay, so
/// that moving the whole difference would overshoot.
constexpr double MovedFraction = 0.8;
/// Utilization up to which a server takes over load. The mean utilization of a half idle service is too low a limit: a
/// very hot range would be divided into more parts than one plan can move.
constexpr double MaxTargetUtilization = 0.85;
/// Utilization that the servers of a hot range get, as a multiple of the mean, within these limits. Where that gives
/// too little room, the level rises in steps up to MaxTargetUtilization.
constexpr double HotLevelOverMean = 1.3;
constexpr double MinHotLevel = 0.5;
constexpr double HotLevelStep = 1.05;
/// A hot range is divided when its holder is above the level by this factor, since each part interrupts its keys.
constexpr double HotSourceFactor = 1.15;
/// Spare capacity, as a fraction of the whole, from which a server gets a part of a hot range.
constexpr double MinHotTargetShare = 0.08;
/// Load that a move may transfer even if the target has less spare capacity, as a fraction of the target's capacity.
/// Where all servers are busy, the spare capacity of each is tiny.
constexpr double MinMovedCapacityFraction = 0.1;
/// A move may exceed the wanted load by this factor, because the load of a range grows in steps of whole keys.
constexpr double WantedLoadTolerance = 1.5;
/// A hot key moves by itself when the higher utilization of the two servers afterwards is below this fraction of what
/// the alternative move would leave.
constexpr double HotKeyImprovementFactor = 0.85;
/// A key whose load exceeds the target's capacity moves only when the source has less than this fraction of that
/// capacity.
constexpr double OverloadedKeyCapacityRatio = 0.7;
/// Assumed service time, in seconds, while no server of the service has a measured one.
constexpr double UnknownServiceSeconds = 0.1;
/// Capacity of a server that states an even lower rate, in requests per second.
constexpr double SlowestRate = 0.1;
/// Maximum number of parts into which a range of a leaving or lost server is divided.
constexpr std::size_t MaxPartsPerRange = 3;
/// Such a range is divided only when it is wider than this fraction of one server's even share of the key space.
constexpr double MinDivisibleShare = 0.3;
constexpr std::size_t MaxRangesPerServer = 12;
/// Lightly loaded ranges are gathered from this fraction of the largest number of ranges on.
constexpr double GatherFrom = 0.8;
/// Cost of each additional range, as a share of the key space; every range needs its own renewal calls.
constexpr double ExtraRangeCost = 0.0005;
/// Requests per second that are added to the measured load for each thousandth of the key space, so that ranges without
/// traffic are also divided evenly.
constexpr double IdleLoadPerThousandth = 0.02;

/// A plan moves at least one in this many of the ranges that evacuated servers still have, and at least MinMoveLimit:
/// 200 ranges leave in 9 plans, 2.7 s, well within the bound of an evacuation of 5 s.
constexpr std::size_t EvacuationDivisor = 3;

/// Width of the range as a share of the key space.
double widthShare(const SliceRange &range)
{
    return (static_cast<double>(range.last - range.first) + 1) * 0x1p-64;
}

/// A server that may hold ranges, with its load after the moves planned so far.
struct PlannedServer
{
    const LeaseServer *entry = nullptr;
    /// Requests per second that the server can answer.
    double capacity = 1;
    /// Requests per second.
    double load = 0;
    /// No move lowers its utilization, for example because its load is a single key that no server can serve.
    bool isExcluded = false;

    double utilization() const
    {
        return load / capacity;
    }
};

/// A range that could move, with its load in requests per second and the cost of the move as a share of the key space.
struct MoveCandidate
{
    SliceRange range;
    double load = 0;
    double cost = 0;
};

class MovePlanner
{
public:
    MovePlanner(std::vector<PlannedSlice> slices, const std::vector<LeaseServer> &servers, const LeaseLoad &load,
                const LeasePlanLimits &limits)
        : m_slices(std::move(slices))
        , m_load(load)
        , m_minRangeWidth(limits.minRangeWidth)
        , m_maxRanges(std::min(limits.maxRanges, MaxRangesPerServer * servers.size()))
        , m_maxHotMoves(limits.maxBalancingMoves)
        , m_maxMoves(std::min(limits.maxBalancingMoves, std::max(MinMoveLimit, servers.size() / ServersPerMove)))
    {
        for (const auto &it : servers) {
            if (it.leaving || it.evacuated) {
                continue;
            }
            m_servers.push_back({&it, capacity(it), 0});
        }
        for (const auto &it : m_slices) {
            if (auto *server = findServer(it.holder)) {
                server->load += loadOf(it.range);
            }
        }
        holdBackEvacuated(servers);
    }

    std::vector<LeaseMove> plan()
    {
        if (m_servers.empty()) {
            return {};
        }
        const auto slices = m_slices;
        for (const auto &it : slices) {
            if (!it.isBusy && !findServer(it.holder)) {
                assignRange(it);
            }
        }
        computeMeanUtilization();
        divideHotRanges();
        for (auto &it : m_servers) {
            if (m_moves.size() < m_maxMoves && !hasSlices(it)) {
                assignFirstRange(it);
            }
        }
        gatherLightRanges();
        while (m_moves.size() < m_maxMoves && offloadBusiest()) {}
        return std::move(m_moves);
    }

private:
    /// Leaves the hottest ranges of evacuated servers, hottest first, to this plan, and the others to later ones: as
    /// many as the limit of moves and the room of the other servers allow, but at least a part of them.
    void holdBackEvacuated(const std::vector<LeaseServer> &servers)
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

    /// Takes the ranges of these servers that may move out of `m_slices`. Returns them with their loads, hottest first.
    std::vector<std::pair<double, PlannedSlice>> takeMovable(const std::set<Identity> &holders)
    {
        std::vector<std::pair<double, PlannedSlice>> taken;
        std::vector<PlannedSlice> others;
        for (const auto &it : m_slices) {
            if (it.isBusy || holders.count(it.holder) == 0) {
                others.push_back(it);
            } else {
                taken.emplace_back(loadOf(it.range), it);
            }
        }
        m_slices = std::move(others);
        std::stable_sort(taken.begin(), taken.end(), [](const auto &a, const auto &b) { return a.first > b.first; });
        return taken;
    }

    /// Requests per second that the servers can take over.
    double spareCapacity() const
    {
        double sum = 0;
        for (const auto &it : m_servers) {
            sum += std::max(0.0, MaxTargetUtilization * it.capacity - it.load);
        }
        return sum;
    }

    /// Requests per second that the server can answer, or takes if it states a lower rate.
    double capacity(const LeaseServer &server) const
    {
        const double capacity = server.slots / serviceSeconds(server.identity);
        const auto rate = m_load.requestRates.find(server.identity);
        return rate == m_load.requestRates.end() ? capacity : std::min(capacity, std::max(rate->second, SlowestRate));
    }

    double serviceSeconds(const Identity &server) const
    {
        const auto measured = m_load.serviceSeconds.find(server);
        if (measured != m_load.serviceSeconds.end()) {
            return measured->second;
        }
        double sum = 0;
        for (const auto &[identity, it] : m_load.serviceSeconds) {
            sum += it;
        }
        return sum == 0 ? UnknownServiceSeconds : sum / static_cast<double>(m_load.serviceSeconds.size());
    }

    PlannedServer *findServer(const Identity &identity)
    {
        for (auto &it : m_servers) {
            if (it.entry->identity == identity) {
                return &it;
            }
        }
        return nullptr;
    }

    double loadOf(const SliceRange &range) const
    {
        double sum = widthShare(range) * 1000 * IdleLoadPerThousandth;
        const auto end = m_load.positions.upper_bound(range.last);
        for (auto it = m_load.positions.lower_bound(range.first); it != end; ++it) {
            sum += it->second;
        }
        return sum;
    }

    PlannedServer &leastUtilized()
    {
        return *std::min_element(
            m_servers.begin(), m_servers.end(),
            [](const PlannedServer &a, const PlannedServer &b) { return a.utilization() < b.utilization(); });
    }

    PlannedServer &mostUtilized()
    {
        return *std::max_element(m_servers.begin(), m_servers.end(),
                                 [](const PlannedServer &a, const PlannedServer &b) {
                                     return std::make_tuple(!a.isExcluded, a.utilization())
                                         < std::make_tuple(!b.isExcluded, b.utilization());
                                 });
    }

    /// Whether a range may be divided to balance load; a part in the middle adds two ranges.
    bool mayDivide() const
    {
        return m_slices.size() + 2 <= m_maxRanges;
    }

    /// Divides hot ranges with an overloaded holder, the hottest first. Their moves are bounded by the lease calls
    /// alone.
    void divideHotRanges()
    {
        std::vector<std::pair<double, SliceRange>> hottest;
        for (const auto &it : m_load.hotRanges) {
            hottest.emplace_back(-loadOf(it), it);
        }
        std::sort(hottest.begin(), hottest.end(), [](const auto &a, const auto &b) { return a.first < b.first; });
        for (const auto &[load, range] : hottest) {
            const auto slices = m_slices;
            for (const auto &it : slices) {
                if (!it.isBusy && it.range.overlaps(range)) {
                    divideHotPart(it.holder,
                                  {std::max(it.range.first, range.first), std::min(it.range.last, range.last)});
                }
            }
        }
    }

    /// Utilization up to which servers take over load while there are hot ranges.
    double hotLevel() const
    {
        return std::clamp(HotLevelOverMean * m_meanUtilization, MinHotLevel, MaxTargetUtilization);
    }

    /// Spare capacity of all servers up to the utilization `level`.
    std::vector<std::pair<double, PlannedServer *>> spareCapacity(const PlannedServer &source, double level)
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

    /// Moves what its holder can't answer of `range`.
    void divideHotPart(const Identity &holder, const SliceRange &range)
    {
        auto *source = findServer(holder);
        double level = hotLevel();
        if (!source || source->utilization() < std::max(MinSourceUtilization, HotSourceFactor * level)
            || !mayDivide()) {
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
        const double load = loadOf(range);
        const double kept = load - std::min(load, source->load - level * source->capacity);
        for (const auto &it : divideHotRange(range, m_load.positions, kept, spare, m_minRangeWidth)) {
            source->load -= it.load;
            move(it.range, it.load, *targets[it.target].second);
        }
    }

    /// Moves lightly loaded ranges to the holder of a neighbour when the service has almost as many ranges as it may
    /// have. The leader joins neighbours of one holder later, which makes room for dividing hot ranges.
    void gatherLightRanges()
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
                lightest.emplace_back(loadOf(sorted[n].range), n);
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

    /// Moves one range to the less utilized holder of its two neighbours, if it has room.
    void gather(std::vector<PlannedSlice> &sorted, std::size_t index, double load)
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

    void move(const SliceRange &range, double load, PlannedServer &target)
    {
        target.load += load;
        m_moves.push_back({range, target.entry->identity});
        splitOff(range);
    }

    /// Splits the slice that contains `range`, so that the rest of the slice may still move in this plan.
    void splitOff(const SliceRange &range)
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

    /// Mean over all servers, weighted by their capacity.
    void computeMeanUtilization()
    {
        double load = 0;
        double capacity = 0;
        for (const auto &it : m_servers) {
            load += it.load;
            capacity += it.capacity;
        }
        m_meanUtilization = load / capacity;
    }

    /// Load that `target` should take over, limited by its spare capacity. Taking over half of the difference to a very
    /// hot server would overload the target as well, and the load would be spread by halves over several plans.
    /// `equalizingLoad` is the load whose move would give both servers the same utilization.
    double wantedLoad(const PlannedServer &target, double equalizingLoad) const
    {
        const double level = m_load.hotRanges.empty() ? MaxTargetUtilization : hotLevel();
        const double spareCapacity = std::max(m_meanUtilization, level) * target.capacity - target.load;
        return std::min(MovedFraction * equalizingLoad,
                        std::max(spareCapacity, MinMovedCapacityFraction * target.capacity));
    }

    bool hasSlices(const PlannedServer &server) const
    {
        const auto &identity = server.entry->identity;
        return std::any_of(m_slices.begin(), m_slices.end(),
                           [&](const PlannedSlice &it) { return it.holder == identity; })
            || std::any_of(m_moves.begin(), m_moves.end(), [&](const LeaseMove &it) { return it.target == identity; });
    }

    /// Gives a server without ranges a part of the busiest server's load, whatever the utilization: a server without
    /// keys would never be used.
    void assignFirstRange(PlannedServer &target)
    {
        auto &busiest = mostUtilized();
        const double equalizingLoad = busiest.load * target.capacity / (busiest.capacity + target.capacity);
        if (const auto candidate = cheapestPartHeldBy(busiest.entry->identity, MovedFraction * equalizingLoad,
                                                      equalizingLoad * 1.5, true)) {
            busiest.load -= candidate->load;
            move(candidate->range, candidate->load, target);
        }
    }

    /// Divides the range into parts of equal load and assigns them to the least utilized servers.
    void assignRange(const PlannedSlice &slice)
    {
        const double total = loadOf(slice.range);
        // Narrow ranges are not divided, and no range is when the service has many: while servers keep failing, each
        // plan would divide them again.
        const bool isDivisible =
            widthShare(slice.range) * static_cast<double>(m_servers.size()) > MinDivisibleShare && mayDivide();
        const auto parts = isDivisible ? std::min(MaxPartsPerRange, m_servers.size()) : 1;
        auto remaining = slice.range;
        for (std::size_t n = parts; n > 1; --n) {
            const auto part = prefixWithLoad(remaining, total / static_cast<double>(parts));
            if (!part || part->range.last == remaining.last) {
                break;
            }
            move(part->range, part->load, leastUtilized());
            remaining.first = part->range.last + 1;
        }
        move(remaining, loadOf(remaining), leastUtilized());
    }

    /// Last position of the smallest range that contains `position`.
    KeyHash minRangeEnd(KeyHash position) const
    {
        return position | (m_minRangeWidth - 1);
    }

    /// Shortest prefix of `range` with a load of at least `wanted`; empty when the whole range has less.
    std::optional<MoveCandidate> prefixWithLoad(const SliceRange &range, double wanted) const
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

    /// Narrowest part of `range` whose measured positions have a load of at least `wanted`.
    std::optional<MoveCandidate> narrowestWithLoad(const SliceRange &range, double wanted) const
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

    /// Cheapest part of `range`, or all of it, with a load of about `wanted` and at most `limit`.
    std::optional<MoveCandidate> cheapestPartOf(const SliceRange &range, double wanted, double limit,
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

    bool offloadBusiest()
    {
        auto &busiest = mostUtilized();
        auto &target = leastUtilized();
        if (busiest.isExcluded || busiest.utilization() < MinSourceUtilization
            || busiest.utilization() - target.utilization() < MinUtilizationDifference) {
            return false;
        }
        const double equalizingLoad =
            (busiest.load * target.capacity - target.load * busiest.capacity) / (busiest.capacity + target.capacity);
        const double wanted = wantedLoad(target, equalizingLoad);
        const double limit = std::min(equalizingLoad * 1.1, wanted * WantedLoadTolerance);
        const auto candidate = cheapestPartHeldBy(busiest.entry->identity, wanted, limit, mayDivide());
        const double utilization =
            candidate ? utilizationAfterMove(busiest, target, candidate->load) : busiest.utilization();
        if (moveHottestKey(busiest, utilization)) {
            return true;
        }
        if (!candidate) {
            busiest.isExcluded = true; // moves from the next busiest server may still help
            return true;
        }
        busiest.load -= candidate->load;
        move(candidate->range, candidate->load, target);
        return true;
    }

    /// Utilization of the more utilized of the two servers after `load` has moved from `source` to `target`.
    static double utilizationAfterMove(const PlannedServer &source, const PlannedServer &target, double load)
    {
        return std::max((source.load - load) / source.capacity, (target.load + load) / target.capacity);
    }

    /// Whether moving a single key with this load is useful. A key that exceeds the target's capacity stays, unless the
    /// target can answer clearly more of its requests: each move interrupts the key, and any server that does not hold
    /// it looks less utilized for that reason alone.
    static bool isUsefulKeyMove(const PlannedServer &source, const PlannedServer &target, double load)
    {
        return load < target.capacity || source.capacity < target.capacity * OverloadedKeyCapacityRatio;
    }

    /// Moves the hottest key of `source`, which cannot be divided, to the server where it leaves the lowest
    /// utilization, if that is clearly below `alternative`, the utilization that moving another range would leave.
    bool moveHottestKey(PlannedServer &source, double alternative)
    {
        const PlannedSlice *slice = nullptr;
        auto hottest = m_load.positions.end();
        for (const auto &it : m_slices) {
            if (it.isBusy || it.isRecent || it.holder != source.entry->identity) {
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
        PlannedServer *best = nullptr;
        double bestUtilization = alternative * HotKeyImprovementFactor;
        for (auto &it : m_servers) {
            const double utilization = utilizationAfterMove(source, it, hottest->second);
            if (&it != &source && utilization < bestUtilization && isUsefulKeyMove(source, it, hottest->second)) {
                best = &it;
                bestUtilization = utilization;
            }
        }
        if (!best) {
            return false;
        }
        const SliceRange range{std::max(slice->range.first, hottest->first & ~(m_minRangeWidth - 1)),
                               std::min(slice->range.last, minRangeEnd(hottest->first))};
        if (!(range == slice->range) && !mayDivide()) {
            return false;
        }
        source.load -= hottest->second;
        move(range, hottest->second, *best);
        return true;
    }

    std::optional<MoveCandidate> cheapestPartHeldBy(const Identity &holder, double wanted, double limit,
                                                    bool mayBeDivided) const
    {
        // Without a suitable slice for the whole of the wanted load, a half and then a quarter of it are tried.
        for (const double fraction : {1.0, 0.5, 0.25}) {
            std::optional<MoveCandidate> best;
            for (const auto &it : m_slices) {
                if (it.isBusy || it.holder != holder) {
                    continue;
                }
                const auto candidate = cheapestPartOf(it.range, fraction * wanted, limit, mayBeDivided);
                if (candidate && (!best || candidate->cost < best->cost)) {
                    best = candidate;
                }
            }
            if (best) {
                return best;
            }
        }
        return {};
    }

    /// The slices after the moves planned so far.
    std::vector<PlannedSlice> m_slices;
    const LeaseLoad &m_load;
    const KeyHash m_minRangeWidth;
    const std::size_t m_maxRanges;
    const std::size_t m_maxHotMoves;
    const std::size_t m_maxMoves;
    std::vector<PlannedServer> m_servers;
    std::vector<LeaseMove> m_moves;
    double m_meanUtilization = 0;
};
}

std::vector<LeaseMove> planLeaseMoves(const std::vector<PlannedSlice> &slices, const std::vector<LeaseServer> &servers,
                                      const LeaseLoad &load, const LeasePlanLimits &limits)
{
    return MovePlanner(slices, servers, load, limits).plan();
}

}

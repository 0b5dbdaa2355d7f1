#pragma once

#include <optional>
#include <set>
#include <utility>
#include <vector>

#include <galenarock/leases.h>

#include "rangeparts_p.h"

namespace Galenarock
{

/// Load is taken from a server only above this utilization; below it a move does not shorten waiting times.
constexpr double MinSourceUtilization = 0.6;
/// Utilization up to which a server takes over load. The mean utilization of a half idle service is too low a limit: a
/// very hot range would be divided into more parts than one plan can move.
constexpr double MaxTargetUtilization = 0.85;
/// Limit of the moves in one plan; the next plan takes their effect into account. The limit grows with the number of
/// servers, since many servers of a large service may be lost, added or overloaded at the same time.
constexpr std::size_t MinMoveLimit = 6;
/// Fraction of the load difference between two servers that one move transfers. The load is measured with a delay, so
/// that moving the whole difference would overshoot.
constexpr double MovedFraction = 0.8;

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

/// Plans the moves of one service's ranges. Does no I/O. The functions after each file name are defined in that file.
class MovePlanner
{
public:
    MovePlanner(std::vector<PlannedSlice> slices, const std::vector<LeaseServer> &servers, const LeaseLoad &load,
                const LeasePlanLimits &limits);

    std::vector<LeaseMove> plan();

private:
    /// A key position, the slice that contains it (null for none), and its load in requests per second.
    struct HottestKey
    {
        const PlannedSlice *slice = nullptr;
        KeyHash position = 0;
        double load = 0;
    };

    // planning.cpp
    PlannedServer *findServer(const Identity &identity);
    PlannedServer &leastUtilized();
    PlannedServer &mostUtilized();
    /// Whether a range may be divided to balance load; a part in the middle adds two ranges.
    bool mayDivide() const;
    void move(const SliceRange &range, double load, PlannedServer &target);
    /// Splits the slice that contains `range`, so that the rest of the slice may still move in this plan.
    void splitOff(const SliceRange &range);
    /// Mean over all servers, weighted by their capacity.
    void computeMeanUtilization();
    bool hasSlices(const PlannedServer &server) const;
    /// Gives a server without ranges a part of the busiest server's load, whatever the utilization: a server without
    /// keys would never be used.
    void assignFirstRange(PlannedServer &target);
    /// Divides the range into parts of equal load and assigns them to the least utilized servers.
    void assignRange(const PlannedSlice &slice);

    // planevacuation.cpp
    /// Leaves the hottest ranges of evacuated servers, hottest first, to this plan, and the others to later ones: as
    /// many as the limit of moves and the room of the other servers allow, but at least a part of them.
    void holdBackEvacuated(const std::vector<LeaseServer> &servers);
    /// Takes the ranges of these servers that may move out of `m_slices`. Returns them with their loads, hottest first.
    std::vector<std::pair<double, PlannedSlice>> takeMovable(const std::set<Identity> &holders);
    /// Requests per second that the servers can take over.
    double spareCapacity() const;

    // planhotranges.cpp
    /// Divides hot ranges with an overloaded holder, the hottest first. Their moves are bounded by the lease calls
    /// alone.
    void divideHotRanges();
    /// Utilization up to which servers take over load while there are hot ranges.
    double hotLevel() const;
    /// Spare capacity of all servers up to the utilization `level`.
    std::vector<std::pair<double, PlannedServer *>> spareCapacity(const PlannedServer &source, double level);
    /// Moves what its holder can't answer of `range`.
    void divideHotPart(const Identity &holder, const SliceRange &range);

    // plangathering.cpp
    /// Moves lightly loaded ranges to the holder of a neighbour when the service has almost as many ranges as it may
    /// have. The leader joins neighbours of one holder later, which makes room for dividing hot ranges.
    void gatherLightRanges();
    /// Moves one range to the less utilized holder of its two neighbours, if it has room.
    void gather(std::vector<PlannedSlice> &sorted, std::size_t index, double load);

    // planbalance.cpp
    bool offloadBusiest();
    /// Load that `target` should take over, limited by its spare capacity. Taking over half of the difference to a very
    /// hot server would overload the target as well, and the load would be spread by halves over several plans.
    /// `equalizingLoad` is the load whose move would give both servers the same utilization.
    double wantedLoad(const PlannedServer &target, double equalizingLoad) const;
    /// The hottest key of the slices of `server` that may move.
    HottestKey hottestKeyOf(const PlannedServer &server) const;
    /// Moves the hottest key of `source`, which cannot be divided, to the server where it leaves the lowest
    /// utilization, if that is clearly below `alternative`, the utilization that moving another range would leave.
    bool moveHottestKey(PlannedServer &source, double alternative);
    /// Whether moving a single key with this load is useful. A key that exceeds the target's capacity stays, unless the
    /// target can answer clearly more of its requests: each move interrupts the key, and any server that does not hold
    /// it looks less utilized for that reason alone.
    static bool isUsefulKeyMove(const PlannedServer &source, const PlannedServer &target, double load);
    /// Utilization of the more utilized of the two servers after `load` has moved from `source` to `target`.
    static double utilizationAfterMove(const PlannedServer &source, const PlannedServer &target, double load);
    std::optional<MoveCandidate> cheapestPartHeldBy(const Identity &holder, double wanted, double limit,
                                                    bool mayBeDivided) const;

    /// The slices after the moves planned so far.
    std::vector<PlannedSlice> m_slices;
    const LeaseLoad &m_load;
    const RangeParts m_parts;
    const KeyHash m_minRangeWidth;
    const std::size_t m_maxRanges;
    const std::size_t m_maxHotMoves;
    const std::size_t m_maxMoves;
    std::vector<PlannedServer> m_servers;
    std::vector<LeaseMove> m_moves;
    double m_meanUtilization = 0;
};

}

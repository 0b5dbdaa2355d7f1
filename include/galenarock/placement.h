#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include <galenarock/assignment.h>
#include <galenarock/document.h>

/// Placement: which backend server should own which slice.
namespace Galenarock
{

/// A server as placement sees it; the position in PlacementInput::servers is its ServerIndex.
struct PlacementServer
{
    Identity identity;
    std::string failureDomain;
    /// Relative capacity, 1 for an ordinary server, less while it warms up.
    double capacity = 1;
    /// False for a leaving or lost server: it receives nothing, and its slices must go.
    bool usable = true;
};

/// Observed load of one slice of the present assignment, same order as Assignment::slices.
struct SliceLoad
{
    double requestsPerSecond = 0;
    /// Distinct keys seen, estimated.
    double keys = 0;
};

struct HotKey
{
    KeyHash hash = 0;
    double requestsPerSecond = 0;
};

struct PlacementInput
{
    /// Slices with their present owners; owner indices refer to `servers`. Empty slices mean a first placement.
    Assignment current;
    std::vector<PlacementServer> servers;
    std::vector<SliceLoad> loads;
    /// Hottest keys first.
    std::vector<HotKey> hotKeys;
    OwnershipSettings ownership;
    MeasureWeights weights;
    /// Share of all keys, 0 to 1, that may still change owner for balance in this round. Slices of unusable servers
    /// move regardless.
    double churnBudget = 0;
};

/// The wanted owner of one slice.
struct SliceTarget
{
    SliceRange range;
    ServerIndex owner = noServer;
    std::vector<ServerIndex> successors;

    friend bool operator==(const SliceTarget &a, const SliceTarget &b)
    {
        return a.range == b.range && a.owner == b.owner && a.successors == b.successors;
    }
};

/// Returns the complete wanted partition of the hash space, sorted. A split or merge without a change of owner moves
/// no key. Deterministic: equal input gives equal output.
using PlacementPolicy = std::function<std::vector<SliceTarget>(const PlacementInput &)>;

/// Baseline: each server stands at fixed points of the hash space and owns the range up to the next point. Ignores
/// load and the churn budget. Without a usable server the result of every policy is empty.
std::vector<SliceTarget> consistentHashingPlacement(const PlacementInput &input);

/// Slices of equal width; each keeps its owner until that owner exceeds its bound, and then goes to the next server of
/// the slice's own order that has room.
std::vector<SliceTarget> boundedLoadsPlacement(const PlacementInput &input);

/// Slices that are split, merged and moved; hot keys become slices of their own. Moves for balance stay within the
/// churn budget. The default; the figures are in docs/placement.md.
std::vector<SliceTarget> weightedSlicesPlacement(const PlacementInput &input);

/// weightedSlicesPlacement() without slices for hot keys; for comparison.
std::vector<SliceTarget> weightedSlicesWithoutHotKeys(const PlacementInput &input);

struct NamedPlacement
{
    std::string_view name;
    PlacementPolicy policy;
};

/// All policies; the first is the default.
const std::vector<NamedPlacement> &placementPolicies();

}

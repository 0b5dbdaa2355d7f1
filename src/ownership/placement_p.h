#pragma once

#include <vector>

#include <galenarock/placement.h>

#include "rangewidth_p.h"

namespace Galenarock
{

/// A slice under placement. Load and keys are shares of the service's total.
struct DraftSlice
{
    SliceRange range;
    ServerIndex owner = noServer;
    std::vector<ServerIndex> successors;
    double load = 0;
    double keys = 0;
    /// Split or merged in this round. Such a slice does not move in the same round, because the coordinator would have
    /// to revoke all of its pieces instead of the one that moves.
    bool isReshaped = false;
};

/// Load and keys of a server, relative to the mean for its capacity: 1 is balanced.
struct ServerShare
{
    double load = 0;
    double keys = 0;
    /// The server's part of the total capacity of usable servers; 0 for an unusable one.
    double capacity = 0;
};

/// Working state that the policies share.
class PlacementDraft
{
public:
    explicit PlacementDraft(const PlacementInput &input);

    bool isUsable(ServerIndex server) const
    {
        return server < m_input.servers.size() && m_input.servers[server].usable;
    }
    const std::vector<ServerIndex> &usable() const
    {
        return m_usable;
    }
    const PlacementInput &input() const
    {
        return m_input;
    }
    /// False without observations; shares then follow the widths of the slices.
    bool hasLoads() const
    {
        return m_hasLoads;
    }
    std::vector<ServerShare> serverShares() const;

    /// Gives slices without a usable owner to their first usable successor, else to the least loaded server.
    void replaceUnusableOwners();
    /// Completes the successors of all slices and returns the result.
    std::vector<SliceTarget> take();

    std::vector<DraftSlice> slices;

private:
    void readSlices();
    void makeEvenSlices();
    void giveToSuccessor(DraftSlice &slice) const;

    const PlacementInput &m_input;
    std::vector<ServerIndex> m_usable;
    bool m_hasLoads = false;
};

/// A slice's own order of preference for servers: highest first. Depends on the server's name, not on its boot number,
/// so that a restarted server gets its slices back.
std::uint64_t preference(const Identity &server, KeyHash position);

/// Chooses two successors for each slice: in failure domains other than the owner's where possible, and spread so that
/// the loss of one server spreads its slices over many. Present successors stay while they satisfy this.
void chooseSuccessors(const PlacementInput &input, std::vector<DraftSlice> &slices);

}

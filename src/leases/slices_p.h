#pragma once

#include <optional>
#include <string>
#include <vector>

#include <galenarock/leases.h>

namespace Galenarock
{

/// A server whose grant may still be in force although the range has a new holder, since no reply confirmed the
/// release.
struct PossibleHolder
{
    SliceRange range;
    Identity server;
    Instant until;
};

/// State of one range at the leader.
struct LeaseSlice
{
    SliceRange range;
    /// Server that holds the range or gets the next grant for it; an empty name means no server.
    Identity holder;
    /// Server to which the range moves as soon as its holder has released it and the stored record names it.
    std::optional<Identity> target;
    /// Latest end of a grant that an earlier leader may have given to the target.
    Instant targetHoldsUntil{};
    std::uint64_t fencingToken = 0;
    /// Connection over which the holder accepted the fencing token; 0 if it has not yet.
    std::uint64_t connection = 0;
    /// The holder acknowledged a grant of this leader that has not expired.
    bool isGranted = false;
    bool isReleasing = false;
    /// Proof of the former holder's release, sent with the next grant.
    std::string releaseProof;
    /// Number of the call in flight; 0 for none.
    std::uint64_t openCall = 0;
    Instant nextCallAt{};
    /// Latest end of any grant that the holder may have, from this leader or an earlier one.
    Instant holdsUntil{};
    /// Latest end of the grants that got no reply; these may still take effect after a release.
    Instant unansweredUntil{};
    /// End of the last acknowledged grant, counted from the sending of the call.
    Instant grantedUntil{};
    std::uint32_t failures = 0;
    Instant changedAt{};

    /// Whether a grant to the holder may be in force or may still take effect.
    bool mayBeHeld(Instant now) const
    {
        return isGranted || openCall != 0 || now < holdsUntil || now < unansweredUntil;
    }
    bool isBusy() const
    {
        return target.has_value() || isReleasing;
    }
};

/// Ranges of one service with their current and possible holders, sorted; together they cover all key positions.
class LeaseSlices
{
public:
    void assign(std::vector<LeaseSlice> slices);
    void clear();
    std::vector<LeaseSlice> &all()
    {
        return m_slices;
    }
    const std::vector<LeaseSlice> &all() const
    {
        return m_slices;
    }
    LeaseSlice *withOpenCall(std::uint64_t number);
    /// Splits the slice that contains `range` so that `range` is a slice of its own. Null when that slice has a call in
    /// flight or is moving.
    LeaseSlice *isolate(const SliceRange &range);
    /// Merges neighbours for which `mayJoin` returns true; holder and other state come from the first one.
    void join(const std::function<bool(const LeaseSlice &, const LeaseSlice &)> &mayJoin,
              const std::function<void(LeaseSlice &)> &onJoined);

    void addPossibleHolder(const PossibleHolder &possible);
    /// Removes the possible holders whose grants have expired.
    void expirePossibleHolders(Instant now);
    /// Limits the latest end of all earlier grants to `limit`.
    void limitGrantEnds(Instant limit);
    bool isPossibleHolder(const Identity &server) const;
    /// A server other than `server` that may still hold a part of `range`; null when there is none.
    const PossibleHolder *otherPossibleHolder(const SliceRange &range, const Identity &server) const;

private:
    std::vector<LeaseSlice> m_slices;
    std::vector<PossibleHolder> m_possibleHolders;
};

}

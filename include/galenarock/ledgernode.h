#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

#include <galenarock/grantholder.h>
#include <galenarock/ledger.h>

namespace Galenarock
{

/// This daemon's part in the request ledger: the ranges granted to it, their records, and the map of all ledger owners.
///
/// A node that gains a range asks the former owner for its records. Until they arrive, for at most 500 ms, ids that the
/// former owner may have run are refused with outcome not-run, so that callers retry; after that they are refused with
/// outcome unknown.
///
/// Thread-safe; only non-repeatable requests take its lock.
class LedgerNode
{
public:
    using SendHook = std::function<void(const SendPeerAction &)>;

    explicit LedgerNode(Identity self);
    /// Set before the threads start.
    void setSendHook(SendHook hook);

    /// Grant call of a coordinator or its standby for ranges of request ids.
    GrantReply handleGrant(Instant now, WallMilliseconds wallNow, const GrantRequest &request);
    void setOwners(LedgerOwnerMap owners);
    /// LedgerMessage types; false for any other type or a malformed payload.
    bool handlePeer(const PeerEvent &event);
    /// Repeats unanswered fetches of records.
    void tick(Instant now);
    /// For a planned stop: the coordinator sees the drain at its next poll and moves the ranges.
    void drain(Instant now);

    const Identity &self() const
    {
        return m_self;
    }
    /// Ledger owner of the id; empty if it has none or its address is unknown.
    std::optional<LedgerOwnerMap::Owner> reachableOwner(const RequestId &id) const;
    LedgerDecision begin(Instant now, WallMilliseconds wallNow, const RequestId &id);
    void answered(const RequestId &id, RecordedResponse response);
    void refused(const RequestId &id, const Refusal &refusal);
    std::size_t recordCount() const;
    std::size_t rangeCount(Instant now) const;

private:
    struct Fetch
    {
        LedgerRange range;
        Identity former;
        Instant nextAt;
        Instant endsAt;
    };
    /// Former owners are looked up in this many of the newest assignments.
    static constexpr std::size_t maxOwnerMaps = 16;

    void startFetch(Instant now, const LedgerRange &range);
    std::optional<Identity> formerOwner(const SliceRange &range) const;
    bool isFetching(Instant now, KeyHash hash) const;
    bool answerFetch(const PeerEvent &event);
    bool receiveRecords(const PeerEvent &event);

    const Identity m_self;
    SendHook m_send = [](const SendPeerAction &) {
    };
    mutable std::mutex m_mutex;
    GrantHolder m_holder;
    RequestLedger m_ledger;
    /// Newest at the back.
    std::deque<LedgerOwnerMap> m_ownerMaps;
    std::vector<Fetch> m_fetches;
};

}

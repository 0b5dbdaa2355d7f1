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

/// This daemon's part in the request ledger: the ranges granted to it, their records, and the map of all keepers.
///
/// A keeper that gains a range asks the former keeper for its records. Until they arrive, or for half a second, ids
/// that the former keeper may have run are refused as not run by this attempt, so that their caller tries again; after
/// that they are refused with outcome unknown.
///
/// Thread-safe; only non-repeatable requests take its lock.
class RequestKeeper
{
public:
    using SendHook = std::function<void(const SendPeerAction &)>;

    explicit RequestKeeper(Identity self);
    /// Set before the threads start.
    void setSendHook(SendHook hook);

    /// Grant call of a coordinator or deputy for ranges of request ids.
    GrantReply handleGrant(Instant now, WallMilliseconds wallNow, const GrantRequest &request);
    void setKeepers(KeeperMap keepers);
    /// LedgerMessage types; false for any other type or a malformed payload.
    bool handlePeer(const PeerEvent &event);
    /// Repeats unanswered questions to former keepers.
    void tick(Instant now);
    /// Planned stop: the coordinator sees the drain at its next poll and moves the ranges.
    void drain(Instant now);

    const Identity &self() const
    {
        return m_self;
    }
    /// Who keeps this id; empty when nobody may keep it now.
    std::optional<KeeperMap::Keeper> keeper(const RequestId &id) const;
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
    /// Keepers before the newest assignment are looked up in this many older ones.
    static constexpr std::size_t maxKeeperMaps = 16;

    void startFetch(Instant now, const LedgerRange &range);
    std::optional<Identity> formerKeeper(const SliceRange &range) const;
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
    std::deque<KeeperMap> m_keepers;
    std::vector<Fetch> m_fetches;
};

}

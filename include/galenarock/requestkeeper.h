#pragma once

#include <memory>
#include <mutex>
#include <optional>

#include <galenarock/grantholder.h>
#include <galenarock/ledger.h>

namespace Galenarock
{

/// This daemon's part in the request ledger: the ranges granted to it, their records, and the map of all keepers.
///
/// Thread-safe; only non-repeatable requests take its lock.
class RequestKeeper
{
public:
    explicit RequestKeeper(Identity self);

    /// Grant call of a coordinator or deputy for ranges of request ids.
    GrantReply handleGrant(Instant now, WallMilliseconds wallNow, const GrantRequest &request);
    void setKeepers(KeeperMap keepers);

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
    const Identity m_self;
    mutable std::mutex m_mutex;
    GrantHolder m_holder;
    RequestLedger m_ledger;
    KeeperMap m_keepers;
};

}

#include <galenarock/requestkeeper.h>

namespace Galenarock
{

RequestKeeper::RequestKeeper(Identity self)
    : m_self(std::move(self))
    , m_holder(std::string(ledgerService), m_self.boot, randomNonce())
{
}

GrantReply RequestKeeper::handleGrant(Instant now, WallMilliseconds wallNow, const GrantRequest &request)
{
    const std::lock_guard lock(m_mutex);
    // Requests in flight do not delay a revoke: the next keeper refuses every id that is older than its takeover.
    auto reply = m_holder.handle(now, request);
    std::vector<LedgerRange> ranges;
    for (const auto &it : m_holder.held(now)) {
        ranges.push_back({it.range, Token{m_holder.epoch(), it.sequence}});
    }
    m_ledger.setRanges(wallNow, ranges);
    m_ledger.renewUntil(m_holder.termEnd());
    return reply.value_or(GrantReply{});
}

void RequestKeeper::setKeepers(KeeperMap keepers)
{
    const std::lock_guard lock(m_mutex);
    m_keepers = std::move(keepers);
}

std::optional<KeeperMap::Keeper> RequestKeeper::keeper(const RequestId &id) const
{
    const std::lock_guard lock(m_mutex);
    return m_keepers.keeper(id);
}

LedgerDecision RequestKeeper::begin(Instant now, WallMilliseconds wallNow, const RequestId &id)
{
    const std::lock_guard lock(m_mutex);
    return m_ledger.begin(now, wallNow, id);
}

void RequestKeeper::answered(const RequestId &id, RecordedResponse response)
{
    const std::lock_guard lock(m_mutex);
    m_ledger.answered(id, std::move(response));
}

void RequestKeeper::refused(const RequestId &id, const Refusal &refusal)
{
    const std::lock_guard lock(m_mutex);
    m_ledger.refused(id, refusal);
}

std::size_t RequestKeeper::recordCount() const
{
    const std::lock_guard lock(m_mutex);
    return m_ledger.size();
}

std::size_t RequestKeeper::rangeCount(Instant now) const
{
    const std::lock_guard lock(m_mutex);
    return m_holder.held(now).size();
}

}

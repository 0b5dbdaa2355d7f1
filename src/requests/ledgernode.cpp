#include <galenarock/ledgernode.h>

#include <algorithm>

#include "ledgermessages_p.h"

namespace Galenarock
{

namespace
{
constexpr Duration FetchInterval = milliseconds(50);
/// One exchange takes 3 ms between failure domains; half a second covers a lost message and a late revoke.
constexpr Duration FetchLimit = milliseconds(500);
}

LedgerNode::LedgerNode(Identity self)
    : m_self(std::move(self))
    , m_holder(std::string(ledgerService), m_self.boot, randomNonce())
{
}

void LedgerNode::setSendHook(SendHook hook)
{
    m_send = std::move(hook);
}

GrantReply LedgerNode::handleGrant(Instant now, WallMilliseconds wallNow, const GrantRequest &request)
{
    const std::lock_guard lock(m_mutex);
    // Requests in flight do not delay a revoke: the next owner refuses every id that is older than its takeover.
    auto reply = m_holder.handle(now, request);
    std::vector<LedgerRange> ranges;
    for (const auto &it : m_holder.held(now)) {
        ranges.push_back({it.range, Token{m_holder.epoch(), it.sequence}, m_holder.heldSince(now, it.range.first)});
    }
    for (const auto &it : m_ledger.setRanges(wallNow, ranges)) {
        startFetch(now, it);
    }
    m_ledger.renewUntil(m_holder.termEnd());
    return reply.value_or(GrantReply{});
}

void LedgerNode::startFetch(Instant now, const LedgerRange &range)
{
    const auto former = formerOwner(range.range);
    if (!former) {
        return;
    }
    m_fetches.push_back({range, *former, now + FetchInterval, now + FetchLimit});
    m_send({former->name, LedgerMessage::Fetch, encode(range)});
}

std::optional<Identity> LedgerNode::formerOwner(const SliceRange &range) const
{
    for (auto it = m_ownerMaps.rbegin(); it != m_ownerMaps.rend(); ++it) {
        const auto identity = it->assignedOwner(range.first);
        if (identity && *identity != m_self) {
            return identity;
        }
    }
    return {};
}

bool LedgerNode::isFetching(Instant now, KeyHash hash) const
{
    return std::any_of(m_fetches.begin(), m_fetches.end(),
                       [&](const Fetch &it) { return it.range.range.contains(hash) && now < it.endsAt; });
}

void LedgerNode::tick(Instant now)
{
    const std::lock_guard lock(m_mutex);
    m_fetches.erase(
        std::remove_if(m_fetches.begin(), m_fetches.end(), [&](const Fetch &it) { return now >= it.endsAt; }),
        m_fetches.end());
    for (auto &it : m_fetches) {
        if (now < it.nextAt) {
            continue;
        }
        it.nextAt = now + FetchInterval;
        m_send({it.former.name, LedgerMessage::Fetch, encode(it.range)});
    }
}

bool LedgerNode::handlePeer(const PeerEvent &event)
{
    if (event.type == LedgerMessage::Fetch) {
        return answerFetch(event);
    }
    return event.type == LedgerMessage::Records && receiveRecords(event);
}

bool LedgerNode::answerFetch(const PeerEvent &event)
{
    const auto range = tryOr([&]() -> Result<std::optional<LedgerRange>> { return decodeLedgerRange(event.payload); },
                             [](ErrorCode, const std::string &) { return std::optional<LedgerRange>(); });
    if (!range) {
        return false;
    }
    const std::lock_guard lock(m_mutex);
    if (const auto handover = m_ledger.handOver(*range)) {
        m_send({event.sender.name, LedgerMessage::Records, encode(*handover)});
    }
    return true;
}

bool LedgerNode::receiveRecords(const PeerEvent &event)
{
    const auto handover =
        tryOr([&]() -> Result<std::optional<LedgerHandover>> { return decodeLedgerHandover(event.payload); },
              [](ErrorCode, const std::string &) { return std::optional<LedgerHandover>(); });
    if (!handover) {
        return false;
    }
    const std::lock_guard lock(m_mutex);
    const auto fetch = std::find_if(m_fetches.begin(), m_fetches.end(), [&](const Fetch &it) {
        return it.range.range == handover->range && it.former == event.sender;
    });
    if (fetch != m_fetches.end()) {
        m_ledger.takeOver(*handover);
        m_fetches.erase(fetch);
    }
    return true;
}

void LedgerNode::drain(Instant now)
{
    const std::lock_guard lock(m_mutex);
    m_holder.drain(now);
}

void LedgerNode::setOwners(LedgerOwnerMap owners)
{
    const std::lock_guard lock(m_mutex);
    m_ownerMaps.push_back(std::move(owners));
    if (m_ownerMaps.size() > maxOwnerMaps) {
        m_ownerMaps.pop_front();
    }
}

std::optional<LedgerOwnerMap::Owner> LedgerNode::reachableOwner(const RequestId &id) const
{
    const std::lock_guard lock(m_mutex);
    return m_ownerMaps.empty() ? std::nullopt : m_ownerMaps.back().reachableOwner(id);
}

LedgerDecision LedgerNode::begin(Instant now, WallMilliseconds wallNow, const RequestId &id)
{
    const std::lock_guard lock(m_mutex);
    auto decision = m_ledger.begin(now, wallNow, id);
    if (decision.verdict == LedgerVerdict::TooOld && isFetching(now, hashOf(id))) {
        decision.verdict = LedgerVerdict::NotOwner;
        decision.refusal = Refusal{Reason::LedgerOwnerUnavailable, Outcome::NotRun, "records are being handed over", 0};
    }
    return decision;
}

void LedgerNode::answered(const RequestId &id, RecordedResponse response)
{
    const std::lock_guard lock(m_mutex);
    m_ledger.answered(id, std::move(response));
}

void LedgerNode::refused(const RequestId &id, const Refusal &refusal)
{
    const std::lock_guard lock(m_mutex);
    m_ledger.refused(id, refusal);
}

std::size_t LedgerNode::recordCount() const
{
    const std::lock_guard lock(m_mutex);
    return m_ledger.size();
}

std::size_t LedgerNode::rangeCount(Instant now) const
{
    const std::lock_guard lock(m_mutex);
    return m_holder.held(now).size();
}

}

#include <algorithm>

#include <galenarock/ledger.h>

/// Passing a range of request ids to its next owner.
namespace Galenarock
{

void RequestLedger::release(const HeldRange &range)
{
    m_released.push_back(range);
    if (m_released.size() > maxReleased) {
        m_released.pop_front();
    }
}

std::optional<LedgerHandover> RequestLedger::handOver(const LedgerRange &range) const
{
    for (const auto &it : m_ranges) {
        if (it.range.range.overlaps(range.range)) {
            return {};
        }
    }
    LedgerHandover handover{range.range, m_floor, {}};
    KeyHash position = range.range.first;
    bool isCovered = false;
    while (!isCovered) {
        // The newest release counts: an older one may have been followed by another owner.
        const auto found = std::find_if(m_released.rbegin(), m_released.rend(),
                                        [&](const HeldRange &it) { return it.range.range.contains(position); });
        if (found == m_released.rend() || found->range.token.sequence >= range.token.sequence) {
            return {};
        }
        handover.completeFrom = std::max(handover.completeFrom, found->takeover + m_settings.takeoverAllowanceMs);
        isCovered = found->range.range.last >= range.range.last;
        position = found->range.range.last + 1;
    }
    for (const auto &[id, entry] : m_entries) {
        if (!range.range.contains(hashOf(id))) {
            continue;
        }
        const auto reason = entry.state == State::InFlight ? Reason::RequestIdInFlight : entry.reason;
        handover.records.push_back({id, entry.state == State::Answered, entry.status, entry.response, reason});
    }
    return handover;
}

void RequestLedger::takeOver(const LedgerHandover &handover)
{
    const auto held = std::find_if(m_ranges.begin(), m_ranges.end(),
                                   [&](const HeldRange &it) { return it.range.range == handover.range; });
    if (held == m_ranges.end()) {
        return;
    }
    for (const auto &it : handover.records) {
        Entry entry;
        entry.state = it.isAnswered ? State::Answered : State::Unknown;
        entry.status = it.status;
        entry.reason = it.reason;
        entry.response = it.response;
        const bool isNew = m_entries.emplace(it.id, entry).second;
        if (isNew && entry.response) {
            m_responseBytes += entry.response->byteCount();
            m_withResponse.push_back(it.id);
        }
    }
    held->takeover = std::min(held->takeover, handover.completeFrom - m_settings.takeoverAllowanceMs);
    boundResponses();
}

}

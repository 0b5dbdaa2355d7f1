#include <galenarock/grantholder.h>

#include <algorithm>

#include "ownership/random_p.h"

namespace Galenarock
{

namespace
{
/// Senders whose nonces are kept. A pair has 2 members; the rest allows for takeovers and status queries.
constexpr std::size_t maxSenders = 64;

bool overlapsAny(const SliceRange &range, const std::vector<GrantedSlice> &slices)
{
    return std::any_of(slices.begin(), slices.end(), [&](const auto &it) { return it.range.overlaps(range); });
}
}

GrantHolder::GrantHolder(std::string service, std::uint64_t boot, std::uint64_t seed, GrantHolderOptions options)
    : m_service(std::move(service))
    , m_boot(boot)
    , m_seed(seed)
    , m_options(options)
{
}

std::optional<GrantReply> GrantHolder::handle(Instant now, const GrantRequest &request, std::uint64_t ticket)
{
    dropEnded(now);
    auto reason = refusal(now, request);
    if (!reason.empty()) {
        return reply(now, request, std::move(reason));
    }
    apply(now, request);
    if (request.action == GrantAction::Revoke && hasInFlight(request.slices)) {
        m_pending.push_back({ticket, request});
        return {};
    }
    return reply(now, request, {});
}

void GrantHolder::dropEnded(Instant now)
{
    if (m_options.checks && now >= m_termEnd) {
        m_held.clear();
    }
    // A grant sent before the release carries a nonce that has ended by itself after the longest term.
    const auto isOld = [&](const auto &it) {
        return now - it.releasedAt > m_options.maxTerm;
    };
    m_released.erase(std::remove_if(m_released.begin(), m_released.end(), isOld), m_released.end());
}

std::string GrantHolder::refusal(Instant now, const GrantRequest &request) const
{
    if (request.service != m_service) {
        return "other-service";
    }
    const bool firstPoll = request.action == GrantAction::Poll && request.boot == 0;
    if (request.boot != m_boot && !firstPoll) {
        return "other-boot";
    }
    if (request.action == GrantAction::Grant && m_state == ServerState::Draining) {
        return "draining";
    }
    if (!m_options.checks || request.action == GrantAction::Poll) {
        return {};
    }
    if (request.epoch < m_epoch) {
        return "old-epoch";
    }
    if (request.action == GrantAction::Fence) {
        return {};
    }
    if (request.epoch > m_epoch) {
        return "not-fenced";
    }
    if (request.action == GrantAction::Revoke) {
        return {};
    }
    auto reason = nonceRefusal(now, request);
    return reason.empty() ? sliceRefusal(request) : reason;
}

std::string GrantHolder::nonceRefusal(Instant now, const GrantRequest &request) const
{
    const Duration term = milliseconds(request.termMs);
    if (request.termMs <= 0 || term > m_options.maxTerm) {
        return "term";
    }
    const auto it = m_nonces.find(request.sender);
    if (it == m_nonces.end() || it->second.nonce != request.nonce) {
        return "old-nonce";
    }
    return now >= it->second.issuedAt + term ? "old-nonce" : "";
}

std::string GrantHolder::sliceRefusal(const GrantRequest &request) const
{
    if (request.action != GrantAction::Grant) {
        return {};
    }
    for (const auto &slice : request.slices) {
        for (const auto &it : m_released) {
            if (it.slice.range.overlaps(slice.range) && slice.sequence <= it.slice.sequence) {
                return "old-sequence";
            }
        }
        for (const auto &it : m_held) {
            if (it.range.overlaps(slice.range) && slice.sequence < it.sequence) {
                return "old-sequence";
            }
        }
    }
    return {};
}

void GrantHolder::apply(Instant now, const GrantRequest &request)
{
    switch (request.action) {
    case GrantAction::Poll:
        return;
    case GrantAction::Renew:
        return extendTerm(now, request);
    case GrantAction::Grant:
        extendTerm(now, request);
        return grant(request);
    case GrantAction::Revoke:
        return revoke(now, request);
    case GrantAction::Fence:
        m_epoch = std::max(m_epoch, request.epoch);
        return;
    }
}

void GrantHolder::extendTerm(Instant now, const GrantRequest &request)
{
    const auto it = m_nonces.find(request.sender);
    const Instant start = m_options.checks && it != m_nonces.end() ? it->second.issuedAt : now;
    m_termEnd = std::max(m_termEnd, start + milliseconds(request.termMs));
}

void GrantHolder::grant(const GrantRequest &request)
{
    for (const auto &slice : request.slices) {
        HeldSlice added{slice.range, slice.sequence, slice.sequence, m_epoch};
        std::vector<HeldSlice> kept;
        for (const auto &it : m_held) {
            if (!it.range.overlaps(slice.range)) {
                kept.push_back(it);
                continue;
            }
            // Parts outside the new slice stay held under their own sequence.
            if (it.range.first < slice.range.first) {
                kept.push_back({{it.range.first, slice.range.first - 1}, it.since, it.sequence, it.grantedEpoch});
            }
            if (it.range.last > slice.range.last) {
                kept.push_back({{slice.range.last + 1, it.range.last}, it.since, it.sequence, it.grantedEpoch});
            }
            if (it.range.first <= slice.range.first && it.range.last >= slice.range.last) {
                added.since = it.since;
                added.grantedEpoch = it.grantedEpoch;
            }
        }
        kept.push_back(added);
        m_held = std::move(kept);
    }
    std::sort(m_held.begin(), m_held.end(), [](const auto &a, const auto &b) { return a.range < b.range; });
}

void GrantHolder::revoke(Instant now, const GrantRequest &request)
{
    for (const auto &slice : request.slices) {
        std::vector<HeldSlice> kept;
        for (const auto &it : m_held) {
            const bool revoked = it.range.overlaps(slice.range) && it.sequence <= slice.sequence;
            if (!revoked) {
                kept.push_back(it);
                continue;
            }
            if (it.range.first < slice.range.first) {
                kept.push_back({{it.range.first, slice.range.first - 1}, it.since, it.sequence, it.grantedEpoch});
            }
            if (it.range.last > slice.range.last) {
                kept.push_back({{slice.range.last + 1, it.range.last}, it.since, it.sequence, it.grantedEpoch});
            }
        }
        m_held = std::move(kept);
        m_released.push_back({slice, now});
    }
}

GrantReply GrantHolder::reply(Instant now, const GrantRequest &request, std::string reason)
{
    GrantReply reply;
    reply.boot = m_boot;
    reply.epoch = m_epoch;
    reply.nonce = issueNonce(now, request.sender);
    reply.accepted = reason.empty();
    reply.reason = std::move(reason);
    reply.state = m_state;
    reply.inFlight = m_inFlightCount;
    reply.held = held(now);
    return reply;
}

std::uint64_t GrantHolder::issueNonce(Instant now, const Identity &sender)
{
    const bool isNew = m_nonces.find(sender) == m_nonces.end();
    if (isNew && m_nonces.size() >= maxSenders) {
        const auto oldest = std::min_element(m_nonces.begin(), m_nonces.end(), [](const auto &a, const auto &b) {
            return a.second.issuedAt < b.second.issuedAt;
        });
        m_nonces.erase(oldest);
    }
    const auto nonce = nextNonce(m_seed);
    m_nonces[sender] = {nonce, now};
    return nonce;
}

GrantCheck GrantHolder::check(Instant now, KeyHash hash, const Token &token) const
{
    if (m_drainedAt && now - *m_drainedAt > m_options.drainNotice) {
        return GrantCheck::Draining;
    }
    if (!m_options.checks) {
        return GrantCheck::Accepted;
    }
    if (now >= m_termEnd) {
        return GrantCheck::TermEnded;
    }
    const auto *const slice = find(hash);
    if (!slice || token.sequence < slice->since || token.sequence > slice->sequence) {
        return GrantCheck::NotOwner;
    }
    // The epoch may be older or newer than the last fence: a takeover changes it without moving the slice, and a
    // sequence is never used for two owners.
    return token.epoch < slice->grantedEpoch ? GrantCheck::NotOwner : GrantCheck::Accepted;
}

GrantCheck GrantHolder::begin(Instant now, KeyHash hash, const Token &token)
{
    const auto result = check(now, hash, token);
    if (result == GrantCheck::Accepted) {
        ++m_inFlight[hash];
        ++m_inFlightCount;
    }
    return result;
}

std::vector<DeferredGrantReply> GrantHolder::end(Instant now, KeyHash hash)
{
    const auto it = m_inFlight.find(hash);
    if (it == m_inFlight.end()) {
        return {};
    }
    --m_inFlightCount;
    if (--it->second == 0) {
        m_inFlight.erase(it);
    }
    std::vector<PendingRevoke> waiting;
    std::vector<DeferredGrantReply> done;
    for (auto &pending : m_pending) {
        if (hasInFlight(pending.request.slices)) {
            waiting.push_back(std::move(pending));
            continue;
        }
        done.push_back({pending.ticket, reply(now, pending.request, {})});
    }
    m_pending = std::move(waiting);
    return done;
}

void GrantHolder::setState(ServerState state)
{
    m_state = state;
}

void GrantHolder::drain(Instant now)
{
    m_state = ServerState::Draining;
    if (!m_drainedAt) {
        m_drainedAt = now;
    }
}

std::uint64_t GrantHolder::heldSince(Instant now, KeyHash hash) const
{
    const auto *slice = now < m_termEnd ? find(hash) : nullptr;
    return slice ? slice->since : 0;
}

std::vector<GrantedSlice> GrantHolder::held(Instant now) const
{
    std::vector<GrantedSlice> slices;
    if (m_options.checks && now >= m_termEnd) {
        return slices;
    }
    for (const auto &it : m_held) {
        slices.push_back({it.range, it.sequence});
    }
    return slices;
}

bool GrantHolder::hasInFlight(const std::vector<GrantedSlice> &slices) const
{
    return std::any_of(m_inFlight.begin(), m_inFlight.end(), [&](const auto &it) {
        return overlapsAny({it.first, it.first}, slices);
    });
}

const GrantHolder::HeldSlice *GrantHolder::find(KeyHash hash) const
{
    const auto after = std::upper_bound(m_held.begin(), m_held.end(), hash,
                                        [](KeyHash n, const HeldSlice &slice) { return n < slice.range.first; });
    if (after == m_held.begin()) {
        return nullptr;
    }
    const auto it = std::prev(after);
    return it->range.contains(hash) ? &*it : nullptr;
}

}

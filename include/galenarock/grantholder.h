#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <galenarock/control.h>

namespace Galenarock
{

/// Whether a server may run a request for a key now.
enum class GrantCheck : std::uint8_t
{
    Accepted,
    /// The key's slice is not held, or the token is another one.
    NotOwner,
    /// The term ended; the server holds nothing until it receives a new grant.
    TermEnded,
    /// The drain notice has passed.
    Draining,
};

struct GrantHolderOptions
{
    /// False for servers that obey every command and accept every request.
    bool checks = true;
    /// Longest term that a request may ask for.
    Duration maxTerm = seconds(60);
    /// Time after drain() during which requests for held slices are still accepted (G6).
    Duration drainNotice = seconds(2);
};

/// Reply to a revoke that waited for requests in flight; `ticket` is the one passed to handle().
struct DeferredGrantReply
{
    std::uint64_t ticket = 0;
    GrantReply reply;
};

/// Server side of grants for one service (rules R1, R3 and R8 of docs/design.md). Not thread-safe.
///
/// A term is counted from the issue of the nonce that the renewal carries, so a delayed renewal extends nothing that
/// its sender has not already accounted for. Each sender has a nonce of its own: with one nonce for all senders the
/// coordinator's renewal would invalidate the deputy's, and neither could renew with one message.
///
/// When the term ends, everything held is dropped. A server that was frozen can therefore not come back with a slice
/// that has moved in the meantime, however its next renewal is delayed.
///
/// Example:
///     GrantHolder holder("vitrina", boot, randomNonce());
///     if (auto reply = holder.handle(now, request, ticket)) { send(*reply); }
///     if (holder.begin(now, hashKey(key), token) == GrantCheck::Accepted) { run(); holder.end(now, hashKey(key)); }
class GrantHolder
{
public:
    GrantHolder(std::string service, std::uint64_t boot, std::uint64_t seed, GrantHolderOptions options = {});

    /// Reply to `POST /grants`. Empty when a revoke waits for requests in flight; end() then returns the reply.
    std::optional<GrantReply> handle(Instant now, const GrantRequest &request, std::uint64_t ticket = 0);

    /// Whether a request under `token` may run; changes nothing.
    GrantCheck check(Instant now, KeyHash hash, const Token &token) const;
    /// Same as check(), and counts an accepted request as in flight until end().
    GrantCheck begin(Instant now, KeyHash hash, const Token &token);
    /// Ends one request in flight; returns the revokes that this completes.
    std::vector<DeferredGrantReply> end(Instant now, KeyHash hash);

    /// Initial state is Ready.
    void setState(ServerState state);
    /// From now on no grant is accepted; held slices are served until they are revoked or the notice has passed.
    void drain(Instant now);

    /// Slices held under a running term, sorted.
    std::vector<GrantedSlice> held(Instant now) const;
    /// Lowest sequence under which the slice of `hash` has been held without interruption; 0 when it is not held.
    std::uint64_t heldSince(Instant now, KeyHash hash) const;
    Instant termEnd() const
    {
        return m_termEnd;
    }
    std::uint64_t boot() const
    {
        return m_boot;
    }
    std::uint32_t epoch() const
    {
        return m_epoch;
    }
    ServerState state() const
    {
        return m_state;
    }
    std::uint32_t inFlight() const
    {
        return m_inFlightCount;
    }

private:
    struct IssuedNonce
    {
        std::uint64_t nonce = 0;
        Instant issuedAt;
    };
    struct HeldSlice
    {
        SliceRange range;
        /// Lowest sequence under which the range has been held without interruption; requests of daemons that have
        /// not yet seen a re-grant to the same server carry an older one.
        std::uint64_t since = 0;
        std::uint64_t sequence = 0;
        std::uint32_t grantedEpoch = 0;
    };
    struct ReleasedSlice
    {
        GrantedSlice slice;
        Instant releasedAt;
    };
    struct PendingRevoke
    {
        std::uint64_t ticket = 0;
        GrantRequest request;
    };

    void dropEnded(Instant now);
    std::string refusal(Instant now, const GrantRequest &request) const;
    std::string nonceRefusal(Instant now, const GrantRequest &request) const;
    std::string sliceRefusal(const GrantRequest &request) const;
    void apply(Instant now, const GrantRequest &request);
    void extendTerm(Instant now, const GrantRequest &request);
    void grant(const GrantRequest &request);
    void revoke(Instant now, const GrantRequest &request);
    bool hasInFlight(const std::vector<GrantedSlice> &slices) const;
    GrantReply reply(Instant now, const GrantRequest &request, std::string reason);
    std::uint64_t issueNonce(Instant now, const Identity &sender);
    const HeldSlice *find(KeyHash hash) const;

    std::string m_service;
    std::uint64_t m_boot;
    std::uint64_t m_seed;
    GrantHolderOptions m_options;
    std::uint32_t m_epoch = 0;
    ServerState m_state = ServerState::Ready;
    std::optional<Instant> m_drainedAt;
    Instant m_termEnd;
    std::vector<HeldSlice> m_held;
    std::vector<ReleasedSlice> m_released;
    std::map<Identity, IssuedNonce> m_nonces;
    std::map<KeyHash, std::uint32_t> m_inFlight;
    std::uint32_t m_inFlightCount = 0;
    std::vector<PendingRevoke> m_pending;
};

}

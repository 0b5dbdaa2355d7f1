#pragma once

#include <memory>
#include <string>

#include <galenarock/ledger.h>
#include <galenarock/relays.h>
#include <galenarock/retry.h>
#include <galenarock/routing.h>
#include <galenarock/serverchoice.h>
#include <galenarock/suspects.h>
#include <galenarock/uncheckedpools.h>

#include "exchange_p.h"
#include "heldbytes_p.h"
#include "upstream_p.h"

namespace Galenarock
{

class ServiceTraffic;

/// Request bodies up to this size are buffered until the request ends, so that a retry can send them again.
inline constexpr std::size_t ReplayableBodyBytes = 65'536;

/// Responses up to this size are buffered before the first byte is sent to the caller, so that an incomplete response
/// can still be retried or replaced by a refusal.
inline constexpr std::uint64_t CollectedResponseBytes = 65'536;

/// State of a request from its arrival to its outcome.
struct PendingRequest
{
    std::shared_ptr<Exchange> exchange;
    /// Traffic state of the request's service; null until the service has been determined.
    ServiceTraffic *traffic = nullptr;
    std::uint64_t ticket = 0;
    /// Number in the trace; 0 when the request is not traced.
    std::uint64_t traceNumber = 0;

    /// Route that matches host and path; null in deployments where the first path segment names the service.
    const RouteRule *rule = nullptr;
    /// Keeps `rule` alive.
    std::shared_ptr<const RouteTable> routes;

    std::string method;
    /// Path and query to send to the server.
    std::string path;
    std::string key;
    KeyHash hash = 0;
    std::string requestId;
    std::optional<RequestId> id;
    bool idempotent = false;
    /// The request was forwarded by another daemon: because this daemon is the ledger owner of the request id, or
    /// because that daemon does not reach the servers.
    bool viaPeer = false;
    /// The attempt finds out whether this VM reaches servers again. It needs a new connection, since a kept one may
    /// hang, and a request for which none can be opened has not been sent.
    bool isProbe = false;
    /// False for a request that was relayed by another daemon: it is not relayed again.
    bool mayRelay = true;
    RelayedRequest relayed;
    /// VM through which the current attempt goes; empty for an attempt at a server.
    Relay relay;
    std::vector<std::string> triedRelays;
    /// Time until the request can succeed at the earliest, as the relay stated it, in milliseconds.
    std::int64_t relayUntilMs = 0;
    /// Server to which this VM could not connect, which is why the request is relayed; empty if there is none.
    Identity unreachedServer;
    /// Attempts of which a byte may have reached a server.
    std::uint32_t sentAttempts = 0;
    /// The id is in flight in this daemon's ledger, so the outcome must be recorded there.
    bool inLedger = false;
    /// The request is forwarded to the daemon that is the ledger owner of its id, instead of to a server.
    bool isForLedgerOwner = false;
    std::string ledgerOwnerAddress;
    Fingerprint fingerprint = 0;
    std::uint64_t caller = 0;
    Instant arrivedAt;
    Instant deadline;
    std::vector<std::string> forwardedHeaders;

    /// The connection to the server stays open for later requests.
    bool keepsConnection = true;
    /// The body is read from the caller while it is sent; otherwise `body` is complete before the first attempt.
    bool streamsBody = false;
    /// Length in bytes; -1 when not known.
    std::int64_t bodySize = 0;
    std::string body;
    std::uint64_t bodyReceived = 0;
    /// The body is being buffered until it ends or exceeds the size up to which it is kept for retries.
    bool collectsBody = false;
    /// The body is complete, or streamed from now on: the request has been counted and may be sent.
    bool isBodyReady = false;
    /// Number of bytes of `body` that a streaming attempt has sent.
    std::size_t prefixSent = 0;

    std::optional<AttemptPlan> plan;
    bool isQueued = false;
    Attempt *attempt = nullptr;
    ServerIndex server = noServer;
    /// Name and boot number of the server of the current attempt.
    Identity serverIdentity;
    ServerHandle handle = 0;
    /// Entry in UncheckedPools during an attempt at a server that does not check grants; 0 otherwise.
    UncheckedPools::Ticket uncheckedTicket = 0;
    Token token;
    Instant attemptStartedAt;
    bool sendingPaused = false;
    bool receivingPaused = false;

    unsigned responseStatus = 0;
    std::vector<HeaderField> responseHeaders;
    std::string responseBody;
    /// Of responseBody.
    HeldBytes heldBody;
    /// Bytes received of a body that is not passed on, because the server refused the request or its response is
    /// defective.
    std::size_t discardedBytes = 0;
    /// Permit for a server that states a request rate: the request may be sent from `from` to `until`.
    struct ServerPermit
    {
        Identity server;
        Instant from;
        Instant until;
    };
    std::optional<ServerPermit> permit;
    /// Refusals by permit so far, and the shortest time until a server may take the request.
    std::uint32_t permitRefusals = 0;
    Duration permitWait = Duration::max();
    /// Reason that the server gave for refusing the request; Reason::None for a regular response.
    Reason serverRefusal = Reason::None;
    /// The server, or the ledger owner of the request id, reported that the request may have run.
    bool reportedUnknown = false;
    std::string reportedLoad;
    std::optional<ReportedLoad> load;
    /// ServerView::outstanding when the attempt started.
    double outstandingAtStart = 0;
    /// ServerView::slots when the attempt started.
    double slotsAtStart = 1;
    /// When the current attempt was first seen to have sent its whole request and received nothing; zero before.
    Instant awaitingSince{};
    /// The current attempt has received nothing for longer than the bound of its service.
    bool isSilent = false;
    /// This has been recorded in the service's observations.
    bool isSilenceCounted = false;
    /// Why the response must not be sent to the caller; Reason::None when it may be sent.
    Reason defect = Reason::None;
    /// When the request first found that its key has no owner.
    Instant waitingSince{};
    bool streamsResponse = false;
    bool finished = false;
};

}

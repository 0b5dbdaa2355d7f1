#pragma once

#include <memory>
#include <string>

#include <galenarock/ledger.h>
#include <galenarock/retry.h>
#include <galenarock/routing.h>
#include <galenarock/serverchoice.h>
#include <galenarock/suspects.h>
#include <galenarock/uncheckedpools.h>

#include "exchange_p.h"
#include "upstream_p.h"

namespace Galenarock
{

class ServiceTraffic;

/// Bodies up to this size are kept until the request ends, so that a second attempt can send them again.
inline constexpr std::size_t ReplayableBodyBytes = 65'536;

/// Responses up to this size are collected before the first byte goes to the caller, so that a cut response can still
/// become a second attempt or a clear refusal.
inline constexpr std::uint64_t CollectedResponseBytes = 65'536;

/// A request between its arrival and its one outcome.
struct PendingRequest
{
    std::shared_ptr<Exchange> exchange;
    /// Service, document and servers as of the newest snapshot; null until the service is known.
    ServiceTraffic *traffic = nullptr;
    std::uint64_t ticket = 0;
    /// Number in the trace; 0 when the request is not traced.
    std::uint64_t traceNumber = 0;

    /// Route by host and path; null where the first path segment names the service.
    const RouteRule *rule = nullptr;
    /// Keeps `rule` alive.
    std::shared_ptr<const RouteTable> routes;

    std::string method;
    /// Path after the service's name, with the query.
    std::string path;
    std::string key;
    KeyHash hash = 0;
    std::string requestId;
    std::optional<RequestId> id;
    bool idempotent = false;
    /// The request came from another daemon, which chose this one as ledger owner of the request id.
    bool viaPeer = false;
    /// This daemon's ledger has the id in flight, and the outcome must be recorded there.
    bool inLedger = false;
    /// The attempt goes to the ledger owner of the request id instead of a server.
    bool isForLedgerOwner = false;
    std::string ledgerOwnerAddress;
    Fingerprint fingerprint = 0;
    std::uint64_t caller = 0;
    Instant arrivedAt;
    Instant deadline;
    std::vector<std::string> forwardedHeaders;

    /// The body is read as the server takes it; otherwise it is complete in `body` before the first attempt.
    /// The server's connection stays open for later requests.
    bool keepsConnection = true;
    bool streamsBody = false;
    std::int64_t bodySize = 0;
    std::string body;
    std::uint64_t bodyReceived = 0;
    /// The length is not known yet; the body is kept until it ends or grows too large to be kept.
    bool collectsBody = false;
    /// Bytes of `body` that a streaming attempt has sent.
    std::size_t prefixSent = 0;

    std::optional<AttemptPlan> plan;
    bool isQueued = false;
    Attempt *attempt = nullptr;
    ServerIndex server = noServer;
    /// Name and boot of the server of the present attempt.
    Identity serverIdentity;
    ServerHandle handle = 0;
    /// Entered in UncheckedPools during an attempt at a server that does not check grants; 0 otherwise.
    UncheckedPools::Ticket uncheckedTicket = 0;
    Token token;
    Instant attemptStartedAt;
    bool sendingPaused = false;
    bool receivingPaused = false;

    unsigned responseStatus = 0;
    std::vector<HeaderField> responseHeaders;
    std::string responseBody;
    /// Reason given by the server that it did not run the request; Reason::None for a real response.
    Reason serverRefusal = Reason::None;
    /// The server, or the ledger owner of the request id, reported that the request may have run.
    bool reportedUnknown = false;
    std::string reportedLoad;
    std::optional<ReportedLoad> load;
    /// ServerView::outstanding when the attempt started.
    double outstandingAtStart = 0;
    /// Why the response must not reach the caller; Reason::None when it may.
    Reason defect = Reason::None;
    /// When the request first found its key without an owner.
    Instant waitingSince{};
    bool streamsResponse = false;
    bool finished = false;
};

}

#pragma once

#include <memory>
#include <string>

#include <galenarock/routing.h>

#include "exchange_p.h"
#include "upstream_p.h"

namespace Galenarock
{

class ServiceTraffic;

/// Bodies up to this size are kept until the request ends, so that a second attempt can send them again.
inline constexpr std::size_t ReplayableBodyBytes = 64 * 1024;

/// Responses up to this size are collected before the first byte goes to the caller, so that a cut response can still
/// become a second attempt or a clear refusal.
inline constexpr std::uint64_t CollectedResponseBytes = 64 * 1024;

/// A request between its arrival and its one outcome.
struct PendingRequest
{
    std::shared_ptr<Exchange> exchange;
    /// Keeps `route` alive while newer snapshots replace it.
    std::shared_ptr<const RoutingSnapshot> snapshot;
    const ServiceRoute *route = nullptr;
    ServiceTraffic *traffic = nullptr;

    std::string method;
    /// Path after the service's name, with the query.
    std::string path;
    std::string key;
    KeyHash hash = 0;
    std::string requestId;
    bool idempotent = false;
    /// The request came from another daemon, which chose this one as keeper of the request id.
    bool viaPeer = false;
    Instant arrivedAt;
    Instant deadline;
    std::vector<std::string> forwardedHeaders;

    /// The body is read as the server takes it; otherwise it is complete in `body` before the first attempt.
    bool streamsBody = false;
    std::int64_t bodySize = 0;
    std::string body;
    std::uint64_t bodyReceived = 0;

    unsigned attempts = 0;
    Attempt *attempt = nullptr;
    ServerIndex server = noServer;
    Token token;
    Instant attemptStartedAt;
    bool sendingPaused = false;
    bool receivingPaused = false;

    unsigned responseStatus = 0;
    std::vector<HeaderField> responseHeaders;
    std::string responseBody;
    /// Reason given by the server that it did not run the request; Reason::None for a real response.
    Reason serverRefusal = Reason::None;
    bool streamsResponse = false;
    bool finished = false;
};

}

#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <galenarock/assignment.h>
#include <galenarock/requests.h>
#include <galenarock/serverchoice.h>

/// Names and meanings of the headers between callers, daemons and servers.
///
/// The request path is the same for every deployment; what a header is called, and which answer of a server proves that
/// a request did not run, comes from one of these.
namespace Galenarock
{

using HeaderLines = std::vector<std::string>;
using HeaderPairs = std::vector<std::pair<std::string, std::string>>;

/// Reads one header of a request or response; empty when absent.
using HeaderLookup = std::function<std::string_view(const char *name)>;

/// Request properties that the caller states in headers.
struct RequestInfo
{
    /// Id of this attempt of the caller; forwarded, and echoed by servers.
    std::string id;
    /// How long the caller waits, in milliseconds.
    std::optional<std::int64_t> deadlineMs;
    /// Position of the request's key.
    std::optional<KeyHash> position;
    /// What is wrong with the headers; empty if they are valid.
    std::string defect;
};

/// Attempt properties that are sent to the server in headers.
struct AttemptInfo
{
    /// Server that must run it; another one at the same address refuses.
    Identity server;
    std::int64_t remainingMs = 0;
};

/// Response properties that the server states in status and headers.
struct ResponseInfo
{
    /// The server states that it did not run the request and will not.
    bool isNotRun = false;
    /// Why, when it did not run: ServerShed, NotOwner, ...
    Reason reason = Reason::None;
    /// Another process than the named one has the address.
    bool isOtherServer = false;
    /// The response belongs to a request with this id; empty when it does not say.
    std::string id;
    std::optional<ReportedLoad> load;
    /// The body is not the server's own bytes.
    bool isEncoded = false;
};

struct RequestDialect
{
    /// Routes come from a RouteTable by host and path; else from service documents by the first path segment.
    bool hasRouteTable = false;
    std::function<RequestInfo(const HeaderLookup &header)> readRequest;
    /// Whether a header of the caller's request is not forwarded, because the daemon sets it.
    std::function<bool(std::string_view name)> isOverwrittenHeader;
    std::function<void(const AttemptInfo &info, HeaderLines &lines)> writeAttempt;
    std::function<ResponseInfo(unsigned status, const HeaderLookup &header)> readResponse;
    /// Whether a header of a server's response is removed before it reaches the caller.
    std::function<bool(std::string_view name)> isStrippedHeader;
    std::function<void(const Refusal &refusal, HeaderPairs &headers)> writeRefusal;
};

}

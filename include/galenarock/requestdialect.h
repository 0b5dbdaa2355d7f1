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
/// The request path is the same for every deployment; a RequestDialect supplies the header names and decides which
/// responses of a server prove that a request did not run.
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
    /// How long the caller waits for the response, in milliseconds.
    std::optional<std::int64_t> deadlineMs;
    /// Position of the request's key.
    std::optional<KeyHash> position;
    /// What is wrong with the headers; empty if they are valid.
    std::string defect;
};

/// Attempt properties that are sent to the server in headers.
struct AttemptInfo
{
    /// Server process that must run the request; another process at the same address refuses it.
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
    /// The response came from another process than the addressed one.
    bool isOtherServer = false;
    /// Id of the request that the response answers; empty if the response has none.
    std::string id;
    std::optional<ReportedLoad> load;
    /// Requests per second that the server takes from all daemons together; empty when it states none.
    std::optional<double> requestsPerSecond;
    /// Time for which a server that refused the request wants no further one from this VM; empty when it states none.
    std::optional<Duration> pause;
    /// The response states such a time and it cannot be read.
    bool isPauseMalformed = false;
    /// The server says that it leaves: it wants no new requests and ends soon.
    bool isLeaving = false;
    /// The response has a Content-Encoding, so its body is not the server's original bytes.
    bool isEncoded = false;
};

struct RequestDialect
{
    /// True: routes are looked up by host and path in a RouteTable. False: the first path segment names the service
    /// document.
    bool hasRouteTable = false;
    std::function<RequestInfo(const HeaderLookup &header)> readRequest;
    /// Position of a key in the form in which callers state it; empty if it is malformed. Null for a deployment without
    /// a route table.
    std::function<std::optional<KeyHash>(std::string_view key)> readKey;
    /// Whether a header of the caller's request is not forwarded, because the daemon sets it.
    std::function<bool(std::string_view name)> isOverwrittenHeader;
    std::function<void(const AttemptInfo &info, HeaderLines &lines)> writeAttempt;
    std::function<ResponseInfo(unsigned status, const HeaderLookup &header)> readResponse;
    /// Whether a header of a server's response is removed before it reaches the caller.
    std::function<bool(std::string_view name)> isStrippedHeader;
    std::function<void(const Refusal &refusal, HeaderPairs &headers)> writeRefusal;
};

}

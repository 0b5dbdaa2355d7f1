#pragma once

#include <functional>
#include <string>
#include <string_view>

#include <galenarock/settings.h>

namespace Galenarock::Ctl
{

struct HttpRequest
{
    std::string method = "GET";
    Endpoint endpoint;
    /// Path and query, already percent-encoded.
    std::string target;
    std::string body;
    /// Value of the header X-Team; empty to omit the header.
    std::string team;
};

struct HttpReply
{
    /// 0 when no complete response arrived.
    long status = 0;
    std::string body;
    /// Error message if `status` is 0.
    std::string error;
    /// False if no byte of the request was sent, as when the connection is refused.
    bool mayHaveBeenSent = true;
};

/// Makes one blocking HTTP call; tests replace it by a fake platform.
using HttpCall = std::function<HttpReply(const HttpRequest &)>;

/// Makes the call with libcurl, on a new connection. On a reused connection that closes before the response, libcurl
/// resends the request on its own, which would hide a lost response.
HttpReply callWithCurl(const HttpRequest &request);

/// Percent-encodes everything but the unreserved characters of RFC 3986.
std::string percentEncoded(std::string_view text);

}

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
    /// Header X-Team; empty for none.
    std::string team;
};

struct HttpReply
{
    /// 0 when no complete response arrived.
    long status = 0;
    std::string body;
    /// What failed when `status` is 0.
    std::string error;
    /// False when it is certain that the request never reached the other side.
    bool maybeSent = true;
};

/// One blocking call; replaced by a table of answers in tests.
using HttpCall = std::function<HttpReply(const HttpRequest &)>;

/// Calls by libcurl, each on a connection of its own: libcurl resends a request by itself when a reused connection
/// closes before the response, which would hide a lost answer.
HttpReply callByCurl(const HttpRequest &request);

/// Percent-encodes everything but the unreserved characters of RFC 3986.
std::string percentEncoded(std::string_view text);

}

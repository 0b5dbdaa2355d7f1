#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <galenarock/base.h>
#include <galenarock/error.h>

namespace Galenarock::Standin
{

struct HttpCall
{
    std::string method = "GET";
    /// `http://ip:port/path`
    std::string url;
    std::string body;
    /// Lines `Name: value`.
    std::vector<std::string> headers;
    milliseconds timeout = seconds(10);
};

struct HttpReply
{
    unsigned status = 0;
    /// Names in lower case.
    std::map<std::string, std::string> headers;
    std::string body;
};

/// Performs one blocking call on a connection of its own. Fails with Unavailable when no connection was made, Timeout,
/// or AnswerLost when the connection broke before the response was complete.
Result<HttpReply> callHttp(const HttpCall &call);

}

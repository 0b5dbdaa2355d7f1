#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "upstream_p.h"

/// Incremental parsing of HTTP/1.x requests. Does no I/O.
namespace Galenarock
{

/// Start line and header fields of a request.
struct RequestHead
{
    std::string method;
    /// As received, without percent-decoding.
    std::string target;
    std::vector<HeaderField> headers;
    /// Bytes of the body; empty for a chunked one, 0 without a body.
    std::optional<std::uint64_t> bodyLength = 0;
    /// The caller keeps the connection open after the response.
    bool keepsAlive = true;
    bool isHttp10 = false;
    /// The caller waits for an interim response before it sends the body.
    bool expectsContinue = false;

    bool hasBody() const
    {
        return bodyLength != 0U;
    }
    /// Value of the first field with this name, compared without case; empty when absent.
    std::string_view header(std::string_view name) const;

    friend bool operator==(const RequestHead &a, const RequestHead &b)
    {
        return a.method == b.method && a.target == b.target && a.headers == b.headers && a.bodyLength == b.bodyLength
            && a.keepsAlive == b.keepsAlive && a.isHttp10 == b.isHttp10 && a.expectsContinue == b.expectsContinue;
    }
};

/// Why a request cannot be read. The connection cannot be used further.
struct RequestDefect
{
    /// HTTP status of the response: 400, 431 or 505.
    unsigned status = 400;
    std::string text;

    friend bool operator==(const RequestDefect &a, const RequestDefect &b)
    {
        return a.status == b.status && a.text == b.text;
    }
};

/// Parses one request after the other from the bytes of a connection.
///
/// Stricter than RFC 9112 requires, since a request that two parsers read differently could be smuggled inside another:
/// line endings without CR, folded fields, several lengths, a length beside a transfer coding, codings other than
/// `chunked`, and requests without exactly one Host field are refused.
///
/// Example: `bytes.erase(0, parser.parse(bytes))` until isComplete(), then next().
class RequestParser
{
public:
    /// Larger request heads are refused with status 431.
    explicit RequestParser(std::size_t headLimit);
    ~RequestParser();
    RequestParser(const RequestParser &) = delete;
    RequestParser &operator=(const RequestParser &) = delete;

    /// Parses as much of `bytes` as belongs to the present request and returns how many bytes that is. The caller
    /// passes the rest again, with further bytes behind it. Stops at the end of the head, and at the end of the
    /// request.
    std::size_t parse(std::string_view bytes);

    bool isHeadComplete() const;
    /// The request has been read to its end.
    bool isComplete() const;
    /// Set when the request cannot be read; parse() must not be called again.
    const std::optional<RequestDefect> &defect() const;
    /// Moves the head out; call once for each request, when isHeadComplete().
    RequestHead takeHead();
    /// Body bytes that were parsed since the last call, without their framing.
    std::string takeBody();
    /// Begins with the next request of the connection.
    void next();

private:
    class Private;
    std::unique_ptr<Private> m_data;
};

}

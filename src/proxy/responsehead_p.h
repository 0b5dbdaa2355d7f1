#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "upstream_p.h"

/// Text of response heads.
namespace Galenarock
{

/// How the caller finds the end of a response.
struct ResponseFraming
{
    /// Value of Content-Length; empty for none.
    std::optional<std::uint64_t> length;
    bool isChunked = false;
    /// The connection is closed after the response.
    bool closes = false;
    /// The caller speaks HTTP/1.0, so that a connection that stays open must be stated.
    bool isHttp10 = false;

    friend bool operator==(const ResponseFraming &a, const ResponseFraming &b)
    {
        return a.length == b.length && a.isChunked == b.isChunked && a.closes == b.closes && a.isHttp10 == b.isHttp10;
    }
};

/// Appends status line and header fields. Fields of `headers` that describe the connection or the framing are left out,
/// as are those that contain line endings. A date is added if there is none.
void appendResponseHead(std::string &out, unsigned status, const std::vector<HeaderField> &headers,
                        const ResponseFraming &framing);
/// Appends one chunk; `n` must not be 0, since that would end the body.
void appendChunk(std::string &out, const char *bytes, std::size_t n);
/// Ends a body in chunks.
void appendLastChunk(std::string &out);

}

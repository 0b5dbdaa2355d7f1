#include "responsehead_p.h"

#include <algorithm>
#include <ctime>
#include <iterator>
#include <ostream> // needed by boost/beast/http/status.hpp

#include <boost/beast/http/status.hpp>
#include <fmt/format.h>

#include "headerfields_p.h"

namespace Galenarock
{

namespace
{
bool isForwardable(const HeaderField &field)
{
    const auto isLineEnd = [](char it) {
        return it == '\r' || it == '\n' || it == '\0';
    };
    return std::none_of(field.name.begin(), field.name.end(), isLineEnd)
        && std::none_of(field.value.begin(), field.value.end(), isLineEnd) && !isHopByHop(field.name)
        && !equalsIgnoreCase(field.name, "Content-Length");
}

/// Value of the Date field (RFC 9110, section 5.6.7), made once a second.
const std::string &currentDate()
{
    thread_local std::time_t second = 0;
    thread_local std::string text;
    const auto now = std::time(nullptr);
    if (now == second) {
        return text;
    }
    second = now;
    std::tm parts{};
    gmtime_r(&now, &parts);
    char buf[64];
    const auto n = std::strftime(buf, sizeof buf, "%a, %d %b %Y %H:%M:%S GMT", &parts);
    text.assign(buf, n);
    return text;
}

void appendField(std::string &out, std::string_view name, std::string_view value)
{
    out.append(name).append(": ").append(value).append("\r\n");
}
}

void appendResponseHead(std::string &out, unsigned status, const std::vector<HeaderField> &headers,
                        const ResponseFraming &framing)
{
    const auto reason = boost::beast::http::obsolete_reason(boost::beast::http::int_to_status(status));
    fmt::format_to(std::back_inserter(out), "HTTP/1.1 {} {}\r\n", status,
                   std::string_view(reason.data(), reason.size()));
    bool hasDate = false;
    for (const auto &it : headers) {
        if (!isForwardable(it)) {
            continue;
        }
        hasDate = hasDate || equalsIgnoreCase(it.name, "Date");
        appendField(out, it.name, it.value);
    }
    if (!hasDate) {
        appendField(out, "Date", currentDate());
    }
    if (framing.length) {
        appendField(out, "Content-Length", std::to_string(*framing.length));
    } else if (framing.isChunked) {
        appendField(out, "Transfer-Encoding", "chunked");
    }
    if (framing.closes) {
        appendField(out, "Connection", "close");
    } else if (framing.isHttp10) {
        appendField(out, "Connection", "keep-alive");
    }
    out.append("\r\n");
}

void appendChunk(std::string &out, const char *bytes, std::size_t n)
{
    fmt::format_to(std::back_inserter(out), "{:x}\r\n", n);
    out.append(bytes, n);
    out.append("\r\n");
}

void appendLastChunk(std::string &out)
{
    out.append("0\r\n\r\n");
}

}

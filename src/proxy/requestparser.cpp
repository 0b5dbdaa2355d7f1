#include "requestparser_p.h"

#include <algorithm>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>

#include "headerfields_p.h"

namespace Galenarock
{

namespace
{
namespace http = boost::beast::http;

/// Header fields of one request.
constexpr std::size_t MaxHeaderFields = 512;
/// Empty lines before a request that are skipped (RFC 9112, section 2.2).
constexpr std::size_t MaxLeadingBytes = 4;

std::string_view view(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

bool isDecimal(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), [](char it) { return it >= '0' && it <= '9'; });
}

std::string_view trimmed(std::string_view text)
{
    const auto isSpace = [](char it) {
        return it == ' ' || it == '\t';
    };
    while (!text.empty() && isSpace(text.front())) {
        text.remove_prefix(1);
    }
    while (!text.empty() && isSpace(text.back())) {
        text.remove_suffix(1);
    }
    return text;
}

/// Whether the request line ends with a version of HTTP that is not served.
bool isOtherVersion(std::string_view head)
{
    const auto line = head.substr(0, head.find('\r'));
    const auto version = line.substr(std::min(line.rfind(' ') + 1, line.size()));
    return version.substr(0, 5) == "HTTP/" && version != "HTTP/1.0" && version != "HTTP/1.1";
}

/// Fills in a RequestHead; the framing of the body is the work of the base class.
class HeadCollector : public http::basic_parser<true>
{
public:
    RequestHead head;
    std::string body;
    std::size_t hosts = 0;
    std::size_t lengths = 0;
    /// Text of the first rule that the head breaks; null if none.
    const char *broken = nullptr;

private:
    void on_request_impl(http::verb, boost::beast::string_view method, boost::beast::string_view target, int version,
                         boost::beast::error_code &) override
    {
        head.method = std::string(view(method));
        head.target = std::string(view(target));
        head.isHttp10 = version == 10;
    }
    void on_response_impl(int, boost::beast::string_view, int, boost::beast::error_code &) override
    {
    }
    void on_field_impl(http::field field, boost::beast::string_view name, boost::beast::string_view value,
                       boost::beast::error_code &) override
    {
        if (is_header_done()) {
            return; // a trailer field
        }
        if (head.headers.size() >= MaxHeaderFields) {
            broken = "too many header fields";
            return;
        }
        checkField(field, trimmed(view(value)));
        head.headers.push_back({std::string(view(name)), std::string(trimmed(view(value)))});
    }
    void checkField(http::field field, std::string_view value)
    {
        if (field == http::field::host) {
            ++hosts;
        } else if (field == http::field::content_length) {
            ++lengths;
            broken = lengths > 1 || !isDecimal(value) ? "malformed or repeated Content-Length" : broken;
        } else if (field == http::field::transfer_encoding) {
            broken = head.isHttp10 || !equalsIgnoreCase(value, "chunked") ? "unknown transfer coding" : broken;
        } else if (field == http::field::expect) {
            head.expectsContinue = equalsIgnoreCase(value, "100-continue");
        }
    }
    void on_header_impl(boost::beast::error_code &) override
    {
    }
    void on_body_init_impl(const boost::optional<std::uint64_t> &, boost::beast::error_code &) override
    {
    }
    std::size_t on_body_impl(boost::beast::string_view bytes, boost::beast::error_code &) override
    {
        body.append(bytes.data(), bytes.size());
        return bytes.size();
    }
    void on_chunk_header_impl(std::uint64_t, boost::beast::string_view, boost::beast::error_code &) override
    {
    }
    std::size_t on_chunk_body_impl(std::uint64_t, boost::beast::string_view bytes, boost::beast::error_code &) override
    {
        body.append(bytes.data(), bytes.size());
        return bytes.size();
    }
    void on_finish_impl(boost::beast::error_code &) override
    {
    }
};
}

std::string_view RequestHead::header(std::string_view name) const
{
    return fieldOf(headers, name);
}

class RequestParser::Private
{
public:
    explicit Private(std::size_t limit)
        : headLimit(limit)
    {
    }

    std::size_t parseHead(std::string_view bytes);
    std::size_t parseBody(std::string_view bytes);
    void checkPartialFraming(std::string_view rest);
    std::size_t findHeadEnd(std::string_view bytes);
    std::size_t put(std::string_view bytes);
    void finishHead();
    void fail(unsigned status, std::string text)
    {
        defect = RequestDefect{status, std::move(text)};
    }

    const std::size_t headLimit;
    /// A parser of the base class reads one request only.
    std::optional<HeadCollector> collector;
    std::optional<RequestDefect> defect;
    bool isHeadComplete = false;
    /// Bytes of the head in which line endings have been checked.
    std::size_t checkedBytes = 0;
    /// Start of the line that follows the checked bytes.
    std::size_t lineStart = 0;
};

/// Position after the empty line that ends the head; 0 while it has not arrived. Sets the defect for a line ending
/// without CR and for a folded field, which the base class would accept.
std::size_t RequestParser::Private::findHeadEnd(std::string_view bytes)
{
    while (checkedBytes < bytes.size()) {
        const auto end = bytes.find('\n', checkedBytes);
        if (end == std::string_view::npos) {
            checkedBytes = bytes.size();
            return 0;
        }
        if (end == 0 || bytes[end - 1] != '\r') {
            fail(400, "line ending without CR");
            return 0;
        }
        const bool isFolded = lineStart > 0 && (bytes[lineStart] == ' ' || bytes[lineStart] == '\t');
        if (isFolded) {
            fail(400, "folded header field");
            return 0;
        }
        const bool isEmpty = end == lineStart + 1;
        checkedBytes = end + 1;
        lineStart = checkedBytes;
        if (isEmpty) {
            return checkedBytes;
        }
    }
    return 0;
}

std::size_t RequestParser::Private::parseHead(std::string_view bytes)
{
    std::size_t skipped = 0;
    while (checkedBytes == 0 && skipped < MaxLeadingBytes && bytes.substr(skipped, 2) == "\r\n") {
        skipped += 2;
    }
    const auto head = bytes.substr(skipped);
    if (checkedBytes == 0 && (head.empty() || head == "\r")) {
        return skipped;
    }
    const auto end = findHeadEnd(head);
    if (defect) {
        return skipped;
    }
    if ((end == 0 ? head.size() : end) > headLimit) {
        fail(431, "request head too large");
        return skipped;
    }
    if (end == 0) {
        return skipped;
    }
    collector.emplace();
    collector->header_limit(static_cast<std::uint32_t>(headLimit));
    collector->body_limit(boost::none); // the handler of the request has limits of its own
    collector->eager(false);
    const auto n = put(head.substr(0, end));
    if (!defect && (n != end || !collector->is_header_done())) {
        fail(400, "malformed request head");
    }
    if (!defect) {
        finishHead();
    }
    return skipped + n;
}

void RequestParser::Private::finishHead()
{
    auto &head = collector->head;
    if (collector->broken) {
        fail(400, collector->broken);
        return;
    }
    if (collector->hosts > 1 || (collector->hosts == 0 && !head.isHttp10)) {
        fail(400, "exactly one Host field is needed");
        return;
    }
    head.keepsAlive = collector->keep_alive();
    head.bodyLength = collector->chunked() ? std::nullopt : std::optional<std::uint64_t>(0);
    if (const auto length = collector->content_length()) {
        head.bodyLength = *length;
    }
    isHeadComplete = true;
    collector->eager(true);
}

std::size_t RequestParser::Private::parseBody(std::string_view bytes)
{
    if (collector->is_done() || bytes.empty()) {
        return 0;
    }
    const auto n = put(bytes);
    if (!defect && !collector->is_done()) {
        checkPartialFraming(bytes.substr(n));
    }
    return n;
}

/// Checks what remains of a body after parsing: a part of a chunk's size line or of the trailer.
void RequestParser::Private::checkPartialFraming(std::string_view rest)
{
    if (rest.size() > headLimit) {
        fail(400, "chunk size line or trailer too large");
        return;
    }
    for (auto end = rest.find('\n'); end != std::string_view::npos; end = rest.find('\n', end + 1)) {
        if (end == 0 || rest[end - 1] != '\r') {
            fail(400, "line ending without CR");
            return;
        }
    }
}

std::size_t RequestParser::Private::put(std::string_view bytes)
{
    boost::beast::error_code ec;
    const auto n = collector->put(boost::asio::const_buffer(bytes.data(), bytes.size()), ec);
    if (ec == http::error::bad_version && isOtherVersion(bytes)) {
        fail(505, "HTTP version not supported");
    } else if (ec && ec != http::error::need_more) {
        fail(400, ec.message());
    }
    return n;
}

RequestParser::RequestParser(std::size_t headLimit)
    : m_data(std::make_unique<Private>(headLimit))
{
}

RequestParser::~RequestParser() = default;

std::size_t RequestParser::parse(std::string_view bytes)
{
    return m_data->isHeadComplete ? m_data->parseBody(bytes) : m_data->parseHead(bytes);
}

bool RequestParser::isHeadComplete() const
{
    return m_data->isHeadComplete;
}

bool RequestParser::isComplete() const
{
    return m_data->isHeadComplete && m_data->collector->is_done();
}

const std::optional<RequestDefect> &RequestParser::defect() const
{
    return m_data->defect;
}

RequestHead RequestParser::takeHead()
{
    return std::move(m_data->collector->head);
}

std::string RequestParser::takeBody()
{
    return m_data->collector ? std::exchange(m_data->collector->body, {}) : std::string();
}

void RequestParser::next()
{
    m_data->collector.reset();
    m_data->isHeadComplete = false;
    m_data->checkedBytes = 0;
    m_data->lineStart = 0;
}

}

#include "base/responseheadreader_p.h"

#include <algorithm>

#include <strings.h>

namespace Galenarock
{

namespace
{
constexpr unsigned SwitchingProtocols = 101;
constexpr unsigned FirstFinalStatus = 200;
constexpr unsigned NoContent = 204;
constexpr unsigned NotModified = 304;
constexpr unsigned LastStatus = 599;
/// `HTTP/1.1 200`
constexpr std::size_t StatusLineBytes = 12;
/// Digits of the largest length that libcurl counts with.
constexpr std::size_t MaxLengthDigits = 18;

bool isDigit(char it)
{
    return it >= '0' && it <= '9';
}

/// A character of a token (RFC 9110, section 5.6.2).
bool isTokenCharacter(char it)
{
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    const bool isLetter = (it >= 'a' && it <= 'z') || (it >= 'A' && it <= 'Z');
    return isLetter || isDigit(it) || (it != '\0' && marks.find(it) != std::string_view::npos);
}

bool isToken(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), isTokenCharacter);
}

/// Whether the text has only characters that a field value or a reason phrase may have.
bool isFieldText(std::string_view text)
{
    return std::none_of(text.begin(), text.end(), [](char it) {
        const auto byte = static_cast<unsigned char>(it);
        return (byte < ' ' && it != '\t') || byte == 0x7f;
    });
}

bool isLength(std::string_view text)
{
    return !text.empty() && text.size() <= MaxLengthDigits && std::all_of(text.begin(), text.end(), isDigit);
}

std::string_view trimmed(std::string_view text)
{
    constexpr std::string_view blanks = " \t";
    const auto first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}
}

bool equalsIgnoreCase(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

std::string_view fieldOf(const std::vector<HeaderField> &fields, std::string_view name)
{
    for (const auto &it : fields) {
        if (!equalsIgnoreCase(it.name, name)) {
            continue;
        }
        return it.value;
    }
    return {};
}

HeadProgress ResponseHeadReader::fail(std::string_view text)
{
    m_defect = text;
    return HeadProgress::Malformed;
}

HeadProgress ResponseHeadReader::addLine(std::string_view line)
{
    if (!m_defect.empty()) {
        return HeadProgress::Malformed;
    }
    if (m_isComplete) {
        return HeadProgress::Complete;
    }
    if (line.empty() || line.back() != '\n') {
        return fail("line without an end");
    }
    line.remove_suffix(1);
    if (!line.empty() && line.back() == '\r') {
        line.remove_suffix(1);
    }
    if (line.empty()) {
        return endHead();
    }
    return m_isInHead ? addField(line) : beginHead(line);
}

HeadProgress ResponseHeadReader::beginHead(std::string_view line)
{
    const auto version = line.substr(0, 9);
    const auto digits = line.substr(std::min<std::size_t>(9, line.size()), 3);
    const bool isKnownVersion = version == "HTTP/1.1 " || version == "HTTP/1.0 ";
    const bool isStatus = digits.size() == 3 && std::all_of(digits.begin(), digits.end(), isDigit);
    if (!isKnownVersion || !isStatus || (line.size() > StatusLineBytes && line[StatusLineBytes] != ' ')) {
        return fail("malformed status line");
    }
    m_status = 0;
    for (const char it : digits) {
        m_status = m_status * 10 + static_cast<unsigned>(it - '0');
    }
    if (m_status < 100 || m_status > LastStatus || m_status == SwitchingProtocols) {
        return fail("status that no request asks for");
    }
    if (!isFieldText(line)) {
        return fail("control character in the status line");
    }
    m_isHttp10 = version == "HTTP/1.0 ";
    m_isInHead = true;
    m_lengths = 0;
    m_codings = 0;
    m_fields.clear();
    return HeadProgress::Incomplete;
}

HeadProgress ResponseHeadReader::addField(std::string_view line)
{
    const auto colon = line.find(':');
    if (colon == std::string_view::npos) {
        return fail("line without a colon");
    }
    const auto name = line.substr(0, colon);
    if (!isToken(name)) {
        return fail("malformed name of a header field"); // also a folded line, and a blank before the colon
    }
    const auto value = trimmed(line.substr(colon + 1));
    if (!isFieldText(value)) {
        return fail("control character in a header field");
    }
    const auto defect = framingDefect(name, value);
    if (!defect.empty()) {
        return fail(defect);
    }
    m_fields.push_back({std::string(name), std::string(value)});
    return HeadProgress::Incomplete;
}

/// What is wrong with a field that decides how long the body is; empty for other fields.
std::string_view ResponseHeadReader::framingDefect(std::string_view name, std::string_view value)
{
    if (equalsIgnoreCase(name, "Content-Length")) {
        ++m_lengths;
        return m_lengths > 1 || !isLength(value) ? "malformed or repeated Content-Length" : "";
    }
    if (equalsIgnoreCase(name, "Transfer-Encoding")) {
        ++m_codings;
        const bool mayHaveCoding = !m_isHttp10 && m_status >= FirstFinalStatus && m_status != NoContent;
        const bool isKnown = m_codings == 1 && equalsIgnoreCase(value, "chunked");
        return !mayHaveCoding || !isKnown ? "unknown or misplaced transfer coding" : "";
    }
    return {};
}

bool ResponseHeadReader::hasFraming() const
{
    return m_lengths > 0 || m_codings > 0 || m_status == NoContent || m_status == NotModified;
}

HeadProgress ResponseHeadReader::endHead()
{
    if (!m_isInHead) {
        return fail("empty line before the status line");
    }
    if (m_lengths > 0 && m_codings > 0) {
        return fail("both Content-Length and Transfer-Encoding");
    }
    m_isInHead = false;
    m_isComplete = m_status >= FirstFinalStatus;
    return m_isComplete ? HeadProgress::Complete : HeadProgress::Incomplete;
}

}

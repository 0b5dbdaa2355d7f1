#include <galenarock/readablejson.h>

#include <algorithm>
#include <string_view>
#include <vector>

#include <fmt/format.h>

namespace Galenarock
{

namespace
{
using nlohmann::json;

/// Nesting depth to which the parts of an unreadable value are read one by one.
constexpr std::size_t MaxPartDepth = 12;
/// Length in bytes of the excerpts in findings.
constexpr std::size_t ExcerptBytes = 120;
constexpr std::string_view Whitespace = " \t\r\n";

std::string_view trimmed(std::string_view text)
{
    const auto first = text.find_first_not_of(Whitespace);
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(Whitespace) - first + 1);
}

bool isEnclosed(std::string_view text, char first, char last)
{
    return text.size() >= 2 && text.front() == first && text.back() == last;
}

/// Position after the string that starts at `at`; the end of the text if the string does not end.
std::size_t endOfString(std::string_view text, std::size_t at)
{
    for (++at; at < text.size(); ++at) {
        if (text[at] == '\\') {
            ++at;
        } else if (text[at] == '"') {
            return at + 1;
        }
    }
    return text.size();
}

/// Whether the brackets of the text are nested at most maxJsonDepth levels deep.
bool isShallow(std::string_view text)
{
    std::size_t depth = 0;
    for (std::size_t at = 0; at < text.size() && depth <= maxJsonDepth;) {
        const char c = text[at];
        if (c == '"') {
            at = endOfString(text, at);
            continue;
        }
        if (c == '{' || c == '[') {
            ++depth;
        } else if ((c == '}' || c == ']') && depth > 0) {
            --depth;
        }
        ++at;
    }
    return depth <= maxJsonDepth;
}

/// The value of the text; discarded if it cannot be read.
json parseShallow(std::string_view text)
{
    return isShallow(text) ? json::parse(text, nullptr, false) : json(json::value_t::discarded);
}

/// Splits the text between the brackets of an array or an object at the commas that are not nested.
std::vector<std::string_view> splitParts(std::string_view text)
{
    std::vector<std::string_view> parts;
    std::size_t depth = 0;
    std::size_t start = 0;
    for (std::size_t at = 0; at < text.size();) {
        const char c = text[at];
        if (c == '"') {
            at = endOfString(text, at);
            continue;
        }
        if (c == '{' || c == '[') {
            ++depth;
        } else if ((c == '}' || c == ']') && depth > 0) {
            --depth;
        } else if (c == ',' && depth == 0) {
            parts.push_back(trimmed(text.substr(start, at - start)));
            start = at + 1;
        }
        ++at;
    }
    const auto last = trimmed(text.substr(start));
    if (!last.empty() || !parts.empty()) {
        parts.push_back(last);
    }
    return parts;
}

/// Reads a text part by part where it cannot be read as a whole.
class PartReader
{
public:
    explicit PartReader(Findings &unreadable)
        : m_unreadable(unreadable)
    {
    }

    json read(std::string_view text, const std::string &place, std::size_t depth)
    {
        auto value = parseShallow(text);
        if (!value.is_discarded()) {
            return value;
        }
        if (depth < MaxPartDepth && isEnclosed(text, '{', '}')) {
            return readObject(text, place, depth + 1);
        }
        if (depth < MaxPartDepth && isEnclosed(text, '[', ']')) {
            return readArray(text, place, depth + 1);
        }
        report(place, text);
        return {};
    }

private:
    json readArray(std::string_view text, const std::string &place, std::size_t depth)
    {
        auto array = json::array();
        for (const auto &it : splitParts(text.substr(1, text.size() - 2))) {
            array.push_back(read(it, fmt::format("{}/{}", place, array.size()), depth));
        }
        return array;
    }
    json readObject(std::string_view text, const std::string &place, std::size_t depth)
    {
        auto object = json::object();
        for (const auto &it : splitParts(text.substr(1, text.size() - 2))) {
            readMember(it, place, depth, object);
        }
        return object;
    }
    void readMember(std::string_view text, const std::string &place, std::size_t depth, json &object)
    {
        const auto end = text.empty() || text.front() != '"' ? 0 : endOfString(text, 0);
        const auto colon = text.find_first_not_of(Whitespace, end);
        const auto name = json::parse(text.substr(0, end), nullptr, false);
        if (!name.is_string() || colon == std::string_view::npos || text[colon] != ':') {
            report(place + "/", text);
            return;
        }
        const auto &key = name.get_ref<const std::string &>();
        object[key] = read(trimmed(text.substr(colon + 1)), place + "/" + key, depth);
    }
    void report(const std::string &place, std::string_view text)
    {
        const auto code = isShallow(text) ? ErrorCode::MalformedJson : ErrorCode::TooLarge;
        m_unreadable.push_back({code, place, std::string(text.substr(0, ExcerptBytes))});
    }

    Findings &m_unreadable;
};
}

bool ReadableJson::isReadable(const std::string &place) const
{
    return std::none_of(unreadable.begin(), unreadable.end(), [&](const Finding &it) {
        return it.place == place || it.place.compare(0, place.size() + 1, place + "/") == 0;
    });
}

Result<json> parseJson(std::string_view text)
{
    if (!isShallow(text)) {
        return fail(ErrorCode::TooLarge,
                    fmt::format("nested deeper than {} levels: {}", maxJsonDepth, text.substr(0, ExcerptBytes)));
    }
    auto value = json::parse(text, nullptr, false);
    if (value.is_discarded()) {
        return fail(ErrorCode::MalformedJson, std::string(text.substr(0, ExcerptBytes)));
    }
    return value;
}

Result<ReadableJson> parseReadableJson(const std::string &text)
{
    const auto body = trimmed(text);
    if (!isEnclosed(body, '{', '}')) {
        return fail(ErrorCode::MalformedJson, text.substr(0, ExcerptBytes));
    }
    ReadableJson readable;
    readable.value = PartReader(readable.unreadable).read(body, "", 0);
    return readable;
}

}

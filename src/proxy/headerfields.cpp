#include "headerfields_p.h"

#include <algorithm>
#include <charconv>

namespace Galenarock
{

namespace
{
constexpr std::string_view InternalPrefix = "Galenarock-";
}

bool isHopByHop(std::string_view name)
{
    constexpr std::string_view names[] = {"Connection",          "Keep-Alive", "Proxy-Authenticate",
                                          "Proxy-Authorization", "TE",         "Trailer",
                                          "Transfer-Encoding",   "Upgrade",    "Proxy-Connection"};
    return std::any_of(std::begin(names), std::end(names),
                       [&](std::string_view it) { return equalsIgnoreCase(it, name); });
}

bool isInternal(std::string_view name)
{
    return name.size() > InternalPrefix.size()
        && equalsIgnoreCase(name.substr(0, InternalPrefix.size()), InternalPrefix)
        && !equalsIgnoreCase(name, "Galenarock-Test");
}

std::string_view FieldReader::operator()(const char *name)
{
    const auto value = fieldOf(m_fields, name);
    m_isAmbiguous = m_isAmbiguous || std::any_of(m_fields.begin(), m_fields.end(), [&](const HeaderField &it) {
                        return it.value != value && equalsIgnoreCase(it.name, name);
                    });
    return value;
}

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t n = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
    if (text.empty() || ec != std::errc() || end != text.data() + text.size()) {
        return {};
    }
    return n;
}

}

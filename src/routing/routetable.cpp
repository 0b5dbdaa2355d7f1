#include <galenarock/routetable.h>

#include <algorithm>
#include <cctype>

namespace Galenarock
{

namespace
{
/// Separates host and prefix in a key; neither of them can contain a newline.
constexpr char Separator = '\n';

std::string lowerCase(std::string_view text)
{
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(),
                   [](unsigned char it) { return static_cast<char>(std::tolower(it)); });
    return lower;
}
}

RouteTable::RouteTable(RouteConfiguration configuration)
    : m_configuration(std::move(configuration))
{
    for (const auto &it : m_configuration.routes) {
        m_rules.emplace(lowerCase(it.host) + Separator + it.prefix, &it);
    }
}

const RouteRule *RouteTable::find(std::string_view host, std::string_view target) const
{
    host = host.substr(0, host.find(':'));
    auto path = target.substr(0, target.find_first_of("?#"));
    std::string key = lowerCase(host) + Separator;
    const auto hostSize = key.size();
    key += path;
    // Prefixes end with a slash, so cutting the path at each slash from the right finds the longest prefix first.
    while (key.size() > hostSize) {
        const auto slash = key.rfind('/');
        if (slash == std::string::npos || slash < hostSize) {
            return nullptr;
        }
        key.resize(slash + 1);
        const auto found = m_rules.find(key);
        if (found != m_rules.end()) {
            return found->second;
        }
        key.resize(slash);
    }
    return nullptr;
}

const std::string &RouteTable::pick(const RouteRule &rule, std::uint64_t random)
{
    double total = 0;
    for (const auto &it : rule.destinations) {
        total += it.weight;
    }
    double remaining = total * (static_cast<double>(random >> 11) * 0x1p-53);
    for (const auto &it : rule.destinations) {
        if (remaining < it.weight) {
            return it.service;
        }
        remaining -= it.weight;
    }
    return rule.destinations.back().service;
}

}

#include "testdirective_p.h"

#include <charconv>

namespace Galenarock::Standin
{

namespace
{
/// Text after `name` of the directive, or empty when no directive starts with it.
std::optional<std::string_view> findDirective(std::string_view header, std::string_view name)
{
    while (!header.empty()) {
        const auto end = std::min(header.find(';'), header.size());
        const auto part = header.substr(0, end);
        if (part.substr(0, name.size()) == name) {
            return part.substr(name.size());
        }
        header.remove_prefix(std::min(end + 1, header.size()));
    }
    return {};
}
}

bool hasDirective(std::string_view header, std::string_view name)
{
    const auto rest = findDirective(header, name);
    return rest && rest->empty();
}

std::optional<double> directiveNumber(std::string_view header, std::string_view name)
{
    const auto rest = findDirective(header, name);
    if (!rest || rest->substr(0, 1) != "=") {
        return {};
    }
    double n = 0;
    const auto digits = rest->substr(1);
    const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), n);
    if (ec != std::errc() || end != digits.data() + digits.size() || n < 0) {
        return {};
    }
    return n;
}

bool isSystemPath(std::string_view path)
{
    for (const std::string_view it : {"/grants", "/health", "/load", "/cancel", "/drain"}) {
        if (path == it) {
            return true;
        }
    }
    return path.substr(0, 9) == "/control/";
}

}

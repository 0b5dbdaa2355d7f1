#include <charconv>

#include <arpa/inet.h>
#include <fmt/format.h>

#include <galenarock/settings.h>

namespace Galenarock
{

namespace
{
bool isAddress(int family, const std::string &text)
{
    std::array<unsigned char, sizeof(in6_addr)> buf{};
    return inet_pton(family, text.c_str(), buf.data()) == 1;
}
}

std::string toString(const Endpoint &endpoint)
{
    const bool isIpv6 = endpoint.address.find(':') != std::string::npos;
    return isIpv6 ? fmt::format("[{}]:{}", endpoint.address, endpoint.port)
                  : fmt::format("{}:{}", endpoint.address, endpoint.port);
}

std::optional<Endpoint> parseEndpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || text.find('\0') != std::string_view::npos) {
        return {};
    }
    Endpoint endpoint;
    const auto digits = text.substr(colon + 1);
    const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), endpoint.port);
    if (ec != std::errc() || end != digits.data() + digits.size()) {
        return {};
    }
    auto host = text.substr(0, colon);
    const bool isBracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (isBracketed) {
        host = host.substr(1, host.size() - 2);
    }
    endpoint.address = std::string(host);
    if (!isAddress(isBracketed ? AF_INET6 : AF_INET, endpoint.address)) {
        return {};
    }
    return endpoint;
}

}

#include "peer/socket_p.h"

#include <cerrno>
#include <charconv>
#include <cstring>

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <fmt/format.h>

namespace Galenarock
{

namespace
{
/// UDP receive buffer; holds bursts of datagrams while the thread handles a large frame.
constexpr int DatagramBufferBytes = 1 << 20;
/// Maximum attempts to find a port that is free for UDP and TCP.
constexpr int MaxPortAttempts = 32;

auto systemFailure(const char *call)
{
    return fail(ErrorCode::SystemCall, fmt::format("{}: {}", call, std::strerror(errno)));
}

const sockaddr *asSockaddr(const sockaddr_in &address)
{
    return reinterpret_cast<const sockaddr *>(&address);
}

Result<SocketPair> bindOnce(sockaddr_in address)
{
    SocketPair pair;
    pair.listener = Descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    pair.datagram = Descriptor(::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (pair.listener.get() < 0 || pair.datagram.get() < 0) {
        return systemFailure("socket");
    }
    const int enable = 1;
    ::setsockopt(pair.listener.get(), SOL_SOCKET, SO_REUSEADDR, &enable, sizeof enable);
    ::setsockopt(pair.datagram.get(), SOL_SOCKET, SO_RCVBUF, &DatagramBufferBytes, sizeof DatagramBufferBytes);
    if (::bind(pair.listener.get(), asSockaddr(address), sizeof address) != 0) {
        return systemFailure("bind (TCP)");
    }
    socklen_t length = sizeof pair.address;
    ::getsockname(pair.listener.get(), reinterpret_cast<sockaddr *>(&pair.address), &length);
    if (::bind(pair.datagram.get(), asSockaddr(pair.address), sizeof pair.address) != 0) {
        return systemFailure("bind (UDP)");
    }
    if (::listen(pair.listener.get(), SOMAXCONN) != 0) {
        return systemFailure("listen");
    }
    return pair;
}
}

std::optional<sockaddr_in> parseSocketAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return {};
    }
    const std::string host(text.substr(0, colon));
    const auto digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    const bool isPort = !digits.empty() && ec == std::errc() && end == digits.data() + digits.size();
    if (!isPort || ::inet_pton(AF_INET, host.c_str(), &address.sin_addr) != 1) {
        return {};
    }
    return address;
}

std::string toString(const sockaddr_in &address)
{
    char buf[INET_ADDRSTRLEN] = {};
    ::inet_ntop(AF_INET, &address.sin_addr, buf, sizeof buf);
    return fmt::format("{}:{}", buf, ntohs(address.sin_port));
}

Result<SocketPair> bindSocketPair(const std::string &address)
{
    const auto parsed = parseSocketAddress(address);
    if (!parsed) {
        return fail(ErrorCode::OutOfRange, fmt::format("peer address '{}' is not ip:port", address));
    }
    if (parsed->sin_port != 0) {
        return bindOnce(*parsed);
    }
    for (int n = 1; n < MaxPortAttempts; ++n) {
        auto pair = bindOnce(*parsed);
        if (pair) {
            return pair;
        }
    }
    return bindOnce(*parsed);
}

Descriptor startConnect(const sockaddr_in &address)
{
    Descriptor fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (fd.get() < 0) {
        return fd;
    }
    const int enable = 1;
    ::setsockopt(fd.get(), IPPROTO_TCP, TCP_NODELAY, &enable, sizeof enable);
    if (::connect(fd.get(), asSockaddr(address), sizeof address) != 0 && errno != EINPROGRESS) {
        fd.reset();
    }
    return fd;
}

}

#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include <netinet/in.h>
#include <unistd.h>

#include <galenarock/error.h>

namespace Galenarock
{

/// Owns a file descriptor.
class Descriptor
{
public:
    Descriptor() = default;
    explicit Descriptor(int fd)
        : m_fd(fd)
    {
    }
    Descriptor(Descriptor &&other) noexcept
        : m_fd(std::exchange(other.m_fd, -1))
    {
    }
    Descriptor &operator=(Descriptor &&other) noexcept
    {
        if (this != &other) {
            reset();
            m_fd = std::exchange(other.m_fd, -1);
        }
        return *this;
    }
    Descriptor(const Descriptor &) = delete;
    Descriptor &operator=(const Descriptor &) = delete;
    ~Descriptor()
    {
        reset();
    }
    int get() const
    {
        return m_fd;
    }
    void reset()
    {
        if (m_fd >= 0) {
            ::close(m_fd);
        }
        m_fd = -1;
    }

private:
    int m_fd = -1;
};

/// Parses `a.b.c.d:port`; empty when the text has any other form.
std::optional<sockaddr_in> parseSocketAddress(std::string_view text);
std::string toString(const sockaddr_in &address);

/// A UDP socket and a TCP listener on the same port.
struct SocketPair
{
    Descriptor datagram;
    Descriptor listener;
    sockaddr_in address{};
};

/// Opens non-blocking sockets; port 0 selects a port that is free for both. OutOfRange when `address` is not `ip:port`,
/// SystemCall when a socket cannot be opened or bound.
Result<SocketPair> bindSocketPair(const std::string &address);

/// Starts a non-blocking TCP connect; the descriptor is negative on failure.
Descriptor startConnect(const sockaddr_in &address);

}

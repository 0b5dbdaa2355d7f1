#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include <galenarock/base.h>

#include "peer/socket_p.h"

namespace Galenarock
{

/// TCP connections of the transport thread: frames with a 32-bit big-endian length in front.
///
/// An accepted connection is only read and an opened one only written, so each side closes its own when idle.
/// Memory is bounded: connections, bytes that wait to be sent, and bytes of unfinished frames received.
class Streams
{
public:
    using FrameHandler = std::function<void(std::string_view)>;

    Streams(int epoll, Duration idle, FrameHandler handler);

    /// False when a bound is reached or the connection cannot be started; the frame is then dropped.
    bool send(const sockaddr_in &address, const std::string &frame, Instant now);
    void acceptAll(int listener, Instant now);
    bool owns(int fd) const;
    void onReady(int fd, std::uint32_t events, Instant now);
    void closeIdle(Instant now);
    bool hasPending() const;
    /// Frames lost with a connection that failed.
    std::uint64_t lostFrames() const
    {
        return m_lostFrames;
    }

private:
    struct Stream
    {
        Descriptor fd;
        /// Empty for an accepted connection.
        std::string address;
        std::string in;
        std::string out;
        Instant lastUsed;
    };
    Stream *open(const sockaddr_in &address, Instant now);
    void add(Descriptor fd, std::string address, Instant now);
    void watch(const Stream &stream);
    bool flush(Stream &stream);
    bool receive(Stream &stream);
    bool takeFrames(Stream &stream);
    void close(int fd);

    int m_epoll;
    Duration m_idle;
    FrameHandler m_handler;
    std::map<int, std::unique_ptr<Stream>> m_streams;
    std::map<std::string, int> m_outgoing;
    std::size_t m_inBytes = 0;
    std::size_t m_outBytes = 0;
    std::uint64_t m_lostFrames = 0;
};

}

#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include <galenarock/base.h>

#include "peer/socket_p.h"

namespace Galenarock
{

/// TCP connections of the transport thread. Each frame is preceded by its length as a 32-bit big-endian number.
///
/// Frames are only read from accepted connections and only written to outgoing ones. Memory is bounded by limits on the
/// number of connections, the bytes waiting to be sent, and the bytes of incomplete received frames.
class Streams
{
public:
    using FrameHandler = std::function<void(std::string_view)>;

    Streams(int epoll, Duration idle, FrameHandler handler);

    /// Returns false and drops the frame when a limit is reached or the connection cannot be started.
    bool send(const sockaddr_in &address, const std::string &frame, Instant now);
    void acceptConnections(int listener, Instant now);
    bool owns(int fd) const;
    void onReady(int fd, std::uint32_t events, Instant now);
    void closeIdle(Instant now);
    bool hasPending() const;
    /// Number of connections that were closed with unsent bytes.
    std::uint64_t lostFrames() const
    {
        return m_lostFrames;
    }

private:
    struct Stream
    {
        Descriptor fd;
        /// Remote `ip:port` of an outgoing connection; empty for an accepted one.
        std::string address;
        std::string receiveBuffer;
        std::string sendBuffer;
        Instant lastUsed;
    };
    Stream *open(const sockaddr_in &address, Instant now);
    void add(Descriptor fd, std::string address, Instant now);
    void updateEvents(const Stream &stream);
    bool flush(Stream &stream);
    bool receive(Stream &stream);
    bool handleFrames(Stream &stream);
    void close(int fd);

    int m_epoll;
    Duration m_idle;
    FrameHandler m_handler;
    std::map<int, std::unique_ptr<Stream>> m_streams;
    std::map<std::string, int> m_outgoing;
    std::size_t m_receiveBufferBytes = 0;
    std::size_t m_sendBufferBytes = 0;
    std::uint64_t m_lostFrames = 0;
};

}

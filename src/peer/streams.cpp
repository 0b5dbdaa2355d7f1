#include "peer/streams_p.h"

#include <cerrno>

#include <sys/epoll.h>
#include <sys/socket.h>

#include <galenarock/peer.h>

namespace Galenarock
{

namespace
{
constexpr std::size_t LengthBytes = 4;
constexpr std::size_t MaxStreams = 256;
/// Limit for the incomplete received frames of all connections; the memory budget of the daemon is 32 MB.
constexpr std::size_t MaxReceiveBufferBytes = 8 << 20;
constexpr std::size_t MaxSendBufferBytes = 8 << 20;

std::string lengthField(std::size_t n)
{
    std::string field(LengthBytes, '\0');
    for (std::size_t it = 0; it < LengthBytes; ++it) {
        field[it] = static_cast<char>(n >> (8 * (LengthBytes - 1 - it)));
    }
    return field;
}

std::size_t readLength(std::string_view bytes)
{
    std::size_t n = 0;
    for (std::size_t it = 0; it < LengthBytes; ++it) {
        n = n << 8 | static_cast<unsigned char>(bytes[it]);
    }
    return n;
}
}

Streams::Streams(int epoll, Duration idle, FrameHandler handler)
    : m_epoll(epoll)
    , m_idle(idle)
    , m_handler(std::move(handler))
{
}

void Streams::add(Descriptor fd, std::string address, Instant now)
{
    const int n = fd.get();
    auto stream = std::make_unique<Stream>();
    stream->fd = std::move(fd);
    stream->address = std::move(address);
    stream->lastUsed = now;
    epoll_event event{};
    event.events = EPOLLIN | (stream->address.empty() ? 0U : static_cast<std::uint32_t>(EPOLLOUT));
    event.data.fd = n;
    ::epoll_ctl(m_epoll, EPOLL_CTL_ADD, n, &event);
    if (!stream->address.empty()) {
        m_outgoing[stream->address] = n;
    }
    m_streams[n] = std::move(stream);
}

Streams::Stream *Streams::open(const sockaddr_in &address, Instant now)
{
    auto text = toString(address);
    const auto known = m_outgoing.find(text);
    if (known != m_outgoing.end()) {
        return m_streams[known->second].get();
    }
    if (m_streams.size() >= MaxStreams) {
        return nullptr;
    }
    auto fd = startConnect(address);
    const int n = fd.get();
    if (n < 0) {
        return nullptr;
    }
    add(std::move(fd), std::move(text), now);
    return m_streams[n].get();
}

bool Streams::send(const sockaddr_in &address, const std::string &frame, Instant now)
{
    if (m_sendBufferBytes + frame.size() > MaxSendBufferBytes) {
        return false;
    }
    auto *stream = open(address, now);
    if (stream == nullptr) {
        return false;
    }
    stream->sendBuffer += lengthField(frame.size());
    stream->sendBuffer += frame;
    m_sendBufferBytes += frame.size() + LengthBytes;
    stream->lastUsed = now;
    updateEvents(*stream);
    return true;
}

void Streams::updateEvents(const Stream &stream)
{
    epoll_event event{};
    event.events = EPOLLIN | (stream.sendBuffer.empty() ? 0U : static_cast<std::uint32_t>(EPOLLOUT));
    event.data.fd = stream.fd.get();
    ::epoll_ctl(m_epoll, EPOLL_CTL_MOD, stream.fd.get(), &event);
}

void Streams::acceptConnections(int listener, Instant now)
{
    for (;;) {
        Descriptor fd(::accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
        if (fd.get() < 0) {
            return;
        }
        if (m_streams.size() >= MaxStreams) {
            continue;
        }
        add(std::move(fd), {}, now);
    }
}

bool Streams::owns(int fd) const
{
    return m_streams.count(fd) != 0;
}

void Streams::onReady(int fd, std::uint32_t events, Instant now)
{
    auto &stream = *m_streams.at(fd);
    stream.lastUsed = now;
    const bool isReadable = (events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0;
    if (isReadable && !receive(stream)) {
        close(fd);
        return;
    }
    if ((events & EPOLLOUT) != 0 && !flush(stream)) {
        close(fd);
        return;
    }
    updateEvents(stream);
}

bool Streams::flush(Stream &stream)
{
    while (!stream.sendBuffer.empty()) {
        const auto n = ::send(stream.fd.get(), stream.sendBuffer.data(), stream.sendBuffer.size(), MSG_NOSIGNAL);
        if (n < 0) {
            return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
        }
        stream.sendBuffer.erase(0, static_cast<std::size_t>(n));
        m_sendBufferBytes -= static_cast<std::size_t>(n);
    }
    return true;
}

bool Streams::receive(Stream &stream)
{
    char buf[64 * 1024];
    for (;;) {
        const auto n = ::recv(stream.fd.get(), buf, sizeof buf, 0);
        if (n == 0) {
            return false;
        }
        if (n < 0) {
            return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
        }
        stream.receiveBuffer.append(buf, static_cast<std::size_t>(n));
        m_receiveBufferBytes += static_cast<std::size_t>(n);
        if (!handleFrames(stream) || m_receiveBufferBytes > MaxReceiveBufferBytes) {
            return false;
        }
    }
}

bool Streams::handleFrames(Stream &stream)
{
    std::size_t used = 0;
    std::string_view rest = stream.receiveBuffer;
    while (rest.size() >= LengthBytes) {
        const auto length = readLength(rest);
        if (length > maxFrameBytes) {
            return false;
        }
        if (rest.size() < LengthBytes + length) {
            break;
        }
        m_handler(rest.substr(LengthBytes, length));
        rest.remove_prefix(LengthBytes + length);
        used += LengthBytes + length;
    }
    stream.receiveBuffer.erase(0, used);
    m_receiveBufferBytes -= used;
    return true;
}

void Streams::close(int fd)
{
    const auto it = m_streams.find(fd);
    m_receiveBufferBytes -= it->second->receiveBuffer.size();
    m_sendBufferBytes -= it->second->sendBuffer.size();
    m_lostFrames += it->second->sendBuffer.empty() ? 0 : 1;
    if (!it->second->address.empty()) {
        m_outgoing.erase(it->second->address);
    }
    m_streams.erase(it);
}

void Streams::closeIdle(Instant now)
{
    std::vector<int> idle;
    for (const auto &[fd, stream] : m_streams) {
        // The accepting side waits longer, so that no frame is written to a connection that the receiver is closing.
        const auto limit = stream->address.empty() ? 3 * m_idle : m_idle;
        if (now - stream->lastUsed < limit) {
            continue;
        }
        idle.push_back(fd);
    }
    for (const auto fd : idle) {
        close(fd);
    }
}

bool Streams::hasPending() const
{
    return m_sendBufferBytes != 0;
}

}

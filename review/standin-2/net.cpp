#include "net.h"

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <cstring>
#include <set>
#include <sstream>
#include <thread>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Review
{

namespace
{
constexpr std::size_t ReadBytes = 16'384;

sockaddr_in socketAddress(const std::string &ip, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

void apply(int fd, const LinkOptions &options)
{
    if (options.segmentBytes > 0) {
        setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &options.segmentBytes, sizeof options.segmentBytes);
    }
    if (options.receiveBytes > 0) {
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &options.receiveBytes, sizeof options.receiveBytes);
    }
}

bool waitFor(int fd, short events, std::int64_t deadlineMs)
{
    const auto left = std::max<std::int64_t>(0, deadlineMs - nowMs());
    pollfd entry{fd, events, 0};
    return poll(&entry, 1, static_cast<int>(left)) > 0;
}

bool isLoopback(const std::string &ip)
{
    return ip.compare(0, 4, "127.") == 0;
}
}

std::int64_t nowMs()
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

void sleepMs(std::int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(std::max<std::int64_t>(0, ms)));
}

Socket::~Socket()
{
    close();
}

Socket &Socket::operator=(Socket &&other) noexcept
{
    if (this != &other) {
        close();
        m_fd = std::exchange(other.m_fd, -1);
    }
    return *this;
}

void Socket::close()
{
    if (m_fd >= 0) {
        ::close(std::exchange(m_fd, -1));
    }
}

std::pair<Socket, int> listenOn(const std::string &ip, const LinkOptions &options)
{
    Socket socket(isLoopback(ip) ? ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0) : -1);
    apply(socket.fd(), options);
    auto address = socketAddress(ip, 0);
    socklen_t size = sizeof address;
    if (bind(socket.fd(), reinterpret_cast<sockaddr *>(&address), size) != 0 || listen(socket.fd(), 512) != 0) {
        return {Socket(), 0};
    }
    getsockname(socket.fd(), reinterpret_cast<sockaddr *>(&address), &size);
    return {std::move(socket), ntohs(address.sin_port)};
}

int freePort(const std::string &ip)
{
    static std::set<std::pair<std::string, int>> given;
    for (int n = 0; n < 50; ++n) {
        const auto [socket, port] = listenOn(ip);
        const Socket datagram(::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0));
        auto address = socketAddress(ip, port);
        if (socket.isOpen() && bind(datagram.fd(), reinterpret_cast<sockaddr *>(&address), sizeof address) == 0
            && given.emplace(ip, port).second) {
            return port;
        }
    }
    return 0;
}

Socket connectTo(const Endpoint &peer, const LinkOptions &options)
{
    Socket socket(isLoopback(peer.ip) ? ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0) : -1);
    apply(socket.fd(), options);
    const int on = 1;
    setsockopt(socket.fd(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const auto address = socketAddress(peer.ip, peer.port);
    if (connect(socket.fd(), reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        socket.close();
    }
    return socket;
}

bool sendAll(int fd, std::string_view bytes, std::int64_t deadlineMs)
{
    while (!bytes.empty()) {
        if (!waitFor(fd, POLLOUT, deadlineMs)) {
            return false;
        }
        const auto n = send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
            continue;
        }
        if (n < 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
}

std::string Head::field(std::string_view name) const
{
    for (const auto &[known, value] : fields) {
        if (known.size() == name.size() && strncasecmp(known.data(), name.data(), name.size()) == 0) {
            return value;
        }
    }
    return {};
}

std::string Head::word(std::size_t n) const
{
    std::istringstream words(startLine);
    std::string word;
    for (std::size_t it = 0; it <= n; ++it) {
        word.clear();
        words >> word;
    }
    return word;
}

ReadResult Reader::fill(std::int64_t deadlineMs)
{
    if (!waitFor(m_fd, POLLIN, deadlineMs)) {
        return ReadResult::TimedOut;
    }
    char bytes[ReadBytes];
    const auto n = recv(m_fd, bytes, sizeof bytes, 0);
    if (n < 0) {
        return errno == EINTR ? ReadResult::Done : ReadResult::Reset;
    }
    if (n == 0) {
        return ReadResult::Closed;
    }
    m_buffer.append(bytes, static_cast<std::size_t>(n));
    m_burst += static_cast<std::size_t>(n);
    if (m_pacing.pauses > 0 && m_burst >= m_pacing.burstBytes) {
        --m_pacing.pauses;
        m_burst = 0;
        sleepMs(m_pacing.pauseMs);
    }
    return ReadResult::Done;
}

ReadResult Reader::readLine(std::string &line, std::int64_t deadlineMs)
{
    for (;;) {
        const auto end = m_buffer.find("\r\n");
        if (end != std::string::npos) {
            line = m_buffer.substr(0, end);
            m_buffer.erase(0, end + 2);
            return ReadResult::Done;
        }
        const auto result = fill(deadlineMs);
        if (result != ReadResult::Done) {
            return result;
        }
    }
}

ReadResult Reader::readHead(Head &head, std::int64_t deadlineMs)
{
    head = {};
    auto result = readLine(head.startLine, deadlineMs);
    std::string line;
    while (result == ReadResult::Done) {
        result = readLine(line, deadlineMs);
        if (result != ReadResult::Done || line.empty()) {
            break;
        }
        const auto colon = line.find(':');
        if (colon == std::string::npos) {
            return ReadResult::Malformed;
        }
        const auto value = line.find_first_not_of(" \t", colon + 1);
        head.fields.emplace_back(line.substr(0, colon), value == std::string::npos ? "" : line.substr(value));
    }
    return result;
}

ReadResult Reader::readSome(std::string &out, std::size_t most, std::int64_t deadlineMs)
{
    while (m_buffer.empty()) {
        const auto result = fill(deadlineMs);
        if (result != ReadResult::Done) {
            return result;
        }
    }
    const auto n = std::min(most, m_buffer.size());
    out.append(m_buffer, 0, n);
    m_buffer.erase(0, n);
    return ReadResult::Done;
}

ReadResult Reader::readExactly(std::string &out, std::size_t n, std::int64_t deadlineMs)
{
    const auto end = out.size() + n;
    auto result = ReadResult::Done;
    while (result == ReadResult::Done && out.size() < end) {
        result = readSome(out, end - out.size(), deadlineMs);
    }
    return result;
}

ReadResult Reader::readChunks(std::string &out, std::int64_t deadlineMs)
{
    for (;;) {
        std::string line;
        auto result = readLine(line, deadlineMs);
        if (result != ReadResult::Done) {
            return result;
        }
        char *end = nullptr;
        const auto n = std::strtoull(line.c_str(), &end, 16);
        if (end == line.c_str()) {
            return ReadResult::Malformed;
        }
        result = readExactly(out, n, deadlineMs);
        if (result == ReadResult::Done) {
            result = readLine(line, deadlineMs);
        }
        if (result != ReadResult::Done || n == 0) {
            return result;
        }
    }
}

ReadResult Reader::readBody(const Head &head, std::string &out, std::int64_t deadlineMs)
{
    if (head.field("Transfer-Encoding") == "chunked") {
        return readChunks(out, deadlineMs);
    }
    const auto length = head.field("Content-Length");
    return length.empty() ? ReadResult::Done : readExactly(out, std::stoul(length), deadlineMs);
}

std::string toString(ReadResult result)
{
    switch (result) {
    case ReadResult::Done:
        return "complete";
    case ReadResult::Closed:
        return "closed early";
    case ReadResult::Reset:
        return "reset";
    case ReadResult::TimedOut:
        return "timed out";
    case ReadResult::Malformed:
        return "malformed";
    }
    return {};
}

}

#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// Blocking sockets and HTTP/1.1 messages for the stand-ins of the second review. Loopback addresses only.
namespace Review
{

/// Milliseconds of the steady clock.
std::int64_t nowMs();
void sleepMs(std::int64_t ms);

/// A socket that is closed with its owner.
class Socket
{
public:
    explicit Socket(int fd = -1)
        : m_fd(fd)
    {
    }
    ~Socket();
    Socket(Socket &&other) noexcept
        : m_fd(std::exchange(other.m_fd, -1))
    {
    }
    Socket &operator=(Socket &&other) noexcept;
    Socket(const Socket &) = delete;
    Socket &operator=(const Socket &) = delete;

    int fd() const
    {
        return m_fd;
    }
    bool isOpen() const
    {
        return m_fd >= 0;
    }
    void close();

private:
    int m_fd;
};

/// What a peer on another machine would have: an Ethernet segment size and a bounded receive buffer.
struct LinkOptions
{
    int segmentBytes = 0;
    int receiveBytes = 0;
};

struct Endpoint
{
    std::string ip;
    int port = 0;
    std::string text() const
    {
        return ip + ":" + std::to_string(port);
    }
};

/// Listens on a free port of the address.
std::pair<Socket, int> listenOn(const std::string &ip, const LinkOptions &options = {});
/// A port of the address that is free for TCP and UDP now; never the same one twice. For one thread.
int freePort(const std::string &ip);
Socket connectTo(const Endpoint &peer, const LinkOptions &options = {});
/// Writes all bytes. False if the peer has closed, or has taken nothing by the deadline.
bool sendAll(int fd, std::string_view bytes, std::int64_t deadlineMs);

/// A request or a response without its body.
struct Head
{
    std::string startLine;
    std::vector<std::pair<std::string, std::string>> fields;

    /// Value of the field; empty if it is missing.
    std::string field(std::string_view name) const;
    /// The n-th word of the start line.
    std::string word(std::size_t n) const;
};

enum class ReadResult
{
    Done,
    /// The peer has closed in an orderly way.
    Closed,
    /// The connection was reset.
    Reset,
    TimedOut,
    Malformed,
};

/// How a slow peer reads: a pause after each `burstBytes`, until it has made `pauses` of them.
struct Pacing
{
    std::size_t burstBytes = 0;
    std::int64_t pauseMs = 0;
    int pauses = 0;
};

/// Reads messages from a socket.
class Reader
{
public:
    explicit Reader(int fd, const Pacing &pacing = {})
        : m_fd(fd)
        , m_pacing(pacing)
    {
    }
    ReadResult readHead(Head &head, std::int64_t deadlineMs);
    /// Appends at least one byte and at most `most` bytes of the body to `out`.
    ReadResult readSome(std::string &out, std::size_t most, std::int64_t deadlineMs);
    ReadResult readExactly(std::string &out, std::size_t n, std::int64_t deadlineMs);
    /// Reads the body that the head announces by its length or in chunks.
    ReadResult readBody(const Head &head, std::string &out, std::int64_t deadlineMs);

private:
    ReadResult fill(std::int64_t deadlineMs);
    ReadResult readLine(std::string &line, std::int64_t deadlineMs);
    ReadResult readChunks(std::string &out, std::int64_t deadlineMs);

    int m_fd;
    Pacing m_pacing;
    /// Bytes since the last pause.
    std::size_t m_burst = 0;
    std::string m_buffer;
};

std::string toString(ReadResult result);

}

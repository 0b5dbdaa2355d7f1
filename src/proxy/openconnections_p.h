#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <galenarock/base.h>

/// What is known of the open connections to servers.
namespace Galenarock
{

/// Both ends of a connection to a server.
struct Endpoints
{
    std::string serverIp;
    int serverPort = 0;
    int localPort = 0;

    friend bool operator==(const Endpoints &a, const Endpoints &b)
    {
        return a.localPort == b.localPort && a.serverPort == b.serverPort && a.serverIp == b.serverIp;
    }
    friend bool operator!=(const Endpoints &a, const Endpoints &b)
    {
        return !(a == b);
    }
};

/// The ids of requests that must not be sent over a connection again. A server may repeat a response later, and the
/// copy names the former request; the id alone cannot tell it from the response to the same request sent once more.
class ExcludedIds
{
public:
    /// Number of ids that a connection keeps; it is closed when it has that many.
    static constexpr std::size_t Capacity = 128;

    void add(std::string_view id);
    /// May be true for an id that was not added: only hashes are kept.
    bool has(std::string_view id) const;
    bool isFull() const
    {
        return m_hashes.size() >= Capacity;
    }

private:
    std::vector<KeyHash> m_hashes;
};

/// An open connection to a server.
struct ServerConnection
{
    Endpoints ends;
    /// Heads of final responses that have arrived on it.
    std::uint64_t answers = 0;
    ExcludedIds excluded;
};

/// The connection of one attempt when the head of its response arrives, for the log.
struct AttemptConnection
{
    Endpoints ends;
    /// The connection was opened for this attempt.
    bool isNew = false;
    /// Responses to earlier requests on the connection.
    std::uint64_t earlierAnswers = 0;
    /// Time since the request was sent.
    Duration sinceSent = Duration::zero();

    friend bool operator==(const AttemptConnection &a, const AttemptConnection &b)
    {
        return a.ends == b.ends && a.isNew == b.isNew && a.earlierAnswers == b.earlierAnswers
            && a.sinceSent == b.sinceSent;
    }
    friend bool operator!=(const AttemptConnection &a, const AttemptConnection &b)
    {
        return !(a == b);
    }
};

/// Such as `kept connection 40132 to 10.1.0.9:8080 with 12 answers before, 1.204 ms after it was sent`.
std::string toString(const AttemptConnection &connection);

/// The open connections of one thread by socket: libcurl 7.88 does not tell the socket of a kept connection before a
/// request is sent over it.
class OpenConnections
{
public:
    void opened(int fd, Endpoints ends);
    void closed(int fd);
    /// Socket of the connection; -1 when it is not known.
    int find(const Endpoints &ends) const;
    /// Null when no connection of this thread has the socket.
    ServerConnection *at(int fd);

private:
    std::unordered_map<int, ServerConnection> m_connections;
};

/// Whether bytes wait on a connection, or its end. Bytes that wait between two requests belong to no request.
bool hasUnreadBytes(int fd);

}

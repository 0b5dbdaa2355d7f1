#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <galenarock/error.h>

#include "callerbudget_p.h"
#include "callerpipeline_p.h"

/// The callers' side of the proxy: listening socket and connections of one worker.
namespace Galenarock
{

struct ListenerSettings
{
    /// `ip:port`; port 0 lets the kernel assign one.
    std::string address;
    /// Allows several workers to listen on the same address.
    bool sharedPort = false;
    std::size_t connectionLimit = 4'096;
    /// Maximum size of a request head; a larger one is refused with status 431.
    std::size_t headerBytes = 8'192;
    /// Time without progress after which a connection is closed on which no request waits for its response.
    unsigned idleSeconds = 120;
    /// Maximum number of connections that wait to be accepted. Above it the kernel drops the SYN packet, which the
    /// client retransmits after about 1 s.
    int backlog = 1'024;
    /// Shared by all workers; null for no bound.
    std::shared_ptr<CallerBudget> budget;
};

struct CallerListenerHooks
{
    std::function<void(const std::shared_ptr<Exchange> &)> onRequest;
    /// PipelineHooks::mayRunAhead.
    std::function<bool(const Exchange &)> mayRunAhead;
    /// PipelineHooks::isStopping.
    std::function<bool()> isStopping;
    /// PipelineHooks::onMalformed.
    std::function<void(std::string_view)> onMalformed;
    /// A caller is ended for this cause while its connection takes so many bytes.
    std::function<void(std::string_view cause, std::size_t bytes)> onGaveWay;
};

/// Accepts callers' connections on one address for one worker thread, which owns the epoll instance.
class CallerListener
{
public:
    /// `tag` marks the listener's entries in epoll_event::data: the upper half is the tag, the lower the socket.
    CallerListener(int epollFd, std::uint64_t tag, CallerListenerHooks hooks);
    ~CallerListener();
    CallerListener(const CallerListener &) = delete;
    CallerListener &operator=(const CallerListener &) = delete;

    Result<void> listen(const ListenerSettings &settings);
    /// The bound `ip:port`.
    const std::string &address() const
    {
        return m_address;
    }
    /// Handles an event of a connection. Events of the listening socket are handled by the next run().
    void handleSocket(Instant now, int fd, std::uint32_t events);
    /// Sends responses, reads further requests, accepts connections and closes idle ones. Call after each batch of
    /// events.
    void run(Instant now);
    /// Whether run() must be called without waiting.
    bool isRunNeeded() const
    {
        return !m_changed.empty();
    }
    /// Lowers the idle timeout to 1 s for a planned stop. A connection is not idle while its caller still has to read
    /// an answer and the deadline of its requests has not passed.
    void closeIdle();
    /// Number of open connections. May be called from any thread.
    std::size_t connectionCount() const
    {
        return m_connectionCount.load(std::memory_order_relaxed);
    }
    /// Stops accepting connections; open ones continue.
    void quiesce();

private:
    class Connection;
    using ConnectionPtr = std::shared_ptr<Connection>;

    void acceptWaiting(Instant now, std::size_t most);
    void watchListener(bool isWatched);
    void add(Instant now, int fd, const std::string &callerAddress);
    void receive(Instant now, Connection &connection);
    /// Sends what is ready and updates what the connection waits for; closes it when it has ended.
    void update(Instant now, const ConnectionPtr &connection);
    bool send(Instant now, Connection &connection);
    void watch(Connection &connection, std::uint32_t events) const;
    void beginLingering(Instant now, Connection &connection);
    void close(Connection &connection);
    void guard(Connection &connection, const std::function<void()> &body);
    static bool hasUnread(const Connection &connection);
    static bool hasUnreadAnswer(const Connection &connection);
    bool isTimedOut(Instant now, const Connection &connection) const;
    void closeTimedOut(Instant now);
    void endStalledBodies(Instant now);
    /// Ends holders until callers hold no more than the budget.
    void enforceBudget(Instant now);
    ConnectionPtr firstToEnd(Instant now) const;
    static bool mayEnd(Instant now, Connection &connection);
    void end(Instant now, const ConnectionPtr &connection, std::string_view cause);
    /// Closes the connection that has been without a request for the longest time; false if there is none.
    bool closeIdlest(Instant now);
    std::size_t connectionLimit() const;
    /// Whether a connection may take no more than one piece of an answer at a time.
    bool isMemoryShort(int fd);
    Duration idleTimeout() const;

    const int m_epollFd;
    const std::uint64_t m_tag;
    const CallerListenerHooks m_hooks;
    ListenerSettings m_settings;
    std::string m_address;
    int m_listenFd = -1;
    bool m_isListenerWatched = true;
    bool m_isAcceptDue = false;
    bool m_isClosingIdle = false;
    std::map<int, ConnectionPtr> m_connections;
    std::vector<std::weak_ptr<Connection>> m_changed;
    std::vector<char> m_buffer;
    Instant m_nextTimeoutCheck{};
    Instant m_nextBudgetCheck{};
    std::atomic<std::size_t> m_connectionCount{0};
};

}

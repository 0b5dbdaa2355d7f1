#include "callerlistener_p.h"

#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <fmt/format.h>

#include "base/guard_p.h"

namespace Galenarock
{

namespace
{
constexpr std::size_t ReceiveBytes = 32'768;
/// Connections that are accepted before other work is done.
constexpr std::size_t MaxAcceptsPerRun = 64;
constexpr Duration StopIdleTimeout = seconds(1);
/// After the last response the caller's bytes are read and discarded for this time, since closing a socket with unread
/// bytes resets the connection and the caller may lose the response.
constexpr Duration LingerTime = seconds(1);
/// Age at which a connection without a request gives way to a new one.
constexpr Duration MinIdleAge = seconds(1);
/// A caller that takes nothing of its answer for this time no longer counts as reading it, if memory is short.
constexpr Duration AnswerStall = seconds(10);
/// Time until holders are looked for again after none was found.
constexpr Duration BudgetRetryInterval = milliseconds(50);
constexpr Duration TimeoutCheckInterval = milliseconds(250);
}

/// A caller's connection.
class CallerListener::Connection
{
public:
    Connection(int socket, const PipelineLimits &limits, PipelineHooks hooks, const std::string &callerAddress,
               std::shared_ptr<CallerBudget> budget)
        : fd(socket)
        , pipeline(limits, std::move(hooks), callerAddress)
        , share(std::move(budget))
    {
    }

    int fd;
    CallerPipeline pipeline;
    CallerBudget::Share share;
    BodyProgress bodyProgress;
    /// It was ended, and waits until its last answer is sent.
    bool isEnding = false;
    /// Last time at which a request was being served; the time of the connection's start before the first one.
    Instant servedAt{};
    /// Last time at which bytes were received or sent.
    Instant activeAt{};
    /// EPOLLIN and EPOLLOUT as far as they are watched.
    std::uint32_t watched = 0;
    /// The responses have been sent and the connection is half closed.
    bool isLingering = false;
    /// In m_changed.
    bool isChanged = false;
};

CallerListener::CallerListener(int epollFd, std::uint64_t tag, CallerListenerHooks hooks)
    : m_epollFd(epollFd)
    , m_tag(tag)
    , m_hooks(std::move(hooks))
    , m_buffer(ReceiveBytes)
{
}

CallerListener::~CallerListener()
{
    quiesce();
    while (!m_connections.empty()) {
        const auto connection = m_connections.begin()->second;
        close(*connection);
    }
}

Result<void> CallerListener::listen(const ListenerSettings &settings)
{
    m_settings = settings;
    const auto colon = settings.address.rfind(':');
    sockaddr_in address{};
    address.sin_family = AF_INET;
    const auto ip = settings.address.substr(0, colon);
    const int port = colon == std::string::npos ? -1 : std::atoi(settings.address.c_str() + colon + 1);
    if (port < 0 || port > 65535 || inet_pton(AF_INET, ip.c_str(), &address.sin_addr) != 1) {
        return fail(ErrorCode::OutOfRange, fmt::format("'{}' is not ip:port", settings.address));
    }
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    m_listenFd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(m_listenFd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (settings.sharedPort) {
        setsockopt(m_listenFd, SOL_SOCKET, SO_REUSEPORT, &on, sizeof on);
    }
    const bool isBound = bind(m_listenFd, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0
        && ::listen(m_listenFd, settings.backlog) == 0;
    if (!isBound) {
        const std::string text = strerror(errno);
        quiesce();
        return fail(ErrorCode::SystemCall, fmt::format("cannot listen on {}: {}", settings.address, text));
    }
    socklen_t n = sizeof address;
    getsockname(m_listenFd, reinterpret_cast<sockaddr *>(&address), &n);
    m_address = fmt::format("{}:{}", ip, ntohs(address.sin_port));
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.u64 = m_tag | static_cast<std::uint32_t>(m_listenFd);
    epoll_ctl(m_epollFd, EPOLL_CTL_ADD, m_listenFd, &event);
    return {};
}

/// Whether to be told of connections that wait to be accepted.
void CallerListener::watchListener(bool isWatched)
{
    if (m_listenFd < 0 || m_isListenerWatched == isWatched) {
        return;
    }
    m_isListenerWatched = isWatched;
    epoll_event event{};
    event.events = isWatched ? EPOLLIN : 0U;
    event.data.u64 = m_tag | static_cast<std::uint32_t>(m_listenFd);
    epoll_ctl(m_epollFd, EPOLL_CTL_MOD, m_listenFd, &event);
}

void CallerListener::quiesce()
{
    if (m_listenFd < 0) {
        return;
    }
    // Connections that the kernel has accepted would be reset with the requests that their callers have sent already.
    acceptWaiting(MonotonicClock::now(), m_settings.connectionLimit);
    ::close(m_listenFd);
    m_listenFd = -1;
}

void CallerListener::closeIdle()
{
    m_isClosingIdle = true;
    m_nextTimeoutCheck = {};
}

Duration CallerListener::idleTimeout() const
{
    const Duration timeout = seconds(m_settings.idleSeconds);
    return m_isClosingIdle ? std::min(timeout, StopIdleTimeout) : timeout;
}

void CallerListener::handleSocket(Instant now, int fd, std::uint32_t events)
{
    if (fd == m_listenFd) {
        m_isAcceptDue = true;
        return;
    }
    const auto found = m_connections.find(fd);
    if (found == m_connections.end()) {
        return;
    }
    const auto connection = found->second;
    // A caller that closes its end does not wait for responses.
    const bool hasLeft =
        (events & (EPOLLHUP | EPOLLERR)) != 0 || ((events & EPOLLRDHUP) != 0 && !connection->isLingering);
    if (hasLeft) {
        close(*connection);
        return;
    }
    guard(*connection, [&] {
        if ((events & EPOLLIN) != 0) {
            receive(now, *connection);
        }
        if (connection->fd >= 0) {
            update(now, connection);
        }
    });
    enforceBudget(now);
}

/// Closes the connection when handling it fails unexpectedly, so that no other one is affected.
void CallerListener::guard(Connection &connection, const std::function<void()> &body)
{
    if (!runGuarded("caller's connection", body)) {
        runGuarded("end of a caller's connection", [&] { close(connection); });
    }
}

void CallerListener::receive(Instant now, Connection &connection)
{
    const auto n = recv(connection.fd, m_buffer.data(), m_buffer.size(), 0);
    if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    if (n <= 0) {
        close(connection);
        return;
    }
    if (connection.isLingering) {
        return;
    }
    connection.activeAt = now;
    connection.bodyProgress.received(static_cast<std::size_t>(n));
    connection.pipeline.receive(now, {m_buffer.data(), static_cast<std::size_t>(n)});
}

void CallerListener::update(Instant now, const ConnectionPtr &connection)
{
    auto &pipeline = connection->pipeline;
    for (pipeline.pump(now); !pipeline.output().empty(); pipeline.pump(now)) {
        if (!send(now, *connection)) {
            close(*connection);
            return;
        }
        if (!pipeline.output().empty()) {
            break; // the socket takes no more now
        }
    }
    if (pipeline.output().empty()) {
        clearBuffer(pipeline.output());
    }
    connection->share.set(pipeline.callerBytes());
    connection->servedAt = pipeline.depth() > 0 ? now : connection->servedAt;
    if (pipeline.isClosing() && pipeline.output().empty() && !connection->isLingering) {
        beginLingering(now, *connection);
        return;
    }
    const std::uint32_t input = connection->isLingering || pipeline.wantsInput() ? EPOLLIN : 0U;
    watch(*connection, input | (pipeline.output().empty() ? 0U : EPOLLOUT));
}

/// Returns false when the connection is lost.
bool CallerListener::send(Instant now, Connection &connection)
{
    auto &output = connection.pipeline.output();
    if (output.empty()) {
        return true;
    }
    const auto n = ::send(connection.fd, output.data(), output.size(), MSG_NOSIGNAL);
    if (n < 0) {
        return errno == EAGAIN || errno == EINTR;
    }
    connection.activeAt = now;
    output.erase(0, static_cast<std::size_t>(n));
    return true;
}

void CallerListener::watch(Connection &connection, std::uint32_t events) const
{
    if (connection.watched == events) {
        return;
    }
    connection.watched = events;
    epoll_event event{};
    event.events = events | EPOLLRDHUP;
    event.data.u64 = m_tag | static_cast<std::uint32_t>(connection.fd);
    epoll_ctl(m_epollFd, EPOLL_CTL_MOD, connection.fd, &event);
}

void CallerListener::beginLingering(Instant now, Connection &connection)
{
    if (connection.pipeline.needsReset()) {
        const linger abortive{1, 0};
        setsockopt(connection.fd, SOL_SOCKET, SO_LINGER, &abortive, sizeof abortive);
        close(connection);
        return;
    }
    connection.isLingering = true;
    connection.activeAt = now;
    shutdown(connection.fd, SHUT_WR);
    watch(connection, EPOLLIN);
}

void CallerListener::close(Connection &connection)
{
    const auto found = m_connections.find(connection.fd);
    if (found == m_connections.end()) {
        return;
    }
    const auto kept = found->second;
    m_connections.erase(found);
    m_connectionCount.store(m_connections.size(), std::memory_order_relaxed);
    ::close(kept->fd);
    kept->fd = -1;
    kept->pipeline.disconnect();
    kept->share.set(0);
}

void CallerListener::run(Instant now)
{
    while (!m_changed.empty()) {
        const auto changed = std::exchange(m_changed, {});
        for (const auto &it : changed) {
            const auto connection = it.lock();
            if (!connection || connection->fd < 0) {
                continue;
            }
            connection->isChanged = false;
            guard(*connection, [&] { update(now, connection); });
        }
    }
    enforceBudget(now);
    if (m_isAcceptDue) {
        acceptWaiting(now, MaxAcceptsPerRun);
    }
    if (now >= m_nextTimeoutCheck) {
        m_nextTimeoutCheck = now + TimeoutCheckInterval;
        closeTimedOut(now);
        endStalledBodies(now);
        watchListener(true);
    }
}

void CallerListener::acceptWaiting(Instant now, std::size_t most)
{
    m_isAcceptDue = false;
    for (std::size_t n = 0; n < most && m_listenFd >= 0; ++n) {
        if (m_connections.size() >= connectionLimit() && !closeIdlest(now)) {
            watchListener(false);
            return;
        }
        sockaddr_in address{};
        socklen_t size = sizeof address;
        const int fd = accept4(m_listenFd, reinterpret_cast<sockaddr *>(&address), &size, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0) {
            // Without descriptors left, accepting again at once would fail again.
            watchListener(errno == EAGAIN || errno == EINTR || errno == ECONNABORTED);
            return;
        }
        char text[INET_ADDRSTRLEN] = "";
        inet_ntop(AF_INET, &address.sin_addr, text, sizeof text);
        add(now, fd, text);
    }
}

void CallerListener::add(Instant now, int fd, const std::string &callerAddress)
{
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    PipelineLimits limits;
    limits.headBytes = m_settings.headerBytes;
    // The hooks find the connection by its socket: it owns the pipeline that owns them.
    PipelineHooks hooks{m_hooks.onRequest, m_hooks.mayRunAhead, m_hooks.isStopping, m_hooks.onMalformed, {}, {}, {}};
    hooks.onChanged = [this, fd] {
        const auto found = m_connections.find(fd);
        if (found != m_connections.end() && !std::exchange(found->second->isChanged, true)) {
            m_changed.push_back(found->second);
        }
    };
    hooks.socket = [fd] {
        return fd;
    };
    hooks.isMemoryShort = [this, fd] {
        return isMemoryShort(fd);
    };
    auto connection = std::make_shared<Connection>(fd, limits, std::move(hooks), callerAddress, m_settings.budget);
    connection->activeAt = now;
    connection->servedAt = now;
    connection->share.set(connection->pipeline.callerBytes());
    connection->watched = EPOLLIN;
    epoll_event event{};
    event.events = EPOLLIN | EPOLLRDHUP;
    event.data.u64 = m_tag | static_cast<std::uint32_t>(fd);
    epoll_ctl(m_epollFd, EPOLL_CTL_ADD, fd, &event);
    m_connections.emplace(fd, std::move(connection));
    m_connectionCount.store(m_connections.size(), std::memory_order_relaxed);
}

/// Whether bytes of the caller have arrived that were not read yet, such as a request that crosses the end of the idle
/// time.
bool CallerListener::hasUnread(const Connection &connection)
{
    char byte = 0;
    return !connection.isLingering && connection.pipeline.wantsInput()
        && recv(connection.fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

/// Whether the caller's kernel has not acknowledged all answers, which it does as the caller reads.
bool CallerListener::hasUnreadAnswer(const Connection &connection)
{
    int unacknowledgedBytes = 0;
    const bool isKnown = ioctl(connection.fd, SIOCOUTQ, &unacknowledgedBytes) == 0;
    return !connection.pipeline.output().empty() || (isKnown && unacknowledgedBytes > 0);
}

std::size_t CallerListener::connectionLimit() const
{
    return m_settings.budget ? std::min(m_settings.connectionLimit, m_settings.budget->limits().connections)
                             : m_settings.connectionLimit;
}

bool CallerListener::closeIdlest(Instant now)
{
    if (!m_settings.budget) {
        return false;
    }
    ConnectionPtr idlest;
    for (const auto &[fd, it] : m_connections) {
        const bool isIdle = it->pipeline.depth() == 0 && it->pipeline.output().empty();
        const bool isOlder = !idlest || it->servedAt < idlest->servedAt;
        if (isIdle && isOlder && now - it->servedAt >= MinIdleAge && !hasUnread(*it)) {
            idlest = it;
        }
    }
    if (!idlest) {
        return false;
    }
    m_hooks.onGaveWay("connections", idlest->share.bytes());
    close(*idlest);
    return true;
}

/// An answer that its caller reads is never ended.
bool CallerListener::mayEnd(Instant now, Connection &connection)
{
    if (connection.isEnding || connection.isLingering) {
        return false;
    }
    // Without output it is the server that sends nothing.
    const bool isUnread = !connection.pipeline.output().empty() && now - connection.activeAt >= AnswerStall;
    return connection.pipeline.canGiveWay() || isUnread;
}

CallerListener::ConnectionPtr CallerListener::firstToEnd(Instant now) const
{
    std::vector<CallerHolder> holders;
    std::vector<ConnectionPtr> connections;
    for (const auto &[fd, it] : m_connections) {
        const bool isTooSmall = it->share.bytes() <= OrdinaryHolderBytes && !m_settings.budget->isExceededByAll();
        if (isTooSmall || !mayEnd(now, *it)) {
            continue;
        }
        const bool isWaitingForServer =
            it->pipeline.depth() > 0 && it->pipeline.output().empty() && !it->pipeline.isWaitingForBody();
        holders.push_back({it->share.bytes(), isWaitingForServer ? now : it->activeAt});
        connections.push_back(it);
    }
    const auto first = Galenarock::firstToEnd(now, holders);
    return first ? connections[*first] : nullptr;
}

/// Counts the connection first: one pass of the event loop can read many pieces for it before the next update().
bool CallerListener::isMemoryShort(int fd)
{
    if (!m_settings.budget) {
        return false;
    }
    const auto found = m_connections.find(fd);
    if (found != m_connections.end()) {
        found->second->share.set(found->second->pipeline.callerBytes());
    }
    return m_settings.budget->isExceeded();
}

void CallerListener::enforceBudget(Instant now)
{
    const auto *budget = m_settings.budget.get();
    while (budget && budget->isExceeded() && now >= m_nextBudgetCheck) {
        const auto holder = firstToEnd(now);
        if (!holder) {
            m_nextBudgetCheck = now + BudgetRetryInterval;
            return;
        }
        end(now, holder, "memory");
    }
}

void CallerListener::end(Instant now, const ConnectionPtr &connection, std::string_view cause)
{
    connection->isEnding = true;
    m_hooks.onGaveWay(cause, connection->share.bytes());
    guard(*connection, [&] {
        if (!connection->pipeline.canGiveWay()) {
            close(*connection);
            return;
        }
        connection->pipeline.giveWay(cause);
        update(now, connection);
    });
}

void CallerListener::endStalledBodies(Instant now)
{
    if (!m_settings.budget) {
        return;
    }
    std::vector<ConnectionPtr> stalled;
    for (const auto &[fd, it] : m_connections) {
        const bool isWaiting = it->pipeline.isWaitingForBody();
        if (it->bodyProgress.isStalled(now, isWaiting) && it->pipeline.canGiveWay() && !it->isEnding) {
            stalled.push_back(it);
        }
    }
    for (const auto &it : stalled) {
        end(now, it, "stalled-body");
    }
}

bool CallerListener::isTimedOut(Instant now, const Connection &connection) const
{
    const auto &pipeline = connection.pipeline;
    const auto inactiveTime = now - connection.activeAt;
    const bool isWaitingForServer = pipeline.depth() > 0 && pipeline.output().empty();
    const auto timeout = connection.isLingering ? LingerTime : idleTimeout();
    if (isWaitingForServer || inactiveTime < timeout || hasUnread(connection)) {
        return false;
    }
    const bool mayStillRead = inactiveTime < seconds(m_settings.idleSeconds) && now < pipeline.lastDeadline();
    return !mayStillRead || !hasUnreadAnswer(connection);
}

void CallerListener::closeTimedOut(Instant now)
{
    std::vector<ConnectionPtr> expired;
    for (const auto &[fd, it] : m_connections) {
        if (isTimedOut(now, *it)) {
            expired.push_back(it);
        }
    }
    for (const auto &it : expired) {
        close(*it);
    }
}

}

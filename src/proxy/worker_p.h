#pragma once

#include <atomic>
#include <string>
#include <string_view>

#include <sys/epoll.h>

#include <galenarock/thread.h>

#include "callerlistener_p.h"
#include "requesthandler_p.h"
#include "upstream_p.h"

namespace Galenarock
{

/// A thread with its own event loop, listener and connections to servers. Workers share none of these, so no locks are
/// needed.
class Worker
{
public:
    explicit Worker(ProxyShared &shared);
    ~Worker();
    Worker(const Worker &) = delete;
    Worker &operator=(const Worker &) = delete;

    /// Binds the address; call before start().
    Result<void> listen(const ListenerSettings &settings);
    /// Runs the event loop in a thread named `proxy-<number>`.
    void start(unsigned number);
    /// One pass of the event loop: waits for events, 50 ms at most, and handles them. For tests; start() calls it
    /// until stop().
    void runOnce();
    /// Must be called before start().
    void setServerIdleLimit(unsigned seconds)
    {
        m_upstream.setIdleLimit(static_cast<long>(seconds));
    }

    std::string address() const
    {
        return m_listener.address();
    }
    double cpuSeconds() const
    {
        return m_thread.cpuSeconds();
    }
    std::size_t connectionCount() const
    {
        return m_listener.connectionCount();
    }

    // Thread-safe.
    void wake();
    void quiesce();
    void closeIdle();
    void stop();

private:
    void countMalformed(std::string_view text);
    void countGaveWay(std::string_view cause, std::size_t bytes) const;
    int waitMs(Instant now) const;
    void handleEvents(const epoll_event *events, int n, std::uint64_t tag);
    void handleWake();
    void logLag(Instant wokenAt, int events) const;

    int m_epollFd;
    int m_wakeFd;
    ProxyShared &m_shared;
    Counter &m_malformed;
    std::atomic<bool> m_stopRequested{false};
    std::atomic<bool> m_quiesceRequested{false};
    std::atomic<bool> m_closeIdleRequested{false};
    UpstreamClient m_upstream;
    RequestHandler m_handler;
    CallerListener m_listener;
    Thread m_thread;
};

}

#include <galenarock/proxy.h>

#include <array>
#include <vector>

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <galenarock/thread.h>

#include "events_p.h"
#include "exchange_p.h"
#include "requesthandler_p.h"
#include "upstream_p.h"

namespace Galenarock
{

namespace
{
constexpr std::uint64_t ListenerTag = 1ULL << 32;
constexpr std::uint64_t WakeTag = 2ULL << 32;
constexpr std::uint64_t UpstreamTag = 3ULL << 32;
constexpr std::uint64_t TagMask = 0xffffffffULL << 32;
constexpr long MaxServerConnections = 1'024;
constexpr int MaxWaitMs = 50;
constexpr int MaxEventsPerWait = 128;
constexpr Duration NotableLag = milliseconds(200);

int shorterTimeoutMs(int a, int b)
{
    return b < 0 ? a : std::min(a, b);
}

void watchInput(int epollFd, int fd, std::uint64_t tag)
{
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.u64 = tag;
    epoll_ctl(epollFd, EPOLL_CTL_ADD, fd, &event);
}

/// A thread with its own event loop, listener and connections to servers. Workers share none of these, so no locks are
/// needed.
class Worker
{
public:
    explicit Worker(ProxyShared &shared)
        : m_epollFd(epoll_create1(EPOLL_CLOEXEC))
        , m_wakeFd(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
        , m_malformed(shared.metrics().counter("galenarock_malformed_http_total"))
        , m_upstream(m_epollFd, UpstreamTag)
        , m_handler(shared, m_upstream)
        , m_listener([this](const std::shared_ptr<Exchange> &it) { m_handler.handleRequest(it); },
                     [this](std::string_view text) { countMalformed(text); })
    {
        watchInput(m_epollFd, m_wakeFd, WakeTag);
        // libcurl's default limit is four connections per request in flight, which can be fewer than there are servers.
        m_upstream.setMaxConnections(MaxServerConnections);
    }

    ~Worker()
    {
        stop();
        close(m_wakeFd);
        close(m_epollFd);
    }

    Result<void> start(const ListenerSettings &settings, unsigned number)
    {
        BOOST_LEAF_CHECK(m_listener.listen(settings));
        watchInput(m_epollFd, m_listener.epollFd(), ListenerTag);
        m_thread = Thread(fmt::format("proxy-{}", number), [this] { loop(); });
        return {};
    }

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

    void quiesce()
    {
        m_quiesceRequested.store(true);
        wake();
    }

    void closeIdle()
    {
        m_closeIdleRequested.store(true);
        wake();
    }

    std::size_t connectionCount() const
    {
        return m_listener.connectionCount();
    }

    void stop()
    {
        m_stopRequested.store(true);
        wake();
        m_thread.join();
    }

private:
    void wake()
    {
        const std::uint64_t one = 1;
        static_cast<void>(!write(m_wakeFd, &one, sizeof one));
    }

    void countMalformed(std::string_view text)
    {
        m_malformed.add();
        logEvent(Events::MalformedHttp, "{}", text);
    }

    void loop()
    {
        while (!m_stopRequested.load(std::memory_order_relaxed)) {
            runOnce();
        }
    }

    int waitMs(Instant now) const
    {
        if (m_listener.isRunNeeded()) {
            return 0;
        }
        return shorterTimeoutMs(shorterTimeoutMs(MaxWaitMs, m_listener.timeoutMs()), m_upstream.timeoutMs(now));
    }

    void runOnce()
    {
        std::array<epoll_event, MaxEventsPerWait> events;
        const int n = epoll_wait(m_epollFd, events.data(), MaxEventsPerWait, waitMs(MonotonicClock::now()));
        const auto wokenAt = MonotonicClock::now();
        for (int it = 0; it < n; ++it) {
            const auto tag = events[static_cast<std::size_t>(it)].data.u64 & TagMask;
            if (tag == WakeTag) {
                handleWake();
            } else if (tag == UpstreamTag) {
                const auto fd = static_cast<int>(events[static_cast<std::size_t>(it)].data.u64 & 0xffffffffULL);
                m_upstream.handleSocket(fd, events[static_cast<std::size_t>(it)].events);
            }
        }
        m_upstream.run(MonotonicClock::now());
        m_handler.run(MonotonicClock::now());
        m_listener.run();
        logLag(wokenAt, n);
    }

    /// A VM that is short of processor time reads requests late; without this line they look new.
    void logLag(Instant wokenAt, int events)
    {
        const auto lag = MonotonicClock::now() - wokenAt;
        if (lag >= NotableLag) {
            logEvent(Events::WorkerLagged, "one pass with {} events took {} ms", events,
                     duration_cast<milliseconds>(lag).count());
        }
    }

    void handleWake()
    {
        std::uint64_t n = 0;
        static_cast<void>(!read(m_wakeFd, &n, sizeof n));
        if (m_quiesceRequested.exchange(false)) {
            m_listener.quiesce();
            logEvent(Events::ListenerQuiesced, "listener closed; open connections continue");
        }
        if (m_closeIdleRequested.exchange(false)) {
            m_listener.closeIdle();
        }
    }

    int m_epollFd;
    int m_wakeFd;
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

class Proxy::Impl
{
public:
    explicit Impl(ProxyShared &shared)
        : shared(shared)
    {
    }

    ProxyShared &shared;
    std::vector<std::unique_ptr<Worker>> workers;
};

Proxy::Proxy(ProxyShared &shared)
    : m_impl(std::make_unique<Impl>(shared))
{
}

Proxy::~Proxy() = default;

Result<void> Proxy::start(const ProxySettings &settings)
{
    m_impl->shared.setWorkers(settings.workers);
    ListenerSettings listener{settings.listenAddress, settings.workers > 1};
    listener.headerBytes = settings.headerBytes;
    listener.idleSeconds = settings.callerIdleSeconds;
    for (unsigned n = 0; n < settings.workers; ++n) {
        auto worker = std::make_unique<Worker>(m_impl->shared);
        worker->setServerIdleLimit(settings.serverIdleSeconds);
        BOOST_LEAF_CHECK(worker->start(listener, n));
        listener.address = worker->address();
        m_impl->workers.push_back(std::move(worker));
    }
    logEvent(Events::ListenerStarted, "accepting callers on {} with {} workers", address(), settings.workers);
    return {};
}

std::string Proxy::address() const
{
    return m_impl->workers.empty() ? std::string() : m_impl->workers.front()->address();
}

double Proxy::cpuSeconds() const
{
    double total = 0;
    for (const auto &it : m_impl->workers) {
        total += it->cpuSeconds();
    }
    return total;
}

void Proxy::quiesce()
{
    for (const auto &it : m_impl->workers) {
        it->quiesce();
    }
}

void Proxy::closeIdle()
{
    for (const auto &it : m_impl->workers) {
        it->closeIdle();
    }
}

std::size_t Proxy::connectionCount() const
{
    std::size_t n = 0;
    for (const auto &it : m_impl->workers) {
        n += it->connectionCount();
    }
    return n;
}

void Proxy::stop()
{
    for (const auto &it : m_impl->workers) {
        it->stop();
    }
}

}

#include "worker_p.h"

#include <array>

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <fmt/format.h>

#include "base/guard_p.h"
#include "events_p.h"

namespace Galenarock
{

namespace
{
constexpr std::uint64_t CallerTag = 1ULL << 32;
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
}

Worker::Worker(ProxyShared &shared)
    : m_epollFd(epoll_create1(EPOLL_CLOEXEC))
    , m_wakeFd(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
    , m_shared(shared)
    , m_malformed(shared.metrics().counter("galenarock_malformed_http_total"))
    , m_upstream(m_epollFd, UpstreamTag)
    , m_handler(shared, m_upstream)
    , m_listener(m_epollFd, CallerTag,
                 {[this](const std::shared_ptr<Exchange> &it) { m_handler.handleRequest(it); },
                  [this](const Exchange &it) { return m_handler.mayRunAhead(it); },
                  [&shared] { return shared.isDraining() || shared.isRefusing(); },
                  [this](std::string_view text) { countMalformed(text); },
                  [this](std::string_view cause, std::size_t bytes) {
                      countGaveWay(cause, bytes);
                  }})
{
    watchInput(m_epollFd, m_wakeFd, WakeTag);
    // libcurl's default limit is four connections per request in flight, which can be fewer than there are servers.
    m_upstream.setMaxConnections(MaxServerConnections);
}

Worker::~Worker()
{
    stop();
    m_handler.dropAll();
    m_listener.run(MonotonicClock::now());
    close(m_wakeFd);
    close(m_epollFd);
}

Result<void> Worker::listen(const ListenerSettings &settings)
{
    return m_listener.listen(settings);
}

void Worker::start(unsigned number)
{
    m_thread = Thread(fmt::format("proxy-{}", number), [this] {
        while (!m_stopRequested.load(std::memory_order_relaxed)) {
            runOnce();
        }
    });
}

void Worker::quiesce()
{
    m_quiesceRequested.store(true);
    wake();
}

void Worker::closeIdle()
{
    m_closeIdleRequested.store(true);
    wake();
}

void Worker::stop()
{
    m_stopRequested.store(true);
    wake();
    m_thread.join();
}

void Worker::wake()
{
    const std::uint64_t one = 1;
    static_cast<void>(!write(m_wakeFd, &one, sizeof one));
}

void Worker::countMalformed(std::string_view text)
{
    m_malformed.add();
    logEvent(Events::MalformedHttp, "{}", text);
}

void Worker::countGaveWay(std::string_view cause, std::size_t bytes) const
{
    m_shared.metrics().counter("galenarock_callers_ended_total", fmt::format("cause=\"{}\"", cause)).add();
    logEvent(Events::CallerGaveWay, "cause {}, {} bytes held", cause, bytes);
}

int Worker::waitMs(Instant now) const
{
    if (m_listener.isRunNeeded()) {
        return 0;
    }
    return shorterTimeoutMs(MaxWaitMs, m_upstream.timeoutMs(now));
}

void Worker::runOnce()
{
    std::array<epoll_event, MaxEventsPerWait> events;
    const int n = epoll_wait(m_epollFd, events.data(), MaxEventsPerWait, waitMs(MonotonicClock::now()));
    const auto wokenAt = MonotonicClock::now();
    // Callers first, so that after a stall no request is sent for a caller that has left meanwhile.
    handleEvents(events.data(), n, CallerTag);
    handleEvents(events.data(), n, WakeTag);
    handleEvents(events.data(), n, UpstreamTag);
    const auto now = MonotonicClock::now();
    runGuarded("server connections", [&] { m_upstream.run(now); });
    runGuarded("requests", [&] { m_handler.run(now); });
    runGuarded("callers' connections", [&] { m_listener.run(now); });
    logLag(wokenAt, n);
}

/// Handles those of the `n` events that have the tag.
void Worker::handleEvents(const epoll_event *events, int n, std::uint64_t tag)
{
    for (int it = 0; it < n; ++it) {
        const auto &event = events[it];
        if ((event.data.u64 & TagMask) != tag) {
            continue;
        }
        const auto fd = static_cast<int>(event.data.u64 & ~TagMask);
        if (tag == CallerTag) {
            m_listener.handleSocket(MonotonicClock::now(), fd, event.events);
        } else if (tag == UpstreamTag) {
            runGuarded("server connection", [&] { m_upstream.handleSocket(fd, event.events); });
        } else {
            handleWake();
        }
    }
}

/// A VM that is short of processor time reads requests late; without this line they look new.
void Worker::logLag(Instant wokenAt, int events) const
{
    const auto lag = MonotonicClock::now() - wokenAt;
    if (lag >= NotableLag) {
        logEvent(Events::WorkerLagged, "one pass with {} events took {} ms", events,
                 duration_cast<milliseconds>(lag).count());
    }
}

void Worker::handleWake()
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

}

#include "callerthread_p.h"

#include <algorithm>
#include <array>
#include <memory>

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "base/guard_p.h"

namespace Galenarock
{

namespace
{
constexpr std::size_t RingCapacity = 4'096;
/// Marks epoll events of upstream sockets; the low 32 bits hold the file descriptor.
constexpr std::uint64_t UpstreamTag = 1ULL << 32;
/// More than the servers of a large fleet: below their number each call would open a connection. Fewer than the
/// descriptors of a process.
constexpr long MaxCachedConnections = 2'048;
constexpr int MaxWaitMs = 50;
}

CallerThread::CallerThread(std::string name)
    : m_ring(RingCapacity)
    , m_epollFd(epoll_create1(EPOLL_CLOEXEC))
    , m_wakeFd(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
    , m_upstream(m_epollFd, UpstreamTag)
{
    epoll_event event{};
    event.events = EPOLLIN;
    epoll_ctl(m_epollFd, EPOLL_CTL_ADD, m_wakeFd, &event);
    m_upstream.setMaxConnections(MaxCachedConnections);
    m_thread = Thread(std::move(name), [this] { loop(); });
}

CallerThread::~CallerThread()
{
    stop();
    close(m_wakeFd);
    close(m_epollFd);
}

bool CallerThread::post(Task task)
{
    if (!m_ring.tryPush(std::make_shared<Task>(std::move(task)))) {
        return false;
    }
    wake();
    return true;
}

void CallerThread::wake()
{
    const std::uint64_t one = 1;
    static_cast<void>(!write(m_wakeFd, &one, sizeof one));
}

void CallerThread::stop()
{
    m_stopWanted.store(true);
    wake();
    m_thread.join();
}

void CallerThread::loop()
{
    std::array<epoll_event, 64> events;
    while (!m_stopWanted.load(std::memory_order_relaxed)) {
        const int upstreamWait = m_upstream.timeoutMs(MonotonicClock::now());
        const int waitMs = upstreamWait < 0 ? MaxWaitMs : std::min(upstreamWait, MaxWaitMs);
        const int n = epoll_wait(m_epollFd, events.data(), static_cast<int>(events.size()), waitMs);
        for (int it = 0; it < n; ++it) {
            const auto &event = events[static_cast<std::size_t>(it)];
            if (event.data.u64 & UpstreamTag) {
                const auto fd = static_cast<int>(event.data.u64 & 0xffffffffULL);
                runGuarded("server connection", [&] { m_upstream.handleSocket(fd, event.events); });
                continue;
            }
            std::uint64_t count = 0;
            static_cast<void>(!read(m_wakeFd, &count, sizeof count));
        }
        runTasks();
        runGuarded("server connections", [&] { m_upstream.run(MonotonicClock::now()); });
    }
}

void CallerThread::runTasks()
{
    std::shared_ptr<Task> task;
    while (m_ring.tryPop(task)) {
        runGuarded("task of a caller thread", [&] { (*task)(m_upstream); });
    }
}

}

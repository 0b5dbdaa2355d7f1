#include "eventloop_p.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/signalfd.h>
#include <sys/timerfd.h>
#include <unistd.h>

namespace Galenarock::Standin
{

namespace
{
constexpr int maxEventsPerWait = 64;
constexpr std::int64_t nsPerSecond = 1'000'000'000;
}

EventLoop::EventLoop()
    : m_epoll(epoll_create1(EPOLL_CLOEXEC))
    , m_wake(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
    , m_timer(timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC))
    , m_armedFor(Instant::max())
{
    watch(m_wake, [this] { m_stopped = true; });
    watch(m_timer, [this] { readTimer(); });
}

EventLoop::~EventLoop()
{
    close(m_epoll);
    close(m_wake);
    close(m_timer);
    if (m_signals >= 0) {
        close(m_signals);
    }
}

void EventLoop::stop()
{
    const std::uint64_t one = 1;
    if (write(m_wake, &one, sizeof one) != sizeof one) {
        std::abort();
    }
}

void EventLoop::stopOnSignals(std::function<void()> onSignal)
{
    m_onSignal = std::move(onSignal);
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
    m_signals = signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
    watch(m_signals, [this] { readSignal(); });
}

void EventLoop::readSignal()
{
    signalfd_siginfo info{};
    if (read(m_signals, &info, sizeof info) != sizeof info) {
        return;
    }
    const auto onSignal = std::move(m_onSignal);
    m_onSignal = nullptr;
    if (!onSignal) {
        m_stopped = true;
        return;
    }
    onSignal();
}

void EventLoop::watch(int fd, std::function<void()> onReady, bool readable, bool writable)
{
    epoll_event event{};
    event.events = (readable ? EPOLLIN : 0U) | (writable ? EPOLLOUT : 0U);
    event.data.fd = fd;
    const auto isNew = m_watches.find(fd) == m_watches.end();
    m_watches[fd] = std::move(onReady);
    epoll_ctl(m_epoll, isNew ? EPOLL_CTL_ADD : EPOLL_CTL_MOD, fd, &event);
}

void EventLoop::unwatch(int fd)
{
    if (m_watches.erase(fd) > 0) {
        epoll_ctl(m_epoll, EPOLL_CTL_DEL, fd, nullptr);
    }
}

TimerId EventLoop::at(Instant when, std::function<void()> body)
{
    const auto id = ++m_lastTimer;
    m_timers.emplace(std::make_pair(when, id), std::move(body));
    m_timerTimes.emplace(id, when);
    return id;
}

TimerId EventLoop::after(Duration delay, std::function<void()> body)
{
    return at(MonotonicClock::now() + delay, std::move(body));
}

void EventLoop::cancel(TimerId id)
{
    const auto it = m_timerTimes.find(id);
    if (it == m_timerTimes.end()) {
        return;
    }
    m_timers.erase({it->second, id});
    m_timerTimes.erase(it);
}

void EventLoop::armTimer()
{
    const auto next = m_timers.empty() ? Instant::max() : m_timers.begin()->first.first;
    if (next == m_armedFor) {
        return;
    }
    m_armedFor = next;
    itimerspec spec{};
    if (next != Instant::max()) {
        // A time in the past fires at once; all zeros would disarm the timer.
        const auto ns = std::max<std::int64_t>(1, next.time_since_epoch().count());
        spec.it_value.tv_sec = ns / nsPerSecond;
        spec.it_value.tv_nsec = ns % nsPerSecond;
    }
    timerfd_settime(m_timer, TFD_TIMER_ABSTIME, &spec, nullptr);
}

void EventLoop::readTimer()
{
    std::uint64_t expirations = 0;
    if (read(m_timer, &expirations, sizeof expirations) == sizeof expirations) {
        m_armedFor = Instant::max(); // a timer that has fired is no longer set
    }
}

void EventLoop::runTimers()
{
    const auto now = MonotonicClock::now();
    while (!m_timers.empty() && m_timers.begin()->first.first <= now) {
        const auto body = std::move(m_timers.begin()->second);
        m_timerTimes.erase(m_timers.begin()->first.second);
        m_timers.erase(m_timers.begin());
        body();
    }
}

void EventLoop::run()
{
    std::array<epoll_event, maxEventsPerWait> events{};
    while (!m_stopped) {
        armTimer();
        const auto n = epoll_wait(m_epoll, events.data(), maxEventsPerWait, -1);
        for (int i = 0; i < n; ++i) {
            const auto it = m_watches.find(events[static_cast<std::size_t>(i)].data.fd);
            if (it == m_watches.end()) {
                continue; // removed by an earlier event of this round
            }
            const auto onReady = it->second;
            onReady();
        }
        runTimers();
    }
}

}

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <vector>

#include <galenarock/base.h>

namespace Galenarock::Standin
{

using TimerId = std::uint64_t;

/// One thread's epoll loop with timers. A stand-in process runs all its servers on one loop, so their state needs no
/// locks; only stop() may be called from another thread.
class EventLoop
{
public:
    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    /// Runs until stop().
    void run();
    /// Ends run(); callable from any thread.
    void stop();
    /// Ends run(), or calls `onSignal` instead, when the process receives SIGTERM or SIGINT; a second signal always
    /// ends run(). Call before any other thread is started.
    void stopOnSignals(std::function<void()> onSignal = {});

    /// Calls `onReady` whenever `fd` is readable or, with `writable`, can be written.
    void watch(int fd, std::function<void()> onReady, bool readable = true, bool writable = false);
    void unwatch(int fd);

    TimerId at(Instant when, std::function<void()> body);
    TimerId after(Duration delay, std::function<void()> body);
    /// Does nothing when the timer has already fired.
    void cancel(TimerId id);

private:
    void armTimer();
    void readTimer();
    void readSignal();
    void runTimers();

    int m_epoll = -1;
    int m_wake = -1;
    int m_timer = -1;
    int m_signals = -1;
    std::function<void()> m_onSignal;
    /// Time for which m_timer is set.
    Instant m_armedFor;
    bool m_stopped = false;
    std::map<int, std::function<void()>> m_watches;
    TimerId m_lastTimer = 0;
    std::map<std::pair<Instant, TimerId>, std::function<void()>> m_timers;
    std::map<TimerId, Instant> m_timerTimes;
};

}

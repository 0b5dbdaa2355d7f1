#pragma once

#include <array>
#include <atomic>
#include <functional>
#include <memory>
#include <vector>

#include <galenarock/control.h>
#include <galenarock/metrics.h>
#include <galenarock/ring.h>
#include <galenarock/thread.h>

namespace Galenarock
{

/// Threads that post events to the control thread; each has a ring of its own.
enum class EventSource : std::uint8_t
{
    Platform,
    Peers,
    Servers,
    Main,
};
inline constexpr std::size_t eventSourceCount = 4;

/// The one thread on which all control cores run.
class ControlThread
{
public:
    /// Gets each event and, after a batch of events, `onBatchEnd`. Both run on the control thread.
    struct Hooks
    {
        std::function<void(Instant now, const ControlEvent &event)> onEvent;
        std::function<void(Instant now)> onBatchEnd;
    };

    ControlThread(Metrics &metrics, Hooks hooks);
    ~ControlThread();

    void start();
    void stop();
    /// False when the source's ring is full; the event is then dropped, counted and logged.
    bool post(EventSource source, ControlEvent event);
    /// Time that the thread spent on the processor, in seconds.
    double cpuSeconds() const
    {
        return m_thread.cpuSeconds();
    }

private:
    void loop();
    void runBatch(Instant now);
    void waitForEvents() const;

    Hooks m_hooks;
    Counter &m_events;
    std::vector<std::unique_ptr<Ring<ControlEvent>>> m_rings;
    std::vector<Counter *> m_rejected;
    std::atomic<bool> m_stopWanted{false};
    int m_wakeFd;
    Instant m_nextTick{};
    Thread m_thread;
};

}

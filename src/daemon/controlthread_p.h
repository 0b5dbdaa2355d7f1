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

/// Threads that post events to the control thread. Each has its own ring.
enum class EventSource : std::uint8_t
{
    Platform,
    Peers,
    Servers,
    Main,
};
inline constexpr std::size_t eventSourceCount = 4;

/// Thread that runs all control cores.
class ControlThread
{
public:
    /// Called on the control thread: `onEvent` for each event, `onBatchEnd` after each batch of events.
    struct Hooks
    {
        std::function<void(Instant now, const ControlEvent &event)> onEvent;
        std::function<void(Instant now)> onBatchEnd;
    };

    ControlThread(Metrics &metrics, Hooks hooks);
    ~ControlThread();

    void start();
    void stop();
    /// Queues an event. False if the source's ring is full; the event is then dropped, counted and logged.
    bool post(EventSource source, ControlEvent event);
    /// CPU time of the thread, in seconds.
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
    std::vector<Counter *> m_droppedEvents;
    std::atomic<bool> m_stopWanted{false};
    int m_wakeFd;
    Instant m_nextTick{};
    Thread m_thread;
};

}

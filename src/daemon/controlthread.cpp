#include "controlthread_p.h"

#include <poll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "base/guard_p.h"
#include "events_p.h"

namespace Galenarock
{

namespace
{
constexpr std::size_t RingCapacity = 8'192;
constexpr Duration TickInterval = milliseconds(50);
constexpr int MaxWaitMs = 10; // a fifth of TickInterval, so that a tick is at most 20% late
constexpr int MaxEventsPerSource = 256;
constexpr const char *SourceNames[eventSourceCount] = {"platform", "peers", "servers", "main"};
}

ControlThread::ControlThread(Metrics &metrics, Hooks hooks)
    : m_hooks(std::move(hooks))
    , m_events(metrics.counter("galenarock_control_events_total"))
    , m_wakeFd(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
{
    for (const char *it : SourceNames) {
        m_rings.push_back(std::make_unique<Ring<ControlEvent>>(RingCapacity));
        m_droppedEvents.push_back(
            &metrics.counter("galenarock_control_ring_full_total", fmt::format("source=\"{}\"", it)));
    }
}

ControlThread::~ControlThread()
{
    stop();
    close(m_wakeFd);
}

void ControlThread::start()
{
    m_thread = Thread("control", [this] { loop(); });
}

void ControlThread::stop()
{
    m_stopWanted.store(true);
    m_thread.join();
}

bool ControlThread::post(EventSource source, ControlEvent event)
{
    const auto index = static_cast<std::size_t>(source);
    if (!m_rings[index]->tryPush(std::move(event))) {
        m_droppedEvents[index]->add();
        logEvent(Events::ControlRingFull, "the event ring of source {} is full; the event is dropped",
                 SourceNames[index]);
        return false;
    }
    const std::uint64_t one = 1;
    static_cast<void>(!write(m_wakeFd, &one, sizeof one));
    return true;
}

void ControlThread::loop()
{
    while (!m_stopWanted.load(std::memory_order_relaxed)) {
        waitForEvents();
        runBatch(MonotonicClock::now());
    }
}

void ControlThread::waitForEvents() const
{
    pollfd entry{m_wakeFd, POLLIN, 0};
    if (poll(&entry, 1, MaxWaitMs) <= 0) {
        return;
    }
    std::uint64_t n = 0;
    static_cast<void>(!read(m_wakeFd, &n, sizeof n));
}

void ControlThread::runBatch(Instant now)
{
    ControlEvent event;
    for (const auto &ring : m_rings) {
        for (int n = 0; n < MaxEventsPerSource && ring->tryPop(event); ++n) {
            m_events.add();
            runGuarded("control event", [&] { m_hooks.onEvent(now, event); });
        }
    }
    if (now >= m_nextTick) {
        m_nextTick = now + TickInterval;
        runGuarded("control tick", [&] { m_hooks.onEvent(now, TickEvent()); });
    }
    runGuarded("control batch", [&] { m_hooks.onBatchEnd(now); });
}

}

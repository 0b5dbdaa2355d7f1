#pragma once

#include <atomic>
#include <functional>
#include <string>

#include <galenarock/ring.h>
#include <galenarock/thread.h>

#include "proxy/upstream_p.h"

namespace Galenarock
{

/// Thread that makes HTTP calls to backend servers. Another thread posts tasks, which start the calls.
class CallerThread
{
public:
    using Task = std::function<void(UpstreamClient &upstream)>;

    explicit CallerThread(std::string name);
    ~CallerThread();
    CallerThread(const CallerThread &) = delete;
    CallerThread &operator=(const CallerThread &) = delete;

    /// Queues `task` to run on this thread. False if the ring is full; the task is then dropped. Only one thread may
    /// call this. An exception ends the task alone: who waits for its outcome has to be told by the task itself.
    bool post(Task task);
    /// Ends the thread and aborts calls in flight; their hooks are not called.
    void stop();

private:
    void loop();
    void runTasks();
    void wake();

    Ring<std::shared_ptr<Task>> m_ring;
    std::atomic<bool> m_stopWanted{false};
    int m_epollFd;
    int m_wakeFd;
    UpstreamClient m_upstream;
    Thread m_thread;
};

}

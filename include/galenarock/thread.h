#pragma once

#include <functional>
#include <string>

#include <pthread.h>

namespace Galenarock
{

/// A named POSIX thread for one duty; joined by the destructor.
class Thread
{
public:
    Thread() = default;
    /// Starts `body` under `name` (at most 15 characters are shown by the system). Aborts when no thread can be made.
    Thread(std::string name, std::function<void()> body);
    Thread(Thread &&other) noexcept;
    Thread &operator=(Thread &&other) noexcept;
    Thread(const Thread &) = delete;
    Thread &operator=(const Thread &) = delete;
    ~Thread();

    void join();
    /// Processor time that the running thread has used, in seconds; 0 when it does not run.
    double cpuSeconds() const;

private:
    pthread_t m_thread{};
    bool m_running = false;
};

}

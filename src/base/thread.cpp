#include <galenarock/thread.h>

#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <memory>
#include <utility>

namespace Galenarock
{

namespace
{
struct Start
{
    std::string name;
    std::function<void()> body;
};

void *runThread(void *argument)
{
    const std::unique_ptr<Start> start(static_cast<Start *>(argument));
    pthread_setname_np(pthread_self(), start->name.substr(0, 15).c_str());
    start->body();
    return nullptr;
}
}

Thread::Thread(std::string name, std::function<void()> body)
{
    auto start = std::make_unique<Start>(Start{std::move(name), std::move(body)});
    if (pthread_create(&m_thread, nullptr, runThread, start.get()) != 0) {
        std::perror("pthread_create");
        std::abort();
    }
    static_cast<void>(start.release()); // owned by the new thread
    m_running = true;
}

Thread::Thread(Thread &&other) noexcept
    : m_thread(other.m_thread)
    , m_running(std::exchange(other.m_running, false))
{
}

Thread &Thread::operator=(Thread &&other) noexcept
{
    if (this != &other) {
        join();
        m_thread = other.m_thread;
        m_running = std::exchange(other.m_running, false);
    }
    return *this;
}

Thread::~Thread()
{
    join();
}

void Thread::join()
{
    if (!m_running) {
        return;
    }
    pthread_join(m_thread, nullptr);
    m_running = false;
}

double Thread::cpuSeconds() const
{
    clockid_t clock{};
    timespec time{};
    if (!m_running || pthread_getcpuclockid(m_thread, &clock) != 0 || clock_gettime(clock, &time) != 0) {
        return 0;
    }
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

}

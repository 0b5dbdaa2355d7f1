#pragma once

#include <algorithm>
#include <atomic>
#include <cstddef>
#include <memory>

namespace Galenarock
{

/// Bytes of response bodies that all requests of one worker may hold together, but for one piece of each response.
inline constexpr std::size_t MaxHeldResponseBytes = 16 << 20;

/// Bytes of a response body that one request holds, as a share of those of all requests on its worker's thread.
class HeldBytes
{
public:
    HeldBytes() = default;
    ~HeldBytes()
    {
        set(0);
    }
    HeldBytes(const HeldBytes &) = delete;
    HeldBytes &operator=(const HeldBytes &) = delete;

    void set(std::size_t n)
    {
        *m_total = *m_total - m_n + n;
        m_n = n;
    }
    /// Whether all requests together may hold `n` bytes more.
    bool hasRoom(std::size_t n) const
    {
        return *m_total + n <= limit().load(std::memory_order_relaxed);
    }
    /// Lowers what the requests of one worker may hold on a VM with little memory. Call before the workers start.
    static void setLimit(std::size_t n)
    {
        limit().store(std::min(n, MaxHeldResponseBytes), std::memory_order_relaxed);
    }

private:
    static std::atomic<std::size_t> &limit()
    {
        static std::atomic<std::size_t> bytes{MaxHeldResponseBytes};
        return bytes;
    }
    static const std::shared_ptr<std::size_t> &totalOfThread()
    {
        thread_local const auto total = std::make_shared<std::size_t>(0);
        return total;
    }

    std::size_t m_n = 0;
    /// Of the thread that made this object; another one may destroy it after that thread has ended.
    std::shared_ptr<std::size_t> m_total = totalOfThread();
};

}

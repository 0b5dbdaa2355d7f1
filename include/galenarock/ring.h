#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>

#include <boost/lockfree/queue.hpp>
#include <boost/lockfree/spsc_queue.hpp>

namespace Galenarock
{

/// Bounded ring between one producer thread and one consumer thread.
///
/// A full ring rejects the element; the producer sheds, counts and logs, and never blocks.
/// Example: `if (!ring.tryPush(std::move(event))) { metrics.count(ringFull); }`
template<typename T> class Ring
{
public:
    explicit Ring(std::size_t capacity)
        : m_queue(capacity)
    {
    }

    /// False when the ring is full; the element is then dropped and counted in rejected().
    bool tryPush(T value)
    {
        if (m_queue.push(std::move(value))) {
            return true;
        }
        m_rejected.fetch_add(1, std::memory_order_relaxed);
        return false;
    }

    bool tryPop(T &value)
    {
        return m_queue.pop(value);
    }

    /// True when the consumer has taken every element. Exact only on the consumer's thread.
    bool isEmpty()
    {
        return m_queue.read_available() == 0;
    }

    /// Number of elements that a full ring rejected since the start.
    std::uint64_t rejected() const
    {
        return m_rejected.load(std::memory_order_relaxed);
    }

private:
    boost::lockfree::spsc_queue<T> m_queue;
    std::atomic<std::uint64_t> m_rejected{0};
};

}

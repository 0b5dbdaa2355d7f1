#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include <galenarock/base.h>

/// The bound on what callers make this VM hold, over all workers (docs/design/caller-memory.md).
namespace Galenarock
{

/// Fixed costs of a connection and of a request, beside their buffers: objects, headers, buffers of libcurl.
inline constexpr std::size_t ConnectionCostBytes = 4'096;
inline constexpr std::size_t ExchangeCostBytes = 16'384;
/// A connection that holds no more counts as ordinary.
inline constexpr std::size_t OrdinaryHolderBytes = 65'536;
/// Larger buffers are freed when they are empty.
inline constexpr std::size_t KeptBufferBytes = 4'096;

struct CallerBounds
{
    /// Bytes that all callers may hold together.
    std::size_t bytes = SIZE_MAX;
    /// Bytes that the holders beyond OrdinaryHolderBytes may have together; the rest is kept for ordinary requests.
    std::size_t largeBytes = SIZE_MAX;
    /// Connections of callers.
    std::size_t connections = SIZE_MAX;

    friend bool operator==(const CallerBounds &a, const CallerBounds &b)
    {
        return a.bytes == b.bytes && a.largeBytes == b.largeBytes && a.connections == b.connections;
    }
};

/// The limits for a VM with this much memory and this many descriptors.
CallerBounds callerBounds(std::int64_t memoryMb, std::int64_t maxDescriptors);

/// Counts what callers' connections hold. Thread-safe.
class CallerBudget
{
public:
    explicit CallerBudget(const CallerBounds &limits)
        : m_limits(limits)
    {
    }

    const CallerBounds &limits() const
    {
        return m_limits;
    }
    std::size_t bytes() const
    {
        return m_bytes.load(std::memory_order_relaxed);
    }
    /// Whether holders must end.
    bool isExceeded() const
    {
        return isExceededByAll() || m_largeBytes.load(std::memory_order_relaxed) > m_limits.largeBytes;
    }
    /// Whether holders must end also if they are ordinary.
    bool isExceededByAll() const
    {
        return bytes() > m_limits.bytes;
    }

    /// What one connection holds.
    class Share
    {
    public:
        /// Without a budget nothing is counted.
        explicit Share(std::shared_ptr<CallerBudget> budget)
            : m_budget(std::move(budget))
        {
        }
        ~Share()
        {
            set(0);
        }
        Share(const Share &) = delete;
        Share &operator=(const Share &) = delete;

        void set(std::size_t bytes);
        std::size_t bytes() const
        {
            return m_bytes;
        }

    private:
        const std::shared_ptr<CallerBudget> m_budget;
        std::size_t m_bytes = 0;
    };

private:
    const CallerBounds m_limits;
    std::atomic<std::size_t> m_bytes{0};
    std::atomic<std::size_t> m_largeBytes{0};
};

/// A connection that may be ended for its memory.
struct CallerHolder
{
    std::size_t bytes = 0;
    /// When the caller last sent or took bytes; the present time if nothing is expected of it.
    Instant progressAt{};
};

/// Index of the holder that ends first: the one with the most bytes, weighted with the time since its last progress.
std::optional<std::size_t> firstToEnd(Instant now, const std::vector<CallerHolder> &holders);

/// Finds bodies that arrive too slowly. A caller that sends a few bytes per second is in time.
class BodyProgress
{
public:
    /// Time in which a body must progress by at least MinBytes.
    static constexpr Duration Window = seconds(10);
    static constexpr std::size_t MinBytes = 16;

    void received(std::size_t n)
    {
        m_bytes += n;
    }
    /// Call often. Whether the body of the request that is being received has made too little progress; time in which
    /// the caller has nothing to send does not count.
    bool isStalled(Instant now, bool isWaitingForBody);

private:
    std::optional<Instant> m_since;
    std::size_t m_bytes = 0;
};

}

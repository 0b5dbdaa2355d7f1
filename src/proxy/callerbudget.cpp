#include "callerbudget_p.h"

#include <algorithm>

namespace Galenarock
{

namespace
{
constexpr std::int64_t Megabyte = 1 << 20;
/// Resident memory of a gateway in ordinary service is about 20 MB.
constexpr std::int64_t ProcessBytes = 24 * Megabyte;
constexpr std::int64_t MinCallerBytes = 4 * Megabyte;
/// The other half is for what the allocator cannot reuse, libcurl, and reads of one pass of the event loop.
constexpr std::int64_t CallerShareDivisor = 2;
constexpr std::int64_t FileDescriptors = 200;
/// Each request may need a connection to a server.
constexpr std::int64_t DescriptorsPerCaller = 2;
/// Without a bound a connection that has long been idle and holds little would end before a large body.
constexpr Duration LongestIdleWeight = seconds(10);

std::size_t largeBytesOf(std::size_t bytes)
{
    return bytes > OrdinaryHolderBytes ? bytes : 0;
}
}

CallerBounds callerBounds(std::int64_t memoryMb, std::int64_t maxDescriptors)
{
    CallerBounds limits;
    const auto available = (memoryMb * Megabyte - ProcessBytes) / CallerShareDivisor;
    limits.bytes = static_cast<std::size_t>(std::max(MinCallerBytes, available));
    limits.largeBytes = limits.bytes / 4 * 3;
    limits.connections =
        static_cast<std::size_t>(std::max<std::int64_t>(1, (maxDescriptors - FileDescriptors) / DescriptorsPerCaller));
    return limits;
}

void CallerBudget::Share::set(std::size_t bytes)
{
    if (!m_budget || bytes == m_bytes) {
        return;
    }
    // Unsigned differences wrap, and the sums come out right.
    m_budget->m_bytes.fetch_add(bytes - m_bytes, std::memory_order_relaxed);
    m_budget->m_largeBytes.fetch_add(largeBytesOf(bytes) - largeBytesOf(m_bytes), std::memory_order_relaxed);
    m_bytes = bytes;
}

std::optional<std::size_t> firstToEnd(Instant now, const std::vector<CallerHolder> &holders)
{
    const auto score = [now](const CallerHolder &it) {
        const std::chrono::duration<double> idle = std::clamp(now - it.progressAt, Duration::zero(), LongestIdleWeight);
        return static_cast<double>(it.bytes) * (1 + idle.count());
    };
    const auto last =
        std::max_element(holders.begin(), holders.end(),
                         [&](const CallerHolder &a, const CallerHolder &b) { return score(a) < score(b); });
    return last == holders.end() ? std::nullopt : std::optional(static_cast<std::size_t>(last - holders.begin()));
}

bool BodyProgress::isStalled(Instant now, bool isWaitingForBody)
{
    if (!isWaitingForBody) {
        m_since.reset();
        return false;
    }
    if (!m_since) {
        m_since = now;
        m_bytes = 0;
        return false;
    }
    if (now - *m_since < Window) {
        return false;
    }
    const bool isStalled = m_bytes < MinBytes;
    m_since = now;
    m_bytes = 0;
    return isStalled;
}

}

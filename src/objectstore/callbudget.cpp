#include <galenarock/storeclient.h>

#include <algorithm>

namespace Galenarock
{

namespace
{
/// Share of a bucket's capacity that a priority must leave for the more urgent one, by CallPriority.
constexpr std::array<double, 4> ReservedShares{0, 0.25, 0, 0.5};
/// Calls per second that all daemons together may start after an outage, by CallPriority. The sum stays below the
/// platform's 2,000 reads per second.
constexpr std::array<double, 4> RestartCallsPerSecond{500, 300, 300, 100};
constexpr std::uint32_t MaxBackOffExponent = 16;
/// Minimum capacity of a bucket in calls. At rates far below one per second, a smaller bucket could never hold the one
/// call that is needed on top of a reserve of 50%.
constexpr double MinBucketCapacity = 2;

std::size_t indexOf(CallPriority priority)
{
    return static_cast<std::size_t>(priority);
}

Duration secondsToDuration(double n)
{
    return duration_cast<Duration>(std::chrono::duration<double>(n));
}
}

CallBudget::CallBudget(CallBudgetSettings settings)
    : m_settings(settings)
    , m_random(settings.seed)
{
    setDaemonCount(1);
    for (auto &it : m_buckets) {
        it.tokens = capacity(it);
    }
}

void CallBudget::setDaemonCount(std::size_t count)
{
    m_daemonCount = std::max<std::size_t>(count, 1);
    const auto share = m_settings.usableShare / static_cast<double>(m_daemonCount);
    m_buckets[0].rate = m_settings.urgentPerSecond;
    m_buckets[1].rate = m_settings.urgentPerSecond;
    m_buckets[2].rate = std::clamp(m_settings.platformReadsPerSecond * share, m_settings.minimumReadsPerSecond,
                                   m_settings.maximumReadsPerSecond);
    m_buckets[3].rate = std::clamp(m_settings.platformWritesPerSecond * share, m_settings.minimumWritesPerSecond,
                                   m_settings.maximumWritesPerSecond);
}

double CallBudget::capacity(const Bucket &bucket) const
{
    return std::max(bucket.rate * m_settings.burstSeconds, MinBucketCapacity);
}

void CallBudget::refill(Bucket &bucket, Instant now) const
{
    const auto elapsed = std::chrono::duration<double>(now - bucket.updatedAt).count();
    bucket.updatedAt = now;
    bucket.tokens = std::min(bucket.tokens + std::max(elapsed, 0.0) * bucket.rate, capacity(bucket));
}

bool CallBudget::mayProbe(Instant now) const
{
    return !m_isProbing && now >= m_blockedUntil;
}

bool CallBudget::tryTake(Instant now, CallPriority priority, CallType type)
{
    if (isInOutage() ? !mayProbe(now) : now < m_startAt[indexOf(priority)]) {
        return false;
    }
    const std::size_t first = priority <= CallPriority::Grant ? 0 : 2;
    auto &bucket = m_buckets[first + static_cast<std::size_t>(type)];
    refill(bucket, now);
    if (bucket.tokens < 1 + ReservedShares[indexOf(priority)] * capacity(bucket)) {
        return false;
    }
    // Each call costs a random 0.5 to 1.5 tokens, so that daemons whose buckets ran empty together don't stay in step.
    bucket.tokens -= 0.5 + uniform();
    m_isProbing = isInOutage();
    return true;
}

double CallBudget::uniform()
{
    // std::uniform_real_distribution is not used, because its sequence differs between standard libraries.
    return static_cast<double>(m_random() >> 11) * 0x1.0p-53;
}

Duration CallBudget::nextBackOff()
{
    // During an outage every daemon probes the platform. With many daemons the back-off grows further, so that the
    // probes alone stay below the platform's capacity.
    const auto longest = std::max(m_settings.longestBackOff,
                                  secondsToDuration(static_cast<double>(m_daemonCount) / RestartCallsPerSecond[0]));
    const auto exponent = std::min(m_failures, MaxBackOffExponent);
    const auto delay = std::min<Duration>(m_settings.firstBackOff * (1U << exponent), longest);
    return secondsToDuration(std::chrono::duration<double>(delay).count() * (0.5 + uniform()));
}

Duration CallBudget::restartWindow(CallPriority priority) const
{
    const auto n = indexOf(priority);
    return std::max(m_settings.shortestRestartWindows[n],
                    secondsToDuration(static_cast<double>(m_daemonCount) / RestartCallsPerSecond[n]));
}

void CallBudget::finish(Instant now, bool isAnswered)
{
    m_isProbing = false;
    if (!isAnswered) {
        if (isInOutage() && now < m_blockedUntil) {
            return; // calls that were in flight together count as one failure
        }
        ++m_failures;
        m_blockedUntil = now + nextBackOff();
        return;
    }
    if (!isInOutage()) {
        return;
    }
    m_failures = 0;
    for (std::size_t n = 0; n < m_startAt.size(); ++n) {
        const auto window = std::chrono::duration<double>(restartWindow(static_cast<CallPriority>(n))).count();
        m_startAt[n] = now + secondsToDuration(window * uniform());
    }
}

}

#include <galenarock/admission.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace Galenarock
{

namespace
{
double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}
}

TokenBucket::TokenBucket(double rate, Duration burst)
    : m_rate(rate)
    , m_burst(burst)
    , m_tokens(capacity())
{
}

double TokenBucket::capacity() const
{
    return std::max(1.0, m_rate * toSeconds(m_burst));
}

void TokenBucket::refill(Instant now)
{
    if (now > m_refilledAt) {
        m_tokens = std::min(capacity(), m_tokens + m_rate * toSeconds(now - m_refilledAt));
        m_refilledAt = now;
    }
}

void TokenBucket::setRate(Instant now, double rate)
{
    refill(now);
    const bool wasUnlimited = m_rate <= 0;
    m_rate = rate;
    m_tokens = wasUnlimited ? capacity() : std::min(m_tokens, capacity());
}

bool TokenBucket::tryTake(Instant now)
{
    if (m_rate <= 0) {
        return true;
    }
    refill(now);
    if (m_tokens < 1) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

Duration TokenBucket::untilNext(Instant now)
{
    if (m_rate <= 0) {
        return Duration::zero();
    }
    refill(now);
    return duration_cast<Duration>(std::chrono::duration<double>(std::max(0.0, 1 - m_tokens) / m_rate));
}

RecentUseGuard::RecentUseGuard(GuardSettings settings, std::optional<Instant> since)
    : m_settings(settings)
    , m_windowStart(since)
{
}

void RecentUseGuard::setSettings(const GuardSettings &settings)
{
    m_settings = settings;
}

double RecentUseGuard::cap() const
{
    if (m_settings.surge <= 0 || m_pastWindows.empty()) {
        return std::numeric_limits<double>::infinity();
    }
    double busiest = 0;
    for (const auto &it : m_pastWindows) {
        busiest = std::max(busiest, it.requests);
    }
    const double floor = m_settings.floorPerSecond * toSeconds(m_settings.window);
    // At least one request per window, since a cap of zero could never rise again.
    return std::max({1.0, floor, m_settings.surge * busiest});
}

double RecentUseGuard::burst() const
{
    double peak = 0;
    for (const auto &it : m_pastWindows) {
        peak = std::max(peak, it.peak);
    }
    return std::max({1.0, m_settings.floorPerSecond, m_settings.surge * peak});
}

void RecentUseGuard::advance(Instant now)
{
    if (!m_windowStart) {
        m_windowStart = now;
    }
    const auto passed = (now - *m_windowStart) / m_settings.window;
    if (passed <= 0) {
        return;
    }
    *m_windowStart += passed * m_settings.window;
    // Windows without traffic are added as empty, but no more of them than are needed to replace all kept ones.
    const auto n = std::min<std::int64_t>(passed, m_settings.windows + 1);
    for (std::int64_t i = 0; i < n; ++i) {
        m_pastWindows.push_back(m_currentWindow);
        m_currentWindow = Window();
    }
    while (m_pastWindows.size() > m_settings.windows) {
        m_pastWindows.pop_front();
    }
}

void RecentUseGuard::refill(Instant now)
{
    const double rate = cap() / toSeconds(m_settings.window);
    if (std::isinf(rate)) {
        return;
    }
    // m_refilledAt starts at the clock's epoch, so the first refill fills the bucket.
    m_tokens = std::min(burst(), m_tokens + rate * toSeconds(now - m_refilledAt));
    m_refilledAt = now;
}

std::optional<Duration> RecentUseGuard::admit(Instant now)
{
    advance(now);
    refill(now);
    const double limit = cap();
    if (m_currentWindow.requests + 1 > limit) {
        return *m_windowStart + m_settings.window - now;
    }
    if (!std::isinf(limit) && m_tokens < 1) {
        const double rate = limit / toSeconds(m_settings.window);
        return std::chrono::ceil<milliseconds>(std::chrono::duration<double>((1 - m_tokens) / rate));
    }
    m_tokens -= std::isinf(limit) ? 0 : 1;
    if (now - m_secondStart >= seconds(1)) {
        m_secondStart = now;
        m_requestsInSecond = 0;
    }
    m_requestsInSecond += 1;
    m_currentWindow.requests += 1;
    m_currentWindow.peak = std::max(m_currentWindow.peak, m_requestsInSecond);
    return {};
}

CallerGuards::CallerGuards(GuardSettings settings)
    : m_settings(settings)
{
}

void CallerGuards::setSettings(const GuardSettings &settings)
{
    if (settings == m_settings) {
        return;
    }
    m_settings = settings;
    for (auto &it : m_callers) {
        it.second.guard.setSettings(settings);
    }
}

void CallerGuards::evictLeastRecentlySeen()
{
    const auto it = std::min_element(m_callers.begin(), m_callers.end(),
                                     [](const auto &a, const auto &b) { return a.second.seenAt < b.second.seenAt; });
    m_callers.erase(it);
}

std::optional<Duration> CallerGuards::admit(Instant now, std::uint64_t caller)
{
    if (!m_since) {
        m_since = now;
    }
    if (m_settings.surge <= 0) {
        return {};
    }
    auto it = m_callers.find(caller);
    if (it == m_callers.end()) {
        if (m_callers.size() >= maxCallers) {
            evictLeastRecentlySeen();
        }
        it = m_callers.emplace(caller, Caller{RecentUseGuard(m_settings, m_since), now}).first;
    }
    it->second.seenAt = now;
    return it->second.guard.admit(now);
}

double CallerGuards::cap(std::uint64_t caller) const
{
    const auto it = m_callers.find(caller);
    return it == m_callers.end() ? std::numeric_limits<double>::infinity() : it->second.guard.cap();
}

}

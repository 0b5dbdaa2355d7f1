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

RecentUseGuard::RecentUseGuard(GuardSettings settings)
    : m_settings(settings)
{
}

void RecentUseGuard::setSettings(const GuardSettings &settings)
{
    m_settings = settings;
}

double RecentUseGuard::cap() const
{
    if (m_settings.surge <= 0 || m_past.empty()) {
        return std::numeric_limits<double>::infinity();
    }
    const double busiest = *std::max_element(m_past.begin(), m_past.end());
    // One request per window at least; a cap of zero could never rise again.
    const double floor = std::max(1.0, m_settings.floorPerSecond * toSeconds(m_settings.window));
    return std::max(floor, m_settings.surge * busiest);
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
    // Windows without traffic count as empty; more than are remembered need not be added.
    const auto n = std::min<std::int64_t>(passed, m_settings.windows + 1);
    for (std::int64_t i = 0; i < n; ++i) {
        m_past.push_back(i == 0 ? m_present : 0);
        m_present = 0;
    }
    while (m_past.size() > m_settings.windows) {
        m_past.pop_front();
    }
}

std::optional<Duration> RecentUseGuard::admit(Instant now)
{
    advance(now);
    if (m_present + 1 > cap()) {
        return *m_windowStart + m_settings.window - now;
    }
    m_present += 1;
    return {};
}

}

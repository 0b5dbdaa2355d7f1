#include <galenarock/shedthrottle.h>

#include <algorithm>
#include <cmath>

namespace Galenarock
{

namespace
{
/// Covers several requests where a large fleet shares the load of one server.
constexpr double HalfLifeSeconds = 0.7;
/// Requests that are sent for each one that was taken; above 1, so that a server that gets faster is noticed.
constexpr double SentPerTaken = 1.5;
constexpr double HighestShare = 0.9;
/// A server that was not asked for this long gets the next request, so that a key with few requests is served again.
constexpr Duration AskInterval = seconds(1);
/// Refusals that may be chance.
constexpr double FreeRefusals = 1;
}

double ShedThrottle::weight(Instant now) const
{
    const double age = std::chrono::duration<double>(now - m_updatedAt).count();
    return std::exp2(-std::max(0.0, age) / HalfLifeSeconds);
}

void ShedThrottle::decay(Instant now)
{
    const double factor = weight(now);
    m_offered *= factor;
    m_taken *= factor;
    m_updatedAt = now;
}

void ShedThrottle::throttled(Instant now)
{
    decay(now);
    m_offered += 1;
}

void ShedThrottle::refused(Instant now)
{
    throttled(now);
    m_askedAt = now;
}

void ShedThrottle::accepted(Instant now)
{
    refused(now);
    m_taken += 1;
}

void ShedThrottle::reset()
{
    m_offered = 0;
    m_taken = 0;
}

double ShedThrottle::throttleProbability(Instant now) const
{
    if (now - m_askedAt >= AskInterval) {
        return 0;
    }
    const double factor = weight(now);
    const double excess = (m_offered - SentPerTaken * m_taken) * factor - FreeRefusals;
    return std::clamp(excess / (m_offered * factor + 1), 0.0, HighestShare);
}

}

#include <galenarock/shedthrottle.h>

#include <algorithm>
#include <cmath>

namespace Galenarock
{

namespace
{
/// Half-life of the counts. Long enough to cover several requests per daemon when many daemons share the load of one
/// server.
constexpr double HalfLifeSeconds = 0.7;
/// Requests that are sent for each accepted one. Above 1, so that a growing capacity of the server is detected.
constexpr double SentPerAccepted = 1.5;
/// Upper bound of the throttle probability, so that some requests still probe the server.
constexpr double MaxThrottleProbability = 0.9;
/// Without an answer for this long, the next request is sent unthrottled, so that a key with few requests recovers too.
constexpr Duration ProbeInterval = seconds(1);
/// Number of refusals that is attributed to chance and does not throttle.
constexpr double ToleratedRefusals = 1;
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
    m_accepted *= factor;
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
    m_lastAnswerAt = now;
}

void ShedThrottle::accepted(Instant now)
{
    refused(now);
    m_accepted += 1;
}

void ShedThrottle::reset()
{
    m_offered = 0;
    m_accepted = 0;
}

double ShedThrottle::throttleProbability(Instant now) const
{
    if (now - m_lastAnswerAt >= ProbeInterval) {
        return 0;
    }
    const double factor = weight(now);
    const double excess = (m_offered - SentPerAccepted * m_accepted) * factor - ToleratedRefusals;
    return std::clamp(excess / (m_offered * factor + 1), 0.0, MaxThrottleProbability);
}

}

#pragma once

#include <galenarock/base.h>

/// Client-side throttling of requests that an overloaded server would refuse.
namespace Galenarock
{

/// Adaptive throttle of one daemon's requests for one server. Counts the requests of the last seconds, sent or
/// throttled, and how many of them the server accepted.
///
/// A key has one owner, so its requests cannot be sent to another server when the owner is full. Sending all of them
/// would only lengthen the owner's queue and use up its connections. A part of them is refused immediately instead, and
/// the refusal states when to retry.
///
/// Example: `if (random < throttle.throttleProbability(now)) { throttle.throttled(now); } else { send(); }`
class ShedThrottle
{
public:
    /// Records a request that the server refused.
    void refused(Instant now);
    /// Records a request that was not sent.
    void throttled(Instant now);
    /// Records a request that the server accepted.
    void accepted(Instant now);
    /// Discards the counts. Call when the server reports free slots, since earlier refusals then say nothing about its
    /// load.
    void reset();
    /// Share of requests that should not be sent now, 0 to 0.9. The remaining requests are sent to detect when the
    /// server has free capacity again.
    double throttleProbability(Instant now) const;

    friend bool operator==(const ShedThrottle &a, const ShedThrottle &b)
    {
        return a.m_offered == b.m_offered && a.m_accepted == b.m_accepted && a.m_updatedAt == b.m_updatedAt
            && a.m_lastAnswerAt == b.m_lastAnswerAt;
    }

private:
    void decay(Instant now);
    double weight(Instant now) const;

    double m_offered = 0;
    double m_accepted = 0;
    Instant m_updatedAt{};
    /// Time of the last acceptance or refusal by the server.
    Instant m_lastAnswerAt{};
};

}

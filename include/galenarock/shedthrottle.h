#pragma once

#include <galenarock/base.h>

/// Holds requests back that a full server would refuse.
namespace Galenarock
{

/// Requests of one daemon for one server, sent or held back, and how many of them the server took, over the last
/// seconds.
///
/// A key has one owner, so that its requests cannot go elsewhere when the owner is full. Sending all of them would only
/// lengthen the owner's queue and use up its connections; a part is refused at once instead, and callers learn when to
/// return.
///
/// Example: `if (random < throttle.throttleProbability(now)) { throttle.throttled(now); } else { send(); }`
class ShedThrottle
{
public:
    /// The server refused a request.
    void refused(Instant now);
    /// A request was not sent.
    void throttled(Instant now);
    void accepted(Instant now);
    /// The server has free slots: what it refused before does not count any more.
    void reset();
    /// 0 to 0.9: the share of requests that should not be sent now. The rest shows when the server has room again.
    double throttleProbability(Instant now) const;

    friend bool operator==(const ShedThrottle &a, const ShedThrottle &b)
    {
        return a.m_offered == b.m_offered && a.m_taken == b.m_taken && a.m_updatedAt == b.m_updatedAt
            && a.m_askedAt == b.m_askedAt;
    }

private:
    void decay(Instant now);
    double weight(Instant now) const;

    double m_offered = 0;
    double m_taken = 0;
    Instant m_updatedAt{};
    /// Last answer of the server.
    Instant m_askedAt{};
};

}

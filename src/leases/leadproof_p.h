#pragma once

#include <galenarock/leases.h>

namespace Galenarock
{

/// Evidence of a leader that no other daemon has taken the lead unheard.
///
/// Another daemon takes it only after it has not heard this one for LeaseSettings::takeoverAfter, so evidence is valid
/// for less than that. It comes from the store, or from the load reports that other daemons send to the leader. Reports
/// count after they have come for two announcement intervals, within which a new leader would have been heard: those
/// that waited in a connection during a partition arrive at its end. They count only while servers accept the renewals
/// of this leader, since a new one grants all ranges again at once and the servers then refuse this one: the daemons
/// that report may be cut off together with it.
class LeadProof
{
public:
    explicit LeadProof(const LeaseSettings &settings)
        : m_lifetime(settings.takeoverAfter - settings.announceEvery)
        , m_settleTime(2 * settings.announceEvery)
        , m_acceptedLifetime(settings.renewEvery + settings.sendWithin)
    {
    }

    /// The store has confirmed the lead in its response to a call that was sent at this time.
    void confirmed(Instant sentAt)
    {
        m_confirmedAt = std::max(m_confirmedAt, sentAt);
    }
    /// A server has accepted a grant of this leader.
    void accepted(Instant now)
    {
        m_acceptedAt = now;
    }
    /// Another daemon has reported to this leader.
    void reported(Instant now)
    {
        if (now >= m_acceptedAt + m_acceptedLifetime) {
            return;
        }
        m_reportsSince = now < m_reportedAt + m_lifetime ? m_reportsSince : now;
        m_reportedAt = now;
    }
    /// Until when the evidence is valid; in the past if there is none.
    Instant validUntil() const
    {
        const bool areReportsValid = m_reportedAt - m_reportsSince >= m_settleTime;
        return std::max(m_confirmedAt, areReportsValid ? m_reportedAt : Instant()) + m_lifetime;
    }
    /// Call when the lead is taken: earlier evidence concerns another epoch.
    void reset()
    {
        m_confirmedAt = {};
        m_reportedAt = {};
        m_reportsSince = {};
        m_acceptedAt = {};
    }

private:
    Duration m_lifetime;
    Duration m_settleTime;
    Duration m_acceptedLifetime;
    Instant m_confirmedAt{};
    Instant m_reportedAt{};
    Instant m_reportsSince{};
    Instant m_acceptedAt{};
};

}

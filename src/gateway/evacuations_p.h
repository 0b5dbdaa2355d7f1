#pragma once

#include <map>
#include <string>
#include <vector>

#include <galenarock/base.h>
#include <galenarock/leases.h>

namespace Galenarock
{

/// Failure domains of which the operator asks that no request be sent to their servers. Does no I/O; the caller passes
/// the time.
///
/// Servers of balanced services get no requests from the start of an evacuation. The ranges of keyed services have
/// until a part of the bound has passed to move to other servers; those that are left then are not routed any more.
/// What is known stays in force while the store does not answer.
class Evacuations
{
public:
    /// `bound`: time from the acceptance by the store after which no request may be sent to the domain; zero when the
    /// platform has no evacuations.
    explicit Evacuations(Duration bound)
        : m_bound(bound)
    {
    }

    bool isOn() const
    {
        return m_bound > Duration::zero();
    }
    /// Whether all evacuations in progress are known; always so without the feature.
    bool isKnown() const
    {
        return !isOn() || m_isSynced;
    }
    /// Each returns whether anything has changed.
    bool begin(Instant now, const std::string &domain);
    bool end(const std::string &domain);
    /// Call when all objects of the kind have been passed to begin() or end().
    bool synced();
    /// Call on each tick. True when the time of a domain's ranges to move has passed.
    bool update(Instant now);

    bool isEvacuated(const std::string &domain) const
    {
        return m_domains.count(domain) > 0;
    }
    /// Sorted.
    std::vector<std::string> domains() const;
    /// The domains whose ranges are not routed any more. Sorted.
    std::vector<std::string> closedDomains() const;
    /// Marks the servers of evacuated domains. They count as leaving as well, so that they get no ranges, unless no
    /// other server is left.
    std::vector<LeaseServer> mark(std::vector<LeaseServer> servers) const;

private:
    struct Domain
    {
        Instant closesAt{};
        bool isClosed = false;
    };
    Duration m_bound;
    bool m_isSynced = false;
    std::map<std::string, Domain> m_domains;
};

}

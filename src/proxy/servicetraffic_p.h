#pragma once

#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include <galenarock/admission.h>
#include <galenarock/keyloads.h>
#include <galenarock/loadreport.h>
#include <galenarock/metrics.h>
#include <galenarock/retry.h>
#include <galenarock/routing.h>
#include <galenarock/serverchoice.h>

#include "pendingrequest_p.h"

namespace Galenarock
{

/// What one worker keeps for one service: counters, queue, retry budget and the observations of its servers.
class ServiceTraffic
{
public:
    ServiceTraffic(Metrics &metrics, const ServiceDocument &document);
    /// For deployments with a route table: servers are chosen by expected time, retries have a fixed allowance.
    void useExpectedDelay(const std::string &localDomain, double retryPercent, double retryAllowance);

    /// Adopts a newer snapshot or another number of live daemons; cheap when neither changed.
    void refresh(Instant now, const std::shared_ptr<const RoutingSnapshot> &snapshot, std::uint32_t liveWorkers);

    /// Server for one attempt: the owner for a keyed service, else by policy. A reason when there is none now.
    Owner choose(Instant now, const PendingRequest &request);
    /// Requests that may run at once on the servers that can take this one.
    std::uint32_t concurrency(Instant now, ServerIndex owner);
    /// Whether this daemon may start one more attempt at `server`.
    bool hasRoom(ServerIndex server) const;

    Counter &refusals(Reason reason)
    {
        return *m_refusals[static_cast<std::size_t>(reason)];
    }
    Counter &retries(Reason reason)
    {
        return *m_retries[static_cast<std::size_t>(reason)];
    }

    Counter &newRequests;
    Counter &answered;
    Counter &attempts;
    Counter &repeated;
    LatencyHistogram &latency;
    ServerObservations observations;
    Admission admission;
    RetryBudget budget;
    LoadCounter load;
    KeyLoadCounter keyLoad;
    /// Service times that the leader was told, by server.
    std::map<Identity, double> reportedServiceSeconds;
    /// Positions whose key had no owner, and since when.
    std::unordered_map<KeyHash, Instant> unownedSince;
    /// Requests in the admission queue by ticket.
    std::unordered_map<std::uint64_t, std::shared_ptr<PendingRequest>> queued;

    std::shared_ptr<const RoutingSnapshot> snapshot;
    const ServiceRoute *route = nullptr;

private:
    std::uint32_t m_liveWorkers = 1;
    ServerChoicePolicy m_policy;
    /// Retries of the whole deployment, divided among the daemons; 0 where there is no fixed allowance.
    double m_retryPercent = 0;
    double m_retryAllowance = 0;
    std::mt19937_64 m_random;
    std::vector<Counter *> m_refusals;
    std::vector<Counter *> m_retries;
};

}

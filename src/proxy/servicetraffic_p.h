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
#include <galenarock/serverpauses.h>
#include <galenarock/sharedserverlimits.h>
#include <galenarock/silence.h>

#include "pendingrequest_p.h"

namespace Galenarock
{

/// What servers state of themselves that may keep a request from them; null where it does not matter.
struct ServerConditions
{
    SharedServerLimits *limits = nullptr;
    SharedServerPauses *pauses = nullptr;
};

/// State of one service in one worker: metrics, admission queue, retry budget and server observations.
class ServiceTraffic
{
public:
    ServiceTraffic(Metrics &metrics, const ServiceDocument &document);
    /// Chooses servers by expected delay and adds a fixed allowance to the retry budget. For deployments with a route
    /// table.
    void useExpectedDelay(const std::string &localDomain, double retryPercent, double retryAllowance);

    /// Call before the first refresh().
    void setSlowStart(SlowStart slowStart);
    /// Updates the state to a new snapshot or number of live workers; cheap when neither has changed.
    void refresh(Instant now, const std::shared_ptr<const RoutingSnapshot> &snapshot, std::uint32_t liveWorkers);

    /// Server for one attempt: the owner of the key for a keyed service, otherwise chosen by the policy. The result has
    /// a reason other than None when there is no such server now.
    /// Servers are left out that `conditions` keep from the request now; when no other one is left, the reason is
    /// ServerRate or ServerPaused.
    Owner choose(Instant now, const PendingRequest &request, const ServerConditions &conditions = {});
    /// When the first server that pauses wants requests again; `now` if none pauses.
    Instant firstPauseEnd(Instant now, SharedServerPauses &pauses) const;
    /// Number of requests that may run concurrently at `owner`, or at all servers if it is noServer.
    std::uint32_t concurrency(Instant now, ServerIndex owner);
    /// Whether this worker may start another attempt at `server`.
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
    /// Attempts without any byte of an answer after the bound, at servers that go silent when full: cancelled for
    /// another attempt, and those that go on.
    Counter &silentCancelled;
    Counter &silentWaiting;
    LatencyHistogram &latency;
    ServerObservations observations;
    Admission admission;
    RetryBudget budget;
    LoadCounter load;
    KeyLoadCounter keyLoad;
    SilenceWatch silence;
    /// Service times last reported to the leader, by server.
    std::map<Identity, double> reportedServiceSeconds;
    /// Key positions without an owner, with the time at which this was first seen.
    std::unordered_map<KeyHash, Instant> unownedSince;
    /// Requests in the admission queue by ticket.
    std::unordered_map<std::uint64_t, std::shared_ptr<PendingRequest>> queued;

    std::shared_ptr<const RoutingSnapshot> snapshot;
    const ServiceRoute *route = nullptr;

private:
    /// Marks the servers as not eligible whose stated rate is used up for requests of this priority, or that pause.
    /// Returns why the last one was; None if none was.
    Reason leaveOut(Instant now, const PendingRequest &request, const ServerConditions &conditions,
                    std::vector<ServerView> &views) const;
    /// Leaves out servers with a rate as long as there are others. Cold servers look idle, so after a domain has
    /// recovered a request would ask one after the other for a permit.
    void leaveOutLimited(SharedServerLimits &limits, std::vector<ServerView> &views) const;

    /// Starts the pace of servers anew that have become cold.
    void noteColdServers(Instant now, SharedServerLimits &limits);
    /// Counts and logs the paces, at most once in PaceInterval.
    void reportPaces(Instant now);

    SlowStart m_slowStart = SlowStart::Linear;
    std::uint64_t m_coldRevision = 0;
    /// When the cold servers that were last listed will be warm.
    std::map<Identity, Instant> m_coldUntil;
    Instant m_nextPaceReportAt{};
    PaceCounts m_reportedPaces;
    /// Indexed as the numbers of PaceCounts.
    std::vector<Counter *> m_paceCounters;
    std::uint32_t m_liveWorkers = 0;
    /// The observations have a list of servers.
    bool m_hasServers = false;
    ServerChoicePolicy m_policy;
    /// Retry limits of the whole deployment; the allowance is divided among the live workers, 0 means none.
    double m_retryPercent = 0;
    double m_retryAllowance = 0;
    std::mt19937_64 m_random;
    std::vector<Counter *> m_refusals;
    std::vector<Counter *> m_retries;
};

}

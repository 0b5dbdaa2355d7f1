#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include <galenarock/proxy.h>

#include "pendingrequest_p.h"
#include "servicetraffic_p.h"

namespace Galenarock
{

/// Handles the requests of one worker thread.
///
/// The stages of a request: classification, body, request ledger (non-repeatable requests only), admission queue,
/// attempts, outcome.
class RequestHandler
{
public:
    RequestHandler(ProxyShared &shared, UpstreamClient &upstream);

    void handleRequest(const std::shared_ptr<Exchange> &exchange);
    /// Whether a request may run beside the ones before it on its connection: its route is idempotent.
    bool mayRunAhead(const Exchange &exchange) const;
    /// Resumes paused bodies, starts delayed attempts and dispatches queued requests. Call once per iteration of the
    /// event loop.
    void run(Instant now);
    /// Closes the connections of all requests without a complete response, before the listener is destroyed.
    void dropAll();

private:
    using Pending = std::shared_ptr<PendingRequest>;
    struct DelayedAttempt
    {
        Instant at;
        Pending request;
    };

    // classification
    Refusal classify(PendingRequest &request, const Exchange &exchange);
    Refusal classifyKey(PendingRequest &request, const Exchange &exchange) const;
    Refusal classifyBody(PendingRequest &request, const Exchange &exchange) const;
    Refusal classifyId(PendingRequest &request, const Exchange &exchange) const;
    void collectHeaders(PendingRequest &request, const Exchange &exchange) const;
    ServiceTraffic *traffic(std::string_view service, const std::shared_ptr<const RoutingSnapshot> &snapshot);

    // deployments with a route table (routedrequests.cpp)
    Refusal classifyRouted(PendingRequest &request, const Exchange &exchange);
    void collectRoutedHeaders(PendingRequest &request, const Exchange &exchange) const;
    Refusal classifyRoutedBody(PendingRequest &request, const Exchange &exchange) const;
    void receiveRoutedBody(const Pending &request);
    void admitRouted(const Pending &request);
    void dispatchRouted(const Pending &request);
    void sendRouted(const Pending &request, ServerIndex server);
    /// Keeps a request whose key has no owner, or refuses it when no owner is expected in time.
    void waitForOwner(const Pending &request, Reason reason);
    std::vector<std::string> makeRoutedHeaders(const PendingRequest &request) const;
    void reportServerRefusal(const PendingRequest &request, unsigned status, const ResponseInfo &info) const;
    void reportMismatch(const PendingRequest &request, unsigned status, const std::string &id) const;
    bool handleRoutedHead(const Pending &request, unsigned status, std::vector<HeaderField> headers);
    void handleRoutedDone(const Pending &request, const AttemptResult &result);
    Duration ownerFullDelay(const PendingRequest &request, Reason reason, const AttemptResult &result);
    bool startStreaming(const Pending &request);
    static bool mayCollect(const PendingRequest &request, std::size_t n);
    // requests through other VMs (relaying.cpp)
    /// Reads whether another VM relays the request, and what it tells.
    void readRelay(PendingRequest &request, const Exchange &exchange) const;
    bool mayRelay(const PendingRequest &request) const;
    /// Relays or refuses the request if this VM reaches no server; false if it does, or the request may try.
    bool dispatchWithoutServers(const Pending &request);
    /// Relays a request for which no connection to its server could be opened; false if that is of no use.
    bool relayAfterFailedConnection(const Pending &request);
    bool relay(const Pending &request, std::string_view why);
    void addRelayHeaders(const PendingRequest &request, std::vector<std::string> &lines) const;
    static bool readRelayRefusal(PendingRequest &request, const std::vector<HeaderField> &headers);
    static void addRelayOutcome(const PendingRequest &request, const Refusal &refusal,
                                std::vector<HeaderField> &headers);
    /// Another VM could not connect to the server either.
    void noteServerDown(const Identity &server);
    void handleRelayDone(const Pending &request, const AttemptResult &result);
    // servers that refuse and want no further request for a while
    void notePause(const PendingRequest &request, const ResponseInfo &info);
    void refuseForPause(const Pending &request, Instant until);
    // servers that state a request rate (permits.cpp)
    /// Whether the request may be sent to the server now. Otherwise it waits for a permit, goes to another server, or
    /// is refused.
    bool hasPermit(const Pending &request, ServerIndex server);
    /// Acts on an answer about a permit; true if the request may be sent now.
    bool takePermit(const Pending &request, const Identity &server, const Permit &permit);
    void refuseByRate(const Pending &request);
    /// Longest time that the request can wait for its turn at a server and still be answered in time.
    Duration longestPermitWait(const PendingRequest &request, ServerIndex server) const;
    /// Continues the requests whose questions for a permit have been answered.
    void continuePermitted();
    /// Tells the issuer of a cold server's permits how the server answers.
    void observeColdAnswer(const PendingRequest &request, AttemptEnd end, Duration latency);
    /// Mean latency of the answers of the service's other servers, in seconds; 0 when there are none.
    static double meanLatencyOfPeers(Instant now, const PendingRequest &request);
    /// Records the request rate that a response states. That it states none counts only in an answer of the addressed
    /// server, not in a refusal or a defective response.
    void observeRate(const PendingRequest &request, unsigned status, const ResponseInfo &info);
    /// Random number from 0 to 1, 1 excluded.
    double uniform();
    Refusal routedRefusal(const PendingRequest &request, Refusal refusal);
    void respondRefusal(const PendingRequest &request, const Refusal &refusal);
    void runRouted();
    void reportKeyLoads();
    void refuseExpired();

    /// Whether the request may run for longer than this VM, which is stopping.
    bool mayOutlastVm(const PendingRequest &request) const;
    void refuseForStop(const Pending &request);
    // servers that go silent when they are full (silentattempts.cpp)
    /// Records the first byte of a server's answer.
    void noteFirstByte(const PendingRequest &request);
    /// Records an attempt that has ended at its deadline without any byte of an answer.
    void noteUnanswered(const PendingRequest &request);
    /// Finds the attempts that have received nothing for longer than the bound of their service.
    void checkSilences();
    bool isBeyondBound(PendingRequest &request) const;
    void handleSilence(const Pending &request);
    /// Whether another server may run the request after this one was silent.
    bool mayRunElsewhere(const PendingRequest &request);
    /// Takes the retry of a silent attempt from the plan and the budget, and returns its delay; empty if there is none.
    std::optional<Duration> takeRetryOfSilent(PendingRequest &request);

    // callers that have left (leftcallers.cpp)
    /// Whether the caller closed its connection, or its end of it, without waiting for the answer.
    static bool hasCallerLeft(const PendingRequest &request);
    /// Refuses a request that holds too many bytes or whose body stalls; an attempt in flight is cancelled.
    void giveWay(const Pending &request, std::string_view cause);
    bool mayCancel(const PendingRequest &request) const;
    void cancelAttempt(const Pending &request);
    void leaveQueue(const Pending &request);
    /// Ends a request whose caller has left: it is not sent, and an attempt in flight is cancelled unless its outcome
    /// must be recorded.
    void abandon(const Pending &request);

    // body and admission
    void receiveBody(const Pending &request);
    void receiveGrant(const Pending &request);
    void bodyReady(const Pending &request);
    void admit(const Pending &request);
    void dispatchQueued(ServiceTraffic &traffic);
    bool mayDispatch(ServiceTraffic &traffic, const AdmissionRequest &entry);
    void dropQueued(ServiceTraffic &traffic, const std::vector<DroppedRequest> &dropped);

    // request ledger
    /// Returns false when the request already has an outcome.
    bool checkLedger(const Pending &request);
    void sendRecordedResponse(const Pending &request, const RecordedResponse &response);
    void recordOutcome(PendingRequest &request, const Refusal &refusal);

    // attempts
    void dispatch(const Pending &request);
    /// Enters the attempt in UncheckedPools if the owner does not check grants. Returns false when this daemon may not
    /// send to such a server now.
    bool enterUnchecked(const Pending &request);
    void startAttempt(const Pending &request, const std::string &url);
    AttemptHooks makeHooks(const Pending &request);
    std::vector<std::string> makeHeaders(const PendingRequest &request, Instant now) const;
    std::size_t readBody(PendingRequest &request, char *out, std::size_t n) const;

    // responses and outcomes
    bool handleHead(const Pending &request, unsigned status, std::vector<HeaderField> headers);
    DataResult handleData(const Pending &request, const char *bytes, std::size_t n);
    void handleDone(const Pending &request, const AttemptResult &result);
    /// Reason for which an attempt has no response that can be passed on.
    static Reason failureOf(const PendingRequest &request, const AttemptResult &result);
    void recordAttempt(PendingRequest &request, const AttemptResult &result, Reason reason);
    void noteReach(const PendingRequest &request, const AttemptResult &result);
    void reportLostConnection(const PendingRequest &request);
    void reportSilence(const PendingRequest &request);
    void retryOrRefuse(const Pending &request, const Refusal &refusal, const AttemptResult &result);
    void handleExchangeEnd(const Pending &request, bool complete);
    void answer(const Pending &request);
    void refuse(const Pending &request, const Refusal &refusal);
    void cutResponse(const Pending &request, const std::string &error);
    void finish(const Pending &request);
    void traceAccepted(PendingRequest &request) const;
    void traceOutcome(const PendingRequest &request, Outcome outcome, Reason reason) const;
    void scheduleResume(const Pending &request, bool isPaused);
    static void withRequest(const std::weak_ptr<PendingRequest> &weak,
                            const std::function<void(const Pending &)> &body);

    void reportLoad(Instant now);

    ProxyShared &m_shared;
    UpstreamClient &m_upstream;
    std::unordered_map<std::string, std::unique_ptr<ServiceTraffic>> m_traffic;
    /// Refusal counters for requests without a service, indexed by Reason.
    std::vector<Counter *> m_unroutedRefusals;
    /// Requests without an outcome, and those whose exchange with the caller has not ended.
    std::unordered_set<Pending> m_active;
    std::vector<Pending> m_toResume;
    std::vector<DelayedAttempt> m_delayed;
    /// Requests that wait until their key has an owner.
    std::vector<Pending> m_waitingForOwner;
    struct PermitQuestion
    {
        std::uint64_t number;
        Identity server;
        Pending request;
    };
    std::vector<PermitQuestion> m_waitingForPermit;
    /// Servers to which another VM could not connect either, and until when no request for them is relayed.
    std::map<Identity, Instant> m_unreachableServers;
    /// Snapshot as of the last run; a newer one triggers a retry of m_waitingForOwner.
    std::shared_ptr<const RoutingSnapshot> m_retriedSnapshot;
    std::mt19937_64 m_random;
    Instant m_nextExpiryCheck{};
    Instant m_lastSilenceCheck{};
    std::uint64_t m_nextTicket = 1;
    Instant m_now{};
    Instant m_nextSweep{};
    Instant m_nextLoad{};
};

}

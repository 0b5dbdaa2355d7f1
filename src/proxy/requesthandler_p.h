#pragma once

#include <functional>
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

/// Decides and carries out what happens to each request of one worker thread.
///
/// A request passes through: classification, body, request ledger (non-repeatable), admission queue, attempts, outcome.
class RequestHandler
{
public:
    RequestHandler(ProxyShared &shared, UpstreamClient &upstream);

    void handleRequest(const std::shared_ptr<Exchange> &exchange);
    /// Continues paused bodies, delayed attempts and queues; called once for each turn of the event loop.
    void run(Instant now);

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
    /// Keeps a request whose key has no owner now, or refuses it when that will last.
    void waitForOwner(const Pending &request, Reason reason);
    std::vector<std::string> makeRoutedHeaders(const PendingRequest &request) const;
    bool handleRoutedHead(const Pending &request, unsigned status, std::vector<HeaderField> headers);
    void handleRoutedDone(const Pending &request, const AttemptResult &result);
    void startStreaming(const Pending &request);
    double uniform();
    Refusal routedRefusal(const PendingRequest &request, Refusal refusal);
    void respondRefusal(const PendingRequest &request, const Refusal &refusal);
    void runRouted();
    void reportKeyLoads();
    void dropDisconnected();
    void refuseExpired();

    // body and admission
    void receiveBody(const Pending &request);
    void receiveGrant(const Pending &request);
    void bodyReady(const Pending &request);
    void admit(const Pending &request);
    void dispatchQueued(ServiceTraffic &traffic);
    bool mayDispatch(ServiceTraffic &traffic, const AdmissionRequest &request);
    void dropQueued(ServiceTraffic &traffic, const std::vector<DroppedRequest> &dropped);

    // request ledger
    /// False when the request already has its outcome.
    bool checkLedger(const Pending &request);
    void sendRecordedResponse(const Pending &request, const RecordedResponse &response);
    void recordOutcome(PendingRequest &request, const Refusal &refusal);

    // attempts
    void dispatch(const Pending &request);
    /// False when this daemon may not send to the owner now, a server that does not check grants.
    bool enterUnchecked(const Pending &request);
    void startAttempt(const Pending &request, const std::string &url);
    AttemptHooks makeHooks(const Pending &request);
    std::vector<std::string> makeHeaders(const PendingRequest &request, Instant now) const;
    std::size_t readBody(PendingRequest &request, char *out, std::size_t n) const;

    // responses and outcomes
    bool handleHead(const Pending &request, unsigned status, std::vector<HeaderField> headers);
    bool handleData(const Pending &request, const char *bytes, std::size_t n);
    void handleDone(const Pending &request, const AttemptResult &result);
    /// Why an attempt gave no complete response.
    static Reason failureOf(const PendingRequest &request, const AttemptResult &result);
    void recordAttempt(PendingRequest &request, const AttemptResult &result, Reason reason);
    void reportLostConnection(const PendingRequest &request);
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
    /// Refusals of requests whose service is not known.
    std::vector<Counter *> m_unroutedRefusals;
    /// Every request until it has its outcome and its connection has finished with it.
    std::unordered_set<Pending> m_active;
    std::vector<Pending> m_toResume;
    std::vector<DelayedAttempt> m_delayed;
    /// Requests whose key has no owner now.
    std::vector<Pending> m_waitingForOwner;
    std::shared_ptr<const RoutingSnapshot> m_retriedSnapshot;
    std::mt19937_64 m_random;
    Instant m_nextDisconnectCheck{};
    std::uint64_t m_nextTicket = 1;
    Instant m_now{};
    Instant m_nextSweep{};
    Instant m_nextLoad{};
};

}

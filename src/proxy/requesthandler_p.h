#pragma once

#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include <galenarock/metrics.h>
#include <galenarock/proxy.h>

#include "pendingrequest_p.h"

namespace Galenarock
{

/// What one worker keeps for one service: counters and the state of the request cores.
class ServiceTraffic
{
public:
    ServiceTraffic(Metrics &metrics, const std::string &service);

    Counter &refusals(Reason reason)
    {
        return *m_refusals[static_cast<std::size_t>(reason)];
    }
    Counter &retries(Reason reason)
    {
        return *m_retries[static_cast<std::size_t>(reason)];
    }
    Counter &answered;
    Counter &lateAnswers;
    LatencyHistogram &latency;
    ServerIndex nextServer = 0;

private:
    std::vector<Counter *> m_refusals;
    std::vector<Counter *> m_retries;
};

/// Decides and carries out what happens to each request of one worker thread.
class RequestHandler
{
public:
    RequestHandler(ProxyShared &shared, UpstreamClient &upstream);

    void handleRequest(const std::shared_ptr<Exchange> &exchange);
    /// Continues bodies that wait for buffer space; called once for each turn of the event loop.
    void run(Instant now);

private:
    using Pending = std::shared_ptr<PendingRequest>;

    /// Fills in the request's parts; Reason::None when it can be dispatched.
    Refusal classify(PendingRequest &request, const Exchange &exchange) const;
    Refusal classifyId(PendingRequest &request, const Exchange &exchange) const;
    void receiveBody(const Pending &request);
    void dispatch(const Pending &request);
    Owner chooseServer(PendingRequest &request) const;
    void startAttempt(const Pending &request);
    AttemptHooks makeHooks(const Pending &request);
    std::vector<std::string> makeHeaders(const PendingRequest &request, Instant now) const;
    std::size_t readBody(PendingRequest &request, char *out, std::size_t n) const;
    void handleHead(const Pending &request, unsigned status, std::vector<HeaderField> headers);
    bool handleData(const Pending &request, const char *bytes, std::size_t n);
    void handleDone(const Pending &request, const AttemptResult &result);
    bool mayTryAgain(const PendingRequest &request, const Refusal &refusal) const;
    void handleGone(const Pending &request, bool complete);
    void answer(const Pending &request);
    void refuse(const Pending &request, const Refusal &refusal);
    void finish(const Pending &request);
    void scheduleResume(const Pending &request, bool isPaused);
    static void withRequest(const std::weak_ptr<PendingRequest> &weak,
                            const std::function<void(const Pending &)> &body);
    ServiceTraffic &traffic(const std::string &service);

    ProxyShared &m_shared;
    UpstreamClient &m_upstream;
    std::unordered_map<std::string, std::unique_ptr<ServiceTraffic>> m_traffic;
    /// Every request until it has its outcome and its connection has finished with it.
    std::unordered_set<Pending> m_active;
    std::vector<Pending> m_toResume;
    Instant m_now;
};

}

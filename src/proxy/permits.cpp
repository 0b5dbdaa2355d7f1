#include <algorithm>

#include <fmt/format.h>

#include "requesthandler_p.h"

/// Requests to servers that state a request rate for all daemons together.
namespace Galenarock
{

namespace
{
/// Longest wait for a turn at a server, and its share of the route's latency target. The server needs the rest.
constexpr Duration MaxPermitWait = milliseconds(300);
constexpr double PermitWaitShare = 0.4;
/// A permit that is not used within this time after its turn is given up, so that permits saved up during a stall of
/// this daemon do not reach the server at once.
constexpr Duration PermitLifetime = milliseconds(250);
/// Refusals by permit after which a request no longer tries other servers.
constexpr std::uint32_t MaxPermitRefusals = 3;
}

void RequestHandler::observeRate(const PendingRequest &request, unsigned status, const ResponseInfo &info)
{
    if (info.isOtherServer) {
        return;
    }
    const bool isAnswer = status < 300 && !info.isNotRun && info.id == request.requestId;
    if (info.requestsPerSecond || isAnswer) {
        m_shared.serverLimits().observe(m_now, request.serverIdentity, info.requestsPerSecond);
    }
}

void RequestHandler::observeColdAnswer(const PendingRequest &request, AttemptEnd end, Duration latency)
{
    auto &limits = m_shared.serverLimits();
    if (limits.coldServers() == 0 || !limits.isLimited(request.serverIdentity)) {
        return;
    }
    PaceSigns signs;
    const double seconds = std::chrono::duration<double>(latency).count();
    switch (end) {
    case AttemptEnd::Answered:
        (isSlowAnswer(seconds, meanLatencyOfPeers(m_now, request)) ? signs.slow : signs.good) = 1;
        break;
    case AttemptEnd::Shed:
        signs.refused = 1;
        break;
    case AttemptEnd::Silent:
    case AttemptEnd::Failed:
        signs.silent = 1;
        break;
    case AttemptEnd::NotReady:
    case AttemptEnd::Cancelled:
        return;
    }
    limits.observeAnswer(m_now, request.serverIdentity, signs);
}

double RequestHandler::meanLatencyOfPeers(Instant now, const PendingRequest &request)
{
    double sum = 0;
    std::size_t answered = 0;
    for (const auto &it : request.traffic->observations.views(now)) {
        if (it.server == request.server || it.latencySeconds <= 0) {
            continue;
        }
        sum += it.latencySeconds;
        ++answered;
    }
    return answered == 0 ? 0 : sum / static_cast<double>(answered);
}

Duration RequestHandler::longestPermitWait(const PendingRequest &request, ServerIndex server) const
{
    auto limit = MaxPermitWait;
    if (request.rule->latencyTargetMs > 0) {
        limit = std::min(limit, duration_cast<Duration>(PermitWaitShare * milliseconds(request.rule->latencyTargetMs)));
    }
    const auto view = request.traffic->observations.view(m_now, server);
    const std::chrono::duration<double> service(view.serviceSeconds);
    return std::clamp(request.deadline - m_now - duration_cast<Duration>(service), Duration(), limit);
}

bool RequestHandler::hasPermit(const Pending &request, ServerIndex server)
{
    auto &limits = m_shared.serverLimits();
    if (!limits.hasLimits()) {
        return true;
    }
    const auto &identity = request->traffic->route->servers()[server].identity;
    const auto permit = std::exchange(request->permit, std::nullopt);
    if (permit && permit->server == identity && m_now >= permit->from && m_now <= permit->until) {
        return true;
    }
    const auto decision = limits.ask(m_now, identity, request->rule->priority, longestPermitWait(*request, server));
    switch (decision.state) {
    case PermitState::NotNeeded:
        return true;
    case PermitState::Pending:
        m_waitingForPermit.push_back({decision.number, identity, request});
        return false;
    case PermitState::Granted:
    case PermitState::Refused:
        break;
    }
    return takePermit(request, identity, {decision.state == PermitState::Granted, decision.delay});
}

bool RequestHandler::takePermit(const Pending &request, const Identity &server, const Permit &permit)
{
    if (permit.isGranted) {
        const auto from = m_now + permit.delay;
        request->permit = {server, from, from + PermitLifetime};
        if (permit.delay > Duration()) {
            m_delayed.push_back({from, request});
            return false;
        }
        request->permit.reset();
        return true;
    }
    request->permitWait = std::min(request->permitWait, permit.delay);
    const bool isKeyed = request->traffic->route->document().distribution == Distribution::Keyed;
    if (isKeyed || ++request->permitRefusals >= MaxPermitRefusals) {
        request->serverIdentity = server;
        refuseByRate(request);
    } else {
        dispatchRouted(request); // ServiceTraffic::choose() leaves out this server for a while
    }
    return false;
}

void RequestHandler::refuseByRate(const Pending &request)
{
    const auto wait = request->permitWait == Duration::max() ? Duration() : request->permitWait;
    refuse(request,
           routedRefusal(*request,
                         {Reason::ServerRate, Outcome::NotRun, {}, std::chrono::ceil<milliseconds>(wait).count()}));
}

void RequestHandler::continuePermitted()
{
    const auto questions = std::move(m_waitingForPermit);
    m_waitingForPermit.clear();
    for (const auto &it : questions) {
        const auto permit = m_shared.serverLimits().takeOutcome(it.number);
        if (!permit) {
            m_waitingForPermit.push_back(it);
            continue;
        }
        if (it.request->finished || it.request->attempt) {
            continue;
        }
        if (!permit->isGranted) {
            takePermit(it.request, it.server, *permit);
            continue;
        }
        const auto from = m_now + permit->delay;
        it.request->permit = {it.server, from, from + PermitLifetime};
        m_delayed.push_back({from, it.request});
    }
}

}

#include <algorithm>

#include <fmt/format.h>

#include "events_p.h"
#include "requesthandler_p.h"

/// Attempts at servers that never answer a request that they cannot queue (docs/design/silent-servers.md).
namespace Galenarock
{

namespace
{
constexpr Duration SilenceCheckInterval = milliseconds(10);
/// After a longer gap between two checks this thread has been suspended, and answers may have arrived unread.
constexpr Duration MaxCheckGap = milliseconds(200);

QueueMet queueMet(const PendingRequest &request)
{
    return {request.outstandingAtStart, request.slotsAtStart};
}

SilentAttempt silentAttempt(const PendingRequest &request, bool hasEnded)
{
    return {request.serverIdentity, request.awaitingSince, queueMet(request), hasEnded};
}

bool isKeyed(const PendingRequest &request)
{
    return request.traffic->route->document().distribution == Distribution::Keyed;
}
}

void RequestHandler::noteFirstByte(const PendingRequest &request)
{
    const auto now = MonotonicClock::now();
    const bool isAwaited = request.awaitingSince != Instant();
    const bool reportsQueue = request.load && request.load->inFlight + request.load->queued >= request.load->slots;
    request.traffic->silence.answered(now, request.serverIdentity, queueMet(request),
                                      now - (isAwaited ? request.awaitingSince : request.attemptStartedAt),
                                      reportsQueue);
}

void RequestHandler::noteUnanswered(const PendingRequest &request)
{
    if (!request.isSilent) {
        return;
    }
    auto &silence = request.traffic->silence;
    const bool wasShown = silence.isShown(m_now);
    silence.silent(m_now, silentAttempt(request, true));
    if (!wasShown && silence.isShown(m_now)) {
        logEvent(
            Events::SilenceShown,
            "service {}: {} attempts ended without an answer within {} s, at servers that had a queue and answered "
            "other requests meanwhile, the last at {}",
            request.traffic->route->document().service, SilenceWatch::signsToShow,
            duration_cast<seconds>(SilenceWatch::signWindow).count(), request.serverIdentity.name);
    }
}

void RequestHandler::checkSilences()
{
    const auto gap = m_now - m_lastSilenceCheck;
    if (gap < SilenceCheckInterval) {
        return;
    }
    m_lastSilenceCheck = m_now;
    if (gap > MaxCheckGap) {
        return;
    }
    std::vector<Pending> silent;
    for (const auto &it : m_active) {
        if (isBeyondBound(*it)) {
            silent.push_back(it);
        }
    }
    for (const auto &it : silent) {
        handleSilence(it);
    }
}

bool RequestHandler::isBeyondBound(PendingRequest &request) const
{
    const bool isAtServer = request.rule && request.attempt && request.server != noServer;
    if (!isAtServer || request.isSilent || !UpstreamClient::isAwaitingAnswer(request.attempt)) {
        return false;
    }
    if (request.awaitingSince == Instant()) {
        request.awaitingSince = m_now;
    }
    const auto waited = m_now - request.awaitingSince;
    if (waited < SilenceWatch::minBound) {
        return false;
    }
    const auto bound = request.traffic->silence.bound(queueMet(request));
    return bound && waited >= *bound;
}

void RequestHandler::handleSilence(const Pending &request)
{
    auto &traffic = *request->traffic;
    request->isSilent = true;
    traffic.silence.silent(m_now, silentAttempt(*request, false));
    if (!traffic.silence.isShown(m_now)) {
        return;
    }
    const auto delay = takeRetryOfSilent(*request);
    logEvent(Events::AttemptSilent, "request {}: nothing from {} for {} ms, {} outstanding when it was sent; {}",
             request->requestId, request->serverIdentity.name,
             duration_cast<milliseconds>(m_now - request->awaitingSince).count(), request->outstandingAtStart,
             delay ? "cancelled for another attempt" : "waiting");
    if (!delay) {
        request->isSilenceCounted = true;
        traffic.observations.silent(m_now, request->handle);
        traffic.silentWaiting.add();
        return;
    }
    m_upstream.cancel(request->attempt); // closes its connection
    request->attempt = nullptr;
    request->sendingPaused = false;
    request->receivingPaused = false;
    ++request->sentAttempts;
    AttemptResult result;
    result.sent = true;
    recordAttempt(*request, result, Reason::ServerSilent);
    traffic.silentCancelled.add();
    traffic.retries(Reason::ServerSilent).add();
    m_delayed.push_back({m_now + *delay, request});
}

bool RequestHandler::mayRunElsewhere(const PendingRequest &request)
{
    if (!request.idempotent || isKeyed(request) || mayOutlastVm(request) || hasCallerLeft(request)) {
        return false;
    }
    const auto &tried = request.plan->triedServers();
    const auto &servers = request.traffic->route->servers();
    const auto &views = request.traffic->observations.views(m_now);
    return std::any_of(views.begin(), views.end(), [&](const ServerView &it) {
        if (!it.eligible || std::find(tried.begin(), tried.end(), it.server) != tried.end()) {
            return false;
        }
        const auto &identity = servers[it.server].identity;
        return identity != request.serverIdentity && m_shared.serverPauses().pausedUntil(m_now, identity) <= m_now;
    });
}

std::optional<Duration> RequestHandler::takeRetryOfSilent(PendingRequest &request)
{
    if (!mayRunElsewhere(request)) {
        return {};
    }
    AttemptReport report;
    report.reason = Reason::ServerSilent;
    report.server = request.server;
    report.bodyAvailable = !request.streamsBody;
    const auto &observations = request.traffic->observations;
    const std::chrono::duration<double> service(observations.view(m_now, request.server).serviceSeconds);
    auto plan = *request.plan; // the attempt goes on if there is no retry
    const auto decision =
        plan.failed(m_now, report, request.traffic->budget, duration_cast<Duration>(service), m_random());
    if (!decision.shouldRetry) {
        return {};
    }
    request.plan = plan;
    return decision.delay;
}

}

#include <algorithm>

#include <fmt/format.h>

#include "events_p.h"
#include "headerfields_p.h"
#include "requesthandler_p.h"

/// The second half of a request's life: the server's response, further attempts, and the one outcome.
namespace Galenarock
{

namespace
{
std::vector<HeaderField> refusalHeaders(const Refusal &refusal)
{
    std::vector<HeaderField> headers{{"Content-Type", "application/json"},
                                     {"Galenarock-Outcome", std::string(toString(refusal.outcome))},
                                     {"Galenarock-Reason", std::string(reasonInfo(refusal.reason).code)}};
    const auto status = reasonInfo(refusal.reason).httpStatus;
    if (status == 429 || status == 503) {
        headers.push_back({"Retry-After", std::to_string(std::max<std::int64_t>(1, (refusal.untilMs + 999) / 1000))});
    }
    return headers;
}

/// What a failed attempt means for the caller if no further attempt is made.
Refusal refusalOf(const PendingRequest &request, const AttemptResult &result)
{
    if (request.serverRefusal != Reason::None) {
        return {request.serverRefusal, Outcome::NotRun, {}, 0};
    }
    if (!result.sent) {
        return {Reason::ConnectFailed, Outcome::NotRun, result.error, 0};
    }
    const auto reason = result.timedOut ? Reason::DeadlinePassed
        : request.responseStatus != 0   ? Reason::ResponseCut
                                        : Reason::ConnectionLost;
    return {reason, Outcome::Unknown, result.error, 0};
}
}

void RequestHandler::handleHead(const Pending &request, unsigned status, std::vector<HeaderField> headers)
{
    request->responseStatus = status;
    if (fieldOf(headers, "Galenarock-Outcome") == toString(Outcome::NotRun)) {
        const auto reason = reasonFromCode(fieldOf(headers, "Galenarock-Reason"));
        request->serverRefusal = reason == Reason::None ? Reason::ServerShed : reason;
        return;
    }
    const auto length = parseNumber(fieldOf(headers, "Content-Length"));
    for (auto &it : headers) {
        if (isHopByHop(it.name) || equalsIgnoreCase(it.name, "Content-Length")) {
            continue;
        }
        request->responseHeaders.push_back(std::move(it));
    }
    const bool hasBody = request->method != "HEAD" && status != 204 && status != 304;
    if (!hasBody || (length && *length <= CollectedResponseBytes)) {
        return;
    }
    request->streamsResponse = true;
    const std::weak_ptr<PendingRequest> weak = request;
    request->exchange->onResponseDrained = [this, weak] {
        withRequest(weak, [&](const Pending &it) { scheduleResume(it, it->receivingPaused); });
    };
    request->exchange->startResponse(status, std::move(request->responseHeaders), length);
}

bool RequestHandler::handleData(const Pending &request, const char *bytes, std::size_t n)
{
    if (request->serverRefusal != Reason::None) {
        return true;
    }
    if (!request->streamsResponse) {
        request->responseBody.append(bytes, n);
        return true;
    }
    if (request->exchange->appendResponse(bytes, n)) {
        return true;
    }
    request->receivingPaused = true;
    return false;
}

void RequestHandler::handleDone(const Pending &request, const AttemptResult &result)
{
    m_now = MonotonicClock::now();
    request->attempt = nullptr;
    request->sendingPaused = false;
    request->receivingPaused = false;
    if (result.resendStopped) {
        logEvent(Events::ResendStopped, "service {} server {}", request->route->document().service,
                 request->route->servers()[request->server].identity.name);
    }
    if (result.complete && request->serverRefusal == Reason::None) {
        answer(request);
        return;
    }
    const auto refusal = refusalOf(*request, result);
    if (request->streamsResponse) {
        logEvent(Events::ResponseCut, "service {}: {}", request->route->document().service, result.error);
        request->traffic->refusals(Reason::ResponseCut).add();
        request->exchange->abortResponse();
        finish(request);
        return;
    }
    if (mayTryAgain(*request, refusal)) {
        request->traffic->retries(refusal.reason).add();
        dispatch(request);
        return;
    }
    refuse(request, refusal);
}

bool RequestHandler::mayTryAgain(const PendingRequest &request, const Refusal &refusal) const
{
    if (refusal.outcome != Outcome::NotRun && !request.idempotent) {
        return false;
    }
    const bool bodyIsGone = request.streamsBody && request.bodyReceived > 0;
    return !bodyIsGone && request.attempts < request.route->document().retry.maxAttempts && m_now < request.deadline;
}

void RequestHandler::answer(const Pending &request)
{
    request->traffic->answered.add();
    request->traffic->latency.record(std::chrono::duration<double>(m_now - request->arrivedAt).count());
    if (request->streamsResponse) {
        request->exchange->finishResponse();
    } else {
        request->exchange->respond(request->responseStatus, std::move(request->responseHeaders),
                                   std::move(request->responseBody));
    }
    finish(request);
}

void RequestHandler::refuse(const Pending &request, const Refusal &refusal)
{
    if (request->traffic) {
        request->traffic->refusals(refusal.reason).add();
    } else {
        traffic("").refusals(refusal.reason).add();
    }
    logEvent(Events::RequestRefused, "{} {}: {} {}", request->method, request->exchange->target(),
             reasonInfo(refusal.reason).code, refusal.detail);
    request->exchange->respond(reasonInfo(refusal.reason).httpStatus, refusalHeaders(refusal),
                               toJsonText(refusal) + "\n");
    finish(request);
}

void RequestHandler::finish(const Pending &request)
{
    if (request->finished) {
        return;
    }
    request->finished = true;
    m_shared.inFlight().fetch_sub(1, std::memory_order_relaxed);
    if (request->exchange->isCallerGone()) {
        m_active.erase(request);
    }
}

void RequestHandler::handleGone(const Pending &request, bool)
{
    if (request->finished) {
        m_active.erase(request);
        return;
    }
    if (request->attempt && (request->idempotent || request->streamsBody)) {
        m_upstream.cancel(request->attempt);
        request->attempt = nullptr;
    }
    if (!request->attempt) {
        finish(request);
    }
}

void RequestHandler::scheduleResume(const Pending &request, bool isPaused)
{
    if (isPaused && request->attempt) {
        m_toResume.push_back(request);
    }
}

void RequestHandler::run(Instant now)
{
    m_now = now;
    const auto list = std::move(m_toResume);
    m_toResume.clear();
    for (const auto &it : list) {
        if (!it->attempt) {
            continue;
        }
        it->sendingPaused = false;
        it->receivingPaused = false;
        m_upstream.resume(it->attempt);
    }
}

}

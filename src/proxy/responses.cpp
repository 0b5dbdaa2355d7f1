#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "events_p.h"
#include "headerfields_p.h"
#include "requesthandler_p.h"

/// Handles the response of the server, retries, and the outcome of a request.
namespace Galenarock
{

namespace
{
constexpr std::size_t MaxDiscardedBytes = 65'536;
/// Retry-After of a request that gave way: by then the bodies that hold the memory have ended or stalled.
constexpr std::int64_t GiveWayRetryMs = 1'000;

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

/// Maps the reason code of a refusal by a server or another daemon.
Reason reasonFromServer(std::string_view code, bool reportedUnknown)
{
    if (code == "deadline") {
        return reportedUnknown ? Reason::DeadlinePassed : Reason::DeadlineTooShort;
    }
    const auto reason = reasonFromCode(code);
    if (reason != Reason::None) {
        return reason;
    }
    return reportedUnknown ? Reason::ConnectionLost : Reason::ServerShed;
}

}

Reason RequestHandler::failureOf(const PendingRequest &request, const AttemptResult &result)
{
    if (request.defect != Reason::None) {
        return request.defect;
    }
    if (request.serverRefusal != Reason::None) {
        return request.serverRefusal;
    }
    if (!result.sent) {
        return request.isForLedgerOwner ? Reason::LedgerOwnerUnavailable : Reason::ConnectFailed;
    }
    if (result.timedOut) {
        return Reason::DeadlinePassed;
    }
    return request.responseStatus != 0 ? Reason::ResponseCut : Reason::ConnectionLost;
}

namespace
{
AttemptEnd attemptEndOf(Reason reason, unsigned status)
{
    switch (reason) {
    case Reason::None:
        return status >= 500 ? AttemptEnd::Failed : AttemptEnd::Answered;
    case Reason::ServerShed:
    case Reason::DeadlineTooShort:
        return AttemptEnd::Shed;
    case Reason::ServerSilent:
        return AttemptEnd::Silent;
    case Reason::ServerCold:
    case Reason::ServerDraining:
    case Reason::NotOwner:
        return AttemptEnd::NotReady;
    default:
        return AttemptEnd::Failed;
    }
}
}

bool RequestHandler::handleHead(const Pending &request, unsigned status, std::vector<HeaderField> headers)
{
    request->responseStatus = status;
    if (request->rule) {
        return handleRoutedHead(request, status, std::move(headers));
    }
    request->reportedLoad = fieldOf(headers, "Galenarock-Load");
    const auto outcome = fieldOf(headers, "Galenarock-Outcome");
    if (outcome == toString(Outcome::NotRun) || outcome == toString(Outcome::Unknown)) {
        request->reportedUnknown = outcome == toString(Outcome::Unknown);
        request->serverRefusal = reasonFromServer(fieldOf(headers, "Galenarock-Reason"), request->reportedUnknown);
        return true;
    }
    const auto length = parseNumber(fieldOf(headers, "Content-Length"));
    for (auto &it : headers) {
        if (isHopByHop(it.name) || isInternal(it.name) || equalsIgnoreCase(it.name, "Content-Length")) {
            continue;
        }
        request->responseHeaders.push_back(std::move(it));
    }
    const bool hasBody = request->method != "HEAD" && status != 204 && status != 304;
    if (!hasBody || (length && *length <= CollectedResponseBytes)) {
        return true;
    }
    request->streamsResponse = true;
    const std::weak_ptr<PendingRequest> weak = request;
    request->exchange->onResponseDrained = [this, weak] {
        withRequest(weak, [&](const Pending &it) { scheduleResume(it, it->receivingPaused); });
    };
    request->exchange->startResponse(status, request->responseHeaders, length);
    return true;
}

/// Whether `n` more bytes of the response may be kept back from the caller. Without a route table only bodies with a
/// known length are, see handleHead().
bool RequestHandler::mayCollect(const PendingRequest &request, std::size_t n)
{
    const bool isShort = request.responseBody.size() + n <= CollectedResponseBytes;
    return !request.rule || (isShort && request.heldBody.hasRoom(n));
}

DataResult RequestHandler::handleData(const Pending &request, const char *bytes, std::size_t n)
{
    // The body of a response that is not passed on only matters because its end keeps the connection usable.
    if (request->serverRefusal != Reason::None || request->defect != Reason::None) {
        request->discardedBytes += n;
        return request->discardedBytes > MaxDiscardedBytes ? DataResult::Abort : DataResult::Taken;
    }
    if (!request->streamsResponse && mayCollect(*request, n)) {
        request->responseBody.append(bytes, n);
        request->heldBody.set(request->responseBody.size());
        return DataResult::Taken;
    }
    const bool isStreaming = request->streamsResponse || startStreaming(request);
    if (isStreaming && request->exchange->appendResponse(bytes, n)) {
        return DataResult::Taken;
    }
    request->receivingPaused = true;
    request->exchange->setBufferedBytes(request->body.capacity() + n); // libcurl keeps the bytes
    return DataResult::Pause;
}

void RequestHandler::handleDone(const Pending &request, const AttemptResult &result)
{
    m_now = MonotonicClock::now();
    request->attempt = nullptr;
    request->sendingPaused = false;
    request->receivingPaused = false;
    if (request->rule) {
        handleRoutedDone(request, result);
        return;
    }
    const bool isAnswer = result.complete && request->serverRefusal == Reason::None;
    const auto reason = isAnswer ? Reason::None : failureOf(*request, result);
    recordAttempt(*request, result, reason);
    if (isAnswer) {
        answer(request);
    } else if (request->streamsResponse) {
        cutResponse(request, result.error);
    } else if (request->reportedUnknown) {
        refuse(request, {request->serverRefusal, Outcome::Unknown, {}, 0});
    } else {
        retryOrRefuse(request, {reason, reasonInfo(reason).outcome, result.error, 0}, result);
    }
    dispatchQueued(*request->traffic);
}

void RequestHandler::recordAttempt(PendingRequest &request, const AttemptResult &result, Reason reason)
{
    if (result.resendStopped) {
        logEvent(Events::ResendStopped, "service {}: stopped libcurl from sending the same attempt twice to server {}",
                 request.traffic->route->document().service, request.serverIdentity.name);
    }
    if (request.server == noServer) {
        return;
    }
    if (request.uncheckedTicket != 0) {
        const bool mayStillRun = result.sent && !result.complete;
        m_shared.uncheckedPools().leave(std::exchange(request.uncheckedTicket, 0), mayStillRun);
    }
    if (reason != Reason::ServerSilent) { // full servers say nothing about whether this VM reaches them
        noteReach(request, result);
    }
    const auto latency = m_now - request.attemptStartedAt;
    const bool isCounted = request.isSilenceCounted && result.timedOut && request.responseStatus == 0;
    const auto end = isCounted ? AttemptEnd::Cancelled : attemptEndOf(reason, request.responseStatus);
    request.traffic->observations.finished(m_now, request.handle,
                                           {end, latency,
                                            request.rule ? request.load : parseReportedLoad(request.reportedLoad),
                                            request.outstandingAtStart});
    observeColdAnswer(request, attemptEndOf(reason, request.responseStatus), latency);
    if (reason == Reason::None) {
        request.traffic->admission.finished(m_now, latency);
    } else if (reason == Reason::ConnectionLost || reason == Reason::ResponseCut) {
        reportLostConnection(request);
    } else if (result.sent && request.responseStatus == 0) {
        reportSilence(request);
    }
}

/// The head of a response shows that this VM reaches the server, whatever the response says.
void RequestHandler::noteReach(const PendingRequest &request, const AttemptResult &result)
{
    if (request.responseStatus != 0) {
        m_shared.serverReach().answered(m_now);
        m_shared.suspects().answered(request.serverIdentity.name, request.serverIdentity.boot);
    } else if (!result.complete) {
        m_shared.serverReach().failed(m_now, request.serverIdentity);
    }
}

namespace
{
LostRequest lostRequest(const PendingRequest &request)
{
    return {request.fingerprint, request.caller, request.serverIdentity.name, request.serverIdentity.boot};
}
}

void RequestHandler::reportLostConnection(const PendingRequest &request)
{
    m_shared.suspects().connectionLost(m_now, lostRequest(request));
}

/// An attempt ended without an answer: its server may have crashed and its machine fallen silent. While this VM reaches
/// no server at all, silence says nothing about one.
void RequestHandler::reportSilence(const PendingRequest &request)
{
    if (!m_shared.serverReach().isCutOff()) {
        m_shared.suspects().unanswered(m_now, lostRequest(request));
    }
}

void RequestHandler::retryOrRefuse(const Pending &request, const Refusal &refusal, const AttemptResult &result)
{
    AttemptReport report;
    report.reason = refusal.reason;
    report.server = request->server;
    report.bytesSent = result.sent;
    report.reportedNotRun = request->serverRefusal != Reason::None;
    report.bodyAvailable = !request->streamsBody || request->bodyReceived == 0;
    auto &traffic = *request->traffic;
    const auto decision =
        request->plan->failed(m_now, report, traffic.budget, traffic.admission.serviceTime(m_now), request->ticket);
    if (!decision.shouldRetry || request->exchange->hasEnded()) {
        refuse(request, decision.refusal);
        return;
    }
    traffic.retries(refusal.reason).add();
    m_delayed.push_back({m_now + decision.delay, request});
}

void RequestHandler::answer(const Pending &request)
{
    request->traffic->answered.add();
    traceOutcome(*request, Outcome::Answered, Reason::None);
    request->traffic->latency.record(std::chrono::duration<double>(m_now - request->arrivedAt).count());
    m_shared.suspects().succeeded(m_now, request->fingerprint);
    if (request->inLedger) {
        RecordedResponse response{request->responseStatus, {}, request->responseBody};
        for (const auto &it : request->responseHeaders) {
            response.headers.emplace_back(it.name, it.value);
        }
        request->inLedger = false;
        m_shared.ledger().answered(*request->id, std::move(response));
    }
    if (request->streamsResponse) {
        request->exchange->finishResponse();
    } else {
        request->heldBody.set(0);
        request->exchange->respond(request->responseStatus, std::move(request->responseHeaders),
                                   std::move(request->responseBody));
    }
    finish(request);
}

void RequestHandler::cutResponse(const Pending &request, const std::string &error)
{
    logEvent(Events::ResponseCut, "service {}: aborting the response to the caller: {}",
             request->traffic->route->document().service, error);
    request->traffic->refusals(Reason::ResponseCut).add();
    recordOutcome(*request, {Reason::ResponseCut, Outcome::Unknown, {}, 0});
    traceOutcome(*request, Outcome::Unknown, Reason::ResponseCut);
    request->exchange->abortResponse();
    finish(request);
}

void RequestHandler::refuse(const Pending &request, const Refusal &refusal)
{
    auto &counter = request->traffic ? request->traffic->refusals(refusal.reason)
                                     : *m_unroutedRefusals[static_cast<std::size_t>(refusal.reason)];
    counter.add();
    traceOutcome(*request, refusal.outcome, refusal.reason);
    logEvent(Events::RequestRefused,
             "request {} {} {}: {} {}, {}, retry in {} ms, after {} ms, {} attempts, server {}, key position {}",
             request->requestId, request->method, request->exchange->target(), toString(refusal.outcome),
             reasonInfo(refusal.reason).code, refusal.detail, refusal.untilMs,
             duration_cast<milliseconds>(m_now - request->arrivedAt).count(),
             request->plan ? request->plan->attempts() : 0, request->serverIdentity.name, toHex(request->hash));
    recordOutcome(*request, refusal);
    if (m_shared.dialect()) {
        respondRefusal(*request, refusal);
    } else {
        request->exchange->respond(reasonInfo(refusal.reason).httpStatus, refusalHeaders(refusal),
                                   toJsonText(refusal) + "\n");
    }
    finish(request);
}

void RequestHandler::finish(const Pending &request)
{
    if (request->finished) {
        return;
    }
    request->finished = true;
    if (!request->attempt) {
        clearBuffer(request->body);
        request->exchange->setBufferedBytes(0);
    }
    m_shared.inFlight().fetch_sub(1, std::memory_order_relaxed);
    if (request->exchange->hasEnded()) {
        m_active.erase(request);
    }
}

void RequestHandler::leaveQueue(const Pending &request)
{
    if (request->isQueued) {
        request->traffic->admission.cancel(request->ticket);
        request->traffic->queued.erase(request->ticket);
        request->isQueued = false;
    }
}

/// A non-repeatable request in the ledger is not cancelled, unless it streams its body, so that its outcome can be
/// recorded for repeats. Neither is a request at a server that does not check grants: a cancelled one may still run and
/// would block moves until the server is gone.
bool RequestHandler::mayCancel(const PendingRequest &request) const
{
    const bool hasNoRecord = request.rule != nullptr;
    return (request.idempotent || request.streamsBody || hasNoRecord) && request.uncheckedTicket == 0;
}

void RequestHandler::cancelAttempt(const Pending &request)
{
    const bool isSilent = request->server != noServer && request->responseStatus == 0;
    if (isSilent && UpstreamClient::isSent(request->attempt)) {
        reportSilence(*request);
    }
    m_upstream.cancel(request->attempt);
    request->attempt = nullptr;
    if (request->server != noServer) {
        request->traffic->observations.finished(m_now, request->handle, {AttemptEnd::Cancelled, Duration(0), {}});
    }
}

void RequestHandler::giveWay(const Pending &request, std::string_view cause)
{
    if (request->finished) {
        return;
    }
    m_now = MonotonicClock::now();
    leaveQueue(request);
    const bool wasSent = request->attempt || (request->plan && request->plan->mayHaveRun());
    if (request->attempt) {
        cancelAttempt(request);
    }
    Refusal refusal{Reason::RingFull, Outcome::NotRun, std::string(cause), GiveWayRetryMs};
    refusal = routedRefusal(*request, refusal);
    refusal.outcome = wasSent ? Outcome::Unknown : Outcome::NotRun;
    refuse(request, refusal);
}

void RequestHandler::handleExchangeEnd(const Pending &request, bool)
{
    if (request->finished) {
        m_active.erase(request);
        return;
    }
    m_now = MonotonicClock::now();
    logEvent(Events::RequestLeft,
             "request {}: the caller disconnected within {} ms after it was read, {} attempts, server {}",
             request->requestId, duration_cast<milliseconds>(m_now - request->arrivedAt).count(),
             request->plan ? request->plan->attempts() : 0, request->serverIdentity.name);
    leaveQueue(request);
    const bool wasSent = request->attempt || (request->plan && request->plan->mayHaveRun());
    if (request->attempt && mayCancel(*request)) {
        cancelAttempt(request);
    }
    if (!request->attempt) {
        const auto outcome = wasSent ? Outcome::Unknown : Outcome::NotRun;
        recordOutcome(*request, {Reason::ConnectionLost, outcome, {}, 0});
        traceOutcome(*request, outcome, Reason::ConnectionLost);
        finish(request);
    }
}

}

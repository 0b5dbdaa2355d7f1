#include "requesthandler_p.h"

#include <algorithm>

#include <strings.h>

#include <fmt/format.h>

#include <galenarock/jsontext.h>

#include "peerauth_p.h"

namespace Galenarock
{

namespace
{
constexpr Duration SweepInterval = milliseconds(20);
constexpr Duration LoadInterval = seconds(2);
/// Retry-after time of a request that this VM cannot finish before it stops.
constexpr Duration StopRetryAfter = milliseconds(100);
/// A reachable server accepts a connection within a few milliseconds; if a packet is lost, one attempt takes this long.
constexpr std::int64_t RoutedConnectTimeoutMs = 300;

/// Far more than a grant between daemons has. Any caller can send such a request, and its body is collected before its
/// authentication is checked.
constexpr std::size_t MaxGrantBytes = 1 << 20;

std::uint64_t maxBodyBytes(const PendingRequest &request)
{
    return request.rule ? request.routes->configuration().limits.maxBodyBytes
                        : request.traffic->route->document().requests.maxBodyBytes;
}

bool hasHeader(const std::vector<std::string> &lines, std::string_view name)
{
    return std::any_of(lines.begin(), lines.end(), [&](const std::string &it) {
        return it.size() > name.size() && strncasecmp(it.data(), name.data(), name.size()) == 0
            && (it[name.size()] == ':' || it[name.size()] == ';');
    });
}
}

RequestHandler::RequestHandler(ProxyShared &shared, UpstreamClient &upstream)
    : m_shared(shared)
    , m_upstream(upstream)
    , m_random(randomNonce())
{
    for (std::size_t n = 0; n < reasonCount(); ++n) {
        const auto labels = fmt::format("service=\"\",reason=\"{}\"", reasonAt(n).code);
        m_unroutedRefusals.push_back(&shared.metrics().counter("galenarock_refusals_total", labels));
    }
}

void RequestHandler::withRequest(const std::weak_ptr<PendingRequest> &weak,
                                 const std::function<void(const Pending &)> &body)
{
    if (const auto request = weak.lock()) {
        body(request);
    }
}

void RequestHandler::handleRequest(const std::shared_ptr<Exchange> &exchange)
{
    auto request = std::make_shared<PendingRequest>();
    m_now = MonotonicClock::now();
    m_shared.inFlight().fetch_add(1, std::memory_order_relaxed);
    m_active.insert(request);
    request->exchange = exchange;
    request->ticket = m_nextTicket++;
    request->arrivedAt = exchange->readAt();
    request->method = exchange->method();
    request->caller = hashKey(exchange->callerAddress());
    if (exchange->isReadAhead()) {
        const auto labels = fmt::format("depth=\"{}\"", exchange->depth());
        m_shared.metrics().counter("galenarock_pipelined_requests_total", labels).add();
    }
    const std::weak_ptr<PendingRequest> weak = request; // avoids a reference cycle with the exchange
    exchange->onEnded = [this, weak](bool complete) {
        withRequest(weak, [&](const Pending &it) { handleExchangeEnd(it, complete); });
    };
    if (m_shared.dialect()) {
        exchange->onGiveWay = [this, weak](std::string_view cause) {
            withRequest(weak, [&](const Pending &it) { giveWay(it, cause); });
        };
    }
    if (exchange->target() == PeerGrantsPath && !exchange->header(PeerAuthHeader).empty()) {
        exchange->onBody = [this, weak] {
            withRequest(weak, [&](const Pending &it) { receiveGrant(it); });
        };
        return;
    }
    const auto refusal = classify(*request, *exchange);
    if (refusal.reason == Reason::None) {
        exchange->setDeadline(request->deadline);
    }
    traceAccepted(*request);
    if (refusal.reason != Reason::None) {
        refuse(request, refusal);
        return;
    }
    if (mayOutlastVm(*request)) {
        refuseForStop(request);
        return;
    }
    exchange->onBody = [this, weak] {
        withRequest(weak, [&](const Pending &it) { receiveBody(it); });
    };
}

bool RequestHandler::mayRunAhead(const Exchange &exchange) const
{
    const auto snapshot = m_shared.snapshot();
    if (!m_shared.dialect() || !snapshot || !snapshot->routes()) {
        return false;
    }
    const auto *rule = snapshot->routes()->find(exchange.header("Host"), exchange.target());
    return rule && isIdempotent(rule->repeatability);
}

bool RequestHandler::mayOutlastVm(const PendingRequest &request) const
{
    return request.deadline > m_shared.lastAnswerAt();
}

/// Another VM takes the request at once.
void RequestHandler::refuseForStop(const Pending &request)
{
    const bool mayHaveRun = request->plan && request->plan->mayHaveRun();
    refuse(request,
           {Reason::StoppingVm, mayHaveRun ? Outcome::Unknown : Outcome::NotRun,
            "the request may take longer than the planned stop of this VM",
            duration_cast<milliseconds>(StopRetryAfter).count()});
}

void RequestHandler::receiveGrant(const Pending &request)
{
    if (request->finished) {
        request->exchange->requestBody().clear();
        return;
    }
    auto &exchange = *request->exchange;
    request->body.append(exchange.requestBody().data(), exchange.requestBody().size());
    exchange.setBufferedBytes(request->body.capacity());
    exchange.requestBody().clear();
    if (request->body.size() > MaxGrantBytes) {
        refuse(request, {Reason::BodyTooLarge, Outcome::NotRun, {}, 0});
        return;
    }
    if (!exchange.isRequestComplete()) {
        return;
    }
    if (!isPeerAuth(m_shared.peerKey(), request->body, exchange.header(PeerAuthHeader))) {
        refuse(request, {Reason::MalformedRequest, Outcome::NotRun, "message authentication failed", 0});
        return;
    }
    const auto json = nlohmann::json::parse(request->body, nullptr, false);
    const auto reply = tryOr(
        [&]() -> Result<nlohmann::json> {
            BOOST_LEAF_AUTO(grant, grantRequestFromJson(json));
            return toJson(m_shared.ledger().handleGrant(MonotonicClock::now(), wallClockNow(), grant));
        },
        [](ErrorCode, const std::string &) { return nlohmann::json(); });
    if (reply.is_null()) {
        refuse(request, {Reason::MalformedRequest, Outcome::NotRun, "malformed grant request", 0});
        return;
    }
    exchange.respond(200, {{"Content-Type", "application/json"}}, jsonText(reply));
    finish(request);
}

void RequestHandler::receiveBody(const Pending &request)
{
    auto &exchange = *request->exchange;
    if (request->finished) {
        exchange.requestBody().clear();
        return;
    }
    if (request->collectsBody) {
        receiveRoutedBody(request);
        return;
    }
    if (request->streamsBody) {
        if (request->isBodyReady) {
            scheduleResume(request, request->sendingPaused);
        } else {
            bodyReady(request);
        }
        return;
    }
    auto &buffer = exchange.requestBody();
    request->body.append(buffer.data(), buffer.size());
    buffer.clear();
    if (exchange.isRequestComplete()) {
        bodyReady(request);
    }
}

void RequestHandler::bodyReady(const Pending &request)
{
    m_now = MonotonicClock::now();
    request->isBodyReady = true;
    if (request->rule) {
        admitRouted(request);
        return;
    }
    const auto &service = request->traffic->route->document().service;
    request->fingerprint =
        requestFingerprint(service, request->method, request->path,
                           std::string_view(request->body).substr(0, fingerprintBodyBytes), request->requestId);
    if (const auto refusal = m_shared.suspects().refusalFor(m_now, request->fingerprint)) {
        refuse(request, *refusal);
        return;
    }
    if (request->id && !checkLedger(request)) {
        return;
    }
    if (request->isForLedgerOwner) {
        dispatch(request);
        return;
    }
    admit(request);
}

void RequestHandler::admit(const Pending &request)
{
    auto &traffic = *request->traffic;
    const auto &document = traffic.route->document();
    AdmissionRequest entry{
        request->ticket, document.requests.trafficClass, document.requests.priority, request->deadline, noServer,
        request->caller};
    if (document.distribution == Distribution::Keyed) {
        entry.server = traffic.route->owner(request->hash, m_now).server;
    }
    traffic.budget.countFresh();
    const auto concurrency = traffic.concurrency(m_now, entry.server);
    const auto decision = traffic.admission.offer(m_now, entry, std::max(concurrency, 1U));
    if (decision.refusal) {
        refuse(request, *decision.refusal);
        return;
    }
    request->isQueued = true;
    traffic.queued.emplace(request->ticket, request);
    if (decision.displaced) {
        dropQueued(traffic, {*decision.displaced});
    }
    dispatchQueued(traffic);
}

bool RequestHandler::mayDispatch(ServiceTraffic &traffic, const AdmissionRequest &entry)
{
    const auto found = traffic.queued.find(entry.ticket);
    if (found == traffic.queued.end()) {
        return true;
    }
    const auto owner = traffic.choose(m_now, *found->second);
    if (traffic.route->document().distribution == Distribution::Keyed) {
        // A request without an owner is dequeued, so that its attempt plan refuses or delays it.
        return owner.reason != Reason::None || traffic.hasRoom(owner.server);
    }
    return owner.reason == Reason::None;
}

void RequestHandler::dispatchQueued(ServiceTraffic &traffic)
{
    std::vector<DroppedRequest> dropped;
    while (const auto next = traffic.admission.next(
               m_now, [&](const AdmissionRequest &it) { return mayDispatch(traffic, it); }, dropped)) {
        const auto found = traffic.queued.find(next->ticket);
        if (found == traffic.queued.end()) {
            continue;
        }
        const auto request = found->second;
        traffic.queued.erase(found);
        request->isQueued = false;
        dispatch(request);
    }
    dropQueued(traffic, dropped);
}

void RequestHandler::dropQueued(ServiceTraffic &traffic, const std::vector<DroppedRequest> &dropped)
{
    for (const auto &it : dropped) {
        const auto found = traffic.queued.find(it.request.ticket);
        if (found == traffic.queued.end()) {
            continue;
        }
        const auto request = found->second;
        traffic.queued.erase(found);
        request->isQueued = false;
        refuse(request, it.refusal);
    }
}

void RequestHandler::dispatch(const Pending &request)
{
    if (request->rule) {
        dispatchRouted(request);
        return;
    }
    if (mayOutlastVm(*request)) {
        refuseForStop(request);
        return;
    }
    if (const auto refusal = m_shared.suspects().refusalFor(m_now, request->fingerprint)) {
        refuse(request, *refusal);
        return;
    }
    if (hasCallerLeft(*request)) {
        abandon(request);
        return;
    }
    auto &traffic = *request->traffic;
    if (request->isForLedgerOwner) {
        request->serverIdentity = {};
        startAttempt(request, "http://" + request->ledgerOwnerAddress + request->exchange->target());
        return;
    }
    traffic.refresh(m_now, m_shared.snapshot(), m_shared.liveWorkers());
    const auto owner = traffic.choose(m_now, *request);
    if (owner.reason != Reason::None) {
        request->server = noServer;
        retryOrRefuse(request, {owner.reason, Outcome::NotRun, {}, 0}, AttemptResult{});
        return;
    }
    const auto &server = traffic.route->servers()[owner.server];
    request->server = owner.server;
    request->serverIdentity = server.identity;
    request->token = owner.token;
    if (!enterUnchecked(request)) {
        request->server = noServer;
        retryOrRefuse(request, {Reason::OwnerUnavailable, Outcome::NotRun, {}, 0}, AttemptResult{});
        return;
    }
    request->handle = traffic.observations.started(m_now, owner.server);
    startAttempt(request, "http://" + server.address + request->path);
}

bool RequestHandler::enterUnchecked(const Pending &request)
{
    const auto &traffic = *request->traffic;
    const auto &document = traffic.route->document();
    if (document.pool.checksGrants || document.distribution != Distribution::Keyed) {
        return true;
    }
    auto &pools = m_shared.uncheckedPools();
    const auto ticket = pools.enter(document.service, request->serverIdentity, request->hash);
    const bool isCurrent = m_shared.snapshot() == traffic.snapshot;
    if (!isCurrent || !pools.hasSendLease(document.service, MonotonicClock::now())) {
        pools.leave(ticket, false);
        return false;
    }
    request->uncheckedTicket = ticket;
    return true;
}

std::vector<std::string> RequestHandler::makeHeaders(const PendingRequest &request, Instant now) const
{
    auto lines = request.forwardedHeaders;
    lines.push_back(fmt::format("Galenarock-Deadline-Ms: {}", remainingForHop(now, request.deadline)));
    if (request.isForLedgerOwner) {
        const auto mac = peerAuth(m_shared.peerKey(), request.exchange->target() + request.requestId);
        lines.push_back(fmt::format("{}: {}", PeerAuthHeader, mac));
    } else {
        lines.push_back("Galenarock-Service: " + request.traffic->route->document().service);
        if (!request.key.empty()) {
            lines.push_back("Galenarock-Key: " + request.key);
            lines.push_back("Galenarock-Token: " + toString(request.token));
        }
        if (!request.requestId.empty()) {
            lines.push_back("Galenarock-Request-Id: " + request.requestId);
        }
    }
    lines.emplace_back("Expect:"); // otherwise libcurl waits for "100 Continue" before it sends a large body
    if (!hasHeader(lines, "Content-Type")) {
        lines.emplace_back("Content-Type:"); // otherwise libcurl adds application/x-www-form-urlencoded
    }
    return lines;
}

AttemptHooks RequestHandler::makeHooks(const Pending &request)
{
    AttemptHooks hooks;
    hooks.onHead = [this, request](unsigned status, std::vector<HeaderField> headers) {
        // After an early failure libcurl sends no more of the body, but the transfer does not end while it is paused.
        scheduleResume(request, request->sendingPaused);
        return handleHead(request, status, std::move(headers));
    };
    hooks.onData = [this, request](const char *bytes, std::size_t n) {
        return handleData(request, bytes, n);
    };
    hooks.onDone = [this, request](const AttemptResult &result) {
        handleDone(request, result);
    };
    if (request->streamsBody) {
        hooks.readBody = [this, request](char *out, std::size_t n) {
            return readBody(*request, out, n);
        };
    }
    return hooks;
}

void RequestHandler::startAttempt(const Pending &request, const std::string &url)
{
    if (request->relay.vm.empty()) {
        request->plan->started();
        request->traffic->attempts.add();
    }
    AttemptRequest attempt;
    attempt.method = request->method;
    attempt.url = url;
    if (request->rule) {
        attempt.headerLines = makeRoutedHeaders(*request);
        attempt.target = request->path;
        attempt.connectTimeoutMs = RoutedConnectTimeoutMs;
        attempt.keepsConnection = request->keepsConnection;
        attempt.needsNewConnection = request->isProbe;
        attempt.id = request->requestId;
    } else {
        attempt.headerLines = makeHeaders(*request, m_now);
    }
    attempt.body = request->body.data();
    attempt.bodySize = request->streamsBody ? request->bodySize : static_cast<std::int64_t>(request->body.size());
    attempt.timeoutMs = std::max<std::int64_t>(1, duration_cast<milliseconds>(request->deadline - m_now).count());
    request->responseStatus = 0;
    request->responseHeaders.clear();
    request->responseBody.clear();
    request->heldBody.set(0);
    request->discardedBytes = 0;
    request->serverRefusal = Reason::None;
    request->reportedUnknown = false;
    request->load.reset();
    request->defect = Reason::None;
    request->prefixSent = 0;
    request->attemptStartedAt = m_now;
    request->awaitingSince = {};
    request->isSilent = false;
    request->isSilenceCounted = false;
    request->plan->sending();
    request->attempt = m_upstream.start(std::move(attempt), makeHooks(request));
}

std::size_t RequestHandler::readBody(PendingRequest &request, char *out, std::size_t n) const
{
    auto &exchange = *request.exchange;
    if (request.prefixSent < request.body.size()) {
        const auto part = std::min(n, request.body.size() - request.prefixSent);
        std::copy_n(request.body.data() + request.prefixSent, part, out);
        request.prefixSent += part;
        return part;
    }
    const auto taken = exchange.requestBody().take(out, n);
    if (taken > 0) {
        request.bodyReceived += taken;
        if (request.bodyReceived + request.body.size() > maxBodyBytes(request)) {
            return CURL_READFUNC_ABORT;
        }
        exchange.continueRequestBody();
        return taken;
    }
    if (exchange.isRequestComplete()) {
        return 0;
    }
    if (exchange.hasEnded()) {
        return CURL_READFUNC_ABORT;
    }
    request.sendingPaused = true;
    return CURL_READFUNC_PAUSE;
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
        if (std::exchange(it->receivingPaused, false)) {
            it->exchange->setBufferedBytes(it->body.capacity());
        }
        m_upstream.resume(it->attempt);
    }
    if (m_shared.dialect()) {
        runRouted();
    }
    auto delayed = std::move(m_delayed);
    m_delayed.clear();
    for (auto &it : delayed) {
        if (it.request->finished) {
            continue;
        }
        if (it.at > now) {
            m_delayed.push_back(std::move(it));
            continue;
        }
        dispatch(it.request);
    }
    if (now < m_nextSweep) {
        return;
    }
    m_nextSweep = now + SweepInterval;
    for (const auto &[name, it] : m_traffic) {
        it->refresh(now, m_shared.snapshot(), m_shared.liveWorkers());
        dispatchQueued(*it);
    }
    if (now >= m_nextLoad && !m_shared.dialect()) {
        m_nextLoad = now + LoadInterval;
        reportLoad(now);
    }
}

void RequestHandler::reportLoad(Instant now)
{
    for (const auto &[name, it] : m_traffic) {
        if (it->route->document().distribution != Distribution::Keyed || m_shared.dialect()) {
            continue;
        }
        auto report = it->load.take(now);
        report.service = name;
        m_shared.loads().add(report);
    }
}

}

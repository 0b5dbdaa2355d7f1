#include "requesthandler_p.h"

#include <algorithm>
#include <fmt/format.h>

#include "headerfields_p.h"

namespace Galenarock
{

namespace
{
std::string_view pathSegment(std::string_view path, int index)
{
    path = path.substr(0, path.find('?'));
    for (int n = 0; !path.empty(); ++n) {
        path.remove_prefix(1); // the slash
        const auto segment = path.substr(0, path.find('/'));
        if (n == index) {
            return segment;
        }
        path.remove_prefix(segment.size());
    }
    return {};
}
}

ServiceTraffic::ServiceTraffic(Metrics &metrics, const std::string &service)
    : answered(metrics.counter("galenarock_answered_total", fmt::format("service=\"{}\"", service)))
    , lateAnswers(metrics.counter("galenarock_late_answers_total", fmt::format("service=\"{}\"", service)))
    , latency(metrics.histogram("galenarock_request_seconds", fmt::format("service=\"{}\"", service)))
{
    for (std::size_t n = 0; n < reasonCount(); ++n) {
        const auto labels = fmt::format("service=\"{}\",reason=\"{}\"", service, reasonAt(n).code);
        m_refusals.push_back(&metrics.counter("galenarock_refusals_total", labels));
        m_retries.push_back(&metrics.counter("galenarock_retries_total", labels));
    }
}

RequestHandler::RequestHandler(ProxyShared &shared, UpstreamClient &upstream)
    : m_shared(shared)
    , m_upstream(upstream)
{
}

ServiceTraffic &RequestHandler::traffic(const std::string &service)
{
    auto &slot = m_traffic[service];
    if (!slot) {
        slot = std::make_unique<ServiceTraffic>(m_shared.metrics(), service);
    }
    return *slot;
}

void RequestHandler::handleRequest(const std::shared_ptr<Exchange> &exchange)
{
    auto request = std::make_shared<PendingRequest>();
    m_now = MonotonicClock::now();
    m_shared.inFlight().fetch_add(1, std::memory_order_relaxed);
    request->exchange = exchange;
    request->snapshot = m_shared.snapshot();
    request->arrivedAt = m_now;
    request->method = exchange->method();
    m_active.insert(request);
    const std::weak_ptr<PendingRequest> weak = request; // the exchange must not own the request that owns it
    exchange->onGone = [this, weak](bool complete) {
        withRequest(weak, [&](const Pending &it) { handleGone(it, complete); });
    };
    const auto refusal = classify(*request, *exchange);
    if (refusal.reason != Reason::None) {
        refuse(request, refusal);
        return;
    }
    exchange->onBody = [this, weak] {
        withRequest(weak, [&](const Pending &it) { receiveBody(it); });
    };
}

void RequestHandler::withRequest(const std::weak_ptr<PendingRequest> &weak,
                                 const std::function<void(const Pending &)> &body)
{
    if (const auto request = weak.lock()) {
        body(request);
    }
}

Refusal RequestHandler::classify(PendingRequest &request, const Exchange &exchange) const
{
    const std::string_view target = exchange.target();
    if (target.empty() || target.front() != '/') {
        return {Reason::MalformedRequest, Outcome::NotRun, "the target must start with /<service>", 0};
    }
    const auto nameEnd = std::min(target.find_first_of("/?", 1), target.size());
    const auto service = target.substr(1, nameEnd - 1);
    request.path = nameEnd < target.size() && target[nameEnd] == '/' ? std::string(target.substr(nameEnd))
                                                                     : "/" + std::string(target.substr(nameEnd));
    if (m_shared.isRefusing()) {
        return {Reason::StoppingVm, Outcome::NotRun, {}, 0};
    }
    if (!request.snapshot) {
        return {Reason::NoConfiguration, Outcome::NotRun, {}, 0};
    }
    request.route = request.snapshot->find(service);
    if (!request.route) {
        return {Reason::UnknownService, Outcome::NotRun, fmt::format("service '{}' has no document", service), 0};
    }
    const auto &document = request.route->document();
    request.traffic = &const_cast<RequestHandler *>(this)->traffic(document.service);
    if (document.distribution == Distribution::Keyed) {
        const auto key = document.key.header.empty() ? pathSegment(request.path, document.key.pathSegment)
                                                     : exchange.header(document.key.header.c_str());
        if (key.empty()) {
            const auto place = document.key.header.empty() ? fmt::format("path segment {}", document.key.pathSegment)
                                                           : fmt::format("header {}", document.key.header);
            return {Reason::MissingKey, Outcome::NotRun, fmt::format("{} is empty", place), 0};
        }
        request.key = key;
        request.hash = hashKey(key);
    }
    std::int64_t deadlineMs = document.requests.deadlineMs;
    if (const auto wanted = parseNumber(exchange.header("Galenarock-Deadline-Ms"))) {
        deadlineMs = std::min<std::int64_t>(deadlineMs, static_cast<std::int64_t>(*wanted));
    }
    request.deadline = request.arrivedAt + milliseconds(deadlineMs);
    const auto length = exchange.contentLength();
    request.bodySize = length ? static_cast<std::int64_t>(*length) : -1;
    if (length && *length > document.requests.maxBodyBytes) {
        return {Reason::BodyTooLarge, Outcome::NotRun,
                fmt::format("{} bytes, the limit is {}", *length, document.requests.maxBodyBytes), 0};
    }
    request.streamsBody = !length || *length > ReplayableBodyBytes;
    return classifyId(request, exchange);
}

Refusal RequestHandler::classifyId(PendingRequest &request, const Exchange &exchange) const
{
    const auto &methods = request.route->document().requests.idempotentMethods;
    request.idempotent = std::find(methods.begin(), methods.end(), request.method) != methods.end();
    request.requestId = exchange.header("Idempotency-Key");
    if (!request.idempotent && request.requestId.empty()) {
        return {Reason::RequestIdMissing, Outcome::NotRun, {}, 0};
    }
    for (const auto &it : exchange.headers()) {
        if (isHopByHop(it.name) || isInternal(it.name) || equalsIgnoreCase(it.name, "Content-Length")
            || equalsIgnoreCase(it.name, "Expect")) {
            continue;
        }
        request.forwardedHeaders.push_back(it.value.empty() ? it.name + ";" : it.name + ": " + it.value);
    }
    return {};
}

void RequestHandler::receiveBody(const Pending &request)
{
    auto &exchange = *request->exchange;
    if (request->finished) {
        exchange.requestBody().clear();
        return;
    }
    if (request->streamsBody) {
        if (!request->attempt && request->attempts == 0) {
            dispatch(request);
        } else {
            scheduleResume(request, request->sendingPaused);
        }
        return;
    }
    auto &buffer = exchange.requestBody();
    request->body.append(buffer.data(), buffer.size());
    buffer.clear();
    if (exchange.isRequestComplete()) {
        dispatch(request);
    }
}

Owner RequestHandler::chooseServer(PendingRequest &request) const
{
    if (request.route->document().distribution == Distribution::Keyed) {
        return request.route->owner(request.hash, m_now);
    }
    const auto &servers = request.route->servers();
    for (std::size_t n = 0; n < servers.size(); ++n) {
        const auto index = request.traffic->nextServer++ % servers.size();
        if (!servers[index].acceptsWork()) {
            continue;
        }
        return {static_cast<ServerIndex>(index), Token{}, Reason::None};
    }
    return {noServer, Token{}, Reason::NoServer};
}

void RequestHandler::dispatch(const Pending &request)
{
    const auto owner = chooseServer(*request);
    if (owner.reason != Reason::None) {
        refuse(request, {owner.reason, reasonInfo(owner.reason).outcome, {}, 0});
        return;
    }
    request->server = owner.server;
    request->token = owner.token;
    startAttempt(request);
}

std::vector<std::string> RequestHandler::makeHeaders(const PendingRequest &request, Instant now) const
{
    auto lines = request.forwardedHeaders;
    const auto leftMs = duration_cast<milliseconds>(request.deadline - now).count();
    lines.push_back("Galenarock-Service: " + request.route->document().service);
    lines.push_back(fmt::format("Galenarock-Deadline-Ms: {}", leftMs));
    if (!request.key.empty()) {
        lines.push_back("Galenarock-Key: " + request.key);
        lines.push_back("Galenarock-Token: " + toString(request.token));
    }
    if (!request.requestId.empty()) {
        lines.push_back("Galenarock-Request-Id: " + request.requestId);
    }
    lines.emplace_back("Expect:"); // libcurl would wait for "100 Continue" before large bodies
    if (std::none_of(lines.begin(), lines.end(),
                     [](const std::string &it) { return strncasecmp(it.c_str(), "Content-Type:", 13) == 0; })) {
        lines.emplace_back("Content-Type:"); // libcurl would add a form type
    }
    return lines;
}

AttemptHooks RequestHandler::makeHooks(const Pending &request)
{
    AttemptHooks hooks;
    hooks.onHead = [this, request](unsigned status, std::vector<HeaderField> headers) {
        handleHead(request, status, std::move(headers));
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

void RequestHandler::startAttempt(const Pending &request)
{
    ++request->attempts;
    const auto &server = request->route->servers()[request->server];
    AttemptRequest attempt;
    attempt.method = request->method;
    attempt.url = "http://" + server.address + request->path;
    attempt.headerLines = makeHeaders(*request, m_now);
    attempt.body = request->body.data();
    attempt.bodySize = request->streamsBody ? request->bodySize : static_cast<std::int64_t>(request->body.size());
    attempt.timeoutMs = std::max<std::int64_t>(1, duration_cast<milliseconds>(request->deadline - m_now).count());
    request->responseStatus = 0;
    request->responseHeaders.clear();
    request->responseBody.clear();
    request->serverRefusal = Reason::None;
    request->attemptStartedAt = m_now;
    request->attempt = m_upstream.start(std::move(attempt), makeHooks(request));
}

std::size_t RequestHandler::readBody(PendingRequest &request, char *out, std::size_t n) const
{
    auto &exchange = *request.exchange;
    const auto taken = exchange.requestBody().take(out, n);
    if (taken > 0) {
        request.bodyReceived += taken;
        if (request.bodyReceived > request.route->document().requests.maxBodyBytes) {
            return CURL_READFUNC_ABORT;
        }
        exchange.continueRequestBody();
        return taken;
    }
    if (exchange.isRequestComplete()) {
        return 0;
    }
    if (exchange.isCallerGone()) {
        return CURL_READFUNC_ABORT;
    }
    request.sendingPaused = true;
    return CURL_READFUNC_PAUSE;
}

}

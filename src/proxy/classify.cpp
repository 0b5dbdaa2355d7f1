#include <algorithm>

#include <fmt/format.h>

#include "headerfields_p.h"
#include "peerauth_p.h"
#include "requesthandler_p.h"

/// Classifies a new request: determines its service, key, request id and whether it may be repeated.
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

bool isForwarded(std::string_view name)
{
    return !isHopByHop(name) && !isInternal(name) && !equalsIgnoreCase(name, "Content-Length")
        && !equalsIgnoreCase(name, "Expect") && !equalsIgnoreCase(name, "Host");
}
}

ServiceTraffic *RequestHandler::traffic(std::string_view service,
                                        const std::shared_ptr<const RoutingSnapshot> &snapshot)
{
    const auto *route = snapshot->find(service);
    if (!route) {
        return nullptr;
    }
    auto &slot = m_traffic[route->document().service];
    if (!slot) {
        slot = std::make_unique<ServiceTraffic>(m_shared.metrics(), route->document());
        slot->route = route;
        slot->setSlowStart(m_shared.slowStart());
        if (m_shared.dialect()) {
            const auto &limits = m_shared.retryLimits();
            slot->useExpectedDelay(m_shared.localDomain(), limits.percent, limits.allowance);
        }
    }
    slot->refresh(m_now, snapshot, m_shared.liveWorkers());
    return slot.get();
}

Refusal RequestHandler::classify(PendingRequest &request, const Exchange &exchange)
{
    if (m_shared.dialect()) {
        return classifyRouted(request, exchange);
    }
    const std::string_view target = exchange.target();
    if (target.empty() || target.front() != '/') {
        return {Reason::MalformedRequest, Outcome::NotRun, "the target must start with /<service>", 0};
    }
    const auto nameEnd = std::min(target.find_first_of("/?", 1), target.size());
    const auto service = target.substr(1, nameEnd - 1);
    const auto rest = target.substr(nameEnd);
    request.path = rest.empty() || rest.front() != '/' ? "/" + std::string(rest) : std::string(rest);
    const auto snapshot = m_shared.snapshot();
    if (!snapshot) {
        return {Reason::NoConfiguration, Outcome::NotRun, {}, 0};
    }
    request.traffic = traffic(service, snapshot);
    if (!request.traffic) {
        return {Reason::UnknownService, Outcome::NotRun, fmt::format("service '{}' has no document", service), 0};
    }
    request.traffic->newRequests.add();
    if (m_shared.isRefusing()) {
        return {Reason::StoppingVm, Outcome::NotRun, {}, 0};
    }
    std::int64_t deadlineMs = request.traffic->route->document().requests.deadlineMs;
    if (const auto requestedMs = parseNumber(exchange.header("Galenarock-Deadline-Ms"))) {
        deadlineMs = std::min<std::int64_t>(deadlineMs,
                                            static_cast<std::int64_t>(std::min<std::uint64_t>(*requestedMs, 1U << 30)));
    }
    request.deadline = request.arrivedAt + milliseconds(deadlineMs);
    collectHeaders(request, exchange);
    for (const auto step : {&RequestHandler::classifyKey, &RequestHandler::classifyBody, &RequestHandler::classifyId}) {
        const auto refusal = (this->*step)(request, exchange);
        if (refusal.reason != Reason::None) {
            return refusal;
        }
    }
    request.plan.emplace(request.traffic->route->document(), request.method, request.deadline);
    return {};
}

Refusal RequestHandler::classifyKey(PendingRequest &request, const Exchange &exchange) const
{
    const auto &document = request.traffic->route->document();
    if (document.distribution != Distribution::Keyed) {
        return {};
    }
    const auto key = document.key.header.empty() ? pathSegment(request.path, document.key.pathSegment)
                                                 : exchange.header(document.key.header.c_str());
    if (key.empty()) {
        const auto place = document.key.header.empty() ? fmt::format("path segment {}", document.key.pathSegment)
                                                       : fmt::format("header {}", document.key.header);
        return {Reason::MissingKey, Outcome::NotRun, fmt::format("{} is empty", place), 0};
    }
    request.key = key;
    request.hash = hashKey(key);
    request.traffic->load.count(request.hash);
    return {};
}

Refusal RequestHandler::classifyBody(PendingRequest &request, const Exchange &exchange) const
{
    const auto limit = request.traffic->route->document().requests.maxBodyBytes;
    const auto length = exchange.contentLength();
    request.bodySize = length ? static_cast<std::int64_t>(*length) : -1;
    request.streamsBody = !length || *length > ReplayableBodyBytes;
    if (length && *length > limit) {
        return {Reason::BodyTooLarge, Outcome::NotRun, fmt::format("{} bytes, the limit is {}", *length, limit), 0};
    }
    return {};
}

Refusal RequestHandler::classifyId(PendingRequest &request, const Exchange &exchange) const
{
    const auto &document = request.traffic->route->document();
    request.idempotent = isIdempotent(document.requests, request.method);
    request.requestId = exchange.header("Idempotency-Key");
    const auto mac = exchange.header(PeerAuthHeader);
    request.viaPeer = !mac.empty() && isPeerAuth(m_shared.peerKey(), exchange.target() + request.requestId, mac);
    if (request.idempotent) {
        return {};
    }
    if (request.requestId.empty()) {
        return {Reason::RequestIdMissing, Outcome::NotRun, {}, 0};
    }
    request.id = parseRequestId(request.requestId);
    if (!request.id) {
        return {Reason::RequestIdMalformed, Outcome::NotRun, fmt::format("'{}'", request.requestId), 0};
    }
    return {};
}

void RequestHandler::collectHeaders(PendingRequest &request, const Exchange &exchange) const
{
    for (const auto &it : exchange.headers()) {
        if (!isForwarded(it.name)) {
            continue;
        }
        request.forwardedHeaders.push_back(it.value.empty() ? it.name + ";" : it.name + ": " + it.value);
    }
}

}

#include <algorithm>

#include <fmt/format.h>

#include "events_p.h"
#include "headerfields_p.h"
#include "peerauth_p.h"
#include "requesthandler_p.h"

/// Requests that go through another VM because this one does not reach the servers, and such requests of other VMs.
///
/// A relayed request is an ordinary request to the other VM's callers' listener with RelayHeader. That VM looks up the
/// route, unless its configuration is older than the sender's, and chooses the server within the deadline and the
/// attempts that are left. It never relays the request again.
namespace Galenarock
{

namespace
{
/// VMs through which one request is tried. Most of the VMs of a failure domain may be partitioned at the same time.
constexpr std::size_t MaxRelays = 4;
/// Time for which no request for a server is relayed after another VM could not connect to it either.
constexpr Duration ServerDownTime = milliseconds(500);
/// Retry-after time when no VM reaches the servers.
constexpr std::int64_t UnreachableRetryMs = 1'000;

std::string authText(const PendingRequest &request, std::string_view relayed)
{
    return fmt::format("{} {} {}", request.requestId, relayed, request.path);
}
}

void RequestHandler::readRelay(PendingRequest &request, const Exchange &exchange) const
{
    const auto text = exchange.header(RelayHeader);
    if (text.empty()) {
        return;
    }
    // Also without a valid authentication, so that no request can go round in circles.
    request.mayRelay = false;
    const auto relayed = parseRelayedRequest(text);
    if (!relayed || !isPeerAuth(m_shared.peerKey(), authText(request, text), exchange.header(PeerAuthHeader))) {
        return;
    }
    request.viaPeer = true;
    request.relayed = *relayed;
    request.caller = relayed->caller;
    m_shared.metrics().counter("galenarock_relayed_requests_total", "direction=\"received\"").add();
}

bool RequestHandler::mayRelay(const PendingRequest &request) const
{
    const bool mayRunNow = request.idempotent || !request.plan->mayHaveRun();
    const bool isBodyComplete = !request.streamsBody || request.bodyReceived == 0;
    return request.mayRelay && !mayOutlastVm(request) && mayRunNow && isBodyComplete
        && request.triedRelays.size() < MaxRelays && request.sentAttempts < request.rule->maxAttempts;
}

bool RequestHandler::dispatchWithoutServers(const Pending &request)
{
    auto &reach = m_shared.serverReach();
    request->isProbe = reach.isCutOff() && request->mayRelay && reach.takeProbe(m_now);
    if (!reach.isCutOff() || request->isProbe) {
        return false;
    }
    if (!mayRelay(*request) || !relay(request, "no server answers this VM")) {
        request->server = noServer;
        refuse(request, routedRefusal(*request, {Reason::ServersUnreachable, Outcome::NotRun, {}, UnreachableRetryMs}));
    }
    return true;
}

bool RequestHandler::relayAfterFailedConnection(const Pending &request)
{
    const auto found = m_unreachableServers.find(request->serverIdentity);
    if (!mayRelay(*request) || (found != m_unreachableServers.end() && m_now < found->second)) {
        return false;
    }
    request->unreachedServer = request->serverIdentity;
    return relay(request, "no connection to the server");
}

/// Starts an attempt through another VM; false if there is none to try.
bool RequestHandler::relay(const Pending &request, std::string_view why)
{
    const auto chosen = m_shared.relays().choose(m_now, request->triedRelays, m_random());
    if (!chosen) {
        return false;
    }
    if (hasCallerLeft(*request)) {
        abandon(request);
        return true;
    }
    request->relay = *chosen;
    request->triedRelays.push_back(chosen->vm);
    request->server = noServer;
    request->serverIdentity = {chosen->vm, 0};
    request->keepsConnection = true;
    m_shared.metrics().counter("galenarock_relayed_requests_total", "direction=\"sent\"").add();
    logEvent(Events::RequestRelayed, "request {} goes through {}: {}", request->requestId, chosen->vm, why);
    startAttempt(request, "http://" + chosen->address + "/");
    return true;
}

void RequestHandler::addRelayHeaders(const PendingRequest &request, std::vector<std::string> &lines) const
{
    const auto attempts = request.rule->maxAttempts - request.sentAttempts;
    const auto version = request.routes->configuration().version;
    const auto text = toString(RelayedRequest{attempts, request.caller, version});
    lines.push_back(fmt::format("{}: {}", RelayHeader, text));
    lines.push_back(fmt::format("{}: {}", PeerAuthHeader, peerAuth(m_shared.peerKey(), authText(request, text))));
}

/// Reads the refusal of another VM; false if the response is that of a server.
bool RequestHandler::readRelayRefusal(PendingRequest &request, const std::vector<HeaderField> &headers)
{
    const auto outcome = fieldOf(headers, RelayOutcomeHeader);
    if (outcome.empty()) {
        return false;
    }
    request.reportedUnknown = outcome != toString(Outcome::NotRun);
    const auto reason = reasonFromCode(fieldOf(headers, RelayReasonHeader));
    request.serverRefusal = reason == Reason::None ? Reason::InternalError : reason;
    const auto untilMs = parseNumber(fieldOf(headers, RelayUntilHeader));
    request.relayUntilMs = static_cast<std::int64_t>(std::min<std::uint64_t>(untilMs.value_or(0), 60'000));
    return true;
}

void RequestHandler::addRelayOutcome(const PendingRequest &request, const Refusal &refusal,
                                     std::vector<HeaderField> &headers)
{
    if (request.mayRelay) {
        return; // a caller's own request
    }
    headers.push_back({RelayOutcomeHeader, std::string(toString(refusal.outcome))});
    headers.push_back({RelayReasonHeader, std::string(reasonInfo(refusal.reason).code)});
    headers.push_back({RelayUntilHeader, std::to_string(refusal.untilMs)});
}

void RequestHandler::noteServerDown(const Identity &server)
{
    for (auto it = m_unreachableServers.begin(); it != m_unreachableServers.end();) {
        it = it->second <= m_now ? m_unreachableServers.erase(it) : std::next(it);
    }
    m_unreachableServers[server] = m_now + ServerDownTime;
}

void RequestHandler::handleRelayDone(const Pending &request, const AttemptResult &result)
{
    const auto vm = std::exchange(request->relay, Relay()).vm;
    const auto refusal = request->serverRefusal;
    const bool isComplete = result.complete && refusal == Reason::None && request->defect == Reason::None;
    if (request->streamsResponse && !isComplete) {
        cutResponse(request, result.error);
        return;
    }
    if (isComplete) {
        answer(request);
        return;
    }
    const bool isNotRun = !result.sent || (refusal != Reason::None && !request->reportedUnknown);
    request->plan->ended(isNotRun);
    const bool hasNoServer = refusal == Reason::ServersUnreachable || refusal == Reason::NoConfiguration;
    if (!result.sent || hasNoServer || refusal == Reason::None) {
        m_shared.relays().failed(m_now, vm);
    }
    if (refusal == Reason::ConnectFailed && isNotRun && !request->unreachedServer.name.empty()) {
        noteServerDown(request->unreachedServer);
    }
    if (isNotRun && (!result.sent || hasNoServer)) {
        if (mayRelay(*request) && !request->exchange->hasEnded() && relay(request, "the VM before had no path")) {
            return;
        }
    }
    const auto reason = refusal != Reason::None ? refusal : failureOf(*request, result);
    if (isNotRun) {
        refuse(request, routedRefusal(*request, {reason, Outcome::NotRun, {}, request->relayUntilMs}));
        return;
    }
    refuse(request, {reason, Outcome::Unknown, result.error, 0});
}

}

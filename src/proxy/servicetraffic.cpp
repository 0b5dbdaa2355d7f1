#include "events_p.h"
#include "servicetraffic_p.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace Galenarock
{

namespace
{
/// Limit on one worker's requests in flight at the owner of a key, as a multiple of its share of the slots. A key has
/// only one server, and callers of a hot key are not spread evenly over the workers, so one worker may use the share of
/// others; the server's queue and load shedding limit the total.
constexpr std::uint32_t KeyedShareFactor = 4;

/// Share of a route's latency target that is used as target delay; the rest is a margin for latency that the expected
/// delay does not include.
constexpr double TargetDelayShare = 0.6;

double targetDelaySeconds(const PendingRequest &request)
{
    return request.rule ? TargetDelayShare * static_cast<double>(request.rule->latencyTargetMs) / 1000 : 0;
}

constexpr Duration PaceInterval = seconds(2);
/// Servers that one line names, those with the lowest share first.
constexpr std::size_t MaxPaceServers = 6;

using PaceMember = std::uint64_t PaceCounts::*;
constexpr std::pair<PaceMember, const char *> PaceMembers[] = {
    {&PaceCounts::started, "started"}, {&PaceCounts::ended, "ended"},     {&PaceCounts::good, "good"},
    {&PaceCounts::slow, "slow"},       {&PaceCounts::refused, "refused"}, {&PaceCounts::failed, "failed"},
};

std::string serviceLabel(const ServiceDocument &document)
{
    return fmt::format("service=\"{}\"", document.service);
}
}

ServiceTraffic::ServiceTraffic(Metrics &metrics, const ServiceDocument &document)
    : newRequests(metrics.counter("galenarock_requests_total", serviceLabel(document)))
    , answered(metrics.counter("galenarock_answered_total", serviceLabel(document)))
    , attempts(metrics.counter("galenarock_attempts_total", serviceLabel(document)))
    , repeated(metrics.counter("galenarock_repeated_answers_total", serviceLabel(document)))
    , silentCancelled(
          metrics.counter("galenarock_silent_attempts_total", serviceLabel(document) + ",then=\"cancelled\""))
    , silentWaiting(metrics.counter("galenarock_silent_attempts_total", serviceLabel(document) + ",then=\"waiting\""))
    , latency(metrics.histogram("galenarock_request_seconds", serviceLabel(document)))
    , admission(document, 1)
    , budget(document.retry.budgetPercent)
    , m_policy(defaultServerChoice())
    , m_random(randomNonce())
{
    for (std::size_t n = 0; n < reasonCount(); ++n) {
        const auto labels = fmt::format("{},reason=\"{}\"", serviceLabel(document), reasonAt(n).code);
        m_refusals.push_back(&metrics.counter("galenarock_refusals_total", labels));
        m_retries.push_back(&metrics.counter("galenarock_retries_total", labels));
    }
    for (const auto &it : PaceMembers) {
        const auto labels = fmt::format("{},change=\"{}\"", serviceLabel(document), it.second);
        m_paceCounters.push_back(&metrics.counter("galenarock_server_pace_total", labels));
    }
}

void ServiceTraffic::useExpectedDelay(const std::string &localDomain, double retryPercent, double retryAllowance)
{
    m_policy = chooseShortestExpectedDelay;
    m_retryPercent = retryPercent;
    m_retryAllowance = retryAllowance;
    observations.setLocalDomain(localDomain);
}

void ServiceTraffic::refresh(Instant now, const std::shared_ptr<const RoutingSnapshot> &newest,
                             std::uint32_t liveWorkers)
{
    if (snapshot == newest && m_liveWorkers == liveWorkers) {
        return;
    }
    const auto *newRoute = newest->find(route ? std::string_view(route->document().service) : std::string_view());
    if (route && !newRoute) {
        return; // the document was removed; queued requests still use the previous snapshot
    }
    const bool isSameRoute = route == newRoute && snapshot;
    const bool hasSameServers = isSameRoute || (m_hasServers && route && newRoute->sharesServers(*route));
    const bool hasSameWorkers = std::exchange(m_liveWorkers, liveWorkers) == liveWorkers;
    const auto kept = std::exchange(snapshot, newest); // keeps the previous route until the end of this function
    route = newRoute;
    if (isSameRoute && hasSameWorkers) {
        return;
    }
    const auto &document = route->document();
    admission.configure(now, document, liveWorkers);
    if (m_retryAllowance > 0) {
        budget.setAllowance(m_retryPercent, m_retryAllowance / std::max(1U, liveWorkers));
    } else {
        budget.setPercent(document.retry.budgetPercent);
    }
    const auto share = daemonShare(document.pool, liveWorkers);
    if (hasSameServers && share == observations.share()) {
        return;
    }
    m_hasServers = true;
    observations.setServers(now, route->servers(), share);
}

void ServiceTraffic::setSlowStart(SlowStart slowStart)
{
    m_slowStart = slowStart;
    observations.setSlowStart(slowStart, m_random());
}

void ServiceTraffic::noteColdServers(Instant now, SharedServerLimits &limits)
{
    const auto revision = limits.coldRevision();
    if (std::exchange(m_coldRevision, revision) == revision) {
        return;
    }
    std::map<Identity, Instant> coldUntil;
    for (const auto &it : limits.coldList()) {
        coldUntil.emplace(it.server, it.until);
    }
    for (std::size_t n = 0; n < route->servers().size(); ++n) {
        const auto &identity = route->servers()[n].identity;
        const auto known = m_coldUntil.find(identity);
        const bool wasCold = known != m_coldUntil.end() && known->second > now;
        if (coldUntil.count(identity) > 0 && !wasCold) {
            observations.becameCold(now, static_cast<ServerIndex>(n));
        }
    }
    m_coldUntil = std::move(coldUntil);
}

void ServiceTraffic::reportPaces(Instant now)
{
    if (now < m_nextPaceReportAt) {
        return;
    }
    m_nextPaceReportAt = now + PaceInterval;
    const auto counts = observations.paceCounts();
    bool isChanged = false;
    for (std::size_t n = 0; n < m_paceCounters.size(); ++n) {
        const auto member = PaceMembers[n].first;
        const auto added = counts.*member - m_reportedPaces.*member;
        m_paceCounters[n]->add(added);
        isChanged = isChanged || added > 0;
    }
    const auto before = std::exchange(m_reportedPaces, counts);
    const auto paces = observations.paces(now);
    if (paces.empty() && !isChanged) {
        return;
    }
    std::string text;
    for (std::size_t n = 0; n < std::min(paces.size(), MaxPaceServers); ++n) {
        text += fmt::format("{} {} at {:.2f} after {} ms", n == 0 ? ":" : ",", toString(paces[n].server),
                            paces[n].share, duration_cast<milliseconds>(paces[n].age).count());
    }
    logEvent(Events::ServerPace,
             "{}: {} below their full share, {} have reached it, {} good, {} slow, {} refused, {} failed{}",
             route->document().service, paces.size(), counts.ended - before.ended, counts.good - before.good,
             counts.slow - before.slow, counts.refused - before.refused, counts.failed - before.failed, text);
}

Owner ServiceTraffic::choose(Instant now, const PendingRequest &request, const ServerConditions &conditions)
{
    if (route->document().distribution == Distribution::Keyed) {
        return route->owner(request.hash, now);
    }
    if (route->isEvacuated()) {
        return {noServer, Token{}, Reason::Evacuated};
    }
    if (m_slowStart == SlowStart::Answers) {
        if (conditions.limits) {
            noteColdServers(now, *conditions.limits);
        }
        reportPaces(now);
    }
    const auto &tried = request.plan->triedServers();
    const auto chooseFrom = [&](const std::vector<ServerView> &views) {
        return chooseServer(m_policy, views, tried, m_random(), targetDelaySeconds(request));
    };
    const auto &views = observations.views(now);
    const bool hasLimits = conditions.limits && conditions.limits->hasLimits();
    const bool hasPauses = conditions.pauses && conditions.pauses->hasPauses();
    if (!hasLimits && !hasPauses) {
        const auto server = chooseFrom(views);
        return {server, Token{}, server == noServer ? Reason::NoServer : Reason::None};
    }
    auto open = views;
    const auto leftOut = leaveOut(now, request, conditions, open);
    if (request.permitRefusals > 0 && hasLimits && conditions.limits->coldServers() > 0) {
        leaveOutLimited(*conditions.limits, open);
    }
    const auto server = chooseFrom(open);
    const auto reason = leftOut == Reason::None ? Reason::NoServer : leftOut;
    return {server, Token{}, server == noServer ? reason : Reason::None};
}

Reason ServiceTraffic::leaveOut(Instant now, const PendingRequest &request, const ServerConditions &conditions,
                                std::vector<ServerView> &views) const
{
    auto reason = Reason::None;
    for (auto &it : views) {
        if (!it.eligible) {
            continue;
        }
        const auto &identity = route->servers()[it.server].identity;
        if (conditions.pauses && conditions.pauses->pausedUntil(now, identity) > now) {
            it.eligible = false;
            reason = Reason::ServerPaused;
        } else if (conditions.limits && conditions.limits->refusedUntil(identity, request.rule->priority) > now) {
            it.eligible = false;
            reason = Reason::ServerRate;
        }
    }
    return reason;
}

void ServiceTraffic::leaveOutLimited(SharedServerLimits &limits, std::vector<ServerView> &views) const
{
    std::vector<ServerView *> limited;
    std::size_t others = 0;
    for (auto &it : views) {
        if (!it.eligible) {
            continue;
        }
        if (limits.isLimited(route->servers()[it.server].identity)) {
            limited.push_back(&it);
        } else {
            ++others;
        }
    }
    for (auto *it : limited) {
        it->eligible = others == 0;
    }
}

Instant ServiceTraffic::firstPauseEnd(Instant now, SharedServerPauses &pauses) const
{
    auto first = Instant::max();
    for (const auto &it : route->servers()) {
        const auto until = pauses.pausedUntil(now, it.identity);
        first = until > now ? std::min(first, until) : first;
    }
    return first == Instant::max() ? now : first;
}

bool ServiceTraffic::hasRoom(ServerIndex server) const
{
    return server < route->servers().size()
        && observations.inFlight(server) < observations.share().slots * KeyedShareFactor;
}

std::uint32_t ServiceTraffic::concurrency(Instant now, ServerIndex owner)
{
    if (owner == noServer) {
        observations.views(now);
        return observations.concurrency();
    }
    return owner < route->servers().size() ? observations.share().slots * KeyedShareFactor : 0;
}

}

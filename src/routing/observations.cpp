#include <galenarock/serverchoice.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <utility>

namespace Galenarock
{

namespace
{
/// Weight of a new sample in the exponentially weighted means, which then cover about the last 10 answers.
constexpr double SampleWeight = 0.1;
/// Weight of a sample of the service time while the server's pace has not ended and its speed may change.
constexpr double PacedSampleWeight = 0.4;
/// Initial weight of slow start; with 0 the server would never be chosen and never warm up.
constexpr double InitialSlowStartWeight = 0.1;
/// Penalty for a failure or refusal, in requests. A failed attempt leaves the in-flight count immediately, so without a
/// penalty the server that fails fastest would look least loaded.
constexpr double FailurePenalty = 2;
constexpr double ShedPenalty = 1;
/// The adaptive limit shrinks only when latency exceeds the no-load latency by this factor, since service times vary
/// without queueing too.
constexpr double LatencyTolerance = 1.5;
/// Share of the difference by which the no-load latency rises per sample, so that it follows only lasting increases.
constexpr double NoLoadLatencyRise = 0.002;

/// Bounds of a reported work percentage, as a factor: a server that reports 0 would look infinitely fast.
constexpr double MinWorkFactor = 0.1;
constexpr double MaxWorkFactor = 100;

/// Age of a server's last answer from which its service time is replaced when its pace ends.
constexpr Duration OutdatedServiceTime = seconds(2);

double workFactorOf(const ReportedLoad &load)
{
    return std::clamp(load.workPercent / 100.0, MinWorkFactor, MaxWorkFactor);
}

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

std::uint32_t shareOf(std::uint32_t total, std::uint32_t daemons)
{
    return std::max<std::uint32_t>(1, total / std::max<std::uint32_t>(1, daemons));
}

bool readNumber(std::string_view &text, char end, std::uint32_t &n)
{
    const auto result = std::from_chars(text.data(), text.data() + text.size(), n);
    if (result.ec != std::errc()) {
        return false;
    }
    text.remove_prefix(static_cast<std::size_t>(result.ptr - text.data()));
    if (end == '\0') {
        return text.empty();
    }
    if (text.empty() || text.front() != end) {
        return false;
    }
    text.remove_prefix(1);
    return true;
}
}

DaemonShare daemonShare(const PoolSettings &pool, std::uint32_t liveDaemons)
{
    return {shareOf(pool.slots, liveDaemons), shareOf(pool.connections, liveDaemons)};
}

std::optional<ReportedLoad> parseReportedLoad(std::string_view text)
{
    ReportedLoad load;
    if (!readNumber(text, '/', load.inFlight) || !readNumber(text, '/', load.slots)
        || !readNumber(text, '\0', load.queued) || load.slots == 0) {
        return {};
    }
    return load;
}

ServerObservations::ServerObservations(ObservationSettings settings)
    : m_settings(settings)
{
}

std::uint32_t ServerObservations::entryFor(Instant now, const Identity &identity)
{
    const auto [it, isNew] = m_entryOfIdentity.try_emplace(identity, 0);
    if (!isNew) {
        return it->second;
    }
    if (m_unusedEntries.empty()) {
        m_unusedEntries.push_back(static_cast<std::uint32_t>(m_entries.size()));
        m_entries.emplace_back();
    }
    it->second = m_unusedEntries.back();
    m_unusedEntries.pop_back();
    auto &entry = m_entries[it->second];
    entry.identity = identity;
    startSlowly(now, entry);
    entry.adaptiveLimit = m_share.slots;
    return it->second;
}

/// Frees the entry of a server that is not listed any more, once none of its attempts is in flight.
void ServerObservations::releaseIfUnused(std::uint32_t index)
{
    auto &entry = m_entries[index];
    if (entry.index != noServer || entry.inFlight > 0) {
        return;
    }
    m_entryOfIdentity.erase(entry.identity);
    entry = Entry();
    m_unusedEntries.push_back(index);
}

void ServerObservations::setServers(Instant now, const std::vector<RoutedServer> &servers, DaemonShare share)
{
    m_share = share;
    const auto before = std::exchange(m_entryOfServer, {});
    for (const auto it : before) {
        m_entries[it].index = noServer;
    }
    m_entryOfServer.reserve(servers.size());
    for (std::size_t n = 0; n < servers.size(); ++n) {
        const auto index = entryFor(now, servers[n].identity);
        auto &entry = m_entries[index];
        entry.index = static_cast<ServerIndex>(n);
        entry.acceptsWork = servers[n].acceptsWork();
        entry.slots = servers[n].slots;
        entry.isLocal = m_localDomain.empty() || servers[n].failureDomain == m_localDomain;
        m_entryOfServer.push_back(index);
    }
    for (const auto it : before) {
        releaseIfUnused(it);
    }
}

double ServerObservations::decayedPenalty(Instant now, const Entry &entry) const
{
    if (entry.penalty == 0) {
        return 0;
    }
    return entry.penalty * std::exp2(-toSeconds(now - entry.penaltyAt) / toSeconds(m_settings.penaltyHalfLife));
}

bool ServerObservations::isAwaitingProbe(Instant now, const Entry &entry) const
{
    const bool probeDue = now >= entry.probeAt && entry.inFlight == 0;
    return entry.isEjected && !probeDue;
}

ServerView ServerObservations::makeView(Instant now, const Entry &entry) const
{
    ServerView view;
    view.server = entry.index;
    view.eligible = entry.acceptsWork && !isAwaitingProbe(now, entry);
    view.inFlight = entry.inFlight;
    view.limit = m_share.slots;
    view.adaptiveLimit = std::min<double>(entry.adaptiveLimit, m_share.connections);
    view.latencySeconds = entry.latencySeconds;
    view.penalty = decayedPenalty(now, entry);
    if (entry.report) {
        const double age = toSeconds(now - entry.reportedAt) / toSeconds(m_settings.reportLifetime);
        view.reportWeight = std::clamp(1 - age, 0.0, 1.0);
        const double outstanding = static_cast<double>(entry.report->inFlight) + entry.report->queued;
        view.reportedLoad = view.reportWeight > 0 ? outstanding / entry.report->slots : -1;
        const double workAge = toSeconds(now - entry.reportedAt) / toSeconds(m_settings.workPercentLifetime);
        view.workFactor = 1 + std::clamp(1 - workAge, 0.0, 1.0) * (workFactorOf(*entry.report) - 1);
    }
    if (m_settings.slowStartBy == SlowStart::Answers) {
        view.pace = entry.pace.share(now);
    } else {
        const double age = toSeconds(now - entry.slowStartAt) / toSeconds(m_settings.slowStart);
        view.weight = std::clamp(age, InitialSlowStartWeight, 1.0);
    }
    view.outstanding = estimatedOutstanding(now, entry);
    view.slots = entry.report ? entry.report->slots : std::max<double>(1, entry.slots);
    view.serviceSeconds = entry.serviceSeconds;
    view.isLocal = entry.isLocal;
    return view;
}

double ServerObservations::estimatedOutstanding(Instant now, const Entry &entry) const
{
    if (!entry.report) {
        return entry.inFlight;
    }
    // The estimate for other daemons' requests decays with the age of the report; this daemon's own count is exact.
    const double others = static_cast<double>(entry.report->inFlight) + entry.report->queued - entry.inFlightAtReport;
    const double age = toSeconds(now - entry.reportedAt) / toSeconds(m_settings.reportLifetime);
    return entry.inFlight + std::max(0.0, others) * std::exp2(-age);
}

ServerView ServerObservations::view(Instant now, ServerIndex server) const
{
    return server < m_entryOfServer.size() ? makeView(now, m_entries[m_entryOfServer[server]]) : ServerView();
}

void ServerObservations::updateServiceTime(Entry &entry, double latencySeconds, double outstandingAtStart)
{
    const double slots = entry.report ? entry.report->slots : std::max<double>(1, entry.slots);
    const double rounds = std::max(1.0, (outstandingAtStart + 1) / slots);
    const double workFactor = entry.report ? workFactorOf(*entry.report) : 1;
    const double sample = latencySeconds / rounds / workFactor;
    const double previous = entry.serviceSeconds;
    const double weight = entry.isPaced ? PacedSampleWeight : SampleWeight;
    entry.serviceSeconds = previous == 0 ? sample : previous + weight * (sample - previous);
}

const std::vector<ServerView> &ServerObservations::views(Instant now)
{
    m_views.clear();
    if (m_settings.slowStartBy == SlowStart::Answers) {
        endPaces(now);
    }
    std::size_t accepting = 0;
    std::size_t ejected = 0;
    for (const auto it : m_entryOfServer) {
        const auto &entry = m_entries[it];
        m_views.push_back(makeView(now, entry));
        accepting += entry.acceptsWork ? 1 : 0;
        ejected += entry.acceptsWork && entry.isEjected ? 1 : 0;
    }
    m_isPanicking = static_cast<double>(ejected) > m_settings.panicThreshold * static_cast<double>(accepting);
    m_concurrency = 0;
    m_adaptiveConcurrency = 0;
    for (auto &it : m_views) {
        it.eligible = it.eligible || (m_isPanicking && m_entries[m_entryOfServer[it.server]].acceptsWork);
        m_concurrency += it.eligible ? it.limit : 0;
        m_adaptiveConcurrency += it.eligible ? static_cast<std::uint32_t>(it.adaptiveLimit) : 0;
    }
    return m_views;
}

std::uint32_t ServerObservations::inFlight(ServerIndex server) const
{
    return server < m_entryOfServer.size() ? m_entries[m_entryOfServer[server]].inFlight : 0;
}

double ServerObservations::throttleProbability(Instant now, ServerIndex server) const
{
    return server < m_entryOfServer.size() ? m_entries[m_entryOfServer[server]].throttle.throttleProbability(now) : 0;
}

void ServerObservations::throttled(Instant now, ServerIndex server)
{
    if (server < m_entryOfServer.size()) {
        m_entries[m_entryOfServer[server]].throttle.throttled(now);
    }
}

/// A failed attempt counts as a refusal if the server had a queue when the attempt started, since overloaded servers
/// reset connections. Without a queue a failure is no sign of overload.
void ServerObservations::updateThrottle(Instant now, Entry &entry, const AttemptObservation &observation)
{
    const bool hasQueue = observation.outstandingAtStart >= std::max<double>(1, entry.slots);
    switch (observation.end) {
    case AttemptEnd::Answered:
        entry.throttle.accepted(now);
        if (observation.load && observation.load->queued == 0 && observation.load->inFlight < observation.load->slots) {
            entry.throttle.reset();
        }
        break;
    case AttemptEnd::Shed:
    case AttemptEnd::Silent:
        entry.throttle.refused(now);
        break;
    case AttemptEnd::Failed:
        if (hasQueue) {
            entry.throttle.refused(now);
        }
        break;
    case AttemptEnd::NotReady:
    case AttemptEnd::Cancelled:
        break;
    }
}

ServerHandle ServerObservations::started(Instant /*now*/, ServerIndex server)
{
    const auto handle = m_entryOfServer.at(server);
    ++m_entries[handle].inFlight;
    return handle;
}

void ServerObservations::finished(Instant now, ServerHandle handle, const AttemptObservation &observation)
{
    auto &entry = m_entries.at(handle);
    --entry.inFlight;
    if (entry.index == noServer) {
        releaseIfUnused(handle);
        return;
    }
    updateThrottle(now, entry, observation);
    if (observation.load) {
        entry.report = observation.load;
        entry.reportedAt = now;
        entry.inFlightAtReport = entry.inFlight;
    }
    switch (observation.end) {
    case AttemptEnd::Answered:
        updateServiceTime(entry, toSeconds(observation.latency), observation.outstandingAtStart);
        answered(now, entry, observation.latency);
        break;
    case AttemptEnd::Shed:
        addPenalty(now, entry, ShedPenalty);
        break;
    case AttemptEnd::Silent:
        countFailure(now, entry, ShedPenalty);
        break;
    case AttemptEnd::NotReady:
        eject(now, entry);
        break;
    case AttemptEnd::Failed:
        countFailure(now, entry, FailurePenalty);
        break;
    case AttemptEnd::Cancelled:
        break;
    }
    updatePace(now, entry, observation); // afterwards, so that the answer to a probe counts
}

void ServerObservations::startSlowly(Instant now, Entry &entry)
{
    entry.slowStartAt = now;
    if (m_settings.slowStartBy == SlowStart::Answers) {
        m_paceCounts.started += entry.isPaced ? 0 : 1;
        entry.pace = AnswerPace(m_settings.slowStart);
        entry.pace.start(now);
        entry.isPaced = true;
        entry.wasSlow = false;
    }
}

void ServerObservations::becameCold(Instant now, ServerIndex server)
{
    if (m_settings.slowStartBy == SlowStart::Answers && server < m_entryOfServer.size()) {
        startSlowly(now, m_entries[m_entryOfServer[server]]);
    }
}

std::vector<ServerPace> ServerObservations::paces(Instant now) const
{
    std::vector<ServerPace> list;
    for (const auto it : m_entryOfServer) {
        const auto &entry = m_entries[it];
        if (!entry.pace.isEnded(now)) {
            list.push_back({entry.identity, entry.pace.share(now), now - entry.pace.startedAt()});
        }
    }
    std::sort(list.begin(), list.end(), [](const auto &a, const auto &b) { return a.share < b.share; });
    return list;
}

/// Mean over the servers whose pace has ended, or over all others while there is none.
double ServerObservations::meanLatencyOfPeers(const Entry &entry) const
{
    std::array<double, 2> sum{};
    std::array<std::size_t, 2> count{};
    for (const auto it : m_entryOfServer) {
        const auto &peer = m_entries[it];
        if (&peer != &entry && peer.usualLatencySeconds > 0) {
            sum[peer.isPaced ? 1 : 0] += peer.usualLatencySeconds;
            ++count[peer.isPaced ? 1 : 0];
        }
    }
    const std::size_t group = count[0] > 0 ? 0 : 1;
    return count[group] == 0 ? 0 : sum[group] / static_cast<double>(count[group]);
}

void ServerObservations::updatePace(Instant now, Entry &entry, const AttemptObservation &observation)
{
    if (m_settings.slowStartBy != SlowStart::Answers || observation.end == AttemptEnd::Cancelled) {
        return;
    }
    const bool isPaced = !entry.pace.isEnded(now);
    if (observation.end == AttemptEnd::Answered) {
        const double sample = toSeconds(observation.latency) / (observation.load ? workFactorOf(*observation.load) : 1);
        if (isPaced) {
            entry.wasSlow = !entry.pace.answered(now, sample, meanLatencyOfPeers(entry));
            ++(entry.wasSlow ? m_paceCounts.slow : m_paceCounts.good);
        }
        const double previous = entry.usualLatencySeconds;
        entry.usualLatencySeconds = previous == 0 ? sample : previous + SampleWeight * (sample - previous);
        entry.answeredAt = now;
    } else if (isPaced && (observation.end == AttemptEnd::Shed || observation.end == AttemptEnd::NotReady)) {
        entry.pace.refused(now);
        ++m_paceCounts.refused;
    } else if (isPaced) {
        entry.pace.failed(now);
        ++m_paceCounts.failed;
    }
}

/// Ends paces. The service time of a server whose answers were few, or slow while it was cold, is then replaced by that
/// of a random other one: with a fixed value all daemons would choose the server at the same time, or none would.
void ServerObservations::endPaces(Instant now)
{
    for (const auto it : m_entryOfServer) {
        auto &entry = m_entries[it];
        if (!entry.isPaced || !entry.pace.isEnded(now)) {
            continue;
        }
        entry.isPaced = false;
        ++m_paceCounts.ended;
        const auto &peer = m_entries[m_entryOfServer[m_random() % m_entryOfServer.size()]];
        const bool isSlowByNature = entry.wasSlow && now - entry.answeredAt < OutdatedServiceTime;
        if (peer.isPaced || peer.serviceSeconds == 0 || isSlowByNature) {
            continue;
        }
        if (entry.serviceSeconds == 0 || entry.serviceSeconds > peer.serviceSeconds) {
            entry.serviceSeconds = peer.serviceSeconds;
        }
    }
}

void ServerObservations::silent(Instant now, ServerHandle handle)
{
    auto &entry = m_entries.at(handle);
    if (entry.index == noServer) {
        return;
    }
    entry.throttle.refused(now);
    countFailure(now, entry, ShedPenalty);
}

void ServerObservations::countFailure(Instant now, Entry &entry, double penalty)
{
    addPenalty(now, entry, penalty);
    ++entry.consecutiveFailures;
    if (entry.isEjected || entry.consecutiveFailures >= m_settings.failuresToEject) {
        eject(now, entry);
    }
}

void ServerObservations::answered(Instant now, Entry &entry, Duration latency)
{
    if (entry.isEjected) {
        entry.isEjected = false;
        entry.backoff = Duration::zero();
        startSlowly(now, entry);
    }
    entry.consecutiveFailures = 0;
    const double sample = toSeconds(latency);
    entry.latencySeconds =
        entry.latencySeconds == 0 ? sample : entry.latencySeconds + SampleWeight * (sample - entry.latencySeconds);
    updateAdaptiveLimit(entry, sample);
}

void ServerObservations::updateAdaptiveLimit(Entry &entry, double latencySeconds)
{
    // Estimates the latency without queueing: follows the mean latency down quickly and up slowly.
    if (entry.noLoadLatencySeconds == 0) {
        entry.noLoadLatencySeconds = latencySeconds;
    }
    const double weight = entry.latencySeconds < entry.noLoadLatencySeconds ? SampleWeight : NoLoadLatencyRise;
    entry.noLoadLatencySeconds += weight * (entry.latencySeconds - entry.noLoadLatencySeconds);
    const double gradient = std::clamp(LatencyTolerance * entry.noLoadLatencySeconds / entry.latencySeconds, 0.5, 1.0);
    const double target = entry.adaptiveLimit * gradient + std::sqrt(entry.adaptiveLimit);
    const bool inUse = entry.inFlight + 1.0 >= entry.adaptiveLimit / 2;
    // The limit is raised only when at least half of it is in use; otherwise the latency does not show that the server
    // can run more requests.
    if (inUse || target < entry.adaptiveLimit) {
        entry.adaptiveLimit += SampleWeight * (target - entry.adaptiveLimit);
    }
    entry.adaptiveLimit = std::clamp<double>(entry.adaptiveLimit, 1, m_share.connections);
}

void ServerObservations::addPenalty(Instant now, Entry &entry, double requests)
{
    entry.penalty = decayedPenalty(now, entry) + requests;
    entry.penaltyAt = now;
    entry.adaptiveLimit = std::max(1.0, entry.adaptiveLimit * 0.9);
}

void ServerObservations::eject(Instant now, Entry &entry)
{
    // Attempts that were in flight when the server was ejected must not prolong the ejection.
    if (entry.isEjected && now < entry.probeAt) {
        return;
    }
    entry.backoff = entry.isEjected ? std::min(2 * entry.backoff, m_settings.probeAfterMax) : m_settings.probeAfter;
    entry.isEjected = true;
    entry.probeAt = now + entry.backoff;
}

}

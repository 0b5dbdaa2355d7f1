#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string_view>
#include <vector>

#include <galenarock/answerpace.h>
#include <galenarock/routing.h>
#include <galenarock/shedthrottle.h>

/// One daemon's observations of a service's backend servers, and load-balancing policies that use them.
///
/// The classes are not thread-safe: use one instance per worker thread, or guard a shared instance with a mutex.
namespace Galenarock
{

/// One daemon's share of a server's capacity.
struct DaemonShare
{
    std::uint32_t slots = 1;
    std::uint32_t connections = 1;

    friend bool operator==(const DaemonShare &a, const DaemonShare &b)
    {
        return a.slots == b.slots && a.connections == b.connections;
    }
};

/// Slots and connections of `pool` divided by the number of live daemons, rounded down; at least 1 of each.
DaemonShare daemonShare(const PoolSettings &pool, std::uint32_t liveDaemons);

/// Load that a server reports in the response header Galenarock-Load, as `<inFlight>/<slots>/<queued>`.
struct ReportedLoad
{
    std::uint32_t inFlight = 0;
    std::uint32_t slots = 1;
    std::uint32_t queued = 0;
    /// How long work takes on the server's machine at this moment, in percent of the usual time. Machines that servers
    /// share with others change it many times per second.
    std::uint32_t workPercent = 100;

    friend bool operator==(const ReportedLoad &a, const ReportedLoad &b)
    {
        return a.inFlight == b.inFlight && a.slots == b.slots && a.queued == b.queued && a.workPercent == b.workPercent;
    }
};

/// Empty for malformed text or zero slots.
std::optional<ReportedLoad> parseReportedLoad(std::string_view text);

/// Outcome of an attempt with respect to the server's health.
enum class AttemptEnd : std::uint8_t
{
    /// Complete response, including 4xx, which is caused by the request and not by the server.
    Answered,
    /// Refused with `shed`: the server is healthy but overloaded.
    Shed,
    /// No byte of an answer within the bound of the service, whose servers go silent when they are full (SilenceWatch).
    /// Counts as a refusal; several in a row without any answer eject the server, since it may be lost.
    Silent,
    /// Refused with `cold` or `draining`.
    NotReady,
    /// Connect failure, lost connection, incomplete response, deadline passed, or a 5xx that is not a refusal.
    Failed,
    /// Cancelled by this daemon because another hedged attempt won or the caller disconnected; says nothing about the
    /// server's health.
    Cancelled,
};

struct AttemptObservation
{
    AttemptEnd end = AttemptEnd::Answered;
    /// From the start of the attempt to its end.
    Duration latency{};
    std::optional<ReportedLoad> load;
    /// ServerView::outstanding when the attempt started.
    double outstandingAtStart = 0;
};

struct ObservationSettings
{
    /// Consecutive failures after which a server is ejected. One or two can also be caused by a single broken
    /// connection.
    std::uint32_t failuresToEject = 3;
    /// Delay until the first probe of an ejected server; doubles after each failed probe, up to `probeAfterMax`.
    Duration probeAfter = milliseconds(500);
    Duration probeAfterMax = seconds(10);
    /// The weight of a new or recovered server rises from 0.1 to 1 over this time; with SlowStart::Answers its pace
    /// does without answers.
    Duration slowStart = seconds(5);
    SlowStart slowStartBy = SlowStart::Linear;
    /// Age at which a load report has lost its influence, which falls linearly from the start.
    Duration reportLifetime = seconds(1);
    /// Age at which a reported ReportedLoad::workPercent has lost its influence, which falls linearly from the start.
    Duration workPercentLifetime = milliseconds(400);
    /// Half-life of the penalty for failures and refusals.
    Duration penaltyHalfLife = milliseconds(500);
    /// When more than this share of the servers is ejected, ejections are ignored: the cause is then more likely this
    /// daemon, the network or the requests, and the remaining servers would be overloaded by the whole traffic.
    double panicThreshold = 0.5;
};

/// State of one server as input of a policy.
struct ServerView
{
    ServerIndex server = noServer;
    /// Accepts work, and is not ejected unless a probe is due or ejections are ignored (panic mode).
    bool eligible = false;
    /// Requests of this daemon in flight at the server.
    std::uint32_t inFlight = 0;
    /// Limit on inFlight: this daemon's share of the slots.
    std::uint32_t limit = 1;
    /// Limit on inFlight derived from the latency gradient, between 1 and this daemon's share of the connections.
    double adaptiveLimit = 1;
    /// Exponentially weighted mean latency of answered attempts; 0 when none. Failures are excluded, so that a server
    /// that fails fast does not look fast.
    double latencySeconds = 0;
    /// Penalty for recent failures and refusals, as a number of additional requests in flight.
    double penalty = 0;
    /// (inFlight + queued) / slots of the last report; negative when there is no recent report.
    double reportedLoad = -1;
    /// Influence of the report: 1 when new, falling linearly with its age to 0 when stale.
    double reportWeight = 0;
    /// Slow-start weight, 0.1 to 1; 1 with SlowStart::Answers.
    double weight = 1;
    /// Share of its usual requests that the server gets, see AnswerPace; 1 with SlowStart::Linear.
    double pace = 1;
    /// Estimated requests at the server from all daemons, running and queued, from the last load report and this
    /// daemon's own requests since.
    double outstanding = 0;
    /// Number of requests that the server runs concurrently.
    double slots = 1;
    /// Service time without queueing, at the usual speed of the server's machine; 0 when unknown.
    double serviceSeconds = 0;
    /// Expected service time now as a multiple of `serviceSeconds`, from the last report; 1 without a recent one.
    double workFactor = 1;
    /// The server is in this daemon's failure domain.
    bool isLocal = true;
};

/// Identifies the server of an attempt; stays valid when the server list changes while the attempt is in flight.
using ServerHandle = std::uint32_t;

/// Tracks load, latency and failures of one service's servers as observed by one daemon.
///
/// Example: `const auto handle = observations.started(now, index); ... observations.finished(now, handle, {end, d});`
class ServerObservations
{
public:
    explicit ServerObservations(ObservationSettings settings = {});

    /// Call for each new snapshot and each change of the number of live daemons. Observations are kept by identity,
    /// which includes the boot number, so those of a restarted server are discarded.
    void setServers(Instant now, const std::vector<RoutedServer> &servers, DaemonShare share);
    /// One view per server, in the order of setServers(). Valid until the next call.
    const std::vector<ServerView> &views(Instant now);
    /// Records the start of an attempt. Pass the returned handle to finished().
    ServerHandle started(Instant now, ServerIndex server);
    /// Records the end of an attempt; call once per handle.
    void finished(Instant now, ServerHandle handle, const AttemptObservation &observation);
    /// Records AttemptEnd::Silent for an attempt that goes on. Call at most once per handle; when the attempt then ends
    /// without an answer, pass AttemptEnd::Cancelled to finished().
    void silent(Instant now, ServerHandle handle);
    /// Requests of this daemon in flight at one server; cheaper than views(). 0 for an unknown index.
    std::uint32_t inFlight(ServerIndex server) const;
    /// View of one server; a default view with noServer for an unknown index. Does not apply panic mode.
    ServerView view(Instant now, ServerIndex server) const;
    /// Share of requests for an overloaded server that should be refused instead of sent, see
    /// ShedThrottle::throttleProbability(); 0 for an unknown index.
    double throttleProbability(Instant now, ServerIndex server) const;
    /// Records a request for the server that was refused because of throttleProbability().
    void throttled(Instant now, ServerIndex server);
    /// Takes effect for servers that start or recover afterwards. `seed` should differ between daemons.
    void setSlowStart(SlowStart slowStart, std::uint64_t seed)
    {
        m_settings.slowStartBy = slowStart;
        m_random.seed(seed);
    }
    /// The server's process is cold again; starts its pace anew with SlowStart::Answers.
    void becameCold(Instant now, ServerIndex server);
    /// Listed servers whose pace has not ended, the lowest share first.
    std::vector<ServerPace> paces(Instant now) const;
    const PaceCounts &paceCounts() const
    {
        return m_paceCounts;
    }
    /// Sets the failure domain of this daemon, whose servers are preferred. Takes effect at the next setServers().
    void setLocalDomain(std::string domain)
    {
        m_localDomain = std::move(domain);
    }
    DaemonShare share() const
    {
        return m_share;
    }
    /// Whether ejections are ignored because too many servers are ejected (as of the last views()).
    bool isPanicking() const
    {
        return m_isPanicking;
    }
    /// Sum of `limit` over the eligible servers (as of the last views()): the number of requests that may be in flight.
    std::uint32_t concurrency() const
    {
        return m_concurrency;
    }
    /// Sum of `adaptiveLimit`, each rounded down, over the eligible servers (as of the last views()).
    std::uint32_t adaptiveConcurrency() const
    {
        return m_adaptiveConcurrency;
    }

private:
    struct Entry
    {
        Identity identity;
        /// noServer when the server is not in the current list; the entry is then kept while attempts are in flight.
        ServerIndex index = noServer;
        bool acceptsWork = false;
        std::uint32_t inFlight = 0;
        double latencySeconds = 0;
        double penalty = 0;
        Instant penaltyAt{};
        std::optional<ReportedLoad> report;
        Instant reportedAt{};
        /// This daemon's requests in flight when the report arrived.
        std::uint32_t inFlightAtReport = 0;
        std::uint32_t slots = 0;
        double serviceSeconds = 0;
        bool isLocal = true;
        std::uint32_t consecutiveFailures = 0;
        bool isEjected = false;
        Instant probeAt{};
        Duration backoff{};
        Instant slowStartAt{};
        AnswerPace pace;
        /// The pace has not ended as of the last views().
        bool isPaced = false;
        /// The last answer reduced the pace.
        bool wasSlow = false;
        Instant answeredAt{};
        /// Mean latency of answered attempts at the usual speed of the server's machine; 0 when none.
        double usualLatencySeconds = 0;
        double adaptiveLimit = 1;
        double noLoadLatencySeconds = 0;
        ShedThrottle throttle;
    };
    std::uint32_t entryFor(Instant now, const Identity &identity);
    void releaseIfUnused(std::uint32_t index);
    void answered(Instant now, Entry &entry, Duration latency);
    void updateAdaptiveLimit(Entry &entry, double latencySeconds);
    void addPenalty(Instant now, Entry &entry, double requests);
    void countFailure(Instant now, Entry &entry, double penalty);
    static void updateThrottle(Instant now, Entry &entry, const AttemptObservation &observation);
    void eject(Instant now, Entry &entry);
    double decayedPenalty(Instant now, const Entry &entry) const;
    double estimatedOutstanding(Instant now, const Entry &entry) const;
    static void updateServiceTime(Entry &entry, double latencySeconds, double outstandingAtStart);
    ServerView makeView(Instant now, const Entry &entry) const;
    bool isAwaitingProbe(Instant now, const Entry &entry) const;
    void startSlowly(Instant now, Entry &entry);
    void updatePace(Instant now, Entry &entry, const AttemptObservation &observation);
    double meanLatencyOfPeers(const Entry &entry) const;
    void endPaces(Instant now);

    ObservationSettings m_settings;
    DaemonShare m_share;
    std::string m_localDomain;
    std::vector<Entry> m_entries;
    /// Position in m_entries of each listed server, and of each other one with attempts in flight.
    std::map<Identity, std::uint32_t> m_entryOfIdentity;
    /// Free positions of m_entries.
    std::vector<std::uint32_t> m_unusedEntries;
    /// Position in m_entries of each ServerIndex.
    std::vector<std::uint32_t> m_entryOfServer;
    std::vector<ServerView> m_views;
    PaceCounts m_paceCounts;
    std::mt19937_64 m_random;
    bool m_isPanicking = false;
    std::uint32_t m_concurrency = 0;
    std::uint32_t m_adaptiveConcurrency = 0;
};

struct ChoiceInput
{
    const std::vector<ServerView> &servers;
    /// Random bits for this choice, from the caller's seeded generator.
    std::uint64_t random = 0;
    /// Delay up to which a faster answer has no benefit: while a server of the local failure domain has an expected
    /// delay within it, servers of other domains are not chosen.
    double targetDelaySeconds = 0;
};

/// Chooses a server for one request of a balanced service; noServer when no server may receive another request now.
using ServerChoicePolicy = std::function<ServerIndex(const ChoiceInput &)>;

/// Uniformly random choice among the servers below their limits.
ServerIndex chooseRandom(const ChoiceInput &input);
/// The server below its limit with the fewest requests of this daemon in flight, adjusted for penalty and slow start.
ServerIndex chooseLeastInFlight(const ChoiceInput &input);
/// Power of two choices: the better of two random servers below their limits, by requests in flight, reported load,
/// penalty and slow start.
ServerIndex choosePowerOfTwo(const ChoiceInput &input);
/// Power of two choices by utilization of the adaptive limits.
ServerIndex chooseAdaptive(const ChoiceInput &input);

/// Expected time in seconds until the server has answered one more request, regardless of its failure domain.
double expectedDelaySeconds(const ServerView &view);
/// The eligible server with the shortest expected delay, see expectedDelaySeconds(); limits are not applied. Servers of
/// other failure domains must be clearly faster, since traffic between domains costs more.
ServerIndex chooseShortestExpectedDelay(const ChoiceInput &input);

/// chooseLeastInFlight. When load reports lag by 200 ms, all daemons choose the same servers by them: with the share of
/// connections as limit, choosePowerOfTwo has twice the median latency at 80% load (docs/requests.md).
ServerChoicePolicy defaultServerChoice();

/// Chooses with `policy` among the servers that are not in `avoid` (those that the request has already tried), or among
/// all servers if that finds none. A server with a pace below 1 gets that part of an even share of the requests, unless
/// more than half of the servers have one.
ServerIndex chooseServer(const ServerChoicePolicy &policy, const std::vector<ServerView> &views,
                         const std::vector<ServerIndex> &avoid, std::uint64_t random, double targetDelaySeconds = 0);

}

#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>
#include <vector>

#include <galenarock/routing.h>
#include <galenarock/shedthrottle.h>

/// What one daemon observes about the backend servers of a service, and the policies that choose among them.
///
/// The classes are not thread-safe; each worker thread has its own, or they share a mutex.
namespace Galenarock
{

/// One daemon's part of a server's capacity.
struct DaemonShare
{
    std::uint32_t slots = 1;
    std::uint32_t connections = 1;

    friend bool operator==(const DaemonShare &a, const DaemonShare &b)
    {
        return a.slots == b.slots && a.connections == b.connections;
    }
};

/// Total divided by the number of live daemons, at least 1 of each.
DaemonShare daemonShare(const PoolSettings &pool, std::uint32_t liveDaemons);

/// Content of the response header Galenarock-Load: `<inFlight>/<slots>/<queued>`.
struct ReportedLoad
{
    std::uint32_t inFlight = 0;
    std::uint32_t slots = 1;
    std::uint32_t queued = 0;

    friend bool operator==(const ReportedLoad &a, const ReportedLoad &b)
    {
        return a.inFlight == b.inFlight && a.slots == b.slots && a.queued == b.queued;
    }
};

/// Empty for malformed text or zero slots.
std::optional<ReportedLoad> parseReportedLoad(std::string_view text);

/// How an attempt ended, as far as the server's health is concerned.
enum class AttemptEnd : std::uint8_t
{
    /// A complete response. Also for 4xx, which says nothing about the server.
    Answered,
    /// Refused with `shed`: healthy but full.
    Shed,
    /// Refused with `cold` or `draining`.
    NotReady,
    /// No connection, connection lost, response cut, deadline passed, or a 5xx that is no refusal.
    Failed,
    /// Cancelled by this daemon (hedge lost, caller gone); says nothing about the server.
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
    /// Consecutive failures after which a server is held back. One or two also happen when a single connection breaks.
    std::uint32_t failuresToEject = 3;
    /// Time until the first probe of a held server; doubles with each failed probe up to the maximum.
    Duration probeAfter = milliseconds(500);
    Duration probeAfterMax = seconds(10);
    /// A new or recovered server's weight grows from 0.1 to 1 over this time.
    Duration slowStart = seconds(5);
    /// Reported load loses its influence linearly until this age.
    Duration reportLifetime = seconds(1);
    /// Half-life of the penalty for failures and refusals.
    Duration penaltyHalfLife = milliseconds(500);
    /// When more than this share of the servers is held, holds are ignored: then the cause is more likely this daemon,
    /// the network or the requests, and concentrating all traffic on the rest would overload it.
    double panicThreshold = 0.5;
};

/// What a policy sees of one server.
struct ServerView
{
    ServerIndex server = noServer;
    /// Accepts work and is not held back (or the panic rule applies, or it is due for a probe).
    bool eligible = false;
    /// Requests of this daemon.
    std::uint32_t inFlight = 0;
    /// Bound on inFlight: this daemon's share of the slots.
    std::uint32_t limit = 1;
    /// Bound on inFlight found from the latency gradient, between 1 and the share of the connections.
    double adaptiveLimit = 1;
    /// Mean latency of answered attempts in seconds, exponentially weighted; 0 when none. Failures do not count, so a
    /// server that fails fast does not look fast.
    double latencySeconds = 0;
    /// Recent failures and refusals, in requests.
    double penalty = 0;
    /// (inFlight + queued) / slots as reported; negative when nothing was reported recently.
    double reportedLoad = -1;
    /// Influence of the report by its age, 1 when new, 0 when stale.
    double reportWeight = 0;
    /// Slow start, 0.1 to 1.
    double weight = 1;
    /// Requests at the server from all daemons, running and waiting, as estimated from its last report and from what
    /// this daemon has sent since.
    double outstanding = 0;
    /// Requests that it runs at once.
    double slots = 1;
    /// Time of an answer without queueing, in seconds; 0 when not known.
    double serviceSeconds = 0;
    /// In this daemon's failure domain.
    bool isLocal = true;
};

/// Identifies an attempt's server across changes of the server list.
using ServerHandle = std::uint32_t;

/// Observations of one service's servers by one daemon.
///
/// Example: `const auto handle = observations.started(now, index); ... observations.finished(now, handle, {end, d});`
class ServerObservations
{
public:
    explicit ServerObservations(ObservationSettings settings = {});

    /// Call for each new snapshot and each change of the number of live daemons. Observations are kept by identity; a
    /// restarted server starts afresh.
    void setServers(Instant now, const std::vector<RoutedServer> &servers, DaemonShare share);
    /// One view for each server, in the order of setServers. Valid until the next call.
    const std::vector<ServerView> &views(Instant now);
    ServerHandle started(Instant now, ServerIndex server);
    void finished(Instant now, ServerHandle handle, const AttemptObservation &observation);
    /// Requests of this daemon at one server, without the cost of all views; 0 for an unknown index.
    std::uint32_t inFlight(ServerIndex server) const;
    /// View of one server; valid until the next call of any method.
    ServerView view(Instant now, ServerIndex server) const;
    /// Share of a full server's requests that should be refused instead of sent; 0 for an unknown index.
    double throttleProbability(Instant now, ServerIndex server) const;
    /// A request for the server was refused for this reason.
    void throttled(Instant now, ServerIndex server);
    /// Failure domain of this daemon; its servers are preferred.
    void setLocalDomain(std::string domain)
    {
        m_localDomain = std::move(domain);
    }
    DaemonShare share() const
    {
        return m_share;
    }
    /// Whether holds are being ignored (as of the last views()).
    bool isPanicking() const
    {
        return m_panic;
    }
    /// Sum of `limit` over eligible servers (as of the last views()): how many requests may run at once.
    std::uint32_t concurrency() const
    {
        return m_concurrency;
    }
    /// Same for `adaptiveLimit`.
    std::uint32_t adaptiveConcurrency() const
    {
        return m_adaptiveConcurrency;
    }

private:
    struct Entry
    {
        Identity identity;
        /// noServer when the current list does not contain it; kept while attempts are in flight.
        ServerIndex index = noServer;
        bool acceptsWork = false;
        std::uint32_t inFlight = 0;
        double latencySeconds = 0;
        double penalty = 0;
        Instant penaltyAt{};
        std::optional<ReportedLoad> report;
        Instant reportedAt{};
        /// Own requests at the time of the report.
        std::uint32_t inFlightAtReport = 0;
        std::uint32_t slots = 0;
        double serviceSeconds = 0;
        bool isLocal = true;
        std::uint32_t failures = 0;
        bool held = false;
        Instant probeAt{};
        Duration backoff{};
        Instant slowStartAt{};
        double adaptiveLimit = 1;
        double floorLatency = 0;
        ShedThrottle throttle;
    };
    std::uint32_t entryFor(Instant now, const Identity &identity);
    void answered(Instant now, Entry &entry, Duration latency);
    void adaptLimit(Entry &entry, double latency);
    void punish(Instant now, Entry &entry, double requests);
    static void countTaken(Instant now, Entry &entry, const AttemptObservation &observation);
    void hold(Instant now, Entry &entry);
    double decayedPenalty(Instant now, const Entry &entry) const;
    double estimatedBusy(Instant now, const Entry &entry) const;
    static void learnServiceTime(Entry &entry, double latency, double outstandingAtStart);
    ServerView makeView(Instant now, const Entry &entry) const;
    bool isHeld(Instant now, const Entry &entry) const;

    ObservationSettings m_settings;
    DaemonShare m_share;
    std::string m_localDomain;
    std::vector<Entry> m_entries;
    /// Entry of each server index.
    std::vector<std::uint32_t> m_order;
    std::vector<ServerView> m_views;
    bool m_panic = false;
    std::uint32_t m_concurrency = 0;
    std::uint32_t m_adaptiveConcurrency = 0;
};

struct ChoiceInput
{
    const std::vector<ServerView> &servers;
    /// Random bits for this choice; the caller's generator is seeded.
    std::uint64_t random = 0;
    /// An answer within this time is as good as a faster one, in seconds: the own failure domain goes first then.
    double targetDelaySeconds = 0;
};

/// Chooses a server for one request of a balanced service; noServer when none may take another request now.
using ServerChoicePolicy = std::function<ServerIndex(const ChoiceInput &)>;

/// Any server below its limit.
ServerIndex chooseRandom(const ChoiceInput &input);
/// The server with the fewest requests of this daemon, counting penalties and slow start.
ServerIndex chooseLeastInFlight(const ChoiceInput &input);
/// The better of two random servers by requests in flight, reported load, penalty and slow start.
ServerIndex choosePowerOfTwo(const ChoiceInput &input);
/// The better of two random servers by use of their adaptive limits.
ServerIndex chooseAdaptive(const ChoiceInput &input);

/// Time in seconds until `view` would have answered one more request; the failure domain is left out.
double expectedDelaySeconds(const ServerView &view);
/// The server that is expected to answer first by its reported load, its speed and what this daemon has sent; servers
/// of other failure domains must be clearly faster, since their traffic costs more.
ServerIndex chooseShortestExpectedDelay(const ChoiceInput &input);

/// Least in flight. Reported load that lags by 200 ms makes all daemons choose the same servers: with the share of
/// connections as limit, two choices has twice the median latency at 80% load (docs/requests.md).
ServerChoicePolicy defaultServerChoice();

/// Chooses with `policy`, first among servers that are not in `avoid` (already tried by this request), then among all.
ServerIndex chooseServer(const ServerChoicePolicy &policy, const std::vector<ServerView> &views,
                         const std::vector<ServerIndex> &avoid, std::uint64_t random, double targetDelaySeconds = 0);

}

#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include <galenarock/admission.h>
#include <galenarock/retry.h>
#include <galenarock/serverchoice.h>

/// Discrete-event simulation of daemons and backend servers around the real decision cores. Deterministic: equal
/// settings and seed give equal results.
namespace Galenarock::Simulated
{

enum class Outage : std::uint8_t
{
    None,
    /// Servers refuse connections.
    Refusing,
    /// Servers accept requests and never answer.
    Frozen,
};

/// Requests of one caller per second, as a function of the time since the start in seconds.
using CallerRate = std::function<double(double)>;

struct Settings
{
    std::uint32_t daemons = 10;
    std::uint32_t servers = 8;
    std::uint32_t slots = 4;
    std::uint32_t connections = 110;
    /// The first of the servers reports idle and fails at once.
    std::uint32_t lyingServers = 0;
    /// Queue of a server, as a multiple of its slots; it sheds beyond.
    std::uint32_t serverQueue = 4;
    double serviceSeconds = 0.02;
    Duration oneWay = std::chrono::microseconds(1'500);
    Duration reportLag = milliseconds(200);
    ServerChoicePolicy policy = chooseOfTwo;
    bool isAdaptive = false;
    /// False: the share of connections bounds the requests per server instead of the share of slots.
    bool limitsBySlots = true;
    /// The last of the servers takes this many times as long.
    double lastServerSlowness = 1;
    /// Whether the daemons can tell callers apart.
    bool knowsCallers = true;
    Duration guardWindow = GuardSettings().window;
    std::vector<CallerRate> callers;
    LimitSettings limits;
    RetrySettings retry;
    std::int64_t deadlineMs = 500;
    Outage outage = Outage::None;
    double outageFrom = 0;
    /// Results are counted from here to the end.
    double measureFrom = 10;
    double endSeconds = 70;
    std::uint64_t seed = 1;

    /// Requests per second that the servers that work can run.
    double capacity() const
    {
        return (servers - lyingServers - 1 + 1 / lastServerSlowness) * slots / serviceSeconds;
    }
};

/// Counts per caller, for requests that arrived while results are counted.
struct CallerResult
{
    std::uint64_t fresh = 0;
    std::uint64_t answered = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::vector<double> latencies;

    /// Latency in milliseconds at quantile `q`.
    double quantile(double q)
    {
        if (latencies.empty()) {
            return 0;
        }
        const auto n = static_cast<std::size_t>(q * static_cast<double>(latencies.size() - 1));
        std::nth_element(latencies.begin(), latencies.begin() + static_cast<std::ptrdiff_t>(n), latencies.end());
        return latencies[n] * 1e3;
    }
};

struct Results
{
    std::vector<CallerResult> callers;
    std::uint64_t attempts = 0;
    std::uint64_t attemptsAtLiar = 0;
    double usefulSeconds = 0;
    /// Server time spent on requests whose caller no longer waited.
    double wastedSeconds = 0;
    std::uint64_t events = 0;
};

class Simulation
{
public:
    explicit Simulation(Settings settings)
        : m_settings(std::move(settings))
        , m_random(m_settings.seed)
        , m_servers(m_settings.servers)
    {
        m_results.callers.resize(m_settings.callers.size());
        m_document.requests.deadlineMs = m_settings.deadlineMs;
        m_document.requests.queueLength = 64;
        m_document.retry = m_settings.retry;
        m_document.limits = m_settings.limits;
        m_document.pool.slots = m_settings.slots;
        m_document.pool.connections = m_settings.connections;
        makeDaemons();
    }

    Results run()
    {
        for (std::size_t n = 0; n < m_settings.callers.size(); ++n) {
            scheduleArrival(n);
        }
        for (std::size_t n = 0; n < m_daemons.size(); ++n) {
            tick(n);
        }
        const auto end = fromSeconds(m_settings.endSeconds);
        while (!m_events.empty() && m_events.top().time < end) {
            auto event = m_events.top();
            m_events.pop();
            m_now = event.time;
            ++m_results.events;
            event.run();
        }
        return std::move(m_results);
    }

private:
    struct Request
    {
        std::uint64_t ticket;
        std::size_t daemon;
        std::size_t caller;
        Instant arrivedAt;
        Instant deadline;
        bool counted;
        AttemptPlan plan;
    };
    struct Attempt
    {
        std::shared_ptr<Request> request;
        ServerIndex server;
        ServerHandle handle;
        Instant startedAt;
        bool ended = false;
    };
    using AttemptPtr = std::shared_ptr<Attempt>;
    struct Server
    {
        std::uint32_t busy = 0;
        std::deque<AttemptPtr> queue;
        std::deque<std::pair<Instant, ReportedLoad>> history;
    };
    struct Daemon
    {
        ServerObservations observations;
        Admission admission;
        RetryBudget budget;
        std::map<std::uint64_t, std::shared_ptr<Request>> waiting;
    };
    struct Event
    {
        Instant time;
        std::uint64_t order;
        std::function<void()> run;
        friend bool operator<(const Event &a, const Event &b)
        {
            return std::tie(a.time, a.order) > std::tie(b.time, b.order);
        }
    };

    static Instant fromSeconds(double n)
    {
        return Instant(seconds(1'000)) + duration_cast<Duration>(std::chrono::duration<double>(n));
    }
    double sinceStart() const
    {
        return std::chrono::duration<double>(m_now - fromSeconds(0)).count();
    }
    void at(Instant time, std::function<void()> run)
    {
        m_events.push({time, m_order++, std::move(run)});
    }
    double exponential(double mean)
    {
        return std::exponential_distribution<double>(1 / mean)(m_random);
    }
    bool isCounted() const
    {
        return sinceStart() >= m_settings.measureFrom;
    }
    bool isOut() const
    {
        return m_settings.outage != Outage::None && sinceStart() >= m_settings.outageFrom;
    }

    void makeDaemons()
    {
        std::vector<RoutedServer> servers;
        for (std::uint32_t n = 0; n < m_settings.servers; ++n) {
            servers.push_back({{"s" + std::to_string(n), 0}, "127.0.0.1:80", "", false, {}});
        }
        auto share = daemonShare(m_document.pool, m_settings.daemons);
        if (!m_settings.limitsBySlots) {
            share.slots = share.connections;
        }
        GuardSettings guard;
        guard.window = m_settings.guardWindow;
        for (std::uint32_t n = 0; n < m_settings.daemons; ++n) {
            m_daemons.push_back({ServerObservations(),
                                 Admission(m_document, m_settings.daemons, guard),
                                 RetryBudget(m_settings.retry.budgetPercent),
                                 {}});
            m_daemons.back().observations.setServers(m_now, servers, share);
        }
    }

    /// Poisson arrivals by thinning steps: the rate is looked up at each arrival, and each 100 ms while it is zero.
    void scheduleArrival(std::size_t caller)
    {
        const double rate = m_settings.callers[caller](sinceStart());
        if (rate <= 0) {
            at(m_now + milliseconds(100), [this, caller] { scheduleArrival(caller); });
            return;
        }
        const double gap = exponential(1 / rate);
        at(m_now + duration_cast<Duration>(std::chrono::duration<double>(gap)), [this, caller] {
            arrive(caller);
            scheduleArrival(caller);
        });
    }

    void arrive(std::size_t caller)
    {
        const std::size_t daemon = m_random() % m_daemons.size();
        const auto deadline = m_now + milliseconds(m_settings.deadlineMs);
        auto request = std::make_shared<Request>(Request{++m_lastTicket, daemon, caller, m_now, deadline, isCounted(),
                                                         AttemptPlan(m_document, "GET", deadline)});
        m_results.callers[caller].fresh += request->counted ? 1 : 0;
        m_daemons[daemon].budget.countFresh();
        offer(request, false);
    }

    void offer(const std::shared_ptr<Request> &request, bool isRetry)
    {
        auto &daemon = m_daemons[request->daemon];
        daemon.observations.views(m_now);
        AdmissionRequest admission;
        admission.ticket = request->ticket;
        admission.deadline = request->deadline;
        admission.caller = m_settings.knowsCallers ? request->caller + 1 : 0;
        admission.isRetry = isRetry;
        const auto concurrency =
            m_settings.isAdaptive ? daemon.observations.adaptiveConcurrency() : daemon.observations.concurrency();
        const auto decision = daemon.admission.offer(m_now, admission, concurrency);
        if (decision.refusal) {
            refuse(*request, decision.refusal->outcome);
            return;
        }
        daemon.waiting[request->ticket] = request;
        pump(request->daemon);
    }

    void refuse(const Request &request, Outcome outcome)
    {
        if (!request.counted) {
            return;
        }
        auto &result = m_results.callers[request.caller];
        const bool notRun = outcome == Outcome::NotRun && !request.plan.mayHaveRun();
        (notRun ? result.notRun : result.unknown) += 1;
    }

    void pump(std::size_t index)
    {
        auto &daemon = m_daemons[index];
        for (;;) {
            ServerIndex chosen = noServer;
            std::vector<DroppedRequest> dropped;
            const auto &views = daemon.observations.views(m_now);
            if (daemon.waiting.empty() || chooseServer(m_settings.policy, views, {}, m_random()) == noServer) {
                return;
            }
            const auto next = daemon.admission.next(
                m_now,
                [&](const AdmissionRequest &it) {
                    chosen = chooseServer(m_settings.policy, views, daemon.waiting[it.ticket]->plan.triedServers(),
                                          m_random());
                    return chosen != noServer;
                },
                dropped);
            takeDropped(daemon, dropped);
            if (!next) {
                return;
            }
            const auto request = daemon.waiting[next->ticket];
            daemon.waiting.erase(next->ticket);
            send(request, chosen);
        }
    }

    void takeDropped(Daemon &daemon, const std::vector<DroppedRequest> &dropped)
    {
        for (const auto &it : dropped) {
            refuse(*daemon.waiting[it.request.ticket], it.refusal.outcome);
            daemon.waiting.erase(it.request.ticket);
        }
    }

    void tick(std::size_t daemon)
    {
        std::vector<DroppedRequest> dropped;
        m_daemons[daemon].admission.dropLate(m_now, dropped);
        takeDropped(m_daemons[daemon], dropped);
        pump(daemon);
        at(m_now + milliseconds(20), [this, daemon] { tick(daemon); });
    }

    void send(const std::shared_ptr<Request> &request, ServerIndex server)
    {
        auto &daemon = m_daemons[request->daemon];
        request->plan.started();
        if (isCounted()) {
            ++m_results.attempts;
            m_results.attemptsAtLiar += server < m_settings.lyingServers ? 1 : 0;
        }
        auto attempt = std::make_shared<Attempt>();
        attempt->request = request;
        attempt->server = server;
        attempt->handle = daemon.observations.started(m_now, server);
        attempt->startedAt = m_now;
        at(m_now + m_settings.oneWay, [this, attempt] { arriveAtServer(attempt); });
        at(request->deadline, [this, attempt] {
            end(attempt, AttemptEnd::Failed, {}, {Reason::DeadlinePassed, attempt->server, true, false, true, false});
        });
    }

    void arriveAtServer(const AttemptPtr &attempt)
    {
        auto &server = m_servers[attempt->server];
        if (attempt->server < m_settings.lyingServers) {
            reply(attempt, AttemptEnd::Failed, Reason::ConnectionLost, false);
            return;
        }
        if (isOut()) {
            if (m_settings.outage == Outage::Refusing) {
                end(attempt, AttemptEnd::Failed, {},
                    {Reason::ConnectFailed, attempt->server, false, false, true, false});
            }
            return;
        }
        if (server.busy < m_settings.slots) {
            serve(attempt);
        } else if (server.queue.size() < m_settings.serverQueue * m_settings.slots) {
            server.queue.push_back(attempt);
        } else {
            reply(attempt, AttemptEnd::Shed, Reason::ServerShed, true);
        }
        recordLoad(server);
    }

    void serve(const AttemptPtr &attempt)
    {
        ++m_servers[attempt->server].busy;
        const bool isLast = attempt->server + 1U == m_settings.servers;
        const double service = exponential(m_settings.serviceSeconds * (isLast ? m_settings.lastServerSlowness : 1));
        at(m_now + duration_cast<Duration>(std::chrono::duration<double>(service)),
           [this, attempt, service] { served(attempt, service); });
    }

    void served(const AttemptPtr &attempt, double service)
    {
        auto &server = m_servers[attempt->server];
        --server.busy;
        if (isCounted()) {
            const bool late = attempt->ended || m_now + m_settings.oneWay > attempt->request->deadline;
            (late ? m_results.wastedSeconds : m_results.usefulSeconds) += service;
        }
        reply(attempt, AttemptEnd::Answered, Reason::None, false);
        while (!server.queue.empty() && server.busy < m_settings.slots) {
            const auto next = server.queue.front();
            server.queue.pop_front();
            // The daemon cancelled it, or its deadline passed in the queue.
            if (!next->ended && m_now < next->request->deadline) {
                serve(next);
            }
        }
        recordLoad(server);
    }

    void recordLoad(Server &server)
    {
        server.history.push_back(
            {m_now, {server.busy, m_settings.slots, static_cast<std::uint32_t>(server.queue.size())}});
        while (server.history.size() > 1 && server.history[1].first <= m_now - m_settings.reportLag) {
            server.history.pop_front();
        }
    }

    ReportedLoad reportOf(ServerIndex index) const
    {
        const auto &server = m_servers[index];
        const bool known = index >= m_settings.lyingServers && !server.history.empty();
        return known ? server.history.front().second : ReportedLoad{0, m_settings.slots, 0};
    }

    void reply(const AttemptPtr &attempt, AttemptEnd result, Reason reason, bool reportedNotRun)
    {
        const auto load = reportOf(attempt->server);
        at(m_now + m_settings.oneWay, [=] {
            end(attempt, result, load, {reason, attempt->server, true, reportedNotRun, true, false});
        });
    }

    void end(const AttemptPtr &attempt, AttemptEnd result, const std::optional<ReportedLoad> &load,
             const AttemptReport &report)
    {
        if (attempt->ended) {
            return;
        }
        attempt->ended = true;
        const auto &request = attempt->request;
        auto &daemon = m_daemons[request->daemon];
        daemon.observations.finished(m_now, attempt->handle, {result, m_now - attempt->startedAt, load});
        if (result == AttemptEnd::Answered) {
            answered(*request, m_now - attempt->startedAt);
        } else {
            retryOrRefuse(request, report);
        }
        pump(request->daemon);
    }

    void answered(const Request &request, Duration attemptTime)
    {
        m_daemons[request.daemon].admission.finished(m_now, attemptTime);
        if (!request.counted) {
            return;
        }
        auto &result = m_results.callers[request.caller];
        ++result.answered;
        result.latencies.push_back(std::chrono::duration<double>(m_now - request.arrivedAt).count());
    }

    void retryOrRefuse(const std::shared_ptr<Request> &request, const AttemptReport &report)
    {
        auto &daemon = m_daemons[request->daemon];
        const auto decision =
            request->plan.failed(m_now, report, daemon.budget, daemon.admission.serviceTime(m_now), m_random());
        if (!decision.shouldRetry) {
            refuse(*request, decision.refusal.outcome);
            return;
        }
        at(m_now + decision.delay, [this, request] { offer(request, true); });
    }

    Settings m_settings;
    ServiceDocument m_document;
    std::mt19937_64 m_random;
    std::vector<Server> m_servers;
    std::vector<Daemon> m_daemons;
    std::priority_queue<Event> m_events;
    std::uint64_t m_order = 0;
    std::uint64_t m_lastTicket = 0;
    Instant m_now = fromSeconds(0);
    Results m_results;
};

}

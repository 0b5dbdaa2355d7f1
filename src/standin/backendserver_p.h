#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include <galenarock/ownership.h>
#include <galenarock/requests.h>

#include "bodyhash_p.h"
#include "httpserver_p.h"
#include "journal_p.h"

namespace Galenarock::Standin
{

struct BackendOptions
{
    std::string service = "vitrina";
    std::string name = "vitrina-1";
    std::string failureDomain = "rioja";
    /// Requests that run at the same time.
    std::uint32_t slots = 4;
    std::uint32_t connections = 110;
    /// Admitted requests that wait for a slot.
    std::uint32_t queueLength = 64;
    /// Mean of the exponential service time.
    double serviceTimeMs = 5;
    std::uint64_t seed = 1;
    /// False: obeys every grant command and accepts every request.
    bool checksGrants = true;
    std::size_t responseBytes = 400;
    /// Time after each start during which requests are refused.
    std::int64_t coldMs = 0;
    /// Time after a drain signal during which requests are still accepted.
    std::int64_t drainNoticeMs = 2'000;
    /// Time between a crash and the restart.
    std::int64_t crashDownMs = 1'000;
};

/// Faults of a backend server; body of `POST /control/faults`, where absent fields keep their value.
struct BackendFaults
{
    /// Probability in percent that a request is shed.
    double shedPercent = 0;
    /// Service times are multiplied by this.
    double slowdown = 1;
    /// Next responses before which the connection is closed, after the request ran.
    std::uint64_t closeBefore = 0;
    /// Next responses in the middle of which the connection is closed.
    std::uint64_t closeMiddle = 0;
    /// Next responses that are well-formed but lack their last bytes. Tests the audit.
    std::uint64_t shorten = 0;
    /// Next responses that carry the identity of another request. Tests the audit.
    std::uint64_t mixUp = 0;
    /// Next requests that run although their response says not-run. Tests the audit.
    std::uint64_t falseNotRun = 0;
    /// Load report that replaces the true one.
    nlohmann::json loadReport;
    /// State that /health reports in place of the true one.
    std::string healthReport;
};

/// A backend server of the design page, section 6.2, with faults on request.
class BackendServer : public HttpHandler
{
public:
    BackendServer(EventLoop &loop, Journal &journal, BackendOptions options);
    ~BackendServer() override;
    BackendServer(const BackendServer &) = delete;
    BackendServer &operator=(const BackendServer &) = delete;

    Result<void> open(const ListenAddress &address);
    std::string address() const
    {
        return m_server.address();
    }
    const BackendOptions &options() const
    {
        return m_options;
    }

    /// Applies the fields of a fault request; returns all that is wrong, and changes nothing then.
    /// Besides the fields of BackendFaults: `freezeMs`, `crash` (bool), `downMs` (time until the restart).
    Findings applyFaults(const nlohmann::json &json);
    /// Closes all connections, loses all state and restarts after `down` under a new boot number.
    void crash(Duration down);
    /// Stops to serve for `length`, as a stopped process does.
    void freeze(Duration length);
    void drain();

    /// Entry of the platform's VM list.
    nlohmann::json vmEntry() const;
    nlohmann::json status() const;

    void begin(const HttpExchangePtr &exchange) override;
    void data(const HttpExchangePtr &exchange, std::string_view part) override;
    void complete(const HttpExchangePtr &exchange) override;
    void ended(const HttpExchangePtr &exchange, bool sent) override;

private:
    enum class Stage : std::uint8_t
    {
        /// Refused; the rest of the body is discarded before the response.
        Refused,
        Queued,
        Receiving,
        Working,
        Finished,
    };
    /// One forwarded request.
    struct Job
    {
        HttpExchangePtr exchange;
        Stage stage = Stage::Queued;
        std::string requestId;
        std::string key;
        std::string token;
        std::string test;
        KeyHash hash = 0;
        std::optional<Instant> deadline;
        BodyHash bodyHash;
        std::uint64_t journalNumber = 0;
        TimerId workTimer = 0;
        TimerId deadlineTimer = 0;
        HttpResponse refusal;
        bool lies = false;
    };
    using JobPtr = std::shared_ptr<Job>;

    JobPtr makeJob(const HttpExchangePtr &exchange) const;
    Reason admissionRefusal(const JobPtr &job);
    Reason grantRefusal(GrantCheck check) const;
    void refuse(const JobPtr &job, Reason reason);
    void start(const JobPtr &job);
    void work(const JobPtr &job);
    Duration serviceTime(const Job &job);
    void finish(const JobPtr &job);
    void onDeadline(const JobPtr &job);
    void release(const JobPtr &job, RunState state);
    void startNext();
    void sendResult(const JobPtr &job);
    HttpResponse resultOf(const Job &job) const;
    void addFaults(HttpResponse &response);
    HttpResponse refusalResponse(Reason reason, Outcome outcome) const;
    void restart();
    void boot();
    void whenThawed(std::function<void()> body);

    void systemCall(const HttpExchangePtr &exchange);
    void grants(const HttpExchangePtr &exchange);
    void sendDeferred(const std::vector<DeferredGrantReply> &replies);
    GrantReply withInFlight(GrantReply reply) const;
    void cancelCall(const HttpExchangePtr &exchange);
    bool cancelJob(const std::string &requestId);
    void controlCall(const HttpExchangePtr &exchange);
    nlohmann::json load() const;
    std::string loadHeader() const;
    std::string stateName() const;

    EventLoop &m_loop;
    Journal &m_journal;
    BackendOptions m_options;
    BackendFaults m_faults;
    HttpServer m_server;
    std::mt19937_64 m_random;
    std::unique_ptr<GrantHolder> m_holder;
    std::map<Job *, JobPtr> m_running;
    std::deque<JobPtr> m_queue;
    std::uint64_t m_lastTicket = 0;
    std::map<std::uint64_t, HttpExchangePtr> m_revokes;
    bool m_frozen = false;
    std::uint64_t m_freezes = 0;
    std::vector<std::function<void()>> m_afterThaw;
    std::optional<Instant> m_drainedAt;
    std::uint64_t m_boots = 0;
    /// Requests that arrived later than the drain notice allows (G6).
    std::uint64_t m_lateArrivals = 0;
};

}

#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include <galenarock/assignment.h>
#include <galenarock/document.h>
#include <galenarock/requests.h>

/// Retries and hedging: which requests may be sent again, and how often.
namespace Galenarock
{

/// Retries and hedges as a share of fresh requests. One budget per service and daemon.
///
/// Each fresh request deposits 0.9 times the share, each retry withdraws 1, and the balance is bounded. The saved
/// balance lets a daemon retry at once the requests that were in flight at a lost server (about 10 per daemon). In a
/// total outage attempts per fresh request stay at most 1 + 0.9 x share + maxBalance / fresh requests, which for 10%
/// is at most 1.1 from 1,000 requests on; with the whole share it would never fall to 1.1.
class RetryBudget
{
public:
    static constexpr double maxBalance = 10;
    static constexpr double depositFactor = 0.9;

    explicit RetryBudget(double percent = 10);
    void setPercent(double percent);
    /// For a fixed allowance beside the share: sets the share and the maximum balance. Raising the maximum (at first
    /// `maxBalance`) adds the difference to the balance.
    void setAllowance(double percent, double allowance);
    void countFresh();
    bool tryWithdraw();
    double balance() const
    {
        return m_balance;
    }

private:
    double m_share;
    double m_maxBalance = maxBalance;
    double m_balance = 0;
};

/// Allowance for the hop between daemon and server, subtracted from the deadline that is passed on.
inline constexpr Duration hopAllowance = milliseconds(3);

/// Remaining time for the next hop in milliseconds (header Galenarock-Deadline-Ms); 0 when the deadline has passed.
std::int64_t remainingForHop(Instant now, Instant deadline);

/// Describes an attempt that ended without a complete response.
struct AttemptReport
{
    Reason reason = Reason::None;
    ServerIndex server = noServer;
    /// Whether any byte of the request may have reached the server.
    bool bytesSent = true;
    /// Whether the server itself reported `Galenarock-Outcome: not-run`.
    bool reportedNotRun = false;
    /// Whether the body can be sent again. A streamed upload of which a part was sent cannot.
    bool bodyAvailable = true;
    /// Whether a part of the response has been passed on to the caller.
    bool responseStarted = false;
};

struct AttemptDecision
{
    /// Send again after `delay`, preferably to a server that is not in AttemptPlan::triedServers().
    bool shouldRetry = false;
    Duration delay{};
    /// Refusal for the caller if `shouldRetry` is false.
    Refusal refusal;
};

/// The attempts of one request.
///
/// Example: `AttemptPlan plan(document, "GET", deadline); const auto d = plan.failed(now, report, budget, t, random);`
class AttemptPlan
{
public:
    AttemptPlan(const ServiceDocument &document, std::string_view method, Instant deadline);
    /// For routes that state themselves whether a request is idempotent, whatever its method. Never hedges.
    AttemptPlan(const RetrySettings &settings, bool isIdempotent, Instant deadline);

    /// Call when an attempt at a server starts.
    void started();
    /// Call when an attempt, at a server or through another VM, starts. Until its end is reported, the request may have
    /// run.
    void sending();
    /// Call when such an attempt has ended; `isNotRun` if it provably did not run. failed() does the same.
    void ended(bool isNotRun);
    /// Decides after an attempt without a complete response. `serviceTime` is the expected time of another attempt.
    AttemptDecision failed(Instant now, const AttemptReport &report, RetryBudget &budget, Duration serviceTime,
                           std::uint64_t random);
    /// When a second copy may be sent; empty for requests that are not hedged.
    std::optional<Instant> hedgeAt(Instant startedAt) const;
    /// Withdraws from the budget. True at most once per request.
    bool tryHedge(Instant now, RetryBudget &budget, Duration serviceTime);

    std::uint32_t attempts() const
    {
        return m_attempts;
    }
    /// False while every attempt provably did not run.
    bool mayHaveRun() const
    {
        return m_mayHaveRun || m_isOutstanding;
    }
    const std::vector<ServerIndex> &triedServers() const
    {
        return m_triedServers;
    }

private:
    Refusal refusal(Reason reason, Reason cause) const;
    Duration delayBefore(Reason reason, std::uint64_t random) const;

    RetrySettings m_settings;
    bool m_isIdempotent;
    bool m_mayHedge;
    Instant m_deadline;
    std::uint32_t m_attempts = 0;
    /// Attempts whose connection was lost after bytes were sent.
    std::uint32_t m_lostAttempts = 0;
    /// An attempt that has ended may have run.
    bool m_mayHaveRun = false;
    /// The end of an attempt has not been reported.
    bool m_isOutstanding = false;
    bool m_hedged = false;
    std::vector<ServerIndex> m_triedServers;
};

/// Whether the document lists `method` as idempotent.
bool isIdempotent(const RequestSettings &settings, std::string_view method);

}

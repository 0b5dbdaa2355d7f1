#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include <galenarock/assignment.h>
#include <galenarock/document.h>
#include <galenarock/requests.h>

/// Retries and hedging: what may be sent again, and how often.
namespace Galenarock
{

/// Retries and hedges as a share of fresh requests. One budget per service and daemon.
///
/// Each fresh request deposits 0.9 times the share, each retry withdraws 1, and the balance is bounded. The saved
/// balance lets a daemon retry at once what a lost server had in flight (its share of connections is about 10). In a
/// total outage attempts per fresh request stay at most 1 + 0.9 x share + maxBalance / fresh requests, which for 10%
/// is at most 1.1 from 1,000 requests on; with the whole share it would never fall to 1.1.
class RetryBudget
{
public:
    static constexpr double maxBalance = 10;
    static constexpr double depositFactor = 0.9;

    explicit RetryBudget(double percent = 10);
    void setPercent(double percent);
    /// For a fixed allowance beside the share: deposits `percent` of a request, holds at most `allowance`, and starts
    /// with it.
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

/// Time that a hop between daemon and server needs; the deadline that is passed on is shorter by it.
inline constexpr Duration hopAllowance = milliseconds(3);

/// Remaining time for the next hop in milliseconds (header Galenarock-Deadline-Ms); 0 when the deadline has passed.
std::int64_t remainingForHop(Instant now, Instant deadline);

/// What is known about an attempt that ended without a complete response.
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
    /// For the caller when `shouldRetry` is false.
    Refusal refusal;
};

/// The attempts of one request.
///
/// Example: `AttemptPlan plan(document, "GET", deadline); const auto d = plan.failed(now, report, budget, t, random);`
class AttemptPlan
{
public:
    AttemptPlan(const ServiceDocument &document, std::string_view method, Instant deadline);
    /// Where the route and not the method tells whether a request may be repeated; never hedged.
    AttemptPlan(const RetrySettings &settings, bool isIdempotent, Instant deadline);

    /// Call when an attempt is sent.
    void started();
    /// Decides after an attempt without a complete response. `serviceTime` is what another attempt is expected to take.
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
        return m_mayHaveRun;
    }
    const std::vector<ServerIndex> &triedServers() const
    {
        return m_triedServers;
    }

private:
    Refusal refusal(Reason reason, Reason cause) const;
    Duration delayBefore(Reason reason, std::uint64_t random) const;

    RetrySettings m_settings;
    bool m_idempotent;
    bool m_mayHedge;
    Instant m_deadline;
    std::uint32_t m_attempts = 0;
    /// Attempts whose connection was lost after bytes were sent.
    std::uint32_t m_lost = 0;
    bool m_mayHaveRun = false;
    bool m_hedged = false;
    std::vector<ServerIndex> m_triedServers;
};

/// Whether the document lists `method` as idempotent.
bool isIdempotent(const RequestSettings &settings, std::string_view method);

}

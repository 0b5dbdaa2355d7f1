#include <galenarock/retry.h>

#include <algorithm>

#include <fmt/format.h>

namespace Galenarock
{

namespace
{
/// First delay before a retry after load shedding, so that the server can finish a request.
constexpr Duration ShedRetryDelay = milliseconds(10);
/// First delay before a retry after a move: daemons receive the new assignment within tens of milliseconds.
constexpr Duration NotOwnerRetryDelay = milliseconds(50);
/// A lost connection may mean that the request crashes servers, so it is not sent to a third one.
constexpr std::uint32_t MaxLostAttempts = 2;

Duration baseDelay(Reason reason)
{
    switch (reason) {
    case Reason::ServerShed:
        return ShedRetryDelay;
    case Reason::NotOwner:
    case Reason::OwnerUnavailable:
        return NotOwnerRetryDelay;
    default:
        return Duration::zero();
    }
}
}

RetryBudget::RetryBudget(double percent)
    : m_share(depositFactor * percent / 100)
{
}

void RetryBudget::setPercent(double percent)
{
    m_share = depositFactor * percent / 100;
}

void RetryBudget::setAllowance(double percent, double allowance)
{
    if (m_maxBalance != allowance) {
        m_balance = std::min(allowance, m_balance + std::max(0.0, allowance - m_maxBalance));
        m_maxBalance = allowance;
    }
    setPercent(percent);
}

void RetryBudget::countFresh()
{
    m_balance = std::min(m_maxBalance, m_balance + m_share);
}

bool RetryBudget::tryWithdraw()
{
    // Ten deposits of 0.1 add up to slightly less than 1 in binary arithmetic.
    constexpr double rounding = 1e-9;
    if (m_balance + rounding < 1) {
        return false;
    }
    m_balance = std::max(0.0, m_balance - 1);
    return true;
}

std::int64_t remainingForHop(Instant now, Instant deadline)
{
    const auto remaining = duration_cast<milliseconds>(deadline - now - hopAllowance).count();
    return std::max<std::int64_t>(0, remaining);
}

bool isIdempotent(const RequestSettings &settings, std::string_view method)
{
    const auto &methods = settings.idempotentMethods;
    return std::find(methods.begin(), methods.end(), method) != methods.end();
}

AttemptPlan::AttemptPlan(const ServiceDocument &document, std::string_view method, Instant deadline)
    : m_settings(document.retry)
    , m_isIdempotent(isIdempotent(document.requests, method))
    , m_mayHedge(m_isIdempotent && document.retry.hedgeAfterMs > 0 && (method == "GET" || method == "HEAD"))
    , m_deadline(deadline)
{
}

AttemptPlan::AttemptPlan(const RetrySettings &settings, bool isIdempotent, Instant deadline)
    : m_settings(settings)
    , m_isIdempotent(isIdempotent)
    , m_mayHedge(false)
    , m_deadline(deadline)
{
}

void AttemptPlan::started()
{
    ++m_attempts;
}

void AttemptPlan::sending()
{
    m_isOutstanding = true;
}

void AttemptPlan::ended(bool isNotRun)
{
    m_isOutstanding = false;
    m_mayHaveRun = m_mayHaveRun || !isNotRun;
}

Duration AttemptPlan::delayBefore(Reason reason, std::uint64_t random) const
{
    const auto doublings = std::min<std::uint32_t>(m_attempts > 0 ? m_attempts - 1 : 0, 6);
    const auto delay = baseDelay(reason) * (1 << doublings);
    // Jitter of 0.5 to 1.5 times the delay, so that requests refused together are not retried together.
    const double jitter = 0.5 + static_cast<double>(random >> 11) * 0x1p-53;
    return duration_cast<Duration>(delay * jitter);
}

Refusal AttemptPlan::refusal(Reason reason, Reason cause) const
{
    Refusal refusal;
    refusal.reason = reason;
    refusal.outcome = m_mayHaveRun ? Outcome::Unknown : Outcome::NotRun;
    if (reason != cause) {
        refusal.detail = fmt::format("{}; last attempt: {}", reasonInfo(reason).message, reasonInfo(cause).code);
    }
    return refusal;
}

AttemptDecision AttemptPlan::failed(Instant now, const AttemptReport &report, RetryBudget &budget, Duration serviceTime,
                                    std::uint64_t random)
{
    const bool notRun = !report.bytesSent || report.reportedNotRun;
    ended(notRun);
    m_lostAttempts += notRun ? 0 : 1;
    if (report.server != noServer) {
        m_triedServers.push_back(report.server);
    }
    const bool repeatable = (notRun || m_isIdempotent) && !report.responseStarted;
    const bool sendable = report.bodyAvailable || !report.bytesSent;
    if (!repeatable || !sendable || m_attempts >= m_settings.maxAttempts || m_lostAttempts >= MaxLostAttempts) {
        return {false, {}, refusal(report.reason, report.reason)};
    }
    const auto delay = delayBefore(report.reason, random);
    if (now + delay + serviceTime + hopAllowance > m_deadline) {
        return {false, {}, refusal(Reason::DeadlineTooShort, report.reason)};
    }
    // The budget is checked last, so that only attempts that are made count against it.
    if (!budget.tryWithdraw()) {
        return {false, {}, refusal(Reason::RetryBudget, report.reason)};
    }
    return {true, delay, {}};
}

std::optional<Instant> AttemptPlan::hedgeAt(Instant startedAt) const
{
    if (!m_mayHedge || m_hedged) {
        return {};
    }
    return startedAt + milliseconds(m_settings.hedgeAfterMs);
}

bool AttemptPlan::tryHedge(Instant now, RetryBudget &budget, Duration serviceTime)
{
    if (!m_mayHedge || m_hedged || m_attempts >= m_settings.maxAttempts) {
        return false;
    }
    if (now + serviceTime + hopAllowance > m_deadline || !budget.tryWithdraw()) {
        return false;
    }
    m_hedged = true;
    return true;
}

}

#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <galenarock/base.h>

/// Outcomes of a request and the reasons for refusals and retries.
namespace Galenarock
{

/// Every request ends with exactly one of these.
enum class Outcome : std::uint8_t
{
    /// The caller received the complete response of a backend server.
    Answered,
    /// Refused; no byte reached a server, or the server itself reported that it did not run the request.
    NotRun,
    /// The request may have run.
    Unknown,
};

/// Why a request was refused, failed or retried. Each reason has a counter.
enum class Reason : std::uint8_t
{
    None,
    MalformedRequest,
    UnknownService,
    MissingKey,
    RequestIdMissing,
    RequestIdMalformed,
    RequestIdAhead,
    RequestIdTooOld,
    RequestIdInFlight,
    RequestIdAnswered,
    BodyTooLarge,
    NoConfiguration,
    NoAssignment,
    OwnerUnavailable,
    NotOwner,
    LedgerOwnerUnavailable,
    QueueFull,
    DeadlineTooShort,
    DeadlinePassed,
    RateGuard,
    RateLimit,
    RetryBudget,
    NoServer,
    ServerShed,
    ServerDraining,
    ServerCold,
    ConnectFailed,
    ConnectionLost,
    ResponseCut,
    CrashSuspect,
    StoppingVm,
    RingFull,
    ServerRate,
    ServerPaused,
    ServersUnreachable,
    InternalError,
    /// Behind InternalError, since ledger records hold the numbers of the reasons. New ones follow at the end.
    Evacuated,
    ServerSilent,
};

/// Code text of a reason (`not-owner`), its HTTP status, and its outcome when a caller is refused for it.
struct ReasonInfo
{
    Reason reason;
    std::string_view code;
    unsigned httpStatus;
    Outcome outcome;
    std::string_view message;
};

const ReasonInfo &reasonInfo(Reason reason);
/// Reason for a code text; Reason::None for an unknown one.
Reason reasonFromCode(std::string_view code);
std::string_view toString(Outcome outcome);

/// All reasons in order, for counters and documentation checks.
std::size_t reasonCount();
const ReasonInfo &reasonAt(std::size_t index);

/// A refusal as the caller sees it.
struct Refusal
{
    Reason reason = Reason::None;
    /// Differs from the reason's default when a sent request ends without a response.
    Outcome outcome = Outcome::NotRun;
    std::string detail;
    /// Time until a retry can succeed at the earliest, in milliseconds; 0 if not known.
    std::int64_t untilMs = 0;

    friend bool operator==(const Refusal &a, const Refusal &b)
    {
        return a.reason == b.reason && a.outcome == b.outcome && a.detail == b.detail && a.untilMs == b.untilMs;
    }
};

/// `{"outcome":"not-run","reason":"shed","detail":"...","untilMs":250}`
std::string toJsonText(const Refusal &refusal);

}

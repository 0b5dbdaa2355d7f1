#include <array>

#include <nlohmann/json.hpp>

#include <galenarock/jsontext.h>
#include <galenarock/requests.h>

namespace Galenarock
{

namespace
{
constexpr auto NotRun = Outcome::NotRun;
constexpr auto Unknown = Outcome::Unknown;

constexpr std::array ReasonTable{
    ReasonInfo{Reason::None, "none", 200, Outcome::Answered, "answered"},
    ReasonInfo{Reason::MalformedRequest, "malformed-request", 400, NotRun, "request cannot be parsed"},
    ReasonInfo{Reason::UnknownService, "unknown-service", 404, NotRun, "no document exists for the service"},
    ReasonInfo{Reason::MissingKey, "missing-key", 400, NotRun, "request carries no key"},
    ReasonInfo{Reason::RequestIdMissing, "request-id-missing", 400, NotRun,
               "non-repeatable request carries no Idempotency-Key"},
    ReasonInfo{Reason::RequestIdMalformed, "request-id-malformed", 400, NotRun, "Idempotency-Key is not a UUIDv7"},
    ReasonInfo{Reason::RequestIdAhead, "request-id-ahead", 400, NotRun,
               "time in the Idempotency-Key is ahead of the clock allowance"},
    ReasonInfo{Reason::RequestIdTooOld, "request-id-too-old", 409, Unknown,
               "Idempotency-Key is older than the keeper's record; it may have run"},
    ReasonInfo{Reason::RequestIdInFlight, "request-id-in-flight", 409, Unknown,
               "a request with the same Idempotency-Key is still in flight"},
    ReasonInfo{Reason::RequestIdAnswered, "request-id-answered", 409, Unknown,
               "the request with this Idempotency-Key ran; its response was too large to keep"},
    ReasonInfo{Reason::BodyTooLarge, "body-too-large", 413, NotRun, "body exceeds the document's limit"},
    ReasonInfo{Reason::NoConfiguration, "no-configuration", 503, NotRun,
               "neither the platform nor a peer has given a configuration yet"},
    ReasonInfo{Reason::NoAssignment, "no-assignment", 503, NotRun, "the service has no acknowledged assignment yet"},
    ReasonInfo{Reason::OwnerUnavailable, "owner-unavailable", 503, NotRun, "the key has no reachable owner"},
    ReasonInfo{Reason::NotOwner, "not-owner", 503, NotRun, "the server does not own the key under this token"},
    ReasonInfo{Reason::LedgerOwnerUnavailable, "keeper-unavailable", 503, NotRun,
               "the keeper of the request id cannot be reached"},
    ReasonInfo{Reason::QueueFull, "queue-full", 503, NotRun, "the service's queue is full"},
    ReasonInfo{Reason::DeadlineTooShort, "deadline-too-short", 504, NotRun,
               "the request cannot finish before its deadline"},
    ReasonInfo{Reason::DeadlinePassed, "deadline-passed", 504, Unknown, "the deadline passed while the request ran"},
    ReasonInfo{Reason::RateGuard, "rate-guard", 429, NotRun, "traffic exceeds a multiple of recent use"},
    ReasonInfo{Reason::RateLimit, "rate-limit", 429, NotRun, "traffic exceeds the document's fixed limit"},
    ReasonInfo{Reason::RetryBudget, "retry-budget", 503, NotRun, "the service's retry budget is used up"},
    ReasonInfo{Reason::NoServer, "no-server", 503, NotRun, "no backend server of the service is usable"},
    ReasonInfo{Reason::ServerShed, "shed", 503, NotRun, "the server shed the request"},
    ReasonInfo{Reason::ServerDraining, "draining", 503, NotRun, "the server is draining"},
    ReasonInfo{Reason::ServerCold, "cold", 503, NotRun, "the server is still starting"},
    ReasonInfo{Reason::ConnectFailed, "connect-failed", 503, NotRun, "no connection to the server could be opened"},
    ReasonInfo{Reason::ConnectionLost, "connection-lost", 502, Unknown,
               "the connection was lost after the request was sent"},
    ReasonInfo{Reason::ResponseCut, "response-cut", 502, Unknown, "the response ended early"},
    ReasonInfo{Reason::CrashSuspect, "crash-suspect", 422, Unknown,
               "the same request was in flight when two backend servers crashed"},
    ReasonInfo{Reason::StoppingVm, "stopping", 503, NotRun, "this VM is stopping"},
    ReasonInfo{Reason::RingFull, "ring-full", 503, NotRun, "an internal queue is full"},
    ReasonInfo{Reason::ServerRate, "server-rate", 503, NotRun, "the request rate that the server states is used up"},
    ReasonInfo{Reason::ServerPaused, "server-paused", 503, NotRun,
               "the server wants no requests from this VM for a while"},
    ReasonInfo{Reason::ServersUnreachable, "servers-unreachable", 503, NotRun,
               "no VM that could be asked reaches the servers"},
    ReasonInfo{Reason::InternalError, "internal-error", 500, Unknown, "internal error"},
    ReasonInfo{Reason::Evacuated, "evacuated", 503, NotRun,
               "all servers of the service are in failure domains that are being evacuated"},
    ReasonInfo{Reason::ServerSilent, "server-silent", 504, Unknown,
               "the server gave no byte of an answer for longer than its service usually takes"},
};
static_assert(ReasonTable.size() == static_cast<std::size_t>(Reason::ServerSilent) + 1);
}

const ReasonInfo &reasonInfo(Reason reason)
{
    return ReasonTable[static_cast<std::size_t>(reason)];
}

Reason reasonFromCode(std::string_view code)
{
    for (const auto &it : ReasonTable) {
        if (it.code != code) {
            continue;
        }
        return it.reason;
    }
    return Reason::None;
}

std::string_view toString(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Answered:
        return "answered";
    case Outcome::NotRun:
        return "not-run";
    case Outcome::Unknown:
        break;
    }
    return "unknown";
}

std::size_t reasonCount()
{
    return ReasonTable.size();
}

const ReasonInfo &reasonAt(std::size_t index)
{
    return ReasonTable[index];
}

std::string toJsonText(const Refusal &refusal)
{
    nlohmann::json json{{"outcome", toString(refusal.outcome)}, {"reason", reasonInfo(refusal.reason).code}};
    json["detail"] = refusal.detail.empty() ? std::string(reasonInfo(refusal.reason).message) : refusal.detail;
    json["untilMs"] = refusal.untilMs;
    return jsonText(json);
}

}

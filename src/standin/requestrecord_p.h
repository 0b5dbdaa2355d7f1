#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <galenarock/base.h>
#include <galenarock/requests.h>

namespace Galenarock::Standin
{

/// What one attempt of a caller ended with.
enum class AttemptVerdict : std::uint8_t
{
    /// A whole response with the caller's own identity.
    Answered,
    /// The response says that the request was not run.
    NotRun,
    /// No connection could be opened at any entry; nothing was sent.
    NotSent,
    /// No response, a broken one, an error, or a response that says so.
    Unknown,
    /// A well-formed response of another request.
    MixedUp,
    /// A well-formed response whose body, or whose request's body, is not whole.
    Cut,
};

/// A response as the transport delivered it.
struct ReceivedResponse
{
    /// False when the connection failed before the response was complete.
    bool isComplete = false;
    bool wasSent = true;
    unsigned status = 0;
    /// Headers Galenarock-Outcome and Galenarock-Reason.
    std::string outcome;
    std::string reason;
    std::string body;
};

/// What the caller sent, for comparison with the server's echo.
struct SentRequest
{
    std::uint64_t number = 0;
    std::string bodyDigest;
    std::uint64_t bodyBytes = 0;
};

AttemptVerdict judge(const ReceivedResponse &response, const SentRequest &sent, std::string_view run);

/// One request of the load with all its attempts.
struct RequestRecord
{
    std::uint64_t number = 0;
    std::uint32_t service = 0;
    std::uint32_t key = 0;
    /// Offsets from the start of the load.
    Duration intended{};
    Duration finished{};
    /// Verdict of the last attempt.
    AttemptVerdict verdict = AttemptVerdict::Unknown;
    std::string reason;
    std::uint32_t attempts = 0;
    /// Some attempt ended as unknown, so a later not-run speaks only for itself.
    bool wasUnknown = false;
    bool wasMixedUp = false;
    bool wasCut = false;

    Outcome outcome() const;
};

}

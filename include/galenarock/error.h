#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <boost/leaf.hpp>

/// Error codes with one message table, and findings that are collected and reported together.
namespace Galenarock
{

/// Every error that a library function can report through `Result`.
enum class ErrorCode : std::uint8_t
{
    Success,
    MalformedJson,
    MissingField,
    UnknownField,
    WrongType,
    OutOfRange,
    Contradiction,
    NotFound,
    Conflict,
    NotAuthorized,
    TooLarge,
    RateLimited,
    Unavailable,
    Timeout,
    AnswerLost,
    MalformedMessage,
    BadMac,
    WrongVersion,
    Truncated,
    SystemCall,
    Library,
};

/// The message of a code, without a trailing full stop.
std::string_view errorMessage(ErrorCode code);

/// Detail text carried beside an ErrorCode in a LEAF result.
struct ErrorDetail
{
    std::string text;
};

template<typename T> using Result = boost::leaf::result<T>;

/// Makes a failed result: `return fail(ErrorCode::NotFound, "service vitrina");`
inline auto fail(ErrorCode code, std::string detail)
{
    return boost::leaf::new_error(code, ErrorDetail{std::move(detail)});
}

/// One defect of an input with its place: a JSON pointer (`/retry/budgetPercent`), a flag or a file line.
struct Finding
{
    ErrorCode code = ErrorCode::Success;
    std::string place;
    std::string message;

    friend bool operator==(const Finding &a, const Finding &b)
    {
        return a.code == b.code && a.place == b.place && a.message == b.message;
    }
};

using Findings = std::vector<Finding>;

/// One line for each finding: `/retry/budgetPercent: value is out of range: 120 is above 100`.
std::string toString(const Findings &findings);

/// Runs `body` and returns its value, or passes code and detail to `onError`, whose value is returned.
///
/// Example: `const auto n = tryOr([&] { return parse(text); }, [](ErrorCode, const std::string &) { return 0; });`
template<typename Body, typename OnError> auto tryOr(Body &&body, OnError &&onError)
{
    return boost::leaf::try_handle_all(
        std::forward<Body>(body), [&](ErrorCode code, const ErrorDetail &detail) { return onError(code, detail.text); },
        [&](ErrorCode code) { return onError(code, std::string()); },
        [&] { return onError(ErrorCode::Library, std::string("unclassified error")); });
}

}

#include <galenarock/error.h>

#include <array>

#include <fmt/format.h>

namespace Galenarock
{

namespace
{
struct Entry
{
    ErrorCode code;
    std::string_view message;
};

constexpr std::array messageTable{
    Entry{ErrorCode::Success, "no error"},
    Entry{ErrorCode::MalformedJson, "text is not well-formed JSON"},
    Entry{ErrorCode::MissingField, "required field is missing"},
    Entry{ErrorCode::UnknownField, "field is unknown"},
    Entry{ErrorCode::WrongType, "value has the wrong type"},
    Entry{ErrorCode::OutOfRange, "value is out of range"},
    Entry{ErrorCode::Contradiction, "values contradict each other"},
    Entry{ErrorCode::NotFound, "object was not found"},
    Entry{ErrorCode::Conflict, "object was changed by another writer"},
    Entry{ErrorCode::NotAuthorized, "writer may not change this object"},
    Entry{ErrorCode::TooLarge, "value is too large"},
    Entry{ErrorCode::RateLimited, "call rate limit was reached"},
    Entry{ErrorCode::Unavailable, "service is unavailable"},
    Entry{ErrorCode::Timeout, "deadline passed"},
    Entry{ErrorCode::AnswerLost, "answer was lost; the write may have taken effect"},
    Entry{ErrorCode::MalformedMessage, "message is malformed"},
    Entry{ErrorCode::BadMac, "message authentication failed"},
    Entry{ErrorCode::WrongVersion, "format version is not supported"},
    Entry{ErrorCode::Truncated, "input ends too early"},
    Entry{ErrorCode::SystemCall, "system call failed"},
    Entry{ErrorCode::Library, "library call failed"},
};
}

std::string_view errorMessage(ErrorCode code)
{
    for (const auto &it : messageTable) {
        if (it.code != code) {
            continue;
        }
        return it.message;
    }
    return "unknown error code";
}

std::string toString(const Findings &findings)
{
    std::string text;
    for (const auto &it : findings) {
        text +=
            fmt::format("{}: {}{}{}\n", it.place, errorMessage(it.code), it.message.empty() ? "" : ": ", it.message);
    }
    return text;
}

}

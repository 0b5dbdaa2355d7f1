#include "requestrecord_p.h"

#include <charconv>

#include <nlohmann/json.hpp>

#include "workload_p.h"

namespace Galenarock::Standin
{

namespace
{
std::uint64_t sizeOf(const nlohmann::json &echo)
{
    const auto text = echo.value("size", std::string());
    std::uint64_t n = 0;
    std::from_chars(text.data(), text.data() + text.size(), n);
    return n;
}

bool isEcho(const nlohmann::json &json)
{
    return json.is_object() && json.contains("target") && json["target"].is_string() && json.contains("bodyDigest")
        && json["bodyDigest"].is_string() && json.contains("size") && json["size"].is_string();
}
}

AttemptVerdict judge(const ReceivedResponse &response, const SentRequest &sent, std::string_view run)
{
    if (!response.wasSent) {
        return AttemptVerdict::NotSent;
    }
    if (!response.isComplete) {
        return AttemptVerdict::Unknown;
    }
    if (response.outcome == toString(Outcome::NotRun)) {
        return AttemptVerdict::NotRun;
    }
    if (!response.outcome.empty() || response.status >= 400) {
        return AttemptVerdict::Unknown;
    }
    const auto line = response.body.substr(0, response.body.find('\n'));
    const auto echo = nlohmann::json::parse(line, nullptr, false);
    if (!isEcho(echo)) {
        return AttemptVerdict::Cut; // the echo is the first line, so a body without it lacks its beginning
    }
    if (numberOfTarget(echo["target"].get<std::string>(), run) != sent.number) {
        return AttemptVerdict::MixedUp;
    }
    const auto isWhole = response.body.size() == sizeOf(echo) && echo["bodyDigest"] == sent.bodyDigest
        && echo.value("bodyBytes", std::uint64_t(0)) == sent.bodyBytes;
    return isWhole ? AttemptVerdict::Answered : AttemptVerdict::Cut;
}

Outcome RequestRecord::outcome() const
{
    switch (verdict) {
    case AttemptVerdict::Answered:
        return Outcome::Answered;
    case AttemptVerdict::NotRun:
    case AttemptVerdict::NotSent:
        return wasUnknown ? Outcome::Unknown : Outcome::NotRun;
    default:
        return Outcome::Unknown;
    }
}

}

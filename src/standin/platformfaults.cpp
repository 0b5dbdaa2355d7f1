#include <algorithm>
#include <array>
#include <functional>

#include <galenarock/jsontext.h>

#include "platformserver_p.h"

namespace Galenarock::Standin
{

namespace
{
constexpr double burstSeconds = 0.25;
constexpr std::int64_t maxFaultMs = 120'000;

constexpr std::array<std::pair<PlatformOutage, const char *>, 4> outageNames{{
    {PlatformOutage::None, "none"},
    {PlatformOutage::Unavailable, "unavailable"},
    {PlatformOutage::Closes, "close"},
    {PlatformOutage::Hangs, "hang"},
}};

bool applyOutage(const nlohmann::json &json, PlatformOutage &outage)
{
    if (json.is_boolean()) {
        outage = json.get<bool>() ? PlatformOutage::Unavailable : PlatformOutage::None;
        return true;
    }
    for (const auto &[value, name] : outageNames) {
        if (json != name) {
            continue;
        }
        outage = value;
        return true;
    }
    return false;
}

bool applyMs(const nlohmann::json &json, std::int64_t &ms)
{
    if (!json.is_number_integer() || json < 0 || json > maxFaultMs) {
        return false;
    }
    ms = json.get<std::int64_t>();
    return true;
}

bool applyRate(const nlohmann::json &json, double &rate)
{
    if (!json.is_number() || json <= 0) {
        return false;
    }
    rate = json.get<double>();
    return true;
}

bool applyCount(const nlohmann::json &json, std::uint64_t &count)
{
    if (!json.is_number_unsigned()) {
        return false;
    }
    count = json.get<std::uint64_t>();
    return true;
}

using FieldReader = std::function<bool(const nlohmann::json &, PlatformFaults &)>;

const std::map<std::string, FieldReader> &fieldReaders()
{
    static const std::map<std::string, FieldReader> readers{
        {"down",
         [](const auto &json, auto &faults) {
             return applyOutage(json, faults.outage);
         }},
        {"latencyMs",
         [](const auto &json, auto &faults) {
             return applyMs(json, faults.latencyMs);
         }},
        {"loseAnswers",
         [](const auto &json, auto &faults) {
             return applyCount(json, faults.loseAnswers);
         }},
        {"delayEffectMs",
         [](const auto &json, auto &faults) {
             return applyMs(json, faults.delayEffectMs);
         }},
        {"staleReadMs",
         [](const auto &json, auto &faults) {
             return applyMs(json, faults.staleReadMs);
         }},
        {"watchLagMs",
         [](const auto &json, auto &faults) {
             return applyMs(json, faults.watchLagMs);
         }},
        {"vmListLagMs",
         [](const auto &json, auto &faults) {
             return applyMs(json, faults.vmListLagMs);
         }},
        {"readsPerSecond",
         [](const auto &json, auto &faults) {
             return applyRate(json, faults.readsPerSecond);
         }},
        {"writesPerSecond",
         [](const auto &json, auto &faults) {
             return applyRate(json, faults.writesPerSecond);
         }},
    };
    return readers;
}
}

nlohmann::json toJson(const PlatformFaults &faults)
{
    return {{"down", outageNames[static_cast<std::size_t>(faults.outage)].second},
            {"latencyMs", faults.latencyMs},
            {"loseAnswers", faults.loseAnswers},
            {"delayEffectMs", faults.delayEffectMs},
            {"staleReadMs", faults.staleReadMs},
            {"watchLagMs", faults.watchLagMs},
            {"vmListLagMs", faults.vmListLagMs},
            {"readsPerSecond", faults.readsPerSecond},
            {"writesPerSecond", faults.writesPerSecond}};
}

Findings applyFaults(const nlohmann::json &json, PlatformFaults &faults)
{
    Findings findings;
    auto changed = faults;
    if (!json.is_object()) {
        return {{ErrorCode::WrongType, "", "a JSON object is expected"}};
    }
    for (const auto &[name, value] : json.items()) {
        const auto it = fieldReaders().find(name);
        if (it == fieldReaders().end()) {
            findings.push_back({ErrorCode::UnknownField, "/" + name, "no such fault"});
            continue;
        }
        if (!it->second(value, changed)) {
            findings.push_back({ErrorCode::OutOfRange, "/" + name, "value is not allowed: " + jsonText(value)});
        }
    }
    if (findings.empty()) {
        faults = changed;
    }
    return findings;
}

bool CallCeiling::take(Instant now, double perSecond, double occupied)
{
    const auto capacity = std::max(1.0, perSecond * burstSeconds);
    if (!m_isFilled) {
        m_isFilled = true;
        m_tokens = capacity;
        m_filledAt = now;
    }
    const auto elapsed = std::chrono::duration<double>(now - m_filledAt).count();
    m_filledAt = now;
    m_tokens = std::min(capacity, m_tokens + elapsed * std::max(0.0, perSecond - occupied));
    if (m_tokens < 1) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

}

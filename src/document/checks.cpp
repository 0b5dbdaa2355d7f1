#include "fields_p.h"

#include <algorithm>
#include <cctype>
#include <numeric>

#include <fmt/format.h>

#include <galenarock/jsontext.h>

namespace Galenarock
{

namespace
{
using nlohmann::json;

bool hasType(FieldType type, const json &value)
{
    switch (type) {
    case FieldType::Text:
    case FieldType::Choice:
        return value.is_string();
    case FieldType::Boolean:
        return value.is_boolean();
    case FieldType::Integer:
        return value.is_number_integer();
    case FieldType::Number:
        return value.is_number();
    case FieldType::TextList:
        return value.is_array()
            && std::all_of(value.begin(), value.end(), [](const json &it) { return it.is_string(); });
    }
    return false;
}

std::string_view typeName(FieldType type)
{
    switch (type) {
    case FieldType::Text:
    case FieldType::Choice:
        return "a text";
    case FieldType::Boolean:
        return "true or false";
    case FieldType::Integer:
        return "a whole number";
    case FieldType::Number:
        return "a number";
    case FieldType::TextList:
        return "a list of texts";
    }
    return "";
}

bool isChoice(std::string_view words, std::string_view word)
{
    while (!words.empty()) {
        const auto end = words.find('|');
        if (words.substr(0, end) == word) {
            return true;
        }
        words.remove_prefix(end == std::string_view::npos ? words.size() : end + 1);
    }
    return false;
}

/// Number to compare with the row's bounds: the value, or the length of a text or list.
double measure(const json &value)
{
    if (value.is_number()) {
        return value.get<double>();
    }
    return static_cast<double>(value.is_string() ? value.get_ref<const std::string &>().size() : value.size());
}

std::string rangeMessage(const FieldInfo &info, const json &value)
{
    const double n = measure(value);
    if (n >= info.minimum && n <= info.maximum) {
        return {};
    }
    const bool below = n < info.minimum;
    const auto bound = below ? info.minimum : info.maximum;
    const auto unit = info.unit.empty() ? std::string() : fmt::format(" {}", info.unit);
    const auto shown = value.is_number() ? jsonText(value) : fmt::format("length {}", n);
    return fmt::format("{} is {} {}{}", shown, below ? "below" : "above", jsonText(json(bound)), unit);
}

bool isName(const std::string &text)
{
    return !text.empty() && std::islower(static_cast<unsigned char>(text.front())) != 0
        && text.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-") == std::string::npos;
}

/// Token of RFC 9110, section 5.6.2.
bool isHttpToken(const std::string &text)
{
    return std::all_of(text.begin(), text.end(), [](unsigned char c) {
        return std::isalnum(c) != 0
            || (c != 0 && std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos);
    });
}

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

std::string methodsMessage(const json &value)
{
    std::vector<std::string> seen;
    for (const auto &it : value) {
        const auto &method = it.get_ref<const std::string &>();
        if (method.empty() || method.find_first_not_of("ABCDEFGHIJKLMNOPQRSTUVWXYZ-") != std::string::npos) {
            return fmt::format("{} is not a method in capital letters", jsonText(it));
        }
        if (std::find(seen.begin(), seen.end(), method) != seen.end()) {
            return fmt::format("{} is listed twice", jsonText(it));
        }
        seen.push_back(method);
    }
    return {};
}

std::string textMessage(const FieldInfo &info, const json &value)
{
    if (info.type == FieldType::TextList) {
        return methodsMessage(value);
    }
    const auto &text = value.get_ref<const std::string &>();
    if (info.type == FieldType::Choice) {
        return isChoice(info.choices, text) ? "" : fmt::format("{} is none of {}", jsonText(value), info.choices);
    }
    if (info.pointer != "/key/header") {
        return isName(text) ? "" : fmt::format("{} must start with a-z and use only a-z, 0-9 and '-'", jsonText(value));
    }
    if (!isHttpToken(text)) {
        return fmt::format("{} is not an HTTP header name", jsonText(value));
    }
    // The daemon sets these headers itself.
    return lowerCase(text).rfind("galenarock-", 0) == 0 ? fmt::format("{} is reserved", jsonText(value)) : "";
}

std::size_t editDistance(std::string_view a, std::string_view b)
{
    std::vector<std::size_t> row(b.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t(0));
    for (std::size_t i = 1; i <= a.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= b.size(); ++j) {
            const auto substitution = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
            diagonal = row[j];
            row[j] = std::min({row[j] + 1, row[j - 1] + 1, substitution});
        }
    }
    return row[b.size()];
}

std::string_view leafName(std::string_view pointer)
{
    return pointer.substr(pointer.rfind('/') + 1);
}

/// A statement about several fields that must hold; `fields` starts with the one that is reported.
struct Rule
{
    std::vector<std::string_view> fields;
    bool (*isBroken)(const ServiceDocument &);
    std::string_view message;
};

bool repeatsOrders(const ServiceDocument &document)
{
    const auto &methods = document.requests.idempotentMethods;
    return document.requests.trafficClass == TrafficClass::Order
        && std::any_of(methods.begin(), methods.end(),
                       [](const std::string &it) { return it == "POST" || it == "PATCH"; });
}

bool hedges(const ServiceDocument &document)
{
    return document.retry.hedgeAfterMs > 0;
}

using Document = ServiceDocument;

const Rule keyRules[] = {
    {{"/key", "/distribution", "/key/header", "/key/pathSegment"},
     [](const Document &d) {
         return d.distribution == Distribution::Keyed && d.key.header.empty() && d.key.pathSegment < 0;
     },
     "a keyed service needs header or pathSegment"},
    {{"/key", "/key/header", "/key/pathSegment"},
     [](const Document &d) { return !d.key.header.empty() && d.key.pathSegment >= 0; },
     "header and pathSegment exclude each other"},
};

const Rule hedgeRules[] = {
    {{"/retry/hedgeAfterMs", "/requests/class"},
     [](const Document &d) { return hedges(d) && d.requests.trafficClass != TrafficClass::Read; },
     "hedging needs class read"},
    // G1: a key has one owner, so no second server may answer for it.
    {{"/retry/hedgeAfterMs", "/distribution"},
     [](const Document &d) { return hedges(d) && d.distribution == Distribution::Keyed; },
     "a key has one owning server; hedging needs distribution balanced"},
    {{"/retry/hedgeAfterMs", "/requests/deadlineMs"},
     [](const Document &d) { return hedges(d) && d.requests.deadlineMs <= d.retry.hedgeAfterMs; },
     "hedge delay must be shorter than requests/deadlineMs"},
    {{"/retry/hedgeAfterMs", "/requests/idempotentMethods"},
     [](const Document &d) { return hedges(d) && d.requests.idempotentMethods.empty(); },
     "hedging needs at least one idempotent method"},
};

const Rule sizeRules[] = {
    {{"/requests/idempotentMethods", "/requests/class"}, repeatsOrders, "class order must not repeat POST or PATCH"},
    {{"/pool/connections", "/pool/slots"},
     [](const Document &d) { return d.pool.connections < d.pool.slots; },
     "connections must be at least slots"},
    {{"/ownership/holdMs", "/ownership/termMs"},
     [](const Document &d) { return d.ownership.holdMs <= d.ownership.termMs; },
     "holdMs must be longer than termMs"},
    {{"/limits/surge"},
     [](const Document &d) { return d.limits.surge > 0 && d.limits.surge < 1; },
     "a surge below 1 refuses ordinary traffic; use 0 to turn the guard off"},
    {{"/limits/surgeFloorPerSecond", "/limits/surge"},
     [](const Document &d) { return d.limits.surgeFloorPerSecond > 0 && d.limits.surge == 0; },
     "a floor has no effect while surge is 0"},
    {{"/limits/surgeFloorPerSecond", "/limits/requestsPerSecond"},
     [](const Document &d) {
         return d.limits.requestsPerSecond > 0 && d.limits.surgeFloorPerSecond > d.limits.requestsPerSecond;
     },
     "the floor is above requestsPerSecond"},
    {{"/weights", "/weights/imbalance", "/weights/churn", "/weights/unavailableTime"},
     [](const Document &d) {
         return d.weights.imbalance == 0 && d.weights.churn == 0 && d.weights.unavailableTime == 0;
     },
     "at least one weight must be above 0"},
};

template<typename Rules> void checkRules(const Rules &rules, const ServiceDocument &document, Findings &findings)
{
    const auto faulty = [&findings](std::string_view field) {
        return std::any_of(findings.begin(), findings.end(), [field](const Finding &it) { return it.place == field; });
    };
    Findings found;
    for (const auto &it : rules) {
        if (std::any_of(it.fields.begin(), it.fields.end(), faulty) || !it.isBroken(document)) {
            continue;
        }
        found.push_back({ErrorCode::Contradiction, std::string(it.fields.front()), std::string(it.message)});
    }
    findings.insert(findings.end(), found.begin(), found.end());
}
}

Finding checkField(const FieldInfo &info, const json &value)
{
    const auto place = std::string(info.pointer);
    if (!hasType(info.type, value)) {
        return {ErrorCode::WrongType, place, fmt::format("{} is expected", typeName(info.type))};
    }
    const bool hasRange = info.type != FieldType::Boolean && info.type != FieldType::Choice;
    if (auto message = hasRange ? rangeMessage(info, value) : std::string(); !message.empty()) {
        return {ErrorCode::OutOfRange, place, std::move(message)};
    }
    if (value.is_number() || value.is_boolean()) {
        return {};
    }
    if (auto message = textMessage(info, value); !message.empty()) {
        return {ErrorCode::OutOfRange, place, std::move(message)};
    }
    return {};
}

void checkContradictions(const ServiceDocument &document, Findings &findings)
{
    checkRules(keyRules, document, findings);
    checkRules(hedgeRules, document, findings);
    checkRules(sizeRules, document, findings);
}

std::string_view nearestField(std::string_view pointer)
{
    constexpr std::size_t maxPointerLength = 80;
    if (pointer.size() > maxPointerLength) {
        return {};
    }
    std::string_view nearest;
    std::size_t bestDistance = std::max<std::size_t>(2, leafName(pointer).size() / 3) + 1;
    for (const auto &it : fieldRows()) {
        const auto n = editDistance(pointer, it.info.pointer);
        if (leafName(pointer) == leafName(it.info.pointer)) {
            return it.info.pointer;
        }
        if (n >= bestDistance) {
            continue;
        }
        bestDistance = n;
        nearest = it.info.pointer;
    }
    return nearest;
}

}

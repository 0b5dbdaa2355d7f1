#include "fields_p.h"

#include <type_traits>

namespace Galenarock
{

namespace
{
using nlohmann::json;

// Bounds that more than one field shares.
constexpr double dayMs = 86'400'000;
constexpr double hourMs = 3'600'000;
constexpr double maxNameLength = 63;
constexpr double maxRate = 1e9;
constexpr double maxWeight = 1'000;

constexpr std::string_view distributionWords = "keyed|balanced";
constexpr std::string_view classWords = "read|order|upload";

/// Position of `word` in a list separated by '|'.
std::size_t wordIndex(std::string_view words, std::string_view word)
{
    std::size_t index = 0;
    while (words.substr(0, words.find('|')) != word && words.find('|') != std::string_view::npos) {
        words.remove_prefix(words.find('|') + 1);
        ++index;
    }
    return index;
}

std::string_view wordAt(std::string_view words, std::size_t index)
{
    for (; index > 0; --index) {
        words.remove_prefix(words.find('|') + 1);
    }
    return words.substr(0, words.find('|'));
}

template<typename T> constexpr std::string_view wordsOf()
{
    return std::is_same_v<T, Distribution> ? distributionWords : classWords;
}

template<typename T> json valueToJson(const T &value)
{
    if constexpr (std::is_enum_v<T>) {
        return wordAt(wordsOf<T>(), static_cast<std::size_t>(value));
    } else {
        return value;
    }
}

template<typename T> void valueFromJson(const json &value, T &member)
{
    if constexpr (std::is_enum_v<T>) {
        member = static_cast<T>(wordIndex(wordsOf<T>(), value.get_ref<const std::string &>()));
    } else {
        member = value.get<T>();
    }
}

template<auto Member> json readTop(const ServiceDocument &document)
{
    return valueToJson(document.*Member);
}

template<auto Member> void writeTop(ServiceDocument &document, const json &value)
{
    valueFromJson(value, document.*Member);
}

template<auto Group, auto Member> json readNested(const ServiceDocument &document)
{
    return valueToJson(document.*Group.*Member);
}

template<auto Group, auto Member> void writeNested(ServiceDocument &document, const json &value)
{
    valueFromJson(value, document.*Group.*Member);
}

template<auto Member> FieldRow top(FieldInfo info)
{
    info.isRequired = true;
    return {info, readTop<Member>, writeTop<Member>};
}

template<auto Group, auto Member> FieldRow nested(FieldInfo info)
{
    return {info, readNested<Group, Member>, writeNested<Group, Member>};
}

using Document = ServiceDocument;
using Rows = std::vector<FieldRow>;

void append(Rows &rows, const Rows &more)
{
    rows.insert(rows.end(), more.begin(), more.end());
}

Rows identityRows()
{
    return {
        top<&Document::service>({"/service", FieldType::Text, 1, maxNameLength, ""}),
        top<&Document::team>({"/team", FieldType::Text, 1, maxNameLength, ""}),
        top<&Document::distribution>({"/distribution", FieldType::Choice, 0, 0, "", true, distributionWords}),
        nested<&Document::key, &KeySettings::header>({"/key/header", FieldType::Text, 0, 64, ""}),
        nested<&Document::key, &KeySettings::pathSegment>({"/key/pathSegment", FieldType::Integer, -1, 31, ""}),
    };
}

Rows poolRows()
{
    using Pool = PoolSettings;
    return {
        nested<&Document::pool, &Pool::checksGrants>({"/pool/checksGrants", FieldType::Boolean, 0, 0, ""}),
        nested<&Document::pool, &Pool::slots>({"/pool/slots", FieldType::Integer, 1, 4'096, "requests"}),
        nested<&Document::pool, &Pool::connections>({"/pool/connections", FieldType::Integer, 1, 65'535, ""}),
    };
}

Rows requestRows()
{
    using Requests = RequestSettings;
    constexpr auto group = &Document::requests;
    return {
        nested<group, &Requests::trafficClass>({"/requests/class", FieldType::Choice, 0, 0, "", false, classWords}),
        nested<group, &Requests::deadlineMs>({"/requests/deadlineMs", FieldType::Integer, 1, dayMs, "ms"}),
        nested<group, &Requests::priority>({"/requests/priority", FieldType::Integer, 0, 9, ""}),
        nested<group, &Requests::idempotentMethods>({"/requests/idempotentMethods", FieldType::TextList, 0, 16, ""}),
        nested<group, &Requests::queueLength>({"/requests/queueLength", FieldType::Integer, 0, 100'000, "requests"}),
        nested<group, &Requests::maxBodyBytes>(
            {"/requests/maxBodyBytes", FieldType::Integer, 0, 68'719'476'736, "bytes"}),
    };
}

Rows retryRows()
{
    using Retry = RetrySettings;
    using Limits = LimitSettings;
    return {
        nested<&Document::retry, &Retry::budgetPercent>({"/retry/budgetPercent", FieldType::Number, 0, 100, "%"}),
        nested<&Document::retry, &Retry::maxAttempts>({"/retry/maxAttempts", FieldType::Integer, 1, 10, ""}),
        nested<&Document::retry, &Retry::hedgeAfterMs>({"/retry/hedgeAfterMs", FieldType::Integer, 0, hourMs, "ms"}),
        nested<&Document::limits, &Limits::requestsPerSecond>(
            {"/limits/requestsPerSecond", FieldType::Number, 0, maxRate, "1/s"}),
        nested<&Document::limits, &Limits::surge>({"/limits/surge", FieldType::Number, 0, 1'000, ""}),
        nested<&Document::limits, &Limits::surgeFloorPerSecond>(
            {"/limits/surgeFloorPerSecond", FieldType::Number, 0, maxRate, "1/s"}),
    };
}

Rows ownershipRows()
{
    using Weights = MeasureWeights;
    using Ownership = OwnershipSettings;
    constexpr auto weights = &Document::weights;
    constexpr auto group = &Document::ownership;
    return {
        nested<weights, &Weights::imbalance>({"/weights/imbalance", FieldType::Number, 0, maxWeight, ""}),
        nested<weights, &Weights::churn>({"/weights/churn", FieldType::Number, 0, maxWeight, ""}),
        nested<weights, &Weights::unavailableTime>({"/weights/unavailableTime", FieldType::Number, 0, maxWeight, ""}),
        // 10,000 slices keep the assignment below the platform's limit of 1 MB.
        nested<group, &Ownership::slices>({"/ownership/slices", FieldType::Integer, 1, 10'000, ""}),
        nested<group, &Ownership::termMs>({"/ownership/termMs", FieldType::Integer, 500, 60'000, "ms"}),
        nested<group, &Ownership::driftPercent>({"/ownership/driftPercent", FieldType::Number, 0, 10, "%"}),
        nested<group, &Ownership::holdMs>({"/ownership/holdMs", FieldType::Integer, 10'000, dayMs, "ms"}),
        nested<group, &Ownership::churnPercentPerMinute>(
            {"/ownership/churnPercentPerMinute", FieldType::Number, 0, 100, "%/min"}),
    };
}

Rows allRows()
{
    Rows rows = identityRows();
    append(rows, poolRows());
    append(rows, requestRows());
    append(rows, retryRows());
    append(rows, ownershipRows());
    return rows;
}
}

const std::vector<FieldRow> &fieldRows()
{
    static const Rows rows = allRows();
    return rows;
}

std::vector<FieldInfo> documentFields()
{
    std::vector<FieldInfo> fields;
    for (const auto &it : fieldRows()) {
        fields.push_back(it.info);
    }
    return fields;
}

json toJson(const ServiceDocument &document)
{
    json result = json::object();
    for (const auto &it : fieldRows()) {
        result[json::json_pointer(std::string(it.info.pointer))] = it.read(document);
    }
    return result;
}

}

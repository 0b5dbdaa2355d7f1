#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include <galenarock/error.h>

/// A service's document: how its traffic is treated. Owned by one team, stored as platform object `service/<name>`.
namespace Galenarock
{

/// How requests are distributed over the backend servers.
enum class Distribution : std::uint8_t
{
    /// By key; each key has one owning server.
    Keyed,
    /// By load; any server may run any request.
    Balanced,
};

enum class TrafficClass : std::uint8_t
{
    /// Interactive look-ups.
    Read,
    /// Orders and bookings; never run twice.
    Order,
    /// Large bodies that may wait but must arrive complete.
    Upload,
};

struct KeySettings
{
    /// Request header with the key; empty when the key is in the path.
    std::string header;
    /// Index of the path segment after the service's name; -1 when the key is in a header.
    int pathSegment = -1;

    friend bool operator==(const KeySettings &a, const KeySettings &b)
    {
        return a.header == b.header && a.pathSegment == b.pathSegment;
    }
};

struct PoolSettings
{
    /// Whether the servers refuse orders and requests under a wrong token.
    bool checksGrants = true;
    std::uint32_t slots = 4;
    std::uint32_t connections = 110;

    friend bool operator==(const PoolSettings &a, const PoolSettings &b)
    {
        return a.checksGrants == b.checksGrants && a.slots == b.slots && a.connections == b.connections;
    }
};

struct RequestSettings
{
    TrafficClass trafficClass = TrafficClass::Read;
    std::int64_t deadlineMs = 2'000;
    /// 0 is served first, 9 last.
    std::uint32_t priority = 5;
    /// Methods that are safe to repeat; all others are non-repeatable.
    std::vector<std::string> idempotentMethods{"GET", "HEAD", "OPTIONS"};
    /// Requests that may wait for a server on one daemon.
    std::uint32_t queueLength = 256;
    std::uint64_t maxBodyBytes = 1 << 20;

    friend bool operator==(const RequestSettings &a, const RequestSettings &b)
    {
        return a.trafficClass == b.trafficClass && a.deadlineMs == b.deadlineMs && a.priority == b.priority
            && a.idempotentMethods == b.idempotentMethods && a.queueLength == b.queueLength
            && a.maxBodyBytes == b.maxBodyBytes;
    }
};

struct RetrySettings
{
    /// Retries as a share of fresh requests.
    double budgetPercent = 10;
    std::uint32_t maxAttempts = 3;
    /// Delay before an idempotent read is sent to a second server as well; 0 turns hedging off.
    std::int64_t hedgeAfterMs = 0;

    friend bool operator==(const RetrySettings &a, const RetrySettings &b)
    {
        return a.budgetPercent == b.budgetPercent && a.maxAttempts == b.maxAttempts && a.hedgeAfterMs == b.hedgeAfterMs;
    }
};

struct LimitSettings
{
    /// Fixed limit over all daemons; 0 means none.
    double requestsPerSecond = 0;
    /// Guard: refuse above this multiple of the busiest recent window; 0 turns it off.
    double surge = 0;
    /// The guard never refuses below this rate over all daemons.
    double surgeFloorPerSecond = 0;

    friend bool operator==(const LimitSettings &a, const LimitSettings &b)
    {
        return a.requestsPerSecond == b.requestsPerSecond && a.surge == b.surge
            && a.surgeFloorPerSecond == b.surgeFloorPerSecond;
    }
};

/// Relative weights of the three measures; placement minimises the weighted sum.
struct MeasureWeights
{
    double imbalance = 1;
    double churn = 1;
    double unavailableTime = 1;

    friend bool operator==(const MeasureWeights &a, const MeasureWeights &b)
    {
        return a.imbalance == b.imbalance && a.churn == b.churn && a.unavailableTime == b.unavailableTime;
    }
};

struct OwnershipSettings
{
    std::uint32_t slices = 256;
    std::int64_t termMs = 1'500;
    /// Bound on the difference in rate of two VMs' monotonic clocks.
    double driftPercent = 1;
    /// A coordinator or deputy without a platform write for this long stops renewing.
    std::int64_t holdMs = 600'000;
    /// Keys that placement may move for balance, percent of all keys a minute.
    double churnPercentPerMinute = 5;

    friend bool operator==(const OwnershipSettings &a, const OwnershipSettings &b)
    {
        return a.slices == b.slices && a.termMs == b.termMs && a.driftPercent == b.driftPercent && a.holdMs == b.holdMs
            && a.churnPercentPerMinute == b.churnPercentPerMinute;
    }
};

struct ServiceDocument
{
    /// 1 to 63 characters from a-z, 0-9 and '-'; starts with a letter.
    std::string service;
    std::string team;
    Distribution distribution = Distribution::Balanced;
    KeySettings key;
    PoolSettings pool;
    RequestSettings requests;
    RetrySettings retry;
    LimitSettings limits;
    MeasureWeights weights;
    OwnershipSettings ownership;

    friend bool operator==(const ServiceDocument &a, const ServiceDocument &b)
    {
        return a.service == b.service && a.team == b.team && a.distribution == b.distribution && a.key == b.key
            && a.pool == b.pool && a.requests == b.requests && a.retry == b.retry && a.limits == b.limits
            && a.weights == b.weights && a.ownership == b.ownership;
    }
};

/// A parsed document and everything that is wrong with it. `document` is usable only when `findings` is empty.
struct ParsedDocument
{
    ServiceDocument document;
    Findings findings;
};

/// Checks `json` and reports all findings with their JSON pointers: unknown fields, wrong types, ranges,
/// contradictions.
ParsedDocument parseDocument(const nlohmann::json &json);
/// Same for text; a syntax error is one finding with `line:column` as its place.
ParsedDocument parseDocumentText(std::string_view text);
nlohmann::json toJson(const ServiceDocument &document);

/// Type of a document field's value.
enum class FieldType : std::uint8_t
{
    Text,
    Boolean,
    Integer,
    Number,
    /// One of a fixed set of words.
    Choice,
    TextList,
};

/// One row of the field table that drives the parser, toJson() and the reference in docs/OPERATIONS.md.
struct FieldInfo
{
    /// JSON pointer, `/retry/maxAttempts`.
    std::string_view pointer;
    FieldType type = FieldType::Text;
    /// Inclusive bounds of numbers; lengths of texts and lists.
    double minimum = 0;
    double maximum = 0;
    /// `ms`, `%`, `bytes`; empty for none.
    std::string_view unit;
    bool isRequired = false;
    /// Choice: the accepted words, separated by '|'.
    std::string_view choices;
};

/// All fields in the order of the documentation.
std::vector<FieldInfo> documentFields();

/// Differences as text lines `/retry/maxAttempts: 3 -> 5`, sorted by pointer. A field that one side lacks is shown as
/// `absent`; arrays are compared as a whole.
std::vector<std::string> documentDifference(const nlohmann::json &before, const nlohmann::json &after);

}

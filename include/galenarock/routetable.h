#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

/// Routing by host and path prefix, for deployments with one configuration for all services.
namespace Galenarock
{

/// Whether a request may be executed more than once.
enum class Repeatability : std::uint8_t
{
    /// May be executed any number of times.
    Idempotent,
    /// Executed at most once.
    AtMostOnce,
    /// Executed at most once; the request body is large.
    AtMostOnceLarge,
    /// May be executed any number of times; the response body is large.
    IdempotentLarge,
};

inline bool isIdempotent(Repeatability repeatability)
{
    return repeatability == Repeatability::Idempotent || repeatability == Repeatability::IdempotentLarge;
}

/// A destination of a route; it receives a part of the route's requests in proportion to its weight.
struct WeightedService
{
    std::string service;
    double weight = 1;

    friend bool operator==(const WeightedService &a, const WeightedService &b)
    {
        return a.service == b.service && a.weight == b.weight;
    }
};

/// Rule for requests to one host whose path begins with one prefix.
struct RouteRule
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    /// Never empty; the sum of the weights is above 0.
    std::vector<WeightedService> destinations;
    Repeatability repeatability = Repeatability::AtMostOnce;
    /// Time from the arrival of a request within which it gets its final answer.
    std::int64_t timeoutMs = 0;
    /// Latency up to which an answer has its full value; 0 when the configuration states none.
    std::int64_t latencyTargetMs = 0;
    /// Maximum number of servers to which one request is sent.
    std::uint32_t maxAttempts = 1;
    /// 0 is the highest priority.
    std::uint32_t priority = 0;

    friend bool operator==(const RouteRule &a, const RouteRule &b)
    {
        return a.name == b.name && a.host == b.host && a.prefix == b.prefix && a.destinations == b.destinations
            && a.repeatability == b.repeatability && a.timeoutMs == b.timeoutMs
            && a.latencyTargetMs == b.latencyTargetMs && a.maxAttempts == b.maxAttempts && a.priority == b.priority;
    }
};

/// Configuration of one service.
struct ServiceRule
{
    std::string name;
    std::string probeTarget;
    /// Maximum number of connections that one server accepts, over all daemons.
    std::uint32_t maxConnections = 1;
    /// Each key is owned by one server at a time.
    bool isKeyed = false;
    /// Time for which a server is cold after the start of its process; 0 when the configuration states none.
    std::int64_t warmupMs = 0;
    /// Requests per second from all daemons together that a cold server tolerates; 0 when the configuration states
    /// none.
    double warmupPerSecond = 0;

    friend bool operator==(const ServiceRule &a, const ServiceRule &b)
    {
        return a.name == b.name && a.probeTarget == b.probeTarget && a.maxConnections == b.maxConnections
            && a.isKeyed == b.isKeyed && a.warmupMs == b.warmupMs && a.warmupPerSecond == b.warmupPerSecond;
    }
};

/// Limits on the size of callers' requests and on the time to receive them.
struct CallerLimits
{
    std::uint64_t maxHeaderBytes = 16'384;
    std::uint64_t maxBodyBytes = 64 << 20;
    std::int64_t headerTimeoutMs = 3'000;
    std::int64_t idleTimeoutMs = 15'000;

    friend bool operator==(const CallerLimits &a, const CallerLimits &b)
    {
        return a.maxHeaderBytes == b.maxHeaderBytes && a.maxBodyBytes == b.maxBodyBytes
            && a.headerTimeoutMs == b.headerTimeoutMs && a.idleTimeoutMs == b.idleTimeoutMs;
    }
};

/// One version of the whole configuration.
struct RouteConfiguration
{
    /// Increases with every change, not necessarily by one.
    std::uint64_t version = 0;
    std::vector<RouteRule> routes;
    std::vector<ServiceRule> services;
    CallerLimits limits;

    friend bool operator==(const RouteConfiguration &a, const RouteConfiguration &b)
    {
        return a.version == b.version && a.routes == b.routes && a.services == b.services && a.limits == b.limits;
    }
};

/// Immutable lookup table for the routes of one configuration version.
///
/// Example: `const auto *rule = table.find("shop.example", "/orders/7?x=1"); if (!rule) { ... }`
class RouteTable
{
public:
    explicit RouteTable(RouteConfiguration configuration);

    const RouteConfiguration &configuration() const
    {
        return m_configuration;
    }
    /// The rule of the host with the longest prefix that matches the path; null when none matches. A port in `host`
    /// and a query or fragment in `target` are ignored; host names are compared case-insensitively.
    const RouteRule *find(std::string_view host, std::string_view target) const;
    /// Chooses the destination of one request in proportion to the weights. `random` must be uniformly distributed over
    /// all 64-bit values.
    static const std::string &pick(const RouteRule &rule, std::uint64_t random);

private:
    RouteConfiguration m_configuration;
    /// Key: lower-case host, newline, prefix.
    std::unordered_map<std::string, const RouteRule *> m_rules;
};

}

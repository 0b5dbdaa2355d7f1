#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

/// Routes by host and path prefix, for deployments whose operator writes one configuration for all services.
namespace Galenarock
{

/// Whether a request may be sent to servers more than once.
enum class Repeatability : std::uint8_t
{
    /// May run any number of times.
    Idempotent,
    /// Runs at most once.
    AtMostOnce,
    /// Runs at most once and has a large body.
    AtMostOnceLarge,
};

/// One of the services to which a route's requests go, in proportion to its weight.
struct WeightedService
{
    std::string service;
    double weight = 1;

    friend bool operator==(const WeightedService &a, const WeightedService &b)
    {
        return a.service == b.service && a.weight == b.weight;
    }
};

/// How requests under one path prefix of one host are treated.
struct RouteRule
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    /// At least one; the weights add up to more than 0.
    std::vector<WeightedService> destinations;
    Repeatability repeatability = Repeatability::AtMostOnce;
    /// Time from arrival after which a request has its final answer.
    std::int64_t timeoutMs = 0;
    /// Time within which an answer is worth most; 0 when not stated.
    std::int64_t targetLatencyMs = 0;
    /// Servers to which one request may be sent.
    std::uint32_t maxAttempts = 1;
    /// 0 is served first.
    std::uint32_t priority = 0;

    friend bool operator==(const RouteRule &a, const RouteRule &b)
    {
        return a.name == b.name && a.host == b.host && a.prefix == b.prefix && a.destinations == b.destinations
            && a.repeatability == b.repeatability && a.timeoutMs == b.timeoutMs
            && a.targetLatencyMs == b.targetLatencyMs && a.maxAttempts == b.maxAttempts && a.priority == b.priority;
    }
};

/// A service as the configuration describes it.
struct ServiceRule
{
    std::string name;
    std::string probeTarget;
    /// Connections that one server accepts from all daemons together.
    std::uint32_t maxConnections = 1;
    /// Each key belongs to one server at a time.
    bool isKeyed = false;

    friend bool operator==(const ServiceRule &a, const ServiceRule &b)
    {
        return a.name == b.name && a.probeTarget == b.probeTarget && a.maxConnections == b.maxConnections
            && a.isKeyed == b.isKeyed;
    }
};

/// What a caller may send, and how long it may take.
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
    /// Grows with every change, not always by one.
    std::uint64_t version = 0;
    std::vector<RouteRule> routes;
    std::vector<ServiceRule> services;
    CallerLimits limits;

    friend bool operator==(const RouteConfiguration &a, const RouteConfiguration &b)
    {
        return a.version == b.version && a.routes == b.routes && a.services == b.services && a.limits == b.limits;
    }
};

/// Immutable index of one configuration version.
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
    /// The rule with the longest prefix that begins the path; null when none does. A port in `host` and a query in
    /// `target` are ignored; host names compare without regard to case.
    const RouteRule *find(std::string_view host, std::string_view target) const;
    /// Destination for one request. `random` is uniform over all values.
    static const std::string &pick(const RouteRule &rule, std::uint64_t random);

private:
    RouteConfiguration m_configuration;
    /// Rule by host, newline and prefix.
    std::unordered_map<std::string, const RouteRule *> m_rules;
};

}

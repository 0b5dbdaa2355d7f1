#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include <galenarock/routing.h>
#include <galenarock/serverlimits.h>

/// Where a request would go now, and why, without sending it. For the admin path `/explain` of the gateway.
namespace Galenarock
{

/// Servers that one explanation lists at most, over all services of a split.
inline constexpr std::size_t MaxExplainedServers = 64;
/// Services of a split that one explanation lists at most.
inline constexpr std::size_t MaxExplainedServices = 16;

struct ExplainedRequest
{
    std::string method;
    std::string host;
    std::string path;
    /// As the operator stated it; empty without a key.
    std::string key;
    /// Empty without a key, or when it is malformed.
    std::optional<KeyHash> position;
};

/// What this daemon knows of one server beyond the routing snapshot.
struct ServerCondition
{
    /// The server wants no request from this VM before this time.
    Instant pausedUntil{};
    /// Requests of the route's priority are refused before this time, since the server's rate is used up.
    Instant refusedUntil{};
    /// Requests per second to the server from all VMs together; empty without a bound.
    std::optional<double> perSecond;
    /// The server is cold: requests go to it from `coldOpenAt` on, at the rate above until `coldUntil`.
    Instant coldOpenAt{};
    Instant coldUntil{};
};

/// When each input last changed, as this daemon saw it.
struct InputTimes
{
    std::optional<Instant> configuration;
    std::optional<Instant> snapshot;
    std::optional<Instant> evacuations;
    std::optional<Instant> coldServers;
    /// By service.
    std::map<std::string, Instant> servers;
    /// By keyed service: when the lease table arrived that is in use.
    std::map<std::string, Instant> tables;
    /// Whether the store answers, and since when that is so.
    bool isStoreReachable = false;
    std::optional<Instant> storeReachability;
};

struct ExplanationInput
{
    Instant now{};
    /// Null before the first configuration.
    std::shared_ptr<const RoutingSnapshot> snapshot;
    InputTimes times;
    /// Failure domain of this VM.
    std::string localDomain;
    /// Failure domains under evacuation. Those of keyed services keep their ranges for a part of the bound.
    std::vector<std::string> evacuatedDomains;
    /// No server answers this VM, so its requests go through other VMs.
    bool isCutOff = false;
    bool isStopping = false;
    std::function<ServerCondition(const Identity &server, std::uint32_t priority)> condition;
    /// The latest decisions on the range of a key, as a JSON array.
    std::function<nlohmann::json(const std::string &service, KeyHash hash)> decisions;
};

/// The JSON object that `/explain` answers. Pure: it changes nothing, and takes no part in the choice of servers.
///
/// It repeats the checks of the request path that depend on what all workers share. What a single worker observes, such
/// as latency and requests in flight, and what depends on the request's body are not included; the output says so.
nlohmann::json explain(const ExplainedRequest &request, const ExplanationInput &input);

/// Notes when the inputs of explanations change, and the cold servers. Thread-safe: the control thread writes, and the
/// thread of the admin address reads.
class ExplanationState
{
public:
    void snapshotChanged(Instant now, const std::shared_ptr<const RoutingSnapshot> &snapshot);
    void evacuationsChanged(Instant now);
    void coldServersChanged(Instant now, const std::vector<ColdServer> &servers);
    void storeSeen(Instant now, bool isReachable);

    InputTimes times() const;
    std::map<Identity, ColdServer> coldServers() const;

private:
    mutable std::mutex m_mutex;
    std::shared_ptr<const RoutingSnapshot> m_snapshot;
    InputTimes m_times;
    std::map<Identity, ColdServer> m_coldServers;
};

}

#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <galenarock/assignment.h>
#include <galenarock/base.h>
#include <galenarock/document.h>
#include <galenarock/platform.h>
#include <galenarock/requests.h>
#include <galenarock/routetable.h>

/// Immutable routing snapshot: the data with which the request path finds the backend server for a request.
///
/// Example: `const auto *route = snapshot->find("vitrina"); const auto owner = route->owner(hashKey(key), now);`
namespace Galenarock
{

/// Time for which a draining server still receives requests for the keys that it owns, while these keys are moved.
/// Guarantee G6 allows 2 s after the VM list marks the server as leaving; the difference covers daemons that replace
/// their snapshot late.
inline constexpr Duration drainHandoverPeriod = milliseconds(1'100);

/// A backend server of one service. Its ServerIndex is its position in ServiceRoute::servers().
struct RoutedServer
{
    /// The boot number is that of the assignment for keyed services, and that of the VM list for balanced ones.
    Identity identity;
    /// `ip:port`; empty when the VM list does not contain this process of the server.
    std::string address;
    std::string failureDomain;
    /// Number of requests that the server runs concurrently; 0 when unknown.
    std::uint32_t slots = 0;
    /// The VM list marks the server as leaving, or the server has announced its own drain.
    bool isDraining = false;
    /// When this daemon first saw the server draining.
    Instant drainingSince{};
    /// No request may be sent to the server, since its failure domain is being evacuated.
    bool isEvacuated = false;

    /// Whether new requests of a balanced service may be sent to the server.
    bool acceptsWork() const
    {
        return !isDraining && !isEvacuated && !address.empty();
    }
    friend bool operator==(const RoutedServer &a, const RoutedServer &b)
    {
        return a.identity == b.identity && a.address == b.address && a.failureDomain == b.failureDomain
            && a.slots == b.slots && a.isDraining == b.isDraining && a.drainingSince == b.drainingSince
            && a.isEvacuated == b.isEvacuated;
    }
};

/// The owner of a key and the fencing token of its slice.
struct Owner
{
    /// noServer unless `reason` is Reason::None.
    ServerIndex server = noServer;
    Token token;
    /// NoAssignment, OwnerUnavailable or Evacuated when no server may receive the request.
    Reason reason = Reason::NoAssignment;

    friend bool operator==(const Owner &a, const Owner &b)
    {
        return a.server == b.server && a.token == b.token && a.reason == b.reason;
    }
};

/// What the route of one service is built from.
struct ServiceInput
{
    const ServiceDocument &document;
    /// Backend servers; those of other services are ignored.
    const std::vector<VmEntry> &servers;
    /// Null without one.
    const Assignment *assignment = nullptr;
    /// Names of servers that have announced their own drain.
    std::vector<std::string> draining = {};
    /// Failure domains to whose servers no request is sent.
    std::vector<std::string> closedDomains = {};
};

/// One service: its document, its servers and, for keyed services, the owners of its slices. Immutable.
class ServiceRoute
{
public:
    /// RoutedServer::drainingSince is carried over from `previous`, which is null for the first route. A list of
    /// servers that equals the previous one is shared with it.
    static std::shared_ptr<const ServiceRoute> build(const ServiceInput &input, Instant now,
                                                     const ServiceRoute *previous);

    const ServiceDocument &document() const
    {
        return m_document;
    }
    /// Keyed: in the order of Assignment::servers. Balanced: the servers of the VM list, sorted by identity.
    const std::vector<RoutedServer> &servers() const
    {
        return *m_servers;
    }
    /// Whether servers() is the list of `other`, without comparing the servers.
    bool sharesServers(const ServiceRoute &other) const
    {
        return m_servers == other.m_servers;
    }
    /// Epoch of the assignment; 0 without one.
    std::uint32_t epoch() const
    {
        return m_epoch;
    }
    /// Assignment::nextSequence of the assignment, which grows with each change within an epoch; 0 without one.
    std::uint64_t assignmentSequence() const
    {
        return m_assignmentSequence;
    }
    std::size_t sliceCount() const
    {
        return m_sliceStarts.size();
    }
    /// Whether the service has servers and all of them are in closed failure domains.
    bool isEvacuated() const
    {
        return m_isEvacuated;
    }
    /// Owner of `hash`. A draining owner counts as unavailable immediately.
    Owner owner(KeyHash hash) const;
    /// Same, but a draining owner is still returned until `drainHandoverPeriod` after RoutedServer::drainingSince.
    Owner owner(KeyHash hash, Instant now) const;
    /// The server to which the assignment gives `hash`, also when it may not receive requests; noServer without one.
    ServerIndex assignedServer(KeyHash hash) const;
    /// Index of the server with this name; noServer when there is none.
    ServerIndex serverNamed(std::string_view name) const;

private:
    struct SliceOwner
    {
        std::uint64_t sequence;
        ServerIndex server;
    };
    /// Null when the service has no assignment.
    const SliceOwner *sliceOwner(KeyHash hash) const;

    ServiceDocument m_document;
    std::shared_ptr<const std::vector<RoutedServer>> m_servers;
    std::uint32_t m_epoch = 0;
    std::uint64_t m_assignmentSequence = 0;
    bool m_isEvacuated = false;
    /// First key position of each slice, sorted. Kept apart from the owners so that the search reads few cache lines.
    std::vector<KeyHash> m_sliceStarts;
    std::vector<SliceOwner> m_owners;
};

/// Input of RoutingSnapshot::build().
struct RoutingInput
{
    std::vector<ServiceDocument> documents;
    /// If several assignments are for the same service, the one with the highest (epoch, nextSequence) is used.
    std::vector<Assignment> assignments;
    VmList vms;
    /// Names of servers that have announced their own drain.
    std::vector<std::string> draining;
    /// Routes by host and path prefix; null in deployments where the first path segment is the service name.
    std::shared_ptr<const RouteTable> routes;
    /// Failure domains to whose servers no request is sent.
    std::vector<std::string> closedDomains = {};
};

/// Routing state of all services. Immutable: every thread of the daemon reads it through a std::shared_ptr, which the
/// control thread replaces with that of a newer snapshot.
class RoutingSnapshot
{
public:
    /// RoutedServer::drainingSince is carried over from `previous`, which is null for the first snapshot.
    static std::shared_ptr<const RoutingSnapshot> build(const RoutingInput &input, Instant now,
                                                        const RoutingSnapshot *previous = nullptr);
    /// A snapshot of routes that were built before, which it shares with other snapshots.
    RoutingSnapshot(std::vector<std::shared_ptr<const ServiceRoute>> services, std::shared_ptr<const RouteTable> routes,
                    std::uint32_t listedDaemons = 1);

    /// Null when the service has no document.
    const ServiceRoute *find(std::string_view service) const;
    /// Sorted by service name.
    const std::vector<std::shared_ptr<const ServiceRoute>> &services() const
    {
        return m_services;
    }
    /// Number of entry VMs that are live in the VM list, at least 1.
    std::uint32_t listedDaemons() const
    {
        return m_listedDaemons;
    }
    const std::shared_ptr<const RouteTable> &routes() const
    {
        return m_routes;
    }

private:
    std::vector<std::shared_ptr<const ServiceRoute>> m_services;
    std::uint32_t m_listedDaemons = 1;
    std::shared_ptr<const RouteTable> m_routes;
};

}

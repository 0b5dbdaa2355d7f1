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

/// The immutable routing snapshot: everything that the request path needs to find a backend server.
///
/// Example: `const auto *route = snapshot->find("vitrina"); const auto owner = route->owner(hashKey(key), now);`
namespace Galenarock
{

/// How long a leaving server still receives requests for keys that it owns while they are moved. Guarantee G6 allows
/// 2 s after the VM list entry; the difference covers a daemon that swaps its snapshot late.
inline constexpr Duration drainHandoverPeriod = milliseconds(1'100);

/// A backend server of one service; its position in ServiceRoute::servers() is its ServerIndex.
struct RoutedServer
{
    /// Boot number 0 for servers that no assignment names.
    Identity identity;
    /// `ip:port`; empty when the VM list does not name the server.
    std::string address;
    std::string failureDomain;
    /// Requests that it runs at once; 0 when not known.
    std::uint32_t slots = 0;
    /// Leaving by the VM list or by its own drain signal.
    bool isDraining = false;
    /// When this daemon first saw the server leaving.
    Instant drainingSince{};

    /// Whether the server may be chosen for new requests of a balanced service.
    bool acceptsWork() const
    {
        return !isDraining && !address.empty();
    }
    friend bool operator==(const RoutedServer &a, const RoutedServer &b)
    {
        return a.identity == b.identity && a.address == b.address && a.failureDomain == b.failureDomain
            && a.slots == b.slots && a.isDraining == b.isDraining && a.drainingSince == b.drainingSince;
    }
};

/// The owner of a key and the token of its slice.
struct Owner
{
    /// noServer unless `reason` is Reason::None.
    ServerIndex server = noServer;
    Token token;
    /// NoAssignment or OwnerUnavailable when no server may receive the request.
    Reason reason = Reason::NoAssignment;

    friend bool operator==(const Owner &a, const Owner &b)
    {
        return a.server == b.server && a.token == b.token && a.reason == b.reason;
    }
};

/// One service: its document, its servers and, for keyed services, the owners of its slices.
class ServiceRoute
{
public:
    const ServiceDocument &document() const
    {
        return m_document;
    }
    /// Keyed: in the order of Assignment::servers. Balanced: in the order of the names in the VM list, sorted.
    const std::vector<RoutedServer> &servers() const
    {
        return m_servers;
    }
    /// Epoch of the assignment; 0 without one.
    std::uint32_t epoch() const
    {
        return m_epoch;
    }
    std::size_t sliceCount() const
    {
        return m_firsts.size();
    }
    /// Owner of `hash`. A leaving owner is unavailable at once.
    Owner owner(KeyHash hash) const;
    /// Same, but a leaving owner is returned until `drainHandoverPeriod` after it was first seen leaving.
    Owner owner(KeyHash hash, Instant now) const;
    /// Index of the server with this name, noServer when there is none.
    ServerIndex serverNamed(std::string_view name) const;

private:
    friend class RoutingSnapshot;
    struct SliceOwner
    {
        std::uint64_t sequence;
        ServerIndex server;
    };
    /// Null when the service has no assignment.
    const SliceOwner *sliceOwner(KeyHash hash) const;

    ServiceDocument m_document;
    std::vector<RoutedServer> m_servers;
    std::uint32_t m_epoch = 0;
    /// First position of each slice, sorted; separate from the owners so that the search touches few cache lines.
    std::vector<KeyHash> m_firsts;
    std::vector<SliceOwner> m_owners;
};

/// What a snapshot is built from.
struct RoutingInput
{
    std::vector<ServiceDocument> documents;
    /// When two assignments name the same service, the one with the higher (epoch, nextSequence) is used.
    std::vector<Assignment> assignments;
    VmList vms;
    /// Names of servers that announced their own drain.
    std::vector<std::string> draining;
    /// Routes by host and path; null where the first path segment names the service.
    std::shared_ptr<const RouteTable> routes;
};

/// Immutable; every thread of the daemon reads it through a std::shared_ptr that the control thread replaces.
class RoutingSnapshot
{
public:
    /// `previous` supplies the time since when a server has been leaving; null at the first build.
    static std::shared_ptr<const RoutingSnapshot> build(const RoutingInput &input, Instant now,
                                                        const RoutingSnapshot *previous = nullptr);

    /// Null for a service without a document.
    const ServiceRoute *find(std::string_view service) const;
    /// Sorted by service name.
    const std::vector<ServiceRoute> &services() const
    {
        return m_services;
    }
    /// Number of entry VMs that the VM list names as live, at least 1.
    std::uint32_t listedDaemons() const
    {
        return m_listedDaemons;
    }
    const std::shared_ptr<const RouteTable> &routes() const
    {
        return m_routes;
    }

private:
    std::vector<ServiceRoute> m_services;
    std::uint32_t m_listedDaemons = 1;
    std::shared_ptr<const RouteTable> m_routes;
};

}

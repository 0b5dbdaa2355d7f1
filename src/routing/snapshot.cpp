#include <galenarock/routing.h>

#include <algorithm>

namespace Galenarock
{

namespace
{
const VmEntry *findVm(const VmList &list, const std::string &service, const std::string &name)
{
    for (const auto &it : list.vms) {
        if (it.role == VmRole::Backend && it.name == name && it.service == service) {
            return &it;
        }
    }
    return nullptr;
}

const Assignment *newestAssignment(const std::vector<Assignment> &assignments, const std::string &service)
{
    const Assignment *newest = nullptr;
    for (const auto &it : assignments) {
        if (it.service != service) {
            continue;
        }
        if (!newest || std::tie(newest->epoch, newest->nextSequence) < std::tie(it.epoch, it.nextSequence)) {
            newest = &it;
        }
    }
    return newest;
}

bool containsName(const std::vector<std::string> &names, const std::string &name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

/// Start of the server's drain: taken from the previous snapshot if the server was already draining there, so that a
/// rebuild of the snapshot does not restart the handover period; otherwise `now`.
Instant drainingSince(const ServiceRoute *previous, const RoutedServer &server, Instant now)
{
    if (!previous) {
        return now;
    }
    for (const auto &it : previous->servers()) {
        if (it.identity == server.identity && it.isDraining) {
            return it.drainingSince;
        }
    }
    return now;
}

RoutedServer makeServer(const RoutingInput &input, const Identity &identity, const VmEntry *vm,
                        const ServiceRoute *previous, Instant now)
{
    RoutedServer server;
    server.identity = identity;
    server.isDraining = containsName(input.draining, identity.name);
    const bool isSameProcess = vm && (vm->boot == 0 || identity.boot == 0 || vm->boot == identity.boot);
    if (isSameProcess) {
        server.slots = vm->slots;
        server.address = vm->address;
        server.failureDomain = vm->failureDomain;
        server.isDraining = server.isDraining || vm->state == VmState::Leaving;
    }
    if (server.isDraining) {
        server.drainingSince = drainingSince(previous, server, now);
    }
    return server;
}

std::vector<RoutedServer> keyedServers(const RoutingInput &input, const Assignment &assignment,
                                       const ServiceRoute *previous, Instant now)
{
    std::vector<RoutedServer> servers;
    servers.reserve(assignment.servers.size());
    for (const auto &it : assignment.servers) {
        servers.push_back(makeServer(input, it, findVm(input.vms, assignment.service, it.name), previous, now));
    }
    return servers;
}

std::vector<RoutedServer> balancedServers(const RoutingInput &input, const std::string &service,
                                          const ServiceRoute *previous, Instant now)
{
    std::vector<RoutedServer> servers;
    for (const auto &it : input.vms.vms) {
        if (it.role != VmRole::Backend || it.service != service) {
            continue;
        }
        servers.push_back(makeServer(input, Identity{it.name, it.boot}, &it, previous, now));
    }
    std::sort(servers.begin(), servers.end(),
              [](const RoutedServer &a, const RoutedServer &b) { return a.identity < b.identity; });
    return servers;
}

std::uint32_t countDaemons(const VmList &list)
{
    const auto n = std::count_if(list.vms.begin(), list.vms.end(), [](const VmEntry &it) {
        return it.role == VmRole::Entry && it.state == VmState::Live;
    });
    return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(n));
}
}

const ServiceRoute::SliceOwner *ServiceRoute::sliceOwner(KeyHash hash) const
{
    if (m_sliceStarts.empty()) {
        return nullptr;
    }
    // Branchless binary search, since branch prediction fails on hashed keys. The first slice starts at 0 (checked by
    // Assignment::validate), so a slice that contains `hash` always exists.
    const KeyHash *base = m_sliceStarts.data();
    for (std::size_t n = m_sliceStarts.size(); n > 1;) {
        const std::size_t half = n / 2;
        base += base[half] <= hash ? half : 0;
        n -= half;
    }
    return &m_owners[static_cast<std::size_t>(base - m_sliceStarts.data())];
}

Owner ServiceRoute::owner(KeyHash hash) const
{
    return owner(hash, Instant::max());
}

Owner ServiceRoute::owner(KeyHash hash, Instant now) const
{
    const auto *slice = sliceOwner(hash);
    if (!slice) {
        return {};
    }
    const Token token{m_epoch, slice->sequence};
    if (slice->server == noServer) {
        return {noServer, token, Reason::OwnerUnavailable};
    }
    const auto &server = m_servers[slice->server];
    const bool isHandoverOver = server.isDraining && now - server.drainingSince >= drainHandoverPeriod;
    if (server.address.empty() || isHandoverOver) {
        return {noServer, token, Reason::OwnerUnavailable};
    }
    return {slice->server, token, Reason::None};
}

ServerIndex ServiceRoute::serverNamed(std::string_view name) const
{
    for (std::size_t n = 0; n < m_servers.size(); ++n) {
        if (m_servers[n].identity.name == name) {
            return static_cast<ServerIndex>(n);
        }
    }
    return noServer;
}

std::shared_ptr<const RoutingSnapshot> RoutingSnapshot::build(const RoutingInput &input, Instant now,
                                                              const RoutingSnapshot *previous)
{
    auto snapshot = std::make_shared<RoutingSnapshot>();
    snapshot->m_listedDaemons = countDaemons(input.vms);
    snapshot->m_routes = input.routes;
    for (const auto &document : input.documents) {
        ServiceRoute route;
        route.m_document = document;
        const auto *previousRoute = previous ? previous->find(document.service) : nullptr;
        const auto *assignment = newestAssignment(input.assignments, document.service);
        if (document.distribution == Distribution::Balanced) {
            route.m_servers = balancedServers(input, document.service, previousRoute, now);
        } else if (assignment && assignment->validate().empty() && !assignment->slices.empty()) {
            route.m_servers = keyedServers(input, *assignment, previousRoute, now);
            route.m_epoch = assignment->epoch;
            for (const auto &it : assignment->slices) {
                route.m_sliceStarts.push_back(it.range.first);
                route.m_owners.push_back({it.sequence, it.owner});
            }
        }
        snapshot->m_services.push_back(std::move(route));
    }
    std::sort(snapshot->m_services.begin(), snapshot->m_services.end(),
              [](const ServiceRoute &a, const ServiceRoute &b) { return a.m_document.service < b.m_document.service; });
    return snapshot;
}

const ServiceRoute *RoutingSnapshot::find(std::string_view service) const
{
    const auto it =
        std::lower_bound(m_services.begin(), m_services.end(), service,
                         [](const ServiceRoute &a, std::string_view name) { return a.m_document.service < name; });
    if (it == m_services.end() || it->m_document.service != service) {
        return nullptr;
    }
    return &*it;
}

}

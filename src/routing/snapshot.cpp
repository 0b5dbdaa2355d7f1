#include <galenarock/routing.h>

#include <algorithm>
#include <unordered_map>

namespace Galenarock
{

namespace
{
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

RoutedServer makeServer(const ServiceInput &input, const Identity &identity, const VmEntry *vm,
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
        server.isEvacuated = containsName(input.closedDomains, vm->failureDomain);
    }
    if (server.isDraining) {
        server.drainingSince = drainingSince(previous, server, now);
    }
    return server;
}

bool isServerOf(const ServiceInput &input, const VmEntry &vm)
{
    return vm.role == VmRole::Backend && vm.service == input.document.service;
}

std::vector<RoutedServer> keyedServers(const ServiceInput &input, const ServiceRoute *previous, Instant now)
{
    std::unordered_map<std::string_view, const VmEntry *> vms;
    for (const auto &it : input.servers) {
        if (isServerOf(input, it)) {
            vms.emplace(it.name, &it);
        }
    }
    std::vector<RoutedServer> servers;
    servers.reserve(input.assignment->servers.size());
    for (const auto &it : input.assignment->servers) {
        const auto vm = vms.find(it.name);
        servers.push_back(makeServer(input, it, vm == vms.end() ? nullptr : vm->second, previous, now));
    }
    return servers;
}

std::vector<RoutedServer> balancedServers(const ServiceInput &input, const ServiceRoute *previous, Instant now)
{
    std::vector<RoutedServer> servers;
    for (const auto &it : input.servers) {
        if (isServerOf(input, it)) {
            servers.push_back(makeServer(input, Identity{it.name, it.boot}, &it, previous, now));
        }
    }
    std::sort(servers.begin(), servers.end(),
              [](const RoutedServer &a, const RoutedServer &b) { return a.identity < b.identity; });
    return servers;
}

/// Whether no server of the service is left outside the closed failure domains.
bool isFullyClosed(const ServiceInput &input)
{
    bool hasClosed = false;
    for (const auto &it : input.servers) {
        if (!isServerOf(input, it) || it.state == VmState::Leaving || it.address.empty()) {
            continue;
        }
        if (!containsName(input.closedDomains, it.failureDomain)) {
            return false;
        }
        hasClosed = true;
    }
    return hasClosed;
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
    if (m_isEvacuated) {
        return {noServer, token, Reason::Evacuated};
    }
    if (slice->server == noServer) {
        return {noServer, token, Reason::OwnerUnavailable};
    }
    const auto &server = servers()[slice->server];
    const bool isHandoverOver = server.isDraining && now - server.drainingSince >= drainHandoverPeriod;
    if (server.address.empty() || isHandoverOver || server.isEvacuated) {
        return {noServer, token, Reason::OwnerUnavailable};
    }
    return {slice->server, token, Reason::None};
}

ServerIndex ServiceRoute::assignedServer(KeyHash hash) const
{
    const auto *slice = sliceOwner(hash);
    return slice ? slice->server : noServer;
}

ServerIndex ServiceRoute::serverNamed(std::string_view name) const
{
    for (std::size_t n = 0; n < servers().size(); ++n) {
        if (servers()[n].identity.name == name) {
            return static_cast<ServerIndex>(n);
        }
    }
    return noServer;
}

std::shared_ptr<const ServiceRoute> ServiceRoute::build(const ServiceInput &input, Instant now,
                                                        const ServiceRoute *previous)
{
    auto route = std::make_shared<ServiceRoute>();
    route->m_document = input.document;
    route->m_isEvacuated = !input.closedDomains.empty() && isFullyClosed(input);
    const auto *assignment = input.assignment;
    std::vector<RoutedServer> servers;
    if (input.document.distribution == Distribution::Balanced) {
        servers = balancedServers(input, previous, now);
    } else if (assignment && assignment->validate().empty() && !assignment->slices.empty()) {
        servers = keyedServers(input, previous, now);
        route->m_epoch = assignment->epoch;
        route->m_assignmentSequence = assignment->nextSequence;
        route->m_sliceStarts.reserve(assignment->slices.size());
        route->m_owners.reserve(assignment->slices.size());
        for (const auto &it : assignment->slices) {
            route->m_sliceStarts.push_back(it.range.first);
            route->m_owners.push_back({it.sequence, it.owner});
        }
    }
    const bool isUnchanged = previous && servers == previous->servers();
    route->m_servers =
        isUnchanged ? previous->m_servers : std::make_shared<const std::vector<RoutedServer>>(std::move(servers));
    return route;
}

RoutingSnapshot::RoutingSnapshot(std::vector<std::shared_ptr<const ServiceRoute>> services,
                                 std::shared_ptr<const RouteTable> routes, std::uint32_t listedDaemons)
    : m_services(std::move(services))
    , m_listedDaemons(listedDaemons)
    , m_routes(std::move(routes))
{
    std::sort(m_services.begin(), m_services.end(),
              [](const auto &a, const auto &b) { return a->document().service < b->document().service; });
}

std::shared_ptr<const RoutingSnapshot> RoutingSnapshot::build(const RoutingInput &input, Instant now,
                                                              const RoutingSnapshot *previous)
{
    std::vector<std::shared_ptr<const ServiceRoute>> services;
    for (const auto &it : input.documents) {
        const ServiceInput service{it, input.vms.vms, newestAssignment(input.assignments, it.service), input.draining,
                                   input.closedDomains};
        services.push_back(ServiceRoute::build(service, now, previous ? previous->find(it.service) : nullptr));
    }
    return std::make_shared<const RoutingSnapshot>(std::move(services), input.routes, countDaemons(input.vms));
}

const ServiceRoute *RoutingSnapshot::find(std::string_view service) const
{
    const auto it =
        std::lower_bound(m_services.begin(), m_services.end(), service,
                         [](const auto &route, std::string_view name) { return route->document().service < name; });
    if (it == m_services.end() || (*it)->document().service != service) {
        return nullptr;
    }
    return it->get();
}

}

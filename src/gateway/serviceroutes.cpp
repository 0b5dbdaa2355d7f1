#include "serviceroutes_p.h"

#include <algorithm>

namespace Galenarock
{

void ServiceRoutes::setConfiguration(std::shared_ptr<const RouteTable> routes)
{
    m_routes = std::move(routes);
    std::map<std::string, Service> kept;
    for (const auto &it : m_routes->configuration().services) {
        const auto known = m_services.find(it.name);
        auto &service = kept[it.name];
        if (known != m_services.end()) {
            service = std::move(known->second);
        }
        service.isOutdated = service.isOutdated || !(documentOf(it, service.servers) == service.document);
    }
    m_services = std::move(kept);
}

void ServiceRoutes::setTable(const Assignment &table)
{
    m_tables[table.service] = table;
    const auto found = m_services.find(table.service);
    if (found != m_services.end()) {
        found->second.isOutdated = true;
    }
}

void ServiceRoutes::setEvacuations(std::vector<std::string> evacuated, std::vector<std::string> closed)
{
    m_evacuated = std::move(evacuated);
    m_closed = std::move(closed);
    for (auto &[name, it] : m_services) {
        it.isOutdated = true;
    }
}

std::vector<std::string> ServiceRoutes::closedDomains(const ServiceRule &rule, const Service &service) const
{
    const bool hasOther = std::any_of(service.servers.begin(), service.servers.end(), [&](const VmEntry &it) {
        const bool isUsable = it.state != VmState::Leaving && !it.address.empty();
        return isUsable && std::find(m_evacuated.begin(), m_evacuated.end(), it.failureDomain) == m_evacuated.end();
    });
    return rule.isKeyed && hasOther ? m_closed : m_evacuated;
}

ServiceDocument ServiceRoutes::documentOf(const ServiceRule &rule, const std::vector<VmEntry> &servers) const
{
    ServiceDocument document;
    document.service = rule.name;
    document.distribution = rule.isKeyed ? Distribution::Keyed : Distribution::Balanced;
    document.pool.connections = rule.maxConnections;
    document.pool.slots = 1;
    for (const auto &it : servers) {
        document.pool.slots = std::max(document.pool.slots, it.slots);
    }
    document.retry.budgetPercent = m_retryPercent;
    return document;
}

void ServiceRoutes::refresh(Instant now, const ServiceRule &rule, const ServerDirectory &directory, Service &service)
{
    const auto revision = directory.revision(rule.name);
    const bool haveServersChanged = revision != service.serversRevision;
    if (!haveServersChanged && !service.isOutdated) {
        return;
    }
    if (haveServersChanged) {
        service.serversRevision = revision;
        service.servers = directory.vmEntries(rule.name, now);
    }
    service.isOutdated = false;
    service.document = documentOf(rule, service.servers);
    const auto table = m_tables.find(rule.name);
    const ServiceInput input{service.document,
                             service.servers,
                             table == m_tables.end() ? nullptr : &table->second,
                             {},
                             closedDomains(rule, service)};
    service.route = ServiceRoute::build(input, now, service.route.get());
    ++m_builtRoutes;
}

std::shared_ptr<const RoutingSnapshot> ServiceRoutes::build(Instant now, const ServerDirectory &servers)
{
    std::vector<std::shared_ptr<const ServiceRoute>> routes;
    for (const auto &it : m_routes->configuration().services) {
        auto &service = m_services.at(it.name);
        refresh(now, it, servers, service);
        routes.push_back(service.route);
    }
    return std::make_shared<const RoutingSnapshot>(std::move(routes), m_routes);
}

}

#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <galenarock/routing.h>

#include "serverdirectory_p.h"

namespace Galenarock
{

/// Builds the routing snapshots of a gateway. Does no I/O.
///
/// A snapshot costs by the services that have changed since the one before; the routes of the others are shared. In a
/// large fleet lease tables change many times a second, and each daemon builds a snapshot for each change.
class ServiceRoutes
{
public:
    explicit ServiceRoutes(double retryPercent)
        : m_retryPercent(retryPercent)
    {
    }

    void setConfiguration(std::shared_ptr<const RouteTable> routes);
    const std::shared_ptr<const RouteTable> &configuration() const
    {
        return m_routes;
    }
    /// Sets the lease table of a keyed service, which may become part of the configuration later.
    void setTable(const Assignment &table);
    /// Failure domains to whose servers no request goes: `evacuated` for balanced services and for those without any
    /// other server, `closed`, a part of them, for the others.
    void setEvacuations(std::vector<std::string> evacuated, std::vector<std::string> closed);
    /// Must not be called before setConfiguration().
    std::shared_ptr<const RoutingSnapshot> build(Instant now, const ServerDirectory &servers);

    /// Routes that were built, not shared, since the start.
    std::uint64_t builtRoutes() const
    {
        return m_builtRoutes;
    }

private:
    struct Service
    {
        ServiceDocument document;
        std::vector<VmEntry> servers;
        std::uint64_t serversRevision = 0;
        bool isOutdated = true;
        std::shared_ptr<const ServiceRoute> route;
    };
    ServiceDocument documentOf(const ServiceRule &rule, const std::vector<VmEntry> &servers) const;
    std::vector<std::string> closedDomains(const ServiceRule &rule, const Service &service) const;
    void refresh(Instant now, const ServiceRule &rule, const ServerDirectory &directory, Service &service);

    double m_retryPercent;
    std::shared_ptr<const RouteTable> m_routes;
    std::map<std::string, Assignment> m_tables;
    std::map<std::string, Service> m_services;
    std::vector<std::string> m_evacuated;
    std::vector<std::string> m_closed;
    std::uint64_t m_builtRoutes = 0;
};

}

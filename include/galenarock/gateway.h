#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <galenarock/error.h>
#include <galenarock/leases.h>
#include <galenarock/requestdialect.h>
#include <galenarock/routetable.h>
#include <galenarock/settings.h>
#include <galenarock/storedialect.h>

/// The daemon for platforms whose operator writes one configuration and whose servers register themselves in the store.
///
/// What such a platform calls things is told by a GatewayDialect; decisions, state and recovery are the library's.
namespace Galenarock
{

/// A backend server as it registered itself.
struct ServerEntry
{
    /// Name, and the process as a number that grows with each start.
    Identity identity;
    std::string service;
    std::string address;
    std::string failureDomain;
    std::uint32_t slots = 1;
    bool isDraining = false;

    friend bool operator==(const ServerEntry &a, const ServerEntry &b)
    {
        return a.identity == b.identity && a.service == b.service && a.address == b.address
            && a.failureDomain == b.failureDomain && a.slots == b.slots && a.isDraining == b.isDraining;
    }
};

struct ParsedServer
{
    ServerEntry server;
    /// Usable only when empty.
    Findings findings;
};

struct ParsedConfiguration
{
    RouteConfiguration configuration;
    /// Usable only when empty.
    Findings findings;
};

/// An order to a server as an HTTP call.
struct LeaseHttpCall
{
    std::string method = "POST";
    std::string path;
    std::vector<std::string> headerLines;
    std::string body;
};

struct GatewayDialect
{
    StoreDialect store;
    RequestDialect requests;
    /// The object that holds the operator's configuration.
    ObjectKey configuration;
    /// Kind of the objects in which servers register.
    std::string serverKind;
    std::function<ParsedConfiguration(const StoredObject &object)> readConfiguration;
    std::function<ParsedServer(const StoredObject &object)> readServer;
    std::function<LeaseHttpCall(const LeaseCall &call)> encodeLeaseCall;
    /// Fills in `status` and `releaseProof` of a reply.
    std::function<void(unsigned status, const HeaderLookup &header, LeaseReplyEvent &reply)> decodeLeaseReply;
    /// Path of the balancer's readiness question.
    std::string readinessPath = "/readyz";
};

namespace ObjectKind
{
/// One object for each daemon: where its peers reach it.
inline constexpr const char *Daemon = "galenarock-daemon";
/// What all daemons share: the key of their messages.
inline constexpr const char *Fleet = "galenarock-fleet";
}

/// Example: `Gateway gateway(settings, dialect); gateway.start(); ... gateway.stop();`
class Gateway
{
public:
    Gateway(Settings settings, GatewayDialect dialect);
    ~Gateway();

    Result<void> start();
    /// Planned stop: not ready at once, requests are served until the balancer has noticed, then those in flight end.
    /// False when requests had to be cut at the stop deadline.
    bool stop();
    bool isReady() const;
    /// `ip:port` for callers, actually bound.
    std::string callerAddress() const;
    std::string readinessAddress() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

}

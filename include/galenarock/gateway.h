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

/// Daemon for platforms where the operator writes one configuration object and backend servers register themselves in
/// the store.
///
/// A GatewayDialect supplies the names and wire formats of such a platform; decisions, state and recovery are the same
/// for every platform.
namespace Galenarock
{

/// Registration of a backend server.
struct ServerEntry
{
    /// Name of the server and its boot number, which grows with each start of its process.
    Identity identity;
    std::string service;
    std::string address;
    std::string failureDomain;
    std::uint32_t slots = 1;
    bool isDraining = false;
    /// Increases each time that the process writes its entry; not part of the comparison.
    std::uint64_t sequence = 0;
    /// How much longer the server stays cold; changes with each entry and is not part of the comparison.
    Duration warmupLeft{};

    friend bool operator==(const ServerEntry &a, const ServerEntry &b)
    {
        return a.identity == b.identity && a.service == b.service && a.address == b.address
            && a.failureDomain == b.failureDomain && a.slots == b.slots && a.isDraining == b.isDraining;
    }
};

struct ParsedServer
{
    ServerEntry server;
    /// Errors in the entry; `server` is valid only if there are none.
    Findings findings;
};

struct ParsedConfiguration
{
    RouteConfiguration configuration;
    /// Errors in the object; `configuration` is valid only if there are none.
    Findings findings;
    /// Values that this build does not know, for example of a later contract. The routes that they belong to are served
    /// with the most careful meaning.
    Findings unknownValues;
};

/// HTTP request that sends a lease command to a server.
struct LeaseHttpCall
{
    std::string method = "POST";
    std::string path;
    std::vector<std::string> headerLines;
    std::string body;
};

/// Names and wire formats of one platform.
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
    /// Path of the load balancer's readiness check; `/readyz` gives the same answer.
    std::string readinessPath = "/readyz";
    /// Kind of the objects that ask for the evacuation of the failure domain of their name, until they are removed;
    /// empty for a platform without evacuations.
    std::string evacuationKind = {};
};

namespace ObjectKind
{
/// One object per daemon, with its addresses and failure domain.
inline constexpr const char *Daemon = "galenarock-daemon";
/// Objects that all daemons share: the key for messages between them.
inline constexpr const char *Fleet = "galenarock-fleet";
}

/// Example: `Gateway gateway(settings, dialect); gateway.start(); ... gateway.stop();`
class Gateway
{
public:
    Gateway(Settings settings, GatewayDialect dialect);
    ~Gateway();

    Result<void> start();
    /// Planned stop: isReady() turns false at once. New requests are still served for the stop notice time, so that the
    /// load balancer can notice; then the requests in flight are completed. Returns false if requests were still in
    /// flight at the stop deadline and had to be cut.
    bool stop();
    bool isReady() const;
    /// `ip:port` that is bound for callers, with the actual port if the settings give port 0.
    std::string callerAddress() const;
    std::string readinessAddress() const;
    std::string adminAddress() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

}

#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "gateway.h"
#include "record.h"
#include "store.h"

/// A small deployment of the stand-ins: the store, servers of one service and three machines of the system. The threads
/// of the stand-ins run until the process ends, see Deployment::end().
namespace Review
{

/// Seal of a body, in the place of the users' own digest.
std::string sealOf(const std::string &body);

class Server;

/// Status of the process, as the review asks for it.
enum ExitStatus
{
    Held = 0,
    Broken = 1,
    CouldNotRun = 2,
};

/// Serves one request whose head has been read. Returns whether the connection goes on.
using ServeHook = std::function<bool(Server &, Socket &, Reader &, const Head &)>;

/// A server: registers in the store, and serves one request at a time on each connection.
class Server
{
public:
    Server(const std::string &ip, std::string id, std::string service, std::string zone, const Pacing &pacing,
           Record &record, ServeHook serve);
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    const std::string &id() const
    {
        return m_id;
    }
    const std::string &service() const
    {
        return m_service;
    }
    /// Writes the entry that the server writes at each heartbeat.
    void beat(Store &store);
    /// The next heartbeats say that the server leaves.
    void drain()
    {
        m_isDraining = true;
    }
    /// Takes no further connections, and the next request on an open one ends it.
    void stop();
    /// Records that the server has begun to work on a request.
    void begin(const std::string &request);
    bool hasBegun(const std::string &request) const;
    Record &record()
    {
        return m_record;
    }

private:
    void accept();
    void serve(Socket socket);

    std::string m_id;
    std::string m_service;
    std::string m_zone;
    Pacing m_pacing;
    Record &m_record;
    ServeHook m_serve;
    Socket m_listener;
    Endpoint m_address;
    std::int64_t m_bornMs;
    std::uint64_t m_sequence = 0;
    std::atomic<bool> m_isDraining{false};
    std::atomic<bool> m_isStopped{false};
    mutable std::mutex m_mutex;
    std::set<std::string> m_begun;
    std::thread m_thread;
};

/// The one route and the one service of the deployment.
struct RouteOptions
{
    std::string host;
    std::string prefix;
    std::string type;
    std::string service;
    int timeoutMs = 0;
    int maxAttempts = 2;
    int targetLatencyMs = 1'000;
    /// The service is divided by key.
    bool isSharded = false;
    /// A second service with as many servers, to which no route goes; empty for none.
    std::string otherService = {};
};

struct DeploymentOptions
{
    RouteOptions route;
    SettingValues terms;
    std::size_t servers = 3;
    /// How the servers read requests.
    Pacing serverPacing;
    /// Logs of the machines.
    std::string directory;
};

class Deployment
{
public:
    Deployment(const DeploymentOptions &options, Record &record, const ServeHook &serve);
    Deployment(const Deployment &) = delete;
    Deployment &operator=(const Deployment &) = delete;

    /// Waits until all machines say that they are ready.
    bool waitUntilReady(std::int64_t deadlineMs) const;
    Gateway &gateway(std::size_t n)
    {
        return *m_gateways.at(n);
    }
    std::size_t gateways() const
    {
        return m_gateways.size();
    }
    /// Starts a further server in the failure domain with this number.
    Server &addServer(const std::string &id, std::size_t zone)
    {
        return addServer(id, zone, m_options.route.service);
    }
    /// The server leaves the store and ends.
    void removeServer(const std::string &id);
    /// The server reports that it leaves, and serves on.
    void drain(const std::string &id);
    /// Whether any server has begun to work on the request.
    bool hasBegun(const std::string &request) const;
    /// The operator writes a configuration with this route. Returns once the store has accepted it.
    void configure(const RouteOptions &route, int version);
    /// The store stops answering for some time; returns at the end of it.
    void silenceStore(std::int64_t ms);
    /// SIGTERM, and SIGKILL after the time that the settings give; returns once the process has ended.
    void stopAsPlanned(Gateway &gateway, int graceS);
    /// Ends all machines and this process; connections of the stand-ins may still be open.
    [[noreturn]] void end(ExitStatus status);

private:
    Server &addServer(const std::string &id, std::size_t zone, const std::string &service);
    void beat();

    const DeploymentOptions m_options;
    Record &m_record;
    ServeHook m_serve;
    Store m_store;
    mutable std::mutex m_mutex;
    /// Those that beat, and those that have ended.
    std::vector<std::unique_ptr<Server>> m_servers;
    std::vector<std::unique_ptr<Server>> m_former;
    std::vector<std::unique_ptr<Gateway>> m_gateways;
    std::thread m_beats;
};

/// What the requester of one request saw.
struct Outcome
{
    std::string request;
    std::string text;
    unsigned status = 0;
    bool isComplete = false;
};

/// Whether the disruption is played: the variable TROUBLE is not 0.
bool isTroubled();

}

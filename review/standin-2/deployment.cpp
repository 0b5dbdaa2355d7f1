#include "deployment.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>

#include <sys/socket.h>

namespace Review
{

namespace
{
constexpr std::int64_t HeartbeatMs = 870;
constexpr std::int64_t IdleMs = 10'000;
constexpr const char *Zones[] = {"zone-a", "zone-b", "zone-c"};

std::int64_t unixMs()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

nlohmann::json clusterOf(const std::string &service, bool isSharded)
{
    nlohmann::json cluster{{"name", service}, {"healthPath", "/health"}, {"maxConnections", 410}, {"protocol", "h1"},
                           {"tls", false},    {"warmupS", 3.0},          {"warmupPerS", 0.0}};
    if (isSharded) {
        cluster.update({{"sharded", true}, {"warmS", 3.0}, {"grants", "request"}});
    }
    return cluster;
}

nlohmann::json configurationOf(const RouteOptions &route, int version)
{
    const nlohmann::json rule{
        {"name", "r-1"},
        {"type", route.type},
        {"targetLatencyMs", route.targetLatencyMs},
        {"priority", 1},
        {"match", {{"pathPrefix", route.prefix}}},
        {"action", {{"service", route.service}, {"timeoutMs", route.timeoutMs}, {"maxAttempts", route.maxAttempts}}}};
    auto clusters = nlohmann::json::array({clusterOf(route.service, route.isSharded)});
    if (!route.otherService.empty()) {
        clusters.push_back(clusterOf(route.otherService, false));
    }
    const nlohmann::json limits{{"maxHeaderBytes", 16'384},
                                {"maxBodyBytes", 67'108'864},
                                {"headerTimeoutMs", 3'000},
                                {"idleTimeoutMs", 15'000}};
    return {{"version", version},
            {"limits", limits},
            {"listeners", {{{"host", route.host}, {"rules", {rule}}}}},
            {"clusters", clusters}};
}
}

std::string sealOf(const std::string &body)
{
    std::uint64_t hash = 14'695'981'039'346'656'037U;
    for (const char it : body) {
        hash = (hash ^ static_cast<unsigned char>(it)) * 1'099'511'628'211U;
    }
    return std::to_string(body.size()) + "." + std::to_string(hash);
}

Server::Server(const std::string &ip, std::string id, std::string service, std::string zone, const Pacing &pacing,
               Record &record, ServeHook serve)
    : m_id(std::move(id))
    , m_service(std::move(service))
    , m_zone(std::move(zone))
    , m_pacing(pacing)
    , m_record(record)
    , m_serve(std::move(serve))
    , m_bornMs(unixMs())
{
    auto [socket, port] = listenOn(ip);
    m_listener = std::move(socket);
    m_address = {ip, port};
    m_thread = std::thread([this] { accept(); });
}

void Server::beat(Store &store)
{
    const nlohmann::json info{{"service", m_service}, {"version", "v1"}, {"zone", m_zone}, {"slots", 8}};
    const nlohmann::json status{
        {"state", m_isDraining ? "draining" : "ready"}, {"sequence", ++m_sequence}, {"warmupLeftMs", 0}};
    store.put("servers", m_id, {{"address", m_address.text()}, {"born", m_bornMs}, {"info", info}, {"status", status}});
}

void Server::begin(const std::string &request)
{
    m_record.line("server " + m_id + " begins " + request);
    const std::lock_guard lock(m_mutex);
    m_begun.insert(request);
}

bool Server::hasBegun(const std::string &request) const
{
    const std::lock_guard lock(m_mutex);
    return m_begun.count(request) > 0;
}

void Server::stop()
{
    m_isStopped = true;
    shutdown(m_listener.fd(), SHUT_RDWR);
}

void Server::accept()
{
    while (!m_isStopped) {
        Socket socket(::accept4(m_listener.fd(), nullptr, nullptr, SOCK_CLOEXEC));
        if (socket.isOpen()) {
            std::thread([this, it = std::move(socket)]() mutable { serve(std::move(it)); }).detach();
        }
    }
}

void Server::serve(Socket socket)
{
    Reader reader(socket.fd(), m_pacing);
    Head head;
    while (reader.readHead(head, nowMs() + IdleMs) == ReadResult::Done && !m_isStopped) {
        const bool isForOther = head.field("Target-Instance") != m_id;
        if (isForOther) {
            sendAll(socket.fd(),
                    "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " + m_id + "\r\nContent-Length: 0\r\n\r\n",
                    nowMs() + IdleMs);
            return;
        }
        if (!m_serve(*this, socket, reader, head)) {
            return;
        }
    }
}

Deployment::Deployment(const DeploymentOptions &options, Record &record, const ServeHook &serve)
    : m_options(options)
    , m_record(record)
    , m_serve(serve)
    , m_store("127.0.0.9")
{
    configure(options.route, 7);
    for (std::size_t n = 0; n < options.servers; ++n) {
        addServer("i-server" + std::to_string(n + 1), n);
        if (!options.route.otherService.empty()) {
            addServer("i-other" + std::to_string(n + 1), n, options.route.otherService);
        }
    }
    m_beats = std::thread([this] { beat(); });
    for (std::size_t n = 0; n < 3; ++n) {
        const auto ip = "127.0.0." + std::to_string(n + 1);
        const auto name = "front-" + std::to_string(n + 1);
        m_gateways.push_back(
            std::make_unique<Gateway>(ip, name, Zones[n], m_store.address(), options.terms, options.directory));
        record.line("started: " + m_gateways.back()->command());
    }
}

Server &Deployment::addServer(const std::string &id, std::size_t zone, const std::string &service)
{
    const std::lock_guard lock(m_mutex);
    m_servers.push_back(std::make_unique<Server>("127.0.0.10", id, service, Zones[zone % 3], m_options.serverPacing,
                                                 m_record, m_serve));
    m_servers.back()->beat(m_store);
    m_record.line("server " + id + " starts");
    return *m_servers.back();
}

void Deployment::removeServer(const std::string &id)
{
    const std::lock_guard lock(m_mutex);
    const auto found = std::find_if(m_servers.begin(), m_servers.end(), [&](const auto &it) { return it->id() == id; });
    m_store.remove("servers", id);
    (*found)->stop();
    m_former.push_back(std::move(*found));
    m_servers.erase(found);
    m_record.line("server " + id + " has left");
}

void Deployment::drain(const std::string &id)
{
    const std::lock_guard lock(m_mutex);
    for (const auto &it : m_servers) {
        if (it->id() == id) {
            it->drain();
            it->beat(m_store);
        }
    }
}

void Deployment::beat()
{
    for (;;) {
        sleepMs(HeartbeatMs);
        const std::lock_guard lock(m_mutex);
        for (const auto &it : m_servers) {
            it->beat(m_store);
        }
    }
}

bool Deployment::waitUntilReady(std::int64_t deadlineMs) const
{
    for (const auto &it : m_gateways) {
        if (!it->waitUntilReady(deadlineMs)) {
            m_record.line(it->name() + " does not become ready");
            return false;
        }
    }
    return true;
}

bool Deployment::hasBegun(const std::string &request) const
{
    const std::lock_guard lock(m_mutex);
    for (const auto &it : m_servers) {
        if (it->hasBegun(request)) {
            return true;
        }
    }
    return false;
}

void Deployment::configure(const RouteOptions &route, int version)
{
    m_store.put("config", "main", configurationOf(route, version));
    m_record.line("version " + std::to_string(version) + ", route to " + route.service + " with a time of "
                  + std::to_string(route.timeoutMs) + " ms, is written and acked by the store");
}

void Deployment::silenceStore(std::int64_t ms)
{
    m_record.line("the store falls silent");
    m_store.setSilent(true);
    sleepMs(ms);
    m_store.setSilent(false);
    m_record.line("the store answers again; calls that it left unanswered: " + std::to_string(m_store.unanswered()));
}

void Deployment::stopAsPlanned(Gateway &gateway, int graceS)
{
    m_record.line("SIGTERM to " + gateway.name());
    gateway.signal(SIGTERM);
    const auto killAt = nowMs() + graceS * 1'000;
    while (gateway.isRunning() && nowMs() < killAt) {
        sleepMs(10);
    }
    if (gateway.isRunning()) {
        m_record.line("SIGKILL to " + gateway.name());
        gateway.signal(SIGKILL);
        while (gateway.isRunning()) {
            sleepMs(10);
        }
    }
    m_record.line(gateway.name() + " has ended: " + gateway.end());
}

void Deployment::end(ExitStatus status)
{
    m_gateways.clear();
    std::fflush(stdout);
    std::_Exit(status);
}

bool isTroubled()
{
    const char *value = std::getenv("TROUBLE");
    return !value || std::strcmp(value, "0") != 0;
}

}

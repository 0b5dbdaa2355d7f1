#include <galenarock/daemon.h>

#include <fmt/format.h>

#include <galenarock/jsontext.h>
#include <galenarock/metrics.h>
#include <galenarock/peer.h>
#include <galenarock/proxy.h>
#include <galenarock/replay.h>
#include <galenarock/storeclient.h>

#include "adminserver_p.h"
#include "controlplane_p.h"
#include "controlthread_p.h"
#include "events_p.h"
#include "proxy/peerauth_p.h"
#include "servercaller_p.h"

namespace Galenarock
{

namespace
{
constexpr Duration StopPollInterval = milliseconds(10);
/// A handover takes one platform write and two messages; 5 s covers retries.
constexpr Duration HandoverTimeout = seconds(5);
/// Time that callers have at most to read their last answers in a planned stop without a deadline of its own.
constexpr Duration LongestAnswerRead = seconds(120);

void sleepFor(Duration duration)
{
    timespec time{};
    time.tv_sec = duration_cast<seconds>(duration).count();
    time.tv_nsec = (duration % seconds(1)).count();
    nanosleep(&time, nullptr);
}

bool waitUntil(Instant limit, const std::function<bool()> &condition)
{
    while (!condition()) {
        if (MonotonicClock::now() >= limit) {
            return false;
        }
        sleepFor(StopPollInterval);
    }
    return true;
}
}

class Daemon::Impl
{
public:
    explicit Impl(Settings settings);

    Result<void> start();
    bool stop();

    Settings settings;
    Identity self;
    Metrics metrics;
    /// Declared before the members that own threads, so that it is destroyed after them: they write to it.
    std::unique_ptr<TraceWriter> trace;
    ProxyShared shared;
    Proxy proxy;
    std::unique_ptr<ControlPlane> plane;
    std::unique_ptr<ControlThread> control;
    std::unique_ptr<StoreClient> platform;
    std::unique_ptr<PeerTransport> peers;
    std::unique_ptr<ServerCaller> servers;
    AdminServer admin;
    std::atomic<bool> ready{false};

private:
    ControlPlaneHooks makeHooks();
    Result<void> openTrace();
    Result<void> openPeers();
    void openPlatform();
    void setMembers(const std::vector<Member> &members);
    void broadcast(const SuspectReport &report);
    void receiveRequestMessage(const PeerEvent &event);
    AdminResponse answerAdmin(const AdminRequest &request);
    AdminResponse explain(const AdminRequest &request);
    void addGauges();

    std::mutex m_membersMutex;
    std::vector<Member> m_members;
};

Daemon::Impl::Impl(Settings daemonSettings)
    : settings(std::move(daemonSettings))
    , self{settings.name, randomNonce()}
    , shared(metrics, self, settings.peerKey)
    , proxy(shared)
    , admin([this](const AdminRequest &request) { return answerAdmin(request); })
{
}

ControlPlaneHooks Daemon::Impl::makeHooks()
{
    ControlPlaneHooks hooks;
    hooks.readObject = [this](const ReadObjectAction &it) {
        platform->submit(it);
    };
    hooks.writeObject = [this](const WriteObjectAction &it) {
        if (!platform->submit(it)) {
            control->post(EventSource::Main,
                          WriteResultEvent{it.key, it.writer, MonotonicClock::now(), WriteStatus::NotSent, {}});
        }
    };
    hooks.callServer = [this](const CallServerAction &it) {
        if (!servers->call(it)) {
            control->post(EventSource::Main, GrantReplyEvent{it.server, it.request, MonotonicClock::now(), {}});
        }
    };
    hooks.sendPeer = [this](const SendPeerAction &it) {
        peers->send(it);
    };
    hooks.membersChanged = [this](const std::vector<Member> &it) {
        setMembers(it);
    };
    hooks.relayChanged = [this](bool isRelay) {
        platform->setWatch(ObjectKind::Service, isRelay);
        platform->setWatch(ObjectKind::Mandate, isRelay);
        platform->setWatch(ObjectKind::Assignment, isRelay);
    };
    hooks.snapshotChanged = [this](const std::shared_ptr<const RoutingSnapshot> &it) {
        shared.setSnapshot(it);
    };
    hooks.ledgerChanged = [this](const Assignment &assignment, const VmList &vms) {
        shared.ledger().setOwners(LedgerOwnerMap(assignment, vms));
    };
    hooks.bootSeen = [this](const std::string &server, std::uint64_t boot) {
        shared.suspects().bootSeen(MonotonicClock::now(), server, boot);
        shared.uncheckedPools().forget(server, boot);
    };
    hooks.takeLoads = [this] {
        return shared.loads().takeAll();
    };
    hooks.requestMessage = [this](const PeerEvent &it) {
        receiveRequestMessage(it);
    };
    hooks.sendLeaseChanged = [this](const std::string &service, Instant end) {
        shared.uncheckedPools().setSendLeaseEnd(service, end);
    };
    hooks.mayRun = [this](const std::string &service, const Identity &server, const SliceRange &range) {
        return shared.uncheckedPools().mayRun(service, server, range);
    };
    if (trace) {
        hooks.trace = [this](const TraceRecord &it) {
            trace->write(it);
        };
    }
    hooks.outgoingEmpty = [this] {
        return servers->isIdle();
    };
    return hooks;
}

void Daemon::Impl::setMembers(const std::vector<Member> &members)
{
    std::uint32_t live = 0;
    for (const auto &it : members) {
        live += it.status == MemberStatus::Alive || it.status == MemberStatus::Suspect ? 1 : 0;
    }
    shared.setLiveDaemons(live);
    peers->setMembers(members);
    platform->setDaemonCount(live);
    const std::lock_guard lock(m_membersMutex);
    m_members = members;
}

void Daemon::Impl::broadcast(const SuspectReport &report)
{
    const std::lock_guard lock(m_membersMutex);
    for (const auto &it : m_members) {
        if (it.identity != self && it.status != MemberStatus::Dead) {
            peers->send({it.identity.name, RequestMessage::SuspectReport, encode(report)});
        }
    }
}

void Daemon::Impl::receiveRequestMessage(const PeerEvent &event)
{
    if (event.type != RequestMessage::SuspectReport) {
        if (!shared.ledger().handlePeer(event)) {
            metrics.counter("galenarock_malformed_peer_messages_total").add();
        }
        return;
    }
    if (const auto report = decodeSuspectReport(event.payload)) {
        shared.suspects().reportReceived(MonotonicClock::now(), *report);
    } else {
        metrics.counter("galenarock_malformed_peer_messages_total").add();
    }
}

Result<void> Daemon::Impl::openTrace()
{
    if (settings.trace.empty()) {
        return {};
    }
    const TraceHeader header{self.boot, self, MonotonicClock::now(), wallClockNow()};
    trace = std::make_unique<TraceWriter>(settings.trace, header);
    if (!trace->isGood()) {
        return fail(ErrorCode::SystemCall, fmt::format("cannot open the trace file {} for writing", settings.trace));
    }
    shared.setTrace(trace.get());
    return {};
}

Result<void> Daemon::Impl::openPeers()
{
    PeerTransportSettings transport;
    transport.address = toString(settings.peer);
    transport.self = self;
    transport.key = settings.peerKey;
    BOOST_LEAF_ASSIGN(peers, PeerTransport::open(transport, metrics, [this](PeerEvent event) {
                          control->post(EventSource::Peers, std::move(event));
                      }));
    return {};
}

void Daemon::Impl::openPlatform()
{
    StoreClientSettings client;
    client.endpoint = "http://" + toString(settings.platform);
    client.budget.seed = self.boot;
    platform = std::make_unique<StoreClient>(
        client, metrics, [this](ControlEvent event) { return control->post(EventSource::Platform, std::move(event)); });
}

Result<void> Daemon::Impl::start()
{
    setLogSource(settings.name);
    setLogThreshold(settings.logLevel);
    control = std::make_unique<ControlThread>(
        metrics,
        ControlThread::Hooks{[this](Instant now, const ControlEvent &it) { plane->handle(now, it); },
                             [this](Instant now) {
                                 plane->endBatch(now);
                             }});
    BOOST_LEAF_CHECK(openTrace());
    BOOST_LEAF_CHECK(openPeers());
    BOOST_LEAF_CHECK(proxy.start({toString(settings.listen), settings.workers}));
    servers = std::make_unique<ServerCaller>(
        metrics, [this](GrantReplyEvent event) { control->post(EventSource::Servers, std::move(event)); },
        [this](const std::string &service, const std::string &body) -> std::vector<std::string> {
            if (service != ledgerService) {
                return {};
            }
            return {fmt::format("{}: {}", PeerAuthHeader, peerAuth(settings.peerKey, body))};
        });
    openPlatform();
    shared.ledger().setSendHook([this](const SendPeerAction &it) { peers->send(it); });
    shared.suspects().setReportHook([this](const SuspectReport &it) { broadcast(it); });
    plane = std::make_unique<ControlPlane>(
        ControlPlaneSettings{self, settings.failureDomain, proxy.address(), peers->address(), self.boot}, makeHooks());
    BOOST_LEAF_CHECK(admin.listen(settings.admin.address, settings.admin.port));
    addGauges();
    control->start();
    ready.store(true);
    logEvent(Events::DaemonStarted, "{} in {}: callers {}, peers {}, admin port {}", toString(self),
             settings.failureDomain, proxy.address(), peers->address(), admin.port());
    return {};
}

bool Daemon::Impl::stop()
{
    const auto startedAt = MonotonicClock::now();
    const auto limit = settings.stopDeadlineMs > 0 ? startedAt + milliseconds(settings.stopDeadlineMs) : Instant::max();
    logEvent(Events::DaemonStopping, "planned stop with {} requests in flight", shared.inFlight().load());
    ready.store(false);
    shared.setLastAnswerAt(limit);
    shared.ledger().drain(startedAt);
    control->post(EventSource::Main, StopEvent());
    sleepFor(milliseconds(settings.stopNoticeMs));
    shared.setRefusing();
    proxy.quiesce();
    proxy.closeIdle();
    const bool finished = waitUntil(limit, [this] { return shared.inFlight().load() == 0; });
    waitUntil(std::min(limit, MonotonicClock::now() + LongestAnswerRead),
              [this] { return proxy.connectionCount() == 0; });
    if (!finished) {
        logEvent(Events::StopDeadline, "the stop deadline passed; {} requests in flight are aborted",
                 shared.inFlight().load());
    }
    waitUntil(MonotonicClock::now() + HandoverTimeout,
              [this] { return plane->isHandedOver() && shared.ledger().rangeCount(MonotonicClock::now()) == 0; });
    waitUntil(MonotonicClock::now() + HandoverTimeout, [this] { return servers->isIdle() && peers->isIdle(); });
    sleepFor(milliseconds(100)); // time to send the last responses from the socket buffers of keep-alive connections
    control->stop();
    servers->stop();
    proxy.stop();
    shared.setTrace(nullptr);
    trace.reset();
    logEvent(Events::DaemonStopped, "stopped after {} ms",
             duration_cast<milliseconds>(MonotonicClock::now() - startedAt).count());
    return finished;
}

void Daemon::Impl::addGauges()
{
    metrics.gauge("galenarock_requests_in_flight", "",
                  [this] { return static_cast<double>(shared.inFlight().load()); });
    metrics.gauge("galenarock_live_daemons", "", [this] { return static_cast<double>(shared.liveDaemons()); });
    metrics.gauge("galenarock_ledger_records", "",
                  [this] { return static_cast<double>(shared.ledger().recordCount()); });
    metrics.gauge("galenarock_crash_suspects", "", [this] { return static_cast<double>(shared.suspects().size()); });
    metrics.gauge("galenarock_proxy_cpu_seconds", "", [this] { return proxy.cpuSeconds(); });
    metrics.gauge("galenarock_control_cpu_seconds", "", [this] { return control->cpuSeconds(); });
}

AdminResponse Daemon::Impl::answerAdmin(const AdminRequest &request)
{
    if (request.path == "/healthz") {
        return {200, "text/plain", "ok\n"};
    }
    if (request.path == "/readyz") {
        const bool isReady = ready.load() && shared.snapshot();
        return {isReady ? 200U : 503U, "text/plain", isReady ? "ready\n" : "not ready\n"};
    }
    if (request.path == "/metrics") {
        return {200, "text/plain; version=0.0.4", metrics.prometheusText()};
    }
    if (request.path == "/status") {
        return {200, "application/json", jsonText(*plane->status(), 2) + "\n"};
    }
    if (request.path == "/explain") {
        return explain(request);
    }
    return {404, "application/json", "{\"error\":\"unknown path\"}\n"};
}

AdminResponse Daemon::Impl::explain(const AdminRequest &request)
{
    const auto service = request.argument("service");
    const auto key = request.argument("key");
    const auto snapshot = shared.snapshot();
    const auto *route = snapshot ? snapshot->find(service) : nullptr;
    if (!route || key.empty()) {
        return {404, "application/json", "{\"error\":\"unknown service or empty key\"}\n"};
    }
    const auto hash = hashKey(key);
    nlohmann::json json{{"service", service}, {"key", key}, {"hash", toHex(hash)}};
    const auto owner = route->owner(hash, MonotonicClock::now());
    json["reason"] = reasonInfo(owner.reason).code;
    json["token"] = toString(owner.token);
    json["owner"] = owner.server == noServer ? "" : toString(route->servers()[owner.server].identity);
    json["address"] = owner.server == noServer ? "" : route->servers()[owner.server].address;
    json["decisions"] = plane->decisions().find(service, hash);
    return {200, "application/json", jsonText(json, 2) + "\n"};
}

Daemon::Daemon(Settings settings)
    : m_impl(std::make_unique<Impl>(std::move(settings)))
{
}

Daemon::~Daemon() = default;

Result<void> Daemon::start()
{
    return m_impl->start();
}

bool Daemon::stop()
{
    return m_impl->stop();
}

std::string Daemon::callerAddress() const
{
    return m_impl->proxy.address();
}

std::string Daemon::adminAddress() const
{
    return fmt::format("{}:{}", m_impl->settings.admin.address, m_impl->admin.port());
}

std::string Daemon::peerAddress() const
{
    return m_impl->peers->address();
}

}

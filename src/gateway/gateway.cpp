#include <galenarock/gateway.h>

#include <algorithm>
#include <atomic>
#include <mutex>
#include <optional>

#include <fmt/format.h>
#include <sodium.h>

#include <galenarock/jsontext.h>
#include <galenarock/metrics.h>
#include <galenarock/peer.h>
#include <galenarock/proxy.h>
#include <galenarock/storeclient.h>

#include "daemon/adminserver_p.h"
#include "daemon/controlthread_p.h"
#include "daemon/events_p.h"
#include "events_p.h"
#include "explanation_p.h"
#include "leasecaller_p.h"
#include "plane_p.h"

namespace Galenarock
{

namespace
{
constexpr Duration StopPollInterval = milliseconds(10);
/// Longest value that an operator may state in a request for an explanation.
constexpr std::size_t MaxExplainArgument = 8'192;
/// Part of the time between SIGTERM and SIGKILL that is reserved for ending the threads.
constexpr Duration ThreadStopReserve = milliseconds(500);
/// Wait after the last request, so that buffered responses are still sent on keep-alive connections.
constexpr Duration FlushTime = milliseconds(100);
constexpr Duration StoreConnectTimeout = milliseconds(800);
constexpr Duration StoreCallTimeout = milliseconds(2'000);
constexpr Duration StoreMaxBackOff = milliseconds(800);
/// Collects the changes of servers that start or leave shortly after each other, so that each daemon makes one call to
/// the store for them.
constexpr Duration WatchPause = milliseconds(150);
/// Without a verifier. A lost watch is found half a second after its wait, and the changes since then have to be in
/// force 3 s after the store was silent.
constexpr Duration UnverifiedWatchWait = milliseconds(1'500);
constexpr std::size_t CallerHeaderBytes = 40'960;
constexpr unsigned ServerIdleSeconds = 4;

void sleepFor(Duration duration)
{
    timespec time{};
    time.tv_sec = duration_cast<seconds>(duration).count();
    time.tv_nsec = (duration % seconds(1)).count();
    nanosleep(&time, nullptr);
}

bool waitUntil(Instant deadline, const std::function<bool()> &condition)
{
    while (!condition()) {
        if (MonotonicClock::now() >= deadline) {
            return false;
        }
        sleepFor(StopPollInterval);
    }
    return true;
}
}

class Gateway::Impl
{
public:
    Impl(Settings gatewaySettings, GatewayDialect platformDialect);

    Result<void> start();
    bool stop();
    /// At the readiness address and the admin address.
    AdminResponse answerAdmin(const AdminRequest &request);
    /// At the admin address only.
    AdminResponse answerExplain(const AdminRequest &request);

    Settings settings;
    GatewayDialect dialect;
    Identity self;
    Metrics metrics;
    ProxyShared shared;
    ExplanationState explanationState;
    Proxy proxy;
    std::unique_ptr<GatewayControlPlane> controlPlane;
    std::unique_ptr<ControlThread> control;
    std::unique_ptr<StoreClient> store;
    std::unique_ptr<PeerTransport> peers;
    std::unique_ptr<LeaseCaller> leaseCaller;
    AdminServer readiness;
    AdminServer admin;
    std::atomic<bool> isStopping{false};

private:
    GatewayHooks makeHooks();
    void openStore();
    static std::optional<PeerKey> parsePeerKey(const std::string &hexKey);
    std::string openPeers(const std::string &hexKey);
    bool changePeerKey(const std::string &hexKey);
    void setMembers(const std::vector<Member> &members);
    void broadcast(const SuspectReport &report);
    void receiveRequestMessage(const PeerEvent &event);
    void receivePeerMessage(PeerEvent event);
    void sendLimitMessage(const SendPeerAction &message);
    void addGauges();
    ExplanationInput explanationInput();

    /// Values of the active configuration that this build does not know.
    std::atomic<std::size_t> m_unknownValues{0};
    std::atomic<std::size_t> m_evacuatedDomains{0};
    /// The open peer transport, for threads other than the control thread; null before.
    std::atomic<PeerTransport *> m_openPeers{nullptr};
    std::mutex m_membersMutex;
    std::vector<Member> m_members;
    std::mutex m_changesMutex;
    /// Changes of the store that this daemon has read and not yet passed on.
    std::vector<WatchChange> m_changes;
};

Gateway::Impl::Impl(Settings gatewaySettings, GatewayDialect platformDialect)
    : settings(std::move(gatewaySettings))
    , dialect(std::move(platformDialect))
    , self{settings.name, randomNonce()}
    , shared(metrics, self, settings.peerKey)
    , proxy(shared)
    , readiness([this](const AdminRequest &request) { return answerAdmin(request); })
    , admin([this](const AdminRequest &request) {
        return request.path == "/explain" ? answerExplain(request) : answerAdmin(request);
    })
{
    shared.setDialect(std::make_shared<const RequestDialect>(dialect.requests));
    shared.setLocalDomain(settings.failureDomain);
    shared.setSlowStart(settings.slowStart);
    shared.setRetryLimits({settings.retryPercent, settings.retryAllowance});
}

GatewayHooks Gateway::Impl::makeHooks()
{
    GatewayHooks hooks;
    hooks.readObject = [this](const ReadObjectAction &it) {
        store->submit(it);
    };
    hooks.writeObject = [this](const WriteObjectAction &it) {
        if (!store->submit(it)) {
            control->post(EventSource::Main,
                          WriteResultEvent{it.key, it.writer, MonotonicClock::now(), WriteStatus::NotSent, {}});
        }
    };
    hooks.listObjects = [this](const std::string &kind) {
        store->submit(ListObjectsRequest{kind, CallPriority::Configuration});
    };
    hooks.callServer = [this](const LeaseCall &it) {
        leaseCaller->call(it);
    };
    hooks.sendPeer = [this](const SendPeerAction &it) {
        if (peers) {
            peers->send(it);
        }
    };
    hooks.membersChanged = [this](const std::vector<Member> &it) {
        setMembers(it);
    };
    hooks.relaysChanged = [this](const std::vector<Member> &it) {
        shared.relays().setMembers(self, settings.failureDomain, it);
    };
    hooks.snapshotChanged = [this](const std::shared_ptr<const RoutingSnapshot> &it) {
        explanationState.snapshotChanged(MonotonicClock::now(), it);
        shared.setSnapshot(it);
    };
    hooks.unknownValuesChanged = [this](std::size_t n) {
        m_unknownValues.store(n);
    };
    hooks.evacuationsChanged = [this](std::size_t n) {
        explanationState.evacuationsChanged(MonotonicClock::now());
        m_evacuatedDomains.store(n);
    };
    hooks.bootSeen = [this](const std::string &server, std::uint64_t boot) {
        shared.suspects().bootSeen(MonotonicClock::now(), server, boot);
    };
    hooks.stoppedAsPlanned = [this](const Identity &server) {
        shared.suspects().stoppedAsPlanned(MonotonicClock::now(), server.name, server.boot);
    };
    hooks.takeLoads = [this] {
        return shared.keyLoads().takeAll();
    };
    hooks.requestMessage = [this](const PeerEvent &it) {
        receiveRequestMessage(it);
    };
    hooks.requestRates = [this] {
        return shared.serverLimits().rates();
    };
    hooks.coldServersChanged = [this](const std::vector<ColdServer> &it) {
        explanationState.coldServersChanged(MonotonicClock::now(), it);
        shared.serverLimits().setColdServers(it);
    };
    hooks.reachesServers = [this] {
        return !shared.serverReach().isCutOff();
    };
    hooks.fleetListed = [this] {
        shared.serverLimits().setFleetListed();
    };
    hooks.isStoreReachable = [this] {
        const bool isReachable = store->isReachable();
        explanationState.storeSeen(MonotonicClock::now(), isReachable);
        return isReachable;
    };
    hooks.setFeed = [this](const WatchFeedView &it) {
        store->setFeed(it);
    };
    hooks.applyChange = [this](const WatchChange &it) {
        store->apply(it);
    };
    hooks.takeChanges = [this] {
        const std::lock_guard lock(m_changesMutex);
        return std::exchange(m_changes, {});
    };
    hooks.openPeers = [this](const std::string &it) {
        return openPeers(it);
    };
    hooks.changePeerKey = [this](const std::string &it) {
        return changePeerKey(it);
    };
    hooks.foreignFrames = [this] {
        return peers ? peers->foreignFrames() : 0;
    };
    return hooks;
}

void Gateway::Impl::setMembers(const std::vector<Member> &members)
{
    const auto live = std::count_if(members.begin(), members.end(), [](const Member &it) {
        return it.status == MemberStatus::Alive || it.status == MemberStatus::Suspect;
    });
    shared.setLiveDaemons(static_cast<std::uint32_t>(live));
    store->setDaemonCount(static_cast<std::size_t>(live));
    peers->setMembers(members);
    shared.serverLimits().setMembers(MonotonicClock::now(), members);
    const std::lock_guard lock(m_membersMutex);
    m_members = members;
}

void Gateway::Impl::broadcast(const SuspectReport &report)
{
    const std::lock_guard lock(m_membersMutex);
    for (const auto &it : m_members) {
        if (it.identity != self && it.status != MemberStatus::Dead) {
            peers->send({it.identity.name, RequestMessage::SuspectReport, encode(report)});
        }
    }
}

void Gateway::Impl::receiveRequestMessage(const PeerEvent &event)
{
    if (event.type != RequestMessage::SuspectReport) {
        metrics.counter("galenarock_malformed_peer_messages_total").add();
        return;
    }
    if (const auto report = decodeSuspectReport(event.payload)) {
        shared.suspects().reportReceived(MonotonicClock::now(), *report);
    } else {
        metrics.counter("galenarock_malformed_peer_messages_total").add();
    }
}

/// Called on the thread of the peer transport. A request waits for a permit, so messages about permits do not wait for
/// the control thread.
void Gateway::Impl::receivePeerMessage(PeerEvent event)
{
    if (event.type >= RequestMessage::LimitUpdate && event.type <= RequestMessage::PermitReply) {
        shared.serverLimits().receive(MonotonicClock::now(), event);
    } else {
        control->post(EventSource::Peers, std::move(event));
    }
}

/// Called on any thread. A message of another daemon can arrive, and want a reply, before the transport is ready to use
/// here; that daemon asks again.
void Gateway::Impl::sendLimitMessage(const SendPeerAction &message)
{
    if (auto *transport = m_openPeers.load()) {
        transport->send(message);
    }
}

void Gateway::Impl::openStore()
{
    StoreClientSettings client;
    client.endpoint = "http://" + toString(settings.platform);
    client.dialect = dialect.store;
    client.vmListInterval = Duration::zero();
    client.watchPause = WatchPause;
    client.watchTimer.unverifiedWait = UnverifiedWatchWait;
    client.connectTimeout = StoreConnectTimeout;
    client.callTimeout = StoreCallTimeout;
    client.budget.longestBackOff = StoreMaxBackOff;
    client.budget.shortestRestartWindows = {milliseconds(50), milliseconds(50), milliseconds(200), seconds(1)};
    client.budget.seed = self.boot;
    store = std::make_unique<StoreClient>(
        client, metrics, [this](ControlEvent event) { return control->post(EventSource::Platform, std::move(event)); });
    store->setChangeHook([this](const WatchChange &it) {
        const std::lock_guard lock(m_changesMutex);
        m_changes.push_back(it);
    });
    store->setWatch(dialect.configuration.kind, true);
    store->setWatch(dialect.serverKind, true);
    if (settings.evacuationMs > 0 && !dialect.evacuationKind.empty()) {
        store->setWatch(dialect.evacuationKind, true);
    }
}

/// Empty, with a line in the log, when the text is not a key.
std::optional<PeerKey> Gateway::Impl::parsePeerKey(const std::string &hexKey)
{
    PeerKey key{};
    std::size_t n = 0;
    const bool isKey = sodium_hex2bin(key.data(), key.size(), hexKey.data(), hexKey.size(), nullptr, &n, nullptr) == 0
        && n == key.size();
    if (!isKey) {
        logEvent(Events::DaemonEntryRefused, "the fleet's key is not {} hexadecimal digits; trying again",
                 2 * key.size());
        return {};
    }
    return key;
}

bool Gateway::Impl::changePeerKey(const std::string &hexKey)
{
    const auto key = parsePeerKey(hexKey);
    if (!key) {
        return false;
    }
    peers->setKey(*key);
    shared.setPeerKey(*key);
    return true;
}

std::string Gateway::Impl::openPeers(const std::string &hexKey)
{
    PeerTransportSettings transport;
    transport.address = toString(settings.peer);
    transport.self = self;
    const auto key = parsePeerKey(hexKey);
    if (!key) {
        return {};
    }
    transport.key = *key;
    return tryOr(
        [&]() -> Result<std::string> {
            BOOST_LEAF_ASSIGN(peers, PeerTransport::open(transport, metrics, [this](PeerEvent event) {
                                  receivePeerMessage(std::move(event));
                              }));
            shared.setPeerKey(transport.key);
            m_openPeers.store(peers.get());
            logEvent(Events::PeersOpened, "{}", peers->address());
            return peers->address();
        },
        [&](ErrorCode code, const std::string &detail) {
            logEvent(Events::DaemonEntryRefused, "cannot open the peer transport, trying again: {}: {}",
                     errorMessage(code), detail);
            return std::string();
        });
}

Result<void> Gateway::Impl::start()
{
    setLogSource(settings.name);
    setLogThreshold(settings.logLevel);
    setLogFormat(LogFormat::Json);
    control = std::make_unique<ControlThread>(
        metrics,
        ControlThread::Hooks{[this](Instant now, const ControlEvent &it) { controlPlane->handle(now, it); },
                             [this](Instant now) {
                                 controlPlane->endBatch(now);
                             }});
    shared.serverLimits().setSendHook([this](const SendPeerAction &it) { sendLimitMessage(it); });
    shared.serverLimits().setWakeHook([this] { proxy.wake(); });
    shared.leavingServers().setReportHook(
        [this](const Identity &it) { control->post(EventSource::Servers, ServerLeavingEvent{it}); });
    shared.suspects().setReportHook([this](const SuspectReport &it) { broadcast(it); });
    ProxySettings proxySettings{toString(settings.listen), settings.workers};
    proxySettings.headerBytes = CallerHeaderBytes;
    proxySettings.serverIdleSeconds = ServerIdleSeconds;
    proxySettings.memoryMb = settings.memoryMb;
    proxySettings.maxDescriptors = settings.maxDescriptors;
    BOOST_LEAF_CHECK(proxy.start(proxySettings));
    leaseCaller = std::make_unique<LeaseCaller>(dialect, metrics, shared.serverReach(), [this](LeaseReplyEvent event) {
        control->post(EventSource::Servers, std::move(event));
    });
    GatewayControlPlaneSettings controlPlaneSettings;
    controlPlaneSettings.self = self;
    controlPlaneSettings.failureDomain = settings.failureDomain;
    controlPlaneSettings.address = proxy.address();
    controlPlaneSettings.seed = self.boot;
    controlPlaneSettings.retryPercent = settings.retryPercent;
    controlPlaneSettings.maxGrantDuration = milliseconds(settings.maxGrantDurationMs);
    controlPlaneSettings.cpuPercent = static_cast<std::uint16_t>(std::clamp(settings.cpuShare * 100, 1.0, 65'535.0));
    controlPlaneSettings.warmupBound = {settings.warmupOvershoot, settings.warmupSlack};
    controlPlaneSettings.evacuationBound = milliseconds(settings.evacuationMs);
    openStore();
    controlPlane = std::make_unique<GatewayControlPlane>(controlPlaneSettings, dialect, makeHooks());
    BOOST_LEAF_CHECK(readiness.listen(settings.readiness.address, settings.readiness.port));
    BOOST_LEAF_CHECK(admin.listen(settings.admin.address, settings.admin.port));
    addGauges();
    control->start();
    logEvent(Events::DaemonStarted, "{} in {}: callers {}, admin port {}", toString(self), settings.failureDomain,
             proxy.address(), admin.port());
    return {};
}

bool Gateway::Impl::stop()
{
    const auto startedAt = MonotonicClock::now();
    const auto deadline = settings.stopDeadlineMs > 0
        ? startedAt + milliseconds(settings.stopDeadlineMs) - ThreadStopReserve
        : Instant::max();
    logEvent(Events::DaemonStopping, "planned stop with {} requests in flight", shared.inFlight().load());
    isStopping.store(true);
    if (deadline != Instant::max()) {
        shared.setLastAnswerAt(deadline - FlushTime);
    }
    shared.setDraining();
    control->post(EventSource::Main, StopEvent());
    sleepFor(milliseconds(settings.stopNoticeMs));
    proxy.quiesce();
    proxy.closeIdle();
    const bool finished =
        waitUntil(deadline, [this] { return shared.inFlight().load() == 0 && proxy.connectionCount() == 0; });
    if (!finished) {
        logEvent(Events::StopDeadline, "the stop deadline passed; {} requests in flight are aborted",
                 shared.inFlight().load());
    }
    waitUntil(deadline, [this] { return controlPlane->isHandedOver(); });
    sleepFor(FlushTime);
    control->stop();
    leaseCaller->stop();
    proxy.stop();
    logEvent(Events::DaemonStopped, "stopped after {} ms",
             duration_cast<milliseconds>(MonotonicClock::now() - startedAt).count());
    return finished;
}

void Gateway::Impl::addGauges()
{
    metrics.gauge("galenarock_requests_in_flight", "",
                  [this] { return static_cast<double>(shared.inFlight().load()); });
    metrics.gauge("galenarock_caller_bytes", "", [this] { return static_cast<double>(proxy.callerBytes()); });
    metrics.gauge("galenarock_live_daemons", "", [this] { return static_cast<double>(shared.liveDaemons()); });
    metrics.gauge("galenarock_configuration_unknown_values", "",
                  [this] { return static_cast<double>(m_unknownValues.load()); });
    metrics.gauge("galenarock_cold_servers", "",
                  [this] { return static_cast<double>(shared.serverLimits().coldServers()); });
    metrics.gauge("galenarock_evacuated_domains", "",
                  [this] { return static_cast<double>(m_evacuatedDomains.load()); });
    metrics.gauge("galenarock_crash_suspects", "", [this] { return static_cast<double>(shared.suspects().size()); });
    metrics.gauge("galenarock_log_lines_dropped", "", [] { return static_cast<double>(droppedLogLines()); });
    metrics.gauge("galenarock_proxy_cpu_seconds", "", [this] { return proxy.cpuSeconds(); });
    metrics.gauge("galenarock_control_cpu_seconds", "", [this] { return control->cpuSeconds(); });
}

AdminResponse Gateway::Impl::answerAdmin(const AdminRequest &request)
{
    if (request.path == dialect.readinessPath || request.path == "/readyz") {
        const bool isReady = controlPlane->isReady() && !isStopping.load();
        return {isReady ? 200U : 503U, "text/plain", isReady ? "ready\n" : "not ready\n"};
    }
    if (request.path == "/healthz") {
        return {200, "text/plain", "ok\n"};
    }
    if (request.path == "/metrics") {
        return {200, "text/plain; version=0.0.4", metrics.prometheusText()};
    }
    if (request.path == "/status") {
        return {200, "application/json", jsonText(controlPlane->status(), 2) + "\n"};
    }
    return {404, "application/json", "{\"error\":\"unknown path\"}\n"};
}

ExplanationInput Gateway::Impl::explanationInput()
{
    ExplanationInput input;
    input.now = MonotonicClock::now();
    input.snapshot = shared.snapshot();
    input.times = explanationState.times();
    input.localDomain = settings.failureDomain;
    const auto status = controlPlane->status();
    const auto evacuated = status.find("evacuated");
    if (evacuated != status.end()) {
        input.evacuatedDomains = evacuated->get<std::vector<std::string>>();
    }
    input.isCutOff = shared.serverReach().isCutOff();
    input.isStopping = isStopping.load();
    input.condition = [this, now = input.now, rates = shared.serverLimits().rates(),
                       cold = explanationState.coldServers()](const Identity &server, std::uint32_t priority) {
        ServerCondition condition;
        condition.pausedUntil = shared.serverPauses().pausedUntil(now, server);
        condition.refusedUntil = shared.serverLimits().refusedUntil(server, priority);
        const auto rate = rates.find(server);
        if (rate != rates.end()) {
            condition.perSecond = rate->second;
        }
        const auto found = cold.find(server);
        if (found != cold.end()) {
            condition.coldOpenAt = found->second.openAt;
            condition.coldUntil = found->second.until;
        }
        return condition;
    };
    input.decisions = [this](const std::string &service, KeyHash hash) {
        return controlPlane->decisions().find(service, hash);
    };
    return input;
}

AdminResponse Gateway::Impl::answerExplain(const AdminRequest &request)
{
    const auto refuse = [](unsigned status, std::string_view error) {
        return AdminResponse{status, "application/json", jsonText(nlohmann::json{{"error", error}}) + "\n"};
    };
    ExplainedRequest explained{
        request.argument("method"), request.argument("host"), request.argument("path"), request.argument("key"), {}};
    if (explained.host.empty() || explained.path.empty() || explained.path.front() != '/') {
        return refuse(400, "this daemon routes by host and path: explain METHOD HOST PATH [KEY]");
    }
    for (const auto *it : {&explained.method, &explained.host, &explained.path, &explained.key}) {
        if (it->size() > MaxExplainArgument) {
            return refuse(400, "an argument is too long");
        }
    }
    if (!explained.key.empty() && dialect.requests.readKey) {
        explained.position = dialect.requests.readKey(explained.key);
    }
    auto explanation = Galenarock::explain(explained, explanationInput());
    explanation["daemon"] = toString(self);
    return {200, "application/json", jsonText(explanation, 2) + "\n"};
}

Gateway::Gateway(Settings settings, GatewayDialect dialect)
    : m_impl(std::make_unique<Impl>(std::move(settings), std::move(dialect)))
{
}

Gateway::~Gateway() = default;

Result<void> Gateway::start()
{
    return m_impl->start();
}

bool Gateway::stop()
{
    return m_impl->stop();
}

bool Gateway::isReady() const
{
    return m_impl->controlPlane->isReady() && !m_impl->isStopping.load();
}

std::string Gateway::callerAddress() const
{
    return m_impl->proxy.address();
}

std::string Gateway::readinessAddress() const
{
    return fmt::format("{}:{}", m_impl->settings.readiness.address, m_impl->readiness.port());
}

std::string Gateway::adminAddress() const
{
    return fmt::format("{}:{}", m_impl->settings.admin.address, m_impl->admin.port());
}

}

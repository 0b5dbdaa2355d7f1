#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <string>

#include <galenarock/answerpace.h>
#include <galenarock/error.h>
#include <galenarock/keyloads.h>
#include <galenarock/leavingservers.h>
#include <galenarock/ledgernode.h>
#include <galenarock/loadreport.h>
#include <galenarock/metrics.h>
#include <galenarock/peer.h>
#include <galenarock/relays.h>
#include <galenarock/replay.h>
#include <galenarock/requestdialect.h>
#include <galenarock/routing.h>
#include <galenarock/serverpauses.h>
#include <galenarock/sharedserverlimits.h>
#include <galenarock/sharedserverreach.h>
#include <galenarock/sharedsuspects.h>
#include <galenarock/uncheckedpools.h>

/// The HTTP proxy: worker threads accept callers' requests, choose a backend server and stream the response back.
namespace Galenarock
{

/// State shared between the control thread and the worker threads.
class ProxyShared
{
public:
    ProxyShared(Metrics &metrics, Identity self, PeerKey peerKey)
        : m_metrics(metrics)
        , m_peerKey(std::make_shared<const PeerKey>(peerKey))
        , m_serverLimits(metrics, self.name, randomNonce())
        , m_ledger(std::move(self))
    {
    }

    Metrics &metrics()
    {
        return m_metrics;
    }
    /// The current routing snapshot; null until the first configuration has been received.
    std::shared_ptr<const RoutingSnapshot> snapshot() const
    {
        return std::atomic_load_explicit(&m_snapshot, std::memory_order_acquire);
    }
    void setSnapshot(std::shared_ptr<const RoutingSnapshot> snapshot)
    {
        std::atomic_store_explicit(&m_snapshot, std::move(snapshot), std::memory_order_release);
    }
    /// Whether new requests are refused with reason `stopping`.
    bool isRefusing() const
    {
        return m_refusing.load(std::memory_order_relaxed);
    }
    void setRefusing()
    {
        m_refusing.store(true, std::memory_order_relaxed);
    }
    /// Number of live daemons, including this one, among which slots and connections are divided.
    std::uint32_t liveDaemons() const
    {
        return m_liveDaemons.load(std::memory_order_relaxed);
    }
    void setLiveDaemons(std::uint32_t n)
    {
        m_liveDaemons.store(n == 0 ? 1 : n, std::memory_order_relaxed);
    }
    /// Number of worker threads of all live daemons; each worker gets an equal share of slots, connections and rates.
    std::uint32_t liveWorkers() const
    {
        return liveDaemons() * m_workers;
    }
    /// Number of worker threads of this daemon. Call before the workers start. Every daemon of a deployment must run
    /// the same number.
    void setWorkers(std::uint32_t n)
    {
        m_workers = n;
    }
    PeerKey peerKey() const
    {
        return *std::atomic_load_explicit(&m_peerKey, std::memory_order_acquire);
    }
    /// Sets the key that authenticates requests between daemons. Thread-safe.
    void setPeerKey(const PeerKey &key)
    {
        std::atomic_store_explicit(&m_peerKey, std::make_shared<const PeerKey>(key), std::memory_order_release);
    }
    SharedRelays &relays()
    {
        return m_relays;
    }
    LedgerNode &ledger()
    {
        return m_ledger;
    }
    /// Header names used by the deployment; null for the built-in ones. Call before the workers start.
    void setDialect(std::shared_ptr<const RequestDialect> dialect)
    {
        m_dialect = std::move(dialect);
    }
    const RequestDialect *dialect() const
    {
        return m_dialect.get();
    }
    /// Retry limits of one service over all daemons: a percentage of its requests plus a fixed allowance.
    struct RetryLimits
    {
        double percent = 10;
        double allowance = 10;
    };
    void setRetryLimits(RetryLimits limits)
    {
        m_retryLimits = limits;
    }
    const RetryLimits &retryLimits() const
    {
        return m_retryLimits;
    }
    /// Call before the workers start.
    void setSlowStart(SlowStart slowStart)
    {
        m_slowStart = slowStart;
    }
    SlowStart slowStart() const
    {
        return m_slowStart;
    }
    /// Failure domain whose servers are preferred; empty for no preference. Call before the workers start.
    void setLocalDomain(std::string domain)
    {
        m_localDomain = std::move(domain);
    }
    const std::string &localDomain() const
    {
        return m_localDomain;
    }
    /// Whether this daemon is draining: responses ask callers to close their connections; requests are still served.
    bool isDraining() const
    {
        return m_draining.load(std::memory_order_relaxed);
    }
    void setDraining()
    {
        m_draining.store(true, std::memory_order_relaxed);
    }
    /// Time by which this VM must have sent its last answer; Instant::max() without one. A request whose deadline is
    /// later is not sent to a server any more.
    Instant lastAnswerAt() const
    {
        return Instant(Duration(m_lastAnswerAt.load(std::memory_order_relaxed)));
    }
    void setLastAnswerAt(Instant time)
    {
        m_lastAnswerAt.store(time.time_since_epoch().count(), std::memory_order_relaxed);
    }
    /// Collects the load by key position of all workers.
    KeyLoadCollector &keyLoads()
    {
        return m_keyLoads;
    }
    /// Collects the load by key range of all workers.
    LoadCollector &loads()
    {
        return m_loads;
    }
    UncheckedPools &uncheckedPools()
    {
        return m_uncheckedPools;
    }
    SharedSuspects &suspects()
    {
        return m_suspects;
    }
    SharedServerLimits &serverLimits()
    {
        return m_serverLimits;
    }
    SharedServerPauses &serverPauses()
    {
        return m_serverPauses;
    }
    SharedLeavingServers &leavingServers()
    {
        return m_leavingServers;
    }
    SharedServerReach &serverReach()
    {
        return m_serverReach;
    }
    /// Sets the writer of the request trace, which is used in trials; null when no trace is written. Call before
    /// the workers start.
    void setTrace(TraceWriter *trace)
    {
        m_trace = trace;
    }
    TraceWriter *trace() const
    {
        return m_trace;
    }
    /// Returns a number that identifies a request in the trace; unique in this process.
    std::uint64_t nextTraceNumber()
    {
        return m_nextTraceNumber.fetch_add(1, std::memory_order_relaxed);
    }
    /// Number of requests that have arrived and have no outcome yet.
    std::atomic<std::int64_t> &inFlight()
    {
        return m_inFlight;
    }

private:
    Metrics &m_metrics;
    std::shared_ptr<const PeerKey> m_peerKey;
    SharedRelays m_relays;
    SharedServerLimits m_serverLimits;
    SharedLeavingServers m_leavingServers;
    SharedServerPauses m_serverPauses;
    LedgerNode m_ledger;
    SharedSuspects m_suspects;
    SharedServerReach m_serverReach;
    LoadCollector m_loads;
    UncheckedPools m_uncheckedPools;
    std::atomic<std::uint32_t> m_liveDaemons{1};
    std::uint32_t m_workers = 1;
    TraceWriter *m_trace = nullptr;
    std::atomic<std::uint64_t> m_nextTraceNumber{1};
    std::shared_ptr<const RoutingSnapshot> m_snapshot;
    std::shared_ptr<const RequestDialect> m_dialect;
    RetryLimits m_retryLimits;
    SlowStart m_slowStart = SlowStart::Linear;
    std::string m_localDomain;
    KeyLoadCollector m_keyLoads;
    std::atomic<bool> m_draining{false};
    std::atomic<bool> m_refusing{false};
    std::atomic<Duration::rep> m_lastAnswerAt{Instant::max().time_since_epoch().count()};
    std::atomic<std::int64_t> m_inFlight{0};
};

struct ProxySettings
{
    /// `ip:port` on which callers connect; port 0 lets the kernel assign one.
    std::string listenAddress;
    unsigned workers = 1;
    /// Maximum size of a request head.
    std::size_t headerBytes = 8'192;
    /// Idle time after which a caller's connection is closed.
    unsigned callerIdleSeconds = 120;
    /// Idle time after which a connection to a server is not reused.
    unsigned serverIdleSeconds = 60;
    /// Memory in MB and descriptors of this VM, from which the bounds on what callers hold are derived; 0 for none.
    std::int64_t memoryMb = 0;
    std::int64_t maxDescriptors = 0;
};

/// The worker threads. Example:
/// `Proxy proxy(shared); proxy.start({"127.0.0.1:8080", 2}); ... proxy.quiesce(); proxy.stop();`
class Proxy
{
public:
    explicit Proxy(ProxyShared &shared);
    ~Proxy();

    /// Starts the worker threads. Fails when the address cannot be bound.
    Result<void> start(const ProxySettings &settings);
    /// The bound `ip:port`; empty before start().
    std::string address() const;
    /// CPU time used by the workers, in seconds.
    double cpuSeconds() const;
    /// Lets the workers look at once whether a request that waits can go on. Thread-safe after start().
    void wake();
    /// Stops accepting connections; open connections and their requests continue.
    void quiesce();
    /// Closes callers' connections that have been without a request for 1 s.
    void closeIdle();
    /// Number of open connections of callers.
    std::size_t connectionCount() const;
    /// Bytes that callers hold, as far as they are bounded.
    std::size_t callerBytes() const;
    /// Stops the threads. Aborts requests that are still in flight: to avoid this, wait until ProxyShared::inFlight()
    /// is 0.
    void stop();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

}

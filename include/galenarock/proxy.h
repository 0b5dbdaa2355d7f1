#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <string>

#include <galenarock/error.h>
#include <galenarock/keyloads.h>
#include <galenarock/ledgernode.h>
#include <galenarock/loadreport.h>
#include <galenarock/metrics.h>
#include <galenarock/peer.h>
#include <galenarock/replay.h>
#include <galenarock/requestdialect.h>
#include <galenarock/routing.h>
#include <galenarock/sharedsuspects.h>
#include <galenarock/uncheckedpools.h>

/// The HTTP proxy: worker threads that take callers' requests, choose a backend server and stream the response back.
namespace Galenarock
{

/// State that the control thread shares with the workers.
class ProxyShared
{
public:
    ProxyShared(Metrics &metrics, Identity self, PeerKey peerKey)
        : m_metrics(metrics)
        , m_peerKey(peerKey)
        , m_ledger(std::move(self))
    {
    }

    Metrics &metrics()
    {
        return m_metrics;
    }
    /// The routing snapshot in force; null until the first configuration is known.
    std::shared_ptr<const RoutingSnapshot> snapshot() const
    {
        return std::atomic_load_explicit(&m_snapshot, std::memory_order_acquire);
    }
    void setSnapshot(std::shared_ptr<const RoutingSnapshot> snapshot)
    {
        std::atomic_store_explicit(&m_snapshot, std::move(snapshot), std::memory_order_release);
    }
    /// New requests are refused with reason `stopping` once set.
    bool isRefusing() const
    {
        return m_refusing.load(std::memory_order_relaxed);
    }
    void setRefusing()
    {
        m_refusing.store(true, std::memory_order_relaxed);
    }
    /// Live daemons, this one included, among which slots and connections are divided.
    std::uint32_t liveDaemons() const
    {
        return m_liveDaemons.load(std::memory_order_relaxed);
    }
    void setLiveDaemons(std::uint32_t n)
    {
        m_liveDaemons.store(n == 0 ? 1 : n, std::memory_order_relaxed);
    }
    /// Worker threads of all live daemons; each worker gets an equal share of slots, connections and rates.
    std::uint32_t liveWorkers() const
    {
        return liveDaemons() * m_workers;
    }
    /// Set before the workers start; all daemons of a deployment run equally many.
    void setWorkers(std::uint32_t n)
    {
        m_workers = n;
    }
    const PeerKey &peerKey() const
    {
        return m_peerKey;
    }
    LedgerNode &ledger()
    {
        return m_ledger;
    }
    /// Header names of the deployment; null for the project's own. Set before the workers start.
    void setDialect(std::shared_ptr<const RequestDialect> dialect)
    {
        m_dialect = std::move(dialect);
    }
    const RequestDialect *dialect() const
    {
        return m_dialect.get();
    }
    /// Retries of one service over all daemons: a share of its requests and a fixed allowance.
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
    /// Failure domain whose servers are preferred; empty for no preference. Set before the workers start.
    void setLocalDomain(std::string domain)
    {
        m_localDomain = std::move(domain);
    }
    const std::string &localDomain() const
    {
        return m_localDomain;
    }
    /// Callers are told to leave their connections; requests are still served.
    bool isDraining() const
    {
        return m_draining.load(std::memory_order_relaxed);
    }
    void setDraining()
    {
        m_draining.store(true, std::memory_order_relaxed);
    }
    /// Load by key position of all workers.
    KeyLoadCollector &keyLoads()
    {
        return m_keyLoads;
    }
    /// Load by key range of all workers.
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
    /// Trace for trials, set before the workers start; null when none is written.
    void setTrace(TraceWriter *trace)
    {
        m_trace = trace;
    }
    TraceWriter *trace() const
    {
        return m_trace;
    }
    /// Number of a request in the trace; unique in this process.
    std::uint64_t nextTraceNumber()
    {
        return m_nextTraceNumber.fetch_add(1, std::memory_order_relaxed);
    }
    /// Requests that have arrived and have no outcome yet.
    std::atomic<std::int64_t> &inFlight()
    {
        return m_inFlight;
    }

private:
    Metrics &m_metrics;
    const PeerKey m_peerKey;
    LedgerNode m_ledger;
    SharedSuspects m_suspects;
    LoadCollector m_loads;
    UncheckedPools m_uncheckedPools;
    std::atomic<std::uint32_t> m_liveDaemons{1};
    std::uint32_t m_workers = 1;
    TraceWriter *m_trace = nullptr;
    std::atomic<std::uint64_t> m_nextTraceNumber{1};
    std::shared_ptr<const RoutingSnapshot> m_snapshot;
    std::shared_ptr<const RequestDialect> m_dialect;
    RetryLimits m_retryLimits;
    std::string m_localDomain;
    KeyLoadCollector m_keyLoads;
    std::atomic<bool> m_draining{false};
    std::atomic<bool> m_refusing{false};
    std::atomic<std::int64_t> m_inFlight{0};
};

struct ProxySettings
{
    /// `ip:port` for callers; port 0 for one that the kernel assigns.
    std::string listenAddress;
    unsigned workers = 1;
    /// Largest head of a request.
    std::size_t headerBytes = 8'192;
    /// Idle connections of callers are closed after this time.
    unsigned callerIdleSeconds = 120;
    /// Idle connections to servers are not used after this time.
    unsigned serverIdleSeconds = 60;
};

/// The worker threads. Example:
/// `Proxy proxy(shared); proxy.start({"127.0.0.1:8080", 2}); ... proxy.quiesce(); proxy.stop();`
class Proxy
{
public:
    explicit Proxy(ProxyShared &shared);
    ~Proxy();

    /// Fails when the address cannot be bound.
    Result<void> start(const ProxySettings &settings);
    /// `ip:port` actually bound.
    std::string address() const;
    /// Processor time that the workers have used, in seconds.
    double cpuSeconds() const;
    /// Stops accepting connections; requests in flight go on.
    void quiesce();
    /// Closes callers' connections that stay without a request for a second.
    void closeIdle();
    /// Open connections of callers.
    std::size_t connectionCount() const;
    /// Ends the threads. Requests still in flight are cut, so the caller waits for ProxyShared::inFlight() first.
    void stop();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

}

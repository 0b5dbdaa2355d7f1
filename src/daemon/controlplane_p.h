#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <tuple>

#include <galenarock/config.h>
#include <galenarock/control.h>
#include <galenarock/loadreport.h>
#include <galenarock/membership.h>
#include <galenarock/replay.h>
#include <galenarock/routing.h>

#include "decisionlog_p.h"
#include "documentset_p.h"
#include "shardset_p.h"

namespace Galenarock
{

/// Callbacks that carry out the control plane's actions. All are called on the control thread.
struct ControlPlaneHooks
{
    std::function<void(const ReadObjectAction &)> readObject;
    std::function<void(const WriteObjectAction &)> writeObject;
    std::function<void(const CallServerAction &)> callServer;
    std::function<void(const SendPeerAction &)> sendPeer;
    std::function<void(const std::vector<Member> &)> membersChanged;
    /// Called when this daemon starts or stops watching the platform on behalf of the other daemons.
    std::function<void(bool isRelay)> relayChanged;
    std::function<void(const std::shared_ptr<const RoutingSnapshot> &)> snapshotChanged;
    /// Called with the newest assignment of the request ledger.
    std::function<void(const Assignment &, const VmList &)> ledgerChanged;
    /// Called with the boot number in each reply of a backend server.
    std::function<void(const std::string &server, std::uint64_t boot)> bootSeen;
    /// Returns the load by key range that this daemon counted since the last call.
    std::function<std::vector<LoadReport>()> takeLoads;
    /// Writes a record to the trace; empty if no trace is written.
    std::function<void(TraceRecord)> trace;
    /// Called with a peer message for the request ledger or the crash suspects.
    std::function<void(const PeerEvent &)> requestMessage;
    /// Pools that do not check grants: called with the end of this daemon's send lease.
    std::function<void(const std::string &service, Instant end)> sendLeaseChanged;
    /// Pools that do not check grants: whether a request for the range that this daemon sent to the server may still
    /// run.
    std::function<bool(const std::string &service, const Identity &server, const SliceRange &range)> mayRun;
    /// True if no call to a server is queued or in flight (rule R9).
    std::function<bool()> outgoingEmpty;
};

struct ControlPlaneSettings
{
    Identity self;
    std::string failureDomain;
    std::string address;
    std::string peerAddress;
    std::uint64_t seed = 1;
};

/// Connects the control cores of one daemon: membership, configuration and ownership.
///
/// Used on the control thread only, except for isHandedOver(), status() and decisions().
class ControlPlane
{
public:
    ControlPlane(ControlPlaneSettings settings, ControlPlaneHooks hooks);

    void handle(Instant now, const ControlEvent &event);
    /// Publishes a routing snapshot if its input changed, send leases, and a status every 250 ms.
    void endBatch(Instant now);

    /// Thread-safe. True if this daemon is neither coordinator nor standby of any shard, or no other daemon is alive.
    bool isHandedOver() const
    {
        return m_isHandedOver.load(std::memory_order_acquire);
    }
    /// Thread-safe. JSON of the last published status.
    std::shared_ptr<const nlohmann::json> status() const
    {
        return std::atomic_load(&m_status);
    }
    const DecisionLog &decisions() const
    {
        return m_decisions;
    }

private:
    /// Passes the event to all control cores and carries out their actions.
    void step(Instant now, const ControlEvent &event);
    /// Handles what no control core does: boot numbers, drain signals, load reports, request messages and polls.
    void observe(Instant now, const ControlEvent &event);
    void observeReply(const GrantReplyEvent &event);
    void startLedger(Instant now);
    void pollBalanced(Instant now);
    void sendLoadReports(Instant now);
    void addLoadReport(Instant now, const std::string &daemon, LoadReport report);
    void applyObject(Instant now, const StoredObject &object);
    /// `core` is the name of the control core in the trace.
    void carryOut(Instant now, const std::string &core, ControlActions actions);
    void publishAssignment(const Assignment &assignment);
    void publishMembers(Instant now, const std::vector<Member> &members);
    void publishSnapshot(Instant now);
    void publishSendLeases();
    /// False in the batch of events in which a stop is first queried. The snapshot without the stopped owner is
    /// published at the end of that batch; before that, workers may still send requests by the earlier snapshot.
    bool isStopPublished(const std::string &service, const Identity &server, const SliceRange &range);
    void publishStatus(Instant now);
    ShardSettings shardSettings(const ServiceDocument &document);

    struct StopQuery
    {
        /// Value of m_batchNumber at the first query of this stop.
        std::uint64_t firstBatch = 0;
        Instant lastQueriedAt;
    };

    ControlPlaneSettings m_settings;
    ControlPlaneHooks m_hooks;
    MembershipCore m_membership;
    ConfigCore m_config;
    ShardSet m_shards;
    DocumentSet m_documents;
    DecisionLog m_decisions;
    VmList m_vms;
    std::vector<Member> m_members;
    std::map<std::string, Assignment> m_assignments;
    std::set<std::string> m_draining;
    std::shared_ptr<const RoutingSnapshot> m_snapshot;
    std::shared_ptr<const nlohmann::json> m_status;
    std::atomic<bool> m_isHandedOver{false};
    bool m_isRelay = false;
    bool m_isSnapshotOutdated = false;
    bool m_isLedgerStarted = false;
    std::map<std::tuple<std::string, Identity, SliceRange>, StopQuery> m_stopQueries;
    std::uint64_t m_batchNumber = 0;
    Instant m_now{};
    Instant m_nextStatus{};
    Instant m_nextPoll{};
    Instant m_nextLoadReport{};
    std::map<std::string, LoadBook> m_loadBooks;
};

}

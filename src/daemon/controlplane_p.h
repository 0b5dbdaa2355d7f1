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

/// Where the control plane's actions go. All run on the control thread.
struct ControlPlaneHooks
{
    std::function<void(const ReadObjectAction &)> readObject;
    std::function<void(const WriteObjectAction &)> writeObject;
    std::function<void(const CallServerAction &)> callServer;
    std::function<void(const SendPeerAction &)> sendPeer;
    std::function<void(const std::vector<Member> &)> membersChanged;
    /// Whether this daemon watches the platform for the others.
    std::function<void(bool isRelay)> relayChanged;
    std::function<void(const std::shared_ptr<const RoutingSnapshot> &)> snapshotChanged;
    /// Newest assignment of the request ledger.
    std::function<void(const Assignment &, const VmList &)> ledgerChanged;
    /// Boot number that a backend server reported.
    std::function<void(const std::string &server, std::uint64_t boot)> bootSeen;
    /// Load by key range that this daemon counted since the last call.
    std::function<std::vector<LoadReport>()> takeLoads;
    /// Records for the trace; empty when none is written.
    std::function<void(TraceRecord)> trace;
    /// A peer message of the request cores.
    std::function<void(const PeerEvent &)> requestMessage;
    /// Pools that do not check grants: the end of this daemon's permit to send.
    std::function<void(const std::string &service, Instant end)> permitChanged;
    /// Pools that do not check grants: whether a request of this daemon may still run.
    std::function<bool(const std::string &service, const Identity &server, const SliceRange &range)> mayRun;
    /// Rings that carry commands out are empty (rule R9).
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

/// The control cores of one daemon, wired together. Used on the control thread only, but for status() and decisions().
class ControlPlane
{
public:
    ControlPlane(ControlPlaneSettings settings, ControlPlaneHooks hooks);

    void handle(Instant now, const ControlEvent &event);
    /// Publishes a new routing snapshot and a new status when something changed.
    void endBatch(Instant now);

    /// Thread-safe: the daemon holds no part of a mandate any more.
    bool isHandedOver() const
    {
        return m_handedOver.load(std::memory_order_acquire);
    }
    /// Thread-safe: JSON of the last published status.
    std::shared_ptr<const nlohmann::json> status() const
    {
        return std::atomic_load(&m_status);
    }
    const DecisionLog &decisions() const
    {
        return m_decisions;
    }

private:
    void step(Instant now, const ControlEvent &event);
    void observe(Instant now, const ControlEvent &event);
    void observeReply(const GrantReplyEvent &event);
    void startLedger(Instant now);
    void pollBalanced(Instant now);
    void spreadLoads(Instant now);
    void receiveLoad(Instant now, const std::string &daemon, LoadReport report);
    void adopt(Instant now, const StoredObject &object);
    /// `core` names the actions in the trace.
    void carryOut(Instant now, const std::string &core, ControlActions actions);
    void publishAssignment(const Assignment &assignment);
    void publishMembers(Instant now, const std::vector<Member> &members);
    void publishSnapshot(Instant now);
    void publishPermits();
    /// Workers see a stop only after the batch of events in which the shard learned it. False on the first question, so
    /// that requests are looked at only when no worker can still route by the earlier snapshot.
    bool isStopPublished(const std::string &service, const Identity &server, const SliceRange &range);
    void publishStatus(Instant now);
    ShardSettings shardSettings(const ServiceDocument &document);

    struct StopQuestion
    {
        std::uint64_t firstBatch = 0;
        Instant lastAskedAt;
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
    std::atomic<bool> m_handedOver{false};
    bool m_isRelay = false;
    bool m_dirty = false;
    bool m_ledgerStarted = false;
    std::map<std::tuple<std::string, Identity, SliceRange>, StopQuestion> m_stopQuestions;
    std::uint64_t m_batch = 0;
    Instant m_now{};
    Instant m_nextStatus{};
    Instant m_nextPoll{};
    Instant m_nextLoads{};
    std::map<std::string, LoadBook> m_loads;
};

}

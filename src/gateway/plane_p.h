#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include <galenarock/gateway.h>
#include <galenarock/membership.h>
#include <galenarock/peerfeatures.h>
#include <galenarock/routing.h>
#include <galenarock/serverlimits.h>
#include <galenarock/watchfeed.h>
#include <galenarock/watchverification.h>

#include "coldserverlist_p.h"
#include "daemon/decisionlog_p.h"
#include "evacuations_p.h"
#include "peerkey_p.h"
#include "serverdirectory_p.h"
#include "serviceroutes_p.h"

namespace Galenarock
{

/// Where the control plane's actions go. All run on the control thread.
struct GatewayHooks
{
    std::function<void(const ReadObjectAction &)> readObject;
    std::function<void(const WriteObjectAction &)> writeObject;
    std::function<void(const std::string &kind)> listObjects;
    std::function<void(const LeaseCall &)> callServer;
    std::function<void(const SendPeerAction &)> sendPeer;
    std::function<void(const std::vector<Member> &)> membersChanged;
    /// The members whose build takes relayed requests.
    std::function<void(const std::vector<Member> &)> relaysChanged;
    std::function<void(const std::shared_ptr<const RoutingSnapshot> &)> snapshotChanged;
    /// Number of values of the active configuration that this build does not know.
    std::function<void(std::size_t)> unknownValuesChanged;
    /// Number of failure domains that are being evacuated.
    std::function<void(std::size_t)> evacuationsChanged;
    std::function<void(const std::string &server, std::uint64_t boot)> bootSeen;
    /// A process that had announced its end is gone.
    std::function<void(const Identity &server)> stoppedAsPlanned;
    std::function<std::vector<KeyLoad>()> takeLoads;
    std::function<void(const PeerEvent &)> requestMessage;
    /// Requests per second that servers state as their limit.
    std::function<std::map<Identity, double>()> requestRates;
    /// Servers that are cold, with the rates at which permits are given for them.
    std::function<void(const std::vector<ColdServer> &)> coldServersChanged;
    /// Whether any server answers this VM.
    std::function<bool()> reachesServers;
    /// The list of all daemons has been read from the store.
    std::function<void()> fleetListed;
    std::function<bool()> isStoreReachable;
    /// What other daemons pass on of the store's changes, for the store client.
    std::function<void(const WatchFeedView &)> setFeed;
    /// A change that another daemon has read.
    std::function<void(const WatchChange &)> applyChange;
    /// Changes that this daemon has read since the last call, to be passed on.
    std::function<std::vector<WatchChange>()> takeChanges;
    /// Opens the peer transport with the key that all daemons share. Returns its address; empty on failure.
    std::function<std::string(const std::string &hexKey)> openPeers;
    /// Lets the open transport use another key. Returns false if the text is no key.
    std::function<bool(const std::string &hexKey)> changePeerKey;
    /// Number of frames that arrived with another key than that of this daemon.
    std::function<std::uint64_t()> foreignFrames;
};

/// What the admin interface shows of the control plane.
struct GatewayStatus
{
    nlohmann::json summary = nlohmann::json::object();
    /// Version and features of each member. Kept apart, since it is large and rarely changes.
    std::shared_ptr<const nlohmann::json> builds;
};

struct GatewayControlPlaneSettings
{
    Identity self;
    std::string failureDomain;
    std::string address;
    std::uint64_t seed = 1;
    double retryPercent = 10;
    /// Longest grant duration that servers accept; 0 for no limit.
    Duration maxGrantDuration{};
    std::uint16_t cpuPercent = 100;
    WarmupBound warmupBound;
    /// Bound for the evacuation of a failure domain; zero when evacuations are off.
    Duration evacuationBound{};
};

/// Control plane of one gateway daemon: passes events to membership and leases, and publishes routing snapshots. Used
/// on the control thread only, except for isReady(), isHandedOver(), status() and decisions().
class GatewayControlPlane
{
public:
    GatewayControlPlane(GatewayControlPlaneSettings settings, GatewayDialect dialect, GatewayHooks hooks);

    void handle(Instant now, const ControlEvent &event);
    /// Call after each batch of events. Publishes a routing snapshot if its input changed, and a status every 500 ms.
    void endBatch(Instant now);

    /// Thread-safe. True if a routing snapshot is published, servers are registered, each keyed service has a lease
    /// table with owners, the evacuations are known, and the daemon is not stopping.
    bool isReady() const
    {
        return m_isReady.load(std::memory_order_acquire);
    }
    /// Thread-safe. True if the daemon is stopping and has no leadership of a lease table left to hand over.
    bool isHandedOver() const
    {
        return m_isHandedOver.load(std::memory_order_acquire);
    }
    /// Thread-safe. JSON of the last published status.
    nlohmann::json status() const;
    const DecisionLog &decisions() const
    {
        return m_decisions;
    }

private:
    // The functions after each file name are defined in that file, the first ones in plane.cpp.
    bool onStoreEvent(Instant now, const ControlEvent &event);
    void tick(Instant now);
    void onStoreEra(Instant now, std::uint64_t era);
    void stepMembership(Instant now, const ControlEvent &event);
    void carryOut(LeaseActions actions);
    void carryOut(ControlActions actions);
    void applyChanges(Instant now);
    void updateColdServers(Instant now);

    // planeobjects.cpp
    void onObject(Instant now, const StoredObject &object);
    void onMissing(Instant now, const ObjectKey &key);
    void onSynced(Instant now, const KindSyncedEvent &event);
    void adoptConfiguration(Instant now, const StoredObject &object);
    void adoptServer(Instant now, const StoredObject &object);
    void removeServer(Instant now, const std::string &name);
    void adoptEvacuation(Instant now, const std::string &domain);
    void endEvacuation(const std::string &domain);
    void evacuationsChanged();
    void serversChanged();

    // planejoining.cpp
    static MembershipSettings membershipSettings(const GatewayControlPlaneSettings &settings,
                                                 const std::string &peerAddress);
    void joinFleet(Instant now);
    void writeDaemonEntry(std::uint64_t version);
    void onWritten(const WriteResultEvent &event);
    bool isFleetHeard() const;
    void checkPeerKey(Instant now);
    void onPeerKeyStored(const StoredObject &object);
    void adoptPeerKey(const SharedPeerKey &stored);
    void changePeerKey(const SharedPeerKey &stored);
    void adoptDaemon(const StoredObject &object);

    // planeleases.cpp
    void refreshLeases(Instant now);
    void updateLeaseServers(Instant now);
    void setLeaseServers(Instant now, const std::string &service, LeaseController &controller);
    void stepLeases(Instant now, const ControlEvent &event);
    void sendLoadReports(Instant now);

    // planepeers.cpp
    bool onPeerMessage(Instant now, const PeerEvent &event);
    void publishFeatures(Instant now);
    void receiveFeed(Instant now, const PeerEvent &event);
    void updateFeed(Instant now);
    void onServerLeaving(Instant now, const Identity &server);
    void receiveLeavingNotice(Instant now, const PeerEvent &event);
    bool markLeaving(Instant now, const Identity &server);

    // planestatus.cpp
    void publishStatus(Instant now);
    nlohmann::json builds() const;

    GatewayControlPlaneSettings m_settings;
    GatewayDialect m_dialect;
    GatewayHooks m_hooks;
    MembershipCore m_membership;
    std::vector<Member> m_members;
    PeerFeatures m_features;
    bool m_areRelaysFleetWide = false;
    WatchFeed m_feed;
    WatchVerification m_verification;
    WatchFeedView m_feedView;
    VmList m_daemons;
    ServerDirectory m_servers;
    ColdServerList m_coldServers;
    Evacuations m_evacuations;
    ServiceRoutes m_serviceRoutes;
    std::map<std::string, LeaseController> m_leases;
    /// ServerDirectory::revision() of the servers that each lease controller knows.
    std::map<std::string, std::uint64_t> m_leaseServerRevisions;
    DecisionLog m_decisions;
    std::shared_ptr<const RoutingSnapshot> m_snapshot;
    /// builds() as of the last change of a member or its build; null when outdated.
    std::shared_ptr<const nlohmann::json> m_builds;
    std::shared_ptr<const GatewayStatus> m_status;

    /// Era of the store; 0 while unknown.
    std::uint64_t m_storeEra = 0;
    std::string m_peerAddress;
    SharedPeerKey m_peerKey;
    PeerKeyCheck m_peerKeyCheck;
    bool m_isPeerKeyNeeded = true;
    /// The store has the key that this daemon uses.
    bool m_isPeerKeyWritten = false;
    bool m_isDaemonEntryWritten = false;
    bool m_areServersKnown = false;
    bool m_isStopping = false;
    bool m_isSnapshotOutdated = false;
    // What events of the present batch have changed.
    bool m_haveServersChanged = false;
    bool m_haveDaemonsChanged = false;
    bool m_haveMembersChanged = false;
    bool m_areFeaturesOutdated = false;
    Instant m_nextJoinAt{};
    Instant m_nextLoadAt{};
    Instant m_nextStatusAt{};
    std::atomic<bool> m_isReady{false};
    std::atomic<bool> m_isHandedOver{false};
};

}

#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include <fmt/format.h>

#include <galenarock/shardcontroller.h>

#include "ownership/events_p.h"
#include "ownership/messages_p.h"
#include "ownership/objectwriter_p.h"
#include "ownership/plan_p.h"
#include "ownership/random_p.h"

namespace Galenarock
{

/// Interval of the renewals that each member of the pair sends to each server (R2).
inline constexpr Duration renewInterval = milliseconds(400);
/// A server without a reply for this long is suspected; two renewals have failed by then.
inline constexpr Duration suspectAfter = milliseconds(800);
/// Resend interval of stop requests and revokes without an answer.
inline constexpr Duration resendInterval = milliseconds(100);
inline constexpr Duration revokeResendInterval = milliseconds(400);
/// A write that is unanswered for this long means that the platform is down.
inline constexpr Duration platformPatience = milliseconds(400);

/// One backend server as this daemon knows it.
struct ServerRecord
{
    VmEntry vm;
    bool listed = true;
    Instant listedAt;
    std::uint64_t boot = 0;
    /// Sending time of the first call that this boot answered; older calls may still bring replies of the last boot.
    Instant bootSentAt;
    std::uint64_t nonce = 0;
    /// Latest receipt of a nonce; every term that this daemon's renewals can cause ends within a term of it.
    std::optional<Instant> nonceAt;
    std::uint32_t epoch = 0;
    ServerState state = ServerState::Cold;
    std::vector<GrantedSlice> held;
    std::optional<Instant> lastReplyAt;
    /// Sending time of the newest call whose reply was used.
    Instant repliedSentAt;
    std::optional<Instant> lastSentAt;
    /// The last reply asks for another call before the next renewal is due.
    bool needsCall = false;
    /// Sending time of the call that is under way; revokes do not count.
    std::optional<Instant> callSentAt;

    Identity identity() const
    {
        return {vm.name, boot};
    }
};

/// A server that the pair has to stop renewing, or has stopped renewing.
struct StopRecord
{
    /// Latest time at which a nonce was received that a renewal of this daemon may carry.
    std::optional<Instant> ownBound;
    bool deputyStopped = false;
    std::optional<Instant> deputyBound;
    Instant since;
};

/// A revoke that is under way.
struct RevokeRecord
{
    Identity server;
    SliceRange range;
    Instant sentAt;
};

/// Pools that do not check grants: a slice that the daemons have to stop routing.
struct SliceStop
{
    SliceRange range;
    Identity server;
    std::set<Identity> acknowledged;
};

/// State and rules of ShardController; each source file implements one group of rules.
class Shard
{
public:
    explicit Shard(ShardSettings settings);

    ControlActions step(Instant now, const ControlEvent &event);
    void setDocument(const ServiceDocument &document);
    void setLoads(std::vector<SliceLoad> loads, std::vector<HotKey> hotKeys);
    ShardRole role() const;
    std::uint32_t epoch() const;
    const Assignment *assignment() const;
    bool isHandedOver() const;
    std::optional<Instant> routePermitEnd() const;
    ShardStatus status(Instant now) const;
    std::vector<std::string> explain(Instant now, KeyHash hash) const;

private:
    // shard.cpp: events
    void on(const TickEvent &event);
    void on(const VmListEvent &event);
    void on(const ObjectEvent &event);
    void on(const ObjectMissingEvent &event);
    void on(const WriteResultEvent &event);
    void on(const GrantReplyEvent &event);
    void on(const PeerEvent &event);
    void on(const MembersEvent &event);
    void on(const StopEvent &event);
    /// Events of deployments whose servers issue no nonce; LeaseController handles them.
    void on(const KindSyncedEvent &)
    {
    }
    void on(const StoreEraEvent &)
    {
    }
    void on(const LeaseReplyEvent &)
    {
    }
    void on(const ServerLeavingEvent &)
    {
    }
    template<typename Message> void onMessage(const PeerEvent &event);
    template<typename... Args>
    void decide(const EventType &type, const SliceRange &range, fmt::format_string<Args...> format, Args &&...args);
    void act(ControlAction action);

    // mandate.cpp: R5, R6
    void tickMandate();
    void tickCoordinator();
    void reportRole();
    void onMandateOutcome(WriteOutcome outcome);
    void adoptMandate();
    void enterEpoch(const Mandate &mandate);
    bool isCoordinatorLost() const;
    void considerTakeover();
    Duration takeoverDelay() const;
    void writeMandate(Mandate mandate);
    Mandate successorMandate(const Identity &coordinator) const;
    void renewMandate();
    void considerDeputy();
    void handOver();
    std::optional<Identity> chooseDeputy(const Identity &coordinator) const;
    std::vector<const Member *> rankedMembers() const;
    const Member *aliveMember(const Identity &identity) const;
    bool isUnlisted(const std::string &vm) const;
    bool isReplaced(const Identity &server) const;
    bool isEntitled() const;
    Duration holdCap() const;
    Duration lengthened(Duration duration) const;
    Duration term() const;
    void queryContact();
    void receive(const PeerEvent &event, const OwnershipMessages::ContactQuery &message);
    void receive(const PeerEvent &event, const OwnershipMessages::ContactAnswer &message);

    // servers.cpp: R1 to R3
    void tickServers();
    void callServer(ServerRecord &server);
    bool isCalling(const ServerRecord &server) const;
    GrantRequest requestFor(const ServerRecord &server, GrantAction action) const;
    void sendCall(ServerRecord &server, GrantRequest request);
    bool isResponsive(const ServerRecord &server) const;
    bool isUsable(const ServerRecord &server) const;
    const ServerRecord *recordOf(const Identity &server) const;
    void learnBoot(ServerRecord &server, const GrantReplyEvent &event);
    void learnReply(ServerRecord &server, const GrantReplyEvent &event);
    void onRevokeReply(const GrantReplyEvent &event);
    void sendGrants();
    void sendFollowUps();
    void renewSequences(const ServerRecord &server, const GrantReplyEvent &event);
    std::vector<GrantedSlice> missingGrants(const ServerRecord &server) const;

    // stops.cpp: R4, R5, R9
    void tickStops();
    void suspectServers();
    void startStop(const Identity &server);
    void resumeServers();
    void sendStopRequests();
    void requestFormerStops();
    void receive(const PeerEvent &event, const OwnershipMessages::StopRequest &message);
    void receive(const PeerEvent &event, const OwnershipMessages::StopAck &message);
    void stopAll(const PeerEvent &event, const OwnershipMessages::StopRequest &message);
    void removeFormer(const std::string &vm);
    bool isStopped(const Identity &server) const;
    bool hasPairStopped(const Identity &server) const;
    void learnReport(const OwnershipMessages::ServerReport &report);
    bool hasLapsed(const Identity &server) const;
    bool isCleared(const Identity &server) const;
    bool isClear(const SliceAssignment &slice) const;
    bool outgoingEmpty() const;
    void freeLostOwners();

    // moves.cpp: R4, R7, R8
    bool isActive() const;
    void reconcile();
    void stamp();
    std::optional<Assignment> parseAssignment(const nlohmann::json &json);
    void resendRevokes();
    void planTargets();
    PlacementInput placementInput() const;
    void revokeForMoves();
    bool mayRevoke(const SliceAssignment &slice, const SliceGroup &group) const;
    void revoke(const SliceAssignment &slice);
    void writeChanges();
    bool isReady(const SliceGroup &group) const;
    bool isSettled(const SliceGroup &group) const;
    void onAssignmentOutcome(WriteOutcome outcome);
    void adoptStored();
    void overlayDarkMoves(Assignment &assignment) const;
    void moveAlongSuccession();
    bool moveToSuccessor(SliceAssignment &slice);
    bool pendingAllows(const SliceAssignment &slice, const Identity &target) const;
    void adoptHeld(const ServerRecord &server);
    bool adoptSuccessor(const Identity &server, const GrantedSlice &held);
    void setLive(Assignment assignment);
    void markPlatformUp();
    void markPlatformDown();
    Identity ownerOf(const SliceAssignment &slice) const;

    // permits.cpp: R10
    bool checksGrants() const;
    void tickPermits();
    bool isIssuer() const;
    void issueOwnPermit();
    std::vector<Identity> pairMembers() const;
    void receive(const PeerEvent &event, const OwnershipMessages::PermitQuery &message);
    void receive(const PeerEvent &event, const OwnershipMessages::PermitAnswer &message);
    void receive(const PeerEvent &event, const OwnershipMessages::SliceStopRequest &message);
    void receive(const PeerEvent &event, const OwnershipMessages::SliceStopAck &message);
    void learnSliceStops(std::uint32_t epoch, std::uint64_t counter, const std::vector<std::uint64_t> &sequences);
    void publishRoutes();
    void startSliceStop(const SliceAssignment &slice);
    void sendSliceStops();
    std::set<Identity> daemonsToStop() const;
    bool mayRun(const Identity &server, const SliceRange &range) const;
    void trackGoneDaemons();
    bool isStoppedEverywhere(const SliceStop &stop) const;
    void freeStoppedSlices();
    void pruneSliceStops(const std::set<std::uint64_t> &present);

    // shardstatus.cpp
    std::vector<std::string> waitingFor() const;

    // spread.cpp: copies of the assignment in every daemon
    void publish(const Assignment &assignment);
    OwnershipMessages::AssignmentUpdate currentUpdate() const;
    void sendUpdateToAll();
    void tickSpread();
    void receive(const PeerEvent &event, const OwnershipMessages::AssignmentDigest &message);
    void receive(const PeerEvent &event, const OwnershipMessages::AssignmentUpdate &message);
    bool isNewer(const Assignment &assignment) const;

    ShardSettings m_settings;
    std::uint64_t m_random;
    /// Time and output of the current step.
    Instant m_now;
    ControlActions *m_actions = nullptr;
    std::optional<Instant> m_lastTickAt;
    /// End of this daemon's last pause; silence of others before it proves nothing.
    Instant m_resumedAt;

    std::vector<Member> m_members;
    VmList m_vms;
    std::set<std::string> m_listedNow;
    std::set<std::string> m_listedOnce;
    std::map<std::string, ServerRecord> m_servers;

    ObjectWriter m_mandateWriter;
    std::optional<Mandate> m_mandate;
    std::optional<Instant> m_contactAt;
    std::optional<Instant> m_lostSince;
    Instant m_nextMandateAt;
    Instant m_epochSince;
    std::uint64_t m_mandateVersion = 0;
    /// Epoch of a later pair that asked this daemon to stop before the mandate itself was seen.
    std::uint32_t m_supersededBy = 0;
    ShardRole m_roleBefore = ShardRole::None;
    Instant m_nextRefreshAt;
    bool m_stopping = false;
    /// Own takeovers that were not followed by a quiet period; each doubles the delay of the next.
    unsigned m_recentTakeovers = 0;
    Instant m_lastTakeoverAt;
    std::uint64_t m_contactNonce = 0;
    Instant m_contactAskedAt;
    bool m_capLogged = false;

    std::map<Identity, StopRecord> m_stops;
    /// Servers that obey the present epoch, as the deputy reported with what they hold.
    std::set<Identity> m_reported;
    std::uint64_t m_stopCounter = 0;
    std::uint64_t m_deputyCounter = 0;
    std::uint64_t m_sentStopCounter = 0;
    Instant m_stopsSentAt;
    std::set<Identity> m_former;
    Instant m_formerBound;
    Instant m_formerAskedAt;

    /// Coordinator: slices that every daemon has to stop routing, by sequence.
    std::map<std::uint64_t, SliceStop> m_sliceStops;
    std::uint64_t m_sliceStopCounter = 0;
    Instant m_sliceStopsSentAt;
    std::map<Identity, Instant> m_permitHolders;
    std::map<Identity, Instant> m_goneSince;
    std::set<Identity> m_replacedDaemons;
    /// This daemon's permit and the slices that it does not route.
    std::uint64_t m_permitNonce = 0;
    Instant m_permitAskedAt;
    Instant m_permitEnd = Instant::min();
    std::uint32_t m_permitEpoch = 0;
    std::uint64_t m_permitSequence = 0;
    std::uint32_t m_routeStopEpoch = 0;
    std::uint64_t m_routeStopCounter = 0;
    std::set<std::uint64_t> m_routeStops;

    ObjectWriter m_assignmentWriter;
    /// The assignment in effect: acknowledged by the platform, with moves along the succession applied.
    std::optional<Assignment> m_live;
    std::optional<Assignment> m_published;
    /// Sequences of slices that nobody holds any more.
    std::set<std::uint64_t> m_free;
    std::map<std::uint64_t, RevokeRecord> m_revoking;
    std::set<std::uint64_t> m_darkMoves;
    std::vector<WantedSlice> m_wanted;
    std::vector<Identity> m_wantedUsable;
    Instant m_plannedAt;
    double m_churnBudget = 0;
    std::vector<SliceLoad> m_loads;
    std::vector<HotKey> m_hotKeys;
    std::optional<Instant> m_downSince;
    Instant m_nextWriteAt;
    Instant m_nextDigestAt;
    std::uint64_t m_adoptedVersion = 0;
    /// The assignment was read from the platform since the present epoch began.
    bool m_assignmentFresh = false;
    bool m_stamped = false;
    Instant m_activeSince;
};

template<typename... Args>
void Shard::decide(const EventType &type, const SliceRange &range, fmt::format_string<Args...> format, Args &&...args)
{
    act(DecisionAction{type, m_settings.document.service, range, fmt::format(format, std::forward<Args>(args)...)});
}

}

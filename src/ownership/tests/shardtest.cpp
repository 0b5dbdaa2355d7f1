#include <algorithm>

#include <gtest/gtest.h>

#include "ownership/tests/shardfakes_p.h"

using namespace Galenarock;
using namespace Galenarock::ShardFakes;

namespace
{
/// Target of docs/CAPACITY.md for one loss.
constexpr Duration serveAgainLimit = seconds(3);

struct ShardTest : testing::Test
{
    Cluster cluster{3, 4};

    void SetUp() override
    {
        cluster.run(seconds(6));
        ASSERT_EQ(cluster.servedCount(), sampledKeys);
        ASSERT_TRUE(cluster.coordinator());
        ASSERT_TRUE(cluster.deputy());
        cluster.resetGaps();
    }
    void TearDown() override
    {
        EXPECT_EQ(cluster.violations, std::vector<std::string>());
    }
    std::string name(FakeDaemon *daemon)
    {
        return daemon ? daemon->identity.name : std::string();
    }
    /// A server other than `excluded` that owns something.
    std::string someOwner()
    {
        return cluster.ownerOf(Cluster::sample(0));
    }
    /// The stored assignment is the one in effect, and the servers hold exactly what it says.
    void expectStoredMatchesHeld()
    {
        const auto *const object = cluster.platform.newest({ObjectKind::Assignment, "vitrina"});
        ASSERT_TRUE(object);
        const auto stored = assignmentFromJson(object->value);
        ASSERT_TRUE(stored);
        for (std::size_t n = 0; n < sampledKeys; ++n) {
            const auto *const slice = stored->find(Cluster::sample(n));
            ASSERT_TRUE(slice && slice->owner != noServer);
            EXPECT_EQ(stored->servers[slice->owner].name, cluster.ownerOf(Cluster::sample(n)));
        }
    }
};
}

// Guards against a fresh shard that is never assigned, or whose pair shares a failure domain.
TEST_F(ShardTest, firstAssignment)
{
    EXPECT_NE(cluster.coordinator()->failureDomain, cluster.deputy()->failureDomain);
    for (const auto &[name, it] : cluster.servers) {
        EXPECT_EQ(it.holder->held(cluster.now).size(), 8u) << name;
    }
    for (const auto &[name, it] : cluster.daemons) {
        ASSERT_TRUE(it.controller->assignment()) << name;
        EXPECT_EQ(*it.controller->assignment(), *cluster.coordinator()->controller->assignment()) << name;
    }
}

// Guards against renewals that leave a gap while nothing fails.
TEST_F(ShardTest, renewalsKeepEverythingServed)
{
    cluster.run(seconds(30));
    EXPECT_LE(cluster.longestGap, milliseconds(1));
}

// Guards against slices of a lost server that stay unserved, or are moved before its term has ended.
TEST_F(ShardTest, lostOwnerIsReplaced)
{
    cluster.servers["vitrina-2"].dead = true;
    cluster.run(seconds(5));
    EXPECT_EQ(cluster.servedCount(), sampledKeys);
    EXPECT_LE(cluster.longestGap, serveAgainLimit);
}

// Guards against a gap in service when the coordinator is lost.
TEST_F(ShardTest, lostCoordinatorLeavesNoGap)
{
    cluster.coordinator()->dead = true;
    cluster.run(seconds(2));
    cluster.sendLists();
    cluster.run(seconds(10));
    EXPECT_TRUE(cluster.coordinator());
    EXPECT_EQ(cluster.servedCount(), sampledKeys);
    EXPECT_LE(cluster.longestGap, milliseconds(1));
}

// Guards against a deputy that is never replaced, or whose replacement interrupts service.
TEST_F(ShardTest, lostDeputyIsReplaced)
{
    const auto lost = name(cluster.deputy());
    cluster.daemons[lost].dead = true;
    cluster.sendLists();
    cluster.run(seconds(5));
    ASSERT_TRUE(cluster.deputy());
    EXPECT_NE(name(cluster.deputy()), lost);
    EXPECT_LE(cluster.longestGap, milliseconds(1));
}

// Guards against service that depends on the platform before the hold cap.
TEST_F(ShardTest, platformDownLeavesNoGap)
{
    cluster.platform.down = true;
    cluster.run(seconds(60));
    EXPECT_LE(cluster.longestGap, milliseconds(1));
}

// Guards against a lost owner that is not replaced while the platform is down, and against a write-back that is lost.
TEST_F(ShardTest, ownerLostWhilePlatformIsDown)
{
    cluster.platform.down = true;
    cluster.run(seconds(5));
    cluster.servers[someOwner()].dead = true;
    cluster.run(seconds(5));
    EXPECT_EQ(cluster.servedCount(), sampledKeys);
    EXPECT_LE(cluster.longestGap, serveAgainLimit);
    cluster.platform.down = false;
    cluster.run(seconds(8));
    expectStoredMatchesHeld();
}

// Guards against two losses in one outage that move a slice twice along the succession.
TEST_F(ShardTest, twoOwnersLostWhilePlatformIsDown)
{
    cluster.platform.down = true;
    cluster.servers[someOwner()].dead = true;
    cluster.run(seconds(5));
    const auto second = someOwner();
    ASSERT_FALSE(second.empty());
    cluster.servers[second].dead = true;
    cluster.run(seconds(5));
    EXPECT_LE(cluster.longestGap, serveAgainLimit);
    cluster.platform.down = false;
    cluster.run(seconds(8));
    EXPECT_EQ(cluster.servedCount(), sampledKeys);
    expectStoredMatchesHeld();
}

// Guards against a new pair that gives a slice to its stored owner while a successor holds it since the outage.
TEST_F(ShardTest, movesOfAnOutageSurviveTheCoordinator)
{
    cluster.platform.down = true;
    const auto frozen = someOwner();
    cluster.servers[frozen].frozen = true;
    cluster.run(seconds(5));
    cluster.servers[frozen].frozen = false;
    cluster.coordinator()->dead = true;
    cluster.platform.down = false;
    cluster.sendLists();
    cluster.run(seconds(10));
    EXPECT_EQ(cluster.servedCount(), sampledKeys);
    EXPECT_LE(cluster.longestGap, serveAgainLimit);
    expectStoredMatchesHeld();
}

// Guards against renewals without end by a pair that may have been replaced (R6).
TEST(ShardHoldCap, renewalsEndAndServiceReturns)
{
    Cluster cluster(3, 4);
    cluster.document.ownership.holdMs = 20'000;
    for (auto &[name, it] : cluster.daemons) {
        it.controller->setDocument(cluster.document);
    }
    cluster.run(seconds(6));
    cluster.platform.down = true;
    cluster.run(seconds(24));
    EXPECT_EQ(cluster.servedCount(), 0u);
    cluster.platform.down = false;
    cluster.run(seconds(8));
    EXPECT_EQ(cluster.servedCount(), sampledKeys);
    EXPECT_TRUE(cluster.violations.empty());
}

// Guards against a server that resumes after a freeze and still believes that it owns its slices.
TEST_F(ShardTest, frozenServerResumes)
{
    const auto frozen = someOwner();
    cluster.servers[frozen].frozen = true;
    cluster.run(seconds(4));
    EXPECT_EQ(cluster.servedCount(), sampledKeys);
    cluster.servers[frozen].frozen = false;
    cluster.run(seconds(4));
    EXPECT_LE(cluster.longestGap, serveAgainLimit);
    EXPECT_EQ(cluster.servedCount(), sampledKeys);
}

// Guards against a coordinator that resumes after a pause and acts on its old mandate.
TEST_F(ShardTest, pausedCoordinatorResumes)
{
    const auto paused = name(cluster.coordinator());
    cluster.daemons[paused].paused = true;
    cluster.run(seconds(2));
    cluster.daemons[paused].dead = true;
    cluster.sendLists();
    cluster.daemons[paused].dead = false;
    cluster.run(seconds(3));
    cluster.servers[someOwner()].frozen = true;
    cluster.run(seconds(1));
    cluster.daemons[paused].paused = false;
    cluster.run(seconds(6));
    EXPECT_EQ(cluster.servedCount(), sampledKeys);
    EXPECT_EQ(cluster.daemons[paused].controller->epoch(), cluster.coordinator()->controller->epoch());
}

// Guards against action on a write whose response was lost (R7).
TEST_F(ShardTest, lostWriteAnswers)
{
    cluster.servers[someOwner()].dead = true;
    cluster.run(seconds(1));
    cluster.platform.loseAnswers = 1;
    cluster.run(seconds(5));
    EXPECT_EQ(cluster.platform.loseAnswers, 0);
    EXPECT_LE(cluster.longestGap, serveAgainLimit);
    EXPECT_EQ(cluster.servedCount(), sampledKeys);
    expectStoredMatchesHeld();
}

// Guards against a write that takes effect long after it was reported as unanswered.
TEST_F(ShardTest, lateWriteEffects)
{
    cluster.platform.delayEffects = 3;
    cluster.platform.effectDelay = milliseconds(1'700);
    cluster.servers[someOwner()].dead = true;
    cluster.run(seconds(3));
    cluster.coordinator()->dead = true;
    cluster.sendLists();
    cluster.run(seconds(12));
    EXPECT_EQ(cluster.servedCount(), sampledKeys);
    expectStoredMatchesHeld();
}

// Guards against a slice that its owner refuses for ever, because the move that began with a revoke was given up.
TEST_F(ShardTest, coordinatorLostAfterRevoke)
{
    auto &joined = cluster.servers["vitrina-9"];
    cluster.startServer("vitrina-9");
    cluster.sendLists();
    const auto isRevoking = [](const auto &it) {
        return it.event.name == "slice-revoking";
    };
    auto &old = *cluster.coordinator();
    for (int n = 0; n < 90'000 && std::none_of(old.decisions.begin(), old.decisions.end(), isRevoking); ++n) {
        cluster.run(milliseconds(1));
    }
    cluster.run(milliseconds(3));
    old.dead = true;
    joined.listed = false;
    joined.dead = true;
    cluster.sendLists();
    cluster.run(seconds(6));
    EXPECT_EQ(cluster.servedCount(), sampledKeys);
}

// Guards against decisions on stale reads.
TEST_F(ShardTest, staleReads)
{
    cluster.platform.staleReads = true;
    cluster.coordinator()->dead = true;
    cluster.sendLists();
    cluster.run(seconds(4));
    cluster.servers[someOwner()].dead = true;
    cluster.run(seconds(5));
    EXPECT_EQ(cluster.servedCount(), sampledKeys);
    EXPECT_LE(cluster.longestGap, serveAgainLimit);
}

// Guards against work on a server that is leaving (G6), and against a gap while its slices move.
TEST_F(ShardTest, leavingServerIsEmptied)
{
    const auto leaving = someOwner();
    cluster.servers[leaving].state = VmState::Leaving;
    cluster.sendLists();
    cluster.run(seconds(2));
    EXPECT_TRUE(cluster.servers[leaving].holder->held(cluster.now).empty());
    EXPECT_EQ(cluster.servedCount(), sampledKeys);
    EXPECT_LE(cluster.longestGap, milliseconds(100));
}

// Same for a server that announces its drain itself.
TEST_F(ShardTest, drainingServerIsEmptied)
{
    const auto draining = someOwner();
    cluster.servers[draining].holder->drain(cluster.now);
    cluster.run(seconds(2));
    EXPECT_TRUE(cluster.servers[draining].holder->held(cluster.now).empty());
    EXPECT_EQ(cluster.servedCount(), sampledKeys);
}

// Guards against a lapse of the mandate at a planned stop of its holder.
TEST_F(ShardTest, plannedStopHandsOver)
{
    auto &stopping = *cluster.coordinator();
    stopping.leaving = true;
    cluster.carryOut(stopping.identity.name, stopping.controller->step(cluster.now, StopEvent()));
    cluster.sendLists();
    cluster.run(seconds(3));
    EXPECT_TRUE(stopping.controller->isHandedOver());
    stopping.dead = true;
    cluster.sendLists();
    cluster.run(seconds(8));
    ASSERT_TRUE(cluster.coordinator());
    EXPECT_TRUE(cluster.deputy());
    EXPECT_LE(cluster.longestGap, milliseconds(1));
}

// Guards against a restarted server that is taken for its earlier process (R8).
TEST_F(ShardTest, restartedServerIsNewIdentity)
{
    const auto restarted = someOwner();
    cluster.startServer(restarted);
    cluster.run(seconds(4));
    EXPECT_EQ(cluster.servedCount(), sampledKeys);
    EXPECT_LE(cluster.longestGap, serveAgainLimit);
    expectStoredMatchesHeld();
}

// Guards against a joining server that stays empty, and against a long interruption of the slices that move to it.
TEST_F(ShardTest, joiningServerReceivesSlices)
{
    cluster.startServer("vitrina-9");
    cluster.sendLists();
    cluster.run(seconds(120));
    EXPECT_GE(cluster.servers["vitrina-9"].holder->held(cluster.now).size(), 3u);
    EXPECT_LE(cluster.longestGap, milliseconds(100));
    expectStoredMatchesHeld();
}

// Guards against two active coordinators on the sides of a partition between daemons.
TEST_F(ShardTest, partitionBetweenDaemons)
{
    const auto old = name(cluster.coordinator());
    for (const auto &[other, it] : cluster.daemons) {
        cluster.cut(old, other);
    }
    MembersEvent seen;
    for (const auto &[other, it] : cluster.daemons) {
        const auto status = other == old ? MemberStatus::Dead : MemberStatus::Alive;
        seen.members.push_back({it.identity, it.failureDomain, other, other, status, true});
    }
    for (const auto &[other, it] : cluster.daemons) {
        if (other != old) {
            cluster.deliver(other, seen);
        }
    }
    cluster.run(seconds(5));
    cluster.servers[someOwner()].frozen = true;
    cluster.run(seconds(10));
    cluster.cutLinks.clear();
    cluster.sendLists();
    cluster.run(seconds(10));
    EXPECT_EQ(cluster.servedCount(), sampledKeys);
}

// Guards against a move of slices whose owner may still be renewed: owner and deputy are lost together, and the move
// waits until the VM list shows the server gone.
TEST_F(ShardTest, ownerAndDeputyLost)
{
    cluster.servers[someOwner()].frozen = true;
    cluster.deputy()->paused = true;
    cluster.run(seconds(10));
    EXPECT_LT(cluster.servedCount(), sampledKeys);
    for (auto &[name, it] : cluster.servers) {
        it.listed = it.listed && !it.frozen;
        it.dead = it.frozen;
    }
    for (auto &[name, it] : cluster.daemons) {
        it.dead = it.paused;
    }
    cluster.sendLists();
    cluster.run(seconds(5));
    EXPECT_EQ(cluster.servedCount(), sampledKeys);
}

// One daemon has no deputy, but serves.
TEST(ShardSingle, oneDaemonServes)
{
    Cluster cluster(1, 2);
    cluster.run(seconds(4));
    EXPECT_EQ(cluster.servedCount(), sampledKeys);
    cluster.servers["vitrina-1"].dead = true;
    cluster.run(seconds(4));
    EXPECT_EQ(cluster.servedCount(), sampledKeys);
    EXPECT_TRUE(cluster.violations.empty());
}

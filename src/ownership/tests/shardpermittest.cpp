#include <gtest/gtest.h>

#include "ownership/tests/shardfakes_p.h"

using namespace Galenarock;
using namespace Galenarock::ShardFakes;

namespace
{
/// A pool whose servers obey everybody; the daemons alone keep each key with one server (R10).
struct ShardPermitTest : testing::Test
{
    Cluster cluster{3, 4, false};

    void SetUp() override
    {
        cluster.run(seconds(6));
        ASSERT_EQ(routed(), sampledKeys);
        cluster.resetGaps();
    }
    void TearDown() override
    {
        EXPECT_EQ(cluster.violations, std::vector<std::string>());
    }
    std::string ownerOf(std::size_t n)
    {
        const auto *const assignment = cluster.coordinator()->controller->assignment();
        const auto *const slice = assignment->find(Cluster::sample(n));
        return assignment->servers[slice->owner].name;
    }
    std::size_t routed()
    {
        std::size_t count = 0;
        for (std::size_t n = 0; n < sampledKeys; ++n) {
            count += cluster.servedAt[n] == cluster.now ? 1 : 0;
        }
        return count;
    }
    FakeDaemon &outsider()
    {
        for (auto &[name, it] : cluster.daemons) {
            if (it.controller->role() == ShardRole::None) {
                return it;
            }
        }
        throw std::logic_error("every daemon is in the pair");
    }
    void lose(const std::string &server)
    {
        cluster.servers[server].dead = true;
    }
};
}

// Guards against permits that lapse while nothing fails, or when the coordinator is lost.
TEST_F(ShardPermitTest, permitsOutliveTheCoordinator)
{
    cluster.run(seconds(10));
    cluster.coordinator()->dead = true;
    cluster.run(seconds(2));
    cluster.sendLists();
    cluster.run(seconds(8));
    EXPECT_EQ(routed(), sampledKeys);
    EXPECT_LE(cluster.longestGap, milliseconds(1));
}

// Guards against a lost server without requests in flight that is not replaced.
TEST_F(ShardPermitTest, lostOwnerIsReplaced)
{
    lose(ownerOf(0));
    cluster.run(seconds(6));
    EXPECT_EQ(routed(), sampledKeys);
    EXPECT_LE(cluster.longestGap, seconds(3));
}

// Guards against a move while a request of the slice may still run on the unresponsive server.
TEST_F(ShardPermitTest, requestInFlightBlocksTheMove)
{
    const auto lost = ownerOf(0);
    outsider().running[0] = lost;
    cluster.servers[lost].frozen = true;
    cluster.run(seconds(10));
    const auto *const blocked = cluster.coordinator()->controller->assignment()->find(Cluster::sample(0));
    EXPECT_EQ(cluster.coordinator()->controller->assignment()->servers[blocked->owner].name, lost);
    cluster.servers[lost].listed = false;
    cluster.servers[lost].dead = true;
    outsider().running.clear();
    cluster.sendLists();
    cluster.run(seconds(5));
    EXPECT_EQ(routed(), sampledKeys);
}

// Guards against a daemon that resumes after a pause and routes by its old table.
TEST_F(ShardPermitTest, pausedDaemonBlocksTheMove)
{
    auto &paused = outsider();
    paused.paused = true;
    const auto lost = ownerOf(0);
    lose(lost);
    cluster.run(seconds(6));
    EXPECT_LT(routed(), sampledKeys);
    paused.paused = false;
    cluster.run(seconds(6));
    EXPECT_EQ(routed(), sampledKeys);
}

// Guards against a planned move that leaves two targets for a key.
TEST_F(ShardPermitTest, leavingServerIsEmptied)
{
    const auto leaving = ownerOf(0);
    cluster.servers[leaving].state = VmState::Leaving;
    cluster.sendLists();
    cluster.run(seconds(2));
    for (std::size_t n = 0; n < sampledKeys; ++n) {
        EXPECT_NE(ownerOf(n), leaving);
    }
    EXPECT_EQ(routed(), sampledKeys);
}

// Guards against a restarted daemon that routes by an old assignment from its peers.
TEST_F(ShardPermitTest, restartedDaemonWaitsForAPermit)
{
    const auto name = outsider().identity.name;
    lose(ownerOf(0));
    cluster.run(milliseconds(900));
    cluster.startDaemon(name);
    cluster.sendLists();
    cluster.run(seconds(8));
    EXPECT_EQ(routed(), sampledKeys);
}

// Guards against two pairs that issue permits for different assignments.
TEST_F(ShardPermitTest, partitionedPairMember)
{
    auto &old = *cluster.coordinator();
    for (const auto &[name, it] : cluster.daemons) {
        cluster.cut(old.identity.name, name);
    }
    old.dead = true;
    cluster.sendLists();
    old.dead = false;
    cluster.run(seconds(3));
    lose(ownerOf(0));
    cluster.run(seconds(8));
    cluster.cutLinks.clear();
    cluster.sendLists();
    cluster.run(seconds(10));
    EXPECT_EQ(routed(), sampledKeys);
}

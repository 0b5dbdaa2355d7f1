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

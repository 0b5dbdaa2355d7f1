#include <gtest/gtest.h>

#include <galenarock/warmuppace.h>

using namespace Galenarock;

namespace
{
const Identity Server{"s-1", 1};
const Instant Begin = Instant() + seconds(1'000);
}

// Guards against a rate whose bursts, late permits and second issuer add up to more than the bound.
TEST(WarmupPaceTest, ColdRateLeavesRoomForBurstsAndASecondIssuer)
{
    const WarmupBound bound{1.5, 8};
    const double rate = coldRate(3.6, bound);
    const double secondOfOneIssuer = 1.4 * rate + 1;
    const double secondOfOwnParts = 0.5 * 1.4 * rate;
    EXPECT_LE(2 * secondOfOneIssuer + secondOfOwnParts, 1.5 * 3.6 + 8 - 1 + 1e-9);
    EXPECT_GT(rate, 2.5);
    EXPECT_EQ(coldRate(100, {2, 1'000}), 100) << "never above what the server tolerates";
    EXPECT_GT(coldRate(1, {1, 0}), 0) << "a server without any request would not get warm";
}

// Guards against a bound in deployments that state none.
TEST(WarmupPaceTest, NoBoundWithoutAnOvershootOrARate)
{
    EXPECT_EQ(coldRate(3.6, {0, 8}), 0);
    EXPECT_EQ(coldRate(0, {1.5, 8}), 0);
}

// Guards against a rate that rises while a server is overloaded, or that never rises again.
TEST(WarmupPaceTest, RisesWithGoodAnswersAndFallsWithOthers)
{
    WarmupPace pace;
    const double first = pace.share(Server);
    pace.add(Begin, Server, {5, 0, 0, 0});
    EXPECT_DOUBLE_EQ(pace.share(Server), 1);
    double before = pace.share(Server);
    for (const auto &it : {PaceSigns{0, 1, 0, 0}, PaceSigns{0, 0, 1, 0}, PaceSigns{0, 0, 0, 1}}) {
        pace.add(Begin, Server, it);
        EXPECT_LT(pace.share(Server), before);
        before = pace.share(Server);
    }
    pace.add(Begin, Server, {0, 0, 0, 4'000'000'000});
    EXPECT_GT(pace.share(Server), 0);
    pace.add(Begin, Server, {4'000'000'000, 0, 0, 0});
    EXPECT_DOUBLE_EQ(pace.share(Server), 1);
    pace.expire(Begin + seconds(60));
    EXPECT_EQ(pace.share(Server), first);
}

// Guards against a cold server being taken for slow because it is a little slower than its peers, or because it has
// none.
TEST(WarmupPaceTest, SlowIsWhatTakesMuchLongerThanThePeers)
{
    EXPECT_FALSE(isSlowAnswer(0.2, 0.1));
    EXPECT_TRUE(isSlowAnswer(0.4, 0.1));
    EXPECT_FALSE(isSlowAnswer(5, 0));
}

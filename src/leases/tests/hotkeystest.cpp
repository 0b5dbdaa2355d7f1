#include <gtest/gtest.h>

#include "leases/hotranges_p.h"
#include "leases/tests/hotkeyworld_p.h"

using namespace Galenarock;

namespace
{
constexpr KeyHash Width = KeyHash(1) << 48;

KeyHash position(std::size_t n)
{
    return KeyHash(n) << 48;
}
}

// 32% of 541 requests per second go to 200 or 60 neighbouring keys of a service with 72 servers of unequal speed.
// Guards against spreading them over tens of plans, each of which moves the same keys again: that left the busiest
// owner at 2.1 to 5.5 times the mean after 3 s and moved 11,900 to 20,700 of 65,536 positions.
class HotKeysTest : public testing::TestWithParam<std::size_t>
{
};

TEST_P(HotKeysTest, NeighbouringHotKeysAreSpreadAndStay)
{
    for (const std::uint64_t seed : {1, 2}) {
        HotKeyLoad load;
        load.hotKeys = GetParam();
        load.seed = seed;
        const auto result = HotKeyWorld(load).run();
        SCOPED_TRACE(fmt::format("seed {}", seed));
        EXPECT_LT(result.busiestAt.at(3), 1.7);
        EXPECT_LT(result.busiestLater, 1.5);
        EXPECT_LT(result.movedHot, 9'000U);
        EXPECT_LT(result.refusedShareHot, 0.02);
    }
}

INSTANTIATE_TEST_SUITE_P(Groups, HotKeysTest, testing::Values(200, 60));

// The same service with an even load. Guards against taking chance for hot keys: 3,169 and 3,263 positions moved in 15
// s before hot groups were detected.
TEST(HotKeyMovesTest, EvenLoadMovesFewKeys)
{
    for (const std::uint64_t seed : {1, 2}) {
        HotKeyLoad load;
        load.hotShare = 0;
        load.seed = seed;
        const auto result = HotKeyWorld(load).run();
        EXPECT_LT(result.movedHot, 3'169U);
        EXPECT_LT(result.busiestLater, 1.5);
    }
}

// A moved range of an idle owner is released at once. Guards against a release that waits for the time of the next
// renewal, up to 500 ms.
TEST(HotKeyMovesTest, ReleasesDoNotWaitForTheNextRenewal)
{
    HotKeyLoad load;
    load.hotTime = seconds(3);
    load.after = milliseconds(0);
    EXPECT_LT(HotKeyWorld(load).run().recordSeconds, 0.1);
}

// Keys 10 to 109 get 1 request per second each, which half of them have shown after 0.5 s. Guards against an estimate
// that lags behind the rise, and against one in which keys without a request so far have no load.
TEST(HotRangesTest, LoadOfASuddenRiseIsEstimatedInFull)
{
    constexpr double age = 0.5;
    const Instant now{seconds(100)};
    std::map<KeyHash, PositionLoad> positions;
    for (std::size_t n = 10; n < 110; n += 2) {
        positions[position(n)] = {M_LN2 / ShortHalfLifeSeconds * std::exp2(-age / 2 / ShortHalfLifeSeconds),
                                  M_LN2 / LongHalfLifeSeconds * std::exp2(-age / 2 / LongHalfLifeSeconds), now};
    }
    HotRanges hot;
    EXPECT_EQ(hot.update(now, positions, Width).size(), 1U);
    EXPECT_TRUE(hot.update(now, positions, Width).empty()); // reported only once
    LeaseLoad load;
    hot.apply(now, Width, load);
    ASSERT_EQ(load.hotRanges.size(), 1U);
    EXPECT_EQ(load.hotRanges[0].first, position(10));
    double sum = 0;
    for (const auto &[key, rate] : load.positions) {
        sum += rate;
    }
    EXPECT_NEAR(sum, 100, 25);
    EXPECT_NEAR(load.positions.at(position(11)), 1, 0.3);
}

// Each of 1,024 parts of the key space gets the same load at the same time, as when a service starts. Guards against
// taking this for hot keys.
TEST(HotRangesTest, RiseOfTheWholeServiceIsNoHotGroup)
{
    const Instant now{seconds(100)};
    std::map<KeyHash, PositionLoad> positions;
    for (std::size_t n = 0; n < 65'536; n += 16) {
        positions[position(n)] = {20, 4, now};
    }
    HotRanges hot;
    hot.update(now, positions, Width);
    LeaseLoad load;
    hot.apply(now, Width, load);
    EXPECT_TRUE(load.hotRanges.empty());
}

// Ten keys of 1 request per second, of which the holder keeps 3 and two servers take 4 and 2. Guards against parts
// beyond the spare capacity of their server.
TEST(HotRangesTest, PartsFitTheirServers)
{
    std::map<KeyHash, double> positions;
    for (std::size_t n = 0; n < 10; ++n) {
        positions[position(n)] = 1;
    }
    const auto parts = divideHotRange({0, position(10) - 1}, positions, 3, {4, 2}, Width);
    ASSERT_EQ(parts.size(), 2U);
    EXPECT_TRUE((parts[0].range == SliceRange{position(3), position(7) - 1}));
    EXPECT_TRUE((parts[1].range == SliceRange{position(7), position(9) - 1}));
    EXPECT_EQ(parts[0].target, 0U);
    EXPECT_EQ(parts[1].target, 1U);
}

// One key exceeds every spare capacity. Guards against moving it, which interrupts it without answering more requests.
TEST(HotRangesTest, KeyBeyondAllSpareCapacityStays)
{
    const std::map<KeyHash, double> positions{{position(0), 1}, {position(1), 50}, {position(2), 1}};
    for (const auto &it : divideHotRange({0, position(3) - 1}, positions, 0, {4, 4}, Width)) {
        EXPECT_FALSE(it.range.contains(position(1)));
    }
}

#include <gtest/gtest.h>

#include <random>

#include <galenarock/shedthrottle.h>

using namespace Galenarock;

namespace
{
/// A server that takes `capacity` requests a second in equal distances and refuses the others.
struct Load
{
    double perSecond = 0;
    double capacity = 0;
    std::size_t offered = 0;
    std::size_t sent = 0;
    std::size_t taken = 0;
};

void play(ShedThrottle &throttle, Load &load, Instant &now, Duration duration)
{
    std::mt19937_64 random(5);
    const auto uniform = [&] {
        return static_cast<double>(random() >> 11) * 0x1p-53;
    };
    const auto end = now + duration;
    const auto step = duration_cast<Duration>(std::chrono::duration<double>(1 / load.perSecond));
    double room = 1;
    while (now < end) {
        now += step;
        ++load.offered;
        room = std::min(2.0, room + load.capacity / load.perSecond);
        const bool isHeldBack = uniform() < throttle.throttleProbability(now);
        if (isHeldBack) {
            throttle.throttled(now);
            continue;
        }
        ++load.sent;
        if (room >= 1) {
            room -= 1;
            ++load.taken;
            throttle.accepted(now);
            if (load.capacity > load.perSecond) {
                throttle.reset(); // its answer reports free slots
            }
        } else {
            throttle.refused(now);
        }
    }
}
}

// Pattern: a single key with 18 times what its owner can answer, seen by one of nine daemons. Sending everything would
// use up the owner's connections.
TEST(ShedThrottleTest, OverloadedOwnerGetsLittleMoreThanItTakes)
{
    ShedThrottle throttle;
    Instant now(seconds(100));
    Load load{50, 2.8};
    play(throttle, load, now, seconds(3));
    load = {50, 2.8};
    play(throttle, load, now, seconds(20));
    EXPECT_LT(load.sent, load.offered / 5);
    EXPECT_GT(static_cast<double>(load.taken), 0.8 * 20 * 2.8);
}

TEST(ShedThrottleTest, NothingIsRefusedBelowTheLimit)
{
    ShedThrottle throttle;
    Instant now(seconds(100));
    Load load{5, 8};
    play(throttle, load, now, seconds(20));
    EXPECT_EQ(load.sent, load.offered);
}

// After the load the key must be served again within a few seconds.
TEST(ShedThrottleTest, RefusalsEndSoonAfterTheLoad)
{
    ShedThrottle throttle;
    Instant now(seconds(100));
    Load load{50, 2.8};
    play(throttle, load, now, seconds(5));
    Load after{2, 8};
    play(throttle, after, now, seconds(3));
    EXPECT_LT(throttle.throttleProbability(now), 0.1);
}

// One refusal is chance and must not hold back requests.
TEST(ShedThrottleTest, SingleRefusalHoldsNothingBack)
{
    ShedThrottle throttle;
    const Instant now(seconds(100));
    throttle.accepted(now);
    throttle.refused(now);
    EXPECT_EQ(throttle.throttleProbability(now), 0);
}

// A part is always sent, since only an answer shows that the server has room again.
TEST(ShedThrottleTest, SomeRequestsAreAlwaysSent)
{
    ShedThrottle throttle;
    const Instant now(seconds(100));
    for (int n = 0; n < 1'000; ++n) {
        throttle.refused(now);
    }
    EXPECT_LE(throttle.throttleProbability(now), 0.9);
}

#include <gtest/gtest.h>

#include <random>

#include <galenarock/shedthrottle.h>

using namespace Galenarock;

namespace
{
/// Requests at a constant rate for a server that accepts `capacityPerSecond` requests per second, evenly spaced, and
/// refuses the others; and the counts of both sides.
struct Load
{
    double offeredPerSecond = 0;
    double capacityPerSecond = 0;
    std::size_t offered = 0;
    std::size_t sent = 0;
    std::size_t accepted = 0;
};

void runLoad(ShedThrottle &throttle, Load &load, Instant &now, Duration duration)
{
    std::mt19937_64 random(5);
    const auto uniform = [&] {
        return static_cast<double>(random() >> 11) * 0x1p-53;
    };
    const auto end = now + duration;
    const auto step = duration_cast<Duration>(std::chrono::duration<double>(1 / load.offeredPerSecond));
    double availableCapacity = 1;
    while (now < end) {
        now += step;
        ++load.offered;
        availableCapacity = std::min(2.0, availableCapacity + load.capacityPerSecond / load.offeredPerSecond);
        const bool isThrottled = uniform() < throttle.throttleProbability(now);
        if (isThrottled) {
            throttle.throttled(now);
            continue;
        }
        ++load.sent;
        if (availableCapacity >= 1) {
            availableCapacity -= 1;
            ++load.accepted;
            throttle.accepted(now);
            if (load.capacityPerSecond > load.offeredPerSecond) {
                throttle.reset(); // the answer reports free slots
            }
        } else {
            throttle.refused(now);
        }
    }
}
}

// Guards against sending all requests for an overloaded owner, which uses up its connections. The load is one of nine
// daemons' part of the requests for a single key, which are 18 times as many as its owner can answer.
TEST(ShedThrottleTest, OverloadedOwnerGetsLittleMoreThanItAccepts)
{
    ShedThrottle throttle;
    Instant now(seconds(100));
    Load load{50, 2.8};
    runLoad(throttle, load, now, seconds(3));
    load = {50, 2.8};
    runLoad(throttle, load, now, seconds(20));
    EXPECT_LT(load.sent, load.offered / 5);
    EXPECT_GT(static_cast<double>(load.accepted), 0.8 * 20 * 2.8);
}

// Guards against throttling requests for a server that is not overloaded.
TEST(ShedThrottleTest, NothingIsThrottledBelowCapacity)
{
    ShedThrottle throttle;
    Instant now(seconds(100));
    Load load{5, 8};
    runLoad(throttle, load, now, seconds(20));
    EXPECT_EQ(load.sent, load.offered);
}

// Guards against throttling that outlasts the overload: nearly all requests must be sent again within a few seconds.
TEST(ShedThrottleTest, ThrottlingEndsSoonAfterTheOverload)
{
    ShedThrottle throttle;
    Instant now(seconds(100));
    Load load{50, 2.8};
    runLoad(throttle, load, now, seconds(5));
    Load after{2, 8};
    runLoad(throttle, after, now, seconds(3));
    EXPECT_LT(throttle.throttleProbability(now), 0.1);
}

// Guards against throttling after a single refusal, which can be due to chance.
TEST(ShedThrottleTest, SingleRefusalDoesNotThrottle)
{
    ShedThrottle throttle;
    const Instant now(seconds(100));
    throttle.accepted(now);
    throttle.refused(now);
    EXPECT_EQ(throttle.throttleProbability(now), 0);
}

// Guards against throttling every request: without answers the daemon cannot detect that the server has free capacity
// again.
TEST(ShedThrottleTest, SomeRequestsAreAlwaysSent)
{
    ShedThrottle throttle;
    const Instant now(seconds(100));
    for (int n = 0; n < 1'000; ++n) {
        throttle.refused(now);
    }
    EXPECT_LE(throttle.throttleProbability(now), 0.9);
}

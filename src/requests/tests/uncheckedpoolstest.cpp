#include <gtest/gtest.h>

#include <galenarock/uncheckedpools.h>

using namespace Galenarock;

namespace
{
const Identity server{"report-1", 5};
const SliceRange low{0, 99};
const Instant start{seconds(10)};
}

// Guards against a move while a request for the slice is in flight, or may still run after its connection broke.
TEST(UncheckedPools, requestsInFlightOrBrokenMayRun)
{
    UncheckedPools pools;
    const auto answered = pools.enter("report", server, 7);
    const auto broken = pools.enter("report", server, 150);
    EXPECT_TRUE(pools.mayRun("report", server, low));
    EXPECT_FALSE(pools.mayRun("report", {"report-1", 6}, low));
    pools.leave(answered, false);
    EXPECT_FALSE(pools.mayRun("report", server, low));
    pools.leave(broken, true);
    EXPECT_TRUE(pools.mayRun("report", server, {100, 200}));
    pools.forget("report-1", 5);
    EXPECT_TRUE(pools.mayRun("report", server, {100, 200}));
    pools.forget("report-1", 6);
    EXPECT_FALSE(pools.mayRun("report", server, {100, 200}));
}

// Guards against sending without a send lease, or under one that has expired.
TEST(UncheckedPools, sendLeaseExpires)
{
    UncheckedPools pools;
    EXPECT_FALSE(pools.hasSendLease("report", start));
    pools.setSendLeaseEnd("report", start + seconds(1));
    EXPECT_TRUE(pools.hasSendLease("report", start));
    EXPECT_FALSE(pools.hasSendLease("report", start + seconds(1)));
}

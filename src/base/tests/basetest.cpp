#include <gtest/gtest.h>

#include <galenarock.h>

using namespace Galenarock;

// Guards against identities that lose their boot number, which would merge a restarted process with its predecessor.
TEST(Base, identityRoundTrip)
{
    const Identity identity{"vm-1", 42};
    EXPECT_EQ(parseIdentity(toString(identity)), identity);
    EXPECT_FALSE(parseIdentity("vm-1"));
    EXPECT_FALSE(parseIdentity("#3"));
    EXPECT_FALSE(parseIdentity("vm-1#3x"));
}

// Guards against a full ring that blocks or drops without counting.
TEST(Base, ringRejectsAndCountsWhenFull)
{
    Ring<int> ring(2);
    EXPECT_TRUE(ring.tryPush(1));
    EXPECT_TRUE(ring.tryPush(2));
    EXPECT_FALSE(ring.tryPush(3));
    EXPECT_EQ(ring.rejected(), 1u);
    int n = 0;
    EXPECT_TRUE(ring.tryPop(n));
    EXPECT_EQ(n, 1);
}

// Guards against quantiles that are off by more than a bucket's width of 5%.
TEST(Base, latencyHistogramQuantiles)
{
    LatencyHistogram histogram;
    for (int n = 1; n <= 1000; ++n) {
        histogram.record(n * 1e-3);
    }
    EXPECT_NEAR(histogram.quantile(0.5), 0.5, 0.03);
    EXPECT_NEAR(histogram.quantile(0.99), 0.99, 0.06);
}

// Guards against a reason table whose rows are out of order with the enum.
TEST(Requests, reasonTableMatchesEnum)
{
    for (std::size_t n = 0; n < reasonCount(); ++n) {
        EXPECT_EQ(static_cast<std::size_t>(reasonAt(n).reason), n);
        EXPECT_EQ(reasonFromCode(reasonAt(n).code), reasonAt(n).reason);
    }
}

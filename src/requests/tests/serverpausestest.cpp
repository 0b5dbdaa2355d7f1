#include <gtest/gtest.h>

#include <galenarock/serverpauses.h>

using namespace Galenarock;

namespace
{
const Instant Start(seconds(100));
const Identity Server{"i-1", 5};
}

// Guards against requests before the end of a pause, and against a server that is never used again.
TEST(ServerPauses, pauseLastsAsLongAsStated)
{
    SharedServerPauses pauses;
    EXPECT_FALSE(pauses.hasPauses());
    pauses.refused(Start, Server, milliseconds(1'500));
    EXPECT_EQ(pauses.pausedUntil(Start + milliseconds(1'499), Server), Start + milliseconds(1'500));
    EXPECT_LE(pauses.pausedUntil(Start + milliseconds(1'500), Server), Start + milliseconds(1'500));
    EXPECT_FALSE(pauses.hasPauses());
}

// Guards against a later, shorter statement that ends a pause that the server still wants.
TEST(ServerPauses, shorterPauseDoesNotEndALongerOne)
{
    SharedServerPauses pauses;
    pauses.refused(Start, Server, seconds(5));
    pauses.refused(Start, Server, seconds(1));
    EXPECT_EQ(pauses.pausedUntil(Start, Server), Start + seconds(5));
}

// Guards against a pause that the next process of the server, or another server, inherits.
TEST(ServerPauses, pauseHoldsForOneProcess)
{
    SharedServerPauses pauses;
    pauses.refused(Start, Server, seconds(5));
    EXPECT_EQ(pauses.pausedUntil(Start, {"i-1", 6}), Start);
    EXPECT_EQ(pauses.pausedUntil(Start, {"i-2", 5}), Start);
}

// Guards against a server that is lost for good by an absurd value.
TEST(ServerPauses, longestPauseIsBounded)
{
    SharedServerPauses pauses;
    pauses.refused(Start, Server, seconds(1'000'000));
    EXPECT_EQ(pauses.pausedUntil(Start, Server), Start + MaxServerPause);
}

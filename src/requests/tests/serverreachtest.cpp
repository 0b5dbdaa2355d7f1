#include <gtest/gtest.h>

#include <galenarock/serverreach.h>

using namespace Galenarock;

namespace
{
const Identity A{"s-a", 1};
const Identity B{"s-b", 1};

Instant at(int ms)
{
    return Instant(seconds(100)) + milliseconds(ms);
}
}

// Guards against a VM that goes on trying servers that it cannot reach, and its callers fail (RECOVER).
TEST(ServerReachTest, FailuresAtSeveralServersWithoutAnAnswerMeanThatTheVmIsCutOff)
{
    ServerReach reach;
    reach.answered(at(0));
    reach.failed(at(300), A);
    reach.failed(at(310), B);
    EXPECT_FALSE(reach.isCutOff());
    reach.failed(at(450), A);
    EXPECT_TRUE(reach.isCutOff());
    reach.answered(at(900));
    EXPECT_FALSE(reach.isCutOff());
}

// Guards against a crashed server that looks like a partition of this VM.
TEST(ServerReachTest, OneServerThatIsDownSaysNothingAboutTheVm)
{
    ServerReach reach;
    reach.answered(at(0));
    for (int n = 0; n < 20; ++n) {
        reach.failed(at(500 + n), A);
    }
    EXPECT_FALSE(reach.isCutOff());
}

// Guards against crashed servers that look like a partition although others answer.
TEST(ServerReachTest, AnswersOfOtherServersKeepTheVmConnected)
{
    ServerReach reach;
    for (int n = 0; n < 20; ++n) {
        reach.failed(at(100 * n), A);
        reach.failed(at(100 * n + 10), B);
        reach.answered(at(100 * n + 20));
    }
    EXPECT_FALSE(reach.isCutOff());
}

// Guards against a VM that never finds out that its links work again, and against one that tries with each request.
TEST(ServerReachTest, ProbesAreAllowedFromTimeToTime)
{
    ServerReach reach;
    for (const auto *it : {&A, &B, &A}) {
        reach.failed(at(0), *it);
    }
    ASSERT_TRUE(reach.isCutOff());
    EXPECT_FALSE(reach.takeProbe(at(100)));
    EXPECT_TRUE(reach.takeProbe(at(600)));
    EXPECT_FALSE(reach.takeProbe(at(700)));
    EXPECT_TRUE(reach.takeProbe(at(1'200)));
}

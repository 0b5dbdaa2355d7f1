#include <gtest/gtest.h>

#include <random>

#include <galenarock/silence.h>

using namespace Galenarock;

namespace
{
const Instant Begin = Instant() + seconds(1'000);
const Identity Full{"s-1", 1};
const QueueMet Idle{0, 4};
const QueueMet Queued{6, 4};

SilentAttempt silenceSince(Instant sentAt)
{
    return {Full, sentAt, Queued, true};
}

void addAnswers(SilenceWatch &watch, std::size_t n, Duration latency, const QueueMet &queue = Idle)
{
    for (std::size_t it = 0; it < n; ++it) {
        watch.answered(Begin, {"s-2", 1}, queue, latency, false);
    }
}
}

// Guards against cutting off attempts of a service of which too little is known.
TEST(SilenceWatchTest, NoBoundWithFewAnswers)
{
    SilenceWatch watch;
    addAnswers(watch, SilenceWatch::minAnswers - 1, milliseconds(100));
    EXPECT_FALSE(watch.bound(Idle));
    addAnswers(watch, 1, milliseconds(100));
    EXPECT_TRUE(watch.bound(Idle));
}

// Guards against a bound that a lost packet or a short pause exceeds, when the service answers within milliseconds.
TEST(SilenceWatchTest, BoundIsNeverBelowTheMinimum)
{
    SilenceWatch watch;
    addAnswers(watch, SilenceWatch::minAnswers, milliseconds(2));
    EXPECT_EQ(watch.bound(Idle), SilenceWatch::minBound);
}

// Guards against taking the service's slow requests for silent ones: 3% take seven times as long.
TEST(SilenceWatchTest, BoundCoversSlowRequests)
{
    SilenceWatch watch;
    for (int n = 0; n < 300; ++n) {
        watch.answered(Begin, Full, Idle, milliseconds(n % 33 == 0 ? 770 : 110), false);
    }
    ASSERT_TRUE(watch.bound(Idle));
    EXPECT_GT(*watch.bound(Idle), milliseconds(770));
    EXPECT_LT(*watch.bound(Idle), milliseconds(1'000));
}

// Guards against cutting off requests that only wait in a queue, also one longer than any met before.
TEST(SilenceWatchTest, BoundGrowsWithTheQueue)
{
    SilenceWatch watch;
    addAnswers(watch, SilenceWatch::minAnswers, milliseconds(400));
    EXPECT_EQ(watch.bound(Idle), milliseconds(500));
    EXPECT_GE(watch.bound({15, 4}), milliseconds(4 * 400));
    addAnswers(watch, SilenceWatch::minAnswers, milliseconds(900), {15, 4});
    EXPECT_EQ(watch.bound({15, 4}), milliseconds(1'125));
}

// Guards against a bound that falls again and again, because the answers that it cuts off are missing from the
// percentile. Latencies are exponentially distributed with a mean of 200 ms, their 99th percentile is 921 ms.
TEST(SilenceWatchTest, BoundDoesNotFallByItsOwnCuts)
{
    SilenceWatch watch;
    std::mt19937_64 random(7);
    std::exponential_distribution<double> latencySeconds(5);
    int cuts = 0;
    constexpr int requests = 20'000;
    for (int n = 0; n < requests; ++n) {
        const auto latency = duration_cast<Duration>(std::chrono::duration<double>(latencySeconds(random)));
        const auto bound = watch.bound(Idle);
        if (bound && latency > *bound) {
            ++cuts;
        } else {
            watch.answered(Begin, Full, Idle, latency, false);
        }
    }
    EXPECT_GT(watch.bound(Idle), milliseconds(750));
    EXPECT_LT(cuts, requests / 50);
}

// Guards against a service that is served differently although its servers have not shown the pattern: two silences,
// or three over a longer time.
TEST(SilenceWatchTest, ShownOnlyByThreeSilencesWithinTheWindow)
{
    SilenceWatch watch;
    auto now = Begin;
    const auto addSilence = [&] {
        watch.answered(now, Full, Queued, milliseconds(100), false);
        EXPECT_TRUE(watch.silent(now, silenceSince(now - milliseconds(500))));
    };
    addSilence();
    addSilence();
    EXPECT_FALSE(watch.isShown(now));
    now += SilenceWatch::signWindow + milliseconds(1);
    addSilence();
    EXPECT_FALSE(watch.isShown(now));
    addSilence();
    addSilence();
    EXPECT_TRUE(watch.isShown(now));
    EXPECT_FALSE(watch.isShown(now + SilenceWatch::shownFor));
}

// Guards against taking a machine that is lost or suspended for a full server: it answers no other request.
TEST(SilenceWatchTest, SilenceOfAServerThatAnswersNothingIsNoSign)
{
    SilenceWatch watch;
    watch.answered(Begin, Full, Queued, milliseconds(100), true);
    for (int n = 0; n < 10; ++n) {
        EXPECT_FALSE(watch.silent(Begin + seconds(1), silenceSince(Begin + milliseconds(1))));
    }
    EXPECT_FALSE(watch.isShown(Begin + seconds(1)));
}

// Guards against taking a request that hangs for a full server, when the server has free slots.
TEST(SilenceWatchTest, SilenceWithoutAQueueIsNoSign)
{
    SilenceWatch watch;
    auto attempt = silenceSince(Begin);
    attempt.queue = Idle;
    watch.answered(Begin + milliseconds(1), Full, Idle, milliseconds(100), false);
    EXPECT_FALSE(watch.silent(Begin + seconds(1), attempt));
    // This VM may know of the queue only from the answers: others fill it.
    watch.answered(Begin + milliseconds(2), Full, Idle, milliseconds(100), true);
    EXPECT_TRUE(watch.silent(Begin + seconds(1), attempt));
}

// Guards against a pattern that slow answers show: an attempt that may still be answered is no proof.
TEST(SilenceWatchTest, RunningAttemptsProlongThePatternButDoNotBeginIt)
{
    SilenceWatch watch;
    auto attempt = silenceSince(Begin);
    attempt.hasEnded = false;
    watch.answered(Begin + milliseconds(1), Full, Queued, milliseconds(100), false);
    for (int n = 0; n < 10; ++n) {
        EXPECT_TRUE(watch.silent(Begin + seconds(1), attempt));
    }
    EXPECT_FALSE(watch.isShown(Begin + seconds(1)));
    attempt.hasEnded = true;
    for (std::size_t n = 0; n < SilenceWatch::signsToShow; ++n) {
        watch.silent(Begin + seconds(1), attempt);
    }
    attempt.hasEnded = false;
    watch.silent(Begin + seconds(30), attempt);
    EXPECT_TRUE(watch.isShown(Begin + seconds(80)));
}

// Guards against memory that grows with each restart of a server.
TEST(SilenceWatchTest, ManyRestartsDoNotHideALiveServer)
{
    SilenceWatch watch;
    for (std::uint64_t n = 0; n < 5'000; ++n) {
        watch.answered(Begin + seconds(n), {"s-3", n}, Idle, milliseconds(100), false);
    }
    const auto now = Begin + seconds(5'000);
    watch.answered(now, Full, Queued, milliseconds(100), false);
    EXPECT_TRUE(watch.silent(now, silenceSince(now - milliseconds(500))));
}

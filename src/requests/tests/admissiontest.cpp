#include <gtest/gtest.h>

#include <galenarock/admission.h>

using namespace Galenarock;

namespace
{
Instant at(int ms)
{
    return Instant(milliseconds(1'000'000 + ms));
}

ServiceDocument document(std::uint32_t queueLength = 3)
{
    ServiceDocument document;
    document.requests.queueLength = queueLength;
    return document;
}

AdmissionRequest request(std::uint64_t ticket, TrafficClass trafficClass = TrafficClass::Read,
                         std::uint32_t priority = 5, int deadlineMs = 2'000)
{
    return {ticket, trafficClass, priority, at(deadlineMs), noServer};
}

bool any(const AdmissionRequest & /*request*/)
{
    return true;
}
}

// Guards against uploads that delay more urgent requests, and against a full queue that refuses an urgent request
// while it keeps a less urgent one.
TEST(Admission, urgentRequestsComeFirst)
{
    Admission admission(document(), 1);
    EXPECT_FALSE(admission.offer(at(0), request(1, TrafficClass::Upload, 0), 1).refusal);
    EXPECT_FALSE(admission.offer(at(0), request(2), 1).refusal);
    EXPECT_FALSE(admission.offer(at(0), request(3, TrafficClass::Order, 2), 1).refusal);
    const auto decision = admission.offer(at(0), request(4), 1);
    EXPECT_FALSE(decision.refusal);
    ASSERT_TRUE(decision.displaced);
    EXPECT_EQ(decision.displaced->request.ticket, 1u);
    EXPECT_EQ(decision.displaced->refusal.reason, Reason::QueueFull);
    EXPECT_EQ(admission.offer(at(0), request(5), 1).refusal->reason, Reason::QueueFull);
    std::vector<DroppedRequest> dropped;
    for (const std::uint64_t it : {3, 2, 4}) {
        EXPECT_EQ(admission.next(at(0), any, dropped)->ticket, it);
    }
    EXPECT_FALSE(admission.next(at(0), any, dropped));
}

// Guards against queueing requests that cannot finish in time, and against sending them late.
TEST(Admission, requestsThatCannotFinishInTimeAreRefused)
{
    Admission admission(document(100), 1);
    admission.finished(at(0), milliseconds(100));
    for (std::uint64_t n = 0; n < 5; ++n) {
        EXPECT_FALSE(admission.offer(at(0), request(n), 1).refusal);
    }
    EXPECT_EQ(admission.offer(at(0), request(9, TrafficClass::Read, 5, 950), 1).refusal->reason,
              Reason::DeadlineTooShort)
        << "more than half of the time in the queue";
    const auto refusal = admission.offer(at(0), request(9, TrafficClass::Read, 5, 550), 1).refusal;
    ASSERT_TRUE(refusal);
    EXPECT_EQ(refusal->reason, Reason::DeadlineTooShort);
    EXPECT_EQ(refusal->outcome, Outcome::NotRun);
    EXPECT_EQ(refusal->untilMs, 500);
    EXPECT_FALSE(admission.offer(at(0), request(9, TrafficClass::Read, 5, 550), 4).refusal);
    EXPECT_EQ(admission.offer(at(0), request(10), 0).refusal->reason, Reason::NoServer);
    std::vector<DroppedRequest> dropped;
    admission.dropLate(at(540), dropped);
    ASSERT_EQ(dropped.size(), 1u);
    EXPECT_EQ(dropped[0].request.ticket, 9u);
    EXPECT_TRUE(admission.cancel(4));
    EXPECT_EQ(admission.queued(), 4u);
}

// Guards against a standing queue, which delays every request without raising throughput.
TEST(Admission, standingQueueIsKeptShort)
{
    Admission admission(document(100), 1);
    admission.finished(at(0), milliseconds(100));
    EXPECT_FALSE(admission.offer(at(0), request(1), 1).refusal);
    for (std::uint64_t n = 2; n < 6; ++n) {
        EXPECT_FALSE(admission.offer(at(0), request(n), 1).refusal);
    }
    admission.finished(at(1'000), milliseconds(100));
    EXPECT_EQ(admission.offer(at(1'000), request(9, TrafficClass::Read, 5, 3'000), 1).refusal->reason,
              Reason::DeadlineTooShort);
    std::vector<DroppedRequest> dropped;
    while (admission.next(at(1'000), any, dropped)) {}
    EXPECT_FALSE(admission.offer(at(1'000), request(9, TrafficClass::Read, 5, 3'000), 1).refusal);
}

// Guards against refusing every request forever after one slow period, because the estimated service time stays above
// the deadline.
TEST(Admission, estimateRecoversWithoutAnswers)
{
    Admission admission(document(), 1);
    admission.finished(at(0), seconds(5));
    EXPECT_TRUE(admission.offer(at(0), request(1), 1).refusal);
    EXPECT_FALSE(admission.offer(at(4'000), request(1, TrafficClass::Read, 5, 6'000), 1).refusal);
}

// Guards against one owner's backlog blocking or refusing requests for other owners.
TEST(Admission, keyedQueuesDoNotBlockEachOther)
{
    Admission admission(document(100), 1);
    admission.finished(at(0), milliseconds(500));
    for (std::uint64_t n = 0; n < 3; ++n) {
        auto busy = request(n);
        busy.server = 1;
        EXPECT_FALSE(admission.offer(at(0), busy, 1).refusal);
    }
    auto other = request(7, TrafficClass::Read, 5, 700);
    other.server = 2;
    EXPECT_FALSE(admission.offer(at(0), other, 1).refusal);
    std::vector<DroppedRequest> dropped;
    const auto next = admission.next(
        at(0), [](const AdmissionRequest &it) { return it.server == 2; }, dropped);
    ASSERT_TRUE(next);
    EXPECT_EQ(next->ticket, 7u);
}

// Guards against a fixed limit that is not divided among daemons, or whose refusal has no retry time.
TEST(Admission, fixedLimitIsDividedAmongDaemons)
{
    auto limited = document(1'000);
    limited.limits.requestsPerSecond = 100;
    Admission admission(limited, 10);
    for (std::uint64_t n = 0; n < 10; ++n) {
        EXPECT_FALSE(admission.offer(at(0), request(n), 1).refusal);
    }
    const auto refusal = admission.offer(at(0), request(11), 1).refusal;
    ASSERT_TRUE(refusal);
    EXPECT_EQ(refusal->reason, Reason::RateLimit);
    EXPECT_EQ(refusal->untilMs, 100);
    EXPECT_FALSE(admission.offer(at(100), request(11), 1).refusal);
    admission.configure(at(100), limited, 1);
    EXPECT_FALSE(admission.offer(at(110), request(12), 1).refusal);
}

// Guards against a surge that raises its own cap, a window that counts refused requests, a cap below the floor, and
// refusals before one window is complete.
TEST(RecentUseGuard, capFollowsBusiestCompleteWindow)
{
    RecentUseGuard guard({2, 1, seconds(10), 3});
    const auto admitted = [&](int fromMs, int count) {
        int n = 0;
        for (int i = 0; i < count; ++i) {
            n += guard.admit(at(fromMs)) ? 0 : 1;
        }
        return n;
    };
    EXPECT_EQ(admitted(0, 100), 100) << "no window is complete yet";
    EXPECT_EQ(admitted(10'000, 1'000), 200);
    EXPECT_EQ(guard.admit(at(13'000)), Duration(milliseconds(7'000)));
    EXPECT_EQ(admitted(20'000, 1'000) + admitted(29'999, 1'000), 400) << "the capped window counts 200, not 1000";
    EXPECT_EQ(admitted(100'000, 1'000), 1) << "after idle windows only the floor is left, one a second";
    EXPECT_EQ(guard.admit(at(100'400)), Duration(milliseconds(600)));
    EXPECT_FALSE(guard.admit(at(101'000)));
}

// Guards against admitting a surge up to the whole cap at the start of the window.
TEST(RecentUseGuard, capIsSpreadOverTheWindow)
{
    RecentUseGuard guard({2, 1, seconds(10), 3});
    for (int ms = 0; ms < 10'000; ms += 100) {
        EXPECT_FALSE(guard.admit(at(ms)));
    }
    int first = 0;
    int all = 0;
    for (int ms = 10'000; ms < 20'000; ++ms) {
        all += guard.admit(at(ms)) ? 0 : 1;
        first += ms == 10'999 ? all : 0;
    }
    EXPECT_EQ(first, 39) << "a burst of 20 and the rate of 20 per second";
    EXPECT_EQ(all, 200);
}

// Guards against a runaway caller that uses up the caps of others, against a new caller without a cap, and against a
// table that grows with the number of callers.
TEST(CallerGuards, callersAreCappedSeparately)
{
    CallerGuards guards({2, 1, seconds(10), 3});
    const auto admitted = [&](int ms, std::uint64_t caller, int count) {
        int n = 0;
        for (int i = 0; i < count; ++i) {
            n += guards.admit(at(ms), caller) ? 0 : 1;
        }
        return n;
    };
    EXPECT_EQ(admitted(0, 1, 20), 20);
    EXPECT_EQ(admitted(0, 2, 20), 20);
    EXPECT_EQ(admitted(10'000, 1, 500), 40);
    EXPECT_EQ(admitted(10'000, 2, 30), 30);
    EXPECT_EQ(admitted(10'000, 3, 500), 1) << "a new caller has the floor";
    for (std::uint64_t caller = 10; caller < 10 + CallerGuards::maxCallers; ++caller) {
        admitted(10'001, caller, 1);
    }
    EXPECT_EQ(guards.cap(1), std::numeric_limits<double>::infinity()) << "the least recently seen caller is evicted";
}

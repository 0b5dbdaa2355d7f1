#include <gtest/gtest.h>

#include "proxy/tests/workerfixture.h"

using namespace Galenarock;

namespace
{
constexpr char StatusStop[] = "HTTP/1.1 503";
constexpr char Post[] = "POST /a/1 HTTP/1.1\r\nHost: shop.example\r\nRequest: r-1\r\nContent-Length: 3\r\n\r\nabc";

/// A worker of a VM that is stopping. The route's timeout is 10 s.
class PlannedStopTest : public WorkerTest
{
protected:
    PlannedStopTest()
    {
        repeatability = Repeatability::AtMostOnce;
    }
    /// The VM sends its last answer in this time.
    void stopWithin(Duration time)
    {
        shared.setLastAnswerAt(MonotonicClock::now() + time);
        shared.setDraining();
    }
    bool isAnswered(RawCaller &caller)
    {
        return runUntil([&] { return caller.received().find("\r\n\r\n") != std::string::npos; });
    }
};
}

// A non-idempotent request comes over a kept connection late in a planned stop. Guards against passing it on to a
// server and cutting it at the end of the stop, after it may have run (LOST).
TEST_F(PlannedStopTest, RequestThatMayOutlastTheStopIsRefusedAsNotRun)
{
    RawServer server([](int, const std::string &) { return SmallAnswer; });
    setRoutes({server.address()}, Distribution::Balanced);
    listen();
    RawCaller caller(worker.address());
    stopWithin(seconds(3));
    caller.send(Post);
    ASSERT_TRUE(isAnswered(caller));
    EXPECT_EQ(caller.received().rfind(StatusStop, 0), 0U) << caller.received();
    EXPECT_NE(caller.received().find("Connection: close"), std::string::npos) << caller.received();
    EXPECT_NE(caller.received().find("\"not-run\""), std::string::npos) << caller.received();
    EXPECT_EQ(attempts(), 0U);
}

// Guards against refusing requests that end before the VM does.
TEST_F(PlannedStopTest, RequestThatEndsBeforeTheStopIsServed)
{
    RawServer server([](int, const std::string &) { return SmallAnswer; });
    setRoutes({server.address()}, Distribution::Balanced);
    listen();
    RawCaller caller(worker.address());
    stopWithin(seconds(60));
    caller.send(Post);
    ASSERT_TRUE(isAnswered(caller));
    EXPECT_EQ(caller.received().rfind("HTTP/1.1 200", 0), 0U) << caller.received();
    EXPECT_NE(caller.received().find("Connection: close"), std::string::npos) << caller.received();
}

// Guards against waiting for the body of an upload that is refused in the end.
TEST_F(PlannedStopTest, UploadIsRefusedBeforeItsBodyHasArrived)
{
    setRoutes({"127.0.0.1:1"}, Distribution::Balanced);
    listen();
    RawCaller caller(worker.address());
    stopWithin(seconds(3));
    caller.send("POST /a/1 HTTP/1.1\r\nHost: shop.example\r\nRequest: r-1\r\nContent-Length: 9000000\r\n\r\nabc");
    ASSERT_TRUE(isAnswered(caller));
    EXPECT_EQ(caller.received().rfind(StatusStop, 0), 0U) << caller.received();
}

// A request waits for an owner of its key when the stop begins. Guards against sending it late in the stop.
TEST_F(PlannedStopTest, WaitingRequestIsRefusedWhenTheStopBegins)
{
    RawServer server([](int, const std::string &) { return SmallAnswer; });
    setRoutes({server.address()}, Distribution::Keyed, false);
    listen();
    RawCaller caller(worker.address());
    caller.send(Post);
    ASSERT_TRUE(runUntil([&] { return shared.inFlight().load() == 1; }));
    worker.runOnce();
    stopWithin(seconds(3));
    setRoutes({server.address()}, Distribution::Keyed);
    ASSERT_TRUE(isAnswered(caller));
    EXPECT_EQ(caller.received().rfind(StatusStop, 0), 0U) << caller.received();
    EXPECT_EQ(attempts(), 0U);
}

// A server closes the connection during the stop after it has received an idempotent request. Guards against a retry
// that is cut at the end of the stop, and against calling a request that may have run not run.
TEST_F(PlannedStopTest, RetryThatMayOutlastTheStopIsNotSent)
{
    repeatability = Repeatability::Idempotent;
    shared.setRetryLimits({100, 100});
    RawServer server([this](int, const std::string &) {
        stopWithin(seconds(3));
        return "";
    });
    setRoutes({server.address()}, Distribution::Balanced);
    listen();
    RawCaller caller(worker.address());
    caller.send(Get);
    ASSERT_TRUE(isAnswered(caller));
    EXPECT_EQ(caller.received().rfind("HTTP/1.1 502", 0), 0U) << caller.received();
    EXPECT_NE(caller.received().find("\"stopping\""), std::string::npos) << caller.received();
    EXPECT_EQ(attempts(), 1U);
}

// Guards against resetting connections that the kernel has accepted, with their requests in it, when a stopping VM
// closes its listening socket (LOST).
TEST_F(PlannedStopTest, ConnectionsThatWaitToBeAcceptedAreServed)
{
    RawServer server([](int, const std::string &) { return SmallAnswer; }, RawServer::AfterAnswer::Close);
    setRoutes({server.address()}, Distribution::Balanced);
    listen();
    RawCaller first(worker.address());
    RawCaller second(worker.address());
    first.send(Post);
    second.send(Post);
    stopWithin(seconds(60));
    worker.quiesce();
    ASSERT_TRUE(isAnswered(first));
    EXPECT_EQ(first.received().rfind("HTTP/1.1 200", 0), 0U) << first.received();
    ASSERT_TRUE(isAnswered(second));
    EXPECT_EQ(second.received().rfind("HTTP/1.1 200", 0), 0U) << second.received();
}

// Guards against an idle connection that is closed with a request in it that was not read yet.
TEST_F(PlannedStopTest, RequestThatCrossesTheEndOfTheIdleTimeIsServed)
{
    RawServer server([](int, const std::string &) { return SmallAnswer; });
    setRoutes({server.address()}, Distribution::Balanced);
    listen();
    RawCaller caller(worker.address());
    ASSERT_TRUE(runUntil([&] { return worker.connectionCount() == 1; }));
    stopWithin(seconds(60));
    worker.closeIdle();
    for (int n = 0; n < 8; ++n) {
        stall(); // together longer than the idle time of a stopping VM
    }
    caller.send(Post);
    ASSERT_TRUE(isAnswered(caller));
    EXPECT_EQ(caller.received().rfind("HTTP/1.1 200", 0), 0U) << caller.received();
}

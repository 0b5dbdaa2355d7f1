#include <atomic>

#include "proxy/callerbudget_p.h"
#include "proxy/peerauth_p.h"
#include "proxy/tests/workerfixture.h"

using namespace Galenarock;

namespace
{
constexpr std::size_t BudgetBytes = 1 << 20;
constexpr std::size_t MaxConnections = 2;

/// A worker with a budget that the test exhausts.
class GivingWayWorkerTest : public WorkerTest
{
protected:
    void listenWithBudget()
    {
        ListenerSettings settings{"127.0.0.1:0"};
        settings.budget = budget;
        ASSERT_TRUE(worker.listen(settings));
        worker.runOnce();
    }
    void exhaust()
    {
        other.set(BudgetBytes + 1);
    }
    std::uint64_t ended(const std::string &cause)
    {
        return metrics.counter("galenarock_callers_ended_total", fmt::format("cause=\"{}\"", cause)).value();
    }
    static bool hasHead(RawCaller &caller)
    {
        return caller.received().find("\r\n\r\n") != std::string::npos;
    }

    std::shared_ptr<CallerBudget> budget =
        std::make_shared<CallerBudget>(CallerBounds{BudgetBytes, BudgetBytes, MaxConnections});
    /// What callers of another worker hold.
    CallerBudget::Share other{budget};
    static constexpr char Part[] =
        "POST /a/1 HTTP/1.1\r\nHost: shop.example\r\nRequest: r-1\r\nContent-Length: 100\r\n\r\npart";
};

// Guards against an answer that leaves open whether a request has run that no server was sent, and against a body that
// is sent to a server after the refusal.
TEST_F(GivingWayWorkerTest, UnsentRequestIsRefusedAsNotRun)
{
    RawServer server([](int, const std::string &) { return SmallAnswer; });
    setRoutes({server.address()}, Distribution::Balanced);
    listenWithBudget();
    RawCaller caller(worker.address());
    caller.send(Part);
    ASSERT_TRUE(runUntil([&] { return shared.inFlight().load() == 1; }));
    exhaust();
    ASSERT_TRUE(runUntil([&] { return hasHead(caller); }));
    EXPECT_EQ(caller.received().compare(0, 12, "HTTP/1.1 503"), 0) << caller.received();
    EXPECT_NE(caller.received().find("Connection: close"), std::string::npos) << caller.received();
    EXPECT_EQ(shared.inFlight().load(), 0);
    EXPECT_EQ(attempts(), 0U);
    EXPECT_EQ(ended("memory"), 1U);
}

// Guards against the statement that a request has not run that a server was sent, and against an attempt that goes on.
TEST_F(GivingWayWorkerTest, SentRequestIsCancelledWithoutAStatement)
{
    repeatability = Repeatability::AtMostOnce;
    std::atomic<bool> mayAnswer{false};
    RawServer server([&](int, const std::string &) {
        while (!mayAnswer) {
            stall();
        }
        return SmallAnswer;
    });
    setRoutes({server.address()}, Distribution::Balanced);
    listenWithBudget();
    RawCaller caller(worker.address());
    caller.send(Get);
    ASSERT_TRUE(runUntil([&] { return server.requests() == 1; }));
    exhaust();
    const bool hasAnswer = runUntil([&] { return hasHead(caller); });
    mayAnswer = true;
    ASSERT_TRUE(hasAnswer);
    EXPECT_EQ(caller.received().compare(0, 12, "HTTP/1.1 502"), 0) << caller.received();
    EXPECT_EQ(shared.inFlight().load(), 0);
    EXPECT_EQ(attempts(), 1U);
}

// Guards against ordinary requests that are refused although what exceeded the budget has ended.
TEST_F(GivingWayWorkerTest, RequestsAreServedWhenThereIsRoomAgain)
{
    RawServer server([](int, const std::string &) { return SmallAnswer; });
    setRoutes({server.address()}, Distribution::Balanced);
    listenWithBudget();
    exhaust();
    RawCaller refused(worker.address());
    refused.send(Part);
    EXPECT_TRUE(runUntil([&] { return ended("memory") == 1; }));
    other.set(0);
    EXPECT_EQ(answerToRequest(0).compare(0, 12, "HTTP/1.1 200"), 0);
}

// Guards against connections without requests that keep new callers out, and against requests that give way to them.
TEST_F(GivingWayWorkerTest, IdleConnectionMakesRoomForANewOne)
{
    RawServer server([](int, const std::string &) { return SmallAnswer; });
    setRoutes({server.address()}, Distribution::Balanced);
    listenWithBudget();
    RawCaller working(worker.address());
    working.send(Part);
    ASSERT_TRUE(runUntil([&] { return shared.inFlight().load() == 1; }));
    RawCaller idle(worker.address());
    ASSERT_TRUE(runUntil([&] { return worker.connectionCount() == MaxConnections; }));
    EXPECT_EQ(answerToRequest(0).compare(0, 12, "HTTP/1.1 200"), 0);
    EXPECT_EQ(ended("connections"), 1U);
    EXPECT_EQ(worker.connectionCount(), MaxConnections);
    working.send(std::string(96, 'p'));
    EXPECT_TRUE(runUntil([&] { return hasHead(working); }));
    EXPECT_EQ(working.received().compare(0, 12, "HTTP/1.1 200"), 0) << working.received();
}

// Guards against memory without a bound for bodies that look like grants of other daemons and that nobody has
// authenticated.
TEST_F(GivingWayWorkerTest, UnauthenticatedGrantsAreBounded)
{
    listenWithBudget();
    RawCaller caller(worker.address());
    caller.send(fmt::format("POST {} HTTP/1.1\r\nHost: a\r\n{}: x\r\nContent-Length: 8000000\r\n\r\n", PeerGrantsPath,
                            PeerAuthHeader));
    const std::string piece(65'536, 'g');
    for (std::size_t n = 0; n < 24 && !hasHead(caller); ++n) {
        caller.send(piece);
        worker.runOnce();
        worker.runOnce();
    }
    ASSERT_TRUE(runUntil([&] { return hasHead(caller); }));
    EXPECT_NE(caller.received().compare(0, 12, "HTTP/1.1 200"), 0);
    EXPECT_EQ(shared.inFlight().load(), 0);
}
}

#include "proxy/tests/workerfixture.h"

using namespace Galenarock;

namespace
{
constexpr char BusyAnswer[] = "HTTP/1.1 503 Busy\r\nRequest: r-1\r\nContent-Length: 2\r\n\r\nno";

class EvacuationTest : public WorkerTest
{
protected:
    EvacuationTest()
    {
        // Enough for a retry of each request.
        shared.setRetryLimits({100, 100});
    }

    static void expectRefusal(const std::string &answer)
    {
        EXPECT_EQ(answer.compare(0, 12, "HTTP/1.1 503"), 0) << answer;
        EXPECT_NE(answer.find("\"evacuated\""), std::string::npos) << answer;
        EXPECT_NE(answer.find("not-run"), std::string::npos) << answer;
    }

    static constexpr int Requests = 10;
};
}

// Guards against requests to a server of an evacuated domain, also as the last one that has not been tried.
TEST_F(EvacuationTest, RetriesLeaveOutTheDomain)
{
    RawServer evacuated([](int, const std::string &) { return SmallAnswer; });
    RawServer busy([](int, const std::string &) { return BusyAnswer; });
    failureDomains = {"rioja", "navarra"};
    closedDomains = {"rioja"};
    setRoutes({evacuated.address(), busy.address()}, Distribution::Balanced);
    listen();
    for (int n = 0; n < Requests; ++n) {
        EXPECT_EQ(answerToRequest(n).compare(0, 12, "HTTP/1.1 503"), 0);
    }
    EXPECT_EQ(evacuated.requests(), 0);
    EXPECT_GT(attempts(), 1U * Requests) << "no retries";
}

// The evacuation begins between two attempts of a request. Guards against the choice by the routes of the first one.
TEST_F(EvacuationTest, RetryAfterTheStartLeavesOutTheDomain)
{
    RawServer evacuated([](int, const std::string &) { return BusyAnswer; });
    setRoutes({evacuated.address()}, Distribution::Balanced);
    listen();
    RawCaller caller(worker.address());
    caller.send(Get);
    ASSERT_TRUE(runUntil([&] { return attempts() == 1; }));
    closedDomains = {"rioja"};
    setRoutes({evacuated.address()}, Distribution::Balanced);
    EXPECT_TRUE(runUntil([&] { return caller.received().find("\r\n\r\n") != std::string::npos; }));
    expectRefusal(caller.received());
    EXPECT_EQ(evacuated.requests(), 1);
}

// Guards against requests that are sent to, or wait for, a service none of whose servers may get them. A request that
// waits for an owner is refused after 500 ms; the fastest of several refusals counts, since the machine may be busy.
TEST_F(EvacuationTest, RequestsAreRefusedAtOnceWithoutAnotherDomain)
{
    RawServer server([](int, const std::string &) { return SmallAnswer; });
    closedDomains = {"rioja"};
    listen();
    for (const auto it : {Distribution::Balanced, Distribution::Keyed}) {
        setRoutes({server.address()}, it);
        auto fastest = Duration::max();
        for (int n = 0; n < Requests; ++n) {
            const auto startedAt = MonotonicClock::now();
            expectRefusal(answerToRequest(n));
            fastest = std::min(fastest, MonotonicClock::now() - startedAt);
        }
        EXPECT_LT(fastest, milliseconds(300));
    }
    EXPECT_EQ(server.requests(), 0);
}

// A request waits for the owner of its key when the last domain is evacuated. Guards against a wait until its deadline.
TEST_F(EvacuationTest, WaitingRequestIsRefusedWhenTheLastDomainIsEvacuated)
{
    RawServer server([](int, const std::string &) { return SmallAnswer; });
    setRoutes({server.address()}, Distribution::Keyed, false);
    listen();
    RawCaller caller(worker.address());
    caller.send(Get);
    ASSERT_TRUE(runUntil([&] { return shared.inFlight().load() == 1; }));
    worker.runOnce();
    closedDomains = {"rioja"};
    setRoutes({server.address()}, Distribution::Keyed, false);
    EXPECT_TRUE(runUntil([&] { return caller.received().find("\r\n\r\n") != std::string::npos; }));
    expectRefusal(caller.received());
    EXPECT_EQ(server.requests(), 0);
}

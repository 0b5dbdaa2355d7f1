#include <algorithm>

#include "proxy/tests/workerfixture.h"

using namespace Galenarock;

// Control for the tests below: a caller that stays gets its answer.
TEST_F(WorkerTest, RequestOfAWaitingCallerIsAnswered)
{
    RawServer server([](int, const std::string &) { return SmallAnswer; });
    setRoutes({server.address()}, Distribution::Balanced);
    listen();
    RawCaller caller(worker.address());
    caller.send(Get);
    EXPECT_TRUE(runUntil([&] { return caller.received().find("\r\n\r\nok") != std::string::npos; }));
    EXPECT_EQ(server.requests(), 1);
}

// Guards against running a request whose caller gave up while the request was still unread, as on a VM that is short of
// processor time.
TEST_F(WorkerTest, UnreadRequestOfACallerThatLeftIsNotSent)
{
    RawServer server([](int, const std::string &) { return SmallAnswer; });
    setRoutes({server.address()}, Distribution::Balanced);
    listen();
    RawCaller caller(worker.address());
    caller.send(Get);
    caller.leave();
    EXPECT_TRUE(runUntil([&] { return worker.connectionCount() == 1; }));
    EXPECT_TRUE(runUntil([&] { return worker.connectionCount() == 0; }));
    EXPECT_EQ(server.requests(), 0);
    EXPECT_EQ(attempts(), 0U);
    EXPECT_EQ(shared.inFlight().load(), 0);
}

// Guards against sending an attempt that was prepared before a stall of the worker, during which the caller left.
TEST_F(WorkerTest, AttemptOfACallerThatLeftDuringAStallIsNotSent)
{
    RawServer server([](int, const std::string &) { return SmallAnswer; });
    setRoutes({server.address()}, Distribution::Balanced);
    listen();
    RawCaller caller(worker.address());
    caller.send(Get);
    ASSERT_TRUE(runUntil([&] { return attempts() == 1; }));
    caller.leave();
    stall();
    EXPECT_TRUE(runUntil([&] { return worker.connectionCount() == 0; }));
    EXPECT_EQ(server.requests(), 0);
    EXPECT_EQ(shared.inFlight().load(), 0);
}

// Guards against sending a request whose caller left while the request waited for an owner of its key. Repeated, since
// the worker's periodic look at the connections may come before the owner is known.
TEST_F(WorkerTest, RequestWaitingForAnOwnerIsNotSentAfterItsCallerLeft)
{
    RawServer server([](int, const std::string &) { return SmallAnswer; });
    listen();
    for (int n = 0; n < 12; ++n) {
        setRoutes({server.address()}, Distribution::Keyed, false);
        RawCaller caller(worker.address());
        caller.send(fmt::format("GET /a/1 HTTP/1.1\r\nHost: shop.example\r\nRequest: r-1\r\nKey: {}\r\n\r\n", n));
        ASSERT_TRUE(runUntil([&] { return shared.inFlight().load() == 1; }));
        caller.leave();
        setRoutes({server.address()}, Distribution::Keyed);
        EXPECT_TRUE(runUntil([&] { return worker.connectionCount() == 0; }));
    }
    EXPECT_EQ(server.requests(), 0);
    EXPECT_EQ(attempts(), 0U);
}

// Guards against reading a head that never ends until the deadline, and storing its headers meanwhile.
TEST_F(WorkerTest, EndlessHeadIsCutOff)
{
    EndlessServer server("HTTP/1.1 200 OK\r\nRequest: r-1\r\n", "X-Noise: " + std::string(4'000, 'n') + "\r\n");
    const auto answer = answerTo(server);
    EXPECT_EQ(answer.compare(0, 12, "HTTP/1.1 502"), 0) << answer.substr(0, 400);
    EXPECT_EQ(answer.find("X-Noise"), std::string::npos);
    EXPECT_EQ(answer.find("deadline"), std::string::npos) << answer;
}

// Guards against waiting for the end of interim responses that never stop.
TEST_F(WorkerTest, EndlessInterimResponsesAreCutOff)
{
    EndlessServer server("HTTP/1.1 102 Processing\r\n\r\n", "HTTP/1.1 102 Processing\r\n\r\n");
    const auto answer = answerTo(server);
    EXPECT_EQ(answer.compare(0, 12, "HTTP/1.1 502"), 0) << answer.substr(0, 400);
    EXPECT_EQ(answer.find("deadline"), std::string::npos) << answer;
}

// Guards against reading bytes without a status line or a line end until the deadline.
TEST_F(WorkerTest, EndlessBytesThatAreNoAnswerAreCutOff)
{
    EndlessServer server("\x01\x02", std::string(4'000, '\x03'));
    const auto answer = answerTo(server);
    EXPECT_EQ(answer.compare(0, 12, "HTTP/1.1 502"), 0) << answer.substr(0, 400);
    EXPECT_EQ(answer.find("deadline"), std::string::npos) << answer;
}

// Guards against waiting until the deadline for the end of a refusal's body before the request is answered.
TEST_F(WorkerTest, EndlessBodyOfARefusalIsCutOff)
{
    EndlessServer server("HTTP/1.1 503 Service Unavailable\r\nRequest: r-1\r\n\r\n", std::string(4'000, 'b'));
    const auto answer = answerTo(server);
    EXPECT_EQ(answer.compare(0, 12, "HTTP/1.1 503"), 0) << answer.substr(0, 400);
    EXPECT_NE(answer.find("not-run"), std::string::npos) << answer;
    EXPECT_EQ(answer.find("deadline"), std::string::npos) << answer;
}

// Guards against passing on a status that promises "not run" although the server did not say so, when its body is too
// long to be held back.
TEST_F(WorkerTest, LongBodyOfAFalsePromiseIsNotPassedOn)
{
    EndlessServer server("HTTP/1.1 429 Too Many Requests\r\nRequest: r-1\r\n\r\n", std::string(4'000, 'b'));
    const auto answer = answerTo(server);
    EXPECT_EQ(answer.compare(0, 12, "HTTP/1.1 502"), 0) << answer.substr(0, 400);
}

// Guards against a success without an end that looks complete to the caller, or that goes on after the route's timeout.
TEST_F(WorkerTest, EndlessBodyIsVisiblyBrokenAtTheTimeout)
{
    routeTimeoutMs = 400;
    EndlessServer server("HTTP/1.1 200 OK\r\nRequest: r-1\r\n\r\n", std::string(4'000, 'b'));
    const auto answer = answerTo(server);
    EXPECT_EQ(answer.compare(0, 12, "HTTP/1.1 200"), 0) << answer.substr(0, 400);
    EXPECT_NE(answer.find("Transfer-Encoding: chunked"), std::string::npos) << answer.substr(0, 400);
    EXPECT_EQ(answer.find("\r\n0\r\n\r\n"), std::string::npos);
}

// Guards against a daemon that does not end, or ends with an error, because requests are still in flight.
TEST_F(WorkerTest, WorkerWithRequestsInFlightEnds)
{
    EndlessServer server("HTTP/1.1 200 OK\r\nRequest: r-1\r\n\r\n", std::string(4'000, 'b'));
    setRoutes({server.address()}, Distribution::Balanced);
    Worker stopped(shared);
    ASSERT_TRUE(stopped.listen({"127.0.0.1:0"}));
    RawCaller streaming(stopped.address());
    streaming.send(Get);
    RawCaller uploading(stopped.address());
    uploading.send("POST /a/1 HTTP/1.1\r\nHost: shop.example\r\nRequest: r-1\r\nContent-Length: 100\r\n\r\nx");
    for (int n = 0; n < MaxPasses && (server.requests() == 0 || shared.inFlight().load() < 2); ++n) {
        stopped.runOnce();
    }
    EXPECT_EQ(shared.inFlight().load(), 2);
}

// Guards against sending a server of a keyed service more requests than it states that it takes from all daemons. The
// rate is so low that no second request fits into the test.
TEST_F(WorkerTest, OwnerThatStatesARateGetsNoMore)
{
    RawServer server([](int, const std::string &) {
        return "HTTP/1.1 200 OK\r\nRequest: r-1\r\nRate: 0.1\r\nContent-Length: 2\r\n\r\nok";
    });
    setRoutes({server.address()}, Distribution::Keyed);
    listen();
    EXPECT_EQ(answerToRequest(0).compare(0, 12, "HTTP/1.1 200"), 0);
    for (int n = 1; n < 6; ++n) {
        const auto answer = answerToRequest(n);
        EXPECT_EQ(answer.compare(0, 12, "HTTP/1.1 503"), 0) << answer;
        EXPECT_NE(answer.find("server-rate"), std::string::npos) << answer;
        EXPECT_NE(answer.find("not-run"), std::string::npos) << answer;
    }
    EXPECT_EQ(server.requests(), 1);
}

// Guards against refusing requests that another server of the service takes, and against sending them to the one that
// takes no more. That one is known to be fast, so it would be chosen for all requests.
TEST_F(WorkerTest, RequestsBeyondAStatedRateGoToAnotherServer)
{
    RawServer limited([](int, const std::string &) {
        return "HTTP/1.1 200 OK\r\nRequest: r-1\r\nRate: 0.1\r\nContent-Length: 2\r\n\r\nok";
    });
    RawServer open([](int, const std::string &) { return SmallAnswer; });
    setRoutes({limited.address()}, Distribution::Balanced);
    listen();
    EXPECT_EQ(answerToRequest(0).compare(0, 12, "HTTP/1.1 200"), 0);
    setRoutes({limited.address(), open.address()}, Distribution::Balanced);
    constexpr int requests = 12;
    for (int n = 0; n < requests; ++n) {
        EXPECT_EQ(answerToRequest(n).compare(0, 12, "HTTP/1.1 200"), 0);
    }
    EXPECT_EQ(limited.requests(), 1);
    EXPECT_EQ(open.requests(), requests);
}

namespace
{
/// Lower than one request within the time of a test.
constexpr double ColdRate = 0.1;
}

// Guards against requests to the cold owner of a key without a permit, and against letting them wait: no other server
// may run them.
TEST_F(WorkerTest, ColdOwnerGetsNoMoreThanItsRate)
{
    RawServer server([](int, const std::string &) { return SmallAnswer; });
    setRoutes({server.address()}, Distribution::Keyed);
    shared.serverLimits().setColdServers({{{"shop-0", 0}, ColdRate, {}, MonotonicClock::now() + seconds(60)}});
    listen();
    for (int n = 0; n < 4; ++n) {
        const auto answer = answerToRequest(n);
        EXPECT_EQ(answer.compare(0, 12, "HTTP/1.1 503"), 0) << answer;
        EXPECT_NE(answer.find("server-rate"), std::string::npos) << answer;
        EXPECT_NE(answer.find("not-run"), std::string::npos) << answer;
    }
    EXPECT_EQ(server.requests(), 0);
    shared.serverLimits().setColdServers({});
    EXPECT_EQ(answerToRequest(9).compare(0, 12, "HTTP/1.1 200"), 0);
}

// Guards against refusing a request that a warm server takes, because several cold ones, which look idle, were asked
// first: all servers of a domain that recovers are cold.
TEST_F(WorkerTest, RequestsGoToTheWarmServerAmongManyColdOnes)
{
    RawServer warm([](int, const std::string &) { return SmallAnswer; });
    std::vector<std::string> addresses{warm.address()};
    std::vector<ColdServer> cold;
    for (int n = 1; n < 12; ++n) {
        addresses.emplace_back("127.0.0.1:1");
        cold.push_back({{fmt::format("shop-{}", n), 0}, ColdRate, {}, MonotonicClock::now() + seconds(60)});
    }
    setRoutes(addresses, Distribution::Balanced);
    shared.serverLimits().setColdServers(cold);
    listen();
    constexpr int requests = 6;
    for (int n = 0; n < requests; ++n) {
        EXPECT_EQ(answerToRequest(n).compare(0, 12, "HTTP/1.1 200"), 0);
    }
    EXPECT_EQ(warm.requests(), requests);
}

namespace
{
class LeavingServerTest : public WorkerTest
{
protected:
    /// Sends one request to a server that says with `status` that it leaves.
    void expectReport(const std::string &status)
    {
        std::vector<Identity> reports;
        shared.leavingServers().setReportHook([&](const Identity &it) { reports.push_back(it); });
        RawServer server([&](int, const std::string &) {
            return fmt::format("HTTP/1.1 {}\r\nRequest: r-1\r\nLeaving: 1\r\nContent-Length: 2\r\n\r\nok", status);
        });
        setRoutes({server.address()}, Distribution::Balanced);
        listen();
        answerToRequest(0);
        EXPECT_EQ(reports, (std::vector<Identity>{{"shop-0", 0}}));
    }
};
}

// Guards against a daemon that passes on that a server leaves and does not read it (DRAIN).
TEST_F(LeavingServerTest, SuccessOfAServerThatSaysThatItLeavesIsReported)
{
    expectReport("200 OK");
}

// The same for a refusal, which is the only answer of a server that takes no more requests.
TEST_F(LeavingServerTest, RefusalOfAServerThatSaysThatItLeavesIsReported)
{
    expectReport("503 Busy");
}

namespace
{
/// Servers that refuse each request and want no further one for a while.
class PausingServerTest : public WorkerTest
{
protected:
    static std::string refusal(std::int64_t pauseMs)
    {
        return fmt::format("HTTP/1.1 503 Busy\r\nRequest: r-1\r\nPause: {}\r\nContent-Length: 2\r\n\r\nno", pauseMs);
    }

    static constexpr int Requests = 10;
    static constexpr std::int64_t LongMs = 600'000;
    static constexpr std::int64_t ShortMs = 200;
};
}

// Control for the tests below, since refusals alone make the choice prefer other servers: while a server wants no
// requests from this VM, others of its service take them.
TEST_F(PausingServerTest, OtherServersTakeTheRequests)
{
    RawServer pausing([](int, const std::string &) { return refusal(LongMs); });
    RawServer open([](int, const std::string &) { return SmallAnswer; });
    maxAttempts = 1;
    setRoutes({pausing.address(), open.address()}, Distribution::Balanced);
    listen();
    for (int n = 0; n < Requests; ++n) {
        answerToRequest(n);
    }
    EXPECT_LE(pausing.requests(), 1);
    EXPECT_GE(open.requests(), Requests - 1);
}

// Guards against requests to the owner of a key that wants none from this VM (BUDGET), and against a caller that waits
// although the refusal is certain.
TEST_F(PausingServerTest, RequestForAPausingOwnerIsRefusedAtOnce)
{
    RawServer owner([](int, const std::string &) { return refusal(LongMs); });
    setRoutes({owner.address()}, Distribution::Keyed);
    listen();
    answerToRequest(0);
    const auto answer = answerToRequest(0);
    EXPECT_NE(answer.find("HTTP/1.1 503"), std::string::npos) << answer;
    EXPECT_NE(answer.find("server-paused"), std::string::npos) << answer;
    EXPECT_EQ(owner.requests(), 1);
}

// Guards against a refusal without the time at which the server takes requests again.
TEST_F(PausingServerTest, RefusalStatesTheRestOfThePause)
{
    RawServer server([](int, const std::string &) { return refusal(LongMs); });
    setRoutes({server.address()}, Distribution::Balanced);
    listen();
    answerToRequest(0);
    const auto answer = answerToRequest(0);
    const std::string field = "\"untilMs\":";
    const auto at = answer.find(field);
    ASSERT_NE(at, std::string::npos) << answer;
    EXPECT_GT(std::stoll(answer.substr(at + field.size())), LongMs / 2);
    EXPECT_EQ(server.requests(), 1);
}

// Guards against a server that gets no requests after its pause.
TEST_F(PausingServerTest, ServerIsUsedAfterItsPause)
{
    RawServer server([](int n, const std::string &) { return n == 1 ? refusal(ShortMs) : SmallAnswer; });
    setRoutes({server.address()}, Distribution::Keyed);
    listen();
    answerToRequest(0);
    EXPECT_TRUE(runUntil([&] {
        return !shared.serverPauses().hasPauses()
            || shared.serverPauses().pausedUntil(MonotonicClock::now(), {"shop-0", 0}) <= MonotonicClock::now();
    }));
    EXPECT_NE(answerToRequest(0).find("HTTP/1.1 200"), std::string::npos);
    EXPECT_EQ(server.requests(), 2);
}

// Servers take a request, and their machines fall silent. Guards against sending it to further servers when it comes
// again (BUDGET).
TEST_F(WorkerTest, RequestWhoseSilentServersAreGoneIsRefused)
{
    routeTimeoutMs = 500;
    repeatability = Repeatability::AtMostOnce;
    const auto fallSilent = [](int, const std::string &) {
        const timespec pause{1, 0};
        nanosleep(&pause, nullptr);
        return std::string();
    };
    RawServer first(fallSilent);
    RawServer second(fallSilent);
    setRoutes({first.address(), second.address()}, Distribution::Balanced);
    listen();
    const auto servers = shared.snapshot()->find("shop")->servers();
    for (const auto &it : servers) {
        shared.suspects().bootSeen(MonotonicClock::now(), it.identity.name, 1);
    }
    for (int n = 0; n < 20 && (first.requests() == 0 || second.requests() == 0); ++n) {
        answerToRequest(0);
    }
    for (const auto &it : servers) {
        shared.suspects().bootSeen(MonotonicClock::now(), it.identity.name, 2);
    }
    const int before = first.requests() + second.requests();
    EXPECT_NE(answerToRequest(0).find("crash"), std::string::npos);
    EXPECT_EQ(first.requests() + second.requests(), before);
}

// Guards against holding requests back from a server that no longer states a rate.
TEST_F(WorkerTest, ServerThatStatesNoRateAnyMoreGetsAllRequests)
{
    RawServer server([](int n, const std::string &) {
        return fmt::format("HTTP/1.1 200 OK\r\nRequest: r-1\r\n{}Content-Length: 2\r\n\r\nok",
                           n == 1 ? "Rate: 50\r\n" : "");
    });
    shared.serverLimits().setFleetListed(); // this daemon is the only one, so it may use the whole rate
    setRoutes({server.address()}, Distribution::Keyed);
    listen();
    for (int n = 0; n < 30; ++n) {
        EXPECT_EQ(answerToRequest(n).compare(0, 12, "HTTP/1.1 200"), 0);
        EXPECT_EQ(shared.serverLimits().hasLimits(), n == 0) << n;
    }
}

namespace
{
/// Servers that answer no request before three have arrived, and the first of the caller's last.
class WaitingServers
{
public:
    std::string answer(const std::string &request)
    {
        const auto id = request.substr(request.find("Request: ") + 9, 3);
        ++m_arrived;
        waitUntil([&] { return m_arrived >= 3; });
        if (id == "r-1") {
            waitUntil([&] { return m_answered >= 2; });
        }
        ++m_answered;
        return fmt::format("HTTP/1.1 200 OK\r\nRequest: {}\r\nContent-Length: 3\r\n\r\n{}", id, id);
    }
    int arrived() const
    {
        return m_arrived;
    }

private:
    /// Gives up after a bounded number of looks, so that a broken test ends.
    static void waitUntil(const std::function<bool()> &condition)
    {
        for (int n = 0; n < 5'000 && !condition(); ++n) {
            const timespec pause{0, 1'000'000};
            nanosleep(&pause, nullptr);
        }
    }

    std::atomic<int> m_arrived{0};
    std::atomic<int> m_answered{0};
};
}

// Guards against reads that wait for each other because their caller sends them on one connection: each used up the
// time of those behind it. Their responses keep the order of the requests although the servers answer the first one
// last.
TEST_F(WorkerTest, PipelinedReadsRunSideBySide)
{
    WaitingServers servers;
    const auto script = [&](int, const std::string &request) {
        return servers.answer(request);
    };
    RawServer first(script);
    RawServer second(script);
    RawServer third(script);
    setRoutes({first.address(), second.address(), third.address()}, Distribution::Balanced);
    listen();
    RawCaller caller(worker.address());
    std::string requests;
    for (const auto *id : {"r-1", "r-2", "r-3"}) {
        requests += fmt::format("GET /a/1 HTTP/1.1\r\nHost: shop.example\r\nRequest: {}\r\n\r\n", id);
    }
    caller.send(requests);
    EXPECT_TRUE(runUntil([&] { return caller.received().find("\r\n\r\nr-3") != std::string::npos; }));
    const auto text = caller.received();
    EXPECT_LT(text.find("\r\n\r\nr-1"), text.find("\r\n\r\nr-2"));
    EXPECT_LT(text.find("\r\n\r\nr-2"), text.find("\r\n\r\nr-3"));
    EXPECT_EQ(metrics.counter("galenarock_pipelined_requests_total", "depth=\"3\"").value(), 1U);
}

// Guards against a response behind others whose beginning is lost: it was dropped when the connection held too many
// bytes for the responses that wait their turn, and the rest looked complete (MIXED).
TEST_F(WorkerTest, LongPipelinedResponsesArriveWhole)
{
    constexpr std::size_t length = 100'000;
    constexpr int count = 7;
    std::atomic<int> answered{0};
    const auto script = [&](int, const std::string &request) {
        const auto id = request.substr(request.find("Request: ") + 9, 3);
        for (int n = 0; n < 500 && id == "r-1" && answered < count - 1; ++n) {
            const timespec pause{0, 1'000'000};
            nanosleep(&pause, nullptr);
        }
        ++answered;
        return fmt::format("HTTP/1.1 200 OK\r\nRequest: {}\r\nContent-Length: {}\r\n\r\n{}", id, length,
                           std::string(length, static_cast<char>('A' + id[2] - '1')));
    };
    std::vector<std::unique_ptr<RawServer>> servers;
    std::vector<std::string> addresses;
    for (int n = 0; n < count; ++n) {
        servers.push_back(std::make_unique<RawServer>(script));
        addresses.push_back(servers.back()->address());
    }
    setRoutes(addresses, Distribution::Balanced);
    listen();
    RawCaller caller(worker.address());
    std::string requests;
    for (int n = 1; n <= count; ++n) {
        requests += fmt::format("GET /a/1 HTTP/1.1\r\nHost: shop.example\r\nRequest: r-{}\r\n\r\n", n);
    }
    caller.send(requests);
    EXPECT_TRUE(runUntil([&] { return caller.received().size() >= count * length; }));
    const auto text = caller.received();
    for (int n = 0; n < count; ++n) {
        // Letters of the heads are few.
        const auto found = std::count(text.begin(), text.end(), static_cast<char>('A' + n));
        EXPECT_GE(found, static_cast<std::ptrdiff_t>(length)) << n;
        EXPECT_LT(found, static_cast<std::ptrdiff_t>(length + 100)) << n;
    }
}

// Guards against a request that runs twice: behind a response that closes the connection its caller sends it again.
TEST_F(WorkerTest, PipelinedOrdersRunOneAfterTheOther)
{
    repeatability = Repeatability::AtMostOnce;
    RawServer server([](int, const std::string &) { return SmallAnswer; });
    setRoutes({server.address()}, Distribution::Balanced);
    listen();
    RawCaller caller(worker.address());
    caller.send(std::string(Get) + Get);
    ASSERT_TRUE(runUntil([&] { return attempts() == 1; }));
    EXPECT_EQ(shared.inFlight().load(), 1);
    EXPECT_TRUE(runUntil([&] { return attempts() == 2 && shared.inFlight().load() == 0; }));
}

// Guards against the requests behind a caller's first one that go on running after it has left.
TEST_F(WorkerTest, PipelinedRequestsOfACallerThatLeftAreCancelled)
{
    EndlessServer server("HTTP/1.1 200 OK\r\nRequest: r-1\r\n\r\n", std::string(4'000, 'b'));
    EndlessServer other("HTTP/1.1 200 OK\r\nRequest: r-1\r\n\r\n", std::string(4'000, 'b'));
    setRoutes({server.address(), other.address()}, Distribution::Balanced);
    listen();
    RawCaller caller(worker.address());
    caller.send(std::string(Get) + Get);
    ASSERT_TRUE(runUntil([&] { return attempts() == 2; }));
    caller.leave();
    EXPECT_TRUE(runUntil([&] { return worker.connectionCount() == 0; }));
    EXPECT_EQ(shared.inFlight().load(), 0);
}

// Guards against a retry at once at the owner of a key that has just reset a new connection, as servers with a long
// queue do: it meets the same queue, and the caller gets 502 although the owner would take the request a moment later.
TEST_F(WorkerTest, RequestResetByAFullOwnerIsTriedAgainLater)
{
    constexpr int requestsForARetry = 12; // of which the retry budget gets a tenth each
    constexpr auto fullFor = milliseconds(150);
    const std::string answer = "HTTP/1.1 200 OK\r\nRequest: r-1\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok";
    Instant fullUntil{};
    RawServer server(
        [&](int number, const std::string &) {
            if (number == requestsForARetry + 1) {
                fullUntil = MonotonicClock::now() + fullFor;
            }
            return MonotonicClock::now() < fullUntil ? "" : answer;
        },
        RawServer::AfterAnswer::Close);
    maxAttempts = 2;
    setRoutes({server.address()}, Distribution::Keyed);
    listen();
    for (int n = 0; n < requestsForARetry; ++n) {
        EXPECT_EQ(answerToRequest(0).compare(0, 12, "HTTP/1.1 200"), 0);
    }
    EXPECT_EQ(answerToRequest(0).compare(0, 12, "HTTP/1.1 200"), 0);
    EXPECT_EQ(server.requests(), requestsForARetry + 2);
}

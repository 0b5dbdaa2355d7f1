#include <gtest/gtest.h>

#include <fmt/format.h>

#include "proxy/tests/rawserver.h"
#include "proxy/worker_p.h"

using namespace Galenarock;

namespace
{
constexpr char SmallAnswer[] = "HTTP/1.1 200 OK\r\nRequest: r-1\r\nContent-Length: 2\r\n\r\nok";
/// More passes of the event loop than any step of these tests needs.
constexpr int MaxPasses = 20'000;
/// Longer than the interval at which a worker looks for callers that have left.
constexpr Duration Stall = milliseconds(150);

/// More than the buffers of two sockets hold, far less than a server can send within a route's timeout.
constexpr std::size_t MaxEndlessBytes = 32 << 20;

/// Dialect with the headers `Request` (id) and `Key` (position).
std::shared_ptr<const RequestDialect> testDialect()
{
    RequestDialect dialect;
    dialect.hasRouteTable = true;
    dialect.readRequest = [](const HeaderLookup &header) {
        RequestInfo info;
        info.id = std::string(header("Request"));
        const auto key = header("Key");
        info.position = key.empty() ? 0 : std::stoull(std::string(key));
        return info;
    };
    dialect.isOverwrittenHeader = [](std::string_view) {
        return false;
    };
    dialect.writeAttempt = [](const AttemptInfo &, HeaderLines &) {
    };
    dialect.readResponse = [](unsigned status, const HeaderLookup &header) {
        ResponseInfo info;
        info.id = std::string(header("Request"));
        info.isNotRun = status == 503;
        const auto rate = header("Rate");
        if (!rate.empty()) {
            info.requestsPerSecond = std::stod(std::string(rate));
        }
        info.reason = Reason::ServerShed;
        return info;
    };
    dialect.isStrippedHeader = [](std::string_view) {
        return false;
    };
    dialect.writeRefusal = [](const Refusal &, HeaderPairs &) {
    };
    return std::make_shared<const RequestDialect>(std::move(dialect));
}

/// A caller's connection whose reads and writes the test controls.
class RawCaller
{
public:
    explicit RawCaller(const std::string &address)
        : m_fd(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in to{};
        to.sin_family = AF_INET;
        to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        to.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1))));
        EXPECT_EQ(connect(m_fd, reinterpret_cast<sockaddr *>(&to), sizeof to), 0);
    }
    ~RawCaller()
    {
        leave();
    }
    void send(const std::string &text) const
    {
        EXPECT_EQ(write(m_fd, text.data(), text.size()), static_cast<ssize_t>(text.size()));
    }
    /// Closes the connection.
    void leave()
    {
        if (m_fd >= 0) {
            close(m_fd);
        }
        m_fd = -1;
    }
    /// What has arrived so far; does not wait.
    std::string received()
    {
        char buf[4096];
        for (ssize_t n = 0; (n = recv(m_fd, buf, sizeof buf, MSG_DONTWAIT)) > 0;) {
            m_received.append(buf, static_cast<std::size_t>(n));
        }
        return m_received;
    }

private:
    int m_fd;
    std::string m_received;
};

/// Drives one worker pass by pass on the test's thread.
class WorkerTest : public testing::Test
{
protected:
    WorkerTest()
    {
        shared.setDialect(testDialect());
    }

    /// One route `/a/` of the service "shop"; a keyed service has one owner, or none without `hasOwner`.
    void setRoutes(const std::vector<std::string> &addresses, Distribution distribution, bool hasOwner = true)
    {
        RouteConfiguration configuration;
        RouteRule rule;
        rule.host = "shop.example";
        rule.prefix = "/a/";
        rule.destinations = {{"shop", 1}};
        rule.repeatability = Repeatability::Idempotent;
        rule.timeoutMs = routeTimeoutMs;
        rule.maxAttempts = 3;
        configuration.routes = {rule};
        RoutingInput input;
        ServiceDocument document;
        document.service = "shop";
        document.distribution = distribution;
        document.pool.connections = 10;
        input.documents = {document};
        Assignment assignment;
        assignment.service = "shop";
        assignment.epoch = ++epoch;
        assignment.nextSequence = 2;
        for (std::size_t n = 0; n < addresses.size(); ++n) {
            const auto name = fmt::format("shop-{}", n);
            input.vms.vms.push_back({name, VmRole::Backend, "shop", "rioja", addresses[n], "", VmState::Live});
            assignment.servers.push_back({name, 0});
        }
        assignment.slices = {{{0, ~KeyHash(0)}, hasOwner ? ServerIndex(0) : ServerIndex(noServer), 1, {}}};
        input.assignments.push_back(assignment);
        input.routes = std::make_shared<const RouteTable>(configuration);
        shared.setSnapshot(RoutingSnapshot::build(input, MonotonicClock::now()));
    }

    void listen()
    {
        ASSERT_TRUE(worker.listen({"127.0.0.1:0"}));
        worker.runOnce();
    }

    /// Runs passes until `condition` holds; false if it never does.
    bool runUntil(const std::function<bool()> &condition)
    {
        for (int n = 0; n < MaxPasses; ++n) {
            if (condition()) {
                return true;
            }
            worker.runOnce();
        }
        return condition();
    }

    std::uint64_t attempts()
    {
        return metrics.counter("galenarock_attempts_total", "service=\"shop\"").value();
    }

    /// Sends one request on a connection of its own and returns what its caller got; `n` is its key.
    std::string answerToRequest(int n)
    {
        RawCaller caller(worker.address());
        caller.send(fmt::format("GET /a/1 HTTP/1.1\r\nHost: shop.example\r\nRequest: r-1\r\nKey: {}\r\n\r\n", n));
        EXPECT_TRUE(runUntil([&] { return caller.received().find("\r\n\r\n") != std::string::npos; }));
        return caller.received();
    }

    static void stall()
    {
        timespec time{0, Stall.count()};
        nanosleep(&time, nullptr);
    }

    static constexpr char Get[] = "GET /a/1 HTTP/1.1\r\nHost: shop.example\r\nRequest: r-1\r\n\r\n";

    /// Sends one request to a server of the test and returns what the caller got when the server's answer was closed.
    std::string answerTo(EndlessServer &server)
    {
        setRoutes({server.address()}, Distribution::Balanced);
        listen();
        RawCaller caller(worker.address());
        caller.send(Get);
        EXPECT_TRUE(runUntil([&] { return server.closedAnswers() > 0; }));
        EXPECT_TRUE(runUntil([&] { return shared.inFlight().load() == 0; }));
        for (int n = 0; n < 4; ++n) {
            worker.runOnce();
        }
        EXPECT_LT(server.sentBytes(), MaxEndlessBytes);
        return caller.received();
    }

    std::int64_t routeTimeoutMs = 10'000;
    std::uint32_t epoch = 0;
    Metrics metrics;
    ProxyShared shared{metrics, {"vm-1", 11}, PeerKey{}};
    Worker worker{shared};
};
}

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

// Guards against a daemon that aborts at its stop deadline because requests are still in flight: libmicrohttpd does not
// stop with suspended connections.
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

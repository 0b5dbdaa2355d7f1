#include <algorithm>
#include <stdexcept>

#include "proxy/tests/workerfixture.h"

using namespace Galenarock;

/// Each way to the statuses 429, 503, 408 and 421, and each end of an attempt that must not lead to them. See
/// docs/requests.md, "Ways to say that a request has not run".
namespace
{
/// More than is kept of a body for retries, so that the rest is passed on as it arrives.
constexpr std::size_t StreamedBytes = 600 << 10;
constexpr std::size_t ChunkBytes = 16 << 10;
/// Passes in which a delayed retry is sent: an idle pass waits for 50 ms, a first retry for at most 75 ms.
constexpr int SettlingPasses = 2;
constexpr char Post[] = "POST /a/1 HTTP/1.1\r\nHost: shop.example\r\nRequest: r-1\r\nContent-Length: 1\r\n\r\nx";
constexpr char Chunked[] =
    "POST /a/1 HTTP/1.1\r\nHost: shop.example\r\nRequest: r-1\r\nTransfer-Encoding: chunked\r\n\r\n";
constexpr char LastChunk[] = "0\r\n\r\n";

std::string response(int status, const std::string &fields = {})
{
    return fmt::format("HTTP/1.1 {} Status\r\nRequest: r-1\r\n{}Content-Length: 1\r\n\r\nx", status, fields);
}

/// A response of a server that says that it has not run the request.
std::string refusal(int status, const std::string &fields = {})
{
    return response(status, "Not-Run: 1\r\n" + fields);
}

/// Dialect with the headers `Request` (id), `Key` (position), `Rate` and `Not-Run`.
std::shared_ptr<const RequestDialect> notRunDialect()
{
    auto dialect = *workerTestDialect();
    dialect.readResponse = [readResponse = dialect.readResponse](unsigned status, const HeaderLookup &header) {
        auto info = readResponse(status, header);
        info.isNotRun = !header("Not-Run").empty() || status == 421;
        info.reason = status == 421 ? Reason::NotOwner : status == 400 ? Reason::MalformedRequest : Reason::ServerShed;
        return info;
    };
    return std::make_shared<const RequestDialect>(std::move(dialect));
}

/// One worker, and another VM's if a test starts it. The requests of the route may run once.
class NotRunTest : public WorkerTest
{
protected:
    NotRunTest()
    {
        for (auto *it : {&shared, &otherShared}) {
            it->setDialect(notRunDialect());
            it->setRetryLimits({100, 100});
        }
        repeatability = Repeatability::AtMostOnce;
    }

    /// Runs the request.
    std::string run()
    {
        ++runs;
        return response(200);
    }
    /// Begins to run the request and closes the connection without an answer.
    std::string lose()
    {
        ++runs;
        return "";
    }
    /// Runs the request for as long as the test holds it.
    std::string runWhileHeld()
    {
        ++runs;
        for (int n = 0; n < MaxHeldMs && isHeld; ++n) {
            const timespec pause{0, 1'000'000};
            nanosleep(&pause, nullptr);
        }
        return response(200);
    }
    static std::string refuse(int, const std::string &)
    {
        return refusal(503);
    }

    void start(const std::vector<std::string> &addresses, Distribution distribution = Distribution::Balanced)
    {
        setRoutes(addresses, distribution);
        listen();
    }
    /// Starts the other VM's worker, which sends requests to `server`.
    void startOther(const std::string &server, Distribution distribution = Distribution::Balanced)
    {
        otherShared.setSnapshot(makeSnapshot({server}, distribution));
        otherWorker = std::make_unique<Worker>(otherShared);
        ASSERT_TRUE(otherWorker->listen({"127.0.0.1:0"}));
        otherWorker->runOnce();
    }
    /// VMs through which requests may go, in the order in which they are tried.
    void setRelays(const std::vector<std::string> &addresses)
    {
        std::vector<Member> members;
        for (const auto &it : addresses) {
            Member member;
            member.identity = {fmt::format("vm-{}", members.size() + 2), 12};
            member.address = it;
            member.failureDomain = members.empty() ? "rioja" : "aragon";
            members.push_back(member);
        }
        shared.relays().setMembers({"vm-1", 11}, "rioja", members);
    }
    /// Makes the worker's VM lose all servers, as its own failed attempts would.
    void loseServers()
    {
        for (const auto *it : {"shop-1", "shop-2", "shop-3"}) {
            shared.serverReach().failed(MonotonicClock::now(), {it, 1});
        }
    }
    /// Address at which nobody listens.
    static std::string deadAddress()
    {
        RawServer server([](int, const std::string &) { return ""; });
        return server.address();
    }

    /// Makes the answer to the request, which is suspected of one crash, end with an exception.
    void failToClearSuspects()
    {
        shared.suspects().setReportHook([](const SuspectReport &) { throw std::runtime_error("no memory"); });
        shared.suspects().reportReceived(MonotonicClock::now(), suspectReport({1}));
    }
    /// The test's request was in flight at these servers when they crashed.
    static SuspectReport suspectReport(const std::vector<std::uint64_t> &servers)
    {
        SuspectReport report;
        report.fingerprint = requestFingerprint("shop", "POST", "/a/1", "x", {});
        std::copy(servers.begin(), servers.end(), report.servers.begin());
        return report;
    }

    bool isAnswered(RawCaller &caller)
    {
        return runUntil([&] { return caller.received().find("\r\n\r\n") != std::string::npos; });
    }
    bool isRetrying()
    {
        return runUntil([&] {
            std::uint64_t n = 0;
            for (std::size_t it = 0; it < reasonCount(); ++it) {
                const auto labels = fmt::format("service=\"shop\",reason=\"{}\"", reasonAt(it).code);
                n += metrics.counter("galenarock_retries_total", labels).value();
            }
            return n > 0;
        });
    }
    /// Gives a request that must not be sent any more the time to be sent.
    void settle()
    {
        for (int n = 0; n < SettlingPasses; ++n) {
            worker.runOnce();
            if (otherWorker) {
                otherWorker->runOnce();
            }
        }
    }
    /// Expects the status and the reason for the request of a caller, and how many servers have begun to run it.
    void expectAnswer(RawCaller &caller, int status, const std::string &reason, int expectedRuns)
    {
        ASSERT_TRUE(isAnswered(caller));
        settle();
        const auto answer = caller.received();
        EXPECT_EQ(answer.rfind(fmt::format("HTTP/1.1 {}", status), 0), 0U) << answer;
        const bool isPromise = status == 503 || status == 429 || status == 408 || status == 421;
        const auto outcome = fmt::format("\"{}\"", isPromise ? "not-run" : "unknown");
        if (!reason.empty()) {
            EXPECT_NE(answer.find(fmt::format("\"{}\"", reason)), std::string::npos) << answer;
            EXPECT_NE(answer.find(outcome), std::string::npos) << answer;
        }
        EXPECT_TRUE(runUntil([&] { return runs >= expectedRuns; })); // what was sent may not have been read yet
        EXPECT_EQ(runs, expectedRuns);
    }
    /// The same for one request that is sent now.
    void expectAnswer(int status, const std::string &reason, int expectedRuns)
    {
        RawCaller caller(worker.address());
        caller.send(Post);
        expectAnswer(caller, status, reason, expectedRuns);
    }
    /// Sends `n` bytes of a body in chunks, as far as the worker takes them before `isOver`.
    void sendChunks(const RawCaller &caller, std::size_t n, const std::function<bool()> &isOver)
    {
        const auto chunk = fmt::format("{:x}\r\n{}\r\n", ChunkBytes, std::string(ChunkBytes, 'b'));
        for (std::size_t sent = 0; sent < n && !isOver(); sent += ChunkBytes) {
            caller.send(chunk);
            worker.runOnce();
        }
    }

    static constexpr int MaxHeldMs = 20'000;
    std::atomic<int> runs{0};
    std::atomic<bool> isHeld{true};
    Metrics otherMetrics;
    ProxyShared otherShared{otherMetrics, {"vm-2", 12}, PeerKey{}};
};
}

// Before the first attempt. Each test guards against a request that is sent although its caller is told that it has not
// run.

TEST_F(NotRunTest, RequestWithoutConfigurationIsNotSent)
{
    listen();
    expectAnswer(503, "no-configuration", 0);
}

TEST_F(NotRunTest, RequestWithoutServersIsNotSent)
{
    start({});
    expectAnswer(503, "no-server", 0);
}

TEST_F(NotRunTest, RequestWhoseKeyHasNoOwnerIsNotSent)
{
    RawServer server([this](int, const std::string &) { return run(); });
    setRoutes({server.address()}, Distribution::Keyed, false);
    routeTimeoutMs = 300; // shorter than the move of a key may take
    setRoutes({server.address()}, Distribution::Keyed, false);
    listen();
    expectAnswer(503, "owner-unavailable", 0);
}

// The body does not arrive before the route's timeout, and arrives after it.
TEST_F(NotRunTest, RequestWhoseBodyIsLateIsNotSent)
{
    RawServer server([this](int, const std::string &) { return run(); });
    routeTimeoutMs = 200;
    start({server.address()});
    RawCaller caller(worker.address());
    caller.send("POST /a/1 HTTP/1.1\r\nHost: shop.example\r\nRequest: r-1\r\nContent-Length: 2\r\n\r\nx");
    ASSERT_TRUE(isAnswered(caller));
    caller.send("y");
    expectAnswer(caller, 503, "deadline-too-short", 0);
}

// The route stops being idempotent between the decision to read the request ahead and its classification.
TEST_F(NotRunTest, RequestReadAheadOnARouteThatChangesIsNotSent)
{
    RawServer server([this](int, const std::string &) { return runWhileHeld(); });
    std::shared_ptr<const RoutingSnapshot> changed;
    auto dialect = *notRunDialect();
    dialect.readRequest = [&, readRequest = dialect.readRequest](const HeaderLookup &header) {
        auto info = readRequest(header);
        if (info.id == "r-2") {
            shared.setSnapshot(changed);
        }
        return info;
    };
    shared.setDialect(std::make_shared<const RequestDialect>(dialect));
    changed = makeSnapshot({server.address()}, Distribution::Balanced);
    repeatability = Repeatability::Idempotent;
    start({server.address()});
    RawCaller caller(worker.address());
    caller.send(std::string(Get) + "GET /a/1 HTTP/1.1\r\nHost: shop.example\r\nRequest: r-2\r\n\r\n");
    ASSERT_TRUE(runUntil([&] { return runs == 1 && shared.inFlight().load() == 1; }));
    isHeld = false;
    ASSERT_TRUE(runUntil([&] { return caller.received().find("no-configuration") != std::string::npos; }));
    settle();
    EXPECT_NE(caller.received().find("HTTP/1.1 503"), std::string::npos) << caller.received();
    EXPECT_EQ(runs, 1);
}

// The key's owner refuses so many requests that some are held back. Whether one is, is a matter of chance.
TEST_F(NotRunTest, RequestThatIsHeldBackFromItsOwnerIsNotSent)
{
    constexpr int maxRequests = 200;
    RawServer server(refuse);
    start({server.address()}, Distribution::Keyed);
    for (int n = 0; n < maxRequests; ++n) {
        RawCaller caller(worker.address());
        caller.send(Post);
        const int before = server.requests();
        ASSERT_TRUE(isAnswered(caller));
        const auto answer = caller.received();
        EXPECT_EQ(answer.rfind("HTTP/1.1 503", 0), 0U) << answer;
        if (answer.find("the key's owner is full") != std::string::npos) {
            settle();
            EXPECT_EQ(server.requests(), before);
            return;
        }
    }
    FAIL() << "no request was held back";
}

// Attempts that have not been sent.

// Guards against an unknown outcome, or a second run, where no connection could be opened.
TEST_F(NotRunTest, RequestWithoutAConnectionIsNotRun)
{
    maxAttempts = 1;
    start({deadAddress()});
    expectAnswer(503, "connect-failed", 0);
}

TEST_F(NotRunTest, RequestWithoutAConnectionGoesToAnotherServer)
{
    RawServer server([this](int, const std::string &) { return run(); });
    start({deadAddress(), server.address()});
    for (int n = 1; n <= 4; ++n) {
        expectAnswer(200, "", n);
    }
}

// A server closes a kept connection after it has taken the request. Guards against the repetition that libcurl sends by
// itself, and against calling the request not run.
TEST_F(NotRunTest, RequestOnAKeptConnectionThatIsClosedMayHaveRun)
{
    const auto script = [this](int n, const std::string &) {
        return n == 1 ? run() : lose();
    };
    RawServer server(script);
    start({server.address()});
    expectAnswer(200, "", 1);
    expectAnswer(502, "connection-lost", 2);
    EXPECT_EQ(server.requests(), 2);
}

// Refusals by a server.

// Guards against an unknown outcome for a request that all servers have refused.
TEST_F(NotRunTest, RequestThatAllServersRefuseIsNotRun)
{
    RawServer first(refuse);
    RawServer second(refuse);
    maxAttempts = 2;
    start({first.address(), second.address()});
    expectAnswer(503, "shed", 0);
    EXPECT_EQ(first.requests() + second.requests(), 2);
}

// Guards against a second run of a request that another server takes after a refusal.
TEST_F(NotRunTest, RequestRunsOnceAfterARefusal)
{
    for (const int status : {429, 503, 421}) {
        std::atomic<int> arrivals{0};
        const auto script = [&, status](int, const std::string &) {
            return ++arrivals == 1 ? refusal(status) : run();
        };
        RawServer first(script);
        RawServer second(script);
        Worker other(shared);
        setRoutes({first.address(), second.address()}, Distribution::Balanced);
        ASSERT_TRUE(other.listen({"127.0.0.1:0"}));
        RawCaller caller(other.address());
        caller.send(Post);
        const int before = runs;
        for (int n = 0; n < MaxPasses && caller.received().find("\r\n\r\n") == std::string::npos; ++n) {
            other.runOnce();
        }
        for (int n = 0; n < SettlingPasses; ++n) {
            other.runOnce();
        }
        EXPECT_EQ(caller.received().rfind("HTTP/1.1 200", 0), 0U) << status;
        EXPECT_EQ(runs, before + 1) << status;
        EXPECT_EQ(arrivals, 2) << status;
    }
}

// Guards against passing on a promise that the server has not made: it runs the request and answers with such a status.
TEST_F(NotRunTest, StatusWithoutTheWordOfTheServerIsNoPromise)
{
    for (const int status : {429, 503, 408}) {
        RawServer server([&, status](int, const std::string &) {
            ++runs;
            return response(status);
        });
        setRoutes({server.address()}, Distribution::Balanced);
        Worker other(shared);
        ASSERT_TRUE(other.listen({"127.0.0.1:0"}));
        RawCaller caller(other.address());
        caller.send(Post);
        for (int n = 0; n < MaxPasses && caller.received().find("\r\n\r\n") == std::string::npos; ++n) {
            other.runOnce();
        }
        EXPECT_EQ(caller.received().rfind("HTTP/1.1 502", 0), 0U) << status;
        EXPECT_EQ(server.requests(), 1) << status;
    }
    EXPECT_EQ(runs, 3);
}

// Guards against a status that callers may take for a promise to try again, and against trying it elsewhere.
TEST_F(NotRunTest, MalformedRequestIsNotTriedAgain)
{
    RawServer server([](int, const std::string &) { return refusal(400); });
    maxAttempts = 1;
    start({server.address()});
    RawCaller caller(worker.address());
    caller.send(Post);
    ASSERT_TRUE(isAnswered(caller));
    EXPECT_EQ(caller.received().rfind("HTTP/1.1 400", 0), 0U) << caller.received();
    EXPECT_EQ(server.requests(), 1);
}

// Guards against an unknown outcome when the connection breaks after the head of a refusal.
TEST_F(NotRunTest, RefusalWhoseBodyBreaksOffIsBelieved)
{
    RawServer server(
        [](int, const std::string &) {
            return "HTTP/1.1 503 Busy\r\nRequest: r-1\r\nNot-Run: 1\r\nContent-Length: 9\r\n\r\nx";
        },
        RawServer::AfterAnswer::Close);
    maxAttempts = 1;
    start({server.address()});
    expectAnswer(503, "shed", 0);
}

// After a refusal.

// Guards against a promise that rests on the first attempt when the second one may have run.
TEST_F(NotRunTest, LostAttemptAfterARefusalMayHaveRun)
{
    std::atomic<int> arrivals{0};
    const auto script = [&](int, const std::string &) {
        return ++arrivals == 1 ? refusal(503) : lose();
    };
    RawServer first(script);
    RawServer second(script);
    start({first.address(), second.address()});
    expectAnswer(502, "connection-lost", 1);
    EXPECT_EQ(arrivals, 2);
}

// The same when the second attempt is outstanding at the route's timeout.
TEST_F(NotRunTest, AttemptOutstandingAtTheTimeoutMayHaveRun)
{
    std::atomic<int> arrivals{0};
    const auto script = [&](int, const std::string &) {
        return ++arrivals == 1 ? refusal(503) : runWhileHeld();
    };
    RawServer first(script);
    RawServer second(script);
    routeTimeoutMs = 2'000;
    start({first.address(), second.address()});
    expectAnswer(504, "deadline-passed", 1);
    isHeld = false;
}

// A worker stalls past the route's timeout while a request waits for its retry. Guards against sending the request
// after the answer.
TEST_F(NotRunTest, RequestThatWaitsForARetryAtTheTimeoutIsNotRun)
{
    RawServer server([](int, const std::string &) { return refusal(421); });
    routeTimeoutMs = 1'000;
    start({server.address()}, Distribution::Keyed);
    RawCaller caller(worker.address());
    caller.send(Post);
    ASSERT_TRUE(isRetrying());
    for (int n = 0; n < 8; ++n) {
        stall(); // together longer than the timeout
    }
    const int before = server.requests();
    expectAnswer(caller, 503, "deadline-too-short", 0);
    EXPECT_EQ(server.requests(), before);
}

// Guards against sending a request after a refusal for want of budget.
TEST_F(NotRunTest, RequestWithoutRetryBudgetIsNotRun)
{
    RawServer first(refuse);
    RawServer second(refuse);
    shared.setRetryLimits({0, 0});
    start({first.address(), second.address()});
    expectAnswer(503, "retry-budget", 0);
    EXPECT_EQ(first.requests() + second.requests(), 1);
}

// The only owner of a key is full: there is no other server to try.
TEST_F(NotRunTest, RequestWhoseOwnerIsFullIsNotRun)
{
    RawServer server(refuse);
    start({server.address()}, Distribution::Keyed);
    expectAnswer(503, "shed", 0);
    EXPECT_EQ(server.requests(), 1);
}

// The server that refuses states a rate that leaves no room for the retry.
TEST_F(NotRunTest, RequestWhosePermitIsRefusedAfterARefusalIsNotRun)
{
    RawServer server([](int, const std::string &) { return refusal(421, "Rate: 0.1\r\n"); });
    start({server.address()}, Distribution::Keyed);
    expectAnswer(503, "server-rate", 0);
}

// The key loses its owner while the request waits for its retry. Guards against sending it when there is an owner
// again after the answer.
TEST_F(NotRunTest, RequestWhoseOwnerIsGoneAfterARefusalIsNotRun)
{
    RawServer server([this](int n, const std::string &) { return n == 1 ? refusal(421) : run(); });
    start({server.address()}, Distribution::Keyed);
    RawCaller caller(worker.address());
    caller.send(Post);
    ASSERT_TRUE(isRetrying());
    setRoutes({server.address()}, Distribution::Keyed, false);
    ASSERT_TRUE(isAnswered(caller));
    setRoutes({server.address()}, Distribution::Keyed);
    expectAnswer(caller, 503, "owner-unavailable", 0);
    EXPECT_EQ(server.requests(), 1);
}

// The request turns out to crash servers while it waits for its retry.
TEST_F(NotRunTest, RequestThatBecomesSuspectAfterARefusalIsNotRun)
{
    RawServer server([this](int n, const std::string &) { return n == 1 ? refusal(421) : run(); });
    start({server.address()}, Distribution::Keyed);
    RawCaller caller(worker.address());
    caller.send(Post);
    ASSERT_TRUE(isRetrying());
    shared.suspects().reportReceived(MonotonicClock::now(), suspectReport({1, 2}));
    expectAnswer(caller, 503, "crash-suspect", 0);
    EXPECT_EQ(server.requests(), 1);
}

// A planned stop.

// Guards against sending the request late in the stop, or after the answer.
TEST_F(NotRunTest, RequestThatWaitsForARetryWhenTheStopBeginsIsNotRun)
{
    RawServer server([this](int n, const std::string &) { return n == 1 ? refusal(421) : run(); });
    start({server.address()}, Distribution::Keyed);
    RawCaller caller(worker.address());
    caller.send(Post);
    ASSERT_TRUE(isRetrying());
    shared.setLastAnswerAt(MonotonicClock::now() + seconds(3));
    shared.setDraining();
    expectAnswer(caller, 503, "stopping", 0);
    EXPECT_EQ(server.requests(), 1);
}

// Guards against a refusal in place of the answer of a server that is at work when the stop begins.
TEST_F(NotRunTest, AttemptOutstandingWhenTheStopBeginsIsAnswered)
{
    RawServer server([this](int, const std::string &) { return runWhileHeld(); });
    start({server.address()});
    RawCaller caller(worker.address());
    caller.send(Post);
    ASSERT_TRUE(runUntil([&] { return runs == 1; }));
    shared.setLastAnswerAt(MonotonicClock::now() + seconds(3));
    shared.setDraining();
    settle();
    EXPECT_EQ(caller.received(), "");
    isHeld = false;
    expectAnswer(caller, 200, "", 1);
}

// The same when that server closes the connection.
TEST_F(NotRunTest, AttemptLostDuringTheStopMayHaveRun)
{
    RawServer server([this](int, const std::string &) {
        runWhileHeld();
        return "";
    });
    start({server.address()});
    RawCaller caller(worker.address());
    caller.send(Post);
    ASSERT_TRUE(runUntil([&] { return runs == 1; }));
    shared.setLastAnswerAt(MonotonicClock::now());
    shared.setDraining();
    isHeld = false;
    expectAnswer(caller, 502, "connection-lost", 1);
}

// Guards against a refusal by a process that ends while a server is at work on the request.
TEST_F(NotRunTest, AttemptOutstandingAtTheEndOfTheProcessIsNotRefused)
{
    RawServer server([this](int, const std::string &) { return runWhileHeld(); });
    setRoutes({server.address()}, Distribution::Balanced);
    auto stopped = std::make_unique<Worker>(shared);
    ASSERT_TRUE(stopped->listen({"127.0.0.1:0"}));
    RawCaller caller(stopped->address());
    caller.send(Post);
    for (int n = 0; n < MaxPasses && runs == 0; ++n) {
        stopped->runOnce();
    }
    stopped.reset();
    EXPECT_EQ(caller.received(), "");
    EXPECT_EQ(runs, 1);
    isHeld = false;
}

// Internal errors.

// Passing on the answer fails with an exception, which is caught, and the request stays open until the route's timeout.
// Guards against a promise for a request whose attempt has no recorded end.
TEST_F(NotRunTest, RequestWhoseAnswerIsLostInAnInternalErrorMayHaveRun)
{
    RawServer server([this](int, const std::string &) { return run(); });
    routeTimeoutMs = 500;
    failToClearSuspects();
    start({server.address()});
    expectAnswer(504, "deadline-too-short", 1);
}

// The same for a request that has gone through another VM.
TEST_F(NotRunTest, RelayedRequestWhoseAnswerIsLostInAnInternalErrorMayHaveRun)
{
    RawServer relay([this](int, const std::string &) { return run(); });
    routeTimeoutMs = 500;
    failToClearSuspects();
    start({deadAddress()});
    setRelays({relay.address()});
    loseServers();
    expectAnswer(504, "deadline-too-short", 1);
}

// Reading the head of an answer fails with an exception. Guards against one that unwinds through libcurl, after which
// the worker sends nothing any more and the request is never answered.
TEST_F(NotRunTest, InternalErrorInAHeadEndsOnlyItsAttempt)
{
    auto dialect = *notRunDialect();
    dialect.readResponse = [this, readResponse = dialect.readResponse](unsigned status, const HeaderLookup &header) {
        if (runs == 1) {
            throw std::runtime_error("no memory");
        }
        return readResponse(status, header);
    };
    shared.setDialect(std::make_shared<const RequestDialect>(dialect));
    RawServer server([this](int, const std::string &) { return run(); });
    start({server.address()});
    expectAnswer(502, "response-cut", 1);
    expectAnswer(200, "", 2);
}

// Requests that go through another VM.

// The other VM's server refuses the request, and the other VM says so.
TEST_F(NotRunTest, RequestThatARelayRefusesIsNotRun)
{
    RawServer server(refuse);
    start({deadAddress()});
    startOther(server.address(), Distribution::Keyed);
    setRelays({otherWorker->address()});
    loseServers();
    expectAnswer(503, "shed", 0);
    EXPECT_EQ(server.requests(), 1);
}

// The other VM's server loses the request. Guards against a promise of the first VM, and against trying a third one.
TEST_F(NotRunTest, RequestThatARelayHasLostMayHaveRun)
{
    RawServer server([this](int, const std::string &) { return lose(); });
    RawServer third([this](int, const std::string &) { return run(); });
    start({deadAddress()});
    startOther(server.address());
    setRelays({otherWorker->address(), third.address()});
    loseServers();
    expectAnswer(502, "connection-lost", 1);
    EXPECT_EQ(third.requests(), 0);
}

// The other VM's server is at work at the deadline, and after it.
TEST_F(NotRunTest, RequestThatARelayAnswersLateMayHaveRun)
{
    RawServer server([this](int, const std::string &) { return runWhileHeld(); });
    routeTimeoutMs = 2'000;
    start({deadAddress()});
    startOther(server.address());
    setRelays({otherWorker->address()});
    loseServers();
    expectAnswer(504, "deadline-passed", 1);
    isHeld = false;
}

// No connection to one VM: the request goes through another and runs there.
TEST_F(NotRunTest, RequestWithoutAConnectionToARelayGoesThroughAnother)
{
    RawServer relay([this](int, const std::string &) { return run(); });
    start({deadAddress()});
    setRelays({deadAddress(), relay.address()});
    loseServers();
    expectAnswer(200, "", 1);
}

// The process at the address of another VM answers 503 without an outcome. Guards against taking that for a refusal.
TEST_F(NotRunTest, StatusWithoutTheOutcomeOfARelayIsNoPromise)
{
    RawServer relay([this](int, const std::string &) {
        ++runs;
        return response(503);
    });
    start({deadAddress()});
    setRelays({relay.address()});
    loseServers();
    expectAnswer(502, "response-cut", 1);
}

// The same with the header by which a server says that it has not run a request.
TEST_F(NotRunTest, WordOfAServerIsNotTheOutcomeOfARelay)
{
    RawServer relay([this](int, const std::string &) {
        ++runs;
        return refusal(503);
    });
    start({deadAddress()});
    setRelays({relay.address()});
    loseServers();
    expectAnswer(502, "response-cut", 1);
}

// The request is refused by its owner, there is no connection to the next owner, and another VM is tried.
TEST_F(NotRunTest, RelayLostAfterARefusalMayHaveRun)
{
    RawServer server([](int, const std::string &) { return refusal(421); });
    RawServer relay([this](int, const std::string &) { return lose(); });
    const std::vector<std::string> addresses{server.address(), deadAddress()};
    start(addresses, Distribution::Keyed);
    setRelays({relay.address()});
    RawCaller caller(worker.address());
    caller.send(Post);
    ASSERT_TRUE(isRetrying());
    keyOwner = 1;
    setRoutes(addresses, Distribution::Keyed);
    expectAnswer(caller, 502, "connection-lost", 1);
    EXPECT_EQ(server.requests(), 1);
}

// Streamed bodies.

// Guards against an unknown outcome when the server refuses before it has the whole body, and against sending the rest
// or the request again.
TEST_F(NotRunTest, UploadThatIsRefusedEarlyIsNotRun)
{
    RawServer first(refuse);
    RawServer second(refuse);
    start({first.address(), second.address()});
    RawCaller caller(worker.address());
    caller.send(Chunked);
    sendChunks(caller, StreamedBytes, [&] { return !caller.received().empty(); });
    expectAnswer(caller, 503, "shed", 0);
    EXPECT_EQ(first.requests() + second.requests(), 1);
}

// The server refuses while the caller pauses in its body. Guards against a refusal that reaches the caller only when it
// goes on, or at the route's timeout.
TEST_F(NotRunTest, UploadThatIsRefusedWhileItsCallerPausesIsAnswered)
{
    RawServer server([this](int, const std::string &) {
        runWhileHeld();
        --runs;
        return refusal(503);
    });
    routeTimeoutMs = 3'600'000; // longer than the passes of isAnswered() take
    start({server.address()});
    RawCaller caller(worker.address());
    caller.send(Chunked);
    sendChunks(caller, StreamedBytes, [] { return false; });
    ASSERT_TRUE(runUntil([&] { return server.requests() == 1; }));
    settle();
    isHeld = false;
    expectAnswer(caller, 503, "shed", 0);
}

// Guards against a promise, or 413 for a request of which a server has the beginning.
TEST_F(NotRunTest, UploadThatGrowsTooLargeMayHaveRun)
{
    RawServer server([this](int, const std::string &) {
        ++runs;
        return "HTTP/1.1 102 Processing\r\n\r\n"; // the server reads on
    });
    maxBodyBytes = StreamedBytes;
    start({server.address()});
    RawCaller caller(worker.address());
    caller.send(Chunked);
    sendChunks(caller, 2 * StreamedBytes, [&] { return !caller.received().empty(); });
    expectAnswer(caller, 502, "connection-lost", 1);
}

// The caller sends no more of the body until the route's timeout.
TEST_F(NotRunTest, UploadThatStallsMayHaveRun)
{
    RawServer server([this](int, const std::string &) { return runWhileHeld(); });
    routeTimeoutMs = 2'000;
    start({server.address()});
    RawCaller caller(worker.address());
    caller.send(Chunked);
    sendChunks(caller, StreamedBytes, [&] { return !caller.received().empty(); });
    expectAnswer(caller, 504, "deadline-passed", 1);
    isHeld = false;
}

// Guards against sending an upload again whose caller has left in the middle of it.
TEST_F(NotRunTest, UploadOfACallerThatLeavesIsNotSentAgain)
{
    RawServer first([this](int, const std::string &) { return runWhileHeld(); });
    RawServer second([this](int, const std::string &) { return runWhileHeld(); });
    start({first.address(), second.address()});
    RawCaller caller(worker.address());
    caller.send(Chunked);
    sendChunks(caller, StreamedBytes, [] { return false; });
    ASSERT_TRUE(runUntil([&] { return runs == 1; }));
    caller.leave();
    EXPECT_TRUE(runUntil([&] { return shared.inFlight().load() == 0; }));
    isHeld = false;
    settle();
    EXPECT_EQ(runs, 1);
}

// The body waits for an owner of its key while more of it arrives. Guards against counting and sending the request once
// for each piece.
TEST_F(NotRunTest, UploadThatWaitsForAnOwnerIsSentOnce)
{
    RawServer server([this](int, const std::string &) { return run(); }, RawServer::AfterAnswer::Close);
    setRoutes({server.address()}, Distribution::Keyed, false);
    listen();
    RawCaller caller(worker.address());
    caller.send(Chunked);
    sendChunks(caller, StreamedBytes, [] { return false; });
    setRoutes({server.address()}, Distribution::Keyed);
    ASSERT_TRUE(runUntil([&] { return runs > 0; }));
    caller.send(LastChunk);
    settle();
    EXPECT_EQ(runs, 1);
    EXPECT_EQ(attempts(), 1U);
}

// The same in the budget: an upload counts as one request. Guards against retries beyond the share of requests
// (BUDGET).
TEST_F(NotRunTest, UploadThatWaitsForAnOwnerCountsOnceInTheRetryBudget)
{
    constexpr std::size_t heldBytes = 200 << 10; // of a body, beyond what is kept for retries
    RawServer server([](int, const std::string &) { return refusal(421); });
    shared.setRetryLimits({10, 0}); // more than ten requests allow one retry
    setRoutes({server.address()}, Distribution::Keyed, false);
    listen();
    RawCaller upload(worker.address());
    upload.send(Chunked);
    sendChunks(upload, StreamedBytes + heldBytes, [] { return false; });
    setRoutes({server.address()}, Distribution::Keyed);
    ASSERT_TRUE(isAnswered(upload));
    expectAnswer(503, "retry-budget", 0);
    EXPECT_EQ(server.requests(), 2);
}

// Callers.

// Guards against starting a request that may run once behind another one whose answer closes the connection: its caller
// takes it for unread and sends it again.
TEST_F(NotRunTest, RequestBehindAnAnswerThatClosesTheConnectionIsNotSent)
{
    RawServer server([this](int, const std::string &) { return run(); });
    start({server.address()});
    RawCaller caller(worker.address());
    caller.send("POST /a/1 HTTP/1.1\r\nHost: shop.example\r\nRequest: r-1\r\nConnection: close\r\n"
                "Content-Length: 1\r\n\r\nx"
                + std::string(Post));
    expectAnswer(caller, 200, "", 1);
}

// A caller leaves while its request waits for a retry.
TEST_F(NotRunTest, RequestOfACallerThatLeavesAfterARefusalIsNotSent)
{
    RawServer server([this](int n, const std::string &) { return n == 1 ? refusal(421) : run(); });
    start({server.address()}, Distribution::Keyed);
    RawCaller caller(worker.address());
    caller.send(Post);
    ASSERT_TRUE(isRetrying());
    caller.leave();
    EXPECT_TRUE(runUntil([&] { return shared.inFlight().load() == 0; }));
    settle();
    EXPECT_EQ(server.requests(), 1);
    EXPECT_EQ(runs, 0);
}

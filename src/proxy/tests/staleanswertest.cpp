#include <gtest/gtest.h>

#include <fmt/format.h>

#include "proxy/tests/rawserver.h"
#include "proxy/worker_p.h"

using namespace Galenarock;

namespace
{
/// More passes of the event loop than any step of these tests needs.
constexpr int MaxPasses = 20'000;

std::string idOf(const std::string &request)
{
    const auto start = request.find("Request: ") + 9;
    return request.substr(start, request.find("\r\n", start) - start);
}

std::string success(const std::string &id)
{
    return fmt::format("HTTP/1.1 200 OK\r\nRequest: {}\r\nContent-Length: 2\r\n\r\nok", id);
}

/// A refusal with the id of a request, or without an id.
std::string refusal(int status, const std::string &id)
{
    const auto field = id.empty() ? "" : fmt::format("Request: {}\r\n", id);
    return fmt::format("HTTP/1.1 {} Refused\r\n{}Not-Run: 1\r\nContent-Length: 1\r\n\r\nx", status, field);
}

/// Dialect with the headers `Request` (id) and `Not-Run`.
std::shared_ptr<const RequestDialect> testDialect()
{
    RequestDialect dialect;
    dialect.hasRouteTable = true;
    dialect.readRequest = [](const HeaderLookup &header) {
        RequestInfo info;
        info.id = std::string(header("Request"));
        info.position = 0;
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
        info.isNotRun = !header("Not-Run").empty();
        info.reason = status == 421 ? Reason::NotOwner : Reason::ServerShed;
        return info;
    };
    dialect.isStrippedHeader = [](std::string_view) {
        return false;
    };
    dialect.writeRefusal = [](const Refusal &, HeaderPairs &) {
    };
    return std::make_shared<const RequestDialect>(std::move(dialect));
}

/// Drives one worker on the test's thread; its route `/a/` leads to the servers of the test.
class StaleAnswerTest : public testing::Test
{
protected:
    StaleAnswerTest()
    {
        shared.setDialect(testDialect());
    }

    void start(const std::vector<std::string> &addresses, Distribution distribution = Distribution::Balanced)
    {
        RouteConfiguration configuration;
        RouteRule rule;
        rule.host = "shop.example";
        rule.prefix = "/a/";
        rule.destinations = {{"shop", 1}};
        rule.repeatability = Repeatability::AtMostOnce;
        rule.timeoutMs = 5'000;
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
        assignment.epoch = 1;
        assignment.nextSequence = 2;
        for (std::size_t n = 0; n < addresses.size(); ++n) {
            const auto name = fmt::format("shop-{}", n);
            input.vms.vms.push_back({name, VmRole::Backend, "shop", "rioja", addresses[n], "", VmState::Live});
            assignment.servers.push_back({name, 0});
        }
        assignment.slices = {{{0, ~KeyHash(0)}, ServerIndex(0), 1, {}}};
        input.assignments.push_back(assignment);
        input.routes = std::make_shared<const RouteTable>(configuration);
        shared.setSnapshot(RoutingSnapshot::build(input, MonotonicClock::now()));
        ASSERT_TRUE(worker.listen({"127.0.0.1:0"}));
        worker.runOnce();
    }

    /// Sends one request that may run once on a connection of its own; returns the status that its caller got.
    int statusOf(const std::string &id)
    {
        const auto address = worker.address();
        const int fd = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in to{};
        to.sin_family = AF_INET;
        to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        to.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1))));
        EXPECT_EQ(connect(fd, reinterpret_cast<sockaddr *>(&to), sizeof to), 0);
        const auto text =
            fmt::format("POST /a/1 HTTP/1.1\r\nHost: shop.example\r\nRequest: {}\r\nContent-Length: 1\r\n\r\nx", id);
        EXPECT_EQ(write(fd, text.data(), text.size()), static_cast<ssize_t>(text.size()));
        std::string received;
        for (int n = 0; n < MaxPasses && received.find("\r\n\r\n") == std::string::npos; ++n) {
            worker.runOnce();
            char buf[4096];
            const auto got = recv(fd, buf, sizeof buf, MSG_DONTWAIT);
            received.append(buf, got > 0 ? static_cast<std::size_t>(got) : 0);
        }
        close(fd);
        return received.size() > 12 ? std::stoi(received.substr(9, 3)) : 0;
    }

    /// Sends requests that succeed until the retry budget allows a retry.
    void fillRetryBudget()
    {
        for (int n = 0; n < 30; ++n) {
            EXPECT_EQ(statusOf("first"), 200);
        }
    }

    Metrics metrics;
    ProxyShared shared{metrics, {"vm-1", 11}, PeerKey{}};
    Worker worker{shared};
};
}

// Controls for the tests below: a refusal of the request itself, with its id or without an id, is passed on.
TEST_F(StaleAnswerTest, RefusalWithTheIdOfTheRequestIsBelieved)
{
    RawServer server([](int, const std::string &request) { return refusal(503, idOf(request)); });
    start({server.address()});
    EXPECT_EQ(statusOf("r-1"), 503);
}

TEST_F(StaleAnswerTest, FirstRefusalWithoutIdOnAConnectionIsBelieved)
{
    RawServer server(
        [](int n, const std::string &request) { return n == 1 ? success(idOf(request)) : refusal(503, ""); });
    start({server.address()});
    EXPECT_EQ(statusOf("r-1"), 200);
    EXPECT_EQ(statusOf("r-2"), 503);
    EXPECT_EQ(server.connections(), 1);
}

// Guards against "not run" for a request that the server runs, when the server sends the refusal of another request
// first (REFUSED), and against running the request at a second server (TWICE).
TEST_F(StaleAnswerTest, RefusalOfAnotherRequestLeavesTheOutcomeUnknown)
{
    const auto script = [](int, const std::string &request) {
        const auto id = idOf(request);
        return id == "first" ? success(id) : refusal(503, "first") + success(id);
    };
    RawServer first(script);
    RawServer second(script);
    start({first.address(), second.address()});
    fillRetryBudget();
    const int before = first.requests() + second.requests();
    EXPECT_EQ(statusOf("r-1"), 502);
    EXPECT_EQ(first.requests() + second.requests(), before + 1);
}

// Guards against the same when another process answers "not mine" to an earlier request.
TEST_F(StaleAnswerTest, MisdirectionOfAnotherRequestLeavesTheOutcomeUnknown)
{
    const auto script = [](int, const std::string &request) {
        const auto id = idOf(request);
        return id == "first" ? success(id) : refusal(421, "first") + success(id);
    };
    RawServer first(script);
    RawServer second(script);
    start({first.address(), second.address()});
    fillRetryBudget();
    const int before = first.requests() + second.requests();
    EXPECT_EQ(statusOf("r-1"), 502);
    EXPECT_EQ(first.requests() + second.requests(), before + 1);
}

// Guards against believing a refusal without an id that repeats an earlier one of the same connection (REFUSED).
TEST_F(StaleAnswerTest, RepeatedRefusalWithoutIdIsNotBelieved)
{
    bool wasRefused = false;
    int connections = 0;
    RawServer *self = nullptr;
    RawServer server([&](int, const std::string &request) {
        const bool isKept = self->connections() == connections;
        connections = self->connections();
        if (!wasRefused) {
            wasRefused = true;
            return refusal(503, "");
        }
        return isKept ? refusal(503, "") + success(idOf(request)) : success(idOf(request));
    });
    self = &server;
    start({server.address()});
    EXPECT_EQ(statusOf("r-1"), 503);
    EXPECT_EQ(statusOf("r-2"), 200);
    EXPECT_EQ(server.requests(), 2);
}

// Guards against believing a refusal with the id of the request that repeats the one of an earlier attempt at the same
// server (REFUSED, TWICE).
TEST_F(StaleAnswerTest, RepeatedRefusalOfAnEarlierAttemptIsNotBelieved)
{
    constexpr char lastAnswer[] = "HTTP/1.1 200 OK\r\nRequest: {}\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok";
    constexpr int maxWaitMs = 400; // longer than the delay before a retry
    bool wasRefused = false;
    bool hasWaited = false;
    std::atomic<int> runs{0};
    RawServer server([&](int, const std::string &request) {
        const auto id = idOf(request);
        if (id != "first" && !wasRefused) {
            wasRefused = true;
            return refusal(421, id);
        }
        runs += id == "first" ? 0 : 1;
        return fmt::format(lastAnswer, id);
    });
    server.setAfterAnswer([&](int fd) {
        if (!wasRefused || hasWaited) {
            return;
        }
        hasWaited = true;
        pollfd entry{fd, POLLIN, 0};
        char buf[4096];
        if (poll(&entry, 1, maxWaitMs) > 0 && recv(fd, buf, sizeof buf, 0) > 0) {
            ++runs;
            const auto text = refusal(421, "r-1") + success("r-1");
            EXPECT_EQ(write(fd, text.data(), text.size()), static_cast<ssize_t>(text.size()));
        }
    });
    start({server.address()}, Distribution::Keyed);
    fillRetryBudget();
    EXPECT_EQ(statusOf("r-1"), 200);
    EXPECT_EQ(runs, 1);
}

// Guards against using a kept connection on which a response has arrived that no request waits for.
TEST_F(StaleAnswerTest, ConnectionWithUnreadBytesIsNotUsed)
{
    std::atomic<bool> isExtraSent{false};
    RawServer server([](int, const std::string &request) { return success(idOf(request)); });
    server.setAfterAnswer([&](int fd) {
        if (isExtraSent) {
            return;
        }
        usleep(20'000); // a separate packet, after the caller has read the response
        const auto extra = refusal(503, "");
        EXPECT_EQ(write(fd, extra.data(), extra.size()), static_cast<ssize_t>(extra.size()));
        isExtraSent = true;
        char buf[4096];
        EXPECT_LE(recv(fd, buf, sizeof buf, 0), 0) << "the connection was used again";
    });
    start({server.address()});
    EXPECT_EQ(statusOf("r-1"), 200);
    while (!isExtraSent) {
        usleep(1'000);
    }
    EXPECT_EQ(statusOf("r-2"), 200);
    EXPECT_EQ(server.requests(), 2);
    EXPECT_EQ(server.connections(), 2);
}

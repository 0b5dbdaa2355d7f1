#include <map>

#include "proxy/tests/workerfixture.h"

using namespace Galenarock;

namespace
{
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
std::shared_ptr<const RequestDialect> refusalDialect()
{
    auto dialect = *workerTestDialect();
    dialect.readResponse = [](unsigned status, const HeaderLookup &header) {
        ResponseInfo info;
        info.id = std::string(header("Request"));
        info.isNotRun = !header("Not-Run").empty();
        info.reason = status == 421 ? Reason::NotOwner : Reason::ServerShed;
        return info;
    };
    return std::make_shared<const RequestDialect>(std::move(dialect));
}

/// A server that refuses or fails the first attempt of each request whose id begins with "r-" and runs the next one. If
/// that comes over the connection of the first one, a copy of the first answer precedes its answer.
class CopyingServer
{
public:
    /// Returns the answer to the first attempt of a request with the id.
    using FirstAnswer = std::function<std::string(const std::string &id)>;

    explicit CopyingServer(FirstAnswer firstAnswer)
        : m_firstAnswer(std::move(firstAnswer))
        , m_server([this](int, const std::string &request) { return answer(idOf(request)); })
    {
    }
    explicit CopyingServer(int status)
        : CopyingServer([status](const std::string &id) { return refusal(status, id); })
    {
    }

    std::string address() const
    {
        return m_server.address();
    }
    int connections() const
    {
        return m_server.connections();
    }
    int refusals() const
    {
        return m_refusals;
    }
    /// Requests with such an id that it has run.
    int runs() const
    {
        return m_runs;
    }

private:
    std::string answer(const std::string &id)
    {
        if (id.compare(0, 2, "r-") != 0) {
            return success(id);
        }
        const int connection = m_server.connections();
        const auto [it, isFirst] = m_refusedOn.emplace(id, connection);
        if (isFirst) {
            ++m_refusals;
            return m_firstAnswer(id);
        }
        ++m_runs;
        return it->second == connection ? m_firstAnswer(id) + success(id) : success(id);
    }

    const FirstAnswer m_firstAnswer;
    std::map<std::string, int> m_refusedOn;
    std::atomic<int> m_refusals{0};
    std::atomic<int> m_runs{0};
    RawServer m_server;
};

/// One worker whose route `/a/` leads to the servers of the test; its requests may run once.
class StaleAnswerTest : public WorkerTest
{
protected:
    StaleAnswerTest()
    {
        shared.setDialect(refusalDialect());
        repeatability = Repeatability::AtMostOnce;
        routeTimeoutMs = 5'000;
    }

    void start(const std::vector<std::string> &addresses, Distribution distribution = Distribution::Balanced)
    {
        setRoutes(addresses, distribution);
        listen();
    }

    /// Sends one request that may run once on a connection of its own; returns the status that its caller got.
    int statusOf(const std::string &id)
    {
        return statusOf(id, [] {});
    }

    /// As above; `betweenPasses` is called between the passes of the worker.
    int statusOf(const std::string &id, const std::function<void()> &betweenPasses)
    {
        RawCaller caller(worker.address());
        caller.send(
            fmt::format("POST /a/1 HTTP/1.1\r\nHost: shop.example\r\nRequest: {}\r\nContent-Length: 1\r\n\r\nx", id));
        runUntil([&] {
            betweenPasses();
            return caller.received().find("\r\n\r\n") != std::string::npos;
        });
        const auto received = caller.received();
        return received.size() > 12 ? std::stoi(received.substr(9, 3)) : 0;
    }

    /// An idempotent request whose first attempt ends with `statusLine`, without a statement that it has not run.
    void expectSuccessAfterACopyOf(const std::string &statusLine)
    {
        CopyingServer server([&](const std::string &id) {
            return fmt::format("HTTP/1.1 {}\r\nRequest: {}\r\nContent-Length: 1\r\n\r\nx", statusLine, id);
        });
        repeatability = Repeatability::Idempotent;
        maxAttempts = 2;
        start({server.address()});
        fillRetryBudget();
        EXPECT_EQ(statusOf("r-1"), 200);
        EXPECT_EQ(server.runs(), 1);
    }

    /// Sends requests that succeed until the retry budget allows a retry.
    void fillRetryBudget()
    {
        for (int n = 0; n < 30; ++n) {
            EXPECT_EQ(statusOf("first"), 200);
        }
    }
};
}

// Controls for the tests below: a refusal of the request itself, with its id or without an id, is passed on.
TEST_F(StaleAnswerTest, RefusalWithTheIdOfTheRequestIsBelieved)
{
    RawServer server([](int, const std::string &request) { return refusal(503, idOf(request)); });
    start({server.address()});
    EXPECT_EQ(statusOf("r-1"), 503);
}

TEST_F(StaleAnswerTest, RefusalWithoutIdOnANewConnectionIsBelieved)
{
    RawServer server([](int, const std::string &) { return refusal(503, ""); });
    start({server.address()});
    EXPECT_EQ(statusOf("r-1"), 503);
    EXPECT_EQ(statusOf("r-2"), 503);
    EXPECT_EQ(server.connections(), 2) << "a copy of the first refusal could not be told from the second one";
}

// Servers name the request in their responses, and bytes too many may look like a response. Guards against taking one
// without an id, where the response to this request is due, for a refusal of it (REFUSED), and running it elsewhere
// (TWICE).
TEST_F(StaleAnswerTest, RefusalWithoutIdOnAKeptConnectionLeavesTheOutcomeUnknown)
{
    const auto script = [](int, const std::string &request) {
        const auto id = idOf(request);
        return id == "first" ? success(id) : refusal(503, "") + success(id);
    };
    RawServer first(script);
    RawServer second(script);
    start({first.address(), second.address()});
    fillRetryBudget();
    const int before = first.requests() + second.requests();
    EXPECT_EQ(statusOf("r-1"), 502);
    EXPECT_EQ(first.requests() + second.requests(), before + 1);
}

// Guards against passing on a failure that belongs to another request (MIXED).
TEST_F(StaleAnswerTest, FailureWithoutIdOnAKeptConnectionIsNotPassedOn)
{
    RawServer server([](int, const std::string &request) {
        const auto id = idOf(request);
        return id == "first" ? success(id) : "HTTP/1.1 404 Not Found\r\nContent-Length: 1\r\n\r\nx" + success(id);
    });
    start({server.address()});
    EXPECT_EQ(statusOf("first"), 200);
    EXPECT_EQ(statusOf("r-1"), 502);
}

// Guards against metrics from which a refusal over a kept connection, which may be a copy, cannot be told from others,
// and which do not show discarded answers.
TEST_F(StaleAnswerTest, MetricsTellOverWhichConnectionARefusalCame)
{
    RawServer server(
        [](int n, const std::string &request) { return refusal(503, n <= 2 ? idOf(request) : "another id"); });
    start({server.address()});
    const auto count = [&](const char *labels) {
        return metrics.counter("galenarock_server_refusals_total", labels).value();
    };
    EXPECT_EQ(statusOf("r-1"), 503);
    EXPECT_EQ(count("connection=\"new\",id=\"same\""), 1U);
    EXPECT_EQ(statusOf("r-2"), 503);
    EXPECT_EQ(count("connection=\"kept\",id=\"same\""), 1U);
    EXPECT_EQ(statusOf("r-3"), 502);
    EXPECT_EQ(metrics.counter("galenarock_mismatched_answers_total").value(), 1U);
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

// Guards against "not run" from a head that is otherwise malformed (REFUSED), and against running the request at a
// second server (TWICE).
TEST_F(StaleAnswerTest, MalformedRefusalLeavesTheOutcomeUnknown)
{
    const std::vector<std::string> fields{"A : b", "Content-Length: 2", "A: b\x01"};
    const auto script = [&](int, const std::string &request) {
        const auto id = idOf(request);
        if (id == "first") {
            return success(id);
        }
        const auto &field = fields.at(static_cast<std::size_t>(id.back() - '0'));
        return fmt::format("HTTP/1.1 503 Refused\r\nRequest: {}\r\nNot-Run: 1\r\nContent-Length: 1\r\n{}\r\n\r\nx", id,
                           field);
    };
    RawServer first(script);
    RawServer second(script);
    start({first.address(), second.address()});
    fillRetryBudget();
    const int before = first.requests() + second.requests();
    for (std::size_t n = 0; n < fields.size(); ++n) {
        EXPECT_EQ(statusOf(fmt::format("r-{}", n)), 502) << fields[n];
    }
    EXPECT_EQ(first.requests() + second.requests(), before + 3);
}

// Guards against a choice between two values of one field, as of the id, by which the caller may decide otherwise.
TEST_F(StaleAnswerTest, FieldWithTwoValuesLeavesTheOutcomeUnknown)
{
    RawServer server([&](int, const std::string &request) {
        const auto id = idOf(request);
        return fmt::format("HTTP/1.1 200 OK\r\nRequest: {}\r\nRequest: other\r\nContent-Length: 2\r\n\r\nok", id);
    });
    start({server.address()});
    EXPECT_EQ(statusOf("r-1"), 502);
}

// Guards against a server that runs a request under another id than the router has read.
TEST_F(StaleAnswerTest, RequestWithTwoIdsIsRefused)
{
    RawServer server([](int, const std::string &request) { return success(idOf(request)); });
    start({server.address()});
    EXPECT_EQ(statusOf("r-1\r\nRequest: r-2"), 400);
    EXPECT_EQ(server.requests(), 0);
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

// Two entries with one address: a server has started again under a new id, and its old entry is still there. Guards
// against believing the copy of the refusal when the request comes to the same connection under the other name
// (REFUSED, TWICE).
TEST_F(StaleAnswerTest, RepeatedRefusalUnderAnotherServerNameIsNotBelieved)
{
    CopyingServer server(421);
    start({server.address(), server.address()});
    fillRetryBudget();
    EXPECT_EQ(statusOf("r-1"), 200);
    EXPECT_EQ(server.runs(), 1);
}

// As above when the server is full.
TEST_F(StaleAnswerTest, RepeatedOverloadUnderAnotherServerNameIsNotBelieved)
{
    CopyingServer server(503);
    start({server.address(), server.address()});
    fillRetryBudget();
    EXPECT_EQ(statusOf("r-1"), 200);
    EXPECT_EQ(server.runs(), 1);
}

// As above in a keyed service whose owner gets another name between the attempts.
TEST_F(StaleAnswerTest, RepeatedRefusalByARenamedOwnerIsNotBelieved)
{
    CopyingServer server(421);
    start({server.address(), server.address()}, Distribution::Keyed);
    fillRetryBudget();
    const auto renameOwner = [&] {
        if (server.refusals() > 0 && keyOwner == 0) {
            keyOwner = 1;
            setRoutes({server.address(), server.address()}, Distribution::Keyed);
        }
    };
    EXPECT_EQ(statusOf("r-1", renameOwner), 200);
    EXPECT_EQ(keyOwner, 1);
    EXPECT_EQ(server.runs(), 1);
}

// A request that was refused comes again with the same id, from its caller or through another VM. Guards against
// believing the copy of the former refusal (REFUSED).
TEST_F(StaleAnswerTest, RepeatedRefusalOfAnIdThatComesAgainIsNotBelieved)
{
    CopyingServer server(503);
    start({server.address()});
    EXPECT_EQ(statusOf("r-1"), 503);
    EXPECT_EQ(statusOf("r-1"), 200);
    EXPECT_EQ(server.runs(), 1);
}

// Guards against forgetting the refusal when another request has been answered on the connection: a copy may come late.
TEST_F(StaleAnswerTest, RefusalRepeatedAfterAnotherAnswerIsNotBelieved)
{
    CopyingServer server(503);
    start({server.address()});
    EXPECT_EQ(statusOf("r-1"), 503);
    EXPECT_EQ(statusOf("first"), 200);
    EXPECT_EQ(server.connections(), 1);
    EXPECT_EQ(statusOf("r-1"), 200);
    EXPECT_EQ(server.runs(), 1);
}

// An idempotent request is tried again after a failure of its server. Guards against taking the copy of the failure for
// the answer to the second attempt.
TEST_F(StaleAnswerTest, RepeatedFailureOfAnIdempotentRequestIsNotBelieved)
{
    expectSuccessAfterACopyOf("500 Failed");
}

// As above for a status that promises that the request has not run, without a statement of the server that it has not.
TEST_F(StaleAnswerTest, RepeatedUnconfirmedRefusalOfAnIdempotentRequestIsNotBelieved)
{
    expectSuccessAfterACopyOf("429 Too Many Requests");
}

// Guards against forgetting a refusal when many have followed on the connection: it is closed instead.
TEST_F(StaleAnswerTest, RefusalRepeatedAfterManyOthersIsNotBelieved)
{
    constexpr int refusals = 2 * static_cast<int>(ExcludedIds::Capacity);
    CopyingServer server(503);
    maxAttempts = 1;
    start({server.address()});
    for (int n = 0; n < refusals; ++n) {
        EXPECT_EQ(statusOf(fmt::format("r-{}", n)), 503);
    }
    EXPECT_EQ(server.connections(), 2);
    EXPECT_EQ(statusOf("r-0"), 200);
    EXPECT_EQ(statusOf(fmt::format("r-{}", refusals - 1)), 200);
    EXPECT_EQ(server.runs(), 2);
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

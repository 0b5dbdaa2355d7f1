#include <deque>
#include <map>
#include <random>

#include <gtest/gtest.h>

#include <fmt/format.h>

#include "proxy/callerpipeline_p.h"

using namespace Galenarock;

namespace
{
const Instant Start{seconds(100)};

/// A pipeline whose requests wait until the test answers them. Targets that begin with `/safe` may run ahead.
class CallerPipelineTest : public testing::Test
{
protected:
    CallerPipelineTest()
    {
        open({});
    }

    void open(const PipelineLimits &limits)
    {
        PipelineHooks hooks;
        hooks.onRequest = [this](const std::shared_ptr<Exchange> &it) {
            started.push_back(it);
            it->onEnded = [this, target = it->target()](bool complete) {
                ended[target] = complete;
            };
        };
        hooks.mayRunAhead = [](const Exchange &it) {
            return it.target().rfind("/safe", 0) == 0;
        };
        hooks.isStopping = [this] {
            return isStopping;
        };
        hooks.onMalformed = [this](std::string_view text) {
            malformed = std::string(text);
        };
        hooks.onChanged = [] {
        };
        hooks.socket = [] {
            return -1;
        };
        pipeline = std::make_unique<CallerPipeline>(limits, std::move(hooks), "127.0.0.1");
    }

    static std::string get(const std::string &target)
    {
        return fmt::format("GET {} HTTP/1.1\r\nHost: a\r\n\r\n", target);
    }

    void receive(const std::string &bytes)
    {
        pipeline->receive(now, bytes);
        pipeline->pump(now);
    }

    void answer(std::size_t n, const std::string &body)
    {
        started.at(n)->respond(200, {}, body);
        pipeline->pump(now);
    }

    /// Bodies of the responses so far, in their order.
    std::vector<std::string> bodies() const
    {
        std::vector<std::string> list;
        const auto &text = pipeline->output();
        for (auto at = text.find("Content-Length: "); at != std::string::npos;
             at = text.find("Content-Length: ", at + 1)) {
            const auto n = std::stoul(text.substr(at + 16));
            list.push_back(text.substr(text.find("\r\n\r\n", at) + 4, n));
        }
        return list;
    }

    Instant now = Start;
    bool isStopping = false;
    std::string malformed;
    std::vector<std::shared_ptr<Exchange>> started;
    /// Targets of the exchanges that have ended, and whether their responses were complete.
    std::map<std::string, bool> ended;
    std::unique_ptr<CallerPipeline> pipeline;
};
}

// Guards against pipelined reads that wait for each other: four of 150 ms each took 600 ms, and the last ones were late
// before any server was chosen.
TEST_F(CallerPipelineTest, IdempotentRequestsStartSideBySide)
{
    receive(get("/safe/1") + get("/safe/2") + get("/safe/3") + get("/safe/4"));
    ASSERT_EQ(started.size(), 4U);
    EXPECT_FALSE(started[0]->isReadAhead());
    EXPECT_TRUE(started[3]->isReadAhead());
}

// Guards against a response that reaches another request than its own.
TEST_F(CallerPipelineTest, ResponsesKeepTheOrderOfTheRequests)
{
    receive(get("/safe/1") + get("/safe/2") + get("/safe/3"));
    answer(2, "third");
    answer(1, "second");
    EXPECT_TRUE(bodies().empty());
    answer(0, "first");
    EXPECT_EQ(bodies(), (std::vector<std::string>{"first", "second", "third"}));
    EXPECT_TRUE(pipeline->isIdle());
    EXPECT_FALSE(pipeline->isClosing());
}

// Guards against a request that runs twice: behind a response that closes the connection the caller sends it again.
TEST_F(CallerPipelineTest, OtherRequestsStartWhenAllBeforeThemAreAnswered)
{
    receive(get("/safe/1") + get("/order/2") + get("/safe/3"));
    ASSERT_EQ(started.size(), 1U);
    answer(0, "first");
    ASSERT_EQ(started.size(), 2U);
    EXPECT_EQ(started[1]->target(), "/order/2");
    EXPECT_FALSE(started[1]->isReadAhead());
    answer(1, "second");
    ASSERT_EQ(started.size(), 3U);
    answer(2, "third");
    EXPECT_EQ(bodies(), (std::vector<std::string>{"first", "second", "third"}));
}

// Guards against deadlines and retry budgets that count from the start of a request that had waited unread.
TEST_F(CallerPipelineTest, WaitingRequestKeepsTheTimeAtWhichItWasRead)
{
    receive(get("/order/1") + get("/order/2"));
    now += seconds(2);
    answer(0, "first");
    ASSERT_EQ(started.size(), 2U);
    EXPECT_EQ(started[1]->readAt(), Start);
}

// Guards against one caller that takes all of a worker's capacity with a deep pipeline; beyond the bound it is read
// later, and no request is lost.
TEST_F(CallerPipelineTest, RequestsBeyondTheBoundAreReadLater)
{
    PipelineLimits limits;
    limits.requests = 3;
    open(limits);
    std::string all;
    for (int n = 0; n < 7; ++n) {
        all += get(fmt::format("/safe/{}", n));
    }
    receive(all);
    EXPECT_EQ(started.size(), 3U);
    EXPECT_FALSE(pipeline->wantsInput());
    for (std::size_t n = 0; n < 7; ++n) {
        answer(n, std::to_string(n));
    }
    EXPECT_EQ(bodies(), (std::vector<std::string>{"0", "1", "2", "3", "4", "5", "6"}));
    EXPECT_TRUE(pipeline->wantsInput());
}

// Guards against memory without bound for responses that wait behind a slow one.
TEST_F(CallerPipelineTest, HeldResponsesAreBounded)
{
    PipelineLimits limits;
    limits.heldBytes = 100;
    open(limits);
    receive(get("/safe/1") + get("/safe/2"));
    started[1]->startResponse(200, {}, {});
    const std::string bytes(60, 'x');
    EXPECT_TRUE(started[1]->appendResponse(bytes.data(), bytes.size()));
    EXPECT_FALSE(started[1]->appendResponse(bytes.data(), bytes.size()));
    bool isDrained = false;
    started[1]->onResponseDrained = [&] {
        isDrained = true;
    };
    answer(0, "first");
    EXPECT_TRUE(isDrained);
    EXPECT_TRUE(started[1]->appendResponse(bytes.data(), bytes.size()));
}

// As before: complete responses that wait keep further requests from being read.
TEST_F(CallerPipelineTest, NothingIsReadBeyondTheHeldBytes)
{
    PipelineLimits limits;
    limits.heldBytes = 100;
    open(limits);
    receive(get("/safe/1") + get("/safe/2"));
    answer(1, std::string(200, 'x'));
    EXPECT_FALSE(pipeline->wantsInput());
    receive(get("/safe/3"));
    EXPECT_EQ(started.size(), 2U);
    answer(0, "first");
    EXPECT_EQ(started.size(), 3U);
}

// Guards against requests that are run or counted as served behind a response that ends their connection.
TEST_F(CallerPipelineTest, ClosingResponseEndsTheRequestsBehindIt)
{
    receive("GET /safe/1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n" + get("/safe/2"));
    ASSERT_EQ(started.size(), 1U);
    answer(0, "first");
    EXPECT_TRUE(pipeline->isClosing());
    EXPECT_NE(pipeline->output().find("Connection: close\r\n"), std::string::npos);
    EXPECT_EQ(started.size(), 1U);
    EXPECT_EQ(bodies(), (std::vector<std::string>{"first"}));
}

// Guards against requests that a stopping daemon has sent to servers and then leaves without an answer.
TEST_F(CallerPipelineTest, StoppingDaemonAnswersWhatItHasStarted)
{
    receive(get("/safe/1") + get("/safe/2"));
    isStopping = true;
    receive(get("/safe/3"));
    EXPECT_EQ(started.size(), 2U);
    answer(0, "first");
    EXPECT_EQ(pipeline->output().find("Connection: close"), std::string::npos);
    EXPECT_FALSE(pipeline->isClosing());
    answer(1, "second");
    EXPECT_EQ(bodies(), (std::vector<std::string>{"first", "second"}));
    EXPECT_NE(pipeline->output().find("Connection: close"), std::string::npos);
    EXPECT_TRUE(pipeline->isClosing());
    EXPECT_EQ(started.size(), 2U);
}

// Guards against servers that go on working for a caller that has left.
TEST_F(CallerPipelineTest, CallerThatLeavesEndsAllItsRequests)
{
    receive(get("/safe/1") + get("/safe/2") + get("/safe/3"));
    answer(1, "second");
    pipeline->disconnect();
    EXPECT_EQ(ended, (std::map<std::string, bool>{{"/safe/1", false}, {"/safe/2", false}, {"/safe/3", false}}));
    EXPECT_TRUE(started[0]->hasEnded());
    started[0]->respond(200, {}, "late");
    EXPECT_TRUE(pipeline->output().empty());
}

// Guards against the next response that starts inside a body that was cut off.
TEST_F(CallerPipelineTest, ResponseThatBreaksOffEndsTheConnection)
{
    receive(get("/safe/1") + get("/safe/2"));
    started[0]->startResponse(200, {}, 10);
    started[0]->appendResponse("abc", 3);
    answer(1, "second");
    started[0]->abortResponse();
    pipeline->pump(now);
    EXPECT_TRUE(pipeline->isClosing());
    EXPECT_FALSE(pipeline->needsReset());
    EXPECT_EQ(pipeline->output().find("second"), std::string::npos);
    EXPECT_EQ(ended["/safe/2"], false);
}

// As before, for a server that sends less than it has stated.
TEST_F(CallerPipelineTest, ShortBodyEndsTheConnection)
{
    receive(get("/safe/1") + get("/safe/2"));
    started[0]->startResponse(200, {}, 10);
    started[0]->appendResponse("abc", 3);
    started[0]->finishResponse();
    answer(1, "second");
    EXPECT_TRUE(pipeline->isClosing());
    EXPECT_EQ(ended["/safe/1"], false);
}

// Guards against a body that is cut off and looks complete, since its end is the end of the connection.
TEST_F(CallerPipelineTest, BodyWithoutALengthThatBreaksOffNeedsAReset)
{
    receive("GET /safe/1 HTTP/1.0\r\nConnection: keep-alive\r\n\r\n");
    started[0]->startResponse(200, {}, {});
    started[0]->appendResponse("abc", 3);
    started[0]->abortResponse();
    pipeline->pump(now);
    EXPECT_TRUE(pipeline->isClosing());
    EXPECT_TRUE(pipeline->needsReset());
}

// Guards against a caller that cannot find the end of a body whose length is not known.
TEST_F(CallerPipelineTest, StreamedBodiesAreChunkedOrEndWithTheConnection)
{
    receive(get("/safe/1"));
    started[0]->startResponse(200, {{"X", "1"}}, {});
    started[0]->appendResponse("abc", 3);
    started[0]->finishResponse();
    pipeline->pump(now);
    EXPECT_NE(pipeline->output().find("X: 1\r\n"), std::string::npos);
    EXPECT_NE(pipeline->output().find("Transfer-Encoding: chunked\r\n"), std::string::npos);
    EXPECT_NE(pipeline->output().find("\r\n\r\n3\r\nabc\r\n0\r\n\r\n"), std::string::npos) << pipeline->output();
    EXPECT_FALSE(pipeline->isClosing());
    pipeline->output().clear();
    receive("GET /safe/2 HTTP/1.0\r\n\r\n");
    started[1]->startResponse(200, {}, {});
    started[1]->finishResponse();
    pipeline->pump(now);
    EXPECT_EQ(pipeline->output().find("chunked"), std::string::npos);
    EXPECT_TRUE(pipeline->isClosing());
    EXPECT_FALSE(pipeline->needsReset());
}

// Guards against a body behind responses that have none, where the next response would be searched.
TEST_F(CallerPipelineTest, ResponsesWithoutABody)
{
    receive("HEAD /safe/1 HTTP/1.1\r\nHost: a\r\n\r\n" + get("/safe/2"));
    started[0]->respond(200, {}, "not sent");
    started[1]->respond(204, {}, "not sent");
    pipeline->pump(now);
    EXPECT_EQ(pipeline->output().find("not sent"), std::string::npos);
    EXPECT_NE(pipeline->output().find("Content-Length: 8\r\n"), std::string::npos);
    EXPECT_TRUE(pipeline->isIdle());
}

// Guards against bodies that are taken for requests, and against reading a request before the body before it has ended.
TEST_F(CallerPipelineTest, BodiesAreReadBeforeTheNextRequest)
{
    receive("POST /safe/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 20\r\n\r\nGET /x HTTP");
    ASSERT_EQ(started.size(), 1U);
    EXPECT_FALSE(started[0]->isRequestComplete());
    receive("/1.1\r\n\r\n\n" + get("/safe/2"));
    EXPECT_TRUE(started[0]->isRequestComplete());
    EXPECT_EQ(std::string(started[0]->requestBody().data(), started[0]->requestBody().size()),
              "GET /x HTTP/1.1\r\n\r\n\n");
    ASSERT_EQ(started.size(), 2U);
    EXPECT_EQ(started[1]->target(), "/safe/2");
}

// Guards against buffering a whole upload while the server is slow to take it.
TEST_F(CallerPipelineTest, BodyBeyondItsBufferWaits)
{
    const std::string part(StreamBufferBytes / 4, 'x');
    receive(fmt::format("POST /order/1 HTTP/1.1\r\nHost: a\r\nContent-Length: {}\r\n\r\n", 6 * part.size()));
    for (int n = 0; n < 5; ++n) {
        receive(part);
    }
    EXPECT_EQ(started[0]->requestBody().size(), StreamBufferBytes);
    EXPECT_FALSE(pipeline->wantsInput());
    started[0]->requestBody().clear();
    started[0]->continueRequestBody();
    pipeline->pump(now);
    EXPECT_TRUE(pipeline->wantsInput());
    receive(part);
    EXPECT_TRUE(started[0]->isRequestComplete());
    EXPECT_EQ(started[0]->requestBody().size(), 2 * part.size());
}

// Guards against a connection that is lost with each upload that is refused early.
TEST_F(CallerPipelineTest, RestOfARefusedBodyIsDiscarded)
{
    receive("POST /order/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nabc");
    answer(0, "refused");
    EXPECT_EQ(bodies(), (std::vector<std::string>{"refused"}));
    EXPECT_FALSE(pipeline->isClosing());
    receive("defghij" + get("/safe/2"));
    ASSERT_EQ(started.size(), 2U);
    EXPECT_EQ(started[1]->target(), "/safe/2");
}

// Guards against reading a large upload in vain, and against a caller that streams without end after its refusal.
TEST_F(CallerPipelineTest, LongRestOfARefusedBodyEndsTheConnection)
{
    receive("POST /order/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 10000000\r\n\r\nabc");
    answer(0, "refused");
    EXPECT_TRUE(pipeline->isClosing());
    PipelineLimits limits;
    limits.discardedBytes = 100;
    open(limits);
    receive("POST /order/1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n");
    answer(1, "refused");
    EXPECT_FALSE(pipeline->isClosing());
    for (int n = 0; n < 20 && !pipeline->isClosing(); ++n) {
        receive("a\r\n0123456789\r\n");
    }
    EXPECT_TRUE(pipeline->isClosing());
}

// Guards against callers that wait for an interim response, and against one that ends in the response of another
// request.
TEST_F(CallerPipelineTest, InterimResponseComesInItsTurn)
{
    receive(get("/safe/1") + "POST /safe/2 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n");
    EXPECT_EQ(started.size(), 2U);
    EXPECT_TRUE(pipeline->output().empty());
    answer(0, "first");
    const auto interim = pipeline->output().find("HTTP/1.1 100 Continue\r\n\r\n");
    EXPECT_GT(interim, pipeline->output().find("first"));
    receive("abc");
    answer(1, "second");
    EXPECT_EQ(bodies(), (std::vector<std::string>{"first", "second"}));
    EXPECT_FALSE(pipeline->isClosing());
}

// Guards against taking the next request for the body that the caller did not send after its refusal.
TEST_F(CallerPipelineTest, RefusalInPlaceOfAnInterimResponseEndsTheConnection)
{
    PipelineHooks hooks;
    receive(get("/safe/1") + "POST /safe/2 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n");
    answer(1, "refused");
    answer(0, "first");
    EXPECT_EQ(bodies(), (std::vector<std::string>{"first", "refused"}));
    EXPECT_TRUE(pipeline->isClosing());
}

// Guards against requests that two parsers read differently, so that one could be smuggled inside another. The response
// comes in its turn, and nothing behind it is read.
TEST_F(CallerPipelineTest, UnreadableRequestsAreRefusedInTheirTurn)
{
    const std::string host = "Host: a\r\n";
    const std::vector<std::pair<std::string, unsigned>> cases{
        {"GET /x HTTP/1.1\r\n" + host + "Content-Length: 3\r\nContent-Length: 3\r\n\r\n", 400},
        {"GET /x HTTP/1.1\r\n" + host + "Content-Length: 3, 3\r\n\r\n", 400},
        {"GET /x HTTP/1.1\r\n" + host + "Content-Length: +3\r\n\r\n", 400},
        {"GET /x HTTP/1.1\r\n" + host + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", 400},
        {"GET /x HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n", 400},
        {"GET /x HTTP/1.1\r\n" + host + "Transfer-Encoding: gzip, chunked\r\n\r\n", 400},
        {"GET /x HTTP/1.1\r\n" + host + "Transfer-Encoding: identity\r\n\r\n", 400},
        {"GET /x HTTP/1.1\n" + host + "\r\n", 400},
        {"GET /x HTTP/1.1\r\nHost: a\n\r\n", 400},
        {"GET /x HTTP/1.1\r\n" + host + "A: b\r\n c\r\n\r\n", 400},
        {"GET /x HTTP/1.1\r\n" + host + "A : b\r\n\r\n", 400},
        {"GET /x HTTP/1.1\r\n\r\n", 400},
        {"GET /x HTTP/1.1\r\n" + host + host + "\r\n", 400},
        {"GET /x y HTTP/1.1\r\n" + host + "\r\n", 400},
        {"GET /x HTTP/2.0\r\n" + host + "\r\n", 505},
        {"garbage\r\n\r\n", 400},
        {"GET /x HTTP/1.1\r\n" + host + "A: " + std::string(9'000, 'x') + "\r\n\r\n", 431},
        {"GET /" + std::string(9'000, 'x'), 431},
    };
    for (const auto &[bytes, status] : cases) {
        open({});
        started.clear();
        receive(get("/safe/1") + bytes + get("/safe/3"));
        ASSERT_EQ(started.size(), 1U) << bytes;
        EXPECT_TRUE(pipeline->output().empty()) << bytes;
        answer(0, "first");
        EXPECT_NE(pipeline->output().find(fmt::format("HTTP/1.1 {} ", status)), std::string::npos)
            << bytes << "\n"
            << pipeline->output();
        EXPECT_TRUE(pipeline->isClosing()) << bytes;
        EXPECT_EQ(started.size(), 1U) << bytes;
        EXPECT_FALSE(malformed.empty());
    }
}

// Guards against a body whose framing turns out to be malformed while its request is already at a server.
TEST_F(CallerPipelineTest, MalformedChunksEndTheirRequest)
{
    for (const auto *bytes : {"zz\r\n", "3\nabc", "3\r\nabcd\r\n0\r\n\r\n", "3;\n", "fffffffffffffffff\r\n"}) {
        open({});
        started.clear();
        ended.clear();
        receive(get("/safe/1") + "POST /safe/2 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n");
        ASSERT_EQ(started.size(), 2U);
        receive(bytes);
        EXPECT_EQ(ended, (std::map<std::string, bool>{{"/safe/2", false}})) << bytes;
        answer(0, "first");
        EXPECT_NE(pipeline->output().find("HTTP/1.1 400 "), std::string::npos) << bytes;
        EXPECT_TRUE(pipeline->isClosing());
    }
}

// Guards against a size line without end that fills the memory.
TEST_F(CallerPipelineTest, EndlessChunkSizeLineIsRefused)
{
    receive("POST /safe/1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3;");
    for (int n = 0; n < 10 && !pipeline->isClosing(); ++n) {
        receive(std::string(2'000, 'x'));
    }
    EXPECT_TRUE(pipeline->isClosing());
}

// Guards against a field in a trailer that is taken for one of the head.
TEST_F(CallerPipelineTest, TrailerFieldsAreNotHeaderFields)
{
    receive("POST /safe/1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n");
    receive("3\r\nabc\r\n0\r\nRequest: r-9\r\n\r\n" + get("/safe/2"));
    ASSERT_EQ(started.size(), 2U);
    EXPECT_TRUE(started[0]->header("Request").empty());
    EXPECT_EQ(started[0]->requestBody().size(), 3U);
}

// Guards against heads that are read differently when their bytes arrive one by one.
TEST_F(CallerPipelineTest, BytesMayArriveOneByOne)
{
    const auto all = "\r\n" + get("/safe/1")
        + "POST /safe/2?a=%20 HTTP/1.1\r\nhost: a\r\nA:  b \r\nTransfer-Encoding: "
          "chunked\r\n\r\n1\r\nx\r\n2\r\nyz\r\n0\r\n\r\n"
        + get("/safe/3");
    for (const char it : all) {
        receive(std::string(1, it));
    }
    ASSERT_EQ(started.size(), 3U);
    EXPECT_EQ(started[1]->target(), "/safe/2?a=%20");
    EXPECT_EQ(started[1]->header("a"), "b");
    EXPECT_EQ(std::string(started[1]->requestBody().data(), started[1]->requestBody().size()), "xyz");
}

namespace
{
/// What one response of the connection says: the number of its request, or that the connection ended inside it.
struct ModelRequest
{
    int number = 0;
    bool isSafe = true;
    bool closes = false;
    std::size_t bodyBytes = 0;
};

std::string textOf(const ModelRequest &it)
{
    return fmt::format("{} /{}/{} HTTP/1.1\r\nHost: a\r\n{}Content-Length: {}\r\n\r\n{}", it.isSafe ? "GET" : "POST",
                       it.isSafe ? "safe" : "order", it.number, it.closes ? "Connection: close\r\n" : "", it.bodyBytes,
                       std::string(it.bodyBytes, 'b'));
}
}

// Random pipelines, service times, ways to answer, cuts and closes, against a model: the responses are those of the
// requests in their order, none is missing before the end of the connection and none follows it, and no request that is
// not idempotent runs beside or behind an unanswered one.
TEST_F(CallerPipelineTest, RandomPipelinesGiveTheResponsesOfTheModel)
{
    for (unsigned seed = 0; seed < 2'000; ++seed) {
        std::mt19937 random(seed);
        PipelineLimits limits;
        limits.requests = 1 + random() % 5;
        open(limits);
        started.clear();
        ended.clear();
        std::vector<ModelRequest> requests(1 + random() % 8);
        std::string input;
        for (std::size_t n = 0; n < requests.size(); ++n) {
            requests[n] = {static_cast<int>(n), random() % 4 != 0, random() % 12 == 0, random() % 3 * 7};
            input += textOf(requests[n]);
        }
        std::string output;
        std::vector<bool> answered(requests.size(), false);
        std::vector<bool> streamed(requests.size(), false);
        int cutAt = -1;
        std::size_t seen = 0;
        const auto checkStarts = [&] {
            for (; seen < started.size(); ++seen) {
                const auto isFirst = std::all_of(answered.begin(), answered.begin() + static_cast<long>(seen),
                                                 [](bool it) { return it; });
                EXPECT_TRUE(isFirst || requests[seen].isSafe) << seed;
                EXPECT_EQ(started[seen]->target(),
                          fmt::format("/{}/{}", requests[seen].isSafe ? "safe" : "order", seen))
                    << seed;
            }
            EXPECT_LE(pipeline->depth(), limits.requests) << seed;
        };
        for (int step = 0; step < 400 && !pipeline->isClosing(); ++step) {
            if (!input.empty() && pipeline->wantsInput() && random() % 2 == 0) {
                const auto n = std::min<std::size_t>(input.size(), 1 + random() % 60);
                receive(input.substr(0, n));
                input.erase(0, n);
            }
            checkStarts();
            if (!started.empty()) {
                const auto n = random() % started.size();
                auto &exchange = *started[n];
                const auto body = fmt::format("<{}>", n);
                if (answered[n] || exchange.hasEnded()) {
                    continue;
                }
                if (!streamed[n] && random() % 2 == 0) {
                    exchange.respond(200, {}, body);
                    answered[n] = true;
                } else if (!streamed[n]) {
                    exchange.startResponse(
                        200, {}, random() % 2 == 0 ? std::optional<std::uint64_t>(body.size()) : std::nullopt);
                    streamed[n] = true;
                } else if (random() % 10 == 0) {
                    exchange.abortResponse();
                    answered[n] = true;
                    cutAt = cutAt < 0 ? static_cast<int>(n) : std::min(cutAt, static_cast<int>(n));
                } else {
                    EXPECT_TRUE(exchange.appendResponse(body.data(), body.size()));
                    exchange.finishResponse();
                    answered[n] = true;
                }
            }
            pipeline->pump(now);
            if (random() % 3 == 0) {
                output += pipeline->output();
                pipeline->output().clear();
            }
        }
        output += pipeline->output();
        std::string expected;
        bool isEnd = false;
        for (std::size_t n = 0; n < requests.size() && !isEnd; ++n) {
            const bool isCut = static_cast<int>(n) == cutAt;
            const auto marker = fmt::format("<{}>", n);
            if (!isCut && ended.count(started.size() > n ? started[n]->target() : "") > 0) {
                expected += marker;
            }
            isEnd = isCut || requests[n].closes;
        }
        std::string found;
        for (auto at = output.find('<'); at != std::string::npos; at = output.find('<', at + 1)) {
            found += output.substr(at, output.find('>', at) - at + 1);
        }
        EXPECT_EQ(found, expected) << "seed " << seed << "\n" << output;
        EXPECT_EQ(pipeline->isClosing(), isEnd) << seed;
    }
}

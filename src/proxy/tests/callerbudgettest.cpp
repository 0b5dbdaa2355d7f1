#include <gtest/gtest.h>

#include <fmt/format.h>

#include "proxy/callerbudget_p.h"
#include "proxy/callerpipeline_p.h"

using namespace Galenarock;

namespace
{
constexpr std::size_t Megabyte = 1 << 20;
const Instant Start{seconds(100)};

// Guards against defaults that ordinary callers reach on the smallest VM: 120 MB and 3,075 descriptors.
TEST(CallerBudgetTest, SmallestVmHasRoomForItsCallers)
{
    const auto bounds = callerBounds(120, 3'075);
    EXPECT_EQ(bounds.bytes, 48 * Megabyte);
    EXPECT_EQ(bounds.largeBytes, 36 * Megabyte);
    EXPECT_EQ(bounds.connections, 1'437U);
    EXPECT_GT(callerBounds(16'384, 1'000'000).connections, 4'096U);
}

// Guards against a bound that becomes negative, or 0, on a VM with less memory than a process needs.
TEST(CallerBudgetTest, TinyVmKeepsRoomForSomeCallers)
{
    EXPECT_EQ(callerBounds(1, 1).bytes, 4 * Megabyte);
    EXPECT_EQ(callerBounds(1, 1).connections, 1U);
}

// Guards against bytes that count as held for ever after their connection has ended.
TEST(CallerBudgetTest, BytesAreGivenBack)
{
    const auto budget = std::make_shared<CallerBudget>(CallerBounds{1'000'000, 500'000, 10});
    {
        CallerBudget::Share share(budget);
        share.set(400'000);
        share.set(300'000);
        EXPECT_EQ(budget->bytes(), 300'000U);
    }
    EXPECT_EQ(budget->bytes(), 0U);
    EXPECT_FALSE(budget->isExceeded());
}

// Guards against large bodies that take the share of ordinary requests, and against ordinary ones that are bounded by
// the share of large bodies.
TEST(CallerBudgetTest, PartIsKeptForOrdinaryRequests)
{
    const auto budget = std::make_shared<CallerBudget>(CallerBounds{1'000'000, 500'000, 10});
    CallerBudget::Share large(budget);
    large.set(500'001);
    EXPECT_TRUE(budget->isExceeded());
    large.set(500'000);
    EXPECT_FALSE(budget->isExceeded());
    std::vector<std::unique_ptr<CallerBudget::Share>> small;
    for (std::size_t n = 0; n < 10; ++n) {
        small.push_back(std::make_unique<CallerBudget::Share>(budget));
        small.back()->set(50'000);
    }
    EXPECT_FALSE(budget->isExceeded());
    small.front()->set(50'001);
    EXPECT_TRUE(budget->isExceeded());
}

// Guards against ordinary requests that end before the connections that hold the memory.
TEST(CallerBudgetTest, MostBytesAndLeastProgressEndFirst)
{
    EXPECT_FALSE(firstToEnd(Start, {}));
    EXPECT_EQ(firstToEnd(Start, {{10'000, Start}, {500'000, Start}, {20'000, Start}}), 1U);
    EXPECT_EQ(firstToEnd(Start, {{500'000, Start}, {400'000, Start - seconds(1)}}), 1U);
    EXPECT_EQ(firstToEnd(Start, {{500'000, Start}, {20'000, Start - seconds(2)}}), 0U);
    EXPECT_EQ(firstToEnd(Start, {{100'000, Start}, {4'000, Start - seconds(90)}}), 0U);
}

// Guards against uploads that stop and hold their bytes, and against a rate that slow but steady callers do not reach.
TEST(BodyProgressTest, OnlyStalledBodiesEnd)
{
    BodyProgress steady;
    BodyProgress stalled;
    bool hasEnded = false;
    for (int n = 0; n < 120; ++n) {
        const auto now = Start + n * milliseconds(500);
        steady.received(1);
        EXPECT_FALSE(steady.isStalled(now, true));
        hasEnded = hasEnded || stalled.isStalled(now, true);
    }
    EXPECT_TRUE(hasEnded);
}

// Guards against time in which the server takes no more of the body and that counts against the caller.
TEST(BodyProgressTest, TimeInWhichNothingIsReadDoesNotCount)
{
    BodyProgress body;
    EXPECT_FALSE(body.isStalled(Start, true));
    EXPECT_FALSE(body.isStalled(Start + seconds(9), false));
    EXPECT_FALSE(body.isStalled(Start + seconds(11), true));
    EXPECT_FALSE(body.isStalled(Start + seconds(20), true));
    EXPECT_TRUE(body.isStalled(Start + seconds(21), true));
}

/// A pipeline whose requests are refused when they must give way.
class GivingWayTest : public testing::Test
{
protected:
    GivingWayTest()
    {
        PipelineHooks hooks;
        hooks.onRequest = [this](const std::shared_ptr<Exchange> &it) {
            exchanges.push_back(it);
            it->onGiveWay = [exchange = it.get()](std::string_view cause) {
                exchange->respond(503, {}, std::string(cause));
            };
        };
        hooks.mayRunAhead = [](const Exchange &) {
            return true;
        };
        hooks.isStopping = [] {
            return false;
        };
        hooks.onMalformed = [](std::string_view) {
        };
        hooks.onChanged = [] {
        };
        hooks.socket = [] {
            return -1;
        };
        hooks.isMemoryShort = [this] {
            return isMemoryShort;
        };
        pipeline = std::make_unique<CallerPipeline>(PipelineLimits(), std::move(hooks), "127.0.0.1");
    }
    void receive(const std::string &bytes)
    {
        pipeline->receive(Start, bytes);
        pipeline->pump(Start);
    }

    bool isMemoryShort = false;
    std::vector<std::shared_ptr<Exchange>> exchanges;
    std::unique_ptr<CallerPipeline> pipeline;
};

// Guards against buffers that are not counted, so that their sum is not bounded.
TEST_F(GivingWayTest, BytesOfHeadsAndBodiesCount)
{
    const auto before = pipeline->callerBytes();
    receive("GET /a HTTP/1.1\r\nHost: a\r\nFiller: " + std::string(6'000, 'h'));
    EXPECT_GE(pipeline->callerBytes(), before + 6'000);
    receive("\r\nContent-Length: 90000\r\n\r\n" + std::string(80'000, 'b'));
    EXPECT_GE(pipeline->callerBytes(), before + 86'000);
    exchanges.front()->setBufferedBytes(500'000);
    EXPECT_GE(pipeline->callerBytes(), before + 586'000);
}

// Guards against memory that stays in use after the bytes in it have been consumed.
TEST_F(GivingWayTest, EmptyBuffersAreFreed)
{
    const auto before = pipeline->callerBytes();
    receive("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 200000\r\n\r\n" + std::string(200'000, 'b'));
    exchanges.front()->requestBody().clear();
    EXPECT_LE(pipeline->callerBytes(), before + ExchangeCostBytes + 2 * KeptBufferBytes);
}

// Guards against a ready answer that is lost because a request behind it gives way.
TEST_F(GivingWayTest, ReadyAnswersAreSent)
{
    receive("GET /a HTTP/1.1\r\nHost: a\r\n\r\nGET /b HTTP/1.1\r\nHost: a\r\n\r\n");
    receive("POST /c HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nccc");
    ASSERT_EQ(exchanges.size(), 3U);
    exchanges[0]->respond(200, {}, "first");
    exchanges[1]->respond(200, {}, "second");
    ASSERT_TRUE(pipeline->canGiveWay());
    pipeline->giveWay("memory");
    pipeline->pump(Start);
    const auto &output = pipeline->output();
    EXPECT_NE(output.find("first"), std::string::npos);
    EXPECT_NE(output.find("second"), std::string::npos);
    EXPECT_NE(output.find("HTTP/1.1 503"), std::string::npos);
    EXPECT_TRUE(pipeline->isClosing());
    EXPECT_FALSE(pipeline->canGiveWay());
}

// Guards against answers without a bound for a caller that sends small requests and reads nothing.
TEST_F(GivingWayTest, AnswersThatNobodyReadsAreBounded)
{
    constexpr std::size_t answerBytes = 4'000;
    constexpr std::size_t mostBytes = 65'536 + 2 * answerBytes;
    for (std::size_t n = 0; n < 200 && pipeline->wantsInput(); ++n) {
        receive("GET /a HTTP/1.1\r\nHost: a\r\n\r\n");
        exchanges.back()->respond(200, {}, std::string(answerBytes, 'a'));
        pipeline->pump(Start);
    }
    EXPECT_FALSE(pipeline->wantsInput());
    EXPECT_LE(pipeline->output().size(), mostBytes);
    pipeline->output().clear();
    EXPECT_TRUE(pipeline->wantsInput());
}

// Guards against streamed answers that grow for callers that read nothing while memory is short, and against one that
// never goes on although its caller has taken what there was.
TEST_F(GivingWayTest, StreamedAnswersGoOnPieceByPieceWhileMemoryIsShort)
{
    const std::string piece(16'384, 'p');
    receive("GET /a HTTP/1.1\r\nHost: a\r\n\r\nGET /b HTTP/1.1\r\nHost: a\r\n\r\n");
    ASSERT_EQ(exchanges.size(), 2U);
    for (const auto &it : exchanges) {
        it->startResponse(200, {}, 10 * piece.size());
    }
    int drained = 0;
    exchanges[0]->onResponseDrained = [&] {
        ++drained;
    };
    pipeline->output().clear();
    isMemoryShort = true;
    EXPECT_FALSE(exchanges[1]->hasRoom(piece.size()));
    EXPECT_TRUE(exchanges[0]->appendResponse(piece.data(), piece.size()));
    EXPECT_FALSE(exchanges[0]->hasRoom(piece.size()));
    pipeline->pump(Start);
    EXPECT_GE(pipeline->output().size(), piece.size());
    EXPECT_FALSE(exchanges[0]->hasRoom(piece.size()));
    pipeline->output().erase(0, piece.size() / 2);
    pipeline->pump(Start);
    EXPECT_FALSE(exchanges[0]->hasRoom(piece.size()));
    drained = 0;
    pipeline->output().clear();
    pipeline->pump(Start);
    EXPECT_EQ(drained, 1);
    EXPECT_TRUE(exchanges[0]->hasRoom(piece.size()));
    EXPECT_FALSE(exchanges[1]->hasRoom(piece.size()));
    isMemoryShort = false;
    EXPECT_TRUE(exchanges[1]->hasRoom(piece.size()));
}

// Guards against a head without an end that nothing can end.
TEST_F(GivingWayTest, UnfinishedHeadEndsTheConnection)
{
    receive("GET /a HTTP/1.1\r\nHost: a\r\nFiller: " + std::string(6'000, 'h'));
    ASSERT_TRUE(pipeline->canGiveWay());
    pipeline->giveWay("memory");
    EXPECT_TRUE(pipeline->isClosing());
    EXPECT_TRUE(pipeline->output().empty());
    EXPECT_LE(pipeline->callerBytes(), ConnectionCostBytes + 2 * KeptBufferBytes);
}
}

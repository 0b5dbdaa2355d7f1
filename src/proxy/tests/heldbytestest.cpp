#include <gtest/gtest.h>

#include "proxy/callerpipeline_p.h"
#include "proxy/heldbytes_p.h"

using namespace Galenarock;

// Guards against bytes that count as held for ever, so that later responses are no longer collected.
TEST(HeldBytesTest, BytesAreGivenBack)
{
    const HeldBytes other;
    {
        HeldBytes held;
        held.set(MaxHeldResponseBytes);
        EXPECT_FALSE(other.hasRoom(1));
        held.set(MaxHeldResponseBytes - 1);
        EXPECT_TRUE(other.hasRoom(1));
        EXPECT_FALSE(other.hasRoom(2));
    }
    EXPECT_TRUE(other.hasRoom(MaxHeldResponseBytes));
}

// Servers send bodies without end to callers that do not read. Guards against buffers that are bounded for each
// response only: 256 KiB for each of a thousand callers were more than the memory of a VM (LOST).
TEST(HeldBytesTest, EndlessResponsesToManyCallersShareOneLimit)
{
    constexpr std::size_t callers = 200;
    const std::string piece(16'384, 'b');
    std::vector<std::shared_ptr<Exchange>> exchanges;
    std::vector<std::unique_ptr<CallerPipeline>> pipelines;
    for (std::size_t n = 0; n < callers; ++n) {
        PipelineHooks hooks;
        hooks.onRequest = [&](const std::shared_ptr<Exchange> &it) {
            exchanges.push_back(it);
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
        pipelines.push_back(std::make_unique<CallerPipeline>(PipelineLimits(), std::move(hooks), "127.0.0.1"));
        pipelines.back()->receive(Instant(seconds(1)), "GET /safe HTTP/1.1\r\nHost: a\r\n\r\n");
        pipelines.back()->pump(Instant(seconds(1)));
    }
    ASSERT_EQ(exchanges.size(), callers);
    std::size_t taken = 0;
    for (const auto &it : exchanges) {
        it->startResponse(200, {}, std::nullopt);
        std::size_t pieces = 0;
        while (it->appendResponse(piece.data(), piece.size())) {
            ++pieces;
        }
        EXPECT_GE(pieces, 1U); // each response goes on
        taken += pieces * piece.size();
    }
    EXPECT_LE(taken, MaxHeldResponseBytes + callers * piece.size());
}

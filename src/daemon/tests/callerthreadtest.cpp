#include <atomic>
#include <stdexcept>
#include <thread>

#include <gtest/gtest.h>

#include "daemon/callerthread_p.h"
#include "daemon/servercaller_p.h"

using namespace Galenarock;

namespace
{
/// Waits for a thread that works on its own; bounded, so that a thread that has ended fails the test.
bool waitUntil(const std::function<bool()> &condition)
{
    for (int n = 0; n < 10'000 && !condition(); ++n) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return condition();
}
}

// review/7. Guards against one call that cannot be made and ends the process, with all requests of its callers (LOST).
TEST(CallerThreadTest, TaskThatFailsEndsAlone)
{
    std::atomic<int> tasks{0};
    CallerThread thread("test");
    thread.post([](UpstreamClient &) { throw std::runtime_error("not expected"); });
    thread.post([&](UpstreamClient &) { ++tasks; });
    EXPECT_TRUE(waitUntil([&] { return tasks == 1; }));
}

// Guards against a grant call without an end, for which its shard would wait for ever.
TEST(ServerCallerTest, CallThatCannotBeMadeHasAReply)
{
    Metrics metrics;
    std::atomic<int> replies{0};
    std::atomic<bool> hasReply{true};
    ServerCaller caller(
        metrics,
        [&](GrantReplyEvent event) {
            hasReply = event.reply.has_value();
            ++replies;
        },
        [](const std::string &, const std::string &) -> std::vector<std::string> {
            throw std::runtime_error("not expected");
        });
    CallServerAction action;
    action.address = "127.0.0.1:1";
    ASSERT_TRUE(caller.call(action));
    EXPECT_TRUE(waitUntil([&] { return replies == 1; }));
    EXPECT_FALSE(hasReply);
    caller.stop();
}

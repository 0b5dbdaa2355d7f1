#include <gtest/gtest.h>

#include <standin/platformserver_p.h>

#include "loopthread.h"

using namespace Galenarock;
using namespace Galenarock::Standin;

namespace
{
class PlatformTest : public ::testing::Test
{
protected:
    PlatformTest()
        : server(loop, {})
    {
        tryOr(
            [&]() -> Result<int> {
                BOOST_LEAF_CHECK(server.open({}));
                return 0;
            },
            [](ErrorCode, const std::string &detail) {
                ADD_FAILURE() << detail;
                return 1;
            });
        thread = std::make_unique<LoopThread>(loop);
    }

    HttpReply get(const std::string &path, milliseconds timeout = seconds(10))
    {
        return call({"GET", "http://" + server.address() + path, "", {}, timeout});
    }
    HttpReply put(const std::string &path, const nlohmann::json &body, std::vector<std::string> headers = {})
    {
        return call({"PUT", "http://" + server.address() + path, body.dump(), std::move(headers)});
    }
    HttpReply setFaults(const nlohmann::json &faults)
    {
        return call({"POST", "http://" + server.address() + "/control/faults", faults.dump()});
    }
    HttpReply write(std::uint64_t expected, int writer)
    {
        return put("/v1/objects/mandate/vitrina",
                   {{"expectedVersion", expected}, {"writer", writer}, {"value", {{"n", writer}}}});
    }
    nlohmann::json mandate()
    {
        return nlohmann::json::parse(get("/v1/objects/mandate/vitrina").body);
    }
    std::uint64_t callCount(const std::string &callName, const std::string &field)
    {
        std::uint64_t n = 0;
        const auto report = nlohmann::json::parse(get("/control/calls").body);
        for (const auto &it : report["calls"]) {
            n += it["call"] == callName ? it[field].get<std::uint64_t>() : 0;
        }
        return n;
    }

    EventLoop loop;
    PlatformServer server;
    std::unique_ptr<LoopThread> thread;
};
}

// Guards the wire format of reads, writes and conflicts.
TEST_F(PlatformTest, WritesAndReadsObjects)
{
    EXPECT_EQ(get("/v1/objects/mandate/vitrina").status, 404U);
    EXPECT_EQ(write(0, 11).body, R"({"version":1})");
    EXPECT_EQ(mandate()["writer"], 11);
    const auto conflict = write(0, 12);
    EXPECT_EQ(conflict.status, 409U);
    EXPECT_EQ(nlohmann::json::parse(conflict.body)["current"]["writer"], 11);
    EXPECT_EQ(put("/v1/objects/mandate/vitrina", {{"value", 1}}).status, 400U);
}

// A write whose response is lost must have taken effect, once.
TEST_F(PlatformTest, LosesTheResponseAfterTheEffect)
{
    setFaults({{"loseAnswers", 1}});
    EXPECT_EQ(write(0, 11).status, 0U);
    EXPECT_EQ(mandate()["writer"], 11);
    EXPECT_EQ(write(1, 12).status, 200U);
}

// A delayed write must take effect although its sender has given up, and must be checked when it takes effect.
TEST_F(PlatformTest, DelayedWriteTakesEffectLater)
{
    EXPECT_EQ(write(0, 11).status, 200U);
    setFaults({{"delayEffectMs", 200}});
    const auto late = call({"PUT",
                            "http://" + server.address() + "/v1/objects/mandate/vitrina",
                            R"({"expectedVersion":1,"writer":12,"value":{}})",
                            {},
                            milliseconds(20)});
    EXPECT_EQ(late.status, 0U);
    EXPECT_EQ(mandate()["version"], 1);
    EXPECT_EQ(write(1, 13).status, 409U);
    EXPECT_EQ(mandate()["writer"], 12);
}

// A waiting watch must end with the change, and a watch without a change with an empty list.
TEST_F(PlatformTest, WatchReturnsTheNextChange)
{
    HttpReply reply;
    Thread watcher("watch", [&] { reply = get("/v1/watch?kind=mandate&since=0&timeoutMs=20000", seconds(20)); });
    while (nlohmann::json::parse(get("/control/calls").body)["waitingWatches"] == 0) {}
    write(0, 11);
    watcher.join();
    const auto json = nlohmann::json::parse(reply.body);
    EXPECT_EQ(json["revision"], 1);
    EXPECT_EQ(json["items"][0]["writer"], 11);
    EXPECT_EQ(nlohmann::json::parse(get("/v1/watch?kind=mandate&since=1&timeoutMs=1").body)["items"].size(), 0U);
    EXPECT_EQ(callCount("watch", "count"), 2U);
}

// Calls above the ceiling must be refused and counted.
TEST_F(PlatformTest, RefusesCallsAboveTheCeiling)
{
    setFaults({{"writesPerSecond", 0.001}});
    write(0, 11);
    EXPECT_EQ(write(1, 12).status, 429U);
    EXPECT_EQ(callCount("write", "rateLimited"), 1U);
}

// Each form of outage must end waiting watches too, and service must return afterwards.
TEST_F(PlatformTest, OutageEndsAndReturns)
{
    setFaults({{"down", true}});
    EXPECT_EQ(get("/v1/vms").status, 503U);
    setFaults({{"down", "close"}});
    EXPECT_EQ(get("/v1/vms").status, 0U);
    setFaults({{"down", "hang"}});
    EXPECT_EQ(get("/v1/vms", milliseconds(50)).status, 0U);
    setFaults({{"down", false}});
    EXPECT_EQ(get("/v1/vms").status, 200U);
}

// A lagging list must show the state before the change.
TEST_F(PlatformTest, VmListLags)
{
    const nlohmann::json vm{
        {"name", "vm-1"}, {"role", "entry"}, {"failureDomain", "rioja"}, {"address", "127.0.0.1:1"}, {"state", "live"}};
    EXPECT_EQ(put("/control/vms", nlohmann::json::array({vm})).status, 200U);
    const auto change = call({"POST", "http://" + server.address() + "/control/vms/vm-1", R"({"state":"leaving"})"});
    EXPECT_EQ(change.status, 200U);
    EXPECT_EQ(nlohmann::json::parse(get("/v1/vms").body)["vms"][0]["state"], "leaving");
    setFaults({{"vmListLagMs", 100'000}});
    EXPECT_EQ(nlohmann::json::parse(get("/v1/vms").body)["vms"].size(), 0U);
}

// All wrong fields must be reported together, and none applied.
TEST_F(PlatformTest, ReportsAllWrongFaultFields)
{
    const auto reply = setFaults({{"latencyMs", -1}, {"lateness", 1}, {"loseAnswers", 1}});
    EXPECT_EQ(reply.status, 400U);
    EXPECT_NE(reply.body.find("/latencyMs"), std::string::npos);
    EXPECT_NE(reply.body.find("/lateness"), std::string::npos);
    EXPECT_EQ(write(0, 11).status, 200U);
}

// The ceiling must allow the rate over time and charge waiting watches.
TEST(CallCeiling, RefillsByTheRateLessTheOccupied)
{
    CallCeiling ceiling;
    const Instant start(seconds(1));
    for (int i = 0; i < 25; ++i) {
        EXPECT_TRUE(ceiling.take(start, 100, 0));
    }
    EXPECT_FALSE(ceiling.take(start, 100, 0));
    EXPECT_TRUE(ceiling.take(start + milliseconds(10), 100, 0));
    EXPECT_FALSE(ceiling.take(start + milliseconds(20), 100, 90));
}

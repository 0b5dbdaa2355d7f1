#include "proxy/tests/workerfixture.h"

using namespace Galenarock;

namespace
{
/// The worker of a VM without servers, beside that of another VM.
class RelayingTest : public WorkerTest
{
protected:
    RelayingTest()
    {
        otherShared.setDialect(workerTestDialect());
    }

    /// Makes the worker's VM lose all servers, as its own failed attempts would.
    static void loseServers(ProxyShared &vm)
    {
        for (const auto *it : {"shop-1", "shop-2", "shop-3"}) {
            vm.serverReach().failed(MonotonicClock::now(), {it, 1});
        }
        ASSERT_TRUE(vm.serverReach().isCutOff());
    }

    static Member relayVm(const std::string &name, const std::string &address, const std::string &failureDomain)
    {
        Member member;
        member.identity = {name, 12};
        member.address = address;
        member.failureDomain = failureDomain;
        return member;
    }

    void setRelay(const std::string &address)
    {
        shared.relays().setMembers({"vm-1", 11}, "rioja", {relayVm("vm-2", address, "rioja")});
    }

    /// The other VM has an older configuration, in which the route of the test's requests does not exist yet.
    void startOtherWithAnOlderConfiguration(const std::string &server)
    {
        configurationVersion = 4;
        routePrefix = "/before/";
        startOther(server);
        configurationVersion = 6;
        routePrefix = "/a/";
    }

    /// Starts the other VM's worker, which sends requests to `server`.
    void startOther(const std::string &server, Distribution distribution = Distribution::Balanced)
    {
        otherShared.setSnapshot(makeSnapshot({server}, distribution));
        otherWorker = std::make_unique<Worker>(otherShared);
        ASSERT_TRUE(otherWorker->listen({"127.0.0.1:0"}));
        otherWorker->runOnce();
        setRelay(otherWorker->address());
    }

    /// Address at which nobody listens.
    static std::string deadAddress()
    {
        RawServer server([](int, const std::string &) { return ""; });
        return server.address();
    }

    std::uint64_t relayed(Metrics &of, const std::string &direction)
    {
        return of.counter("galenarock_relayed_requests_total", fmt::format("direction=\"{}\"", direction)).value();
    }

    Metrics otherMetrics;
    ProxyShared otherShared{otherMetrics, {"vm-2", 12}, PeerKey{}};
};
}

// Guards against callers that fail because their VM is partitioned from all servers while others are not (RECOVER).
TEST_F(RelayingTest, RequestOfAVmWithoutServersGoesThroughAnother)
{
    RawServer server([](int, const std::string &) { return SmallAnswer; });
    setRoutes({deadAddress()}, Distribution::Balanced);
    listen();
    startOther(server.address());
    loseServers(shared);
    const auto answer = answerToRequest(1);
    EXPECT_NE(answer.find("HTTP/1.1 200"), std::string::npos) << answer;
    EXPECT_EQ(answer.find("Galenarock-"), std::string::npos) << answer;
    EXPECT_EQ(server.requests(), 1);
    EXPECT_EQ(relayed(metrics, "sent"), 1U);
    EXPECT_EQ(relayed(otherMetrics, "received"), 1U);
}

// The VM reaches other servers, but not the owner of the key. Guards against a refusal although another VM reaches it.
TEST_F(RelayingTest, RequestGoesThroughAnotherVmWhenItsOwnerCannotBeReached)
{
    RawServer server([](int, const std::string &) { return SmallAnswer; });
    setRoutes({deadAddress()}, Distribution::Keyed);
    listen();
    startOther(server.address(), Distribution::Keyed);
    const auto answer = answerToRequest(1);
    EXPECT_NE(answer.find("HTTP/1.1 200"), std::string::npos) << answer;
    EXPECT_EQ(server.requests(), 1);
}

// Guards against a request that goes round among VMs without servers instead of being refused at once.
TEST_F(RelayingTest, RelayedRequestIsNotRelayedAgain)
{
    setRoutes({deadAddress()}, Distribution::Balanced);
    listen();
    startOther(deadAddress());
    loseServers(shared);
    loseServers(otherShared);
    Member entry;
    entry.identity = {"vm-1", 11};
    entry.address = worker.address();
    otherShared.relays().setMembers({"vm-2", 12}, "rioja", {entry});
    const auto answer = answerToRequest(1);
    EXPECT_NE(answer.find("HTTP/1.1 503"), std::string::npos) << answer;
    EXPECT_NE(answer.find("servers-unreachable"), std::string::npos) << answer;
    EXPECT_EQ(relayed(metrics, "sent"), 1U);
    EXPECT_EQ(relayed(otherMetrics, "sent"), 0U);
}

// As before with VMs that have different keys for peer requests, which happens while the key is replaced.
TEST_F(RelayingTest, RequestOfAnUnknownVmIsNotRelayedEither)
{
    setRoutes({deadAddress()}, Distribution::Balanced);
    listen();
    startOther(deadAddress());
    otherShared.setPeerKey({1, 2, 3});
    loseServers(shared);
    loseServers(otherShared);
    Member entry;
    entry.identity = {"vm-1", 11};
    entry.address = worker.address();
    otherShared.relays().setMembers({"vm-2", 12}, "rioja", {entry});
    const auto answer = answerToRequest(1);
    EXPECT_NE(answer.find("HTTP/1.1 503"), std::string::npos) << answer;
    EXPECT_EQ(relayed(otherMetrics, "sent"), 0U);
}

// Guards against a request that runs twice because the VM through which it went was lost.
TEST_F(RelayingTest, RequestThatMayRunOnlyOnceIsNotSentAgainAfterItsRelayWasLost)
{
    repeatability = Repeatability::AtMostOnce;
    RawServer lost([](int, const std::string &) { return ""; });
    setRoutes({deadAddress()}, Distribution::Balanced);
    listen();
    setRelay(lost.address());
    loseServers(shared);
    const auto answer = answerToRequest(1);
    EXPECT_NE(answer.find("HTTP/1.1 502"), std::string::npos) << answer;
    EXPECT_EQ(lost.requests(), 1);
}

// Guards against a relay that uses more servers than the route allows: the first attempt here counts.
TEST_F(RelayingTest, RelayIsToldTheAttemptsThatAreLeft)
{
    std::string seen;
    RawServer relay([&](int, const std::string &request) {
        seen = request;
        return SmallAnswer;
    });
    RawServer broken([&](int, const std::string &) {
        loseServers(shared); // while the first attempt is in flight
        return "";
    });
    shared.setRetryLimits({20, 50});
    setRoutes({broken.address()}, Distribution::Balanced);
    listen();
    setRelay(relay.address());
    const auto answer = answerToRequest(1);
    EXPECT_NE(answer.find("HTTP/1.1 200"), std::string::npos) << answer;
    EXPECT_EQ(broken.requests(), 1);
    EXPECT_NE(seen.find("Galenarock-Relay: 2 "), std::string::npos) << seen;
    EXPECT_NE(seen.find("Galenarock-Peer-Auth: "), std::string::npos) << seen;
}

// Guards against a VM that refuses everything for good because only requests that may run once arrive (RECOVER).
TEST_F(RelayingTest, RequestsThatMayRunOnlyOnceFindTheServersAgain)
{
    repeatability = Repeatability::AtMostOnce;
    RawServer server([](int, const std::string &) { return SmallAnswer; });
    setRoutes({server.address()}, Distribution::Balanced);
    listen();
    loseServers(shared);
    EXPECT_NE(answerToRequest(1).find("HTTP/1.1 503"), std::string::npos);
    for (int n = 0; n < 4; ++n) {
        stall(); // together longer than the interval of probes
    }
    EXPECT_NE(answerToRequest(1).find("HTTP/1.1 200"), std::string::npos);
    EXPECT_FALSE(shared.serverReach().isCutOff());
}

// Guards against a relay's answer that breaks off and looks complete to the caller.
TEST_F(RelayingTest, AnswerThatBreaksOffAtTheRelayIsNotPassedOnAsComplete)
{
    RawServer relay(
        [](int, const std::string &) { return "HTTP/1.1 200 OK\r\nRequest: r-1\r\nContent-Length: 9\r\n\r\nok"; },
        RawServer::AfterAnswer::Close);
    setRoutes({deadAddress()}, Distribution::Balanced);
    listen();
    setRelay(relay.address());
    loseServers(shared);
    const auto answer = answerToRequest(1);
    EXPECT_EQ(answer.find("HTTP/1.1 200"), std::string::npos) << answer;
}

// Guards against a 404 for a route that this VM knows: the other VM, which the store turned away for a while, looked
// the request up in its older configuration (CONFIG, swanprism-gw-grown, trouble-1, seed 1). Nor may its service count.
TEST_F(RelayingTest, VmWithAnOlderConfigurationDoesNotDecide)
{
    RawServer server([](int, const std::string &) { return SmallAnswer; });
    startOtherWithAnOlderConfiguration(server.address());
    setRoutes({deadAddress()}, Distribution::Balanced);
    listen();
    loseServers(shared);
    const auto answer = answerToRequest(1);
    EXPECT_NE(answer.find("HTTP/1.1 503"), std::string::npos) << answer;
    EXPECT_NE(answer.find("\"not-run\""), std::string::npos) << answer;
    EXPECT_EQ(relayed(otherMetrics, "received"), 1U);
    EXPECT_EQ(server.requests(), 0);
}

// As before; the request goes on to a VM that has the configuration.
TEST_F(RelayingTest, RequestGoesOnToAVmWithTheSameConfiguration)
{
    RawServer server([](int, const std::string &) { return SmallAnswer; });
    RawServer upToDate([](int, const std::string &) { return SmallAnswer; });
    startOtherWithAnOlderConfiguration(server.address());
    setRoutes({deadAddress()}, Distribution::Balanced);
    listen();
    shared.relays().setMembers(
        {"vm-1", 11}, "rioja",
        {relayVm("vm-2", otherWorker->address(), "rioja"), relayVm("vm-3", upToDate.address(), "aragon")});
    loseServers(shared);
    const auto answer = answerToRequest(1);
    EXPECT_NE(answer.find("HTTP/1.1 200"), std::string::npos) << answer;
    EXPECT_EQ(upToDate.requests(), 1);
    EXPECT_EQ(server.requests(), 0);
}

// Guards against a refusal of the other VM that passes for the answer of a server, with its internal headers.
TEST_F(RelayingTest, RouteThatANewerConfigurationDroppedIsUnknown)
{
    RawServer server([](int, const std::string &) { return SmallAnswer; });
    configurationVersion = 7;
    routePrefix = "/after/";
    startOther(server.address());
    configurationVersion = 6;
    routePrefix = "/a/";
    setRoutes({deadAddress()}, Distribution::Balanced);
    listen();
    loseServers(shared);
    const auto answer = answerToRequest(1);
    EXPECT_NE(answer.find("HTTP/1.1 404"), std::string::npos) << answer;
    EXPECT_EQ(answer.find("Galenarock-"), std::string::npos) << answer;
}

// Guards against 502 for a request that has not run, because the other VM has no configuration yet.
TEST_F(RelayingTest, VmWithoutAConfigurationRefusesTruthfully)
{
    otherWorker = std::make_unique<Worker>(otherShared);
    ASSERT_TRUE(otherWorker->listen({"127.0.0.1:0"}));
    setRoutes({deadAddress()}, Distribution::Balanced);
    listen();
    setRelay(otherWorker->address());
    loseServers(shared);
    const auto answer = answerToRequest(1);
    EXPECT_NE(answer.find("HTTP/1.1 503"), std::string::npos) << answer;
    EXPECT_NE(answer.find("\"not-run\""), std::string::npos) << answer;
}

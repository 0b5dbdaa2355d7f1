#include <gtest/gtest.h>

#include <galenarock/serverchoice.h>

using namespace Galenarock;

namespace
{
Instant at(int ms)
{
    return Instant(milliseconds(1'000'000 + ms));
}

std::vector<RoutedServer> servers(int count)
{
    std::vector<RoutedServer> list;
    for (int n = 0; n < count; ++n) {
        list.push_back({{"s" + std::to_string(n), 0}, "127.0.0.1:80", "rioja", false, {}});
    }
    return list;
}

void recordAttempt(ServerObservations &observations, int ms, ServerIndex server, AttemptEnd end, int latencyMs = 10,
                   std::optional<ReportedLoad> load = {})
{
    const auto handle = observations.started(at(ms), server);
    observations.finished(at(ms), handle, {end, milliseconds(latencyMs), load});
}
}

// Guards against a share of zero, which would stop all traffic, and against a share that stays the same when the number
// of live daemons changes.
TEST(ServerChoice, shareIsAtLeastOneAndFollowsLiveDaemons)
{
    PoolSettings pool;
    pool.slots = 4;
    pool.connections = 110;
    EXPECT_EQ(daemonShare(pool, 10), (DaemonShare{1, 11}));
    EXPECT_EQ(daemonShare(pool, 2), (DaemonShare{2, 55}));
    EXPECT_EQ(daemonShare(pool, 0), (DaemonShare{4, 110}));
    ServerObservations observations;
    observations.setServers(at(0), servers(2), daemonShare(pool, 10));
    EXPECT_EQ(observations.views(at(0))[0].limit, 1u);
    observations.setServers(at(0), servers(2), daemonShare(pool, 2));
    EXPECT_EQ(observations.views(at(0))[0].limit, 2u);
    EXPECT_EQ(observations.concurrency(), 4u);
}

// Guards against taking a malformed load report for that of an idle server.
TEST(ServerChoice, reportedLoadIsParsedStrictly)
{
    EXPECT_EQ(parseReportedLoad("3/4/12"), (ReportedLoad{3, 4, 12}));
    for (const char *it : {"", "3/4", "3/4/", "3/0/1", "-1/4/0", "3/4/1x", "3//1"}) {
        EXPECT_FALSE(parseReportedLoad(it)) << it;
    }
}

// Guards against taking a silence for a slow answer, or for no sign at all: a server that goes silent when it is full
// counts as one that refuses.
TEST(ServerChoice, silenceCountsAsRefusal)
{
    ServerObservations silent;
    ServerObservations waiting;
    ServerObservations shedding;
    for (auto *it : {&silent, &waiting, &shedding}) {
        it->setServers(at(0), servers(1), {4, 10});
    }
    for (int n = 0; n < 2; ++n) {
        recordAttempt(silent, n, 0, AttemptEnd::Silent, 1'000);
        recordAttempt(shedding, n, 0, AttemptEnd::Shed);
        const auto handle = waiting.started(at(n), 0);
        waiting.silent(at(n), handle);
        waiting.finished(at(n), handle, {AttemptEnd::Cancelled, milliseconds(1'000), {}});
    }
    EXPECT_GT(shedding.throttleProbability(at(2), 0), 0);
    for (auto *it : {&silent, &waiting}) {
        EXPECT_EQ(it->view(at(2), 0).penalty, shedding.view(at(2), 0).penalty);
        EXPECT_EQ(it->throttleProbability(at(2), 0), shedding.throttleProbability(at(2), 0));
        EXPECT_EQ(it->view(at(2), 0).latencySeconds, 0);
        EXPECT_EQ(it->inFlight(0), 0U);
        EXPECT_TRUE(it->views(at(2))[0].eligible);
    }
}

// Guards against requests to a lost machine whose silences are taken for those of a full server: several in a row
// without any answer eject it.
TEST(ServerChoice, serverThatIsOnlySilentIsEjected)
{
    ServerObservations observations;
    observations.setServers(at(0), servers(3), {4, 10});
    for (int n = 0; n < 4; ++n) {
        recordAttempt(observations, n, 0, AttemptEnd::Silent);
        recordAttempt(observations, n, 1, AttemptEnd::Silent);
        recordAttempt(observations, n, 1, AttemptEnd::Answered);
    }
    EXPECT_FALSE(observations.views(at(5))[0].eligible);
    EXPECT_TRUE(observations.views(at(5))[1].eligible);
}

// Guards against a server that reports no load and fails immediately attracting all traffic: after three failures it is
// ejected and receives one probe at a time, with exponential back-off.
TEST(ServerChoice, fastFailingServerIsEjectedAndProbed)
{
    ServerObservations observations;
    observations.setServers(at(0), servers(4), {2, 10});
    const ReportedLoad idle{0, 4, 0};
    for (int n = 0; n < 3; ++n) {
        EXPECT_TRUE(observations.views(at(n))[1].eligible);
        recordAttempt(observations, n, 1, AttemptEnd::Failed, 0, idle);
    }
    EXPECT_FALSE(observations.views(at(500))[1].eligible);
    EXPECT_TRUE(observations.views(at(502))[1].eligible);
    const auto probe = observations.started(at(502), 1);
    EXPECT_FALSE(observations.views(at(502))[1].eligible) << "second probe while the first is in flight";
    observations.finished(at(503), probe, {AttemptEnd::Failed, milliseconds(1), idle});
    EXPECT_FALSE(observations.views(at(1'502))[1].eligible) << "the back-off doubles";
    recordAttempt(observations, 1'503, 1, AttemptEnd::Answered);
    EXPECT_TRUE(observations.views(at(1'503))[1].eligible);
    EXPECT_DOUBLE_EQ(observations.views(at(1'503))[1].weight, 0.1) << "slow start after recovery";
    EXPECT_DOUBLE_EQ(observations.views(at(6'503))[1].weight, 1);
}

// Guards against an outage of the daemon's own network ejecting every server.
TEST(ServerChoice, panicModeIgnoresEjections)
{
    ServerObservations observations;
    observations.setServers(at(0), servers(4), {2, 10});
    for (ServerIndex server = 0; server < 2; ++server) {
        recordAttempt(observations, 0, server, AttemptEnd::NotReady);
    }
    EXPECT_FALSE(observations.views(at(1))[0].eligible);
    EXPECT_FALSE(observations.isPanicking());
    recordAttempt(observations, 1, 2, AttemptEnd::NotReady);
    EXPECT_TRUE(observations.views(at(2))[0].eligible);
    EXPECT_TRUE(observations.isPanicking());
}

// Guards against counting the end of an attempt for another server after the server list has changed, and against new
// requests for a draining server.
TEST(ServerChoice, attemptsStayWithTheirServerAcrossListChanges)
{
    ServerObservations observations;
    auto list = servers(3);
    observations.setServers(at(0), list, {2, 10});
    const auto handle = observations.started(at(0), 0);
    list.erase(list.begin());
    list[0].isDraining = true;
    observations.setServers(at(1), list, {2, 10});
    const auto other = observations.started(at(1), 1);
    observations.finished(at(2), handle, {AttemptEnd::Failed, milliseconds(1), {}});
    const auto &views = observations.views(at(2));
    EXPECT_EQ(views[1].inFlight, 1u);
    EXPECT_EQ(observations.inFlight(1), 1u);
    EXPECT_EQ(observations.inFlight(2), 0u) << "index of a removed server";
    EXPECT_EQ(views[0].penalty, 0);
    EXPECT_FALSE(views[0].eligible);
    observations.finished(at(3), other, {AttemptEnd::Answered, milliseconds(1), {}});
    EXPECT_EQ(observations.views(at(3))[1].inFlight, 0u);
}

// Guards against policies that exceed a limit, choose an ineligible server, or choose a server when all are full.
TEST(ServerChoice, policiesRespectLimits)
{
    std::vector<ServerView> views(3);
    for (ServerIndex n = 0; n < 3; ++n) {
        views[n].server = n;
        views[n].eligible = n != 0;
    }
    views[1].inFlight = 1;
    const ServerChoicePolicy policies[] = {chooseRandom, chooseLeastInFlight, choosePowerOfTwo, chooseAdaptive};
    for (const auto &it : policies) {
        for (std::uint64_t random = 0; random < 50; ++random) {
            EXPECT_EQ(it({views, random}), 2);
        }
        auto full = views;
        full[2].inFlight = 1;
        EXPECT_EQ(it({full, 1}), noServer);
        EXPECT_EQ(it({{}, 1}), noServer);
        EXPECT_EQ(chooseServer(it, views, {2}, 1), 2) << "falls back to a server that was already tried";
    }
}

// Guards against choices by stale load reports, and against load reports that outweigh observed failures.
TEST(ServerChoice, powerOfTwoWeighsReportsByAge)
{
    ServerObservations observations;
    observations.setServers(at(-10'000), servers(2), {2, 10});
    recordAttempt(observations, 0, 0, AttemptEnd::Answered, 10, ReportedLoad{4, 4, 8});
    recordAttempt(observations, 0, 1, AttemptEnd::Answered, 10, ReportedLoad{0, 4, 0});
    EXPECT_EQ(choosePowerOfTwo({observations.views(at(10)), 7}), 1);
    EXPECT_EQ(observations.views(at(1'000))[0].reportedLoad, -1);
    for (int n = 0; n < 2; ++n) {
        recordAttempt(observations, 20, 1, AttemptEnd::Failed, 0, ReportedLoad{0, 4, 0});
    }
    recordAttempt(observations, 20, 0, AttemptEnd::Answered, 10, ReportedLoad{4, 4, 0});
    EXPECT_EQ(choosePowerOfTwo({observations.views(at(20)), 7}), 0);
}

// Guards against an adaptive limit that keeps growing while latency rises, or does not grow while latency is constant.
TEST(ServerChoice, adaptiveLimitFollowsLatency)
{
    ServerObservations observations;
    observations.setServers(at(0), servers(1), {1, 20});
    for (int n = 0; n < 200; ++n) {
        std::vector<ServerHandle> handles;
        while (observations.views(at(n))[0].inFlight + 1 <= observations.views(at(n))[0].adaptiveLimit) {
            handles.push_back(observations.started(at(n), 0));
        }
        for (const auto it : handles) {
            observations.finished(at(n), it, {AttemptEnd::Answered, milliseconds(10), {}});
        }
    }
    const double grown = observations.views(at(200))[0].adaptiveLimit;
    EXPECT_GT(grown, 10);
    for (int n = 0; n < 100; ++n) {
        recordAttempt(observations, 200, 0, AttemptEnd::Answered, 100);
    }
    EXPECT_LT(observations.views(at(200))[0].adaptiveLimit, grown / 2);
}

// Load: servers share machines that make work take three times as long for 400 ms at a time. Guards against choosing a
// server that is slow at this moment, against avoiding it after the report has aged, and against taking the passing
// slowness for the speed of the server, which would move its keys.
TEST(ServerChoice, slownessOfAMomentCountsOnlyWhileItIsRecent)
{
    ServerObservations observations;
    observations.setServers(at(-10'000), servers(2), {2, 10});
    recordAttempt(observations, 0, 0, AttemptEnd::Answered, 300, ReportedLoad{0, 2, 0, 300});
    recordAttempt(observations, 0, 1, AttemptEnd::Answered, 120, ReportedLoad{0, 2, 0, 100});
    const auto views = observations.views(at(10));
    EXPECT_NEAR(views[0].serviceSeconds, 0.1, 0.001);
    EXPECT_NEAR(views[0].workFactor, 2.95, 0.001);
    EXPECT_EQ(views[1].workFactor, 1);
    EXPECT_EQ(chooseShortestExpectedDelay({observations.views(at(10)), 7}), 1);
    EXPECT_EQ(observations.views(at(400))[0].workFactor, 1);
    EXPECT_EQ(chooseShortestExpectedDelay({observations.views(at(400)), 7}), 0);
}

#include <gtest/gtest.h>

#include "config/messages_p.h"
#include "config/tests/memorycluster_p.h"

using namespace Galenarock;

namespace
{
const ObjectKey vitrina{"service", "vitrina"};
const ObjectKey large{"assignment", "vitrina"};

MemoryClusterOptions options(std::size_t daemons, std::uint64_t seed = 1)
{
    MemoryClusterOptions result;
    result.daemons = daemons;
    result.seed = seed;
    return result;
}

std::size_t relayCount(const MemoryCluster &cluster, const std::string &domain)
{
    std::size_t n = 0;
    for (const auto &it : cluster.daemons) {
        n += it.isUp && it.domain == domain && it.config->shouldWatch() ? 1 : 0;
    }
    return n;
}

StoredObject objectOf(const ObjectKey &key, std::uint64_t version)
{
    return {key, version, 0, {{"n", version}}};
}
}

// Guards against changes that do not reach every daemon when messages are lost: small values, and values that exceed a
// datagram.
TEST(Config, changesReachEveryDaemonDespiteLoss)
{
    auto lossy = options(20);
    lossy.lossPercent = 5;
    MemoryCluster cluster(lossy);
    cluster.write(vitrina, {{"n", 1}});
    cluster.run(seconds(10));
    for (int n = 2; n <= 10; ++n) {
        cluster.write(vitrina, {{"n", n}});
        cluster.write(large, std::string(100'000, static_cast<char>('a' + n)));
        cluster.run(seconds(3));
    }
    cluster.run(seconds(10));
    EXPECT_EQ(cluster.countInForce(vitrina, 10), 20u);
    EXPECT_EQ(cluster.countInForce(large, 9), 20u);
    EXPECT_EQ(cluster.reverts, 0u);
    EXPECT_EQ(cluster.daemons[7].config->find(vitrina)->value, (nlohmann::json{{"n", 10}}));
}

// Guards against more or fewer than two relays per failure domain, and against lost relays that are not replaced.
TEST(Config, lostRelaysAreReplaced)
{
    MemoryCluster cluster(options(15));
    cluster.write(vitrina, {{"n", 1}});
    cluster.run(seconds(10));
    for (const auto *domain : {"domain-0", "domain-1", "domain-2"}) {
        EXPECT_EQ(relayCount(cluster, domain), 2u);
    }
    for (auto &it : cluster.daemons) {
        it.isUp = it.isUp && !it.config->shouldWatch();
    }
    cluster.run(seconds(10));
    for (const auto *domain : {"domain-0", "domain-1", "domain-2"}) {
        EXPECT_EQ(relayCount(cluster, domain), 2u);
    }
    cluster.write(vitrina, {{"n", 2}});
    cluster.run(seconds(5));
    EXPECT_EQ(cluster.countInForce(vitrina, 2), 9u);
}

// Guards against a daemon that puts a lower version in force than before: after a restart while the platform is down or
// returns stale data, after outdated updates from peers, and after a healed partition.
TEST(Config, versionsNeverDecrease)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        MemoryCluster cluster(options(9, seed));
        cluster.write(vitrina, {{"n", 1}});
        cluster.run(seconds(8));
        cluster.side["vm-0008"] = "cut";
        cluster.withoutPlatform.insert("vm-0008");
        cluster.write(vitrina, {{"n", 2}});
        cluster.run(seconds(5));
        EXPECT_EQ(cluster.countInForce(vitrina, 2), 8u);
        cluster.isPlatformStale = true;
        for (const std::size_t it : {0, 1, 2}) {
            cluster.start(it);
            cluster.run(seconds(4));
        }
        cluster.isPlatformUp = false;
        cluster.side.clear();
        for (const std::size_t it : {3, 4, 0}) {
            cluster.start(it);
            cluster.feedMembersFrom(5, it);
            cluster.run(seconds(10));
        }
        EXPECT_EQ(cluster.reverts, 0u) << "seed " << seed;
        EXPECT_EQ(cluster.countInForce(vitrina, 2), 9u) << "seed " << seed;
    }
}

// Guards against a daemon that reports a configuration before it received one, or reports no reason for its absence.
TEST(Config, missingConfigurationHasAReason)
{
    MemoryCluster cluster(options(3));
    cluster.run(seconds(5));
    EXPECT_FALSE(cluster.daemons[0].config->hasConfiguration());
    EXPECT_EQ(cluster.daemons[0].config->missingReason(),
              "none of 2 known peers has delivered a document, nor has the platform");
    cluster.write(vitrina, {{"n", 1}});
    cluster.run(seconds(5));
    EXPECT_TRUE(cluster.daemons[0].config->hasConfiguration());
    EXPECT_EQ(cluster.daemons[0].config->missingReason(), "");
}

// Guards against a status report that does not show a lagging daemon.
TEST(Config, reportsShowLaggingDaemons)
{
    MemoryCluster cluster(options(12));
    cluster.write(vitrina, {{"n", 1}});
    cluster.run(seconds(25));
    const auto relay = std::find_if(cluster.daemons.begin(), cluster.daemons.end(),
                                    [](const auto &it) { return it.config->shouldWatch(); });
    ASSERT_EQ(relay->config->reports().size(), 2u);
    for (const auto &it : relay->config->reports()) {
        EXPECT_TRUE(it.isCurrent) << it.vm;
    }
    // Only the relay has the newer version, so the reports of the other daemons lag.
    relay->config->step(cluster.now, ObjectEvent{objectOf(vitrina, 9), true});
    const auto report = relay->config->reports().at(0);
    EXPECT_FALSE(report.isCurrent);
    EXPECT_EQ(report.lagging.at(0), (ObjectVersion{vitrina, 1}));
}

// Guards against an anti-entropy repair that never completes because the object set exceeds the limits of one message.
TEST(Config, objectSetsAboveTheMessageLimitAreRepaired)
{
    MemoryCluster cluster(options(2));
    for (int n = 0; n < 3'000; ++n) {
        cluster.objects[{"service", fmt::format("s-{}", n)}] = objectOf({"service", fmt::format("s-{}", n)}, 1);
        cluster.acceptedAt[{{"service", fmt::format("s-{}", n)}, 1}] = cluster.now;
    }
    cluster.run(seconds(5));
    cluster.isPlatformUp = false;
    cluster.start(1);
    cluster.feedMembersFrom(0, 1);
    cluster.run(seconds(20));
    EXPECT_EQ(cluster.daemons[1].config->versions().size(), 3'000u);
    EXPECT_EQ(cluster.daemons[1].config->digest(), cluster.daemons[0].config->digest());
}

// Guards against objects that are malformed, of an undistributed kind, stale, contradictory or too large, and against
// an exception on invalid UTF-8.
TEST(Config, invalidObjectsAreCountedAndIgnored)
{
    ConfigCore core({{"vm-1", 1}, "rioja"});
    const Instant now{seconds(5)};
    core.step(now, PeerEvent{{"vm-2", 1}, ConfigMessage::Items, "damaged"});
    ItemsMessage items{{{vitrina, 3, 0, "{broken"}, {{"mandate", "x"}, 3, 0, "{}"}, {vitrina, 0, 0, "{}"}}};
    core.step(now, PeerEvent{{"vm-2", 1}, ConfigMessage::Items, Wire::encode(items)});
    EXPECT_EQ(core.counters().malformed, 4u);
    core.step(now, ObjectEvent{objectOf(vitrina, 5), true});
    core.step(now, ObjectEvent{objectOf(vitrina, 4), true});
    auto other = objectOf(vitrina, 5);
    other.value = "other";
    core.step(now, ObjectEvent{other, true});
    EXPECT_EQ(core.counters().stale, 1u);
    EXPECT_EQ(core.counters().contradictions, 1u);
    EXPECT_EQ(core.find(vitrina)->value, objectOf(vitrina, 5).value);
    core.step(now, ObjectEvent{objectOf({"service", std::string(256, 'n')}, 1), true});
    core.step(now, ObjectEvent{{{"service", "big"}, 1, 0, std::string(maxValueBytes, 'x')}, true});
    EXPECT_EQ(core.counters().rejected, 2u);
    core.step(now, ObjectEvent{{{"service", "bytes"}, 1, 0, "\xff"}, true});
    EXPECT_EQ(core.find({"service", "bytes"})->version, 1u);
}

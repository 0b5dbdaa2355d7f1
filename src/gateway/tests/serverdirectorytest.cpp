#include <gtest/gtest.h>

#include <galenarock/routing.h>

#include "gateway/serverdirectory_p.h"

using namespace Galenarock;

namespace
{
Instant at(int ms)
{
    return Instant(seconds(100) + milliseconds(ms));
}

ServerEntry entry(const std::string &name, std::uint64_t boot, bool isDraining = false, std::uint64_t sequence = 0)
{
    return {{name, boot}, "shop", "10.0.0.1:80", "rioja", 4, isDraining, sequence};
}

ServerDirectory directoryOf(int servers)
{
    ServerDirectory directory;
    for (int n = 0; n < servers; ++n) {
        directory.put(at(0), entry("s-" + std::to_string(n), 5));
    }
    directory.update(at(0), true);
    return directory;
}
}

// Guards against requests to a draining server after the bound of 2 s. The server left the assignment of its service,
// returned 2.3 s later and counted as newly leaving (senvang-gw, trouble-1 --seed 423054427550).
TEST(ServerDirectoryTest, DrainingServerHasNoAddressAfterTheHandover)
{
    auto directory = directoryOf(3);
    directory.put(at(0), entry("s-1", 5, true));
    EXPECT_EQ(directory.vmEntries("shop", at(1'000))[1].address, "10.0.0.1:80");
    EXPECT_EQ(directory.vmEntries("shop", at(1'000))[1].state, VmState::Leaving);
    const auto end = duration_cast<milliseconds>(drainHandoverPeriod).count();
    EXPECT_TRUE(directory.update(at(static_cast<int>(end)), true));
    EXPECT_EQ(directory.vmEntries("shop", at(2'300))[1].address, "");
    directory.put(at(2'400), entry("s-1", 6));
    EXPECT_EQ(directory.vmEntries("shop", at(2'400))[1].address, "10.0.0.1:80");
}

// Guards against requests to a server that says that it leaves, while the store does not reach this daemon (DRAIN).
TEST(ServerDirectoryTest, ServerThatSaysThatItLeavesCountsAsDraining)
{
    auto directory = directoryOf(3);
    const auto revision = directory.revision("shop");
    EXPECT_TRUE(directory.markLeaving(at(0), {"s-1", 5}));
    EXPECT_FALSE(directory.markLeaving(at(10), {"s-1", 5}));
    EXPECT_GT(directory.revision("shop"), revision);
    EXPECT_TRUE(directory.isLeavingUnconfirmed({"s-1", 5}));
    EXPECT_EQ(directory.vmEntries("shop", at(10))[1].state, VmState::Leaving);
    EXPECT_TRUE(directory.leaseServers("shop")[1].leaving);
    const auto end = duration_cast<milliseconds>(drainHandoverPeriod).count();
    EXPECT_TRUE(directory.update(at(static_cast<int>(end)), true));
    EXPECT_EQ(directory.vmEntries("shop", at(2'300))[1].address, "");
}

// Guards against an entry from before the statement that takes the server back, also one that lapsed meanwhile.
TEST(ServerDirectoryTest, EntryOfAServerThatSaysThatItLeavesDoesNotTakeItBack)
{
    auto directory = directoryOf(3);
    directory.markLeaving(at(0), {"s-1", 5});
    directory.put(at(100), entry("s-1", 5, false, 9));
    EXPECT_EQ(directory.vmEntries("shop", at(100))[1].state, VmState::Leaving);
    EXPECT_TRUE(directory.remove(at(200), "s-1"));
    directory.put(at(300), entry("s-1", 5, false, 10));
    EXPECT_EQ(directory.vmEntries("shop", at(300))[1].state, VmState::Leaving);
    directory.put(at(400), entry("s-1", 5, true, 11));
    EXPECT_FALSE(directory.isLeavingUnconfirmed({"s-1", 5}));
}

// Guards against a statement that outlives its process, or that another process inherits.
TEST(ServerDirectoryTest, LaterProcessIsNotLeaving)
{
    auto directory = directoryOf(3);
    EXPECT_FALSE(directory.markLeaving(at(0), {"s-1", 4}));
    EXPECT_FALSE(directory.markLeaving(at(0), {"unknown", 5}));
    EXPECT_TRUE(directory.markLeaving(at(0), {"s-1", 5}));
    directory.put(at(100), entry("s-1", 6));
    EXPECT_EQ(directory.vmEntries("shop", at(100))[1].state, VmState::Live);
    EXPECT_FALSE(directory.isLeavingUnconfirmed({"s-1", 5}));
}

// Guards against a late heartbeat of an earlier process that replaces the entry of the running one.
TEST(ServerDirectoryTest, EarlierProcessIsIgnored)
{
    auto directory = directoryOf(1);
    EXPECT_TRUE(directory.put(at(1), entry("s-0", 7)));
    EXPECT_FALSE(directory.put(at(2), entry("s-0", 5)));
    EXPECT_EQ(directory.find("s-0")->identity.boot, 7U);
}

TEST(ServerDirectoryTest, RemovesAtOnceWithoutAnOutage)
{
    auto directory = directoryOf(3);
    EXPECT_TRUE(directory.remove(at(10), "s-0"));
    EXPECT_EQ(directory.size(), 2U);
}

// Guards against an outage of the store that removes live servers because their entries expired; no request could be
// served until they register again.
TEST(ServerDirectoryTest, KeepsServersWhenMostEntriesExpireInAnOutage)
{
    auto directory = directoryOf(3);
    directory.update(at(100), false);
    for (const auto *name : {"s-0", "s-1", "s-2"}) {
        EXPECT_FALSE(directory.remove(at(200), name));
    }
    EXPECT_FALSE(directory.update(at(300), true));
    EXPECT_EQ(directory.size(), 3U);
    directory.put(at(500), entry("s-0", 5));
    EXPECT_TRUE(directory.update(at(2'400), true));
    EXPECT_EQ(directory.size(), 1U);
}

// Guards against requests to servers that left while this daemon was partitioned from the store. Only a few entries are
// missing then, whereas an outage expires most of them.
TEST(ServerDirectoryTest, RemovesAFewMissingServersAfterAPartition)
{
    auto directory = directoryOf(6);
    directory.update(at(100), false);
    EXPECT_FALSE(directory.remove(at(200), "s-4"));
    EXPECT_TRUE(directory.update(at(250), true));
    EXPECT_EQ(directory.size(), 5U);
}

// The store continues from an older copy that lacks the servers which registered since. Guards against taking these for
// gone before they could write again; as few servers are missing, an outage alone would not keep them.
TEST(ServerDirectoryTest, ServersThatARestoredStoreLacksAreKeptForAWhile)
{
    auto directory = directoryOf(8);
    directory.storeRestored(at(0));
    EXPECT_FALSE(directory.remove(at(100), "s-7"));
    EXPECT_FALSE(directory.update(at(200), true));
    EXPECT_EQ(directory.size(), 8U);
    directory.put(at(1'500), entry("s-7", 5));
    EXPECT_FALSE(directory.update(at(2'300), true));
    EXPECT_EQ(directory.size(), 8U);
    EXPECT_FALSE(directory.remove(at(2'000), "s-6"));
    EXPECT_TRUE(directory.update(at(2'300), true));
    EXPECT_EQ(directory.size(), 7U);
}

// Guards against sending new work to a draining server because an older copy of its entry says that it is ready.
TEST(ServerDirectoryTest, OlderEntryOfADrainingServerIsIgnored)
{
    auto directory = directoryOf(1);
    directory.put(at(0), entry("s-0", 5, true, 9));
    directory.storeRestored(at(100));
    EXPECT_FALSE(directory.put(at(100), entry("s-0", 5, false, 4)));
    EXPECT_TRUE(directory.find("s-0")->isDraining);
    EXPECT_TRUE(directory.put(at(200), entry("s-0", 6, false, 1)));
    EXPECT_FALSE(directory.find("s-0")->isDraining);
}

// Guards against giving keys and requests to a server that had left, because the copy still has its entry. A server
// that lives writes again.
TEST(ServerDirectoryTest, ServerThatHadLeftIsNotUsedAgainAfterARestore)
{
    auto directory = directoryOf(3);
    EXPECT_TRUE(directory.remove(at(0), "s-1"));
    directory.storeRestored(at(5'000));
    EXPECT_FALSE(directory.put(at(5'000), entry("s-1", 5, false, 7)));
    EXPECT_FALSE(directory.put(at(5'100), entry("s-1", 5, false, 7)));
    EXPECT_EQ(directory.size(), 2U);
    EXPECT_TRUE(directory.put(at(6'000), entry("s-1", 5, false, 8)));
    EXPECT_EQ(directory.size(), 3U);
}

// Guards against ignoring a server whose entry only lapsed and came back.
TEST(ServerDirectoryTest, ServerThatRegistersAgainIsUsed)
{
    auto directory = directoryOf(3);
    EXPECT_TRUE(directory.remove(at(0), "s-1"));
    EXPECT_TRUE(directory.put(at(3'000), entry("s-1", 5, false, 7)));
    EXPECT_EQ(directory.size(), 3U);
}

// Guards against a tick whose cost grows with the registered servers: at 540 servers and 195 VMs of a tenth of a core,
// the walk over all servers for each server took most of the processor time.
TEST(ServerDirectoryTest, TickWithoutChangesVisitsNoServer)
{
    for (const int servers : {10, 100, 1'000, 10'000}) {
        auto directory = directoryOf(servers);
        for (int tick = 0; tick < 100; ++tick) {
            EXPECT_FALSE(directory.update(at(10 * tick), true));
        }
        EXPECT_EQ(directory.visitedEntries(), 0U) << servers << " servers";
    }
}

// As before with a few servers that are missing or draining: only these are visited.
TEST(ServerDirectoryTest, TickVisitsOnlyMissingAndDrainingServers)
{
    for (const int servers : {10, 100, 1'000, 10'000}) {
        auto directory = directoryOf(servers);
        directory.put(at(0), entry("s-1", 5, true));
        directory.storeRestored(at(10)); // missing servers are kept for a while
        directory.update(at(10), true);
        EXPECT_FALSE(directory.remove(at(10), "s-2"));
        const auto before = directory.visitedEntries();
        directory.update(at(20), true);
        EXPECT_EQ(directory.visitedEntries() - before, 2U) << servers << " servers";
        EXPECT_EQ(directory.size(), static_cast<std::size_t>(servers));
    }
}

// Guards against counts that go wrong when a server changes its service, returns or is removed: the share of missing
// servers decides whether these are kept.
TEST(ServerDirectoryTest, MissingServersAreCountedByTheirPresentService)
{
    auto directory = directoryOf(4);
    for (const auto *name : {"s-0", "s-1", "s-2"}) {
        auto moved = entry(name, 6);
        moved.service = "store";
        directory.put(at(10), moved);
    }
    directory.update(at(20), false);
    directory.remove(at(30), "s-3"); // the only server that "shop" has left
    directory.remove(at(30), "s-0"); // one of three of "store"
    EXPECT_TRUE(directory.update(at(40), true));
    EXPECT_EQ(directory.find("s-0"), nullptr);
    EXPECT_NE(directory.find("s-3"), nullptr);
    directory.put(at(50), entry("s-3", 5));
    EXPECT_FALSE(directory.update(at(4'000), true));
    EXPECT_EQ(directory.size(), 3U);
}

// Guards against forgetting too early that a server had left, when it left twice within the time it is remembered.
TEST(ServerDirectoryTest, SecondRemovalIsRememberedForItsOwnTime)
{
    auto directory = directoryOf(3);
    directory.remove(at(0), "s-1");
    directory.put(at(60'000), entry("s-1", 6));
    directory.remove(at(100'000), "s-1");
    directory.update(at(121'000), true);
    directory.storeRestored(at(130'000));
    EXPECT_FALSE(directory.put(at(130'100), entry("s-1", 6)));
    directory.update(at(221'000), true);
    EXPECT_TRUE(directory.put(at(221'100), entry("s-1", 6)));
}

namespace
{
ServerEntry coldEntry(const std::string &name, std::uint64_t boot, Duration left, std::uint64_t sequence)
{
    auto cold = entry(name, boot, false, sequence);
    cold.warmupLeft = left;
    return cold;
}
}

// Guards against tables that are rebuilt for each heartbeat of a cold server, and against missing that it is cold.
TEST(ServerDirectoryTest, CountdownOfAColdServerIsTakenOverWithoutAChangeOfTheServers)
{
    auto directory = directoryOf(3);
    directory.setListed(at(0));
    const auto revision = directory.revision("shop");
    EXPECT_TRUE(directory.warmups(at(0)).empty());
    EXPECT_FALSE(directory.put(at(1'000), coldEntry("s-1", 5, seconds(10), 2)));
    const auto warmupRevision = directory.warmupRevision();
    EXPECT_FALSE(directory.put(at(3'010), coldEntry("s-1", 5, seconds(8), 3)));
    EXPECT_FALSE(directory.put(at(3'020), coldEntry("s-1", 5, seconds(10), 1))) << "an older copy";
    EXPECT_EQ(directory.warmupRevision(), warmupRevision);
    EXPECT_EQ(directory.revision("shop"), revision);
    const auto list = directory.warmups(at(4'000));
    ASSERT_EQ(list.size(), 1U);
    EXPECT_EQ(list[0].server, (Identity{"s-1", 5}));
    EXPECT_EQ(list[0].until, at(11'000));
    EXPECT_TRUE(list[0].hadTraffic) << "it was warm before";
    directory.put(at(5'000), coldEntry("s-1", 5, {}, 4));
    EXPECT_GT(directory.warmupRevision(), warmupRevision);
    EXPECT_TRUE(directory.warmups(at(5'000)).empty());
}

// Guards against a burst to a server that becomes cold again in the middle of traffic.
TEST(ServerDirectoryTest, ServerThatBecomesColdAgainIsListedAgain)
{
    auto directory = directoryOf(3);
    directory.setListed(at(0));
    directory.put(at(0), coldEntry("s-9", 5, seconds(2), 1));
    ASSERT_EQ(directory.warmups(at(10)).size(), 1U);
    EXPECT_FALSE(directory.warmups(at(10))[0].hadTraffic);
    directory.put(at(2'000), coldEntry("s-9", 5, {}, 2));
    directory.put(at(9'000), coldEntry("s-9", 5, seconds(3), 3));
    const auto list = directory.warmups(at(9'010));
    ASSERT_EQ(list.size(), 1U);
    EXPECT_EQ(list[0].since, at(9'000));
    EXPECT_EQ(list[0].until, at(12'000));
    EXPECT_TRUE(list[0].hadTraffic);
}

// Guards against taking every server for one that has just started: at the start of a daemon, and when a server whose
// entry was lost registers again.
TEST(ServerDirectoryTest, OnlyProcessesThatStartLaterHaveJoined)
{
    auto directory = directoryOf(3);
    directory.setListed(at(0));
    EXPECT_TRUE(directory.warmups(at(0)).empty());
    directory.put(at(9'000), entry("s-6", 5));
    EXPECT_TRUE(directory.warmups(at(9'000)).empty()) << "the deployment starts";
    directory.put(at(20'100), entry("s-1", 6));
    directory.put(at(20'200), entry("s-7", 5));
    directory.remove(at(20'300), "s-2");
    directory.put(at(20'400), entry("s-2", 5, false, 3));
    const auto list = directory.warmups(at(20'500));
    ASSERT_EQ(list.size(), 2U);
    EXPECT_EQ(list[0].server, (Identity{"s-1", 6}));
    EXPECT_EQ(list[0].joinedAt, std::optional(at(20'100)));
    EXPECT_EQ(list[1].server, (Identity{"s-7", 5}));
}

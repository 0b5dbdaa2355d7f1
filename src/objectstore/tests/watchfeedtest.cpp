#include <deque>
#include <random>

#include <gtest/gtest.h>

#include <fmt/format.h>

#include <galenarock/watchfeed.h>

#include "objectstore/feedlag_p.h"

using namespace Galenarock;

namespace
{
Instant at(int ms)
{
    return Instant(seconds(100) + milliseconds(ms));
}

/// Daemons spread over failure domains, three of each domain with half a core and the others with a tenth.
std::vector<Member> fleetOf(std::size_t size, std::size_t domains)
{
    std::vector<Member> members;
    for (std::size_t n = 0; n < size; ++n) {
        Member it;
        it.identity = {fmt::format("vm-{:04}", n), 1};
        it.failureDomain = fmt::format("domain-{}", n % domains);
        it.cpuPercent = n < 3 * domains ? 50 : 10;
        members.push_back(it);
    }
    return members;
}

WatchFeed feedOf(const std::vector<Member> &members, std::size_t n)
{
    WatchFeed feed(members[n].identity, WatchFeedSettings());
    feed.setEra(1);
    feed.setMembers(at(-60'000), members);
    return feed;
}

FedChange changeOf(std::uint64_t from, std::uint64_t to)
{
    FedChange fed;
    fed.change = {"servers", 1, from, to, {{{"servers", "a"}, to, 7, {{"x", 1}}, 1}}, {{"servers", "b"}}};
    return fed;
}
}

// Guards against the cost of relays where there is nothing to save.
TEST(WatchFeedTest, EveryDaemonOfASmallFleetWatches)
{
    const auto members = fleetOf(11, 3);
    for (std::size_t n = 0; n < members.size(); ++n) {
        auto feed = feedOf(members, n);
        EXPECT_FALSE(feed.isWatcher());
        EXPECT_EQ(feed.view(at(0)).fedUntil, Instant());
    }
}

// Guards against calls that grow with the fleet, and against daemons that no watcher feeds because the daemons do not
// choose the same watchers.
TEST(WatchFeedTest, DaemonsAgreeOnFewWatchersAndTwoSourcesEach)
{
    struct Case
    {
        std::size_t daemons;
        std::size_t domains;
        std::size_t watchers;
    };
    for (const auto &it : {Case{20, 5, 3}, Case{82, 3, 6}, Case{195, 5, 10}, Case{3'611, 5, 10}}) {
        const auto members = fleetOf(it.daemons, it.domains);
        std::map<std::string, int> sources;
        std::map<std::string, int> watchersOfDomain;
        std::size_t watchers = 0;
        // Of the largest fleet only the large VMs, which alone may watch, and a sample of the others: the work grows
        // with the square of the daemons.
        const std::size_t stride = it.daemons > 1'000 ? 50 : 1;
        for (std::size_t n = 0; n < members.size(); ++n) {
            if (members[n].cpuPercent < 50 && n % stride != 0) {
                continue;
            }
            const auto feed = feedOf(members, n);
            if (!feed.isWatcher()) {
                EXPECT_TRUE(feed.receivers().empty());
                continue;
            }
            ++watchers;
            ++watchersOfDomain[members[n].failureDomain];
            EXPECT_EQ(members[n].cpuPercent, 50);
            for (const auto &receiver : feed.receivers()) {
                ++sources[receiver];
            }
        }
        EXPECT_EQ(watchers, it.watchers) << it.daemons;
        EXPECT_EQ(sources.size(), it.daemons - watchers);
        for (const auto &[name, n] : sources) {
            EXPECT_EQ(n, 2) << name;
        }
        for (const auto &[domain, n] : watchersOfDomain) {
            EXPECT_LE(n, 2) << domain;
        }
    }
}

// Guards against a daemon that goes on without the store's changes because its watchers are gone, cut off from the
// store or of another era of it.
TEST(WatchFeedTest, DaemonIsFedOnlyWhileItHearsAWatcherThatReachesTheStore)
{
    const auto members = fleetOf(20, 5);
    auto feed = feedOf(members, 19);
    ASSERT_FALSE(feed.isWatcher());
    feed.receive(at(0), {1, true, {{"servers", 5}}});
    EXPECT_EQ(feed.view(at(0)).fedUntil, at(600));
    feed.receive(at(100), {1, false, {{"servers", 6}}});
    EXPECT_EQ(feed.view(at(0)).fedUntil, at(600));
    EXPECT_EQ(feed.view(at(0)).newest.at("servers"), 6U);
    feed.receive(at(200), {2, true, {{"servers", 9}}});
    EXPECT_EQ(feed.view(at(0)).fedUntil, at(600));
    EXPECT_EQ(feed.view(at(0)).newest.at("servers"), 6U);
    feed.setEra(2);
    EXPECT_EQ(feed.view(at(0)).fedUntil, Instant());
    EXPECT_TRUE(feed.view(at(0)).newest.empty());
}

// Guards against daemons that stay behind with a watcher whose watch hangs: another watcher has the change.
TEST(WatchFeedTest, WatcherPassesOnWhatOtherWatchersHave)
{
    const auto members = fleetOf(20, 5);
    for (std::size_t n = 0; n < members.size(); ++n) {
        auto feed = feedOf(members, n);
        if (!feed.isWatcher()) {
            continue;
        }
        feed.synced("servers", 5);
        feed.receive(at(0), {1, true, {{"servers", 8}}});
        const auto actions = feed.tick(at(0), true);
        EXPECT_EQ(actions.size(), feed.receivers().size() + 2);
        const auto status = decodeWatchStatus(std::get<SendPeerAction>(actions[0]).payload);
        ASSERT_TRUE(status);
        EXPECT_EQ(status->revisions.at("servers"), 8U);
        EXPECT_TRUE(feed.tick(at(199), true).empty());
        EXPECT_FALSE(feed.tick(at(200), true).empty());
        EXPECT_EQ(feed.view(at(0)).fedUntil, Instant());
    }
}

// Guards against small VMs that pass changes on to a whole fleet while it starts, when each knows only a few others:
// they were short of processor time for seconds and counted as dead.
TEST(WatchFeedTest, NothingIsPassedOnBeforeTheWatchersAreSettled)
{
    const auto members = fleetOf(40, 5);
    WatchFeed feed(members[37].identity, WatchFeedSettings());
    feed.setEra(1);
    const std::vector<Member> few(members.begin() + 15, members.end());
    feed.setMembers(at(0), few);
    ASSERT_TRUE(feed.isWatcher());
    EXPECT_TRUE(feed.tick(at(4'999), true).empty());
    EXPECT_TRUE(feed.share(at(4'999), changeOf(4, 5)).empty());
    EXPECT_FALSE(feed.view(at(4'999)).isWatcher);
    feed.setMembers(at(4'000), few);
    EXPECT_FALSE(feed.share(at(5'000), changeOf(4, 5)).empty());
    EXPECT_TRUE(feed.view(at(5'000)).isWatcher);
    feed.setMembers(at(6'000), members);
    EXPECT_FALSE(feed.isWatcher());
    feed.setMembers(at(7'000), few);
    EXPECT_TRUE(feed.share(at(11'999), changeOf(4, 5)).empty());
}

// Guards against a large configuration that fills the link of the VM that passes it on to many.
TEST(WatchFeedTest, LargeChangesAreNotPassedOn)
{
    const auto members = fleetOf(20, 5);
    for (std::size_t n = 0; n < members.size(); ++n) {
        const auto feed = feedOf(members, n);
        if (!feed.isWatcher()) {
            EXPECT_TRUE(feed.share(at(0), changeOf(4, 5)).empty());
            continue;
        }
        EXPECT_EQ(feed.share(at(0), changeOf(4, 5)).size(), feed.receivers().size());
        auto large = changeOf(4, 5);
        large.change.items[0].value = std::string(40'000, 'x');
        EXPECT_TRUE(feed.share(at(0), large).empty());
        auto earlier = changeOf(4, 5);
        earlier.change.era = 0;
        EXPECT_TRUE(feed.share(at(0), earlier).empty());
    }
}

// Guards against fields that get lost in a message, and against malformed ones that end the process.
TEST(WatchFeedTest, MessagesAreReadAndMalformedOnesRefused)
{
    const WatchStatus status{3, false, {{"config", 4}, {"servers", 9}}};
    EXPECT_EQ(*decodeWatchStatus(encode(status)), status);
    auto fed = changeOf(4, 5);
    EXPECT_EQ(*decodeFedChange(encode(fed)), fed);
    fed.sinceOutage = milliseconds(1'200);
    EXPECT_EQ(*decodeFedChange(encode(fed)), fed);
    const auto payload = encode(fed);
    for (std::size_t n = 0; n < payload.size(); ++n) {
        EXPECT_FALSE(decodeFedChange(payload.substr(0, n))) << n;
    }
    auto damaged = payload;
    damaged.replace(damaged.find("{\"x\":1}"), 7, "{\"x\":1]");
    EXPECT_FALSE(decodeFedChange(damaged));
    EXPECT_FALSE(decodeWatchStatus("x"));
}

// Guards against a daemon that asks the store for each change that is still on its way, and against one that never asks
// for a change that was lost.
TEST(FeedLagTest, DaemonThatIsBehindAsksAfterTheGrace)
{
    const auto grace = milliseconds(150);
    WatchFeedView view{false, at(1'000), {{"servers", 5}}};
    FeedLag lag;
    EXPECT_TRUE(lag.keepsUp(at(0), view, "servers", 5, grace));
    EXPECT_TRUE(lag.keepsUp(at(0), view, "config", 0, grace));
    EXPECT_TRUE(lag.keepsUp(at(10), view, "servers", 4, grace));
    EXPECT_TRUE(lag.keepsUp(at(159), view, "servers", 4, grace));
    EXPECT_FALSE(lag.keepsUp(at(160), view, "servers", 4, grace));
    EXPECT_TRUE(lag.keepsUp(at(170), view, "servers", 5, grace));
    EXPECT_TRUE(lag.keepsUp(at(180), view, "servers", 4, grace));
    lag.lost(at(190), grace);
    EXPECT_FALSE(lag.keepsUp(at(190), view, "servers", 4, grace));
    EXPECT_FALSE(lag.keepsUp(at(1'000), view, "servers", 5, grace));
}

namespace
{
/// A fleet whose daemons watch a store, feed each other and lose messages. Times in milliseconds.
class FeedSimulation
{
public:
    FeedSimulation(std::size_t size, std::size_t domains, unsigned seed)
        : m_random(seed)
        , m_members(fleetOf(size, domains))
    {
        for (const auto &it : m_members) {
            m_daemons.push_back({WatchFeed(it.identity, WatchFeedSettings()), {}, 1, false, 0, {}});
            auto &daemon = m_daemons.back();
            daemon.feed.setEra(1);
            daemon.feed.setMembers(at(-60'000), m_members);
        }
    }

    void change()
    {
        ++m_revision;
        m_changedAt = m_now;
    }
    void kill(std::size_t n)
    {
        m_daemons[n].isDead = true;
    }
    /// The others learn of the dead daemons.
    void updateMembers()
    {
        std::vector<Member> live;
        for (std::size_t n = 0; n < m_daemons.size(); ++n) {
            if (!m_daemons[n].isDead) {
                live.push_back(m_members[n]);
            }
        }
        for (auto &it : m_daemons) {
            it.feed.setMembers(at(m_now), live);
        }
    }
    void run(int until)
    {
        for (; m_now < until; m_now += Step) {
            deliver();
            for (auto &it : m_daemons) {
                if (!it.isDead) {
                    step(it);
                }
            }
        }
    }
    /// Longest time since the last change for which a live daemon has been without it; 0 when all have it.
    int longestDelay() const
    {
        const bool isAnyBehind = std::any_of(m_daemons.begin(), m_daemons.end(),
                                             [&](const Daemon &it) { return !it.isDead && it.revision < m_revision; });
        return isAnyBehind ? m_now - m_changedAt : 0;
    }
    std::vector<std::size_t> watchers() const
    {
        std::vector<std::size_t> list;
        for (std::size_t n = 0; n < m_daemons.size(); ++n) {
            if (!m_daemons[n].isDead && m_daemons[n].feed.isWatcher()) {
                list.push_back(n);
            }
        }
        return list;
    }
    int calls() const
    {
        return m_calls;
    }

private:
    static constexpr int Step = 50;
    /// Pause between two calls of a watch.
    static constexpr int WatchPause = 150;
    static constexpr int LossPercent = 3;

    struct Daemon
    {
        WatchFeed feed;
        FeedLag lag;
        std::uint64_t revision;
        bool isDead;
        int nextCallAt;
        /// Revision from which the open watch call continues; empty without one.
        std::optional<std::uint64_t> watching;
    };

    void send(const ControlActions &actions)
    {
        for (const auto &it : actions) {
            if (m_random() % 100 >= LossPercent) {
                m_messages.push_back(std::get<SendPeerAction>(it));
            }
        }
    }

    void deliver()
    {
        const auto messages = std::exchange(m_messages, {});
        for (const auto &it : messages) {
            auto &daemon = m_daemons[static_cast<std::size_t>(std::stoi(it.vm.substr(3)))];
            if (it.type == WatchMessage::Status) {
                daemon.feed.receive(at(m_now), *decodeWatchStatus(it.payload));
                continue;
            }
            const auto change = decodeFedChange(it.payload)->change;
            if (change.to <= daemon.revision) {
                continue;
            }
            if (change.from > daemon.revision) {
                daemon.lag.lost(at(m_now), milliseconds(150));
                continue;
            }
            daemon.revision = change.to;
        }
    }

    void step(Daemon &it)
    {
        send(it.feed.tick(at(m_now), true));
        const bool isFed =
            it.lag.keepsUp(at(m_now), it.feed.view(at(m_now)), "servers", it.revision, milliseconds(150));
        if (!isFed && !it.watching && m_now >= it.nextCallAt) {
            it.watching = it.revision;
            ++m_calls;
        }
        if (it.watching && *it.watching < m_revision) {
            const auto from = it.revision;
            it.watching.reset();
            it.nextCallAt = m_now + WatchPause;
            it.revision = m_revision;
            it.feed.synced("servers", it.revision);
            send(it.feed.share(at(m_now), changeOf(from, it.revision)));
        }
    }

    std::mt19937 m_random;
    std::vector<Member> m_members;
    std::vector<Daemon> m_daemons;
    std::vector<SendPeerAction> m_messages;
    std::uint64_t m_revision = 1;
    int m_changedAt = 0;
    int m_now = 0;
    int m_calls = 0;
};
}

// A fleet in which servers join and leave one after the other: calls grow with the watchers and the changes, not with
// the daemons, and no daemon is without a change for longer than a lost message and a call take.
TEST(WatchFeedSimulationTest, CallsDoNotGrowWithTheFleet)
{
    for (const std::size_t daemons : {195U, 600U}) {
        FeedSimulation fleet(daemons, 5, 7);
        fleet.run(2'000); // the first watch calls of all daemons, before they hear of the watchers
        const int atStart = fleet.calls();
        fleet.change();
        fleet.run(4'000);
        const int before = fleet.calls();
        for (int n = 0; n < 50; ++n) {
            fleet.change();
            fleet.run(4'000 + 500 * (n + 1));
            EXPECT_EQ(fleet.longestDelay(), 0) << n;
        }
        const int watchers = static_cast<int>(fleet.watchers().size());
        EXPECT_LE(fleet.calls() - before, 50 * watchers + 50 * static_cast<int>(daemons) * 3 / 100);
        EXPECT_LE(atStart, static_cast<int>(daemons) + 2 * watchers);
    }
}

// All watchers of the fleet are lost with a change that they have not passed on. The others notice the silence and read
// the store; new watchers take over.
TEST(WatchFeedSimulationTest, LossOfAllWatchersDelaysAChangeByTheSilence)
{
    for (unsigned seed = 0; seed < 20; ++seed) {
        FeedSimulation fleet(195, 5, seed);
        fleet.run(2'000);
        fleet.change();
        fleet.run(4'000);
        for (const auto it : fleet.watchers()) {
            fleet.kill(it);
        }
        fleet.change();
        fleet.run(4'750);
        EXPECT_EQ(fleet.longestDelay(), 0) << seed;
        fleet.updateMembers();
        fleet.run(12'000);
        EXPECT_EQ(fleet.watchers().size(), 10U);
        fleet.change(); // ends the watch calls that daemons made while no watcher was heard
        fleet.run(14'000);
        const int before = fleet.calls();
        fleet.change();
        fleet.run(14'600);
        fleet.change();
        fleet.run(15'200);
        EXPECT_EQ(fleet.longestDelay(), 0) << seed;
        EXPECT_LE(fleet.calls() - before, 2 * 10 + 195 / 10) << seed;
    }
}

// Only a part of the fleet watches a kind, since the others have another setting or an earlier build. Guards against a
// daemon that waits for changes of a kind which nobody passes on to it, and against calls for kinds that it is fed.
TEST(WatchFeedTest, KindThatTheWatchersDoNotStateIsWatched)
{
    const auto members = fleetOf(20, 5);
    auto feed = feedOf(members, 19);
    ASSERT_FALSE(feed.isWatcher());
    feed.synced("servers", 5);
    feed.synced("evacuations", 3);
    feed.receive(at(0), {1, true, {{"servers", 5}}});
    const auto grace = milliseconds(150);
    FeedLag servers;
    FeedLag evacuations;
    EXPECT_TRUE(servers.keepsUp(at(10), feed.view(at(10)), "servers", 5, grace));
    EXPECT_FALSE(evacuations.keepsUp(at(10), feed.view(at(10)), "evacuations", 3, grace));
    // One of the two daemons that feed it watches the kind.
    feed.receive(at(100), {1, true, {{"servers", 5}, {"evacuations", 3}}});
    feed.receive(at(110), {1, true, {{"servers", 5}}});
    EXPECT_TRUE(evacuations.keepsUp(at(120), feed.view(at(120)), "evacuations", 3, grace));
    feed.receive(at(650), {1, true, {{"servers", 5}}});
    EXPECT_FALSE(evacuations.keepsUp(at(700), feed.view(at(700)), "evacuations", 3, grace));
    EXPECT_TRUE(servers.keepsUp(at(700), feed.view(at(700)), "servers", 5, grace));
    feed.setEra(2);
    EXPECT_TRUE(feed.view(at(710)).unfedKinds.empty());
}

#include <gtest/gtest.h>

#include <map>
#include <set>

#include <fmt/format.h>

#include <galenarock/membership.h>
#include <galenarock/peer.h>

#include "membership/messages_p.h"

using namespace Galenarock;

namespace
{
constexpr Duration Tick = milliseconds(50);

/// Membership cores whose messages arrive one tick later; messages between daemons of different `side`s are lost.
class Cluster
{
public:
    explicit Cluster(int count, bool hasVmList = true)
    {
        for (int n = 0; n < count; ++n) {
            add(nameOf(n), 100 + static_cast<std::uint64_t>(n), 1'000);
        }
        if (hasVmList) {
            feedVmList();
        }
    }
    static std::string nameOf(int n)
    {
        return fmt::format("vm-{:04}", n);
    }
    static std::string addressOf(const std::string &name)
    {
        return "127.0.0.1:" + name.substr(3);
    }
    void add(const std::string &name, std::uint64_t boot, std::uint64_t incarnation,
             std::vector<std::string> seeds = {})
    {
        MembershipSettings settings;
        settings.self.identity = {name, boot};
        settings.self.failureDomain = "rioja";
        settings.self.peerAddress = addressOf(name);
        settings.startIncarnation = incarnation;
        settings.seed = boot;
        settings.seeds = std::move(seeds);
        cores.insert_or_assign(name, MembershipCore(settings));
    }
    VmList vmList() const
    {
        VmList list;
        list.revision = revision;
        for (const auto &[name, core] : cores) {
            VmEntry vm;
            vm.name = name;
            vm.failureDomain = "rioja";
            vm.peerAddress = addressOf(name);
            list.vms.push_back(vm);
        }
        return list;
    }
    void feedVmList()
    {
        ++revision;
        for (const auto &[name, core] : cores) {
            feed(name, VmListEvent{vmList()});
        }
    }
    void feed(const std::string &name, const ControlEvent &event)
    {
        for (auto &it : cores.at(name).step(now, event)) {
            if (auto *message = std::get_if<SendPeerAction>(&it)) {
                maxPayloadBytes = std::max(maxPayloadBytes, message->payload.size());
                inFlight.push_back({name, std::move(*message)});
            }
        }
    }
    void run(Duration time)
    {
        for (const auto end = now + time; now < end; now += Tick) {
            auto arriving = std::exchange(inFlight, {});
            for (auto &[from, message] : arriving) {
                deliver(from, message);
            }
            for (const auto &[name, core] : cores) {
                if (stopped.count(name) == 0) {
                    feed(name, TickEvent());
                }
            }
        }
    }
    void deliver(const std::string &from, const SendPeerAction &message)
    {
        const auto to = message.vm.find(':') == std::string::npos ? message.vm : "vm-" + message.vm.substr(10);
        if (cores.count(to) == 0 || stopped.count(to) != 0 || side[from] != side[to]) {
            return;
        }
        feed(to, PeerEvent{{from, 0}, message.type, message.payload});
    }
    Member view(const std::string &observer, const std::string &name)
    {
        for (const auto &it : cores.at(observer).members()) {
            if (it.identity.name == name) {
                return it;
            }
        }
        return {};
    }
    /// Number of observers that see `name` in `status`.
    std::size_t seenAs(const std::string &name, MemberStatus status)
    {
        std::size_t n = 0;
        for (const auto &[observer, core] : cores) {
            n += observer != name && stopped.count(observer) == 0 && view(observer, name).status == status ? 1 : 0;
        }
        return n;
    }
    std::uint64_t suspicions(const std::string &name) const
    {
        return cores.at(name).counters().suspicions;
    }

    struct Message
    {
        std::string from;
        SendPeerAction action;
    };
    Instant now{seconds(1'000)};
    std::map<std::string, MembershipCore> cores;
    std::vector<Message> inFlight;
    std::set<std::string> stopped;
    std::map<std::string, int> side;
    std::uint64_t revision = 0;
    std::size_t maxPayloadBytes = 0;
};
}

// Guards against suspicions of healthy daemons, boot numbers that do not spread, and messages that exceed a datagram in
// normal operation.
TEST(Membership, healthyClusterRaisesNoSuspicion)
{
    Cluster cluster(10);
    cluster.run(seconds(60));
    for (const auto &[name, core] : cluster.cores) {
        EXPECT_EQ(cluster.suspicions(name), 0u);
        EXPECT_EQ(core.members().size(), 10u);
        EXPECT_EQ(cluster.view(name, "vm-0003").identity.boot, 103u);
    }
    EXPECT_LE(cluster.maxPayloadBytes, maxDatagramPayload);
}

// Guards against a crashed daemon that is not declared dead, and against a restarted daemon that stays dead or keeps
// its old identity when its clock is behind that of its previous process.
TEST(Membership, crashIsDetectedAndRestartIsAliveAgain)
{
    Cluster cluster(10);
    cluster.run(seconds(5));
    cluster.stopped.insert("vm-0004");
    cluster.run(seconds(6));
    EXPECT_EQ(cluster.seenAs("vm-0004", MemberStatus::Dead), 9u);
    cluster.stopped.clear();
    cluster.add("vm-0004", 555, 500, {}); // initial incarnation below that of the previous process
    cluster.feed("vm-0004", VmListEvent{cluster.vmList()});
    cluster.run(seconds(6));
    EXPECT_EQ(cluster.seenAs("vm-0004", MemberStatus::Alive), 9u);
    EXPECT_EQ(cluster.view("vm-0001", "vm-0004").identity.boot, 555u);
}

// Guards against a healthy daemon that is declared dead because one link to it is broken.
TEST(Membership, brokenLinkCausesNoDeath)
{
    Cluster cluster(6);
    cluster.run(seconds(5));
    cluster.side["vm-0000"] = 0;
    for (int n = 0; n < 600; ++n) {
        std::vector<Cluster::Message> kept;
        for (auto &it : cluster.inFlight) {
            const std::set<std::string> ends{it.from, it.action.vm};
            if (ends == std::set<std::string>{"vm-0000", "vm-0001"}) {
                continue;
            }
            kept.push_back(std::move(it));
        }
        cluster.inFlight = std::move(kept);
        cluster.run(Tick);
    }
    EXPECT_EQ(cluster.seenAs("vm-0000", MemberStatus::Dead), 0u);
    EXPECT_EQ(cluster.seenAs("vm-0001", MemberStatus::Dead), 0u);
    EXPECT_EQ(cluster.seenAs("vm-0001", MemberStatus::Alive), 5u);
}

// Guards against a paused daemon that suspects healthy members after it resumes.
TEST(Membership, pausedDaemonRaisesNoSuspicion)
{
    Cluster cluster(10);
    cluster.run(seconds(5));
    cluster.stopped.insert("vm-0002");
    cluster.run(seconds(5));
    cluster.stopped.clear();
    cluster.run(seconds(10));
    EXPECT_EQ(cluster.suspicions("vm-0002"), 0u);
    EXPECT_EQ(cluster.cores.at("vm-0002").counters().pauses, 1u);
    EXPECT_EQ(cluster.seenAs("vm-0002", MemberStatus::Alive), 9u);
    EXPECT_GT(cluster.cores.at("vm-0002").incarnation(), 1'000u);
}

// Guards against members that stay dead for each other after a partition has healed.
TEST(Membership, membersAreAliveAfterPartitionHeals)
{
    Cluster cluster(8);
    cluster.run(seconds(5));
    for (int n = 0; n < 4; ++n) {
        cluster.side[Cluster::nameOf(n)] = 1;
    }
    cluster.run(seconds(30));
    EXPECT_EQ(cluster.seenAs("vm-0000", MemberStatus::Dead), 4u);
    cluster.side.clear();
    cluster.run(seconds(30));
    for (int n = 0; n < 8; ++n) {
        EXPECT_EQ(cluster.seenAs(Cluster::nameOf(n), MemberStatus::Alive), 7u) << n;
    }
}

// Guards against a planned stop that is reported as a failure.
TEST(Membership, plannedStopSpreadsAsLeaving)
{
    Cluster cluster(10);
    cluster.run(seconds(5));
    cluster.feed("vm-0007", StopEvent());
    cluster.run(seconds(1));
    EXPECT_EQ(cluster.seenAs("vm-0007", MemberStatus::Leaving), 9u);
}

// Guards against a daemon that cannot join while the platform, and therefore the VM list, is unavailable.
TEST(Membership, joinsBySeedWithoutVmList)
{
    Cluster cluster(5);
    cluster.run(seconds(5));
    cluster.add("vm-0009", 900, 2'000, {Cluster::addressOf("vm-0003")});
    cluster.run(seconds(5));
    EXPECT_EQ(cluster.cores.at("vm-0009").members().size(), 6u);
    EXPECT_EQ(cluster.seenAs("vm-0009", MemberStatus::Alive), 5u);
}

// Guards against an outdated VM list that makes a running member dead, and against dead members that are never removed
// after the VM list has dropped them.
TEST(Membership, vmListRemovesOnlyDeadMembers)
{
    Cluster cluster(4);
    cluster.run(seconds(5));
    auto list = cluster.vmList();
    list.revision = 2;
    list.vms.erase(list.vms.begin() + 3);
    list.vms[2].state = VmState::Leaving;
    cluster.feed("vm-0000", VmListEvent{list});
    EXPECT_FALSE(cluster.view("vm-0000", "vm-0003").listed);
    EXPECT_EQ(cluster.view("vm-0000", "vm-0003").status, MemberStatus::Alive);
    EXPECT_EQ(cluster.view("vm-0000", "vm-0002").status, MemberStatus::Leaving);
    cluster.stopped.insert("vm-0003");
    cluster.run(seconds(610));
    list.revision = 3;
    cluster.feed("vm-0000", VmListEvent{list});
    EXPECT_EQ(cluster.cores.at("vm-0000").members().size(), 3u);
}

// Guards against messages whose size or number per tick grows with the number of members, and against damaged messages
// and oversized VM names that are not counted as malformed.
TEST(Membership, messagesAreBoundedWithTenThousandMembers)
{
    Cluster cluster(1);
    VmList list;
    list.revision = 9;
    for (int n = 0; n < 10'000; ++n) {
        VmEntry vm;
        vm.name = Cluster::nameOf(n);
        vm.peerAddress = Cluster::addressOf(vm.name);
        list.vms.push_back(vm);
    }
    cluster.feed("vm-0000", VmListEvent{list});
    cluster.inFlight.clear();
    std::size_t maxMessagesPerTick = 0;
    for (int n = 0; n < 400; ++n) {
        cluster.now += Tick;
        cluster.feed("vm-0000", TickEvent());
        maxMessagesPerTick = std::max(maxMessagesPerTick, cluster.inFlight.size());
        cluster.inFlight.clear();
    }
    EXPECT_LE(maxMessagesPerTick, 6u);
    EXPECT_LE(cluster.maxPayloadBytes, maxDatagramPayload);
    cluster.feed("vm-0000", PeerEvent{{"vm-0001", 1}, 1, "damaged"});
    EXPECT_EQ(cluster.cores.at("vm-0000").counters().malformed, 1u);
    VmEntry vm;
    vm.name = std::string(64, 'n');
    list.vms = {vm};
    list.revision = 10;
    cluster.feed("vm-0000", VmListEvent{list});
    EXPECT_EQ(cluster.cores.at("vm-0000").counters().malformed, 2u);
}

#pragma once

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <fmt/format.h>

#include <galenarock/config.h>
#include <galenarock/membership.h>
#include <galenarock/peer.h>

namespace Galenarock
{

struct MemoryClusterOptions
{
    std::size_t daemons = 6;
    std::size_t domains = 3;
    std::uint64_t seed = 1;
    /// Bounds of the one-way delay of messages and platform answers.
    Duration shortestDelay = std::chrono::microseconds(300);
    Duration longestDelay = milliseconds(3);
    double lossPercent = 0;
    /// Interval of the VM list polling of each daemon.
    Duration vmListInterval = seconds(1);
    /// A pending watch without changes is answered after this time.
    Duration watchTimeout = seconds(20);
};

/// Runs the membership and configuration cores of several daemons in one thread, with an in-memory message queue and a
/// minimal platform. Deterministic: equal options give equal runs.
class MemoryCluster
{
public:
    struct Daemon
    {
        std::string name;
        std::string domain;
        std::uint64_t boot = 0;
        std::unique_ptr<MembershipCore> members;
        std::unique_ptr<ConfigCore> config;
        bool isUp = true;
        Instant pausedUntil;
        std::vector<ControlEvent> held;
        std::uint64_t messages = 0;
        std::uint64_t bytes = 0;
        std::uint64_t cpuNanoseconds = 0;
        /// Last version in force of each object; kept across restarts.
        std::map<ObjectKey, std::uint64_t> inForce;
        std::map<ObjectKey, std::uint64_t> watched;
        Instant nextVmList;
        Instant watchUntil;
    };

    explicit MemoryCluster(MemoryClusterOptions options)
        : m_options(options)
        , m_random(options.seed)
    {
        for (std::size_t n = 0; n < options.daemons; ++n) {
            Daemon daemon;
            daemon.name = fmt::format("vm-{:04}", n);
            daemon.domain = fmt::format("domain-{}", n % options.domains);
            daemons.push_back(std::move(daemon));
            start(n);
        }
    }

    /// Starts or restarts a daemon with a new boot number and without its previous state.
    void start(std::size_t n)
    {
        auto &daemon = daemons[n];
        daemon.boot = ++m_boots;
        daemon.isUp = true;
        daemon.held.clear();
        daemon.watched.clear();
        MembershipSettings members;
        members.self.identity = {daemon.name, daemon.boot};
        members.self.failureDomain = daemon.domain;
        members.self.peerAddress = "127.0.0.1:1";
        members.startIncarnation = static_cast<std::uint64_t>(duration_cast<milliseconds>(now - Instant()).count());
        members.seed = m_random();
        daemon.members = std::make_unique<MembershipCore>(members);
        ConfigSettings config;
        config.self = members.self.identity;
        config.failureDomain = daemon.domain;
        config.seed = m_random();
        daemon.config = std::make_unique<ConfigCore>(config);
        daemon.nextVmList = now;
        const auto phase = milliseconds(m_random() % 50);
        m_queue.push({now + phase, ++m_order, n, daemon.boot, TickEvent(), true});
    }

    void run(Duration time)
    {
        const auto end = now + time;
        while (!m_queue.empty() && m_queue.top().at <= end) {
            auto item = m_queue.top();
            m_queue.pop();
            now = item.at;
            handle(item);
        }
        now = end;
    }

    /// Writes an object at the platform; returns its new version.
    std::uint64_t write(const ObjectKey &key, nlohmann::json value)
    {
        auto &object = objects[key];
        object.key = key;
        ++object.version;
        object.value = std::move(value);
        acceptedAt[{key, object.version}] = now;
        return object.version;
    }

    /// Delivers the member table of `source` to `target`, like a reply of a seed while the platform has no VM list.
    void feedMembersFrom(std::size_t source, std::size_t target)
    {
        VmList list;
        list.revision = vmListRevision;
        for (const auto &it : daemons[source].members->members()) {
            VmEntry vm;
            vm.name = it.identity.name;
            vm.failureDomain = it.failureDomain;
            vm.peerAddress = it.peerAddress;
            list.vms.push_back(vm);
        }
        push(target, VmListEvent{list});
    }
    /// Number of running daemons that have `version` or a newer version of `key` in force.
    std::size_t countInForce(const ObjectKey &key, std::uint64_t version)
    {
        std::size_t n = 0;
        for (auto &it : daemons) {
            n += it.isUp && it.inForce[key] >= version ? 1 : 0;
        }
        return n;
    }

    Instant now{seconds(1'000)};
    std::vector<Daemon> daemons;
    std::map<ObjectKey, StoredObject> objects;
    bool isPlatformUp = true;
    /// Watches deliver the version before the last write, like a lagging replica.
    bool isPlatformStale = false;
    std::set<std::string> withoutPlatform; ///< Daemons that cannot reach the platform.
    std::map<std::string, std::uint64_t> calls;
    std::map<std::string, std::string> side; ///< Messages between daemons of different sides are lost.
    std::map<std::pair<ObjectKey, std::uint64_t>, Instant> acceptedAt;
    /// Seconds from the write until the version is in force, one for each daemon and version.
    std::vector<double> delays;
    std::map<std::pair<ObjectKey, std::uint64_t>, double> lastDelay;
    std::uint64_t reverts = 0;
    std::uint64_t vmListRevision = 1;
    std::vector<std::string> suspected; ///< Name of the suspected member, for each suspicion.
    std::function<std::uint64_t()> cpuClock;
    std::map<std::uint16_t, std::uint64_t> bytesByType;

private:
    struct Item
    {
        Instant at;
        std::uint64_t order;
        std::size_t to;
        std::uint64_t boot;
        ControlEvent event;
        bool isTick = false;
        bool operator<(const Item &other) const
        {
            return std::tie(other.at, other.order) < std::tie(at, order);
        }
    };

    Duration delay()
    {
        const auto width = static_cast<std::uint64_t>((m_options.longestDelay - m_options.shortestDelay).count()) + 1;
        return m_options.shortestDelay + Duration(m_random() % width);
    }

    void handle(const Item &item)
    {
        auto &daemon = daemons[item.to];
        if (!daemon.isUp || daemon.boot != item.boot) {
            return;
        }
        if (now < daemon.pausedUntil) {
            if (item.isTick) {
                m_queue.push({daemon.pausedUntil, ++m_order, item.to, item.boot, TickEvent(), true});
            } else {
                m_queue.push({daemon.pausedUntil, ++m_order, item.to, item.boot, item.event, false});
            }
            return;
        }
        if (item.isTick) {
            m_queue.push({now + milliseconds(50), ++m_order, item.to, item.boot, TickEvent(), true});
            pollPlatform(item.to);
        }
        feed(item.to, item.event);
    }

    void pollPlatform(std::size_t n)
    {
        auto &daemon = daemons[n];
        const bool isReachable = isPlatformUp && withoutPlatform.count(daemon.name) == 0;
        if (now >= daemon.nextVmList) {
            daemon.nextVmList = now + m_options.vmListInterval;
            ++calls["vms"];
            if (isReachable) {
                push(n, VmListEvent{vmList()});
            }
        }
        if (!daemon.config->shouldWatch() || !isReachable) {
            return;
        }
        if (now >= daemon.watchUntil) {
            daemon.watchUntil = now + m_options.watchTimeout;
            calls["watch"] += 2; // service and assignment
        }
        for (const auto &[key, object] : objects) {
            const auto version = object.version - (isPlatformStale ? 1 : 0);
            if (daemon.watched[key] >= version) {
                continue;
            }
            daemon.watched[key] = version;
            ++calls["watch"];
            auto copy = object;
            copy.version = version;
            push(n, ObjectEvent{copy, true});
        }
    }

    VmList vmList() const
    {
        VmList list;
        list.revision = vmListRevision;
        for (const auto &it : daemons) {
            VmEntry vm;
            vm.name = it.name;
            vm.failureDomain = it.domain;
            vm.peerAddress = "127.0.0.1:1";
            list.vms.push_back(vm);
        }
        return list;
    }

    void push(std::size_t n, ControlEvent event)
    {
        m_queue.push({now + delay(), ++m_order, n, daemons[n].boot, std::move(event), false});
    }

    void feed(std::size_t n, const ControlEvent &event)
    {
        auto &daemon = daemons[n];
        const auto start = cpuClock ? cpuClock() : 0;
        auto actions = daemon.members->step(now, event);
        auto more = daemon.config->step(now, event);
        std::move(more.begin(), more.end(), std::back_inserter(actions));
        for (std::size_t it = 0; it < actions.size(); ++it) {
            if (const auto *members = std::get_if<PublishMembersAction>(&actions[it])) {
                auto further = daemon.config->step(now, MembersEvent{members->members});
                std::move(further.begin(), further.end(), std::back_inserter(actions));
            }
        }
        const auto changed = daemon.config->takeChanged();
        daemon.cpuNanoseconds += (cpuClock ? cpuClock() : 0) - start;
        for (const auto &it : changed) {
            putInForce(daemon, it);
        }
        for (const auto &it : actions) {
            if (const auto *message = std::get_if<SendPeerAction>(&it)) {
                deliver(daemon, *message);
            } else if (const auto *decision = std::get_if<DecisionAction>(&it)) {
                recordSuspicion(*decision);
            }
        }
    }

    void recordSuspicion(const DecisionAction &decision)
    {
        if (decision.event.name == "member-suspected") {
            suspected.push_back(decision.text.substr(0, decision.text.find('#')));
        }
    }

    void putInForce(Daemon &daemon, const StoredObject &object)
    {
        auto &version = daemon.inForce[object.key];
        reverts += object.version < version ? 1 : 0;
        if (object.version > version) {
            const auto accepted = acceptedAt.find({object.key, object.version});
            const std::chrono::duration<double> delay = now - accepted->second;
            delays.push_back(delay.count());
            auto &last = lastDelay[{object.key, object.version}];
            last = std::max(last, delay.count());
        }
        version = object.version;
    }

    void deliver(Daemon &sender, const SendPeerAction &message)
    {
        const auto bytes = message.payload.size() + frameOverheadBytes + sender.name.size();
        ++sender.messages;
        sender.bytes += bytes;
        bytesByType[message.type] += bytes;
        const auto to = static_cast<std::size_t>(std::stoul(message.vm.substr(3)));
        const bool isLost = static_cast<double>(m_random() % 10'000) < 100 * m_options.lossPercent;
        if (to >= daemons.size() || isLost || side[sender.name] != side[daemons[to].name]) {
            return;
        }
        push(to, PeerEvent{{sender.name, sender.boot}, message.type, message.payload});
    }

    const MemoryClusterOptions m_options;
    std::mt19937_64 m_random;
    std::priority_queue<Item> m_queue;
    std::uint64_t m_order = 0;
    std::uint64_t m_boots = 0;
};

}

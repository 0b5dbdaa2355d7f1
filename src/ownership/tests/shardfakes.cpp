#include "ownership/tests/shardfakes_p.h"

#include <algorithm>

#include <fmt/format.h>

namespace Galenarock::ShardFakes
{

namespace
{
const std::vector<std::string> domains{"rioja", "navarra", "aragon"};
constexpr Duration tick = milliseconds(50);
}

Cluster::Cluster(int daemonCount, int serverCount, bool checksGrants)
{
    document.pool.checksGrants = checksGrants;
    document.service = "vitrina";
    document.distribution = Distribution::Keyed;
    document.ownership.slices = 32;
    for (int n = 1; n <= serverCount; ++n) {
        startServer(fmt::format("vitrina-{}", n));
    }
    for (int n = 1; n <= daemonCount; ++n) {
        startDaemon(fmt::format("vm-{}", n));
    }
    sendLists();
}

void Cluster::startDaemon(const std::string &name)
{
    auto &daemon = daemons[name];
    daemon.identity = {name, nextBoot++};
    daemon.failureDomain = domains[static_cast<std::size_t>(name.back() - '0') % domains.size()];
    daemon.dead = false;
    ShardSettings settings;
    settings.self = daemon.identity;
    settings.failureDomain = daemon.failureDomain;
    settings.shard = document.service;
    settings.document = document;
    settings.seed = nextBoot;
    settings.mayRun = [&daemon](const Identity &server, const SliceRange &range) {
        return std::any_of(daemon.running.begin(), daemon.running.end(), [&](const auto &it) {
            return it.second == server.name && range.contains(sample(it.first));
        });
    };
    daemon.routes = {};
    daemon.permitEnd.reset();
    daemon.controller = std::make_unique<ShardController>(std::move(settings));
}

void Cluster::startServer(const std::string &name)
{
    auto &server = servers[name];
    server.dead = false;
    server.frozen = false;
    const GrantHolderOptions options{document.pool.checksGrants};
    server.holder = std::make_unique<GrantHolder>(document.service, nextBoot, nextBoot, options);
    ++nextBoot;
}

void Cluster::sendLists()
{
    VmList list;
    list.revision = ++listRevision;
    MembersEvent members;
    for (const auto &[name, it] : daemons) {
        const auto status = it.dead ? MemberStatus::Dead : it.leaving ? MemberStatus::Leaving : MemberStatus::Alive;
        members.members.push_back({it.identity, it.failureDomain, name, name, status, true});
        list.vms.push_back({name, VmRole::Entry, "", it.failureDomain, name, name, VmState::Live});
    }
    for (const auto &[name, it] : servers) {
        if (it.listed) {
            list.vms.push_back({name, VmRole::Backend, document.service, "rioja", name, "", it.state});
        }
    }
    for (const auto &[name, it] : daemons) {
        deliver(name, members);
        deliver(name, VmListEvent{list});
    }
}

void Cluster::deliver(const std::string &name, const ControlEvent &event)
{
    auto &daemon = daemons[name];
    if (daemon.dead) {
        return;
    }
    if (daemon.paused) {
        if (!std::holds_alternative<TickEvent>(event)) {
            daemon.heldBack.push_back(event);
        }
        return;
    }
    while (!daemon.heldBack.empty()) {
        const auto held = std::move(daemon.heldBack.front());
        daemon.heldBack.pop_front();
        carryOut(name, daemon.controller->step(now, held));
    }
    carryOut(name, daemon.controller->step(now, event));
}

void Cluster::carryOut(const std::string &name, ControlActions actions)
{
    for (auto &action : actions) {
        if (const auto *it = std::get_if<ReadObjectAction>(&action)) {
            read(name, *it);
        } else if (const auto *it = std::get_if<WriteObjectAction>(&action)) {
            write(name, *it);
        } else if (const auto *it = std::get_if<CallServerAction>(&action)) {
            call(name, *it);
        } else if (const auto *it = std::get_if<SendPeerAction>(&action)) {
            send(name, *it);
        } else if (const auto *it = std::get_if<DecisionAction>(&action)) {
            daemons[name].decisions.push_back(*it);
        } else if (const auto *it = std::get_if<PublishAssignmentAction>(&action)) {
            daemons[name].routes = it->assignment;
        }
    }
    daemons[name].permitEnd = daemons[name].controller->routePermitEnd();
}

void Cluster::at(Duration delay, std::function<void()> body)
{
    queue.emplace(now + delay, std::move(body));
}

void Cluster::read(const std::string &name, const ReadObjectAction &action)
{
    at(hop, [=] {
        if (platform.down) {
            return;
        }
        const auto it = platform.objects.find(action.key);
        ControlEvent event = ObjectMissingEvent{action.key};
        if (it != platform.objects.end()) {
            const auto &versions = it->second;
            const bool isStale = platform.staleReads && versions.size() > 1;
            event = ObjectEvent{isStale ? versions[versions.size() - 2] : versions.back(), true};
        }
        at(hop, [=] { deliver(name, event); });
    });
}

void Cluster::write(const std::string &name, const WriteObjectAction &action)
{
    WriteResultEvent result{action.key, action.writer, now, WriteStatus::Unknown, {}};
    at(hop, [=]() mutable {
        if (platform.down) {
            return at(callTimeout, [=] { deliver(name, result); });
        }
        if (platform.delayEffects > 0) {
            --platform.delayEffects;
            at(platform.effectDelay, [=] { platform.apply(action); });
            return at(callTimeout, [=] { deliver(name, result); });
        }
        const bool isApplied = platform.apply(action);
        if (platform.loseAnswers > 0) {
            --platform.loseAnswers;
            return at(callTimeout, [=] { deliver(name, result); });
        }
        result.status = isApplied ? WriteStatus::Applied : WriteStatus::Conflict;
        if (const auto *const current = platform.newest(action.key)) {
            result.current = *current;
        }
        at(hop, [=] { deliver(name, result); });
    });
}

void Cluster::call(const std::string &name, const CallServerAction &action)
{
    GrantReplyEvent event{action.server, action.request, now, {}};
    at(hop, [=]() mutable {
        auto &server = servers[action.server];
        if (server.dead || server.frozen || isCut(name, action.server)) {
            return at(callTimeout, [=] { deliver(name, event); });
        }
        event.reply = server.holder->handle(now, action.request);
        at(hop, [=] { deliver(name, event); });
    });
}

void Cluster::send(const std::string &name, const SendPeerAction &action)
{
    const PeerEvent event{daemons[name].identity, action.type, action.payload};
    at(hop, [=] {
        if (!isCut(name, action.vm)) {
            deliver(action.vm, event);
        }
    });
}

bool Cluster::isCut(const std::string &a, const std::string &b) const
{
    return cutLinks.count({a, b}) != 0 || cutLinks.count({b, a}) != 0;
}

void Cluster::cut(const std::string &a, const std::string &b)
{
    cutLinks.insert({a, b});
}

KeyHash Cluster::sample(std::size_t n)
{
    return (~KeyHash(0) / sampledKeys) * n + 12'345;
}

std::string Cluster::ownerOf(KeyHash hash) const
{
    for (const auto &[name, it] : servers) {
        for (const auto &slice : it.holder->held(now)) {
            if (!it.dead && slice.range.contains(hash)) {
                return name;
            }
        }
    }
    return {};
}

std::size_t Cluster::servedCount() const
{
    std::size_t count = 0;
    for (std::size_t n = 0; n < sampledKeys; ++n) {
        const auto owner = ownerOf(sample(n));
        count += !owner.empty() && !servers.at(owner).frozen ? 1 : 0;
    }
    return count;
}

std::string Cluster::routeOf(const FakeDaemon &daemon, KeyHash hash) const
{
    const auto *const slice = daemon.routes.find(hash);
    const bool mayRoute = !daemon.dead && !daemon.paused && daemon.permitEnd && now < *daemon.permitEnd;
    return mayRoute && slice && slice->owner != noServer ? daemon.routes.servers[slice->owner].name : std::string();
}

void Cluster::judgeRoutes()
{
    for (std::size_t n = 0; n < sampledKeys; ++n) {
        std::set<std::string> targets;
        for (const auto &[name, it] : daemons) {
            targets.insert(routeOf(it, sample(n)));
            const auto running = it.running.find(n);
            targets.insert(running != it.running.end() ? running->second : std::string());
        }
        targets.erase(std::string());
        if (targets.size() > 1) {
            violations.push_back(fmt::format("key {} is sent to {} servers", n, targets.size()));
        }
        const auto isServed = targets.size() == 1 && !servers[*targets.begin()].dead;
        longestGap = std::max(longestGap, now - servedAt[n]);
        servedAt[n] = isServed ? now : servedAt[n];
    }
}

void Cluster::judge()
{
    if (!document.pool.checksGrants) {
        return judgeRoutes();
    }
    for (std::size_t n = 0; n < sampledKeys; ++n) {
        int owners = 0;
        bool isServed = false;
        for (const auto &[name, it] : servers) {
            const auto held = it.holder->held(now);
            const auto holds = [&](const auto &slice) {
                return slice.range.contains(sample(n));
            };
            if (it.dead || std::none_of(held.begin(), held.end(), holds)) {
                continue;
            }
            ++owners;
            isServed = !it.frozen;
        }
        if (owners > 1) {
            violations.push_back(fmt::format("{} ms: key {} has {} owners",
                                             duration_cast<milliseconds>(now.time_since_epoch()).count(), n, owners));
        }
        longestGap = std::max(longestGap, now - servedAt[n]);
        servedAt[n] = isServed ? now : servedAt[n];
    }
}

void Cluster::resetGaps()
{
    std::fill(servedAt.begin(), servedAt.end(), now);
    longestGap = {};
}

void Cluster::run(Duration duration)
{
    const Instant end = now + duration;
    while (now < end) {
        now += milliseconds(1);
        while (!queue.empty() && queue.begin()->first <= now) {
            const auto body = std::move(queue.begin()->second);
            queue.erase(queue.begin());
            body();
        }
        if (now.time_since_epoch() % tick == Duration::zero()) {
            for (const auto &[name, it] : daemons) {
                deliver(name, TickEvent());
            }
        }
        judge();
    }
}

FakeDaemon *Cluster::coordinator()
{
    for (auto &[name, it] : daemons) {
        if (!it.dead && !it.paused && it.controller->role() == ShardRole::Coordinator) {
            return &it;
        }
    }
    return nullptr;
}

FakeDaemon *Cluster::deputy()
{
    for (auto &[name, it] : daemons) {
        if (!it.dead && !it.paused && it.controller->role() == ShardRole::Deputy) {
            return &it;
        }
    }
    return nullptr;
}

}

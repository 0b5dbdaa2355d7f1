#include "leaseworld_p.h"

#include <algorithm>

#include <fmt/format.h>

namespace Galenarock
{

namespace
{
constexpr Duration StepTime = milliseconds(10);
constexpr Duration TickTime = milliseconds(50);
constexpr Duration NetworkDelay = milliseconds(2);
constexpr Duration CallTimeout = milliseconds(250);
constexpr std::size_t PositionCount = 64;
/// Servers' clocks run this much slow.
constexpr double Drift = 0.02;
}

LeaseCallStatus FakeLeaseServer::grant(Instant arrivedAt, Instant now, const LeaseCall &call)
{
    for (const auto &it : m_seen) {
        if (it.range.overlaps(call.range) && it.fence > call.fencingToken) {
            return LeaseCallStatus::Outdated;
        }
    }
    const auto until = arrivedAt + duration_cast<Duration>(call.grantDuration * (1 + Drift));
    m_seen.push_back({call.range, call.fencingToken, until});
    if (until <= now) {
        return LeaseCallStatus::Accepted;
    }
    const auto same = std::find_if(held.begin(), held.end(), [&](const Hold &it) {
        return it.range == call.range && it.fence == call.fencingToken;
    });
    if (same != held.end()) {
        same->until = std::max(same->until, until);
    } else {
        held.push_back({call.range, call.fencingToken, until});
    }
    return LeaseCallStatus::Accepted;
}

void FakeLeaseServer::release(const LeaseCall &call)
{
    std::vector<Hold> rest;
    for (const auto &it : held) {
        if (!it.range.overlaps(call.range)) {
            rest.push_back(it);
            continue;
        }
        if (it.range.first < call.range.first) {
            rest.push_back({{it.range.first, call.range.first - 1}, it.fence, it.until});
        }
        if (it.range.last > call.range.last) {
            rest.push_back({{call.range.last + 1, it.range.last}, it.fence, it.until});
        }
    }
    held = std::move(rest);
}

bool FakeLeaseServer::holds(Instant now, KeyHash position) const
{
    return isUp && std::any_of(held.begin(), held.end(), [&](const Hold &it) {
               return it.range.contains(position) && it.until > now;
           });
}

void FakeLeaseServer::restart()
{
    held.clear();
    m_seen.clear();
    isUp = true;
}

LeaseWorld::LeaseWorld(std::uint64_t seed, std::size_t daemonCount, std::size_t serverCount)
    : now(Instant(seconds(1'000)))
    , m_random(seed)
{
    for (std::size_t n = 0; n < PositionCount; ++n) {
        m_positions.push_back((~KeyHash(0) / PositionCount) * n + 5);
    }
    for (std::size_t n = 0; n < serverCount; ++n) {
        addServer();
    }
    for (std::size_t n = 0; n < daemonCount; ++n) {
        daemons.emplace_back();
        startDaemon(n);
    }
}

double LeaseWorld::uniform()
{
    return static_cast<double>(m_random() >> 11) * 0x1p-53;
}

void LeaseWorld::later(Duration delay, std::function<void()> action)
{
    m_agenda.emplace(now + delay, std::move(action));
}

void LeaseWorld::addServer()
{
    const auto n = servers.size();
    ServerState state;
    state.entry = {{fmt::format("s-{}", n), m_nextBoot++}, fmt::format("10.0.0.{}:80", n), "a", 4, false};
    servers.push_back(std::move(state));
    publishServers();
}

void LeaseWorld::startDaemon(std::size_t index)
{
    auto &daemon = daemons[index];
    daemon.identity = {fmt::format("vm-{}", index), m_nextBoot++};
    daemon.isFrozen = false;
    LeaseSettings settings;
    settings.self = daemon.identity;
    settings.service = "shop";
    daemon.controller = std::make_unique<LeaseController>(settings);
    publishMembers();
    publishServers();
}

void LeaseWorld::killDaemon(std::size_t index)
{
    daemons[index].controller.reset();
    publishMembers();
}

void LeaseWorld::thaw(std::size_t index)
{
    daemons[index].isFrozen = false;
    publishServers();
}

void LeaseWorld::stopDaemon(std::size_t index)
{
    deliver(index, StopEvent());
}

void LeaseWorld::crashServer(std::size_t index, bool isRegistered)
{
    servers[index].server.isUp = false;
    servers[index].isRegistered = isRegistered;
    publishServers();
}

void LeaseWorld::restartServer(std::size_t index)
{
    auto &state = servers[index];
    state.server.restart();
    state.entry.identity.boot = m_nextBoot++;
    state.isRegistered = true;
    publishServers();
}

void LeaseWorld::setLeaving(std::size_t index)
{
    servers[index].entry.leaving = true;
    publishServers();
}

LeaseWorld::ServerState *LeaseWorld::find(const Identity &identity)
{
    const auto it = std::find_if(servers.begin(), servers.end(),
                                 [&](const ServerState &state) { return state.entry.identity == identity; });
    return it == servers.end() ? nullptr : &*it;
}

void LeaseWorld::publishServers()
{
    std::vector<LeaseServer> list;
    for (const auto &it : servers) {
        if (it.isRegistered) {
            list.push_back(it.entry);
        }
    }
    for (std::size_t n = 0; n < daemons.size(); ++n) {
        if (daemons[n].controller && !daemons[n].isFrozen) {
            carryOut(n, daemons[n].controller->setServers(now, list));
        }
    }
}

void LeaseWorld::publishMembers()
{
    MembersEvent event;
    for (const auto &it : daemons) {
        const auto status = it.controller ? MemberStatus::Alive : MemberStatus::Dead;
        event.members.push_back({it.identity, "a", "", "", status, true, it.cpuPercent});
    }
    for (std::size_t n = 0; n < daemons.size(); ++n) {
        deliver(n, event);
    }
}

void LeaseWorld::deliver(std::size_t index, const ControlEvent &event)
{
    auto &daemon = daemons[index];
    if (!daemon.controller) {
        return;
    }
    if (daemon.isFrozen) {
        later(milliseconds(200), [this, index, event, boot = daemon.identity.boot] {
            if (daemons[index].identity.boot == boot) {
                deliver(index, event);
            }
        });
        return;
    }
    carryOut(index, daemon.controller->step(now, event));
}

void LeaseWorld::carryOut(std::size_t index, LeaseActions actions)
{
    for (const auto &it : actions.calls) {
        order(index, it);
    }
    for (const auto &it : actions.control) {
        if (const auto *readAction = std::get_if<ReadObjectAction>(&it)) {
            read(index, *readAction);
        } else if (const auto *writeAction = std::get_if<WriteObjectAction>(&it)) {
            write(index, *writeAction);
        } else if (const auto *send = std::get_if<SendPeerAction>(&it)) {
            sendPeer(index, *send);
        } else if (const auto *decision = std::get_if<DecisionAction>(&it)) {
            moves += decision->event.name == "lease-released" ? 1 : 0;
        }
    }
}

void LeaseWorld::read(std::size_t index, const ReadObjectAction &action)
{
    if (!isStoreUp || !daemons[index].reachesStore) {
        return;
    }
    later(NetworkDelay, [this, index, action] {
        ControlEvent event = ObjectMissingEvent{action.key};
        if (m_object) {
            event = ObjectEvent{*m_object, true};
        }
        later(NetworkDelay, [this, index, event] { deliver(index, event); });
    });
}

void LeaseWorld::write(std::size_t index, const WriteObjectAction &action)
{
    const auto boot = daemons[index].identity.boot;
    const auto answer = [this, index, boot](Duration delay, const WriteResultEvent &event) {
        later(delay, [this, index, boot, event] {
            if (daemons[index].identity.boot == boot) {
                deliver(index, event);
            }
        });
    };
    WriteResultEvent result{action.key, action.writer, now, WriteStatus::NotSent, {}};
    if (!isStoreUp || !daemons[index].reachesStore) {
        answer(milliseconds(100), result);
        return;
    }
    const bool isLost = uniform() < lostWrites;
    const auto delay = isLost ? NetworkDelay + milliseconds(static_cast<int>(2'000 * uniform())) : NetworkDelay;
    later(delay, [this, action, answer, result, isLost]() mutable {
        const auto stored = m_object ? m_object->version : 0;
        if (stored == action.expectedVersion) {
            m_object = StoredObject{action.key, ++m_version, action.writer, action.value};
            result.status = WriteStatus::Applied;
        } else {
            result.status = WriteStatus::Conflict;
        }
        result.current = *m_object;
        if (!isLost) {
            answer(NetworkDelay, result);
        }
    });
    if (isLost) {
        result.status = WriteStatus::Unknown;
        answer(milliseconds(300), result);
    }
}

void LeaseWorld::order(std::size_t index, const LeaseCall &call)
{
    const auto boot = daemons[index].identity.boot;
    auto reply = std::make_shared<LeaseReplyEvent>(LeaseReplyEvent{call, now, LeaseCallStatus::Unknown, {}});
    const auto answer = [this, index, boot, reply](Duration delay) {
        later(delay, [this, index, boot, reply] {
            if (daemons[index].identity.boot == boot) {
                deliver(index, *reply);
            }
        });
    };
    const auto *state = find(call.server);
    if (!state || !state->server.isUp || !state->server.isReachable) {
        answer(CallTimeout);
        return;
    }
    const auto arrivedAt = now + NetworkDelay;
    if (call.command == LeaseCommand::Grant && uniform() < lateGrants) {
        answer(CallTimeout);
        later(milliseconds(static_cast<int>(1'000 + 5'000 * uniform())), [this, arrivedAt, call] {
            LeaseReplyEvent ignored;
            applyOrder(arrivedAt, call, ignored);
        });
        return;
    }
    later(NetworkDelay, [this, arrivedAt, reply, answer] {
        applyOrder(arrivedAt, reply->call, *reply);
        answer(reply->status == LeaseCallStatus::Unknown ? CallTimeout : NetworkDelay);
    });
}

void LeaseWorld::applyOrder(Instant arrivedAt, const LeaseCall &call, LeaseReplyEvent &reply)
{
    auto *state = find(call.server);
    if (!state || !state->server.isUp) {
        return;
    }
    if (call.command == LeaseCommand::Release) {
        state->server.release(call);
        reply.status = LeaseCallStatus::Accepted;
        reply.releaseProof = "proof";
        return;
    }
    reply.status = state->server.grant(arrivedAt, now, call);
    if (reply.status != LeaseCallStatus::Accepted) {
        return;
    }
    for (const auto position : m_positions) {
        if (!state->server.holds(now, position) || !call.range.contains(position)) {
            continue;
        }
        auto &[fence, holder] = m_highest[position];
        if (holder != call.server && call.fencingToken <= fence && violation.empty()) {
            violation = fmt::format("{} took {:x} under {}, {} had it under {}", toString(call.server), position,
                                    call.fencingToken, toString(holder), fence);
        }
        if (call.fencingToken >= fence) {
            fence = call.fencingToken;
            holder = call.server;
        }
    }
}

void LeaseWorld::sendPeer(std::size_t index, const SendPeerAction &action)
{
    daemons[index].sentBytes += action.payload.size();
    if (!daemons[index].reachesPeers || uniform() < lostPeerMessages) {
        return;
    }
    const PeerEvent event{daemons[index].identity, action.type, action.payload};
    for (std::size_t n = 0; n < daemons.size(); ++n) {
        if (daemons[n].identity.name == action.vm && daemons[n].reachesPeers) {
            later(NetworkDelay, [this, n, event] { deliver(n, event); });
        }
    }
}

void LeaseWorld::run(Duration duration)
{
    const auto end = now + duration;
    while (now < end) {
        step();
    }
}

void LeaseWorld::step()
{
    now += StepTime;
    while (!m_agenda.empty() && m_agenda.begin()->first <= now) {
        const auto action = std::move(m_agenda.begin()->second);
        m_agenda.erase(m_agenda.begin());
        action();
    }
    if ((now.time_since_epoch() % TickTime) < StepTime) {
        for (std::size_t n = 0; n < daemons.size(); ++n) {
            if (!daemons[n].isFrozen) {
                deliver(n, TickEvent());
            }
        }
    }
    check();
}

void LeaseWorld::check()
{
    for (const auto position : m_positions) {
        const ServerState *holder = nullptr;
        for (const auto &it : servers) {
            if (!it.server.holds(now, position)) {
                continue;
            }
            if (holder && violation.empty()) {
                violation = fmt::format("at {} ms {} and {} hold {:x}",
                                        duration_cast<milliseconds>(now.time_since_epoch()).count(),
                                        toString(holder->entry.identity), toString(it.entry.identity), position);
            }
            holder = &it;
        }
    }
}

std::size_t LeaseWorld::leaderCount() const
{
    return static_cast<std::size_t>(std::count_if(
        daemons.begin(), daemons.end(), [](const Daemon &it) { return it.controller && it.controller->isLeader(); }));
}

std::optional<std::size_t> LeaseWorld::leader() const
{
    std::optional<std::size_t> found;
    for (std::size_t n = 0; n < daemons.size(); ++n) {
        const auto &it = daemons[n];
        const bool isLeader = it.controller && it.controller->isLeader();
        if (isLeader && (!found || daemons[*found].controller->epoch() < it.controller->epoch())) {
            found = n;
        }
    }
    return found;
}

Assignment LeaseWorld::table() const
{
    const auto index = leader();
    return index ? daemons[*index].controller->table() : Assignment();
}

std::size_t LeaseWorld::servedPositions() const
{
    const auto current = table();
    std::size_t n = 0;
    for (const auto position : m_positions) {
        const auto *slice = current.slices.empty() ? nullptr : current.find(position);
        if (!slice || slice->owner == noServer) {
            continue;
        }
        const auto &owner = current.servers[slice->owner];
        for (const auto &it : servers) {
            n += it.entry.identity == owner && it.server.holds(now, position) ? 1 : 0;
        }
    }
    return n;
}

void LeaseWorld::addLoad(const std::vector<std::pair<KeyHash, std::uint32_t>> &positions)
{
    for (std::size_t n = 0; n < daemons.size(); ++n) {
        if (daemons[n].controller && !daemons[n].isFrozen) {
            carryOut(n, daemons[n].controller->addLoad(now, {"shop", 0.25, positions, {}}));
        }
    }
}

}

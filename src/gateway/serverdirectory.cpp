#include "serverdirectory_p.h"

#include <algorithm>

#include <galenarock/routing.h>

namespace Galenarock
{

namespace
{
/// Servers whose entries expired during an outage of the store register again within this time after it recovers.
constexpr Duration ReregistrationTime = milliseconds(2'200);
/// Longer than the history that a restored store may lack.
constexpr Duration RemovedRetention = seconds(120);
/// A service has few missing servers if at most one in this many is missing.
constexpr std::size_t FewMissingDivisor = 3;
/// A process that has joined is remembered for this time; longer than any service states for its servers.
constexpr Duration JoinRetention = seconds(600);
/// Within this time after the servers were listed, the ones that register may be those of a whole deployment.
constexpr Duration DeploymentStartTime = seconds(10);
/// Smaller changes of the time at which a server is warm come from the delay of its entries.
constexpr Duration NotableWarmupChange = milliseconds(250);
}

void ServerDirectory::storeRestored(Instant now)
{
    m_hadOutage = true;
    m_lastOutageAt = now;
    m_restoredAt = now;
    for (auto &[name, it] : m_removed) {
        it.restoredSequence.reset();
    }
}

/// Whether the entry is one that the store had lost already. A server that lives after all writes with a higher
/// sequence number.
bool ServerDirectory::hadLeftBeforeRestore(const ServerEntry &entry)
{
    const auto found = m_removed.find(entry.identity.name);
    if (found == m_removed.end()) {
        return false;
    }
    auto &removed = found->second;
    const bool isCopy = removed.identity == entry.identity && removed.at < m_restoredAt
        && (!removed.restoredSequence || entry.sequence <= *removed.restoredSequence);
    if (!isCopy) {
        m_removed.erase(found);
        return false;
    }
    removed.restoredSequence = entry.sequence;
    return true;
}

bool ServerDirectory::hadSaidLeaving(const Identity &process) const
{
    const auto found = m_removed.find(process.name);
    return found != m_removed.end() && found->second.identity == process && found->second.saidLeaving;
}

bool ServerDirectory::put(Instant now, const ServerEntry &stored)
{
    const bool hadSaid = hadSaidLeaving(stored.identity);
    const auto removed = m_removed.find(stored.identity.name);
    const bool isKnownProcess = removed != m_removed.end() && removed->second.identity == stored.identity;
    if (hadLeftBeforeRestore(stored)) {
        return false;
    }
    auto entry = stored;
    const auto &name = entry.identity.name;
    const auto [it, isNew] = m_servers.try_emplace(name);
    auto &server = it->second;
    if (server.entry.identity.boot > entry.identity.boot) {
        return false;
    }
    server.saysLeaving = hadSaid || (server.saysLeaving && server.entry.identity == entry.identity);
    server.isEntryDraining = stored.isDraining;
    entry.isDraining = entry.isDraining || server.saysLeaving;
    if (isNew) {
        m_services[entry.service].servers[name] = &server;
    }
    setFound(server, name);
    // An older copy of the entry must not take back that the server is draining.
    const bool isOlder = server.entry.identity == entry.identity && entry.sequence < server.entry.sequence;
    if (!isOlder) {
        const bool isNewProcess = server.entry.identity != entry.identity;
        const bool isStarting = !m_listedAt || now - *m_listedAt < DeploymentStartTime;
        noteWarmup(now, entry, isNewProcess, isNewProcess && !isKnownProcess && !isStarting);
    }
    if (isOlder || server.entry == entry) {
        server.entry.sequence = std::max(server.entry.sequence, entry.sequence);
        return false;
    }
    const bool isSameProcess = server.entry.identity == entry.identity;
    enter(server, entry);
    if (!entry.isDraining || !isSameProcess) {
        server.drainingSince.reset();
        m_inHandover.erase(name);
    }
    if (entry.isDraining) {
        noteDraining(now, server);
    }
    return true;
}

/// Called for each entry, also for one that is equal to the last one, so that a countdown rebuilds no table.
void ServerDirectory::noteWarmup(Instant now, const ServerEntry &entry, bool isNewProcess, bool hasJoined)
{
    const auto &name = entry.identity.name;
    const auto until = now + entry.warmupLeft;
    auto found = m_warmups.find(name);
    const bool isCold = entry.warmupLeft > Duration::zero();
    if (isNewProcess && found != m_warmups.end()) {
        m_warmups.erase(found);
        found = m_warmups.end();
        ++m_warmupRevision;
    }
    if (found == m_warmups.end()) {
        if (!isCold && !hasJoined) {
            return;
        }
        found = m_warmups.emplace(name, Warmup{entry.identity, entry.service, {}, false, {}, {}, false}).first;
        found->second.joinedAt = hasJoined ? std::optional(now) : std::nullopt;
        ++m_warmupRevision;
    }
    auto &warmup = found->second;
    if (!isCold) {
        m_warmupRevision += warmup.until > now ? 1 : 0;
        warmup.until = std::min(warmup.until, now);
        return;
    }
    if (warmup.until <= now) {
        warmup.since = now;
        warmup.hadTraffic = !isNewProcess;
    }
    warmup.isStated = true;
    const bool isNotable = until > warmup.until + NotableWarmupChange || until < warmup.until - NotableWarmupChange;
    if (isNotable) {
        warmup.until = until;
        ++m_warmupRevision;
    }
}

std::vector<ServerDirectory::Warmup> ServerDirectory::warmups(Instant now)
{
    std::vector<Warmup> list;
    for (auto it = m_warmups.begin(); it != m_warmups.end();) {
        const auto &warmup = it->second;
        const bool isJoinRecent = warmup.joinedAt && now - *warmup.joinedAt < JoinRetention;
        if (m_servers.count(it->first) == 0 || (!isJoinRecent && now >= warmup.until)) {
            it = m_warmups.erase(it);
            continue;
        }
        list.push_back(warmup);
        ++it;
    }
    return list;
}

void ServerDirectory::noteDraining(Instant now, TrackedServer &server)
{
    if (server.drainingSince) {
        return;
    }
    server.drainingSince = now;
    m_inHandover.insert(server.entry.identity.name);
}

bool ServerDirectory::markLeaving(Instant now, const Identity &process)
{
    const auto found = m_servers.find(process.name);
    if (found == m_servers.end() || found->second.entry.identity != process) {
        return false;
    }
    auto &server = found->second;
    server.saysLeaving = true;
    if (server.entry.isDraining) {
        return false;
    }
    auto entry = server.entry;
    entry.isDraining = true;
    enter(server, entry);
    noteDraining(now, server);
    return true;
}

bool ServerDirectory::isLeavingUnconfirmed(const Identity &process) const
{
    const auto found = m_servers.find(process.name);
    const bool isTracked = found != m_servers.end() && found->second.entry.identity == process;
    return isTracked && found->second.saysLeaving && !found->second.isEntryDraining;
}

/// Replaces the entry of a tracked server, which may be of another service than before.
void ServerDirectory::enter(TrackedServer &server, const ServerEntry &entry)
{
    if (server.entry.service != entry.service) {
        auto &before = m_services[server.entry.service];
        before.servers.erase(entry.identity.name);
        ++before.revision;
    }
    auto &service = m_services[entry.service];
    service.servers[entry.identity.name] = &server;
    ++service.revision;
    server.entry = entry;
}

void ServerDirectory::setMissing(TrackedServer &server, const std::string &name, Instant removeAt)
{
    if (!server.removeAt) {
        ++m_services[server.entry.service].missing;
        m_missing.insert(name);
    }
    server.removeAt = removeAt;
}

void ServerDirectory::setFound(TrackedServer &server, const std::string &name)
{
    if (!server.removeAt) {
        return;
    }
    server.removeAt.reset();
    --m_services[server.entry.service].missing;
    m_missing.erase(name);
}

/// Removes the server and remembers that it has left.
void ServerDirectory::drop(Instant now, Servers::iterator server)
{
    const auto name = server->first;
    setFound(server->second, name);
    m_inHandover.erase(name);
    auto &service = m_services[server->second.entry.service];
    service.servers.erase(name);
    ++service.revision;
    m_removed[name] = {server->second.entry.identity, now, server->second.saysLeaving, {}};
    m_removals.push_back({now, name});
    m_servers.erase(server);
}

bool ServerDirectory::remove(Instant now, const std::string &name)
{
    const auto found = m_servers.find(name);
    if (found == m_servers.end()) {
        return false;
    }
    if (m_hadOutage && now - m_lastOutageAt < ReregistrationTime) {
        setMissing(found->second, name, m_lastOutageAt + ReregistrationTime);
        return false;
    }
    drop(now, found);
    return true;
}

void ServerDirectory::outageSeen(Instant at)
{
    m_hadOutage = true;
    m_lastOutageAt = std::max(m_lastOutageAt, at);
}

std::optional<Duration> ServerDirectory::sinceOutage(Instant now) const
{
    return m_hadOutage ? std::optional<Duration>(now - m_lastOutageAt) : std::nullopt;
}

bool ServerDirectory::update(Instant now, bool isStoreReachable)
{
    if (!isStoreReachable) {
        m_hadOutage = true;
        m_lastOutageAt = now;
    }
    const bool haveHandoversEnded = endHandovers(now);
    const bool areServersRemoved = removeMissing(now, isStoreReachable);
    forgetRemoved(now);
    return haveHandoversEnded || areServersRemoved;
}

bool ServerDirectory::endHandovers(Instant now)
{
    bool hasAnyEnded = false;
    for (auto it = m_inHandover.begin(); it != m_inHandover.end();) {
        ++m_visitedEntries;
        const auto &server = m_servers.at(*it);
        const bool hasEnded = now - *server.drainingSince >= drainHandoverPeriod;
        if (hasEnded) {
            ++m_services[server.entry.service].revision;
        }
        it = hasEnded ? m_inHandover.erase(it) : std::next(it);
        hasAnyEnded = hasAnyEnded || hasEnded;
    }
    return hasAnyEnded;
}

bool ServerDirectory::removeMissing(Instant now, bool isStoreReachable)
{
    // After a restore the servers that are missing may be the ones that registered in the lost time.
    const bool isRestored = m_restoredAt != Instant() && now - m_restoredAt < ReregistrationTime;
    bool isAnyRemoved = false;
    for (auto it = m_missing.begin(); it != m_missing.end();) {
        ++m_visitedEntries;
        const auto server = m_servers.find(*it);
        ++it; // drop() erases the name
        auto &removeAt = server->second.removeAt;
        if (!isStoreReachable) {
            removeAt = now + ReregistrationTime;
        }
        const bool hasLeft = !isRestored && hasFewMissing(server->second.entry.service);
        if (now >= *removeAt || hasLeft) {
            drop(now, server);
            isAnyRemoved = true;
        }
    }
    return isAnyRemoved;
}

void ServerDirectory::forgetRemoved(Instant now)
{
    while (!m_removals.empty() && now - m_removals.front().at >= RemovedRetention) {
        ++m_visitedEntries;
        const auto found = m_removed.find(m_removals.front().name);
        if (found != m_removed.end() && found->second.at == m_removals.front().at) {
            m_removed.erase(found);
        }
        m_removals.pop_front();
    }
}

/// An outage of the store expires the entries of most servers, so if only a few are missing, these have left.
bool ServerDirectory::hasFewMissing(const std::string &service) const
{
    const auto &it = m_services.at(service);
    return it.missing * FewMissingDivisor <= it.servers.size();
}

std::uint64_t ServerDirectory::revision(const std::string &service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? 0 : found->second.revision;
}

std::vector<LeaseServer> ServerDirectory::leaseServers(const std::string &service) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end()) {
        return {};
    }
    std::vector<LeaseServer> list;
    list.reserve(found->second.servers.size());
    for (const auto &[name, it] : found->second.servers) {
        const auto &entry = it->entry;
        list.push_back({entry.identity, entry.address, entry.failureDomain, entry.slots, entry.isDraining});
    }
    return list;
}

std::vector<VmEntry> ServerDirectory::vmEntries(const std::string &service, Instant now) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end()) {
        return {};
    }
    std::vector<VmEntry> list;
    list.reserve(found->second.servers.size());
    for (const auto &[name, it] : found->second.servers) {
        const auto &entry = it->entry;
        const bool isPastHandover = it->drainingSince && now - *it->drainingSince >= drainHandoverPeriod;
        const auto address = isPastHandover ? std::string() : entry.address;
        const auto state = entry.isDraining ? VmState::Leaving : VmState::Live;
        list.push_back({name,
                        VmRole::Backend,
                        entry.service,
                        entry.failureDomain,
                        address,
                        {},
                        state,
                        entry.identity.boot,
                        entry.slots});
    }
    return list;
}

const ServerEntry *ServerDirectory::find(const std::string &name) const
{
    const auto found = m_servers.find(name);
    return found == m_servers.end() ? nullptr : &found->second.entry;
}

}

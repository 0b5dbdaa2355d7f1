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

bool ServerDirectory::put(Instant now, const ServerEntry &entry)
{
    if (hadLeftBeforeRestore(entry)) {
        return false;
    }
    auto &server = m_servers[entry.identity.name];
    if (server.entry.identity.boot > entry.identity.boot) {
        return false;
    }
    server.removeAt.reset();
    // An older copy of the entry must not take back that the server is draining.
    const bool isOlder = server.entry.identity == entry.identity && entry.sequence < server.entry.sequence;
    if (isOlder || server.entry == entry) {
        server.entry.sequence = std::max(server.entry.sequence, entry.sequence);
        return false;
    }
    const bool isSameProcess = server.entry.identity == entry.identity;
    server.entry = entry;
    if (!entry.isDraining || !isSameProcess) {
        server.drainingSince.reset();
        server.isHandoverDone = false;
    }
    if (entry.isDraining && !server.drainingSince) {
        server.drainingSince = now;
    }
    return true;
}

bool ServerDirectory::remove(Instant now, const std::string &name)
{
    const auto found = m_servers.find(name);
    if (found == m_servers.end()) {
        return false;
    }
    if (m_hadOutage && now - m_lastOutageAt < ReregistrationTime) {
        found->second.removeAt = m_lastOutageAt + ReregistrationTime;
        return false;
    }
    m_removed[name] = {found->second.entry.identity, now, {}};
    m_servers.erase(found);
    return true;
}

bool ServerDirectory::update(Instant now, bool isStoreReachable)
{
    if (!isStoreReachable) {
        m_hadOutage = true;
        m_lastOutageAt = now;
    }
    bool changed = false;
    for (auto it = m_servers.begin(); it != m_servers.end();) {
        auto &removeAt = it->second.removeAt;
        const auto &drainingSince = it->second.drainingSince;
        if (drainingSince && !it->second.isHandoverDone && now - *drainingSince >= drainHandoverPeriod) {
            it->second.isHandoverDone = true;
            changed = true;
        }
        if (removeAt && !isStoreReachable) {
            removeAt = now + ReregistrationTime;
        }
        // After a restore the servers that are missing may be the ones that registered in the lost time.
        const bool isRestored = m_restoredAt != Instant() && now - m_restoredAt < ReregistrationTime;
        const bool haveLeft = !isRestored && hasFewMissing(it->second.entry.service);
        if (removeAt && (now >= *removeAt || haveLeft)) {
            m_removed[it->first] = {it->second.entry.identity, now, {}};
            it = m_servers.erase(it);
            changed = true;
            continue;
        }
        ++it;
    }
    for (auto it = m_removed.begin(); it != m_removed.end();) {
        it = now - it->second.at >= RemovedRetention ? m_removed.erase(it) : std::next(it);
    }
    return changed;
}

/// An outage of the store expires the entries of most servers, so if only a few are missing, these have left.
bool ServerDirectory::hasFewMissing(const std::string &service) const
{
    std::size_t total = 0;
    std::size_t missing = 0;
    for (const auto &[name, it] : m_servers) {
        total += it.entry.service == service ? 1 : 0;
        missing += it.entry.service == service && it.removeAt ? 1 : 0;
    }
    return missing * FewMissingDivisor <= total;
}

std::vector<ServerEntry> ServerDirectory::servers() const
{
    std::vector<ServerEntry> list;
    for (const auto &[name, it] : m_servers) {
        list.push_back(it.entry);
    }
    return list;
}

std::vector<LeaseServer> ServerDirectory::leaseServers(const std::string &service) const
{
    std::vector<LeaseServer> list;
    for (const auto &[name, it] : m_servers) {
        const auto &entry = it.entry;
        if (entry.service == service) {
            list.push_back({entry.identity, entry.address, entry.failureDomain, entry.slots, entry.isDraining});
        }
    }
    return list;
}

std::vector<VmEntry> ServerDirectory::vmEntries(Instant now) const
{
    std::vector<VmEntry> list;
    for (const auto &[name, it] : m_servers) {
        const auto &entry = it.entry;
        const bool isPastHandover = it.drainingSince && now - *it.drainingSince >= drainHandoverPeriod;
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

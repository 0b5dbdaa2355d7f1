#include "serverdirectory_p.h"

#include <galenarock/routing.h>

namespace Galenarock
{

namespace
{
/// Entries that lapsed during an outage of the store are back within this time of its return.
constexpr Duration ReturnTime = milliseconds(2'200);
/// Up to a third of a service's servers counts as few.
constexpr std::size_t FewDivisor = 3;
}

bool ServerDirectory::put(Instant now, const ServerEntry &entry)
{
    auto &known = m_servers[entry.identity.name];
    if (known.entry.identity.boot > entry.identity.boot) {
        return false;
    }
    known.removeAt.reset();
    if (known.entry == entry) {
        return false;
    }
    const bool isSameProcess = known.entry.identity == entry.identity;
    known.entry = entry;
    if (!entry.isDraining || !isSameProcess) {
        known.drainingSince.reset();
        known.isHandoverOver = false;
    }
    if (entry.isDraining && !known.drainingSince) {
        known.drainingSince = now;
    }
    return true;
}

bool ServerDirectory::remove(Instant now, const std::string &name)
{
    const auto found = m_servers.find(name);
    if (found == m_servers.end()) {
        return false;
    }
    if (m_hadTrouble && now - m_troubleAt < ReturnTime) {
        found->second.removeAt = m_troubleAt + ReturnTime;
        return false;
    }
    m_servers.erase(found);
    return true;
}

bool ServerDirectory::update(Instant now, bool isStoreReachable)
{
    if (!isStoreReachable) {
        m_hadTrouble = true;
        m_troubleAt = now;
    }
    bool changed = false;
    for (auto it = m_servers.begin(); it != m_servers.end();) {
        auto &removeAt = it->second.removeAt;
        const auto &drainingSince = it->second.drainingSince;
        if (drainingSince && !it->second.isHandoverOver && now - *drainingSince >= drainHandoverPeriod) {
            it->second.isHandoverOver = true;
            changed = true;
        }
        if (removeAt && !isStoreReachable) {
            removeAt = now + ReturnTime;
        }
        if (removeAt && (now >= *removeAt || isFew(it->second.entry.service))) {
            it = m_servers.erase(it);
            changed = true;
            continue;
        }
        ++it;
    }
    return changed;
}

/// An outage lets the entries of most servers lapse; a few that are missing have left.
bool ServerDirectory::isFew(const std::string &service) const
{
    std::size_t all = 0;
    std::size_t missing = 0;
    for (const auto &[name, it] : m_servers) {
        all += it.entry.service == service ? 1 : 0;
        missing += it.entry.service == service && it.removeAt ? 1 : 0;
    }
    return missing * FewDivisor <= all;
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
        const bool isOver = it.drainingSince && now - *it.drainingSince >= drainHandoverPeriod;
        const auto address = isOver ? std::string() : entry.address;
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

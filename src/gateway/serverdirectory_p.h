#pragma once

#include <map>
#include <string>
#include <vector>

#include <galenarock/gateway.h>

namespace Galenarock
{

/// The backend servers that are registered now. Pure.
///
/// While the store is in trouble, entries of servers that live may lapse; they are back within two seconds of its
/// return. Entries that vanish in such a time are kept until then, so that an outage of the store does not take the
/// servers away; a few of a service are removed at once, since a daemon that was only cut off itself must not go on
/// using servers that left meanwhile.
class ServerDirectory
{
public:
    /// Whether anything changed. An entry of an earlier process than the known one is ignored.
    bool put(Instant now, const ServerEntry &entry);
    /// Whether anything changed now.
    bool remove(Instant now, const std::string &name);
    /// Call each tick: whether the store answers. True when entries were removed.
    bool update(Instant now, bool isStoreReachable);

    std::vector<ServerEntry> servers() const;
    std::vector<LeaseServer> leaseServers(const std::string &service) const;
    /// A server that has been draining for `drainHandoverPeriod` has no address any more, whatever table names it: a
    /// server that drops out of a table and returns to it would otherwise count as newly leaving.
    std::vector<VmEntry> vmEntries(Instant now) const;
    const ServerEntry *find(const std::string &name) const;
    std::size_t size() const
    {
        return m_servers.size();
    }

private:
    bool isFew(const std::string &service) const;

    struct Known
    {
        ServerEntry entry;
        /// Set while the entry is missing.
        std::optional<Instant> removeAt;
        /// When the entry first said that the server is draining.
        std::optional<Instant> drainingSince;
        bool isHandoverOver = false;
    };
    std::map<std::string, Known> m_servers;
    Instant m_troubleAt{};
    bool m_hadTrouble = false;
};

}

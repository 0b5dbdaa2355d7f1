#pragma once

#include <map>
#include <string>
#include <vector>

#include <galenarock/gateway.h>

namespace Galenarock
{

/// Tracks the registered backend servers. Does no I/O; the caller passes the time.
///
/// During an outage of the store, entries of live servers may expire; these servers register again within two seconds
/// after the store recovers. Entries that disappear during or just after an outage are kept until then, so that an
/// outage does not remove all servers. If only a few servers of a service are missing, they are removed at once: a
/// daemon that was itself partitioned from the store must not go on using servers that left in the meantime.
class ServerDirectory
{
public:
    /// Adds or updates a server; returns whether anything changed. An entry of an earlier process than the tracked one
    /// is ignored.
    bool put(Instant now, const ServerEntry &entry);
    /// Removes a server whose entry disappeared from the store. Returns false if the server is not tracked or if its
    /// removal is deferred because of an outage; update() then removes it.
    bool remove(Instant now, const std::string &name);
    /// Call on each tick. Returns true when servers were removed or the handover time of a draining server ended.
    bool update(Instant now, bool isStoreReachable);

    std::vector<ServerEntry> servers() const;
    std::vector<LeaseServer> leaseServers(const std::string &service) const;
    /// A server that has been draining for `drainHandoverPeriod` is listed without an address, also if an assignment
    /// still contains it: a server that leaves an assignment and returns to it would otherwise count as newly leaving.
    std::vector<VmEntry> vmEntries(Instant now) const;
    const ServerEntry *find(const std::string &name) const;
    std::size_t size() const
    {
        return m_servers.size();
    }

private:
    bool hasFewMissing(const std::string &service) const;

    struct TrackedServer
    {
        ServerEntry entry;
        /// Deadline of a deferred removal; set while the entry is missing from the store.
        std::optional<Instant> removeAt;
        /// When the server was first seen draining.
        std::optional<Instant> drainingSince;
        /// Set when update() has reported the end of the handover time.
        bool isHandoverDone = false;
    };
    std::map<std::string, TrackedServer> m_servers;
    Instant m_lastOutageAt{};
    bool m_hadOutage = false;
};

}

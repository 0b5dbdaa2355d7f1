#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
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
///
/// A call costs by the entries that it concerns, not by the servers that are registered.
class ServerDirectory
{
public:
    /// Adds or updates a server; returns whether anything changed. An entry of an earlier process than the tracked one
    /// is ignored.
    bool put(Instant now, const ServerEntry &entry);
    /// Removes a server whose entry disappeared from the store. Returns false if the server is not tracked or if its
    /// removal is deferred because of an outage; update() then removes it.
    bool remove(Instant now, const std::string &name);
    /// The server says that it leaves: it counts as draining from now on, whatever its entry says, until another
    /// process has its name. Returns whether that is news.
    bool markLeaving(Instant now, const Identity &process);
    /// The store's entry of the server does not show yet that it is draining.
    bool isLeavingUnconfirmed(const Identity &process) const;
    /// The store continues from an older copy. Entries that are missing now are kept until their servers have had the
    /// time to write them again; entries of servers that had left are ignored until these write, if they live after
    /// all.
    void storeRestored(Instant now);
    /// Another daemon saw an outage of the store that ended at `at`, which this daemon may not have seen.
    void outageSeen(Instant at);
    /// Time since the store was last away; empty if it never was.
    std::optional<Duration> sinceOutage(Instant now) const;
    /// Call on each tick. Returns true when servers were removed or the handover time of a draining server ended.
    bool update(Instant now, bool isStoreReachable);

    /// The servers that are registered now are all known. A process that is first seen more than 10 s later has joined;
    /// before that, the whole deployment may be starting, and only the entries say which servers are cold.
    void setListed(Instant now)
    {
        m_listedAt = now;
    }
    /// When a process became cold, and how long it stays cold.
    struct Warmup
    {
        Identity server;
        std::string service;
        /// When the process was first seen; empty for one that was there before this daemon listed the servers.
        std::optional<Instant> joinedAt;
        /// The entry has stated at some time how long the server stays cold.
        bool isStated = false;
        /// When an entry first stated it, and until when the last one does.
        Instant since{};
        Instant until{};
        /// The process had been warm before, so requests to it may be under way.
        bool hadTraffic = false;
    };
    /// Grows when a server joins, or when its entry states another time than a countdown.
    std::uint64_t warmupRevision() const
    {
        return m_warmupRevision;
    }
    /// Servers that may be cold. Forgets those that are not.
    std::vector<Warmup> warmups(Instant now);

    /// Grows with each change of the service's servers that the two lists below show.
    std::uint64_t revision(const std::string &service) const;
    std::vector<LeaseServer> leaseServers(const std::string &service) const;
    /// A server that has been draining for `drainHandoverPeriod` is listed without an address, also if an assignment
    /// still contains it: a server that leaves an assignment and returns to it would otherwise count as newly leaving.
    std::vector<VmEntry> vmEntries(const std::string &service, Instant now) const;
    const ServerEntry *find(const std::string &name) const;
    std::size_t size() const
    {
        return m_servers.size();
    }
    /// Entries that update() has looked at since the start.
    std::uint64_t visitedEntries() const
    {
        return m_visitedEntries;
    }

private:
    struct TrackedServer;
    using Servers = std::map<std::string, TrackedServer>;

    bool hasFewMissing(const std::string &service) const;
    bool hadLeftBeforeRestore(const ServerEntry &entry);
    void setMissing(TrackedServer &server, const std::string &name, Instant removeAt);
    void setFound(TrackedServer &server, const std::string &name);
    void enter(TrackedServer &server, const ServerEntry &entry);
    void noteDraining(Instant now, TrackedServer &server);
    bool hadSaidLeaving(const Identity &process) const;
    void noteWarmup(Instant now, const ServerEntry &entry, bool isNewProcess, bool hasJoined);
    void drop(Instant now, Servers::iterator server);
    bool endHandovers(Instant now);
    bool removeMissing(Instant now, bool isStoreReachable);
    void forgetRemoved(Instant now);

    struct TrackedServer
    {
        ServerEntry entry;
        /// Deadline of a deferred removal; set while the entry is missing from the store.
        std::optional<Instant> removeAt;
        /// The process says in its responses that it leaves.
        bool saysLeaving = false;
        /// The last entry of the store shows it draining.
        bool isEntryDraining = false;
        /// When the server was first seen draining.
        std::optional<Instant> drainingSince;
    };
    Servers m_servers;
    struct ServiceServers
    {
        std::map<std::string, const TrackedServer *> servers;
        std::size_t missing = 0;
        std::uint64_t revision = 0;
    };
    /// Kept when the last server of a service has left, so that its revision never falls.
    std::map<std::string, ServiceServers> m_services;
    /// Names of the servers with a deferred removal.
    std::set<std::string> m_missing;
    /// Names of the draining servers whose handover time has not ended.
    std::set<std::string> m_inHandover;
    /// Server that was removed, and its sequence number when the restored store showed it again.
    struct RemovedServer
    {
        Identity identity;
        Instant at{};
        bool saidLeaving = false;
        std::optional<std::uint64_t> restoredSequence;
    };
    std::map<std::string, RemovedServer> m_removed;
    struct Removal
    {
        Instant at{};
        std::string name;
    };
    /// All removals within the retention, oldest first; of a server that was removed again, the last one counts.
    std::deque<Removal> m_removals;
    /// When the store was last found to continue from an older copy; zero for never.
    Instant m_restoredAt{};
    Instant m_lastOutageAt{};
    bool m_hadOutage = false;
    std::optional<Instant> m_listedAt;
    /// By name; only of servers that joined lately or whose entries state a time.
    std::map<std::string, Warmup> m_warmups;
    std::uint64_t m_warmupRevision = 0;
    std::uint64_t m_visitedEntries = 0;
};

}

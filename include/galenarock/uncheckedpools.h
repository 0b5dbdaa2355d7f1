#pragma once

#include <map>
#include <mutex>
#include <string>

#include <galenarock/assignment.h>

namespace Galenarock
{

/// Requests of this daemon to servers that do not check grants (rule R10), and its send leases. Thread-safe.
///
/// The order of calls makes a stop safe: a worker enters a request before it reads the routing snapshot again; the
/// control thread publishes a snapshot without the owner before it calls mayRun(). So a request is either counted by
/// mayRun() or not sent.
class UncheckedPools
{
public:
    /// Identifies an entered request.
    using Ticket = std::uint64_t;

    /// Sets when the lease ends under which this daemon may send to the service's servers.
    void setSendLeaseEnd(const std::string &service, Instant end);
    bool hasSendLease(const std::string &service, Instant now) const;

    Ticket enter(const std::string &service, const Identity &server, KeyHash hash);
    /// `mayStillRun`: the connection broke after bytes were sent; the request counts until its server is forgotten.
    void leave(Ticket ticket, bool mayStillRun);
    /// Whether a request for a key of the range may still run at the server.
    bool mayRun(const std::string &service, const Identity &server, const SliceRange &range) const;
    /// Call when the VM list no longer has the server, or when another process of it (`exceptBoot`) has replied.
    void forget(const std::string &serverName, std::uint64_t exceptBoot = 0);

private:
    struct Entry
    {
        std::string service;
        Identity server;
        KeyHash hash = 0;
    };

    mutable std::mutex m_mutex;
    std::map<std::string, Instant> m_sendLeases;
    std::map<Ticket, Entry> m_entries;
    /// Entries whose connection broke.
    std::map<Ticket, Entry> m_broken;
    Ticket m_next = 1;
};

}

#pragma once

#include <map>
#include <mutex>
#include <string>

#include <galenarock/assignment.h>

namespace Galenarock
{

/// Requests of this daemon to servers that do not check grants (rule R10), and its permits to send them. Thread-safe.
///
/// The order of calls makes a stop safe: a worker enters a request and only then looks at the routing snapshot again;
/// the control thread publishes a snapshot without the owner and only then asks mayRun(). So a request is either seen
/// by mayRun() or not sent.
class UncheckedPools
{
public:
    /// Identifies an entered request.
    using Ticket = std::uint64_t;

    /// End of the permit to send to the service's servers.
    void setPermitEnd(const std::string &service, Instant end);
    bool hasPermit(const std::string &service, Instant now) const;

    Ticket enter(const std::string &service, const Identity &server, KeyHash hash);
    /// `mayStillRun`: the connection broke after bytes were sent; the request counts until its server is forgotten.
    void leave(Ticket ticket, bool mayStillRun);
    /// Whether a request for a key of the range may still run at the server.
    bool mayRun(const std::string &service, const Identity &server, const SliceRange &range) const;
    /// The platform's VM list shows the server gone, or another process of it has answered.
    void forget(const std::string &serverName, std::uint64_t exceptBoot = 0);

private:
    struct Entry
    {
        std::string service;
        Identity server;
        KeyHash hash = 0;
    };

    mutable std::mutex m_mutex;
    std::map<std::string, Instant> m_permits;
    std::map<Ticket, Entry> m_entries;
    /// Entries whose connection broke.
    std::map<Ticket, Entry> m_broken;
    Ticket m_next = 1;
};

}

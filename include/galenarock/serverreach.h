#pragma once

#include <cstddef>
#include <set>

#include <galenarock/assignment.h>

/// Whether this VM can reach backend servers at all.
namespace Galenarock
{

struct ServerReachSettings
{
    /// Time without an answer of any server after which failures count as a partition of this VM.
    Duration silence = milliseconds(400);
    /// Age up to which an answer shows that servers can be reached now.
    Duration contactMemory = milliseconds(300);
    /// Failures without an answer in between, and the number of servers that they must concern: one server that is down
    /// says nothing about this VM.
    std::size_t minFailures = 3;
    std::size_t minServers = 2;
    /// While the VM is cut off, one request in this time goes to a server, to find out whether it is still cut off.
    Duration probeInterval = milliseconds(500);
};

/// Tells a VM that is partitioned from all servers from servers that are down: no server has answered it for a while,
/// and attempts at several of them failed. Pure core.
///
/// Example: `reach.failed(now, server.identity); if (reach.isCutOff()) { relay(request); }`
class ServerReach
{
public:
    explicit ServerReach(ServerReachSettings settings = {});

    /// A server sent at least the head of an answer.
    void answered(Instant now);
    /// An attempt ended without any answer.
    void failed(Instant now, const Identity &server);
    /// Whether no server can be reached; lasts until one answers.
    bool isCutOff() const
    {
        return m_isCutOff;
    }
    /// Whether a server has answered a moment ago.
    bool hasContact(Instant now) const
    {
        return m_answeredAt != Instant() && now - m_answeredAt < m_settings.contactMemory;
    }
    /// Whether an attempt may go to a server although the VM is cut off; true at most once per `probeInterval`.
    bool takeProbe(Instant now);

private:
    ServerReachSettings m_settings;
    Instant m_answeredAt{};
    std::size_t m_failures = 0;
    std::set<Identity> m_failedServers;
    bool m_isCutOff = false;
    Instant m_nextProbeAt{};
};

}

#include <galenarock/serverreach.h>

namespace Galenarock
{

ServerReach::ServerReach(ServerReachSettings settings)
    : m_settings(settings)
{
}

void ServerReach::answered(Instant now)
{
    m_answeredAt = now;
    m_failures = 0;
    m_failedServers.clear();
    m_isCutOff = false;
}

void ServerReach::failed(Instant now, const Identity &server)
{
    if (m_isCutOff) {
        return;
    }
    ++m_failures;
    if (m_failedServers.size() < m_settings.minServers) {
        m_failedServers.insert(server);
    }
    m_isCutOff = now - m_answeredAt >= m_settings.silence && m_failures >= m_settings.minFailures
        && m_failedServers.size() >= m_settings.minServers;
    m_nextProbeAt = now + m_settings.probeInterval;
}

bool ServerReach::takeProbe(Instant now)
{
    if (now < m_nextProbeAt) {
        return false;
    }
    m_nextProbeAt = now + m_settings.probeInterval;
    return true;
}

}

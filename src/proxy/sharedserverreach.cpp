#include <galenarock/sharedserverreach.h>

#include "events_p.h"

namespace Galenarock
{

void SharedServerReach::answered(Instant now)
{
    const std::lock_guard lock(m_mutex);
    if (m_reach.isCutOff()) {
        logEvent(Events::ServersReached, "a server has answered again");
    }
    m_reach.answered(now);
}

void SharedServerReach::failed(Instant now, const Identity &server)
{
    const std::lock_guard lock(m_mutex);
    const bool wasCutOff = m_reach.isCutOff();
    m_reach.failed(now, server);
    if (!wasCutOff && m_reach.isCutOff()) {
        logEvent(Events::ServersLost, "no server answers this VM, the last attempt was at {}", toString(server));
    }
}

bool SharedServerReach::isCutOff() const
{
    const std::lock_guard lock(m_mutex);
    return m_reach.isCutOff();
}

bool SharedServerReach::hasContact(Instant now) const
{
    const std::lock_guard lock(m_mutex);
    return m_reach.hasContact(now);
}

bool SharedServerReach::takeProbe(Instant now)
{
    const std::lock_guard lock(m_mutex);
    return m_reach.takeProbe(now);
}

}

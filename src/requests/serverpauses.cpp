#include <galenarock/serverpauses.h>

#include <algorithm>
#include <iterator>

namespace Galenarock
{

void SharedServerPauses::refused(Instant now, const Identity &server, Duration pause)
{
    const std::lock_guard lock(m_mutex);
    removeExpired(now);
    auto &until = m_until[server];
    until = std::max(until, now + std::min(pause, MaxServerPause));
    m_entries = m_until.size();
}

Instant SharedServerPauses::pausedUntil(Instant now, const Identity &server)
{
    if (!hasPauses()) {
        return now;
    }
    const std::lock_guard lock(m_mutex);
    removeExpired(now);
    const auto found = m_until.find(server);
    return found == m_until.end() ? now : found->second;
}

void SharedServerPauses::removeExpired(Instant now)
{
    for (auto it = m_until.begin(); it != m_until.end();) {
        it = it->second <= now ? m_until.erase(it) : std::next(it);
    }
    m_entries = m_until.size();
}

}

#pragma once

#include <atomic>
#include <cstddef>
#include <map>
#include <mutex>

#include <galenarock/base.h>
#include <galenarock/control.h>

/// Servers that refused a request of this VM and stated for how long they want no further one from it.
///
/// The statement holds for the process that made it, named by name and boot number, and for this VM only.
namespace Galenarock
{

/// Longest pause that is kept; a longer one is taken for an error of the server.
inline constexpr Duration MaxServerPause = seconds(600);

/// Pauses by server, shared by the workers of the daemon. Thread-safe.
class SharedServerPauses
{
public:
    /// Call for each refusal that states a pause. Pauses longer than MaxServerPause count as that long; a shorter one
    /// does not end a longer one that still runs.
    void refused(Instant now, const Identity &server, Duration pause);
    /// When the server wants requests again; not after `now` if it does not pause.
    Instant pausedUntil(Instant now, const Identity &server);
    /// False if no server pauses; takes no lock.
    bool hasPauses() const
    {
        return m_entries.load(std::memory_order_relaxed) > 0;
    }

private:
    void removeExpired(Instant now);

    std::atomic<std::size_t> m_entries{0};
    std::mutex m_mutex;
    std::map<Identity, Instant> m_until;
};

}

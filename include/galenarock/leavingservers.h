#pragma once

#include <functional>
#include <map>
#include <mutex>
#include <string>

#include <galenarock/base.h>
#include <galenarock/control.h>
#include <galenarock/error.h>

/// Servers that say in their responses that they leave.
///
/// A daemon that the store turns away, or whose watch is late, learns it from these responses, and uses such a server
/// like one whose entry is draining. The statement holds for the process that made it, named by name and boot number.
namespace Galenarock
{

namespace LeavingMessage
{
/// To the leader of a keyed service: a server of it says that it leaves. Not in use by any earlier build, each of which
/// ignores it.
inline constexpr std::uint16_t Notice = PeerMessageRange::Ownership + 30;
}

/// cereal portable binary.
std::string encodeLeavingServer(const Identity &server);
/// Fails with MalformedMessage.
Result<Identity> decodeLeavingServer(const std::string &payload);

/// Collects what the workers of the daemon read in responses. Thread-safe.
class SharedLeavingServers
{
public:
    /// Called on the thread that read the response. Set before the threads start.
    void setReportHook(std::function<void(const Identity &)> hook)
    {
        m_onReport = std::move(hook);
    }
    /// Call for each response that says so. Reports a server once, and again after RepeatInterval, since a report may
    /// be lost on its way.
    void seen(Instant now, const Identity &server);

private:
    static constexpr Duration RepeatInterval = milliseconds(500);
    static constexpr std::size_t MaxEntries = 1'024;

    std::function<void(const Identity &)> m_onReport = [](const Identity &) {
    };
    std::mutex m_mutex;
    std::map<Identity, Instant> m_reportedAt;
};

}

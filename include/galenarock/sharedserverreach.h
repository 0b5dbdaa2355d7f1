#pragma once

#include <mutex>

#include <galenarock/serverreach.h>

namespace Galenarock
{

/// ServerReach of the daemon, fed by its workers and its lease calls. Thread-safe. Logs each change.
class SharedServerReach
{
public:
    void answered(Instant now);
    void failed(Instant now, const Identity &server);
    bool isCutOff() const;
    bool hasContact(Instant now) const;
    bool takeProbe(Instant now);

private:
    mutable std::mutex m_mutex;
    ServerReach m_reach;
};

}

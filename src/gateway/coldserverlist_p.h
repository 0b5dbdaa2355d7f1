#pragma once

#include <cstdint>
#include <vector>

#include <galenarock/serverlimits.h>
#include <galenarock/warmuppace.h>

#include "serverdirectory_p.h"

namespace Galenarock
{

/// The servers that are cold, with the rates at which permits are given for them. Does no I/O.
class ColdServerList
{
public:
    explicit ColdServerList(WarmupBound bound);

    /// Reads the list again if the servers' warm-ups or the configuration have changed. Returns whether the list has
    /// changed.
    bool update(Instant now, const RouteConfiguration &configuration, ServerDirectory &servers);
    const std::vector<ColdServer> &servers() const
    {
        return m_servers;
    }

private:
    std::vector<ColdServer> read(Instant now, const RouteConfiguration &configuration, ServerDirectory &servers) const;

    const WarmupBound m_bound;
    /// ServerDirectory::warmupRevision() and version of the configuration from which the list was read.
    std::uint64_t m_warmupRevision = 0;
    std::uint64_t m_configurationVersion = 0;
    std::vector<ColdServer> m_servers;
};

}

#include "ownership/shard_p.h"

#include <algorithm>

namespace Galenarock
{

PlacementInput Shard::placementInput() const
{
    PlacementInput input;
    input.current = *m_live;
    input.ownership = m_settings.document.ownership;
    input.weights = m_settings.document.weights;
    input.churnBudget = m_churnBudget;
    if (m_loads.size() == m_live->slices.size()) {
        input.loads = m_loads;
        input.hotKeys = m_hotKeys;
    }
    const auto add = [&](const Identity &identity) {
        PlacementServer server;
        server.identity = identity;
        const auto *const record = recordOf(identity);
        server.usable = record && isUsable(*record);
        server.failureDomain = record ? record->vm.failureDomain : std::string();
        input.servers.push_back(std::move(server));
    };
    for (const auto &it : m_live->servers) {
        add(it);
    }
    for (const auto &[name, record] : m_servers) {
        const auto &known = m_live->servers;
        if (std::find(known.begin(), known.end(), record.identity()) == known.end() && isUsable(record)) {
            add(record.identity());
        }
    }
    return input;
}

}

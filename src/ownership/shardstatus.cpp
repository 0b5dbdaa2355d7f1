#include "ownership/shard_p.h"

#include <algorithm>

namespace Galenarock
{

ShardStatus Shard::status(Instant now) const
{
    ShardStatus status;
    status.role = role();
    status.mandate = m_mandate;
    status.stamped = m_stamped;
    status.holdCapReached = m_contactAt && now >= *m_contactAt + holdCap();
    status.platformDown = m_downSince.has_value();
    for (const auto &[name, it] : m_servers) {
        const bool isLeaving = it.vm.state == VmState::Leaving;
        status.servers.push_back({it.identity(), it.vm.failureDomain, it.listed, isLeaving, isResponsive(it),
                                  isStopped(it.identity()), it.state, it.epoch, it.held});
    }
    if (status.role == ShardRole::Coordinator && m_live) {
        for (const auto &it : m_live->slices) {
            if (it.owner == noServer || m_free.count(it.sequence) != 0) {
                status.unowned.push_back(it.range);
            }
        }
    }
    status.waitingFor = waitingFor();
    return status;
}

std::vector<std::string> Shard::waitingFor() const
{
    std::vector<std::string> lines;
    if (role() != ShardRole::Coordinator) {
        return lines;
    }
    if (!m_stamped) {
        lines.emplace_back("write of the assignment under the new epoch");
    }
    for (const auto &it : m_former) {
        lines.push_back(fmt::format("stop acknowledged by former member {}", toString(it)));
    }
    for (const auto &[server, stop] : m_stops) {
        if (m_mandate->deputy && !stop.deputyStopped) {
            lines.push_back(fmt::format("stop for {} acknowledged by the deputy", toString(server)));
        } else if (!hasLapsed(server)) {
            lines.push_back(fmt::format("end of the term of {}", toString(server)));
        }
    }
    if (m_assignmentWriter.isPending()) {
        lines.emplace_back("acknowledgement of the assignment write");
    }
    return lines;
}

std::vector<std::string> Shard::explain(Instant now, KeyHash hash) const
{
    std::vector<std::string> lines;
    lines.push_back(m_mandate ? fmt::format("mandate epoch {}: coordinator {}, deputy {}", epoch(),
                                            toString(m_mandate->coordinator),
                                            m_mandate->deputy ? toString(*m_mandate->deputy) : "none")
                              : std::string("no mandate is known"));
    const auto *const slice = m_published ? m_published->find(hash) : nullptr;
    if (!slice) {
        lines.emplace_back("no assignment is known for this key");
        return lines;
    }
    const auto owner = serverOf(*m_published, slice->owner);
    lines.push_back(fmt::format("slice {}-{} token {} owner {}", toHex(slice->range.first), toHex(slice->range.last),
                                toString(m_published->token(*slice)), toString(owner)));
    for (const auto it : slice->successors) {
        lines.push_back(fmt::format("successor {}", toString(serverOf(*m_published, it))));
    }
    if (m_free.count(slice->sequence) != 0) {
        lines.emplace_back("the owner no longer holds the slice; a new owner is being assigned");
    }
    if (const auto it = m_revoking.find(slice->sequence); it != m_revoking.end()) {
        lines.push_back(fmt::format("revoke sent to {} {} ms ago", toString(it->second.server),
                                    duration_cast<milliseconds>(now - it->second.sentAt).count()));
    }
    for (const auto &it : waitingFor()) {
        lines.push_back("waiting for " + it);
    }
    return lines;
}

}

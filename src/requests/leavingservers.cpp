#include <galenarock/leavingservers.h>

#include <cereal/types/string.hpp>

#include "peer/message_p.h"

namespace Galenarock
{

namespace
{
constexpr std::size_t MaxNameBytes = 255;

struct WireServer
{
    std::string name;
    std::uint64_t boot = 0;
    template<typename Archive> void serialize(Archive &archive)
    {
        Wire::text<std::uint8_t>(archive, name, MaxNameBytes);
        archive(boot);
    }
};
}

std::string encodeLeavingServer(const Identity &server)
{
    return encodeMessage(WireServer{server.name, server.boot});
}

Result<Identity> decodeLeavingServer(const std::string &payload)
{
    BOOST_LEAF_AUTO(wire, decodeMessage<WireServer>(payload));
    return Identity{wire.name, wire.boot};
}

void SharedLeavingServers::seen(Instant now, const Identity &server)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_reportedAt.size() >= MaxEntries) {
            m_reportedAt.clear();
        }
        const auto [it, isNew] = m_reportedAt.try_emplace(server, now);
        if (!isNew && now - it->second < RepeatInterval) {
            return;
        }
        it->second = now;
    }
    m_onReport(server);
}

}

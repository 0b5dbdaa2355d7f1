#include "peerkey_p.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include <sodium.h>

#include <galenarock/gateway.h>
#include <galenarock/peer.h>

namespace Galenarock
{

namespace
{
/// Many daemons get the first frames with another key at the same moment.
constexpr Duration FirstReadSpread = milliseconds(500);
constexpr Duration ShortestInterval = milliseconds(500);
/// Bounds the calls to the store while VMs stay away, and the time for which two keys can be in use.
constexpr Duration LongestInterval = seconds(5);

std::string hexOf(const PeerKey &key)
{
    std::string text(2 * key.size() + 1, '\0');
    sodium_bin2hex(text.data(), text.size(), key.data(), key.size());
    text.pop_back();
    return text;
}
}

bool SharedPeerKey::precedes(const SharedPeerKey &other) const
{
    return std::tie(createdMs, hex) < std::tie(other.createdMs, other.hex);
}

ObjectKey peerKeyObject()
{
    return {ObjectKind::Fleet, "peer-key"};
}

SharedPeerKey newPeerKey()
{
    PeerKey key;
    randombytes_buf(key.data(), key.size());
    return {hexOf(key), static_cast<std::uint64_t>(wallClockNow())};
}

nlohmann::json toJson(const SharedPeerKey &key)
{
    nlohmann::json value{{"key", key.hex}};
    if (key.createdMs > 0) {
        value["created"] = key.createdMs;
    }
    return value;
}

SharedPeerKey peerKeyFromJson(const nlohmann::json &value)
{
    SharedPeerKey key;
    if (!value.is_object()) {
        return key;
    }
    const auto hex = value.find("key");
    if (hex != value.end() && hex->is_string()) {
        key.hex = hex->get<std::string>();
    }
    const auto created = value.find("created");
    if (created != value.end() && created->is_number_unsigned()) {
        key.createdMs = created->get<std::uint64_t>();
    }
    return key;
}

PeerKeyCheck::PeerKeyCheck(std::uint64_t seed)
    : m_spread(FirstReadSpread * static_cast<int>(seed % 100) / 100)
    , m_interval(ShortestInterval)
{
}

bool PeerKeyCheck::isDue(Instant now, std::uint64_t foreignFrames, bool isFleetHeard)
{
    const bool isSuspecting = foreignFrames != m_seenFrames || !isFleetHeard;
    if (!isSuspecting) {
        m_isSuspecting = false;
        if (now >= m_nextAt) {
            m_interval = ShortestInterval;
        }
        return false;
    }
    if (!std::exchange(m_isSuspecting, true)) {
        m_nextAt = std::max(m_nextAt, now + m_spread);
    }
    if (now < m_nextAt) {
        return false;
    }
    m_seenFrames = foreignFrames;
    m_nextAt = now + m_interval;
    m_interval = std::min(2 * m_interval, LongestInterval);
    return true;
}

void PeerKeyCheck::keyChanged(std::uint64_t foreignFrames)
{
    m_seenFrames = foreignFrames;
    m_isSuspecting = false;
    m_nextAt = {};
    m_interval = ShortestInterval;
}

}

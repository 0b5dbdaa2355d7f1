#pragma once

#include <cstdint>
#include <string>

#include <nlohmann/json.hpp>

#include <galenarock/base.h>
#include <galenarock/platform.h>

namespace Galenarock
{

/// Key of the messages between daemons, as the store holds it.
///
/// A store that continues from an older copy may have lost the key, and a daemon that starts then creates another one.
/// All daemons use the one that was created first, so that they agree on it in whatever order they write and read.
struct SharedPeerKey
{
    std::string hex;
    /// Wall-clock time of its creation in milliseconds; 0 when a build without this field has written it. Such a build
    /// keeps its key until it ends, so its key goes first.
    std::uint64_t createdMs = 0;

    /// Whether daemons that know both keys use this one.
    bool precedes(const SharedPeerKey &other) const;

    friend bool operator==(const SharedPeerKey &a, const SharedPeerKey &b)
    {
        return a.hex == b.hex && a.createdMs == b.createdMs;
    }
};

/// The object of the store that holds the key.
ObjectKey peerKeyObject();
SharedPeerKey newPeerKey();
nlohmann::json toJson(const SharedPeerKey &key);
/// Fields that are missing or of another type are empty.
SharedPeerKey peerKeyFromJson(const nlohmann::json &value);

/// Decides when a daemon reads the key of the store again: when frames arrive that were made with another key, or when
/// it hears half of the other daemons or fewer. Pure core.
class PeerKeyCheck
{
public:
    /// `seed`: spreads the reads of many daemons over time.
    explicit PeerKeyCheck(std::uint64_t seed);

    /// `foreignFrames`: number of frames with another key so far.
    bool isDue(Instant now, std::uint64_t foreignFrames, bool isFleetHeard);
    /// Call when the daemon uses another key.
    void keyChanged(std::uint64_t foreignFrames);

private:
    const Duration m_spread;
    std::uint64_t m_seenFrames = 0;
    bool m_isSuspecting = false;
    Instant m_nextAt{};
    Duration m_interval;
};

}

#pragma once

#include <string>
#include <string_view>

#include <galenarock/peer.h>

namespace Galenarock
{

/// Header by which one daemon shows another that an HTTP request comes from a daemon of the same deployment.
inline constexpr const char *PeerAuthHeader = "Galenarock-Peer-Auth";

/// Path on the callers' listener for grants of request-id ranges; only daemons may use it.
inline constexpr std::string_view PeerGrantsPath = "/grants";

/// Keyed BLAKE2b over `text` as hexadecimal text.
std::string peerAuth(const PeerKey &key, std::string_view text);
/// Compares in constant time.
bool isPeerAuth(const PeerKey &key, std::string_view text, std::string_view mac);

}

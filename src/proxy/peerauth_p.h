#pragma once

#include <string>
#include <string_view>

#include <galenarock/peer.h>

namespace Galenarock
{

/// Header that authenticates an HTTP request as sent by another daemon of the same deployment.
inline constexpr const char *PeerAuthHeader = "Galenarock-Peer-Auth";

/// Headers of requests that another VM relays, and of the refusals that answer them.
inline constexpr const char *RelayHeader = "Galenarock-Relay";
inline constexpr const char *RelayOutcomeHeader = "Galenarock-Outcome";
inline constexpr const char *RelayReasonHeader = "Galenarock-Reason";
inline constexpr const char *RelayUntilHeader = "Galenarock-Until-Ms";

/// Path on the callers' listener for grants of request-id ranges; requests must carry PeerAuthHeader.
inline constexpr std::string_view PeerGrantsPath = "/grants";

/// Keyed 128-bit BLAKE2b hash of `text` in hexadecimal.
std::string peerAuth(const PeerKey &key, std::string_view text);
/// Whether `mac` is the result of peerAuth() for `text`. Compares in constant time.
bool isPeerAuth(const PeerKey &key, std::string_view text, std::string_view mac);

}

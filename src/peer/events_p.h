#pragma once

#include <galenarock/eventlog.h>

/// Log events of the peer module (7xx).
namespace Galenarock::Events
{
inline constexpr EventType PeerListening{701, Severity::Info, "peer-listening"};
inline constexpr EventType PeerFrameRejected{702, Severity::Debug, "peer-frame-rejected"};
inline constexpr EventType PeerSendFailed{703, Severity::Debug, "peer-send-failed"};
inline constexpr EventType PeerUnknownMember{704, Severity::Debug, "peer-unknown-member"};
inline constexpr EventType PeerSocketError{705, Severity::Error, "peer-socket-error"};
}

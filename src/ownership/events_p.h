#pragma once

#include <galenarock/eventlog.h>

/// Log events of the ownership module, 3xx.
namespace Galenarock::OwnershipEvents
{
inline constexpr EventType MandateTaken{301, Severity::Info, "mandate-taken"};
inline constexpr EventType MandateLost{302, Severity::Warning, "mandate-lost"};
inline constexpr EventType DeputyChanged{303, Severity::Info, "deputy-changed"};
inline constexpr EventType AssignmentWritten{304, Severity::Info, "assignment-written"};
inline constexpr EventType ServerStopped{305, Severity::Warning, "server-renewals-stopped"};
inline constexpr EventType OwnerLost{306, Severity::Warning, "owner-lost"};
inline constexpr EventType OwnerBack{307, Severity::Info, "server-renewals-resumed"};
inline constexpr EventType MovedAlongSuccession{308, Severity::Warning, "moved-along-succession"};
inline constexpr EventType SuccessorAdopted{309, Severity::Warning, "successor-adopted"};
inline constexpr EventType PlatformDown{310, Severity::Warning, "platform-down"};
inline constexpr EventType PlatformBack{311, Severity::Info, "platform-back"};
inline constexpr EventType HoldCapReached{312, Severity::Error, "hold-cap-reached"};
inline constexpr EventType MandateHandedOver{313, Severity::Info, "mandate-handed-over"};
inline constexpr EventType MalformedObject{314, Severity::Error, "malformed-ownership-object"};
inline constexpr EventType MalformedPeerMessage{315, Severity::Warning, "malformed-ownership-message"};
inline constexpr EventType SliceRevoking{316, Severity::Info, "slice-revoking"};
inline constexpr EventType StopRefused{317, Severity::Warning, "stop-refused"};
inline constexpr EventType StaleHolding{318, Severity::Warning, "stale-holding-revoked"};
inline constexpr EventType SliceStopped{320, Severity::Info, "slice-stopped"};
inline constexpr EventType FormerMemberStopped{319, Severity::Info, "former-member-stopped"};
}

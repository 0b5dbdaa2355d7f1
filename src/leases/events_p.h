#pragma once

#include <galenarock/eventlog.h>

/// Log events of the leases module, 33x. Documented in docs/events.md.
namespace Galenarock::LeaseEvents
{
inline constexpr EventType LeadershipTaken{330, Severity::Info, "lease-lead-taken"};
inline constexpr EventType LeadershipLost{331, Severity::Warning, "lease-lead-lost"};
inline constexpr EventType LeadershipHandedOver{332, Severity::Info, "lease-lead-handed-over"};
inline constexpr EventType MovePlanned{333, Severity::Info, "lease-move-planned"};
inline constexpr EventType Granted{334, Severity::Info, "lease-granted"};
inline constexpr EventType Released{335, Severity::Info, "lease-released"};
inline constexpr EventType HolderUnresponsive{336, Severity::Warning, "lease-holder-silent"};
inline constexpr EventType FencingTokenOutdated{337, Severity::Warning, "lease-order-outdated"};
inline constexpr EventType RecordMalformed{338, Severity::Error, "lease-record-malformed"};
inline constexpr EventType Paused{339, Severity::Warning, "lease-leader-paused"};
inline constexpr EventType LeadershipTimedOut{340, Severity::Error, "lease-authority-ended"};
inline constexpr EventType MessageMalformed{341, Severity::Warning, "lease-message-malformed"};
inline constexpr EventType RecordRestored{343, Severity::Warning, "lease-record-restored"};
inline constexpr EventType LeaderSummary{342, Severity::Info, "lease-leader-summary"};
inline constexpr EventType CallUnanswered{344, Severity::Info, "lease-call-unanswered"};
inline constexpr EventType CallReconnected{345, Severity::Info, "lease-call-reconnected"};
inline constexpr EventType SuccessorWanted{347, Severity::Warning, "lease-successor-wanted"};
inline constexpr EventType HotRangeFound{346, Severity::Info, "lease-hot-range"};
}

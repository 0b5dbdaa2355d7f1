#pragma once

#include <galenarock/eventlog.h>

/// Log events of the platform client (6xx).
namespace Galenarock::Events
{
inline constexpr EventType PlatformUnreachable{601, Severity::Warning, "platform-unreachable"};
inline constexpr EventType PlatformReachable{602, Severity::Info, "platform-reachable"};
inline constexpr EventType PlatformMalformedAnswer{603, Severity::Error, "platform-malformed-answer"};
inline constexpr EventType PlatformWriteRefused{604, Severity::Warning, "platform-write-refused"};
inline constexpr EventType PlatformWriteUnknown{605, Severity::Warning, "platform-write-unknown"};
inline constexpr EventType PlatformBudgetExceeded{606, Severity::Warning, "platform-budget-exceeded"};
inline constexpr EventType PlatformRepeatPrevented{607, Severity::Warning, "platform-repeat-prevented"};
inline constexpr EventType PlatformRestored{608, Severity::Warning, "platform-restored"};
inline constexpr EventType PlatformSilent{609, Severity::Warning, "platform-silent"};
inline constexpr EventType PlatformWatchLost{610, Severity::Info, "platform-watch-lost"};
}

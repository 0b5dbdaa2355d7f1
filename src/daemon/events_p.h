#pragma once

#include <galenarock/eventlog.h>

/// Log events 1xx: daemon. Documented in docs/events.md.
namespace Galenarock::Events
{

inline constexpr EventType DaemonStarted{100, Severity::Info, "daemon-started"};
inline constexpr EventType DaemonStopping{101, Severity::Info, "daemon-stopping"};
inline constexpr EventType DaemonStopped{102, Severity::Info, "daemon-stopped"};
inline constexpr EventType ControlRingFull{103, Severity::Warning, "control-ring-full"};
inline constexpr EventType ServiceAdopted{104, Severity::Info, "service-adopted"};
inline constexpr EventType DocumentRefused{105, Severity::Error, "document-refused"};
inline constexpr EventType SnapshotPublished{106, Severity::Debug, "snapshot-published"};
inline constexpr EventType StopDeadline{107, Severity::Warning, "stop-deadline"};

}

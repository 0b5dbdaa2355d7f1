#pragma once

#include <galenarock/eventlog.h>

/// Log events of the stand-ins.
namespace Galenarock::Standin::Events
{
inline constexpr EventType Stopping{802, Severity::Info, "stopping"};
inline constexpr EventType HttpLibrary{803, Severity::Debug, "http-library"};
inline constexpr EventType ListenFailed{804, Severity::Error, "listen-failed"};
inline constexpr EventType FaultsChanged{805, Severity::Info, "faults-changed"};
inline constexpr EventType ServerCrashed{810, Severity::Warning, "server-crashed"};
inline constexpr EventType ServerBooted{811, Severity::Info, "server-booted"};
inline constexpr EventType ServerFrozen{812, Severity::Warning, "server-frozen"};
inline constexpr EventType ServerResumed{813, Severity::Info, "server-resumed"};
inline constexpr EventType ServerDraining{814, Severity::Info, "server-draining"};
inline constexpr EventType JournalFull{815, Severity::Warning, "journal-full"};
inline constexpr EventType JournalUnavailable{821, Severity::Warning, "journal-unavailable"};
inline constexpr EventType AuditFailed{822, Severity::Error, "audit-failed"};
}

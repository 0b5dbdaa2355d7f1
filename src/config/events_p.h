#pragma once

#include <galenarock/eventlog.h>

/// Log events of the configuration module (5xx).
namespace Galenarock::Events
{
inline constexpr EventType RelayDuty{501, Severity::Info, "relay-duty"};
inline constexpr EventType ConfigStarted{502, Severity::Info, "config-started"};
inline constexpr EventType ConfigMissing{503, Severity::Warning, "config-missing"};
inline constexpr EventType ConfigAccepted{504, Severity::Info, "config-accepted"};
inline constexpr EventType ConfigContradiction{505, Severity::Error, "config-contradiction"};
}

#pragma once

#include <galenarock/eventlog.h>

/// Log events of code that all modules use. Documented in docs/events.md.
namespace Galenarock::Events
{

inline constexpr EventType UnexpectedError{108, Severity::Error, "unexpected-error"};

}

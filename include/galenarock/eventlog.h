#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <fmt/format.h>

/// Numbered log events. The catalogue is docs/events.md.
namespace Galenarock
{

enum class Severity : std::uint8_t
{
    Debug,
    Info,
    Warning,
    Error,
};

/// A kind of log event. Numbers: 1xx daemon, 2xx proxy and requests, 3xx ownership, 4xx membership, 5xx configuration,
/// 6xx platform, 7xx peer, 8xx stand-ins, 9xx command line tools.
///
/// Each slice declares its events as constants in its own `events_p.h`:
/// `inline constexpr EventType MandateTaken{301, Severity::Info, "mandate-taken"};`
struct EventType
{
    std::uint16_t number;
    Severity severity;
    std::string_view name;
};

/// Events below this severity are dropped. Thread-safe.
void setLogThreshold(Severity severity);
bool isLogged(Severity severity);

/// Name that starts each line, usually the VM's name.
void setLogSource(std::string source);

/// Form of the lines and where they go.
enum class LogFormat : std::uint8_t
{
    /// Text on standard error.
    Text,
    /// One JSON object a line on standard output, written without ever blocking: what the reader does not take is
    /// dropped and counted, and each event has a rate.
    Json,
};
void setLogFormat(LogFormat format);

/// Lines dropped so far because the output took no more or the event's rate was exceeded.
std::uint64_t droppedLogLines();

/// Writes one line: `2026-12-04T05:06:07.123Z vm-1 W301 mandate-taken <text>`. Thread-safe.
void writeEvent(const EventType &type, std::string_view text);

/// Example: `logEvent(Events::MandateTaken, "shard {} epoch {}", shard, epoch);`
template<typename... Args> void logEvent(const EventType &type, fmt::format_string<Args...> format, Args &&...args)
{
    if (!isLogged(type.severity)) {
        return;
    }
    writeEvent(type, fmt::format(format, std::forward<Args>(args)...));
}

}

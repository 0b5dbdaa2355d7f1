#include <galenarock/eventlog.h>

#include <atomic>
#include <cstdio>
#include <ctime>
#include <mutex>

#include <galenarock/base.h>

namespace Galenarock
{

namespace
{
std::atomic<Severity> threshold{Severity::Info};
std::mutex sourceMutex;
std::string logSource = "galenarock";

char severityLetter(Severity severity)
{
    constexpr char letters[] = {'D', 'I', 'W', 'E'};
    return letters[static_cast<std::size_t>(severity)];
}

std::string timeStamp()
{
    const auto now = wallClockNow();
    const std::time_t wholeSeconds = now / 1000;
    std::tm parts{};
    gmtime_r(&wholeSeconds, &parts);
    return fmt::format("{:04}-{:02}-{:02}T{:02}:{:02}:{:02}.{:03}Z", parts.tm_year + 1900, parts.tm_mon + 1,
                       parts.tm_mday, parts.tm_hour, parts.tm_min, parts.tm_sec, now % 1000);
}
}

void setLogThreshold(Severity severity)
{
    threshold.store(severity, std::memory_order_relaxed);
}

bool isLogged(Severity severity)
{
    return severity >= threshold.load(std::memory_order_relaxed);
}

void setLogSource(std::string source)
{
    const std::lock_guard lock(sourceMutex);
    logSource = std::move(source);
}

void writeEvent(const EventType &type, std::string_view text)
{
    const std::lock_guard lock(sourceMutex);
    fmt::print(stderr, "{} {} {}{} {} {}\n", timeStamp(), logSource, severityLetter(type.severity), type.number,
               type.name, text);
}

}

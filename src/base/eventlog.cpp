#include <galenarock/eventlog.h>

#include <atomic>
#include <cstdio>
#include <ctime>
#include <map>
#include <mutex>
#include <optional>
#include <utility>

#include <nlohmann/json.hpp>
#include <poll.h>
#include <unistd.h>

#include <galenarock/base.h>
#include <galenarock/jsontext.h>

namespace Galenarock
{

namespace
{
std::atomic<Severity> threshold{Severity::Info};
std::mutex sourceMutex;
std::string logSource = "galenarock";
std::atomic<LogFormat> logFormat{LogFormat::Text};
std::atomic<std::uint64_t> droppedLines{0};

/// Lines of one event in one second of a process; more would cost more processor time than the work they tell of.
constexpr std::uint32_t LinesPerSecond = 50;

/// Lines that one event has written in the present second.
struct EventRate
{
    std::time_t second = 0;
    std::uint32_t lines = 0;
    std::uint64_t omitted = 0;
};
std::map<std::uint16_t, EventRate> rates;

/// Omitted lines of the seconds before when this one may be written; empty when it may not.
std::optional<std::uint64_t> takeRate(std::uint16_t event, std::time_t second)
{
    auto &rate = rates[event];
    if (rate.second != second) {
        rate.second = second;
        rate.lines = 0;
    }
    if (rate.lines >= LinesPerSecond) {
        ++rate.omitted;
        return {};
    }
    ++rate.lines;
    return std::exchange(rate.omitted, 0);
}

/// A pipe whose reader is slow takes nothing at the moment; waiting for it would stop the calling thread.
bool writeWithoutBlocking(const std::string &line)
{
    pollfd entry{STDOUT_FILENO, POLLOUT, 0};
    if (poll(&entry, 1, 0) <= 0 || (entry.revents & POLLOUT) == 0) {
        return false;
    }
    return write(STDOUT_FILENO, line.data(), line.size()) == static_cast<ssize_t>(line.size());
}

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

void setLogFormat(LogFormat format)
{
    logFormat.store(format, std::memory_order_relaxed);
}

std::uint64_t droppedLogLines()
{
    return droppedLines.load(std::memory_order_relaxed);
}

namespace
{
void writeJsonEvent(const EventType &type, std::string_view text)
{
    const auto omitted = takeRate(type.number, wallClockNow() / 1000);
    if (!omitted) {
        droppedLines.fetch_add(1, std::memory_order_relaxed);
        return;
    }
    nlohmann::ordered_json line{
        {"time", timeStamp()},  {"vm", logSource},   {"severity", std::string(1, severityLetter(type.severity))},
        {"event", type.number}, {"name", type.name}, {"text", text}};
    if (*omitted > 0) {
        line["omittedBefore"] = *omitted;
    }
    if (!writeWithoutBlocking(jsonText(line) + "\n")) {
        droppedLines.fetch_add(1, std::memory_order_relaxed);
    }
}
}

void writeEvent(const EventType &type, std::string_view text)
{
    const std::lock_guard lock(sourceMutex);
    if (logFormat.load(std::memory_order_relaxed) == LogFormat::Json) {
        writeJsonEvent(type, text);
        return;
    }
    fmt::print(stderr, "{} {} {}{} {} {}\n", timeStamp(), logSource, severityLetter(type.severity), type.number,
               type.name, text);
}

}

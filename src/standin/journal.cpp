#include "journal_p.h"

#include <array>

#include <galenarock/jsontext.h>

#include "events_p.h"

namespace Galenarock::Standin
{

namespace
{
constexpr std::array<const char *, 7> stateNames{"receiving", "running",         "done",   "incomplete",
                                                 "cancelled", "deadline-passed", "crashed"};

std::int64_t microseconds(Instant when)
{
    return duration_cast<std::chrono::microseconds>(when.time_since_epoch()).count();
}

Instant instant(std::int64_t us)
{
    return Instant(std::chrono::microseconds(us));
}

RunState stateFromName(const std::string &name)
{
    for (std::size_t i = 0; i < stateNames.size(); ++i) {
        if (name == stateNames[i]) {
            return static_cast<RunState>(i);
        }
    }
    return RunState::Running; // an unknown state must not hide that a request may have run
}
}

bool hasRun(RunState state)
{
    return state != RunState::Receiving && state != RunState::Incomplete;
}

nlohmann::json toJson(const JournalEntry &entry)
{
    return {{"requestId", entry.requestId},
            {"key", entry.key},
            {"method", entry.method},
            {"target", entry.target},
            {"token", entry.token},
            {"service", entry.service},
            {"server", entry.server},
            {"boot", entry.boot},
            {"startUs", microseconds(entry.start)},
            {"endUs", microseconds(entry.end)},
            {"bytes", entry.bytes},
            {"bodyHash", entry.bodyHash},
            {"state", stateNames[static_cast<std::size_t>(entry.state)]}};
}

Result<JournalEntry> journalEntryFromJson(const nlohmann::json &json)
{
    try {
        JournalEntry entry;
        entry.requestId = json.at("requestId").get<std::string>();
        entry.key = json.at("key").get<std::string>();
        entry.method = json.at("method").get<std::string>();
        entry.target = json.at("target").get<std::string>();
        entry.token = json.at("token").get<std::string>();
        entry.service = json.at("service").get<std::string>();
        entry.server = json.at("server").get<std::string>();
        entry.boot = json.at("boot").get<std::uint64_t>();
        entry.start = instant(json.at("startUs").get<std::int64_t>());
        entry.end = instant(json.at("endUs").get<std::int64_t>());
        entry.bytes = json.at("bytes").get<std::uint64_t>();
        entry.bodyHash = json.at("bodyHash").get<std::string>();
        entry.state = stateFromName(json.at("state").get<std::string>());
        return entry;
    } catch (const nlohmann::json::exception &error) {
        return fail(ErrorCode::MalformedJson, error.what());
    }
}

std::uint64_t Journal::add(JournalEntry entry)
{
    if (m_entries.size() >= m_capacity) {
        if (m_dropped == 0) {
            logEvent(Events::JournalFull, "capacity {} reached, the oldest entries are dropped", m_capacity);
        }
        m_entries.pop_front();
        ++m_dropped;
    }
    m_entries.push_back(std::move(entry));
    return m_dropped + m_entries.size() - 1;
}

JournalEntry *Journal::at(std::uint64_t number)
{
    return number < m_dropped ? nullptr : &m_entries[number - m_dropped];
}

std::string Journal::line(std::uint64_t number, const std::string &server) const
{
    if (number < m_dropped) {
        return {};
    }
    const auto &entry = m_entries[number - m_dropped];
    if (!server.empty() && entry.server != server) {
        return {};
    }
    return jsonText(toJson(entry)) + "\n";
}

HttpResponse Journal::response(const std::string &server) const
{
    HttpResponse response;
    response.headers.emplace_back("Content-Type", "application/x-ndjson");
    const auto end = m_dropped + m_entries.size();
    auto next = m_dropped;
    std::uint64_t entries = 0;
    bool isEnded = false;
    std::string buffered;
    response.producer = [this, server, end, next, entries, isEnded, buffered](char *buf, std::size_t size) mutable {
        while (buffered.size() < size && next < end) {
            const auto text = line(next++, server);
            entries += text.empty() ? 0 : 1;
            buffered += text;
        }
        if (next == end && !isEnded) {
            isEnded = true;
            buffered += jsonText(nlohmann::json{{"end", true}, {"entries", entries}, {"dropped", m_dropped}}) + "\n";
        }
        const auto n = buffered.copy(buf, size);
        buffered.erase(0, n);
        return n;
    };
    return response;
}

}

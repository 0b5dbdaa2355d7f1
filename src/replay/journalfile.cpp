#include <galenarock/replay.h>

#include <fmt/format.h>

namespace Galenarock
{

namespace
{
using nlohmann::json;

Instant parseInstant(const json &entry, const char *field)
{
    return Instant(std::chrono::microseconds(entry.at(field).get<std::int64_t>()));
}

/// A server starts to work on a request when its whole body has arrived, which is not so in the states "receiving" and
/// "incomplete".
bool hasRun(const json &entry)
{
    const auto state = entry.value("state", std::string("done"));
    return state != "receiving" && state != "incomplete";
}

JournalRecord parseRecord(const json &entry)
{
    JournalRecord record;
    record.server = {entry.at("server").get<std::string>(), entry.at("boot").get<std::uint64_t>()};
    record.service = entry.value("service", std::string());
    record.requestId = entry.at("requestId").get<std::string>();
    record.key = entry.at("key").get<std::string>();
    record.token = parseToken(entry.value("token", std::string())).value_or(Token());
    record.startedAt = parseInstant(entry, "startUs");
    record.endedAt = parseInstant(entry, "endUs");
    return record;
}

class JournalReader
{
public:
    explicit JournalReader(std::string name)
    {
        m_trace.name = std::move(name);
    }

    Trace read(std::string_view text)
    {
        while (!text.empty()) {
            const auto end = text.find('\n');
            readLine(text.substr(0, end));
            text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
        }
        if (!m_hasEnd) {
            report(ErrorCode::Truncated, "the closing line is missing; the journal is incomplete");
        }
        return std::move(m_trace);
    }

private:
    void report(ErrorCode code, std::string message)
    {
        m_trace.findings.push_back({code, fmt::format("{}: line {}", m_trace.name, m_line), std::move(message)});
    }

    void readLine(std::string_view line)
    {
        ++m_line;
        if (line.empty()) {
            return;
        }
        const auto entry = json::parse(line, nullptr, false);
        if (!entry.is_object()) {
            report(ErrorCode::MalformedJson, "");
            return;
        }
        try {
            entry.contains("end") ? readEnd(entry) : readEntry(entry);
        } catch (const json::exception &error) {
            report(ErrorCode::MalformedMessage, error.what());
        }
    }

    void readEntry(const json &entry)
    {
        ++m_entries;
        if (hasRun(entry)) {
            m_trace.records.emplace_back(parseRecord(entry));
        }
    }

    void readEnd(const json &entry)
    {
        m_hasEnd = true;
        const auto entries = entry.at("entries").get<std::uint64_t>();
        const auto dropped = entry.at("dropped").get<std::uint64_t>();
        if (entries != m_entries || dropped != 0) {
            report(ErrorCode::Truncated,
                   fmt::format("{} entries of {} present, {} dropped by the server", m_entries, entries, dropped));
        }
    }

    Trace m_trace;
    std::size_t m_line = 0;
    std::uint64_t m_entries = 0;
    bool m_hasEnd = false;
};
}

Trace readJournal(std::string name, std::string_view text)
{
    return JournalReader(std::move(name)).read(text);
}

}

#include "commands_p.h"

#include <ctime>

#include <fmt/format.h>

namespace Galenarock::Ctl
{

namespace
{
using nlohmann::json;

/// A valid document to store, with its JSON as read from the file.
struct Candidate
{
    ServiceDocument document;
    json value;
    std::string team;
};

std::string utcTimeText(WallMilliseconds time)
{
    const std::time_t wholeSeconds = time / 1000;
    std::tm parts{};
    gmtime_r(&wholeSeconds, &parts);
    return fmt::format("{:04}-{:02}-{:02}T{:02}:{:02}:{:02}Z", parts.tm_year + 1900, parts.tm_mon + 1, parts.tm_mday,
                       parts.tm_hour, parts.tm_min, parts.tm_sec);
}

json historyWithEntry(const StoredObject &history, const json &entry)
{
    json entries = json::array();
    const auto old = history.value.find("entries");
    if (history.value.is_object() && old != history.value.end() && old->is_array()) {
        entries = *old;
    }
    // Keeps the entries sorted by version: concurrent puts can add their entries in the other order.
    auto at = entries.end();
    while (at != entries.begin() && (at - 1)->value("version", std::uint64_t(0)) > entry["version"]) {
        --at;
    }
    entries.insert(at, entry);
    while (entries.size() > maxHistoryEntries) {
        entries.erase(entries.begin());
    }
    return {{"entries", std::move(entries)}};
}

/// Adds the stored version to the history. False if the history could not be written.
bool recordHistory(const Context &context, const ObjectClient &client, const Candidate &candidate,
                   const WriteOutcome &written)
{
    constexpr int maxAttempts = 8;
    const ObjectKey key{ObjectKind::ServiceHistory, candidate.document.service};
    const json entry{{"version", written.version},
                     {"time", utcTimeText(context.now())},
                     {"team", candidate.team},
                     {"writer", std::to_string(written.writer)},
                     {"document", candidate.value}};
    auto history =
        tryOr([&] { return client.read(key); }, [](ErrorCode, const std::string &) { return StoredObject(); });
    for (int n = 0; n < maxAttempts; ++n) {
        auto outcome =
            tryOr([&] { return client.write(key, history.version, historyWithEntry(history, entry), candidate.team); },
                  [](ErrorCode, const std::string &) { return WriteOutcome(); });
        if (outcome.status != WriteStatus::Conflict) {
            return outcome.status == WriteStatus::Applied;
        }
        history = std::move(outcome.current);
    }
    return false;
}

CommandResult appliedResult(const Candidate &candidate, const StoredObject &before, std::uint64_t version,
                            bool isRecorded)
{
    const auto lines =
        before.version == 0 ? std::vector<std::string>() : documentDifference(before.value, candidate.value);
    CommandResult result;
    result.text = fmt::format("{}: version {} is stored\n{}", candidate.document.service, version, indented(lines));
    result.json = {{"status", "applied"}, {"version", version}, {"differences", lines}, {"recorded", isRecorded}};
    if (!isRecorded) {
        result.text += "the version is in effect, but the history could not be written\n";
    }
    return result;
}

CommandResult conflictResult(const Candidate &candidate, const StoredObject &current, std::uint64_t expected)
{
    const auto &service = candidate.document.service;
    if (current.version == 0) {
        return {ExitStatus::Conflict,
                fmt::format("{}: version {} was expected, but no document is stored; nothing was changed\n", service,
                            expected),
                {{"status", "conflict"}, {"expected", expected}, {"version", 0}}};
    }
    const auto lines = documentDifference(current.value, candidate.value);
    auto text =
        fmt::format("{0}: another operator was faster: version {1} is stored, version {2} was expected;\n"
                    "nothing was changed. Stored -> sent:\n{3}"
                    "To store your document anyway, merge the differences and use --expect {1}\n",
                    service, current.version, expected, lines.empty() ? "  (no differences)\n" : indented(lines));
    return {ExitStatus::Conflict,
            std::move(text),
            {{"status", "conflict"},
             {"expected", expected},
             {"version", current.version},
             {"stored", current.value},
             {"differences", lines}}};
}

CommandResult unknownResult(const Candidate &candidate, const StoredObject &current)
{
    const auto &service = candidate.document.service;
    auto text = fmt::format("{}: the platform's answers were lost; the document may have been stored, or may still be\n"
                            "stored later. Use get or history before you send it again.\n",
                            service);
    if (current.version != 0) {
        text = fmt::format(
            "{}: the platform's answer was lost, and others have stored version {} since. Stored -> sent:\n{}", service,
            current.version, indented(documentDifference(current.value, candidate.value)));
    }
    return {ExitStatus::Unknown, std::move(text), {{"status", "unknown"}, {"version", current.version}}};
}

Result<StoredObject> readStored(const ObjectClient &client, const ObjectKey &key)
{
    // A missing document is returned with version 0, as `put` creates it; other failures end the command.
    std::string message;
    auto code = ErrorCode::Success;
    auto stored = tryOr([&] { return client.read(key); },
                        [&](ErrorCode failure, const std::string &detail) {
                            code = failure;
                            message = detail;
                            return StoredObject();
                        });
    if (code != ErrorCode::Success && code != ErrorCode::NotFound) {
        return fail(code, message);
    }
    return stored;
}

Result<CommandResult> store(const Context &context, const Arguments &arguments, const Candidate &candidate)
{
    const ObjectClient client(context, arguments.platform);
    const ObjectKey key{ObjectKind::Service, candidate.document.service};
    BOOST_LEAF_AUTO(before, readStored(client, key));
    const auto expected = arguments.expect.value_or(before.version);
    if (expected == before.version && expected != 0 && before.value == candidate.value) {
        return CommandResult{ExitStatus::Done,
                             fmt::format("{}: equal to version {}\n", key.name, before.version),
                             {{"status", "unchanged"}, {"version", before.version}}};
    }
    BOOST_LEAF_AUTO(outcome, client.write(key, expected, candidate.value, candidate.team));
    if (outcome.status == WriteStatus::Conflict) {
        return conflictResult(candidate, outcome.current, expected);
    }
    if (outcome.status != WriteStatus::Applied) {
        return unknownResult(candidate, outcome.current);
    }
    const bool isRecorded = recordHistory(context, client, candidate, outcome);
    return appliedResult(candidate, before, outcome.version, isRecorded);
}
}

Result<CommandResult> putCommand(const Context &context, const Arguments &arguments)
{
    const auto &path = arguments.operands.at(0);
    BOOST_LEAF_AUTO(text, context.readFile(path));
    auto parsed = parseDocumentText(text);
    if (!arguments.team.empty() && parsed.findings.empty() && arguments.team != parsed.document.team) {
        parsed.findings.push_back(
            {ErrorCode::Contradiction, "/team",
             fmt::format("the document names \"{}\", --team names \"{}\"", parsed.document.team, arguments.team)});
    }
    if (!parsed.findings.empty()) {
        return findingsResult(parsed.findings, path);
    }
    return store(context, arguments, {parsed.document, json::parse(text), parsed.document.team});
}

}

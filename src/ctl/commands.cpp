#include "commands_p.h"

#include <fmt/format.h>

#include <galenarock/jsontext.h>

namespace Galenarock::Ctl
{

namespace
{
using nlohmann::json;

using Command = Result<CommandResult> (*)(const Context &, const Arguments &);

struct CommandEntry
{
    std::string_view name;
    Command run;
};

constexpr CommandEntry commandTable[] = {
    {"check", checkCommand},     {"put", putCommand},       {"get", getCommand},       {"diff", diffCommand},
    {"history", historyCommand}, {"status", statusCommand}, {"owners", ownersCommand}, {"explain", explainCommand},
};

CommandResult errorResult(ErrorCode code, const std::string &detail)
{
    const auto message = fmt::format("{}: {}", errorMessage(code), detail);
    return {ExitStatus::Failed, message + "\n", json{{"error", message}}};
}

json historyEntries(const StoredObject &history)
{
    const auto it = history.value.find("entries");
    return it != history.value.end() && it->is_array() ? *it : json::array();
}

std::string stringField(const json &entry, const char *field)
{
    const auto it = entry.find(field);
    return it != entry.end() && it->is_string() ? it->get<std::string>() : "?";
}

/// Text for one entry: version, time, team and the changes since the previous entry.
std::string entryText(const json &entry, const json *previous)
{
    const auto version = entry.value("version", std::uint64_t(0));
    auto text = fmt::format("version {}  {}  {}\n", version, stringField(entry, "time"), stringField(entry, "team"));
    if (previous == nullptr) {
        return text;
    }
    if (previous->value("version", std::uint64_t(0)) + 1 != version) {
        text += "  (versions in between were not recorded)\n";
    }
    return text + indented(documentDifference(previous->value("document", json()), entry.value("document", json())));
}
}

std::string indented(const std::vector<std::string> &lines)
{
    std::string text;
    for (const auto &it : lines) {
        text += "  " + it + "\n";
    }
    return text;
}

CommandResult findingsResult(const Findings &findings, const std::string &file)
{
    CommandResult result{ExitStatus::Refused, {}, {{"findings", json::array()}}};
    for (const auto &it : findings) {
        result.text += fmt::format("{}: {}", file, toString(Findings{it}));
        result.json["findings"].push_back({{"file", file},
                                           {"place", it.place},
                                           {"error", std::string(errorMessage(it.code))},
                                           {"detail", it.message}});
    }
    return result;
}

Result<CommandResult> checkCommand(const Context &context, const Arguments &arguments)
{
    const auto &path = arguments.operands.at(0);
    BOOST_LEAF_AUTO(text, context.readFile(path));
    const auto parsed = parseDocumentText(text);
    if (!parsed.findings.empty()) {
        return findingsResult(parsed.findings, path);
    }
    return CommandResult{ExitStatus::Done, fmt::format("{}: document is valid\n", path), {{"findings", json::array()}}};
}

Result<CommandResult> getCommand(const Context &context, const Arguments &arguments)
{
    const ObjectClient client(context, arguments.platform);
    BOOST_LEAF_AUTO(stored, client.read({ObjectKind::Service, arguments.operands.at(0)}));
    return CommandResult{
        ExitStatus::Done, jsonText(stored.value, 2) + "\n", {{"version", stored.version}, {"document", stored.value}}};
}

Result<CommandResult> diffCommand(const Context &context, const Arguments &arguments)
{
    const auto &path = arguments.operands.at(0);
    BOOST_LEAF_AUTO(text, context.readFile(path));
    const auto parsed = parseDocumentText(text);
    if (!parsed.findings.empty()) {
        return findingsResult(parsed.findings, path);
    }
    const ObjectClient client(context, arguments.platform);
    BOOST_LEAF_AUTO(stored, client.read({ObjectKind::Service, parsed.document.service}));
    const auto lines = documentDifference(stored.value, json::parse(text));
    const json result{{"version", stored.version}, {"differences", lines}};
    if (lines.empty()) {
        return CommandResult{ExitStatus::Done, fmt::format("equal to version {}\n", stored.version), result};
    }
    return CommandResult{documentsDiffer, fmt::format("version {} -> {}\n{}", stored.version, path, indented(lines)),
                         result};
}

Result<CommandResult> historyCommand(const Context &context, const Arguments &arguments)
{
    const ObjectClient client(context, arguments.platform);
    BOOST_LEAF_AUTO(stored, client.read({ObjectKind::ServiceHistory, arguments.operands.at(0)}));
    const auto entries = historyEntries(stored);
    std::string text;
    const json *previous = nullptr;
    for (const auto &it : entries) {
        if (!it.is_object()) {
            continue;
        }
        text += entryText(it, previous);
        previous = &it;
    }
    return CommandResult{ExitStatus::Done, std::move(text), {{"entries", entries}}};
}

CommandResult runCommand(const Context &context, const Arguments &arguments)
{
    for (const auto &it : commandTable) {
        if (it.name != arguments.command) {
            continue;
        }
        return tryOr([&] { return it.run(context, arguments); }, errorResult);
    }
    return errorResult(ErrorCode::NotFound, arguments.command);
}

}

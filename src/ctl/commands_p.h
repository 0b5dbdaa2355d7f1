#pragma once

#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include <galenarock/document.h>

#include "objects_p.h"

namespace Galenarock::Ctl
{

/// Exit status of galenarockctl.
enum class ExitStatus : int
{
    Done = 0,
    Failed = 1,
    /// Invalid arguments or an invalid document; nothing was sent.
    Refused = 2,
    /// Another operator's version is stored.
    Conflict = 3,
    /// Whether the update took effect could not be found out.
    Unknown = 4,
};

/// `diff` follows the tool of that name: 1 for differences.
inline constexpr ExitStatus differs = ExitStatus::Failed;

struct CommandResult
{
    ExitStatus status = ExitStatus::Done;
    /// For people; ends with a line feed.
    std::string text;
    /// For --json.
    nlohmann::json json;
};

struct Arguments
{
    std::string command;
    std::vector<std::string> operands;
    Endpoint platform;
    std::vector<Endpoint> admin;
    std::string team;
    std::optional<std::uint64_t> expect;
    bool json = false;
    bool help = false;
    bool version = false;
};

struct ParsedArguments
{
    Arguments arguments;
    Findings findings;
};

/// Flags override the variables GALENAROCK_PLATFORM, GALENAROCK_ADMIN and GALENAROCK_TEAM.
ParsedArguments parseArguments(const std::vector<std::string> &arguments, const Environment &environment);
std::string helpText();

/// Entries that `service-history/<service>` keeps.
inline constexpr std::size_t historyLength = 50;

Result<CommandResult> checkCommand(const Context &context, const Arguments &arguments);
Result<CommandResult> putCommand(const Context &context, const Arguments &arguments);
Result<CommandResult> getCommand(const Context &context, const Arguments &arguments);
Result<CommandResult> diffCommand(const Context &context, const Arguments &arguments);
Result<CommandResult> historyCommand(const Context &context, const Arguments &arguments);
Result<CommandResult> statusCommand(const Context &context, const Arguments &arguments);
Result<CommandResult> ownersCommand(const Context &context, const Arguments &arguments);
Result<CommandResult> explainCommand(const Context &context, const Arguments &arguments);

/// Runs the named command and turns errors into results.
CommandResult runCommand(const Context &context, const Arguments &arguments);

CommandResult findingsResult(const Findings &findings, const std::string &file);
/// `lines` indented by two blanks, one a line.
std::string indented(const std::vector<std::string> &lines);

}

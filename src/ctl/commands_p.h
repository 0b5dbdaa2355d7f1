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
    /// The stored version is not the expected one; nothing was changed.
    Conflict = 3,
    /// The platform's responses do not show whether the update took effect.
    Unknown = 4,
};

/// Exit status of the `diff` command for different documents; 1 as for diff(1).
inline constexpr ExitStatus documentsDiffer = ExitStatus::Failed;

struct CommandResult
{
    ExitStatus status = ExitStatus::Done;
    /// Output without --json; ends with a line feed.
    std::string text;
    /// Output with --json.
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

/// Parses the command line. Options override the environment variables GALENAROCK_PLATFORM, GALENAROCK_ADMIN and
/// GALENAROCK_TEAM.
ParsedArguments parseArguments(const std::vector<std::string> &arguments, const Environment &environment);
std::string helpText();

/// Maximum number of entries in `service-history/<service>`; the oldest ones are removed first.
inline constexpr std::size_t maxHistoryEntries = 50;

Result<CommandResult> checkCommand(const Context &context, const Arguments &arguments);
Result<CommandResult> putCommand(const Context &context, const Arguments &arguments);
Result<CommandResult> getCommand(const Context &context, const Arguments &arguments);
Result<CommandResult> diffCommand(const Context &context, const Arguments &arguments);
Result<CommandResult> historyCommand(const Context &context, const Arguments &arguments);
Result<CommandResult> statusCommand(const Context &context, const Arguments &arguments);
Result<CommandResult> ownersCommand(const Context &context, const Arguments &arguments);
Result<CommandResult> explainCommand(const Context &context, const Arguments &arguments);

/// Runs `arguments.command`. An error becomes a result with ExitStatus::Failed.
CommandResult runCommand(const Context &context, const Arguments &arguments);

CommandResult findingsResult(const Findings &findings, const std::string &file);
/// Joins `lines`, each indented by two spaces and ended by a line feed.
std::string indented(const std::vector<std::string> &lines);

}

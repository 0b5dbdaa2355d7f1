#pragma once

#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "httpserver_p.h"
#include "loadrun_p.h"

namespace Galenarock::Standin
{

struct LoadProgramOptions
{
    LoadOptions load;
    /// Control addresses of the backend processes.
    std::vector<std::string> journals;
    /// Wait before the journals are read, so that requests with unknown outcome have ended.
    milliseconds settle{500};
    /// Address for `GET /progress`; empty for none.
    std::optional<ListenAddress> listen;
};

/// Exit status when a journal could not be read whole and nothing else was found.
inline constexpr int incompleteAuditExitCode = 3;

struct LoadReport
{
    std::string text;
    nlohmann::json json;
    /// 0, 1 for any fault, or incompleteAuditExitCode.
    int exitCode = 0;
};

/// Runs the load, prints a progress line each second on standard error, reads the journals and audits. Empty when the
/// progress listener cannot be opened. SIGTERM and SIGINT end the sending early.
std::optional<LoadReport> runLoadProgram(const LoadProgramOptions &options);

}

#pragma once

#include <optional>
#include <string>

#include <boost/program_options.hpp>
#include <fmt/format.h>

#include <galenarock/eventlog.h>

#include "eventloop_p.h"
#include "httpserver_p.h"

namespace Galenarock::Standin
{

/// Exit status for wrong settings.
inline constexpr int settingsExitCode = 2;

/// Settings that all stand-in programs share: --help, --version, --listen, --log-level.
class ProgramOptions
{
public:
    /// `purpose` is one sentence for --help.
    ProgramOptions(std::string program, std::string purpose);

    boost::program_options::options_description_easy_init add()
    {
        return m_options.add_options();
    }
    /// Parses the command line. Returns the exit status when the program should end now: 0 after --help and --version,
    /// 2 for a command line that cannot be parsed.
    std::optional<int> parse(int argc, const char *const *argv);

    bool has(const char *name) const
    {
        return m_values.count(name) > 0;
    }
    template<typename T> T get(const char *name) const
    {
        return m_values[name].as<T>();
    }
    /// A number that must be in [least, most]; otherwise a finding is added.
    template<typename T> T number(const char *name, T least, T most)
    {
        const auto n = get<T>(name);
        if (n < least || n > most) {
            addFinding(name, fmt::format("{} is not in {} to {}", n, least, most));
        }
        return n;
    }
    ListenAddress address(const char *name);
    /// Values of a repeated `ip:port` option.
    std::vector<std::string> addresses(const char *name);
    bool isDefaulted(const char *name) const
    {
        return m_values[name].defaulted();
    }
    void addFinding(const std::string &flag, const std::string &message);
    /// Prints all findings to standard error; true when there are any.
    bool reportFindings() const;

private:
    std::string m_program;
    std::string m_purpose;
    boost::program_options::options_description m_options;
    boost::program_options::variables_map m_values;
    Findings m_findings;
};

/// Prints `listening ip:port` on standard output.
void printListening(const std::string &address);

}

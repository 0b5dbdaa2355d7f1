#include "programoptions_p.h"

#include <algorithm>
#include <cstdio>
#include <sstream>

#include <fmt/format.h>

namespace Galenarock::Standin
{

namespace po = boost::program_options;

ProgramOptions::ProgramOptions(std::string program, std::string purpose)
    : m_program(std::move(program))
    , m_purpose(std::move(purpose))
    , m_options("Options")
{
    add()("help", "print this text and exit")("version", "print the version and exit")(
        "listen", po::value<std::string>()->default_value("127.0.0.1:0"),
        "ip:port of the HTTP listener; port 0 is assigned by the kernel")(
        "log-level", po::value<std::string>()->default_value("info"), "debug, info, warning or error");
}

std::optional<int> ProgramOptions::parse(int argc, const char *const *argv)
{
    try {
        po::store(po::parse_command_line(argc, argv, m_options), m_values);
        po::notify(m_values);
    } catch (const po::error &error) {
        fmt::print(stderr, "{}: {}\n", m_program, error.what());
        return settingsExitCode;
    }
    if (has("help")) {
        std::ostringstream text;
        text << m_options;
        fmt::print("{}: {}\n\n{}", m_program, m_purpose, text.str());
        return 0;
    }
    if (has("version")) {
        fmt::print("{} {}\n", m_program, GALENAROCK_VERSION);
        return 0;
    }
    const auto level = get<std::string>("log-level");
    const std::string levels[] = {"debug", "info", "warning", "error"};
    const auto *const it = std::find(std::begin(levels), std::end(levels), level);
    if (it == std::end(levels)) {
        addFinding("log-level", "unknown level: " + level);
        return {};
    }
    setLogThreshold(static_cast<Severity>(it - std::begin(levels)));
    setLogSource(m_program);
    return {};
}

ListenAddress ProgramOptions::address(const char *name)
{
    const auto text = get<std::string>(name);
    const auto address = parseAddress(text);
    if (!address) {
        addFinding(name, "not an ip:port address: " + text);
    }
    return address.value_or(ListenAddress{});
}

std::vector<std::string> ProgramOptions::addresses(const char *name)
{
    const auto texts = get<std::vector<std::string>>(name);
    for (const auto &it : texts) {
        const auto address = parseAddress(it);
        if (!address || address->port == 0) {
            addFinding(name, "not an ip:port address: " + it);
        }
    }
    return texts;
}

void ProgramOptions::addFinding(const std::string &flag, const std::string &message)
{
    m_findings.push_back({ErrorCode::OutOfRange, "--" + flag, message});
}

bool ProgramOptions::reportFindings() const
{
    for (const auto &it : m_findings) {
        fmt::print(stderr, "{}: {}: {}\n", m_program, it.place, it.message);
    }
    return !m_findings.empty();
}

void printListening(const std::string &address)
{
    fmt::print("listening {}\n", address);
    std::fflush(stdout);
}

}

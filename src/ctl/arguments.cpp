#include "commands_p.h"

#include <algorithm>
#include <charconv>
#include <sstream>

#include <boost/program_options.hpp>
#include <fmt/format.h>

namespace Galenarock::Ctl
{

namespace
{
namespace po = boost::program_options;

/// Address options that a command cannot run without.
enum class RequiredAddress : std::uint8_t
{
    None,
    Platform,
    Admin,
    /// Admin addresses, or the platform, whose status objects hold the admin addresses.
    Either,
};

struct CommandInfo
{
    std::string_view name;
    std::size_t operandCount;
    std::size_t maxOperandCount;
    RequiredAddress requiredAddress;
    std::string_view usage;
};

constexpr CommandInfo commandInfos[] = {
    {"check", 1, 1, RequiredAddress::None,
     "check FILE            report everything that is wrong with a document; offline"},
    {"put", 1, 1, RequiredAddress::Platform,
     "put FILE              check a document and store it, if nobody else changed it"},
    {"get", 1, 1, RequiredAddress::Platform, "get SERVICE           print the stored document"},
    {"diff", 1, 1, RequiredAddress::Platform,
     "diff FILE             compare the stored document with a file; exit 1 if they differ"},
    {"history", 1, 1, RequiredAddress::Platform, "history SERVICE       the last 50 accepted versions"},
    {"status", 0, 0, RequiredAddress::Either, "status                state of the daemons, from their admin addresses"},
    {"owners", 1, 1, RequiredAddress::Platform, "owners SERVICE        which backend server owns how much"},
    {"explain", 2, 4, RequiredAddress::Admin,
     "explain SERVICE KEY   how a daemon would treat a request for a key, and why\n"
     "  explain METHOD HOST PATH [KEY]\n"
     "                        the same for a gateway, which routes by host and path"},
};

const CommandInfo *findCommand(std::string_view name)
{
    const auto *const it = std::find_if(std::begin(commandInfos), std::end(commandInfos),
                                        [name](const CommandInfo &info) { return info.name == name; });
    return it == std::end(commandInfos) ? nullptr : it;
}

po::options_description optionsDescription()
{
    po::options_description options("Options");
    options.add_options()("platform", po::value<std::string>()->value_name("IP:PORT"), "platform's object API");
    options.add_options()("admin", po::value<std::vector<std::string>>()->value_name("IP:PORT"),
                          "admin address of a daemon; may be repeated");
    options.add_options()("team", po::value<std::string>()->value_name("TEAM"),
                          "team in whose name to write; default: the document's");
    options.add_options()("expect", po::value<std::string>()->value_name("VERSION"),
                          "put: version that must be stored, 0 for none; default: the one stored now");
    options.add_options()("json", "print JSON");
    options.add_options()("help", "print this text");
    options.add_options()("version", "print the version");
    return options;
}

class ArgumentReader
{
public:
    ParsedArguments read(const std::vector<std::string> &arguments, const Environment &environment)
    {
        po::options_description all = optionsDescription();
        all.add_options()("operand", po::value<std::vector<std::string>>());
        po::positional_options_description positional;
        positional.add("operand", -1);
        try {
            const int style = po::command_line_style::unix_style & ~po::command_line_style::allow_guessing;
            po::store(po::command_line_parser(arguments).options(all).positional(positional).style(style).run(),
                      m_values);
        } catch (const po::error &error) {
            report(ErrorCode::MalformedMessage, "command line", error.what());
            return std::move(m_result);
        }
        m_environment = environment;
        readFlags();
        readOperands();
        return std::move(m_result);
    }

private:
    void report(ErrorCode code, std::string place, std::string message)
    {
        m_result.findings.push_back({code, std::move(place), std::move(message)});
    }

    /// Values of the option or, if it is not given, of its environment variable.
    std::vector<std::string> valuesOf(const std::string &flag, const std::string &variable) const
    {
        if (m_values.count(flag) == 0) {
            const auto it = m_environment.find(variable);
            return it == m_environment.end() ? std::vector<std::string>() : std::vector{it->second};
        }
        if (flag == "admin") {
            return m_values[flag].as<std::vector<std::string>>();
        }
        return {m_values[flag].as<std::string>()};
    }

    std::vector<Endpoint> endpointsOf(const std::string &flag, const std::string &variable)
    {
        std::vector<Endpoint> endpoints;
        for (const auto &it : valuesOf(flag, variable)) {
            const auto endpoint = parseEndpoint(it);
            if (!endpoint || endpoint->port == 0) {
                report(ErrorCode::OutOfRange, "--" + flag, fmt::format("\"{}\" is not ip:port", it));
                continue;
            }
            endpoints.push_back(*endpoint);
        }
        return endpoints;
    }

    void readFlags()
    {
        auto &arguments = m_result.arguments;
        arguments.help = m_values.count("help") > 0;
        arguments.version = m_values.count("version") > 0;
        arguments.json = m_values.count("json") > 0;
        const auto platform = endpointsOf("platform", "GALENAROCK_PLATFORM");
        arguments.platform = platform.empty() ? Endpoint() : platform.front();
        arguments.admin = endpointsOf("admin", "GALENAROCK_ADMIN");
        const auto team = valuesOf("team", "GALENAROCK_TEAM");
        arguments.team = team.empty() ? std::string() : team.front();
        readExpect();
    }

    void readExpect()
    {
        const auto values = valuesOf("expect", {});
        if (values.empty()) {
            return;
        }
        const auto &text = values.front();
        std::uint64_t n = 0;
        const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
        if (ec != std::errc() || end != text.data() + text.size()) {
            report(ErrorCode::OutOfRange, "--expect", fmt::format("\"{}\" is not a version", text));
            return;
        }
        m_result.arguments.expect = n;
    }

    void readOperands()
    {
        auto &arguments = m_result.arguments;
        auto operands = m_values.count("operand") > 0 ? m_values["operand"].as<std::vector<std::string>>()
                                                      : std::vector<std::string>();
        if (operands.empty()) {
            report(ErrorCode::MissingField, "command", "see --help");
            return;
        }
        arguments.command = operands.front();
        arguments.operands.assign(operands.begin() + 1, operands.end());
        const auto *info = findCommand(arguments.command);
        if (info == nullptr) {
            report(ErrorCode::UnknownField, arguments.command, "not a command; see --help");
            return;
        }
        const auto given = arguments.operands.size();
        if (given < info->operandCount || given > info->maxOperandCount) {
            const auto expected = info->operandCount == info->maxOperandCount
                ? fmt::format("{}", info->operandCount)
                : fmt::format("{} to {}", info->operandCount, info->maxOperandCount);
            report(ErrorCode::MissingField, arguments.command,
                   fmt::format("{} operands are expected, {} given", expected, given));
        }
        checkRequiredAddress(*info);
    }

    void checkRequiredAddress(const CommandInfo &info)
    {
        const auto &arguments = m_result.arguments;
        const bool hasPlatform = arguments.platform.port != 0 || !valuesOf("platform", "GALENAROCK_PLATFORM").empty();
        const bool hasAdmin = !valuesOf("admin", "GALENAROCK_ADMIN").empty();
        if (info.requiredAddress == RequiredAddress::Platform && !hasPlatform) {
            report(ErrorCode::MissingField, "--platform", "");
        }
        if (info.requiredAddress == RequiredAddress::Admin && !hasAdmin) {
            report(ErrorCode::MissingField, "--admin", "");
        }
        if (info.requiredAddress == RequiredAddress::Either && !hasAdmin && !hasPlatform) {
            report(ErrorCode::MissingField, "--admin", "or --platform");
        }
        if (arguments.expect && arguments.command != "put") {
            report(ErrorCode::Contradiction, "--expect", "only for put");
        }
    }

    ParsedArguments m_result;
    po::variables_map m_values;
    Environment m_environment;
};
}

ParsedArguments parseArguments(const std::vector<std::string> &arguments, const Environment &environment)
{
    return ArgumentReader().read(arguments, environment);
}

std::string helpText()
{
    std::ostringstream text;
    text << "Usage: galenarockctl COMMAND [OPERAND...] [OPTION...]\n\nCommands:\n";
    for (const auto &it : commandInfos) {
        text << "  " << it.usage << "\n";
    }
    text << "\n"
         << optionsDescription()
         << "\nVariables GALENAROCK_PLATFORM, GALENAROCK_ADMIN and GALENAROCK_TEAM stand in for the flags.\n"
            "Exit status: 0 done, 1 failed, 2 invalid arguments or document, 3 another operator was faster,\n"
            "4 unknown whether the update took effect.\n";
    return text.str();
}

}

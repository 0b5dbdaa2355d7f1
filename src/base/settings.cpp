#include <galenarock/settings.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <functional>
#include <sstream>

#include <boost/program_options.hpp>
#include <fmt/format.h>
#include <sodium.h>
#include <unistd.h>

namespace Galenarock
{

namespace
{
namespace po = boost::program_options;

constexpr std::string_view variablePrefix = "GALENAROCK_";
constexpr std::int64_t dayMs = 86'400'000;
constexpr std::int64_t MinMemoryMb = 32;
constexpr std::int64_t MaxMemoryMb = 1'048'576;
/// 200 for files and 56 for connections.
constexpr std::int64_t MinDescriptors = 256;
constexpr std::int64_t MaxDescriptors = 1'000'000;

/// Stores a value; returns what is wrong with it, empty for nothing.
using Apply = std::string (*)(Settings &, const std::string &);

struct Row
{
    SettingInfo info;
    Apply apply;
};

template<auto Member> std::string applyName(Settings &settings, const std::string &text)
{
    // '#' separates name and boot number in an identity.
    if (text.empty() || text.size() > 63 || !std::all_of(text.begin(), text.end(), [](unsigned char c) {
            return std::isalnum(c) != 0 || c == '-' || c == '.' || c == '_';
        })) {
        return fmt::format("\"{}\" is not a name of 1 to 63 letters, digits, '-', '.' or '_'", text);
    }
    settings.*Member = text;
    return {};
}

template<auto Member> std::string applyEndpoint(Settings &settings, const std::string &text)
{
    const auto endpoint = parseEndpoint(text);
    if (!endpoint) {
        return fmt::format("\"{}\" is not ip:port", text);
    }
    settings.*Member = *endpoint;
    return {};
}

std::string applyPlatform(Settings &settings, const std::string &text)
{
    auto message = applyEndpoint<&Settings::platform>(settings, text);
    return message.empty() && settings.platform.port == 0 ? "port 0 cannot be called" : message;
}

template<auto Member, std::int64_t Minimum, std::int64_t Maximum>
std::string applyNumber(Settings &settings, const std::string &text)
{
    std::int64_t n = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
    if (ec != std::errc() || end != text.data() + text.size() || n < Minimum || n > Maximum) {
        return fmt::format("\"{}\" is not a whole number from {} to {}", text, Minimum, Maximum);
    }
    settings.*Member = static_cast<std::remove_reference_t<decltype(settings.*Member)>>(n);
    return {};
}

template<auto Member> std::string applyAmount(Settings &settings, const std::string &text)
{
    char *end = nullptr;
    const double n = std::strtod(text.c_str(), &end);
    if (text.empty() || *end != '\0' || !std::isfinite(n) || n < 0) {
        return fmt::format("\"{}\" is not a number of at least 0", text);
    }
    settings.*Member = n;
    return {};
}

std::string applyRetryRatio(Settings &settings, const std::string &text)
{
    const auto message = applyAmount<&Settings::retryPercent>(settings, text);
    settings.retryPercent *= 100;
    return message;
}

std::string applyLogLevel(Settings &settings, const std::string &text)
{
    constexpr std::array<std::string_view, 4> levels{"debug", "info", "warning", "error"};
    const auto it = std::find(levels.begin(), levels.end(), text);
    if (it == levels.end()) {
        return fmt::format("\"{}\" is none of debug, info, warning, error", text);
    }
    settings.logLevel = static_cast<Severity>(it - levels.begin());
    return {};
}

std::string applySlowStart(Settings &settings, const std::string &text)
{
    if (text != "linear" && text != "answers") {
        return fmt::format("\"{}\" is neither linear nor answers", text);
    }
    settings.slowStart = text == "answers" ? SlowStart::Answers : SlowStart::Linear;
    return {};
}

/// The message never shows the key, because it is printed to the log.
std::string applyPeerKey(Settings &settings, const std::string &text)
{
    std::size_t n = 0;
    const char *end = nullptr;
    auto &key = settings.peerKey;
    const int failed = sodium_hex2bin(key.data(), key.size(), text.data(), text.size(), nullptr, &n, &end);
    if (failed != 0 || n != key.size() || end != text.data() + text.size()) {
        return fmt::format("the key must be {} hexadecimal digits", 2 * key.size());
    }
    return sodium_is_zero(key.data(), key.size()) == 1 ? "the key is all zeros" : "";
}

std::string applyPeerKeyFile(Settings &settings, const std::string &path)
{
    std::ifstream file(path);
    std::string text;
    if (!(file >> text)) {
        return fmt::format("\"{}\" cannot be read or is empty", path);
    }
    const auto message = applyPeerKey(settings, text);
    return message.empty() ? "" : fmt::format("\"{}\": {}", path, message);
}

std::string applyTrace(Settings &settings, const std::string &text)
{
    settings.trace = text;
    return text.empty() ? "a file name is expected" : "";
}

template<SettingsMode Mode> std::string applyMode(Settings &settings, const std::string &)
{
    settings.mode = Mode;
    return {};
}

const Row settingRows[] = {
    {{"name", "NAME", "", true, "name of this VM in the platform's VM list"}, applyName<&Settings::name>},
    {{"failure-domain", "NAME", "", true, "failure domain of this VM"}, applyName<&Settings::failureDomain>},
    {{"listen", "IP:PORT", "", true, "address for requests of callers"}, applyEndpoint<&Settings::listen>},
    {{"peer", "IP:PORT", "", true, "address for messages between daemons, UDP and TCP"},
     applyEndpoint<&Settings::peer>},
    {{"admin", "IP:PORT", "", true, "address of the admin endpoint"}, applyEndpoint<&Settings::admin>},
    {{"platform", "IP:PORT", "", true, "address of the platform's object API"}, applyPlatform},
    {{"peer-key", "HEX", "", false, "32-byte key shared by all daemons; visible in the process list as a flag"},
     applyPeerKey},
    {{"peer-key-file", "FILE", "", false, "file that holds the peer key"}, applyPeerKeyFile},
    {{"workers", "N", "2", false, "threads that forward requests, 1 to 64"}, applyNumber<&Settings::workers, 1, 64>},
    {{"log-level", "LEVEL", "info", false, "debug, info, warning or error"}, applyLogLevel},
    {{"stop-notice-ms", "MS", "2000", false, "after SIGTERM, time until the balancer sends no new requests"},
     applyNumber<&Settings::stopNoticeMs, 0, dayMs>},
    {{"stop-deadline-ms", "MS", "0", false, "longest planned stop; 0 waits for every request in flight"},
     applyNumber<&Settings::stopDeadlineMs, 0, dayMs>},
    {{"readiness", "IP:PORT", "127.0.0.1:0", false, "gateway: address of the balancer's readiness question"},
     applyEndpoint<&Settings::readiness>},
    {{"retry-ratio", "SHARE", "0.1", false, "gateway: retries of a service as a share of its requests"},
     applyRetryRatio},
    {{"retry-allowance", "N", "10", false, "gateway: retries of a service beyond the share, over all daemons"},
     applyAmount<&Settings::retryAllowance>},
    {{"longest-hold-ms", "MS", "10000", false, "gateway: longest time for which servers take keys"},
     applyNumber<&Settings::maxGrantDurationMs, 100, dayMs>},
    {{"cpu-share", "CORES", "1", false, "gateway: processor time that this VM may use; large VMs lead first"},
     applyAmount<&Settings::cpuShare>},
    {{"warmup-overshoot", "FACTOR", "0", false, "gateway: bound on requests to a cold server; empty or 0 for none"},
     applyAmount<&Settings::warmupOvershoot>},
    {{"warmup-slack", "N", "0", false, "gateway: requests within a second beyond that bound"},
     applyAmount<&Settings::warmupSlack>},
    {{"slow-start", "WAY", "linear", false, "gateway: share of a server that has started: linear or answers"},
     applySlowStart},
    {{"evacuation-ms", "MS", "0", false, "gateway: bound for the evacuation of a failure domain; 0 or empty is off"},
     applyNumber<&Settings::evacuationMs, 0, dayMs>},
    {{"memory-mb", "MB", "16384", false, "gateway: memory of this VM; bounds the bytes of callers that are held"},
     applyNumber<&Settings::memoryMb, MinMemoryMb, MaxMemoryMb>},
    {{"max-descriptors", "N", "1000000", false, "gateway: descriptors of this VM; bounds callers' connections"},
     applyNumber<&Settings::maxDescriptors, MinDescriptors, MaxDescriptors>},
    {{"trace", "FILE", "", false, "write an event trace for galenarock-replay"}, applyTrace},
    {{"help", "", "", false, "print this text"}, applyMode<SettingsMode::Help>},
    {{"version", "", "", false, "print the version"}, applyMode<SettingsMode::Version>},
    {{"check", "", "", false, "check the settings and exit"}, applyMode<SettingsMode::Check>},
};

/// Settings whose value may be empty, which leaves the default: the platform fills in bounds that not every deployment
/// has.
constexpr std::string_view MayBeEmpty[] = {"evacuation-ms", "warmup-overshoot", "warmup-slack",
                                           "slow-start",    "memory-mb",        "max-descriptors"};

bool mayBeEmpty(std::string_view name)
{
    return std::find(std::begin(MayBeEmpty), std::end(MayBeEmpty), name) != std::end(MayBeEmpty);
}

std::string variableName(std::string_view name)
{
    std::string variable(variablePrefix);
    for (const char c : name) {
        variable += c == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
    }
    return variable;
}

po::options_description optionsDescription()
{
    po::options_description options("Settings");
    for (const auto &it : settingRows) {
        const std::string name(it.info.name);
        std::string text(it.info.description);
        text += it.info.defaultValue.empty() ? "" : fmt::format(" (default {})", it.info.defaultValue);
        text += it.info.isRequired ? " (required)" : "";
        if (it.info.valueName.empty()) {
            options.add_options()(name.c_str(), text.c_str());
            continue;
        }
        const std::string valueName(it.info.valueName);
        options.add_options()(name.c_str(), po::value<std::string>()->value_name(valueName), text.c_str());
    }
    return options;
}

/// A value with the flag or variable that gave it.
struct Given
{
    std::string place;
    std::string value;
};
using GivenValues = std::map<std::string, Given, std::less<>>;

class SettingsReader
{
public:
    explicit SettingsReader(SettingsProgram program)
        : m_program(program)
    {
    }

    ParsedSettings read(const std::vector<std::string> &arguments, const Environment &environment)
    {
        readArguments(arguments);
        readEnvironment(environment);
        for (const auto &it : settingRows) {
            applyRow(it);
        }
        checkContradictions();
        return std::move(m_result);
    }

private:
    void report(ErrorCode code, std::string place, std::string message)
    {
        m_result.findings.push_back({code, std::move(place), std::move(message)});
    }

    /// The library stops at the first syntax error; the faulty argument is taken out and the rest is parsed again.
    void readArguments(std::vector<std::string> arguments)
    {
        readEmptyValues(arguments);
        const auto description = optionsDescription();
        const int style = po::command_line_style::unix_style & ~po::command_line_style::allow_guessing;
        while (true) {
            try {
                const auto parsed =
                    po::command_line_parser(arguments).options(description).style(style).allow_unregistered().run();
                for (const auto &it : parsed.options) {
                    readOption(it);
                }
                return;
            } catch (const po::error_with_option_name &error) {
                const auto place = error.get_option_name();
                report(ErrorCode::MissingField, place, "a value is expected, or none is allowed");
                if (!removeArgument(arguments, place)) {
                    return;
                }
            }
        }
    }

    /// The library takes an empty value for a syntax error.
    void readEmptyValues(std::vector<std::string> &arguments)
    {
        for (const auto name : MayBeEmpty) {
            const auto flag = fmt::format("--{}=", name);
            const auto it = std::find(arguments.begin(), arguments.end(), flag);
            if (it != arguments.end()) {
                m_flags.emplace(name, Given{fmt::format("--{}", name), {}});
                arguments.erase(it);
            }
        }
    }

    static bool removeArgument(std::vector<std::string> &arguments, const std::string &flag)
    {
        const auto isFaulty = [&](const std::string &it) {
            return it == flag || it.rfind(flag + "=", 0) == 0;
        };
        // The last one, because `--name` without a value can follow a complete `--name x`.
        const auto it = std::find_if(arguments.rbegin(), arguments.rend(), isFaulty);
        if (it == arguments.rend()) {
            return false;
        }
        arguments.erase(std::next(it).base());
        return true;
    }

    void readOption(const po::option &option)
    {
        const auto token = option.original_tokens.empty() ? option.string_key : option.original_tokens.front();
        if (option.position_key >= 0 || option.unregistered) {
            report(ErrorCode::UnknownField, token, "");
            return;
        }
        const auto place = "--" + option.string_key;
        Given given{place, option.value.empty() ? std::string() : option.value.front()};
        if (!m_flags.emplace(option.string_key, std::move(given)).second) {
            report(ErrorCode::Contradiction, place, "the flag is given twice");
        }
    }

    void readEnvironment(const Environment &environment)
    {
        for (const auto &pair : environment) {
            const auto &variable = pair.first;
            if (variable.rfind(variablePrefix, 0) != 0) {
                continue;
            }
            const auto row = std::find_if(std::begin(settingRows), std::end(settingRows), [&](const Row &it) {
                return !it.info.valueName.empty() && variableName(it.info.name) == variable;
            });
            if (row == std::end(settingRows)) {
                report(ErrorCode::UnknownField, variable, "");
                continue;
            }
            m_variables.emplace(row->info.name, Given{variable, pair.second});
        }
    }

    const Given *find(std::string_view name) const
    {
        for (const auto *values : {&m_flags, &m_variables}) {
            const auto it = values->find(name);
            if (it != values->end()) {
                return &it->second;
            }
        }
        return nullptr;
    }

    bool hasFinding(std::string_view name) const
    {
        const auto &findings = m_result.findings;
        return std::any_of(findings.begin(), findings.end(), [&](const Finding &it) {
            return it.place == fmt::format("--{}", name) || it.place == variableName(name);
        });
    }

    void applyRow(const Row &row)
    {
        const auto *given = find(row.info.name);
        if (given == nullptr) {
            if (row.info.isRequired && !hasFinding(row.info.name)) {
                report(ErrorCode::MissingField, fmt::format("--{}", row.info.name), "");
            }
            return;
        }
        // A key flag overrides a key file from the environment, and the other way round.
        if (isOverriddenKey(row.info.name) || (given->value.empty() && mayBeEmpty(row.info.name))) {
            return;
        }
        auto message = row.apply(m_result.settings, given->value);
        if (!message.empty()) {
            report(ErrorCode::OutOfRange, given->place, std::move(message));
        }
    }

    bool isOverriddenKey(std::string_view name) const
    {
        if (name != "peer-key" && name != "peer-key-file") {
            return false;
        }
        const std::string_view other = name == "peer-key" ? "peer-key-file" : "peer-key";
        return m_flags.count(name) == 0 && m_flags.count(other) > 0;
    }

    void checkContradictions()
    {
        if (m_program == SettingsProgram::Daemon) {
            checkPeerKey();
        }
        checkAddresses();
        const auto &settings = m_result.settings;
        if (settings.stopDeadlineMs != 0 && settings.stopDeadlineMs <= settings.stopNoticeMs
            && !hasFinding("stop-deadline-ms") && !hasFinding("stop-notice-ms")) {
            report(ErrorCode::Contradiction, placeOf("stop-deadline-ms"),
                   fmt::format("{} ms is not longer than the notice of {} ms", settings.stopDeadlineMs,
                               settings.stopNoticeMs));
        }
    }

    std::string placeOf(std::string_view name) const
    {
        const auto *given = find(name);
        return given == nullptr ? fmt::format("--{}", name) : given->place;
    }

    void checkPeerKey()
    {
        const bool hasKey = find("peer-key") != nullptr && !isOverriddenKey("peer-key");
        const bool hasFile = find("peer-key-file") != nullptr && !isOverriddenKey("peer-key-file");
        if (hasKey && hasFile) {
            report(ErrorCode::Contradiction, placeOf("peer-key-file"), "a key is also given directly");
        }
        if (!hasKey && !hasFile && !hasFinding("peer-key") && !hasFinding("peer-key-file")) {
            report(ErrorCode::MissingField, "--peer-key", "or --peer-key-file");
        }
    }

    void checkAddresses()
    {
        const auto &settings = m_result.settings;
        const std::array<std::pair<std::string_view, Endpoint>, 4> endpoints{{{"listen", settings.listen},
                                                                              {"peer", settings.peer},
                                                                              {"admin", settings.admin},
                                                                              {"platform", settings.platform}}};
        for (std::size_t n = 1; n < endpoints.size(); ++n) {
            for (std::size_t m = 0; m < n; ++m) {
                if (endpoints[n].second.port == 0 || endpoints[n].second != endpoints[m].second) {
                    continue;
                }
                report(ErrorCode::Contradiction, placeOf(endpoints[n].first),
                       fmt::format("same address as --{}", endpoints[m].first));
            }
        }
    }

    const SettingsProgram m_program;
    ParsedSettings m_result;
    GivenValues m_flags;
    GivenValues m_variables;
};
}

ParsedSettings parseSettings(const std::vector<std::string> &arguments, const Environment &environment,
                             SettingsProgram program)
{
    return SettingsReader(program).read(arguments, environment);
}

Environment processEnvironment()
{
    Environment variables;
    for (char **it = environ; it != nullptr && *it != nullptr; ++it) {
        const std::string_view text(*it);
        const auto equals = text.find('=');
        if (text.rfind(variablePrefix, 0) != 0 || equals == std::string_view::npos) {
            continue;
        }
        variables.emplace(text.substr(0, equals), text.substr(equals + 1));
    }
    return variables;
}

std::vector<SettingInfo> settingInfos()
{
    std::vector<SettingInfo> infos;
    for (const auto &it : settingRows) {
        infos.push_back(it.info);
    }
    return infos;
}

std::string settingsHelp()
{
    std::ostringstream text;
    text << "Usage: galenarockd --name NAME --failure-domain NAME --listen IP:PORT --peer IP:PORT --admin IP:PORT\n"
            "                   --platform IP:PORT (--peer-key HEX | --peer-key-file FILE) [settings]\n\n"
         << optionsDescription()
         << "\nEach setting with a value can also be given as a variable: --log-level as GALENAROCK_LOG_LEVEL.\n"
            "A flag overrides its variable.\n";
    return text.str();
}

std::optional<int> settingsExitStatus(const ParsedSettings &parsed)
{
    constexpr int badSettings = 2;
    switch (parsed.settings.mode) {
    case SettingsMode::Help:
        fmt::print("{}", settingsHelp());
        return 0;
    case SettingsMode::Version:
        fmt::print("galenarockd {}\n", GALENAROCK_VERSION);
        return 0;
    case SettingsMode::Run:
    case SettingsMode::Check:
        break;
    }
    if (!parsed.findings.empty()) {
        fmt::print(stderr, "{}", toString(parsed.findings));
        return badSettings;
    }
    if (parsed.settings.mode == SettingsMode::Check) {
        fmt::print("settings are valid\n");
        return 0;
    }
    return {};
}

}

#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <galenarock/answerpace.h>
#include <galenarock/error.h>
#include <galenarock/eventlog.h>

/// Settings of galenarockd from flags and environment variables.
namespace Galenarock
{

/// A numeric IP address and a port; port 0 lets the kernel choose one.
struct Endpoint
{
    /// IPv4 or IPv6 without brackets.
    std::string address;
    std::uint16_t port = 0;

    friend bool operator==(const Endpoint &a, const Endpoint &b)
    {
        return a.port == b.port && a.address == b.address;
    }
    friend bool operator!=(const Endpoint &a, const Endpoint &b)
    {
        return !(a == b);
    }
};

/// `127.0.0.1:8080` or `[::1]:8080`.
std::string toString(const Endpoint &endpoint);
/// Reads the same form; empty for host names, missing ports and anything else.
std::optional<Endpoint> parseEndpoint(std::string_view text);

/// Key of the MAC on messages between daemons.
using PeerKey = std::array<std::uint8_t, 32>;

/// What the process was asked to do.
enum class SettingsMode : std::uint8_t
{
    Run,
    Help,
    Version,
    /// Only check the settings.
    Check,
};

/// The program that reads its settings.
enum class SettingsProgram : std::uint8_t
{
    Daemon,
    /// Shares its key with its peers through the store and needs none in its settings.
    Gateway,
};

struct Settings
{
    SettingsMode mode = SettingsMode::Run;
    /// The VM's name in the platform's VM list.
    std::string name;
    std::string failureDomain;
    /// Requests of callers.
    Endpoint listen;
    /// Messages between daemons, UDP and TCP.
    Endpoint peer;
    /// /health, /metrics, /status, /explain.
    Endpoint admin;
    Endpoint platform;
    PeerKey peerKey{};
    std::uint32_t workers = 2;
    Severity logLevel = Severity::Info;
    /// Time in which the balancer takes the VM out, counted from SIGTERM.
    std::int64_t stopNoticeMs = 2'000;
    /// Longest planned stop, counted from SIGTERM; 0 waits for every request in flight.
    std::int64_t stopDeadlineMs = 0;
    /// Gateway: the balancer's readiness question.
    Endpoint readiness{"127.0.0.1", 0};
    /// Gateway: retries of a service over all daemons, as a share of its requests and beyond it.
    double retryPercent = 10;
    double retryAllowance = 10;
    /// Gateway: longest time for which servers take keys.
    std::int64_t maxGrantDurationMs = 10'000;
    /// Gateway: processor time that this VM may use, in cores. Large VMs lead services first.
    double cpuShare = 1;
    /// Gateway: bound on the requests that reach a cold server in one second, over all daemons: this multiple of the
    /// service's ServiceRule::warmupPerSecond, and this many more. A multiple of 0 sets no bound.
    double warmupOvershoot = 0;
    double warmupSlack = 0;
    /// Gateway: how the share of a server that has started or recovered rises.
    SlowStart slowStart = SlowStart::Linear;
    /// Gateway: time within which no request is sent any more to a failure domain whose evacuation the store has
    /// accepted; 0 for a platform without evacuations.
    std::int64_t evacuationMs = 0;
    /// Gateway: memory of this VM in MB, from which the bound on the bytes of callers is derived.
    std::int64_t memoryMb = 16'384;
    /// Gateway: descriptors of this VM, from which the bound on callers' connections is derived.
    std::int64_t maxDescriptors = 1'000'000;
    /// File for the event trace; empty for none.
    std::string trace;

    friend bool operator==(const Settings &a, const Settings &b)
    {
        return a.mode == b.mode && a.name == b.name && a.failureDomain == b.failureDomain && a.listen == b.listen
            && a.peer == b.peer && a.admin == b.admin && a.platform == b.platform && a.peerKey == b.peerKey
            && a.workers == b.workers && a.logLevel == b.logLevel && a.stopNoticeMs == b.stopNoticeMs
            && a.stopDeadlineMs == b.stopDeadlineMs && a.readiness == b.readiness && a.retryPercent == b.retryPercent
            && a.retryAllowance == b.retryAllowance && a.maxGrantDurationMs == b.maxGrantDurationMs
            && a.cpuShare == b.cpuShare && a.warmupOvershoot == b.warmupOvershoot && a.warmupSlack == b.warmupSlack
            && a.slowStart == b.slowStart && a.evacuationMs == b.evacuationMs && a.memoryMb == b.memoryMb
            && a.maxDescriptors == b.maxDescriptors && a.trace == b.trace;
    }
};

/// Settings and everything that is wrong with them; usable only when `findings` is empty. The place of a finding is
/// the flag (`--listen`) or the variable (`GALENAROCK_LISTEN`).
struct ParsedSettings
{
    Settings settings;
    Findings findings;
};

using Environment = std::map<std::string, std::string>;

/// Reads the flags (without the program's name) and the variables that start with `GALENAROCK_`; a flag overrides its
/// variable.
///
/// Example: `const auto parsed = parseSettings({argv + 1, argv + argc}, processEnvironment());`
ParsedSettings parseSettings(const std::vector<std::string> &arguments, const Environment &environment,
                             SettingsProgram program = SettingsProgram::Daemon);

/// The process's variables that start with `GALENAROCK_`.
Environment processEnvironment();

/// One row of the reference in docs/OPERATIONS.md.
struct SettingInfo
{
    /// Without the leading dashes; the variable is `GALENAROCK_` and the name in capitals with '_' for '-'.
    std::string_view name;
    /// Empty for a switch.
    std::string_view valueName;
    /// Empty when there is none.
    std::string_view defaultValue;
    bool isRequired = false;
    std::string_view description;
};

std::vector<SettingInfo> settingInfos();

std::string settingsHelp();

/// Exit status when the process should not run: 0 after --help, --version or a passed --check, 2 with findings. Prints
/// help, version or findings to the standard streams. Empty when the process should run.
std::optional<int> settingsExitStatus(const ParsedSettings &parsed);

}

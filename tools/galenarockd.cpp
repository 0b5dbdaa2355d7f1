#include <csignal>
#include <cstdio>
#include <string>
#include <vector>

#include <curl/curl.h>
#include <fmt/format.h>
#include <sodium.h>

#include <galenarock/daemon.h>
#include <galenarock/settings.h>

using namespace Galenarock;

namespace
{
/// Blocks SIGTERM and SIGINT in all threads, so that only sigwait() in run() receives them, and ignores SIGPIPE.
sigset_t blockStopSignals()
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return set;
}

int run(const Settings &settings)
{
    const auto signals = blockStopSignals();
    Daemon daemon(settings);
    const auto error = tryOr(
        [&]() -> Result<std::string> {
            BOOST_LEAF_CHECK(daemon.start());
            return std::string();
        },
        [](ErrorCode code, const std::string &detail) { return fmt::format("{}: {}", errorMessage(code), detail); });
    if (!error.empty()) {
        fmt::print(stderr, "galenarockd: {}\n", error);
        return 1;
    }
    fmt::print("listening {} peer {} admin {}\n", daemon.callerAddress(), daemon.peerAddress(), daemon.adminAddress());
    std::fflush(stdout);
    int signal = 0;
    sigwait(&signals, &signal);
    return daemon.stop() ? 0 : 1;
}
}

int main(int argc, char **argv)
{
    if (sodium_init() < 0 || curl_global_init(CURL_GLOBAL_DEFAULT) != 0) {
        fmt::print(stderr, "galenarockd: libsodium or libcurl cannot be initialised\n");
        return 1;
    }
    const auto parsed = parseSettings({argv + 1, argv + argc}, processEnvironment());
    if (const auto status = settingsExitStatus(parsed)) {
        return *status;
    }
    return run(parsed.settings);
}

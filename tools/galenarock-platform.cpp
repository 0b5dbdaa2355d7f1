#include <standin/events_p.h>
#include <standin/platformserver_p.h>
#include <standin/programoptions_p.h>

using namespace Galenarock;
using namespace Galenarock::Standin;

namespace
{
namespace po = boost::program_options;

PlatformFaults readFaults(ProgramOptions &options)
{
    PlatformFaults faults;
    faults.readsPerSecond = options.number<double>("reads-per-second", 1, 1e9);
    faults.writesPerSecond = options.number<double>("writes-per-second", 1, 1e9);
    faults.latencyMs = options.number<std::int64_t>("latency-ms", 0, 120'000);
    faults.vmListLagMs = options.number<std::int64_t>("vm-list-lag-ms", 0, 120'000);
    return faults;
}

int runPlatform(const ListenAddress &address, const PlatformFaults &faults)
{
    EventLoop loop;
    loop.stopOnSignals();
    PlatformServer server(loop, faults);
    return tryOr(
        [&]() -> Result<int> {
            BOOST_LEAF_CHECK(server.open(address));
            printListening(server.address());
            loop.run();
            logEvent(Events::Stopping, "stop signal received");
            return 0;
        },
        [](ErrorCode code, const std::string &detail) {
            logEvent(Events::ListenFailed, "{}: {}", errorMessage(code), detail);
            return 1;
        });
}
}

int main(int argc, char **argv)
{
    const PlatformFaults defaults;
    ProgramOptions options("galenarock-platform", "in-memory stand-in for the platform's object API, for tests");
    options.add()("reads-per-second", po::value<double>()->default_value(defaults.readsPerSecond), "read limit")(
        "writes-per-second", po::value<double>()->default_value(defaults.writesPerSecond), "write limit")(
        "latency-ms", po::value<std::int64_t>()->default_value(0), "delay of each response of the object API")(
        "vm-list-lag-ms", po::value<std::int64_t>()->default_value(0), "age of the VM list that is shown");
    if (const auto status = options.parse(argc, argv)) {
        return *status;
    }
    const auto address = options.address("listen");
    const auto faults = readFaults(options);
    if (options.reportFindings()) {
        return settingsExitCode;
    }
    return runPlatform(address, faults);
}

#include <boost/algorithm/string.hpp>

#include <standin/backendprocess_p.h>
#include <standin/events_p.h>
#include <standin/programoptions_p.h>

using namespace Galenarock;
using namespace Galenarock::Standin;

namespace
{
namespace po = boost::program_options;

void declareOptions(ProgramOptions &options)
{
    const BackendOptions defaults;
    auto add = options.add();
    add("service", po::value<std::string>()->default_value(defaults.service), "service that the servers run");
    add("count", po::value<std::uint32_t>()->default_value(1), "number of servers, each on a port of its own");
    add("name-prefix", po::value<std::string>()->default_value(""),
        "name of a server without its number; default SERVICE-");
    add("failure-domains", po::value<std::string>()->default_value("rioja"), "comma-separated, assigned in turn");
    add("slots", po::value<std::uint32_t>()->default_value(defaults.slots), "requests that run at the same time");
    add("connections", po::value<std::uint32_t>()->default_value(defaults.connections), "connection limit");
    add("queue", po::value<std::uint32_t>()->default_value(defaults.queueLength), "requests that wait for a slot");
    add("service-time-ms", po::value<double>()->default_value(defaults.serviceTimeMs),
        "mean; exponentially distributed");
    add("seed", po::value<std::uint64_t>()->default_value(defaults.seed), "seed of the service times");
    add("response-bytes", po::value<std::size_t>()->default_value(defaults.responseBytes), "size of a response body");
    add("cold-ms", po::value<std::int64_t>()->default_value(defaults.coldMs), "time after a start without service");
    add("drain-notice-ms", po::value<std::int64_t>()->default_value(defaults.drainNoticeMs),
        "time after a drain signal during which requests are accepted");
    add("crash-down-ms", po::value<std::int64_t>()->default_value(defaults.crashDownMs),
        "time between a crash and the restart");
    add("unchecked", "obey every grant command and accept every request");
}

BackendProcessOptions readOptions(ProgramOptions &options)
{
    constexpr std::int64_t maxMs = 600'000;
    BackendProcessOptions process;
    auto &server = process.server;
    server.service = options.get<std::string>("service");
    server.name = options.get<std::string>("name-prefix");
    if (server.name.empty()) {
        server.name = server.service + "-";
    }
    const auto domains = options.get<std::string>("failure-domains");
    boost::split(process.failureDomains, domains, boost::is_any_of(","));
    process.count = options.number<std::uint32_t>("count", 1, 2'000);
    server.slots = options.number<std::uint32_t>("slots", 1, 10'000);
    server.connections = options.number<std::uint32_t>("connections", 1, 10'000);
    server.queueLength = options.number<std::uint32_t>("queue", 0, 1'000'000);
    server.serviceTimeMs = options.number<double>("service-time-ms", 0, 60'000);
    server.seed = options.get<std::uint64_t>("seed");
    server.responseBytes = options.number<std::size_t>("response-bytes", 0, 64 << 20);
    server.coldMs = options.number<std::int64_t>("cold-ms", 0, maxMs);
    server.drainNoticeMs = options.number<std::int64_t>("drain-notice-ms", 0, maxMs);
    server.crashDownMs = options.number<std::int64_t>("crash-down-ms", 0, maxMs);
    server.checksGrants = !options.has("unchecked");
    return process;
}

void printServers(const BackendProcess &process)
{
    for (const auto &it : process.servers()) {
        fmt::print("server {} {} {} {}\n", it->options().name, it->options().service, it->options().failureDomain,
                   it->address());
    }
    // The line of the control listener is printed last: a script that has read it has read the lines of all servers.
    printListening(process.address());
}

int runBackend(const ListenAddress &address, const BackendProcessOptions &options)
{
    EventLoop loop;
    loop.stopOnSignals();
    BackendProcess process(loop, options);
    return tryOr(
        [&]() -> Result<int> {
            BOOST_LEAF_CHECK(process.open(address));
            printServers(process);
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
    ProgramOptions options("galenarock-backend",
                           "stand-in for backend servers, for tests; --listen is the control "
                           "listener, each server has a port of its own");
    declareOptions(options);
    if (const auto status = options.parse(argc, argv)) {
        return *status;
    }
    const auto address = options.address("listen");
    auto process = readOptions(options);
    process.ip = address.ip;
    if (options.reportFindings()) {
        return settingsExitCode;
    }
    return runBackend(address, process);
}

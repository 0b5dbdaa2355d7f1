#include <fstream>

#include <curl/curl.h>

#include <standin/loadprogram_p.h>
#include <standin/programoptions_p.h>

#include <galenarock/jsontext.h>

using namespace Galenarock;
using namespace Galenarock::Standin;

namespace
{
namespace po = boost::program_options;
using StringList = std::vector<std::string>;

void declareOptions(ProgramOptions &options)
{
    const LoadOptions defaults;
    const WorkloadOptions &workload = defaults.workload;
    auto add = options.add();
    add("entry", po::value<StringList>()->default_value({}, ""),
        "ip:port of an entry, repeated; the next one is tried when a "
        "connection is refused");
    add("ready", po::value<StringList>()->default_value({}, ""),
        "admin ip:port of each entry in the same order, repeated; entries that are not ready get no requests");
    add("journal", po::value<StringList>()->default_value({}, ""),
        "control ip:port of a galenarock-backend, repeated; without it the audit cannot detect doubled and false "
        "not-run");
    add("mix", po::value<std::string>()->default_value("vitrina=70,tostadero=20,almacen=10"), "SERVICE=WEIGHT,...");
    add("rate", po::value<double>()->default_value(workload.requestsPerSecond), "requests per second, open loop");
    add("seconds", po::value<double>()->default_value(5), "duration of the load");
    add("connections", po::value<std::uint32_t>()->default_value(defaults.connections),
        "maximum number of requests in flight");
    add("seed", po::value<std::uint64_t>()->default_value(workload.seed), "seed of arrivals, services and keys");
    add("keys", po::value<std::uint32_t>()->default_value(workload.keys), "number of keys of each service");
    add("zipf", po::value<double>()->default_value(workload.zipfExponent), "exponent of the key skew; 0 is uniform");
    add("order-bytes", po::value<std::uint64_t>()->default_value(defaults.orderBytes), "body size of an order");
    add("upload-bytes", po::value<std::uint64_t>()->default_value(defaults.uploadBytes), "body size of an upload");
    add("chunk-bytes", po::value<std::size_t>()->default_value(defaults.chunkBytes), "chunk size of an upload");
    add("resend", po::value<std::uint32_t>()->default_value(0), "re-sends of an order after an unknown outcome");
    add("timeout-ms", po::value<std::int64_t>()->default_value(defaults.timeout.count()),
        "longest wait for a response");
    add("settle-ms", po::value<std::int64_t>()->default_value(500), "wait before the journals are read");
    add("json", po::value<std::string>()->default_value(""), "file for the report as JSON");
}

LoadProgramOptions readOptions(ProgramOptions &options)
{
    LoadProgramOptions program;
    auto &load = program.load;
    auto &workload = load.workload;
    load.entries = options.addresses("entry");
    load.readiness = options.addresses("ready");
    program.journals = options.addresses("journal");
    if (load.entries.empty()) {
        options.addFinding("entry", "at least one entry is required");
    }
    if (!load.readiness.empty() && load.readiness.size() != load.entries.size()) {
        options.addFinding("ready", "give one address for each entry, or none");
    }
    Findings findings;
    workload.mix = parseMix(options.get<std::string>("mix"), findings);
    for (const auto &it : findings) {
        options.addFinding("mix", it.message);
    }
    workload.requestsPerSecond = options.number<double>("rate", 0.1, 200'000);
    const auto length = options.number<double>("seconds", 0.1, 3'600);
    workload.duration = duration_cast<Duration>(std::chrono::duration<double>(length));
    workload.seed = options.get<std::uint64_t>("seed");
    workload.keys = options.number<std::uint32_t>("keys", 1, 10'000'000);
    workload.zipfExponent = options.number<double>("zipf", 0, 10);
    load.connections = options.number<std::uint32_t>("connections", 1, 10'000);
    load.orderBytes = options.number<std::uint64_t>("order-bytes", 1, 1 << 20);
    load.uploadBytes = options.number<std::uint64_t>("upload-bytes", 1, std::uint64_t(1) << 32);
    load.chunkBytes = options.number<std::size_t>("chunk-bytes", 1, 1 << 20);
    load.resends = options.number<std::uint32_t>("resend", 0, 100);
    load.timeout = milliseconds(options.number<std::int64_t>("timeout-ms", 1, 3'600'000));
    load.run = toHex(randomNonce());
    program.settle = milliseconds(options.number<std::int64_t>("settle-ms", 0, 60'000));
    if (!options.isDefaulted("listen")) {
        program.listen = options.address("listen");
    }
    return program;
}

/// Called before the load starts, so that an unwritable path is reported at once and not after the run.
bool openReport(std::ofstream &file, ProgramOptions &options)
{
    const auto path = options.get<std::string>("json");
    if (path.empty()) {
        return true;
    }
    file.open(path);
    if (!file) {
        options.addFinding("json", "cannot be written: " + path);
    }
    return file.good();
}
}

int main(int argc, char **argv)
{
    ProgramOptions options("galenarock-load",
                           "open-loop load generator that audits every request; --listen serves the "
                           "progress as GET /progress");
    declareOptions(options);
    if (const auto status = options.parse(argc, argv)) {
        return *status;
    }
    const auto program = readOptions(options);
    std::ofstream file;
    openReport(file, options);
    if (options.reportFindings()) {
        return settingsExitCode;
    }
    curl_global_init(CURL_GLOBAL_DEFAULT);
    const auto report = runLoadProgram(program);
    curl_global_cleanup();
    if (!report) {
        return 1;
    }
    fmt::print("{}", report->text);
    if (file.is_open()) {
        file << jsonText(report->json, 2) << "\n";
    }
    return report->exitCode;
}

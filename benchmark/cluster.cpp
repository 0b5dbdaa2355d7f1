/// Cost and behaviour of the membership and configuration cores over the number of daemons, all in one thread with an
/// in-memory message queue and a fixed seed.
///
/// Usage: cluster [--daemons 3,6,10,20,40,80] [--seconds 60] [--seed 1] [--json]

#include <ctime>
#include <iostream>
#include <malloc.h>

#include <boost/program_options.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "config/tests/memorycluster_p.h"

using namespace Galenarock;

namespace
{
constexpr int documentCount = 20;
constexpr std::size_t documentBytes = 700;
/// A region of today has 3 or 4 failure domains, the target size 12.
constexpr std::size_t fewDomains = 3;
constexpr std::size_t manyDomains = 12;
constexpr std::size_t largestSmallCluster = 20;
constexpr Duration warmUp = seconds(30);
constexpr Duration changeInterval = seconds(2);
constexpr Duration pauseTime = seconds(5);

struct Options
{
    std::vector<std::size_t> daemons{3, 6, 10, 20, 40, 80};
    int seconds = 60;
    std::uint64_t seed = 1;
    bool isJson = false;
};

/// One line of the result table; rates are per daemon and second unless the name says otherwise.
struct Row
{
    std::size_t daemons = 0;
    double idleMessages = 0;
    double idleBytes = 0;
    double messages = 0;
    double bytes = 0;
    double cpuPercent = 0;
    std::map<std::string, double> totalCalls;
    double medianDelay = 0;
    double longestDelay = 0;
    std::size_t trueSuspicions = 0;
    std::size_t falseSuspicions = 0;
    std::uint64_t reverts = 0;
    /// Seconds until every survivor knows that all daemons of a lost failure domain are dead.
    double domainLossSeconds = 0;
    bool isComplete = true;
};

std::uint64_t clockNanoseconds(clockid_t clock)
{
    timespec time{};
    clock_gettime(clock, &time);
    return static_cast<std::uint64_t>(time.tv_sec) * 1'000'000'000 + static_cast<std::uint64_t>(time.tv_nsec);
}

struct Totals
{
    double messages = 0;
    double bytes = 0;
    double cpu = 0;
};

Totals totalsOf(const MemoryCluster &cluster)
{
    Totals totals;
    for (const auto &it : cluster.daemons) {
        totals.messages += static_cast<double>(it.messages);
        totals.bytes += static_cast<double>(it.bytes);
        totals.cpu += static_cast<double>(it.cpuNanoseconds);
    }
    return totals;
}

ObjectKey documentKey(int n)
{
    return {"service", fmt::format("service-{}", n)};
}

void writeDocument(MemoryCluster &cluster, int n)
{
    const auto filler = std::string(documentBytes, static_cast<char>('a' + n % 26));
    cluster.write(documentKey(n % documentCount), {{"change", n}, {"text", filler}});
}

/// Time from acceptance to force on the last daemon, for each change, sorted.
std::vector<double> lastDelays(const MemoryCluster &cluster)
{
    std::vector<double> delays;
    for (const auto &[version, delay] : cluster.lastDelay) {
        if (version.second > 1) {
            delays.push_back(delay);
        }
    }
    std::sort(delays.begin(), delays.end());
    return delays;
}

void measureIdle(MemoryCluster &cluster, const Options &options, Row &row)
{
    const auto before = totalsOf(cluster);
    cluster.run(seconds(options.seconds));
    const auto after = totalsOf(cluster);
    const auto share = 1.0 / static_cast<double>(row.daemons) / options.seconds;
    row.idleMessages = (after.messages - before.messages) * share;
    row.idleBytes = (after.bytes - before.bytes) * share;
}

void measureChanges(MemoryCluster &cluster, const Options &options, Row &row)
{
    cluster.calls.clear();
    const auto before = totalsOf(cluster);
    int change = documentCount;
    for (const auto end = cluster.now + seconds(options.seconds); cluster.now < end;) {
        writeDocument(cluster, ++change);
        cluster.run(changeInterval);
    }
    const auto after = totalsOf(cluster);
    const auto share = 1.0 / static_cast<double>(row.daemons) / options.seconds;
    row.messages = (after.messages - before.messages) * share;
    row.bytes = (after.bytes - before.bytes) * share;
    row.cpuPercent = 100 * (after.cpu - before.cpu) * 1e-9 * share;
    for (const auto &[kind, count] : cluster.calls) {
        row.totalCalls[kind] = static_cast<double>(count) / options.seconds;
    }
    cluster.run(seconds(10));
    for (const auto &[key, object] : cluster.objects) {
        row.isComplete = row.isComplete && cluster.countInForce(key, object.version) == row.daemons;
    }
    const auto delays = lastDelays(cluster);
    row.medianDelay = delays.at(delays.size() / 2);
    row.longestDelay = delays.back();
}

void measurePause(MemoryCluster &cluster, Row &row)
{
    cluster.suspected.clear();
    auto &paused = cluster.daemons[row.daemons / 2];
    paused.pausedUntil = cluster.now + pauseTime;
    cluster.run(seconds(20));
    for (const auto &it : cluster.suspected) {
        const bool isTrue = it == paused.name;
        (isTrue ? row.trueSuspicions : row.falseSuspicions) += 1;
    }
}

/// Restarts with the platform up, stale and down, with changes in between.
void provokeReverts(MemoryCluster &cluster, Row &row)
{
    for (std::size_t n = 0; n < std::min<std::size_t>(row.daemons, 6); ++n) {
        writeDocument(cluster, static_cast<int>(n));
        cluster.isPlatformStale = n % 3 == 1;
        cluster.start(n);
        cluster.run(seconds(5));
    }
    cluster.isPlatformStale = false;
    cluster.run(seconds(10));
    row.reverts = cluster.reverts;
}

bool isLossKnown(const MemoryCluster &cluster, const std::string &domain)
{
    for (const auto &observer : cluster.daemons) {
        if (observer.domain == domain) {
            continue;
        }
        for (const auto &it : observer.members->members()) {
            if (it.failureDomain == domain && it.status != MemberStatus::Dead) {
                return false;
            }
        }
    }
    return true;
}

void loseDomain(MemoryCluster &cluster, Row &row)
{
    constexpr Duration step = milliseconds(250);
    constexpr Duration longest = seconds(180);
    cluster.run(seconds(30));
    const auto domain = cluster.daemons.back().domain;
    for (auto &it : cluster.daemons) {
        it.isUp = it.domain != domain;
    }
    const auto start = cluster.now;
    while (!isLossKnown(cluster, domain) && cluster.now - start < longest) {
        cluster.run(step);
    }
    row.domainLossSeconds = std::chrono::duration<double>(cluster.now - start).count();
}

Row measure(std::size_t daemons, const Options &options)
{
    MemoryClusterOptions settings;
    settings.daemons = daemons;
    settings.domains = daemons <= largestSmallCluster ? fewDomains : manyDomains;
    settings.seed = options.seed;
    MemoryCluster cluster(settings);
    cluster.cpuClock = [] {
        return clockNanoseconds(CLOCK_THREAD_CPUTIME_ID);
    };
    Row row;
    row.daemons = daemons;
    for (int n = 0; n < documentCount; ++n) {
        writeDocument(cluster, n);
    }
    cluster.run(warmUp);
    measureIdle(cluster, options, row);
    measureChanges(cluster, options, row);
    measurePause(cluster, row);
    provokeReverts(cluster, row);
    loseDomain(cluster, row);
    return row;
}

/// CPU of sending and receiving one message of 150 bytes through two transports on loopback, in microseconds.
double transportMicroseconds()
{
    constexpr int count = 20'000;
    Metrics metrics;
    std::atomic<int> received{0};
    PeerTransportSettings settings;
    settings.key = peerKeyFromSecret("benchmark");
    settings.self = {"vm-a", 1};
    auto sender = PeerTransport::open(settings, metrics, [](const PeerEvent &) {}).value();
    settings.self = {"vm-b", 1};
    auto receiver = PeerTransport::open(settings, metrics, [&](const PeerEvent &) { ++received; }).value();
    const std::string payload(150, 'x');
    const auto start = clockNanoseconds(CLOCK_PROCESS_CPUTIME_ID);
    for (int n = 0; n < count; ++n) {
        while (!sender->send({receiver->address(), 1, payload}) || n - received.load() > 64) {
            const timespec wait{0, 50'000};
            nanosleep(&wait, nullptr);
        }
    }
    return static_cast<double>(clockNanoseconds(CLOCK_PROCESS_CPUTIME_ID) - start) / 1e3 / count;
}

/// Heap of the cores of one daemon among 10,000 with 1,000 documents and 12 assignments of 0.6 MB, in bytes.
std::size_t memoryAtTargetSize()
{
    const auto before = mallinfo2().uordblks + mallinfo2().hblkhd;
    MembershipSettings settings;
    settings.self.identity = {"vm-00000", 1};
    MembershipCore members(settings);
    ConfigCore config({{"vm-00000", 1}, "domain-0"});
    Instant now{seconds(1)};
    {
        VmList list;
        list.revision = 1;
        for (int n = 0; n < 10'000; ++n) {
            VmEntry vm;
            vm.name = fmt::format("vm-{:05}", n);
            vm.failureDomain = fmt::format("domain-{}", n % 12);
            vm.address = vm.peerAddress = "10.100.100.100:12345";
            list.vms.push_back(vm);
        }
        members.step(now, VmListEvent{list});
        config.step(now, MembersEvent{members.members()});
        for (int n = 0; n < 1'000; ++n) {
            const nlohmann::json value{{"text", std::string(documentBytes, 'x')}};
            config.step(now, ObjectEvent{{documentKey(n), 1, 1, value}, true});
        }
        for (int n = 0; n < 12; ++n) {
            const ObjectKey key{"assignment", fmt::format("shard-{}", n)};
            config.step(now, ObjectEvent{{key, 1, 1, std::string(600'000, 'x')}, true});
        }
        config.step(now + seconds(5), TickEvent());
        config.takeChanged();
    }
    malloc_trim(0);
    return mallinfo2().uordblks + mallinfo2().hblkhd - before;
}

/// Increase per daemon by least squares.
template<typename Read> double slope(const std::vector<Row> &rows, Read read)
{
    double n = 0;
    double x = 0;
    double y = 0;
    double xx = 0;
    double xy = 0;
    for (const auto &it : rows) {
        const auto daemons = static_cast<double>(it.daemons);
        const auto value = read(it);
        n += 1;
        x += daemons;
        y += value;
        xx += daemons * daemons;
        xy += daemons * value;
    }
    const auto spread = n * xx - x * x;
    return spread == 0 ? 0 : (n * xy - x * y) / spread;
}

nlohmann::json toJson(const Row &row)
{
    return {{"daemons", row.daemons},
            {"idleMessagesPerSecond", row.idleMessages},
            {"idleBytesPerSecond", row.idleBytes},
            {"messagesPerSecond", row.messages},
            {"bytesPerSecond", row.bytes},
            {"cpuPercent", row.cpuPercent},
            {"platformCallsPerSecond", row.totalCalls},
            {"inForceMedianSeconds", row.medianDelay},
            {"inForceLongestSeconds", row.longestDelay},
            {"trueSuspicions", row.trueSuspicions},
            {"falseSuspicions", row.falseSuspicions},
            {"reverts", row.reverts},
            {"domainLossSeconds", row.domainLossSeconds},
            {"complete", row.isComplete}};
}

void printTable(const std::vector<Row> &rows)
{
    fmt::print("{:>8} {:>9} {:>9} {:>9} {:>9} {:>8} {:>9} {:>9} {:>8} {:>8} {:>6} {:>6} {:>7} {:>8}\n", "daemons",
               "idle msg", "idle B", "msg", "B", "CPU %", "vms/s", "watch/s", "p50 s", "max s", "false", "revert",
               "loss s", "complete");
    for (const auto &it : rows) {
        const auto calls = [&](const char *kind) {
            const auto found = it.totalCalls.find(kind);
            return found == it.totalCalls.end() ? 0.0 : found->second;
        };
        fmt::print("{:>8} {:>9.2f} {:>9.0f} {:>9.2f} {:>9.0f} {:>8.4f} {:>9.2f} {:>9.2f} {:>8.3f} {:>8.3f} {:>6} "
                   "{:>6} {:>7.2f} {:>8}\n",
                   it.daemons, it.idleMessages, it.idleBytes, it.messages, it.bytes, it.cpuPercent, calls("vms"),
                   calls("watch"), it.medianDelay, it.longestDelay, it.falseSuspicions, it.reverts,
                   it.domainLossSeconds, it.isComplete ? "yes" : "NO");
    }
}

std::optional<Options> parse(int argc, char **argv)
{
    namespace po = boost::program_options;
    Options options;
    std::string daemons;
    po::options_description description("cluster");
    description.add_options()("help", "this text")("daemons", po::value(&daemons), "comma-separated counts")(
        "seconds", po::value(&options.seconds), "length of each measurement")("seed", po::value(&options.seed),
                                                                              "seed")("json", "JSON output");
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, description), values);
    po::notify(values);
    if (values.count("help") != 0) {
        std::cout << description;
        return {};
    }
    options.isJson = values.count("json") != 0;
    if (!daemons.empty()) {
        options.daemons.clear();
        std::istringstream stream(daemons);
        for (std::string it; std::getline(stream, it, ',');) {
            options.daemons.push_back(std::stoul(it));
        }
    }
    return options;
}
}

int main(int argc, char **argv)
{
    const auto options = parse(argc, argv);
    if (!options) {
        return 0;
    }
    setLogThreshold(Severity::Error);
    const auto memory = memoryAtTargetSize();
    const auto transport = transportMicroseconds();
    std::vector<Row> rows;
    for (const auto it : options->daemons) {
        rows.push_back(measure(it, *options));
    }
    const auto messageSlope = slope(rows, [](const Row &it) { return it.messages; });
    const auto byteSlope = slope(rows, [](const Row &it) { return it.bytes; });
    const auto vmsSlope = slope(rows, [](const Row &it) { return it.totalCalls.at("vms"); });
    const auto watchSlope = slope(rows, [](const Row &it) { return it.totalCalls.at("watch"); });
    if (options->isJson) {
        auto json = nlohmann::json{{"memoryBytes", memory},          {"transportMicroseconds", transport},
                                   {"messageSlope", messageSlope},   {"byteSlope", byteSlope},
                                   {"vmsSlope", vmsSlope},           {"watchSlope", watchSlope},
                                   {"rows", nlohmann::json::array()}};
        for (const auto &it : rows) {
            json["rows"].push_back(toJson(it));
        }
        fmt::print("{}\n", json.dump(2));
        return 0;
    }
    printTable(rows);
    fmt::print("slopes per daemon: messages {:.4f}/s, bytes {:.2f}/s, VM list calls {:.3f}/s, watch calls {:.4f}/s\n",
               messageSlope, byteSlope, vmsSlope, watchSlope);
    fmt::print("transport: {:.1f} us CPU for sending and receiving one message of 150 bytes\n", transport);
    fmt::print("memory of the cores at 10,000 members, 1,000 documents, 12 assignments of 0.6 MB: {:.1f} MB\n",
               static_cast<double>(memory) / 1e6);
    return 0;
}

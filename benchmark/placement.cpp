/// Compares the placement policies on the same seeded trace of one day: skewed keys whose popularity drifts, servers
/// that are lost, leave and are replaced. Prints a table or, with --json, an array of results.
#include <algorithm>
#include <cmath>
#include <cstdio>
#include <iostream>
#include <numeric>
#include <random>

#include <boost/program_options.hpp>
#include <fmt/format.h>

#include <galenarock.h>

using namespace Galenarock;

namespace
{
namespace po = boost::program_options;

/// Estimated time without an owner: after a loss, one term and one message exchange; for a planned move, revoke,
/// conditional update and grant; for a split or merge, one grant under a new token.
constexpr double lossSeconds = 2.0;
constexpr double moveSeconds = 0.1;
constexpr double reshapeSeconds = 0.02;

struct Options
{
    std::uint64_t seed = 20'261'204;
    /// Traces, with consecutive seeds; the results are means. Which servers are lost decides much of a single trace.
    std::size_t traces = 8;
    std::size_t minutes = 1'440;
    std::size_t keys = 50'000;
    double skew = 0.9;
    bool json = false;
};

/// Keys in hash order with the load of the present minute.
class Workload
{
public:
    explicit Workload(const Options &options)
        : m_random(options.seed)
        , m_rankLoad(options.keys)
        , m_keyAtRank(options.keys)
        , m_hashes(options.keys)
        , m_load(options.keys)
        , m_sums(options.keys + 1)
    {
        for (std::size_t n = 0; n < options.keys; ++n) {
            m_hashes[n] = hashKey("key-" + std::to_string(n));
            m_rankLoad[n] = std::pow(static_cast<double>(n + 1), -options.skew);
        }
        const double total = std::accumulate(m_rankLoad.begin(), m_rankLoad.end(), 0.0);
        for (auto &it : m_rankLoad) {
            it /= total;
        }
        std::sort(m_hashes.begin(), m_hashes.end());
        std::iota(m_keyAtRank.begin(), m_keyAtRank.end(), std::size_t(0));
        std::shuffle(m_keyAtRank.begin(), m_keyAtRank.end(), m_random);
        update();
    }

    /// Each minute 20 of the hottest 1,000 keys change places with others; each half hour ten keys become the hottest.
    void advance(std::size_t minute)
    {
        for (int n = 0; n < 20; ++n) {
            swapRanks(m_random() % 1'000, m_random() % m_keyAtRank.size());
        }
        for (std::size_t n = 0; minute % 30 == 0 && n < 10; ++n) {
            swapRanks(n, m_random() % m_keyAtRank.size());
        }
        update();
    }

    SliceLoad loadOf(const SliceRange &range) const
    {
        const auto first = std::lower_bound(m_hashes.begin(), m_hashes.end(), range.first) - m_hashes.begin();
        const auto last = std::upper_bound(m_hashes.begin(), m_hashes.end(), range.last) - m_hashes.begin();
        return {m_sums[static_cast<std::size_t>(last)] - m_sums[static_cast<std::size_t>(first)],
                static_cast<double>(last - first)};
    }

    std::vector<HotKey> hotKeys() const
    {
        constexpr std::size_t count = 64;
        std::vector<HotKey> keys;
        for (std::size_t n = 0; n < count; ++n) {
            keys.push_back({m_hashes[m_keyAtRank[n]], m_rankLoad[n]});
        }
        return keys;
    }

    double keyCount() const
    {
        return static_cast<double>(m_hashes.size());
    }

private:
    void swapRanks(std::size_t a, std::size_t b)
    {
        std::swap(m_keyAtRank[a], m_keyAtRank[b]);
    }

    void update()
    {
        for (std::size_t n = 0; n < m_keyAtRank.size(); ++n) {
            m_load[m_keyAtRank[n]] = m_rankLoad[n];
        }
        std::partial_sum(m_load.begin(), m_load.end(), m_sums.begin() + 1);
    }

    std::mt19937_64 m_random;
    std::vector<double> m_rankLoad;
    std::vector<std::size_t> m_keyAtRank;
    std::vector<KeyHash> m_hashes;
    std::vector<double> m_load;
    std::vector<double> m_sums;
};

/// A server goes, and another of a new name joins later.
struct Replacement
{
    std::size_t leavesAt = 0;
    std::size_t joinsAt = 0;
    std::size_t position = 0;
    bool isLoss = false;
};

struct Cluster
{
    std::string service;
    std::size_t servers = 0;
    std::size_t domains = 0;
    MeasureWeights weights;
    double churnPercentPerMinute = 0;
    std::uint32_t slices = 256;
};

std::vector<Replacement> replacements(const Options &options, const Cluster &cluster)
{
    constexpr std::size_t count = 12;
    std::mt19937_64 random(options.seed + cluster.servers);
    std::vector<Replacement> plan;
    for (std::size_t n = 0; n < count; ++n) {
        const auto leavesAt = (2 * n + 1) * options.minutes / (2 * count);
        plan.push_back({leavesAt, leavesAt + 3 + random() % 10, random() % cluster.servers, n % 2 == 0});
    }
    return plan;
}

struct Measures
{
    double meanLoadImbalance = 0;
    double maxLoadImbalance = 0;
    double meanKeyImbalance = 0;
    /// Keys that changed owner in the day, as a multiple of all keys.
    double balanceChurn = 0;
    double forcedChurn = 0;
    /// Unavailable time that the average request's key sees in the day, milliseconds.
    double unavailableMs = 0;
    double moves = 0;
    double reshapes = 0;
    double slices = 0;
    /// Largest part of a lost server's load that went to one other server, mean over the losses.
    double lossConcentration = 0;
};

void addScaled(Measures &sum, const Measures &measures, double factor)
{
    sum.meanLoadImbalance += factor * measures.meanLoadImbalance;
    sum.maxLoadImbalance = std::max(sum.maxLoadImbalance, measures.maxLoadImbalance);
    sum.meanKeyImbalance += factor * measures.meanKeyImbalance;
    sum.balanceChurn += factor * measures.balanceChurn;
    sum.forcedChurn += factor * measures.forcedChurn;
    sum.unavailableMs += factor * measures.unavailableMs;
    sum.moves += factor * measures.moves;
    sum.reshapes += factor * measures.reshapes;
    sum.slices += factor * measures.slices;
    sum.lossConcentration += factor * measures.lossConcentration;
}

class Simulation
{
public:
    Simulation(const Options &options, const Cluster &cluster, const PlacementPolicy &policy)
        : m_options(options)
        , m_cluster(cluster)
        , m_policy(policy)
        , m_workload(options)
        , m_plan(replacements(options, cluster))
    {
        m_input.weights = cluster.weights;
        m_input.ownership.slices = cluster.slices;
        m_input.churnBudget = cluster.churnPercentPerMinute / 100;
        for (std::size_t n = 0; n < cluster.servers; ++n) {
            addServer(n);
        }
    }

    Measures run()
    {
        for (std::size_t minute = 0; minute < m_options.minutes; ++minute) {
            applyPlan(minute);
            observe();
            adopt(m_policy(m_input), minute > 0);
            m_workload.advance(minute);
            measure();
        }
        const auto n = static_cast<double>(m_options.minutes);
        m_measures.meanLoadImbalance /= n;
        m_measures.meanKeyImbalance /= n;
        m_measures.lossConcentration /= std::max(1.0, static_cast<double>(m_losses));
        m_measures.slices = static_cast<double>(m_input.current.slices.size());
        return m_measures;
    }

private:
    void addServer(std::size_t position)
    {
        PlacementServer server;
        server.identity = {fmt::format("{}-{}-{}", m_cluster.service, position, m_input.servers.size()), 1};
        server.failureDomain = fmt::format("domain-{}", position % m_cluster.domains);
        m_serverAt.resize(std::max(m_serverAt.size(), position + 1));
        m_serverAt[position] = m_input.servers.size();
        m_input.servers.push_back(server);
        m_input.current.servers.push_back(server.identity);
        m_isLost.push_back(false);
    }

    void applyPlan(std::size_t minute)
    {
        for (const auto &it : m_plan) {
            if (it.leavesAt == minute) {
                m_input.servers[m_serverAt[it.position]].usable = false;
                m_isLost[m_serverAt[it.position]] = it.isLoss;
            }
            if (it.joinsAt == minute) {
                addServer(it.position);
            }
        }
    }

    /// What the policy sees is the load of the minute before.
    void observe()
    {
        m_input.loads.clear();
        for (const auto &it : m_input.current.slices) {
            m_input.loads.push_back(m_workload.loadOf(it.range));
        }
        m_input.hotKeys = m_workload.hotKeys();
    }

    void adopt(const std::vector<SliceTarget> &targets, bool isCounted)
    {
        if (isCounted) {
            compare(targets);
        }
        auto &slices = m_input.current.slices;
        slices.clear();
        for (const auto &it : targets) {
            slices.push_back({it.range, it.owner, 0, it.successors});
        }
    }

    void compare(const std::vector<SliceTarget> &targets)
    {
        std::vector<double> inherited(m_input.servers.size());
        double lostLoad = 0;
        auto old = m_input.current.slices.begin();
        for (const auto &it : targets) {
            for (; old->range.last < it.range.first; ++old) {}
            for (auto piece = old; piece != m_input.current.slices.end() && piece->range.first <= it.range.last;
                 ++piece) {
                const SliceRange common{std::max(piece->range.first, it.range.first),
                                        std::min(piece->range.last, it.range.last)};
                const auto load = m_workload.loadOf(common);
                countPiece(*piece, it, load);
                if (piece->owner != it.owner && m_isLost[piece->owner]) {
                    inherited[it.owner] += load.requestsPerSecond;
                    lostLoad += load.requestsPerSecond;
                }
            }
        }
        if (lostLoad > 0) {
            ++m_losses;
            m_measures.lossConcentration += *std::max_element(inherited.begin(), inherited.end()) / lostLoad;
        }
    }

    void countPiece(const SliceAssignment &before, const SliceTarget &after, const SliceLoad &load)
    {
        constexpr double milliSeconds = 1'000;
        if (before.owner == after.owner) {
            const bool isReshaped = !(before.range == after.range);
            m_measures.reshapes += isReshaped ? 1 : 0;
            m_measures.unavailableMs += isReshaped ? milliSeconds * reshapeSeconds * load.requestsPerSecond : 0;
            return;
        }
        const bool isForced = !m_input.servers[before.owner].usable;
        const double share = load.keys / m_workload.keyCount();
        (isForced ? m_measures.forcedChurn : m_measures.balanceChurn) += share;
        const double duration = m_isLost[before.owner] ? lossSeconds : moveSeconds;
        m_measures.unavailableMs += milliSeconds * duration * load.requestsPerSecond;
        m_measures.moves += isForced ? 0 : 1;
    }

    void measure()
    {
        std::vector<double> loads(m_input.servers.size());
        std::vector<double> keys(m_input.servers.size());
        for (const auto &it : m_input.current.slices) {
            const auto load = m_workload.loadOf(it.range);
            loads[it.owner] += load.requestsPerSecond;
            keys[it.owner] += load.keys;
        }
        const auto usable = static_cast<double>(
            std::count_if(m_input.servers.begin(), m_input.servers.end(), [](const auto &it) { return it.usable; }));
        const double loadImbalance = *std::max_element(loads.begin(), loads.end()) * usable;
        const double keyImbalance = *std::max_element(keys.begin(), keys.end()) * usable / m_workload.keyCount();
        m_measures.meanLoadImbalance += loadImbalance;
        m_measures.maxLoadImbalance = std::max(m_measures.maxLoadImbalance, loadImbalance);
        m_measures.meanKeyImbalance += keyImbalance;
    }

    const Options &m_options;
    const Cluster &m_cluster;
    const PlacementPolicy &m_policy;
    Workload m_workload;
    std::vector<Replacement> m_plan;
    PlacementInput m_input;
    std::vector<std::size_t> m_serverAt;
    std::vector<bool> m_isLost;
    std::size_t m_losses = 0;
    Measures m_measures;
};

/// Weighted mean of the three measures, each relative to consistent hashing; below 1 is better than the baseline.
double score(const MeasureWeights &weights, const Measures &measures, const Measures &baseline)
{
    const auto imbalance = [](const Measures &it) {
        return it.meanLoadImbalance + it.meanKeyImbalance - 2;
    };
    const auto churn = [](const Measures &it) {
        return it.balanceChurn + it.forcedChurn;
    };
    const double sum = weights.imbalance * imbalance(measures) / imbalance(baseline)
        + weights.churn * churn(measures) / churn(baseline)
        + weights.unavailableTime * measures.unavailableMs / baseline.unavailableMs;
    return sum / (weights.imbalance + weights.churn + weights.unavailableTime);
}

nlohmann::json toJson(const Cluster &cluster, std::string_view policy, const Measures &measures, double score)
{
    return {{"service", cluster.service},
            {"servers", cluster.servers},
            {"policy", policy},
            {"meanLoadImbalance", measures.meanLoadImbalance},
            {"maxLoadImbalance", measures.maxLoadImbalance},
            {"meanKeyImbalance", measures.meanKeyImbalance},
            {"balanceChurn", measures.balanceChurn},
            {"forcedChurn", measures.forcedChurn},
            {"unavailableMs", measures.unavailableMs},
            {"moves", measures.moves},
            {"reshapes", measures.reshapes},
            {"slices", measures.slices},
            {"lossConcentration", measures.lossConcentration},
            {"score", score}};
}

void printRow(const nlohmann::json &row)
{
    fmt::print(
        "{:<33} {:>6.3f} {:>6.3f} {:>6.3f} {:>8.3f} {:>8.3f} {:>9.1f} {:>7.0f} {:>8.0f} {:>7.0f} {:>8.2f} {:>6.3f}\n",
        row["policy"].get<std::string>(), row["meanLoadImbalance"].get<double>(), row["maxLoadImbalance"].get<double>(),
        row["meanKeyImbalance"].get<double>(), row["balanceChurn"].get<double>(), row["forcedChurn"].get<double>(),
        row["unavailableMs"].get<double>(), row["moves"].get<double>(), row["reshapes"].get<double>(),
        row["slices"].get<double>(), row["lossConcentration"].get<double>(), row["score"].get<double>());
}

Measures meanOver(Options options, const Cluster &cluster, const PlacementPolicy &policy)
{
    Measures mean;
    const auto traces = options.traces;
    for (std::size_t n = 0; n < traces; ++n, ++options.seed) {
        addScaled(mean, Simulation(options, cluster, policy).run(), 1.0 / static_cast<double>(traces));
    }
    return mean;
}

void runCluster(const Options &options, const Cluster &cluster, nlohmann::json &results)
{
    const auto &policies = placementPolicies();
    std::vector<Measures> measures;
    for (const auto &it : policies) {
        measures.push_back(meanOver(options, cluster, it.policy));
    }
    if (!options.json) {
        fmt::print("\n{}: {} servers in {} failure domains, {} traces of {} minutes, {} keys, skew {}, first seed {}\n",
                   cluster.service, cluster.servers, cluster.domains, options.traces, options.minutes, options.keys,
                   options.skew, options.seed);
        fmt::print("{:<33} {:>6} {:>6} {:>6} {:>8} {:>8} {:>9} {:>7} {:>8} {:>7} {:>8} {:>6}\n", "policy", "load",
                   "worst", "keys", "balance", "forced", "unavail", "moves", "reshaped", "slices", "loss to", "score");
        fmt::print("{:<33} {:>6} {:>6} {:>6} {:>8} {:>8} {:>9} {:>7} {:>8} {:>7} {:>8} {:>6}\n", "", "max/mn", "max/mn",
                   "max/mn", "x keys", "x keys", "ms/day", "", "", "", "one max", "");
    }
    for (std::size_t n = 0; n < policies.size(); ++n) {
        const auto row =
            toJson(cluster, policies[n].name, measures[n], score(cluster.weights, measures[n], measures.back()));
        results.push_back(row);
        if (!options.json) {
            printRow(row);
        }
    }
}
}

int main(int argc, char **argv)
{
    Options options;
    po::options_description description("galenarock placement benchmark");
    description.add_options()("help", "print this text")("json", po::bool_switch(&options.json), "print JSON")(
        "seed", po::value(&options.seed)->default_value(options.seed), "seed of the first trace")(
        "traces", po::value(&options.traces)->default_value(options.traces), "number of traces, consecutive seeds")(
        "minutes", po::value(&options.minutes)->default_value(options.minutes), "length of a trace")(
        "keys", po::value(&options.keys)->default_value(options.keys), "number of keys, at least 1000")(
        "skew", po::value(&options.skew)->default_value(options.skew), "exponent of the zipf distribution");
    po::variables_map values;
    try {
        po::store(po::parse_command_line(argc, argv, description), values);
        po::notify(values);
    } catch (const po::error &error) {
        fmt::print(stderr, "{}\n", error.what());
        return 2;
    }
    if (values.count("help") > 0 || options.keys < 1'000 || options.minutes == 0 || options.traces == 0) {
        description.print(std::cout);
        return values.count("help") > 0 ? 0 : 2;
    }
    nlohmann::json results = nlohmann::json::array();
    runCluster(options, {"vitrina", 16, 3, {5, 1, 2}, 8, 256}, results);
    runCluster(options, {"lamp-history", 17, 4, {1, 2, 5}, 3, 272}, results);
    if (options.json) {
        fmt::print("{}\n", results.dump(2));
    }
    return 0;
}

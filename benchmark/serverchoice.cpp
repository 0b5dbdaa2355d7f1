/// Tables for docs/requests.md: server choice policies, retry amplification in an outage, and the runaway-caller guard.
/// Prints Markdown. Usage: serverchoice [SEED]; the output depends only on the seed, 1 by default.
#include <cstdlib>
#include <string>

#include <fmt/format.h>

#include "simulation_p.h"

using namespace Galenarock;
using namespace Galenarock::Simulated;

namespace
{
std::uint64_t seed = 1;

Settings seededSettings()
{
    Settings settings;
    settings.seed = seed;
    return settings;
}

struct NamedPolicy
{
    const char *name;
    ServerChoicePolicy policy;
    bool isAdaptive = false;
};

const std::vector<NamedPolicy> policies{{"random", chooseRandom},
                                        {"least in flight", chooseLeastInFlight},
                                        {"two choices", choosePowerOfTwo},
                                        {"adaptive", chooseAdaptive, true}};

CallerRate constantRate(double rate)
{
    return [rate](double) {
        return rate;
    };
}

double percent(double part, double whole)
{
    return whole > 0 ? 100 * part / whole : 0;
}

void printChoiceRow(const Settings &settings, const NamedPolicy &policy, double load)
{
    auto run = settings;
    run.policy = policy.policy;
    run.isAdaptive = policy.isAdaptive;
    run.callers = {constantRate(load * run.capacity())};
    auto results = Simulation(run).run();
    auto &caller = results.callers[0];
    const auto fresh = static_cast<double>(caller.fresh);
    const double measured = run.endSeconds - run.measureFrom;
    const char *fault = run.lyingServers > 0 ? "lying" : run.lastServerSlowness > 1 ? "slow" : "-";
    fmt::print(
        "| {}x{} | {} | {:.0f}% | {} | {:.1f} | {:.1f} | {:.1f} | {:.1f}% | {:.2f}% | {:.2f}% | {:.2f}% | {:.2f}% |\n",
        run.servers, run.slots, fault, load * 100, policy.name, caller.quantile(0.5), caller.quantile(0.99),
        caller.quantile(0.999), percent(static_cast<double>(caller.answered) / measured, run.capacity()),
        percent(static_cast<double>(caller.notRun), fresh), percent(static_cast<double>(caller.unknown), fresh),
        percent(results.wastedSeconds, results.usefulSeconds + results.wastedSeconds),
        percent(static_cast<double>(results.attemptsAtLiar), static_cast<double>(results.attempts)));
}

void printChoiceTable(bool limitsBySlots, const std::vector<double> &loads)
{
    fmt::print("\nIn flight per server and daemon: share of {}\n\n", limitsBySlots ? "slots" : "connections");
    fmt::print("| pool | faulty server | load | policy | p50 ms | p99 ms | p99.9 ms | goodput | not-run | unknown | "
               "wasted | sent to liar |\n");
    fmt::print("|---|---|---|---|---|---|---|---|---|---|---|---|\n");
    auto eight = seededSettings();
    eight.limitsBySlots = limitsBySlots;
    auto ten = eight;
    ten.servers = 10;
    ten.slots = 2;
    ten.connections = 45;
    for (const auto &pool : {eight, ten}) {
        auto lying = pool;
        lying.lyingServers = 1;
        auto slow = pool;
        slow.lastServerSlowness = 4;
        for (const auto &settings : {pool, lying, slow}) {
            for (const double load : loads) {
                for (const auto &it : policies) {
                    printChoiceRow(settings, it, load);
                }
            }
        }
    }
}

void printOutageTable()
{
    fmt::print("\n| outage | retries | fresh | attempts | attempts per fresh request |\n|---|---|---|---|---|\n");
    for (const auto outage : {Outage::Refusing, Outage::Frozen}) {
        for (const double budget : {1'000.0, 10.0}) {
            auto settings = seededSettings();
            settings.outage = outage;
            settings.outageFrom = 10;
            settings.retry.budgetPercent = budget;
            settings.callers = {constantRate(0.8 * settings.capacity())};
            const auto results = Simulation(settings).run();
            const auto fresh = results.callers[0].fresh;
            fmt::print("| {} | {} | {} | {} | {:.3f} |\n",
                       outage == Outage::Refusing ? "connections refused" : "no answer",
                       budget > 100 ? "3 attempts, no budget" : "budget 10%", fresh, results.attempts,
                       static_cast<double>(results.attempts) / static_cast<double>(fresh));
        }
    }
}

struct GuardCase
{
    std::string name;
    LimitSettings limits;
    Duration window = GuardSettings().window;
    /// Whether the daemon can tell callers apart.
    bool knowsCallers = true;
};

/// Five ordinary callers with 5% of the capacity each; a sixth one goes from 5% to 500% after 150 s.
void printGuardRow(const GuardCase &guard, Settings settings, double share)
{
    settings.limits = guard.limits;
    settings.guardWindow = guard.window;
    settings.knowsCallers = guard.knowsCallers;
    settings.callers.assign(5, constantRate(share));
    settings.callers.push_back([share](double now) { return now < 150 ? share : 100 * share; });
    auto results = Simulation(settings).run();
    CallerResult ordinary;
    for (std::size_t n = 0; n < 5; ++n) {
        const auto &caller = results.callers[n];
        ordinary.fresh += caller.fresh;
        ordinary.answered += caller.answered;
        ordinary.latencies.insert(ordinary.latencies.end(), caller.latencies.begin(), caller.latencies.end());
    }
    const auto &runaway = results.callers[5];
    fmt::print("| {} | {:.1f}% | {:.1f} | {:.0f}% | {:.1f}% |\n", guard.name,
               percent(static_cast<double>(ordinary.answered), static_cast<double>(ordinary.fresh)),
               ordinary.quantile(0.99),
               percent(static_cast<double>(runaway.answered) / (settings.endSeconds - settings.measureFrom),
                       settings.capacity()),
               percent(static_cast<double>(runaway.notRun), static_cast<double>(runaway.fresh)));
}

void printGuardTable()
{
    fmt::print(
        "\n| limits | ordinary callers answered | their p99 ms | runaway answered, of capacity | runaway not-run |\n"
        "|---|---|---|---|---|\n");
    auto settings = seededSettings();
    settings.measureFrom = 150;
    settings.endSeconds = 270;
    const double capacity = settings.capacity();
    const double share = 0.05 * capacity;
    const LimitSettings guard{0, 3, share};
    const std::vector<GuardCase> cases{{"none", {}},
                                       {"fixed limit at 60% of capacity", {0.6 * capacity, 0, 0}},
                                       {"fixed limit at capacity", {capacity, 0, 0}},
                                       {"guard, 10 s windows", guard, seconds(10)},
                                       {"guard, 30 s windows", guard, seconds(30)},
                                       {"guard, 60 s windows", guard, seconds(60)},
                                       {"guard, 60 s windows, fixed limit", {capacity, 3, share}, seconds(60)},
                                       {"guard, 60 s windows, callers not known", guard, seconds(60), false}};
    for (const auto &it : cases) {
        printGuardRow(it, settings, share);
    }
}
}

int main(int argc, char **argv)
{
    if (argc > 1) {
        seed = std::strtoull(argv[1], nullptr, 10);
    }
    printChoiceTable(true, {0.5, 0.8, 0.95, 1.2});
    printChoiceTable(false, {0.8, 1.2});
    printOutageTable();
    printGuardTable();
    return 0;
}

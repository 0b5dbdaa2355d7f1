#include <galenarock/serverchoice.h>

#include <algorithm>

namespace Galenarock
{

namespace
{
/// Assumed service time of a server that has not answered yet.
constexpr double UnknownServiceSeconds = 0.1;
/// Upper bound of the relative random increase of an expected delay, so that nearly equal servers share the requests.
constexpr double DelaySpread = 0.1;
/// A server of another failure domain is chosen only if its expected delay is shorter by this factor.
constexpr double OtherDomainFactor = 1.25;

/// Advances a splitmix64 generator and returns its next number.
std::uint64_t nextRandom(std::uint64_t &state)
{
    state += 0x9e3779b97f4a7c15U;
    std::uint64_t n = state;
    n = (n ^ (n >> 30)) * 0xbf58476d1ce4e5b9U;
    n = (n ^ (n >> 27)) * 0x94d049bb133111ebU;
    return n ^ (n >> 31);
}

bool hasCapacity(const ServerView &view)
{
    return view.eligible && view.inFlight < view.limit;
}

bool hasAdaptiveCapacity(const ServerView &view)
{
    return view.eligible && view.inFlight + 1.0 <= view.adaptiveLimit;
}

using Filter = bool (*)(const ServerView &);

std::size_t countMatches(const std::vector<ServerView> &views, Filter filter)
{
    return static_cast<std::size_t>(std::count_if(views.begin(), views.end(), filter));
}

/// The view at `position` among those that pass the filter; `position` must be below countMatches().
const ServerView &matchAt(const std::vector<ServerView> &views, Filter filter, std::size_t position)
{
    for (const auto &it : views) {
        if (!filter(it)) {
            continue;
        }
        if (position == 0) {
            return it;
        }
        --position;
    }
    return views.front();
}

/// Two different random servers that pass a filter, the same one twice if only one passes, null if none does.
struct Pair
{
    const ServerView *a = nullptr;
    const ServerView *b = nullptr;
};

Pair sampleTwo(const ChoiceInput &input, Filter filter)
{
    const std::size_t n = countMatches(input.servers, filter);
    if (n == 0) {
        return {};
    }
    std::uint64_t state = input.random;
    const std::size_t first = nextRandom(state) % n;
    const std::size_t second = n == 1 ? first : (first + 1 + nextRandom(state) % (n - 1)) % n;
    return {&matchAt(input.servers, filter, first), &matchAt(input.servers, filter, second)};
}

/// Reported load, blended with `fallback` in proportion to the age of the report.
double blendedReport(const ServerView &view, double fallback)
{
    if (view.reportedLoad < 0) {
        return fallback;
    }
    return view.reportWeight * view.reportedLoad + (1 - view.reportWeight) * fallback;
}

/// Mean of both reported loads, weighted by the influence of the reports. Used as fallback, so that a server without a
/// report is neither preferred nor avoided.
double meanReport(const ServerView &a, const ServerView &b)
{
    const double weight = a.reportWeight + b.reportWeight;
    if (weight <= 0) {
        return 0;
    }
    return (a.reportWeight * a.reportedLoad + b.reportWeight * b.reportedLoad) / weight;
}

/// Score of chooseLeastInFlight, lower is better: requests of this daemon relative to the slow-start weight.
double leastInFlightScore(const ServerView &view)
{
    return (view.inFlight + view.penalty + 1) / view.weight;
}

/// Score of choosePowerOfTwo, lower is better.
double powerOfTwoScore(const ServerView &view, double fallback)
{
    const double ownUtilization = (view.inFlight + view.penalty + 1) / view.limit;
    return (ownUtilization + blendedReport(view, fallback)) / view.weight;
}

/// Score of chooseAdaptive, lower is better.
double adaptiveScore(const ServerView &view)
{
    return (view.inFlight + view.penalty + 1) / view.adaptiveLimit / view.weight;
}
}

ServerIndex chooseRandom(const ChoiceInput &input)
{
    const auto pair = sampleTwo(input, hasCapacity);
    return pair.a ? pair.a->server : noServer;
}

ServerIndex chooseLeastInFlight(const ChoiceInput &input)
{
    // A random start position distributes ties; otherwise all daemons would choose the first of the tied servers.
    const std::size_t n = input.servers.size();
    std::uint64_t state = input.random;
    const std::size_t start = n == 0 ? 0 : nextRandom(state) % n;
    const ServerView *best = nullptr;
    for (std::size_t i = 0; i < n; ++i) {
        const auto &it = input.servers[(start + i) % n];
        if (!hasCapacity(it)) {
            continue;
        }
        if (!best || leastInFlightScore(it) < leastInFlightScore(*best)) {
            best = &it;
        }
    }
    return best ? best->server : noServer;
}

ServerIndex choosePowerOfTwo(const ChoiceInput &input)
{
    const auto pair = sampleTwo(input, hasCapacity);
    if (!pair.a) {
        return noServer;
    }
    const double fallback = meanReport(*pair.a, *pair.b);
    return powerOfTwoScore(*pair.b, fallback) < powerOfTwoScore(*pair.a, fallback) ? pair.b->server : pair.a->server;
}

ServerIndex chooseAdaptive(const ChoiceInput &input)
{
    const auto pair = sampleTwo(input, hasAdaptiveCapacity);
    if (!pair.a) {
        return noServer;
    }
    return adaptiveScore(*pair.b) < adaptiveScore(*pair.a) ? pair.b->server : pair.a->server;
}

double expectedDelaySeconds(const ServerView &view)
{
    const double service = view.serviceSeconds == 0 ? UnknownServiceSeconds : view.serviceSeconds;
    const double rounds = std::max(1.0, (view.outstanding + 1) / view.slots);
    return service * view.workFactor * (rounds + view.penalty) / view.weight;
}

ServerIndex chooseShortestExpectedDelay(const ChoiceInput &input)
{
    std::uint64_t state = input.random;
    const ServerView *best = nullptr;
    double bestSeconds = 0;
    const bool isLocalSufficient = std::any_of(input.servers.begin(), input.servers.end(), [&](const ServerView &it) {
        return it.eligible && it.isLocal && expectedDelaySeconds(it) <= input.targetDelaySeconds;
    });
    for (const auto &it : input.servers) {
        if (!it.eligible || (isLocalSufficient && !it.isLocal)) {
            continue;
        }
        // Without the random factor, daemons with the same reports would choose the same server at the same time.
        const double spread = 1 + DelaySpread * static_cast<double>(nextRandom(state) >> 11) * 0x1p-53;
        const double seconds = expectedDelaySeconds(it) * spread * (it.isLocal ? 1 : OtherDomainFactor);
        if (!best || seconds < bestSeconds) {
            best = &it;
            bestSeconds = seconds;
        }
    }
    return best ? best->server : noServer;
}

ServerChoicePolicy defaultServerChoice()
{
    return chooseLeastInFlight;
}

namespace
{
/// A paced server with this many requests per slot at it gets no further one.
constexpr double MaxPacedLoad = 2;

/// Number from 0 to 1, 1 excluded.
double uniform(std::uint64_t &state)
{
    return static_cast<double>(nextRandom(state) >> 11) * 0x1p-53;
}

/// Gives each server with a pace below 1 that part of an even share, whatever its expected delay is, and leaves the
/// other requests to the policy and the other servers. A policy that compares delays would send such a server either
/// nothing or, from all daemons at the same time, everything.
ServerIndex choosePaced(const ServerChoicePolicy &policy, const ChoiceInput &input)
{
    std::size_t eligible = 0;
    std::size_t paced = 0;
    for (const auto &it : input.servers) {
        eligible += it.eligible ? 1 : 0;
        paced += it.eligible && it.pace < 1 ? 1 : 0;
    }
    // When most servers are paced, as at the start of a daemon, the others could not run the requests.
    if (paced == 0 || 2 * paced > eligible) {
        return policy(input);
    }
    // Not the numbers that the policy derives from `random`, so that its choice does not depend on this one.
    std::uint64_t state = ~input.random;
    double position = uniform(state) * static_cast<double>(eligible);
    auto others = input.servers;
    for (auto &it : others) {
        if (!it.eligible || it.pace >= 1) {
            continue;
        }
        if (position >= 0 && position < it.pace && it.outstanding < MaxPacedLoad * it.slots && it.inFlight < it.limit) {
            return it.server;
        }
        position -= it.pace;
        it.eligible = false;
    }
    const auto chosen = policy({others, input.random, input.targetDelaySeconds});
    return chosen == noServer ? policy(input) : chosen;
}
}

ServerIndex chooseServer(const ServerChoicePolicy &policy, const std::vector<ServerView> &views,
                         const std::vector<ServerIndex> &avoid, std::uint64_t random, double targetDelaySeconds)
{
    if (!avoid.empty()) {
        auto untried = views;
        for (auto &it : untried) {
            it.eligible = it.eligible && std::find(avoid.begin(), avoid.end(), it.server) == avoid.end();
        }
        const auto chosen = choosePaced(policy, {untried, random, targetDelaySeconds});
        if (chosen != noServer) {
            return chosen;
        }
    }
    return choosePaced(policy, {views, random, targetDelaySeconds});
}

}

#include <galenarock/serverchoice.h>

#include <algorithm>

namespace Galenarock
{

namespace
{
/// Service time of a server that has not answered yet, in seconds.
constexpr double UnknownServiceSeconds = 0.1;
/// Expected times that differ by less than this share count as equal.
constexpr double ChoiceSpread = 0.1;
/// A server of another failure domain must be faster by this factor.
constexpr double OtherDomainFactor = 1.25;

/// Next number of the splitmix64 generator.
std::uint64_t nextRandom(std::uint64_t &state)
{
    state += 0x9e3779b97f4a7c15U;
    std::uint64_t n = state;
    n = (n ^ (n >> 30)) * 0xbf58476d1ce4e5b9U;
    n = (n ^ (n >> 27)) * 0x94d049bb133111ebU;
    return n ^ (n >> 31);
}

bool fits(const ServerView &view)
{
    return view.eligible && view.inFlight < view.limit;
}

bool fitsAdaptive(const ServerView &view)
{
    return view.eligible && view.inFlight + 1.0 <= view.adaptiveLimit;
}

using Filter = bool (*)(const ServerView &);

std::size_t countMatches(const std::vector<ServerView> &views, Filter filter)
{
    return static_cast<std::size_t>(std::count_if(views.begin(), views.end(), filter));
}

/// The match at `position` among those that pass the filter; `position` is below countMatches().
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

/// Two different random matches, or the same one twice when there is only one.
struct Pair
{
    const ServerView *a = nullptr;
    const ServerView *b = nullptr;
};

Pair drawTwo(const ChoiceInput &input, Filter filter)
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

/// Reported load, moved towards `fallback` as the report ages.
double agedReport(const ServerView &view, double fallback)
{
    if (view.reportedLoad < 0) {
        return fallback;
    }
    return view.reportWeight * view.reportedLoad + (1 - view.reportWeight) * fallback;
}

/// Weighted mean of the reports of both; a server without a report is neither preferred nor avoided for that.
double meanReport(const ServerView &a, const ServerView &b)
{
    const double weight = a.reportWeight + b.reportWeight;
    if (weight <= 0) {
        return 0;
    }
    return (a.reportWeight * a.reportedLoad + b.reportWeight * b.reportedLoad) / weight;
}

/// Requests of this daemon per unit of warmth; least in flight compares this.
double ownLoad(const ServerView &view)
{
    return (view.inFlight + view.penalty + 1) / view.weight;
}

double score(const ServerView &view, double fallback)
{
    const double own = (view.inFlight + view.penalty + 1) / view.limit;
    return (own + agedReport(view, fallback)) / view.weight;
}

double adaptiveScore(const ServerView &view)
{
    return (view.inFlight + view.penalty + 1) / view.adaptiveLimit / view.weight;
}
}

ServerIndex chooseRandom(const ChoiceInput &input)
{
    const auto pair = drawTwo(input, fits);
    return pair.a ? pair.a->server : noServer;
}

ServerIndex chooseLeastInFlight(const ChoiceInput &input)
{
    // Starting at a random position spreads ties; always the first would overload it from all daemons.
    const std::size_t n = input.servers.size();
    std::uint64_t state = input.random;
    const std::size_t start = n == 0 ? 0 : nextRandom(state) % n;
    const ServerView *best = nullptr;
    for (std::size_t i = 0; i < n; ++i) {
        const auto &it = input.servers[(start + i) % n];
        if (!fits(it)) {
            continue;
        }
        if (!best || ownLoad(it) < ownLoad(*best)) {
            best = &it;
        }
    }
    return best ? best->server : noServer;
}

ServerIndex choosePowerOfTwo(const ChoiceInput &input)
{
    const auto pair = drawTwo(input, fits);
    if (!pair.a) {
        return noServer;
    }
    const double fallback = meanReport(*pair.a, *pair.b);
    return score(*pair.b, fallback) < score(*pair.a, fallback) ? pair.b->server : pair.a->server;
}

ServerIndex chooseAdaptive(const ChoiceInput &input)
{
    const auto pair = drawTwo(input, fitsAdaptive);
    if (!pair.a) {
        return noServer;
    }
    return adaptiveScore(*pair.b) < adaptiveScore(*pair.a) ? pair.b->server : pair.a->server;
}

double expectedDelaySeconds(const ServerView &view)
{
    const double service = view.serviceSeconds == 0 ? UnknownServiceSeconds : view.serviceSeconds;
    const double rounds = std::max(1.0, (view.outstanding + 1) / view.slots);
    return service * (rounds + view.penalty) / view.weight;
}

ServerIndex chooseShortestExpectedDelay(const ChoiceInput &input)
{
    std::uint64_t state = input.random;
    const ServerView *best = nullptr;
    double bestSeconds = 0;
    const bool hasGoodLocal = std::any_of(input.servers.begin(), input.servers.end(), [&](const ServerView &it) {
        return it.eligible && it.isLocal && expectedDelaySeconds(it) <= input.targetDelaySeconds;
    });
    for (const auto &it : input.servers) {
        if (!it.eligible || (hasGoodLocal && !it.isLocal)) {
            continue;
        }
        // Daemons with the same reports would otherwise choose the same server at the same time.
        const double spread = 1 + ChoiceSpread * static_cast<double>(nextRandom(state) >> 11) * 0x1p-53;
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

ServerIndex chooseServer(const ServerChoicePolicy &policy, const std::vector<ServerView> &views,
                         const std::vector<ServerIndex> &avoid, std::uint64_t random, double targetDelaySeconds)
{
    if (!avoid.empty()) {
        auto others = views;
        for (auto &it : others) {
            it.eligible = it.eligible && std::find(avoid.begin(), avoid.end(), it.server) == avoid.end();
        }
        const auto chosen = policy({others, random, targetDelaySeconds});
        if (chosen != noServer) {
            return chosen;
        }
    }
    return policy({views, random, targetDelaySeconds});
}

}

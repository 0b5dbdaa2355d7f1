/// Spreads a group of neighbouring keys that becomes hot over the servers of a keyed service, and prints how long the
/// steps take. Runs the lease controller without a network.
#include <iostream>

#include <boost/program_options.hpp>

#include "leases/tests/hotkeyworld_p.h"

using namespace Galenarock;

namespace
{
namespace po = boost::program_options;

void print(const std::string &name, const HotKeyResult &it)
{
    fmt::print("{:9} spread {:6.2f} last {:5.2f} busiest/mean", name, it.spreadSeconds, it.lastGrantSeconds);
    for (const double busiest : it.busiestAt) {
        fmt::print(" {:5.2f}", busiest);
    }
    fmt::print(
        " later {:4.2f} worst {:4.2f} | moves {:3} + {:3}, positions {:5} + {:5} + {:5}, ranges {:4} | refused "
        "{:4.1f}%, first 3 s {:4.1f}% | plan {:4.2f} record {:4.2f} release {:4.2f} (max {:4.2f}) grant {:4.2f}\n",
        it.busiestLater, it.busiestWorstLater, it.movesHot, it.movesAfter, it.movedBefore, it.movedHot, it.movedAfter,
        it.ranges, 100 * it.refusedShareHot, 100 * it.refusedShareFirst, it.firstPlanSeconds, it.recordSeconds,
        it.releaseSeconds, it.longestReleaseSeconds, it.grantSeconds);
}
}

int main(int argc, char **argv)
{
    HotKeyLoad load;
    std::uint64_t seeds = 4;
    po::options_description options;
    auto add = options.add_options();
    add("seeds", po::value(&seeds));
    add("hot-keys", po::value(&load.hotKeys));
    add("hot-share", po::value(&load.hotShare));
    add("hot-skew", po::value(&load.hotSkew));
    add("calls", po::value(&load.callsPerSecond));
    add("rate", po::value(&load.requestsPerSecond));
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, options), values);
    po::notify(values);
    for (load.seed = 1; load.seed <= seeds; ++load.seed) {
        print(fmt::format("seed {}", load.seed), HotKeyWorld(load).run());
    }
    return 0;
}

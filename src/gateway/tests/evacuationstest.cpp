#include <gtest/gtest.h>

#include "gateway/evacuations_p.h"

using namespace Galenarock;

namespace
{
constexpr Duration Bound = seconds(5);
using Names = std::vector<std::string>;

Instant at(int ms)
{
    return Instant(seconds(100) + milliseconds(ms));
}

std::vector<LeaseServer> serversOf(const Names &domains)
{
    std::vector<LeaseServer> servers;
    for (const auto &it : domains) {
        servers.push_back({{"s-" + std::to_string(servers.size()), 1}, "10.0.0.1:80", it, 2, false});
    }
    return servers;
}

/// Evacuations of a daemon that has read the kind and found none.
Evacuations knownEvacuations()
{
    Evacuations evacuations(Bound);
    evacuations.synced();
    return evacuations;
}
}

// Guards against ranges that are still routed to the domain at the bound, and against ranges that are cut off before
// they had the time to move.
TEST(EvacuationsTest, DomainIsClosedBeforeTheBound)
{
    auto evacuations = knownEvacuations();
    EXPECT_TRUE(evacuations.begin(at(0), "rioja"));
    EXPECT_TRUE(evacuations.isEvacuated("rioja"));
    EXPECT_FALSE(evacuations.update(at(2'500)));
    EXPECT_EQ(evacuations.closedDomains(), Names());
    EXPECT_TRUE(evacuations.update(at(4'000)));
    EXPECT_EQ(evacuations.closedDomains(), Names{"rioja"});
    EXPECT_FALSE(evacuations.update(at(4'050))) << "a change of the routes on each tick";
}

// The store passes an object on again when it is listed anew. Guards against a bound that starts again.
TEST(EvacuationsTest, RepeatedObjectDoesNotExtendTheBound)
{
    auto evacuations = knownEvacuations();
    evacuations.begin(at(0), "rioja");
    EXPECT_FALSE(evacuations.begin(at(2'000), "rioja"));
    EXPECT_TRUE(evacuations.update(at(4'000)));
}

// Guards against the second domain's evacuation that replaces the first one, or ends with it.
TEST(EvacuationsTest, TwoDomainsAreEvacuatedIndependently)
{
    auto evacuations = knownEvacuations();
    evacuations.begin(at(0), "rioja");
    evacuations.begin(at(2'000), "navarra");
    evacuations.update(at(4'000));
    EXPECT_EQ(evacuations.domains(), (Names{"navarra", "rioja"}));
    EXPECT_EQ(evacuations.closedDomains(), Names{"rioja"});
    EXPECT_TRUE(evacuations.end("rioja"));
    EXPECT_FALSE(evacuations.end("rioja"));
    EXPECT_EQ(evacuations.domains(), Names{"navarra"});
    EXPECT_EQ(evacuations.closedDomains(), Names());
}

// Guards against a daemon that starts during an evacuation and sends requests to the domain, since it takes the
// evacuation for one that has just begun.
TEST(EvacuationsTest, DomainFoundAtTheStartIsClosedAtOnce)
{
    Evacuations evacuations(Bound);
    EXPECT_FALSE(evacuations.isKnown());
    evacuations.begin(at(0), "rioja");
    EXPECT_FALSE(evacuations.isKnown());
    EXPECT_TRUE(evacuations.synced());
    EXPECT_TRUE(evacuations.isKnown());
    EXPECT_EQ(evacuations.closedDomains(), Names{"rioja"});
    EXPECT_FALSE(evacuations.synced());
}

// Guards against a deployment without evacuations that waits for a kind which it does not watch.
TEST(EvacuationsTest, NothingIsAwaitedWhenOff)
{
    const Evacuations evacuations(Duration::zero());
    EXPECT_FALSE(evacuations.isOn());
    EXPECT_TRUE(evacuations.isKnown());
}

// Guards against ranges for a server of an evacuated domain, and against more time for a server that leaves anyway.
TEST(EvacuationsTest, ServersOfTheDomainAreMarked)
{
    auto evacuations = knownEvacuations();
    evacuations.begin(at(0), "rioja");
    auto servers = serversOf({"rioja", "navarra", "rioja"});
    servers[2].leaving = true;
    const auto marked = evacuations.mark(servers);
    EXPECT_TRUE(marked[0].evacuated && marked[0].leaving);
    EXPECT_EQ(marked[1], servers[1]);
    EXPECT_EQ(marked[2], servers[2]);
}

// Guards against ranges that are released although no server may take them.
TEST(EvacuationsTest, ServersOfTheLastDomainDoNotLeave)
{
    auto evacuations = knownEvacuations();
    evacuations.begin(at(0), "rioja");
    evacuations.begin(at(0), "navarra");
    for (const auto &it : evacuations.mark(serversOf({"rioja", "navarra"}))) {
        EXPECT_TRUE(it.evacuated);
        EXPECT_FALSE(it.leaving);
    }
}

#include <gtest/gtest.h>

#include <algorithm>

#include "gateway/serviceroutes_p.h"

using namespace Galenarock;

namespace
{
Instant at(int ms)
{
    return Instant(seconds(100) + milliseconds(ms));
}

ServerEntry entry(const std::string &service, int number, bool isDraining = false,
                  const std::string &failureDomain = "rioja")
{
    const auto name = service + "-" + std::to_string(number);
    return {{name, 5}, service, "10.0.0.1:80", failureDomain, 4, isDraining, 0};
}

std::shared_ptr<const RouteTable> routesOf(std::uint32_t connections)
{
    RouteConfiguration configuration;
    configuration.services = {{"orders", "", connections, false}, {"shop", "", 10, true}};
    return std::make_shared<const RouteTable>(configuration);
}

/// A table of two slices of which the first server owns the first.
Assignment tableOf(const std::string &service, std::uint64_t version, int secondOwner)
{
    Assignment table;
    table.service = service;
    table.epoch = 1;
    table.nextSequence = version;
    table.servers = {entry(service, 0).identity, entry(service, secondOwner).identity};
    table.slices = {{{0, 99}, 0, 1, {}}, {{100, ~KeyHash(0)}, 1, version - 1, {}}};
    return table;
}

class ServiceRoutesTest : public testing::Test
{
protected:
    ServiceRoutesTest()
    {
        for (int n = 0; n < 20; ++n) {
            servers.put(at(0), entry("orders", n));
            servers.put(at(0), entry("shop", n));
        }
        routes.setConfiguration(routesOf(10));
        routes.setTable(tableOf("shop", 2, 1));
        routes.build(at(0), servers);
    }

    ServerDirectory servers;
    ServiceRoutes routes{10};
};
}

// Guards against a whole snapshot for each change of a lease table: it took a quarter of a daemon's processor time in a
// fleet of 195 VMs with 540 servers.
TEST_F(ServiceRoutesTest, OnlyTheServiceThatChangedIsBuiltAgain)
{
    const auto before = routes.build(at(0), servers);
    const auto built = routes.builtRoutes();
    EXPECT_EQ(built, 2U);
    routes.setTable(tableOf("shop", 3, 2));
    const auto after = routes.build(at(10), servers);
    EXPECT_EQ(routes.builtRoutes(), built + 1);
    EXPECT_EQ(after->find("orders"), before->find("orders"));
    EXPECT_EQ(after->find("shop")->servers()[1].identity.name, "shop-2");
    servers.put(at(20), entry("orders", 3, true));
    const auto drained = routes.build(at(20), servers);
    EXPECT_EQ(routes.builtRoutes(), built + 2);
    EXPECT_EQ(drained->find("shop"), after->find("shop"));
    EXPECT_FALSE(drained->find("orders")->servers()[13].acceptsWork()); // sorted by name: orders-3 is the 14th
}

// Guards against workers that set up all servers of a service again when only the owners of its slices have changed.
TEST_F(ServiceRoutesTest, UnchangedServersAreShared)
{
    const auto before = routes.build(at(0), servers);
    auto moved = tableOf("shop", 3, 1);
    moved.slices[0].owner = 1;
    moved.slices[1].owner = 0;
    routes.setTable(moved);
    const auto after = routes.build(at(10), servers);
    EXPECT_NE(after->find("shop"), before->find("shop"));
    EXPECT_TRUE(after->find("shop")->sharesServers(*before->find("shop")));
    EXPECT_EQ(after->find("shop")->owner(0).server, 1);
}

// Guards against a route that is kept although the operator has changed its service, and against one built for nothing.
TEST_F(ServiceRoutesTest, ConfigurationBuildsOnlyWhatItChanges)
{
    const auto built = routes.builtRoutes();
    routes.setConfiguration(routesOf(10));
    routes.build(at(0), servers);
    EXPECT_EQ(routes.builtRoutes(), built);
    routes.setConfiguration(routesOf(20));
    const auto snapshot = routes.build(at(0), servers);
    EXPECT_EQ(routes.builtRoutes(), built + 1);
    EXPECT_EQ(snapshot->find("orders")->document().pool.connections, 20U);
    EXPECT_EQ(snapshot->find("orders")->document().pool.slots, 4U);
}

// Guards against requests to a server past its handover time: the end of the time is a change of its service.
TEST_F(ServiceRoutesTest, EndOfAHandoverIsAChange)
{
    servers.put(at(0), entry("shop", 1, true));
    routes.build(at(0), servers);
    const auto built = routes.builtRoutes();
    EXPECT_TRUE(servers.update(at(5'000), true));
    const auto snapshot = routes.build(at(5'000), servers);
    EXPECT_EQ(routes.builtRoutes(), built + 1);
    EXPECT_TRUE(snapshot->find("shop")->servers()[1].address.empty());
}

// Guards against a service whose table arrives before the configuration that names it, or that returns later.
TEST_F(ServiceRoutesTest, TableOfAnUnknownServiceIsKept)
{
    ServiceRoutes early(10);
    early.setTable(tableOf("shop", 2, 1));
    early.setConfiguration(routesOf(10));
    EXPECT_EQ(early.build(at(0), servers)->find("shop")->sliceCount(), 2U);
    early.setConfiguration(std::make_shared<const RouteTable>(RouteConfiguration()));
    EXPECT_EQ(early.build(at(0), servers)->find("shop"), nullptr);
    early.setConfiguration(routesOf(10));
    EXPECT_EQ(early.build(at(0), servers)->find("shop")->sliceCount(), 2U);
}

namespace
{
std::size_t usableServers(const RoutingSnapshot &snapshot, std::string_view service)
{
    const auto &servers = snapshot.find(service)->servers();
    return static_cast<std::size_t>(
        std::count_if(servers.begin(), servers.end(), [](const RoutedServer &it) { return it.acceptsWork(); }));
}
}

// Guards against requests to an evacuated domain: of a balanced service at once, of a keyed one from the closing on.
// Until then its ranges are served where they are.
TEST_F(ServiceRoutesTest, ServersOfAnEvacuatedDomainGetNoRequests)
{
    servers.put(at(0), entry("orders", 3, false, "navarra"));
    servers.put(at(0), entry("shop", 1, false, "navarra"));
    routes.setEvacuations({"navarra"}, {});
    auto snapshot = routes.build(at(0), servers);
    EXPECT_EQ(usableServers(*snapshot, "orders"), 19U);
    EXPECT_EQ(snapshot->find("shop")->owner(100, at(0)).reason, Reason::None);
    routes.setEvacuations({"navarra"}, {"navarra"});
    snapshot = routes.build(at(3'000), servers);
    EXPECT_EQ(snapshot->find("shop")->owner(100, at(3'000)).reason, Reason::OwnerUnavailable);
    EXPECT_EQ(snapshot->find("shop")->owner(99, at(3'000)).reason, Reason::None);
    EXPECT_FALSE(snapshot->find("shop")->isEvacuated());
    routes.setEvacuations({}, {});
    snapshot = routes.build(at(9'000), servers);
    EXPECT_EQ(usableServers(*snapshot, "orders"), 20U);
    EXPECT_EQ(snapshot->find("shop")->owner(100, at(9'000)).reason, Reason::None);
}

// Guards against requests of a keyed service that wait for a move which cannot happen, since no other domain is left.
// A server that leaves is none to which keys could move.
TEST_F(ServiceRoutesTest, ServiceWithoutAnyOtherServerIsClosedAtOnce)
{
    servers.put(at(0), entry("orders", 3, true, "navarra"));
    servers.put(at(0), entry("shop", 3, true, "navarra"));
    routes.setEvacuations({"rioja"}, {});
    const auto snapshot = routes.build(at(0), servers);
    EXPECT_TRUE(snapshot->find("orders")->isEvacuated());
    EXPECT_EQ(usableServers(*snapshot, "orders"), 0U);
    EXPECT_EQ(snapshot->find("shop")->owner(99, at(0)).reason, Reason::Evacuated);
    EXPECT_EQ(snapshot->find("shop")->owner(100, at(0)).reason, Reason::Evacuated);
}

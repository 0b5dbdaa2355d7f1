#include <gtest/gtest.h>

#include <algorithm>

#include "gateway/explanation_p.h"

using namespace Galenarock;
using nlohmann::json;

namespace
{
Instant at(int ms)
{
    return Instant(seconds(100) + milliseconds(ms));
}

VmEntry backend(const std::string &name, const std::string &service, const std::string &failureDomain,
                VmState state = VmState::Live)
{
    VmEntry entry;
    entry.name = name;
    entry.role = VmRole::Backend;
    entry.service = service;
    entry.failureDomain = failureDomain;
    entry.address = "127.0.0.1:80";
    entry.state = state;
    entry.boot = 7;
    entry.slots = 2;
    return entry;
}

std::shared_ptr<const RouteTable> routeTable()
{
    RouteConfiguration configuration;
    configuration.version = 12;
    RouteRule orders;
    orders.name = "orders-route";
    orders.host = "shop.example";
    orders.prefix = "/orders/";
    orders.destinations = {{"orders", 3}, {"orders-next", 1}};
    orders.repeatability = Repeatability::Idempotent;
    orders.priority = 2;
    auto carts = orders;
    carts.name = "carts-route";
    carts.prefix = "/carts/";
    carts.destinations = {{"carts", 1}};
    configuration.routes = {orders, carts};
    configuration.services = {{"orders", "", 10, false}, {"orders-next", "", 10, false}, {"carts", "", 10, true}};
    return std::make_shared<const RouteTable>(configuration);
}

/// A split between two balanced services, and a keyed service whose second range has no owner.
class ExplanationTest : public testing::Test
{
protected:
    ExplanationTest()
    {
        for (const auto *it : {"orders", "orders-next", "carts"}) {
            ServiceDocument document;
            document.service = it;
            document.distribution = document.service == "carts" ? Distribution::Keyed : Distribution::Balanced;
            routing.documents.push_back(document);
        }
        Assignment table;
        table.service = "carts";
        table.epoch = 4;
        table.nextSequence = 10;
        table.servers = {{"carts-0", 7}, {"carts-1", 7}, {"carts-2", 6}};
        table.slices = {
            {{0, 99}, 0, 5, {}}, {{100, 199}, noServer, 6, {}}, {{200, 299}, 1, 7, {}}, {{300, ~KeyHash(0)}, 2, 8, {}}};
        routing.assignments = {table};
        routing.vms.vms = {backend("orders-0", "orders", "rioja"), backend("orders-1", "orders", "alava"),
                           backend("orders-next-0", "orders-next", "rioja"), backend("carts-0", "carts", "rioja"),
                           backend("carts-1", "carts", "alava")};
        routing.routes = routeTable();
        input.now = at(0);
        input.localDomain = "rioja";
        input.condition = [this](const Identity &server, std::uint32_t priority) {
            EXPECT_EQ(priority, 2U); // that of the route
            return conditions[server.name];
        };
    }

    json explainPath(const std::string &path, std::optional<KeyHash> position = {})
    {
        input.snapshot = RoutingSnapshot::build(routing, at(0));
        state.snapshotChanged(at(-1'500), input.snapshot);
        input.times = state.times();
        ExplainedRequest request{"GET", "shop.example", path, position ? "k" : "", position};
        return explain(request, input);
    }
    json explainOrders()
    {
        return explainPath("/orders/7")["services"][0];
    }
    json explainCart(KeyHash position)
    {
        return explainPath("/carts/7", position)["services"][0];
    }

    RoutingInput routing;
    ExplanationInput input;
    ExplanationState state;
    std::map<std::string, ServerCondition> conditions;
};

bool mentions(const json &list, const std::string &text)
{
    return std::any_of(list.begin(), list.end(),
                       [&](const json &it) { return it.get<std::string>().find(text) != std::string::npos; });
}

const json &candidate(const json &service, const std::string &name)
{
    for (const auto &it : service["candidates"]) {
        if (it["server"].get<std::string>().find(name) == 0) {
            return it;
        }
    }
    static const json none;
    return none;
}
}

// Guards against an explanation that names one service of a split only, or shares that do not follow the weights.
TEST_F(ExplanationTest, SplitNamesEachServiceWithItsShare)
{
    const auto explanation = explainPath("/orders/7?x=1");
    EXPECT_EQ(explanation["configurationVersion"], 12);
    EXPECT_EQ(explanation["route"]["name"], "orders-route");
    ASSERT_EQ(explanation["services"].size(), 2U);
    EXPECT_EQ(explanation["services"][0]["service"], "orders");
    EXPECT_EQ(explanation["services"][0]["sharePercent"], 75.0);
    EXPECT_EQ(explanation["services"][0]["outcome"]["decision"], "sent");
    EXPECT_EQ(explanation["services"][1]["weight"], 1.0);
    EXPECT_EQ(explanation["services"][1]["openServers"], 1);
    EXPECT_TRUE(mentions(explanation["notIncluded"], "observations of the workers are not included"));
    EXPECT_TRUE(mentions(candidate(explanation["services"][0], "orders-0")["for"], "this VM's failure domain"));
}

// Guards against another answer for an unknown host or path than callers get.
TEST_F(ExplanationTest, UnknownHostIsRefusedWith404)
{
    explainPath("/orders/7");
    const auto explanation = explain({"GET", "other.example", "/orders/7", "", {}}, input);
    EXPECT_EQ(explanation["outcome"]["status"], 404);
    EXPECT_EQ(explanation["outcome"]["reason"], "unknown-service");
    EXPECT_FALSE(explanation.contains("services"));
    EXPECT_EQ(explainPath("/other/")["outcome"]["status"], 404);
}

// Guards against a crash, or a wrong status, of a daemon that has no configuration yet.
TEST_F(ExplanationTest, WithoutConfigurationItIsRefusedWith503)
{
    const auto explanation = explain({"GET", "shop.example", "/orders/7", "", {}}, input);
    EXPECT_EQ(explanation["outcome"]["status"], 503);
    EXPECT_EQ(explanation["outcome"]["reason"], "no-configuration");
    EXPECT_TRUE(explanation["inputs"][0]["ageMs"].is_null());
}

// Guards against an owner without the token and the age by which an operator tells which lease table is in use.
TEST_F(ExplanationTest, OwnerIsNamedWithTokenAndAgeOfTheTable)
{
    const auto service = explainCart(99);
    EXPECT_EQ(service["owner"]["server"], toString(Identity{"carts-0", 7}));
    EXPECT_EQ(service["token"], toString(Token{4, 5}));
    EXPECT_EQ(service["tableKnownForMs"], 1'500);
    EXPECT_EQ(service["outcome"]["decision"], "sent");
    EXPECT_FALSE(service["outcome"].contains("status"));
}

// Guards against a key without an owner whose explanation does not say which of the causes it is: the range has no
// owner, its owner's process is not registered, or there is no table.
TEST_F(ExplanationTest, KeyWithoutOwnerStatesWhy)
{
    const auto unowned = explainCart(100);
    EXPECT_TRUE(unowned["owner"].is_null());
    EXPECT_FALSE(unowned.contains("token"));
    EXPECT_EQ(unowned["outcome"]["status"], 503);
    EXPECT_EQ(unowned["outcome"]["reason"], "owner-unavailable");
    EXPECT_EQ(unowned["outcome"]["mayWaitForOwner"], true);
    const auto gone = explainCart(300);
    EXPECT_EQ(gone["owner"]["state"], "unregistered");
    EXPECT_EQ(gone["owner"]["open"], false);
    EXPECT_EQ(gone["outcome"]["reason"], "owner-unavailable");
    routing.assignments.clear();
    const auto without = explainCart(100);
    EXPECT_EQ(without["outcome"]["reason"], "no-assignment");
    EXPECT_FALSE(without.contains("token"));
}

// Guards against a keyed service that is explained without a key, which callers get refused with 400.
TEST_F(ExplanationTest, MissingKeyIsRefusedWith400)
{
    const auto service = explainPath("/carts/7")["services"][0];
    EXPECT_EQ(service["outcome"]["status"], 400);
    EXPECT_EQ(service["outcome"]["reason"], "missing-key");
    EXPECT_FALSE(service.contains("owner"));
}

// Guards against a draining owner that is shown as unusable while its keys are moved, or as usable afterwards.
TEST_F(ExplanationTest, DrainingOwnerTakesRequestsDuringTheHandover)
{
    routing.vms.vms[3].state = VmState::Leaving;
    EXPECT_EQ(explainCart(0)["outcome"]["decision"], "sent");
    input.now = at(0) + drainHandoverPeriod;
    const auto service = explainCart(0);
    EXPECT_EQ(service["outcome"]["reason"], "owner-unavailable");
    EXPECT_EQ(service["owner"]["state"], "draining");
}

// Guards against a full service whose explanation shows servers that would take the request. As on the request path,
// the last server that is left out names the reason.
TEST_F(ExplanationTest, FullServiceIsRefusedWithTheTimeOfTheFirstFreeServer)
{
    conditions["orders-0"].pausedUntil = at(400);
    EXPECT_EQ(explainOrders()["outcome"]["decision"], "sent");
    conditions["orders-1"].refusedUntil = at(250);
    conditions["orders-1"].perSecond = 5;
    const auto service = explainOrders();
    EXPECT_EQ(service["openServers"], 0);
    EXPECT_EQ(service["outcome"]["status"], 503);
    EXPECT_EQ(service["outcome"]["reason"], "server-rate");
    EXPECT_EQ(service["outcome"]["freeInMs"], 250);
    EXPECT_EQ(candidate(service, "orders-0")["pausedMs"], 400);
    EXPECT_EQ(candidate(service, "orders-1")["rateUsedUpMs"], 250);
    EXPECT_TRUE(mentions(candidate(service, "orders-1")["against"], "states a limit of 5.0 requests/s"));
    input.now = at(300); // the rate is free again
    EXPECT_EQ(explainOrders()["outcome"]["decision"], "sent");
}

// Guards against an owner that pauses and is explained as if it took the request.
TEST_F(ExplanationTest, PausedOwnerRefuses)
{
    conditions["carts-0"].pausedUntil = at(700);
    const auto service = explainCart(0);
    EXPECT_EQ(service["outcome"]["reason"], "server-paused");
    EXPECT_EQ(service["outcome"]["freeInMs"], 700);
    EXPECT_EQ(service["owner"]["open"], false);
}

// Guards against cold servers without the bound on their requests, and against a server that is shown as open while the
// requests under way at its start may still arrive.
TEST_F(ExplanationTest, ColdServerShowsItsRemainingTime)
{
    conditions["orders-0"] = {{}, {}, 3.5, at(-10), at(2'000)};
    conditions["orders-1"] = {{}, {}, 3.5, at(600), at(2'500)};
    const auto service = explainOrders();
    EXPECT_EQ(candidate(service, "orders-0")["coldMs"], 2'000);
    EXPECT_EQ(candidate(service, "orders-0")["open"], true);
    EXPECT_EQ(candidate(service, "orders-1")["open"], false);
    EXPECT_EQ(candidate(service, "orders-1")["coldClosedMs"], 600);
    EXPECT_EQ(service["openServers"], 1);
}

// Guards against an evacuated failure domain that is not named as the reason.
TEST_F(ExplanationTest, EvacuatedDomainIsNamed)
{
    input.evacuatedDomains = {"alava"};
    EXPECT_EQ(explainCart(200)["outcome"]["decision"], "sent"); // its range is still being moved
    EXPECT_TRUE(mentions(explainCart(200)["owner"]["against"], "alava is evacuated; its ranges are being moved"));
    routing.closedDomains = {"alava"};
    const auto service = explainOrders();
    EXPECT_EQ(service["openServers"], 1);
    EXPECT_TRUE(mentions(candidate(service, "orders-1")["against"], "failure domain alava is evacuated"));
    EXPECT_EQ(explainCart(200)["outcome"]["reason"], "owner-unavailable");
    routing.closedDomains = {"alava", "rioja"};
    const auto refused = explainOrders();
    EXPECT_EQ(refused["outcome"]["status"], 503);
    EXPECT_EQ(refused["outcome"]["reason"], "evacuated");
    EXPECT_EQ(explainCart(0)["outcome"]["reason"], "evacuated");
}

// Guards against an answer that grows with the fleet.
TEST_F(ExplanationTest, AtMostSixtyFourServersAreListed)
{
    for (int n = 0; n < 200; ++n) {
        routing.vms.vms.push_back(backend("orders-x" + std::to_string(n), "orders", "rioja", VmState::Leaving));
    }
    const auto explanation = explainPath("/orders/7");
    std::size_t listed = 0;
    for (const auto &it : explanation["services"]) {
        listed += it["candidates"].size();
        EXPECT_EQ(it["candidates"].size() + it["omittedCandidates"].get<std::size_t>(),
                  it["servers"].get<std::size_t>());
    }
    EXPECT_LE(listed, MaxExplainedServers);
    EXPECT_EQ(explanation["services"][0]["candidates"][0]["open"], true); // servers that may take it come first
    EXPECT_EQ(explanation["services"][0]["candidates"][2]["state"], "draining");
}

// Guards against an explanation that promises a server of its own while the requests of this VM are relayed.
TEST_F(ExplanationTest, CutOffVmRelays)
{
    input.isCutOff = true;
    const auto service = explainOrders();
    EXPECT_EQ(service["outcome"]["decision"], "relayed");
    EXPECT_EQ(service["outcomeWithServers"]["decision"], "sent");
}

// Guards against ages that begin again when something else changes.
TEST_F(ExplanationTest, AgesAreThoseOfTheLastChange)
{
    const auto first = RoutingSnapshot::build(routing, at(0));
    state.snapshotChanged(at(0), first);
    state.storeSeen(at(0), true);
    state.storeSeen(at(50), true);
    routing.assignments[0].nextSequence = 11;
    const auto second = RoutingSnapshot::build(routing, at(100), first.get());
    state.snapshotChanged(at(100), second);
    auto times = state.times();
    EXPECT_EQ(times.configuration, at(0));
    EXPECT_EQ(times.snapshot, at(100));
    EXPECT_EQ(times.tables.at("carts"), at(100));
    EXPECT_EQ(times.servers.at("carts"), at(0));
    EXPECT_EQ(times.servers.at("orders"), at(0));
    EXPECT_EQ(times.storeReachability, at(0));
    routing.vms.vms[0].state = VmState::Leaving;
    state.snapshotChanged(at(200), RoutingSnapshot::build(routing, at(200), second.get()));
    state.storeSeen(at(250), false);
    times = state.times();
    EXPECT_EQ(times.servers.at("orders"), at(200));
    EXPECT_EQ(times.tables.at("carts"), at(100));
    EXPECT_EQ(times.storeReachability, at(250));
}

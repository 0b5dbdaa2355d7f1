#include <gtest/gtest.h>

#include <map>

#include <galenarock/routetable.h>

using namespace Galenarock;

namespace
{
RouteRule rule(std::string host, std::string prefix, std::vector<WeightedService> destinations)
{
    RouteRule result;
    result.name = host + prefix;
    result.host = std::move(host);
    result.prefix = std::move(prefix);
    result.destinations = std::move(destinations);
    return result;
}

RouteTable makeTable()
{
    RouteConfiguration configuration;
    configuration.version = 3;
    configuration.routes = {rule("shop.example", "/", {{"site", 1}}), rule("shop.example", "/orders/", {{"orders", 1}}),
                            rule("shop.example", "/orders/bulk/", {{"bulk", 1}}),
                            rule("other.example", "/orders/", {{"other", 1}})};
    return RouteTable(configuration);
}
}

// Guards against a shorter prefix taking precedence, which sends requests to a service that must not run them.
TEST(RouteTableTest, LongestPrefixWins)
{
    const auto table = makeTable();
    EXPECT_EQ(table.find("shop.example", "/orders/bulk/7")->destinations[0].service, "bulk");
    EXPECT_EQ(table.find("shop.example", "/orders/bulk")->destinations[0].service, "orders");
    EXPECT_EQ(table.find("shop.example", "/orders/7?next=/orders/bulk/")->destinations[0].service, "orders");
    EXPECT_EQ(table.find("shop.example", "/")->destinations[0].service, "site");
}

// Guards against a prefix that matches a part of a path segment: /orders/ must not match /ordersheet.
TEST(RouteTableTest, PrefixMatchesWholeSegments)
{
    const auto table = makeTable();
    EXPECT_EQ(table.find("shop.example", "/ordersheet")->destinations[0].service, "site");
    EXPECT_EQ(table.find("other.example", "/ordersheet"), nullptr);
    EXPECT_EQ(table.find("other.example", "/orders"), nullptr);
}

// Guards against requests that find no route because of a port or the letter case in the Host header.
TEST(RouteTableTest, HostIgnoresCaseAndPort)
{
    const auto table = makeTable();
    EXPECT_EQ(table.find("Shop.Example:8080", "/orders/1")->destinations[0].service, "orders");
    EXPECT_EQ(table.find("absent.example", "/orders/1"), nullptr);
    EXPECT_EQ(table.find("", ""), nullptr);
}

// Guards against ignoring the weights, which breaks the operator's traffic split.
TEST(RouteTableTest, PicksInProportionToWeights)
{
    const auto split = rule("h", "/", {{"a", 90}, {"b", 0}, {"c", 10}});
    std::map<std::string, int> counts;
    for (std::uint64_t n = 0; n < 1000; ++n) {
        ++counts[RouteTable::pick(split, n * (~std::uint64_t(0) / 1000))];
    }
    EXPECT_NEAR(counts["a"], 900, 2);
    EXPECT_EQ(counts.count("b"), 0U);
    EXPECT_NEAR(counts["c"], 100, 2);
}

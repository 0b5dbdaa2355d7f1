#include <gtest/gtest.h>

#include <limits>

#include <fmt/format.h>

#include <galenarock/serverlimits.h>

using namespace Galenarock;

namespace
{
const Identity Shop{"shop-1", 7};
constexpr Duration NoDelay{};

Instant at(double seconds)
{
    return Instant() + duration_cast<Duration>(std::chrono::duration<double>(1'000 + seconds));
}

/// Requests that the issuer lets pass when `perSecond[n]` requests of priority n arrive evenly for `duration` seconds.
std::vector<int> granted(PermitIssuer &issuer, double rate, const std::vector<int> &perSecond, int duration,
                         int from = 0)
{
    std::vector<std::pair<double, std::uint32_t>> arrivals;
    for (std::size_t n = 0; n < perSecond.size(); ++n) {
        for (int it = 0; it < perSecond[n] * duration; ++it) {
            arrivals.emplace_back(from + static_cast<double>(it) / perSecond[n], static_cast<std::uint32_t>(n));
        }
    }
    std::sort(arrivals.begin(), arrivals.end());
    std::vector<int> counts(perSecond.size());
    for (const auto &[seconds, priority] : arrivals) {
        counts[priority] += issuer.issue(at(seconds), Shop, rate, priority, NoDelay).isGranted ? 1 : 0;
    }
    return counts;
}
}

TEST(ServerLimitTableTest, ARateHoldsUntilTheServerNoLongerStatesIt)
{
    ServerLimitTable table;
    EXPECT_FALSE(table.observe(at(0), Shop, 0));
    EXPECT_TRUE(table.observe(at(0), Shop, 6.5));
    EXPECT_FALSE(table.observe(at(1), Shop, 6.6));
    EXPECT_EQ(table.limitedServers(), 1U);
    EXPECT_TRUE(table.observe(at(2), Shop, 3));
    EXPECT_EQ(table.find(Shop), (ServerLimit{Shop, 3, 2}));
    EXPECT_TRUE(table.observe(at(3), Shop, 0));
    EXPECT_EQ(table.limitedServers(), 0U);
    EXPECT_EQ(table.find({Shop.name, Shop.boot + 1}).version, 0U);
}

// Guards against daemons that go back to an older rate because reports of it are still under way.
TEST(ServerLimitTableTest, NewerReportsWinInAnyOrder)
{
    const std::vector<ServerLimit> reports{{Shop, 6, 1}, {Shop, 3, 2}, {Shop, 2, 2}, {Shop, 0, 3}, {Shop, 4, 4}};
    std::vector<std::size_t> order{0, 1, 2, 3, 4};
    do {
        ServerLimitTable table;
        for (const auto it : order) {
            table.merge(at(0), reports[it]);
        }
        EXPECT_EQ(table.find(Shop), (ServerLimit{Shop, 4, 4}));
        EXPECT_EQ(table.limitedServers(), 1U);
    } while (std::next_permutation(order.begin(), order.end()));
    ServerLimitTable table;
    table.merge(at(0), reports[1]);
    EXPECT_TRUE(table.merge(at(0), reports[2]));
    EXPECT_FALSE(table.merge(at(0), reports[1]));
}

TEST(ServerLimitTableTest, ForgetsServersThatStatedNothingForLong)
{
    ServerLimitTable table;
    table.observe(at(0), Shop, 5);
    table.observe(at(1), Shop, 0);
    table.expire(at(60));
    EXPECT_EQ(table.all().size(), 1U);
    table.expire(at(62));
    EXPECT_TRUE(table.all().empty());
}

TEST(PermitIssuerTest, GivesOutTheRateAndNoMore)
{
    PermitIssuer issuer;
    const auto n = granted(issuer, 6, {50}, 10)[0];
    EXPECT_LE(n, 61);
    EXPECT_GE(n, 58);
}

// Guards against refusing requests of a server that is used below its rate.
TEST(PermitIssuerTest, RequestsBelowTheRateAllPass)
{
    PermitIssuer issuer;
    granted(issuer, 6, {3}, 2);
    EXPECT_EQ(granted(issuer, 6, {5}, 10, 2)[0], 50);
}

TEST(PermitIssuerTest, ARequestMayWaitForATokenThatComesSoon)
{
    PermitIssuer issuer;
    const auto first = issuer.issue(at(0), Shop, 10, 0, milliseconds(250));
    const auto second = issuer.issue(at(0), Shop, 10, 0, milliseconds(250));
    const auto third = issuer.issue(at(0), Shop, 10, 0, milliseconds(250));
    EXPECT_EQ(first, (Permit{true, milliseconds(100)}));
    EXPECT_EQ(second, (Permit{true, milliseconds(200)}));
    EXPECT_FALSE(third.isGranted);
    EXPECT_EQ(std::chrono::round<milliseconds>(third.delay), milliseconds(50));
}

// Guards against less urgent requests that use up the rate of urgent ones, and against starving them.
TEST(PermitIssuerTest, TheHighestPriorityComesFirstAndNoneStarves)
{
    PermitIssuer issuer;
    granted(issuer, 10, {6, 40}, 3);
    const auto fits = granted(issuer, 10, {6, 40}, 20, 3);
    EXPECT_GE(fits[0], 118);
    EXPECT_GE(fits[1], 70);
    EXPECT_LE(fits[0] + fits[1], 206);
    const auto overloaded = granted(issuer, 10, {40, 40}, 20, 23);
    EXPECT_GE(overloaded[0], 140);
    EXPECT_GE(overloaded[1], 15);
    EXPECT_LE(overloaded[0] + overloaded[1], 212);
}

TEST(PermitIssuerTest, WithoutCompetitionEachPriorityGetsTheWholeRate)
{
    PermitIssuer issuer;
    granted(issuer, 10, {6, 40}, 3);
    // Nothing is known of the more urgent requests three seconds later.
    int n = 0;
    for (double t = 6; t < 16; t += 0.02) {
        n += issuer.issue(at(t), Shop, 10, 1, NoDelay).isGranted ? 1 : 0;
    }
    EXPECT_GE(n, 98);
    EXPECT_LE(n, 106);
}

TEST(LimitMessagesTest, RoundTrip)
{
    const std::vector<ServerLimit> limits{{Shop, 6.25, 3}, {{"shop-2", 1}, 0, 4}};
    const auto decoded = tryOr([&] { return decodeServerLimits(encode(limits)); },
                               [](ErrorCode, const std::string &) { return std::vector<ServerLimit>(); });
    EXPECT_EQ(decoded, limits);
    const PermitRequest request{9, limits[0], 2, milliseconds(200)};
    EXPECT_EQ(tryOr([&] { return decodePermitRequest(encode(request)); },
                    [](ErrorCode, const std::string &) { return PermitRequest(); }),
              request);
    const PermitReply reply{9, limits[0], {true, milliseconds(30)}};
    EXPECT_EQ(tryOr([&] { return decodePermitReply(encode(reply)); },
                    [](ErrorCode, const std::string &) { return PermitReply(); }),
              reply);
}

TEST(LimitMessagesTest, InvalidMessagesAreRefused)
{
    const auto isRefused = [](auto decode, const std::string &payload) {
        return tryOr(
            [&]() -> Result<bool> {
                BOOST_LEAF_CHECK(decode(payload));
                return false;
            },
            [](ErrorCode, const std::string &) { return true; });
    };
    const auto nan = std::numeric_limits<double>::quiet_NaN();
    EXPECT_TRUE(isRefused(decodeServerLimits, encode(std::vector<ServerLimit>{{Shop, nan, 1}})));
    EXPECT_TRUE(isRefused(decodeServerLimits, encode(std::vector<ServerLimit>{{Shop, -1, 1}})));
    EXPECT_TRUE(isRefused(decodeServerLimits, encode(std::vector<ServerLimit>{{{"", 1}, 1, 1}})));
    EXPECT_TRUE(isRefused(decodePermitRequest, "x"));
    EXPECT_TRUE(isRefused(decodePermitRequest, encode(PermitRequest{1, {Shop, 1, 1}, 0, seconds(3'600)})));
    EXPECT_TRUE(isRefused(decodePermitReply, encode(PermitReply{1, {Shop, 1, 1}, {true, seconds(3'600)}})));
}

#include <gtest/gtest.h>

#include <galenarock/ledger.h>

#include <standin/workload_p.h>

using namespace Galenarock;
using namespace Galenarock::Standin;

namespace
{
WorkloadOptions options(std::uint64_t seed)
{
    Findings findings;
    WorkloadOptions options;
    options.mix = parseMix("vitrina=70,tostadero=20,almacen=10", findings);
    options.requestsPerSecond = 1'000;
    options.duration = seconds(10);
    options.seed = seed;
    EXPECT_TRUE(findings.empty());
    return options;
}

std::vector<PlannedRequest> allOf(const WorkloadOptions &options)
{
    Workload workload(options);
    std::vector<PlannedRequest> requests;
    while (auto it = workload.next()) {
        requests.push_back(*it);
    }
    return requests;
}
}

// A schedule that differs between runs would make a failure impossible to repeat.
TEST(Workload, EqualSeedsGiveEqualSchedules)
{
    EXPECT_EQ(allOf(options(1)), allOf(options(1)));
    EXPECT_NE(allOf(options(1)), allOf(options(2)));
}

// A wrong rate, mix or skew would make every measured figure wrong.
TEST(Workload, KeepsRateMixAndSkew)
{
    const auto requests = allOf(options(1));
    EXPECT_NEAR(static_cast<double>(requests.size()), 10'000, 300);
    double vitrina = 0;
    double hottest = 0;
    for (const auto &it : requests) {
        vitrina += it.service == 0 ? 1 : 0;
        hottest += it.key == 0 ? 1 : 0;
        EXPECT_LT(it.key, 10'000U);
    }
    EXPECT_NEAR(vitrina / static_cast<double>(requests.size()), 0.7, 0.02);
    EXPECT_NEAR(hottest / static_cast<double>(requests.size()), 1 / 9.79, 0.01); // 1 / harmonic number of 10,000
}

// Findings must be reported together, not one at a time.
TEST(Workload, ReportsAllMixFindings)
{
    Findings findings;
    parseMix("vitrina=0,nothing=1,lamp-history=x", findings);
    EXPECT_EQ(findings.size(), 3U);
}

// An id that is no UUIDv7 would be refused, and every order with it.
TEST(Workload, RequestIdsAreUuid7)
{
    const auto id = parseRequestId(makeRequestId(1'700'000'000'123, 0x123456789abcdef0, 0xfedcba9876543210));
    ASSERT_TRUE(id.has_value());
    EXPECT_EQ(id->time(), 1'700'000'000'123);
    EXPECT_NE(makeRequestId(1, 2, 3), makeRequestId(1, 2, 4));
}

// The body must not depend on the pieces in which it is generated.
TEST(Workload, BodyIsIndependentOfItsPieces)
{
    std::string whole(1'000, '\0');
    std::string pieces(1'000, '\0');
    fillBody(7, 0, whole.data(), whole.size());
    for (std::size_t at = 0; at < pieces.size(); at += 13) {
        fillBody(7, at, pieces.data() + at, std::min<std::size_t>(13, pieces.size() - at));
    }
    EXPECT_EQ(whole, pieces);
    fillBody(8, 0, pieces.data(), pieces.size());
    EXPECT_NE(whole, pieces);
}

// A journal entry of another run must not count for this one.
TEST(Workload, TargetsIdentifyRunAndNumber)
{
    const auto target = makeTarget(serviceProfiles()[0], 5, "a1", 42);
    EXPECT_EQ(target, "/vitrina/item-000005?n=a1-42");
    EXPECT_EQ(numberOfTarget(target, "a1"), 42U);
    EXPECT_FALSE(numberOfTarget(target, "a").has_value());
    EXPECT_FALSE(numberOfTarget(target, "b1").has_value());
    EXPECT_FALSE(numberOfTarget("/vitrina/item-000005", "a1").has_value());
}

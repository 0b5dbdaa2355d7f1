#include <gtest/gtest.h>

#include <galenarock/loadreport.h>

using namespace Galenarock;

namespace
{
const Instant start{seconds(10)};

Assignment halves()
{
    Assignment assignment;
    assignment.slices = {{{0, ~KeyHash(0) >> 1}, 0, 1, {}}, {{KeyHash(1) << 63, ~KeyHash(0)}, 0, 2, {}}};
    return assignment;
}
}

// Guards against a hot key that is lost among many cold ones, or whose load is spread over its whole bucket.
TEST(LoadReport, hotKeyIsFoundAndCountedInItsSlice)
{
    LoadCounter counter;
    counter.take(start);
    const auto hot = hashKey("almonds");
    for (int n = 0; n < 20'000; ++n) {
        counter.count(n % 10 == 0 ? hot : hashKey(std::to_string(n)));
    }
    auto report = counter.take(start + seconds(10));
    ASSERT_FALSE(report.hotKeys.empty());
    EXPECT_EQ(report.hotKeys.front().first, hot);
    LoadBook book;
    book.add(start, "vm-1", report);
    const auto loads = book.sliceLoads(start, halves());
    ASSERT_EQ(loads.size(), 2u);
    EXPECT_NEAR(loads[0].requestsPerSecond + loads[1].requestsPerSecond, 2'000, 1);
}

// Guards against reports that change on the way, and against malformed ones that are accepted.
TEST(LoadReport, encodingRoundTripAndMalformedInput)
{
    LoadCounter counter;
    counter.take(start);
    for (int n = 0; n < 5'000; ++n) {
        counter.count(hashKey(std::to_string(n % 70)));
    }
    auto report = counter.take(start + seconds(5));
    report.service = "vitrina";
    const auto payload = encode(report);
    const auto read = decodeLoadReport(payload);
    ASSERT_TRUE(read);
    EXPECT_EQ(*read, report);
    for (std::size_t n = 0; n < payload.size(); n += 7) {
        const bool isAccepted = tryOr(
            [&]() -> Result<bool> {
                BOOST_LEAF_CHECK(decodeLoadReport(payload.substr(0, n)));
                return true;
            },
            [](ErrorCode, const std::string &) { return false; });
        EXPECT_FALSE(isAccepted) << n;
    }
}

// Guards against the load of a lost daemon being counted for ever.
TEST(LoadReport, oldReportsExpire)
{
    LoadCounter counter;
    counter.take(start);
    counter.count(1);
    LoadBook book;
    book.add(start, "vm-1", counter.take(start + seconds(1)));
    EXPECT_EQ(book.sliceLoads(start, halves()).size(), 2u);
    EXPECT_TRUE(book.sliceLoads(start + seconds(31), halves()).empty());
}

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

#include <fmt/format.h>

#include <galenarock/leases.h>

using namespace Galenarock;

namespace
{
constexpr KeyHash MinRangeWidth = KeyHash(1) << 48;
constexpr double ServiceSeconds = 0.2;
constexpr std::uint32_t Slots = 4;
/// Requests a second that one server can answer.
constexpr double Capacity = Slots / ServiceSeconds;

/// Servers with equal parts of the keys, and what they have to do.
struct Service
{
    std::vector<LeaseServer> servers;
    std::vector<PlannedSlice> slices;
    LeaseLoad load;

    explicit Service(std::size_t n)
    {
        const auto width = ~KeyHash(0) / n / MinRangeWidth * MinRangeWidth;
        for (std::size_t i = 0; i < n; ++i) {
            servers.push_back({{fmt::format("s-{:03}", i), 1}, "", "a", Slots, false});
            const auto last = i + 1 == n ? ~KeyHash(0) : (i + 1) * width - 1;
            slices.push_back({{i * width, last}, servers.back().identity, false});
            load.serviceSeconds[servers.back().identity] = ServiceSeconds;
        }
    }

    /// Spreads `requests` a second over `n` neighbouring keys.
    void addNeighbours(KeyHash first, std::size_t n, double requests)
    {
        for (std::size_t i = 0; i < n; ++i) {
            load.positions[first + i * MinRangeWidth] += requests / static_cast<double>(n);
        }
    }

    double loadOf(const SliceRange &range) const
    {
        double sum = 0;
        for (const auto &[position, rate] : load.positions) {
            sum += range.contains(position) ? rate : 0;
        }
        return sum;
    }

    /// Largest use of a server as a share of its capacity.
    double highestUse() const
    {
        std::map<Identity, double> sums;
        for (const auto &it : slices) {
            sums[it.holder] += loadOf(it.range);
        }
        double highest = 0;
        for (const auto &[server, sum] : sums) {
            highest = std::max(highest, sum / Capacity);
        }
        return highest;
    }

    void plan()
    {
        for (const auto &move : planLeaseMoves(slices, servers, load, MinRangeWidth)) {
            const auto it = std::find_if(slices.begin(), slices.end(), [&](const PlannedSlice &slice) {
                return slice.range.contains(move.range.first) && slice.range.contains(move.range.last);
            });
            ASSERT_NE(it, slices.end());
            const auto whole = *it;
            *it = {move.range, move.target, false};
            if (whole.range.first < move.range.first) {
                slices.push_back({{whole.range.first, move.range.first - 1}, whole.holder, false});
            }
            if (move.range.last < whole.range.last) {
                slices.push_back({{move.range.last + 1, whole.range.last}, whole.holder, false});
            }
        }
    }

    /// Share of all keys that `server` does not hold any more or that it got.
    double movedShare(const std::vector<PlannedSlice> &before) const
    {
        double share = 0;
        for (const auto &it : slices) {
            const bool isKept = std::any_of(before.begin(), before.end(), [&](const PlannedSlice &old) {
                return old.range.contains(it.range.first) && old.holder == it.holder;
            });
            share += isKept ? 0 : static_cast<double>(it.range.last - it.range.first) * 0x1p-64;
        }
        return share;
    }
};
}

// Pattern: a third of a large service's traffic on 200 neighbouring keys, as much as 30 servers can take, all of them
// at one or two servers. Spreading it by halves leaves the service overloaded for seconds.
TEST(PlanningTest, VeryHotNeighboursAreSpreadWithinOneSecond)
{
    Service service(140);
    service.addNeighbours(0, 65'536, 0.35 * 140 * Capacity);
    service.addNeighbours(KeyHash(20'000) << 48, 200, 30 * Capacity);
    const auto before = service.slices;
    constexpr int plansPerSecond = 3;
    for (int n = 0; n < plansPerSecond; ++n) {
        service.plan();
    }
    EXPECT_LE(service.highestUse(), 1.5);
    service.plan();
    service.plan();
    EXPECT_LE(service.highestUse(), 1.0);
    EXPECT_LT(service.movedShare(before), 0.05);
}

// Pattern: half of a service's traffic on a single key, 20 times what one server can answer. Moving it from server to
// server interrupts it each time and serves nobody; meanwhile other servers must still be relieved.
TEST(PlanningTest, KeyThatNoServerCanServeStays)
{
    Service service(40);
    service.addNeighbours(0, 65'536, 0.35 * 40 * Capacity);
    const KeyHash hot = KeyHash(9'597) << 48;
    service.load.positions[hot] += 20 * Capacity;
    const auto holder = [&] {
        return std::find_if(service.slices.begin(), service.slices.end(),
                            [&](const PlannedSlice &it) { return it.range.contains(hot); })
            ->holder;
    };
    const auto before = holder();
    const KeyHash busy = KeyHash(50'000) << 48;
    service.addNeighbours(busy, 50, 2 * Capacity);
    for (int n = 0; n < 6; ++n) {
        service.plan();
        EXPECT_EQ(holder(), before) << n;
    }
    double sum = 0;
    double busiest = 0;
    for (const auto &server : service.servers) {
        sum = 0;
        for (const auto &it : service.slices) {
            sum += it.holder == server.identity ? service.loadOf(it.range) / Capacity : 0;
        }
        busiest = server.identity == before ? busiest : std::max(busiest, sum);
    }
    EXPECT_LE(busiest, 1.0);
}

// A single hot key belongs on the fastest server even when that one cannot serve it all.
TEST(PlanningTest, OverloadedKeyMovesToAClearlyFasterServer)
{
    Service service(10);
    const KeyHash hot = KeyHash(9'597) << 48;
    service.load.positions[hot] += 5 * Capacity;
    service.load.serviceSeconds[service.servers[8].identity] = ServiceSeconds / 2;
    for (int n = 0; n < 3; ++n) {
        service.plan();
    }
    for (const auto &it : service.slices) {
        if (it.range.contains(hot)) {
            EXPECT_EQ(it.holder, service.servers[8].identity);
        }
    }
}

// The same pattern at the size of a small deployment: a burst of three servers' work on a service of 16.
TEST(PlanningTest, HotNeighboursOfASmallServiceAreSpread)
{
    Service service(16);
    service.addNeighbours(0, 65'536, 0.35 * 16 * Capacity);
    service.addNeighbours(KeyHash(30'000) << 48, 200, 3 * Capacity);
    for (int n = 0; n < 3; ++n) {
        service.plan();
    }
    EXPECT_LE(service.highestUse(), 1.0);
}

// Where every server is at its limit, moving keys helps nobody and costs each key a pause.
TEST(PlanningTest, EvenlyOverloadedServersKeepTheirKeys)
{
    Service service(20);
    service.addNeighbours(0, 65'536, 1.2 * 20 * Capacity);
    EXPECT_TRUE(planLeaseMoves(service.slices, service.servers, service.load, MinRangeWidth).empty());
}

// The keys of a lost server are served again after one plan, also when many servers are lost at once.
TEST(PlanningTest, KeysOfManyLostServersGetHolders)
{
    Service service(60);
    service.addNeighbours(0, 65'536, 0.4 * 60 * Capacity);
    service.servers.erase(service.servers.begin() + 10, service.servers.begin() + 25);
    service.plan();
    for (const auto &slice : service.slices) {
        EXPECT_TRUE(std::any_of(service.servers.begin(), service.servers.end(),
                                [&](const LeaseServer &it) { return it.identity == slice.holder; }));
    }
}

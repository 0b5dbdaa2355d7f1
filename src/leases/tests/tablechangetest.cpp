#include <gtest/gtest.h>

#include <random>

#include "leases/tablechange_p.h"

using namespace Galenarock;

namespace
{
/// A valid table with random boundaries and owners; a slice starts at each position of `keptStarts`.
Assignment randomTable(std::mt19937_64 &random, std::uint64_t version, const std::vector<KeyHash> &keptStarts)
{
    auto starts = keptStarts;
    for (int n = 0; n < 6; ++n) {
        starts.push_back((random() % 64) << 58);
    }
    starts.push_back(0);
    std::sort(starts.begin(), starts.end());
    starts.erase(std::unique(starts.begin(), starts.end()), starts.end());
    Assignment table;
    table.service = "shop";
    table.epoch = 3;
    table.nextSequence = version;
    std::map<Identity, ServerIndex> indices;
    for (std::size_t n = 0; n < starts.size(); ++n) {
        const auto last = n + 1 < starts.size() ? starts[n + 1] - 1 : ~KeyHash(0);
        const Identity owner{"s-" + std::to_string(random() % 5), 1 + random() % 2};
        const bool isOwned = random() % 4 != 0;
        const auto index = isOwned ? findOrAddServer(table, indices, owner) : noServer;
        table.slices.push_back({{starts[n], last}, index, random() % 3, {}});
    }
    return table;
}
}

// Guards against routing tables that differ between daemons after slices were divided, merged or moved.
TEST(TableChangeTest, AppliedChangeGivesTheLaterTable)
{
    std::mt19937_64 random(11);
    for (int n = 0; n < 500; ++n) {
        const auto before = randomTable(random, 5, {});
        std::vector<KeyHash> keptStarts;
        for (const auto &it : before.slices) {
            if (random() % 2 == 0) {
                keptStarts.push_back(it.range.first);
            }
        }
        const auto after = randomTable(random, 9, keptStarts);
        ASSERT_TRUE(after.validate().empty());
        const auto result = applyChange(before, changeBetween(before, after));
        ASSERT_TRUE(result) << n;
        EXPECT_EQ(*result, after) << n;
    }
}

// Guards against sending slices that did not change.
TEST(TableChangeTest, OnlyDifferentSlicesAreListed)
{
    std::mt19937_64 random(12);
    const auto before = randomTable(random, 5, {});
    auto after = before;
    after.nextSequence = 6;
    after.slices[2].sequence += 10;
    const auto change = changeBetween(before, after);
    ASSERT_EQ(change.slices.size(), 1U);
    EXPECT_EQ(change.slices[0].range, before.slices[2].range);
}

// Guards against applying a change after an earlier one was lost, which would leave a wrong table.
TEST(TableChangeTest, ChangeFromAnotherVersionIsNotApplied)
{
    std::mt19937_64 random(13);
    const auto before = randomTable(random, 5, {});
    const auto after = randomTable(random, 7, {});
    auto change = changeBetween(before, after);
    change.fromVersion = 6;
    EXPECT_FALSE(applyChange(before, change));
    change = changeBetween(before, after);
    change.epoch = 4;
    EXPECT_FALSE(applyChange(before, change));
}

// Guards against a table in which some positions belong to no slice.
TEST(TableChangeTest, ChangeThatLeavesAGapIsNotApplied)
{
    std::mt19937_64 random(14);
    const auto before = randomTable(random, 5, {});
    TableChange change{
        "shop", 3, 5, 6, {{{before.slices[1].range.first, before.slices[1].range.first}, {"s-1", 1}, 1}}};
    EXPECT_FALSE(applyChange(before, change));
}

// Guards against fields that get lost in the message, and against accepting a malformed one.
TEST(TableChangeTest, EncodedChangeIsDecodedAndInvalidInputIsRefused)
{
    const TableChange change{"shop", 3, 5, 6, {{{0, 9}, {"s-1", 7}, 2}, {{10, ~KeyHash(0)}, {}, 3}}};
    const auto decoded = tryOr([&]() -> Result<TableChange> { return decodeTableChange(encode(change)); },
                               [](ErrorCode, const std::string &) { return TableChange(); });
    EXPECT_EQ(decoded, change);
    bool isRefused = false;
    tryOr([&]() -> Result<TableChange> { return decodeTableChange("x"); },
          [&](ErrorCode, const std::string &) {
              isRefused = true;
              return TableChange();
          });
    EXPECT_TRUE(isRefused);
}

#include <gtest/gtest.h>

#include <standin/objectstore_p.h>

using namespace Galenarock;
using namespace Galenarock::Standin;

namespace
{
using Status = ObjectWriteResult::Status;

Instant at(int ms)
{
    return Instant(seconds(1'000) + milliseconds(ms));
}

ObjectWrite write(std::uint64_t expected, int value)
{
    return {{"mandate", "vitrina"}, expected, 7, {{"n", value}}, ""};
}

ObjectWrite document(std::uint64_t expected, const std::string &documentTeam, const std::string &team)
{
    return {{"service", "vitrina"}, expected, 7, {{"team", documentTeam}}, team};
}
}

// Two writers that read the same version must not both succeed.
TEST(ObjectStore, SecondWriterOfTheSameVersionConflicts)
{
    ObjectStore store;
    EXPECT_EQ(store.write(at(0), write(0, 1)).version, 1U);
    const auto result = store.write(at(1), write(0, 2));
    EXPECT_EQ(result.status, Status::Conflict);
    EXPECT_EQ(result.current["value"]["n"], 1);
    EXPECT_EQ(store.write(at(2), write(1, 2)).version, 2U);
}

// An update of an object that does not exist must not create it.
TEST(ObjectStore, UpdateOfAMissingObjectConflicts)
{
    ObjectStore store;
    const auto result = store.write(at(0), write(3, 1));
    EXPECT_EQ(result.status, Status::Conflict);
    EXPECT_TRUE(result.current.is_null());
}

// A stale read must be an earlier version, never a mixture and never a later one.
TEST(ObjectStore, StaleReadShowsTheEarlierVersion)
{
    ObjectStore store;
    store.write(at(0), write(0, 1));
    store.write(at(100), write(1, 2));
    const ObjectKey key{"mandate", "vitrina"};
    EXPECT_TRUE(store.read(key, at(-1)).is_null());
    EXPECT_EQ(store.read(key, at(99))["version"], 1);
    EXPECT_EQ(store.read(key, at(100))["version"], 2);
}

// A watch that continues from a stale list must still see the change that the list left out.
TEST(ObjectStore, RevisionOfAStaleListPrecedesTheHiddenChange)
{
    ObjectStore store;
    store.write(at(0), write(0, 1));
    store.write(at(100), write(1, 2));
    const auto stale = store.list("mandate", 0, at(50));
    ASSERT_EQ(stale.items.size(), 1U);
    EXPECT_EQ(stale.items[0]["version"], 1);
    const auto next = store.list("mandate", stale.revision, at(100));
    ASSERT_EQ(next.items.size(), 1U);
    EXPECT_EQ(next.items[0]["version"], 2);
}

// A team must not change another team's document, and the system must not change any.
TEST(ObjectStore, OnlyTheOwningTeamWritesADocument)
{
    ObjectStore store;
    EXPECT_EQ(store.write(at(0), document(0, "catalogue", "")).status, Status::WrongTeam);
    EXPECT_EQ(store.write(at(0), document(0, "catalogue", "orders")).status, Status::WrongTeam);
    EXPECT_EQ(store.write(at(0), document(0, "catalogue", "catalogue")).status, Status::Applied);
    EXPECT_EQ(store.write(at(1), document(1, "orders", "orders")).status, Status::WrongTeam);
    EXPECT_EQ(store.write(at(1), document(1, "catalogue", "")).status, Status::WrongTeam);
}

// A value above the limit must be refused without effect.
TEST(ObjectStore, RefusesValuesAboveOneMegabyte)
{
    ObjectStore store;
    auto request = write(0, 1);
    request.value = std::string(maxValueBytes - 2, 'x');
    EXPECT_EQ(store.write(at(0), request).status, Status::Applied);
    request.expectedVersion = 1;
    request.value = std::string(maxValueBytes - 1, 'x');
    EXPECT_EQ(store.write(at(1), request).status, Status::TooLarge);
    EXPECT_EQ(store.read(request.key, at(2))["version"], 1);
}

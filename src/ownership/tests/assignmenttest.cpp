#include <gtest/gtest.h>

#include <galenarock.h>

using namespace Galenarock;

namespace
{
Assignment twoSlices()
{
    Assignment assignment;
    assignment.service = "vitrina";
    assignment.epoch = 3;
    assignment.nextSequence = 9;
    assignment.servers = {{"vitrina-1", 7}, {"vitrina-2", 8}, {"vitrina-3", 9}};
    const KeyHash middle = KeyHash(1) << 63;
    assignment.slices = {{{0, middle - 1}, 0, 1, {1, 2}}, {{middle, ~KeyHash(0)}, 1, 4, {2}}};
    return assignment;
}

ErrorCode errorOf(const nlohmann::json &json)
{
    return tryOr(
        [&]() -> Result<ErrorCode> {
            BOOST_LEAF_CHECK(assignmentFromJson(json));
            return ErrorCode::Success;
        },
        [](ErrorCode code, const std::string &) { return code; });
}
}

// Guards against an assignment that changes when it is stored and read again.
TEST(Assignment, jsonRoundTrip)
{
    const auto assignment = twoSlices();
    const auto read = assignmentFromJson(toJson(assignment));
    ASSERT_TRUE(read);
    EXPECT_EQ(*read, assignment);
}

// Guards against look-ups that miss the first or last position of a slice.
TEST(Assignment, findAtSliceBoundaries)
{
    const auto assignment = twoSlices();
    EXPECT_EQ(assignment.find(0), &assignment.slices[0]);
    EXPECT_EQ(assignment.find((KeyHash(1) << 63) - 1), &assignment.slices[0]);
    EXPECT_EQ(assignment.find(KeyHash(1) << 63), &assignment.slices[1]);
    EXPECT_EQ(assignment.find(~KeyHash(0)), &assignment.slices[1]);
}

// Guards against gaps, overlaps and bad indices in a stored assignment being accepted.
TEST(Assignment, malformedAssignmentsAreRefused)
{
    auto gap = toJson(twoSlices());
    gap["slices"][0][1] = "ff";
    EXPECT_EQ(errorOf(gap), ErrorCode::Contradiction);
    auto badOwner = toJson(twoSlices());
    badOwner["slices"][0][2] = 77;
    EXPECT_EQ(errorOf(badOwner), ErrorCode::OutOfRange);
    EXPECT_EQ(errorOf(nlohmann::json::parse("{\"service\":1}")), ErrorCode::MissingField);
}

#include <gtest/gtest.h>

#include <galenarock/ledgernode.h>

using namespace Galenarock;

namespace
{
const SliceRange wholeSpace{0, ~KeyHash(0)};
const Instant start{seconds(100)};
constexpr WallMilliseconds wallStart = 1'800'000'000'000;

RequestId idAt(WallMilliseconds time, std::uint64_t n)
{
    return {static_cast<std::uint64_t>(time) << 16 | 0x7000, 0x8000'0000'0000'0000 | n};
}

/// Two ledger nodes that deliver their messages to each other directly, and the lease calls of a coordinator.
class LedgerNodeTest : public testing::Test
{
protected:
    LedgerNodeTest()
    {
        first.setSendHook([this](const SendPeerAction &it) {
            toSecond.push_back({first.self(), it.type, it.payload});
        });
        second.setSendHook([this](const SendPeerAction &it) {
            toFirst.push_back({second.self(), it.type, it.payload});
        });
    }

    GrantReply act(LedgerNode &node, Instant now, WallMilliseconds wall, GrantAction action, std::uint64_t sequence)
    {
        GrantRequest request;
        request.service = std::string(ledgerService);
        request.sender = {"vm-3", 3};
        request.boot = node.self().boot;
        request.epoch = 1;
        request.termMs = 1'500;
        request.action = GrantAction::Fence;
        request.nonce = node.handleGrant(now, wall, request).nonce;
        request.action = action;
        request.slices = {{wholeSpace, sequence}};
        return node.handleGrant(now, wall, request);
    }

    void publishOwner(std::uint16_t owner)
    {
        Assignment assignment;
        assignment.service = std::string(ledgerService);
        assignment.epoch = 1;
        assignment.nextSequence = 10;
        assignment.servers = {first.self(), second.self()};
        assignment.slices = {{wholeSpace, owner, owner + 1U, {}}};
        first.setOwners(LedgerOwnerMap(assignment, {}));
        second.setOwners(LedgerOwnerMap(assignment, {}));
    }

    void deliver()
    {
        while (!toFirst.empty() || !toSecond.empty()) {
            for (const auto &it : std::exchange(toFirst, {})) {
                EXPECT_TRUE(first.handlePeer(it));
            }
            for (const auto &it : std::exchange(toSecond, {})) {
                EXPECT_TRUE(second.handlePeer(it));
            }
        }
    }

    LedgerNode first{{"vm-1", 1}};
    LedgerNode second{{"vm-2", 2}};
    std::vector<PeerEvent> toFirst;
    std::vector<PeerEvent> toSecond;
};
}

// Guards against a planned hand-over that makes fresh ids unknown, or that lets a recorded id run a second time.
TEST_F(LedgerNodeTest, recordsMoveToTheNextOwner)
{
    publishOwner(0);
    ASSERT_TRUE(act(first, start, wallStart, GrantAction::Grant, 1).accepted);
    const auto now = start + seconds(1);
    const auto later = wallStart + 5'000;
    const auto ran = idAt(later, 1);
    ASSERT_EQ(first.begin(now, later, ran).verdict, LedgerVerdict::Accept);
    first.answered(ran, {201, {{"X-Order", "7"}}, "booked"});
    const auto open = idAt(later, 2);
    ASSERT_EQ(first.begin(now, later, open).verdict, LedgerVerdict::Accept);

    ASSERT_TRUE(act(first, now, later, GrantAction::Revoke, 1).accepted);
    publishOwner(1);
    ASSERT_TRUE(act(second, now, later, GrantAction::Grant, 2).accepted);
    const auto fresh = idAt(later, 3);
    EXPECT_EQ(second.begin(now, later, fresh).refusal->outcome, Outcome::NotRun); // records are on their way
    deliver();
    EXPECT_EQ(second.begin(now, later, fresh).verdict, LedgerVerdict::Accept);
    const auto repeated = second.begin(now, later, ran);
    ASSERT_TRUE(repeated.response);
    EXPECT_EQ(repeated.response->body, "booked");
    EXPECT_EQ(second.begin(now, later, open).refusal->outcome, Outcome::Unknown);
    EXPECT_EQ(first.begin(now, later, idAt(later, 4)).verdict, LedgerVerdict::NotOwner);
}

// Guards against an owner that hands its records over while it can still accept ids of the range.
TEST_F(LedgerNodeTest, nothingIsHandedOverWhileTheRangeIsHeld)
{
    publishOwner(0);
    ASSERT_TRUE(act(first, start, wallStart, GrantAction::Grant, 1).accepted);
    publishOwner(1);
    ASSERT_TRUE(act(second, start, wallStart, GrantAction::Grant, 2).accepted);
    deliver();
    const auto verdict = second.begin(start + milliseconds(600), wallStart, idAt(wallStart - 1, 1));
    EXPECT_EQ(verdict.verdict, LedgerVerdict::TooOld);
    EXPECT_EQ(verdict.refusal->outcome, Outcome::Unknown);
}

// Guards against accepting ids whose former owner is lost: once the fetch of its records has timed out, they are
// refused with outcome unknown.
TEST_F(LedgerNodeTest, withoutRecordsOlderIdsAreUnknown)
{
    publishOwner(0);
    publishOwner(1);
    ASSERT_TRUE(act(second, start, wallStart, GrantAction::Grant, 2).accepted);
    const auto id = idAt(wallStart + 1'000, 1);
    EXPECT_EQ(second.begin(start, wallStart + 100, id).refusal->outcome, Outcome::NotRun);
    second.tick(start + milliseconds(600));
    EXPECT_EQ(second.begin(start + milliseconds(600), wallStart + 700, id).refusal->outcome, Outcome::Unknown);
}

// Guards against a change of coordinator, which grants the same ranges under new sequences, making fresh ids unknown.
TEST_F(LedgerNodeTest, newSequenceForTheSameOwnerIsNoTakeover)
{
    ASSERT_TRUE(act(first, start, wallStart, GrantAction::Grant, 1).accepted);
    const auto later = wallStart + 60'000;
    ASSERT_TRUE(act(first, start + seconds(1), later, GrantAction::Grant, 5).accepted);
    EXPECT_EQ(first.begin(start + seconds(1), later, idAt(later, 1)).verdict, LedgerVerdict::Accept);
}

#include <gtest/gtest.h>

#include <galenarock/ownership.h>

using namespace Galenarock;

namespace
{
constexpr SliceRange lowHalf{0, 0x7fffffffffffffff};
constexpr KeyHash lowKey = 77;

struct GrantHolderTest : testing::Test
{
    GrantHolder holder{"vitrina", 9, 1};
    Identity sender{"vm-1", 5};

    static Instant at(int ms)
    {
        return Instant(milliseconds(ms));
    }
    GrantRequest request(GrantAction action, std::uint64_t nonce, std::uint64_t sequence = 0) const
    {
        GrantRequest request{"vitrina", sender, 9, 1, nonce, 1'500, action, {}};
        if (sequence != 0) {
            request.slices.push_back({lowHalf, sequence});
        }
        return request;
    }
    std::uint64_t fence(int ms)
    {
        return holder.handle(at(ms), request(GrantAction::Fence, 0))->nonce;
    }
    GrantReply grant(int ms, std::uint64_t nonce, std::uint64_t sequence)
    {
        return *holder.handle(at(ms), request(GrantAction::Grant, nonce, sequence));
    }
};
}

// Guards against a term that is counted from the arrival of a delayed renewal.
TEST_F(GrantHolderTest, termCountsFromNonceIssue)
{
    const auto nonce = fence(0);
    EXPECT_TRUE(grant(1'000, nonce, 1).accepted);
    EXPECT_EQ(holder.check(at(1'499), lowKey, {1, 1}), GrantCheck::Accepted);
    EXPECT_EQ(holder.check(at(1'500), lowKey, {1, 1}), GrantCheck::TermEnded);
}

// Guards against a queued renewal that extends the term after its sender has stopped.
TEST_F(GrantHolderTest, oldNonceIsRefused)
{
    const auto first = fence(0);
    const auto second = grant(100, first, 1).nonce;
    EXPECT_EQ(holder.handle(at(200), request(GrantAction::Renew, first))->reason, "old-nonce");
    EXPECT_EQ(holder.handle(at(1'700), request(GrantAction::Renew, second))->reason, "old-nonce");
}

// Guards against a renewal of one member of the pair that invalidates the other member's nonce.
TEST_F(GrantHolderTest, sendersHaveNoncesOfTheirOwn)
{
    const auto coordinatorNonce = grant(0, fence(0), 1).nonce;
    auto other = request(GrantAction::Poll, 0);
    other.sender = {"vm-2", 6};
    other.nonce = holder.handle(at(100), other)->nonce;
    other.action = GrantAction::Renew;
    EXPECT_TRUE(holder.handle(at(300), other)->accepted);
    EXPECT_TRUE(holder.handle(at(400), request(GrantAction::Renew, coordinatorNonce))->accepted);
    EXPECT_EQ(holder.termEnd(), at(1'600));
}

// Guards against a frozen server that serves again what has moved.
TEST_F(GrantHolderTest, endedTermDropsEverything)
{
    grant(0, fence(0), 1);
    const auto polled = holder.handle(at(2'000), request(GrantAction::Poll, 0));
    EXPECT_TRUE(polled->held.empty());
    EXPECT_TRUE(holder.handle(at(2'001), request(GrantAction::Renew, polled->nonce))->accepted);
    EXPECT_EQ(holder.check(at(2'002), lowKey, {1, 1}), GrantCheck::NotOwner);
}

// Guards against commands of a coordinator that has been replaced, and of one that has not fenced.
TEST_F(GrantHolderTest, otherEpochsAreRefused)
{
    const auto nonce = fence(0);
    auto newer = request(GrantAction::Fence, 0);
    newer.epoch = 2;
    EXPECT_TRUE(holder.handle(at(10), newer)->accepted);
    EXPECT_EQ(grant(20, nonce, 1).reason, "old-epoch");
    auto notFenced = request(GrantAction::Renew, nonce);
    notFenced.epoch = 3;
    EXPECT_EQ(holder.handle(at(30), notFenced)->reason, "not-fenced");
}

// Guards against a takeover that interrupts service: the slice is held under either epoch.
TEST_F(GrantHolderTest, fenceKeepsSlices)
{
    grant(0, fence(0), 4);
    auto newer = request(GrantAction::Fence, 0);
    newer.epoch = 2;
    EXPECT_EQ(holder.handle(at(10), newer)->held.size(), 1u);
    EXPECT_EQ(holder.check(at(20), lowKey, {1, 4}), GrantCheck::Accepted);
    EXPECT_EQ(holder.check(at(20), lowKey, {2, 4}), GrantCheck::Accepted);
    EXPECT_EQ(holder.check(at(20), lowKey, {1, 3}), GrantCheck::NotOwner);
}

// Guards against a revoke that is acknowledged while requests of the slice still run.
TEST_F(GrantHolderTest, revokeWaitsForRequestsInFlight)
{
    grant(0, fence(0), 1);
    EXPECT_EQ(holder.begin(at(10), lowKey, {1, 1}), GrantCheck::Accepted);
    EXPECT_FALSE(holder.handle(at(20), request(GrantAction::Revoke, 0, 1), 42));
    EXPECT_EQ(holder.begin(at(30), lowKey, {1, 1}), GrantCheck::NotOwner);
    const auto done = holder.end(at(40), lowKey);
    ASSERT_EQ(done.size(), 1u);
    EXPECT_EQ(done[0].ticket, 42u);
    EXPECT_TRUE(done[0].reply.accepted);
    EXPECT_TRUE(done[0].reply.held.empty());
}

// Guards against a grant that arrives after the revoke that followed it.
TEST_F(GrantHolderTest, lateGrantOfRevokedSequenceIsRefused)
{
    grant(0, fence(0), 3);
    const auto nonce = holder.handle(at(10), request(GrantAction::Revoke, 0, 3))->nonce;
    EXPECT_EQ(grant(20, nonce, 3).reason, "old-sequence");
}

// Guards against promises made to an earlier process of the same server.
TEST_F(GrantHolderTest, otherBootIsRefused)
{
    auto renewal = request(GrantAction::Renew, fence(0));
    renewal.boot = 8;
    EXPECT_EQ(holder.handle(at(10), renewal)->reason, "other-boot");
    renewal.action = GrantAction::Poll;
    renewal.boot = 0;
    EXPECT_TRUE(holder.handle(at(20), renewal)->accepted);
}

// Guards against new work on a server that is leaving.
TEST_F(GrantHolderTest, drainingRefusesGrantsAndLaterRequests)
{
    const auto nonce = grant(0, fence(0), 1).nonce;
    holder.drain(at(10));
    const auto refused = grant(20, nonce, 2);
    EXPECT_EQ(refused.reason, "draining");
    EXPECT_TRUE(holder.handle(at(1'000), request(GrantAction::Renew, refused.nonce))->accepted);
    EXPECT_EQ(holder.check(at(1'200), lowKey, {1, 1}), GrantCheck::Accepted);
    EXPECT_EQ(holder.check(at(2'011), lowKey, {1, 1}), GrantCheck::Draining);
}

// Guards against a re-grant that breaks requests routed under the earlier sequence, and against lost remainders.
TEST_F(GrantHolderTest, regrantOfPartKeepsTheRest)
{
    auto nonce = grant(0, fence(0), 4).nonce;
    auto part = request(GrantAction::Grant, nonce);
    part.slices = {{{100, 200}, 9}};
    EXPECT_EQ(holder.handle(at(10), part)->held.size(), 3u);
    EXPECT_EQ(holder.check(at(20), 150, {1, 9}), GrantCheck::Accepted);
    EXPECT_EQ(holder.check(at(20), 150, {1, 4}), GrantCheck::Accepted);
    EXPECT_EQ(holder.check(at(20), 99, {1, 4}), GrantCheck::Accepted);
    EXPECT_EQ(holder.check(at(20), 99, {1, 9}), GrantCheck::NotOwner);
}

// Guards against a stand-in for non-checking pools that still refuses.
TEST(GrantHolder, withoutChecksEverythingIsAccepted)
{
    GrantHolder holder("vitrina", 9, 1, {false});
    const GrantRequest grant{"vitrina", {"vm-1", 5}, 9, 0, 0, 1'500, GrantAction::Grant, {{lowHalf, 1}}};
    EXPECT_TRUE(holder.handle(Instant(), grant)->accepted);
    EXPECT_EQ(holder.check(Instant(seconds(9)), ~KeyHash(0), {7, 7}), GrantCheck::Accepted);
}

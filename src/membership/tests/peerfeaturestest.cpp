#include <gtest/gtest.h>

#include <galenarock/peerfeatures.h>

using namespace Galenarock;

namespace
{
const Instant start{seconds(1'000)};

Member member(const std::string &name, std::uint64_t boot, MemberStatus status = MemberStatus::Alive)
{
    Member result;
    result.identity = {name, boot};
    result.status = status;
    return result;
}

PeerBuild build(PeerFeature feature)
{
    return {static_cast<std::uint32_t>(feature), "7"};
}

std::vector<SendPeerAction> sent(const ControlActions &actions)
{
    std::vector<SendPeerAction> messages;
    for (const auto &it : actions) {
        messages.push_back(std::get<SendPeerAction>(it));
    }
    return messages;
}

PeerEvent statementOf(const Identity &sender, const PeerBuild &stated, bool isReplyWanted)
{
    return {sender, FeatureMessage::Statement, encode(FeatureStatement{stated, isReplyWanted})};
}

/// Passes messages on until none is left.
void exchange(PeerFeatures &a, const Identity &aIdentity, PeerFeatures &b, const Identity &bIdentity, Instant now)
{
    auto fromA = sent(a.tick(now));
    while (!fromA.empty()) {
        std::vector<SendPeerAction> fromB;
        for (const auto &it : fromA) {
            for (auto &reply : sent(b.receive({aIdentity, it.type, it.payload}))) {
                fromB.push_back(std::move(reply));
            }
        }
        fromA.clear();
        for (const auto &it : fromB) {
            for (auto &reply : sent(a.receive({bIdentity, it.type, it.payload}))) {
                fromA.push_back(std::move(reply));
            }
        }
    }
}
}

// Guards against daemons of the same build that do not use what both can do.
TEST(PeerFeaturesTest, DaemonsLearnEachOthersFeatures)
{
    const std::vector<Member> members{member("vm-1", 1), member("vm-2", 2)};
    PeerFeatures a(members[0].identity, ownBuild());
    PeerFeatures b(members[1].identity, ownBuild());
    a.setMembers(members);
    b.setMembers(members);
    exchange(a, members[0].identity, b, members[1].identity, start);
    EXPECT_TRUE(a.isFleetWide(PeerFeature::Relays));
    EXPECT_TRUE(b.isFleetWide(PeerFeature::Relays));
    EXPECT_EQ(a.build(members[1].identity), ownBuild());
    EXPECT_EQ(b.membersWith(PeerFeature::BoundLeaseCalls).size(), 2U);
    EXPECT_TRUE(a.tick(start + seconds(60)).empty()) << "a known build is not asked for again";
}

// Guards against using a feature with a daemon of a build that does not have it.
TEST(PeerFeaturesTest, SilentDaemonHasNoFeatures)
{
    const std::vector<Member> members{member("vm-1", 1), member("vm-2", 2), member("vm-3", 3)};
    PeerFeatures features(members[0].identity, ownBuild());
    features.setMembers(members);
    features.receive(statementOf(members[1].identity, build(PeerFeature::Relays), false));
    EXPECT_FALSE(features.isFleetWide(PeerFeature::Relays));
    const auto relays = features.membersWith(PeerFeature::Relays);
    ASSERT_EQ(relays.size(), 2U);
    EXPECT_EQ(relays[1].identity, members[1].identity);
    EXPECT_EQ(features.membersWith(PeerFeature::BoundLeaseCalls).size(), 1U);
    EXPECT_FALSE(features.build(members[2].identity));
}

// A VM is rolled back: its new process runs an earlier build. Guards against the features of the process before.
TEST(PeerFeaturesTest, LaterProcessOfAVmStatesItsOwnFeatures)
{
    PeerFeatures features({"vm-1", 1}, ownBuild());
    features.setMembers({member("vm-1", 1), member("vm-2", 2)});
    features.receive(statementOf({"vm-2", 2}, build(PeerFeature::Relays), false));
    EXPECT_EQ(features.membersWith(PeerFeature::Relays).size(), 2U);
    features.setMembers({member("vm-1", 1), member("vm-2", 9)});
    EXPECT_EQ(features.membersWith(PeerFeature::Relays).size(), 1U);
    // A late message of the process that has ended.
    features.receive(statementOf({"vm-2", 2}, build(PeerFeature::Relays), false));
    EXPECT_EQ(features.membersWith(PeerFeature::Relays).size(), 1U);
}

// Guards against traffic to builds that never answer, and against giving up on a daemon whose messages were lost.
TEST(PeerFeaturesTest, SilentDaemonIsAskedLessAndLessOften)
{
    PeerFeatures features({"vm-1", 1}, ownBuild());
    features.setMembers({member("vm-1", 1), member("vm-2", 2), member("vm-3", 3, MemberStatus::Dead)});
    std::size_t messages = 0;
    for (auto now = start; now < start + seconds(60); now += milliseconds(50)) {
        for (const auto &it : sent(features.tick(now))) {
            EXPECT_EQ(it.vm, "vm-2");
            ++messages;
        }
    }
    EXPECT_GE(messages, 6U);
    EXPECT_LE(messages, 12U);
}

// Guards against a malformed statement that counts as one, and against answering statements without end.
TEST(PeerFeaturesTest, MalformedAndUnaskedStatementsGetNoReply)
{
    PeerFeatures features({"vm-1", 1}, ownBuild());
    features.setMembers({member("vm-1", 1), member("vm-2", 2)});
    EXPECT_TRUE(features.receive({{"vm-2", 2}, FeatureMessage::Statement, "x"}).empty());
    const auto cut = encode(FeatureStatement{ownBuild(), true});
    EXPECT_TRUE(features.receive({{"vm-2", 2}, FeatureMessage::Statement, cut.substr(0, cut.size() - 1)}).empty());
    EXPECT_FALSE(features.build({"vm-2", 2}));
    EXPECT_TRUE(features.receive(statementOf({"vm-2", 2}, ownBuild(), false)).empty());
    EXPECT_EQ(features.receive(statementOf({"vm-2", 2}, ownBuild(), true)).size(), 1U);
    EXPECT_EQ(features.build({"vm-2", 2}), ownBuild());
}

// Guards against refusing the statement of a later build, which has features that this one does not know.
TEST(PeerFeaturesTest, UnknownFeaturesAreKept)
{
    PeerFeatures features({"vm-1", 1}, ownBuild());
    features.setMembers({member("vm-1", 1), member("vm-2", 2)});
    const PeerBuild later{0xffffffffU, "9"};
    features.receive(statementOf({"vm-2", 2}, later, false));
    EXPECT_EQ(features.build({"vm-2", 2}), later);
    EXPECT_EQ(featureNames(later), featureNames(ownBuild()));
    EXPECT_EQ(featureNames({}), "none");
}

#include <gtest/gtest.h>

#include <set>

#include <galenarock/relays.h>

using namespace Galenarock;

namespace
{
const Instant Start{seconds(100)};

Member member(const std::string &name, const std::string &domain, MemberStatus status = MemberStatus::Alive)
{
    Member it;
    it.identity = {name, 1};
    it.failureDomain = domain;
    it.address = name + ":80";
    it.status = status;
    return it;
}

RelayChoice choiceOf(const std::vector<Member> &members)
{
    RelayChoice choice;
    choice.setMembers({"vm-1", 1}, "rioja", members);
    return choice;
}
}

TEST(RelayChoiceTest, PrefersTheOwnFailureDomainAndSpreadsTheRequests)
{
    const auto choice = choiceOf({member("vm-1", "rioja"), member("vm-2", "rioja"), member("vm-3", "rioja"),
                                  member("vm-4", "aragon"), member("vm-5", "rioja", MemberStatus::Leaving)});
    std::set<std::string> chosen;
    for (std::uint64_t random = 0; random < 10; ++random) {
        chosen.insert(choice.choose(Start, {}, random)->vm);
    }
    EXPECT_EQ(chosen, (std::set<std::string>{"vm-2", "vm-3"}));
    EXPECT_EQ(choice.choose(Start, {"vm-2", "vm-3"}, 0)->vm, "vm-4");
    EXPECT_FALSE(choice.choose(Start, {"vm-2", "vm-3", "vm-4"}, 0));
}

// Guards against asking VMs again and again that are partitioned from the servers as well.
TEST(RelayChoiceTest, LeavesOutDaemonsThatCouldNotHelpForAWhile)
{
    auto choice = choiceOf({member("vm-2", "rioja"), member("vm-4", "aragon")});
    choice.failed(Start, "vm-2");
    EXPECT_EQ(choice.choose(Start + milliseconds(500), {}, 0)->vm, "vm-4");
    EXPECT_EQ(choice.choose(Start + milliseconds(1'500), {}, 0)->vm, "vm-2");
}

TEST(RelayedRequestTest, RejectsMalformedText)
{
    const RelayedRequest relayed{2, 0xfedcba9876543210U};
    EXPECT_EQ(parseRelayedRequest(toString(relayed)), relayed);
    const RelayedRequest versioned{2, 5, 7};
    EXPECT_EQ(parseRelayedRequest(toString(versioned)), versioned);
    for (const auto *it : {"", "2", "2 ", "0 5", "-1 5", "2 x", "2 5 ", "99999999999 5", "2 5 0", "2 5 x", "2 5 7 ",
                           "2 5,7", "2 5 7 9"}) {
        EXPECT_FALSE(parseRelayedRequest(it)) << it;
    }
}

#include <algorithm>
#include <map>
#include <set>

#include <gtest/gtest.h>

#include <galenarock.h>

using namespace Galenarock;

namespace
{
PlacementInput makeInput(std::size_t servers, std::size_t domains, std::uint32_t slices = 256)
{
    PlacementInput input;
    for (std::size_t n = 0; n < servers; ++n) {
        input.servers.push_back(
            {{"vitrina-" + std::to_string(n), 1}, "domain-" + std::to_string(n % domains), 1, true});
        input.current.servers.push_back(input.servers.back().identity);
    }
    input.ownership.slices = slices;
    return input;
}

/// Makes the result of a policy the present assignment of the next round; loads follow the widths.
void adopt(PlacementInput &input, const std::vector<SliceTarget> &targets)
{
    input.current.slices.clear();
    input.loads.clear();
    for (const auto &it : targets) {
        input.current.slices.push_back({it.range, it.owner, 1, it.successors});
        const double width = static_cast<double>(it.range.last - it.range.first) + 1;
        input.loads.push_back({width, width});
    }
    input.current.nextSequence = 10;
}

PlacementInput placed(std::size_t servers, std::size_t domains, const PlacementPolicy &policy)
{
    auto input = makeInput(servers, domains);
    adopt(input, policy(input));
    return input;
}

ServerIndex ownerOf(const std::vector<SliceTarget> &targets, KeyHash hash)
{
    const auto it =
        std::find_if(targets.begin(), targets.end(), [hash](const SliceTarget &it) { return it.range.contains(hash); });
    return it == targets.end() ? noServer : it->owner;
}

std::size_t changedSlices(const PlacementInput &input, const std::vector<SliceTarget> &targets)
{
    std::size_t changed = 0;
    for (const auto &it : input.current.slices) {
        changed += ownerOf(targets, it.range.first) == it.owner ? 0 : 1;
    }
    return changed;
}

std::string domainOf(const PlacementInput &input, ServerIndex server)
{
    return input.servers.at(server).failureDomain;
}
}

// Guards against gaps, unusable owners, and successors that fall together with the owner's failure domain.
TEST(Placement, everyPolicyGivesAValidPartition)
{
    for (const auto &policy : placementPolicies()) {
        for (const std::size_t servers : {1, 2, 16, 17}) {
            auto input = placed(servers, 4, policy.policy);
            if (servers > 2) {
                input.servers[1].usable = false;
            }
            adopt(input, policy.policy(input));
            EXPECT_EQ(toString(input.current.validate()), "") << policy.name << " " << servers;
            for (const auto &it : input.current.slices) {
                ASSERT_TRUE(input.servers.at(it.owner).usable);
                ASSERT_EQ(it.successors.size(), std::min<std::size_t>(successorCount, servers > 2 ? 2 : servers - 1));
                for (const auto successor : it.successors) {
                    ASSERT_TRUE(input.servers.at(successor).usable);
                    ASSERT_NE(domainOf(input, successor), domainOf(input, it.owner)) << policy.name;
                }
            }
        }
    }
}

// Guards against a crash or an invalid owner while no server is usable.
TEST(Placement, withoutUsableServersTheResultIsEmpty)
{
    auto input = makeInput(2, 2);
    input.servers[0].usable = input.servers[1].usable = false;
    for (const auto &policy : placementPolicies()) {
        EXPECT_TRUE(policy.policy(input).empty()) << policy.name;
    }
}

// Guards against placement that differs between daemons or changes without a cause.
TEST(Placement, repeatedPlacementChangesNothing)
{
    for (const auto &policy : placementPolicies()) {
        auto input = placed(17, 4, policy.policy);
        input.churnBudget = 1;
        const auto first = policy.policy(input);
        EXPECT_EQ(policy.policy(input), first) << policy.name;
        EXPECT_EQ(changedSlices(input, first), 0u) << policy.name;
        adopt(input, first);
        EXPECT_EQ(policy.policy(input), first) << policy.name;
    }
}

// Guards against the loss of one server moving other servers' keys, leaving the succession, or hitting one server.
TEST(Placement, lossMovesOnlyTheLostSlicesAndSpreadsThem)
{
    for (const auto &policy : {boundedLoadsPlacement, weightedSlicesPlacement}) {
        auto input = placed(16, 3, policy);
        const auto before = input.current.slices;
        input.servers[5].usable = false;
        const auto targets = policy(input);
        std::map<ServerIndex, std::size_t> heirs;
        for (const auto &it : before) {
            const auto owner = ownerOf(targets, it.range.first);
            EXPECT_EQ(owner, it.owner == 5 ? it.successors.front() : it.owner);
            heirs[owner] += it.owner == 5 ? 1 : 0;
        }
        for (const auto &[server, count] : heirs) {
            EXPECT_LE(count, 4u) << server;
        }
    }
}

// Guards against keys that move between servers which neither joined nor left.
TEST(Placement, consistentHashingMovesOnlyToTheNewServer)
{
    auto input = placed(16, 3, consistentHashingPlacement);
    input.servers.push_back({{"vitrina-new", 1}, "domain-0", 1, true});
    const auto targets = consistentHashingPlacement(input);
    for (const auto &it : targets) {
        const auto *const before = input.current.find(it.range.first);
        EXPECT_TRUE(it.owner == before->owner || it.owner == 16);
    }
}

// Guards against a new server that stays empty, and against more moves than the churn budget allows.
TEST(Placement, newServerIsFilledWithinTheChurnBudget)
{
    auto input = placed(16, 3, weightedSlicesPlacement);
    input.servers.push_back({{"vitrina-new", 1}, "domain-0", 1, true});
    EXPECT_EQ(changedSlices(input, weightedSlicesPlacement(input)), 0u);
    input.churnBudget = 0.01;
    const auto targets = weightedSlicesPlacement(input);
    const auto isNew = [](const SliceTarget &it) {
        return it.owner == 16;
    };
    EXPECT_GE(std::count_if(targets.begin(), targets.end(), isNew), 1);
    EXPECT_LE(changedSlices(input, targets), 2u);
    input.churnBudget = 1;
    const auto filled = weightedSlicesPlacement(input);
    EXPECT_GE(std::count_if(filled.begin(), filled.end(), isNew), 8);
}

// Guards against a hot key that stays with its neighbours, at the edges of the hash space too.
TEST(Placement, hotKeysAreIsolatedMovedAndRejoined)
{
    for (const KeyHash hash : {KeyHash(0), KeyHash(0x123456789abcdef0), ~KeyHash(0)}) {
        auto input = placed(16, 3, weightedSlicesPlacement);
        const auto *const slice = input.current.find(hash);
        const auto index = static_cast<std::size_t>(slice - input.current.slices.data());
        const double total = static_cast<double>(~KeyHash(0));
        input.loads[index].requestsPerSecond += total / 4;
        input.hotKeys = {{hash, total / 4}};
        input.churnBudget = 0.05;
        auto targets = weightedSlicesPlacement(input);
        const auto isolated = std::find_if(targets.begin(), targets.end(), [hash](const SliceTarget &it) {
            return it.range == SliceRange{hash, hash};
        });
        ASSERT_NE(isolated, targets.end());
        EXPECT_EQ(isolated->owner, slice->owner) << "a slice must not be split and moved in one round";
        for (int n = 0; n < 6; ++n) {
            adopt(input, targets);
            EXPECT_EQ(toString(input.current.validate()), "");
            input.hotKeys.clear();
            targets = weightedSlicesPlacement(input);
        }
        const auto isSingle = [](const SliceTarget &it) {
            return it.range.isSingleKey();
        };
        EXPECT_EQ(std::count_if(targets.begin(), targets.end(), isSingle), 0);
    }
}

// Guards against weights without effect: a document that weighs churn must move less than one that weighs imbalance.
TEST(Placement, weightsDecideHowEagerlyLoadIsBalanced)
{
    auto input = placed(16, 3, weightedSlicesPlacement);
    for (std::size_t n = 0; n < input.loads.size(); ++n) {
        input.loads[n].requestsPerSecond *= 1 + 0.1 * input.current.slices[n].owner;
    }
    input.churnBudget = 1;
    input.weights = {5, 1, 1};
    const auto eager = changedSlices(input, weightedSlicesPlacement(input));
    input.weights = {1, 5, 5};
    const auto reluctant = changedSlices(input, weightedSlicesPlacement(input));
    EXPECT_GT(eager, reluctant);
}

// Guards against a coordinator without observations yet that dissolves hot keys or moves slices.
TEST(Placement, withoutLoadsNothingIsReshaped)
{
    auto input = placed(16, 3, weightedSlicesPlacement);
    auto &slices = input.current.slices;
    auto key = slices[10];
    key.range = {slices[10].range.first, slices[10].range.first};
    ++slices[10].range.first;
    slices.insert(slices.begin() + 10, key);
    input.loads.clear();
    input.churnBudget = 1;
    EXPECT_EQ(weightedSlicesPlacement(input).size(), slices.size());
}

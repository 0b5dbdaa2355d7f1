#include <gtest/gtest.h>

#include <galenarock/routing.h>

using namespace Galenarock;

namespace
{
Instant at(int ms)
{
    return Instant(milliseconds(1'000'000 + ms));
}

VmEntry backend(const std::string &name, const std::string &service, VmState state = VmState::Live)
{
    return {name, VmRole::Backend, service, "rioja", "127.0.0.1:80", "", state};
}

RoutingInput keyedInput()
{
    RoutingInput input;
    ServiceDocument document;
    document.service = "vitrina";
    document.distribution = Distribution::Keyed;
    input.documents = {document};
    Assignment assignment;
    assignment.service = "vitrina";
    assignment.epoch = 3;
    assignment.nextSequence = 100;
    assignment.servers = {{"a", 1}, {"b", 2}};
    assignment.slices = {{{0, 99}, 0, 5, {}},
                         {{100, 100}, 1, 6, {}},
                         {{101, ~KeyHash(0) - 1}, noServer, 7, {}},
                         {{~KeyHash(0), ~KeyHash(0)}, 1, 8, {}}};
    input.assignments = {assignment};
    input.vms.vms = {backend("b", "vitrina"), backend("a", "vitrina")};
    return input;
}
}

// Guards against an off-by-one error at slice boundaries, which would send a key to a server that does not own it.
TEST(RoutingSnapshot, ownerIsExactAtSliceBoundaries)
{
    const auto snapshot = RoutingSnapshot::build(keyedInput(), at(0));
    const auto *route = snapshot->find("vitrina");
    ASSERT_TRUE(route);
    EXPECT_EQ(route->owner(0), (Owner{0, {3, 5}, Reason::None}));
    EXPECT_EQ(route->owner(99), (Owner{0, {3, 5}, Reason::None}));
    EXPECT_EQ(route->owner(100), (Owner{1, {3, 6}, Reason::None}));
    EXPECT_EQ(route->owner(101).reason, Reason::OwnerUnavailable);
    EXPECT_EQ(route->owner(~KeyHash(0)), (Owner{1, {3, 8}, Reason::None}));
    EXPECT_FALSE(snapshot->find("vitrin"));
}

// Guards against routing keyed requests without a valid assignment, or by an older one.
TEST(RoutingSnapshot, onlyNewestValidAssignmentIsUsed)
{
    auto input = keyedInput();
    auto older = input.assignments[0];
    older.epoch = 2;
    older.nextSequence = 900;
    input.assignments.push_back(older);
    EXPECT_EQ(RoutingSnapshot::build(input, at(0))->find("vitrina")->epoch(), 3u);
    input.assignments.clear();
    EXPECT_EQ(RoutingSnapshot::build(input, at(0))->find("vitrina")->owner(1).reason, Reason::NoAssignment);
    input = keyedInput();
    input.assignments[0].slices.pop_back();
    EXPECT_EQ(RoutingSnapshot::build(input, at(0))->find("vitrina")->owner(1).reason, Reason::NoAssignment);
}

// Guards against new requests for a draining owner after the handover period (G6), also when a rebuild of the snapshot
// within the period restarts it.
TEST(RoutingSnapshot, drainingOwnerIsReturnedOnlyDuringHandover)
{
    auto input = keyedInput();
    input.vms.vms[1].state = VmState::Leaving;
    const auto first = RoutingSnapshot::build(input, at(0));
    const auto second = RoutingSnapshot::build(input, at(1'000), first.get());
    const auto *route = second->find("vitrina");
    EXPECT_EQ(route->owner(0, at(1'099)).reason, Reason::None);
    EXPECT_EQ(route->owner(0, at(1'100)).reason, Reason::OwnerUnavailable);
    EXPECT_EQ(route->owner(0).reason, Reason::OwnerUnavailable);
    EXPECT_EQ(route->owner(100).reason, Reason::None);
}

// Guards against sending requests to an owner that is no longer in the VM list, or to a draining server of a balanced
// service.
TEST(RoutingSnapshot, missingAndDrainingServersGetNoRequests)
{
    auto input = keyedInput();
    input.vms.vms.pop_back();
    EXPECT_EQ(RoutingSnapshot::build(input, at(0))->find("vitrina")->owner(0).reason, Reason::OwnerUnavailable);
    ServiceDocument document;
    document.service = "tostadero";
    input.documents = {document};
    input.vms.vms = {backend("t2", "tostadero"), backend("t1", "tostadero"), backend("a", "vitrina")};
    input.draining = {"t2"};
    const auto snapshot = RoutingSnapshot::build(input, at(0));
    const auto &servers = snapshot->find("tostadero")->servers();
    ASSERT_EQ(servers.size(), 2u);
    EXPECT_TRUE(servers[0].acceptsWork());
    EXPECT_FALSE(servers[1].acceptsWork());
    EXPECT_EQ(snapshot->find("tostadero")->serverNamed("t2"), 1);
}

#include <gtest/gtest.h>

#include <galenarock/ledger.h>

using namespace Galenarock;

namespace
{
constexpr WallMilliseconds start = 1'700'000'000'000;

Instant at(int ms)
{
    return Instant(milliseconds(1'000'000 + ms));
}

RequestId idAt(WallMilliseconds time, std::uint64_t n = 0)
{
    return {static_cast<std::uint64_t>(time) << 16 | 0x7000, std::uint64_t(2) << 62 | n};
}

RequestLedger ledger(LedgerSettings settings = {})
{
    RequestLedger ledger(settings);
    ledger.setRanges(start - 10'000, {{{0, ~KeyHash(0)}, {1, 1}}});
    ledger.renewUntil(at(1'000'000));
    return ledger;
}

const Refusal notRun{Reason::ServerShed, Outcome::NotRun, "", 0};
}

// Guards against accepting other UUID versions, whose bits are no creation time.
TEST(RequestId, parsesOnlyUuid7)
{
    const std::string text = "0192f0c1-2b3c-7abc-9def-0123456789ab";
    const auto id = parseRequestId(text);
    ASSERT_TRUE(id);
    EXPECT_EQ(toString(*id), text);
    EXPECT_EQ(id->time(), 0x0192f0c12b3c);
    EXPECT_EQ(parseRequestId("0192F0C1-2B3C-7ABC-9DEF-0123456789AB"), id);
    for (const char *it : {"", "0192f0c1-2b3c-4abc-9def-0123456789ab", "0192f0c1-2b3c-7abc-cdef-0123456789ab",
                           "0192f0c12b3c-7abc-9def-0123456789ab-", "0192f0c1-2b3c-7abc-9def-0123456789ag"}) {
        EXPECT_FALSE(parseRequestId(it)) << it;
    }
}

// Guards against running a request twice: in flight, answered, answered with a large response, and of unknown outcome.
TEST(RequestLedger, repeatsGetTheRecordedOutcome)
{
    auto requestLedger = ledger();
    const auto id = idAt(start, 1);
    EXPECT_EQ(requestLedger.begin(at(0), start, id).verdict, LedgerVerdict::Accept);
    EXPECT_EQ(requestLedger.begin(at(0), start, id).refusal->reason, Reason::RequestIdInFlight);
    requestLedger.refused(id, notRun);
    EXPECT_EQ(requestLedger.begin(at(0), start, id).verdict, LedgerVerdict::Accept)
        << "a request that did not run may run";
    const RecordedResponse response{201, {{"Content-Type", "text/plain"}}, "order 7"};
    requestLedger.answered(id, response);
    requestLedger.refused(id, notRun);
    EXPECT_EQ(*requestLedger.begin(at(0), start, id).response, response);
    const auto large = idAt(start, 2);
    EXPECT_EQ(requestLedger.begin(at(0), start, large).verdict, LedgerVerdict::Accept);
    requestLedger.answered(large, {200, {}, std::string(5'000, 'x')});
    const auto repeat = requestLedger.begin(at(0), start, large);
    EXPECT_EQ(repeat.verdict, LedgerVerdict::Duplicate);
    EXPECT_EQ(repeat.refusal->reason, Reason::RequestIdAnswered);
    EXPECT_EQ(repeat.refusal->outcome, Outcome::Unknown);
    const auto unknown = idAt(start, 3);
    EXPECT_EQ(requestLedger.begin(at(0), start, unknown).verdict, LedgerVerdict::Accept);
    requestLedger.refused(unknown, {Reason::ConnectionLost, Outcome::Unknown, "", 0});
    EXPECT_EQ(requestLedger.begin(at(0), start, unknown).refusal->reason, Reason::ConnectionLost);
}

// Guards against an old and a new ledger owner accepting the same id, with clocks up to 500 ms apart.
TEST(RequestLedger, oldAndNewOwnerNeverAcceptTheSameId)
{
    auto old = ledger();
    old.renewUntil(at(100));
    RequestLedger next;
    next.setRanges(start, {{{0, ~KeyHash(0)}, {2, 2}}});
    next.renewUntil(at(1'000'000));
    for (WallMilliseconds time = start - 3'000; time < start + 6'000; time += 7) {
        const auto id = idAt(time);
        const bool byOld = old.begin(at(99), start + 500, id).verdict == LedgerVerdict::Accept;
        const bool byNew = next.begin(at(5'000), start + 5'000, id).verdict == LedgerVerdict::Accept;
        EXPECT_FALSE(byOld && byNew) << time - start;
    }
    EXPECT_EQ(old.begin(at(100), start, idAt(start, 5)).verdict, LedgerVerdict::NotOwner);
    EXPECT_EQ(next.begin(at(0), start, idAt(start + 1'999)).refusal->outcome, Outcome::Unknown);
    EXPECT_EQ(next.begin(at(0), start, idAt(start + 2'100)).refusal->outcome, Outcome::NotRun);
}

// Guards against forgetting an id and accepting it again: after retention, with a full table, and after the wall clock
// was set forward and back.
TEST(RequestLedger, memoryIsBoundedWithoutForgetting)
{
    LedgerSettings settings;
    settings.maxEntries = 3;
    const RecordedResponse response{200, {}, "0123456789"};
    settings.maxTotalBytes = 2 * response.byteCount();
    auto requestLedger = ledger(settings);
    for (std::uint64_t n = 0; n < 3; ++n) {
        EXPECT_EQ(requestLedger.begin(at(0), start, idAt(start, n)).verdict, LedgerVerdict::Accept);
        requestLedger.answered(idAt(start, n), response);
    }
    EXPECT_EQ(requestLedger.responseBytes(), settings.maxTotalBytes);
    EXPECT_FALSE(requestLedger.begin(at(0), start, idAt(start, 0)).response);
    EXPECT_TRUE(requestLedger.begin(at(0), start, idAt(start, 2)).response);
    const auto full = requestLedger.begin(at(0), start, idAt(start, 9));
    EXPECT_EQ(full.verdict, LedgerVerdict::Full);
    EXPECT_EQ(full.refusal->outcome, Outcome::NotRun);
    const auto later = start + 600'001;
    EXPECT_EQ(requestLedger.begin(at(0), later, idAt(start, 0)).verdict, LedgerVerdict::TooOld);
    EXPECT_EQ(requestLedger.size(), 0u);
    EXPECT_EQ(requestLedger.responseBytes(), 0u);
    EXPECT_EQ(requestLedger.begin(at(0), start, idAt(start, 0)).verdict, LedgerVerdict::TooOld) << "clock set back";
    EXPECT_EQ(requestLedger.begin(at(0), start, idAt(start + 1)).verdict, LedgerVerdict::Accept);
}

// Guards against losing the takeover time when a range leaves and returns, and against a needless 2 s gap when a range
// is split without a change of owner.
TEST(RequestLedger, takeoverTimeFollowsOwnership)
{
    auto requestLedger = ledger();
    const KeyHash half = KeyHash(1) << 63;
    requestLedger.setRanges(start, {{{half, ~KeyHash(0)}, {1, 1}}, {{0, half - 1}, {1, 1}}});
    EXPECT_EQ(requestLedger.begin(at(0), start, idAt(start - 1)).verdict, LedgerVerdict::Accept);
    requestLedger.setRanges(start, {});
    EXPECT_EQ(requestLedger.begin(at(0), start, idAt(start - 2)).verdict, LedgerVerdict::NotOwner);
    requestLedger.setRanges(start, {{{0, ~KeyHash(0)}, {1, 3}}});
    EXPECT_EQ(requestLedger.begin(at(0), start, idAt(start - 2)).verdict, LedgerVerdict::TooOld);
}

// Guards against daemons that disagree about the ledger owner, and against forwarding to an owner without an address.
TEST(LedgerOwnerMap, followsTheAssignment)
{
    const KeyHash half = KeyHash(1) << 63;
    Assignment assignment;
    assignment.service = ledgerService;
    assignment.epoch = 4;
    assignment.nextSequence = 10;
    assignment.servers = {{"vm-1", 7}, {"vm-2", 8}};
    assignment.slices = {{{0, half - 1}, 0, 2, {}}, {{half, ~KeyHash(0)}, 1, 3, {}}};
    VmList vms;
    vms.vms = {{"vm-1", VmRole::Entry, "", "rioja", "127.0.0.1:80", "", VmState::Live}};
    const LedgerOwnerMap map(assignment, vms);
    int known = 0;
    for (std::uint64_t n = 0; n < 100; ++n) {
        const auto owner = map.reachableOwner(idAt(start, n));
        EXPECT_EQ(owner.has_value(), hashOf(idAt(start, n)) < half);
        known += owner ? 1 : 0;
    }
    EXPECT_GT(known, 30);
    EXPECT_EQ(map.rangesOf({"vm-2", 8}), (std::vector<LedgerRange>{{{half, ~KeyHash(0)}, {4, 3}}}));
    EXPECT_TRUE(map.rangesOf({"vm-2", 9}).empty()) << "a restarted VM keeps nothing";
}

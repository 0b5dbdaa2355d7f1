#include <gtest/gtest.h>

#include <galenarock/suspects.h>

using namespace Galenarock;

namespace
{
Instant at(int s)
{
    return Instant(seconds(1'000 + s));
}

/// Reports that the request was in flight when `server` crashed and restarted.
std::vector<SuspectReport> crash(CrashSuspects &suspects, int s, const std::string &server, Fingerprint fingerprint,
                                 std::uint64_t caller = 1)
{
    suspects.connectionLost(at(s), {fingerprint, caller, server, 10});
    return suspects.bootSeen(at(s), server, 11);
}
}

// Guards against a request that crashes one server after another, and against refusing it after a single crash.
TEST(CrashSuspects, refusedAfterTwoDistinctServers)
{
    CrashSuspects suspects;
    crash(suspects, 0, "s1", 5);
    crash(suspects, 1, "s1", 5);
    EXPECT_FALSE(suspects.refusalFor(at(1), 5));
    crash(suspects, 2, "s2", 5);
    const auto refusal = suspects.refusalFor(at(3), 5);
    ASSERT_TRUE(refusal);
    EXPECT_EQ(refusal->reason, Reason::CrashSuspect);
    EXPECT_EQ(refusal->untilMs, 599'000);
    EXPECT_FALSE(suspects.refusalFor(at(3), 6));
    EXPECT_FALSE(suspects.refusalFor(at(602), 5));
    suspects.expire(at(602));
    EXPECT_EQ(suspects.size(), 0u);
}

// Guards against counting a broken connection without a restart as a crash, and against missing a restart that was seen
// before the connection was reported lost.
TEST(CrashSuspects, onlyNewBootNumberConfirms)
{
    CrashSuspects suspects;
    suspects.bootSeen(at(0), "s1", 10);
    suspects.connectionLost(at(1), {5, 1, "s1", 0});
    EXPECT_TRUE(suspects.bootSeen(at(2), "s1", 10).empty());
    EXPECT_EQ(suspects.size(), 0u);
    EXPECT_EQ(suspects.bootSeen(at(3), "s1", 11).size(), 1u);
    EXPECT_EQ(suspects.connectionLost(at(4), {6, 1, "s1", 10}).size(), 1u);
    EXPECT_TRUE(suspects.connectionLost(at(4), {7, 1, "s9", 0}).empty());
    suspects.connectionLost(at(4), {8, 1, "s1", 11});
    EXPECT_TRUE(suspects.bootSeen(at(40), "s1", 12).empty()) << "too late to be the cause";
}

// A crashed machine falls silent, so no connection ends. Guards against a crashing request that is never refused
// (BUDGET).
TEST(CrashSuspects, silenceOfAServerThatIsThenGoneCounts)
{
    CrashSuspects suspects;
    for (int n = 0; n < 2; ++n) {
        const auto server = "s" + std::to_string(n);
        EXPECT_TRUE(suspects.unanswered(at(n), {5, 1, server, 10}).empty());
        EXPECT_EQ(suspects.bootSeen(at(n + 2), server, 11).size(), 1u);
    }
    EXPECT_TRUE(suspects.refusalFor(at(4), 5));
    EXPECT_EQ(suspects.unconfirmedSilences(), 0u);
}

// The same when the entry of the server lapses before the attempt ends.
TEST(CrashSuspects, silenceOfAServerThatIsKnownToBeGoneCounts)
{
    CrashSuspects suspects;
    suspects.bootSeen(at(0), "s1", 11);
    EXPECT_EQ(suspects.unanswered(at(1), {5, 1, "s1", 10}).size(), 1u);
}

// Guards against refusing a harmless request because its servers were slow, or this daemon was cut from them, and were
// replaced later.
TEST(CrashSuspects, silenceOfAServerThatAnswersOrStopsAsPlannedDoesNotCount)
{
    CrashSuspects suspects;
    suspects.unanswered(at(0), {5, 1, "slow", 10});
    suspects.answered("slow", 9);
    EXPECT_EQ(suspects.unconfirmedSilences(), 1u);
    suspects.answered("slow", 10);
    EXPECT_EQ(suspects.unconfirmedSilences(), 0u);
    EXPECT_TRUE(suspects.bootSeen(at(1), "slow", 11).empty());
    suspects.unanswered(at(2), {5, 1, "planned", 10});
    suspects.stoppedAsPlanned(at(3), "planned", 10);
    EXPECT_TRUE(suspects.unanswered(at(4), {6, 1, "planned", 10}).empty());
    EXPECT_TRUE(suspects.bootSeen(at(5), "planned", 11).empty());
    suspects.unanswered(at(6), {5, 1, "late", 10});
    EXPECT_TRUE(suspects.bootSeen(at(17), "late", 11).empty()) << "too late to be the cause";
    EXPECT_EQ(suspects.size(), 0u);
}

// Guards against attempts without an answer that are kept for ever.
TEST(CrashSuspects, silencesAreBoundedInNumberAndTime)
{
    SuspectSettings settings;
    settings.maxEntries = 6;
    CrashSuspects suspects(settings);
    for (Fingerprint n = 0; n < 50; ++n) {
        suspects.unanswered(at(0), {n, n, "s1", 10});
    }
    EXPECT_EQ(suspects.unconfirmedSilences(), 6u);
    suspects.unanswered(at(11), {100, 1, "s2", 10});
    EXPECT_EQ(suspects.unconfirmedSilences(), 1u);
}

// Guards against refusing a harmless request that was in flight together with the crashing one.
TEST(CrashSuspects, successClears)
{
    CrashSuspects suspects;
    crash(suspects, 0, "s1", 5);
    const auto reports = suspects.succeeded(at(1), 5);
    ASSERT_EQ(reports.size(), 1u);
    EXPECT_TRUE(reports[0].cleared);
    crash(suspects, 2, "s2", 5);
    EXPECT_FALSE(suspects.refusalFor(at(2), 5));
    suspects.connectionLost(at(3), {6, 1, "s3", 10});
    suspects.succeeded(at(3), 6);
    EXPECT_TRUE(suspects.bootSeen(at(3), "s3", 11).empty());
}

// Guards against missing a request that crashes two servers through two daemons, and against malformed messages.
TEST(CrashSuspects, reportsFromPeersAreCounted)
{
    CrashSuspects first;
    CrashSuspects second;
    const auto reports = crash(first, 0, "s1", 5);
    ASSERT_EQ(reports.size(), 1u);
    const auto payload = encode(reports[0]);
    const auto decoded = decodeSuspectReport(payload);
    ASSERT_TRUE(decoded);
    EXPECT_EQ(*decoded, reports[0]);
    EXPECT_FALSE(decodeSuspectReport(payload.substr(1)));
    EXPECT_FALSE(decodeSuspectReport(payload + "x"));
    second.reportReceived(at(0), *decoded);
    EXPECT_FALSE(second.refusalFor(at(0), 5));
    crash(second, 1, "s2", 5);
    EXPECT_TRUE(second.refusalFor(at(1), 5));
    auto cleared = reports[0];
    cleared.cleared = true;
    second.reportReceived(at(2), cleared);
    EXPECT_FALSE(second.refusalFor(at(2), 5));
}

// Guards against one caller filling the table or displacing the suspects of others.
TEST(CrashSuspects, callersAndTableAreBounded)
{
    SuspectSettings settings;
    settings.maxEntries = 6;
    settings.maxPerCaller = 4;
    CrashSuspects suspects(settings);
    crash(suspects, 0, "s1", 100, 2);
    for (Fingerprint n = 0; n < 50; ++n) {
        crash(suspects, 1, "s1", n, 1);
    }
    EXPECT_EQ(suspects.size(), 5u);
    crash(suspects, 2, "s2", 100, 2);
    EXPECT_TRUE(suspects.refusalFor(at(2), 100));
    for (Fingerprint n = 200; n < 250; ++n) {
        crash(suspects, 3, "s1", n, n);
    }
    EXPECT_EQ(suspects.size(), 6u);
}

// Guards against a crashing request that is not noted because other requests of its caller's address, such as that of a
// proxy, were under way at the crashed servers.
TEST(CrashSuspects, otherRequestsOfACallerDoNotHideTheCrashingOne)
{
    CrashSuspects suspects;
    for (int round = 0; round < 2; ++round) {
        const auto server = "s" + std::to_string(round);
        for (Fingerprint n = 0; n < 40; ++n) {
            suspects.connectionLost(at(round), {1'000 + 100 * static_cast<Fingerprint>(round) + n, 1, server, 10});
        }
        crash(suspects, round, server, 5, 1);
    }
    EXPECT_TRUE(suspects.refusalFor(at(2), 5));
}

// Guards against losing a request that crashed two servers, when many others of its caller are recorded.
TEST(CrashSuspects, requestWithMoreCrashesKeepsItsPlace)
{
    SuspectSettings settings;
    settings.maxPerCaller = 4;
    CrashSuspects suspects(settings);
    crash(suspects, 0, "s1", 5);
    crash(suspects, 0, "s2", 5);
    for (Fingerprint n = 100; n < 150; ++n) {
        crash(suspects, 1, "s3", n);
    }
    EXPECT_TRUE(suspects.refusalFor(at(2), 5));
    EXPECT_EQ(suspects.size(), 4u);
}

// Guards against different requests with the same fingerprint, and against uploads whose bodies must be buffered.
TEST(CrashSuspects, fingerprintSeparatesParts)
{
    EXPECT_NE(requestFingerprint("a", "GET", "bc", "", ""), requestFingerprint("ab", "GET", "c", "", ""));
    EXPECT_NE(requestFingerprint("a", "POST", "/x", "1", ""), requestFingerprint("a", "POST", "/x", "2", ""));
    EXPECT_EQ(requestFingerprint("a", "POST", "/x", "1", "id"), requestFingerprint("a", "POST", "/x", "2", "id"));
}

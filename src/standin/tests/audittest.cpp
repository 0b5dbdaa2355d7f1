#include <gtest/gtest.h>

#include <standin/audit_p.h>

using namespace Galenarock;
using namespace Galenarock::Standin;

namespace
{
class AuditTest : public ::testing::Test
{
protected:
    AuditTest()
    {
        Findings findings;
        input.run = "r";
        input.mix = parseMix("vitrina=1,tostadero=1", findings);
        input.journalsComplete = true;
        input.servers = {{"vitrina-1", "vitrina"}, {"vitrina-2", "vitrina"}};
    }

    RequestRecord &request(std::uint32_t service, AttemptVerdict verdict, int atMs = 0)
    {
        RequestRecord record;
        record.number = input.records.size();
        record.service = service;
        record.verdict = verdict;
        record.attempts = 1;
        record.intended = milliseconds(atMs);
        record.wasUnknown = verdict == AttemptVerdict::Unknown;
        input.records.push_back(record);
        return input.records.back();
    }
    JournalEntry &ran(std::uint64_t number, const std::string &server, int startMs = 0, const std::string &token = "")
    {
        JournalEntry entry;
        entry.target = makeTarget(input.mix[0].profile, 0, "r", number);
        entry.service = server.substr(0, server.find('-'));
        entry.server = server;
        entry.key = token.empty() ? "" : "k";
        entry.token = token;
        entry.start = Instant(milliseconds(startMs));
        entry.state = RunState::Done;
        input.journal.push_back(entry);
        return input.journal.back();
    }

    AuditInput input;
};

constexpr std::uint32_t vitrina = 0;
constexpr std::uint32_t tostadero = 1;
}

// A clean run must not be reported as faulty.
TEST_F(AuditTest, CleanRunHasNoFaults)
{
    request(tostadero, AttemptVerdict::Answered);
    request(tostadero, AttemptVerdict::NotRun);
    request(tostadero, AttemptVerdict::Unknown);
    ran(0, "tostadero-1");
    ran(2, "tostadero-1");
    const auto report = audit(input);
    EXPECT_EQ(report.faults(), 0U);
    EXPECT_EQ(report.counts.at("tostadero").answered, 1U);
    EXPECT_EQ(report.counts.at("tostadero").notRun, 1U);
    EXPECT_EQ(report.counts.at("tostadero").unknown, 1U);
}

// An order that ran twice must be found, a repeatable read that ran twice is allowed.
TEST_F(AuditTest, FindsDoubledOrders)
{
    request(tostadero, AttemptVerdict::Answered);
    request(vitrina, AttemptVerdict::Answered);
    for (const std::uint64_t number : {0, 0, 1, 1}) {
        ran(number, "tostadero-1");
    }
    EXPECT_EQ(audit(input).doubled, 1U);
}

// A body that never arrived whole did not run; a crash in the middle of the work did.
TEST_F(AuditTest, CountsOnlyWorkAsRun)
{
    request(tostadero, AttemptVerdict::NotRun);
    request(tostadero, AttemptVerdict::NotRun);
    ran(0, "tostadero-1").state = RunState::Incomplete;
    ran(1, "tostadero-1").state = RunState::Crashed;
    EXPECT_EQ(audit(input).falseNotRun, 1U);
}

// After an unknown outcome, a later not-run speaks only for the later attempt.
TEST_F(AuditTest, NotRunAfterUnknownIsUnknown)
{
    request(tostadero, AttemptVerdict::NotRun).wasUnknown = true;
    ran(0, "tostadero-1");
    const auto report = audit(input);
    EXPECT_EQ(report.faults(), 0U);
    EXPECT_EQ(report.counts.at("tostadero").unknown, 1U);
}

// An answer that no server gave must be found, unless the journals are incomplete.
TEST_F(AuditTest, FindsAnswersWithoutRun)
{
    request(tostadero, AttemptVerdict::Answered);
    EXPECT_EQ(audit(input).answeredWithoutRun, 1U);
    input.journalsComplete = false;
    EXPECT_EQ(audit(input).answeredWithoutRun, 0U);
}

// Two owners at a time show as a run under an older token that starts after one under a newer token elsewhere.
TEST_F(AuditTest, FindsStaleOwners)
{
    for (std::uint64_t i = 0; i < 3; ++i) {
        request(vitrina, AttemptVerdict::Answered);
    }
    ran(0, "vitrina-1", 1, "1.5");
    ran(1, "vitrina-2", 2, "1.6");
    EXPECT_EQ(audit(input).staleOwnerRuns, 0U);
    ran(2, "vitrina-1", 3, "1.5");
    EXPECT_EQ(audit(input).staleOwnerRuns, 1U);
}

// Wrong measures would lead to a wrong choice of policy.
TEST_F(AuditTest, ComputesTheThreeMeasures)
{
    request(vitrina, AttemptVerdict::Answered, 0);
    request(vitrina, AttemptVerdict::NotRun, 1'000);
    request(vitrina, AttemptVerdict::NotRun, 1'500);
    request(vitrina, AttemptVerdict::Answered, 3'000);
    ran(0, "vitrina-1", 0, "1.5");
    ran(3, "vitrina-1", 3'000, "1.5");
    const auto measures = audit(input).measures.at("vitrina");
    EXPECT_DOUBLE_EQ(measures.loadImbalance, 2); // the second server ran nothing
    EXPECT_DOUBLE_EQ(measures.longestUnavailableSeconds, 0.5);
    EXPECT_DOUBLE_EQ(measures.keyUnavailableAtMostSeconds, 2);
    EXPECT_EQ(measures.keyMoves, 0U);
    ran(3, "vitrina-2", 4'000, "1.6");
    EXPECT_EQ(audit(input).measures.at("vitrina").keyMoves, 1U);
}

#include <gtest/gtest.h>

#include "leases/leadproof_p.h"

using namespace Galenarock;

namespace
{
const Instant start{seconds(1'000)};
constexpr Duration ReportInterval = milliseconds(250);

bool isValid(const LeadProof &proof, Instant now)
{
    return now < proof.validUntil();
}
}

// Guards against grants of a leader that another daemon may have replaced.
TEST(LeadProofTest, ConfirmationEndsBeforeAnotherDaemonTakesOver)
{
    const LeaseSettings settings;
    LeadProof proof(settings);
    EXPECT_FALSE(isValid(proof, start));
    proof.confirmed(start);
    EXPECT_TRUE(isValid(proof, start + milliseconds(100)));
    EXPECT_FALSE(isValid(proof, start + settings.takeoverAfter - settings.announceEvery));
}

// Guards against a leader that makes no calls while the store is away although the other daemons follow it.
TEST(LeadProofTest, ContinuousReportsAreEvidence)
{
    LeadProof proof{LeaseSettings()};
    auto now = start;
    for (int n = 0; n < 20; ++n, now += ReportInterval) {
        proof.accepted(now);
        proof.reported(now);
        EXPECT_EQ(isValid(proof, now), n >= 2) << n;
    }
    EXPECT_FALSE(isValid(proof, now + seconds(1)));
}

// Reports that waited in a connection arrive together at the end of a partition. Guards against taking them for those
// of daemons that still follow this leader.
TEST(LeadProofTest, LateReportsAreNoEvidence)
{
    const LeaseSettings settings;
    LeadProof proof(settings);
    for (auto now = start; now < start + seconds(2); now += ReportInterval) {
        proof.accepted(now);
        proof.reported(now);
    }
    const auto healed = start + seconds(6);
    proof.accepted(healed);
    for (int n = 0; n < 10; ++n) {
        proof.reported(healed + milliseconds(n));
        EXPECT_FALSE(isValid(proof, healed + milliseconds(n)));
    }
    proof.reported(healed + 2 * settings.announceEvery);
    EXPECT_TRUE(isValid(proof, healed + 2 * settings.announceEvery));
}

// Guards against the reports of daemons that are cut off from the servers and from a new leader together with this one.
TEST(LeadProofTest, ReportsAreNoEvidenceWhileNoServerAcceptsGrants)
{
    LeadProof proof{LeaseSettings()};
    for (auto now = start; now < start + seconds(4); now += ReportInterval) {
        proof.reported(now);
        EXPECT_FALSE(isValid(proof, now));
    }
}

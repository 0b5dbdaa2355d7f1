#include <gtest/gtest.h>

#include "leases/leadproof_p.h"

using namespace Galenarock;

namespace
{
const Instant start{seconds(1'000)};
constexpr Duration ReportInterval = milliseconds(250);

/// Evidence of a leader beside which the named daemons may run.
LeadProof proofBeside(std::vector<std::string> others)
{
    LeadProof proof{LeaseSettings()};
    proof.setOthers(std::move(others));
    return proof;
}

bool isValid(const LeadProof &proof, Instant now)
{
    return now < proof.validUntil();
}
}

// Guards against grants of a leader that another daemon has replaced and that makes grants by now.
TEST(LeadProofTest, ConfirmationEndsBeforeASuccessorMakesGrants)
{
    auto proof = proofBeside({"vm-1"});
    EXPECT_FALSE(isValid(proof, start));
    proof.confirmed(start);
    EXPECT_TRUE(isValid(proof, start + milliseconds(100)));
    EXPECT_FALSE(isValid(proof, start + LeadProof::StoreLifetime));
}

// Guards against a leader that makes no calls while the store is away although the other daemons follow it.
TEST(LeadProofTest, ContinuousReportsAreEvidence)
{
    auto proof = proofBeside({"vm-1"});
    auto now = start;
    for (int n = 0; n < 20; ++n, now += ReportInterval) {
        proof.accepted(now);
        proof.reported("vm-1", now);
        EXPECT_EQ(isValid(proof, now), n >= 2) << n;
    }
    EXPECT_FALSE(isValid(proof, now + seconds(1)));
}

// Reports that waited in a connection arrive together at the end of a partition. Guards against taking them for those
// of daemons that still follow this leader.
TEST(LeadProofTest, LateReportsAreNoEvidence)
{
    const LeaseSettings settings;
    auto proof = proofBeside({"vm-1"});
    for (auto now = start; now < start + seconds(2); now += ReportInterval) {
        proof.accepted(now);
        proof.reported("vm-1", now);
    }
    const auto healed = start + seconds(6);
    proof.accepted(healed);
    for (int n = 0; n < 10; ++n) {
        proof.reported("vm-1", healed + milliseconds(n));
        EXPECT_FALSE(isValid(proof, healed + milliseconds(n)));
    }
    proof.reported("vm-1", healed + 2 * settings.announceEvery);
    EXPECT_TRUE(isValid(proof, healed + 2 * settings.announceEvery));
}

// Guards against the reports of daemons that are cut off from the servers and from a new leader together with this one.
TEST(LeadProofTest, ReportsAreNoEvidenceWhileNoServerAcceptsGrants)
{
    auto proof = proofBeside({"vm-1"});
    for (auto now = start; now < start + seconds(4); now += ReportInterval) {
        proof.reported("vm-1", now);
        EXPECT_FALSE(isValid(proof, now));
    }
}

// Guards against the reports of one daemon as evidence while another one, which does not report, takes the lead by the
// record.
TEST(LeadProofTest, ReportsAreEvidenceOnlyFromAllOtherDaemons)
{
    auto proof = proofBeside({"vm-1", "vm-2"});
    auto now = start;
    const auto report = [&](const std::vector<std::string> &daemons) {
        for (int n = 0; n < 4; ++n, now += ReportInterval) {
            proof.accepted(now);
            for (const auto &it : daemons) {
                proof.reported(it, now);
            }
        }
    };
    report({"vm-1"});
    EXPECT_FALSE(isValid(proof, now));
    report({"vm-1", "vm-2"});
    EXPECT_TRUE(isValid(proof, now));
    report({"vm-1"});
    EXPECT_FALSE(isValid(proof, now));
}

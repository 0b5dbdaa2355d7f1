#include <gtest/gtest.h>

#include <galenarock/retry.h>

using namespace Galenarock;

namespace
{
Instant at(int ms)
{
    return Instant(milliseconds(1'000'000 + ms));
}

RetryBudget fullBudget()
{
    RetryBudget budget(100);
    for (int n = 0; n < 12; ++n) {
        budget.countFresh();
    }
    return budget;
}

AttemptReport lost(ServerIndex server)
{
    return {Reason::ConnectionLost, server, true, false, true, false};
}
}

// Guards against more than 1.1 attempts per request in a total outage, also if the balance is full at its start, and
// against a balance that grows without bound while there are no failures.
TEST(RetryBudget, amplificationIsBounded)
{
    RetryBudget budget(10);
    for (int n = 0; n < 10'000; ++n) {
        budget.countFresh();
    }
    EXPECT_LE(budget.balance(), 10);
    int retries = 0;
    for (int fresh = 1; fresh <= 10'000; ++fresh) {
        budget.countFresh();
        while (budget.tryWithdraw()) {
            ++retries;
        }
        if (fresh >= 1'000) {
            ASSERT_LE(retries * 10, fresh);
        }
    }
    EXPECT_GE(retries, 900) << "the budget is used";
}

// Guards against running a non-repeatable request twice: it is retried only if it provably did not run.
TEST(AttemptPlan, nonRepeatableIsRetriedOnlyWhenNotRun)
{
    struct Case
    {
        const char *method;
        AttemptReport report;
        bool shouldRetry;
        Outcome outcome;
    };
    const Case cases[] = {
        {"POST", {Reason::ConnectFailed, 0, false, false, true, false}, true, Outcome::NotRun},
        {"POST", {Reason::ServerShed, 0, true, true, true, false}, true, Outcome::NotRun},
        {"POST", lost(0), false, Outcome::Unknown},
        {"POST", {Reason::ServerShed, 0, true, true, false, false}, false, Outcome::NotRun},
        {"GET", lost(0), true, Outcome::NotRun},
        {"GET", {Reason::ResponseCut, 0, true, false, true, true}, false, Outcome::Unknown},
    };
    for (const auto &it : cases) {
        auto budget = fullBudget();
        AttemptPlan plan(ServiceDocument(), it.method, at(2'000));
        plan.started();
        const auto decision = plan.failed(at(0), it.report, budget, milliseconds(10), 1);
        EXPECT_EQ(decision.shouldRetry, it.shouldRetry) << it.method << reasonInfo(it.report.reason).code;
        if (!it.shouldRetry) {
            EXPECT_EQ(decision.refusal.outcome, it.outcome);
        }
    }
}

// Guards against reporting `not-run` when an earlier attempt may have run.
TEST(AttemptPlan, outcomeIsUnknownIfAnEarlierAttemptMayHaveRun)
{
    auto budget = fullBudget();
    AttemptPlan plan(ServiceDocument(), "GET", at(2'000));
    plan.started();
    EXPECT_TRUE(plan.failed(at(0), lost(0), budget, {}, 1).shouldRetry);
    plan.started();
    const AttemptReport refused{Reason::ConnectFailed, 1, false, false, true, false};
    EXPECT_TRUE(plan.failed(at(0), refused, budget, {}, 1).shouldRetry);
    plan.started();
    const auto decision = plan.failed(at(0), refused, budget, {}, 1);
    EXPECT_FALSE(decision.shouldRetry);
    EXPECT_EQ(decision.refusal.outcome, Outcome::Unknown);
    EXPECT_EQ(plan.triedServers(), (std::vector<ServerIndex>{0, 1, 1}));
}

// Guards against reporting `not-run` for a request that was sent when the end of the attempt was never reported.
TEST(AttemptPlan, outcomeIsUnknownUntilTheEndOfAnAttemptIsReported)
{
    AttemptPlan plan(ServiceDocument(), "POST", at(2'000));
    EXPECT_FALSE(plan.mayHaveRun());
    plan.sending();
    EXPECT_TRUE(plan.mayHaveRun());
    plan.ended(true);
    EXPECT_FALSE(plan.mayHaveRun());
    plan.sending();
    plan.ended(false);
    plan.sending();
    plan.ended(true);
    EXPECT_TRUE(plan.mayHaveRun());
}

// Guards against a request whose retries crash a third server.
TEST(AttemptPlan, noThirdServerAfterTwoLostConnections)
{
    auto budget = fullBudget();
    ServiceDocument document;
    document.retry.maxAttempts = 9;
    AttemptPlan plan(document, "GET", at(2'000));
    plan.started();
    EXPECT_TRUE(plan.failed(at(0), lost(0), budget, {}, 1).shouldRetry);
    plan.started();
    EXPECT_FALSE(plan.failed(at(0), lost(1), budget, {}, 1).shouldRetry);
}

// Guards against attempts that cannot finish in time, and against spending the budget on them.
TEST(AttemptPlan, deadlineAndBudgetEndRetries)
{
    auto budget = fullBudget();
    const double before = budget.balance();
    AttemptPlan plan(ServiceDocument(), "GET", at(100));
    plan.started();
    const AttemptReport refused{Reason::ConnectFailed, 1, false, false, true, false};
    const auto late = plan.failed(at(60), refused, budget, milliseconds(50), 1);
    EXPECT_EQ(late.refusal.reason, Reason::DeadlineTooShort);
    EXPECT_EQ(budget.balance(), before);
    RetryBudget empty(10);
    EXPECT_EQ(plan.failed(at(0), refused, empty, milliseconds(50), 1).refusal.reason, Reason::RetryBudget);
    EXPECT_EQ(remainingForHop(at(0), at(100)), 97);
    EXPECT_EQ(remainingForHop(at(200), at(100)), 0);
}

// Guards against hedging writes, hedging without a setting for it, and hedging twice.
TEST(AttemptPlan, hedgesIdempotentReadsOnce)
{
    auto budget = fullBudget();
    ServiceDocument document;
    EXPECT_FALSE(AttemptPlan(document, "GET", at(2'000)).hedgeAt(at(0)));
    document.retry.hedgeAfterMs = 40;
    document.requests.idempotentMethods.push_back("PUT");
    EXPECT_FALSE(AttemptPlan(document, "PUT", at(2'000)).hedgeAt(at(0)));
    AttemptPlan plan(document, "GET", at(2'000));
    plan.started();
    EXPECT_EQ(plan.hedgeAt(at(0)), at(40));
    EXPECT_TRUE(plan.tryHedge(at(40), budget, milliseconds(10)));
    EXPECT_FALSE(plan.tryHedge(at(41), budget, milliseconds(10)));
    EXPECT_FALSE(plan.hedgeAt(at(0)));
}

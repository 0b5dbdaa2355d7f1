#include <gtest/gtest.h>

#include <standin/backendprocess_p.h>
#include <standin/journalreader_p.h>
#include <standin/loadrun_p.h>

#include "loopthread.h"

using namespace Galenarock;
using namespace Galenarock::Standin;

namespace
{
/// Load straight at one unchecked backend server, without a router in between.
class LoadRunTest : public ::testing::Test
{
protected:
    LoadRunTest()
    {
        BackendProcessOptions options;
        options.server.checksGrants = false;
        options.server.serviceTimeMs = 0;
        options.server.slots = 100;
        options.server.queueLength = 10'000;
        options.server.service = "tostadero";
        options.server.name = "tostadero-";
        process = std::make_unique<BackendProcess>(serverLoop, options);
        tryOr(
            [&]() -> Result<int> {
                BOOST_LEAF_CHECK(process->open({}));
                return 0;
            },
            [](ErrorCode, const std::string &detail) {
                ADD_FAILURE() << detail;
                return 1;
            });
        thread = std::make_unique<LoopThread>(serverLoop);
        load.entries = {process->servers().front()->address()};
        load.run = "run";
        load.workload.requestsPerSecond = 1'000;
        load.workload.duration = milliseconds(100);
        load.uploadBytes = 100'000;
        setMix("vitrina=1,tostadero=1,almacen=1");
    }

    void setMix(const char *mix)
    {
        Findings findings;
        load.workload.mix = parseMix(mix, findings);
    }
    void setFaults(const nlohmann::json &faults)
    {
        call({"POST", "http://" + process->address() + "/control/faults", faults.dump()});
    }
    AuditReport run()
    {
        EventLoop loop;
        LoadRun run(loop, load, [&loop] { loop.stop(); });
        run.start();
        loop.run();
        auto journals = collectJournals({process->address()});
        EXPECT_TRUE(journals.findings.empty()) << toString(journals.findings);
        AuditInput input{load.run,         load.workload.mix, run.records(),
                         journals.entries, journals.servers,  journals.isComplete};
        return audit(input);
    }

    EventLoop serverLoop;
    std::unique_ptr<BackendProcess> process;
    std::unique_ptr<LoopThread> thread;
    LoadOptions load;
};

std::uint64_t answered(const AuditReport &report)
{
    std::uint64_t n = 0;
    for (const auto &[name, it] : report.counts) {
        n += it.answered;
    }
    return n;
}
}

// Reads, orders and chunked uploads must all be recognised as whole.
TEST_F(LoadRunTest, CleanLoadIsAnsweredWhole)
{
    const auto report = run();
    EXPECT_EQ(report.faults(), 0U) << toText(report);
    EXPECT_GT(answered(report), 50U);
    EXPECT_EQ(report.journalEntries, answered(report));
}

// Each fault that the audit exists for must be found when a server commits it.
TEST_F(LoadRunTest, AuditFindsEachFault)
{
    setFaults({{"shorten", 2}});
    EXPECT_EQ(run().cut, 2U);
    load.run = "second";
    setFaults({{"mixUp", 3}});
    EXPECT_EQ(run().mixedUp, 3U);
    load.run = "third";
    setFaults({{"falseNotRun", 4}});
    EXPECT_EQ(run().falseNotRun, 4U);
}

// Without a router that remembers ids, an order that is sent again after a lost response runs twice.
TEST_F(LoadRunTest, ResentOrdersAreFoundDoubled)
{
    setMix("tostadero");
    load.resends = 1;
    load.resendDelay = milliseconds(1);
    setFaults({{"closeBefore", 1}, {"closeMiddle", 1}});
    const auto report = run();
    EXPECT_EQ(report.doubled, 2U) << toText(report);
    EXPECT_EQ(report.counts.at("tostadero").resent, 2U);
    EXPECT_EQ(report.counts.at("tostadero").unknown, 0U);
}

// A refused connection must lead to the next entry, and count as not run when all refuse.
TEST_F(LoadRunTest, RefusedConnectionsFailOver)
{
    const auto good = load.entries.front();
    load.entries = {"127.0.0.1:1", good};
    const auto report = run();
    EXPECT_EQ(report.faults(), 0U) << toText(report);
    EXPECT_GT(answered(report), 50U);
    load.run = "second";
    load.entries = {"127.0.0.1:1"};
    EXPECT_EQ(answered(run()), 0U);
}

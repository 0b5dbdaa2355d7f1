#include <gtest/gtest.h>

#include <standin/backendprocess_p.h>

#include "loopthread.h"

using namespace Galenarock;
using namespace Galenarock::Standin;

namespace
{
const std::string longWork = "Galenarock-Test: time=1000000";

class BackendTest : public ::testing::Test
{
protected:
    void start(const BackendProcessOptions &options)
    {
        process = std::make_unique<BackendProcess>(loop, options);
        tryOr(
            [&]() -> Result<int> {
                BOOST_LEAF_CHECK(process->open({}));
                return 0;
            },
            [](ErrorCode, const std::string &detail) {
                ADD_FAILURE() << detail;
                return 1;
            });
        url = "http://" + process->servers().front()->address();
        thread = std::make_unique<LoopThread>(loop);
    }
    static BackendProcessOptions unchecked()
    {
        BackendProcessOptions options;
        options.server.checksGrants = false;
        options.server.serviceTimeMs = 0;
        options.server.name = "vitrina-";
        return options;
    }

    HttpReply request(const std::string &target, std::vector<std::string> headers = {}, const std::string &body = {})
    {
        headers.emplace_back("Galenarock-Service: vitrina");
        return call({body.empty() ? "GET" : "POST", url + target, body, std::move(headers)});
    }
    HttpReply post(const std::string &path, const nlohmann::json &json)
    {
        return call({"POST", url + path, json.dump()});
    }
    nlohmann::json status()
    {
        return nlohmann::json::parse(call({"GET", url + "/control/status"}).body);
    }
    std::vector<JournalEntry> journal()
    {
        std::istringstream lines(call({"GET", "http://" + process->address() + "/control/journal"}).body);
        std::vector<JournalEntry> entries;
        for (std::string line; std::getline(lines, line);) {
            const auto json = nlohmann::json::parse(line);
            if (json.contains("end")) {
                EXPECT_EQ(json["entries"], entries.size());
                return entries;
            }
            tryOr(
                [&]() -> Result<int> {
                    BOOST_LEAF_AUTO(entry, journalEntryFromJson(json));
                    entries.push_back(std::move(entry));
                    return 0;
                },
                [](ErrorCode, const std::string &detail) {
                    ADD_FAILURE() << detail;
                    return 1;
                });
        }
        ADD_FAILURE() << "journal is cut";
        return entries;
    }
    GrantReply grant(GrantRequest request)
    {
        request.service = "vitrina";
        request.sender = {"vm-1", 5};
        request.epoch = 3;
        request.termMs = 50'000;
        const auto reply = post("/grants", toJson(request));
        return tryOr([&]() -> Result<GrantReply> { return grantReplyFromJson(nlohmann::json::parse(reply.body)); },
                     [&](ErrorCode, const std::string &) {
                         ADD_FAILURE() << reply.status << " " << reply.body;
                         return GrantReply();
                     });
    }
    /// Grants the whole hash space under token 3.7; returns the nonce for the next command.
    GrantReply grantAll()
    {
        GrantRequest request;
        auto reply = grant(request);
        request.boot = reply.boot;
        request.action = GrantAction::Fence;
        reply = grant(request);
        request.nonce = reply.nonce;
        request.action = GrantAction::Grant;
        request.slices = {{SliceRange{}, 7}};
        return grant(request);
    }
    void waitFor(const std::string &field, int value)
    {
        while (status()[field] != value) {}
    }

    EventLoop loop;
    std::unique_ptr<BackendProcess> process;
    std::string url;
    std::unique_ptr<LoopThread> thread;
};
}

// Without identity and digest in the response, a mixed-up or cut response would look like a good one.
TEST_F(BackendTest, EchoesTheRequestAndItsBody)
{
    start(unchecked());
    const auto reply =
        request("/order/1?n=9", {"Galenarock-Request-Id: id-1", "Galenarock-Key: k"}, std::string(300'000, 'b'));
    EXPECT_EQ(reply.status, 200U);
    EXPECT_EQ(reply.body.size(), 400U);
    const auto echo = nlohmann::json::parse(reply.body.substr(0, reply.body.find('\n')));
    EXPECT_EQ(echo["target"], "/order/1?n=9");
    EXPECT_EQ(echo["requestId"], "id-1");
    EXPECT_EQ(echo["bodyBytes"], 300'000);
    const auto entries = journal();
    ASSERT_EQ(entries.size(), 1U);
    EXPECT_EQ(entries[0].state, RunState::Done);
    EXPECT_EQ(entries[0].bodyHash, echo["bodyDigest"]);
    EXPECT_EQ(reply.headers.at("galenarock-load"), "0/4/0");
}

// A server must not run a request for a key that it does not hold under exactly this token.
TEST_F(BackendTest, RunsOnlyUnderAHeldToken)
{
    auto options = unchecked();
    options.server.checksGrants = true;
    start(options);
    EXPECT_EQ(request("/a", {"Galenarock-Key: k", "Galenarock-Token: 3.7"}).status, 421U);
    EXPECT_TRUE(grantAll().accepted);
    EXPECT_EQ(request("/a", {"Galenarock-Key: k", "Galenarock-Token: 3.7"}).status, 200U);
    const auto refused = request("/a", {"Galenarock-Key: k", "Galenarock-Token: 3.6"}, "body");
    EXPECT_EQ(refused.status, 421U);
    EXPECT_EQ(refused.headers.at("galenarock-outcome"), "not-run");
    EXPECT_EQ(refused.headers.at("galenarock-reason"), "not-owner");
    EXPECT_EQ(request("/a", {"Galenarock-Key: k"}).status, 421U);
    EXPECT_EQ(journal().size(), 1U);
}

// A revoke that responds before the request in flight ends would let two servers run the same key.
TEST_F(BackendTest, RevokeWaitsForRequestsInFlight)
{
    auto options = unchecked();
    options.server.checksGrants = true;
    start(options);
    const auto granted = grantAll();
    Thread worker("worker", [&] {
        request("/a", {"Galenarock-Key: k", "Galenarock-Token: 3.7", "Galenarock-Request-Id: id-1", longWork});
    });
    waitFor("inFlight", 1);
    GrantReply revoked;
    Thread revoker("revoker", [&] {
        GrantRequest command;
        command.boot = granted.boot;
        command.action = GrantAction::Revoke;
        command.slices = {{SliceRange{}, 7}};
        revoked = grant(command);
    });
    waitFor("heldSlices", 0);
    EXPECT_EQ(status()["inFlight"], 1);
    post("/cancel", {{"requestId", "id-1"}});
    revoker.join();
    worker.join();
    EXPECT_TRUE(revoked.accepted);
    EXPECT_EQ(revoked.inFlight, 0U);
}

// A full queue must refuse, not-run, and a queued request must run once a slot is free.
TEST_F(BackendTest, QueuesUpToTheLimit)
{
    auto options = unchecked();
    options.server.slots = 1;
    options.server.queueLength = 1;
    start(options);
    Thread first("first", [&] { request("/a", {"Galenarock-Request-Id: id-1", longWork}); });
    waitFor("inFlight", 1);
    HttpReply second;
    Thread queued("queued", [&] { second = request("/b", {}, "body"); });
    waitFor("queued", 1);
    const auto refused = request("/c", {}, "body");
    EXPECT_EQ(refused.status, 503U);
    EXPECT_EQ(refused.headers.at("galenarock-reason"), "shed");
    EXPECT_EQ(post("/cancel", {{"requestId", "id-1"}}).body, R"({"cancelled":true})");
    queued.join();
    first.join();
    EXPECT_EQ(second.status, 200U);
    const auto entries = journal();
    ASSERT_EQ(entries.size(), 2U);
    EXPECT_EQ(entries[0].state, RunState::Cancelled);
    EXPECT_EQ(entries[1].bytes, 4U);
}

// A queued request whose deadline passes must be refused as not-run.
TEST_F(BackendTest, DeadlineEndsAQueuedRequest)
{
    auto options = unchecked();
    options.server.slots = 1;
    start(options);
    Thread first("first", [&] { request("/a", {"Galenarock-Request-Id: id-1", longWork}); });
    waitFor("inFlight", 1);
    const auto late = request("/b", {"Galenarock-Deadline-Ms: 20"});
    EXPECT_EQ(late.status, 504U);
    EXPECT_EQ(late.headers.at("galenarock-outcome"), "not-run");
    EXPECT_EQ(late.headers.at("galenarock-reason"), "deadline");
    post("/cancel", {{"requestId", "id-1"}});
    first.join();
    EXPECT_EQ(journal().size(), 1U);
}

// A crash must break every connection, forget grants, and come back as another identity on the same port.
TEST_F(BackendTest, CrashRestartsUnderANewBoot)
{
    auto options = unchecked();
    options.server.checksGrants = true;
    options.server.crashDownMs = 20;
    start(options);
    EXPECT_TRUE(grantAll().accepted);
    const auto boot = status()["boot"];
    const auto reply = request("/a", {"Galenarock-Key: k", "Galenarock-Token: 3.7", "Galenarock-Test: crash"}, "body");
    EXPECT_EQ(reply.status, 0U);
    HttpReply after;
    while (after.status == 0) {
        after = request("/a", {"Galenarock-Key: k", "Galenarock-Token: 3.7"});
    }
    EXPECT_EQ(after.status, 421U);
    EXPECT_NE(status()["boot"], boot);
    const auto entries = journal();
    ASSERT_EQ(entries.size(), 1U);
    EXPECT_EQ(entries[0].state, RunState::Crashed);
}

// Each connection fault must look to the client like a broken response, while the journal shows that the request ran.
TEST_F(BackendTest, ClosesConnectionsOnRequest)
{
    start(unchecked());
    post("/control/faults", {{"closeBefore", 1}});
    EXPECT_EQ(request("/a").body, errorMessage(ErrorCode::AnswerLost));
    post("/control/faults", {{"closeMiddle", 1}});
    EXPECT_EQ(request("/b").status, 0U);
    EXPECT_EQ(request("/c").status, 200U);
    EXPECT_EQ(journal().size(), 3U);
}

// A draining server must refuse new work once its notice has passed, and count it as a late arrival.
TEST_F(BackendTest, DrainRefusesNewWork)
{
    auto options = unchecked();
    options.server.drainNoticeMs = 0;
    start(options);
    post("/drain", {});
    const auto reply = request("/a");
    EXPECT_EQ(reply.status, 503U);
    EXPECT_EQ(reply.headers.at("galenarock-reason"), "draining");
    EXPECT_EQ(status()["lateArrivals"], 1);
}

// Reports can be wrong; the true state must stay visible to the test.
TEST_F(BackendTest, ReportsMisleadingLoadAndHealth)
{
    start(unchecked());
    post("/control/faults",
         {{"loadReport", {{"inFlight", 0}, {"slots", 99}, {"queued", 0}}}, {"healthReport", "ready"}});
    EXPECT_EQ(request("/a").headers.at("galenarock-load"), "0/99/0");
    post("/drain", {});
    EXPECT_EQ(nlohmann::json::parse(call({"GET", url + "/health"}).body)["state"], "ready");
    EXPECT_EQ(post("/control/faults", {{"nonsense", 1}, {"crash", 3}}).status, 400U);
}

// A frozen server must accept connections without an answer and answer them after it resumes.
TEST_F(BackendTest, FreezeDelaysUntilResumed)
{
    start(unchecked());
    post("/control/faults", {{"freezeMs", 100}});
    const auto control = "http://" + process->address() + "/control/servers";
    while (nlohmann::json::parse(call({"GET", control}).body)[0]["frozen"] == false) {}
    EXPECT_EQ(request("/a").status, 200U);
    EXPECT_EQ(status()["frozen"], false);
}

// A cold server must refuse requests as not-run until its start is over.
TEST_F(BackendTest, ColdServerRefuses)
{
    auto options = unchecked();
    options.server.coldMs = 600'000;
    start(options);
    const auto reply = request("/a");
    EXPECT_EQ(reply.headers.at("galenarock-reason"), "cold");
    EXPECT_EQ(reply.headers.at("galenarock-outcome"), "not-run");
}

// Servers of one process must not share identity, port or state.
TEST_F(BackendTest, HostsManyServers)
{
    auto options = unchecked();
    options.count = 3;
    options.failureDomains = {"rioja", "navarra"};
    start(options);
    const auto vms = nlohmann::json::parse(call({"GET", "http://" + process->address() + "/control/vms"}).body);
    ASSERT_EQ(vms.size(), 3U);
    EXPECT_EQ(vms[2]["name"], "vitrina-3");
    EXPECT_EQ(vms[1]["failureDomain"], "navarra");
    EXPECT_NE(vms[0]["address"], vms[1]["address"]);
    const auto faults = nlohmann::json{{"server", "vitrina-2"}, {"shedPercent", 100}};
    EXPECT_EQ(call({"POST", "http://" + process->address() + "/control/faults", faults.dump()}).status, 200U);
    EXPECT_EQ(request("/a").status, 200U);
    url = "http://" + vms[1]["address"].get<std::string>();
    EXPECT_EQ(request("/a").status, 503U);
}

#include <gtest/gtest.h>

#include <curl/curl.h>
#include <fmt/format.h>

#include <galenarock/proxy.h>

#include "proxy/tests/rawserver.h"

using namespace Galenarock;

namespace
{
constexpr char SmallAnswer[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
constexpr char NotRunAnswer[] = "HTTP/1.1 503 Service Unavailable\r\nGalenarock-Outcome: not-run\r\n"
                                "Galenarock-Reason: shed\r\nContent-Length: 0\r\n\r\n";

std::size_t append(char *bytes, std::size_t size, std::size_t n, void *text)
{
    static_cast<std::string *>(text)->append(bytes, size * n);
    return size * n;
}

struct CallerResult
{
    CURLcode code = CURLE_OK;
    long status = 0;
    std::string head;
    std::string body;
};

/// Sends one request over a new connection.
CallerResult call(const std::string &address, const std::string &method, const std::string &path,
                  const std::vector<std::string> &headers = {}, const std::string &body = {})
{
    CallerResult result;
    CURL *handle = curl_easy_init();
    curl_slist *list = curl_slist_append(nullptr, "Expect:");
    for (const auto &it : headers) {
        list = curl_slist_append(list, it.c_str());
    }
    curl_easy_setopt(handle, CURLOPT_URL, ("http://" + address + path).c_str());
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, list);
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, append);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &result.body);
    curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, append);
    curl_easy_setopt(handle, CURLOPT_HEADERDATA, &result.head);
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, 20'000L);
    if (!body.empty()) {
        curl_easy_setopt(handle, CURLOPT_POSTFIELDS, body.c_str());
        curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE, static_cast<long>(body.size()));
    }
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, method.c_str());
    result.code = curl_easy_perform(handle);
    curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &result.status);
    curl_slist_free_all(list);
    curl_easy_cleanup(handle);
    return result;
}

const Identity self{"vm-1", 11};

std::string newRequestId(int n)
{
    return fmt::format("{:08x}-{:04x}-7abc-8def-{:012x}", wallClockNow() >> 16, wallClockNow() & 0xffff, n);
}

class ProxyTest : public testing::Test
{
protected:
    void start(Distribution distribution, const std::vector<std::string> &addresses)
    {
        RoutingInput input;
        ServiceDocument document;
        document.service = "shop";
        document.distribution = distribution;
        document.key.header = distribution == Distribution::Keyed ? "X-Key" : "";
        document.requests.maxBodyBytes = 64 << 20;
        document.requests.deadlineMs = 15'000;
        input.documents.push_back(document);
        Assignment assignment;
        assignment.service = "shop";
        assignment.epoch = 3;
        assignment.nextSequence = 9;
        for (std::size_t n = 0; n < addresses.size(); ++n) {
            const auto name = fmt::format("shop-{}", n);
            input.vms.vms.push_back({name, VmRole::Backend, "shop", "rioja", addresses[n], "", VmState::Live});
            assignment.servers.push_back({name, 7});
        }
        assignment.slices = {{{0, ~KeyHash(0)}, 0, 5, {}}};
        input.assignments.push_back(assignment);
        input.vms.vms.push_back({"vm-1", VmRole::Entry, "", "rioja", "127.0.0.1:1", "127.0.0.1:2", VmState::Live});
        shared.setSnapshot(RoutingSnapshot::build(input, MonotonicClock::now()));
        becomeLedgerOwner(input.vms);
        ASSERT_TRUE(proxy.start({"127.0.0.1:0", 1}));
    }

    /// Grants all request ids to this daemon, for a term longer than the test.
    void becomeLedgerOwner(const VmList &vms)
    {
        Assignment ledger;
        ledger.service = std::string(ledgerService);
        ledger.epoch = 1;
        ledger.nextSequence = 2;
        ledger.servers = {self};
        ledger.slices = {{{0, ~KeyHash(0)}, 0, 1, {}}};
        GrantRequest request;
        request.service = std::string(ledgerService);
        request.sender = {"vm-2", 12};
        request.epoch = 1;
        request.termMs = 60'000;
        const auto past = wallClockNow() - 10'000; // the takeover allowance is over
        const auto polled = shared.ledger().handleGrant(MonotonicClock::now(), past, request);
        request.boot = polled.boot;
        request.action = GrantAction::Fence;
        request.nonce = shared.ledger().handleGrant(MonotonicClock::now(), past, request).nonce;
        request.action = GrantAction::Grant;
        request.slices = {{{0, ~KeyHash(0)}, 1}};
        ASSERT_TRUE(shared.ledger().handleGrant(MonotonicClock::now(), past, request).accepted);
        shared.ledger().setOwners(LedgerOwnerMap(ledger, vms));
    }

    std::uint64_t counterValue(const std::string &name, const std::string &reason)
    {
        return metrics.counter(name, fmt::format("service=\"shop\",reason=\"{}\"", reason)).value();
    }

    Metrics metrics;
    ProxyShared shared{metrics, self, PeerKey{}};
    Proxy proxy{shared};
};
}

// Guards against a keyed request that reaches a server other than the owner or carries a token other than the slice's.
TEST_F(ProxyTest, keyedRequestReachesItsOwnerWithItsToken)
{
    std::string seen;
    RawServer owner([&](int, const std::string &request) {
        seen = request;
        return SmallAnswer;
    });
    RawServer other([](int, const std::string &) { return SmallAnswer; });
    start(Distribution::Keyed, {owner.address(), other.address()});
    const auto result = call(proxy.address(), "GET", "/shop/stock/almonds?x=%2F1", {"X-Key: bodega"});
    EXPECT_EQ(result.status, 200);
    EXPECT_EQ(result.body, "ok");
    EXPECT_EQ(other.requests(), 0);
    EXPECT_NE(seen.find("GET /stock/almonds?x=%2F1 HTTP/1.1"), std::string::npos) << seen;
    EXPECT_NE(seen.find("Galenarock-Token: 3.5"), std::string::npos) << seen;
}

// Guards against malformed requests that reach a server or are not answered with a refusal and its reason.
TEST_F(ProxyTest, unroutableRequestsAreRefusedNotRun)
{
    RawServer server([](int, const std::string &) { return SmallAnswer; });
    start(Distribution::Keyed, {server.address()});
    EXPECT_EQ(call(proxy.address(), "GET", "/nowhere/x").status, 404);
    const auto noKey = call(proxy.address(), "GET", "/shop/x");
    EXPECT_EQ(noKey.status, 400);
    EXPECT_NE(noKey.body.find("\"reason\":\"missing-key\""), std::string::npos);
    EXPECT_NE(noKey.head.find("Galenarock-Outcome: not-run"), std::string::npos);
    const auto noId = call(proxy.address(), "POST", "/shop/x", {"X-Key: a"}, "order");
    EXPECT_NE(noId.body.find("\"reason\":\"request-id-missing\""), std::string::npos);
    EXPECT_EQ(server.requests(), 0);
    EXPECT_EQ(counterValue("galenarock_refusals_total", "missing-key"), 1u);
}

// Guards against not retrying, or reporting outcome unknown, when a server reports that it did not run a non-repeatable
// request.
TEST_F(ProxyTest, refusedByServerIsSentToAnother)
{
    RawServer shedding([](int, const std::string &) { return NotRunAnswer; });
    RawServer healthy([](int, const std::string &) { return SmallAnswer; });
    start(Distribution::Balanced, {shedding.address(), healthy.address()});
    int answered = 0;
    for (int n = 0; n < 20; ++n) {
        const auto result = call(proxy.address(), "POST", "/shop/orders", {"Idempotency-Key: " + newRequestId(n)}, "x");
        const bool isAnsweredOrNotRun =
            result.status == 200 || result.head.find("Outcome: not-run") != std::string::npos;
        EXPECT_TRUE(isAnsweredOrNotRun) << result.head;
        answered += result.status == 200 ? 1 : 0;
    }
    EXPECT_EQ(healthy.requests(), answered);
    EXPECT_GT(shedding.requests(), 0);
}

// Guards against a non-repeatable request that is sent twice when its connection breaks, or is reported as not run.
TEST_F(ProxyTest, requestOnBrokenConnectionIsUnknownAndSentOnce)
{
    RawServer server([](int, const std::string &) { return ""; });
    start(Distribution::Balanced, {server.address()});
    const auto id = "Idempotency-Key: " + newRequestId(1);
    const auto first = call(proxy.address(), "POST", "/shop/orders", {id}, "order");
    EXPECT_EQ(first.status, 502);
    EXPECT_NE(first.body.find("\"outcome\":\"unknown\""), std::string::npos) << first.body;
    const auto again = call(proxy.address(), "POST", "/shop/orders", {id}, "order");
    EXPECT_NE(again.body.find("\"outcome\":\"unknown\""), std::string::npos) << again.body;
    EXPECT_EQ(server.requests(), 1);
}

// Guards against a server's outcome "unknown" that is forwarded as a regular response without the outcome.
TEST_F(ProxyTest, outcomeUnknownOfAServerIsPassedOn)
{
    RawServer server([](int, const std::string &) {
        return "HTTP/1.1 504 Gateway Timeout\r\nGalenarock-Outcome: unknown\r\nGalenarock-Reason: deadline\r\n"
               "Content-Length: 0\r\n\r\n";
    });
    start(Distribution::Balanced, {server.address()});
    const auto result = call(proxy.address(), "POST", "/shop/orders", {"Idempotency-Key: " + newRequestId(4)}, "x");
    EXPECT_NE(result.body.find("\"outcome\":\"unknown\""), std::string::npos) << result.body;
    EXPECT_NE(result.body.find("deadline-passed"), std::string::npos) << result.body;
    EXPECT_EQ(server.requests(), 1);
}

// Guards against a repeated request that runs a second time instead of getting the recorded response.
TEST_F(ProxyTest, repeatedRequestGetsTheRecordedResponse)
{
    RawServer server([](int, const std::string &) { return SmallAnswer; });
    start(Distribution::Balanced, {server.address()});
    const auto id = "Idempotency-Key: " + newRequestId(2);
    for (int n = 0; n < 3; ++n) {
        const auto result = call(proxy.address(), "POST", "/shop/orders", {id}, "order");
        EXPECT_EQ(result.status, 200);
        EXPECT_EQ(result.body, "ok");
    }
    EXPECT_EQ(server.requests(), 1);
}

// Guards against an incomplete response that reaches the caller as a short but well-formed one.
TEST_F(ProxyTest, cutLargeResponseIsVisiblyBroken)
{
    const std::string half(100'000, 'x');
    RawServer server(
        [&](int, const std::string &) { return "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + half; },
        RawServer::AfterAnswer::Close);
    start(Distribution::Balanced, {server.address()});
    const auto result = call(proxy.address(), "GET", "/shop/photo");
    EXPECT_EQ(result.status, 200);
    EXPECT_NE(result.code, CURLE_OK);
    EXPECT_LT(result.body.size(), 200'000u);
}

// Guards against lost, duplicated or reordered bytes of streamed bodies in either direction.
TEST_F(ProxyTest, largeBodiesArriveWhole)
{
    std::string upload(8 << 20, '\0');
    for (std::size_t n = 0; n < upload.size(); ++n) {
        upload[n] = static_cast<char>(hashKey(std::to_string(n / 64)) >> (n % 8));
    }
    bool isSame = false;
    RawServer server([&](int, const std::string &request) {
        const auto body = request.substr(request.find("\r\n\r\n") + 4);
        isSame = body == upload;
        return fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.size()) + body;
    });
    start(Distribution::Balanced, {server.address()});
    const auto result = call(proxy.address(), "PUT", "/shop/photo", {"Idempotency-Key: " + newRequestId(3)}, upload);
    EXPECT_EQ(result.code, CURLE_OK);
    EXPECT_EQ(result.status, 200);
    EXPECT_TRUE(isSame);
    EXPECT_TRUE(result.body == upload);
    EXPECT_EQ(server.requests(), 1);
}

// Guards against a worker that stops when callers send malformed HTTP or oversize headers.
TEST_F(ProxyTest, malformedHttpIsCountedAndTheWorkerGoesOn)
{
    RawServer server([](int, const std::string &) { return SmallAnswer; });
    start(Distribution::Balanced, {server.address()});
    const auto oversize = call(proxy.address(), "GET", "/shop/x", {"X-Large: " + std::string(60'000, 'h')});
    EXPECT_GE(oversize.status, 400);
    EXPECT_LT(oversize.status, 500);
    call(proxy.address(), "BAD METHOD", "/shop/x");
    EXPECT_EQ(call(proxy.address(), "GET", "/shop/x").status, 200);
}

// Guards against a stopping VM that accepts new requests or refuses them without Retry-After.
TEST_F(ProxyTest, stoppingVmRefusesNewRequests)
{
    RawServer server([](int, const std::string &) { return SmallAnswer; });
    start(Distribution::Balanced, {server.address()});
    shared.setRefusing();
    const auto result = call(proxy.address(), "GET", "/shop/x");
    EXPECT_EQ(result.status, 503);
    EXPECT_NE(result.head.find("Retry-After: "), std::string::npos) << result.head;
    EXPECT_NE(result.head.find("Connection: close"), std::string::npos) << result.head;
    EXPECT_EQ(server.requests(), 0);
}

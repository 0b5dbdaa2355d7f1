#include <gtest/gtest.h>

#include <sys/epoll.h>

#include "proxy/tests/rawserver.h"
#include "proxy/upstream_p.h"

using namespace Galenarock;

namespace
{
constexpr char KeptAnswer[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
constexpr int MaxTurns = 2'000;

class UpstreamTest : public testing::Test
{
protected:
    ~UpstreamTest() override
    {
        close(epollFd);
    }

    /// Runs one attempt until it is done and returns its result.
    AttemptResult run(const std::string &method, const std::string &address, const std::string &body,
                      bool keepsConnection = true)
    {
        AttemptRequest request;
        request.keepsConnection = keepsConnection;
        request.method = method;
        request.url = "http://" + address + "/x";
        request.headerLines = {"Expect:"};
        request.body = body.data();
        request.bodySize = static_cast<std::int64_t>(body.size());
        request.timeoutMs = 5'000;
        AttemptResult result;
        bool done = false;
        AttemptHooks hooks;
        hooks.onHead = [](unsigned, std::vector<HeaderField>) {
            return true;
        };
        hooks.onData = [&](const char *bytes, std::size_t n) {
            received.append(bytes, n);
            return DataResult::Taken;
        };
        hooks.onDone = [&](const AttemptResult &it) {
            result = it;
            done = true;
        };
        client.start(std::move(request), std::move(hooks));
        for (int turn = 0; turn < MaxTurns && !done; ++turn) {
            epoll_event event{};
            const int n =
                epoll_wait(epollFd, &event, 1, std::min(10, std::max(0, client.timeoutMs(MonotonicClock::now()))));
            if (n == 1) {
                client.handleSocket(static_cast<int>(event.data.u64 & 0xffffffffULL), event.events);
            }
            client.run(MonotonicClock::now());
        }
        EXPECT_TRUE(done);
        return result;
    }

    int epollFd = epoll_create1(0);
    UpstreamClient client{epollFd, 0};
    std::string received;
};
}

// Guards against libcurl's automatic resend: when a persistent connection closes before the first byte of the response,
// the request must have been sent only once and its outcome must be unknown, for every method with and without a body.
TEST_F(UpstreamTest, keptConnectionClosedBeforeResponseIsSentOnce)
{
    for (const std::string method : {"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"}) {
        for (const std::string body : {"", "roast order"}) {
            if (!body.empty() && (method == "GET" || method == "HEAD")) {
                continue;
            }
            RawServer server([](int number, const std::string &) { return number == 1 ? KeptAnswer : ""; });
            EXPECT_TRUE(run("GET", server.address(), "").complete);
            const auto result = run(method, server.address(), body);
            EXPECT_FALSE(result.complete) << method << " with " << body.size() << " bytes";
            EXPECT_TRUE(result.sent);
            EXPECT_TRUE(result.resendStopped);
            EXPECT_EQ(server.requests(), 2) << method << " with " << body.size() << " bytes";
        }
    }
}

// Guards against keeping more idle connections than the daemon's share, which makes a server reset connections of other
// daemons.
TEST_F(UpstreamTest, connectionBeyondTheShareIsNotKept)
{
    RawServer server([](int, const std::string &) { return KeptAnswer; });
    EXPECT_TRUE(run("GET", server.address(), "", false).isNewConnection);
    EXPECT_TRUE(run("GET", server.address(), "").isNewConnection);
    EXPECT_FALSE(run("GET", server.address(), "").isNewConnection);
    EXPECT_EQ(server.connections(), 2);
}

// Guards against reporting that a request may have run when its connection was refused.
TEST_F(UpstreamTest, refusedConnectionIsNotSent)
{
    std::string address;
    {
        RawServer server([](int, const std::string &) { return KeptAnswer; });
        address = server.address();
    }
    const auto result = run("POST", address, "x");
    EXPECT_FALSE(result.sent);
    EXPECT_FALSE(result.complete);
}

// Guards against treating a truncated body as a complete response.
TEST_F(UpstreamTest, cutResponseIsNotComplete)
{
    RawServer server([](int, const std::string &) { return "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nshort"; },
                     RawServer::AfterAnswer::Close);
    const auto result = run("GET", server.address(), "");
    EXPECT_FALSE(result.complete);
    EXPECT_TRUE(result.sent);
    EXPECT_EQ(result.status, 200u);
    EXPECT_EQ(received, "short");
}

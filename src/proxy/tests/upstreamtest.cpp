#include <gtest/gtest.h>

#include "proxy/tests/upstreamfixture.h"

using namespace Galenarock;

namespace
{
constexpr char KeptAnswer[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
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

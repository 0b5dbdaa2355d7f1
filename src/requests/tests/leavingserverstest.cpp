#include <gtest/gtest.h>

#include <galenarock/leavingservers.h>

using namespace Galenarock;

// Guards against one event for each response of a busy server, and against a lost report that is never repeated.
TEST(LeavingServers, ServerIsReportedOnceAndAgainAfterAWhile)
{
    SharedLeavingServers servers;
    std::vector<Identity> reports;
    servers.setReportHook([&](const Identity &it) { reports.push_back(it); });
    const Instant start(seconds(100));
    const Identity first{"i-1", 5};
    const Identity later{"i-1", 6};
    servers.seen(start, first);
    servers.seen(start + milliseconds(10), first);
    servers.seen(start + milliseconds(20), later);
    EXPECT_EQ(reports, (std::vector<Identity>{first, later}));
    servers.seen(start + milliseconds(600), first);
    EXPECT_EQ(reports.size(), 3U);
}

// Guards against a malformed message that ends a process or names another server.
TEST(LeavingServers, MessagesAreReadAndMalformedOnesRefused)
{
    const auto read = [](const std::string &payload) {
        return tryOr([&]() -> Result<std::optional<Identity>> { return decodeLeavingServer(payload); },
                     [](ErrorCode, const std::string &) { return std::optional<Identity>(); });
    };
    const Identity server{"i-1", 5};
    const auto payload = encodeLeavingServer(server);
    EXPECT_EQ(read(payload), server);
    for (std::size_t n = 0; n < payload.size(); ++n) {
        EXPECT_FALSE(read(payload.substr(0, n))) << n;
    }
    EXPECT_EQ(read(encodeLeavingServer({std::string(255, 'x'), 1})), (Identity{std::string(255, 'x'), 1}));
}

#include <gtest/gtest.h>

#include <condition_variable>
#include <mutex>
#include <optional>

#include "gateway/leasecaller_p.h"
#include "proxy/tests/rawserver.h"

using namespace Galenarock;

namespace
{
GatewayDialect testDialect()
{
    GatewayDialect dialect;
    dialect.encodeLeaseCall = [](const LeaseCall &) {
        return LeaseHttpCall{"POST", "/grant", {}, "{}"};
    };
    dialect.decodeLeaseReply = [](unsigned status, const HeaderLookup &, LeaseReplyEvent &reply) {
        reply.status = status == 200 ? LeaseCallStatus::Accepted : LeaseCallStatus::Refused;
    };
    return dialect;
}

class LeaseCallerTest : public testing::Test
{
protected:
    LeaseReplyEvent call(const std::string &address, Instant sendBefore)
    {
        LeaseCall it;
        it.address = address;
        it.sendBefore = sendBefore;
        caller.call(it);
        std::unique_lock lock(mutex);
        changed.wait(lock, [&] { return reply.has_value(); });
        const auto result = *reply;
        reply.reset();
        return result;
    }

    static Instant later()
    {
        return MonotonicClock::now() + seconds(60);
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::optional<LeaseReplyEvent> reply;
    GatewayDialect dialect = testDialect();
    Metrics metrics;
    LeaseCaller caller{dialect, metrics, [this](LeaseReplyEvent event) {
                           const std::lock_guard lock(mutex);
                           reply = std::move(event);
                           changed.notify_all();
                       }};
};
}

// Guards against a leader that takes its own delay for the silence of a server and moves the server's keys.
TEST_F(LeaseCallerTest, CallThatWaitedTooLongInThisProcessIsLate)
{
    RawServer server([](int, const std::string &) { return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"; });
    const auto reply = call(server.address(), MonotonicClock::now() - milliseconds(1));
    EXPECT_EQ(reply.status, LeaseCallStatus::Late);
    EXPECT_FALSE(reply.detail.empty());
    EXPECT_EQ(server.requests(), 0);
    EXPECT_EQ(call(server.address(), later()).status, LeaseCallStatus::Accepted);
}

// Guards against a log that does not tell why a server counts as silent.
TEST_F(LeaseCallerTest, FailedCallsNameTheirCause)
{
    std::string closedAddress;
    {
        RawServer server([](int, const std::string &) { return ""; });
        closedAddress = server.address();
        const auto reply = call(server.address(), later());
        EXPECT_EQ(reply.status, LeaseCallStatus::Unknown);
        EXPECT_NE(reply.detail.find("on a new connection"), std::string::npos) << reply.detail;
    }
    const auto reply = call(closedAddress, later());
    EXPECT_EQ(reply.status, LeaseCallStatus::NotSent);
    EXPECT_FALSE(reply.detail.empty());
}

// Guards against a grant that never ends because the reply's body does not.
TEST_F(LeaseCallerTest, ReplyWithoutEndTimesOut)
{
    EndlessServer server("HTTP/1.1 200 OK\r\n\r\n", std::string(4'000, 'b'));
    EXPECT_EQ(call(server.address(), later()).status, LeaseCallStatus::Unknown);
}

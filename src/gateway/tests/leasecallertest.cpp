#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <mutex>
#include <optional>

#include <netinet/tcp.h>

#include "base/sockets_p.h"
#include "gateway/leasecaller_p.h"
#include "proxy/tests/rawserver.h"

using namespace Galenarock;

namespace
{
GatewayDialect testDialect()
{
    GatewayDialect dialect;
    dialect.encodeLeaseCall = [](const LeaseCall &call) {
        return LeaseHttpCall{"POST", call.command == LeaseCommand::Grant ? "/grant" : "/release", {}, "{}"};
    };
    dialect.decodeLeaseReply = [](unsigned status, const HeaderLookup &, LeaseReplyEvent &reply) {
        reply.status = status == 200 ? LeaseCallStatus::Accepted : LeaseCallStatus::Refused;
    };
    return dialect;
}

/// A server that reads one call and never answers; notes how the connection ends.
class SilentServer
{
public:
    enum class End
    {
        Open,
        Closed,
        Reset,
    };

    SilentServer()
        : m_server([](int, const std::string &) { return "HTTP/1.1 200 OK\r\n"; })
    {
        m_server.setAfterAnswer([this](int fd) {
            char buf[256];
            const auto n = recv(fd, buf, sizeof buf, 0);
            m_end = n < 0 && errno == ECONNRESET ? End::Reset : End::Closed;
        });
    }
    std::string address() const
    {
        return m_server.address();
    }
    /// Waits until the connection has ended.
    End end() const
    {
        while (m_end == End::Open) {
            usleep(1'000);
        }
        return m_end;
    }

private:
    std::atomic<End> m_end{End::Open};
    RawServer m_server;
};

/// Accepts all calls on its first connection, and refuses all calls on later ones.
class FirstConnectionServer
{
public:
    FirstConnectionServer()
        : m_server([](int n, const std::string &) {
            return n == 1 ? Accepted : "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n";
        })
    {
        m_server.setAfterAnswer([this](int fd) {
            if (!m_isFirstAccepted) {
                m_isFirstAccepted = true;
                m_firstConnection = Thread("first-connection", [this, fd = dup(fd)] { acceptCalls(fd); });
            }
        });
    }
    ~FirstConnectionServer()
    {
        m_stop = true;
    }
    std::string address() const
    {
        return m_server.address();
    }
    int connections() const
    {
        return m_server.connections();
    }

private:
    static constexpr char Accepted[] = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

    void acceptCalls(int fd)
    {
        while (!m_stop) {
            pollfd entry{fd, POLLIN, 0};
            char buf[4096];
            if (poll(&entry, 1, 20) <= 0) {
                continue;
            }
            const auto n = read(fd, buf, sizeof buf);
            if (n <= 0) {
                break;
            }
            // The body, which ends each call, is `{}`.
            if (buf[n - 1] == '}' && write(fd, Accepted, sizeof Accepted - 1) < 0) {
                break;
            }
        }
        close(fd);
    }

    std::atomic<bool> m_stop{false};
    bool m_isFirstAccepted = false; ///< Used by the server's thread only.
    Thread m_firstConnection;
    RawServer m_server; ///< Last member: its thread uses the others.
};

/// A service of many servers: one thread that listens on many ports and accepts each call.
class ManyServers
{
public:
    explicit ManyServers(std::size_t n)
    {
        for (std::size_t it = 0; it < n; ++it) {
            m_listeners.push_back(listenOnAFreePort());
        }
        m_thread = Thread("many-servers", [this] { run(); });
    }
    ~ManyServers()
    {
        m_stop = true;
        m_thread.join();
        for (const auto &list : {m_listeners, m_connections}) {
            for (const int fd : list) {
                close(fd);
            }
        }
    }
    std::vector<std::string> addresses() const
    {
        std::vector<std::string> list;
        for (const int fd : m_listeners) {
            sockaddr_in address{};
            socklen_t n = sizeof address;
            getsockname(fd, reinterpret_cast<sockaddr *>(&address), &n);
            list.push_back("127.0.0.1:" + std::to_string(ntohs(address.sin_port)));
        }
        return list;
    }
    std::size_t accepted() const
    {
        return m_accepted;
    }

private:
    static int listenOnAFreePort()
    {
        const int fd = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof address);
        listen(fd, 16);
        return fd;
    }

    void run()
    {
        while (!m_stop) {
            std::vector<pollfd> fds;
            for (const auto &list : {m_listeners, m_connections}) {
                for (const int fd : list) {
                    fds.push_back({fd, POLLIN, 0});
                }
            }
            poll(fds.data(), fds.size(), 20);
            for (std::size_t n = 0; n < fds.size(); ++n) {
                if (fds[n].revents == 0) {
                    continue;
                }
                if (n < m_listeners.size()) {
                    m_connections.push_back(accept(fds[n].fd, nullptr, nullptr));
                    ++m_accepted;
                } else {
                    answer(fds[n].fd);
                }
            }
        }
    }

    void answer(int fd)
    {
        char buf[4096];
        const auto n = read(fd, buf, sizeof buf);
        if (n <= 0) {
            m_connections.erase(std::remove(m_connections.begin(), m_connections.end(), fd), m_connections.end());
            close(fd);
            return;
        }
        constexpr std::string_view accepted = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        const bool isWhole = buf[n - 1] == '}'; // the body of a call, `{}`
        EXPECT_TRUE(!isWhole || write(fd, accepted.data(), accepted.size()) > 0);
    }

    std::vector<int> m_listeners;
    std::vector<int> m_connections; ///< Used by the thread only, while it runs.
    std::atomic<std::size_t> m_accepted{0};
    std::atomic<bool> m_stop{false};
    Thread m_thread;
};

class LeaseCallerTest : public testing::Test
{
protected:
    LeaseReplyEvent call(const std::string &address, Instant sendBefore, std::uint64_t connection = 0,
                         LeaseCommand command = LeaseCommand::Grant)
    {
        LeaseCall it;
        it.command = command;
        it.connection = connection;
        it.address = address;
        it.sendBefore = sendBefore;
        return call(it);
    }

    LeaseReplyEvent call(const LeaseCall &it)
    {
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

    /// A grant to a server that is known not to hold some keys.
    static LeaseCall checkedGrant(const std::string &address)
    {
        LeaseCall it;
        it.address = address;
        it.sendBefore = later();
        it.unheldRange = SliceRange{1, 2};
        return it;
    }

    /// Waits until the server has closed its first connection: it accepts the next one only then.
    static void waitUntilClosed(const RawServer &server)
    {
        const auto &address = server.address();
        sockaddr_in to{};
        to.sin_family = AF_INET;
        to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        to.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1))));
        const int fd = socket(AF_INET, SOCK_STREAM, 0);
        ASSERT_EQ(connect(fd, reinterpret_cast<sockaddr *>(&to), sizeof to), 0);
        while (server.connections() < 2) {
            usleep(1'000);
        }
        close(fd);
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::optional<LeaseReplyEvent> reply;
    GatewayDialect dialect = testDialect();
    Metrics metrics;
    SharedServerReach reach;
    LeaseCaller caller{dialect, metrics, reach, [this](LeaseReplyEvent event) {
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

// Guards against taking the copy of a refusal that comes late for the reply to the next call: the leader would give the
// keys to another server although this one holds them (OWNER).
TEST_F(LeaseCallerTest, CopyOfARefusalIsNotTakenForTheReplyToTheNextGrant)
{
    const std::string refused = "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n";
    const std::string accepted = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    RawServer *self = nullptr;
    RawServer server([&](int n, const std::string &) {
        if (n == 1) {
            return refused;
        }
        return self->connections() == 1 ? refused + accepted : accepted;
    });
    self = &server;
    EXPECT_EQ(call(server.address(), later()).status, LeaseCallStatus::Refused);
    EXPECT_EQ(call(server.address(), later()).status, LeaseCallStatus::Accepted);
    EXPECT_EQ(server.connections(), 2);
}

// As above after a refused check of a new connection.
TEST_F(LeaseCallerTest, CopyOfARefusedCheckIsNotTakenForTheReplyToTheNextGrant)
{
    const std::string refused = "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n";
    const std::string accepted = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    RawServer server([&](int n, const std::string &) { return n == 1 ? refused : accepted; });
    EXPECT_EQ(call(checkedGrant(server.address())).status, LeaseCallStatus::Refused);
    EXPECT_EQ(call(server.address(), later()).status, LeaseCallStatus::Accepted);
    EXPECT_EQ(server.connections(), 2);
}

// Guards against a leader that takes the first lines of an answer for the whole: a grant that is not confirmed, or a
// refusal of a call that the server may have accepted. The log names the cause.
TEST_F(LeaseCallerTest, AnswerCutInItsHeadIsUnknown)
{
    for (const std::string status : {"100 Continue", "200 OK", "409 Conflict", "404 Not Found"}) {
        for (const std::string fields : {"", "Content-Length: 0\r", "Content-Length: 0\r\n", "Handover: x\r\n\r"}) {
            const auto answer = "HTTP/1.1 " + status + "\r\n" + fields;
            RawServer server([&](int, const std::string &) { return answer; }, RawServer::AfterAnswer::Close);
            const auto reply = call(server.address(), later());
            EXPECT_EQ(reply.status, LeaseCallStatus::Unknown) << answer;
            EXPECT_NE(reply.detail.find(" on a new connection"), std::string::npos) << reply.detail;
            EXPECT_NE(reply.detail.find(" on a new connection"), 0U) << answer;
        }
    }
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

// Guards against a renewal that goes over a new connection, at whose other end may be a later process of the server, so
// that this one takes keys under the fencing token of the earlier one (OWNER).
TEST_F(LeaseCallerTest, AcceptedTokenIsNotSentOverANewConnection)
{
    RawServer server([](int, const std::string &) { return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"; });
    const auto first = call(server.address(), later());
    ASSERT_EQ(first.status, LeaseCallStatus::Accepted);
    EXPECT_NE(first.connection, 0U);
    EXPECT_EQ(call(server.address(), later(), first.connection).status, LeaseCallStatus::Accepted);
    EXPECT_EQ(server.connections(), 1);
    EXPECT_EQ(call(server.address(), later(), first.connection + 1).status, LeaseCallStatus::Reconnected);
    EXPECT_EQ(server.requests(), 2);
}

TEST_F(LeaseCallerTest, TokenIsNotSentAfterTheConnectionWasLost)
{
    RawServer server([](int, const std::string &) { return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"; },
                     RawServer::AfterAnswer::Close);
    const auto first = call(server.address(), later());
    ASSERT_EQ(first.status, LeaseCallStatus::Accepted);
    waitUntilClosed(server);
    EXPECT_EQ(call(server.address(), later(), first.connection).status, LeaseCallStatus::Reconnected);
    EXPECT_EQ(server.requests(), 1);
    const auto renewed = call(server.address(), later());
    EXPECT_EQ(renewed.status, LeaseCallStatus::Accepted);
    EXPECT_GT(renewed.connection, first.connection);
}

// Guards against the bytes of a call that was given up: after an orderly close the kernel keeps sending them, and they
// can take effect when a cut ends, seconds after the leader has counted the grant as expired (OWNER).
TEST_F(LeaseCallerTest, GivenUpCallResetsItsConnection)
{
    SilentServer server;
    EXPECT_EQ(call(server.address(), later()).status, LeaseCallStatus::Unknown);
    EXPECT_EQ(server.end(), SilentServer::End::Reset);
}

// Guards against a socket that keeps the bytes of a call while its process is suspended and cannot give the call up.
TEST(SocketsTest, UnacknowledgedBytesAreDiscarded)
{
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    ASSERT_EQ(discardUnsent(nullptr, fd, CURLSOCKTYPE_IPCXN), CURL_SOCKOPT_OK);
    unsigned timeoutMs = 0;
    socklen_t n = sizeof timeoutMs;
    ASSERT_EQ(getsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeoutMs, &n), 0);
    EXPECT_EQ(timeoutMs, DiscardAfter.count());
    close(fd);
}

// Guards against a grant that never ends because the reply's body does not, and against reading it until the timeout.
TEST_F(LeaseCallerTest, ReplyWithoutEndIsCutOff)
{
    EndlessServer server("HTTP/1.1 200 OK\r\n\r\n", std::string(4'000, 'b'));
    const auto reply = call(server.address(), later());
    EXPECT_EQ(reply.status, LeaseCallStatus::Unknown);
    EXPECT_EQ(reply.detail.find("Timeout"), std::string::npos) << reply.detail;
}

// Guards against taking a response that arrived before a call was sent for the reply to that call.
TEST_F(LeaseCallerTest, ExtraReplyThatWaitsOnTheConnectionIsNotTaken)
{
    constexpr char accepted[] = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    std::atomic<bool> isExtraSent{false};
    RawServer server([&](int n, const std::string &) { return n == 1 ? accepted : ""; });
    server.setAfterAnswer([&](int fd) {
        usleep(20'000); // a separate packet, after the caller has read the reply
        EXPECT_EQ(write(fd, accepted, sizeof accepted - 1), static_cast<ssize_t>(sizeof accepted - 1));
        isExtraSent = true;
        char buf[256];
        EXPECT_LE(recv(fd, buf, sizeof buf, 0), 0) << "the connection was used again";
    });
    const auto first = call(server.address(), later());
    ASSERT_EQ(first.status, LeaseCallStatus::Accepted);
    while (!isExtraSent) {
        usleep(1'000);
    }
    EXPECT_EQ(call(server.address(), later(), first.connection).status, LeaseCallStatus::Reconnected);
    EXPECT_EQ(call(server.address(), later()).status, LeaseCallStatus::Unknown);
}

// Guards against an extra 200 on a kept connection that is taken for the reply to a release: the range goes to another
// server while its holder still serves it (OWNER). Grants keep the connection that their token is bound to.
TEST_F(LeaseCallerTest, ReleaseIsNotAnsweredByTheConnectionOfEarlierCalls)
{
    FirstConnectionServer server;
    const auto grant = call(server.address(), later());
    ASSERT_EQ(grant.status, LeaseCallStatus::Accepted);
    EXPECT_EQ(call(server.address(), later(), 0, LeaseCommand::Release).status, LeaseCallStatus::Refused);
    EXPECT_EQ(call(server.address(), later(), grant.connection).status, LeaseCallStatus::Accepted);
    EXPECT_EQ(server.connections(), 2);
}

// Guards against an extra 200 after the reply to a release that is taken for the reply to a later call.
TEST_F(LeaseCallerTest, NoCallFollowsOnTheConnectionOfARelease)
{
    RawServer server([](int, const std::string &) { return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"; });
    for (const auto it : {LeaseCommand::Release, LeaseCommand::Release, LeaseCommand::Grant}) {
        EXPECT_EQ(call(server.address(), later(), 0, it).status, LeaseCallStatus::Accepted);
    }
    EXPECT_EQ(server.connections(), 3);
}

// Guards against an extra 200 in the same packet as a reply that is taken for the reply to the next call.
TEST_F(LeaseCallerTest, ExtraReplyInThePacketOfTheReplyIsNotTaken)
{
    const std::string accepted = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    RawServer server([&](int n, const std::string &) {
        return n == 1 ? accepted + accepted : "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n";
    });
    EXPECT_EQ(call(server.address(), later()).status, LeaseCallStatus::Accepted);
    EXPECT_EQ(call(server.address(), later()).status, LeaseCallStatus::Refused);
    EXPECT_EQ(server.requests(), 2);
}

// Guards against a grant that waits unread on a new connection to a busy server. The server counts it from the time at
// which it reads it, and behind a cut does not see that its sender has given it up and granted the keys to another
// server (OWNER).
TEST_F(LeaseCallerTest, GrantIsNotSentOverAConnectionThatTheServerDoesNotRead)
{
    std::mutex received;
    std::string text;
    RawServer server([&](int, const std::string &request) {
        const std::lock_guard lock(received);
        text += request;
        return "HTTP/1.1 200 OK\r\n"; // never complete
    });
    const auto reply = call(checkedGrant(server.address()));
    EXPECT_EQ(reply.status, LeaseCallStatus::NotSent);
    const std::lock_guard lock(received);
    EXPECT_NE(text.find("/release"), std::string::npos) << text;
    EXPECT_EQ(text.find("/grant"), std::string::npos) << text;
}

// Guards against a check before each grant, or a connection for each check.
TEST_F(LeaseCallerTest, OneCheckServesAllGrantsOverItsConnection)
{
    std::mutex received;
    std::string paths;
    RawServer server([&](int, const std::string &request) {
        const std::lock_guard lock(received);
        paths += request.substr(0, request.find(" HTTP")) + ";";
        return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    });
    auto grant = checkedGrant(server.address());
    const auto first = call(grant);
    ASSERT_EQ(first.status, LeaseCallStatus::Accepted);
    grant.connection = first.connection;
    EXPECT_EQ(call(grant).status, LeaseCallStatus::Accepted);
    grant.connection = 0;
    EXPECT_EQ(call(grant).status, LeaseCallStatus::Accepted);
    EXPECT_EQ(server.connections(), 1);
    const std::lock_guard lock(received);
    EXPECT_EQ(paths, "POST /release;POST /grant;POST /grant;POST /grant;");
}

// Guards against a grant over a connection that was opened unseen in place of a kept one, which the server has closed.
TEST_F(LeaseCallerTest, ConnectionInPlaceOfAClosedOneIsChecked)
{
    std::mutex received;
    std::string paths;
    RawServer server([&](int, const std::string &request) {
        const std::lock_guard lock(received);
        paths += request.substr(0, request.find(" HTTP")) + ";";
        const bool isGrant = request.find("/grant") != std::string::npos;
        return std::string("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n") + (isGrant ? "Connection: close\r\n" : "")
            + "\r\n";
    });
    EXPECT_EQ(call(checkedGrant(server.address())).status, LeaseCallStatus::Accepted);
    EXPECT_EQ(call(checkedGrant(server.address())).status, LeaseCallStatus::Accepted);
    const std::lock_guard lock(received);
    EXPECT_EQ(paths, "POST /release;POST /grant;POST /release;POST /grant;");
}

// Guards against a grant to another server that listens at the address now.
TEST_F(LeaseCallerTest, GrantIsNotSentIfTheCheckIsRefused)
{
    RawServer server([](int, const std::string &) { return "HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n"; });
    EXPECT_EQ(call(checkedGrant(server.address())).status, LeaseCallStatus::Refused);
    EXPECT_EQ(server.requests(), 1);
}

// Guards against lease calls that cost a connection each, and with the check of a new connection two, because the fleet
// has more servers than the caller keeps connections.
TEST_F(LeaseCallerTest, ConnectionToEachServerOfALargeFleetIsKept)
{
    constexpr std::size_t servers = 325;
    ManyServers fleet(servers);
    const auto addresses = fleet.addresses();
    for (int round = 0; round < 3; ++round) {
        for (const auto &it : addresses) {
            EXPECT_EQ(call(it, Instant::max()).status, LeaseCallStatus::Accepted);
        }
        EXPECT_EQ(fleet.accepted(), servers) << "round " << round;
    }
}

// review/7. Guards against a call that cannot be written and ends the process, or never ends and keeps its range from
// all servers (LOST).
TEST_F(LeaseCallerTest, CallThatCannotBeWrittenHasAReply)
{
    RawServer server([](int, const std::string &) { return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"; });
    const auto encode = dialect.encodeLeaseCall;
    dialect.encodeLeaseCall = [](const LeaseCall &) -> LeaseHttpCall {
        throw std::runtime_error("not expected");
    };
    const auto failed = call(server.address(), later());
    EXPECT_EQ(failed.status, LeaseCallStatus::Unknown);
    EXPECT_FALSE(failed.detail.empty());
    dialect.encodeLeaseCall = encode;
    EXPECT_EQ(call(server.address(), later()).status, LeaseCallStatus::Accepted);
}

// As above for a reply that cannot be read.
TEST_F(LeaseCallerTest, ReplyThatCannotBeReadEndsItsCall)
{
    RawServer server([](int, const std::string &) { return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"; });
    dialect.decodeLeaseReply = [](unsigned, const HeaderLookup &, LeaseReplyEvent &) {
        throw std::runtime_error("not expected");
    };
    EXPECT_EQ(call(server.address(), later()).status, LeaseCallStatus::Unknown);
    EXPECT_EQ(call(checkedGrant(server.address())).status, LeaseCallStatus::Unknown);
}

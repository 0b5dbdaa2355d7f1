#include <map>

#include "proxy/tests/workerfixture.h"

using namespace Galenarock;

namespace
{
/// Requests that are not answered, over all servers of a test; the next ones are.
using SilenceCount = std::atomic<int>;

/// A server that answers requests on any number of connections, except those for `/a/silent` while the count is above
/// zero: these and all later ones on their connection get no answer.
class PartlySilentServer
{
public:
    explicit PartlySilentServer(SilenceCount &silences)
        : m_silences(silences)
        , m_listenFd(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        EXPECT_EQ(bind(m_listenFd, reinterpret_cast<sockaddr *>(&address), sizeof address), 0);
        listen(m_listenFd, 16);
        socklen_t n = sizeof address;
        getsockname(m_listenFd, reinterpret_cast<sockaddr *>(&address), &n);
        m_port = ntohs(address.sin_port);
        m_thread = Thread("silent-server", [this] { loop(); });
    }
    ~PartlySilentServer()
    {
        m_stop = true;
        m_thread.join();
        for (const auto &[fd, it] : m_connections) {
            close(fd);
        }
        close(m_listenFd);
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_port);
    }
    int requests() const
    {
        return m_requests;
    }
    /// Requests that were not answered, and those of them whose connection the other end has closed.
    int unanswered() const
    {
        return m_unanswered;
    }
    int closedUnanswered() const
    {
        return m_closedUnanswered;
    }

private:
    struct Connection
    {
        std::string text;
        bool isSilent = false;
    };

    void loop()
    {
        while (!m_stop) {
            std::vector<pollfd> entries{{m_listenFd, POLLIN, 0}};
            for (const auto &[fd, it] : m_connections) {
                entries.push_back({fd, POLLIN, 0});
            }
            if (poll(entries.data(), entries.size(), 20) <= 0) {
                continue;
            }
            if (entries.front().revents != 0) {
                m_connections.emplace(accept(m_listenFd, nullptr, nullptr), Connection());
            }
            for (std::size_t n = 1; n < entries.size(); ++n) {
                if (entries[n].revents != 0) {
                    serve(entries[n].fd);
                }
            }
        }
    }

    void serve(int fd)
    {
        auto &connection = m_connections.at(fd);
        char buf[4096];
        const auto n = read(fd, buf, sizeof buf);
        if (n <= 0) {
            m_closedUnanswered += connection.isSilent ? 1 : 0;
            close(fd);
            m_connections.erase(fd);
            return;
        }
        connection.text.append(buf, static_cast<std::size_t>(n));
        if (connection.text.find("\r\n\r\n") == std::string::npos) {
            return;
        }
        ++m_requests;
        const bool mayBeSilent = connection.text.find("/a/silent") != std::string::npos;
        connection.text.clear();
        if (connection.isSilent || (mayBeSilent && m_silences.fetch_sub(1) > 0)) {
            connection.isSilent = true;
            ++m_unanswered;
            return;
        }
        EXPECT_EQ(write(fd, SmallAnswer, sizeof SmallAnswer - 1), static_cast<ssize_t>(sizeof SmallAnswer - 1));
    }

    SilenceCount &m_silences;
    int m_listenFd;
    int m_port = 0;
    std::map<int, Connection> m_connections;
    std::atomic<bool> m_stop{false};
    std::atomic<int> m_requests{0};
    std::atomic<int> m_unanswered{0};
    std::atomic<int> m_closedUnanswered{0};
    Thread m_thread;
};

class SilentAttemptsTest : public WorkerTest
{
protected:
    static constexpr char SilentGet[] = "GET /a/silent HTTP/1.1\r\nHost: shop.example\r\nRequest: r-1\r\n\r\n";
    /// One more than the signs that show the pattern, since the first one meets no queue.
    static constexpr int Silences = static_cast<int>(SilenceWatch::signsToShow) + 1;

    SilentAttemptsTest()
    {
        routeTimeoutMs = 800;
        maxAttempts = 1;
    }

    void useServers(const std::vector<std::string> &addresses)
    {
        setRoutes(addresses, Distribution::Balanced);
        worker.runOnce();
    }

    /// Answers from which the service's bound is learned.
    void learnBound()
    {
        for (std::size_t n = 0; n < SilenceWatch::minAnswers; ++n) {
            ASSERT_EQ(answerToRequest(0).compare(0, 12, "HTTP/1.1 200"), 0);
        }
    }

    /// The only server goes silent for several requests at the same time, and answers another one meanwhile.
    void showPattern()
    {
        silences = Silences;
        std::vector<std::unique_ptr<RawCaller>> callers;
        for (int n = 0; n < Silences; ++n) {
            callers.push_back(std::make_unique<RawCaller>(worker.address()));
            callers.back()->send(SilentGet);
            ASSERT_TRUE(runUntil([&] { return first.unanswered() == n + 1; }));
        }
        // The worker notes that an attempt waits at its next check, and the answer must come after that.
        const auto answeredFrom = MonotonicClock::now() + milliseconds(120);
        ASSERT_TRUE(runUntil([&] { return MonotonicClock::now() >= answeredFrom; }));
        ASSERT_EQ(answerToRequest(0).compare(0, 12, "HTTP/1.1 200"), 0);
        for (const auto &it : callers) {
            ASSERT_TRUE(runUntil([&] { return !it->received().empty(); }));
            EXPECT_EQ(it->received().compare(0, 12, "HTTP/1.1 504"), 0) << it->received();
        }
        silences = 0;
        // These attempts have ejected the server, as they do in any service; it gets no request until its first probe.
        const auto probeAt = MonotonicClock::now() + ObservationSettings().probeAfter + milliseconds(50);
        ASSERT_TRUE(runUntil([&] { return MonotonicClock::now() >= probeAt; }));
    }

    /// Sends one request that the server that gets it first does not answer, and returns what the caller gets.
    std::string answerToSilentRequest()
    {
        silences = 1;
        RawCaller caller(worker.address());
        caller.send(SilentGet);
        EXPECT_TRUE(runUntil([&] { return caller.received().find("\r\n\r\n") != std::string::npos; }));
        EXPECT_TRUE(runUntil([&] { return shared.inFlight().load() == 0; }));
        return caller.received();
    }

    std::uint64_t silentAttempts(const std::string &then)
    {
        const auto labels = fmt::format("service=\"shop\",then=\"{}\"", then);
        return metrics.counter("galenarock_silent_attempts_total", labels).value();
    }

    SilenceCount silences{0};
    PartlySilentServer first{silences};
    PartlySilentServer second{silences};
};
}

// Guards against requests that end at their deadline because they wait for a server that never answers, against the
// first attempt going on beside the second, and against a later request on its connection.
TEST_F(SilentAttemptsTest, IdempotentRequestIsAnsweredByAnotherServer)
{
    useServers({first.address()});
    listen();
    learnBound();
    showPattern();
    const auto closedBefore = first.closedUnanswered();
    const auto unansweredBefore = first.unanswered();
    maxAttempts = 2;
    useServers({first.address(), second.address()});
    const auto attemptsBefore = attempts();
    const auto answer = answerToSilentRequest();
    EXPECT_EQ(answer.compare(0, 12, "HTTP/1.1 200"), 0) << answer;
    EXPECT_EQ(attempts() - attemptsBefore, 2U);
    EXPECT_EQ(silentAttempts("cancelled"), 1U);
    EXPECT_EQ(first.unanswered() + second.unanswered(), unansweredBefore + 1);
    EXPECT_TRUE(runUntil([&] { return first.closedUnanswered() + second.closedUnanswered() == closedBefore + 1; }));
}

// Guards against running an at-most-once request twice, and against an outcome that says that it has not run.
TEST_F(SilentAttemptsTest, AtMostOnceRequestWaitsForItsAnswer)
{
    useServers({first.address()});
    listen();
    learnBound();
    showPattern();
    maxAttempts = 2;
    repeatability = Repeatability::AtMostOnce;
    useServers({first.address(), second.address()});
    const auto attemptsBefore = attempts();
    const auto answer = answerToSilentRequest();
    EXPECT_EQ(answer.compare(0, 12, "HTTP/1.1 504"), 0) << answer;
    EXPECT_EQ(attempts() - attemptsBefore, 1U);
    EXPECT_EQ(silentAttempts("cancelled"), 0U);
    EXPECT_EQ(silentAttempts("waiting"), 1U);
}

// Guards against more servers than the route allows, and against ending an attempt that nothing follows.
TEST_F(SilentAttemptsTest, LastAttemptWaitsForItsAnswer)
{
    useServers({first.address()});
    listen();
    learnBound();
    showPattern();
    useServers({first.address(), second.address()});
    const auto attemptsBefore = attempts();
    const auto answer = answerToSilentRequest();
    EXPECT_EQ(answer.compare(0, 12, "HTTP/1.1 504"), 0) << answer;
    EXPECT_EQ(attempts() - attemptsBefore, 1U);
    EXPECT_EQ(silentAttempts("waiting"), 1U);
}

// Guards against sending the request to the same server again when there is no other one.
TEST_F(SilentAttemptsTest, RequestIsNotSentToTheSameServerAgain)
{
    useServers({first.address()});
    listen();
    learnBound();
    showPattern();
    maxAttempts = 2;
    useServers({first.address()});
    const auto attemptsBefore = attempts();
    const auto answer = answerToSilentRequest();
    EXPECT_EQ(answer.compare(0, 12, "HTTP/1.1 504"), 0) << answer;
    EXPECT_EQ(attempts() - attemptsBefore, 1U);
}

// Guards against a status that says "not run" when the server of the second attempt refuses the request.
TEST_F(SilentAttemptsTest, RefusalAfterACancelledAttemptStatesNothing)
{
    useServers({first.address()});
    listen();
    learnBound();
    showPattern();
    RawServer refusing(
        [](int, const std::string &) { return "HTTP/1.1 503 Busy\r\nRequest: r-1\r\nContent-Length: 2\r\n\r\nno"; });
    maxAttempts = 2;
    // The refusing server is the only other one, and is closed to the first attempt.
    failureDomains = {"rioja", "navarra"};
    closedDomains = {"navarra"};
    useServers({first.address(), refusing.address()});
    silences = 1;
    RawCaller caller(worker.address());
    caller.send(SilentGet);
    ASSERT_TRUE(runUntil([&] { return silences == 0; }));
    closedDomains.clear();
    useServers({first.address(), refusing.address()});
    ASSERT_TRUE(runUntil([&] { return caller.received().find("\r\n\r\n") != std::string::npos; }));
    EXPECT_EQ(refusing.requests(), 1);
    EXPECT_EQ(caller.received().compare(0, 10, "HTTP/1.1 5"), 0) << caller.received();
    EXPECT_NE(caller.received().compare(0, 12, "HTTP/1.1 503"), 0) << caller.received();
}

// Guards against other service for deployments whose servers have not shown the pattern.
TEST_F(SilentAttemptsTest, ServiceThatHasNotShownThePatternIsServedAsBefore)
{
    maxAttempts = 2;
    useServers({first.address(), second.address()});
    listen();
    learnBound();
    const auto attemptsBefore = attempts();
    const auto answer = answerToSilentRequest();
    EXPECT_EQ(answer.compare(0, 12, "HTTP/1.1 504"), 0) << answer;
    EXPECT_EQ(attempts() - attemptsBefore, 1U);
    EXPECT_EQ(silentAttempts("cancelled") + silentAttempts("waiting"), 0U);
}

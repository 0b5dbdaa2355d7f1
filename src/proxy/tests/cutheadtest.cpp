#include <gtest/gtest.h>

#include <mutex>

#include "proxy/tests/upstreamfixture.h"

using namespace Galenarock;

namespace
{
constexpr char KeptAnswer[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// Heads of whole answers, each with its blank line.
const std::vector<std::string> wholeHeads{
    "HTTP/1.1 200 OK\r\nRequest: r-1\r\nContent-Length: 12\r\nKeep-Alive: timeout=12\r\n\r\n",
    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nRequest: r-1\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nRequest: r-1\r\n\r\n",
    "HTTP/1.1 200 OK\r\nConnection: close\r\nRequest: r-1\r\n\r\n",
    "HTTP/1.0 200 OK\r\nRequest: r-1\r\n\r\n",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nRequest: r-1\r\n\r\n",
    "HTTP/1.1 204 No Content\r\nRequest: r-1\r\n\r\n",
    "HTTP/1.1 304 Not Modified\r\nContent-Length: 12\r\nRequest: r-1\r\n\r\n",
    "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n",
};

/// Text that the test sets and the server's thread reads.
class SharedText
{
public:
    SharedText &operator=(std::string text)
    {
        const std::lock_guard lock(m_mutex);
        m_text = std::move(text);
        return *this;
    }
    std::string get() const
    {
        const std::lock_guard lock(m_mutex);
        return m_text;
    }

private:
    mutable std::mutex m_mutex;
    std::string m_text;
};

/// Makes the close() of the connection a reset.
void resetOnClose(int fd)
{
    const linger option{1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &option, sizeof option);
}

class CutHeadTest : public UpstreamTest
{
protected:
    /// Runs one attempt whose answer is `answer`, and expects that nothing of it is passed on.
    void expectNoAnswer(const std::string &method, RawServer &server, const std::string &answer)
    {
        const auto result = run(method, server.address(), "");
        EXPECT_FALSE(result.complete) << method << ": " << answer;
        EXPECT_TRUE(result.sent) << method << ": " << answer;
        EXPECT_EQ(heads, 0) << method << ": " << answer;
        EXPECT_EQ(received, "") << method << ": " << answer;
    }

    /// Cuts each head at each of its bytes.
    void cutEverywhere(const std::function<void(int fd)> &beforeClose)
    {
        SharedText answer;
        RawServer server([&](int, const std::string &) { return answer.get(); }, RawServer::AfterAnswer::Close);
        if (beforeClose) {
            server.setAfterAnswer(beforeClose);
        }
        for (const auto &it : wholeHeads) {
            for (std::size_t n = 0; n < it.size(); ++n) {
                answer = it.substr(0, n);
                for (const std::string method : {"GET", "HEAD", "POST"}) {
                    expectNoAnswer(method, server, answer.get());
                }
            }
        }
    }
};
}

// Guards against a complete answer, with an empty or short body, from a server that closed within the head.
TEST_F(CutHeadTest, closeAtAnyByteOfTheHeadIsNoAnswer)
{
    cutEverywhere({});
}

// Guards against a complete answer from a server that reset the connection within the head.
TEST_F(CutHeadTest, resetAtAnyByteOfTheHeadIsNoAnswer)
{
    cutEverywhere(resetOnClose);
}

// Guards against a complete answer, or a second send, when a kept connection closes within the head of a later answer.
TEST_F(CutHeadTest, closeOfAKeptConnectionInTheHeadIsNoAnswer)
{
    SharedText answer;
    RawServer server([](int, const std::string &) { return KeptAnswer; });
    server.setAfterAnswer([&](int fd) {
        char buf[4096];
        if (read(fd, buf, sizeof buf) > 0) {
            const auto text = answer.get();
            EXPECT_EQ(write(fd, text.data(), text.size()), static_cast<ssize_t>(text.size()));
        }
    });
    int requests = 0;
    for (const auto &it : wholeHeads) {
        for (std::size_t n = 0; n < it.size(); ++n) {
            answer = it.substr(0, n);
            EXPECT_TRUE(run("GET", server.address(), "").complete);
            expectNoAnswer("POST", server, answer.get());
            EXPECT_EQ(server.requests(), ++requests) << answer.get();
        }
    }
}

// Guards against a complete answer from bytes that begin with no valid status line.
TEST_F(CutHeadTest, answerWithoutAStatusLineIsNoAnswer)
{
    const std::vector<std::string> answers{
        "HTTP/1.1 20\r\n\r\n",
        "HTTP/1.1 \r\n\r\n",
        "HTTP/1.1\r\n\r\n",
        "HTTP/1.1 2\r\n\r\nok",
        "HTTP/1.1 abc OK\r\n\r\n",
        "HTTP/ 200 OK\r\n\r\n",
        "HTTP/1.1 000 OK\r\n\r\n",
        "HTTP/1.1200 OK\r\n\r\n",
        "200 OK\r\n\r\n",
        "ok",
        "ok\r\n\r\n",
        "\r\n\r\n",
        "\r\nHTTP/1.1 200 OK\r\n\r\nok",
        "HTTP/1.1 2000 OK\r\n\r\nok",
        "HTTP/3.7 200 OK\r\n\r\nok",
        "HTTP/0.9 200 OK\r\n\r\nok",
        "HTTP/1.1 099 OK\r\n\r\nok",
        "HTTP/1.1 600 OK\r\n\r\nok",
        "HTTP/1.1 999 OK\r\n\r\nok",
        "HTTP/1.1 -20 OK\r\n\r\nok",
        "HTTP/1.1 100 Continue\r\n\r\n",
        "HTTP/1.1 199 Early\r\nContent-Length: 2\r\n\r\nok",
    };
    SharedText answer;
    RawServer server([&](int, const std::string &) { return answer.get(); }, RawServer::AfterAnswer::Close);
    for (const auto &it : answers) {
        answer = it;
        for (const std::string method : {"GET", "HEAD", "POST"}) {
            expectNoAnswer(method, server, answer.get());
        }
    }
}

// Guards against passing on the bytes after a 101 response, which no request asks for, as the body of an answer.
TEST_F(CutHeadTest, bytesAfterSwitchingProtocolsAreNoAnswer)
{
    const std::string answer = "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\nbytes";
    RawServer server([&](int, const std::string &) { return answer; }, RawServer::AfterAnswer::Close);
    expectNoAnswer("GET", server, answer);
}

// Guards against an answer made of two heads, when a head ends without its blank line and another one follows.
TEST_F(CutHeadTest, statusLineWithinAHeadIsNoAnswer)
{
    const std::vector<std::string> answers{
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nHTTP/1.1 404 Not Found\r\nRequest: r-1\r\n\r\nok",
        "HTTP/1.1 502 Bad Gateway\r\nHTTP/1.1 200 OK\r\nRequest: r-1\r\nContent-Length: 2\r\n\r\nok",
        "HTTP/1.1 100 Continue\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nHTTP/1.1 404 No: Object\r\nRequest: r-1\r\n\r\nok",
        "HTTP/1.1 502 Bad Gateway\r\nHTTP/1.1 200 OK: yes\r\nRequest: r-1\r\nContent-Length: 2\r\n\r\nok",
    };
    SharedText answer;
    RawServer server([&](int, const std::string &) { return answer.get(); }, RawServer::AfterAnswer::Close);
    for (const auto &it : answers) {
        answer = it;
        expectNoAnswer("GET", server, it);
    }
}

// Guards against a body with the wrong frame: a folded line may hold a length or a coding that libcurl does not read.
TEST_F(CutHeadTest, foldedLineIsNoAnswer)
{
    const std::vector<std::string> answers{
        "HTTP/1.1 200 OK\r\nTransfer-Encoding:\r\n chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding:\r\n\tchunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length:\r\n 12\r\n\r\nok",
        "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n 2\r\n\r\nok",
    };
    SharedText answer;
    RawServer server([&](int, const std::string &) { return answer.get(); }, RawServer::AfterAnswer::Close);
    for (const auto &it : answers) {
        answer = it;
        expectNoAnswer("GET", server, it);
    }
}

// Guards against passing on a body after a line that libcurl, but not this client, takes as the end of the head.
TEST_F(CutHeadTest, bytesAfterALineThatBeginsWithCrAreNoAnswer)
{
    const std::string answer = "HTTP/1.1 200 OK\r\n\rContent-Length: 12\r\n\r\nok";
    RawServer server([&](int, const std::string &) { return answer; }, RawServer::AfterAnswer::Close);
    expectNoAnswer("GET", server, answer);
}

// Guards against a body with the wrong frame: a line without a colon may be the rest of a length or a coding.
TEST_F(CutHeadTest, lineWithoutAColonIsNoAnswer)
{
    for (const std::string answer :
         {"HTTP/1.1 200 OK\r\nContent-Len\r\n\r\nok", "HTTP/1.1 200 OK\r\nTransfer-Enc\r\n\r\n2\r\nok\r\n0\r\n\r\n"}) {
        RawServer server([&](int, const std::string &) { return answer; }, RawServer::AfterAnswer::Close);
        expectNoAnswer("GET", server, answer);
    }
}

// Guards against a success whose head libcurl, this client and the caller read in different ways: a body of another
// length, or a head that is no HTTP.
TEST_F(CutHeadTest, malformedHeadIsNoAnswer)
{
    const std::vector<std::string> fieldLines{
        "Content-Length : 2\r\nContent-Length: 12",
        "Content-Length: 12\r\nContent-Length: 2",
        "Content-Length: 2, 12",
        "Content-Length: +2",
        "Content-Length: 0x2",
        "Content-Length: 2\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding : chunked",
        "Transfer-Encoding: gzip, chunked",
        "Transfer-Encoding: identity",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
        "A b: c",
        ": c",
        "A\x01: c",
        "A: b\rc",
        "A: b\x01",
        "A: b\x7f",
        std::string("A: b\0c", 6),
        "no colon",
    };
    SharedText answer;
    RawServer server([&](int, const std::string &) { return answer.get(); }, RawServer::AfterAnswer::Close);
    for (const auto &it : fieldLines) {
        answer = "HTTP/1.1 200 OK\r\nRequest: r-1\r\n" + it + "\r\n\r\n2\r\nok\r\n0\r\n\r\n";
        expectNoAnswer("GET", server, answer.get());
    }
    for (const std::string it : {"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked", "HTTP/1.1 600 No",
                                 "HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked", "HTTP/1.1 200 O\x01K",
                                 "HTTP/1.1 100 Continue\r\nA b: c\r\n\r\nHTTP/1.1 200 OK"}) {
        answer = it + "\r\n\r\n2\r\nok\r\n0\r\n\r\n";
        expectNoAnswer("GET", server, answer.get());
    }
}

// Guards against taking a trailer for the head of another answer.
TEST_F(CutHeadTest, trailerThatLooksLikeAStatusLineIsNoHead)
{
    const std::string answer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"
                               "HTTP/1.1 404 No: Object\r\nKeep-Alive: timeout=1\r\n\r\n";
    RawServer server([&](int, const std::string &) { return answer; }, RawServer::AfterAnswer::Close);
    const auto result = run("GET", server.address(), "");
    EXPECT_TRUE(result.complete);
    EXPECT_EQ(result.status, 200U);
    EXPECT_EQ(heads, 1);
    EXPECT_EQ(received, "ok");
}

// Guards against refusing answers that are whole: control for the tests above.
TEST_F(CutHeadTest, wholeHeadIsAnAnswer)
{
    SharedText answer;
    // The server closes each connection after its answer, so the next request needs another one.
    RawServer server([&](int, const std::string &) { return answer.get(); }, RawServer::AfterAnswer::Close);
    for (const auto &it : wholeHeads) {
        const bool isChunked = it.find("chunked") != std::string::npos;
        const bool hasLength =
            it.find("Content-Length: 12") != std::string::npos && it.find(" 304 ") == std::string::npos;
        answer = it + (isChunked ? "0\r\n\r\n" : hasLength ? "twelve bytes" : "");
        EXPECT_TRUE(run("GET", server.address(), "", false).complete) << answer.get();
        EXPECT_EQ(heads, 1) << answer.get();
        answer = it;
        EXPECT_TRUE(run("HEAD", server.address(), "", false).complete) << answer.get();
    }
}

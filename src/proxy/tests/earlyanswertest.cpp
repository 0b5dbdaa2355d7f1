#include <gtest/gtest.h>

#include <cstring>

#include "proxy/tests/upstreamfixture.h"

using namespace Galenarock;

/// Servers that answer before they have read the whole request.
namespace
{
constexpr std::size_t UploadBytes = 4 << 20;
const std::string answerWithoutLength = "HTTP/1.1 200 OK\r\nRequest: r-1\r\nConnection: close\r\n\r\npart of the body";

/// Makes the close() of the connection a reset.
void resetOnClose(int fd)
{
    const linger option{1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &option, sizeof option);
}

/// Ends the server's side of the connection without a reset, and reads nothing more of the request until the other end
/// closes.
void endOfAnswer(int fd)
{
    constexpr int LongestWaitMs = 50;
    shutdown(fd, SHUT_WR);
    pollfd entry{fd, POLLRDHUP, 0};
    poll(&entry, 1, LongestWaitMs);
}

class EarlyAnswerTest : public UpstreamTest
{
protected:
    /// Uploads a body that is streamed as the caller sends it. `available` bytes of it arrive, then the caller pauses
    /// until the answer has begun.
    AttemptResult upload(const std::string &address, std::size_t available, std::int64_t bodySize)
    {
        AttemptRequest request;
        request.method = "POST";
        request.url = "http://" + address + "/x";
        request.headerLines = {"Expect:"};
        request.bodySize = bodySize;
        isUploadPaused = false;
        AttemptHooks hooks;
        hooks.readBody = [this, sent = std::size_t(0), available](char *out, std::size_t n) mutable -> std::size_t {
            const auto limit = received.empty() ? available : 2 * UploadBytes;
            const auto some = std::min(n, limit - sent);
            if (some == 0 && limit == available) {
                isUploadPaused = true;
                return CURL_READFUNC_PAUSE;
            }
            std::memset(out, 'x', some);
            sent += some;
            return some;
        };
        return run(std::move(request), std::move(hooks));
    }
    /// Runs the ways of an upload against a server whose answer ends in `ending`.
    void expectNoCompleteAnswer(const std::string &answer, const std::function<void(int fd)> &ending)
    {
        RawServer server([&](int, const std::string &) { return answer; });
        server.setAnswersEarly();
        server.setAfterAnswer(ending);
        for (const std::size_t available : {std::size_t(0), std::size_t(1'000), UploadBytes}) {
            for (const std::int64_t bodySize : {std::int64_t(-1), std::int64_t(2 * UploadBytes)}) {
                const auto result = upload(server.address(), available, bodySize);
                EXPECT_TRUE(result.sent);
                EXPECT_FALSE(result.complete) << available << " bytes of " << bodySize << " had arrived";
            }
        }
        const auto result = run("POST", server.address(), std::string(2 * UploadBytes, 'x'));
        EXPECT_TRUE(result.sent);
        EXPECT_FALSE(result.complete) << "buffered body";
    }
};
}

// Guards against a part of an answer that is passed on as a complete one: the server has answered a long upload at
// once, without a length, and resets the connection while the upload is still being written.
TEST_F(EarlyAnswerTest, answerWithoutLengthThatIsResetDuringTheUploadIsIncomplete)
{
    expectNoCompleteAnswer(answerWithoutLength, resetOnClose);
}

// The same with the end of the connection in place of the reset: nothing shows that the answer is whole.
TEST_F(EarlyAnswerTest, answerWithoutLengthThatEndsDuringTheUploadIsIncomplete)
{
    expectNoCompleteAnswer(answerWithoutLength, endOfAnswer);
}

// Guards against a complete answer from chunks that break off.
TEST_F(EarlyAnswerTest, chunksThatBreakOffDuringTheUploadAreIncomplete)
{
    const std::string head = "HTTP/1.1 200 OK\r\nRequest: r-1\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const std::string body : {"5\r\npar", "5\r\nparts\r\n", "5\r\nparts\r\n0\r\n"}) {
        expectNoCompleteAnswer(head + body, resetOnClose);
        expectNoCompleteAnswer(head + body, endOfAnswer);
    }
}

// Guards against taking every early answer for a part: with its length it is complete, also while the upload goes on.
TEST_F(EarlyAnswerTest, earlyAnswerWithItsLengthIsComplete)
{
    RawServer server(
        [](int, const std::string &) {
            return "HTTP/1.1 413 Content Too Large\r\nRequest: r-1\r\nConnection: close\r\nContent-Length: "
                   "3\r\n\r\nbig";
        },
        RawServer::AfterAnswer::Keep);
    server.setAnswersEarly();
    const auto result = upload(server.address(), 1'000, 2 * UploadBytes);
    EXPECT_TRUE(result.complete);
    EXPECT_EQ(received, "big");
}

// Guards against taking an answer without a length for a part although the request was read to its end.
TEST_F(EarlyAnswerTest, answerWithoutLengthAfterTheWholeUploadIsComplete)
{
    RawServer server([](int, const std::string &) { return answerWithoutLength; }, RawServer::AfterAnswer::Close);
    server.setReadsChunks();
    EXPECT_TRUE(run("POST", server.address(), std::string(100'000, 'x')).complete);
    EXPECT_TRUE(run("GET", server.address(), "").complete);
    EXPECT_EQ(received, "part of the body");
    AttemptRequest request;
    request.method = "POST";
    request.url = "http://" + server.address() + "/x";
    request.headerLines = {"Expect:"};
    request.bodySize = -1;
    AttemptHooks hooks;
    hooks.readBody = [pieces = 3](char *out, std::size_t) mutable -> std::size_t {
        std::memset(out, 'x', 300);
        return pieces-- > 0 ? 300 : 0;
    };
    EXPECT_TRUE(run(std::move(request), std::move(hooks)).complete);
}

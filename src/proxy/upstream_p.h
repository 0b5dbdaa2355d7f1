#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include <curl/curl.h>

#include <galenarock/base.h>

/// The server side of the proxy: attempts over kept connections with libcurl's multi interface.
namespace Galenarock
{

struct HeaderField
{
    std::string name;
    std::string value;

    friend bool operator==(const HeaderField &a, const HeaderField &b)
    {
        return a.name == b.name && a.value == b.value;
    }
};

/// What became of one attempt.
struct AttemptResult
{
    /// False when no byte of the request can have reached the server.
    bool sent = false;
    /// The complete response arrived.
    bool complete = false;
    bool timedOut = false;
    /// libcurl wanted to send the request a second time on a fresh connection; it was stopped.
    bool resendStopped = false;
    /// The connection was opened for this attempt.
    bool isNewConnection = false;
    unsigned status = 0;
    std::string error;
};

/// Hooks of one attempt. All run on the thread that drives the UpstreamClient.
struct AttemptHooks
{
    /// Head of the response, before any data. False ends the attempt as failed and closes its connection.
    std::function<bool(unsigned status, std::vector<HeaderField> headers)> onHead;
    /// Returns false to pause; resume() delivers the same bytes again.
    std::function<bool(const char *bytes, std::size_t n)> onData;
    std::function<void(const AttemptResult &result)> onDone;
    /// Streamed request body: returns the number of bytes written to `out`, 0 at its end, CURL_READFUNC_PAUSE while
    /// none are available, CURL_READFUNC_ABORT when the caller is gone. Empty when `body` of the request is used.
    std::function<std::size_t(char *out, std::size_t n)> readBody;
};

struct AttemptRequest
{
    std::string method;
    /// `http://ip:port/path?query`
    std::string url;
    /// Path and query to send instead of the URL's, byte for byte; empty to use the URL's.
    std::string target;
    std::vector<std::string> headerLines;
    /// Complete body; must stay valid until onDone. Ignored with readBody.
    const char *body = nullptr;
    /// Bytes of the body; -1 with readBody when the length is not known (chunked).
    std::int64_t bodySize = 0;
    /// 0 means no limit.
    std::int64_t timeoutMs = 0;
    /// Servers open a connection in about 1 ms; 1 s covers a lost SYN.
    std::int64_t connectTimeoutMs = 1'000;
    /// False closes the connection after the response.
    bool keepsConnection = true;
};

class Attempt;

/// Runs attempts for one worker thread, which owns the epoll instance.
class UpstreamClient
{
public:
    /// `epollFd` receives libcurl's sockets; their event data is `tag | fd`.
    UpstreamClient(int epollFd, std::uint64_t tag);
    ~UpstreamClient();
    UpstreamClient(const UpstreamClient &) = delete;
    UpstreamClient &operator=(const UpstreamClient &) = delete;

    /// Kept connections in all; the oldest idle one is closed above that.
    void setMaxConnections(long n);
    /// Connections that were idle for longer are not used again. A server closes them after its own timeout, and a
    /// request that crosses the closing may have run or not.
    void setIdleLimit(long seconds)
    {
        m_idleLimitSeconds = seconds;
    }

    /// Queues an attempt; hooks run later from run() or handleSocket(), never from inside start().
    Attempt *start(AttemptRequest request, AttemptHooks hooks);
    /// Ends an attempt without onDone and closes its connection, which cancels the request at the server.
    void cancel(Attempt *attempt);
    /// Continues a body that was paused by readBody or onData. Hooks may run before it returns.
    void resume(Attempt *attempt);

    void handleSocket(int fd, std::uint32_t epollEvents);
    /// Runs expired timers and finished attempts.
    void run(Instant now);
    /// Milliseconds until run() is needed, -1 for never.
    int timeoutMs(Instant now) const;

private:
    static int socketCallback(CURL *, curl_socket_t fd, int what, void *self, void *socketData);
    static int timerCallback(CURLM *, long timeoutMs, void *self);
    void finishAttempts();
    void release(Attempt *attempt);
    CURL *takeHandle();

    int m_epollFd;
    std::uint64_t m_tag;
    CURLM *m_multi;
    bool m_timerSet = false;
    Instant m_timerAt;
    /// Seconds for which an idle connection to the URL's server may be used again.
    long idleLimit(const std::string &url) const;
    void updateIdleLimit(const Attempt &attempt);

    long m_idleLimitSeconds = 60;
    /// By `http://ip:port`, as the servers' Keep-Alive headers state it.
    std::unordered_map<std::string, long> m_advertisedIdleSeconds;
    std::vector<CURL *> m_idleHandles;
    std::vector<std::unique_ptr<Attempt>> m_idleAttempts;
};

}

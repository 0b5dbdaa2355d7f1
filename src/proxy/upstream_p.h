#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include <curl/curl.h>

#include <galenarock/base.h>

#include "base/responseheadreader_p.h"
#include "openconnections_p.h"

/// The server side of the proxy: attempts over persistent connections with libcurl's multi interface.
namespace Galenarock
{

/// Result of one attempt.
struct AttemptResult
{
    /// False when no byte of the request can have reached the server.
    bool sent = false;
    /// The complete response arrived.
    bool complete = false;
    bool timedOut = false;
    /// libcurl tried to send the request again on a new connection, which was prevented.
    bool resendStopped = false;
    /// The connection was opened for this attempt.
    bool isNewConnection = false;
    unsigned status = 0;
    std::string error;
};

/// What becomes of the bytes that AttemptHooks::onData received.
enum class DataResult : std::uint8_t
{
    Taken,
    /// Nothing was taken; UpstreamClient::resume() delivers the same bytes again.
    Pause,
    /// Ends the attempt as failed and closes its connection.
    Abort,
};

/// Hooks of one attempt. All run on the thread that drives the UpstreamClient.
struct AttemptHooks
{
    /// Called when a connection has been chosen, right before the request is sent; `isNewConnection`: it was opened for
    /// this attempt. False ends the attempt as not sent and closes the connection. May be empty.
    std::function<bool(bool isNewConnection)> beforeSend;
    /// Head of the response, before any data. False ends the attempt as failed and closes its connection.
    std::function<bool(unsigned status, std::vector<HeaderField> headers)> onHead;
    std::function<DataResult(const char *bytes, std::size_t n)> onData;
    std::function<void(const AttemptResult &result)> onDone;
    /// Streamed request body: returns the number of bytes written to `out`, 0 at its end, CURL_READFUNC_PAUSE while
    /// none are available, CURL_READFUNC_ABORT when the caller has disconnected. Empty when `body` of the request is
    /// used.
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
    /// Id by which responses name the request; empty if they do not.
    std::string id;
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
    /// True opens a connection for this attempt.
    bool needsNewConnection = false;
    /// A late request would do harm: see discardUnsent(). Attempts to one server must agree on it.
    bool discardsUnsent = false;
};

/// Bytes of all heads of one response, interim ones and trailers included. A response with more fails.
inline constexpr std::size_t MaxResponseHeadBytes = 65'536;

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

    /// Maximum number of persistent connections to all servers; above it the oldest idle one is closed.
    void setMaxConnections(long n);
    /// Idle time after which a connection is not reused, unless the server advertises its own. A server closes idle
    /// connections after its timeout; whether a request that is sent at that moment has run is unknown.
    void setIdleLimit(long seconds)
    {
        m_idleLimitSeconds = seconds;
    }

    /// Queues an attempt; hooks run later from run() or handleSocket(), never from inside start().
    Attempt *start(AttemptRequest request, AttemptHooks hooks);
    /// Ends an attempt without calling onDone and closes its connection, which cancels the request at the server.
    void cancel(Attempt *attempt);
    /// Whether the server may have received a part of the request.
    static bool isSent(const Attempt *attempt);
    /// Whether the whole request has been sent and no byte of a response has arrived.
    static bool isAwaitingAnswer(const Attempt *attempt);
    /// The connection of an attempt whose response has begun; empty before the request was sent.
    static AttemptConnection connectionOf(const Attempt *attempt);
    /// Sends no request with the id of this attempt over its connection any more: a copy of the response that has begun
    /// may follow there, and could not be told from the next response to that request.
    static void keepFromConnection(Attempt *attempt);
    /// Closes the connection of a running attempt when its response has ended.
    static void closeAfterResponse(Attempt *attempt);
    /// Continues a body that was paused by readBody or onData. Hooks may run before it returns.
    void resume(Attempt *attempt);

    void handleSocket(int fd, std::uint32_t epollEvents);
    /// Processes expired timers and finished attempts.
    void run(Instant now);
    /// Milliseconds until run() is needed, -1 for never.
    int timeoutMs(Instant now) const;

private:
    static int socketCallback(CURL *, curl_socket_t fd, int what, void *self, void *socketData);
    static int timerCallback(CURLM *, long timeoutMs, void *self);
    void finishAttempts();
    void finish(Attempt *attempt, CURLcode code);
    /// Ends the attempts whose timeout libcurl has missed.
    void finishExpired(Instant now);
    /// Keeps the connections of attempts whose servers read slowly.
    void allowSlowServers(Instant now);
    /// Starts an attempt again that must not go over the kept connection that was chosen for it.
    void restart(Attempt *attempt);
    void release(Attempt *attempt);
    CURL *takeHandle();

    int m_epollFd;
    std::uint64_t m_tag;
    CURLM *m_multi;
    bool m_timerSet = false;
    Instant m_timerAt;
    /// Idle time in seconds after which a connection to the server of the URL is not reused.
    long idleLimit(const std::string &url) const;
    void updateIdleLimit(const Attempt &attempt);

    long m_idleLimitSeconds = 60;
    /// Idle limits derived from the servers' Keep-Alive headers, by `http://ip:port`.
    std::unordered_map<std::string, long> m_advertisedIdleSeconds;
    /// Running attempts that have a timeout, by Attempt::expiresAt.
    std::set<std::pair<Instant, Attempt *>> m_expiring;
    Instant m_nextSlowServerCheck{};
    std::vector<CURL *> m_idleHandles;
    std::vector<std::unique_ptr<Attempt>> m_idleAttempts;
};

}

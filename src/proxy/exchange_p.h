#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <microhttpd.h>

#include <galenarock/error.h>

#include "bytebuffer_p.h"
#include "upstream_p.h"

/// The caller side of the proxy: one request and its response on a libmicrohttpd connection.
namespace Galenarock
{

/// Maximum number of bytes that are buffered of each streamed request body and each streamed response body.
inline constexpr std::size_t StreamBufferBytes = 262'144;

/// A caller's request and the response to it. All methods and hooks run on the worker's thread.
class Exchange
{
public:
    explicit Exchange(std::string target);

    /// Path and query as received, without percent-decoding, such as `/vitrina/items?key=7`.
    const std::string &target() const
    {
        return m_target;
    }
    const std::string &method() const
    {
        return m_method;
    }
    /// Value of a request header; empty when absent or after the end of the exchange. Valid until the exchange ends.
    std::string_view header(const char *name) const;
    std::vector<HeaderField> headers() const;
    /// IPv4 address of the caller; empty when not available.
    std::string callerAddress() const;
    /// Length of the request body in bytes; empty for a chunked body, 0 when the request has no body.
    std::optional<std::uint64_t> contentLength() const;

    /// Received part of the request body that has not been consumed.
    ByteBuffer &requestBody()
    {
        return m_requestBody;
    }
    bool isRequestComplete() const
    {
        return m_requestComplete;
    }
    /// Whether the exchange has ended, after a complete response or because the caller disconnected.
    bool hasEnded() const
    {
        return m_connection == nullptr;
    }
    bool hasResponse() const
    {
        return m_responseReady;
    }

    /// Sends a complete response.
    void respond(unsigned status, std::vector<HeaderField> headers, std::string body);
    /// Starts a streamed response; `length` is empty when not known.
    void startResponse(unsigned status, std::vector<HeaderField> headers, std::optional<std::uint64_t> length);
    /// Appends to a streamed response. Returns false and appends nothing when the buffer has no room for all `n` bytes.
    /// Discards the bytes and returns true when the exchange has ended.
    bool appendResponse(const char *bytes, std::size_t n);
    void finishResponse();
    /// Closes the connection before the end of a streamed response, so that the caller detects the incomplete body.
    void abortResponse();
    /// Closes the connection without a response, when the caller has disconnected or no correct response is possible.
    void drop();
    /// Socket of the connection; -1 when the exchange has ended.
    int socket() const;
    /// Resumes receiving a request body after requestBody() was full.
    void continueRequestBody();

    /// Called when more of the request body has arrived, and at its end.
    std::function<void()> onBody;
    /// Called when the buffer of a streamed response has room again.
    std::function<void()> onResponseDrained;
    /// Called when the exchange ends; `complete` is false when the response was not sent to its end.
    std::function<void(bool complete)> onEnded;

private:
    friend class CallerListener;

    MHD_Result handleBody(const char *data, std::size_t *n);
    MHD_Result queueResponse();
    void suspend();
    void resume();
    static ssize_t readResponse(void *self, std::uint64_t position, char *out, std::size_t n);
    static void freeReader(void *self);

    std::string m_target;
    std::string m_method;
    MHD_Connection *m_connection = nullptr;
    bool m_started = false;
    bool m_suspended = false;
    bool m_requestComplete = false;
    bool m_responseReady = false;
    bool m_responseQueued = false;
    bool m_streaming = false;
    bool m_responseComplete = false;
    bool m_responseAborted = false;
    bool m_dropped = false;
    bool *m_runNeeded = nullptr;
    unsigned m_status = 0;
    std::vector<HeaderField> m_headers;
    std::optional<std::uint64_t> m_length;
    std::string m_completeBody;
    ByteBuffer m_requestBody{StreamBufferBytes};
    ByteBuffer m_responseBody{StreamBufferBytes};
    std::weak_ptr<Exchange> m_self;
};

struct ListenerSettings
{
    /// `ip:port`; port 0 lets the kernel assign one.
    std::string address;
    /// Allows several workers to listen on the same address.
    bool sharedPort = false;
    unsigned connectionLimit = 4'096;
    /// Maximum size of a request head; libmicrohttpd responds to a larger one with status 431.
    std::size_t headerBytes = 8'192;
    /// Idle time after which a connection is closed.
    unsigned idleSeconds = 120;
    /// Maximum number of connections that wait to be accepted. Above it the kernel drops the SYN packet, which the
    /// client retransmits after about 1 s.
    unsigned backlog = 1'024;
};

/// Accepts callers' connections on one address for one worker thread, which owns the epoll instance and calls run().
class CallerListener
{
public:
    using RequestHook = std::function<void(const std::shared_ptr<Exchange> &)>;

    CallerListener(RequestHook onRequest, std::function<void(std::string_view)> onMalformed);
    ~CallerListener();
    CallerListener(const CallerListener &) = delete;
    CallerListener &operator=(const CallerListener &) = delete;

    Result<void> listen(const ListenerSettings &settings);
    /// The bound `ip:port`.
    std::string address() const;
    /// File descriptor to watch for input; call run() when it is readable.
    int epollFd() const;
    /// Processes ready sockets and resumed connections; does nothing before listen().
    void run();
    /// Whether run() must be called without waiting, because connections were resumed.
    bool isRunNeeded() const
    {
        return m_runNeeded;
    }
    /// Time in milliseconds after which run() is needed; -1 for no limit.
    int timeoutMs() const;
    /// Lowers the idle timeout of the open connections to 1 s, so that those without a request are closed.
    void closeIdle();
    /// Number of open connections. May be called from any thread.
    std::size_t connectionCount() const
    {
        return m_connectionCount.load(std::memory_order_relaxed);
    }
    /// Stops accepting connections; open ones continue.
    void quiesce();

private:
    static void connectionCallback(void *self, MHD_Connection *connection, void **context,
                                   MHD_ConnectionNotificationCode code);
    static void *uriCallback(void *self, const char *uri, MHD_Connection *connection);
    static MHD_Result accessCallback(void *self, MHD_Connection *connection, const char *url, const char *method,
                                     const char *version, const char *data, std::size_t *n, void **state);
    static void completedCallback(void *self, MHD_Connection *connection, void **state,
                                  MHD_RequestTerminationCode code);
    static void logCallback(void *self, const char *format, va_list arguments);

    RequestHook m_onRequest;
    std::function<void(std::string_view)> m_onMalformed;
    MHD_Daemon *m_daemon = nullptr;
    std::string m_ip;
    std::set<MHD_Connection *> m_connections;
    std::atomic<std::size_t> m_connectionCount{0};
    bool m_runNeeded = false;
};

}

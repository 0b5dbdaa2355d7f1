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

/// Bytes of one request body and of one response body that a daemon buffers at most.
inline constexpr std::size_t StreamBufferBytes = 262'144;

/// A caller's request and the response to it. All methods and hooks run on the worker's thread.
class Exchange
{
public:
    explicit Exchange(std::string target);

    /// Raw path and query as sent, `/vitrina/items?key=7`.
    const std::string &target() const
    {
        return m_target;
    }
    const std::string &method() const
    {
        return m_method;
    }
    /// Value of a request header, empty when absent. Must not be called after the caller has gone.
    std::string_view header(const char *name) const;
    std::vector<HeaderField> headers() const;
    /// IP address of the connection's other end.
    std::string callerAddress() const;
    /// Empty for a chunked body; 0 when the request has no body.
    std::optional<std::uint64_t> contentLength() const;

    /// Received part of the request body that was not taken yet.
    ByteBuffer &requestBody()
    {
        return m_requestBody;
    }
    bool isRequestComplete() const
    {
        return m_requestComplete;
    }
    bool isDisconnected() const
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
    /// Appends to a streamed response. False, with nothing taken, when the buffer has no room for all `n` bytes.
    bool appendResponse(const char *bytes, std::size_t n);
    void finishResponse();
    /// Breaks a streamed response visibly: the connection closes before the end of the body.
    void abortResponse();
    /// Ends the connection without a response; for a caller that has left, or when nothing true can be said.
    void drop();
    /// Socket of the connection; -1 when it has ended.
    int socket() const;
    /// Continues a request body that stopped because requestBody() was full.
    void continueRequestBody();

    /// More of the request body arrived, or its end.
    std::function<void()> onBody;
    /// A streamed response has room again.
    std::function<void()> onResponseDrained;
    /// The connection ended; `complete` is false when the caller left before the end of the response.
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
    /// `ip:port`, port 0 for one that the kernel assigns.
    std::string address;
    /// Several workers may listen on the same address.
    bool sharedPort = false;
    unsigned connectionLimit = 4'096;
    /// Largest request head; libmicrohttpd answers 431 above it.
    std::size_t headerBytes = 8'192;
    /// Idle connections are closed after this time.
    unsigned idleSeconds = 120;
    /// Connections that wait to be accepted; above, the opening packet is dropped and repeated only after a second.
    unsigned backlog = 1'024;
};

/// Accepts callers' connections on one address for one worker thread, which owns the epoll instance.
class CallerListener
{
public:
    using RequestHook = std::function<void(const std::shared_ptr<Exchange> &)>;

    CallerListener(RequestHook onRequest, std::function<void(std::string_view)> onMalformed);
    ~CallerListener();
    CallerListener(const CallerListener &) = delete;
    CallerListener &operator=(const CallerListener &) = delete;

    Result<void> listen(const ListenerSettings &settings);
    /// `ip:port` actually bound.
    std::string address() const;
    /// Descriptor to watch for input; run() handles it.
    int epollFd() const;
    /// Processes what is ready, and everything that was resumed.
    void run();
    bool isRunNeeded() const
    {
        return m_runNeeded;
    }
    int timeoutMs() const;
    /// From now on, connections without a request are closed after a second.
    void closeIdle();
    /// Open connections. Any thread.
    std::size_t connectionCount() const
    {
        return m_connectionCount.load(std::memory_order_relaxed);
    }
    /// Stops accepting; open connections go on.
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

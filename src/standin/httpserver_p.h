#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <microhttpd.h>
#include <nlohmann/json.hpp>

#include <galenarock/error.h>

#include "eventloop_p.h"

namespace Galenarock::Standin
{

/// A response. With `producer` the body is sent chunked: it fills the buffer and returns the number of bytes, 0 at
/// the end.
struct HttpResponse
{
    unsigned status = 200;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    std::function<std::size_t(char *, std::size_t)> producer;
    /// When not negative, the connection is closed after this many bytes of the body.
    std::int64_t cutAfterBytes = -1;
};

HttpResponse jsonResponse(unsigned status, const nlohmann::json &json);

class HttpServer;

/// One request and its response. It outlives its connection while somebody holds the pointer; respond() then does
/// nothing.
class HttpExchange : public std::enable_shared_from_this<HttpExchange>
{
public:
    const std::string &method() const
    {
        return m_method;
    }
    /// Path and query as sent by the caller.
    const std::string &target() const
    {
        return m_target;
    }
    /// Path without the query, percent-decoded.
    const std::string &path() const
    {
        return m_path;
    }
    /// Empty when absent.
    std::string header(const char *name) const;
    /// Query argument; empty when absent.
    std::string argument(const char *name) const;
    bool isOpen() const
    {
        return m_connection != nullptr;
    }

    bool isSuspended() const
    {
        return m_suspended;
    }

    /// Stops reading the request until resume(), respond() or abort(). Only inside HttpHandler::begin or complete.
    void suspend();
    void resume();
    /// Sends the response, now or as soon as the library asks for it.
    void respond(HttpResponse response);
    /// Closes the connection without a response.
    void abort();

    /// Request body; only used by handlers that collect it.
    std::string body;
    /// State of the handler.
    std::shared_ptr<void> context;

private:
    friend class HttpServer;
    MHD_Result callback(const char *method, const char *data, std::size_t *size);
    MHD_Result runBegin();
    MHD_Result runComplete();
    MHD_Result flush();
    void queue();

    HttpServer *m_server = nullptr;
    MHD_Connection *m_connection = nullptr;
    std::string m_method;
    std::string m_target;
    std::string m_path;
    bool m_begun = false;
    bool m_completed = false;
    bool m_suspended = false;
    /// The library repeats the first call after a suspension in begin().
    bool m_repeatsBegin = false;
    bool m_aborted = false;
    bool m_queued = false;
    std::unique_ptr<HttpResponse> m_response;
};

using HttpExchangePtr = std::shared_ptr<HttpExchange>;

/// Receives the requests of one HttpServer, on the loop's thread.
class HttpHandler
{
public:
    virtual ~HttpHandler() = default;
    /// Headers are complete.
    virtual void begin(const HttpExchangePtr &exchange);
    /// A part of the body. The default collects it up to `maxCollectedBody`.
    virtual void data(const HttpExchangePtr &exchange, std::string_view part);
    /// The whole request is there.
    virtual void complete(const HttpExchangePtr &exchange) = 0;
    /// The connection ended or is ready for its next request; `sent` tells whether the response was sent whole.
    virtual void ended(const HttpExchangePtr &exchange, bool sent);
};

/// Largest body that the default HttpHandler::data collects; the rest is dropped, and the size shows it.
inline constexpr std::size_t maxCollectedBody = 1'200'000;

/// `ip:port`, numeric IPv4.
struct ListenAddress
{
    std::string ip = "127.0.0.1";
    std::uint16_t port = 0;
};

std::optional<ListenAddress> parseAddress(std::string_view text);

/// HTTP/1.1 server over libmicrohttpd in epoll mode, driven by an EventLoop.
class HttpServer
{
public:
    HttpServer(EventLoop &loop, HttpHandler &handler, unsigned connectionLimit = 1'000);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Binds and reserves the address; port 0 is assigned by the kernel and kept over close() and listen().
    Result<void> open(const ListenAddress &address);
    /// Starts to listen again after close().
    Result<void> listen();
    /// Closes the listener and all connections. The port stays reserved; connection attempts are refused.
    void close();
    /// Stops to serve; the kernel still accepts connections and data, as for a stopped process.
    void freeze();
    void thaw();

    bool isListening() const
    {
        return m_daemon != nullptr;
    }
    std::string address() const;
    unsigned connections() const;

private:
    friend class HttpExchange;
    static void *onUri(void *cls, const char *uri, MHD_Connection *connection);
    static MHD_Result onRequest(void *cls, MHD_Connection *connection, const char *url, const char *method,
                                const char *version, const char *data, std::size_t *size, void **context);
    static void onCompleted(void *cls, MHD_Connection *connection, void **context, MHD_RequestTerminationCode code);
    void drive();
    void scheduleDrive(Duration delay);
    /// Outside its own threads the library notices a resumed connection only in its next run.
    void noteResumed();
    Result<int> boundSocket(const ListenAddress &address) const;

    EventLoop &m_loop;
    HttpHandler &m_handler;
    unsigned m_connectionLimit;
    ListenAddress m_address;
    int m_reservation = -1;
    int m_epoll = -1;
    bool m_frozen = false;
    bool m_hasResumed = false;
    TimerId m_driveTimer = 0;
    MHD_Daemon *m_daemon = nullptr;
    std::map<HttpExchange *, HttpExchangePtr> m_exchanges;
};

}

#include "httpserver_p.h"

#include <cerrno>
#include <charconv>
#include <cstdarg>
#include <cstring>

#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <galenarock/jsontext.h>

#include "events_p.h"

namespace Galenarock::Standin
{

namespace
{
constexpr int listenBacklog = 1'024;
constexpr std::size_t producerBlockBytes = 16'384;

void logLibrary(void *, const char *format, va_list args)
{
    char buf[256];
    std::vsnprintf(buf, sizeof buf, format, args);
    logEvent(Events::HttpLibrary, "{}", std::string_view(buf).substr(0, std::strcspn(buf, "\n")));
}

struct BodyReader
{
    HttpResponse response;
    std::size_t position = 0;
};

ssize_t readBody(void *cls, std::uint64_t, char *buf, std::size_t size)
{
    auto &reader = *static_cast<BodyReader *>(cls);
    if (reader.response.producer) {
        const auto n = reader.response.producer(buf, size);
        return n == 0 ? MHD_CONTENT_READER_END_OF_STREAM : static_cast<ssize_t>(n);
    }
    const auto limit = std::min(reader.response.body.size(), static_cast<std::size_t>(reader.response.cutAfterBytes));
    if (reader.position >= limit) {
        return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    const auto n = std::min(size, limit - reader.position);
    std::memcpy(buf, reader.response.body.data() + reader.position, n);
    reader.position += n;
    return static_cast<ssize_t>(n);
}

void freeReader(void *cls)
{
    delete static_cast<BodyReader *>(cls);
}

MHD_Response *makeResponse(HttpResponse &response)
{
    if (!response.producer && response.cutAfterBytes < 0) {
        return MHD_create_response_from_buffer(response.body.size(), response.body.data(), MHD_RESPMEM_MUST_COPY);
    }
    const auto size = response.producer ? MHD_SIZE_UNKNOWN : response.body.size();
    auto *reader = new BodyReader{response};
    return MHD_create_response_from_callback(size, producerBlockBytes, readBody, reader, freeReader);
}

std::string decodePath(std::string_view target)
{
    std::string path(target.substr(0, target.find('?')));
    path.resize(MHD_http_unescape(path.data()));
    return path;
}
}

HttpResponse jsonResponse(unsigned status, const nlohmann::json &json)
{
    HttpResponse response;
    response.status = status;
    response.headers.emplace_back("Content-Type", "application/json");
    response.body = jsonText(json);
    return response;
}

std::string HttpExchange::header(const char *name) const
{
    if (m_connection == nullptr) {
        return {};
    }
    const auto *value = MHD_lookup_connection_value(m_connection, MHD_HEADER_KIND, name);
    return value == nullptr ? std::string() : value;
}

std::string HttpExchange::argument(const char *name) const
{
    if (m_connection == nullptr) {
        return {};
    }
    const auto *value = MHD_lookup_connection_value(m_connection, MHD_GET_ARGUMENT_KIND, name);
    return value == nullptr ? std::string() : value;
}

void HttpExchange::suspend()
{
    if (m_connection == nullptr || m_suspended) {
        return;
    }
    m_suspended = true;
    MHD_suspend_connection(m_connection);
}

void HttpExchange::resume()
{
    if (m_connection == nullptr || !m_suspended) {
        return;
    }
    m_suspended = false;
    MHD_resume_connection(m_connection);
    m_server->noteResumed();
}

void HttpExchange::respond(HttpResponse response)
{
    if (m_connection == nullptr || m_response != nullptr || m_queued) {
        return;
    }
    m_response = std::make_unique<HttpResponse>(std::move(response));
    resume();
}

void HttpExchange::abort()
{
    m_aborted = true;
    resume();
}

MHD_Result HttpExchange::callback(const char *method, const char *data, std::size_t *size)
{
    if (!m_begun) {
        m_begun = true;
        m_method = method;
        return runBegin();
    }
    if (m_repeatsBegin) {
        m_repeatsBegin = false;
        return flush();
    }
    if (*size > 0) {
        m_server->m_handler.data(shared_from_this(), {data, *size});
        *size = 0;
        return m_aborted ? MHD_NO : MHD_YES;
    }
    if (!m_completed) {
        m_completed = true;
        return runComplete();
    }
    return flush();
}

MHD_Result HttpExchange::runBegin()
{
    m_server->m_handler.begin(shared_from_this());
    m_repeatsBegin = m_suspended;
    return flush();
}

MHD_Result HttpExchange::runComplete()
{
    if (m_response == nullptr) {
        m_server->m_handler.complete(shared_from_this());
    }
    return flush();
}

MHD_Result HttpExchange::flush()
{
    if (m_aborted) {
        return MHD_NO;
    }
    if (m_response != nullptr && !m_suspended) {
        queue();
    }
    return MHD_YES;
}

void HttpExchange::queue()
{
    auto *response = makeResponse(*m_response);
    for (const auto &[name, value] : m_response->headers) {
        MHD_add_response_header(response, name.c_str(), value.c_str());
    }
    m_queued = MHD_queue_response(m_connection, m_response->status, response) == MHD_YES;
    MHD_destroy_response(response);
    m_response.reset();
}

void HttpHandler::begin(const HttpExchangePtr &)
{
}

void HttpHandler::data(const HttpExchangePtr &exchange, std::string_view part)
{
    if (exchange->body.size() < maxCollectedBody) {
        exchange->body.append(part);
    }
}

void HttpHandler::ended(const HttpExchangePtr &, bool)
{
}

std::optional<ListenAddress> parseAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return {};
    }
    ListenAddress address;
    address.ip = text.substr(0, colon);
    in_addr binary{};
    const auto port = text.substr(colon + 1);
    const auto [end, ec] = std::from_chars(port.data(), port.data() + port.size(), address.port);
    if (ec != std::errc() || end != port.data() + port.size()) {
        return {};
    }
    if (inet_pton(AF_INET, address.ip.c_str(), &binary) != 1) {
        return {};
    }
    return address;
}

HttpServer::HttpServer(EventLoop &loop, HttpHandler &handler, unsigned connectionLimit)
    : m_loop(loop)
    , m_handler(handler)
    , m_connectionLimit(connectionLimit)
{
}

HttpServer::~HttpServer()
{
    close();
    if (m_reservation >= 0) {
        ::close(m_reservation);
    }
}

Result<int> HttpServer::boundSocket(const ListenAddress &address) const
{
    const auto fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &name.sin_addr);
    if (bind(fd, reinterpret_cast<sockaddr *>(&name), sizeof name) != 0) {
        const auto error = errno;
        ::close(fd);
        return fail(ErrorCode::SystemCall, fmt::format("bind {}:{}: {}", address.ip, address.port, strerror(error)));
    }
    return fd;
}

Result<void> HttpServer::open(const ListenAddress &address)
{
    // The reservation keeps the port while the server is closed, so that nothing else is assigned it meanwhile.
    BOOST_LEAF_AUTO(fd, boundSocket(address));
    m_reservation = fd;
    sockaddr_in name{};
    socklen_t size = sizeof name;
    getsockname(m_reservation, reinterpret_cast<sockaddr *>(&name), &size);
    m_address = {address.ip, ntohs(name.sin_port)};
    return listen();
}

Result<void> HttpServer::listen()
{
    BOOST_LEAF_AUTO(fd, boundSocket(m_address));
    if (::listen(fd, listenBacklog) != 0) {
        const auto error = errno;
        ::close(fd);
        return fail(ErrorCode::SystemCall, fmt::format("listen {}: {}", this->address(), strerror(error)));
    }
    m_daemon =
        MHD_start_daemon(MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ERROR_LOG, 0, nullptr, nullptr, onRequest,
                         this, MHD_OPTION_EXTERNAL_LOGGER, logLibrary, nullptr, MHD_OPTION_LISTEN_SOCKET, fd,
                         MHD_OPTION_CONNECTION_LIMIT, m_connectionLimit, MHD_OPTION_URI_LOG_CALLBACK, onUri, this,
                         MHD_OPTION_NOTIFY_COMPLETED, onCompleted, this, MHD_OPTION_END);
    if (m_daemon == nullptr) {
        ::close(fd);
        return fail(ErrorCode::Library, "MHD_start_daemon");
    }
    m_epoll = MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd;
    m_hasResumed = false;
    m_frozen = true;
    thaw();
    return {};
}

void HttpServer::close()
{
    if (m_daemon == nullptr) {
        return;
    }
    freeze();
    // The library does not stop while connections are suspended.
    for (const auto &[it, exchange] : m_exchanges) {
        it->resume();
    }
    MHD_stop_daemon(m_daemon);
    m_daemon = nullptr;
    m_exchanges.clear();
}

void HttpServer::freeze()
{
    if (m_frozen) {
        return;
    }
    m_frozen = true;
    m_loop.unwatch(m_epoll);
    m_loop.cancel(m_driveTimer);
}

void HttpServer::thaw()
{
    if (!m_frozen || m_daemon == nullptr) {
        return;
    }
    m_frozen = false;
    m_loop.watch(m_epoll, [this] { drive(); });
    scheduleDrive(Duration::zero());
}

void HttpServer::drive()
{
    m_hasResumed = false;
    MHD_run(m_daemon);
    if (m_hasResumed) {
        scheduleDrive(Duration::zero());
        return;
    }
    // In edge-triggered mode the library keeps ready connections in a list that the descriptor does not show.
    MHD_UNSIGNED_LONG_LONG timeout = 0;
    if (MHD_get_timeout(m_daemon, &timeout) == MHD_YES) {
        scheduleDrive(milliseconds(timeout));
    }
}

void HttpServer::scheduleDrive(Duration delay)
{
    m_loop.cancel(m_driveTimer);
    m_driveTimer = m_loop.after(delay, [this] { drive(); });
}

void HttpServer::noteResumed()
{
    if (!m_hasResumed && !m_frozen) {
        scheduleDrive(Duration::zero());
    }
    m_hasResumed = true;
}

std::string HttpServer::address() const
{
    return fmt::format("{}:{}", m_address.ip, m_address.port);
}

unsigned HttpServer::connections() const
{
    if (m_daemon == nullptr) {
        return 0;
    }
    return MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_CURRENT_CONNECTIONS)->num_connections;
}

void *HttpServer::onUri(void *cls, const char *uri, MHD_Connection *connection)
{
    auto &server = *static_cast<HttpServer *>(cls);
    auto exchange = std::make_shared<HttpExchange>();
    exchange->m_server = &server;
    exchange->m_connection = connection;
    exchange->m_target = uri;
    exchange->m_path = decodePath(uri);
    auto *key = exchange.get();
    server.m_exchanges.emplace(key, std::move(exchange));
    return key;
}

MHD_Result HttpServer::onRequest(void *, MHD_Connection *, const char *, const char *method, const char *,
                                 const char *data, std::size_t *size, void **context)
{
    return static_cast<HttpExchange *>(*context)->callback(method, data, size);
}

void HttpServer::onCompleted(void *cls, MHD_Connection *, void **context, MHD_RequestTerminationCode code)
{
    auto &server = *static_cast<HttpServer *>(cls);
    const auto it = server.m_exchanges.find(static_cast<HttpExchange *>(*context));
    if (it == server.m_exchanges.end()) {
        return;
    }
    const auto exchange = it->second;
    exchange->m_connection = nullptr;
    server.m_handler.ended(exchange, code == MHD_REQUEST_TERMINATED_COMPLETED_OK);
    server.m_exchanges.erase(it);
    *context = nullptr;
}

}

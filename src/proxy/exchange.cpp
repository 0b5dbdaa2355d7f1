#include "exchange_p.h"

#include <arpa/inet.h>
#include <charconv>
#include <cstdarg>
#include <cstdio>
#include <cstring>
#include <netinet/in.h>
#include <unistd.h>

#include <fmt/format.h>

#include <galenarock/error.h>

namespace Galenarock
{

namespace
{
constexpr unsigned StopIdleSeconds = 1U;
constexpr std::size_t ReaderBlockBytes = 32'768;

/// Disables percent-decoding, since the target is forwarded unchanged.
std::size_t keepPercentEncoding(void *, MHD_Connection *, char *text)
{
    return std::strlen(text);
}

MHD_Result collectHeader(void *list, MHD_ValueKind, const char *name, const char *value)
{
    static_cast<std::vector<HeaderField> *>(list)->push_back({name, value ? value : ""});
    return MHD_YES;
}
}

Exchange::Exchange(std::string target)
    : m_target(std::move(target))
{
}

std::string_view Exchange::header(const char *name) const
{
    const char *value = m_connection ? MHD_lookup_connection_value(m_connection, MHD_HEADER_KIND, name) : nullptr;
    return value ? std::string_view(value) : std::string_view();
}

std::vector<HeaderField> Exchange::headers() const
{
    std::vector<HeaderField> list;
    if (m_connection) {
        MHD_get_connection_values(m_connection, MHD_HEADER_KIND, collectHeader, &list);
    }
    return list;
}

std::string Exchange::callerAddress() const
{
    const auto *info =
        m_connection ? MHD_get_connection_info(m_connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS) : nullptr;
    if (!info || info->client_addr->sa_family != AF_INET) {
        return {};
    }
    char text[INET_ADDRSTRLEN] = "";
    const auto *address = reinterpret_cast<const sockaddr_in *>(info->client_addr);
    inet_ntop(AF_INET, &address->sin_addr, text, sizeof text);
    return text;
}

std::optional<std::uint64_t> Exchange::contentLength() const
{
    if (!header("Transfer-Encoding").empty()) {
        return {};
    }
    const auto text = header("Content-Length");
    std::uint64_t n = 0;
    std::from_chars(text.data(), text.data() + text.size(), n);
    return n;
}

void Exchange::respond(unsigned status, std::vector<HeaderField> headers, std::string body)
{
    m_status = status;
    m_headers = std::move(headers);
    m_completeBody = std::move(body);
    m_responseReady = true;
    resume();
}

void Exchange::startResponse(unsigned status, std::vector<HeaderField> headers, std::optional<std::uint64_t> length)
{
    m_status = status;
    m_headers = std::move(headers);
    m_length = length;
    m_streaming = true;
    m_responseReady = true;
    resume();
}

bool Exchange::appendResponse(const char *bytes, std::size_t n)
{
    if (hasEnded()) {
        return true;
    }
    if (m_responseBody.freeSpace() < n) {
        return false;
    }
    m_responseBody.append(bytes, n);
    resume();
    return true;
}

void Exchange::finishResponse()
{
    m_responseComplete = true;
    resume();
}

void Exchange::abortResponse()
{
    m_responseAborted = true;
    resume();
}

void Exchange::drop()
{
    m_dropped = true;
    m_responseReady = true;
    resume();
}

int Exchange::socket() const
{
    const auto *info =
        m_connection ? MHD_get_connection_info(m_connection, MHD_CONNECTION_INFO_CONNECTION_FD) : nullptr;
    return info ? info->connect_fd : -1;
}

void Exchange::continueRequestBody()
{
    resume();
}

void Exchange::suspend()
{
    if (m_suspended) {
        return;
    }
    m_suspended = true;
    MHD_suspend_connection(m_connection);
}

void Exchange::resume()
{
    if (!m_suspended || !m_connection) {
        return;
    }
    m_suspended = false;
    MHD_resume_connection(m_connection);
    *m_runNeeded = true;
}

MHD_Result Exchange::handleBody(const char *data, std::size_t *n)
{
    if (m_dropped) {
        return MHD_NO;
    }
    if (*n > 0) {
        if (m_responseReady) {
            *n = 0; // already refused; the rest of the body is read and discarded
            return MHD_YES;
        }
        const auto taken = m_requestBody.append(data, *n);
        *n -= taken;
        if (onBody) {
            onBody();
        }
        if (*n > 0 && m_requestBody.freeSpace() == 0) {
            suspend();
        }
        return MHD_YES;
    }
    if (!m_requestComplete) {
        m_requestComplete = true;
        if (onBody) {
            onBody();
        }
    }
    if (m_responseReady && !m_responseQueued) {
        return queueResponse();
    }
    if (!m_responseReady) {
        suspend();
    }
    return MHD_YES;
}

MHD_Result Exchange::queueResponse()
{
    if (m_dropped) {
        return MHD_NO;
    }
    m_responseQueued = true;
    MHD_Response *response = nullptr;
    if (m_streaming) {
        auto *reader = new std::shared_ptr<Exchange>(m_self.lock());
        const auto size = m_length.value_or(MHD_SIZE_UNKNOWN);
        response = MHD_create_response_from_callback(size, ReaderBlockBytes, readResponse, reader, freeReader);
    } else {
        response = MHD_create_response_from_buffer(m_completeBody.size(), m_completeBody.data(), MHD_RESPMEM_MUST_COPY);
    }
    for (const auto &it : m_headers) {
        MHD_add_response_header(response, it.name.c_str(), it.value.c_str());
    }
    const auto result = MHD_queue_response(m_connection, m_status, response);
    MHD_destroy_response(response);
    return result;
}

ssize_t Exchange::readResponse(void *self, std::uint64_t, char *out, std::size_t n)
{
    auto &exchange = **static_cast<std::shared_ptr<Exchange> *>(self);
    const auto taken = exchange.m_responseBody.take(out, n);
    if (taken > 0) {
        if (exchange.onResponseDrained) {
            exchange.onResponseDrained();
        }
        return static_cast<ssize_t>(taken);
    }
    if (exchange.m_responseAborted) {
        return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    if (exchange.m_responseComplete) {
        return MHD_CONTENT_READER_END_OF_STREAM;
    }
    exchange.suspend();
    return 0;
}

void Exchange::freeReader(void *self)
{
    delete static_cast<std::shared_ptr<Exchange> *>(self);
}

CallerListener::CallerListener(RequestHook onRequest, std::function<void(std::string_view)> onMalformed)
    : m_onRequest(std::move(onRequest))
    , m_onMalformed(std::move(onMalformed))
{
}

CallerListener::~CallerListener()
{
    if (m_daemon) {
        MHD_stop_daemon(m_daemon);
    }
}

Result<void> CallerListener::listen(const ListenerSettings &settings)
{
    const auto colon = settings.address.rfind(':');
    sockaddr_in address{};
    address.sin_family = AF_INET;
    m_ip = settings.address.substr(0, colon);
    const int port = colon == std::string::npos ? -1 : std::atoi(settings.address.c_str() + colon + 1);
    if (port < 0 || port > 65535 || inet_pton(AF_INET, m_ip.c_str(), &address.sin_addr) != 1) {
        return fail(ErrorCode::OutOfRange, fmt::format("'{}' is not ip:port", settings.address));
    }
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    const unsigned flags = MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ERROR_LOG;
    m_daemon = MHD_start_daemon(
        flags, 0, nullptr, nullptr, accessCallback, this, MHD_OPTION_EXTERNAL_LOGGER, logCallback, this,
        MHD_OPTION_SOCK_ADDR, reinterpret_cast<const sockaddr *>(&address), MHD_OPTION_NOTIFY_CONNECTION,
        connectionCallback, this, MHD_OPTION_URI_LOG_CALLBACK, uriCallback, this, MHD_OPTION_NOTIFY_COMPLETED,
        completedCallback, this, MHD_OPTION_UNESCAPE_CALLBACK, keepPercentEncoding, nullptr,
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, settings.headerBytes, MHD_OPTION_CONNECTION_TIMEOUT, settings.idleSeconds,
        MHD_OPTION_CONNECTION_LIMIT, settings.connectionLimit, MHD_OPTION_LISTEN_BACKLOG_SIZE, settings.backlog,
        MHD_OPTION_LISTENING_ADDRESS_REUSE, settings.sharedPort ? 1U : 0U, MHD_OPTION_END);
    if (!m_daemon) {
        return fail(ErrorCode::SystemCall, fmt::format("cannot listen on {}: {}", settings.address, strerror(errno)));
    }
    return {};
}

std::string CallerListener::address() const
{
    const auto *info = MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_BIND_PORT);
    return fmt::format("{}:{}", m_ip, info ? info->port : 0);
}

int CallerListener::epollFd() const
{
    return MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd;
}

void CallerListener::run()
{
    m_runNeeded = false;
    if (m_daemon) {
        MHD_run(m_daemon);
    }
}

int CallerListener::timeoutMs() const
{
    MHD_UNSIGNED_LONG_LONG timeout = 0;
    if (MHD_get_timeout(m_daemon, &timeout) != MHD_YES) {
        return -1;
    }
    return static_cast<int>(std::min<MHD_UNSIGNED_LONG_LONG>(timeout, 60'000));
}

void CallerListener::quiesce()
{
    const auto listenFd = MHD_quiesce_daemon(m_daemon);
    if (listenFd >= 0) {
        close(listenFd);
    }
}

void CallerListener::closeIdle()
{
    for (auto *it : m_connections) {
        MHD_set_connection_option(it, MHD_CONNECTION_OPTION_TIMEOUT, StopIdleSeconds);
    }
    m_runNeeded = true;
}

void CallerListener::connectionCallback(void *self, MHD_Connection *connection, void **,
                                        MHD_ConnectionNotificationCode code)
{
    auto &listener = *static_cast<CallerListener *>(self);
    if (code == MHD_CONNECTION_NOTIFY_STARTED) {
        listener.m_connections.insert(connection);
    } else {
        listener.m_connections.erase(connection);
    }
    listener.m_connectionCount.store(listener.m_connections.size(), std::memory_order_relaxed);
}

void *CallerListener::uriCallback(void *self, const char *uri, MHD_Connection *)
{
    auto *exchange = new std::shared_ptr<Exchange>(std::make_shared<Exchange>(uri));
    (*exchange)->m_self = *exchange;
    (*exchange)->m_runNeeded = &static_cast<CallerListener *>(self)->m_runNeeded;
    return exchange;
}

MHD_Result CallerListener::accessCallback(void *self, MHD_Connection *connection, const char *, const char *method,
                                          const char *, const char *data, std::size_t *n, void **state)
{
    auto &listener = *static_cast<CallerListener *>(self);
    const auto exchange = *static_cast<std::shared_ptr<Exchange> *>(*state);
    if (exchange->m_started) {
        return exchange->handleBody(data, n);
    }
    exchange->m_started = true;
    exchange->m_method = method;
    exchange->m_connection = connection;
    listener.m_onRequest(exchange);
    if (exchange->m_responseReady) {
        return exchange->queueResponse();
    }
    return MHD_YES;
}

void CallerListener::completedCallback(void *, MHD_Connection *, void **state, MHD_RequestTerminationCode code)
{
    auto *holder = static_cast<std::shared_ptr<Exchange> *>(*state);
    if (!holder) {
        return;
    }
    const auto exchange = *holder;
    delete holder;
    *state = nullptr;
    exchange->m_connection = nullptr;
    if (exchange->onEnded) {
        const auto onEnded = std::move(exchange->onEnded);
        onEnded(code == MHD_REQUEST_TERMINATED_COMPLETED_OK);
    }
}

void CallerListener::logCallback(void *self, const char *format, va_list arguments)
{
    char text[512];
    std::vsnprintf(text, sizeof text, format, arguments);
    static_cast<CallerListener *>(self)->m_onMalformed(text);
}

}

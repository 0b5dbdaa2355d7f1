#include "adminserver_p.h"

#include <cstring>

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>

#include <fmt/format.h>

#include "base/guard_p.h"

namespace Galenarock
{

namespace
{
MHD_Result queueResponse(MHD_Connection *connection, const AdminResponse &response)
{
    auto *message = MHD_create_response_from_buffer(response.body.size(), const_cast<char *>(response.body.data()),
                                                    MHD_RESPMEM_MUST_COPY);
    MHD_add_response_header(message, "Content-Type", response.contentType.c_str());
    const auto result = MHD_queue_response(connection, response.status, message);
    MHD_destroy_response(message);
    return result;
}

MHD_Result handleRequest(void *server, MHD_Connection *connection, const char *url, const char *method, const char *,
                         const char *, std::size_t *, void **)
{
    if (std::strcmp(method, "GET") != 0) {
        return queueResponse(connection, {405, "application/json", "{\"error\":\"only GET is supported\"}\n"});
    }
    AdminRequest request;
    request.path = url;
    request.argument = [connection](const char *name) {
        const char *value = MHD_lookup_connection_value(connection, MHD_GET_ARGUMENT_KIND, name);
        return std::string(value ? value : "");
    };
    AdminResponse response{500, "application/json", "{\"error\":\"the request could not be answered\"}\n"};
    runGuarded("request for operators", [&] { response = static_cast<AdminServer *>(server)->handler()(request); });
    return queueResponse(connection, response);
}
}

AdminServer::AdminServer(Handler handler)
    : m_handler(std::move(handler))
{
}

AdminServer::~AdminServer()
{
    if (m_daemon) {
        MHD_stop_daemon(m_daemon);
    }
}

Result<void> AdminServer::listen(const std::string &ip, std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    if (inet_pton(AF_INET, ip.c_str(), &address.sin_addr) != 1) {
        return fail(ErrorCode::OutOfRange, fmt::format("'{}' is not an IPv4 address", ip));
    }
    m_daemon = MHD_start_daemon(MHD_USE_EPOLL_INTERNAL_THREAD, 0, nullptr, nullptr, handleRequest, this,
                                MHD_OPTION_SOCK_ADDR, reinterpret_cast<const sockaddr *>(&address), MHD_OPTION_END);
    if (!m_daemon) {
        return fail(ErrorCode::SystemCall, fmt::format("cannot listen on {}:{}: {}", ip, port, strerror(errno)));
    }
    return {};
}

std::uint16_t AdminServer::port() const
{
    return MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
}

}

#pragma once

#include <functional>
#include <string>

#include <galenarock/error.h>

struct MHD_Daemon;

namespace Galenarock
{

struct AdminResponse
{
    unsigned status = 200;
    std::string contentType = "application/json";
    std::string body;
};

struct AdminRequest
{
    std::string path;
    /// Returns the value of a query argument; empty if it is absent.
    std::function<std::string(const char *name)> argument;
};

/// HTTP server for operators, on a thread of its own. Supports GET only, with small responses.
class AdminServer
{
public:
    using Handler = std::function<AdminResponse(const AdminRequest &)>;

    explicit AdminServer(Handler handler);
    ~AdminServer();
    AdminServer(const AdminServer &) = delete;
    AdminServer &operator=(const AdminServer &) = delete;

    Result<void> listen(const std::string &ip, std::uint16_t port);
    std::uint16_t port() const;
    const Handler &handler() const
    {
        return m_handler;
    }

private:
    Handler m_handler;
    MHD_Daemon *m_daemon = nullptr;
};

}

#pragma once

#include <memory>
#include <string>
#include <vector>

#include "backendserver_p.h"

namespace Galenarock::Standin
{

struct BackendProcessOptions
{
    /// Template for all servers; `name` is the prefix, to which a number from 1 is added.
    BackendOptions server;
    std::uint32_t count = 1;
    std::string ip = "127.0.0.1";
    /// Assigned to the servers in turn.
    std::vector<std::string> failureDomains{"rioja"};
};

/// Many backend servers in one process, with one control listener for all of them.
class BackendProcess : public HttpHandler
{
public:
    BackendProcess(EventLoop &loop, const BackendProcessOptions &options);
    ~BackendProcess() override;
    BackendProcess(const BackendProcess &) = delete;
    BackendProcess &operator=(const BackendProcess &) = delete;

    /// Opens the control listener on `address` and all servers on ports assigned by the kernel.
    Result<void> open(const ListenAddress &address);
    std::string address() const
    {
        return m_control.address();
    }
    const std::vector<std::unique_ptr<BackendServer>> &servers() const
    {
        return m_servers;
    }
    void complete(const HttpExchangePtr &exchange) override;

private:
    void setFaults(const HttpExchangePtr &exchange);

    Journal m_journal;
    std::string m_ip;
    HttpServer m_control;
    std::vector<std::unique_ptr<BackendServer>> m_servers;
};

}

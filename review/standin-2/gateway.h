#pragma once

#include <map>
#include <string>

#include <sys/types.h>

#include "net.h"

namespace Review
{

/// Values for the placeholders of the deploy file, such as `nodeName` and `bounds.graceS`.
using SettingValues = std::map<std::string, std::string>;

/// One machine of the system: a process that is started with the command of the deploy file. It is killed with its
/// owner.
class Gateway
{
public:
    /// `directory` is for its log.
    Gateway(const std::string &ip, const std::string &name, const std::string &zone, const Endpoint &store,
            const SettingValues &terms, const std::string &directory);
    ~Gateway();
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    const Endpoint &front() const
    {
        return m_front;
    }
    const std::string &name() const
    {
        return m_name;
    }
    pid_t pid() const
    {
        return m_pid;
    }
    const std::string &command() const
    {
        return m_command;
    }
    bool isRunning();
    /// Starts the process anew after its end, as the platform does.
    void restart();
    /// Asks `GET /ready`.
    bool isReady() const;
    bool waitUntilReady(std::int64_t deadlineMs) const;
    void signal(int number) const;
    /// How it has ended, such as `exit status 0`; empty while it runs.
    const std::string &end() const
    {
        return m_end;
    }

private:
    void start();

    std::string m_name;
    Endpoint m_front;
    Endpoint m_readiness;
    std::string m_command;
    std::string m_log;
    pid_t m_pid = -1;
    std::string m_end;
};

}

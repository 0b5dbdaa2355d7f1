#pragma once

#include <atomic>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <fmt/format.h>

#include <galenarock/thread.h>

/// HTTP server for tests that answers from a script. Listens on a free loopback port; one thread, keep-alive.
class ScriptedServer
{
public:
    /// Gets the complete request and returns the response, or nothing to close the connection without a response.
    using Script = std::function<std::optional<std::string>(const std::string &request)>;

    explicit ScriptedServer(Script script)
        : m_script(std::move(script))
        , m_listener(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof address;
        ::bind(m_listener, reinterpret_cast<sockaddr *>(&address), sizeof address);
        ::listen(m_listener, 64);
        ::getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &length);
        m_endpoint = fmt::format("http://127.0.0.1:{}", ntohs(address.sin_port));
        m_thread = Galenarock::Thread("scripted", [this] { run(); });
    }
    ~ScriptedServer()
    {
        m_stop = true;
        m_thread.join();
        ::close(m_listener);
    }
    const std::string &endpoint() const
    {
        return m_endpoint;
    }
    /// From now on, each answer is followed by the end of its connection.
    void closeAfterAnswers()
    {
        m_closesAfterAnswers = true;
    }
    static std::string response(int status, const std::string &body)
    {
        return fmt::format("HTTP/1.1 {} Scripted\r\nContent-Length: {}\r\n\r\n{}", status, body.size(), body);
    }

private:
    struct Connection
    {
        int fd;
        std::string in;
    };

    void run()
    {
        std::vector<Connection> connections;
        while (!m_stop) {
            std::vector<pollfd> fds{{m_listener, POLLIN, 0}};
            for (const auto &it : connections) {
                fds.push_back({it.fd, POLLIN, 0});
            }
            ::poll(fds.data(), fds.size(), 20);
            std::vector<Connection> open;
            for (std::size_t n = 0; n < connections.size(); ++n) {
                if (fds[n + 1].revents == 0 || serve(connections[n])) {
                    open.push_back(std::move(connections[n]));
                    continue;
                }
                ::close(connections[n].fd);
            }
            if ((fds[0].revents & POLLIN) != 0) {
                open.push_back({::accept(m_listener, nullptr, nullptr), {}});
            }
            connections = std::move(open);
        }
        for (const auto &it : connections) {
            ::close(it.fd);
        }
    }

    bool serve(Connection &connection)
    {
        char buf[65536];
        const auto n = ::recv(connection.fd, buf, sizeof buf, 0);
        if (n <= 0) {
            return false;
        }
        connection.in.append(buf, static_cast<std::size_t>(n));
        const auto head = connection.in.find("\r\n\r\n");
        const auto field = connection.in.find("Content-Length: ");
        const auto body = field < head ? std::stoul(connection.in.substr(field + 16)) : 0;
        if (head == std::string::npos || connection.in.size() < head + 4 + body) {
            return true;
        }
        const auto answer = m_script(std::exchange(connection.in, {}));
        if (!answer) {
            return false;
        }
        return ::send(connection.fd, answer->data(), answer->size(), MSG_NOSIGNAL) >= 0 && !m_closesAfterAnswers;
    }

    const Script m_script;
    int m_listener;
    std::string m_endpoint;
    std::atomic<bool> m_stop{false};
    std::atomic<bool> m_closesAfterAnswers{false};
    Galenarock::Thread m_thread;
};

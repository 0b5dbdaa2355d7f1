#include "gateway.h"

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <vector>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace Review
{

namespace
{
constexpr std::int64_t ReadyMs = 300;

std::string deployedCommand()
{
    std::ifstream file("deploy/system.toml");
    const std::string prefix = "run = \"";
    for (std::string line; std::getline(file, line);) {
        if (line.compare(0, prefix.size(), prefix) == 0) {
            return line.substr(prefix.size(), line.rfind('"') - prefix.size());
        }
    }
    throw std::runtime_error("no command in deploy/system.toml");
}

std::string valueOf(const SettingValues &values, const std::string &name)
{
    const auto found = values.find(name);
    return found == values.end() ? std::string() : found->second;
}

/// Fills in placeholders and sections as DEPLOY.md describes them.
std::string render(std::string text, const SettingValues &values)
{
    for (auto at = text.find("{{"); at != std::string::npos; at = text.find("{{")) {
        const auto end = text.find("}}", at);
        const auto name = text.substr(at + 2, end - at - 2);
        if (name.front() != '#') {
            text.replace(at, end + 2 - at, valueOf(values, name));
            continue;
        }
        const auto closing = "{{/" + name.substr(1) + "}}";
        const auto close = text.find(closing, end);
        const auto inner = text.substr(end + 2, close - end - 2);
        const bool isShown = !valueOf(values, name.substr(1)).empty();
        text.replace(at, close + closing.size() - at, isShown ? inner : std::string());
    }
    return text;
}

std::vector<std::string> words(const std::string &text)
{
    std::istringstream stream(text);
    std::vector<std::string> list;
    for (std::string word; stream >> word;) {
        list.push_back(word);
    }
    return list;
}
}

Gateway::Gateway(const std::string &ip, const std::string &name, const std::string &zone, const Endpoint &store,
                 const SettingValues &terms, const std::string &directory)
    : m_name(name)
    , m_front{ip, freePort(ip)}
    , m_readiness{ip, freePort(ip)}
{
    auto values = terms;
    values["nodeName"] = name;
    values["zone"] = zone;
    values["ip"] = ip;
    values["listen.front"] = m_front.text();
    values["listen.readinessAddr"] = m_readiness.text();
    values["internalPorts.0"] = std::to_string(freePort(ip));
    values["internalPorts.1"] = std::to_string(freePort(ip));
    values["platform.address"] = store.text();
    m_command = render(deployedCommand(), values);
    m_log = directory + "/" + name + ".log";
    start();
}

void Gateway::start()
{
    const auto list = words(m_command);
    std::vector<char *> arguments;
    for (const auto &it : list) {
        arguments.push_back(const_cast<char *>(it.c_str()));
    }
    arguments.push_back(nullptr);
    const auto parent = getpid();
    m_pid = fork();
    if (m_pid == 0) {
        const int fd = open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(fd, STDOUT_FILENO);
        dup2(fd, STDERR_FILENO);
        prctl(PR_SET_PDEATHSIG, SIGKILL); // so that it ends with this process, however that ends
        if (getppid() == parent) {
            execv(arguments.front(), arguments.data());
        }
        _exit(127);
    }
}

void Gateway::restart()
{
    m_end.clear();
    start();
}

Gateway::~Gateway()
{
    if (isRunning()) {
        kill(m_pid, SIGKILL);
        waitpid(m_pid, nullptr, 0);
    }
}

bool Gateway::isRunning()
{
    int status = 0;
    if (!m_end.empty() || m_pid <= 0) {
        return false;
    }
    if (waitpid(m_pid, &status, WNOHANG) == m_pid) {
        m_end = WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                    : "exit status " + std::to_string(WEXITSTATUS(status));
    }
    return m_end.empty();
}

bool Gateway::isReady() const
{
    const auto socket = connectTo(m_readiness);
    const auto deadline = nowMs() + ReadyMs;
    const auto request = "GET /ready HTTP/1.1\r\nHost: " + m_readiness.text() + "\r\nConnection: close\r\n\r\n";
    Head head;
    return socket.isOpen() && sendAll(socket.fd(), request, deadline)
        && Reader(socket.fd()).readHead(head, deadline) == ReadResult::Done && head.word(1) == "200";
}

bool Gateway::waitUntilReady(std::int64_t deadlineMs) const
{
    while (!isReady()) {
        if (nowMs() >= deadlineMs) {
            return false;
        }
        sleepMs(50);
    }
    return true;
}

void Gateway::signal(int number) const
{
    kill(m_pid, number);
}

}

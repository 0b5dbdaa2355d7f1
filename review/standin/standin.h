#pragma once

/// Stand-ins of the users' pages for the cases of the review: store, servers, callers, and the gateways as processes.
/// Blocking sockets and one thread a connection; everything on loopback addresses.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

namespace Review
{

using nlohmann::json;
using Clock = std::chrono::steady_clock;
using Headers = std::vector<std::pair<std::string, std::string>>;

inline const Clock::time_point startedAt = Clock::now();

inline std::int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - startedAt).count();
}

inline void sleepMs(std::int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

/// record.txt: what was sent, answered and run.
class Record
{
public:
    void open(const std::string &path)
    {
        m_file = std::fopen(path.c_str(), "w");
    }
    void line(const std::string &text)
    {
        const std::lock_guard lock(m_mutex);
        if (m_file != nullptr) {
            std::fprintf(m_file, "%8.3f %s\n", static_cast<double>(nowMs()) / 1000, text.c_str());
            std::fflush(m_file);
        }
    }

private:
    std::mutex m_mutex;
    std::FILE *m_file = nullptr;
};

inline Record record;

inline std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

struct Message
{
    std::string first; ///< Request or status line.
    Headers headers;
    std::string body;
    bool isWhole = false;

    std::string header(const std::string &name) const
    {
        for (const auto &[key, value] : headers) {
            if (lower(key) == lower(name)) {
                return value;
            }
        }
        return {};
    }
    int status() const
    {
        return first.size() > 12 ? std::atoi(first.c_str() + 9) : 0;
    }
    std::string method() const
    {
        return first.substr(0, first.find(' '));
    }
    std::string target() const
    {
        const auto begin = first.find(' ') + 1;
        return first.substr(begin, first.find(' ', begin) - begin);
    }
};

/// A connection with a buffer. Reads end at `deadline`.
class Socket
{
public:
    explicit Socket(int fd)
        : fd(fd)
    {
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~Socket()
    {
        ::close(fd);
    }
    Socket(const Socket &) = delete;

    bool write(const std::string &text) const
    {
        std::size_t done = 0;
        while (done < text.size()) {
            const auto n = ::send(fd, text.data() + done, text.size() - done, MSG_NOSIGNAL);
            if (n <= 0) {
                return false;
            }
            done += static_cast<std::size_t>(n);
        }
        return true;
    }
    /// Makes close() reset the connection.
    void abort() const
    {
        const linger reset{1, 0};
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    }
    bool fill(Clock::time_point deadline)
    {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - Clock::now()).count();
        pollfd entry{fd, POLLIN, 0};
        if (left <= 0 || ::poll(&entry, 1, static_cast<int>(left)) <= 0) {
            return false;
        }
        char bytes[65536];
        const auto n = ::recv(fd, bytes, sizeof bytes, 0);
        if (n <= 0) {
            return false;
        }
        buffer.append(bytes, static_cast<std::size_t>(n));
        return true;
    }
    std::optional<std::string> readLine(Clock::time_point deadline)
    {
        while (true) {
            const auto end = buffer.find("\r\n");
            if (end != std::string::npos) {
                auto line = buffer.substr(0, end);
                buffer.erase(0, end + 2);
                return line;
            }
            if (!fill(deadline)) {
                return std::nullopt;
            }
        }
    }
    bool readBytes(std::string &out, std::size_t n, Clock::time_point deadline)
    {
        while (buffer.size() < n) {
            if (!fill(deadline)) {
                out += std::exchange(buffer, {});
                return false;
            }
        }
        out += buffer.substr(0, n);
        buffer.erase(0, n);
        return true;
    }
    /// Reads one request or response; `isWhole` is false for one that breaks off.
    Message read(Clock::time_point deadline)
    {
        Message message;
        const auto first = readLine(deadline);
        if (!first) {
            return message;
        }
        message.first = *first;
        while (true) {
            const auto line = readLine(deadline);
            if (!line) {
                return message;
            }
            if (line->empty()) {
                break;
            }
            const auto colon = line->find(':');
            auto value = colon == std::string::npos ? std::string() : line->substr(colon + 1);
            value.erase(0, value.find_first_not_of(' '));
            message.headers.emplace_back(line->substr(0, colon), value);
        }
        if (lower(message.header("Transfer-Encoding")) == "chunked") {
            while (true) {
                const auto size = readLine(deadline);
                if (!size) {
                    return message;
                }
                const auto n = std::strtoul(size->c_str(), nullptr, 16);
                std::string end;
                if (!readBytes(message.body, n, deadline) || !readBytes(end, 2, deadline)) {
                    return message;
                }
                if (n == 0) {
                    break;
                }
            }
        } else if (!message.header("Content-Length").empty()) {
            const auto n = std::strtoul(message.header("Content-Length").c_str(), nullptr, 10);
            if (!readBytes(message.body, n, deadline)) {
                return message;
            }
        }
        message.isWhole = true;
        return message;
    }

    const int fd;
    std::string buffer;
};

inline std::string makeMessage(const std::string &first, const Headers &headers, const std::string &body)
{
    std::string text = first + "\r\n";
    for (const auto &[name, value] : headers) {
        text += name + ": " + value + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline int listenOn(const std::string &ip, int &port, int backlog = 256)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    if (::bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0 || ::listen(fd, backlog) != 0) {
        std::perror("listen");
        std::exit(2);
    }
    socklen_t size = sizeof address;
    getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size);
    port = ntohs(address.sin_port);
    return fd;
}

/// A free port below those that the kernel gives to outgoing connections.
inline int freePort(const std::string &ip)
{
    static std::mt19937 random(std::random_device{}());
    static std::set<int> given;
    for (int n = 0; n < 200; ++n) {
        int port = std::uniform_int_distribution<int>(12'000, 31'000)(random);
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
        const bool isFree = ::bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0;
        ::close(fd);
        if (isFree && given.insert(port).second) {
            return port;
        }
    }
    std::exit(2);
}

inline std::shared_ptr<Socket> connectTo(const std::string &ip, int port, int timeoutMs = 1000)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    int error = 0;
    if (::connect(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0) {
        pollfd entry{fd, POLLOUT, 0};
        socklen_t size = sizeof error;
        const bool isDone = errno == EINPROGRESS && ::poll(&entry, 1, timeoutMs) > 0;
        if (!isDone || getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
            ::close(fd);
            return nullptr;
        }
    }
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    return std::make_shared<Socket>(fd);
}

/// Accepts connections and hands each one to a thread of its own.
class Listener
{
public:
    using Handler = std::function<void(Socket &)>;

    Listener(const std::string &ip, int wantedPort, Handler handler)
        : port(wantedPort)
        , m_fd(listenOn(ip, port))
        , m_handler(std::move(handler))
    {
        std::thread([this] { run(); }).detach();
    }
    /// Closes the listener and all connections, as at the end of a process.
    void end(bool isReset = false)
    {
        ::shutdown(m_fd, SHUT_RDWR);
        const std::lock_guard lock(m_mutex);
        m_hasEnded = true;
        m_fillers.clear();
        if (m_darkFd >= 0) {
            ::close(std::exchange(m_darkFd, -1));
        }
        for (const auto &it : m_open) {
            if (isReset) {
                it->abort();
            }
            ::shutdown(it->fd, SHUT_RDWR);
        }
    }
    /// As a machine without power: connections stay silent, and new ones hang. Ends with end().
    void goDark(const std::string &ip)
    {
        m_isDark = true;
        ::shutdown(m_fd, SHUT_RDWR);
        sleepMs(5); // run() closes the listener
        int samePort = port;
        m_darkFd = listenOn(ip, samePort, 0);
        // The kernel drops the opening packets of further connections when the queue is full.
        for (int n = 0; n < 8; ++n) {
            const auto filler = connectTo(ip, port, 30);
            if (!filler) {
                break;
            }
            m_fillers.push_back(filler);
        }
    }
    bool isDark() const
    {
        return m_isDark;
    }

    int port;

private:
    void run()
    {
        while (true) {
            const int fd = ::accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                ::close(m_fd);
                return;
            }
            auto socket = std::make_shared<Socket>(fd);
            {
                const std::lock_guard lock(m_mutex);
                if (m_hasEnded) {
                    return;
                }
                m_open.insert(socket);
            }
            std::thread([this, socket] {
                m_handler(*socket);
                const std::lock_guard lock(m_mutex);
                m_open.erase(socket);
            }).detach();
        }
    }

    const int m_fd;
    const Handler m_handler;
    std::mutex m_mutex;
    std::atomic<bool> m_hasEnded{false};
    std::atomic<bool> m_isDark{false};
    int m_darkFd = -1;
    std::vector<std::shared_ptr<Socket>> m_fillers;
    std::set<std::shared_ptr<Socket>> m_open;
};

inline Clock::time_point inMs(std::int64_t ms)
{
    return Clock::now() + std::chrono::milliseconds(ms);
}

/// How the store treats the calls of one gateway.
enum class StoreTrouble
{
    None,
    Silent,
    Busy,
    Reset
};

/// The platform's store. Each gateway has a door (port) of its own, so that it can be turned away alone.
class Store
{
public:
    struct Door
    {
        std::unique_ptr<Listener> listener;
        std::atomic<StoreTrouble> trouble{StoreTrouble::None};
    };

    Door &addDoor()
    {
        auto door = std::make_unique<Door>();
        auto *raw = door.get();
        raw->listener = std::make_unique<Listener>("127.0.0.1", 0, [this, raw](Socket &it) { serve(*raw, it); });
        m_doors.push_back(std::move(door));
        return *raw;
    }
    std::uint64_t put(const std::string &kind, const std::string &name, const json &spec)
    {
        const std::lock_guard lock(m_mutex);
        return putLocked(kind, name, spec, nullptr)["metadata"]["revision"];
    }
    void remove(const std::string &kind, const std::string &name)
    {
        const std::lock_guard lock(m_mutex);
        removeLocked(kind, name);
    }
    json get(const std::string &kind, const std::string &name)
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_state.kinds[kind].find(name);
        return found == m_state.kinds[kind].end() ? json() : found->second;
    }
    /// A copy of the store, for a restore in a drill.
    struct State
    {
        std::uint64_t revision = 100;
        std::map<std::string, std::map<std::string, json>> kinds;
        struct Event
        {
            std::uint64_t revision;
            std::string kind;
            json event;
        };
        std::vector<Event> events;
    };
    State copy()
    {
        const std::lock_guard lock(m_mutex);
        return m_state;
    }
    void restore(const State &state)
    {
        const std::lock_guard lock(m_mutex);
        m_state = state;
        m_oldest = state.revision;
        ++m_era;
        m_changed.notify_all();
    }

private:
    json &putLocked(const std::string &kind, const std::string &name, const json &spec, const json *status)
    {
        auto &object = m_state.kinds[kind][name];
        const bool isNew = object.is_null();
        if (!isNew && object["spec"] == spec && (status == nullptr || object["status"] == *status)) {
            return object;
        }
        const auto revision = ++m_state.revision;
        const std::uint64_t created = isNew ? revision : object["metadata"]["createRevision"].get<std::uint64_t>();
        object = {{"metadata",
                   {{"name", name},
                    {"revision", revision},
                    {"createRevision", created},
                    {"finalizers", json::array()},
                    {"deleting", false}}},
                  {"spec", spec},
                  {"status", status == nullptr ? json() : *status}};
        m_state.events.push_back({revision, kind, {{"tombstone", false}, {"object", object}}});
        m_changed.notify_all();
        return object;
    }
    void removeLocked(const std::string &kind, const std::string &name)
    {
        const auto found = m_state.kinds[kind].find(name);
        if (found == m_state.kinds[kind].end()) {
            return;
        }
        auto object = found->second;
        const auto revision = ++m_state.revision;
        object["metadata"]["revision"] = revision;
        m_state.kinds[kind].erase(found);
        m_state.events.push_back({revision, kind, {{"tombstone", true}, {"object", object}}});
        m_changed.notify_all();
    }
    void serve(Door &door, Socket &socket)
    {
        while (true) {
            const auto call = socket.read(inMs(60'000));
            if (!call.isWhole) {
                return;
            }
            const auto trouble = door.trouble.load();
            if (trouble == StoreTrouble::Silent) {
                socket.fill(inMs(60'000)); // nothing is answered on this connection any more
                return;
            }
            if (trouble == StoreTrouble::Reset) {
                socket.abort();
                return;
            }
            const auto reply = trouble == StoreTrouble::Busy ? std::make_pair(503, json()) : handle(door, call);
            if (reply.first == 0) {
                socket.fill(inMs(60'000));
                return;
            }
            std::uint64_t era = 0;
            {
                const std::lock_guard lock(m_mutex);
                era = m_era;
            }
            const auto body = reply.second.is_null() ? std::string("{}") : reply.second.dump();
            const Headers headers{{"Content-Type", "application/json"}, {"Store-Era", std::to_string(era)}};
            if (!socket.write(makeMessage("HTTP/1.1 " + std::to_string(reply.first) + " X", headers, body))) {
                return;
            }
        }
    }
    static std::map<std::string, std::string> queryOf(const std::string &target)
    {
        std::map<std::string, std::string> query;
        const auto mark = target.find('?');
        std::stringstream parts(mark == std::string::npos ? std::string() : target.substr(mark + 1));
        for (std::string part; std::getline(parts, part, '&');) {
            const auto equals = part.find('=');
            query[part.substr(0, equals)] = equals == std::string::npos ? "" : part.substr(equals + 1);
        }
        return query;
    }
    /// Status and body; status 0 when the call is never answered.
    std::pair<int, json> handle(Door &door, const Message &call)
    {
        const auto target = call.target();
        const auto query = queryOf(target);
        std::vector<std::string> path;
        std::stringstream parts(target.substr(0, target.find('?')));
        for (std::string part; std::getline(parts, part, '/');) {
            if (!part.empty()) {
                path.push_back(part);
            }
        }
        if (path.size() < 2 || path[0] != "objects") {
            return {404, {}};
        }
        const auto &kind = path[1];
        if (call.method() == "GET" && path.size() == 2 && query.count("watch") > 0) {
            return watch(door, kind, std::stoull(query.at("watch")), std::stoll(query.at("waitMs")));
        }
        const std::lock_guard lock(m_mutex);
        auto &objects = m_state.kinds[kind];
        if (call.method() == "GET" && path.size() == 2) {
            json items = json::array();
            for (const auto &[name, it] : objects) {
                items.push_back(it);
            }
            return {200, {{"items", items}, {"more", false}, {"currentRev", m_state.revision}}};
        }
        const auto body = call.body.empty() ? json() : json::parse(call.body, nullptr, false);
        const auto name = path.size() > 2 ? path[2] : body.is_object() ? body["metadata"].value("name", "") : "";
        const auto found = objects.find(name);
        if (call.method() == "GET") {
            return found == objects.end() ? std::make_pair(404, json()) : std::make_pair(200, found->second);
        }
        if (call.method() == "POST") {
            return found != objects.end() ? std::make_pair(409, found->second)
                                          : std::make_pair(200, putLocked(kind, name, body["spec"], nullptr));
        }
        if (found == objects.end()) {
            return {404, {}};
        }
        std::uint64_t wanted = 0;
        if (body.is_object() && body.contains("metadata")) {
            wanted = body["metadata"].value("revision", std::uint64_t(0));
        }
        if (query.count("revision") > 0) {
            wanted = std::stoull(query.at("revision"));
        }
        if (wanted != 0 && found->second["metadata"]["revision"] != wanted) {
            return {409, found->second};
        }
        if (call.method() == "DELETE") {
            removeLocked(kind, name);
            return {200, {}};
        }
        return {200, putLocked(kind, name, body["spec"], nullptr)};
    }
    std::pair<int, json> watch(Door &door, const std::string &kind, std::uint64_t from, std::int64_t waitMs)
    {
        std::unique_lock lock(m_mutex);
        const auto era = m_era;
        const auto deadline = inMs(waitMs);
        while (true) {
            if (m_era != era || from > m_state.revision || from < m_oldest) {
                return {410, {}};
            }
            json events = json::array();
            for (const auto &it : m_state.events) {
                if (it.revision > from && it.kind == kind) {
                    events.push_back(it.event);
                }
            }
            if (door.trouble == StoreTrouble::Busy || door.trouble == StoreTrouble::Reset) {
                return {503, {}}; // a watch that is waiting may be cut off
            }
            if (!events.empty() || Clock::now() >= deadline) {
                // What a silent store would have answered is lost; a watch that waits on is not.
                if (door.trouble == StoreTrouble::Silent) {
                    return {0, {}};
                }
                return {200, {{"events", events}, {"currentRev", m_state.revision}}};
            }
            m_changed.wait_until(lock, std::min(deadline, inMs(20)));
        }
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    State m_state;
    std::uint64_t m_oldest = 0;
    std::uint64_t m_era = 1;
    std::vector<std::unique_ptr<Door>> m_doors;
};

/// A gateway as a process of its own, started as in deploy/system.toml.
class Gateway
{
public:
    Gateway(std::string name, std::string zone, std::string ip, int storePort)
        : name(std::move(name))
        , m_zone(std::move(zone))
        , m_ip(std::move(ip))
        , m_storePort(storePort)
    {
        for (auto *it : {&front, &ready, &m_peer, &m_admin}) {
            *it = freePort(m_ip);
        }
    }
    void start(const std::string &logFolder)
    {
        const auto at = [&](int port) {
            return m_ip + ":" + std::to_string(port);
        };
        const auto *program = std::getenv("GATEWAY");
        const std::vector<std::string> words{program != nullptr ? program : "target/bin/galenarock-gateway",
                                             "--name",
                                             name,
                                             "--failure-domain",
                                             m_zone,
                                             "--listen",
                                             at(front),
                                             "--readiness",
                                             at(ready),
                                             "--peer",
                                             at(m_peer),
                                             "--admin",
                                             at(m_admin),
                                             "--platform",
                                             "127.0.0.1:" + std::to_string(m_storePort),
                                             "--workers",
                                             "1",
                                             "--stop-notice-ms",
                                             "2300",
                                             "--stop-deadline-ms",
                                             "6000",
                                             "--retry-ratio",
                                             "0.2",
                                             "--retry-allowance",
                                             "58",
                                             "--longest-hold-ms",
                                             "10000",
                                             "--cpu-share",
                                             "0.2"};
        std::vector<char *> argv;
        for (const auto &it : words) {
            argv.push_back(const_cast<char *>(it.c_str()));
        }
        argv.push_back(nullptr);
        const auto log = logFolder + "/" + name + ".log";
        pid = ::fork();
        if (pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL); // the gateway ends with this process, however that ends
            const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(fd, 1);
            ::dup2(fd, 2);
            for (int n = 3; n < 1024; ++n) {
                ::close(n);
            }
            ::execv(argv[0], argv.data());
            ::_exit(127);
        }
        record.line("start of " + name + ", process " + std::to_string(pid));
    }
    void signal(int number) const
    {
        record.line("signal " + std::to_string(number) + " to " + name);
        ::kill(pid, number);
    }
    /// Waits for the end of the process; -1 if it still runs after the time.
    int wait(int ms)
    {
        for (const auto until = inMs(ms); pid > 0 && Clock::now() < until; sleepMs(10)) {
            int status = 0;
            if (::waitpid(pid, &status, WNOHANG) == pid) {
                pid = 0;
                return status;
            }
        }
        return -1;
    }
    void end()
    {
        if (pid > 0) {
            ::kill(pid, SIGCONT);
            ::kill(pid, SIGKILL);
            wait(2'000);
        }
    }
    bool isReady() const
    {
        const auto socket = connectTo(m_ip, ready, 300);
        if (!socket || !socket->write("GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")) {
            return false;
        }
        return socket->read(inMs(500)).status() == 200;
    }
    bool waitReady(int ms) const
    {
        for (const auto until = inMs(ms); Clock::now() < until; sleepMs(50)) {
            if (isReady()) {
                record.line(name + " is ready");
                return true;
            }
        }
        return false;
    }
    const std::string &ip() const
    {
        return m_ip;
    }

    const std::string name;
    int front = 0;
    int ready = 0;
    pid_t pid = 0;

private:
    const std::string m_zone;
    const std::string m_ip;
    const int m_storePort;
    int m_peer = 0;
    int m_admin = 0;
};

inline std::int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

/// A route of the configuration.
struct Route
{
    std::string host;
    std::string prefix;
    std::string type;
    std::string service;
    int timeoutMs = 1200;
    int attempts = 2;
};

inline json makeConfiguration(int version, const std::vector<Route> &routes, const std::vector<json> &clusters)
{
    std::map<std::string, json> rules;
    for (const auto &it : routes) {
        rules[it.host].push_back(
            {{"name", "r" + it.prefix},
             {"type", it.type},
             {"targetLatencyMs", 600},
             {"priority", 1},
             {"match", {{"pathPrefix", it.prefix}}},
             {"action", {{"service", it.service}, {"timeoutMs", it.timeoutMs}, {"maxAttempts", it.attempts}}}});
    }
    json listeners = json::array();
    for (const auto &[host, list] : rules) {
        listeners.push_back({{"host", host}, {"rules", list}});
    }
    return {
        {"version", version},
        {"limits",
         {{"maxHeaderBytes", 16384}, {"maxBodyBytes", 67108864}, {"headerTimeoutMs", 3000}, {"idleTimeoutMs", 15000}}},
        {"listeners", listeners},
        {"clusters", clusters}};
}

inline json makeCluster(const std::string &name, bool isSharded)
{
    json cluster{
        {"name", name}, {"healthPath", "/health"}, {"maxConnections", 110}, {"protocol", "h1"}, {"tls", false}};
    if (isSharded) {
        cluster["sharded"] = true;
        cluster["warmS"] = 3.0;
        cluster["grants"] = "request";
    }
    return cluster;
}

}

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <cstring>
#include <vector>

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <curl/curl.h>
#include <fmt/format.h>

#include <galenarock/proxy.h>
#include <galenarock/thread.h>

/// Cost of the proxy for one small idempotent request: the same client calls the same server directly and through one
/// proxy worker, in one run. Prints latency at a fixed open-loop rate and processor time per request at full speed.
///
/// Usage: proxyoverhead [requests per second = 2200] [seconds = 5]

using namespace Galenarock;

namespace
{
constexpr int Connections = 16;
constexpr char Answer[] = "HTTP/1.1 200 OK\r\nContent-Length: 100\r\nContent-Type: text/plain\r\n\r\n"
                          "0123456789012345678901234567890123456789012345678901234567890123456789012345678901234567890"
                          "123456789";

int openSocket(std::uint16_t port)
{
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    const int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    if (connect(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0) {
        std::perror("connect");
        std::abort();
    }
    return fd;
}

/// Answers every request at once, on one thread.
class Responder
{
public:
    Responder()
        : m_listenFd(socket(AF_INET, SOCK_STREAM, 0))
        , m_epollFd(epoll_create1(0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        bind(m_listenFd, reinterpret_cast<sockaddr *>(&address), sizeof address);
        listen(m_listenFd, 128);
        socklen_t n = sizeof address;
        getsockname(m_listenFd, reinterpret_cast<sockaddr *>(&address), &n);
        m_port = ntohs(address.sin_port);
        watch(m_listenFd);
        m_thread = Thread("responder", [this] { loop(); });
    }

    ~Responder()
    {
        m_stop = true;
        m_thread.join();
        close(m_listenFd);
        close(m_epollFd);
    }

    std::uint16_t port() const
    {
        return m_port;
    }

private:
    void watch(int fd) const
    {
        epoll_event event{};
        event.events = EPOLLIN;
        event.data.fd = fd;
        epoll_ctl(m_epollFd, EPOLL_CTL_ADD, fd, &event);
    }

    void loop()
    {
        epoll_event events[64];
        while (!m_stop) {
            const int n = epoll_wait(m_epollFd, events, 64, 50);
            for (int it = 0; it < n; ++it) {
                serve(events[it].data.fd);
            }
        }
    }

    void serve(int fd) const
    {
        if (fd == m_listenFd) {
            const int accepted = accept(fd, nullptr, nullptr);
            const int one = 1;
            setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
            watch(accepted);
            return;
        }
        char buf[4096];
        const auto n = read(fd, buf, sizeof buf);
        if (n <= 0 || write(fd, Answer, sizeof Answer - 1) < 0) {
            close(fd);
        }
    }

    int m_listenFd;
    int m_epollFd;
    std::uint16_t m_port = 0;
    std::atomic<bool> m_stop{false};
    Thread m_thread;
};

/// Reads one complete answer of known size.
bool readAnswer(int fd)
{
    char buf[4096];
    std::string text;
    for (;;) {
        const auto n = read(fd, buf, sizeof buf);
        if (n <= 0) {
            return false;
        }
        text.append(buf, static_cast<std::size_t>(n));
        const auto head = text.find("\r\n\r\n");
        if (head != std::string::npos && text.size() >= head + 4 + 100) {
            return text.compare(0, 12, "HTTP/1.1 200") == 0;
        }
    }
}

struct Series
{
    double p50 = 0;
    double p99 = 0;
    std::size_t failures = 0;
    double perSecond = 0;
};

/// `rate` requests per second for all connections together, latency from the intended start; 0 means closed loop.
Series run(std::uint16_t port, const std::string &request, double rate, int runSeconds)
{
    std::vector<std::vector<double>> latencies(Connections);
    std::atomic<std::size_t> failures{0};
    const auto start = MonotonicClock::now();
    const auto end = start + seconds(runSeconds);
    std::vector<Thread> threads;
    for (int connection = 0; connection < Connections; ++connection) {
        threads.emplace_back("client", [&, connection] {
            const int fd = openSocket(port);
            const double gap = rate > 0 ? Connections / rate : 0;
            for (long n = 0;; ++n) {
                auto intended = MonotonicClock::now();
                if (rate > 0) {
                    const double offset = (static_cast<double>(n) + connection / double(Connections)) * gap;
                    intended = start + Duration(static_cast<std::int64_t>(offset * 1e9));
                    const auto left = intended - MonotonicClock::now();
                    if (left > Duration(0)) {
                        timespec time{};
                        time.tv_nsec = (left % seconds(1)).count();
                        time.tv_sec = duration_cast<seconds>(left).count();
                        nanosleep(&time, nullptr);
                    }
                }
                if (intended >= end) {
                    break;
                }
                const bool isSent = write(fd, request.data(), request.size()) == static_cast<ssize_t>(request.size());
                if (!isSent || !readAnswer(fd)) {
                    ++failures;
                    break;
                }
                const auto latency = std::chrono::duration<double>(MonotonicClock::now() - intended);
                latencies[static_cast<std::size_t>(connection)].push_back(latency.count());
            }
            close(fd);
        });
    }
    threads.clear(); // joins
    std::vector<double> all;
    for (const auto &it : latencies) {
        all.insert(all.end(), it.begin(), it.end());
    }
    std::sort(all.begin(), all.end());
    if (all.empty()) {
        return {0, 0, failures, 0};
    }
    return {all[all.size() / 2], all[all.size() * 99 / 100], failures, static_cast<double>(all.size()) / runSeconds};
}

std::shared_ptr<const RoutingSnapshot> makeSnapshot(std::uint16_t port)
{
    RoutingInput input;
    ServiceDocument document;
    document.service = "bench";
    document.pool.slots = 64;
    document.distribution = Distribution::Keyed;
    document.key.header = "X-Key";
    input.documents.push_back(document);
    Assignment assignment;
    assignment.service = "bench";
    assignment.epoch = 1;
    assignment.nextSequence = 2;
    assignment.servers = {{"bench-1", 1}};
    assignment.slices = {{{0, ~KeyHash(0)}, 0, 1, {}}};
    input.assignments.push_back(assignment);
    input.vms.vms.push_back(
        {"bench-1", VmRole::Backend, "bench", "rioja", fmt::format("127.0.0.1:{}", port), "", VmState::Live});
    return RoutingSnapshot::build(input, MonotonicClock::now());
}

void printRow(const char *name, const Series &series)
{
    fmt::print("{:<22} {:>10.0f} {:>10.3f} {:>10.3f} {:>9}\n", name, series.perSecond, series.p50 * 1e3,
               series.p99 * 1e3, series.failures);
}
}

int main(int argc, char **argv)
{
    const double rate = argc > 1 ? std::atof(argv[1]) : 2'200;
    const int runSeconds = argc > 2 ? std::atoi(argv[2]) : 5;
    curl_global_init(CURL_GLOBAL_DEFAULT);
    setLogThreshold(Severity::Error);
    Responder responder;
    Metrics metrics;
    ProxyShared shared(metrics, {"vm-1", 1}, PeerKey{});
    shared.setSnapshot(makeSnapshot(responder.port()));
    Proxy proxy(shared);
    if (!proxy.start({"127.0.0.1:0", 1})) {
        fmt::print(stderr, "cannot listen\n");
        return 1;
    }
    const auto port =
        static_cast<std::uint16_t>(std::atoi(proxy.address().substr(proxy.address().find(':') + 1).c_str()));
    const std::string request = "GET /bench/item HTTP/1.1\r\nHost: bench\r\nX-Key: almonds\r\n\r\n";
    fmt::print("{:<22} {:>10} {:>10} {:>10} {:>9}\n", "case", "req/s", "p50 ms", "p99 ms", "failures");
    const auto direct = run(responder.port(), request, rate, runSeconds);
    printRow("direct, open loop", direct);
    const auto proxied = run(port, request, rate, runSeconds);
    printRow("proxied, open loop", proxied);
    const double before = proxy.cpuSeconds();
    const auto full = run(port, request, 0, runSeconds);
    printRow("proxied, closed loop", full);
    const double cpu = (proxy.cpuSeconds() - before) / (full.perSecond * runSeconds);
    fmt::print("added p50 {:.3f} ms, added p99 {:.3f} ms, {:.1f} us of CPU per request at full speed\n",
               (proxied.p50 - direct.p50) * 1e3, (proxied.p99 - direct.p99) * 1e3, cpu * 1e6);
    proxy.stop();
    return direct.failures + proxied.failures + full.failures == 0 ? 0 : 1;
}

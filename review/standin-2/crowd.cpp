/// A crowd of requesters that stop short of the end of their bodies and stay open (case 10). Usage: crowd RECORD
/// DIRECTORY
#include <algorithm>
#include <atomic>
#include <cstdio>
#include <string>
#include <thread>
#include <vector>

#include <sys/resource.h>

#include "deployment.h"

using namespace Review;

namespace
{
constexpr std::size_t CrowdSize = 2'200;
/// Mean length of an upload on the deployment's sheet, and the part of it that a member of the crowd sends.
constexpr std::size_t BodyBytes = 60'000;
constexpr std::size_t SentBytes = 1'000;
/// Time budget of an upload, and the timeout of its route.
constexpr int DeadlineMs = 5'000;
constexpr std::int64_t ContactMs = 3'000;
/// Ordinary requesters: each tries over and over, every time on a new connection.
constexpr std::size_t Requesters = 8;
constexpr std::int64_t TryMs = 1'000;
constexpr std::int64_t PauseMs = 100;
constexpr std::int64_t CalmMs = 2'000;
constexpr std::int64_t CrowdMs = 9'000;

std::string uploadHead(const std::string &request, std::size_t bytes, std::int64_t deadlineMs)
{
    return "POST /lots/certificate HTTP/1.1\r\nHost: lots.example\r\nAttempt-Id: " + request + "\r\nDeadline-Ms: "
        + std::to_string(deadlineMs) + "\r\nContent-Length: " + std::to_string(bytes) + "\r\n\r\n";
}

bool serveUpload(Server &, Socket &socket, Reader &reader, const Head &head)
{
    std::string body;
    if (reader.readBody(head, body, nowMs() + DeadlineMs) != ReadResult::Done) {
        return false;
    }
    const std::string answer = "accepted";
    return sendAll(socket.fd(),
                   "HTTP/1.1 200 OK\r\nAttempt-Id: " + head.field("Attempt-Id") + "\r\nResponse-Seal: " + sealOf(answer)
                       + "\r\nContent-Length: " + std::to_string(answer.size()) + "\r\n\r\n" + answer,
                   nowMs() + DeadlineMs);
}

/// The longest time for which the machine said that it was ready and answered no request on a new connection.
class NewConnections
{
public:
    NewConnections(Deployment &deployment, Record &record)
        : m_gateway(deployment.gateway(0))
        , m_record(record)
    {
        for (std::size_t n = 0; n < Requesters; ++n) {
            m_threads.emplace_back([this, n] { tryOn(n); });
        }
        m_threads.emplace_back([this] { watch(); });
    }
    void stop()
    {
        m_isStopped = true;
        for (auto &it : m_threads) {
            it.join();
        }
    }
    std::int64_t longestMs() const
    {
        return m_longestMs;
    }
    std::string summary() const
    {
        return std::to_string(m_answered) + " of " + std::to_string(m_tries)
            + " tries of ordinary requesters answered; longest time without one while the machine said that it was "
              "ready: "
            + std::to_string(m_longestMs) + " ms";
    }

private:
    void tryOn(std::size_t n)
    {
        for (std::size_t number = 0; !m_isStopped; ++number) {
            const auto request = "requester" + std::to_string(n + 1) + "-" + std::to_string(number + 1);
            ++m_tries;
            const bool isAnswered = tryOnce(request);
            m_answered += isAnswered ? 1 : 0;
            m_record.line(request + (isAnswered ? " is answered" : " gets no answer within 1 s and leaves"));
            sleepMs(PauseMs);
        }
    }
    bool tryOnce(const std::string &request)
    {
        const auto deadline = nowMs() + TryMs;
        const auto socket = connectTo(m_gateway.front());
        Head head;
        const bool isAnswered = socket.isOpen()
            && sendAll(socket.fd(), uploadHead(request, 4, DeadlineMs) + "tiny", deadline)
            && Reader(socket.fd()).readHead(head, deadline) == ReadResult::Done;
        if (isAnswered) {
            m_answeredAt = nowMs();
        }
        return isAnswered;
    }
    void watch()
    {
        while (!m_isStopped) {
            const auto now = nowMs();
            const bool isReady = m_gateway.isReady();
            m_readySince = isReady ? (m_readySince == 0 ? now : m_readySince) : 0;
            if (isReady) {
                m_longestMs = std::max<std::int64_t>(m_longestMs, now - std::max(m_readySince, m_answeredAt.load()));
            } else {
                m_record.line("the machine says that it is not ready");
            }
            sleepMs(PauseMs);
        }
    }

    Gateway &m_gateway;
    Record &m_record;
    std::atomic<bool> m_isStopped{false};
    std::atomic<std::size_t> m_tries{0};
    std::atomic<std::size_t> m_answered{0};
    std::atomic<std::int64_t> m_answeredAt{nowMs()};
    std::int64_t m_readySince = 0;
    std::atomic<std::int64_t> m_longestMs{0};
    std::vector<std::thread> m_threads;
};

/// Raises this process's own soft limit where the hard one allows it; the machines inherit it.
bool mayOpen(rlim_t descriptors)
{
    rlimit limit{};
    getrlimit(RLIMIT_NOFILE, &limit);
    if (limit.rlim_cur < descriptors && limit.rlim_max >= descriptors) {
        limit.rlim_cur = descriptors;
        setrlimit(RLIMIT_NOFILE, &limit);
    }
    return limit.rlim_cur >= descriptors;
}

std::vector<Socket> sendCrowd(const Endpoint &front, std::size_t sentBytes)
{
    std::vector<Socket> crowd;
    for (std::size_t n = 0; n < CrowdSize; ++n) {
        crowd.push_back(connectTo(front));
        const auto head = uploadHead("crowd" + std::to_string(n + 1), BodyBytes, DeadlineMs);
        sendAll(crowd.back().fd(), head + std::string(sentBytes, 'u'), nowMs() + TryMs);
    }
    return crowd;
}
}

int main(int, char **argv)
{
    Record record(argv[1]);
    if (!mayOpen(2 * CrowdSize)) {
        record.line("too few descriptors for the crowd");
        return CouldNotRun;
    }
    DeploymentOptions options;
    options.route = {"lots.example", "/lots/", "upload", "almacen", DeadlineMs, 2, 1'200};
    options.terms = {{"bounds.graceS", "6"},        {"bounds.retryBudgetRatio", "0.2"}, {"bounds.budgetSlack", "204"},
                     {"bounds.holdMaxMs", "10000"}, {"limits.cpuShare", "0.1"},         {"limits.memoryMb", "160"},
                     {"limits.maxFds", "4100"}};
    options.directory = argv[2];
    Deployment deployment(options, record, serveUpload);
    if (!deployment.waitUntilReady(nowMs() + 20'000)) {
        deployment.end(CouldNotRun);
    }
    NewConnections connections(deployment, record);
    sleepMs(CalmMs);
    if (connections.longestMs() >= ContactMs) {
        record.line("the machine answers nobody in calm");
        deployment.end(CouldNotRun);
    }
    const auto crowd = isTroubled() ? sendCrowd(deployment.gateway(0).front(), SentBytes) : std::vector<Socket>();
    record.line("the crowd has connected: " + std::to_string(crowd.size()));
    sleepMs(CrowdMs);
    connections.stop();
    record.line(connections.summary());
    std::printf("%s\n", connections.summary().c_str());
    deployment.end(connections.longestMs() > ContactMs ? Broken : Held);
}

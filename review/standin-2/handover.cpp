/// A server is replaced, and spoils the header Handover of one release (case 7).
/// Usage: handover RECORD DIRECTORY
#include <algorithm>
#include <array>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "deployment.h"

using namespace Review;

namespace
{
constexpr std::size_t Keys = 65'536;
constexpr std::size_t Servers = 16;
constexpr const char *Leaving = "i-server1";
constexpr std::int64_t CalmMs = 12'000;
constexpr std::int64_t ObservedMs = 4'000;
/// The new server starts this long before the old one drains.
constexpr std::int64_t OverlapMs = 1'500;
constexpr std::int64_t DrainMs = 2'000;
constexpr std::int64_t ServesOnMs = 3'000;
constexpr std::int64_t RestartDelayMs = 500;
constexpr int DeadlineMs = 2'000;
constexpr std::int64_t RequestEachMs = 8;
/// Requesters on kept connections, for each machine.
constexpr std::size_t KeptRequesters = 8;
constexpr std::int64_t WorkMs = 100;
/// From RULES.md, LOST at any time: "more than three times", here of one machine.
constexpr std::size_t AllowedLosses = 3;
/// From RULES.md, contactMs.
constexpr std::int64_t ContactMs = 3'000;

/// What one server holds and has answered.
struct KeyHolder
{
    std::array<std::uint64_t, Keys> fences{};
    std::array<std::int64_t, Keys> heldUntil{};
    /// Keys on which the server is at work.
    std::multiset<std::size_t> busy;
    bool mustSpoil = false;
    std::size_t answers = 0;
    std::size_t spoiled = 0;
};

/// The keyed servers of the deployment. Sound, but for one header of those that spoil.
class KeyedServers
{
public:
    explicit KeyedServers(Record &record)
        : m_record(record)
    {
    }

    /// The server breaks the next answer to a release of keys that it holds.
    void spoilNext(const std::string &id)
    {
        const std::lock_guard lock(m_mutex);
        holder(id).mustSpoil = true;
    }

    bool serve(Server &server, Socket &socket, Reader &reader, const Head &head)
    {
        std::string body;
        if (reader.readBody(head, body, nowMs() + DeadlineMs) != ReadResult::Done) {
            return false;
        }
        std::string answer;
        const auto path = head.word(1);
        {
            std::unique_lock lock(m_mutex);
            auto &state = holder(server.id());
            answer = path == "/grant" ? grant(state, body)
                : path == "/release"  ? release(lock, server.id(), state, body)
                                      : run(lock, server.id(), state, head);
            ++state.answers;
        }
        return sendAll(socket.fd(), answer, nowMs() + DeadlineMs);
    }

    /// Whether a server that has spoiled nothing has begun to work on the request.
    bool wasBegunBySound(const std::string &request)
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_begun.find(request);
        return found != m_begun.end() && holder(found->second).spoiled == 0;
    }

    std::string summary()
    {
        const std::lock_guard lock(m_mutex);
        std::string text;
        for (const auto &[id, it] : m_holders) {
            text += " " + id + " " + std::to_string(it->spoiled) + "/" + std::to_string(it->answers);
        }
        return text;
    }

private:
    KeyHolder &holder(const std::string &id)
    {
        auto &it = m_holders[id];
        if (!it) {
            it = std::make_unique<KeyHolder>();
        }
        return *it;
    }

    static std::string grant(KeyHolder &state, const std::string &body)
    {
        const auto call = nlohmann::json::parse(body);
        const auto first = call["from"].get<std::size_t>();
        const auto last = call["target"].get<std::size_t>();
        const auto fence = call["fence"].get<std::uint64_t>();
        for (auto key = first; key <= last; ++key) {
            if (state.fences[key] > fence) {
                return "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n";
            }
        }
        for (auto key = first; key <= last; ++key) {
            state.fences[key] = fence;
            state.heldUntil[key] = nowMs() + call["holdMs"].get<std::int64_t>();
        }
        return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    }

    std::string release(std::unique_lock<std::mutex> &lock, const std::string &id, KeyHolder &state,
                        const std::string &body)
    {
        const auto call = nlohmann::json::parse(body);
        const auto first = call["from"].get<std::size_t>();
        const auto last = call["target"].get<std::size_t>();
        const bool wasHeld = state.heldUntil[first] > nowMs();
        for (auto key = first; key <= last; ++key) {
            state.heldUntil[key] = 0;
        }
        const auto isBusy = [&] {
            const auto next = state.busy.lower_bound(first);
            return next != state.busy.end() && *next <= last;
        };
        m_idle.wait_for(lock, std::chrono::milliseconds(DeadlineMs), [&] { return !isBusy(); });
        std::string proof = "5c0e7a21d94b36f8";
        if (wasHeld && state.mustSpoil) {
            state.mustSpoil = false;
            ++state.spoiled;
            proof = "5c0e7a\xff\xfe\x94"
                    "b36f8";
            m_record.line("server " + id + " answers a release with three spoiled bytes in Handover");
        }
        return "HTTP/1.1 200 OK\r\nHandover: " + proof + "\r\nContent-Length: 0\r\n\r\n";
    }

    std::string run(std::unique_lock<std::mutex> &lock, const std::string &server, KeyHolder &state, const Head &head)
    {
        const auto id = "Attempt-Id: " + head.field("Attempt-Id") + "\r\n";
        const auto key = std::stoul(head.field("Shard-Key"));
        if (state.heldUntil.at(key) <= nowMs()) {
            return "HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1\r\n" + id + "Content-Length: 0\r\n\r\n";
        }
        if (head.word(1) == "/stock/report") {
            m_begun[head.field("Attempt-Id")] = server;
            const auto work = state.busy.insert(key);
            lock.unlock();
            sleepMs(WorkMs);
            lock.lock();
            state.busy.erase(work);
            m_idle.notify_all();
        }
        const std::string body = "stock of " + std::to_string(key);
        return "HTTP/1.1 200 OK\r\n" + id + "Response-Seal: " + sealOf(body)
            + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    Record &m_record;
    std::mutex m_mutex;
    std::condition_variable m_idle;
    std::map<std::string, std::unique_ptr<KeyHolder>> m_holders;
    std::map<std::string, std::string> m_begun;
};

/// Reads of random keys, one after the other, at all machines in turn.
class Requesters
{
public:
    explicit Requesters(Deployment &deployment)
        : m_deployment(deployment)
        , m_thread([this] { run(); })
    {
    }
    void stop()
    {
        m_isStopped = true;
        m_thread.join();
    }
    std::string summary() const
    {
        return std::to_string(m_served) + " of " + std::to_string(m_sent) + " requests served";
    }

private:
    void run()
    {
        while (!m_isStopped) {
            const auto n = m_sent++;
            m_served += isServed(m_deployment.gateway(n % 3).front(), n) ? 1 : 0;
            sleepMs(RequestEachMs);
        }
    }
    static bool isServed(const Endpoint &front, std::size_t n)
    {
        const auto socket = connectTo(front);
        const auto deadline = nowMs() + DeadlineMs;
        const auto text = "GET /stock/item HTTP/1.1\r\nHost: stock.example\r\nAttempt-Id: read" + std::to_string(n)
            + "\r\nDeadline-Ms: " + std::to_string(DeadlineMs) + "\r\nShard-Key: " + std::to_string(n * 40'503 % Keys)
            + "\r\nConnection: close\r\n\r\n";
        Head head;
        return socket.isOpen() && sendAll(socket.fd(), text, deadline)
            && Reader(socket.fd()).readHead(head, deadline) == ReadResult::Done && head.word(1) == "200";
    }

    Deployment &m_deployment;
    std::atomic<bool> m_isStopped{false};
    std::size_t m_sent = 0;
    std::size_t m_served = 0;
    std::thread m_thread;
};

/// Reads on kept connections, which take some time at their server. Counts LOST: a request that a machine in touch has
/// passed on to a sound server, and whose connection ends without an answer.
class KeptReaders
{
public:
    KeptReaders(Deployment &deployment, KeyedServers &servers, Record &record)
        : m_deployment(deployment)
        , m_servers(servers)
        , m_record(record)
        , m_losses(deployment.gateways())
    {
        for (std::size_t n = 0; n < deployment.gateways() * KeptRequesters; ++n) {
            m_threads.emplace_back([this, n] { run(n); });
        }
    }
    void stop()
    {
        m_isStopped = true;
        for (auto &it : m_threads) {
            it.join();
        }
    }
    bool isBroken() const
    {
        return std::any_of(m_losses.begin(), m_losses.end(), [](std::size_t it) { return it > AllowedLosses; });
    }
    std::string summary() const
    {
        std::string text = std::to_string(m_sent) + " requests on kept connections, lost";
        for (std::size_t n = 0; n < m_losses.size(); ++n) {
            text += (n > 0 ? ", " : " ") + std::to_string(m_losses[n]) + " at " + m_deployment.gateway(n).name();
        }
        return text;
    }

private:
    void run(std::size_t reader)
    {
        const auto machine = reader % m_deployment.gateways();
        for (std::size_t n = 0; !m_isStopped;) {
            const auto socket = connectTo(m_deployment.gateway(machine).front());
            Reader answers(socket.fd());
            std::size_t served = 0;
            std::int64_t firstMs = nowMs();
            while (!m_isStopped && socket.isOpen()) {
                const auto request = "kept" + std::to_string(reader) + "-" + std::to_string(n);
                const auto result = exchange(socket, answers, request, (reader * 7'919 + n * 104'729) % Keys);
                ++n;
                if (result == ReadResult::Done) {
                    ++served;
                    continue;
                }
                // The connection is kept from its first answer on, and shows that the machine ran for contactMs.
                const bool isInTouch = served > 0 && nowMs() - firstMs >= ContactMs;
                const bool hasEnded = result == ReadResult::Closed || result == ReadResult::Reset;
                if (hasEnded && isInTouch && m_servers.wasBegunBySound(request)) {
                    const std::lock_guard lock(m_mutex);
                    ++m_losses[machine];
                    m_record.line("LOST: " + request + " at " + m_deployment.gateway(machine).name()
                                  + " was begun by a sound server; its connection has ended without an answer");
                }
                break;
            }
            sleepMs(100);
        }
    }
    ReadResult exchange(const Socket &socket, Reader &answers, const std::string &request, std::size_t key)
    {
        ++m_sent;
        const auto deadline = nowMs() + DeadlineMs + 1'000;
        const auto text = "GET /stock/report HTTP/1.1\r\nHost: stock.example\r\nAttempt-Id: " + request
            + "\r\nDeadline-Ms: " + std::to_string(DeadlineMs) + "\r\nShard-Key: " + std::to_string(key) + "\r\n\r\n";
        Head head;
        std::string body;
        if (!sendAll(socket.fd(), text, deadline)) {
            return ReadResult::Closed;
        }
        const auto result = answers.readHead(head, deadline);
        return result == ReadResult::Done ? answers.readBody(head, body, deadline) : result;
    }

    Deployment &m_deployment;
    KeyedServers &m_servers;
    Record &m_record;
    std::atomic<bool> m_isStopped{false};
    std::atomic<std::size_t> m_sent{0};
    std::mutex m_mutex;
    std::vector<std::size_t> m_losses;
    std::vector<std::thread> m_threads;
};

/// Restarts processes that end by themselves, as the platform does, and counts their ends.
class Watchdog
{
public:
    Watchdog(Deployment &deployment, Record &record)
        : m_deployment(deployment)
        , m_record(record)
    {
    }
    void watchFor(std::int64_t ms)
    {
        const auto until = nowMs() + ms;
        while (nowMs() < until) {
            for (std::size_t n = 0; n < m_deployment.gateways(); ++n) {
                check(m_deployment.gateway(n));
            }
            sleepMs(10);
        }
    }
    std::string summary() const
    {
        std::string text;
        for (const auto &[name, n] : m_ends) {
            text += " " + name + " " + std::to_string(n) + " times";
        }
        return text.empty() ? " none" : text;
    }

private:
    void check(Gateway &gateway)
    {
        if (gateway.isRunning()) {
            return;
        }
        ++m_ends[gateway.name()];
        m_record.line(gateway.name() + " has ended by itself: " + gateway.end());
        sleepMs(RestartDelayMs);
        gateway.restart();
    }

    Deployment &m_deployment;
    Record &m_record;
    std::map<std::string, std::size_t> m_ends;
};
}

int main(int, char **argv)
{
    Record record(argv[1]);
    KeyedServers servers(record);
    DeploymentOptions options;
    options.route = {"stock.example", "/stock/", "safe", "vitrina", DeadlineMs, 2, 500, true};
    options.terms = {{"bounds.graceS", "6"},        {"bounds.retryBudgetRatio", "0.2"}, {"bounds.budgetSlack", "58"},
                     {"bounds.holdMaxMs", "10000"}, {"limits.cpuShare", "0.2"},         {"limits.memoryMb", "260"},
                     {"limits.maxFds", "4100"}};
    options.servers = Servers;
    options.directory = argv[2];
    Deployment deployment(options, record, [&](Server &server, Socket &socket, Reader &reader, const Head &head) {
        return servers.serve(server, socket, reader, head);
    });
    if (!deployment.waitUntilReady(nowMs() + 20'000)) {
        deployment.end(CouldNotRun);
    }
    Requesters requesters(deployment);
    KeptReaders readers(deployment, servers, record);
    Watchdog watchdog(deployment, record);
    watchdog.watchFor(CalmMs);
    deployment.addServer("i-new", 0);
    watchdog.watchFor(OverlapMs);
    if (isTroubled()) {
        servers.spoilNext(Leaving);
    }
    record.line(std::string("server ") + Leaving + " drains");
    deployment.drain(Leaving);
    watchdog.watchFor(DrainMs + ServesOnMs);
    deployment.removeServer(Leaving);
    watchdog.watchFor(ObservedMs);
    requesters.stop();
    readers.stop();
    record.line("spoiled answers of all answers, by server:" + servers.summary());
    record.line(requesters.summary());
    record.line(readers.summary());
    record.line("processes that ended by themselves:" + watchdog.summary());
    std::printf("LOST: %s; ended by themselves:%s; %s\n", readers.summary().c_str(), watchdog.summary().c_str(),
                requesters.summary().c_str());
    deployment.end(readers.isBroken() ? Broken : Held);
}

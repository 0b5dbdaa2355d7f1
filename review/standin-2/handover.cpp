/// Servers are replaced one after the other, and some spoil the header Handover of a release (case 7).
/// Usage: handover RECORD DIRECTORY
#include <array>
#include <cstdio>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "deployment.h"

using namespace Review;

namespace
{
constexpr std::size_t Keys = 65'536;
constexpr std::size_t Servers = 16;
/// Half of the servers are replaced, and each of these spoils one answer.
constexpr std::size_t Replacements = Servers / 2;
constexpr std::int64_t ReplaceEachMs = 9'000;
/// The new server starts this long before the old one drains.
constexpr std::int64_t OverlapMs = 1'500;
constexpr std::int64_t DrainMs = 2'000;
constexpr std::int64_t ServesOnMs = 3'000;
constexpr std::int64_t RestartDelayMs = 500;
constexpr int DeadlineMs = 2'000;
constexpr std::int64_t RequestEachMs = 8;
/// From RULES.md: a tenth of the machines in use, two at least, and three times.
constexpr std::size_t MachinesToBreak = 2;
constexpr std::size_t EndsToBreak = 3;

/// What one server holds and has answered.
struct KeyHolder
{
    std::array<std::uint64_t, Keys> fences{};
    std::array<std::int64_t, Keys> heldUntil{};
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
        {
            const std::lock_guard lock(m_mutex);
            auto &state = holder(server.id());
            const auto path = head.word(1);
            answer = path == "/grant" ? grant(state, body)
                : path == "/release"  ? release(server.id(), state, body)
                                      : run(state, head);
            ++state.answers;
        }
        return sendAll(socket.fd(), answer, nowMs() + DeadlineMs);
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

    std::string release(const std::string &id, KeyHolder &state, const std::string &body)
    {
        const auto call = nlohmann::json::parse(body);
        const auto first = call["from"].get<std::size_t>();
        const auto last = call["target"].get<std::size_t>();
        const bool wasHeld = state.heldUntil[first] > nowMs();
        for (auto key = first; key <= last; ++key) {
            state.heldUntil[key] = 0;
        }
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

    static std::string run(const KeyHolder &state, const Head &head)
    {
        const auto id = "Attempt-Id: " + head.field("Attempt-Id") + "\r\n";
        const auto key = std::stoul(head.field("Shard-Key"));
        if (state.heldUntil.at(key) <= nowMs()) {
            return "HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1\r\n" + id + "Content-Length: 0\r\n\r\n";
        }
        const std::string body = "stock of " + std::to_string(key);
        return "HTTP/1.1 200 OK\r\n" + id + "Response-Seal: " + sealOf(body)
            + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    Record &m_record;
    std::mutex m_mutex;
    std::map<std::string, std::unique_ptr<KeyHolder>> m_holders;
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
    bool isBroken() const
    {
        std::size_t machines = 0;
        for (const auto &[name, n] : m_ends) {
            machines += n >= EndsToBreak ? 1 : 0;
        }
        return machines >= MachinesToBreak;
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
    Watchdog watchdog(deployment, record);
    watchdog.watchFor(4'000);
    for (std::size_t n = 0; n < Replacements; ++n) {
        const auto leaving = "i-server" + std::to_string(n + 1);
        deployment.addServer("i-new" + std::to_string(n + 1), n);
        watchdog.watchFor(OverlapMs);
        if (isTroubled()) {
            servers.spoilNext(leaving);
        }
        record.line("server " + leaving + " drains");
        deployment.drain(leaving);
        watchdog.watchFor(DrainMs + ServesOnMs);
        deployment.removeServer(leaving);
        watchdog.watchFor(ReplaceEachMs - OverlapMs - DrainMs - ServesOnMs);
    }
    requesters.stop();
    record.line("spoiled answers of all answers, by server:" + servers.summary());
    record.line(requesters.summary());
    record.line("processes that ended by themselves:" + watchdog.summary());
    std::printf("ended by themselves:%s; %s\n", watchdog.summary().c_str(), requesters.summary().c_str());
    deployment.end(watchdog.isBroken() ? Broken : Held);
}

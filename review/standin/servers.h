#pragma once

#include "standin.h"

namespace Review
{

/// One range that a server holds.
struct Hold
{
    unsigned from = 0;
    unsigned target = 0;
    std::uint64_t fence = 0;
    Clock::time_point until;
};

/// A run of a request, and the grants, as the servers have seen them.
struct Run
{
    std::int64_t atMs;
    std::string id;
    std::string server;
    std::string via;
    std::int64_t sentMs; ///< When the caller sent it.
};

/// A server of a service, as PROTOCOL.md describes it.
class Server
{
public:
    struct Settings
    {
        std::string id;
        std::string service;
        std::string zone = "rioja";
        int slots = 4;
        int queue = 16;
        int workMs = 150;
        bool isSharded = false;
    };

    Server(Settings wanted, Store &store)
        : settings(std::move(wanted))
        , m_store(store)
        , m_born(unixMs())
        , m_listener(std::make_unique<Listener>("127.0.0.1", 0, [this](Socket &it) { serve(it); }))
    {
    }
    void enroll(const std::string &state)
    {
        m_sequence += 1;
        record.line(settings.id + " (" + settings.service + ") reports " + state);
        m_store.put("servers", settings.id, entry(state));
    }
    /// The process ends: connections close, work under way is lost.
    void exit(bool isReset = false)
    {
        record.line(settings.id + " ends with " + std::to_string(m_running) + " requests under way");
        m_hasEnded = true;
        m_listener->end(isReset);
    }
    /// The machine loses power: nothing is sent any more, not even the end of its connections.
    void goDark()
    {
        record.line(settings.id + " goes dark with " + std::to_string(m_running) + " requests under way");
        m_isDark = true;
        m_listener->goDark("127.0.0.1");
    }
    json entry(const std::string &state) const
    {
        return {
            {"address", "127.0.0.1:" + std::to_string(m_listener->port)},
            {"born", m_born},
            {"info",
             {{"service", settings.service}, {"version", "v1"}, {"zone", settings.zone}, {"slots", settings.slots}}},
            {"status", {{"state", state}, {"sequence", m_sequence.load()}, {"warmupLeftMs", 0}}}};
    }
    int port() const
    {
        return m_listener->port;
    }
    std::vector<Run> runs()
    {
        const std::lock_guard lock(m_mutex);
        return m_runs;
    }

    const Settings settings;
    /// `Server-Leaving: 1` and `Connection: close` in all answers.
    std::atomic<bool> isLeaving{false};
    /// May write another answer than the usual one; returns false to close the connection.
    std::function<bool(Socket &, const Message &, bool &isDone)> onRequest;

private:
    void serve(Socket &socket)
    {
        while (!m_hasEnded) {
            const auto request = socket.read(inMs(15'000));
            const bool goesOn = request.isWhole && !m_hasEnded && !m_isDark && answer(socket, request);
            while (m_isDark && !m_hasEnded) {
                sleepMs(10);
            }
            if (!goesOn) {
                return;
            }
        }
    }
    bool reply(Socket &socket, int status, Headers headers, const std::string &body)
    {
        headers.emplace_back("Server-Load",
                             std::to_string(std::min(m_running.load(), settings.slots)) + ","
                                 + std::to_string(std::max(0, m_running - settings.slots)) + ","
                                 + std::to_string(settings.slots));
        if (isLeaving) {
            headers.emplace_back("Server-Leaving", "1");
            headers.emplace_back("Connection", "close");
        }
        return socket.write(makeMessage("HTTP/1.1 " + std::to_string(status) + " X", headers, body)) && !isLeaving;
    }
    bool answer(Socket &socket, const Message &request)
    {
        if (request.target() == "/grant" || request.target() == "/release") {
            return answerLease(socket, request);
        }
        const auto id = request.header("Attempt-Id");
        bool isDone = false;
        if (onRequest) {
            const bool goesOn = onRequest(socket, request, isDone);
            if (isDone) {
                return goesOn;
            }
        }
        const auto wanted = request.header("Target-Instance");
        if (!wanted.empty() && wanted != settings.id) {
            return reply(socket, 421, {{"Attempt-Id", id}, {"Instance-Id", settings.id}}, "");
        }
        if (settings.isSharded && !holds(request.header("Shard-Key"))) {
            return reply(socket, 421, {{"Attempt-Id", id}, {"Not-Executed", "1"}}, "");
        }
        if (m_running >= settings.slots + settings.queue) {
            return reply(socket, 503, {{"Not-Executed", "1"}}, "");
        }
        ++m_running;
        noteRun(request);
        sleepMs(settings.workMs);
        --m_running;
        if (m_hasEnded || m_isDark) {
            return false;
        }
        const auto body = "whole answer of " + settings.id + " to " + id;
        return reply(socket, 200, {{"Attempt-Id", id}, {"Response-Seal", "seal." + settings.id + "." + id}}, body);
    }
    void noteRun(const Message &request)
    {
        const auto sent = request.header("X-Sent-Ms");
        Run run{nowMs(), request.header("Attempt-Id"), settings.id, request.header("X-Via"),
                sent.empty() ? 0 : std::stoll(sent)};
        record.line(settings.id + " runs " + run.id + " that came through " + run.via);
        const std::lock_guard lock(m_mutex);
        m_runs.push_back(run);
    }
    bool holds(const std::string &key)
    {
        const std::lock_guard lock(m_mutex);
        const auto n = static_cast<unsigned>(std::atoi(key.c_str()));
        return std::any_of(m_holds.begin(), m_holds.end(),
                           [&](const Hold &it) { return it.from <= n && n <= it.target && Clock::now() < it.until; });
    }
    bool answerLease(Socket &socket, const Message &request)
    {
        const auto wanted = request.header("Target-Instance");
        if (!wanted.empty() && wanted != settings.id) {
            return reply(socket, 421, {{"Instance-Id", settings.id}}, "");
        }
        const auto call = json::parse(request.body, nullptr, false);
        const unsigned from = call["from"];
        const unsigned target = call["target"];
        const std::uint64_t fence = call["fence"];
        const bool isGrant = request.target() == "/grant";
        bool isRefused = false;
        {
            const std::lock_guard lock(m_mutex);
            const auto overlaps = [&](const Hold &it) {
                return it.from <= target && from <= it.target;
            };
            if (isGrant) {
                isRefused = std::any_of(m_seen.begin(), m_seen.end(),
                                        [&](const Hold &it) { return overlaps(it) && it.fence > fence; });
            }
            if (!isRefused) {
                std::vector<Hold> left;
                for (const auto &it : m_holds) {
                    if (!overlaps(it)) {
                        left.push_back(it);
                        continue;
                    }
                    if (it.from < from) {
                        left.push_back({it.from, from - 1, it.fence, it.until});
                    }
                    if (it.target > target) {
                        left.push_back({target + 1, it.target, it.fence, it.until});
                    }
                }
                m_holds = left;
                if (isGrant) {
                    m_holds.push_back({from, target, fence, inMs(call["holdMs"].get<std::int64_t>())});
                    m_seen.push_back({from, target, fence, {}});
                }
            }
        }
        record.line(settings.id + " " + request.target() + " " + request.body + " -> " + (isRefused ? "409" : "200"));
        if (isRefused) {
            return reply(socket, 409, {}, "{}");
        }
        return reply(socket, 200, isGrant ? Headers{} : Headers{{"Handover", "00000000" + settings.id}}, "{}");
    }

    Store &m_store;
    const std::int64_t m_born;
    std::atomic<int> m_sequence{0};
    std::atomic<int> m_running{0};
    std::atomic<bool> m_hasEnded{false};
    std::atomic<bool> m_isDark{false};
    std::mutex m_mutex;
    std::vector<Hold> m_holds;
    std::vector<Hold> m_seen;
    std::vector<Run> m_runs;
    std::unique_ptr<Listener> m_listener; ///< Last member: its threads use all others.
};

/// What a caller got for one request.
struct Outcome
{
    std::int64_t sentMs = 0;
    std::int64_t endedMs = 0;
    std::string id;
    std::string via;
    int status = 0; ///< 0 when the connection ended without a whole answer.
    Message answer;
};

inline std::string nextId()
{
    static std::atomic<unsigned> n{0};
    char text[32];
    std::snprintf(text, sizeof text, "%016x", ++n + 0x1000);
    return text;
}

/// One request over a new connection, with the head as the pages show it.
inline Outcome callOnce(const Gateway &gateway, const std::string &method, const std::string &host,
                        const std::string &path, const std::string &body, int deadlineMs, Headers extra = {})
{
    Outcome outcome;
    outcome.id = nextId();
    outcome.via = gateway.name;
    outcome.sentMs = nowMs();
    Headers headers{{"Host", host},
                    {"Attempt-Id", outcome.id},
                    {"Deadline-Ms", std::to_string(deadlineMs)},
                    {"X-Via", gateway.name},
                    {"X-Sent-Ms", std::to_string(outcome.sentMs)}};
    headers.insert(headers.end(), extra.begin(), extra.end());
    const auto socket = connectTo(gateway.ip(), gateway.front);
    if (socket && socket->write(makeMessage(method + " " + path + " HTTP/1.1", headers, body))) {
        outcome.answer = socket->read(inMs(deadlineMs));
        outcome.status = outcome.answer.isWhole ? outcome.answer.status() : 0;
    }
    outcome.endedMs = nowMs();
    record.line("caller " + outcome.id + " " + method + " " + path + " to " + gateway.name + " sent at "
                + std::to_string(outcome.sentMs) + " ms: " + std::to_string(outcome.status));
    return outcome;
}

}

/// The store is silent for 0.2 s while configurations come in quick succession; 3.5 s later the operator moves a route
/// to another service (case 8). Usage: silentstore RECORD DIRECTORY
#include <algorithm>
#include <cstdio>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "deployment.h"

using namespace Review;

namespace
{
constexpr int TimeoutMs = 1'200;
constexpr std::int64_t ContactMs = 3'000;
constexpr std::int64_t ConfigApplyMs = 2'000;
/// Before the first change.
constexpr std::int64_t CalmMs = 36'000;
constexpr int StormChanges = 12;
constexpr std::int64_t StormGapMs = 330;
/// The silence begins so long after the ack of this change.
constexpr int SilentAfterChange = 6;
constexpr std::int64_t SilentDelayMs = 80;
constexpr std::int64_t SilentMs = 200;
constexpr std::int64_t ObservedMs = 25'000;
constexpr std::int64_t RequestEachMs = 20;

struct Run
{
    std::string gateway;
    std::int64_t sentMs = 0;
    std::string service;
};

/// Which service ran which request.
class Runs
{
public:
    void add(const std::string &request, const std::string &service)
    {
        const std::lock_guard lock(m_mutex);
        m_services[request] = service;
    }
    std::string serviceOf(const std::string &request) const
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_services.find(request);
        return found == m_services.end() ? std::string() : found->second;
    }

private:
    mutable std::mutex m_mutex;
    std::map<std::string, std::string> m_services;
};

bool serveOrder(Runs &runs, Server &server, Socket &socket, Reader &reader, const Head &head)
{
    const auto deadline = nowMs() + 2 * TimeoutMs;
    std::string body;
    if (reader.readBody(head, body, deadline) != ReadResult::Done) {
        return false;
    }
    const auto request = head.field("Attempt-Id");
    if (!request.empty()) {
        runs.add(request, server.service());
    }
    const std::string answer = "done by " + server.id();
    const auto message = "HTTP/1.1 200 OK\r\nAttempt-Id: " + request + "\r\nResponse-Seal: " + sealOf(answer)
        + "\r\nContent-Length: " + std::to_string(answer.size()) + "\r\n\r\n" + answer;
    return sendAll(socket.fd(), message, deadline);
}

void sendOrder(const Endpoint &front, const std::string &request)
{
    const auto socket = connectTo(front);
    const auto deadline = nowMs() + 2 * TimeoutMs;
    const auto text = "POST /orders/one HTTP/1.1\r\nHost: orders.example\r\nAttempt-Id: " + request
        + "\r\nDeadline-Ms: " + std::to_string(2 * TimeoutMs)
        + "\r\nConnection: close\r\nContent-Length: 5\r\n\r\norder";
    Head head;
    if (socket.isOpen() && sendAll(socket.fd(), text, deadline)) {
        Reader(socket.fd()).readHead(head, deadline);
    }
}
}

int main(int, char **argv)
{
    Record record(argv[1]);
    Runs runs;
    DeploymentOptions options;
    options.route = {"orders.example", "/orders/", "unsafe", "encargo", TimeoutMs, 2, 500};
    options.route.otherService = "taller";
    options.terms = {{"bounds.graceS", "6"},        {"bounds.retryBudgetRatio", "0.2"}, {"bounds.budgetSlack", "58"},
                     {"bounds.holdMaxMs", "10000"}, {"limits.cpuShare", "0.2"},         {"limits.memoryMb", "260"},
                     {"limits.maxFds", "4100"}};
    options.directory = argv[2];
    Deployment deployment(options, record, [&](Server &server, Socket &socket, Reader &reader, const Head &head) {
        return serveOrder(runs, server, socket, reader, head);
    });
    if (!deployment.waitUntilReady(nowMs() + 20'000)) {
        deployment.end(CouldNotRun);
    }
    sleepMs(CalmMs);
    auto route = options.route;
    int version = 8;
    for (int n = 1; n <= StormChanges; ++n) {
        route.timeoutMs = TimeoutMs + n;
        deployment.configure(route, version++);
        std::int64_t pause = StormGapMs;
        if (n == SilentAfterChange && isTroubled()) {
            sleepMs(SilentDelayMs);
            deployment.silenceStore(SilentMs);
            pause -= SilentDelayMs + SilentMs;
        }
        sleepMs(pause);
    }
    sleepMs(ContactMs + 500);
    std::swap(route.service, route.otherService);
    deployment.configure(route, version);
    const auto ackedAt = nowMs();

    std::vector<Run> sent;
    std::size_t answeredByNobody = 0;
    std::map<std::string, std::size_t> late;
    std::int64_t lastMs = 0;
    for (std::size_t n = 0; nowMs() < ackedAt + ObservedMs; ++n) {
        auto &gateway = deployment.gateway(n % deployment.gateways());
        const auto request = "order" + std::to_string(n);
        const auto sentMs = nowMs() - ackedAt;
        sendOrder(gateway.front(), request);
        const auto service = runs.serviceOf(request);
        answeredByNobody += service.empty() ? 1 : 0;
        if (service == options.route.service && sentMs > ConfigApplyMs) {
            ++late[gateway.name()];
            lastMs = std::max(lastMs, sentMs);
            record.line("CONFIG: " + request + ", sent to " + gateway.name() + " " + std::to_string(sentMs)
                        + " ms after the ack, was run by the old service " + service);
        }
        sent.push_back({gateway.name(), sentMs, service});
        sleepMs(RequestEachMs);
    }
    std::string text = std::to_string(sent.size()) + " orders, " + std::to_string(answeredByNobody) + " not run";
    for (const auto &[name, n] : late) {
        text += "; " + std::to_string(n) + " too late by the old service through " + name;
    }
    text += "; the last one sent " + std::to_string(lastMs) + " ms after the ack";
    record.line(text);
    std::printf("CONFIG: %s\n", text.c_str());
    deployment.end(late.empty() ? Held : Broken);
}

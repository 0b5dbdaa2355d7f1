/// A planned stop while requesters read their downloads slowly (case 9). Usage: slowreader RECORD DIRECTORY
#include <cstdio>
#include <string>
#include <thread>
#include <vector>

#include "deployment.h"

using namespace Review;

namespace
{
constexpr std::size_t Requesters = 12;
/// Below the largest response of the deployment's sheet.
constexpr std::size_t ResponseBytes = 500'000;
/// Timeout of the route, and what is left of the time budget of 5 s when the request is sent.
constexpr int TimeoutMs = 5'000;
constexpr int DeadlineMs = 4'000;
constexpr int GraceS = 6;
/// The requester reads the beginning of its answer, then nothing for 2 s, then the rest.
constexpr Pacing SlowReading{1, 2'000, 1};
/// The requesters have connected before the SIGTERM and send this long after it.
constexpr std::int64_t SendAfterTermMs = 1'000;
constexpr std::int64_t ConnectMs = 300;
constexpr std::int64_t WorkMs = 50;
constexpr std::int64_t UnreadMs = 10'000;
/// A requester on another machine, over Ethernet.
constexpr LinkOptions RequesterLink{1'448, 8'192};

bool serveDownload(Server &server, Socket &socket, Reader &, const Head &head)
{
    const auto request = head.field("Attempt-Id");
    server.begin(request);
    sleepMs(WorkMs);
    std::string body(ResponseBytes, 'x');
    const auto message = "HTTP/1.1 200 OK\r\nAttempt-Id: " + request + "\r\nResponse-Seal: " + sealOf(body)
        + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    const bool isSent = sendAll(socket.fd(), message, nowMs() + UnreadMs);
    server.record().line("server " + server.id()
                         + (isSent ? " has sent its whole answer to " : " could not send its answer to ") + request);
    return isSent;
}

Outcome download(const Endpoint &front, const std::string &request, const Pacing &pacing, std::int64_t sendAtMs,
                 Record &record)
{
    Outcome outcome{request, "no connection", 0, false};
    const auto socket = connectTo(front, RequesterLink);
    sleepMs(sendAtMs - nowMs());
    record.line("requester sends " + request);
    const auto sentAt = nowMs();
    const auto deadline = nowMs() + DeadlineMs;
    const auto text = "GET /docs/bundle HTTP/1.1\r\nHost: docs.example\r\nAttempt-Id: " + request
        + "\r\nDeadline-Ms: " + std::to_string(DeadlineMs) + "\r\n\r\n";
    if (!socket.isOpen() || !sendAll(socket.fd(), text, deadline)) {
        return outcome;
    }
    Reader reader(socket.fd(), pacing);
    Head head;
    auto result = reader.readHead(head, deadline);
    outcome.text = "head " + toString(result);
    if (result != ReadResult::Done) {
        return outcome;
    }
    outcome.status = static_cast<unsigned>(std::stoul(head.word(1)));
    std::string body;
    result = reader.readBody(head, body, deadline);
    outcome.isComplete =
        result == ReadResult::Done && outcome.status == 200 && sealOf(body) == head.field("Response-Seal");
    outcome.text = "status " + std::to_string(outcome.status) + ", " + std::to_string(body.size()) + " bytes of "
        + std::to_string(ResponseBytes) + ", " + toString(result) + ", " + std::to_string(nowMs() - sentAt)
        + " ms after it was sent";
    return outcome;
}
}

int main(int, char **argv)
{
    Record record(argv[1]);
    DeploymentOptions options;
    options.route = {"docs.example", "/docs/", "download", "documente", TimeoutMs, 2, 1'500};
    options.terms = {{"bounds.graceS", std::to_string(GraceS)},
                     {"bounds.retryBudgetRatio", "0.2"},
                     {"bounds.budgetSlack", "156"},
                     {"bounds.holdMaxMs", "10000"},
                     {"bounds.warmupOvershoot", "1.5"},
                     {"bounds.warmupSlack", "8"},
                     {"bounds.evacuateMs", "5000"},
                     {"limits.cpuShare", "0.5"},
                     {"limits.memoryMb", "512"},
                     {"limits.maxFds", "8192"}};
    options.directory = argv[2];
    Deployment deployment(options, record, serveDownload);
    if (!deployment.waitUntilReady(nowMs() + 20'000)) {
        deployment.end(CouldNotRun);
    }
    sleepMs(1'000);
    auto &gateway = deployment.gateway(0);
    const auto pacing = isTroubled() ? SlowReading : Pacing();
    const auto termAtMs = nowMs() + ConnectMs;
    std::vector<Outcome> outcomes(Requesters);
    std::vector<std::thread> threads;
    for (std::size_t n = 0; n < Requesters; ++n) {
        threads.emplace_back([&, n] {
            const auto request = "request" + std::to_string(n + 1);
            outcomes[n] = download(gateway.front(), request, pacing, termAtMs + SendAfterTermMs, record);
            record.line("requester of " + request + ": " + outcomes[n].text);
        });
    }
    sleepMs(termAtMs - nowMs());
    deployment.stopAsPlanned(gateway, GraceS);
    for (auto &it : threads) {
        it.join();
    }
    std::size_t lost = 0;
    for (const auto &it : outcomes) {
        const bool isPassedOn = deployment.hasBegun(it.request);
        lost += isPassedOn && !it.isComplete ? 1 : 0;
        if (!isPassedOn) {
            record.line(it.request + " was not passed on to a server");
            deployment.end(CouldNotRun);
        }
    }
    record.line("LOST: " + std::to_string(lost) + " of " + std::to_string(Requesters)
                + " requests that were passed on ended without a complete answer");
    std::printf("LOST: %zu of %zu\n", lost, Requesters);
    deployment.end(lost > 0 ? Broken : Held);
}

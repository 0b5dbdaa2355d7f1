/// A planned stop while a server reads uploads slowly (case 10). Usage: slowserver RECORD DIRECTORY
#include <cstdio>
#include <string>
#include <thread>
#include <vector>

#include "deployment.h"

using namespace Review;

namespace
{
constexpr std::size_t Requesters = 6;
/// Below the largest upload of the deployment's sheet.
constexpr std::size_t RequestBytes = 300'000;
constexpr int DeadlineMs = 10'000;
constexpr int GraceS = 10;
/// The server reads this much at once, then nothing for PauseMs, then the rest.
constexpr Pacing SlowReading{64'000, 3'500, 1};
/// Without the disruption the work takes as long.
constexpr std::int64_t WorkMs = 3'500;
constexpr std::int64_t TermAfterMs = 1'000;

bool serveUpload(Server &server, Socket &socket, Reader &reader, const Head &head)
{
    const auto request = head.field("Attempt-Id");
    server.begin(request);
    std::string body;
    const auto deadline = nowMs() + std::stol(head.field("Deadline-Ms"));
    const auto result = reader.readBody(head, body, deadline);
    server.record().line("server " + server.id() + " has read " + std::to_string(body.size()) + " bytes of " + request
                         + ": " + toString(result));
    if (result != ReadResult::Done) {
        return false;
    }
    if (!isTroubled()) {
        sleepMs(WorkMs);
    }
    const std::string answer = "accepted";
    const auto message = "HTTP/1.1 200 OK\r\nAttempt-Id: " + request + "\r\nResponse-Seal: " + sealOf(answer)
        + "\r\nContent-Length: " + std::to_string(answer.size()) + "\r\n\r\n" + answer;
    return sendAll(socket.fd(), message, deadline);
}

Outcome upload(const Endpoint &front, const std::string &request)
{
    Outcome outcome{request, "no connection", 0, false};
    const auto startedAt = nowMs();
    const auto deadline = startedAt + DeadlineMs;
    const auto socket = connectTo(front);
    const auto text = "POST /lots/certificate HTTP/1.1\r\nHost: lots.example\r\nAttempt-Id: " + request
        + "\r\nDeadline-Ms: " + std::to_string(DeadlineMs) + "\r\nContent-Length: " + std::to_string(RequestBytes)
        + "\r\n\r\n" + std::string(RequestBytes, 'u');
    if (!socket.isOpen() || !sendAll(socket.fd(), text, deadline)) {
        return outcome;
    }
    Reader reader(socket.fd());
    Head head;
    std::string body;
    auto result = reader.readHead(head, deadline);
    if (result == ReadResult::Done) {
        outcome.status = static_cast<unsigned>(std::stoul(head.word(1)));
        result = reader.readBody(head, body, deadline);
    }
    const bool isWhole = result == ReadResult::Done && sealOf(body) == head.field("Response-Seal");
    outcome.isComplete = isWhole && outcome.status == 200;
    outcome.text = "status " + std::to_string(outcome.status) + ", " + toString(result) + ", after "
        + std::to_string(nowMs() - startedAt) + " ms, '" + body.substr(0, 200) + "'";
    return outcome;
}
}

int main(int, char **argv)
{
    Record record(argv[1]);
    DeploymentOptions options;
    options.route = {"lots.example", "/lots/", "upload", "almacen", DeadlineMs, 2, 2'500};
    options.terms = {{"bounds.graceS", std::to_string(GraceS)},
                     {"bounds.retryBudgetRatio", "0.2"},
                     {"bounds.budgetSlack", "430"},
                     {"bounds.holdMaxMs", "10000"},
                     {"limits.cpuShare", "0.5"},
                     {"limits.memoryMb", "512"},
                     {"limits.maxFds", "8192"}};
    options.directory = argv[2];
    options.serverPacing = isTroubled() ? SlowReading : Pacing();
    Deployment deployment(options, record, serveUpload);
    if (!deployment.waitUntilReady(nowMs() + 20'000)) {
        deployment.end(CouldNotRun);
    }
    sleepMs(1'000);
    auto &gateway = deployment.gateway(0);
    std::vector<Outcome> outcomes(Requesters);
    std::vector<std::thread> threads;
    for (std::size_t n = 0; n < Requesters; ++n) {
        threads.emplace_back([&, n] {
            const auto request = "request" + std::to_string(n + 1);
            record.line("requester sends " + request + " to " + gateway.name());
            outcomes[n] = upload(gateway.front(), request);
            record.line("requester of " + request + ": " + outcomes[n].text);
        });
    }
    sleepMs(TermAfterMs);
    deployment.stopAsPlanned(gateway, GraceS);
    for (auto &it : threads) {
        it.join();
    }
    std::size_t lost = 0;
    for (const auto &it : outcomes) {
        if (!deployment.hasBegun(it.request)) {
            record.line(it.request + " was not passed on to a server");
            deployment.end(CouldNotRun);
        }
        lost += it.isComplete ? 0 : 1;
    }
    record.line("LOST: " + std::to_string(lost) + " of " + std::to_string(Requesters)
                + " requests at which a server was at work were broken off");
    std::printf("LOST: %zu of %zu\n", lost, Requesters);
    deployment.end(lost > 0 ? Broken : Held);
}

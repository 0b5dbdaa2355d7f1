/// A server answers a long upload before it has read it, and reads on (case 6). Usage: earlyanswer RECORD DIRECTORY
#include <cstdio>
#include <string>
#include <thread>
#include <vector>

#include "deployment.h"

using namespace Review;

namespace
{
/// Half of them send their bodies in chunks, the others with a length.
constexpr std::size_t Requesters = 6;
/// Uploads of each, one after the other.
constexpr std::size_t Uploads = 6;
/// Far below maxBodyBytes of the configuration.
constexpr std::size_t RequestBytes = 900'000;
constexpr std::size_t AnswerBytes = 100'000;
/// Two of the three servers answer one upload in this many before they have read it, for this time.
constexpr std::size_t EarlyEach = 3;
constexpr const char *SoundServer = "i-server3";
constexpr std::int64_t EarlyForMs = 5'500;
constexpr int DeadlineMs = 4'000;
constexpr std::size_t Pieces = 20;
constexpr std::int64_t PieceEachMs = 30;
constexpr std::int64_t SettleMs = 5'000;

std::string bodyOf(const std::string &request)
{
    std::string body;
    while (body.size() < RequestBytes) {
        body += request + " " + std::to_string(body.size()) + "\n";
    }
    body.resize(RequestBytes);
    return body;
}

/// What the servers have read of each upload, and how it ended.
class UploadJournal
{
public:
    explicit UploadJournal(Record &record)
        : m_record(record)
    {
    }
    /// The disruption begins.
    void begin()
    {
        m_earlyUntil = nowMs() + EarlyForMs;
    }

    bool serve(Server &server, Socket &socket, Reader &reader, const Head &head)
    {
        const auto request = head.field("Attempt-Id");
        const auto deadline = nowMs() + DeadlineMs;
        server.begin(request);
        const bool mayBeEarly = isTroubled() && server.id() != SoundServer && nowMs() < m_earlyUntil;
        if (mayBeEarly && m_begun++ % EarlyEach == 0) {
            m_record.line("server " + server.id() + " answers " + request + " before it has read its body");
            return answer(socket, request, deadline) && readOn(server, reader, head, request, deadline);
        }
        return readOn(server, reader, head, request, deadline) && answer(socket, request, deadline);
    }
    std::size_t changed() const
    {
        return m_shortened + m_mixed;
    }
    std::string summary() const
    {
        return "UNASKED: of the uploads that ended for their server, " + std::to_string(m_shortened)
            + " were shorter than sent, " + std::to_string(m_mixed) + " had bytes of another request in them, "
            + std::to_string(m_whole) + " were as sent";
    }

private:
    static bool answer(Socket &socket, const std::string &request, std::int64_t deadline)
    {
        const std::string body(AnswerBytes, 'a');
        return sendAll(socket.fd(),
                       "HTTP/1.1 200 OK\r\nAttempt-Id: " + request + "\r\nResponse-Seal: " + sealOf(body)
                           + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body,
                       deadline);
    }
    /// Reads the body to the end that its framing gives it. Returns whether it got there.
    bool readOn(Server &server, Reader &reader, const Head &head, const std::string &request, std::int64_t deadline)
    {
        std::string body;
        const auto result = reader.readBody(head, body, deadline);
        std::string verdict = "as sent";
        if (result != ReadResult::Done) {
            verdict = "not at its end: " + toString(result);
        } else if (body == bodyOf(request)) {
            ++m_whole;
        } else if (body.size() < RequestBytes) {
            ++m_shortened;
            verdict = "SHORTER THAN SENT, and ended as if it were whole";
        } else {
            ++m_mixed;
            verdict = "OTHER BYTES THAN SENT, from " + std::to_string(body.find("POST /")) + " on another request";
        }
        m_record.line("server " + server.id() + ": body of " + request + ": " + std::to_string(body.size()) + " bytes, "
                      + verdict);
        return result == ReadResult::Done;
    }

    Record &m_record;
    std::atomic<std::int64_t> m_earlyUntil{0};
    std::atomic<std::size_t> m_begun{0};
    std::atomic<std::size_t> m_shortened{0};
    std::atomic<std::size_t> m_mixed{0};
    std::atomic<std::size_t> m_whole{0};
};

/// Sends the body piece by piece, in chunks or with its length, and then reads the answer.
std::string upload(const Endpoint &front, const std::string &request, bool isChunked)
{
    const auto deadline = nowMs() + DeadlineMs;
    const auto socket = connectTo(front);
    const auto body = bodyOf(request);
    const auto framing =
        isChunked ? std::string("Transfer-Encoding: chunked") : "Content-Length: " + std::to_string(body.size());
    bool isSent = socket.isOpen()
        && sendAll(socket.fd(),
                   "POST /lots/photos HTTP/1.1\r\nHost: lots.example\r\nAttempt-Id: " + request
                       + "\r\nDeadline-Ms: " + std::to_string(DeadlineMs) + "\r\n" + framing + "\r\n\r\n",
                   deadline);
    for (std::size_t n = 0; n < Pieces && isSent; ++n) {
        auto piece = body.substr(n * RequestBytes / Pieces, RequestBytes / Pieces);
        if (isChunked) {
            char size[32];
            std::snprintf(size, sizeof size, "%zx\r\n", piece.size());
            piece = size + piece + "\r\n";
        }
        isSent = sendAll(socket.fd(), piece, deadline);
        sleepMs(PieceEachMs);
    }
    if (isChunked && isSent) {
        isSent = sendAll(socket.fd(), "0\r\n\r\n", deadline);
    }
    Reader reader(socket.fd());
    Head head;
    std::string answer;
    auto result = reader.readHead(head, deadline);
    if (result == ReadResult::Done) {
        result = reader.readBody(head, answer, deadline);
    }
    const bool isWhole = result == ReadResult::Done && sealOf(answer) == head.field("Response-Seal");
    return std::string(isSent ? "sent whole" : "not sent whole") + (isChunked ? " in chunks" : " with its length")
        + ", answer: '" + head.startLine + "', " + toString(result) + ", " + std::to_string(answer.size()) + " bytes"
        + (isWhole ? " with their seal" : "");
}
}

int main(int, char **argv)
{
    Record record(argv[1]);
    UploadJournal journal(record);
    DeploymentOptions options;
    options.route = {"lots.example", "/lots/", "upload", "almacen", DeadlineMs, 2, 2'500};
    options.terms = {{"bounds.graceS", "6"},        {"bounds.retryBudgetRatio", "0.2"}, {"bounds.budgetSlack", "204"},
                     {"bounds.holdMaxMs", "10000"}, {"limits.cpuShare", "0.1"},         {"limits.memoryMb", "160"},
                     {"limits.maxFds", "4100"}};
    options.directory = argv[2];
    Deployment deployment(options, record, [&](Server &server, Socket &socket, Reader &reader, const Head &head) {
        return journal.serve(server, socket, reader, head);
    });
    if (!deployment.waitUntilReady(nowMs() + 20'000)) {
        deployment.end(CouldNotRun);
    }
    sleepMs(1'000);
    journal.begin();
    std::vector<std::thread> threads;
    for (std::size_t n = 0; n < Requesters; ++n) {
        threads.emplace_back([&, n] {
            for (std::size_t number = 1; number <= Uploads; ++number) {
                const auto request = "request" + std::to_string(n + 1) + "-" + std::to_string(number);
                const auto text = upload(deployment.gateway(n % 3).front(), request, n < Requesters / 2);
                record.line("requester of " + request + ": " + text);
            }
        });
    }
    for (auto &it : threads) {
        it.join();
    }
    sleepMs(SettleMs);
    record.line(journal.summary());
    std::printf("%s\n", journal.summary().c_str());
    deployment.end(journal.changed() > 0 ? Broken : Held);
}

#include <algorithm>

#include <fmt/format.h>

#include <galenarock/jsontext.h>

#include "backendserver_p.h"
#include "testdirective_p.h"

namespace Galenarock::Standin
{

namespace
{
constexpr std::size_t maxResponseBytes = 64 << 20;
constexpr std::size_t shortenedBytes = 16;

bool takeOne(std::uint64_t &count)
{
    if (count == 0) {
        return false;
    }
    --count;
    return true;
}

/// First line JSON with the total size, then a filler up to that size, so that a reader recognises a short body.
std::string padded(nlohmann::json echo, std::size_t size)
{
    const auto line = [&echo](std::size_t total) {
        echo["size"] = fmt::format("{:012}", total); // fixed width: the line's length must not depend on it
        return jsonText(echo) + "\n";
    };
    const auto total = std::max(size, line(0).size());
    auto body = line(total);
    body.resize(total, '.');
    return body;
}
}

HttpResponse BackendServer::refusalResponse(Reason reason, Outcome outcome) const
{
    const auto &info = reasonInfo(reason);
    Refusal refusal;
    refusal.reason = reason;
    refusal.outcome = outcome;
    HttpResponse response;
    response.status = reason == Reason::NotOwner ? 421 : info.httpStatus;
    // The server's own code for a passed deadline is shorter than the caller's.
    const auto code = reason == Reason::DeadlinePassed ? std::string("deadline") : std::string(info.code);
    response.headers.emplace_back("Content-Type", "application/json");
    response.headers.emplace_back("Galenarock-Outcome", std::string(toString(outcome)));
    response.headers.emplace_back("Galenarock-Reason", code);
    response.headers.emplace_back("Galenarock-Load", loadHeader());
    response.body = toJsonText(refusal);
    return response;
}

HttpResponse BackendServer::resultOf(const Job &job) const
{
    const auto digest = job.bodyHash.digest();
    HttpResponse response;
    response.headers.emplace_back("Content-Type", "text/plain");
    response.headers.emplace_back("Galenarock-Load", loadHeader());
    response.headers.emplace_back("Galenarock-Request-Id", job.requestId);
    response.headers.emplace_back("Galenarock-Key", job.key);
    response.headers.emplace_back("Galenarock-Body-Digest", digest);
    const auto size = directiveNumber(job.test, "size").value_or(static_cast<double>(m_options.responseBytes));
    const nlohmann::json echo{{"requestId", job.requestId},       {"key", job.key},
                              {"target", job.exchange->target()}, {"server", m_options.name},
                              {"boot", m_holder->boot()},         {"bodyDigest", digest},
                              {"bodyBytes", job.bodyHash.bytes()}};
    response.body = padded(echo, std::min(static_cast<std::size_t>(size), maxResponseBytes));
    return response;
}

void BackendServer::sendResult(const JobPtr &job)
{
    if (takeOne(m_faults.falseNotRun)) {
        job->exchange->respond(refusalResponse(Reason::ServerShed, Outcome::NotRun));
        return;
    }
    if (takeOne(m_faults.closeBefore)) {
        job->exchange->abort();
        return;
    }
    auto response = resultOf(*job);
    addFaults(response);
    job->exchange->respond(std::move(response));
}

void BackendServer::addFaults(HttpResponse &response)
{
    if (takeOne(m_faults.closeMiddle)) {
        response.cutAfterBytes = static_cast<std::int64_t>(response.body.size() / 2);
    }
    if (takeOne(m_faults.shorten)) {
        response.body.resize(response.body.size() - std::min(response.body.size(), shortenedBytes));
    }
    if (takeOne(m_faults.mixUp)) {
        const auto line = response.body.find('\n');
        auto echo = nlohmann::json::parse(response.body.substr(0, line));
        echo["target"] = "/another/request?n=0";
        echo["requestId"] = "another";
        response.body = padded(echo, response.body.size());
    }
}

nlohmann::json BackendServer::load() const
{
    if (m_faults.loadReport.is_object()) {
        return m_faults.loadReport;
    }
    return {{"inFlight", m_running.size()}, {"slots", m_options.slots}, {"queued", m_queue.size()}};
}

std::string BackendServer::loadHeader() const
{
    const auto report = load();
    return fmt::format("{}/{}/{}", report.value("inFlight", 0), report.value("slots", 0), report.value("queued", 0));
}

std::string BackendServer::stateName() const
{
    if (!m_faults.healthReport.empty()) {
        return m_faults.healthReport;
    }
    switch (m_holder->state()) {
    case ServerState::Cold:
        return "cold";
    case ServerState::Ready:
        return "ready";
    case ServerState::Draining:
        break;
    }
    return "draining";
}

nlohmann::json BackendServer::vmEntry() const
{
    return {{"name", m_options.name},
            {"role", "backend"},
            {"service", m_options.service},
            {"failureDomain", m_options.failureDomain},
            {"address", address()},
            {"peerAddress", ""},
            {"state", "live"}};
}

nlohmann::json BackendServer::status() const
{
    return {{"name", m_options.name},
            {"service", m_options.service},
            {"address", address()},
            {"boot", m_holder->boot()},
            {"boots", m_boots},
            {"state", stateName()},
            {"listening", m_server.isListening()},
            {"frozen", m_frozen},
            {"freezes", m_freezes},
            {"connections", m_server.connections()},
            {"inFlight", m_running.size()},
            {"queued", m_queue.size()},
            {"heldSlices", m_holder->held(MonotonicClock::now()).size()},
            {"lateArrivals", m_lateArrivals}};
}

}

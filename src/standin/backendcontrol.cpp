#include <algorithm>
#include <functional>

#include <galenarock/jsontext.h>

#include "backendserver_p.h"
#include "events_p.h"

namespace Galenarock::Standin
{

namespace
{
constexpr std::int64_t maxFaultMs = 600'000;

HttpResponse malformed(const std::string &detail)
{
    return jsonResponse(400, {{"error", "malformed"}, {"detail", detail}});
}

bool isMs(const nlohmann::json &json)
{
    return json.is_number_integer() && json >= 0 && json <= maxFaultMs;
}

bool applyCount(const nlohmann::json &json, std::uint64_t &count)
{
    if (!json.is_number_unsigned()) {
        return false;
    }
    count = json.get<std::uint64_t>();
    return true;
}

bool applyNumber(const nlohmann::json &json, double &number, double most)
{
    if (!json.is_number() || json < 0 || json > most) {
        return false;
    }
    number = json.get<double>();
    return true;
}

bool applyLoadReport(const nlohmann::json &json, nlohmann::json &report)
{
    report = json;
    return json.is_null() || json.is_object();
}

bool applyHealthReport(const nlohmann::json &json, std::string &report)
{
    if (!json.is_string()) {
        return false;
    }
    report = json.get<std::string>();
    return true;
}

using FieldReader = std::function<bool(const nlohmann::json &, BackendFaults &)>;

const std::map<std::string, FieldReader> &fieldReaders()
{
    static const std::map<std::string, FieldReader> readers{
        {"shedPercent",
         [](const auto &json, auto &faults) {
             return applyNumber(json, faults.shedPercent, 100);
         }},
        {"slowdown",
         [](const auto &json, auto &faults) {
             return applyNumber(json, faults.slowdown, 1e6);
         }},
        {"closeBefore",
         [](const auto &json, auto &faults) {
             return applyCount(json, faults.closeBefore);
         }},
        {"closeMiddle",
         [](const auto &json, auto &faults) {
             return applyCount(json, faults.closeMiddle);
         }},
        {"shorten",
         [](const auto &json, auto &faults) {
             return applyCount(json, faults.shorten);
         }},
        {"mixUp",
         [](const auto &json, auto &faults) {
             return applyCount(json, faults.mixUp);
         }},
        {"falseNotRun",
         [](const auto &json, auto &faults) {
             return applyCount(json, faults.falseNotRun);
         }},
        {"loadReport",
         [](const auto &json, auto &faults) {
             return applyLoadReport(json, faults.loadReport);
         }},
        {"healthReport",
         [](const auto &json, auto &faults) {
             return applyHealthReport(json, faults.healthReport);
         }},
        {"freezeMs",
         [](const auto &json, auto &) {
             return isMs(json);
         }},
        {"downMs",
         [](const auto &json, auto &) {
             return isMs(json);
         }},
        {"crash",
         [](const auto &json, auto &) {
             return json.is_boolean();
         }},
    };
    return readers;
}
}

Findings BackendServer::applyFaults(const nlohmann::json &json)
{
    Findings findings;
    if (!json.is_object()) {
        return {{ErrorCode::WrongType, "", "a JSON object is expected"}};
    }
    auto changed = m_faults;
    for (const auto &[name, value] : json.items()) {
        const auto it = fieldReaders().find(name);
        if (it == fieldReaders().end()) {
            findings.push_back({ErrorCode::UnknownField, "/" + name, "no such fault"});
            continue;
        }
        if (!it->second(value, changed)) {
            findings.push_back({ErrorCode::OutOfRange, "/" + name, "value is not allowed: " + jsonText(value)});
        }
    }
    if (!findings.empty()) {
        return findings;
    }
    m_faults = changed;
    // Delayed by one round, so that the response to this call is still sent.
    const auto grace = milliseconds(2);
    if (json.contains("freezeMs")) {
        m_loop.after(grace, [this, length = json["freezeMs"].get<std::int64_t>()] { freeze(milliseconds(length)); });
    }
    if (json.value("crash", false)) {
        const auto down = json.value("downMs", m_options.crashDownMs);
        m_loop.after(grace, [this, down] { crash(milliseconds(down)); });
    }
    return {};
}

void BackendServer::systemCall(const HttpExchangePtr &exchange)
{
    const auto call = exchange->method() + " " + exchange->path();
    if (call == "POST /grants") {
        grants(exchange);
        return;
    }
    if (call == "GET /health") {
        exchange->respond(jsonResponse(200, {{"state", stateName()}, {"boot", m_holder->boot()}}));
        return;
    }
    if (call == "GET /load") {
        exchange->respond(jsonResponse(200, load()));
        return;
    }
    if (call == "POST /cancel") {
        cancelCall(exchange);
        return;
    }
    if (call == "POST /drain") {
        drain();
        exchange->respond(jsonResponse(200, {{"state", stateName()}}));
        return;
    }
    controlCall(exchange);
}

void BackendServer::controlCall(const HttpExchangePtr &exchange)
{
    const auto call = exchange->method() + " " + exchange->path();
    if (call == "GET /control/journal") {
        exchange->respond(m_journal.response(m_options.name));
        return;
    }
    if (call == "GET /control/status") {
        exchange->respond(jsonResponse(200, status()));
        return;
    }
    if (call == "POST /control/faults") {
        const auto findings = applyFaults(nlohmann::json::parse(exchange->body, nullptr, false));
        exchange->respond(findings.empty() ? jsonResponse(200, status()) : malformed(toString(findings)));
        return;
    }
    exchange->respond(jsonResponse(404, {{"error", "no-such-call"}, {"detail", call}}));
}

GrantReply BackendServer::withInFlight(GrantReply reply) const
{
    reply.inFlight = static_cast<std::uint32_t>(m_running.size());
    return reply;
}

void BackendServer::grants(const HttpExchangePtr &exchange)
{
    const auto json = nlohmann::json::parse(exchange->body, nullptr, false);
    tryOr(
        [&]() -> Result<int> {
            BOOST_LEAF_AUTO(request, grantRequestFromJson(json));
            const auto ticket = ++m_lastTicket;
            const auto reply = m_holder->handle(MonotonicClock::now(), request, ticket);
            if (reply) {
                exchange->respond(jsonResponse(200, toJson(withInFlight(*reply))));
                return 0;
            }
            exchange->suspend();
            m_revokes.emplace(ticket, exchange);
            return 0;
        },
        [&](ErrorCode code, const std::string &detail) {
            exchange->respond(malformed(std::string(errorMessage(code)) + ": " + detail));
            return 1;
        });
}

void BackendServer::sendDeferred(const std::vector<DeferredGrantReply> &replies)
{
    for (const auto &it : replies) {
        const auto waiting = m_revokes.find(it.ticket);
        if (waiting == m_revokes.end()) {
            continue;
        }
        waiting->second->respond(jsonResponse(200, toJson(withInFlight(it.reply))));
        m_revokes.erase(waiting);
    }
}

void BackendServer::cancelCall(const HttpExchangePtr &exchange)
{
    const auto json = nlohmann::json::parse(exchange->body, nullptr, false);
    if (!json.is_object() || !json.contains("requestId") || !json["requestId"].is_string()) {
        exchange->respond(malformed("requestId is required"));
        return;
    }
    const auto found = cancelJob(json["requestId"].get<std::string>());
    exchange->respond(jsonResponse(200, {{"cancelled", found}}));
}

bool BackendServer::cancelJob(const std::string &requestId)
{
    const auto queued =
        std::find_if(m_queue.begin(), m_queue.end(), [&](const auto &it) { return it->requestId == requestId; });
    if (queued != m_queue.end()) {
        const auto job = *queued;
        m_queue.erase(queued);
        refuse(job, Reason::ServerShed);
        return true;
    }
    for (const auto &[it, job] : m_running) {
        if (it->requestId != requestId || it->stage != Stage::Working) {
            continue;
        }
        const auto cancelled = job;
        release(cancelled, RunState::Cancelled);
        cancelled->exchange->respond(refusalResponse(Reason::ConnectionLost, Outcome::Unknown));
        return true;
    }
    return false;
}

void BackendServer::drain()
{
    const auto now = MonotonicClock::now();
    if (!m_drainedAt) {
        logEvent(Events::ServerDraining, "{}", m_options.name);
        m_drainedAt = now;
    }
    m_holder->drain(now);
}

}

#include "backendprocess_p.h"

#include <fmt/format.h>

#include <galenarock/jsontext.h>

namespace Galenarock::Standin
{

BackendProcess::BackendProcess(EventLoop &loop, const BackendProcessOptions &options)
    : m_ip(options.ip)
    , m_control(loop, *this)
{
    for (std::uint32_t i = 0; i < options.count; ++i) {
        auto server = options.server;
        server.name = fmt::format("{}{}", options.server.name, i + 1);
        server.failureDomain = options.failureDomains[i % options.failureDomains.size()];
        server.seed = options.server.seed + i;
        m_servers.push_back(std::make_unique<BackendServer>(loop, m_journal, std::move(server)));
    }
}

BackendProcess::~BackendProcess()
{
    m_control.close();
}

Result<void> BackendProcess::open(const ListenAddress &address)
{
    BOOST_LEAF_CHECK(m_control.open(address));
    for (const auto &it : m_servers) {
        BOOST_LEAF_CHECK(it->open({m_ip, 0}));
    }
    return {};
}

void BackendProcess::complete(const HttpExchangePtr &exchange)
{
    const auto call = exchange->method() + " " + exchange->path();
    if (call == "GET /control/journal") {
        exchange->respond(m_journal.response(exchange->argument("server")));
        return;
    }
    if (call == "POST /control/faults") {
        setFaults(exchange);
        return;
    }
    auto list = nlohmann::json::array();
    if (call == "GET /control/servers") {
        for (const auto &it : m_servers) {
            list.push_back(it->status());
        }
        exchange->respond(jsonResponse(200, list));
        return;
    }
    if (call == "GET /control/vms") {
        for (const auto &it : m_servers) {
            list.push_back(it->vmEntry());
        }
        exchange->respond(jsonResponse(200, list));
        return;
    }
    exchange->respond(jsonResponse(404, {{"error", "no-such-call"}, {"detail", call}}));
}

void BackendProcess::setFaults(const HttpExchangePtr &exchange)
{
    auto json = nlohmann::json::parse(exchange->body, nullptr, false);
    std::string name;
    if (json.is_object() && json.contains("server")) {
        name = json["server"].is_string() ? json["server"].get<std::string>() : jsonText(json["server"]);
        json.erase("server");
    }
    std::size_t n = 0;
    for (const auto &it : m_servers) {
        if (!name.empty() && it->options().name != name) {
            continue;
        }
        ++n;
        const auto findings = it->applyFaults(json);
        if (!findings.empty()) {
            exchange->respond(jsonResponse(400, {{"error", "malformed"}, {"detail", toString(findings)}}));
            return;
        }
    }
    if (n == 0) {
        exchange->respond(jsonResponse(404, {{"error", "no-such-server"}, {"detail", name}}));
        return;
    }
    exchange->respond(jsonResponse(200, {{"servers", n}}));
}

}

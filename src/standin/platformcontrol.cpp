#include <algorithm>

#include <galenarock/jsontext.h>

#include "events_p.h"
#include "platformserver_p.h"

namespace Galenarock::Standin
{

namespace
{
constexpr std::string_view vmsPrefix = "/control/vms/";
constexpr const char *requiredVmFields[] = {"name", "role", "failureDomain", "address", "state"};

std::string vmFinding(const nlohmann::json &vm)
{
    if (!vm.is_object()) {
        return "an entry is not an object";
    }
    for (const auto *it : requiredVmFields) {
        if (!vm.contains(it) || !vm[it].is_string()) {
            return std::string("an entry lacks the text field ") + it;
        }
    }
    if (vm["state"] != "live" && vm["state"] != "leaving") {
        return "state is neither live nor leaving";
    }
    if (vm["role"] != "entry" && vm["role"] != "backend") {
        return "role is neither entry nor backend";
    }
    return {};
}

HttpResponse malformed(const std::string &detail)
{
    return jsonResponse(400, {{"error", "malformed"}, {"detail", detail}});
}
}

void PlatformServer::controlCall(const HttpExchangePtr &exchange)
{
    const auto &path = exchange->path();
    const auto call = exchange->method() + " " + path;
    if (call == "POST /control/faults") {
        setFaults(exchange);
        return;
    }
    if (call == "GET /control/faults") {
        exchange->respond(jsonResponse(200, toJson(m_faults)));
        return;
    }
    if (call == "GET /control/calls") {
        reportCalls(exchange);
        return;
    }
    if (call == "PUT /control/vms") {
        putVms(exchange);
        return;
    }
    if (exchange->method() == "POST" && path.compare(0, vmsPrefix.size(), vmsPrefix) == 0) {
        changeVm(exchange, path.substr(vmsPrefix.size()));
        return;
    }
    exchange->respond(jsonResponse(404, {{"error", "no-such-call"}, {"detail", call}}));
}

void PlatformServer::setFaults(const HttpExchangePtr &exchange)
{
    const auto json = nlohmann::json::parse(exchange->body, nullptr, false);
    const auto findings = applyFaults(json, m_faults);
    if (!findings.empty()) {
        exchange->respond(malformed(toString(findings)));
        return;
    }
    logEvent(Events::FaultsChanged, "{}", jsonText(toJson(m_faults)));
    endWatches();
    if (m_faults.outage != PlatformOutage::Hangs) {
        for (const auto &it : m_hanging) {
            it->respond(jsonResponse(503, {{"error", "unavailable"}}));
        }
        m_hanging.clear();
    }
    exchange->respond(jsonResponse(200, toJson(m_faults)));
}

void PlatformServer::reportCalls(const HttpExchangePtr &exchange)
{
    auto calls = nlohmann::json::array();
    for (const auto &[it, count] : m_calls) {
        calls.push_back(
            {{"call", it.first}, {"kind", it.second}, {"count", count.accepted}, {"rateLimited", count.rateLimited}});
    }
    exchange->respond(jsonResponse(200, {{"calls", calls}, {"waitingWatches", m_watches.size()}}));
}

void PlatformServer::storeVms(nlohmann::json vms)
{
    const auto revision = m_vmLists.empty() ? 0 : m_vmLists.back().revision;
    const auto now = MonotonicClock::now();
    m_vmLists.push_back({now, revision + 1, std::move(vms)});
    while (m_vmLists.size() > 1 && m_vmLists[1].changedAt + ObjectStore::historyLength < now) {
        m_vmLists.pop_front();
    }
}

void PlatformServer::listVms(const HttpExchangePtr &exchange)
{
    if (!isAdmitted(exchange, "vms", "", false)) {
        return;
    }
    const auto asOf = before(m_faults.vmListLagMs);
    const auto it =
        std::find_if(m_vmLists.rbegin(), m_vmLists.rend(), [&](const auto &it) { return it.changedAt <= asOf; });
    const auto &list = it == m_vmLists.rend() ? m_vmLists.front() : *it;
    reply(exchange, jsonResponse(200, {{"revision", list.revision}, {"vms", list.vms}}));
}

void PlatformServer::putVms(const HttpExchangePtr &exchange)
{
    auto json = nlohmann::json::parse(exchange->body, nullptr, false);
    if (json.is_object() && json.contains("vms")) {
        json = nlohmann::json(json["vms"]);
    }
    if (!json.is_array()) {
        exchange->respond(malformed("an array of VM entries is expected"));
        return;
    }
    for (const auto &it : json) {
        const auto finding = vmFinding(it);
        if (!finding.empty()) {
            exchange->respond(malformed(finding));
            return;
        }
    }
    storeVms(std::move(json));
    exchange->respond(jsonResponse(200, {{"revision", m_vmLists.back().revision}}));
}

void PlatformServer::changeVm(const HttpExchangePtr &exchange, const std::string &name)
{
    const auto change = nlohmann::json::parse(exchange->body, nullptr, false);
    if (!change.is_object()) {
        exchange->respond(malformed("an object with the changed fields is expected"));
        return;
    }
    auto vms = m_vmLists.back().vms;
    const auto it = std::find_if(vms.begin(), vms.end(), [&](const auto &it) { return it["name"] == name; });
    const auto isListed = it != vms.end();
    if (change.value("state", "") == "gone") {
        if (isListed) {
            vms.erase(it);
        }
        storeVms(std::move(vms));
        exchange->respond(jsonResponse(200, {{"revision", m_vmLists.back().revision}}));
        return;
    }
    auto vm = isListed ? *it : nlohmann::json{{"name", name}};
    vm.merge_patch(change);
    const auto finding = vmFinding(vm);
    if (!finding.empty()) {
        exchange->respond(isListed ? malformed(finding)
                                   : jsonResponse(404, {{"error", "not-found"}, {"detail", finding}}));
        return;
    }
    if (isListed) {
        *it = vm;
    } else {
        vms.push_back(vm);
    }
    storeVms(std::move(vms));
    exchange->respond(jsonResponse(200, {{"revision", m_vmLists.back().revision}}));
}

}

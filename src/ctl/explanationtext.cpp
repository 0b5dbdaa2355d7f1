#include "explanationtext_p.h"

#include <fmt/format.h>

#include <galenarock/jsontext.h>

#include "commands_p.h"

namespace Galenarock::Ctl
{

namespace
{
using nlohmann::json;

/// Empty for a field that is absent or null.
std::string field(const json &object, const char *name)
{
    if (!object.is_object()) {
        return {};
    }
    const auto it = object.find(name);
    if (it == object.end() || it->is_null()) {
        return {};
    }
    return it->is_string() ? it->get<std::string>() : jsonText(*it);
}

const json &member(const json &object, const char *name)
{
    static const json none;
    const auto it = object.is_object() ? object.find(name) : object.end();
    return it == object.end() ? none : *it;
}

std::string joined(const json &list, std::string_view separator)
{
    std::string text;
    for (const auto &it : list) {
        if (it.is_string()) {
            text += (text.empty() ? "" : std::string(separator)) + it.get_ref<const std::string &>();
        }
    }
    return text;
}

std::string line(std::string_view label, const std::string &text)
{
    return text.empty() ? std::string() : fmt::format("{:<15}{}\n", label, text);
}

std::string outcomeText(const json &outcome)
{
    auto text = field(outcome, "decision");
    if (const auto to = field(outcome, "to"); !to.empty()) {
        text += " to " + to;
    }
    if (const auto status = field(outcome, "status"); !status.empty()) {
        text += fmt::format(" with {} {}", status, field(outcome, "reason"));
    }
    if (const auto detail = field(outcome, "detail"); !detail.empty()) {
        text += ": " + detail;
    }
    if (const auto ms = field(outcome, "freeInMs"); !ms.empty()) {
        text += fmt::format("; a server may take it in {} ms", ms);
    }
    if (field(outcome, "mayWaitForOwner") == "true") {
        text += "; before that it may wait a moment for an owner";
    }
    return text;
}

std::string serverText(const json &server)
{
    auto text = fmt::format("{} {}", field(server, "open") == "true" ? "+" : "-", field(server, "server"));
    for (const auto *name : {"address", "failureDomain", "state"}) {
        if (const auto value = field(server, name); !value.empty()) {
            text += "  " + value;
        }
    }
    const auto advantages = joined(member(server, "for"), ", ");
    const auto against = joined(member(server, "against"), ", ");
    text += advantages.empty() ? "" : "  for: " + advantages;
    text += against.empty() ? "" : "  against: " + against;
    return text;
}

std::string decisionLines(const json &decisions)
{
    std::vector<std::string> lines;
    for (const auto &it : decisions) {
        lines.push_back(fmt::format("{}  {}  {}", field(it, "whenMs"), field(it, "event"), field(it, "text")));
    }
    return lines.empty() ? std::string() : "  decisions (Unix ms), newest first\n" + indented(lines);
}

std::string ownerText(const json &service)
{
    const auto known = field(service, "tableKnownForMs");
    auto text = line("  table",
                     known.empty() ? "none"
                                   : fmt::format("epoch {}, {} ranges, known for {} ms", field(service, "epoch"),
                                                 field(service, "ranges"), known));
    text += line("  token", field(service, "token"));
    if (service.contains("owner")) {
        const auto &owner = service["owner"];
        text += line("  owner", owner.is_object() ? serverText(owner) : "none");
    }
    return text + decisionLines(member(service, "decisions"));
}

std::string candidateText(const json &service)
{
    auto text = line("  candidates",
                     fmt::format("{} of {} may take it", field(service, "openServers"), field(service, "servers")));
    std::vector<std::string> lines;
    for (const auto &it : member(service, "candidates")) {
        lines.push_back("  " + serverText(it));
    }
    const auto omitted = field(service, "omittedCandidates");
    if (!omitted.empty() && omitted != "0") {
        lines.push_back(fmt::format("  {} more are not listed", omitted));
    }
    return text + indented(lines);
}

std::string serviceText(const json &service)
{
    const auto &share = member(service, "sharePercent");
    auto text = line("service",
                     fmt::format("{}  {:.1f}% (weight {})", field(service, "service"),
                                 share.is_number() ? share.get<double>() : 0, field(service, "weight")));
    const auto keyed = field(service, "keyed");
    if (!keyed.empty()) {
        text += keyed == "true" ? ownerText(service) : candidateText(service);
    }
    text += line("  outcome", outcomeText(member(service, "outcome")));
    if (service.contains("outcomeWithServers")) {
        text += line("  otherwise", outcomeText(service["outcomeWithServers"]));
    }
    return text;
}

std::string routeText(const json &route)
{
    if (!route.is_object()) {
        return {};
    }
    return fmt::format("{}: {}{}  {}, priority {}, within {} ms, at most {} attempts", field(route, "name"),
                       field(route, "host"), field(route, "prefix"), field(route, "repeatability"),
                       field(route, "priority"), field(route, "timeoutMs"), field(route, "maxAttempts"));
}

std::string inputLines(const json &inputs)
{
    std::vector<std::string> lines;
    for (const auto &it : inputs) {
        const auto ms = field(it, "ageMs");
        lines.push_back(fmt::format("{}: {}", field(it, "input"), ms.empty() ? "never" : ms + " ms"));
    }
    return lines.empty() ? std::string() : "inputs, time since each last changed\n" + indented(lines);
}
}

std::string explanationText(const json &explanation)
{
    const auto &request = member(explanation, "request");
    const auto key = field(request, "key");
    auto text = line("daemon", field(explanation, "daemon"));
    text += line("request",
                 fmt::format("{} {}{}{}", field(request, "method"), field(request, "host"), field(request, "path"),
                             key.empty() ? "" : "  key " + key));
    text += line("configuration", field(explanation, "configurationVersion"));
    text += line("route", routeText(member(explanation, "route")));
    text += line("evacuated", joined(member(explanation, "evacuatedDomains"), ", "));
    if (field(explanation, "stopping") == "true") {
        text += line("stopping", "this VM stops: a request that may last longer than it is refused with 503 stopping");
    }
    for (const auto &it : member(explanation, "services")) {
        text += serviceText(it);
    }
    const auto omitted = field(explanation, "omittedServices");
    if (!omitted.empty() && omitted != "0") {
        text += line("", omitted + " more services are not listed");
    }
    text += line("outcome", outcomeText(member(explanation, "outcome")));
    text += inputLines(member(explanation, "inputs"));
    for (const auto &it : member(explanation, "notIncluded")) {
        text += line("not included", it.is_string() ? it.get<std::string>() : std::string());
    }
    return text;
}

}

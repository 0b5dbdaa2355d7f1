#include "commands_p.h"

#include <algorithm>
#include <cmath>

#include <fmt/format.h>

#include <galenarock/assignment.h>
#include <galenarock/jsontext.h>

#include "explanationtext_p.h"

namespace Galenarock::Ctl
{

namespace
{
using nlohmann::json;

/// Admin addresses from the `status` objects that the daemons write to the platform.
Result<std::vector<Endpoint>> publishedAdminEndpoints(const Context &context, const Arguments &arguments)
{
    const ObjectClient client(context, arguments.platform);
    BOOST_LEAF_AUTO(objects, client.list(ObjectKind::Status));
    std::vector<Endpoint> endpoints;
    for (const auto &it : objects) {
        const auto admin = it.value.is_object() ? it.value.value("admin", json()) : json();
        const auto endpoint = admin.is_string() ? parseEndpoint(admin.get_ref<const std::string &>()) : std::nullopt;
        if (endpoint) {
            endpoints.push_back(*endpoint);
        }
    }
    if (endpoints.empty()) {
        return fail(ErrorCode::NotFound, "no daemon has published its admin address; use --admin");
    }
    return endpoints;
}

HttpReply callAdmin(const Context &context, const Endpoint &endpoint, const std::string &target)
{
    HttpRequest request;
    request.endpoint = endpoint;
    request.target = target;
    return context.http(request);
}

std::string valueText(const json &value)
{
    return value.is_string() ? value.get<std::string>() : jsonText(value);
}

bool isNested(const json &value)
{
    return (value.is_object() || (value.is_array() && !value.empty() && value.front().is_structured()));
}

/// Formats an object as `name: value` lines. Nested objects are indented; each element of a nested list gets a line.
std::string propertyLines(const json &object, std::size_t depth = 1)
{
    const std::string indent(2 * depth, ' ');
    if (!object.is_object()) {
        return indent + valueText(object) + "\n";
    }
    std::string text;
    for (const auto &it : object.items()) {
        const auto &value = it.value();
        text += fmt::format("{}{}:{}\n", indent, it.key(), isNested(value) ? "" : " " + valueText(value));
        if (value.is_object()) {
            text += propertyLines(value, depth + 1);
            continue;
        }
        for (std::size_t n = 0; isNested(value) && n < value.size(); ++n) {
            text += fmt::format("{}  {}\n", indent, valueText(value[n]));
        }
    }
    return text;
}

/// Slices and keys of one shard that one server owns.
struct ServerShare
{
    std::string server;
    std::size_t slices = 0;
    std::size_t singleKeys = 0;
    /// Percentage of the hash space.
    double spacePercent = 0;
    /// Number of slices for which the server is the first successor.
    std::size_t firstSuccessorOf = 0;
};

std::vector<ServerShare> serverShares(const Assignment &assignment)
{
    std::vector<ServerShare> shares;
    for (const auto &it : assignment.servers) {
        shares.push_back({toString(it)});
    }
    shares.push_back({"(nobody)"});
    for (const auto &it : assignment.slices) {
        auto &share = it.owner == noServer ? shares.back() : shares[it.owner];
        const auto width = static_cast<double>(it.range.last - it.range.first) + 1;
        share.spacePercent += 100 * std::ldexp(width, -64);
        ++(it.range.isSingleKey() ? share.singleKeys : share.slices);
        if (!it.successors.empty()) {
            ++shares[it.successors.front()].firstSuccessorOf;
        }
    }
    if (shares.back().slices + shares.back().singleKeys == 0) {
        shares.pop_back();
    }
    return shares;
}

json toJson(const ServerShare &share)
{
    return {{"server", share.server},
            {"slices", share.slices},
            {"singleKeys", share.singleKeys},
            {"spacePercent", share.spacePercent},
            {"firstSuccessorOf", share.firstSuccessorOf}};
}

void addShard(CommandResult &result, const StoredObject &object, const Assignment &assignment)
{
    json shard{{"shard", object.key.name}, {"version", object.version}, {"epoch", assignment.epoch}};
    shard["servers"] = json::array();
    result.text +=
        fmt::format("shard {}  version {}  epoch {}\n{:<24} {:>8} {:>12} {:>8} {:>17}\n", object.key.name,
                    object.version, assignment.epoch, "server", "slices", "single keys", "space", "first successor");
    for (const auto &it : serverShares(assignment)) {
        shard["servers"].push_back(toJson(it));
        result.text += fmt::format("{:<24} {:>8} {:>12} {:>7.2f}% {:>17}\n", it.server, it.slices, it.singleKeys,
                                   it.spacePercent, it.firstSuccessorOf);
    }
    result.json["shards"].push_back(std::move(shard));
}
}

Result<CommandResult> statusCommand(const Context &context, const Arguments &arguments)
{
    auto endpoints = arguments.admin;
    if (endpoints.empty()) {
        BOOST_LEAF_ASSIGN(endpoints, publishedAdminEndpoints(context, arguments));
    }
    CommandResult result{ExitStatus::Done, {}, {{"daemons", json::array()}}};
    for (const auto &it : endpoints) {
        const auto reply = callAdmin(context, it, "/status");
        const auto body = json::parse(reply.body, nullptr, false);
        const auto admin = toString(it);
        if (reply.status != 200 || body.is_discarded()) {
            const auto error = reply.status == 0 ? reply.error : fmt::format("status {}", reply.status);
            result.status = ExitStatus::Failed;
            result.text += fmt::format("{}  no answer: {}\n", admin, error);
            result.json["daemons"].push_back({{"admin", admin}, {"error", error}});
            continue;
        }
        result.text += fmt::format("{}\n{}", admin, propertyLines(body));
        result.json["daemons"].push_back({{"admin", admin}, {"status", body}});
    }
    return result;
}

Result<CommandResult> ownersCommand(const Context &context, const Arguments &arguments)
{
    const auto &service = arguments.operands.at(0);
    const ObjectClient client(context, arguments.platform);
    BOOST_LEAF_AUTO(objects, client.list(ObjectKind::Assignment));
    CommandResult result{ExitStatus::Done, {}, {{"service", service}, {"shards", json::array()}}};
    for (const auto &it : objects) {
        if (!it.value.is_object() || it.value.value("service", json()) != service) {
            continue;
        }
        BOOST_LEAF_AUTO(assignment, assignmentFromJson(it.value));
        addShard(result, it, assignment);
    }
    if (result.json["shards"].empty()) {
        return fail(ErrorCode::NotFound, fmt::format("service {} has no assignment", service));
    }
    return result;
}

namespace
{
/// Two operands name a service and a key of galenarockd; more name a request to a gateway.
std::string explainTarget(const std::vector<std::string> &operands)
{
    if (operands.size() == 2) {
        return fmt::format("/explain?service={}&key={}", percentEncoded(operands[0]), percentEncoded(operands[1]));
    }
    return fmt::format("/explain?method={}&host={}&path={}&key={}", percentEncoded(operands[0]),
                       percentEncoded(operands[1]), percentEncoded(operands[2]),
                       operands.size() > 3 ? percentEncoded(operands[3]) : std::string());
}
}

Result<CommandResult> explainCommand(const Context &context, const Arguments &arguments)
{
    const auto target = explainTarget(arguments.operands);
    std::string errors;
    for (const auto &it : arguments.admin) {
        const auto reply = callAdmin(context, it, target);
        const auto body = json::parse(reply.body, nullptr, false);
        if (reply.status == 200 && !body.is_discarded()) {
            return CommandResult{ExitStatus::Done,
                                 toString(it) + "\n"
                                     + (body.contains("request") ? explanationText(body) : propertyLines(body)),
                                 {{"admin", toString(it)}, {"explanation", body}}};
        }
        if (reply.status != 0 && reply.status < 500) {
            return fail(ErrorCode::NotFound, reply.body);
        }
        errors += (errors.empty() ? "" : "; ") + (reply.status == 0 ? reply.error : toString(it) + ": " + reply.body);
    }
    return fail(ErrorCode::Unavailable, errors);
}

}

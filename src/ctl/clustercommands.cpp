#include "commands_p.h"

#include <algorithm>
#include <cmath>

#include <fmt/format.h>

#include <galenarock/assignment.h>

namespace Galenarock::Ctl
{

namespace
{
using nlohmann::json;

/// Addresses that the daemons published in their `status` objects.
Result<std::vector<Endpoint>> publishedAdmins(const Context &context, const Arguments &arguments)
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

HttpReply adminCall(const Context &context, const Endpoint &endpoint, const std::string &target)
{
    HttpRequest request;
    request.endpoint = endpoint;
    request.target = target;
    return context.http(request);
}

/// `name: value` lines for an object; nested values as compact JSON.
std::string propertyLines(const json &object)
{
    std::string text;
    if (!object.is_object()) {
        return "  " + object.dump() + "\n";
    }
    for (const auto &it : object.items()) {
        const auto value = it.value().is_string() ? it.value().get<std::string>() : it.value().dump();
        text += fmt::format("  {}: {}\n", it.key(), value);
    }
    return text;
}

/// What one server owns in one shard.
struct Holding
{
    std::string server;
    std::size_t slices = 0;
    std::size_t singleKeys = 0;
    /// Share of the hash space, percent.
    double spacePercent = 0;
    /// Slices for which it is the first successor.
    std::size_t nextFor = 0;
};

std::vector<Holding> holdingsOf(const Assignment &assignment)
{
    std::vector<Holding> holdings;
    for (const auto &it : assignment.servers) {
        holdings.push_back({toString(it)});
    }
    holdings.push_back({"(nobody)"});
    for (const auto &it : assignment.slices) {
        auto &holding = it.owner == noServer ? holdings.back() : holdings[it.owner];
        const auto width = static_cast<double>(it.range.last - it.range.first) + 1;
        holding.spacePercent += 100 * std::ldexp(width, -64);
        ++(it.range.isSingleKey() ? holding.singleKeys : holding.slices);
        if (!it.successors.empty()) {
            ++holdings[it.successors.front()].nextFor;
        }
    }
    if (holdings.back().slices + holdings.back().singleKeys == 0) {
        holdings.pop_back();
    }
    return holdings;
}

json toJson(const Holding &holding)
{
    return {{"server", holding.server},
            {"slices", holding.slices},
            {"singleKeys", holding.singleKeys},
            {"spacePercent", holding.spacePercent},
            {"firstSuccessorOf", holding.nextFor}};
}

void addShard(CommandResult &result, const StoredObject &object, const Assignment &assignment)
{
    json shard{{"shard", object.key.name}, {"version", object.version}, {"epoch", assignment.epoch}};
    shard["servers"] = json::array();
    result.text +=
        fmt::format("shard {}  version {}  epoch {}\n{:<24} {:>8} {:>12} {:>8} {:>17}\n", object.key.name,
                    object.version, assignment.epoch, "server", "slices", "single keys", "space", "first successor");
    for (const auto &it : holdingsOf(assignment)) {
        shard["servers"].push_back(toJson(it));
        result.text += fmt::format("{:<24} {:>8} {:>12} {:>7.2f}% {:>17}\n", it.server, it.slices, it.singleKeys,
                                   it.spacePercent, it.nextFor);
    }
    result.json["shards"].push_back(std::move(shard));
}
}

Result<CommandResult> statusCommand(const Context &context, const Arguments &arguments)
{
    auto endpoints = arguments.admin;
    if (endpoints.empty()) {
        BOOST_LEAF_ASSIGN(endpoints, publishedAdmins(context, arguments));
    }
    CommandResult result{ExitStatus::Done, {}, {{"daemons", json::array()}}};
    for (const auto &it : endpoints) {
        const auto reply = adminCall(context, it, "/status");
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

Result<CommandResult> explainCommand(const Context &context, const Arguments &arguments)
{
    const auto target = fmt::format("/explain?service={}&key={}", percentEncoded(arguments.operands.at(0)),
                                    percentEncoded(arguments.operands.at(1)));
    std::string errors;
    for (const auto &it : arguments.admin) {
        const auto reply = adminCall(context, it, target);
        const auto body = json::parse(reply.body, nullptr, false);
        if (reply.status == 200 && !body.is_discarded()) {
            return CommandResult{ExitStatus::Done,
                                 fmt::format("{}\n{}", toString(it), propertyLines(body)),
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

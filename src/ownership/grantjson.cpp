#include <array>

#include <galenarock/control.h>

namespace Galenarock
{

namespace
{
using nlohmann::json;

constexpr std::array<std::pair<GrantAction, const char *>, 5> actionNames{{
    {GrantAction::Poll, "poll"},
    {GrantAction::Renew, "renew"},
    {GrantAction::Grant, "grant"},
    {GrantAction::Revoke, "revoke"},
    {GrantAction::Fence, "fence"},
}};

constexpr std::array<std::pair<ServerState, const char *>, 3> stateNames{{
    {ServerState::Cold, "cold"},
    {ServerState::Ready, "ready"},
    {ServerState::Draining, "draining"},
}};

template<typename Names, typename Value> const char *nameOf(const Names &names, Value value)
{
    for (const auto &[it, name] : names) {
        if (it == value) {
            return name;
        }
    }
    return "";
}

template<typename Names, typename Value> bool valueOf(const Names &names, const std::string &text, Value &value)
{
    for (const auto &[it, name] : names) {
        if (text != name) {
            continue;
        }
        value = it;
        return true;
    }
    return false;
}

json slicesToJson(const std::vector<GrantedSlice> &slices)
{
    auto array = json::array();
    for (const auto &it : slices) {
        array.push_back({{"begin", toHex(it.range.first)}, {"end", toHex(it.range.last)}, {"sequence", it.sequence}});
    }
    return array;
}

Result<std::vector<GrantedSlice>> slicesFromJson(const json &array)
{
    std::vector<GrantedSlice> slices;
    slices.reserve(array.size());
    for (const auto &it : array) {
        const auto first = parseHex(it.at("begin").get<std::string>());
        const auto last = parseHex(it.at("end").get<std::string>());
        if (!first || !last || *last < *first) {
            return fail(ErrorCode::OutOfRange, "slices");
        }
        slices.push_back({SliceRange{*first, *last}, it.at("sequence").get<std::uint64_t>()});
    }
    return slices;
}
}

json toJson(const GrantRequest &request)
{
    return {{"service", request.service},
            {"sender", toString(request.sender)},
            {"boot", request.boot},
            {"epoch", request.epoch},
            {"nonce", request.nonce},
            {"termMs", request.termMs},
            {"action", nameOf(actionNames, request.action)},
            {"slices", slicesToJson(request.slices)}};
}

json toJson(const GrantReply &reply)
{
    return {{"boot", reply.boot},         {"epoch", reply.epoch},
            {"nonce", reply.nonce},       {"accepted", reply.accepted},
            {"reason", reply.reason},     {"state", nameOf(stateNames, reply.state)},
            {"inFlight", reply.inFlight}, {"held", slicesToJson(reply.held)}};
}

Result<GrantRequest> grantRequestFromJson(const json &json)
{
    try {
        GrantRequest request;
        const auto sender = parseIdentity(json.at("sender").get<std::string>());
        if (!sender || !valueOf(actionNames, json.at("action").get<std::string>(), request.action)) {
            return fail(ErrorCode::OutOfRange, "sender or action");
        }
        request.service = json.at("service").get<std::string>();
        request.sender = *sender;
        request.boot = json.at("boot").get<std::uint64_t>();
        request.epoch = json.at("epoch").get<std::uint32_t>();
        request.nonce = json.at("nonce").get<std::uint64_t>();
        request.termMs = json.at("termMs").get<std::int64_t>();
        BOOST_LEAF_ASSIGN(request.slices, slicesFromJson(json.at("slices")));
        return request;
    } catch (const nlohmann::json::exception &error) {
        return fail(ErrorCode::MalformedJson, error.what());
    }
}

Result<GrantReply> grantReplyFromJson(const json &json)
{
    try {
        GrantReply reply;
        if (!valueOf(stateNames, json.at("state").get<std::string>(), reply.state)) {
            return fail(ErrorCode::OutOfRange, "state");
        }
        reply.boot = json.at("boot").get<std::uint64_t>();
        reply.epoch = json.at("epoch").get<std::uint32_t>();
        reply.nonce = json.at("nonce").get<std::uint64_t>();
        reply.accepted = json.at("accepted").get<bool>();
        reply.reason = json.at("reason").get<std::string>();
        reply.inFlight = json.at("inFlight").get<std::uint32_t>();
        BOOST_LEAF_ASSIGN(reply.held, slicesFromJson(json.at("held")));
        return reply;
    } catch (const nlohmann::json::exception &error) {
        return fail(ErrorCode::MalformedJson, error.what());
    }
}

}

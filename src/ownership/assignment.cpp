#include <galenarock/assignment.h>

#include <algorithm>
#include <charconv>

#include <fmt/format.h>

namespace Galenarock
{

namespace
{
std::string shortHex(std::uint64_t n)
{
    return fmt::format("{:x}", n);
}

int ownerToJson(ServerIndex owner)
{
    return owner == noServer ? -1 : static_cast<int>(owner);
}

Result<SliceAssignment> sliceFromJson(const nlohmann::json &json, std::size_t index)
{
    const auto place = fmt::format("/slices/{}", index);
    if (!json.is_array() || json.size() != 5 || !json[0].is_string() || !json[1].is_string()
        || !json[2].is_number_integer() || !json[3].is_number_unsigned() || !json[4].is_array()) {
        return fail(ErrorCode::WrongType, place);
    }
    const auto first = parseHex(json[0].get_ref<const std::string &>());
    const auto last = parseHex(json[1].get_ref<const std::string &>());
    if (!first || !last) {
        return fail(ErrorCode::OutOfRange, place);
    }
    SliceAssignment slice;
    slice.range = SliceRange{*first, *last};
    const auto owner = json[2].get<std::int64_t>();
    if (owner < -1 || owner >= noServer) {
        return fail(ErrorCode::OutOfRange, place + "/2");
    }
    slice.owner = owner < 0 ? noServer : static_cast<ServerIndex>(owner);
    slice.sequence = json[3].get<std::uint64_t>();
    for (const auto &it : json[4]) {
        if (!it.is_number_unsigned() || it.get<std::uint64_t>() >= noServer) {
            return fail(ErrorCode::OutOfRange, place + "/4");
        }
        slice.successors.push_back(it.get<ServerIndex>());
    }
    return slice;
}
}

std::string toString(const Token &token)
{
    return fmt::format("{}.{}", token.epoch, token.sequence);
}

std::optional<Token> parseToken(std::string_view text)
{
    Token token;
    const char *const textEnd = text.data() + text.size();
    const auto epoch = std::from_chars(text.data(), textEnd, token.epoch);
    if (epoch.ec != std::errc() || epoch.ptr == textEnd || *epoch.ptr != '.') {
        return {};
    }
    const auto sequence = std::from_chars(epoch.ptr + 1, textEnd, token.sequence);
    if (sequence.ec != std::errc() || sequence.ptr != textEnd) {
        return {};
    }
    return token;
}

const SliceAssignment *Assignment::find(KeyHash hash) const
{
    const auto after = std::upper_bound(slices.begin(), slices.end(), hash,
                                        [](KeyHash n, const SliceAssignment &slice) { return n < slice.range.first; });
    if (after == slices.begin()) {
        return nullptr;
    }
    const auto it = std::prev(after);
    return it->range.contains(hash) ? &*it : nullptr;
}

Findings Assignment::validate() const
{
    Findings findings;
    KeyHash expectedFirst = 0;
    bool complete = slices.empty();
    for (std::size_t n = 0; n < slices.size(); ++n) {
        const auto &it = slices[n];
        const auto place = fmt::format("/slices/{}", n);
        if (it.range.first != expectedFirst || it.range.last < it.range.first || complete) {
            findings.push_back({ErrorCode::Contradiction, place, "slices must be sorted and cover the hash space"});
        }
        expectedFirst = it.range.last + 1;
        complete = it.range.last == ~KeyHash(0);
        if (it.owner != noServer && it.owner >= servers.size()) {
            findings.push_back({ErrorCode::OutOfRange, place + "/2", "owner index"});
        }
        if (it.sequence + it.successors.size() >= nextSequence) {
            findings.push_back({ErrorCode::Contradiction, place + "/3", "sequence is not below nextSequence"});
        }
        for (const auto successor : it.successors) {
            if (successor < servers.size() && successor != it.owner) {
                continue;
            }
            findings.push_back({ErrorCode::OutOfRange, place + "/4", "successor index"});
        }
    }
    if (!complete) {
        findings.push_back({ErrorCode::Contradiction, "/slices", "slices do not reach the end of the hash space"});
    }
    return findings;
}

nlohmann::json toJson(const Assignment &assignment)
{
    auto servers = nlohmann::json::array();
    for (const auto &it : assignment.servers) {
        servers.push_back(toString(it));
    }
    auto slices = nlohmann::json::array();
    for (const auto &it : assignment.slices) {
        slices.push_back(nlohmann::json::array(
            {shortHex(it.range.first), shortHex(it.range.last), ownerToJson(it.owner), it.sequence, it.successors}));
    }
    return {{"service", assignment.service},
            {"epoch", assignment.epoch},
            {"nextSequence", assignment.nextSequence},
            {"servers", std::move(servers)},
            {"slices", std::move(slices)}};
}

Result<Assignment> assignmentFromJson(const nlohmann::json &json)
{
    if (!json.is_object()) {
        return fail(ErrorCode::WrongType, "/");
    }
    for (const char *field : {"service", "epoch", "nextSequence", "servers", "slices"}) {
        if (!json.contains(field)) {
            return fail(ErrorCode::MissingField, fmt::format("/{}", field));
        }
    }
    if (!json["service"].is_string() || !json["epoch"].is_number_unsigned()
        || !json["nextSequence"].is_number_unsigned() || !json["servers"].is_array() || !json["slices"].is_array()) {
        return fail(ErrorCode::WrongType, "assignment field");
    }
    Assignment assignment;
    assignment.service = json["service"].get<std::string>();
    assignment.epoch = json["epoch"].get<std::uint32_t>();
    assignment.nextSequence = json["nextSequence"].get<std::uint64_t>();
    for (const auto &it : json["servers"]) {
        const auto server = it.is_string() ? parseIdentity(it.get_ref<const std::string &>()) : std::nullopt;
        if (!server) {
            return fail(ErrorCode::WrongType, "/servers");
        }
        assignment.servers.push_back(*server);
    }
    for (const auto &it : json["slices"]) {
        BOOST_LEAF_AUTO(slice, sliceFromJson(it, assignment.slices.size()));
        assignment.slices.push_back(std::move(slice));
    }
    const auto findings = assignment.validate();
    if (!findings.empty()) {
        return fail(findings.front().code, findings.front().place + ": " + findings.front().message);
    }
    return assignment;
}

}

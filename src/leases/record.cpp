#include <galenarock/leases.h>

#include <fmt/format.h>

namespace Galenarock
{

namespace
{
using nlohmann::json;

/// Text of an identity in a record; empty when there is no server or daemon.
std::string identityText(const Identity &identity)
{
    return identity.name.empty() ? std::string() : toString(identity);
}

Result<Identity> parseIdentityText(const json &value, const std::string &pointer)
{
    if (!value.is_string()) {
        return fail(ErrorCode::WrongType, pointer);
    }
    const auto &text = value.get_ref<const std::string &>();
    if (text.empty()) {
        return Identity();
    }
    const auto identity = parseIdentity(text);
    if (!identity) {
        return fail(ErrorCode::OutOfRange, fmt::format("{}: '{}'", pointer, text));
    }
    return *identity;
}

Result<KeyHash> parsePosition(const json &value, const std::string &pointer)
{
    const auto position = value.is_string() ? parseHex(value.get_ref<const std::string &>()) : std::nullopt;
    if (!position) {
        return fail(ErrorCode::OutOfRange, pointer);
    }
    return *position;
}

Result<RecordedRange> parseRecordedRange(const json &value, const std::string &pointer)
{
    if (!value.is_array() || value.size() != 4) {
        return fail(ErrorCode::WrongType, pointer);
    }
    RecordedRange recorded;
    BOOST_LEAF_ASSIGN(recorded.range.first, parsePosition(value[0], pointer + "/0"));
    BOOST_LEAF_ASSIGN(recorded.range.last, parsePosition(value[1], pointer + "/1"));
    BOOST_LEAF_ASSIGN(recorded.holder, parseIdentityText(value[2], pointer + "/2"));
    BOOST_LEAF_ASSIGN(recorded.next, parseIdentityText(value[3], pointer + "/3"));
    return recorded;
}

Result<void> checkCoverage(const std::vector<RecordedRange> &ranges)
{
    KeyHash first = 0;
    for (std::size_t n = 0; n < ranges.size(); ++n) {
        const auto &range = ranges[n].range;
        const bool isEnd = n + 1 == ranges.size();
        if (range.first != first || range.last < range.first || isEnd != (range.last == ~KeyHash(0))) {
            return fail(ErrorCode::Contradiction, fmt::format("/holds/{}: ranges must cover all positions", n));
        }
        first = range.last + 1;
    }
    return {};
}
}

json toJson(const LeaseRecord &record)
{
    auto ranges = json::array();
    for (const auto &it : record.ranges) {
        ranges.push_back({fmt::format("{:x}", it.range.first), fmt::format("{:x}", it.range.last),
                          identityText(it.holder), identityText(it.next)});
    }
    auto former = json::array();
    for (const auto &it : record.former) {
        former.push_back(identityText(it));
    }
    return {{"service", record.service},
            {"epoch", record.epoch},
            {"era", record.era},
            {"former", std::move(former)},
            {"leader", identityText(record.leader)},
            {"holds", std::move(ranges)}};
}

Result<LeaseRecord> leaseRecordFromJson(const json &value)
{
    if (!value.is_object() || !value.contains("service") || !value["service"].is_string()) {
        return fail(ErrorCode::MissingField, "/service");
    }
    LeaseRecord record;
    record.service = value["service"].get<std::string>();
    const auto epoch = value.find("epoch");
    if (epoch == value.end() || !epoch->is_number_unsigned()) {
        return fail(ErrorCode::MissingField, "/epoch");
    }
    record.epoch = epoch->get<std::uint32_t>();
    // Records of earlier versions of galenarock have no era.
    const auto era = value.find("era");
    record.era = era != value.end() && era->is_number_unsigned() ? era->get<std::uint64_t>() : 0;
    BOOST_LEAF_ASSIGN(record.leader, parseIdentityText(value.value("leader", json()), "/leader"));
    const auto former = value.find("former");
    if (former == value.end() || !former->is_array()) {
        return fail(ErrorCode::MissingField, "/former");
    }
    for (const auto &it : *former) {
        BOOST_LEAF_AUTO(identity, parseIdentityText(it, "/former"));
        record.former.push_back(std::move(identity));
    }
    const auto ranges = value.find("holds");
    if (ranges == value.end() || !ranges->is_array()) {
        return fail(ErrorCode::MissingField, "/holds");
    }
    for (std::size_t n = 0; n < ranges->size(); ++n) {
        BOOST_LEAF_AUTO(recorded, parseRecordedRange((*ranges)[n], fmt::format("/holds/{}", n)));
        record.ranges.push_back(std::move(recorded));
    }
    BOOST_LEAF_CHECK(checkCoverage(record.ranges));
    return record;
}

}

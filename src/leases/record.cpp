#include <galenarock/leases.h>

#include <fmt/format.h>

namespace Galenarock
{

namespace
{
using nlohmann::json;

/// Text of an identity in a record; empty for nobody.
std::string holderText(const Identity &identity)
{
    return identity.name.empty() ? std::string() : toString(identity);
}

Result<Identity> parseHolder(const json &value, const std::string &place)
{
    if (!value.is_string()) {
        return fail(ErrorCode::WrongType, place);
    }
    const auto &text = value.get_ref<const std::string &>();
    if (text.empty()) {
        return Identity();
    }
    const auto identity = parseIdentity(text);
    if (!identity) {
        return fail(ErrorCode::OutOfRange, fmt::format("{}: '{}'", place, text));
    }
    return *identity;
}

Result<KeyHash> parsePosition(const json &value, const std::string &place)
{
    const auto position = value.is_string() ? parseHex(value.get_ref<const std::string &>()) : std::nullopt;
    if (!position) {
        return fail(ErrorCode::OutOfRange, place);
    }
    return *position;
}

Result<RecordedRange> parseRecordedRange(const json &value, const std::string &place)
{
    if (!value.is_array() || value.size() != 4) {
        return fail(ErrorCode::WrongType, place);
    }
    RecordedRange recorded;
    BOOST_LEAF_ASSIGN(recorded.range.first, parsePosition(value[0], place + "/0"));
    BOOST_LEAF_ASSIGN(recorded.range.last, parsePosition(value[1], place + "/1"));
    BOOST_LEAF_ASSIGN(recorded.holder, parseHolder(value[2], place + "/2"));
    BOOST_LEAF_ASSIGN(recorded.next, parseHolder(value[3], place + "/3"));
    return recorded;
}

Result<void> checkCover(const std::vector<RecordedRange> &ranges)
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
                          holderText(it.holder), holderText(it.next)});
    }
    auto former = json::array();
    for (const auto &it : record.former) {
        former.push_back(holderText(it));
    }
    return {{"service", record.service},
            {"epoch", record.epoch},
            {"former", std::move(former)},
            {"leader", holderText(record.leader)},
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
    BOOST_LEAF_ASSIGN(record.leader, parseHolder(value.value("leader", json()), "/leader"));
    const auto former = value.find("former");
    if (former == value.end() || !former->is_array()) {
        return fail(ErrorCode::MissingField, "/former");
    }
    for (const auto &it : *former) {
        BOOST_LEAF_AUTO(identity, parseHolder(it, "/former"));
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
    BOOST_LEAF_CHECK(checkCover(record.ranges));
    return record;
}

}

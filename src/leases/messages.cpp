#include <algorithm>

#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/vector.hpp>

#include <galenarock/leases.h>

#include "peer/message_p.h"
#include "tablechange_p.h"

namespace Galenarock
{

namespace
{
/// Number of the added field of a notice that asks for a successor; without a value. Number 1 stays unused:
/// EarlierBuildsTest takes it for a field of a later build.
constexpr std::uint8_t SuccessorField = 2;

/// Wire formats. Kept separate from the types in memory, so that a change of those types does not change the format.
struct WireNotice
{
    std::string service;
    std::uint32_t epoch = 0;
    std::uint64_t version = 0;
    bool isSole = false;
    template<typename Archive> void serialize(Archive &archive)
    {
        archive(service, epoch, version, isSole);
    }
};

struct WireServer
{
    std::string name;
    std::uint64_t boot = 0;
    double serviceSeconds = 0;
    template<typename Archive> void serialize(Archive &archive)
    {
        archive(name, boot, serviceSeconds);
    }
};

struct WireLoad
{
    std::string service;
    double seconds = 0;
    std::vector<std::pair<KeyHash, std::uint32_t>> positions;
    std::vector<WireServer> servers;
    bool hasServerContact = false;
    template<typename Archive> void serialize(Archive &archive)
    {
        archive(service, seconds, positions, servers);
    }
    template<typename Archive> void serializeSecond(Archive &archive)
    {
        archive(hasServerContact);
    }
};

struct WireSlice
{
    KeyHash first = 0;
    KeyHash last = 0;
    ServerIndex owner = noServer;
    std::uint64_t sequence = 0;
    template<typename Archive> void serialize(Archive &archive)
    {
        archive(first, last, owner, sequence);
    }
};

struct WireTable
{
    std::string service;
    std::uint32_t epoch = 0;
    std::uint64_t nextSequence = 0;
    std::vector<WireServer> servers;
    std::vector<WireSlice> slices;
    template<typename Archive> void serialize(Archive &archive)
    {
        archive(service, epoch, nextSequence, servers, slices);
    }
};

struct WireChangedSlice
{
    KeyHash first = 0;
    KeyHash last = 0;
    std::string owner;
    std::uint64_t boot = 0;
    std::uint64_t sequence = 0;
    template<typename Archive> void serialize(Archive &archive)
    {
        archive(first, last, owner, boot, sequence);
    }
};

struct WireChange
{
    std::string service;
    std::uint32_t epoch = 0;
    std::uint64_t fromVersion = 0;
    std::uint64_t toVersion = 0;
    std::vector<WireChangedSlice> slices;
    template<typename Archive> void serialize(Archive &archive)
    {
        archive(service, epoch, fromVersion, toVersion, slices);
    }
};
}

std::string encode(const LeaseNotice &notice)
{
    const auto payload = encodeMessage(WireNotice{notice.service, notice.epoch, notice.version, notice.isSole});
    return notice.wantsSuccessor ? payload + Wire::encodeAddedFields({{SuccessorField, {}}}) : payload;
}

std::string encode(const KeyLoad &load)
{
    WireLoad wire{load.service, load.seconds, load.positions, {}, load.hasServerContact};
    for (const auto &it : load.servers) {
        wire.servers.push_back({it.server.name, it.server.boot, it.serviceSeconds});
    }
    return encodeMessage(wire);
}

std::string encodeLeaseTable(const Assignment &table)
{
    WireTable wire{table.service, table.epoch, table.nextSequence, {}, {}};
    for (const auto &it : table.servers) {
        wire.servers.push_back({it.name, it.boot, 0});
    }
    for (const auto &it : table.slices) {
        wire.slices.push_back({it.range.first, it.range.last, it.owner, it.sequence});
    }
    return encodeMessage(wire);
}

std::string encode(const TableChange &change)
{
    WireChange wire{change.service, change.epoch, change.fromVersion, change.toVersion, {}};
    for (const auto &it : change.slices) {
        wire.slices.push_back({it.range.first, it.range.last, it.owner.name, it.owner.boot, it.sequence});
    }
    return encodeMessage(wire);
}

Result<TableChange> decodeTableChange(const std::string &payload)
{
    BOOST_LEAF_AUTO(wire, decodeMessage<WireChange>(payload));
    TableChange change{wire.service, wire.epoch, wire.fromVersion, wire.toVersion, {}};
    for (const auto &it : wire.slices) {
        change.slices.push_back({{it.first, it.last}, {it.owner, it.boot}, it.sequence});
    }
    return change;
}

Result<LeaseNotice> decodeLeaseNotice(const std::string &payload)
{
    std::vector<Wire::AddedField> addedFields;
    BOOST_LEAF_AUTO(wire, decodeMessage<WireNotice>(payload, &addedFields));
    const bool wantsSuccessor = std::any_of(addedFields.begin(), addedFields.end(),
                                            [](const Wire::AddedField &it) { return it.number == SuccessorField; });
    return LeaseNotice{wire.service, wire.epoch, wire.version, wire.isSole, wantsSuccessor};
}

Result<KeyLoad> decodeKeyLoad(const std::string &payload)
{
    BOOST_LEAF_AUTO(wire, decodeMessage<WireLoad>(payload));
    KeyLoad load{wire.service, wire.seconds, std::move(wire.positions), {}, wire.hasServerContact};
    for (const auto &it : wire.servers) {
        load.servers.push_back({{it.name, it.boot}, it.serviceSeconds});
    }
    return load;
}

Result<Assignment> decodeLeaseTable(const std::string &payload)
{
    BOOST_LEAF_AUTO(wire, decodeMessage<WireTable>(payload));
    Assignment table;
    table.service = wire.service;
    table.epoch = wire.epoch;
    table.nextSequence = wire.nextSequence;
    for (const auto &it : wire.servers) {
        table.servers.push_back({it.name, it.boot});
    }
    for (const auto &it : wire.slices) {
        table.slices.push_back({{it.first, it.last}, it.owner, it.sequence, {}});
    }
    const auto findings = table.validate();
    if (!findings.empty()) {
        return fail(findings.front().code, findings.front().place + ": " + findings.front().message);
    }
    return table;
}

}

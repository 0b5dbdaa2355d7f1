#include <cmath>
#include <exception>
#include <sstream>

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <galenarock/serverlimits.h>

#include "peer/message_p.h"
#include "peer/wire_p.h"

namespace Galenarock
{

namespace
{
/// Longest delay in a message; larger numbers are malformed.
constexpr std::int64_t MaxDelayMs = 60'000;
/// Number of the added field with the answers of a cold server. Builds without it skip the field. Number 1 stays
/// unused: EarlierBuildsTest takes it for a field of a later build.
constexpr std::uint8_t SignsField = 2;

/// Wire formats. Kept separate from the types in memory, so that a change of those types does not change the format.
struct WireLimit
{
    std::string name;
    std::uint64_t boot = 0;
    double perSecond = 0;
    std::uint32_t version = 0;
    template<typename Archive> void serialize(Archive &archive)
    {
        archive(name, boot, perSecond, version);
    }
};

struct WireRequest
{
    std::uint64_t number = 0;
    WireLimit limit;
    std::uint32_t priority = 0;
    std::int64_t maxDelayMs = 0;
    template<typename Archive> void serialize(Archive &archive)
    {
        archive(number, limit, priority, maxDelayMs);
    }
};

struct WireReply
{
    std::uint64_t number = 0;
    WireLimit limit;
    bool isGranted = false;
    std::int64_t delayMs = 0;
    template<typename Archive> void serialize(Archive &archive)
    {
        archive(number, limit, isGranted, delayMs);
    }
};

struct WireSigns
{
    std::uint32_t good = 0;
    std::uint32_t slow = 0;
    std::uint32_t refused = 0;
    std::uint32_t silent = 0;
    template<typename Archive> void serialize(Archive &archive)
    {
        archive(good, slow, refused, silent);
    }
};

std::string encodeSigns(const PaceSigns &signs)
{
    if (signs.isEmpty()) {
        return {};
    }
    const WireSigns wire{signs.good, signs.slow, signs.refused, signs.silent};
    return Wire::encodeAddedFields({{SignsField, Wire::encode(wire)}});
}

PaceSigns readSigns(const std::vector<Wire::AddedField> &fields)
{
    for (const auto &it : fields) {
        if (it.number != SignsField) {
            continue;
        }
        WireSigns wire;
        std::istringstream stream(it.value);
        Wire::InputArchive archive(stream);
        archive(wire);
        return {wire.good, wire.slow, wire.refused, wire.silent};
    }
    return {};
}

WireLimit toWire(const ServerLimit &limit)
{
    return {limit.server.name, limit.server.boot, limit.perSecond, limit.version};
}

ServerLimit fromWire(WireLimit wire)
{
    return {{std::move(wire.name), wire.boot}, wire.perSecond, wire.version};
}

bool isValid(const WireLimit &limit)
{
    return std::isfinite(limit.perSecond) && limit.perSecond >= 0 && !limit.name.empty();
}

bool isValidDelay(std::int64_t delayMs)
{
    return delayMs >= 0 && delayMs <= MaxDelayMs;
}

std::int64_t toMs(Duration duration)
{
    // Rounded up, so that a caller that waits exactly this long is not early.
    return std::chrono::ceil<milliseconds>(duration).count();
}
}

std::string encode(const std::vector<ServerLimit> &limits)
{
    std::vector<WireLimit> wire;
    for (const auto &it : limits) {
        wire.push_back(toWire(it));
    }
    return encodeMessage(wire);
}

std::string encode(const PermitRequest &request)
{
    const WireRequest wire{request.number, toWire(request.limit), request.priority, toMs(request.maxDelay)};
    return encodeMessage(wire) + encodeSigns(request.signs);
}

std::string encode(const PermitReply &reply)
{
    return encodeMessage(
        WireReply{reply.number, toWire(reply.limit), reply.permit.isGranted, toMs(reply.permit.delay)});
}

Result<std::vector<ServerLimit>> decodeServerLimits(const std::string &payload)
{
    BOOST_LEAF_AUTO(wire, decodeMessage<std::vector<WireLimit>>(payload));
    std::vector<ServerLimit> limits;
    for (auto &it : wire) {
        if (!isValid(it)) {
            return fail(ErrorCode::MalformedMessage, "rate of a server");
        }
        limits.push_back(fromWire(std::move(it)));
    }
    return limits;
}

Result<PermitRequest> decodePermitRequest(const std::string &payload)
{
    std::istringstream stream(payload);
    WireRequest wire;
    PaceSigns signs;
    try {
        Wire::InputArchive archive(stream);
        archive(wire);
        signs = readSigns(Wire::readAddedFields(stream, archive));
    } catch (const std::exception &it) { // a length without its bytes is none of cereal's exceptions
        return fail(ErrorCode::MalformedMessage, it.what());
    }
    if (!isValid(wire.limit) || !isValidDelay(wire.maxDelayMs)) {
        return fail(ErrorCode::MalformedMessage, "permit request");
    }
    return PermitRequest{wire.number, fromWire(std::move(wire.limit)), wire.priority, milliseconds(wire.maxDelayMs),
                         signs};
}

Result<PermitReply> decodePermitReply(const std::string &payload)
{
    BOOST_LEAF_AUTO(wire, decodeMessage<WireReply>(payload));
    if (!isValid(wire.limit) || !isValidDelay(wire.delayMs)) {
        return fail(ErrorCode::MalformedMessage, "permit reply");
    }
    return PermitReply{wire.number, fromWire(std::move(wire.limit)), {wire.isGranted, milliseconds(wire.delayMs)}};
}

}

#include "ledgermessages_p.h"

#include <sstream>

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/vector.hpp>

namespace Galenarock
{

namespace
{
using Headers = std::vector<std::pair<std::string, std::string>>;

/// Size of the smallest encoded record. The record count that a message claims is checked against it before memory is
/// allocated.
constexpr std::size_t MinRecordBytes = 8 + 8 + 1 + 4 + 1 + 1;

void writeRecord(cereal::PortableBinaryOutputArchive &archive, const LedgerRecord &record, bool withResponse)
{
    const bool hasResponse = withResponse && record.response;
    archive(record.id.high, record.id.low, record.isAnswered, static_cast<std::uint32_t>(record.status),
            static_cast<std::uint8_t>(record.reason), hasResponse);
    if (hasResponse) {
        archive(record.response->headers, record.response->body);
    }
}

LedgerRecord readRecord(cereal::PortableBinaryInputArchive &archive)
{
    LedgerRecord record;
    std::uint32_t status = 0;
    std::uint8_t reason = 0;
    bool hasResponse = false;
    archive(record.id.high, record.id.low, record.isAnswered, status, reason, hasResponse);
    record.status = status;
    record.reason = reason < reasonCount() ? static_cast<Reason>(reason) : Reason::InternalError;
    if (hasResponse) {
        RecordedResponse response;
        response.status = status;
        archive(response.headers, response.body);
        record.response = std::make_shared<const RecordedResponse>(std::move(response));
    }
    return record;
}

std::size_t responseBytes(const LedgerHandover &handover)
{
    std::size_t n = 0;
    for (const auto &it : handover.records) {
        n += MinRecordBytes + (it.response ? it.response->byteCount() : 0);
    }
    return n;
}
}

std::string encode(const LedgerRange &range)
{
    std::ostringstream stream;
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(range.range.first, range.range.last, range.token.epoch, range.token.sequence);
    return stream.str();
}

Result<LedgerRange> decodeLedgerRange(const std::string &payload)
{
    try {
        std::istringstream stream(payload);
        cereal::PortableBinaryInputArchive archive(stream);
        LedgerRange range;
        archive(range.range.first, range.range.last, range.token.epoch, range.token.sequence);
        return range;
    } catch (const std::exception &error) {
        return fail(ErrorCode::MalformedMessage, error.what());
    }
}

std::string encode(const LedgerHandover &handover)
{
    const bool withResponses = responseBytes(handover) <= maxHandoverBytes;
    std::ostringstream stream;
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(handover.range.first, handover.range.last, handover.completeFrom,
            static_cast<std::uint32_t>(handover.records.size()));
    for (const auto &it : handover.records) {
        writeRecord(archive, it, withResponses);
    }
    return stream.str();
}

Result<LedgerHandover> decodeLedgerHandover(const std::string &payload)
{
    try {
        std::istringstream stream(payload);
        cereal::PortableBinaryInputArchive archive(stream);
        LedgerHandover handover;
        std::uint32_t count = 0;
        archive(handover.range.first, handover.range.last, handover.completeFrom, count);
        if (count > payload.size() / MinRecordBytes) {
            return fail(ErrorCode::MalformedMessage,
                        "record count of a ledger hand-over exceeds what the payload can hold");
        }
        for (std::uint32_t n = 0; n < count; ++n) {
            handover.records.push_back(readRecord(archive));
        }
        return handover;
    } catch (const std::exception &error) {
        return fail(ErrorCode::MalformedMessage, error.what());
    }
}

}

#include <gtest/gtest.h>

#include <galenarock/leases.h>
#include <galenarock/serverlimits.h>
#include <galenarock/suspects.h>

#include "leases/tablechange_p.h"
#include "membership/messages_p.h"
#include "peer/wire_p.h"

using namespace Galenarock;

/// Messages as earlier builds write them, in hexadecimal. Builds 8ec6c21 and c8dd5e5 write the same bytes, except that
/// 8ec6c21 ends a load report before hasServerContact.
namespace
{
constexpr const char *NoticeBytes = "01040000000000000073686f70030001000c0000000000000001";
constexpr const char *LoadBytes = "01040000000000000073686f70000000000000d03f02000000000000000500000000000000010000"
                                  "0009000000000000000300000001000000000000000300000000000000732d310700000000000000"
                                  "7b14ae47e17a843f";
constexpr const char *TableBytes = "01040000000000000073686f70030001000c00000000000000020000000000000003000000000000"
                                   "00732d31070000000000000000000000000000000300000000000000732d32080000000000000000"
                                   "0000000000000002000000000000000000000000000000ffffffffffffff7f00000a000000000000"
                                   "000000000000000080ffffffffffffffffffff0b00000000000000";
constexpr const char *ChangeBytes = "01040000000000000073686f70030001000b000000000000000c0000000000000002000000000000"
                                    "000000000000000000ffffffffffffff7f0300000000000000732d3107000000000000000a000000"
                                    "000000000000000000000080ffffffffffffffff000000000000000000000000000000000b000000"
                                    "00000000";
constexpr const char *LimitsBytes = "0102000000000000000300000000000000732d3107000000000000000000000000001a4003000000"
                                    "0300000000000000732d320800000000000000000000000000000001000000";
constexpr const char *PermitRequestBytes =
    "012a000000000000000300000000000000732d3107000000000000000000000000001a4003000000"
    "010000002c01000000000000";
constexpr const char *PermitReplyBytes =
    "012a000000000000000300000000000000732d3107000000000000000000000000001a4003000000"
    "017800000000000000";
constexpr const char *SuspectBytes = "01887766554433221163000000000000000100000000000000020000000000000000000000000000"
                                     "00000000000000000001";
constexpr const char *ProbeBytes = "014d0000000000000004766d2d320100000004766d2d310500000000000000030000000000000001"
                                   "0572696f6a610b31302e302e302e313a38300b31302e302e302e313a38319600";
/// Of c8dd5e5, at the end of a load report.
constexpr const char *NoServerContactBytes = "00";

constexpr KeyHash HalfOfPositions = KeyHash(1) << 63;
const ServerLimit Limit{{"s-1", 7}, 6.5, 3};

std::string fromHex(std::string_view text)
{
    std::string bytes;
    for (; !text.empty(); text.remove_prefix(2)) {
        bytes += static_cast<char>(parseHex(text.substr(0, 2)).value());
    }
    return bytes;
}

template<typename T> using Decoder = Result<T> (*)(const std::string &);

/// Empty when the payload is refused.
template<typename T> std::optional<T> decoded(Decoder<T> decode, const std::string &payload)
{
    return tryOr([&]() -> Result<std::optional<T>> { return decode(payload); },
                 [](ErrorCode, const std::string &) { return std::optional<T>(); });
}

Result<ProbeMessage> decodeProbe(const std::string &payload)
{
    return Wire::decode<ProbeMessage>(payload);
}

LeaseNotice notice()
{
    return {"shop", 65'539, 12, true};
}

KeyLoad load()
{
    KeyLoad load;
    load.service = "shop";
    load.seconds = 0.25;
    load.positions = {{5, 1}, {9, 3}};
    load.servers = {{{"s-1", 7}, 0.01}};
    return load;
}

Assignment table()
{
    Assignment table;
    table.service = "shop";
    table.epoch = 65'539;
    table.nextSequence = 12;
    table.servers = {{"s-1", 7}, {"s-2", 8}};
    table.slices = {{{0, HalfOfPositions - 1}, 0, 10, {}}, {{HalfOfPositions, ~KeyHash(0)}, noServer, 11, {}}};
    return table;
}

TableChange change()
{
    return {
        "shop", 65'539, 11, 12, {{{0, HalfOfPositions - 1}, {"s-1", 7}, 10}, {{HalfOfPositions, ~KeyHash(0)}, {}, 11}}};
}

std::vector<ServerLimit> limits()
{
    return {Limit, {{"s-2", 8}, 0, 1}};
}

PermitRequest permitRequest()
{
    return {42, Limit, 1, milliseconds(300)};
}

PermitReply permitReply()
{
    return {42, Limit, {true, milliseconds(120)}};
}

SuspectReport suspectReport()
{
    SuspectReport report;
    report.fingerprint = 0x1122334455667788;
    report.caller = 99;
    report.servers = {1, 2, 0, 0};
    report.cleared = true;
    return report;
}

ProbeMessage probe()
{
    return {77, "vm-2", {{{"vm-1", 5}, 3, MemberStatus::Suspect, "rioja", "10.0.0.1:80", "10.0.0.1:81", 150}}};
}

/// Payload lengths below that of the message at which it is not refused.
template<typename T> std::vector<std::size_t> acceptedLengths(Decoder<T> decode, const std::string &payload)
{
    std::vector<std::size_t> lengths;
    for (std::size_t n = 0; n < payload.size(); ++n) {
        if (decoded(decode, payload.substr(0, n))) {
            lengths.push_back(n);
        }
    }
    return lengths;
}
}

// Guards against a message of an earlier build that is refused or read as something else during a rolling upgrade.
TEST(EarlierBuildsTest, TheirMessagesAreRead)
{
    EXPECT_EQ(decoded(&decodeLeaseNotice, fromHex(NoticeBytes)), notice());
    EXPECT_EQ(decoded(&decodeKeyLoad, fromHex(LoadBytes)), load());
    EXPECT_EQ(decoded(&decodeKeyLoad, fromHex(LoadBytes) + fromHex(NoServerContactBytes)), load());
    EXPECT_EQ(decoded(&decodeLeaseTable, fromHex(TableBytes)), table());
    EXPECT_EQ(decoded(&decodeTableChange, fromHex(ChangeBytes)), change());
    EXPECT_EQ(decoded(&decodeServerLimits, fromHex(LimitsBytes)), limits());
    EXPECT_EQ(decoded(&decodePermitRequest, fromHex(PermitRequestBytes)), permitRequest());
    EXPECT_EQ(decoded(&decodePermitReply, fromHex(PermitReplyBytes)), permitReply());
    EXPECT_EQ(decoded(&decodeSuspectReport, fromHex(SuspectBytes)), suspectReport());
    const auto read = decoded(&decodeProbe, fromHex(ProbeBytes));
    ASSERT_TRUE(read);
    EXPECT_EQ(Wire::encode(*read), Wire::encode(probe()));
}

// Guards against messages that earlier builds cannot read, since they know no other bytes than their own.
TEST(EarlierBuildsTest, MessagesAreWrittenAsTheyWriteThem)
{
    EXPECT_EQ(encode(notice()), fromHex(NoticeBytes));
    EXPECT_EQ(encode(load()), fromHex(LoadBytes) + fromHex(NoServerContactBytes));
    EXPECT_EQ(encodeLeaseTable(table()), fromHex(TableBytes));
    EXPECT_EQ(encode(change()), fromHex(ChangeBytes));
    EXPECT_EQ(encode(limits()), fromHex(LimitsBytes));
    EXPECT_EQ(encode(permitRequest()), fromHex(PermitRequestBytes));
    EXPECT_EQ(encode(permitReply()), fromHex(PermitReplyBytes));
    EXPECT_EQ(encode(suspectReport()), fromHex(SuspectBytes));
    EXPECT_EQ(Wire::encode(probe()), fromHex(ProbeBytes));
}

// Guards against reading a message that is cut as one of an earlier build with fewer fields.
TEST(EarlierBuildsTest, CutMessagesAreRefused)
{
    using Lengths = std::vector<std::size_t>;
    EXPECT_EQ(acceptedLengths(&decodeLeaseNotice, fromHex(NoticeBytes)), Lengths());
    EXPECT_EQ(acceptedLengths(&decodeKeyLoad, fromHex(LoadBytes)), Lengths());
    EXPECT_EQ(acceptedLengths(&decodeLeaseTable, fromHex(TableBytes)), Lengths());
    EXPECT_EQ(acceptedLengths(&decodeTableChange, fromHex(ChangeBytes)), Lengths());
    EXPECT_EQ(acceptedLengths(&decodeServerLimits, fromHex(LimitsBytes)), Lengths());
    EXPECT_EQ(acceptedLengths(&decodePermitRequest, fromHex(PermitRequestBytes)), Lengths());
    EXPECT_EQ(acceptedLengths(&decodePermitReply, fromHex(PermitReplyBytes)), Lengths());
    EXPECT_EQ(acceptedLengths(&decodeSuspectReport, fromHex(SuspectBytes)), Lengths());
    EXPECT_EQ(acceptedLengths(&decodeProbe, fromHex(ProbeBytes)), Lengths());
}

// Guards against refusing the messages of a later build that has added a field to them.
TEST(EarlierBuildsTest, AddedFieldsAreSkipped)
{
    const auto field = Wire::encodeAddedFields({{1, "value of a later build"}});
    EXPECT_EQ(decoded(&decodeLeaseNotice, encode(notice()) + field), notice());
    EXPECT_EQ(decoded(&decodeKeyLoad, encode(load()) + field), load());
    EXPECT_EQ(decoded(&decodeLeaseTable, encodeLeaseTable(table()) + field), table());
    EXPECT_EQ(decoded(&decodeTableChange, encode(change()) + field), change());
    EXPECT_EQ(decoded(&decodeServerLimits, encode(limits()) + field), limits());
    EXPECT_EQ(decoded(&decodePermitRequest, encode(permitRequest()) + field), permitRequest());
    EXPECT_EQ(decoded(&decodePermitReply, encode(permitReply()) + field), permitReply());
    EXPECT_TRUE(decoded(&decodeProbe, Wire::encode(probe()) + field));
    EXPECT_FALSE(decoded(&decodeSuspectReport, encode(suspectReport()) + field)); // a fixed size
}

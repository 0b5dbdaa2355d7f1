#include "serialize_p.h"

#include <algorithm>
#include <cstring>
#include <sstream>

#include <fmt/format.h>
#include <sodium.h>
#include <xxhash.h>

namespace Galenarock
{

namespace
{
constexpr std::string_view Magic = "GRTRACE\n";
constexpr std::size_t PreambleBytes = 16;
constexpr std::size_t LengthBytes = 4;
constexpr std::size_t ChecksumBytes = 8;
/// Keeps an altered length field from exhausting memory. An assignment of 10,000 slices takes about 0.6 MB.
constexpr std::uint32_t MaxRecordBytes = 16u << 20;

enum class ChecksumKind : std::uint32_t
{
    Plain = 0,
    Keyed = 1,
};

template<typename T> std::string toLittleEndian(T value)
{
    std::string bytes(sizeof value, '\0');
    for (std::size_t n = 0; n < sizeof value; ++n) {
        bytes[n] = static_cast<char>((value >> (8 * n)) & 0xff);
    }
    return bytes;
}

template<typename T> T fromLittleEndian(std::string_view bytes)
{
    T value = 0;
    for (std::size_t n = 0; n < sizeof value; ++n) {
        value |= static_cast<T>(static_cast<unsigned char>(bytes[n])) << (8 * n);
    }
    return value;
}

/// Checksum of a record, chained to that of the previous record.
std::uint64_t nextChecksum(std::uint64_t previous, std::string_view payload, const std::optional<PeerKey> &key)
{
    if (!key) {
        return XXH3_64bits_withSeed(payload.data(), payload.size(), previous);
    }
    const auto chained = toLittleEndian(previous).append(payload);
    std::array<unsigned char, crypto_generichash_BYTES> digest{};
    crypto_generichash(digest.data(), digest.size(), reinterpret_cast<const unsigned char *>(chained.data()),
                       chained.size(), key->data(), key->size());
    std::uint64_t n = 0;
    std::memcpy(&n, digest.data(), sizeof n);
    return n;
}

template<typename T> std::string encode(const T &value)
{
    std::ostringstream stream;
    {
        cereal::PortableBinaryOutputArchive archive(stream,
                                                    cereal::PortableBinaryOutputArchive::Options::LittleEndian());
        archive(value);
    }
    return std::move(stream).str();
}

TraceRecord decodeRecord(std::string_view payload)
{
    std::istringstream stream{std::string(payload)};
    cereal::PortableBinaryInputArchive archive(stream);
    TraceRecord record;
    archive(record);
    return record;
}
}

std::string encodeRecord(const TraceRecord &record)
{
    return encode(record);
}

std::string encodeAction(const ControlAction &action)
{
    return encode(action);
}

TraceWriter::TraceWriter(const std::string &path, const TraceHeader &header, std::optional<PeerKey> key)
    : m_file(path, std::ios::binary | std::ios::trunc)
    , m_key(key)
{
    const auto kind = key ? ChecksumKind::Keyed : ChecksumKind::Plain;
    m_file << Magic << toLittleEndian(traceFormatVersion) << toLittleEndian(static_cast<std::uint32_t>(kind));
    write(header);
}

TraceWriter::~TraceWriter()
{
    const std::lock_guard lock(m_mutex);
    writeLocked(TraceEnd{m_records});
}

void TraceWriter::write(const TraceRecord &record)
{
    const std::lock_guard lock(m_mutex);
    writeLocked(record);
}

void TraceWriter::writeLocked(const TraceRecord &record)
{
    const auto payload = encodeRecord(record);
    if (payload.size() > MaxRecordBytes) {
        m_file.setstate(std::ios::failbit);
        return;
    }
    m_checksum = nextChecksum(m_checksum, payload, m_key);
    m_file << toLittleEndian(static_cast<std::uint32_t>(payload.size())) << payload << toLittleEndian(m_checksum);
    ++m_records;
}

bool TraceWriter::isGood() const
{
    const std::lock_guard lock(m_mutex);
    return m_file.good();
}

TraceReader::TraceReader(std::string name, std::string bytes, std::optional<PeerKey> key)
    : m_name(std::move(name))
    , m_bytes(std::move(bytes))
    , m_key(key)
{
    m_isOpen = readPreamble();
}

std::nullopt_t TraceReader::failAt(std::size_t byte, ErrorCode code, std::string message)
{
    m_findings.push_back({code, fmt::format("{}: byte {}", m_name, byte), std::move(message)});
    m_isOpen = false;
    return std::nullopt;
}

bool TraceReader::readPreamble()
{
    const std::string_view bytes(m_bytes);
    if (bytes.substr(0, Magic.size()) != Magic) {
        failAt(0, ErrorCode::MalformedMessage, "not a galenarock trace");
        return false;
    }
    if (bytes.size() < PreambleBytes) {
        failAt(bytes.size(), ErrorCode::Truncated, "the file ends within its preamble");
        return false;
    }
    const auto version = fromLittleEndian<std::uint32_t>(bytes.substr(8));
    if (version != traceFormatVersion) {
        failAt(8, ErrorCode::WrongVersion,
               fmt::format("trace has version {}, this program reads {}", version, traceFormatVersion));
        return false;
    }
    const auto kind = fromLittleEndian<std::uint32_t>(bytes.substr(12));
    const auto expected = static_cast<std::uint32_t>(m_key ? ChecksumKind::Keyed : ChecksumKind::Plain);
    if (kind != expected) {
        failAt(12, ErrorCode::BadMac, m_key ? "the trace is not keyed" : "the trace is keyed; its key is needed");
        return false;
    }
    m_position = PreambleBytes;
    return true;
}

std::optional<std::string_view> TraceReader::verifiedPayload()
{
    const std::string_view rest = std::string_view(m_bytes).substr(m_position);
    if (rest.empty()) {
        return failAt(m_position, ErrorCode::Truncated, "the end record is missing");
    }
    if (rest.size() < LengthBytes) {
        return failAt(m_position, ErrorCode::Truncated, "the file ends within a record's length");
    }
    const auto length = fromLittleEndian<std::uint32_t>(rest);
    if (length > MaxRecordBytes) {
        return failAt(m_position, ErrorCode::MalformedMessage, fmt::format("a record of {} bytes is too long", length));
    }
    if (rest.size() < LengthBytes + length + ChecksumBytes) {
        return failAt(m_position, ErrorCode::Truncated,
                      fmt::format("a record of {} bytes is cut off; only {} bytes follow its length", length,
                                  rest.size() - LengthBytes));
    }
    const auto payload = rest.substr(LengthBytes, length);
    const auto checksum = fromLittleEndian<std::uint64_t>(rest.substr(LengthBytes + length));
    const auto expected = nextChecksum(m_checksum, payload, m_key);
    if (checksum != expected) {
        return failAt(m_position, ErrorCode::BadMac, "the record or the one before it was altered");
    }
    m_checksum = expected;
    return payload;
}

std::optional<TraceRecord> TraceReader::next()
{
    if (!m_isOpen || m_isDone) {
        return std::nullopt;
    }
    const auto start = m_position;
    const auto payload = verifiedPayload();
    if (!payload) {
        return std::nullopt;
    }
    m_position += LengthBytes + payload->size() + ChecksumBytes;
    try {
        auto record = decodeRecord(*payload);
        const auto *const end = std::get_if<TraceEnd>(&record);
        if (std::holds_alternative<TraceHeader>(record) != (m_records == 0)) {
            return failAt(start, ErrorCode::MalformedMessage, "exactly the first record must be the header");
        }
        if (end != nullptr && (end->records != m_records || m_position != m_bytes.size())) {
            return failAt(start, ErrorCode::MalformedMessage,
                          "the end record has a wrong number of records or is not at the end of the file");
        }
        m_isDone = end != nullptr;
        ++m_records;
        return record;
    } catch (const std::exception &error) {
        // cereal throws on an unknown variant index, the standard library on a string or vector size beyond its limit.
        return failAt(start, ErrorCode::MalformedMessage, error.what());
    }
}

Trace TraceReader::readAll(std::string name, std::string bytes, std::optional<PeerKey> key)
{
    TraceReader reader(name, std::move(bytes), key);
    Trace trace;
    trace.name = std::move(name);
    while (auto record = reader.next()) {
        if (const auto *const header = std::get_if<TraceHeader>(&*record)) {
            trace.header = *header;
        }
        trace.records.push_back(*std::move(record));
    }
    trace.findings = reader.findings();
    return trace;
}

Trace TraceReader::readFile(const std::string &path, std::optional<PeerKey> key)
{
    const std::ifstream file(path, std::ios::binary);
    if (!file) {
        Trace trace;
        trace.name = path;
        trace.findings.push_back({ErrorCode::NotFound, path, "the file cannot be read"});
        return trace;
    }
    std::ostringstream bytes;
    bytes << file.rdbuf();
    return readAll(path.substr(path.rfind('/') + 1), std::move(bytes).str(), key);
}

}

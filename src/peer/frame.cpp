#include <galenarock/peer.h>

#include <cstring>

#include <fmt/format.h>
#include <sodium.h>

#include "peer/wire_p.h"

namespace Galenarock
{

namespace
{
constexpr std::size_t MacBytes = 32;
constexpr std::size_t MaxNameBytes = 63;
constexpr std::uint8_t FormatVersion = 1;
/// Byte order mark of cereal's portable archive (1: little-endian), followed by the magic number.
constexpr std::string_view FramePrefix("\x01GRK1", 5);
/// The four bytes of the magic number `GRK1` read as a little-endian integer.
constexpr std::uint32_t MagicNumber = 0x314b5247;

struct WireFrame
{
    std::uint32_t magic = MagicNumber;
    std::uint8_t version = FormatVersion;
    PeerFrame frame;

    template<typename Archive> void serialize(Archive &archive)
    {
        archive(magic, version);
        Wire::text<std::uint8_t>(archive, frame.sender.name, MaxNameBytes);
        archive(frame.sender.boot, frame.counter, frame.type);
        Wire::text<std::uint32_t>(archive, frame.payload, maxFrameBytes);
    }
};

using Mac = std::array<unsigned char, MacBytes>;

Mac macOf(std::string_view bytes, const PeerKey &key)
{
    Mac mac;
    crypto_generichash(mac.data(), mac.size(), reinterpret_cast<const unsigned char *>(bytes.data()), bytes.size(),
                       key.data(), key.size());
    return mac;
}

Result<void> checkHeader(std::string_view bytes)
{
    if (bytes.size() < frameOverheadBytes) {
        return fail(ErrorCode::Truncated,
                    fmt::format("frame of {} bytes is shorter than its fixed fields", bytes.size()));
    }
    if (bytes.size() > maxFrameBytes) {
        return fail(ErrorCode::TooLarge,
                    fmt::format("received frame of {} bytes exceeds the size limit", bytes.size()));
    }
    if (bytes.substr(0, FramePrefix.size()) != FramePrefix) {
        return fail(ErrorCode::MalformedMessage, "frame does not start with the magic number");
    }
    const auto version = static_cast<std::uint8_t>(bytes[FramePrefix.size()]);
    if (version != FormatVersion) {
        return fail(ErrorCode::WrongVersion, fmt::format("unsupported frame version {}", version));
    }
    return {};
}
}

PeerKey peerKeyFromSecret(std::string_view secret)
{
    PeerKey key;
    crypto_generichash(key.data(), key.size(), reinterpret_cast<const unsigned char *>(secret.data()), secret.size(),
                       nullptr, 0);
    return key;
}

Result<std::string> encodeFrame(const PeerFrame &frame, const PeerKey &key)
{
    const auto size = frameOverheadBytes + frame.sender.name.size() + frame.payload.size();
    if (frame.sender.name.size() > MaxNameBytes || size > maxFrameBytes) {
        return fail(
            ErrorCode::TooLarge,
            fmt::format("frame of {} bytes, type {}, or its sender name exceeds the size limit", size, frame.type));
    }
    WireFrame wire;
    wire.frame = frame;
    auto bytes = Wire::encode(std::move(wire));
    const auto mac = macOf(bytes, key);
    bytes.append(reinterpret_cast<const char *>(mac.data()), mac.size());
    return bytes;
}

Result<PeerFrame> decodeFrame(std::string_view bytes, const PeerKey &key)
{
    BOOST_LEAF_CHECK(checkHeader(bytes));
    const auto body = bytes.substr(0, bytes.size() - MacBytes);
    const auto mac = macOf(body, key);
    if (sodium_memcmp(mac.data(), bytes.data() + body.size(), MacBytes) != 0) {
        return fail(ErrorCode::BadMac, fmt::format("MAC mismatch in frame of {} bytes", bytes.size()));
    }
    BOOST_LEAF_AUTO(wire, Wire::decodeExact<WireFrame>(body));
    return std::move(wire.frame);
}

}

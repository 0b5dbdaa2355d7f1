#include <galenarock/peer.h>

#include <cstring>

#include <fmt/format.h>
#include <sodium.h>

#include "peer/wire_p.h"

namespace Galenarock
{

namespace
{
constexpr std::size_t macBytes = 32;
constexpr std::size_t maxNameBytes = 63;
constexpr std::uint8_t formatVersion = 1;
/// Byte order mark of cereal's portable archive (1: little-endian), then the magic number.
constexpr std::string_view prefix("\x01GRK1", 5);
/// Values of the magic's four bytes when read as a little-endian number.
constexpr std::uint32_t magicNumber = 0x314b5247;

struct WireFrame
{
    std::uint32_t magic = magicNumber;
    std::uint8_t version = formatVersion;
    PeerFrame frame;

    template<typename Archive> void serialize(Archive &archive)
    {
        archive(magic, version);
        Wire::text<std::uint8_t>(archive, frame.sender.name, maxNameBytes);
        archive(frame.sender.boot, frame.counter, frame.type);
        Wire::text<std::uint32_t>(archive, frame.payload, maxFrameBytes);
    }
};

using Mac = std::array<unsigned char, macBytes>;

Mac macOf(std::string_view bytes, const PeerKey &key)
{
    Mac mac;
    crypto_generichash(mac.data(), mac.size(), reinterpret_cast<const unsigned char *>(bytes.data()), bytes.size(),
                       key.data(), key.size());
    return mac;
}

Result<void> checkEnvelope(std::string_view bytes)
{
    if (bytes.size() < frameOverheadBytes) {
        return fail(ErrorCode::Truncated, fmt::format("frame of {} bytes", bytes.size()));
    }
    if (bytes.size() > maxFrameBytes) {
        return fail(ErrorCode::TooLarge, fmt::format("frame of {} bytes", bytes.size()));
    }
    if (bytes.substr(0, prefix.size()) != prefix) {
        return fail(ErrorCode::MalformedMessage, "magic number does not match");
    }
    const auto version = static_cast<std::uint8_t>(bytes[prefix.size()]);
    if (version != formatVersion) {
        return fail(ErrorCode::WrongVersion, fmt::format("frame version {}", version));
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
    if (frame.sender.name.size() > maxNameBytes || size > maxFrameBytes) {
        return fail(ErrorCode::TooLarge, fmt::format("frame of {} bytes, type {}", size, frame.type));
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
    BOOST_LEAF_CHECK(checkEnvelope(bytes));
    const auto body = bytes.substr(0, bytes.size() - macBytes);
    const auto mac = macOf(body, key);
    if (sodium_memcmp(mac.data(), bytes.data() + body.size(), macBytes) != 0) {
        return fail(ErrorCode::BadMac, fmt::format("frame of {} bytes", bytes.size()));
    }
    BOOST_LEAF_AUTO(wire, Wire::decode<WireFrame>(body));
    return std::move(wire.frame);
}

}

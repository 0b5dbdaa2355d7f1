/// Peer codec: no input may crash it, an accepted frame has exactly one encoding, and what is encoded is read back.

#include <cstdint>
#include <cstdlib>

#include <sodium.h>

#include <galenarock/peer.h>

using namespace Galenarock;

namespace
{
const PeerKey key = peerKeyFromSecret("fuzz");

std::optional<PeerFrame> decoded(std::string_view bytes)
{
    return tryOr([&]() -> Result<std::optional<PeerFrame>> { return decodeFrame(bytes, key); },
                 [](ErrorCode, const std::string &) { return std::optional<PeerFrame>(); });
}

std::string encoded(const PeerFrame &frame)
{
    return tryOr([&] { return encodeFrame(frame, key); }, [](ErrorCode, const std::string &) { return std::string(); });
}

void require(bool condition)
{
    if (!condition) {
        std::abort();
    }
}
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string bytes(reinterpret_cast<const char *>(data), size);
    decoded(bytes);

    // The same bytes as the body of a frame with a valid MAC reach the fields behind it.
    auto signedBytes = bytes;
    unsigned char mac[32];
    crypto_generichash(mac, sizeof mac, data, size, key.data(), key.size());
    signedBytes.append(reinterpret_cast<const char *>(mac), sizeof mac);
    const auto frame = decoded(signedBytes);
    require(!frame || encoded(*frame) == signedBytes);

    const PeerFrame own{{bytes.substr(0, size % 64), size}, size, static_cast<std::uint16_t>(size), bytes};
    const auto read = decoded(encoded(own));
    require(read && *read == own);
    return 0;
}

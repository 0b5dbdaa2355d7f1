#include "peerauth_p.h"

#include <sodium.h>

namespace Galenarock
{

namespace
{
constexpr std::size_t MacBytes = 16;
}

std::string peerAuth(const PeerKey &key, std::string_view text)
{
    unsigned char mac[MacBytes];
    crypto_generichash(mac, sizeof mac, reinterpret_cast<const unsigned char *>(text.data()), text.size(), key.data(),
                       key.size());
    char hex[2 * MacBytes + 1];
    return sodium_bin2hex(hex, sizeof hex, mac, sizeof mac);
}

bool isPeerAuth(const PeerKey &key, std::string_view text, std::string_view mac)
{
    const auto expected = peerAuth(key, text);
    return mac.size() == expected.size() && sodium_memcmp(mac.data(), expected.data(), expected.size()) == 0;
}

}

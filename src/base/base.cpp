#include <galenarock/base.h>

#include <charconv>
#include <ctime>

#include <fmt/format.h>
#include <sodium.h>
#include <xxhash.h>

namespace Galenarock
{

Instant MonotonicClock::now()
{
    // CLOCK_MONOTONIC stops while a VM is suspended; a lease that ran out in that time would look valid.
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return Instant(seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

WallMilliseconds wallClockNow()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<milliseconds>(now).count();
}

std::string toString(const Identity &identity)
{
    return fmt::format("{}#{}", identity.name, identity.boot);
}

std::optional<Identity> parseIdentity(std::string_view text)
{
    const auto hash = text.rfind('#');
    if (hash == std::string_view::npos || hash == 0) {
        return {};
    }
    std::uint64_t boot = 0;
    const auto digits = text.substr(hash + 1);
    const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), boot);
    if (ec != std::errc() || end != digits.data() + digits.size()) {
        return {};
    }
    return Identity{std::string(text.substr(0, hash)), boot};
}

KeyHash hashKey(std::string_view key)
{
    return XXH3_64bits(key.data(), key.size());
}

std::string toHex(std::uint64_t n)
{
    return fmt::format("{:016x}", n);
}

std::optional<std::uint64_t> parseHex(std::string_view text)
{
    std::uint64_t n = 0;
    if (text.empty() || text.size() > 16) {
        return {};
    }
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n, 16);
    if (ec != std::errc() || end != text.data() + text.size()) {
        return {};
    }
    return n;
}

std::uint64_t randomNonce()
{
    std::uint64_t n = 0;
    do {
        randombytes_buf(&n, sizeof n);
        n >>= 11; // 53 bits, exact in every JSON reader
    } while (n == 0);
    return n;
}

}

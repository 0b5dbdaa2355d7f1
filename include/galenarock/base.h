#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

/// Basic value types that all slices share.
namespace Galenarock
{

/// Clock of the decision cores: monotonic, and counts the time in which the VM was suspended. Cores never read it; the
/// threads pass the time in.
struct MonotonicClock
{
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<MonotonicClock, duration>;
    static constexpr bool is_steady = true;
    static time_point now();
};

using Duration = MonotonicClock::duration;
using Instant = MonotonicClock::time_point;

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Milliseconds since the Unix epoch on the wall clock; used only where callers' time stamps are compared.
using WallMilliseconds = std::int64_t;
WallMilliseconds wallClockNow();

/// A process on a VM: the VM's name and a boot number that is new at every start.
///
/// A restarted process is a new identity, so a promise made by the earlier process binds nobody else.
struct Identity
{
    std::string name;
    std::uint64_t boot = 0;

    friend bool operator==(const Identity &a, const Identity &b)
    {
        return a.boot == b.boot && a.name == b.name;
    }
    friend bool operator!=(const Identity &a, const Identity &b)
    {
        return !(a == b);
    }
    friend bool operator<(const Identity &a, const Identity &b)
    {
        return std::tie(a.name, a.boot) < std::tie(b.name, b.boot);
    }
};

/// Formats an identity as `name#boot`.
std::string toString(const Identity &identity);

/// Parses `name#boot`; empty on malformed text.
std::optional<Identity> parseIdentity(std::string_view text);

/// Position of a key in the 64-bit hash space (XXH3 with seed 0).
using KeyHash = std::uint64_t;
KeyHash hashKey(std::string_view key);

/// Sixteen lower-case hexadecimal digits.
std::string toHex(std::uint64_t n);

/// Reads 1 to 16 hexadecimal digits; empty on anything else.
std::optional<std::uint64_t> parseHex(std::string_view text);

/// A boot number or nonce from the system's random source; never zero.
std::uint64_t randomNonce();

}

#pragma once

#include <bitset>
#include <cstdint>
#include <map>

#include <galenarock/base.h>

namespace Galenarock
{

/// Drops frames that arrive a second time: duplicated datagrams and recorded frames that are sent again.
///
/// Per sender it remembers which of the last 1,024 counters were seen; older ones are refused. UDP and TCP frames
/// share the counter, and 1,024 frames are more than a daemon sends while a TCP frame is under way.
class ReplayWindow
{
public:
    /// True the first time that `counter` is seen from `sender`.
    bool accept(const Identity &sender, std::uint64_t counter)
    {
        if (m_senders.size() >= maxSenders && m_senders.count(sender) == 0) {
            m_senders.clear();
        }
        auto &seen = m_senders[sender];
        if (counter > seen.highest) {
            const auto shift = counter - seen.highest;
            seen.bits = shift >= windowSize ? Bits() : seen.bits << shift;
            seen.bits.set(0);
            seen.highest = counter;
            return true;
        }
        const auto age = seen.highest - counter;
        if (age >= windowSize || seen.bits.test(age)) {
            return false;
        }
        seen.bits.set(age);
        return true;
    }

private:
    static constexpr std::size_t windowSize = 1024;
    /// Bounds memory to about 5 MB; restarts bring new identities.
    static constexpr std::size_t maxSenders = 25'000;
    using Bits = std::bitset<windowSize>;
    struct Seen
    {
        std::uint64_t highest = 0;
        Bits bits;
    };
    std::map<Identity, Seen> m_senders;
};

}

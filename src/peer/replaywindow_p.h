#pragma once

#include <bitset>
#include <cstdint>
#include <map>

#include <galenarock/base.h>

namespace Galenarock
{

/// Replay protection: rejects duplicated datagrams and replayed frames.
///
/// Keeps for each sender which of the last 1,024 counters have been received; older counters are rejected. UDP and TCP
/// frames share the counter, and a daemon sends fewer than 1,024 frames while a TCP frame is in flight.
class ReplayWindow
{
public:
    /// True when `counter` has not been received from `sender` before and is within the window.
    bool accept(const Identity &sender, std::uint64_t counter)
    {
        if (m_senders.size() >= maxSenders && m_senders.count(sender) == 0) {
            m_senders.clear();
        }
        auto &window = m_senders[sender];
        if (counter > window.highest) {
            const auto shift = counter - window.highest;
            window.bits = shift >= windowSize ? Bits() : window.bits << shift;
            window.bits.set(0);
            window.highest = counter;
            return true;
        }
        const auto age = window.highest - counter;
        if (age >= windowSize || window.bits.test(age)) {
            return false;
        }
        window.bits.set(age);
        return true;
    }

private:
    static constexpr std::size_t windowSize = 1024;
    /// Bounds memory to about 5 MB: each restart of a daemon adds a new identity. All windows are reset at the limit.
    static constexpr std::size_t maxSenders = 25'000;
    using Bits = std::bitset<windowSize>;
    struct SenderWindow
    {
        std::uint64_t highest = 0;
        Bits bits;
    };
    std::map<Identity, SenderWindow> m_senders;
};

}

#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>

#include <galenarock/storeclient.h>

namespace Galenarock
{

/// Why a watch call without an answer counts as lost.
enum class WatchLoss : std::uint8_t
{
    /// Its wait has ended, or is longer than this daemon may wait without a verifier.
    Overdue,
    /// A verifier has heard of a change that the call would have reported.
    Behind,
};

inline const char *nameOf(WatchLoss loss)
{
    return loss == WatchLoss::Overdue ? "overdue" : "behind";
}

/// Decides how long the calls of one watch wait and when one without an answer is lost. Pure core.
///
/// No other call can prove that the store still holds a watch: a silence may be shorter than the time between any two
/// calls, and may take the answer of a watch that was sent before it. So a call either waits briefly, or a verifier
/// vouches for it (galenarock/watchverification.h).
class WatchTimer
{
public:
    /// How long a call may wait that is to wait for `wait`. `verified` is null for a kind that no verifier has stated.
    static Duration limitWait(const WatchTimerSettings &settings, Instant now, const VerifiedKind *verified,
                              Duration wait)
    {
        const bool isVerified = verified != nullptr && now < verified->until;
        return isVerified ? wait : std::min(wait, settings.unverifiedWait);
    }
    void sent(Instant now, Duration wait)
    {
        m_sentAt = now;
        m_wait = wait;
        m_isBehind = false;
    }
    void answered()
    {
        m_lostCalls = 0;
    }
    /// Whether the call in flight is lost; it is then to be sent again from `revision`, up to which this daemon knows
    /// the kind.
    std::optional<WatchLoss> findLoss(const WatchTimerSettings &settings, Instant now, const VerifiedKind *verified,
                                      std::uint64_t revision)
    {
        const auto age = now - m_sentAt;
        if (age >= limitWait(settings, now, verified, m_wait) + settings.answerTime) {
            return WatchLoss::Overdue;
        }
        if (verified == nullptr || verified->lastChange <= revision) {
            m_isBehind = false;
            return {};
        }
        if (!m_isBehind) {
            m_isBehind = true;
            m_behindSince = now;
        }
        const auto shortestAge = settings.shortestAge * (1 << std::min(m_lostCalls, MaxDoublings));
        if (now - m_behindSince < settings.grace || age < shortestAge) {
            return {};
        }
        ++m_lostCalls;
        return WatchLoss::Behind;
    }

private:
    /// Keeps the age below the time at which the call is overdue.
    static constexpr int MaxDoublings = 2;

    Instant m_sentAt{};
    Duration m_wait{};
    bool m_isBehind = false;
    Instant m_behindSince{};
    int m_lostCalls = 0;
};

}

#pragma once

#include <galenarock/base.h>

namespace Galenarock
{

/// Decides when the store is asked for a sign of life while a daemon waits for its changes. Pure core.
///
/// A watch that a silent store has taken looks like one without changes, and a daemon whose watches wait makes no other
/// call. Heartbeats tell the two apart.
class StoreHeartbeat
{
public:
    explicit StoreHeartbeat(Duration interval)
        : m_interval(interval)
    {
    }

    bool isDue(Instant now) const
    {
        return !m_isInFlight && now >= m_nextAt;
    }
    void sent(Instant now)
    {
        m_isInFlight = true;
        m_nextAt = now + m_interval;
    }
    /// Records the end of a heartbeat. Returns true when the store answers again after one without an answer: calls
    /// that wait since then may be lost.
    bool finished(bool isAnswered)
    {
        m_isInFlight = false;
        const bool isBack = isAnswered && m_isSilent;
        m_isSilent = !isAnswered;
        return isBack;
    }
    /// Another call has shown that the store answers again.
    void clearSilence()
    {
        m_isSilent = false;
    }
    /// The last heartbeat was not answered.
    bool isSilent() const
    {
        return m_isSilent;
    }

private:
    const Duration m_interval;
    bool m_isInFlight = false;
    bool m_isSilent = false;
    Instant m_nextAt;
};

}

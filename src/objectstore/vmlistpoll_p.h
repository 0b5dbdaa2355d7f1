#pragma once

#include <string>

#include <galenarock/control.h>

#include "objectstore/answers_p.h"

namespace Galenarock
{

/// Decides when the list of VMs is read, and keeps the last one. Does no I/O.
class VmListPoll
{
public:
    /// An interval of zero stops the polling.
    bool isDue(Instant now, Duration interval) const
    {
        return interval != Duration::zero() && !m_isInFlight && now >= m_nextAt;
    }
    void sent(Instant now, Duration interval)
    {
        m_nextAt = now + interval;
        m_isInFlight = true;
    }
    /// The call budget allowed no call.
    void postpone(Instant until)
    {
        m_nextAt = until;
    }
    void ended()
    {
        m_isInFlight = false;
    }
    /// An unchanged response is not parsed again: 10,000 entries take milliseconds, and the list rarely changes.
    Result<void> update(const std::string &response)
    {
        if (response == m_text) {
            return {};
        }
        BOOST_LEAF_ASSIGN(m_list, parseVmList(response));
        m_text = response;
        return {};
    }
    const VmList &list() const
    {
        return m_list;
    }

private:
    bool m_isInFlight = false;
    Instant m_nextAt;
    std::string m_text;
    VmList m_list;
};

}

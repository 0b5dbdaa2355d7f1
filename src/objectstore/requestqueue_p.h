#pragma once

#include <array>
#include <deque>
#include <functional>
#include <memory>

#include <galenarock/storeclient.h>

#include "objectstore/httpcall_p.h"

namespace Galenarock
{

/// Calls that wait for the call budget, in one queue for each priority. Does no I/O.
class RequestQueue
{
public:
    using Call = std::unique_ptr<HttpCall>;

    /// Returns the call if the queue of its priority is full, otherwise null. A read that is already queued is not
    /// queued twice.
    Call push(Call call, CallPriority priority, Instant now);
    /// Removes a call that has waited for longer than `timeout`; null if there is none.
    Call takeExpired(Instant now, Duration timeout);
    /// Passes the calls that the budget allows to `start`, higher priorities first.
    void takeAllowed(Instant now, CallBudget &budget, const std::function<void(Call)> &start);
    bool isEmpty() const;

private:
    struct PendingCall
    {
        Call call;
        Instant queuedAt;
    };
    std::array<std::deque<PendingCall>, 4> m_queues; ///< By CallPriority.
};

}

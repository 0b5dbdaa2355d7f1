#pragma once

#include <atomic>
#include <functional>
#include <string>

#include <galenarock/control.h>
#include <galenarock/metrics.h>

#include "callerthread_p.h"

namespace Galenarock
{

/// Sends grant calls to backend servers over HTTP, on a thread of its own, and returns their replies.
class ServerCaller
{
public:
    /// Called on this object's thread for each finished call; the event has no reply if the call failed.
    using ReplyHook = std::function<void(GrantReplyEvent)>;
    /// Returns additional header lines for a call, such as the MAC of the body in calls to other daemons.
    using HeaderHook = std::function<std::vector<std::string>(const std::string &service, const std::string &body)>;

    ServerCaller(Metrics &metrics, ReplyHook onReply, HeaderHook makeHeaders);

    /// False when the ring is full; the call is then dropped and counted.
    bool call(CallServerAction action);
    /// True if no call is queued or in flight.
    bool isIdle() const
    {
        return m_openCalls.load(std::memory_order_acquire) == 0;
    }
    void stop();

private:
    void start(UpstreamClient &upstream, CallServerAction action);
    void finish(const CallServerAction &action, Instant sentAt, const AttemptResult &result, const std::string &body);

    ReplyHook m_onReply;
    HeaderHook m_makeHeaders;
    Counter &m_failures;
    std::atomic<std::int64_t> m_openCalls{0};
    CallerThread m_thread; ///< Last member: the thread uses all others.
};

}

#pragma once

#include <atomic>
#include <functional>
#include <string>

#include <galenarock/control.h>
#include <galenarock/metrics.h>
#include <galenarock/ring.h>
#include <galenarock/thread.h>

#include "proxy/upstream_p.h"

namespace Galenarock
{

/// Thread that carries grant calls to backend servers over HTTP and returns their replies.
class ServerCaller
{
public:
    /// Called on this object's thread for each finished call.
    using ReplyHook = std::function<void(GrantReplyEvent)>;
    /// Adds header lines to a call, such as its MAC towards other daemons; gets service and body.
    using HeaderHook = std::function<std::vector<std::string>(const std::string &service, const std::string &body)>;

    ServerCaller(Metrics &metrics, ReplyHook onReply, HeaderHook makeHeaders);
    ~ServerCaller();

    /// False when the ring is full; the call is then dropped and counted.
    bool call(CallServerAction action);
    /// True when every accepted call was sent and answered.
    bool isIdle() const
    {
        return m_open.load(std::memory_order_acquire) == 0;
    }
    void stop();

private:
    void loop();
    void start(CallServerAction action);
    void finish(const CallServerAction &action, Instant sentAt, const AttemptResult &result, const std::string &body);

    ReplyHook m_onReply;
    HeaderHook m_makeHeaders;
    Counter &m_failures;
    Ring<CallServerAction> m_ring;
    std::atomic<std::int64_t> m_open{0};
    std::atomic<bool> m_stopWanted{false};
    int m_epollFd;
    int m_wakeFd;
    UpstreamClient m_upstream;
    Thread m_thread;
};

}

#pragma once

#include <functional>
#include <string>
#include <unordered_set>

#include <galenarock/gateway.h>
#include <galenarock/metrics.h>

#include "daemon/callerthread_p.h"

namespace Galenarock
{

/// Sends the lease calls of lease controllers to servers and returns exactly one reply for each.
class LeaseCaller
{
public:
    /// Called on this object's thread.
    using ReplyHook = std::function<void(LeaseReplyEvent)>;

    LeaseCaller(const GatewayDialect &dialect, Metrics &metrics, ReplyHook onReply);

    void call(const LeaseCall &call);
    void stop();

private:
    struct PendingCall;

    void start(UpstreamClient &upstream, const LeaseCall &call);
    void finish(PendingCall &pending, const AttemptResult &result);

    const GatewayDialect &m_dialect;
    Metrics &m_metrics;
    ReplyHook m_onReply;
    /// Addresses to which a connection was opened before.
    std::unordered_set<std::string> m_connected;
    CallerThread m_thread; ///< Last member: the thread uses all others.
};

}

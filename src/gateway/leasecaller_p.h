#pragma once

#include <functional>
#include <string>
#include <unordered_map>

#include <galenarock/gateway.h>
#include <galenarock/metrics.h>
#include <galenarock/sharedserverreach.h>

#include "daemon/callerthread_p.h"

namespace Galenarock
{

/// Sends the lease calls of lease controllers to servers and returns exactly one reply for each.
class LeaseCaller
{
public:
    /// Called on this object's thread.
    using ReplyHook = std::function<void(LeaseReplyEvent)>;

    LeaseCaller(const GatewayDialect &dialect, Metrics &metrics, SharedServerReach &reach, ReplyHook onReply);

    void call(const LeaseCall &call);
    void stop();

private:
    struct PendingCall;

    void start(UpstreamClient &upstream, const LeaseCall &call);
    /// Whether the call may go over the chosen connection.
    bool mayGoOver(PendingCall &pending, bool isNewConnection);
    void finish(PendingCall &pending, const AttemptResult &result);

    const GatewayDialect &m_dialect;
    Metrics &m_metrics;
    SharedServerReach &m_reach;
    ReplyHook m_onReply;
    /// Number of the latest connection to each address over which a call was sent.
    std::unordered_map<std::string, std::uint64_t> m_connections;
    CallerThread m_thread; ///< Last member: the thread uses all others.
};

}

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

    using Pending = std::shared_ptr<PendingCall>;

    template<typename Step> void runOrReport(const Pending &pending, const Step &step);
    void start(UpstreamClient &upstream, const Pending &pending);
    static AttemptRequest requestFor(const LeaseCall &call, const LeaseHttpCall &http);
    void send(UpstreamClient &upstream, const Pending &pending);
    /// Whether the call may go over the chosen connection.
    bool mayGoOver(PendingCall &pending, bool isNewConnection);
    /// Opens a connection and sends a call over it that changes nothing at the server; the grant follows the reply.
    void checkNewConnection(UpstreamClient &upstream, const Pending &pending);
    static void takeHead(PendingCall &pending, unsigned status, std::vector<HeaderField> headers);
    void finishCheck(UpstreamClient &upstream, const Pending &pending, const AttemptResult &result);
    void finish(PendingCall &pending, const AttemptResult &result);
    void report(PendingCall &pending);
    bool isTooLate(PendingCall &pending);

    const GatewayDialect &m_dialect;
    Metrics &m_metrics;
    SharedServerReach &m_reach;
    ReplyHook m_onReply;
    /// Connections to one address.
    struct Connections
    {
        /// Number of the latest one over which a grant, or the check before it, was sent.
        std::uint64_t latest = 0;
        /// Number of kept ones that no call uses now; the server may have closed some of them.
        std::size_t idle = 0;
    };
    std::unordered_map<std::string, Connections> m_connections;
    CallerThread m_thread; ///< Last member: the thread uses all others.
};

}

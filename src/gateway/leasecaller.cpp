#include "leasecaller_p.h"

#include <fmt/format.h>

#include "base/sockets_p.h"
#include "leases/events_p.h"
#include "proxy/headerfields_p.h"

namespace Galenarock
{

namespace
{
/// Servers answer a grant at once; the short timeout lets the leader detect an unresponsive server early.
constexpr std::int64_t GrantTimeoutMs = 250;
static_assert(milliseconds(GrantTimeoutMs) <= DiscardAfter, "LeaseSettings::callLifetime assumes this");
constexpr std::int64_t ConnectTimeoutMs = 250;
/// Servers answer a release when the requests on its keys have ended; when this timeout is reached, the grant has
/// expired.
constexpr std::int64_t ReleaseTimeoutMs = 3'000;

/// For the log: what a call asks of which server.
std::string describe(const LeaseCall &call)
{
    const auto *command = call.command == LeaseCommand::Grant ? "grant" : "release";
    return fmt::format("{} {} {}-{} with fencing token {} to {} at {}", call.service, command, toHex(call.range.first),
                       toHex(call.range.last), call.fencingToken, toString(call.server), call.address);
}
}

struct LeaseCaller::PendingCall
{
    LeaseReplyEvent reply;
    LeaseHttpCall http;
    unsigned status = 0;
    std::vector<HeaderField> headers;
};

LeaseCaller::LeaseCaller(const GatewayDialect &dialect, Metrics &metrics, SharedServerReach &reach, ReplyHook onReply)
    : m_dialect(dialect)
    , m_metrics(metrics)
    , m_reach(reach)
    , m_onReply(std::move(onReply))
    , m_thread("orders")
{
}

void LeaseCaller::stop()
{
    m_thread.stop();
}

void LeaseCaller::call(const LeaseCall &call)
{
    const bool isPosted = m_thread.post([this, call](UpstreamClient &upstream) { start(upstream, call); });
    if (!isPosted) {
        m_metrics.counter("galenarock_orders_total", "result=\"ring-full\"").add();
        m_onReply({call, MonotonicClock::now(), LeaseCallStatus::Late, 0, {}, "too many lease calls are queued"});
    }
}

void LeaseCaller::start(UpstreamClient &upstream, const LeaseCall &call)
{
    const auto pending = std::make_shared<PendingCall>();
    pending->reply = {call, MonotonicClock::now(), LeaseCallStatus::NotSent, {}};
    if (pending->reply.sentAt > call.sendBefore) {
        m_metrics.counter("galenarock_orders_total", "result=\"too-late\"").add();
        pending->reply.status = LeaseCallStatus::Late;
        pending->reply.detail = "the call waited too long in this process";
        m_onReply(pending->reply);
        return;
    }
    if (call.connection != 0 && call.connection != m_connections[call.address]) {
        pending->reply.status = LeaseCallStatus::Reconnected;
        finish(*pending, {});
        return;
    }
    pending->http = m_dialect.encodeLeaseCall(call);
    AttemptRequest request;
    request.method = pending->http.method;
    request.url = "http://" + call.address + pending->http.path;
    request.headerLines = pending->http.headerLines;
    request.headerLines.emplace_back("Expect:");
    request.body = pending->http.body.data();
    request.bodySize = static_cast<std::int64_t>(pending->http.body.size());
    request.connectTimeoutMs = ConnectTimeoutMs;
    request.discardsUnsent = true;
    // The range goes to another server when a release is answered. An extra response to an earlier call can arrive on a
    // kept connection, and responses do not name their call.
    const bool isRelease = call.command == LeaseCommand::Release;
    request.timeoutMs = isRelease ? ReleaseTimeoutMs : GrantTimeoutMs;
    request.needsNewConnection = isRelease;
    request.keepsConnection = !isRelease;
    AttemptHooks hooks;
    hooks.beforeSend = [this, pending](bool isNewConnection) {
        return mayGoOver(*pending, isNewConnection);
    };
    hooks.onHead = [pending](unsigned status, std::vector<HeaderField> headers) {
        pending->status = status;
        pending->headers = std::move(headers);
        return true;
    };
    hooks.onData = [](const char *, std::size_t) {
        return DataResult::Taken;
    };
    hooks.onDone = [this, pending](const AttemptResult &result) {
        finish(*pending, result);
    };
    upstream.start(std::move(request), std::move(hooks));
}

/// Connections are counted because a connection reaches the same process for as long as it lasts, while the address may
/// be that of a later process. An unused connection that is closed again is not counted, nor is that of a release, over
/// which no grant goes.
bool LeaseCaller::mayGoOver(PendingCall &pending, bool isNewConnection)
{
    auto &reply = pending.reply;
    auto &connection = m_connections[reply.call.address];
    reply.sentAt = MonotonicClock::now();
    if (reply.sentAt > reply.call.sendBefore) {
        reply.status = LeaseCallStatus::Late;
        return false;
    }
    if (isNewConnection && reply.call.connection != 0) {
        logEvent(LeaseEvents::CallReconnected, "{} needs a new connection and a new token", describe(reply.call));
        reply.status = LeaseCallStatus::Reconnected;
        return false;
    }
    connection += isNewConnection && reply.call.command == LeaseCommand::Grant ? 1 : 0;
    reply.connection = connection;
    return true;
}

void LeaseCaller::finish(PendingCall &pending, const AttemptResult &result)
{
    auto &reply = pending.reply;
    reply.endedAt = MonotonicClock::now();
    if (result.complete) {
        m_reach.answered(MonotonicClock::now());
        m_dialect.decodeLeaseReply(
            pending.status, [&](const char *name) { return fieldOf(pending.headers, name); }, reply);
        if (reply.status != LeaseCallStatus::Accepted) {
            reply.detail = fmt::format("HTTP status {}", pending.status);
        }
    } else if (reply.status == LeaseCallStatus::NotSent) {
        reply.detail = fmt::format("{} on {} connection", result.error, result.isNewConnection ? "a new" : "a kept");
        reply.status = result.sent ? LeaseCallStatus::Unknown : LeaseCallStatus::NotSent;
        m_reach.failed(MonotonicClock::now(), reply.call.server);
        const auto age = duration_cast<milliseconds>(MonotonicClock::now() - reply.sentAt).count();
        logEvent(LeaseEvents::CallUnanswered, "{}, {} after {} ms: {}", describe(reply.call),
                 result.sent ? "given up" : "not sent", age, reply.detail);
    }
    constexpr const char *results[] = {"accepted", "outdated", "refused", "not-sent", "unknown", "late", "reconnected"};
    m_metrics
        .counter("galenarock_orders_total",
                 fmt::format("result=\"{}\"", results[static_cast<std::size_t>(reply.status)]))
        .add();
    m_onReply(std::move(reply));
}

}

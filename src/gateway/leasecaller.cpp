#include "leasecaller_p.h"

#include <fmt/format.h>

#include "base/guard_p.h"
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
/// Longer than for a grant, since the check changes nothing, and shorter than the rest of the holder's last grant.
constexpr std::int64_t CheckTimeoutMs = 750;
/// Bodies of replies are not used; longer ones come from a faulty server.
constexpr std::size_t MaxReplyBytes = 4'096;
/// A copy of any other reply may follow on its connection, and replies do not name their call.
constexpr unsigned AcceptedStatus = 200;
/// Servers answer a release when the requests on its keys have ended; when this timeout is reached, the grant has
/// expired.
constexpr std::int64_t ReleaseTimeoutMs = 3'000;

std::function<DataResult(const char *, std::size_t)> discardBody()
{
    return [received = std::size_t(0)](const char *, std::size_t n) mutable {
        received += n;
        return received > MaxReplyBytes ? DataResult::Abort : DataResult::Taken;
    };
}

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
    /// The call found a new connection and waits until that is checked.
    bool needsCheck = false;
    /// The attempt that is under way: the call itself, or the check before it.
    Attempt *attempt = nullptr;
    /// The connection is not used after the reply.
    bool closesConnection = false;
    LeaseHttpCall check;
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
    const bool isPosted = m_thread.post([this, call](UpstreamClient &upstream) {
        const auto pending = std::make_shared<PendingCall>();
        pending->reply = {call, MonotonicClock::now(), LeaseCallStatus::NotSent, {}};
        runOrReport(pending, [&] { start(upstream, pending); });
    });
    if (!isPosted) {
        m_metrics.counter("galenarock_orders_total", "result=\"ring-full\"").add();
        m_onReply({call, MonotonicClock::now(), LeaseCallStatus::Late, 0, {}, "too many lease calls are queued"});
    }
}

bool LeaseCaller::isTooLate(PendingCall &pending)
{
    auto &reply = pending.reply;
    reply.sentAt = MonotonicClock::now();
    if (reply.sentAt <= reply.call.sendBefore) {
        return false;
    }
    reply.status = LeaseCallStatus::Late;
    return true;
}

/// Runs a step of the call. The call must end even if an exception ends the step, or its range would wait for ever.
template<typename Step> void LeaseCaller::runOrReport(const Pending &pending, const Step &step)
{
    if (runGuarded("lease call", step)) {
        return;
    }
    // Whether the step has sent the call is not known.
    pending->reply.status = LeaseCallStatus::Unknown;
    pending->reply.detail = "the call could not be carried out";
    runGuarded("end of a lease call", [&] { report(*pending); });
}

void LeaseCaller::start(UpstreamClient &upstream, const Pending &pending)
{
    const auto &call = pending->reply.call;
    if (isTooLate(*pending)) {
        pending->reply.detail = "the call waited too long in this process";
        report(*pending);
        return;
    }
    const auto &connections = m_connections[call.address];
    if (call.connection != 0 && call.connection != connections.latest) {
        pending->reply.status = LeaseCallStatus::Reconnected;
        report(*pending);
        return;
    }
    pending->http = m_dialect.encodeLeaseCall(call);
    if (call.unheldRange && call.connection == 0 && connections.idle == 0) {
        checkNewConnection(upstream, pending);
        return;
    }
    send(upstream, pending);
}

AttemptRequest LeaseCaller::requestFor(const LeaseCall &call, const LeaseHttpCall &http)
{
    AttemptRequest request;
    request.method = http.method;
    request.url = "http://" + call.address + http.path;
    request.headerLines = http.headerLines;
    request.headerLines.emplace_back("Expect:");
    request.body = http.body.data();
    request.bodySize = static_cast<std::int64_t>(http.body.size());
    request.connectTimeoutMs = ConnectTimeoutMs;
    request.discardsUnsent = true;
    return request;
}

void LeaseCaller::send(UpstreamClient &upstream, const Pending &pending)
{
    const auto &call = pending->reply.call;
    auto request = requestFor(call, pending->http);
    // The range goes to another server when a release is answered. An extra response to an earlier call can arrive on a
    // kept connection, and responses do not name their call.
    const bool isRelease = call.command == LeaseCommand::Release;
    request.timeoutMs = isRelease ? ReleaseTimeoutMs : GrantTimeoutMs;
    request.needsNewConnection = isRelease;
    request.keepsConnection = !isRelease;
    auto &idle = m_connections[call.address].idle;
    idle -= !isRelease && idle > 0 ? 1 : 0;
    AttemptHooks hooks;
    hooks.beforeSend = [this, pending](bool isNewConnection) {
        return mayGoOver(*pending, isNewConnection);
    };
    hooks.onHead = [pending](unsigned status, std::vector<HeaderField> headers) {
        takeHead(*pending, status, std::move(headers));
        return true;
    };
    hooks.onData = discardBody();
    hooks.onDone = [this, &upstream, pending](const AttemptResult &result) {
        runOrReport(pending, [&] {
            if (std::exchange(pending->needsCheck, false)) {
                checkNewConnection(upstream, pending);
                return;
            }
            finish(*pending, result);
        });
    };
    pending->attempt = upstream.start(std::move(request), std::move(hooks));
}

/// Connections are counted because a connection reaches the same process for as long as it lasts, while the address may
/// be that of a later process. An unused connection that is closed again is not counted, nor is that of a release, over
/// which no grant goes.
bool LeaseCaller::mayGoOver(PendingCall &pending, bool isNewConnection)
{
    auto &reply = pending.reply;
    auto &connections = m_connections[reply.call.address];
    if (isTooLate(pending)) {
        return false;
    }
    if (!isNewConnection || reply.call.command == LeaseCommand::Release) {
        reply.connection = connections.latest;
        return true;
    }
    connections.idle = 0;
    if (reply.call.connection != 0) {
        logEvent(LeaseEvents::CallReconnected, "{} needs a new connection and a new token", describe(reply.call));
        reply.status = LeaseCallStatus::Reconnected;
        return false;
    }
    if (reply.call.unheldRange) {
        pending.needsCheck = true;
        return false;
    }
    reply.connection = ++connections.latest;
    return true;
}

/// A busy server may read the first call on a connection long after it has arrived, and then counts the grant from that
/// time. If a cut keeps the end of the connection from the server meanwhile, the time at which the call was given up
/// says nothing about the end of the grant. So a grant goes only over a connection on which the server has answered.
void LeaseCaller::checkNewConnection(UpstreamClient &upstream, const Pending &pending)
{
    auto check = pending->reply.call;
    check.command = LeaseCommand::Release;
    check.range = *check.unheldRange;
    pending->check = m_dialect.encodeLeaseCall(check);
    auto request = requestFor(check, pending->check);
    request.timeoutMs = CheckTimeoutMs;
    request.needsNewConnection = true;
    AttemptHooks hooks;
    hooks.beforeSend = [this, pending](bool) {
        ++m_connections[pending->reply.call.address].latest;
        return true;
    };
    hooks.onHead = [pending](unsigned status, std::vector<HeaderField> headers) {
        takeHead(*pending, status, std::move(headers));
        return true;
    };
    hooks.onData = discardBody();
    hooks.onDone = [this, &upstream, pending](const AttemptResult &result) {
        runOrReport(pending, [&] { finishCheck(upstream, pending, result); });
    };
    pending->attempt = upstream.start(std::move(request), std::move(hooks));
}

void LeaseCaller::takeHead(PendingCall &pending, unsigned status, std::vector<HeaderField> headers)
{
    pending.status = status;
    pending.headers = std::move(headers);
    if (status != AcceptedStatus) {
        pending.closesConnection = true;
        UpstreamClient::closeAfterResponse(pending.attempt);
    }
}

void LeaseCaller::finishCheck(UpstreamClient &upstream, const Pending &pending, const AttemptResult &result)
{
    auto &reply = pending->reply;
    if (!result.complete) {
        AttemptResult notSent = result;
        notSent.sent = false;
        finish(*pending, notSent);
        return;
    }
    LeaseReplyEvent checked = reply;
    m_dialect.decodeLeaseReply(
        pending->status, [&](const char *name) { return fieldOf(pending->headers, name); }, checked);
    reply.isServerLeaving = checked.isServerLeaving;
    if (checked.status != LeaseCallStatus::Accepted) {
        reply.status = LeaseCallStatus::Refused;
        reply.detail = fmt::format("HTTP status {} to the first call on a new connection", pending->status);
        report(*pending);
        return;
    }
    ++m_connections[reply.call.address].idle;
    m_reach.answered(MonotonicClock::now());
    if (isTooLate(*pending)) {
        reply.detail = "the server read the first call on a new connection late";
        report(*pending);
        return;
    }
    send(upstream, pending);
}

void LeaseCaller::finish(PendingCall &pending, const AttemptResult &result)
{
    auto &reply = pending.reply;
    if (result.complete) {
        const bool isKept = reply.call.command == LeaseCommand::Grant && !pending.closesConnection;
        m_connections[reply.call.address].idle += isKept ? 1 : 0;
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
    report(pending);
}

void LeaseCaller::report(PendingCall &pending)
{
    auto &reply = pending.reply;
    reply.endedAt = MonotonicClock::now();
    constexpr const char *results[] = {"accepted", "outdated", "refused", "not-sent", "unknown", "late", "reconnected"};
    m_metrics
        .counter("galenarock_orders_total",
                 fmt::format("result=\"{}\"", results[static_cast<std::size_t>(reply.status)]))
        .add();
    m_onReply(std::move(reply));
}

}

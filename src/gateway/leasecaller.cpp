#include "leasecaller_p.h"

#include "proxy/headerfields_p.h"

namespace Galenarock
{

namespace
{
/// A grant is answered at once; the leader must learn early that a server is silent.
constexpr std::int64_t GrantTimeoutMs = 250;
constexpr std::int64_t ConnectTimeoutMs = 250;
/// A release is answered when the requests on its keys have ended; by then the hold has run out.
constexpr std::int64_t ReleaseTimeoutMs = 3'000;
}

struct LeaseCaller::OpenCall
{
    LeaseReplyEvent reply;
    LeaseHttpCall http;
    unsigned status = 0;
    std::vector<HeaderField> headers;
};

LeaseCaller::LeaseCaller(const GatewayDialect &dialect, Metrics &metrics, ReplyHook onReply)
    : m_dialect(dialect)
    , m_metrics(metrics)
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
        m_onReply({call, MonotonicClock::now(), LeaseCallStatus::NotSent, {}});
    }
}

void LeaseCaller::start(UpstreamClient &upstream, const LeaseCall &call)
{
    const auto open = std::make_shared<OpenCall>();
    open->reply = {call, MonotonicClock::now(), LeaseCallStatus::NotSent, {}};
    if (open->reply.sentAt > call.sendBefore) {
        m_metrics.counter("galenarock_orders_total", "result=\"too-late\"").add();
        m_onReply(open->reply);
        return;
    }
    open->http = m_dialect.encodeLeaseCall(call);
    AttemptRequest request;
    request.method = open->http.method;
    request.url = "http://" + call.address + open->http.path;
    request.headerLines = open->http.headerLines;
    request.headerLines.emplace_back("Expect:");
    request.body = open->http.body.data();
    request.bodySize = static_cast<std::int64_t>(open->http.body.size());
    request.timeoutMs = call.command == LeaseCommand::Release ? ReleaseTimeoutMs : GrantTimeoutMs;
    request.connectTimeoutMs = ConnectTimeoutMs;
    AttemptHooks hooks;
    hooks.onHead = [open](unsigned status, std::vector<HeaderField> headers) {
        open->status = status;
        open->headers = std::move(headers);
        return true;
    };
    hooks.onData = [](const char *, std::size_t) {
        return true;
    };
    hooks.onDone = [this, open](const AttemptResult &result) {
        finish(*open, result);
    };
    upstream.start(std::move(request), std::move(hooks));
}

void LeaseCaller::finish(OpenCall &open, const AttemptResult &result)
{
    auto &reply = open.reply;
    if (result.complete) {
        m_dialect.decodeLeaseReply(
            open.status, [&](const char *name) { return fieldOf(open.headers, name); }, reply);
    } else {
        reply.status = result.sent ? LeaseCallStatus::Unknown : LeaseCallStatus::NotSent;
    }
    constexpr const char *results[] = {"accepted", "outdated", "refused", "not-sent", "unknown"};
    m_metrics
        .counter("galenarock_orders_total",
                 fmt::format("result=\"{}\"", results[static_cast<std::size_t>(reply.status)]))
        .add();
    m_onReply(std::move(reply));
}

}

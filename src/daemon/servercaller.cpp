#include "servercaller_p.h"

#include <memory>

#include <galenarock/jsontext.h>

#include "base/guard_p.h"

namespace Galenarock
{

namespace
{
/// Below half of the shortest term, so that a lost poll can be repeated within the term.
constexpr std::int64_t PollTimeoutMs = 600;
/// A server answers a revoke only after its requests in flight have finished.
constexpr std::int64_t RevokeTimeoutMs = 60'000;
constexpr std::size_t MaxReplyBytes = 1 << 20;

/// State of a call until its reply has arrived.
struct OpenCall
{
    CallServerAction action;
    std::string body;
    std::string reply;
    Instant sentAt;
};
}

ServerCaller::ServerCaller(Metrics &metrics, ReplyHook onReply, HeaderHook makeHeaders)
    : m_onReply(std::move(onReply))
    , m_makeHeaders(std::move(makeHeaders))
    , m_failures(metrics.counter("galenarock_grant_call_failures_total"))
    , m_thread("grants")
{
}

bool ServerCaller::call(CallServerAction action)
{
    m_openCalls.fetch_add(1, std::memory_order_acq_rel);
    const bool isPosted = m_thread.post([this, action = std::move(action)](UpstreamClient &upstream) {
        const auto sentAt = MonotonicClock::now();
        if (!runGuarded("grant call", [&] { start(upstream, action); })) {
            finish(action, sentAt, {}, {});
        }
    });
    if (!isPosted) {
        m_openCalls.fetch_sub(1, std::memory_order_acq_rel);
        m_failures.add();
    }
    return isPosted;
}

void ServerCaller::stop()
{
    m_thread.stop();
}

void ServerCaller::start(UpstreamClient &upstream, CallServerAction action)
{
    const auto call = std::make_shared<OpenCall>();
    call->action = std::move(action);
    call->body = jsonText(toJson(call->action.request));
    call->sentAt = MonotonicClock::now();
    AttemptRequest request;
    request.method = "POST";
    request.url = "http://" + call->action.address + "/grants";
    request.headerLines = m_makeHeaders(call->action.request.service, call->body);
    request.headerLines.emplace_back("Content-Type: application/json");
    request.headerLines.emplace_back("Expect:");
    request.body = call->body.data();
    request.bodySize = static_cast<std::int64_t>(call->body.size());
    request.timeoutMs = call->action.request.action == GrantAction::Revoke ? RevokeTimeoutMs : PollTimeoutMs;
    AttemptHooks hooks;
    hooks.onHead = [](unsigned, std::vector<HeaderField>) {
        return true;
    };
    hooks.onData = [call](const char *bytes, std::size_t n) {
        call->reply.append(bytes, n);
        return call->reply.size() > MaxReplyBytes ? DataResult::Abort : DataResult::Taken;
    };
    hooks.onDone = [this, call](const AttemptResult &result) {
        finish(call->action, call->sentAt, result, call->reply);
    };
    upstream.start(std::move(request), std::move(hooks));
}

void ServerCaller::finish(const CallServerAction &action, Instant sentAt, const AttemptResult &result,
                          const std::string &body)
{
    GrantReplyEvent event{action.server, action.request, sentAt, {}};
    if (result.complete && result.status == 200) {
        const auto json = nlohmann::json::parse(body, nullptr, false);
        event.reply = tryOr([&]() -> Result<std::optional<GrantReply>> { return grantReplyFromJson(json); },
                            [](ErrorCode, const std::string &) { return std::optional<GrantReply>(); });
    }
    if (!event.reply) {
        m_failures.add();
    }
    m_onReply(std::move(event));
    m_openCalls.fetch_sub(1, std::memory_order_acq_rel);
}

}

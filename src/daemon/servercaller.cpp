#include "servercaller_p.h"

#include <array>
#include <memory>

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

namespace Galenarock
{

namespace
{
constexpr std::size_t RingCapacity = 4'096;
constexpr std::uint64_t UpstreamTag = 1ULL << 32;
constexpr std::int64_t PollTimeoutMs =
    600; // below half the shortest term, so that a lost poll leaves time for one more
constexpr std::int64_t RevokeTimeoutMs = 60'000; // a revoke answers only after the requests in flight
constexpr long MaxKeptConnections = 256;
constexpr int LongestWaitMs = 50;

/// What one call needs until its reply arrived.
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
    , m_ring(RingCapacity)
    , m_epollFd(epoll_create1(EPOLL_CLOEXEC))
    , m_wakeFd(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
    , m_upstream(m_epollFd, UpstreamTag)
{
    epoll_event event{};
    event.events = EPOLLIN;
    epoll_ctl(m_epollFd, EPOLL_CTL_ADD, m_wakeFd, &event);
    m_upstream.setMaxConnections(MaxKeptConnections);
    m_thread = Thread("grants", [this] { loop(); });
}

ServerCaller::~ServerCaller()
{
    stop();
    close(m_wakeFd);
    close(m_epollFd);
}

bool ServerCaller::call(CallServerAction action)
{
    m_open.fetch_add(1, std::memory_order_acq_rel);
    if (!m_ring.tryPush(std::move(action))) {
        m_open.fetch_sub(1, std::memory_order_acq_rel);
        m_failures.add();
        return false;
    }
    const std::uint64_t one = 1;
    static_cast<void>(!write(m_wakeFd, &one, sizeof one));
    return true;
}

void ServerCaller::stop()
{
    m_stopWanted.store(true);
    const std::uint64_t one = 1;
    static_cast<void>(!write(m_wakeFd, &one, sizeof one));
    m_thread.join();
}

void ServerCaller::loop()
{
    std::array<epoll_event, 64> events;
    while (!m_stopWanted.load(std::memory_order_relaxed)) {
        const int upstreamWait = m_upstream.timeoutMs(MonotonicClock::now());
        const int waitMs = upstreamWait < 0 ? LongestWaitMs : std::min(upstreamWait, LongestWaitMs);
        const int n = epoll_wait(m_epollFd, events.data(), static_cast<int>(events.size()), waitMs);
        for (int it = 0; it < n; ++it) {
            const auto &event = events[static_cast<std::size_t>(it)];
            if (event.data.u64 & UpstreamTag) {
                m_upstream.handleSocket(static_cast<int>(event.data.u64 & 0xffffffffULL), event.events);
                continue;
            }
            std::uint64_t count = 0;
            static_cast<void>(!read(m_wakeFd, &count, sizeof count));
        }
        CallServerAction action;
        while (m_ring.tryPop(action)) {
            start(std::move(action));
        }
        m_upstream.run(MonotonicClock::now());
    }
}

void ServerCaller::start(CallServerAction action)
{
    const auto call = std::make_shared<OpenCall>();
    call->action = std::move(action);
    call->body = toJson(call->action.request).dump();
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
    };
    hooks.onData = [call](const char *bytes, std::size_t n) {
        call->reply.append(bytes, n);
        return true;
    };
    hooks.onDone = [this, call](const AttemptResult &result) {
        finish(call->action, call->sentAt, result, call->reply);
    };
    m_upstream.start(std::move(request), std::move(hooks));
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
    m_open.fetch_sub(1, std::memory_order_acq_rel);
}

}

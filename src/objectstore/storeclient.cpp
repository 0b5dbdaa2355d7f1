#include "objectstore/storeclient_p.h"

#include <utility>

#include <fmt/format.h>

#include "base/guard_p.h"
#include "objectstore/events_p.h"

/// The thread of the store client: takes requests, starts calls and passes on their ends.
namespace Galenarock
{

namespace
{
constexpr int IdlePollMs = 100;
}

StoreClient::Private::Private(StoreClientSettings settings, Metrics &metrics, Handler handler)
    : m_vmListInterval(settings.vmListInterval.count())
    , m_settings(std::move(settings))
    , m_metrics(metrics)
    , m_handler(std::move(handler))
    , m_delivery(m_handler)
    , m_multi(curl_multi_init())
    , m_ring(m_settings.ringCapacity)
    , m_budget(m_settings.budget)
    , m_heartbeat(m_settings.heartbeatInterval)
{
    curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, 8L);
    m_thread = Thread("platform", [this] { run(); });
}

StoreClient::Private::~Private()
{
    m_stop.store(true);
    wake();
    m_thread.join();
    for (const auto &[easy, call] : m_calls) {
        curl_multi_remove_handle(m_multi, easy);
    }
    m_calls.clear();
    curl_multi_cleanup(m_multi);
}

bool StoreClient::Private::submit(StoreRequest request)
{
    {
        const std::lock_guard lock(m_submitMutex);
        if (!m_ring.tryPush(std::make_shared<StoreRequest>(std::move(request)))) {
            m_metrics.counter("galenarock_platform_dropped_total", "reason=\"ring-full\"").add();
            return false;
        }
    }
    wake();
    return true;
}

void StoreClient::Private::run()
{
    while (!m_stop.load()) {
        const auto now = MonotonicClock::now();
        startCalls(now);
        int running = 0;
        curl_multi_perform(m_multi, &running);
        finishCalls();
        curl_multi_poll(m_multi, nullptr, 0, m_queue.isEmpty() ? IdlePollMs : BudgetRetryMs, nullptr);
    }
}

/// A call that could not be started is not a probe under way.
void StoreClient::Private::startCalls(Instant now)
{
    const bool areRequestsStarted = runGuarded("requests to the platform", [&] { startRequests(now); });
    const bool areWatchesStarted = runGuarded("watches of the platform", [&] { startWaitingCalls(now); });
    if (!areRequestsStarted || !areWatchesStarted) {
        m_budget.abandon();
    }
}

void StoreClient::Private::startRequests(Instant now)
{
    m_budget.setDaemonCount(m_daemonCount.load());
    repeatEraIfLost();
    takeRequests(now);
    while (const auto expired = m_queue.takeExpired(now, m_settings.queueTimeout)) {
        dropUnsentCall(*expired);
    }
    startQueued(now);
}

void StoreClient::Private::startWaitingCalls(Instant now)
{
    applyRequestedWatches(now);
    applyFeed(now);
    resendLostWatches(now);
    startWatches(now);
    startVmList(now);
    startHeartbeat(now);
}

void StoreClient::Private::takeRequests(Instant now)
{
    std::shared_ptr<StoreRequest> request;
    while (m_ring.tryPop(request)) {
        if (!runGuarded("request to the platform", [&] { takeRequest(now, *request); })) {
            reportUnencodable(*request);
        }
    }
}

void StoreClient::Private::takeRequest(Instant now, const StoreRequest &request)
{
    const auto priority = std::visit([](const auto &it) { return it.priority; }, request);
    if (const auto refused = m_queue.push(makeCall(m_settings, request), priority, now)) {
        dropUnsentCall(*refused);
    }
}

/// A writer waits for the outcome of each write, also of one that the dialect could not express.
void StoreClient::Private::reportUnencodable(const StoreRequest &request)
{
    if (const auto *write = std::get_if<WriteObjectAction>(&request)) {
        m_handler(WriteResultEvent{write->key, write->writer, MonotonicClock::now(), WriteStatus::NotSent, {}});
    }
}

void StoreClient::Private::startQueued(Instant now)
{
    m_queue.takeAllowed(now, m_budget, [this](auto call) { start(std::move(call)); });
}

/// Ends a request that was never sent; a write is reported as NotSent.
void StoreClient::Private::dropUnsentCall(const HttpCall &call)
{
    m_metrics.counter("galenarock_platform_dropped_total", "reason=\"budget\"").add();
    logEvent(Events::PlatformBudgetExceeded, "{} {}/{} was not sent: call budget exhausted or queue full",
             nameOf(call.kind), call.key.kind, call.key.name);
    if (call.kind != CallKind::Write) {
        return;
    }
    m_handler(WriteResultEvent{call.key, call.write.writer, MonotonicClock::now(), WriteStatus::NotSent, {}});
}

void StoreClient::Private::startVmList(Instant now)
{
    const Duration interval(m_vmListInterval.load());
    if (!m_vmListPoll.isDue(now, interval)) {
        return;
    }
    if (!m_budget.tryTake(now, CallPriority::Configuration, CallType::Read)) {
        m_vmListPoll.postpone(now + milliseconds(BudgetRetryMs));
        return;
    }
    m_vmListPoll.sent(now, interval);
    start(makeVmListCall(m_settings));
}

void StoreClient::Private::start(std::unique_ptr<HttpCall> call)
{
    auto *easy = call->handle();
    call->setMemory(m_responseMemory);
    m_calls[easy] = std::move(call);
    curl_multi_add_handle(m_multi, easy);
}

void StoreClient::Private::cancel(HttpCall &call)
{
    curl_multi_remove_handle(m_multi, call.handle());
    m_budget.abandon();
    m_calls.erase(call.handle());
}

void StoreClient::Private::finishCalls()
{
    int left = 0;
    while (const auto *message = curl_multi_info_read(m_multi, &left)) {
        if (message->msg != CURLMSG_DONE) {
            continue;
        }
        auto *easy = message->easy_handle;
        auto &call = *m_calls.at(easy);
        call.setResult(message->data.result);
        curl_multi_remove_handle(m_multi, easy);
        if (!runGuarded("response of the platform", [&] { finish(call); })) {
            runGuarded("end of a call to the platform", [&] { endUnhandled(call); });
        }
        m_calls.erase(easy);
    }
}

/// After a response that could not be handled: who waits for the end of the call must not wait for ever.
void StoreClient::Private::endUnhandled(const HttpCall &call)
{
    if (call.kind == CallKind::Write) {
        m_handler(WriteResultEvent{call.key, call.write.writer, call.sentAt, WriteStatus::Unknown, {}});
        return;
    }
    restartWatch(call);
}

void StoreClient::Private::finish(HttpCall &call)
{
    if (call.kind == CallKind::Heartbeat) {
        finishHeartbeat(call);
    } else {
        reportReachability(MonotonicClock::now(), call);
    }
    updateCallMetrics(call);
    const bool isOfNewEra = call.era > m_era;
    if (isOfNewEra) {
        beginEra(call.era, call);
    }
    const bool isOfEarlierEra = call.era != 0 && call.era < m_era;
    if (isOfEarlierEra || (isOfNewEra && call.continuesEarlierCall)) {
        dropResponse(call);
        return;
    }
    switch (call.kind) {
    case CallKind::Read:
        onRead(call);
        break;
    case CallKind::Write:
        onWrite(call);
        break;
    case CallKind::List:
    case CallKind::Watch:
        onObjects(call);
        break;
    case CallKind::VmList:
        onVmList(call);
        break;
    case CallKind::Heartbeat:
        break; // its end was all that counts
    }
}

void StoreClient::Private::updateCallMetrics(const HttpCall &call)
{
    std::string result = call.code == CURLE_OK ? std::to_string(call.status) : "failed";
    const auto labels = fmt::format("kind=\"{}\",result=\"{}\"", nameOf(call.kind), result);
    m_metrics.counter("galenarock_platform_calls_total", labels).add();
    if (!call.isRepeatPrevented) {
        return;
    }
    m_metrics.counter("galenarock_platform_repeats_prevented_total").add();
    logEvent(Events::PlatformRepeatPrevented, "{} {}/{} failed: connection closed before the response; not sent again",
             nameOf(call.kind), call.key.kind, call.key.name);
}

StoreClient::StoreClient(StoreClientSettings settings, Metrics &metrics, Handler handler)
    : m_data(std::make_unique<Private>(std::move(settings), metrics, std::move(handler)))
{
}

StoreClient::~StoreClient() = default;

bool StoreClient::submit(StoreRequest request)
{
    return m_data->submit(std::move(request));
}

void StoreClient::setWatch(const std::string &kind, bool isEnabled)
{
    {
        const std::lock_guard lock(m_data->m_requestedWatchesMutex);
        m_data->m_requestedWatches[kind] = isEnabled;
    }
    m_data->wake();
}

void StoreClient::setVmListInterval(Duration interval)
{
    m_data->m_vmListInterval.store(interval.count());
    m_data->wake();
}

void StoreClient::setDaemonCount(std::size_t count)
{
    m_data->m_daemonCount.store(count);
}

void StoreClient::setChangeHook(std::function<void(const WatchChange &)> hook)
{
    const std::lock_guard lock(m_data->m_feedMutex);
    m_data->m_changeHook = std::move(hook);
}

void StoreClient::setFeed(WatchFeedView view)
{
    const std::lock_guard lock(m_data->m_feedMutex);
    m_data->m_requestedFeed = std::move(view);
}

void StoreClient::apply(WatchChange change)
{
    {
        const std::lock_guard lock(m_data->m_feedMutex);
        m_data->m_fedChanges.push_back(std::move(change));
    }
    m_data->wake();
}

bool StoreClient::isReachable() const
{
    return m_data->m_isReachable.load();
}

}

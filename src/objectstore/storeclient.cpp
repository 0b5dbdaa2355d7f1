#include <galenarock/storeclient.h>

#include <atomic>
#include <deque>
#include <map>
#include <mutex>

#include <fmt/format.h>

#include <galenarock/ring.h>
#include <galenarock/thread.h>

#include "base/guard_p.h"
#include "objectstore/answers_p.h"
#include "objectstore/events_p.h"
#include "objectstore/objectdelivery_p.h"
#include "objectstore/storeheartbeat_p.h"

namespace Galenarock
{

namespace
{
/// Number of daemons above which the pause between two calls of a watch grows.
constexpr double DaemonsAtBaseWatchPause = 20;
/// Maximum number of queued requests of one priority.
constexpr std::size_t MaxQueuedRequests = 512;
/// Interval at which queued requests ask the call budget again.
constexpr int BudgetRetryMs = 10;
constexpr int IdlePollMs = 100;
/// Delay before a failed watch is retried, in addition to the back-off of the call budget.
constexpr Duration WatchRetryDelay = milliseconds(200);

/// A GET on a reused connection that the platform closed is not an outage: it is aborted instead of sent again, and
/// the read can safely be repeated.
bool isPlatformResponding(const HttpCall &call)
{
    return call.isAnswered() || (call.isRepeatPrevented && call.kind != CallKind::Write);
}

struct PendingCall
{
    std::unique_ptr<HttpCall> call;
    Instant queuedAt;
};
}

class StoreClient::Private
{
public:
    Private(StoreClientSettings settings, Metrics &metrics, Handler handler);
    ~Private();

    bool submit(StoreRequest request);
    void wake()
    {
        curl_multi_wakeup(m_multi);
    }

    std::mutex m_requestedWatchesMutex; ///< Guards m_requestedWatches.
    std::map<std::string, bool> m_requestedWatches;
    std::atomic<std::int64_t> m_vmListInterval;
    std::atomic<std::size_t> m_daemonCount{1};
    std::atomic<bool> m_isReachable{true};

    std::mutex m_feedMutex; ///< Guards the following members.
    WatchFeedView m_requestedFeed;
    std::vector<WatchChange> m_fedChanges;
    std::function<void(const WatchChange &)> m_changeHook;

private:
    void run();
    void takeRequests(Instant now);
    void enqueue(std::unique_ptr<HttpCall> call, CallPriority priority, Instant now);
    void expireQueued(Instant now);
    void startQueued(Instant now);
    void applyRequestedWatches(Instant now);
    void startWatches(Instant now);
    void applyFeed(Instant now);
    void applyChange(Instant now, WatchChange &change);
    bool isFed(Instant now, const std::string &kind, WatchState &state) const;
    void share(WatchChange change) const;
    WatchChange changeOf(const HttpCall &call, const ObjectPage &page, WatchState &watch) const;
    void startVmList(Instant now);
    void startHeartbeat(Instant now);
    void finishHeartbeat(const HttpCall &call);
    bool hasWaitingWatch() const;
    void start(std::unique_ptr<HttpCall> call);
    void finishCalls();
    void restartWatch(const HttpCall &call);
    void finish(HttpCall &call);
    void cancel(HttpCall &call);
    bool hasQueued() const;
    Duration watchPause() const;
    Duration waitOf(const WatchState &state) const;
    std::size_t restartSilentWatches(const HttpCall &answered);
    void updateReachable();

    void onRead(const HttpCall &call);
    void onWrite(const HttpCall &call);
    void onObjects(const HttpCall &call);
    /// Passes the objects of a list or a watch to the handler and updates where the watch continues.
    void deliverPage(const HttpCall &call, ObjectPage &page, WatchState *watch);
    void onVmList(const HttpCall &call);
    void reportMalformedResponse(const HttpCall &call, ErrorCode code, const std::string &detail);
    void dropUnsentCall(const HttpCall &call);
    void updateCallMetrics(const HttpCall &call);
    void beginEra(std::uint64_t era, const HttpCall &finished);
    void dropResponse(const HttpCall &call);
    void repeatEraIfLost();
    void reportReachability(Instant now, const HttpCall &call);

    const StoreClientSettings m_settings;
    Metrics &m_metrics;
    const Handler m_handler;
    const ObjectDelivery m_delivery;
    CURLM *m_multi;
    std::mutex m_submitMutex; ///< Serializes the producers of m_ring; held for one push.
    Ring<std::shared_ptr<StoreRequest>> m_ring;
    std::atomic<bool> m_stop{false};

    CallBudget m_budget;
    std::array<std::deque<PendingCall>, 4> m_queues;
    ResponseMemory m_responseMemory;
    std::map<CURL *, std::unique_ptr<HttpCall>> m_calls;
    std::map<std::string, WatchState> m_watches;
    WatchFeedView m_feed;
    StoreHeartbeat m_heartbeat;
    /// Highest era that a response stated; 0 before the first one.
    std::uint64_t m_era = 0;
    /// False when the handler could not take the event of the era.
    bool m_isEraDelivered = true;
    bool m_isVmListInFlight = false;
    Instant m_nextVmListAt;
    std::string m_vmListText;
    VmList m_vmList;
    Thread m_thread; ///< Last member: the thread uses all others.
};

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
        m_budget.setDaemonCount(m_daemonCount.load());
        repeatEraIfLost();
        takeRequests(now);
        expireQueued(now);
        startQueued(now);
        applyRequestedWatches(now);
        applyFeed(now);
        startWatches(now);
        startVmList(now);
        startHeartbeat(now);
        int running = 0;
        curl_multi_perform(m_multi, &running);
        finishCalls();
        curl_multi_poll(m_multi, nullptr, 0, hasQueued() ? BudgetRetryMs : IdlePollMs, nullptr);
    }
}

void StoreClient::Private::takeRequests(Instant now)
{
    std::shared_ptr<StoreRequest> request;
    while (m_ring.tryPop(request)) {
        const auto priority = std::visit([](const auto &it) { return it.priority; }, *request);
        enqueue(makeCall(m_settings, *request), priority, now);
    }
}

void StoreClient::Private::enqueue(std::unique_ptr<HttpCall> call, CallPriority priority, Instant now)
{
    auto &queue = m_queues[static_cast<std::size_t>(priority)];
    if (call->kind != CallKind::Write) {
        for (const auto &it : queue) {
            if (it.call->kind == call->kind && it.call->key == call->key) {
                return; // the same read is already queued
            }
        }
    }
    if (queue.size() >= MaxQueuedRequests) {
        dropUnsentCall(*call);
        return;
    }
    queue.push_back({std::move(call), now});
}

void StoreClient::Private::expireQueued(Instant now)
{
    for (auto &queue : m_queues) {
        while (!queue.empty() && now - queue.front().queuedAt > m_settings.queueTimeout) {
            dropUnsentCall(*queue.front().call);
            queue.pop_front();
        }
    }
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

void StoreClient::Private::startQueued(Instant now)
{
    for (std::size_t n = 0; n < m_queues.size(); ++n) {
        auto &queue = m_queues[n];
        while (!queue.empty()) {
            const auto type = queue.front().call->kind == CallKind::Write ? CallType::Write : CallType::Read;
            if (!m_budget.tryTake(now, static_cast<CallPriority>(n), type)) {
                break;
            }
            start(std::move(queue.front().call));
            queue.pop_front();
        }
    }
}

bool StoreClient::Private::hasQueued() const
{
    for (const auto &it : m_queues) {
        if (!it.empty()) {
            return true;
        }
    }
    return false;
}

void StoreClient::Private::applyRequestedWatches(Instant now)
{
    const std::lock_guard lock(m_requestedWatchesMutex);
    for (const auto &[kind, isEnabled] : m_requestedWatches) {
        auto &state = m_watches[kind];
        if (state.isEnabled == isEnabled) {
            continue;
        }
        if (!isEnabled && state.inFlight != nullptr) {
            cancel(*state.inFlight);
        }
        state = WatchState();
        state.isEnabled = isEnabled;
        state.nextAt = now;
    }
}

void StoreClient::Private::startWatches(Instant now)
{
    for (auto &[kind, state] : m_watches) {
        if (!state.isEnabled || state.inFlight != nullptr || now < state.nextAt || isFed(now, kind, state)) {
            continue;
        }
        // During an outage one call at a time probes the platform. A list is used, because its response comes at once
        // and that of a watch only after a change.
        const bool isProbe = m_budget.isInOutage();
        if (!state.needsList && (isProbe || now - state.listedAt > m_settings.relistInterval)) {
            state.restartList();
        }
        if (!m_budget.tryTake(now, CallPriority::Configuration, CallType::Read)) {
            state.nextAt = now + milliseconds(BudgetRetryMs);
            continue;
        }
        auto call = state.needsList ? makeWatchList(m_settings, kind, state.listAfter)
                                    : makeWatchPoll(m_settings, kind, state.revision, waitOf(state));
        call->continuesEarlierCall = !state.needsList || !state.listAfter.empty();
        call->fromRevision = state.revision;
        if (state.needsList) {
            state.listedAt = now;
        }
        state.inFlight = call.get();
        start(std::move(call));
    }
}

void StoreClient::Private::startVmList(Instant now)
{
    const Duration interval(m_vmListInterval.load());
    if (interval == Duration::zero() || m_isVmListInFlight || now < m_nextVmListAt) {
        return;
    }
    if (!m_budget.tryTake(now, CallPriority::Configuration, CallType::Read)) {
        m_nextVmListAt = now + milliseconds(BudgetRetryMs);
        return;
    }
    m_nextVmListAt = now + interval;
    m_isVmListInFlight = true;
    start(makeVmListCall(m_settings));
}

bool StoreClient::Private::hasWaitingWatch() const
{
    return std::any_of(m_watches.begin(), m_watches.end(), [](const auto &it) {
        const auto *call = it.second.inFlight;
        return call != nullptr && !call->isList;
    });
}

/// During an outage the call budget probes the store instead.
void StoreClient::Private::startHeartbeat(Instant now)
{
    const bool isNeeded = m_settings.dialect.heartbeat && hasWaitingWatch() && !m_budget.isInOutage();
    if (!isNeeded || !m_heartbeat.isDue(now)) {
        return;
    }
    m_heartbeat.sent(now);
    start(makeHeartbeat(m_settings));
}

/// A heartbeat without an answer is no outage for the call budget: a slow store still answers other calls.
void StoreClient::Private::finishHeartbeat(const HttpCall &call)
{
    const bool wasSilent = m_heartbeat.isSilent();
    if (m_heartbeat.finished(isPlatformResponding(call))) {
        const auto n = restartSilentWatches(call);
        logEvent(Events::PlatformReachable, "the platform answers heartbeats again; {} watches are sent anew", n);
    }
    if (m_heartbeat.isSilent() && !wasSilent) {
        logEvent(Events::PlatformSilent, "no answer to a heartbeat: {}, HTTP status {}", curl_easy_strerror(call.code),
                 call.status);
    }
    updateReachable();
}

void StoreClient::Private::updateReachable()
{
    m_isReachable.store(!m_budget.isInOutage() && !m_heartbeat.isSilent());
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
            restartWatch(call);
        }
        m_calls.erase(easy);
    }
}

/// After a response that could not be handled: lists the kind again.
void StoreClient::Private::restartWatch(const HttpCall &call)
{
    const auto watch = m_watches.find(call.key.kind);
    if (call.kind != CallKind::Watch || watch == m_watches.end()) {
        return;
    }
    watch->second.inFlight = nullptr;
    watch->second.restartList();
    watch->second.nextAt = MonotonicClock::now() + WatchRetryDelay;
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

void StoreClient::Private::reportReachability(Instant now, const HttpCall &call)
{
    const bool wasInOutage = m_budget.isInOutage();
    m_budget.finish(now, isPlatformResponding(call));
    updateReachable();
    if (m_budget.isInOutage() == wasInOutage) {
        return;
    }
    if (wasInOutage) {
        logEvent(Events::PlatformReachable, "the platform responds again");
        restartSilentWatches(call);
        m_heartbeat.clearSilence();
        updateReachable();
        return;
    }
    logEvent(Events::PlatformUnreachable, "{} failed: {}, HTTP status {}; retrying with back-off", nameOf(call.kind),
             curl_easy_strerror(call.code), call.status);
}

/// Sends the watches again that were under way while the store did not respond: it may have lost them. Returns their
/// number.
std::size_t StoreClient::Private::restartSilentWatches(const HttpCall &answered)
{
    std::size_t n = 0;
    for (auto &[kind, state] : m_watches) {
        state.wait = m_settings.shortestWatchTimeout;
        if (state.inFlight == nullptr || state.inFlight == &answered) {
            continue;
        }
        cancel(*std::exchange(state.inFlight, nullptr));
        state.nextAt = MonotonicClock::now();
        ++n;
    }
    return n;
}

Duration StoreClient::Private::waitOf(const WatchState &state) const
{
    const bool isLimited = state.wait > Duration::zero() && state.wait < m_settings.watchTimeout;
    return isLimited ? state.wait : m_settings.watchTimeout;
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

/// Lists all watched kinds again: revisions of the earlier era name other changes now, or none.
void StoreClient::Private::beginEra(std::uint64_t era, const HttpCall &finished)
{
    const bool isRestored = m_era != 0;
    if (isRestored) {
        logEvent(Events::PlatformRestored, "the store continues from an older copy: era {}, before {}", era, m_era);
    }
    m_era = era;
    m_isEraDelivered = m_handler(StoreEraEvent{era});
    if (!isRestored) {
        return;
    }
    for (auto &[kind, state] : m_watches) {
        state.restartEra();
        state.nextAt = MonotonicClock::now();
        if (state.inFlight != nullptr && state.inFlight != &finished) {
            cancel(*state.inFlight);
            state.inFlight = nullptr;
        }
    }
}

void StoreClient::Private::repeatEraIfLost()
{
    if (!m_isEraDelivered) {
        m_isEraDelivered = m_handler(StoreEraEvent{m_era});
    }
}

/// Ends a call whose response belongs to an earlier era, or continues a list or a watch of one. A write may have taken
/// effect and be lost again, so its outcome is unknown.
void StoreClient::Private::dropResponse(const HttpCall &call)
{
    if (call.kind == CallKind::Write) {
        m_handler(WriteResultEvent{call.key, call.write.writer, call.sentAt, WriteStatus::Unknown, {}});
        return;
    }
    const auto watch = m_watches.find(call.key.kind);
    if (call.kind == CallKind::Watch && watch != m_watches.end() && watch->second.inFlight == &call) {
        watch->second.inFlight = nullptr;
        watch->second.restartList();
        watch->second.nextAt = MonotonicClock::now();
    }
    m_isVmListInFlight = m_isVmListInFlight && call.kind != CallKind::VmList;
}

void StoreClient::Private::reportMalformedResponse(const HttpCall &call, ErrorCode code, const std::string &detail)
{
    m_metrics.counter("galenarock_platform_malformed_total").add();
    logEvent(Events::PlatformMalformedAnswer, "{} {}/{} returned a malformed response: {}: {}", nameOf(call.kind),
             call.key.kind, call.key.name, errorMessage(code), detail);
}

void StoreClient::Private::onRead(const HttpCall &call)
{
    if (call.code == CURLE_OK && call.status == 404) {
        m_handler(ObjectMissingEvent{call.key});
    }
    if (!call.isOk()) {
        return;
    }
    tryOr(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(object, m_settings.dialect.decodeObject(call.key, call.response));
            object.era = call.era;
            m_handler(ObjectEvent{std::move(object), true});
            return {};
        },
        [&](ErrorCode code, const std::string &detail) { reportMalformedResponse(call, code, detail); });
}

void StoreClient::Private::onWrite(const HttpCall &call)
{
    auto event = decodeWriteResult(m_settings.dialect, call);
    if (event.status == WriteStatus::Unknown) {
        logEvent(Events::PlatformWriteUnknown, "{}/{} may have been written: {}, HTTP status {}", call.key.kind,
                 call.key.name, curl_easy_strerror(call.code), call.status);
    } else if (event.status == WriteStatus::NotSent && call.isSent) {
        logEvent(Events::PlatformWriteRefused, "{}/{} was refused by the platform: HTTP status {}: {}", call.key.kind,
                 call.key.name, call.status, call.response.substr(0, 120));
    }
    m_handler(std::move(event));
}

/// Takes what other daemons pass on, and what they are known to have.
void StoreClient::Private::applyFeed(Instant now)
{
    std::vector<WatchChange> changes;
    {
        const std::lock_guard lock(m_feedMutex);
        m_feed = m_requestedFeed;
        changes.swap(m_fedChanges);
    }
    for (auto &it : changes) {
        runGuarded("change of another daemon", [&] { applyChange(now, it); });
    }
}

void StoreClient::Private::applyChange(Instant now, WatchChange &change)
{
    const auto found = m_watches.find(change.kind);
    const bool isUsable = found != m_watches.end() && found->second.isEnabled && found->second.revision != 0
        && change.era == m_era && change.to > found->second.revision;
    if (!isUsable) {
        return;
    }
    auto &state = found->second;
    if (change.from > state.revision) {
        state.feedLag.lost(now, m_settings.feedGrace);
        return;
    }
    ObjectPage page;
    page.revision = change.to;
    page.items = std::move(change.items);
    page.removed = std::move(change.removed);
    if (m_delivery.deliver(change.kind, page, false, state) == PageEnd::EventLost) {
        state.restartList();
        state.nextAt = now + WatchRetryDelay;
        return;
    }
    m_metrics.counter("galenarock_platform_changes_total", "source=\"peer\"").add();
    state.revision = change.to;
    m_handler(KindSyncedEvent{change.kind, change.to});
}

/// Whether the kind needs no watch call of this daemon now.
bool StoreClient::Private::isFed(Instant now, const std::string &kind, WatchState &state) const
{
    const bool isRelistDue = now - state.listedAt > m_settings.relistInterval * m_settings.fedRelistFactor;
    if (state.needsList || isRelistDue || m_budget.isInOutage()) {
        return false;
    }
    return state.feedLag.keepsUp(now, m_feed, kind, state.revision, m_settings.feedGrace);
}

void StoreClient::Private::share(WatchChange change) const
{
    if (m_feed.isWatcher && m_changeHook && change.from != 0) {
        m_changeHook(change);
    }
}

/// What the page changes, before it is passed on; for a list of several pages what all of them change, with the last
/// one. Empty, with `from` 0, when that is not known.
WatchChange StoreClient::Private::changeOf(const HttpCall &call, const ObjectPage &page, WatchState &watch) const
{
    if (!m_feed.isWatcher) {
        return {};
    }
    WatchChange change{call.key.kind, m_era, watch.revision, page.revision, page.items, page.removed};
    if (!call.isList) {
        return change;
    }
    if (watch.listAfter.empty()) {
        watch.listed = {call.key.kind, m_era, watch.revision, page.revision, {}, {}};
    }
    for (const auto &it : page.items) {
        if (it.version > watch.listed.from) {
            watch.listed.items.push_back(it);
        }
    }
    if (!page.nextAfter.empty()) {
        return {};
    }
    auto names = watch.listedNames;
    for (const auto &it : page.items) {
        names.insert(it.key.name);
    }
    for (const auto &[name, version] : watch.deliveredVersions) {
        if (names.count(name) == 0) {
            watch.listed.removed.push_back({call.key.kind, name});
        }
    }
    return std::move(watch.listed);
}

Duration StoreClient::Private::watchPause() const
{
    const double callers = m_feed.isWatcher ? 1 : static_cast<double>(m_daemonCount.load());
    const double scale = std::max(1.0, callers / DaemonsAtBaseWatchPause);
    const auto pause = duration_cast<Duration>(m_settings.watchPause * scale);
    return std::min(pause, std::max(m_settings.watchPause, m_settings.longestWatchPause));
}

void StoreClient::Private::onObjects(const HttpCall &call)
{
    const auto found = call.kind == CallKind::Watch ? m_watches.find(call.key.kind) : m_watches.end();
    auto *watch = found == m_watches.end() ? nullptr : &found->second;
    if (watch) {
        watch->inFlight = nullptr;
        const bool isHistoryGone = call.code == CURLE_OK && call.status == 410;
        watch->nextAt = MonotonicClock::now()
            + (call.isOk() || isHistoryGone ? (call.isList ? Duration::zero() : watchPause()) : WatchRetryDelay);
        if (!call.isOk() && (isHistoryGone || call.isList)) {
            watch->restartList();
        }
        if (!call.isOk() && !isHistoryGone) {
            watch->wait = m_settings.shortestWatchTimeout;
        } else if (!call.isList) {
            watch->wait = 2 * waitOf(*watch);
        }
    }
    if (!call.isOk()) {
        return;
    }
    tryOr(
        [&]() -> Result<void> {
            const auto &dialect = m_settings.dialect;
            const auto &kind = call.key.kind;
            const bool isList = call.isList || !watch;
            BOOST_LEAF_AUTO(
                page, isList ? dialect.decodeList(kind, call.response) : dialect.decodeWatch(kind, call.response));
            deliverPage(call, page, watch);
            return {};
        },
        [&](ErrorCode code, const std::string &detail) {
            reportMalformedResponse(call, code, detail);
            if (watch) {
                watch->restartList();
                watch->nextAt = MonotonicClock::now() + WatchRetryDelay;
            }
        });
}

void StoreClient::Private::deliverPage(const HttpCall &call, ObjectPage &page, WatchState *watch)
{
    const auto &kind = call.key.kind;
    for (auto &it : page.items) {
        it.era = call.era;
    }
    for (const auto &it : page.skipped) {
        reportMalformedResponse(call, it.code, it.place + ": " + it.message);
    }
    if (!watch) {
        m_delivery.deliver(page);
        return;
    }
    // Others may have passed on what this call has read, and more.
    if (call.fromRevision < watch->revision && page.revision <= watch->revision) {
        watch->endList();
        return;
    }
    auto change = changeOf(call, page, *watch);
    switch (m_delivery.deliver(kind, page, call.isList, *watch)) {
    case PageEnd::MorePages:
        return;
    case PageEnd::EventLost:
        watch->restartList();
        watch->nextAt = MonotonicClock::now() + WatchRetryDelay;
        return;
    case PageEnd::Complete:
        break;
    }
    const auto revision = call.isList ? watch->listRevision : page.revision;
    // A lower revision than before means that the platform responded from an outdated copy, so the kind is listed
    // again.
    if (revision < watch->revision) {
        watch->restartList();
    } else {
        watch->needsList = false;
    }
    const bool isNew = revision > watch->revision;
    watch->revision = revision;
    m_handler(KindSyncedEvent{kind, revision});
    if (isNew) {
        share(std::move(change));
    }
}

void StoreClient::Private::onVmList(const HttpCall &call)
{
    m_isVmListInFlight = false;
    if (!call.isOk()) {
        return;
    }
    // An unchanged response is not parsed again: 10,000 entries take milliseconds, and the list rarely changes.
    if (call.response == m_vmListText) {
        m_handler(VmListEvent{m_vmList});
        return;
    }
    tryOr(
        [&]() -> Result<void> {
            BOOST_LEAF_ASSIGN(m_vmList, parseVmList(call.response));
            m_vmListText = call.response;
            m_handler(VmListEvent{m_vmList});
            return {};
        },
        [&](ErrorCode code, const std::string &detail) { reportMalformedResponse(call, code, detail); });
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

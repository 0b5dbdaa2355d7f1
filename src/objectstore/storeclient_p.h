#pragma once

#include <atomic>
#include <map>
#include <mutex>

#include <galenarock/ring.h>
#include <galenarock/storeclient.h>
#include <galenarock/thread.h>

#include "objectstore/objectdelivery_p.h"
#include "objectstore/requestqueue_p.h"
#include "objectstore/storeheartbeat_p.h"
#include "objectstore/vmlistpoll_p.h"

namespace Galenarock
{

/// Interval at which requests that the call budget held back ask it again.
constexpr int BudgetRetryMs = 10;
/// Delay before a failed watch is retried, in addition to the back-off of the call budget.
constexpr Duration WatchRetryDelay = milliseconds(200);

/// State of the client's thread and the calls in flight. The functions after each file name are defined in that file.
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
    void startCalls(Instant now);
    void startRequests(Instant now);
    void startWaitingCalls(Instant now);
    void takeRequests(Instant now);
    void takeRequest(Instant now, const StoreRequest &request);
    void reportUnencodable(const StoreRequest &request);
    void startQueued(Instant now);
    void dropUnsentCall(const HttpCall &call);
    void startVmList(Instant now);
    void start(std::unique_ptr<HttpCall> call);
    void cancel(HttpCall &call);
    void finishCalls();
    void finish(HttpCall &call);
    void endUnhandled(const HttpCall &call);
    void updateCallMetrics(const HttpCall &call);

    // storewatches.cpp
    void applyRequestedWatches(Instant now);
    void resendLostWatches(Instant now);
    /// What verifiers state of the kind; null for nothing.
    const VerifiedKind *verifiedKind(const std::string &kind) const;
    void startWatches(Instant now);
    std::unique_ptr<HttpCall> makeWatchCall(Instant now, const std::string &kind, WatchState &state) const;
    std::unique_ptr<HttpCall> makeList(const std::string &kind, const WatchState &state) const;
    std::unique_ptr<HttpCall> makePoll(Instant now, const std::string &kind, WatchState &state) const;
    /// State of the watch that made the call; null for other calls.
    WatchState *watchOf(const HttpCall &call);
    bool hasWaitingWatch() const;
    void restartWatch(const HttpCall &call);
    std::size_t restartSilentWatches(const HttpCall &answered);
    void scheduleNextCall(const HttpCall &finished, WatchState &watch) const;
    Duration watchPause() const;
    Duration waitOf(const WatchState &state) const;

    // storefeed.cpp
    void applyFeed(Instant now);
    void applyChange(Instant now, WatchChange &change);
    bool isFed(Instant now, const std::string &kind, WatchState &state) const;
    void share(WatchChange change) const;
    WatchChange changeOf(const HttpCall &call, const ObjectPage &page, WatchState &watch) const;
    WatchChange changeOfList(const HttpCall &call, const ObjectPage &page, WatchState &watch) const;

    // storereachability.cpp
    void startHeartbeat(Instant now);
    void finishHeartbeat(const HttpCall &call);
    void reportReachability(Instant now, const HttpCall &call);
    void updateReachable();

    // storeera.cpp
    void beginEra(std::uint64_t era, const HttpCall &finished);
    void repeatEraIfLost();
    void dropResponse(const HttpCall &call);

    // storeresponses.cpp
    void onRead(const HttpCall &call);
    void onWrite(const HttpCall &call);
    void onObjects(const HttpCall &call);
    /// Passes the objects of a list or a watch to the handler and updates where the watch continues.
    void deliverPage(const HttpCall &call, ObjectPage &page, WatchState *watch);
    void finishPage(const HttpCall &call, std::uint64_t revision, WatchState &watch, WatchChange change);
    void onVmList(const HttpCall &call);
    void reportMalformedResponse(const HttpCall &call, ErrorCode code, const std::string &detail);

    const StoreClientSettings m_settings;
    Metrics &m_metrics;
    const Handler m_handler;
    const ObjectDelivery m_delivery;
    CURLM *m_multi;
    std::mutex m_submitMutex; ///< Serializes the producers of m_ring; held for one push.
    Ring<std::shared_ptr<StoreRequest>> m_ring;
    std::atomic<bool> m_stop{false};

    CallBudget m_budget;
    RequestQueue m_queue;
    ResponseMemory m_responseMemory;
    std::map<CURL *, std::unique_ptr<HttpCall>> m_calls;
    std::map<std::string, WatchState> m_watches;
    WatchFeedView m_feed;
    StoreHeartbeat m_heartbeat;
    /// Highest era that a response stated; 0 before the first one.
    std::uint64_t m_era = 0;
    /// False when the handler could not take the event of the era.
    bool m_isEraDelivered = true;
    VmListPoll m_vmListPoll;
    Thread m_thread; ///< Last member: the thread uses all others.
};

}

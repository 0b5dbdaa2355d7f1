#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include <galenarock/control.h>
#include <galenarock/error.h>
#include <galenarock/metrics.h>
#include <galenarock/platform.h>
#include <galenarock/storedialect.h>

/// Client of the platform's object API: the call budget, which does no I/O, and the thread that makes the calls.
namespace Galenarock
{

/// JSON form of an object: `{"kind","name","version":n,"writer":"nonce","value":{}}`.
Result<StoredObject> storedObjectFromJson(const nlohmann::json &json);
/// JSON form of `GET /v1/vms`.
Result<VmList> vmListFromJson(const nlohmann::json &json);

enum class CallType : std::uint8_t
{
    Read,
    Write,
};

struct CallBudgetSettings
{
    /// Capacity of the platform, shared by all daemons. One daemon may make configuration and status calls at the rate
    /// `usableShare` * capacity / number of daemons, clamped to the minimum and maximum below. The maximum matters in
    /// small deployments.
    double platformReadsPerSecond = 2'000;
    double platformWritesPerSecond = 300;
    /// Fraction of the capacity that all daemons together may use for configuration and status calls; the rest is left
    /// to leadership calls and operators.
    double usableShare = 0.5;
    double minimumReadsPerSecond = 0.05;
    double minimumWritesPerSecond = 0.01;
    double maximumReadsPerSecond = 50;
    double maximumWritesPerSecond = 20;
    /// Rate of leadership and grant calls of one daemon, for reads and for writes. Not divided by the number of
    /// daemons, because only coordinators and standbys make these calls.
    double urgentPerSecond = 10;
    /// Capacity of a token bucket in seconds of its rate: the burst that is allowed after an idle time.
    double burstSeconds = 4;
    /// Lower bounds of CallBudget::restartWindow(), by CallPriority.
    std::array<Duration, 4> shortestRestartWindows{milliseconds(200), milliseconds(500), seconds(2), seconds(10)};
    Duration firstBackOff = milliseconds(100);
    Duration longestBackOff = seconds(5);
    std::uint64_t seed = 1;
};

/// Decides when a call may be made. Reads no clock: the time is passed in, and the jitter comes from the seed.
///
/// Reads and writes have separate token buckets, one each for leadership and grant calls and one each for configuration
/// and status calls. The lower priority of a bucket leaves a reserve for the higher one: grants 25% of the bucket,
/// status calls 50%. After a failure one call at a time probes the platform, with exponential back-off and jitter of
/// +-50%. After the outage the calls of each priority start again at a random time within restartWindow(), which grows
/// with the number of daemons, so that the daemons do not all call at once.
class CallBudget
{
public:
    explicit CallBudget(CallBudgetSettings settings);

    /// Sets the number of live daemons among which the platform's capacity is divided.
    void setDaemonCount(std::size_t count);
    /// Takes a call from the budget. False if the call may not be made now.
    bool tryTake(Instant now, CallPriority priority, CallType type);
    /// Records the end of a call that tryTake() allowed. `isAnswered` is false for a lost connection, a timeout, 503
    /// and 429.
    void finish(Instant now, bool isAnswered);
    /// Records that a call was cancelled, so that another call may probe the platform.
    void abandon()
    {
        m_isProbing = false;
    }
    bool isInOutage() const
    {
        return m_failures > 0;
    }
    /// Time after an outage within which calls of `priority` start again.
    Duration restartWindow(CallPriority priority) const;

private:
    struct Bucket
    {
        double rate = 0;
        double tokens = 0;
        Instant updatedAt;
    };
    double capacity(const Bucket &bucket) const;
    void refill(Bucket &bucket, Instant now) const;
    bool mayProbe(Instant now) const;
    double uniform();
    Duration nextBackOff();

    const CallBudgetSettings m_settings;
    std::mt19937_64 m_random;
    std::size_t m_daemonCount = 1;
    std::array<Bucket, 4> m_buckets; ///< Reads, writes of leadership and grants; reads, writes of the other priorities.
    bool m_isProbing = false;
    std::uint32_t m_failures = 0;
    Instant m_blockedUntil;
    std::array<Instant, 4> m_startAt;
};

/// Reads all objects of a kind.
struct ListObjectsRequest
{
    std::string kind;
    CallPriority priority = CallPriority::Configuration;
};

using StoreRequest = std::variant<ReadObjectAction, WriteObjectAction, ListObjectsRequest>;

/// What changed in a watched kind between two revisions of the store. Of an object that changed several times only the
/// last state counts.
struct WatchChange
{
    std::string kind;
    /// Era of the store; 0 for a store without eras.
    std::uint64_t era = 0;
    std::uint64_t from = 0;
    std::uint64_t to = 0;
    std::vector<StoredObject> items;
    std::vector<ObjectKey> removed;

    friend bool operator==(const WatchChange &a, const WatchChange &b)
    {
        return a.kind == b.kind && a.era == b.era && a.from == b.from && a.to == b.to && a.items == b.items
            && a.removed == b.removed;
    }
};

/// What verifiers state of a watched kind (galenarock/watchverification.h).
struct VerifiedKind
{
    /// Until then a verifier vouches for `lastChange`. Zero when none is heard.
    Instant until{};
    /// Revision of the kind's last change, as far as this daemon or a verifier knows.
    std::uint64_t lastChange = 0;

    friend bool operator==(const VerifiedKind &a, const VerifiedKind &b)
    {
        return a.until == b.until && a.lastChange == b.lastChange;
    }
};

/// What other daemons say of the store's changes (galenarock/watchfeed.h, galenarock/watchverification.h).
struct WatchFeedView
{
    /// This daemon passes changes on.
    bool isWatcher = false;
    /// Until then others pass changes on to this daemon, which makes no watch calls of its own while it keeps up.
    Instant fedUntil{};
    /// Revisions of the last changes by kind that another daemon is known to have.
    std::map<std::string, std::uint64_t> newest;
    /// Kinds of this daemon that those who feed it do not watch: it makes its own watch calls for them.
    std::set<std::string> unfedKinds = {};
    /// What verifiers have stated, by kind.
    std::map<std::string, VerifiedKind> verified = {};

    friend bool operator==(const WatchFeedView &a, const WatchFeedView &b)
    {
        return a.isWatcher == b.isWatcher && a.fedUntil == b.fedUntil && a.newest == b.newest
            && a.unfedKinds == b.unfedKinds && a.verified == b.verified;
    }
};

/// How long the calls of a watch wait, and when one counts as lost.
struct WatchTimerSettings
{
    /// Longest time that the store holds a watch open for a daemon that hears no verifier.
    Duration unverifiedWait = seconds(20);
    /// From the end of the wait to the answer; after it the call is sent again.
    Duration answerTime = milliseconds(500);
    /// A daemon that is behind a verifier waits this long for the answer of its own call.
    Duration grace = milliseconds(150);
    /// A call that is not older is not taken for one that reports nothing. Doubles with each call that was lost since
    /// the last answer, so that a slow store can still answer.
    Duration shortestAge = milliseconds(500);
};

struct StoreClientSettings
{
    /// `http://ip:port`
    std::string endpoint;
    /// Header X-Team of writes.
    std::string team = "galenarock";
    Duration connectTimeout = seconds(1);
    Duration callTimeout = seconds(3);
    /// For a page of the list of a watched kind; after one without an answer `callTimeout` holds.
    Duration listTimeout = seconds(1);
    /// The timer finds lost watches only where the dialect has heartbeats, which tell them from an outage.
    WatchTimerSettings watchTimer;
    /// Longest time that the platform holds a watch open.
    Duration watchTimeout = seconds(20);
    /// The same for the first call of a watch after trouble with the store. A call that a silent store has taken is
    /// never answered, and until its timeout this daemon would take that for "nothing has changed". Doubles with each
    /// answer.
    Duration shortestWatchTimeout = seconds(1);
    /// Longest time from the end of a watch's wait to its response.
    Duration watchAnswerTime = seconds(1);
    /// Interval of heartbeats while watches wait, and how long the store may take to answer one.
    Duration heartbeatInterval = milliseconds(500);
    Duration heartbeatTimeout = seconds(1);
    /// Pause between two calls of a watch, so that changes in quick succession arrive in one call.
    Duration watchPause{};
    /// Upper bound of the pause, which grows with the number of daemons because each change causes a call of every
    /// daemon.
    Duration longestWatchPause = milliseconds(400);
    /// Interval at which a watched kind is listed again, in case a change was missed.
    Duration relistInterval = seconds(60);
    Duration vmListInterval = seconds(1);
    /// A request that waits longer than this for the call budget is dropped without being sent.
    Duration queueTimeout = seconds(3);
    std::size_t ringCapacity = 1024;
    /// A daemon that is behind others by their statuses waits this long for the change that they pass on.
    Duration feedGrace = milliseconds(150);
    /// While others pass changes on, kinds are listed again at this multiple of `relistInterval`.
    int fedRelistFactor = 5;
    CallBudgetSettings budget;
    StoreDialect dialect = nativeStoreDialect();
};

/// A thread with a libcurl multi handle that makes all calls to the platform.
///
/// Events passed to the handler: ObjectEvent (reads, lists, watches), ObjectMissingEvent (404, removed, or missing from
/// a later list of a watched kind), KindSyncedEvent, WriteResultEvent (exactly one for each accepted write),
/// VmListEvent. A failed read gives no event; its caller repeats it. Example: `StoreClient client(settings, metrics,
/// [&](ControlEvent event) { return ring.tryPush(std::move(event)); });`
class StoreClient
{
public:
    /// Called on the client's thread. Returns false when the event could not be taken; the kind of a watched object is
    /// then listed again, so that no daemon goes on with an object that it missed.
    using Handler = std::function<bool(ControlEvent)>;

    StoreClient(StoreClientSettings settings, Metrics &metrics, Handler handler);
    /// Cancels calls in flight without events.
    ~StoreClient();
    StoreClient(const StoreClient &) = delete;
    StoreClient &operator=(const StoreClient &) = delete;

    /// False when the ring is full: the request is dropped and counted, and no event follows. Any thread.
    bool submit(StoreRequest request);
    /// Starts or stops the watch of a kind. Any thread.
    void setWatch(const std::string &kind, bool isEnabled);
    /// Interval of the VM list polling; zero stops it. Any thread.
    void setVmListInterval(Duration interval);
    /// Passed to CallBudget::setDaemonCount(). Any thread.
    void setDaemonCount(std::size_t count);
    /// Called on the client's thread with each change that a watch or a repeated list has read, while this daemon is a
    /// watcher. Must be set before the first call of setFeed().
    void setChangeHook(std::function<void(const WatchChange &)> hook);
    /// Any thread.
    void setFeed(WatchFeedView view);
    /// Takes a change that another daemon has read. It has no effect unless it continues what this client knows; a gap
    /// makes the client read the store. Any thread.
    void apply(WatchChange change);
    /// False from a failed call until the next one that is answered.
    bool isReachable() const;

private:
    class Private;
    std::unique_ptr<Private> m_data;
};

}

#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <variant>

#include <galenarock/control.h>
#include <galenarock/error.h>
#include <galenarock/metrics.h>
#include <galenarock/platform.h>
#include <galenarock/storedialect.h>

/// Client of the platform's object API: call budget (pure core) and the thread that makes the calls.
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
    /// Capacity of the platform that all daemons share. Configuration and status calls of a daemon stay within its
    /// share, but get at least `minimum`, and at most `maximum` in a small deployment.
    double platformReadsPerSecond = 2'000;
    double platformWritesPerSecond = 300;
    /// Share of the capacity that all daemons together may plan for; the rest is left to mandates and operators.
    double usableShare = 0.5;
    double minimumReadsPerSecond = 0.05;
    double minimumWritesPerSecond = 0.01;
    double maximumReadsPerSecond = 50;
    double maximumWritesPerSecond = 20;
    /// Rate for mandates and grants of one daemon. Not divided by the number of daemons, because only coordinators and
    /// deputies make these calls.
    double urgentPerSecond = 10;
    /// Calls that may be made at once after a quiet time, in seconds of the rate.
    double burstSeconds = 4;
    /// Shortest time over which calls start again after an outage, by CallPriority.
    std::array<Duration, 4> shortestRestartWindows{milliseconds(200), milliseconds(500), seconds(2), seconds(10)};
    Duration firstBackOff = milliseconds(100);
    Duration longestBackOff = seconds(5);
    std::uint64_t seed = 1;
};

/// Decides when a call may be made. Pure: the time is passed in, jitter comes from the seed.
///
/// Token buckets for reads and writes: one for mandates and grants, one for configuration and status. Within a bucket
/// the second priority leaves a reserve to the first: grants 25%, status 50%. After a failure one call at a time tests
/// the platform, with exponential back-off and jitter of +-50%. After the outage each priority starts again at a random
/// point of its window, which grows with the number of daemons, so that they do not all call at once.
class CallBudget
{
public:
    explicit CallBudget(CallBudgetSettings settings);

    /// Number of live daemons among which the platform's capacity is divided.
    void setDaemons(std::size_t count);
    /// True when the call may be made now; it then counts as made.
    bool tryTake(Instant now, CallPriority priority, CallType type);
    /// End of a call that tryTake() allowed. `isAnswered` is false for a lost connection, a timeout, 503 and 429.
    void finish(Instant now, bool isAnswered);
    /// End of a call whose result does not matter any more.
    void abandon()
    {
        m_isProbing = false;
    }
    bool inOutage() const
    {
        return m_failures > 0;
    }
    /// Length of the window in which calls of `priority` start again after an outage.
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
    std::size_t m_daemons = 1;
    std::array<Bucket, 4> m_buckets; ///< Urgent reads and writes, other reads and writes.
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

struct StoreClientSettings
{
    /// `http://ip:port`
    std::string endpoint;
    /// Header X-Team of writes.
    std::string team = "galenarock";
    Duration connectTimeout = seconds(1);
    Duration callTimeout = seconds(3);
    /// Longest time that the platform holds a watch open.
    Duration watchTimeout = seconds(20);
    /// A watch that has returned is continued after this time, so that changes that come together are one call.
    Duration watchPause{};
    /// The pause grows with the number of daemons up to this, since a change is a call of every daemon.
    Duration longestWatchPause = milliseconds(400);
    /// A watched kind is listed again this often, in case a change was missed.
    Duration relistInterval = seconds(60);
    Duration vmListInterval = seconds(1);
    /// A request that found no budget for this long ends without being sent.
    Duration queueTimeout = seconds(3);
    std::size_t ringCapacity = 1024;
    CallBudgetSettings budget;
    StoreDialect dialect = nativeStoreDialect();
};

/// A thread with a libcurl multi handle that makes all calls to the platform.
///
/// Events handed up: ObjectEvent (reads, lists, watches), ObjectMissingEvent (404, removed, or missing from a later
/// list of a watched kind), KindSyncedEvent, WriteResultEvent (exactly one for each accepted write), VmListEvent. A
/// failed read gives no event; the cores ask again. Example: `StoreClient client(settings, metrics, [&](ControlEvent
/// event) { ring.tryPush(std::move(event)); });`
class StoreClient
{
public:
    /// Called on the client's thread.
    using Handler = std::function<void(ControlEvent)>;

    StoreClient(StoreClientSettings settings, Metrics &metrics, Handler handler);
    /// Abandons calls in flight without events.
    ~StoreClient();
    StoreClient(const StoreClient &) = delete;
    StoreClient &operator=(const StoreClient &) = delete;

    /// False when the ring is full (counted); no event follows then. Any thread.
    bool submit(StoreRequest request);
    /// Starts or ends the watch of a kind. Any thread.
    void setWatch(const std::string &kind, bool isWanted);
    /// Interval of the VM list polling; zero stops it. Any thread.
    void setVmListInterval(Duration interval);
    /// Passed to CallBudget::setDaemons(). Any thread.
    void setDaemons(std::size_t count);
    /// False while calls fail.
    bool isReachable() const;

private:
    class Private;
    std::unique_ptr<Private> m_data;
};

}

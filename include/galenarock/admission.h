#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

#include <galenarock/assignment.h>
#include <galenarock/document.h>
#include <galenarock/requests.h>

/// Admission control on one daemon: a fixed rate limit, a limit relative to recent traffic, and a bounded queue with
/// deadlines.
namespace Galenarock
{

/// Token bucket for the fixed rate limit.
class TokenBucket
{
public:
    /// `rate` tokens per second; 0 means no limit. Holds as many tokens as accrue during `burst`, but at least one.
    explicit TokenBucket(double rate = 0, Duration burst = seconds(1));
    /// Changes the rate and keeps the tokens that are in the bucket.
    void setRate(Instant now, double rate);
    bool tryTake(Instant now);
    /// Time until the next token; zero when one is available.
    Duration untilNext(Instant now);

private:
    double capacity() const;
    void refill(Instant now);

    double m_rate;
    Duration m_burst;
    double m_tokens;
    Instant m_refilledAt{};
};

struct GuardSettings
{
    /// Cap as a multiple of the requests in the busiest recent window; 0 turns the guard off.
    double surge = 0;
    /// The cap never falls below this rate.
    double floorPerSecond = 0;
    /// The cap can grow by the factor `surge` once per window, so a short window lets a runaway caller ramp up quickly,
    /// and a long one delays ordinary growth; docs/requests.md has the figures.
    Duration window = seconds(60);
    /// Number of complete windows that are kept.
    std::uint32_t windows = 10;

    friend bool operator==(const GuardSettings &a, const GuardSettings &b)
    {
        return a.surge == b.surge && a.floorPerSecond == b.floorPerSecond && a.window == b.window
            && a.windows == b.windows;
    }
};

/// Refuses traffic above a multiple of the busiest recent window.
///
/// The current window is left out, so that a surge cannot raise its own cap. A window counts only the requests that it
/// admitted. The cap is spread evenly over the window, with bursts of `surge` times the busiest recent second; admitted
/// all at once it would overload the servers at the start of each window. Nothing is refused until one window is
/// complete.
class RecentUseGuard
{
public:
    /// `since`: start of the first window; complete windows since then count as empty. Default: the first request.
    explicit RecentUseGuard(GuardSettings settings = {}, std::optional<Instant> since = {});
    void setSettings(const GuardSettings &settings);
    /// Counts one request. Empty if it is admitted, else the time until the next one can be admitted.
    std::optional<Duration> admit(Instant now);
    /// Requests that the current window admits; infinite while nothing is refused.
    double cap() const;

private:
    void advance(Instant now);
    void refill(Instant now);
    /// Requests that may be admitted at once.
    double burst() const;

    struct Window
    {
        double requests = 0;
        /// Requests in its busiest second.
        double peak = 0;
    };
    GuardSettings m_settings;
    std::optional<Instant> m_windowStart;
    Window m_currentWindow;
    Instant m_secondStart{};
    double m_requestsInSecond = 0;
    double m_tokens = 0;
    Instant m_refilledAt{};
    std::deque<Window> m_pastWindows;
};

/// One guard for each caller, so that a runaway caller uses up only its own cap. Callers that cannot be told apart have
/// the same id and share one cap. The cap of a new caller is the floor, except in the first window after the daemon's
/// start, in which nothing is refused.
class CallerGuards
{
public:
    /// At this number the least recently seen caller is evicted.
    static constexpr std::size_t maxCallers = 1'024;

    explicit CallerGuards(GuardSettings settings = {});
    void setSettings(const GuardSettings &settings);
    /// Counts one request of `caller`. Empty if it is admitted, else the time until the next one can be admitted.
    std::optional<Duration> admit(Instant now, std::uint64_t caller);
    /// Requests of `caller` that the current window admits; infinite while nothing is refused.
    double cap(std::uint64_t caller) const;

private:
    struct Caller
    {
        RecentUseGuard guard;
        Instant seenAt{};
    };
    void evictLeastRecentlySeen();

    GuardSettings m_settings;
    std::optional<Instant> m_since;
    std::unordered_map<std::uint64_t, Caller> m_callers;
};

/// A request offered for admission. `ticket` identifies it in later calls.
struct AdmissionRequest
{
    std::uint64_t ticket = 0;
    TrafficClass trafficClass = TrafficClass::Read;
    /// 0 is served first. Uploads are served after everything else.
    std::uint32_t priority = 5;
    Instant deadline{};
    /// Owner of the key; noServer if any server can take the request.
    ServerIndex server = noServer;
    /// Hash of the caller's identity; 0 if callers cannot be told apart.
    std::uint64_t caller = 0;
    /// A retry of a request that was admitted before; the rate limits do not count it again.
    bool isRetry = false;
};

/// A queued request that is refused later: it cannot finish before its deadline, or a more urgent one displaced it.
struct DroppedRequest
{
    AdmissionRequest request;
    Refusal refusal;
};

struct AdmissionDecision
{
    /// Empty if the request was queued.
    std::optional<Refusal> refusal;
    /// A less urgent request that was removed from the full queue.
    std::optional<DroppedRequest> displaced;
};

/// Queue and limits of one service on one daemon.
///
/// Every request passes through the queue: offer(), then next() as often as it returns requests. next() is called
/// again after each finished attempt and each snapshot.
class Admission
{
public:
    /// `guard` supplies window and number of windows; its other fields come from the document.
    Admission(const ServiceDocument &document, std::uint32_t liveDaemons, const GuardSettings &guard = {});
    /// New document or number of live daemons. The queue and the recorded use are kept.
    void configure(Instant now, const ServiceDocument &document, std::uint32_t liveDaemons);

    /// `concurrency`: requests that may run at once on the servers that can take this one; 0 refuses with NoServer.
    AdmissionDecision offer(Instant now, const AdmissionRequest &request, std::uint32_t concurrency);
    /// Takes the most urgent request for which `fits` is true. Requests that can no longer finish in time are appended
    /// to `dropped`.
    std::optional<AdmissionRequest> next(Instant now, const std::function<bool(const AdmissionRequest &)> &fits,
                                         std::vector<DroppedRequest> &dropped);
    /// Removes the requests that can no longer finish in time. Call at least every 50 ms.
    void dropLate(Instant now, std::vector<DroppedRequest> &dropped);
    /// Removes a request whose caller has disconnected. False if the request is not queued.
    bool cancel(std::uint64_t ticket);
    /// Records the service time of an answered request, from its first attempt to the last byte.
    void finished(Instant now, Duration serviceTime);

    /// Exponentially weighted moving average; zero before the first answer. Halves every 2 s without an answer:
    /// otherwise an estimate above the deadline would refuse every request and never be corrected.
    Duration serviceTime(Instant now) const;
    std::size_t queued() const
    {
        return m_queue.size();
    }

private:
    Duration expectedWait(Instant now, std::size_t position, const AdmissionRequest &request,
                          std::uint32_t concurrency) const;
    std::size_t positionFor(const AdmissionRequest &request) const;
    std::optional<Refusal> checkRates(Instant now, const AdmissionRequest &request);
    bool isLate(Instant now, const AdmissionRequest &request) const;

    GuardSettings guardFor(const LimitSettings &limits, std::uint32_t liveDaemons) const;

    RequestSettings m_requests;
    GuardSettings m_guard;
    TokenBucket m_bucket;
    CallerGuards m_guards;
    std::vector<AdmissionRequest> m_queue;
    /// When an arriving request last found the queue empty.
    Instant m_emptyAt{};
    double m_serviceSeconds = 0;
    Instant m_lastFinishedAt{};
};

}

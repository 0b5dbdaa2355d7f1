#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <vector>

#include <galenarock/assignment.h>
#include <galenarock/document.h>
#include <galenarock/requests.h>

/// Admission of requests on one daemon: rate limit, guard relative to recent use, and a bounded queue with deadlines.
namespace Galenarock
{

/// Token bucket for the fixed limit.
class TokenBucket
{
public:
    /// `rate` tokens per second; 0 means no limit. Holds the tokens of `burst`, but at least one.
    explicit TokenBucket(double rate = 0, Duration burst = seconds(1));
    /// Changes the rate and keeps the fill.
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
    /// Multiple of the busiest recent window; 0 turns the guard off.
    double surge = 0;
    /// The cap never falls below this rate.
    double floorPerSecond = 0;
    /// The cap can grow by the factor `surge` once per window, so a short window lets a runaway caller ramp up quickly,
    /// and a long one refuses for longer; docs/requests.md has the figures.
    Duration window = seconds(30);
    /// Complete windows that are remembered.
    std::uint32_t windows = 20;

    friend bool operator==(const GuardSettings &a, const GuardSettings &b)
    {
        return a.surge == b.surge && a.floorPerSecond == b.floorPerSecond && a.window == b.window
            && a.windows == b.windows;
    }
};

/// Refuses traffic above a multiple of the busiest recent window.
///
/// The present window is left out, so a surge cannot raise its own cap. A window that reached its cap counts at the
/// cap. Until one window is complete nothing is known and nothing is refused.
class RecentUseGuard
{
public:
    explicit RecentUseGuard(GuardSettings settings = {});
    void setSettings(const GuardSettings &settings);
    /// Counts one request. Empty when it is admitted, else the time until the present window ends.
    std::optional<Duration> admit(Instant now);
    /// Requests that the present window admits; infinite while nothing is refused.
    double cap() const;

private:
    void advance(Instant now);

    GuardSettings m_settings;
    std::optional<Instant> m_windowStart;
    double m_present = 0;
    std::deque<double> m_past;
};

/// A request that wants to run. `ticket` is the caller's name for it.
struct AdmissionRequest
{
    std::uint64_t ticket = 0;
    TrafficClass trafficClass = TrafficClass::Read;
    /// 0 is served first. Uploads are served after everything else.
    std::uint32_t priority = 5;
    Instant deadline{};
    /// Owner of the key; noServer when any server will do.
    ServerIndex server = noServer;
};

/// A queued request that is refused later: its time ran out, or a more urgent one took its place.
struct DroppedRequest
{
    AdmissionRequest request;
    Refusal refusal;
};

struct AdmissionDecision
{
    /// Empty when the request was queued.
    std::optional<Refusal> refusal;
    /// A less urgent request that lost its place in the full queue.
    std::optional<DroppedRequest> displaced;
};

/// Queue and limits of one service on one daemon.
///
/// Every request passes through the queue: offer(), then next() as often as it returns requests. next() is called
/// again after each finished attempt and each snapshot.
class Admission
{
public:
    Admission(const ServiceDocument &document, std::uint32_t liveDaemons);
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
    /// The caller went away. False when the request is not queued.
    bool cancel(std::uint64_t ticket);
    /// Service time of an answered request, first attempt to last byte.
    void finished(Instant now, Duration serviceTime);

    /// Exponentially weighted mean; zero before the first answer. Halves every 2 s without an answer: otherwise an
    /// estimate above the deadline would refuse every request and never be corrected.
    Duration serviceTime(Instant now) const;
    std::size_t queued() const
    {
        return m_queue.size();
    }

private:
    Duration expectedWait(Instant now, std::size_t position, const AdmissionRequest &request,
                          std::uint32_t concurrency) const;
    std::size_t positionFor(const AdmissionRequest &request) const;
    std::optional<Refusal> checkRates(Instant now);
    bool isLate(Instant now, const AdmissionRequest &request) const;

    RequestSettings m_requests;
    TokenBucket m_bucket;
    RecentUseGuard m_guard;
    std::vector<AdmissionRequest> m_queue;
    double m_serviceSeconds = 0;
    Instant m_servedAt{};
};

}

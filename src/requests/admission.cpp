#include <galenarock/admission.h>

#include <algorithm>
#include <cmath>

#include <fmt/format.h>

namespace Galenarock
{

namespace
{
/// Weight of a new sample in the mean service time: about the last 20 answers count.
constexpr double ServiceSampleWeight = 0.05;
constexpr double ServiceHalfLifeSeconds = 2;
/// Share of the time to its deadline that a request may wait in the queue. The wait is estimated from a mean; when
/// requests could wait for the whole time, they reached servers too late and timed out there: at 120% load, 2.5% ended
/// with outcome unknown and 10% of the server time was wasted.
constexpr double MaxWaitShare = 0.5;
/// Share for a standing queue, which has not been empty for a second. A long queue absorbs a burst; a standing one only
/// adds delay without raising throughput.
constexpr double StandingQueueWaitShare = 0.15;
constexpr Duration StandingQueueAfter = seconds(1);

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

Duration fromSeconds(double n)
{
    return duration_cast<Duration>(std::chrono::duration<double>(n));
}

Refusal makeRefusal(Reason reason, Duration until, std::string detail = {})
{
    // Rounded up, so that a caller that waits exactly this long is not early.
    return {reason, Outcome::NotRun, std::move(detail), std::chrono::ceil<milliseconds>(until).count()};
}

std::uint32_t atLeastOne(std::uint32_t n)
{
    return std::max<std::uint32_t>(1, n);
}

/// Order in the queue: uploads last, then by priority.
std::pair<bool, std::uint32_t> urgency(const AdmissionRequest &request)
{
    return {request.trafficClass == TrafficClass::Upload, request.priority};
}
}

Admission::Admission(const ServiceDocument &document, std::uint32_t liveDaemons, const GuardSettings &guard)
    : m_requests(document.requests)
    , m_guard(guard)
    , m_bucket(document.limits.requestsPerSecond / atLeastOne(liveDaemons))
    , m_guards(guardFor(document.limits, liveDaemons))
{
}

GuardSettings Admission::guardFor(const LimitSettings &limits, std::uint32_t liveDaemons) const
{
    auto settings = m_guard;
    settings.surge = limits.surge;
    settings.floorPerSecond = limits.surgeFloorPerSecond / atLeastOne(liveDaemons);
    return settings;
}

void Admission::configure(Instant now, const ServiceDocument &document, std::uint32_t liveDaemons)
{
    m_requests = document.requests;
    m_bucket.setRate(now, document.limits.requestsPerSecond / atLeastOne(liveDaemons));
    m_guards.setSettings(guardFor(document.limits, liveDaemons));
}

Duration Admission::serviceTime(Instant now) const
{
    if (m_serviceSeconds == 0) {
        return Duration::zero();
    }
    const double age = toSeconds(now - m_lastFinishedAt);
    return fromSeconds(m_serviceSeconds * std::exp2(-age / ServiceHalfLifeSeconds));
}

void Admission::finished(Instant now, Duration serviceTime)
{
    const double sample = toSeconds(serviceTime);
    const double mean = toSeconds(this->serviceTime(now));
    m_serviceSeconds = m_serviceSeconds == 0 ? sample : mean + ServiceSampleWeight * (sample - mean);
    m_lastFinishedAt = now;
}

std::size_t Admission::positionFor(const AdmissionRequest &request) const
{
    const auto it =
        std::upper_bound(m_queue.begin(), m_queue.end(), request,
                         [](const AdmissionRequest &a, const AdmissionRequest &b) { return urgency(a) < urgency(b); });
    return static_cast<std::size_t>(it - m_queue.begin());
}

Duration Admission::expectedWait(Instant now, std::size_t position, const AdmissionRequest &request,
                                 std::uint32_t concurrency) const
{
    const auto end = m_queue.begin() + static_cast<std::ptrdiff_t>(position);
    const auto ahead = std::count_if(m_queue.begin(), end, [&](const AdmissionRequest &it) {
        return request.server == noServer || it.server == noServer || it.server == request.server;
    });
    return fromSeconds(toSeconds(serviceTime(now)) * static_cast<double>(ahead) / concurrency);
}

std::optional<Refusal> Admission::checkRates(Instant now, const AdmissionRequest &request)
{
    if (request.isRetry) {
        return {};
    }
    // The guard is checked first, so that a runaway caller does not use up the tokens of other callers.
    if (const auto until = m_guards.admit(now, request.caller)) {
        return makeRefusal(Reason::RateGuard, *until,
                           fmt::format("traffic exceeds the cap from recent use ({:.0f} requests per window and VM)",
                                       m_guards.cap(request.caller)));
    }
    if (!m_bucket.tryTake(now)) {
        return makeRefusal(Reason::RateLimit, m_bucket.untilNext(now));
    }
    return {};
}

AdmissionDecision Admission::offer(Instant now, const AdmissionRequest &request, std::uint32_t concurrency)
{
    if (concurrency == 0) {
        return {makeRefusal(Reason::NoServer, Duration::zero()), {}};
    }
    const auto position = positionFor(request);
    const auto wait = expectedWait(now, position, request, concurrency);
    if (m_queue.empty()) {
        m_emptyAt = now;
    }
    const double share = now - m_emptyAt >= StandingQueueAfter ? StandingQueueWaitShare : MaxWaitShare;
    const bool waitsTooLong = toSeconds(wait) > share * toSeconds(request.deadline - now);
    if (waitsTooLong || now + wait + serviceTime(now) > request.deadline || now >= request.deadline) {
        return {makeRefusal(Reason::DeadlineTooShort, wait), {}};
    }
    const bool full = m_queue.size() >= m_requests.queueLength;
    if (full && position == m_queue.size()) {
        return {makeRefusal(Reason::QueueFull, wait), {}};
    }
    // The rates are checked last, so that only requests that are otherwise admitted count against them.
    if (auto refusal = checkRates(now, request)) {
        return {std::move(refusal), {}};
    }
    AdmissionDecision decision;
    if (full) {
        decision.displaced = DroppedRequest{m_queue.back(), makeRefusal(Reason::QueueFull, wait)};
        m_queue.pop_back();
    }
    m_queue.insert(m_queue.begin() + static_cast<std::ptrdiff_t>(position), request);
    return decision;
}

bool Admission::isLate(Instant now, const AdmissionRequest &request) const
{
    return now >= request.deadline || now + serviceTime(now) > request.deadline;
}

void Admission::dropLate(Instant now, std::vector<DroppedRequest> &dropped)
{
    const auto late = [&](const AdmissionRequest &it) {
        return isLate(now, it);
    };
    const auto end =
        std::stable_partition(m_queue.begin(), m_queue.end(), [&](const AdmissionRequest &it) { return !late(it); });
    for (auto it = end; it != m_queue.end(); ++it) {
        dropped.push_back({*it, makeRefusal(Reason::DeadlineTooShort, Duration::zero())});
    }
    m_queue.erase(end, m_queue.end());
}

std::optional<AdmissionRequest> Admission::next(Instant now, const std::function<bool(const AdmissionRequest &)> &fits,
                                                std::vector<DroppedRequest> &dropped)
{
    for (auto it = m_queue.begin(); it != m_queue.end();) {
        if (isLate(now, *it)) {
            dropped.push_back({*it, makeRefusal(Reason::DeadlineTooShort, Duration::zero())});
            it = m_queue.erase(it);
            continue;
        }
        if (fits(*it)) {
            auto request = *it;
            m_queue.erase(it);
            return request;
        }
        ++it;
    }
    return {};
}

bool Admission::cancel(std::uint64_t ticket)
{
    const auto it = std::find_if(m_queue.begin(), m_queue.end(),
                                 [&](const AdmissionRequest &request) { return request.ticket == ticket; });
    if (it == m_queue.end()) {
        return false;
    }
    m_queue.erase(it);
    return true;
}

}

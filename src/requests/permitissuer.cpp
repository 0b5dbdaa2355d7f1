#include <galenarock/serverlimits.h>

#include <algorithm>

namespace Galenarock
{

namespace
{
/// Share of a server's rate that is kept for the highest of several competing priorities.
constexpr double ReservedShare = 0.75;
/// Time for which a priority counts as competing after its last request.
constexpr Duration DemandMemory = seconds(2);
constexpr Duration BucketRetention = seconds(10);
constexpr double LongestRefusalSeconds = 5;

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

Duration fromSeconds(double n)
{
    return duration_cast<Duration>(std::chrono::duration<double>(std::clamp(n, 0.0, LongestRefusalSeconds)));
}
}

bool PermitIssuer::hasCompetition(Instant now, const Bucket &bucket)
{
    return bucket.lowerSeenAt != Instant() && now - bucket.highestSeenAt < DemandMemory
        && now - bucket.lowerSeenAt < DemandMemory;
}

void PermitIssuer::noteDemand(Instant now, Bucket &bucket, std::uint32_t priority)
{
    const bool isForgotten = bucket.highestSeenAt == Instant() || now - bucket.highestSeenAt >= DemandMemory;
    if (priority < bucket.highestPriority && !isForgotten) {
        bucket.lowerSeenAt = bucket.highestSeenAt;
    }
    if (priority <= bucket.highestPriority || isForgotten) {
        bucket.highestPriority = priority;
        bucket.highestSeenAt = now;
    } else {
        bucket.lowerSeenAt = now;
    }
}

void PermitIssuer::refill(Instant now, Bucket &bucket, double perSecond, double burstSeconds)
{
    const double tokens = perSecond * toSeconds(now - bucket.refilledAt);
    const double burst = perSecond * burstSeconds;
    bucket.refilledAt = now;
    if (!hasCompetition(now, bucket)) {
        bucket.open = std::min(std::max(1.0, burst), bucket.open + bucket.reserved + tokens);
        bucket.reserved = 0;
        return;
    }
    const double reserved = bucket.reserved + ReservedShare * tokens;
    bucket.reserved = std::min(std::max(1.0, ReservedShare * burst), reserved);
    const double unused = reserved - bucket.reserved;
    bucket.open =
        std::min(std::max(1.0, (1 - ReservedShare) * burst), bucket.open + (1 - ReservedShare) * tokens + unused);
}

Permit PermitIssuer::issue(Instant now, const Identity &server, double perSecond, std::uint32_t priority,
                           Duration maxDelay, double burstSeconds)
{
    const auto [found, isNew] = m_buckets.try_emplace(server);
    auto &bucket = found->second;
    if (isNew) {
        bucket.refilledAt = now;
    }
    noteDemand(now, bucket, priority);
    refill(now, bucket, perSecond, burstSeconds);
    const bool isHighest = priority <= bucket.highestPriority;
    if (isHighest && bucket.reserved >= 1) {
        bucket.reserved -= 1;
        return {true, {}};
    }
    const double rate = perSecond * (hasCompetition(now, bucket) ? 1 - ReservedShare : 1);
    const double waitSeconds = std::max(0.0, 1 - bucket.open) / std::max(rate, 1e-6);
    if (waitSeconds <= toSeconds(maxDelay)) {
        bucket.open -= 1;
        return {true, fromSeconds(waitSeconds)};
    }
    double untilSeconds = waitSeconds - toSeconds(maxDelay);
    if (isHighest && rate < perSecond) {
        untilSeconds = std::min(untilSeconds, (1 - bucket.reserved) / (ReservedShare * perSecond));
    }
    return {false, fromSeconds(untilSeconds)};
}

void PermitIssuer::expire(Instant now)
{
    for (auto it = m_buckets.begin(); it != m_buckets.end();) {
        it = now - it->second.refilledAt >= BucketRetention ? m_buckets.erase(it) : std::next(it);
    }
}

}

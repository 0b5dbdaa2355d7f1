#include <galenarock/silence.h>

#include <algorithm>

namespace Galenarock
{

namespace
{
/// Answers per bin from which the percentile is taken.
constexpr std::size_t MaxSamples = 256;
/// A lower one would cut off more requests of healthy servers than a retry budget of 20% leaves room for beside the
/// silences.
constexpr double Percentile = 0.99;
/// The bound as a multiple of the percentile. Answers that a bound cuts off are missing from the percentile; without a
/// margin it would fall again and again.
constexpr double Margin = 1.25;
/// Above this number of servers, those without a recent answer are forgotten: each restart is a new identity.
constexpr std::size_t MaxServers = 256;
constexpr Duration ServerRetention = seconds(30);

Duration boundOf(std::vector<Duration> latencies)
{
    const auto rank = static_cast<std::ptrdiff_t>(Percentile * static_cast<double>(latencies.size() - 1));
    std::nth_element(latencies.begin(), latencies.begin() + rank, latencies.end());
    return duration_cast<Duration>(Margin * latencies[static_cast<std::size_t>(rank)]);
}
}

double QueueMet::rounds() const
{
    return std::max(1.0, (outstanding + 1) / std::max(1.0, slots));
}

std::size_t SilenceWatch::binOf(const QueueMet &queue)
{
    const double rounds = queue.rounds();
    std::size_t bin = 0;
    while (bin + 1 < BinCount && rounds > static_cast<double>(1U << bin)) {
        ++bin;
    }
    return bin;
}

void SilenceWatch::addSample(std::size_t bin, Duration latency)
{
    auto &samples = m_samples[bin];
    if (samples.latencies.size() < MaxSamples) {
        samples.latencies.push_back(latency);
        return;
    }
    samples.latencies[samples.next] = latency;
    samples.next = (samples.next + 1) % MaxSamples;
}

void SilenceWatch::answered(Instant now, const Identity &server, const QueueMet &queue, Duration latency,
                            bool reportsQueue)
{
    addSample(binOf(queue), latency);
    auto &answers = m_servers[server];
    answers.lastAt = now;
    if (reportsQueue) {
        answers.lastWithQueueAt = now;
    }
    if (m_servers.size() > MaxServers) {
        forgetOldServers(now);
    }
}

void SilenceWatch::forgetOldServers(Instant now)
{
    for (auto it = m_servers.begin(); it != m_servers.end();) {
        it = now - it->second.lastAt >= ServerRetention ? m_servers.erase(it) : std::next(it);
    }
}

std::optional<Duration> SilenceWatch::bound(const QueueMet &queue) const
{
    const auto own = binOf(queue);
    // A shorter queue's percentile is scaled up to the longer queue, a longer queue's is not scaled down.
    for (auto bin = own + 1; bin-- > 0;) {
        if (m_samples[bin].latencies.size() >= minAnswers) {
            return std::max(minBound, boundOf(m_samples[bin].latencies) * (1 << (own - bin)));
        }
    }
    for (auto bin = own + 1; bin < BinCount; ++bin) {
        if (m_samples[bin].latencies.size() >= minAnswers) {
            return std::max(minBound, boundOf(m_samples[bin].latencies));
        }
    }
    return {};
}

bool SilenceWatch::isSign(const SilentAttempt &attempt) const
{
    const auto found = m_servers.find(attempt.server);
    if (found == m_servers.end() || found->second.lastAt <= attempt.sentAt) {
        return false;
    }
    return attempt.queue.hasQueue() || found->second.lastWithQueueAt > attempt.sentAt;
}

bool SilenceWatch::silent(Instant now, const SilentAttempt &attempt)
{
    if (!isSign(attempt)) {
        return false;
    }
    if (attempt.hasEnded) {
        m_signs.push_back(now);
    }
    while (!m_signs.empty() && now - m_signs.front() > signWindow) {
        m_signs.pop_front();
    }
    while (m_signs.size() > signsToShow) {
        m_signs.pop_front();
    }
    if (m_signs.size() >= signsToShow || isShown(now)) {
        m_shownUntil = now + shownFor;
    }
    return true;
}

}

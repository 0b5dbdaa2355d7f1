#include <galenarock/warmuppace.h>

#include <algorithm>
#include <cmath>

namespace Galenarock
{

namespace
{
/// Time by which permits for one second may arrive later than they were given: 150 ms until the reply of the issuer is
/// no longer waited for, and 250 ms until a permit that is not used is given up.
constexpr double LatestUseSeconds = 0.4;
/// Two daemons that take themselves for the issuer, and half of the rate for daemons that hear neither.
constexpr double RateSources = 2.5;
/// Tokens that are kept while nothing is sent: one at each of the two issuers.
constexpr double SavedTokens = 2;
/// Requests within the bound that are left unused.
constexpr double Margin = 1;
/// Rate for bounds that are too tight for the formula.
constexpr double SlowestRate = 0.1;

constexpr double FirstShare = 0.5;
constexpr double LowestShare = 0.2;
/// Rise per good answer: from the first share to the whole rate with five answers.
constexpr double Rise = 0.1;
constexpr double SlowFactor = 0.9;
constexpr double RefusedFactor = 0.7;
constexpr double SilentFactor = 0.5;
/// Answers of a cold server take longer than those of others even at a rate that it tolerates.
constexpr double SlowAnswer = 3;
constexpr Duration PaceRetention = seconds(60);
}

double coldRate(double perSecond, const WarmupBound &bound)
{
    if (bound.overshoot <= 0 || perSecond <= 0) {
        return 0;
    }
    const double most = bound.overshoot * perSecond + bound.slack;
    const double rate = (most - SavedTokens - Margin) / (RateSources * (1 + LatestUseSeconds));
    return std::clamp(rate, SlowestRate, std::max(SlowestRate, perSecond));
}

PaceSigns &PaceSigns::operator+=(const PaceSigns &other)
{
    good += other.good;
    slow += other.slow;
    refused += other.refused;
    silent += other.silent;
    return *this;
}

bool isSlowAnswer(double latencySeconds, double meanOfPeersSeconds)
{
    return meanOfPeersSeconds > 0 && latencySeconds > SlowAnswer * meanOfPeersSeconds;
}

void WarmupPace::add(Instant now, const Identity &server, const PaceSigns &signs)
{
    if (signs.isEmpty()) {
        return;
    }
    auto &entry = m_entries.try_emplace(server, Entry{FirstShare, now}).first->second;
    entry.answeredAt = now;
    entry.share = std::min(1.0, entry.share + Rise * signs.good);
    entry.share *= std::pow(SlowFactor, signs.slow) * std::pow(RefusedFactor, signs.refused)
        * std::pow(SilentFactor, signs.silent);
    entry.share = std::max(LowestShare, entry.share);
}

double WarmupPace::share(const Identity &server) const
{
    const auto found = m_entries.find(server);
    return found == m_entries.end() ? FirstShare : found->second.share;
}

void WarmupPace::expire(Instant now)
{
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        it = now - it->second.answeredAt >= PaceRetention ? m_entries.erase(it) : std::next(it);
    }
}

}

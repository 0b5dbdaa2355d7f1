#include <galenarock/answerpace.h>

#include <algorithm>

namespace Galenarock
{

namespace
{
/// Share at a start and lowest share: with 0 the server would get no request that shows its state.
constexpr double LowestShare = 0.1;
/// Part of the way to the share that an answer suggests. With a high value few answers are enough: with 58 daemons and
/// 72 servers one daemon sends a server a request every 8 s.
constexpr double AnswerWeight = 0.5;
/// Latencies up to this multiple of the peers' mean are taken for usual, since service times vary.
constexpr double UsualLatency = 1.25;
/// An answer that took longer than this multiple shows a queue that grows or a fault.
constexpr double SlowLatency = 3;
constexpr double SlowFactor = 0.7;
constexpr double RefusedFactor = 0.5;
constexpr double FailedFactor = 0.3;
/// Without less trust after failures, a server that fails half of its requests keeps half of its share.
constexpr double RefusedTrust = 0.7;
constexpr double FailedTrust = 0.4;
constexpr double GoodTrust = 1.3;
/// The share of a server that has failed then rises by itself within 4 times the rise time.
constexpr double LowestTrust = 0.25;
/// After this multiple of the rise time slow answers no longer hold the pace down: the server is then slow by nature,
/// and the choice by expected delay accounts for that.
constexpr int SlownessLimit = 2;
}

AnswerPace::AnswerPace(Duration riseTime)
    : m_riseTime(riseTime)
{
}

void AnswerPace::start(Instant now)
{
    m_startedAt = now;
    m_trust = 1;
    set(now, LowestShare);
}

void AnswerPace::set(Instant now, double share)
{
    m_share = std::clamp(share, LowestShare, 1.0);
    m_changedAt = now;
}

double AnswerPace::share(Instant now) const
{
    const std::chrono::duration<double> age = now - m_changedAt;
    const std::chrono::duration<double> riseTime = m_riseTime;
    return std::min(1.0, m_share + m_trust * (1 - LowestShare) * (age / riseTime));
}

bool AnswerPace::answered(Instant now, double latencySeconds, double meanOfPeersSeconds)
{
    const double current = share(now);
    if (current >= 1) {
        return true;
    }
    const bool isKnown = meanOfPeersSeconds > 0 && latencySeconds > 0;
    const double ratio = isKnown ? latencySeconds / meanOfPeersSeconds : 1;
    const double suggested = std::min(1.0, UsualLatency / ratio);
    const bool isFast = suggested >= current;
    if (!isFast && now - m_startedAt >= SlownessLimit * m_riseTime) {
        return true;
    }
    if (!isFast && ratio > SlowLatency) {
        reduce(now, SlowFactor, 1);
    } else {
        set(now, current + (isFast ? m_trust : 1) * AnswerWeight * (suggested - current));
        m_trust = std::min(1.0, m_trust * (isFast ? GoodTrust : 1));
    }
    return isFast;
}

void AnswerPace::refused(Instant now)
{
    reduce(now, RefusedFactor, RefusedTrust);
}

void AnswerPace::failed(Instant now)
{
    reduce(now, FailedFactor, FailedTrust);
}

void AnswerPace::reduce(Instant now, double factor, double trust)
{
    const double current = share(now);
    if (current < 1) {
        set(now, current * factor);
        m_trust = std::max(LowestTrust, m_trust * trust);
    }
}

}

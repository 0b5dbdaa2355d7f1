#pragma once

#include <cstdint>

#include <galenarock/base.h>

/// Share of its usual requests that a server gets after it has started or recovered.
namespace Galenarock
{

/// How the share of a server that has started or recovered rises.
enum class SlowStart : std::uint8_t
{
    /// With time only.
    Linear,
    /// By the server's answers.
    Answers,
};

/// Pace of one server as seen by one daemon: the share of the requests that the server would get if it had been running
/// for long. It starts low, follows the answers, and rises by itself without them. It ends when the share is 1. Pure;
/// not thread-safe.
///
/// Example: `pace.start(now); ... pace.answered(now, 0.12, 0.1); ... if (uniform() < pace.share(now)) { choose(); }`
class AnswerPace
{
public:
    /// `riseTime` is the time from the lowest share to 1 without answers.
    explicit AnswerPace(Duration riseTime = seconds(5));

    /// The server has started, has recovered or has become cold.
    void start(Instant now);
    /// Latency of an answer and the mean latency of the service's other servers, both at the usual speed of the
    /// machines. A mean of 0 is unknown, and the answer then counts as fast. Returns whether the answer raised or kept
    /// the share.
    bool answered(Instant now, double latencySeconds, double meanOfPeersSeconds);
    void refused(Instant now);
    /// A failure, or no answer.
    void failed(Instant now);

    /// 0.1 to 1; 1 before the first start().
    double share(Instant now) const;
    bool isEnded(Instant now) const
    {
        return share(now) >= 1;
    }
    /// Time of the last start().
    Instant startedAt() const
    {
        return m_startedAt;
    }

private:
    void set(Instant now, double share);
    void reduce(Instant now, double factor, double trust);

    Duration m_riseTime;
    Instant m_startedAt{};
    /// Share at `m_changedAt`, from which it rises by itself.
    double m_share = 1;
    Instant m_changedAt{};
    /// Factor of each rise: falls with refusals and failures, and returns to 1 with good answers.
    double m_trust = 1;
};

/// Pace of a listed server.
struct ServerPace
{
    Identity server;
    double share = 1;
    /// Since the start of the pace.
    Duration age{};
};

/// What has happened to the paces of a service's servers.
struct PaceCounts
{
    std::uint64_t started = 0;
    std::uint64_t ended = 0;
    /// Answers that raised or kept the share, answers that reduced it, refusals and failures.
    std::uint64_t good = 0;
    std::uint64_t slow = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
};

}

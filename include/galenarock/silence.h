#pragma once

#include <array>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include <galenarock/base.h>

/// Servers that never answer a request that they cannot queue.
namespace Galenarock
{

/// Load of a server when an attempt began.
struct QueueMet
{
    /// Requests at the server, running and queued.
    double outstanding = 0;
    /// Requests that it runs concurrently.
    double slots = 1;

    bool hasQueue() const
    {
        return outstanding >= slots;
    }
    /// Time until the attempt's own answer, as a multiple of the service time.
    double rounds() const;
};

/// An attempt without any byte of an answer after the bound.
struct SilentAttempt
{
    Identity server;
    /// When its whole request had been sent.
    Instant sentAt{};
    QueueMet queue;
    /// It ended at its deadline, so that a late answer is ruled out.
    bool hasEnded = false;
};

/// Learns from one service's answers how long an attempt may remain without any byte of an answer, and whether the
/// service's servers go silent when they are full. One instance per service and worker; not thread-safe.
///
/// Example: `if (watch.isShown(now) && waited > watch.bound(queue)) { ... watch.silent(now, attempt); }`
class SilenceWatch
{
public:
    /// Silences within `signWindow` that show the pattern.
    static constexpr std::size_t signsToShow = 3;
    static constexpr Duration signWindow = seconds(10);
    /// How long the pattern counts as shown after the last sign. A service that is full only at times would otherwise
    /// have to lose three requests per worker each time.
    static constexpr Duration shownFor = seconds(60);
    /// No bound is shorter. A lost packet delays an answer by 200 ms and more, and so may a VM that is short of
    /// processor time.
    static constexpr Duration minBound = milliseconds(300);
    /// Answers without which there is no percentile.
    static constexpr std::size_t minAnswers = 100;

    /// Records the first byte of an answer; `latency` is the time since the request was sent, `reportsQueue` whether
    /// the answer states that all slots of the server are in use.
    void answered(Instant now, const Identity &server, const QueueMet &queue, Duration latency, bool reportsQueue);
    /// Longest time that an attempt may remain without a byte; empty while too few answers are known.
    std::optional<Duration> bound(const QueueMet &queue) const;
    /// Records an attempt beyond the bound; true if it is a sign of the pattern: its server had a queue and answered
    /// another request meanwhile. Only attempts that have ended can begin the pattern, since a slow answer may follow
    /// the others.
    bool silent(Instant now, const SilentAttempt &attempt);
    /// Whether the service's servers have shown the pattern.
    bool isShown(Instant now) const
    {
        return now < m_shownUntil;
    }

private:
    /// Latencies of the last answers, the oldest of which is replaced by the next.
    struct Samples
    {
        std::vector<Duration> latencies;
        std::size_t next = 0;
    };
    struct ServerAnswers
    {
        Instant lastAt{};
        /// Last answer that stated that all slots are in use.
        Instant lastWithQueueAt{};
    };
    static constexpr std::size_t BinCount = 5;

    static std::size_t binOf(const QueueMet &queue);
    void addSample(std::size_t bin, Duration latency);
    bool isSign(const SilentAttempt &attempt) const;
    void forgetOldServers(Instant now);

    /// By QueueMet::rounds(): up to 1, 2, 4, 8, and more.
    std::array<Samples, BinCount> m_samples;
    std::map<Identity, ServerAnswers> m_servers;
    std::deque<Instant> m_signs;
    Instant m_shownUntil{};
};

}

#pragma once

#include <cstdint>
#include <map>

#include <galenarock/base.h>

/// Request rates to servers that are cold.
namespace Galenarock
{

/// Bound on the requests that reach a cold server within any one second, over all daemons: `overshoot` times the rate
/// that the server tolerates, and `slack` more. An overshoot of 0 sets no bound.
struct WarmupBound
{
    double overshoot = 0;
    double slack = 0;

    friend bool operator==(const WarmupBound &a, const WarmupBound &b)
    {
        return a.overshoot == b.overshoot && a.slack == b.slack;
    }
};

/// Highest rate at which permits are given for a server that tolerates `perSecond` while it is cold; 0 when the bound
/// is off or the server tolerates any rate. It keeps each second within the bound when two daemons take themselves for
/// the issuer, the daemons that hear neither use their own parts, and permits are used as late as they are valid.
double coldRate(double perSecond, const WarmupBound &bound);

/// Answers of one server as one or several daemons saw them.
struct PaceSigns
{
    /// Answered about as fast as the other servers of its service.
    std::uint32_t good = 0;
    /// Answered much more slowly than those.
    std::uint32_t slow = 0;
    /// The server refused the request.
    std::uint32_t refused = 0;
    /// No answer, or a part of one.
    std::uint32_t silent = 0;

    bool isEmpty() const
    {
        return good == 0 && slow == 0 && refused == 0 && silent == 0;
    }
    PaceSigns &operator+=(const PaceSigns &other);

    friend bool operator==(const PaceSigns &a, const PaceSigns &b)
    {
        return a.good == b.good && a.slow == b.slow && a.refused == b.refused && a.silent == b.silent;
    }
};

/// Whether an answer took much longer than those of the service's other servers take on average; false while their mean
/// is not known.
bool isSlowAnswer(double latencySeconds, double meanOfPeersSeconds);

/// Share of its cold rate that each cold server gets: it rises with each good answer and falls with each other one.
/// Pure; not thread-safe.
///
/// Example: `pace.add(now, server, signs); const double rate = pace.share(server) * coldRate(perSecond, bound);`
class WarmupPace
{
public:
    void add(Instant now, const Identity &server, const PaceSigns &signs);
    /// At most 1; for a server without any answer so far the share with which each one begins.
    double share(const Identity &server) const;
    /// Forgets servers without an answer for a minute.
    void expire(Instant now);

private:
    struct Entry
    {
        double share = 0;
        Instant answeredAt{};
    };
    std::map<Identity, Entry> m_entries;
};

}

#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include <galenarock/metrics.h>
#include <galenarock/serverlimits.h>

namespace Galenarock
{

/// ServerLimits of the daemon, shared by its workers, the control thread and the peer transport. Thread-safe.
class SharedServerLimits
{
public:
    SharedServerLimits(Metrics &metrics, std::string self, std::uint64_t seed);

    using SendHook = std::function<void(const SendPeerAction &)>;
    /// Sends a message to another daemon. Set before the threads start.
    void setSendHook(SendHook hook)
    {
        m_send = std::move(hook);
    }
    /// Called when an answer to a pending question has arrived. Set before the threads start.
    void setWakeHook(std::function<void()> hook)
    {
        m_wake = std::move(hook);
    }

    void setMembers(Instant now, const std::vector<Member> &members);
    void setFleetListed();
    /// What a response of the server states.
    void observe(Instant now, const Identity &server, std::optional<double> perSecond);
    /// Replaces the list of the servers that are cold.
    void setColdServers(const std::vector<ColdServer> &servers);
    /// How a cold server answered one request of this daemon; ignored for others.
    void observeAnswer(Instant now, const Identity &server, const PaceSigns &signs);
    PermitDecision ask(Instant now, const Identity &server, std::uint32_t priority, Duration maxDelay);
    /// The answer to a pending question, once; empty while there is none.
    std::optional<Permit> takeOutcome(std::uint64_t number);
    /// Handles a message of another daemon; a malformed one is counted.
    void receive(Instant now, const PeerEvent &event);
    /// Sends changes and ends questions without a reply. Call at least every 50 ms.
    void step(Instant now);
    /// Counts a request that is sent, for the log.
    void countSent(const Identity &server, bool isRepeated);

    /// False if no server states a rate or is cold; takes no lock.
    bool hasLimits() const
    {
        return m_limitedServers.load(std::memory_order_relaxed) > 0;
    }
    std::size_t coldServers() const
    {
        return m_coldServers.load(std::memory_order_relaxed);
    }
    /// Number of the list of cold servers: changes with each setColdServers(); takes no lock.
    std::uint64_t coldRevision() const
    {
        return m_coldRevision.load(std::memory_order_acquire);
    }
    std::vector<ColdServer> coldList();
    bool isLimited(const Identity &server);
    Instant refusedUntil(const Identity &server, std::uint32_t priority);
    std::map<Identity, double> rates();

private:
    struct SentCount
    {
        std::uint64_t sent = 0;
        std::uint64_t repeated = 0;
    };
    template<typename Body> auto locked(Body &&body);
    void carryOut(const LimitActions &actions);
    void logSummaryIfDue(Instant now);

    Counter &m_malformed;
    SendHook m_send = [](const SendPeerAction &) {
    };
    std::function<void()> m_wake = [] {
    };
    std::atomic<std::size_t> m_limitedServers{0};
    std::atomic<std::size_t> m_coldServers{0};
    std::atomic<std::uint64_t> m_coldRevision{0};
    std::mutex m_mutex; ///< Guards all members below.
    ServerLimits m_limits;
    std::vector<ColdServer> m_coldList;
    std::map<std::uint64_t, Permit> m_outcomes;
    std::map<Identity, SentCount> m_sent;
    Instant m_nextSummaryAt{};
};

}

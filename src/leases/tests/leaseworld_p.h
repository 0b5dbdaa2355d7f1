#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <galenarock/leases.h>

namespace Galenarock
{

/// A server that checks fencing tokens and counts a hold from the arrival of the grant.
class FakeLeaseServer
{
public:
    struct Hold
    {
        SliceRange range;
        std::uint64_t fence = 0;
        Instant until;
    };

    LeaseCallStatus grant(Instant arrivedAt, Instant now, const LeaseCall &call);
    void release(const LeaseCall &call);
    bool holds(Instant now, KeyHash position) const;
    void restart();

    bool isUp = true;
    /// False while orders do not reach it.
    bool isReachable = true;
    /// Set by a grant whose fencing token is not above all that other servers had; see LeaseWorld.
    std::vector<Hold> held;

private:
    /// Highest number seen, by range as granted.
    std::vector<Hold> m_seen;
};

/// Daemons, servers and a store in one simulated time. Faults are switched on by the test.
class LeaseWorld
{
public:
    LeaseWorld(std::uint64_t seed, std::size_t daemons, std::size_t servers);

    void run(Duration duration);
    /// Positions that are looked at; the invariant is checked for them at every step.
    const std::vector<KeyHash> &positions() const
    {
        return m_positions;
    }
    /// Positions that a live server holds and whose table entry at the leader names it.
    std::size_t servedPositions() const;
    std::size_t leaderCount() const;
    std::optional<std::size_t> leader() const;
    void killDaemon(std::size_t index);
    void startDaemon(std::size_t index);
    void crashServer(std::size_t index, bool isRegistered);
    /// Same name, later process.
    void restartServer(std::size_t index);
    void setLeaving(std::size_t index);
    void addServer();
    void addLoad(const std::vector<std::pair<KeyHash, std::uint32_t>> &positions);
    void stopDaemon(std::size_t index);
    /// Ends a suspension; the daemon learns of the servers that changed meanwhile.
    void thaw(std::size_t index);
    Assignment table() const;

    struct Daemon
    {
        Identity identity;
        std::unique_ptr<LeaseController> controller;
        bool isFrozen = false;
        bool reachesStore = true;
        bool reachesPeers = true;
        std::uint16_t cpuPercent = 100;
        /// Payloads sent to other daemons.
        std::size_t sentBytes = 0;
    };
    struct ServerState
    {
        LeaseServer entry;
        FakeLeaseServer server;
        bool isRegistered = true;
    };

    Instant now{};
    bool isStoreUp = true;
    /// Share of writes that take effect without an answer.
    double lostWrites = 0;
    /// Share of grants that get no answer and take effect up to 6 s later.
    double lateGrants = 0;
    double lostPeerMessages = 0;
    std::vector<Daemon> daemons;
    std::vector<ServerState> servers;
    /// First violation of single ownership or of rising numbers; empty for none.
    std::string violation;
    std::size_t moves = 0;

private:
    void step();
    void deliver(std::size_t daemon, const ControlEvent &event);
    void carryOut(std::size_t daemon, LeaseActions actions);
    void write(std::size_t daemon, const WriteObjectAction &action);
    void read(std::size_t daemon, const ReadObjectAction &action);
    void order(std::size_t daemon, const LeaseCall &call);
    void applyOrder(Instant arrivedAt, const LeaseCall &call, LeaseReplyEvent &reply);
    void sendPeer(std::size_t daemon, const SendPeerAction &action);
    void later(Duration delay, std::function<void()> action);
    void publishServers();
    void publishMembers();
    void check();
    double uniform();
    ServerState *find(const Identity &identity);

    std::mt19937_64 m_random;
    std::multimap<Instant, std::function<void()>> m_agenda;
    std::vector<KeyHash> m_positions;
    std::map<KeyHash, std::pair<std::uint64_t, Identity>> m_highest;
    std::optional<StoredObject> m_object;
    std::uint64_t m_version = 1;
    std::uint64_t m_nextBoot = 100;
};

}

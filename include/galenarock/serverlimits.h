#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <galenarock/assignment.h>
#include <galenarock/base.h>
#include <galenarock/control.h>
#include <galenarock/error.h>
#include <galenarock/warmuppace.h>

/// Request rates that overloaded servers ask for, and how the daemons keep to them together.
///
/// A server in need states in its responses how many requests per second it takes from all daemons. One daemon, the
/// issuer of that server, gives a permit for each request; the others ask it before they send. The table of stated
/// rates spreads by gossip, so that a daemon that has just started keeps to them as well. A daemon that does not reach
/// the issuer uses a part of its even share.
namespace Galenarock
{

namespace RequestMessage
{
/// Rates that servers state; gossip, and the answer to LimitQuery.
inline constexpr std::uint16_t LimitUpdate = PeerMessageRange::Requests + 4;
/// Asks for all known rates; no payload.
inline constexpr std::uint16_t LimitQuery = LimitUpdate + 1;
/// To the issuer of a server: asks for a permit for one request.
inline constexpr std::uint16_t PermitRequest = LimitUpdate + 2;
inline constexpr std::uint16_t PermitReply = LimitUpdate + 3;
}

/// Rate that one server process states.
struct ServerLimit
{
    Identity server;
    /// Requests per second from all daemons together; 0 when the server no longer states a rate.
    double perSecond = 0;
    /// Increases with each change that a daemon observes.
    std::uint32_t version = 0;

    friend bool operator==(const ServerLimit &a, const ServerLimit &b)
    {
        return a.server == b.server && a.perSecond == b.perSecond && a.version == b.version;
    }
};

/// A server that is cold: caches and connections of its process are not filled yet, and it tolerates few requests. The
/// daemons derive this from the server's entry, each for itself.
struct ColdServer
{
    Identity server;
    /// Requests per second from all daemons together.
    double perSecond = 0;
    /// No request is sent before this time, so that those under way when the server became cold have arrived.
    Instant openAt{};
    Instant until{};

    friend bool operator==(const ColdServer &a, const ColdServer &b)
    {
        return a.server == b.server && a.perSecond == b.perSecond && a.openAt == b.openAt && a.until == b.until;
    }
};

/// Question for a permit to send one request to a server.
struct PermitRequest
{
    /// Number that the reply repeats.
    std::uint64_t number = 0;
    /// The rate as the asking daemon knows it; with version 0 the rate of a cold server, which other daemons do not
    /// take over as one that the server states.
    ServerLimit limit;
    /// 0 is the highest priority.
    std::uint32_t priority = 0;
    /// Longest time that the request can wait.
    Duration maxDelay{};
    /// Answers of a cold server that the asking daemon has seen since its last question.
    PaceSigns signs;

    friend bool operator==(const PermitRequest &a, const PermitRequest &b)
    {
        return a.number == b.number && a.limit == b.limit && a.priority == b.priority && a.maxDelay == b.maxDelay
            && a.signs == b.signs;
    }
};

struct Permit
{
    bool isGranted = false;
    /// Granted: time to wait before the request is sent. Refused: time after which a permit is likely.
    Duration delay{};

    friend bool operator==(const Permit &a, const Permit &b)
    {
        return a.isGranted == b.isGranted && a.delay == b.delay;
    }
};

struct PermitReply
{
    std::uint64_t number = 0;
    /// The rate as the issuer knows it.
    ServerLimit limit;
    Permit permit;

    friend bool operator==(const PermitReply &a, const PermitReply &b)
    {
        return a.number == b.number && a.limit == b.limit && a.permit == b.permit;
    }
};

/// cereal portable binary; delays in milliseconds.
std::string encode(const std::vector<ServerLimit> &limits);
std::string encode(const PermitRequest &request);
std::string encode(const PermitReply &reply);
Result<std::vector<ServerLimit>> decodeServerLimits(const std::string &payload);
Result<PermitRequest> decodePermitRequest(const std::string &payload);
Result<PermitReply> decodePermitReply(const std::string &payload);

/// Rates that servers state, as one daemon knows them. Pure; not thread-safe.
class ServerLimitTable
{
public:
    /// Records what a response of the server says; 0 when it states no rate. True if that is a change. Differences
    /// below 5% are ignored: many daemons see many responses, and each change is sent to all of them.
    bool observe(Instant now, const Identity &server, double perSecond);
    /// Takes over an entry of another daemon if it is newer. True if that is a change.
    bool merge(Instant now, const ServerLimit &limit);
    /// The entry of a server; version 0 when there is none.
    ServerLimit find(const Identity &server) const;
    /// Number of servers that state a rate now.
    std::size_t limitedServers() const
    {
        return m_limitedServers;
    }
    std::vector<ServerLimit> all() const;
    /// Entries that changed less than `age` ago.
    std::vector<ServerLimit> changedWithin(Instant now, Duration age) const;
    /// Forgets servers that stated no rate for a minute, and servers without any report for ten minutes.
    void expire(Instant now);

private:
    struct Entry
    {
        ServerLimit limit;
        Instant changedAt{};
    };
    bool put(Instant now, const ServerLimit &limit);

    std::map<Identity, Entry> m_entries;
    std::size_t m_limitedServers = 0;
};

/// Gives permits for the requests of all daemons to the servers of which this daemon is the issuer. Pure; not
/// thread-safe.
///
/// A token bucket for each server. While requests of different priorities compete for a server, three quarters of its
/// rate are kept for the highest one, and the rest is open to all, so that none starves. A request may wait for a token
/// that will be there soon.
class PermitIssuer
{
public:
    /// Up to `burstSeconds` of the rate are kept for a burst, and at least one token for each share of the rate.
    Permit issue(Instant now, const Identity &server, double perSecond, std::uint32_t priority, Duration maxDelay,
                 double burstSeconds = 0.5);
    /// Forgets servers without requests for ten seconds.
    void expire(Instant now);

private:
    struct Bucket
    {
        /// Tokens for the highest priority, and tokens for all; the latter is negative while requests wait.
        double reserved = 0;
        double open = 0;
        Instant refilledAt{};
        std::uint32_t highestPriority = 0;
        Instant highestSeenAt{};
        Instant lowerSeenAt{};
    };
    static bool hasCompetition(Instant now, const Bucket &bucket);
    static void noteDemand(Instant now, Bucket &bucket, std::uint32_t priority);
    static void refill(Instant now, Bucket &bucket, double perSecond, double burstSeconds);

    std::map<Identity, Bucket> m_buckets;
};

/// How a request to a server may go on.
enum class PermitState : std::uint8_t
{
    /// The server states no rate.
    NotNeeded,
    Granted,
    Refused,
    /// The issuer has been asked; a PermitOutcome with this number follows.
    Pending,
};

struct PermitDecision
{
    PermitState state = PermitState::NotNeeded;
    /// As in Permit, for Granted and Refused.
    Duration delay{};
    /// For Pending.
    std::uint64_t number = 0;
};

/// Answer to a pending question.
struct PermitOutcome
{
    std::uint64_t number = 0;
    Permit permit;
};

struct LimitActions
{
    std::vector<SendPeerAction> messages;
    std::vector<PermitOutcome> outcomes;
    /// Changes of the table since the last step, for the log.
    std::vector<ServerLimit> changes;
};

/// One daemon's part in keeping the stated rates of servers. Pure: time is passed in, and the random numbers come from
/// the seed. Not thread-safe, see SharedServerLimits.
///
/// Example: `const auto decision = limits.ask(now, server, rule.priority, milliseconds(200), actions);`
class ServerLimits
{
public:
    ServerLimits(std::string self, std::uint64_t seed);

    /// The member table. A member that died less than a minute ago counts as a daemon that may still send requests,
    /// since it may only be cut off from this one.
    void setMembers(Instant now, const std::vector<Member> &members);
    /// The list of all daemons has been read. Before that, a daemon that sees no other one does not take itself for
    /// the only one.
    void setFleetListed()
    {
        m_isFleetListed = true;
    }
    /// What a response of the server states. A server that takes no requests still gets one each ten seconds, since
    /// only a response can show that it takes more again.
    void observe(Instant now, const Identity &server, std::optional<double> perSecond);
    /// Replaces the list of the servers that are cold.
    void setColdServers(const std::vector<ColdServer> &servers);
    /// How a cold server answered requests of this daemon. The issuer of its permits is told with the next question.
    void observeAnswer(Instant now, const Identity &server, const PaceSigns &signs);
    /// Asks whether one request may be sent to the server.
    PermitDecision ask(Instant now, const Identity &server, std::uint32_t priority, Duration maxDelay,
                       LimitActions &actions);
    /// Handles a message of another daemon. Fails with MalformedMessage.
    Result<void> receive(Instant now, const PeerEvent &event, LimitActions &actions);
    /// Ends questions without a reply, and sends changes. Call at least every 50 ms.
    void step(Instant now, LimitActions &actions);

    bool isLimited(const Identity &server) const
    {
        return m_table.find(server).perSecond > 0 || m_cold.count(server) > 0;
    }
    /// Time until which requests of this priority are refused without asking; in the past if they are not.
    Instant refusedUntil(const Identity &server, std::uint32_t priority) const;
    bool isCold(const Identity &server) const
    {
        return m_cold.count(server) > 0;
    }
    /// Rates of all servers that state one or are cold, in requests per second.
    std::map<Identity, double> rates() const;
    std::size_t limitedServers() const
    {
        return m_table.limitedServers() + m_cold.size();
    }
    std::size_t coldServers() const
    {
        return m_cold.size();
    }
    /// Daemons that may send requests, this one included.
    std::size_t fleetSize(Instant now) const;

private:
    struct Question
    {
        Identity server;
        std::string issuer;
        std::uint32_t priority = 0;
        Instant askedAt{};
    };
    /// Part of a server's rate that this daemon uses while it does not reach the issuer.
    struct OwnPart
    {
        double tokens = 0;
        Instant refilledAt{};
    };
    /// Rate at which requests may go to a server.
    struct Pace
    {
        double perSecond = 0;
        bool isCold = false;
        /// As in ColdServer.
        Instant openAt{};
    };
    Pace paceOf(const ServerLimit &limit) const;
    std::size_t coldFleetSize(Instant now) const;
    const std::string &issuerOf(const Identity &server);
    double issuedRate(Instant now, const Pace &pace) const;
    Permit issueAsIssuer(Instant now, const Identity &server, const Pace &pace, std::uint32_t priority,
                         Duration maxDelay);
    Permit issueFromOwnPart(Instant now, const Identity &server, const Pace &pace);
    Permit remember(Instant now, const Identity &server, std::uint32_t priority, Permit permit);
    void endQuestions(Instant now, LimitActions &actions);
    void sendRecentChanges(Instant now, LimitActions &actions);
    void synchronize(Instant now, LimitActions &actions);
    void mergeEntry(Instant now, const ServerLimit &limit);
    void answer(Instant now, const std::string &asker, const PermitRequest &request, LimitActions &actions);
    void takeReply(Instant now, const PermitReply &reply, LimitActions &actions);
    std::string randomMember();
    double uniform();

    const std::string m_self;
    std::mt19937_64 m_random;
    ServerLimitTable m_table;
    PermitIssuer m_issuer;
    /// Members that run, this daemon included; sorted.
    std::vector<std::string> m_running;
    /// When each member was first seen dead.
    std::map<std::string, Instant> m_deadSince;
    bool m_isFleetListed = false;
    std::map<std::string, std::string> m_issuers;
    std::map<std::uint64_t, Question> m_questions;
    std::uint64_t m_nextNumber = 1;
    std::map<std::string, Instant> m_silentUntil;
    std::map<Identity, ColdServer> m_cold;
    WarmupPace m_pace;
    /// Answers of cold servers that their issuers have not been told of yet.
    std::map<Identity, PaceSigns> m_signs;
    std::map<Identity, OwnPart> m_ownParts;
    std::map<std::pair<Identity, std::uint32_t>, Instant> m_refusedUntil;
    std::vector<ServerLimit> m_changes;
    Instant m_nextGossipAt{};
    Instant m_nextSyncAt{};
    Instant m_nextExpiryAt{};
};

}

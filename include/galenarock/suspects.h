#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <galenarock/base.h>
#include <galenarock/control.h>
#include <galenarock/error.h>
#include <galenarock/requests.h>

/// Detects requests that crash the backend servers that run them.
namespace Galenarock
{

/// Hash that recognises a request when its caller repeats it.
using Fingerprint = std::uint64_t;

/// Bytes of the body that are included in the fingerprint.
inline constexpr std::size_t fingerprintBodyBytes = 4'096;

/// A repeated request has the same service, method, path and body prefix. A request id is left out when it is empty;
/// otherwise it replaces the body, so that uploads need not be buffered.
Fingerprint requestFingerprint(std::string_view service, std::string_view method, std::string_view path,
                               std::string_view bodyPrefix, std::string_view requestId);

/// Peer message types 70-89 belong to this module.
namespace RequestMessage
{
inline constexpr std::uint16_t SuspectReport = PeerMessageRange::Requests;
}

/// Crashes that one daemon has recorded for a fingerprint, sent to all peers when they change. Fixed size, so that a
/// malformed message cannot cause large allocations.
struct SuspectReport
{
    static constexpr std::size_t maxServers = 4;

    Fingerprint fingerprint = 0;
    /// Hash of the caller's address.
    std::uint64_t caller = 0;
    /// Hashes of the names of the servers that crashed; 0 for unused places.
    std::array<std::uint64_t, maxServers> servers{};
    /// The request succeeded later, so it is not the cause.
    bool cleared = false;

    friend bool operator==(const SuspectReport &a, const SuspectReport &b)
    {
        return a.fingerprint == b.fingerprint && a.caller == b.caller && a.servers == b.servers
            && a.cleared == b.cleared;
    }
};

/// cereal portable binary.
std::string encode(const SuspectReport &report);
Result<SuspectReport> decodeSuspectReport(const std::string &payload);

struct SuspectSettings
{
    /// Distinct crashed servers after which a fingerprint is refused.
    std::uint32_t serversToRefuse = 2;
    /// Time within which a new boot number confirms a crash; a server restarts within seconds.
    Duration confirmWithin = seconds(30);
    /// The same after an attempt that got no answer. The entry of a server that crashed lapses within seconds.
    Duration confirmSilentWithin = seconds(10);
    Duration expireInterval = seconds(1);
    /// A suspect expires this long after its last crash.
    Duration lifetime = seconds(600);
    std::size_t maxEntries = 4'096;
    /// Maximum fingerprints of one caller address, behind which there may be many callers. A further one displaces that
    /// with the fewest crashes.
    std::size_t maxPerCaller = 1'024;
};

/// A request that was in flight when its connection broke, or that got no answer.
struct LostRequest
{
    Fingerprint fingerprint = 0;
    std::uint64_t caller = 0;
    std::string server;
    /// Boot number of the server when the request was sent; 0 if not known, then the last one seen is used.
    std::uint64_t boot = 0;
};

/// Crash suspects of one daemon.
///
/// Events: a connection lost with a request in flight, an attempt without an answer, a boot number seen (health, grant
/// reply), an answer, a success, a planned stop, a peer's report. Calls return the reports to be sent to all peers.
///
/// An attempt without an answer says little: the server may be slow or cut off. It counts like a lost connection only
/// if the process answers nothing to this daemon afterwards, is then found to be gone, and did not stop as planned.
class CrashSuspects
{
public:
    explicit CrashSuspects(SuspectSettings settings = {});

    std::vector<SuspectReport> connectionLost(Instant now, const LostRequest &lost);
    std::vector<SuspectReport> unanswered(Instant now, const LostRequest &lost);
    /// The process has answered something: what it has not answered so far did not crash it.
    void answered(const std::string &server, std::uint64_t boot);
    /// The process had announced its end; no request is to blame for it.
    void stoppedAsPlanned(Instant now, const std::string &server, std::uint64_t boot);
    std::vector<SuspectReport> bootSeen(Instant now, const std::string &server, std::uint64_t boot);
    /// Call when a request with this fingerprint got a complete response.
    std::vector<SuspectReport> succeeded(Instant now, Fingerprint fingerprint);
    void reportReceived(Instant now, const SuspectReport &report);

    /// Call before every attempt. Set if the request must not be sent to a server.
    std::optional<Refusal> refusalFor(Instant now, Fingerprint fingerprint) const;
    /// Removes expired entries. Call about every second.
    void expire(Instant now);

    std::size_t size() const
    {
        return m_suspects.size();
    }
    /// Attempts without an answer whose servers are not known to live or to be gone.
    std::size_t unconfirmedSilences() const
    {
        return m_silences;
    }

private:
    struct Suspect
    {
        std::uint64_t caller = 0;
        std::array<std::uint64_t, SuspectReport::maxServers> servers{};
        Instant expiresAt{};
    };
    struct Pending
    {
        LostRequest lost;
        Instant expiresAt{};
        bool isSilence = false;
    };
    struct SeenBoot
    {
        std::uint64_t boot = 0;
        Instant seenAt{};
    };
    std::vector<SuspectReport> lose(Instant now, const LostRequest &lost, bool isSilence);
    bool isPlanned(const LostRequest &lost) const;
    template<typename Condition> void erasePending(const Condition &condition);
    void expireIfDue(Instant now);
    std::uint64_t lastSeenBoot(const std::string &server) const;
    Suspect &suspectFor(Instant now, Fingerprint fingerprint, std::uint64_t caller);
    std::optional<SuspectReport> confirm(Instant now, const LostRequest &lost);
    void erase(Fingerprint fingerprint);
    /// Removes the suspect with the fewest crashes, of these the oldest; of one caller only, if it is set.
    void evictWeakest(std::optional<std::uint64_t> caller);

    SuspectSettings m_settings;
    std::unordered_map<Fingerprint, Suspect> m_suspects;
    std::unordered_map<std::uint64_t, std::size_t> m_perCaller;
    std::vector<Pending> m_pending;
    std::size_t m_silences = 0;
    std::map<std::string, SeenBoot> m_boots;
    /// Last process of each name that stopped as planned.
    std::map<std::string, SeenBoot> m_planned;
    Instant m_nextExpiryAt{};
};

}

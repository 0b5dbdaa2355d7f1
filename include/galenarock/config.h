#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <galenarock/control.h>

/// Distribution of documents and assignments: every daemon holds the latest known version of each.
namespace Galenarock
{

struct ConfigSettings
{
    Identity self;
    std::string failureDomain;
    /// Random seed; must differ between daemons.
    std::uint64_t seed = 1;
    /// Object kinds that are distributed; others are ignored.
    std::vector<std::string> kinds{ObjectKind::Service, ObjectKind::Assignment};
    std::size_t relaysPerDomain = 2;
    /// Number of random members to which each update is gossiped.
    std::size_t fanOut = 4;
    Duration digestInterval = seconds(1);
    Duration reportInterval = seconds(10);
    /// Startup ends once an object is known and either this many peers report an equal digest (all peers if there are
    /// fewer) or startupGracePeriod has passed.
    std::size_t startupPeers = 3;
    Duration startupGracePeriod = seconds(2);
    std::size_t maxObjects = 20'000;
};

struct ObjectVersion
{
    ObjectKey key;
    std::uint64_t version = 0;

    friend bool operator==(const ObjectVersion &a, const ObjectVersion &b)
    {
        return a.key == b.key && a.version == b.version;
    }
};

/// Last version report of one daemon, kept by the relays of its failure domain.
struct DaemonVersions
{
    std::string vm;
    /// True when the digest of the last report equals the relay's current digest.
    bool isCurrent = false;
    /// Objects among the daemon's latest changes that are older than at the relay, with the daemon's version.
    std::vector<ObjectVersion> lagging;
    Instant reportedAt;
};

struct ConfigCounters
{
    /// Newer versions accepted from the platform and from peers.
    std::uint64_t fromPlatform = 0;
    std::uint64_t fromPeers = 0;
    /// Ignored versions that were older than or equal to the known one.
    std::uint64_t stale = 0;
    /// Objects with a known version but different content. This is a fault of the platform; the first content is kept.
    std::uint64_t contradictions = 0;
    std::uint64_t malformed = 0;
    std::uint64_t rejected = 0;
};

/// Pure core. Keeps the highest version of each object and never replaces it by a lower one.
///
/// Two relays in each failure domain watch the platform. Updates are gossiped to `fanOut` random members at once, and
/// an anti-entropy digest exchange with one random member per second repairs lost updates. During startup no object is
/// handed out until peers have been queried, so that a restarted daemon does not apply older versions than before.
///
/// Handles TickEvent, MembersEvent, ObjectEvent and WriteResultEvent from the platform, PeerEvent (types 20-39).
/// Example:
/// `actions = core.step(now, event); client.setWatch("service", core.shouldWatch());`
/// `for (auto &object : core.takeChanged()) { feedAllCores(ObjectEvent{object, false}); }`
class ConfigCore
{
public:
    explicit ConfigCore(ConfigSettings settings);
    ~ConfigCore();
    ConfigCore(ConfigCore &&) noexcept;
    ConfigCore &operator=(ConfigCore &&) noexcept;

    ControlActions step(Instant now, const ControlEvent &event);

    /// Objects with a newer version since the last call, for the daemon to put in force. Empty until startup has ended.
    std::vector<StoredObject> takeChanged();
    /// Whether this daemon is a relay and should watch the kinds of the settings.
    bool shouldWatch() const;
    /// Names of the relays of this daemon's failure domain.
    std::vector<std::string> relays() const;
    /// False until startup has ended and a service document is known.
    bool hasConfiguration() const;
    /// Reason why hasConfiguration() is false; empty when it is true.
    std::string missingReason() const;
    std::optional<StoredObject> find(const ObjectKey &key) const;
    /// Versions of all stored objects, sorted by key.
    std::vector<ObjectVersion> versions() const;
    /// On a relay: last reports of the other daemons of the failure domain, sorted by name. Empty on daemons that are
    /// not relays.
    std::vector<DaemonVersions> reports() const;
    /// Equal digests mean equal versions of all objects.
    std::uint64_t digest() const;
    const ConfigCounters &counters() const;

private:
    class Private;
    std::unique_ptr<Private> m_data;
};

}

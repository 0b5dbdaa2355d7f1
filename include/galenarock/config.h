#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <galenarock/control.h>

/// Latest known versions of documents and assignments on every daemon.
namespace Galenarock
{

struct ConfigSettings
{
    Identity self;
    std::string failureDomain;
    /// Different on each daemon.
    std::uint64_t seed = 1;
    /// Kinds that are spread; others are ignored.
    std::vector<std::string> kinds{ObjectKind::Service, ObjectKind::Assignment};
    std::size_t relaysPerDomain = 2;
    /// Members to which news are sent on.
    std::size_t fanOut = 4;
    Duration digestInterval = seconds(1);
    Duration reportInterval = seconds(10);
    /// A start is over when this many peers agree on the versions, or after startGrace.
    std::size_t startPeers = 3;
    Duration startGrace = seconds(2);
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

/// What a relay knows about the versions of one daemon of its failure domain.
struct DaemonVersions
{
    std::string vm;
    /// The daemon's versions were all equal to the relay's present ones at its last report.
    bool isCurrent = false;
    /// Objects among the daemon's latest ones that are behind, with the daemon's version.
    std::vector<ObjectVersion> lagging;
    Instant reportedAt;
};

struct ConfigCounters
{
    /// Objects accepted from the platform and from peers.
    std::uint64_t fromPlatform = 0;
    std::uint64_t fromPeers = 0;
    /// Older or equal versions that were ignored.
    std::uint64_t stale = 0;
    /// Same version with other content: a fault of the platform; the first content is kept.
    std::uint64_t contradictions = 0;
    std::uint64_t malformed = 0;
    std::uint64_t rejected = 0;
};

/// Pure core. Keeps the highest version of each object and never goes back to a lower one.
///
/// Two relays in each failure domain watch the platform; news go to `fanOut` random members at once, and a digest
/// exchange with one random member each second repairs what was missed. After a start nothing is handed out before
/// some peers were asked, so that a restarted daemon does not fall back behind what it ran before.
///
/// Handles TickEvent, MembersEvent, ObjectEvent and WriteResultEvent from the platform, PeerEvent (types 20-39).
/// Example:
/// `actions = core.step(now, event); client.setWatch("service", core.wantsWatch());`
/// `for (auto &object : core.takeChanged()) { feedAllCores(ObjectEvent{object, false}); }`
class ConfigCore
{
public:
    explicit ConfigCore(ConfigSettings settings);
    ~ConfigCore();
    ConfigCore(ConfigCore &&) noexcept;
    ConfigCore &operator=(ConfigCore &&) noexcept;

    ControlActions step(Instant now, const ControlEvent &event);

    /// Objects whose version rose since the last call; the daemon puts them in force. Empty until the start is over.
    std::vector<StoredObject> takeChanged();
    /// Whether this daemon is a relay and should watch the kinds of the settings.
    bool wantsWatch() const;
    /// Names of the relays of this daemon's failure domain.
    std::vector<std::string> relays() const;
    /// False until the start is over and a service document is known.
    bool hasConfiguration() const;
    /// Why hasConfiguration() is false; empty otherwise.
    std::string missingReason() const;
    std::optional<StoredObject> find(const ObjectKey &key) const;
    /// All versions in force here, sorted by key.
    std::vector<ObjectVersion> versions() const;
    /// Relays: the other daemons of the failure domain, sorted by name. Empty elsewhere.
    std::vector<DaemonVersions> reports() const;
    /// Equal digests mean equal versions of all objects.
    std::uint64_t digest() const;
    const ConfigCounters &counters() const;

private:
    class Private;
    std::unique_ptr<Private> m_data;
};

}

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <galenarock/control.h>

/// What the builds of the other daemons can do, for fleets that run more than one build during a rolling upgrade.
///
/// Each daemon states its features to every process that joins. A build that states nothing is one from before this
/// module and has none of them. Such builds ignore the statements.
namespace Galenarock
{

/// Bits of PeerBuild::features. A number keeps its meaning in all later builds.
enum class PeerFeature : std::uint32_t
{
    /// Takes requests that another VM relays, within the attempts and the deadline that are left.
    Relays = 1U << 0,
    /// Sends lease calls that name their server, over the connection that is bound to the fencing token, and discards
    /// the bytes of calls that are given up.
    BoundLeaseCalls = 1U << 1,
    /// Does not take a relayed request whose sender uses a newer configuration, and states the outcome in each refusal
    /// of a relayed request.
    RelayVersions = 1U << 2,
    /// Watches the store for others, or takes the store's changes from those that do (galenarock/watchfeed.h).
    WatchFeed = 1U << 3,
};

/// What a daemon states of its build.
struct PeerBuild
{
    /// PeerFeature bits; bits of later builds are kept and have no effect.
    std::uint32_t features = 0;
    /// Version text for the log and the status.
    std::string version;

    bool has(PeerFeature feature) const
    {
        return (features & static_cast<std::uint32_t>(feature)) != 0;
    }
    friend bool operator==(const PeerBuild &a, const PeerBuild &b)
    {
        return a.features == b.features && a.version == b.version;
    }
};

/// The build of this daemon.
PeerBuild ownBuild();
/// For the log: names of the known features, `none` without any.
std::string featureNames(const PeerBuild &build);

/// Message types of this module.
namespace FeatureMessage
{
/// Not in use by any earlier build, each of which ignores it.
inline constexpr std::uint16_t Statement = PeerMessageRange::Ownership + 29;
}

/// Payload of Statement.
struct FeatureStatement
{
    PeerBuild build;
    /// The sender does not know the receiver's build.
    bool isReplyWanted = false;

    friend bool operator==(const FeatureStatement &a, const FeatureStatement &b)
    {
        return a.build == b.build && a.isReplyWanted == b.isReplyWanted;
    }
};

/// cereal portable binary.
std::string encode(const FeatureStatement &statement);
/// Fails with MalformedMessage.
Result<FeatureStatement> decodeFeatureStatement(const std::string &payload);

/// Exchanges statements with the other daemons. Pure core.
class PeerFeatures
{
public:
    PeerFeatures(Identity self, PeerBuild build);

    /// Call at each change of the members; forgets processes that are no longer among them.
    void setMembers(const std::vector<Member> &members);
    /// Statements that are due. A process that does not answer is asked less and less often.
    ControlActions tick(Instant now);
    /// Handles a Statement; a malformed one is logged and ignored. Messages of other types have no effect.
    ControlActions receive(const PeerEvent &event);

    /// Empty if the process has stated nothing.
    std::optional<PeerBuild> build(const Identity &process) const;
    /// The members, and this daemon, that have the feature.
    std::vector<Member> membersWith(PeerFeature feature) const;
    /// Whether all members that are not dead have the feature.
    bool isFleetWide(PeerFeature feature) const;

private:
    struct Peer
    {
        std::optional<PeerBuild> build;
        Instant nextAt{};
        Duration interval{};
    };
    bool has(const Identity &process, PeerFeature feature) const;
    SendPeerAction statement(const std::string &vm, bool isReplyWanted) const;

    Identity m_self;
    PeerBuild m_build;
    std::vector<Member> m_members;
    std::map<Identity, Peer> m_peers;
};

}

#include <galenarock/peerfeatures.h>

#include <algorithm>
#include <array>

#include <cereal/types/string.hpp>
#include <fmt/format.h>

#include "events_p.h"
#include "peer/message_p.h"

namespace Galenarock
{

namespace
{
constexpr Duration FirstRetryInterval = milliseconds(250);
/// Daemons of an earlier build never answer.
constexpr Duration LongestRetryInterval = seconds(10);
constexpr std::size_t MaxVersionBytes = 63;

struct FeatureName
{
    PeerFeature feature;
    const char *name;
};
constexpr std::array<FeatureName, 4> FeatureNames{{
    {PeerFeature::Relays, "relays"},
    {PeerFeature::BoundLeaseCalls, "bound-lease-calls"},
    {PeerFeature::RelayVersions, "relay-versions"},
    {PeerFeature::WatchFeed, "watch-feed"},
}};

struct WireStatement
{
    std::uint32_t features = 0;
    std::string version;
    bool isReplyWanted = false;
    template<typename Archive> void serialize(Archive &archive)
    {
        archive(features);
        Wire::text<std::uint8_t>(archive, version, MaxVersionBytes);
        archive(isReplyWanted);
    }
};
}

PeerBuild ownBuild()
{
    std::uint32_t features = 0;
    for (const auto &it : FeatureNames) {
        features |= static_cast<std::uint32_t>(it.feature);
    }
    return {features, GALENAROCK_VERSION};
}

std::string featureNames(const PeerBuild &build)
{
    std::string names;
    for (const auto &it : FeatureNames) {
        if (build.has(it.feature)) {
            names += (names.empty() ? "" : ", ") + std::string(it.name);
        }
    }
    return names.empty() ? "none" : names;
}

std::string encode(const FeatureStatement &statement)
{
    return encodeMessage(WireStatement{statement.build.features, statement.build.version, statement.isReplyWanted});
}

Result<FeatureStatement> decodeFeatureStatement(const std::string &payload)
{
    BOOST_LEAF_AUTO(wire, decodeMessage<WireStatement>(payload));
    return FeatureStatement{{wire.features, wire.version}, wire.isReplyWanted};
}

PeerFeatures::PeerFeatures(Identity self, PeerBuild build)
    : m_self(std::move(self))
    , m_build(std::move(build))
{
}

void PeerFeatures::setMembers(const std::vector<Member> &members)
{
    m_members = members;
    std::map<Identity, Peer> peers;
    for (const auto &it : members) {
        if (it.identity == m_self || it.status == MemberStatus::Dead) {
            continue;
        }
        const auto known = m_peers.find(it.identity);
        peers.emplace(it.identity, known == m_peers.end() ? Peer() : known->second);
    }
    m_peers = std::move(peers);
}

ControlActions PeerFeatures::tick(Instant now)
{
    ControlActions actions;
    for (auto &[process, peer] : m_peers) {
        if (peer.build || now < peer.nextAt) {
            continue;
        }
        peer.interval = std::clamp(2 * peer.interval, FirstRetryInterval, LongestRetryInterval);
        peer.nextAt = now + peer.interval;
        actions.emplace_back(statement(process.name, true));
    }
    return actions;
}

ControlActions PeerFeatures::receive(const PeerEvent &event)
{
    ControlActions actions;
    if (event.type != FeatureMessage::Statement) {
        return actions;
    }
    const auto received =
        tryOr([&]() -> Result<std::optional<FeatureStatement>> { return decodeFeatureStatement(event.payload); },
              [&](ErrorCode code, const std::string &detail) {
                  logEvent(Events::PeerBuildMalformed, "{}: {}: {}", event.sender.name, errorMessage(code), detail);
                  return std::optional<FeatureStatement>();
              });
    if (!received) {
        return actions;
    }
    // A process that is not a member yet states its build again when it is.
    const auto peer = m_peers.find(event.sender);
    if (peer != m_peers.end() && !(peer->second.build == received->build)) {
        peer->second.build = received->build;
        logEvent(Events::PeerBuildSeen, "{} runs version {}, features: {}", toString(event.sender),
                 received->build.version, featureNames(received->build));
    }
    if (received->isReplyWanted) {
        actions.emplace_back(statement(event.sender.name, false));
    }
    return actions;
}

SendPeerAction PeerFeatures::statement(const std::string &vm, bool isReplyWanted) const
{
    return {vm, FeatureMessage::Statement, encode(FeatureStatement{m_build, isReplyWanted})};
}

std::optional<PeerBuild> PeerFeatures::build(const Identity &process) const
{
    if (process == m_self) {
        return m_build;
    }
    const auto it = m_peers.find(process);
    return it == m_peers.end() ? std::nullopt : it->second.build;
}

bool PeerFeatures::has(const Identity &process, PeerFeature feature) const
{
    const auto stated = build(process);
    return stated && stated->has(feature);
}

std::vector<Member> PeerFeatures::membersWith(PeerFeature feature) const
{
    std::vector<Member> members;
    for (const auto &it : m_members) {
        if (has(it.identity, feature)) {
            members.push_back(it);
        }
    }
    return members;
}

bool PeerFeatures::isFleetWide(PeerFeature feature) const
{
    return std::all_of(m_members.begin(), m_members.end(),
                       [&](const Member &it) { return it.status == MemberStatus::Dead || has(it.identity, feature); });
}

}

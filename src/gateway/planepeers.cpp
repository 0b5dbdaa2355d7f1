#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include <galenarock/leavingservers.h>

#include "events_p.h"
#include "plane_p.h"

/// What the control plane tells other daemons and hears from them: features, changes of the store and leaving servers.
namespace Galenarock
{

namespace
{
void logMalformed(const PeerEvent &event, ErrorCode code, const std::string &detail)
{
    logEvent(Events::WatchFeedMalformed, "type {} from {}: {} {}", event.type, event.sender.name, errorMessage(code),
             detail);
}
}

/// Returns true if membership and leases do not get the message.
bool GatewayControlPlane::onPeerMessage(Instant now, const PeerEvent &event)
{
    if (event.type >= PeerMessageRange::Requests) {
        m_hooks.requestMessage(event);
        return true;
    }
    if (event.type == FeatureMessage::Statement) {
        carryOut(m_features.receive(event));
        m_areFeaturesOutdated = true;
        return true;
    }
    const bool isOfWatches = event.type == WatchMessage::Status || event.type == WatchMessage::Change
        || event.type == WatchMessage::Verified;
    if (isOfWatches) {
        receiveFeed(now, event);
        return true;
    }
    if (event.type == LeavingMessage::Notice) {
        receiveLeavingNotice(now, event);
        return true;
    }
    return false;
}

/// Called when a member or its build has changed.
void GatewayControlPlane::publishFeatures(Instant now)
{
    m_builds.reset();
    auto feeding = m_features.membersWith(PeerFeature::WatchFeed);
    const auto isGone = [](const Member &it) {
        return it.status != MemberStatus::Alive && it.status != MemberStatus::Suspect;
    };
    feeding.erase(std::remove_if(feeding.begin(), feeding.end(), isGone), feeding.end());
    m_feed.setMembers(now, feeding);
    const bool wasVerifier = m_verification.isVerifier();
    m_verification.setMembers(now, feeding, m_feed.watchers());
    if (m_verification.isVerifier() != wasVerifier) {
        logEvent(Events::VerifierChanged, "{} the watches of other daemons",
                 wasVerifier ? "does not verify" : "verifies");
    }
    // A build without this feature would decide a relayed request by its own configuration, also by an older one.
    const auto relays = m_features.membersWith(PeerFeature::RelayVersions);
    m_hooks.relaysChanged(relays);
    const bool isFleetWide = m_features.isFleetWide(PeerFeature::RelayVersions);
    if (isFleetWide != m_areRelaysFleetWide) {
        m_areRelaysFleetWide = isFleetWide;
        logEvent(Events::FeatureUseChanged, "{} of {} known daemons take relayed requests", relays.size(),
                 m_members.size());
    }
}

/// Changes of the store that another daemon passes on, and what it knows.
void GatewayControlPlane::receiveFeed(Instant now, const PeerEvent &event)
{
    tryOr(
        [&]() -> Result<void> {
            if (event.type == WatchMessage::Status) {
                BOOST_LEAF_AUTO(status, decodeWatchStatus(event.payload));
                m_feed.receive(now, status);
                return {};
            }
            if (event.type == WatchMessage::Verified) {
                BOOST_LEAF_AUTO(statement, decodeWatchStatus(event.payload));
                m_verification.receive(now, statement);
                return {};
            }
            BOOST_LEAF_AUTO(fed, decodeFedChange(event.payload));
            if (fed.sinceOutage) {
                m_servers.outageSeen(now - *fed.sinceOutage);
            }
            m_hooks.applyChange(fed.change);
            return {};
        },
        [&](ErrorCode code, const std::string &detail) { logMalformed(event, code, detail); });
}

/// Passes on what this daemon has read of the store, and tells the store client what others pass on.
void GatewayControlPlane::updateFeed(Instant now)
{
    for (auto &it : m_hooks.takeChanges()) {
        carryOut(m_feed.share(now, {std::move(it), m_servers.sinceOutage(now)}));
    }
    auto view = m_feed.view(now);
    view.verified = m_verification.kinds();
    if (view == m_feedView) {
        return;
    }
    if (view.isWatcher != m_feedView.isWatcher) {
        logEvent(Events::WatcherChanged, "{}",
                 view.isWatcher ? "watches the store for others" : "does not watch for others");
    }
    m_feedView = std::move(view);
    m_hooks.setFeed(m_feedView);
}

/// A server has said to this daemon that it leaves. The leader of a keyed service hears of it as well, unless the store
/// has told it.
void GatewayControlPlane::onServerLeaving(Instant now, const Identity &server)
{
    const bool isNews = markLeaving(now, server);
    if (!isNews && !m_servers.isLeavingUnconfirmed(server)) {
        return;
    }
    const auto lease = m_leases.find(m_servers.find(server.name)->service);
    if (lease == m_leases.end()) {
        return;
    }
    const auto leader = lease->second.leaderName();
    if (!leader.empty() && leader != m_settings.self.name) {
        m_hooks.sendPeer({leader, LeavingMessage::Notice, encodeLeavingServer(server)});
    }
}

void GatewayControlPlane::receiveLeavingNotice(Instant now, const PeerEvent &event)
{
    tryOr(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(server, decodeLeavingServer(event.payload));
            markLeaving(now, server);
            return {};
        },
        [&](ErrorCode code, const std::string &detail) { logMalformed(event, code, detail); });
}

bool GatewayControlPlane::markLeaving(Instant now, const Identity &server)
{
    const bool isNews = m_servers.markLeaving(now, server);
    if (isNews) {
        logEvent(Events::ServerLeaving, "{} says that it leaves", toString(server));
        serversChanged();
    }
    return isNews;
}

}

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <galenarock/control.h>
#include <galenarock/storeclient.h>

/// Few daemons of a large fleet watch the store; they pass its changes on to the others.
///
/// Each change would otherwise cost a call of every daemon. Which daemons watch follows from the member list, without
/// an agreement: a daemon that hears no watcher for `WatchFeedSettings::silence`, or that is behind what watchers know,
/// reads the store itself from the revision that it has. So a wrong view costs calls, never a change.
namespace Galenarock
{

/// Message types of this module.
namespace WatchMessage
{
/// Not in use by any earlier build, each of which ignores them.
inline constexpr std::uint16_t Status = PeerMessageRange::Ownership + 27;
inline constexpr std::uint16_t Change = PeerMessageRange::Ownership + 28;
}

struct WatchFeedSettings
{
    /// In a smaller fleet every daemon watches: it saves few calls there.
    std::size_t smallestFleet = 12;
    std::size_t fewestWatchers = 3;
    /// One watcher for so many daemons, up to `watchersPerDomain` for each failure domain.
    std::size_t daemonsPerWatcher = 10;
    std::size_t watchersPerDomain = 2;
    /// Watchers that pass changes on to one daemon.
    std::size_t sources = 2;
    /// A daemon passes nothing on before it has been a watcher for this time. While a fleet starts its daemons know few
    /// others, choose many watchers, and are short of processor time.
    Duration settleTime = seconds(5);
    Duration statusInterval = milliseconds(200);
    /// A daemon that hears no watcher for this time watches itself. Three statuses are lost then.
    Duration silence = milliseconds(600);
    /// A larger change is not passed on: each daemon's own link is faster than that of a watcher for all of them.
    std::size_t longestChangeBytes = 32'768;
};

/// What a watcher, or a verifier, knows.
struct WatchStatus
{
    /// Era of the store; 0 for a store without eras.
    std::uint64_t era = 0;
    /// The watcher's last call to the store was answered.
    bool isStoreReachable = true;
    /// Revision of the last change by kind that this watcher, or another one that it heard, has.
    std::map<std::string, std::uint64_t> revisions;

    friend bool operator==(const WatchStatus &a, const WatchStatus &b)
    {
        return a.era == b.era && a.isStoreReachable == b.isStoreReachable && a.revisions == b.revisions;
    }
};

/// A change of a watched kind as it is passed on.
struct FedChange
{
    WatchChange change;
    /// Time since the watcher last knew of an outage of the store; empty for none. Entries that are missing shortly
    /// after an outage may belong to servers that live.
    std::optional<Duration> sinceOutage;

    friend bool operator==(const FedChange &a, const FedChange &b)
    {
        return a.change == b.change && a.sinceOutage == b.sinceOutage;
    }
};

/// cereal portable binary.
std::string encode(const WatchStatus &status);
std::string encode(const FedChange &fed);
/// Fail with MalformedMessage.
Result<WatchStatus> decodeWatchStatus(const std::string &payload);
Result<FedChange> decodeFedChange(const std::string &payload);

/// Decides who watches and whom each watcher feeds. Pure core.
class WatchFeed
{
public:
    WatchFeed(Identity self, WatchFeedSettings settings);

    /// `members` are the live daemons, this one included, that take part (PeerFeature::WatchFeed).
    void setMembers(Instant now, const std::vector<Member> &members);
    /// Whether this daemon is chosen to watch the store for others.
    bool isWatcher() const
    {
        return m_isWatcher;
    }
    /// Daemons that keep watches of their own: in a small fleet all, those first that would be chosen in a larger one.
    const std::vector<std::string> &watchers() const
    {
        return m_watchers;
    }
    /// Daemons to which this watcher passes changes on.
    const std::vector<std::string> &receivers() const
    {
        return m_receivers;
    }

    /// This daemon's own view of the store.
    void setEra(std::uint64_t era);
    /// `revision` is that of the kind's last change. A later one, up to which nothing changed, would make daemons that
    /// were not told of it read the store.
    void synced(const std::string &kind, std::uint64_t revision);
    /// Statuses that are due; none unless this daemon is a watcher.
    ControlActions tick(Instant now, bool isStoreReachable);
    /// Messages that pass a change of the store on; none unless this daemon is a watcher.
    ControlActions share(Instant now, const FedChange &fed) const;
    void receive(Instant now, const WatchStatus &status);

    /// What the store client has to know of the watchers that feed this daemon.
    WatchFeedView view(Instant now) const;

private:
    std::vector<const Member *> chooseWatchers(const std::vector<Member> &members) const;
    std::vector<std::string> sourcesOf(const Member &daemon, const std::vector<const Member *> &watchers) const;
    void addOtherWatchers(const std::vector<Member> &members, const std::set<std::string> &chosen);
    void raise(const std::string &kind, std::uint64_t revision);
    bool isSettled(Instant now) const
    {
        return m_isWatcher && now - m_watcherSince >= m_settings.settleTime;
    }

    const Identity m_self;
    const WatchFeedSettings m_settings;
    bool m_isWatcher = false;
    Instant m_watcherSince{};
    std::vector<std::string> m_watchers;
    std::vector<std::string> m_receivers;
    /// Other watchers, which exchange statuses: one that is cut from the store learns that it is behind.
    std::vector<std::string> m_otherWatchers;
    std::uint64_t m_era = 0;
    /// Last changes that any watcher in this era has.
    std::map<std::string, std::uint64_t> m_newest;
    Instant m_heardUntil{};
    /// Of each kind that a watcher has stated. Only a part of the fleet may watch a kind.
    std::map<std::string, Instant> m_kindHeardUntil;
    /// Kinds that this daemon watches, and has read in this era.
    std::set<std::string> m_ownKinds;
    Instant m_nextStatusAt{};
};

}

#include <galenarock/watchfeed.h>

#include <algorithm>
#include <set>
#include <utility>

#include <cereal/types/string.hpp>

#include <galenarock/jsontext.h>

#include "peer/message_p.h"

namespace Galenarock
{

namespace
{
constexpr std::size_t MaxKinds = 16;
constexpr std::size_t MaxNameBytes = 255;
constexpr std::size_t MaxObjects = 10'000;
constexpr std::size_t MaxValueBytes = 1 << 20;
constexpr std::int64_t NoOutage = -1;

struct WireKind
{
    std::string kind;
    std::uint64_t revision = 0;
    template<typename Archive> void serialize(Archive &archive)
    {
        Wire::text<std::uint8_t>(archive, kind, MaxNameBytes);
        archive(revision);
    }
};

struct WireStatus
{
    std::uint64_t era = 0;
    bool isStoreReachable = true;
    std::vector<WireKind> kinds;
    template<typename Archive> void serialize(Archive &archive)
    {
        archive(era, isStoreReachable);
        Wire::list(archive, kinds, MaxKinds);
    }
};

struct WireObject
{
    std::string name;
    std::uint64_t version = 0;
    std::uint64_t writer = 0;
    /// JSON text; empty for an object that was removed.
    std::string value;
    template<typename Archive> void serialize(Archive &archive)
    {
        Wire::text<std::uint8_t>(archive, name, MaxNameBytes);
        archive(version, writer);
        Wire::text<std::uint32_t>(archive, value, MaxValueBytes);
    }
};

struct WireChange
{
    std::string kind;
    std::uint64_t era = 0;
    std::uint64_t from = 0;
    std::uint64_t to = 0;
    /// NoOutage for none.
    std::int64_t sinceOutageMs = NoOutage;
    std::vector<WireObject> objects;
    template<typename Archive> void serialize(Archive &archive)
    {
        Wire::text<std::uint8_t>(archive, kind, MaxNameBytes);
        archive(era, from, to, sinceOutageMs);
        Wire::list(archive, objects, MaxObjects);
    }
};

/// Order of preference of `candidates` for a daemon: the same on each daemon with the same list.
std::uint64_t weightOf(const std::string &watcher, const std::string &daemon)
{
    return hashKey(watcher + "\n" + daemon);
}
}

std::string encode(const WatchStatus &status)
{
    WireStatus wire{status.era, status.isStoreReachable, {}};
    for (const auto &[kind, revision] : status.revisions) {
        wire.kinds.push_back({kind, revision});
    }
    return encodeMessage(wire);
}

Result<WatchStatus> decodeWatchStatus(const std::string &payload)
{
    BOOST_LEAF_AUTO(wire, decodeMessage<WireStatus>(payload));
    WatchStatus status{wire.era, wire.isStoreReachable, {}};
    for (const auto &it : wire.kinds) {
        status.revisions[it.kind] = it.revision;
    }
    return status;
}

std::string encode(const FedChange &fed)
{
    const auto &change = fed.change;
    WireChange wire{change.kind, change.era, change.from, change.to, NoOutage, {}};
    if (fed.sinceOutage) {
        wire.sinceOutageMs = duration_cast<milliseconds>(*fed.sinceOutage).count();
    }
    for (const auto &it : change.items) {
        wire.objects.push_back({it.key.name, it.version, it.writer, jsonText(it.value)});
    }
    for (const auto &it : change.removed) {
        wire.objects.push_back({it.name, 0, 0, {}});
    }
    return encodeMessage(wire);
}

Result<FedChange> decodeFedChange(const std::string &payload)
{
    BOOST_LEAF_AUTO(wire, decodeMessage<WireChange>(payload));
    FedChange fed;
    fed.change = {wire.kind, wire.era, wire.from, wire.to, {}, {}};
    if (wire.sinceOutageMs >= 0) {
        fed.sinceOutage = milliseconds(wire.sinceOutageMs);
    }
    for (const auto &it : wire.objects) {
        const ObjectKey key{wire.kind, it.name};
        if (it.value.empty()) {
            fed.change.removed.push_back(key);
            continue;
        }
        auto value = nlohmann::json::parse(it.value, nullptr, false);
        if (value.is_discarded()) {
            return fail(ErrorCode::MalformedMessage, "value of " + it.name);
        }
        fed.change.items.push_back({key, it.version, it.writer, std::move(value), wire.era});
    }
    return fed;
}

WatchFeed::WatchFeed(Identity self, WatchFeedSettings settings)
    : m_self(std::move(self))
    , m_settings(settings)
{
}

/// One watcher of each failure domain in turn, VMs with more processor time first. Among equal ones the last names come
/// first: leaders of services are chosen by the first ones.
std::vector<const Member *> WatchFeed::chooseWatchers(const std::vector<Member> &members) const
{
    std::map<std::string, std::vector<const Member *>> domains;
    for (const auto &it : members) {
        domains[it.failureDomain].push_back(&it);
    }
    std::vector<std::vector<const Member *>> ranked;
    for (auto &[domain, list] : domains) {
        const auto most = std::min(list.size(), std::max(m_settings.fewestWatchers, m_settings.watchersPerDomain));
        const auto end = list.begin() + static_cast<std::ptrdiff_t>(most);
        std::partial_sort(list.begin(), end, list.end(), [](const Member *a, const Member *b) {
            return std::tie(b->cpuPercent, b->identity) < std::tie(a->cpuPercent, a->identity);
        });
        list.erase(end, list.end());
        ranked.push_back(std::move(list));
    }
    const auto wanted = (members.size() + m_settings.daemonsPerWatcher - 1) / m_settings.daemonsPerWatcher;
    const auto most = m_settings.watchersPerDomain * ranked.size();
    const auto count = std::max(m_settings.fewestWatchers, std::min(wanted, most));
    std::vector<const Member *> watchers;
    for (std::size_t round = 0; round < members.size() && watchers.size() < count; ++round) {
        for (const auto &it : ranked) {
            if (round < it.size() && watchers.size() < count) {
                watchers.push_back(it[round]);
            }
        }
    }
    return watchers;
}

/// Watchers of the daemon's own failure domain first.
std::vector<std::string> WatchFeed::sourcesOf(const Member &daemon, const std::vector<const Member *> &watchers) const
{
    auto ranked = watchers;
    std::sort(ranked.begin(), ranked.end(), [&](const Member *a, const Member *b) {
        const bool isLocalA = a->failureDomain == daemon.failureDomain;
        const bool isLocalB = b->failureDomain == daemon.failureDomain;
        const auto weightA = weightOf(a->identity.name, daemon.identity.name);
        const auto weightB = weightOf(b->identity.name, daemon.identity.name);
        return std::tie(isLocalB, weightA, a->identity) < std::tie(isLocalA, weightB, b->identity);
    });
    std::vector<std::string> names;
    for (const auto *it : ranked) {
        if (names.size() < m_settings.sources) {
            names.push_back(it->identity.name);
        }
    }
    return names;
}

void WatchFeed::setMembers(Instant now, const std::vector<Member> &members)
{
    const bool wasWatcher = std::exchange(m_isWatcher, false);
    m_receivers.clear();
    m_otherWatchers.clear();
    const auto watchers = chooseWatchers(members);
    std::set<std::string> names;
    m_watchers.clear();
    for (const auto *it : watchers) {
        names.insert(it->identity.name);
        m_watchers.push_back(it->identity.name);
    }
    if (members.size() < m_settings.smallestFleet) {
        addOtherWatchers(members, names);
        return;
    }
    m_isWatcher = names.count(m_self.name) > 0;
    if (!m_isWatcher) {
        return;
    }
    m_watcherSince = wasWatcher ? m_watcherSince : now;
    for (const auto &it : members) {
        const auto &name = it.identity.name;
        if (name == m_self.name) {
            continue;
        }
        if (names.count(name) > 0) {
            m_otherWatchers.push_back(name);
            continue;
        }
        const auto sources = sourcesOf(it, watchers);
        if (std::find(sources.begin(), sources.end(), m_self.name) != sources.end()) {
            m_receivers.push_back(name);
        }
    }
}

/// In a small fleet the daemons that were not chosen watch as well.
void WatchFeed::addOtherWatchers(const std::vector<Member> &members, const std::set<std::string> &chosen)
{
    for (const auto &it : members) {
        if (chosen.count(it.identity.name) == 0) {
            m_watchers.push_back(it.identity.name);
        }
    }
}

void WatchFeed::setEra(std::uint64_t era)
{
    if (era == m_era) {
        return;
    }
    m_era = era;
    m_newest.clear();
    m_heardUntil = {};
    m_kindHeardUntil.clear();
    m_ownKinds.clear();
}

void WatchFeed::raise(const std::string &kind, std::uint64_t revision)
{
    auto &newest = m_newest[kind];
    newest = std::max(newest, revision);
}

void WatchFeed::synced(const std::string &kind, std::uint64_t revision)
{
    raise(kind, revision);
    m_ownKinds.insert(kind);
}

ControlActions WatchFeed::tick(Instant now, bool isStoreReachable)
{
    ControlActions actions;
    if (!isSettled(now) || now < m_nextStatusAt) {
        return actions;
    }
    m_nextStatusAt = now + m_settings.statusInterval;
    const auto payload = encode(WatchStatus{m_era, isStoreReachable, m_newest});
    for (const auto *list : {&m_receivers, &m_otherWatchers}) {
        for (const auto &it : *list) {
            actions.emplace_back(SendPeerAction{it, WatchMessage::Status, payload});
        }
    }
    return actions;
}

ControlActions WatchFeed::share(Instant now, const FedChange &fed) const
{
    ControlActions actions;
    if (!isSettled(now) || fed.change.era != m_era) {
        return actions;
    }
    const auto payload = encode(fed);
    if (payload.size() > m_settings.longestChangeBytes) {
        return actions; // the next status tells the receivers that they are behind
    }
    for (const auto &it : m_receivers) {
        actions.emplace_back(SendPeerAction{it, WatchMessage::Change, payload});
    }
    return actions;
}

void WatchFeed::receive(Instant now, const WatchStatus &status)
{
    if (status.era != m_era) {
        return; // one of the two has not read the store since it was restored
    }
    for (const auto &[kind, revision] : status.revisions) {
        raise(kind, revision);
    }
    if (!status.isStoreReachable || m_isWatcher) {
        return;
    }
    m_heardUntil = now + m_settings.silence;
    for (const auto &[kind, revision] : status.revisions) {
        m_kindHeardUntil[kind] = m_heardUntil;
    }
}

WatchFeedView WatchFeed::view(Instant now) const
{
    WatchFeedView view{isSettled(now), m_isWatcher ? Instant() : m_heardUntil, m_newest};
    for (const auto &it : m_ownKinds) {
        const auto heard = m_kindHeardUntil.find(it);
        if (heard == m_kindHeardUntil.end() || now >= heard->second) {
            view.unfedKinds.insert(it);
        }
    }
    return view;
}

}

#include "config/config_p.h"

#include <algorithm>

#include <fmt/format.h>

#include <galenarock/jsontext.h>

#include "config/events_p.h"

namespace Galenarock
{

namespace
{
/// Interval of digest requests to peers during startup.
constexpr Duration StartupQueryInterval = milliseconds(250);
/// Maximum number of accepted objects logged per event; further ones are not logged.
constexpr std::size_t MaxLoggedObjects = 8;
}

ConfigCore::Private::Private(ConfigSettings settings)
    : m_settings(std::move(settings))
    , m_random(m_settings.seed)
{
}

ControlActions ConfigCore::Private::step(Instant now, const ControlEvent &event)
{
    m_now = now;
    if (!m_startedAt) {
        m_startedAt = now;
        // Random phases, so that daemons started at the same time do not exchange digests at the same time.
        m_nextDigest = now + m_settings.digestInterval * (m_random() % 1024) / 1024;
        m_nextReport = now + m_settings.reportInterval * (m_random() % 1024) / 1024;
    }
    if (std::holds_alternative<TickEvent>(event)) {
        onTick();
    } else if (const auto *members = std::get_if<MembersEvent>(&event)) {
        onMembers(members->members);
    } else if (const auto *object = std::get_if<ObjectEvent>(&event)) {
        if (object->fromPlatform) {
            onPlatformObject(object->object);
        }
    } else if (const auto *written = std::get_if<WriteResultEvent>(&event)) {
        if (written->status == WriteStatus::Applied || written->status == WriteStatus::Conflict) {
            onPlatformObject(written->current);
        }
    } else if (const auto *peer = std::get_if<PeerEvent>(&event)) {
        onPeer(*peer);
    }
    gossipUpdates();
    return std::exchange(m_actions, {});
}

bool ConfigCore::Private::isDistributed(const std::string &kind) const
{
    return std::find(m_settings.kinds.begin(), m_settings.kinds.end(), kind) != m_settings.kinds.end();
}

void ConfigCore::Private::onTick()
{
    if (!m_isStarted) {
        continueStartup();
    }
    if (m_now >= m_nextDigest) {
        m_nextDigest = m_now + m_settings.digestInterval;
        for (const auto &it : randomPeers(1)) {
            sendDigest(it, false, false);
        }
    }
    if (m_now >= m_nextReport) {
        m_nextReport = m_now + m_settings.reportInterval;
        sendReport();
    }
}

void ConfigCore::Private::continueStartup()
{
    const auto needed = std::min(m_settings.startupPeers, m_peers.size());
    const bool isAgreed = needed > 0 && m_agreeingPeers.size() >= needed;
    const bool isGraceOver = m_now - *m_startedAt >= m_settings.startupGracePeriod;
    if (!m_store.all().empty() && (isAgreed || isGraceOver)) {
        endStartup();
        return;
    }
    if (m_now < m_nextStartupQuery) {
        return;
    }
    m_nextStartupQuery = m_now + StartupQueryInterval;
    for (const auto &it : randomPeers(m_settings.startupPeers)) {
        sendDigest(it, true, false);
    }
}

void ConfigCore::Private::endStartup()
{
    m_isStarted = true;
    const auto text = fmt::format("startup finished: {} objects, {} peers with equal versions", m_store.all().size(),
                                  m_agreeingPeers.size());
    m_actions.emplace_back(DecisionAction{Events::ConfigStarted, {}, {}, text});
    m_agreeingPeers.clear();
}

void ConfigCore::Private::onMembers(const std::vector<Member> &members)
{
    m_peers.clear();
    m_memberNames.clear();
    for (const auto &it : members) {
        m_memberNames.insert(it.identity.name);
        const bool isUsable = it.status == MemberStatus::Alive || it.status == MemberStatus::Leaving;
        if (!isUsable || it.identity.name == m_settings.self.name) {
            continue;
        }
        m_peers.push_back(it.identity.name);
    }
    chooseRelays(members);
    for (auto it = m_reports.begin(); it != m_reports.end();) {
        it = m_isRelay && m_memberNames.count(it->first) != 0 ? std::next(it) : m_reports.erase(it);
    }
}

void ConfigCore::Private::chooseRelays(const std::vector<Member> &members)
{
    // Ordered by the hash of the name: all daemons choose the same relays, and the loss of one relay keeps the others.
    std::vector<std::pair<std::uint64_t, std::string>> candidates;
    for (const auto &it : members) {
        if (it.status != MemberStatus::Alive || it.failureDomain != m_settings.failureDomain) {
            continue;
        }
        candidates.emplace_back(hashKey(it.identity.name), it.identity.name);
    }
    const auto count = std::min(candidates.size(), m_settings.relaysPerDomain);
    std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(count), candidates.end());
    m_relays.clear();
    for (std::size_t n = 0; n < count; ++n) {
        m_relays.push_back(candidates[n].second);
    }
    const bool isRelay = std::find(m_relays.begin(), m_relays.end(), m_settings.self.name) != m_relays.end();
    if (isRelay != m_isRelay) {
        const auto text = fmt::format("{} for {}", isRelay ? "relay" : "no relay", m_settings.failureDomain);
        m_actions.emplace_back(DecisionAction{Events::RelayDuty, {}, {}, text});
    }
    m_isRelay = isRelay;
}

void ConfigCore::Private::onPlatformObject(const StoredObject &object)
{
    if (!isDistributed(object.key.kind) || object.version == 0) {
        return;
    }
    // A watch may lag and a write conflict may return an old version. Compare versions before the value is serialized:
    // serializing a large value takes milliseconds.
    if (object.version < m_store.versionOf(object.key)) {
        ++m_counters.stale;
        return;
    }
    // Invalid UTF-8 can only originate in this process; replace it, as an exception would terminate the control thread.
    auto text = jsonText(object.value);
    m_counters.fromPlatform += accept({object.key, object.version, object.writer, std::move(text)}) ? 1 : 0;
}

bool ConfigCore::Private::accept(const WireItem &item)
{
    const bool isTooMany = m_store.find(item.key) == nullptr && m_store.all().size() >= m_settings.maxObjects;
    const bool isTooLong = item.key.kind.size() > maxKeyTextBytes || item.key.name.size() > maxKeyTextBytes
        || item.value.size() > maxValueBytes;
    if (isTooMany || isTooLong) {
        ++m_counters.rejected;
        return false;
    }
    switch (m_store.put(item)) {
    case ObjectStore::Outcome::Stale:
        ++m_counters.stale;
        return false;
    case ObjectStore::Outcome::Contradiction:
        ++m_counters.contradictions;
        m_actions.emplace_back(
            DecisionAction{Events::ConfigContradiction,
                           item.key.name,
                           {},
                           fmt::format("{}/{} version {} received with different content; keeping the first",
                                       item.key.kind, item.key.name, item.version)});
        return false;
    case ObjectStore::Outcome::Newer:
        break;
    }
    m_pendingQueries.erase(item.key);
    m_pendingUpdates.push_back(item.key);
    m_changed.insert(item.key);
    if (m_pendingUpdates.size() <= MaxLoggedObjects) {
        const auto text = fmt::format("{}/{} version {}", item.key.kind, item.key.name, item.version);
        m_actions.emplace_back(DecisionAction{Events::ConfigAccepted, item.key.name, {}, text});
    }
    return true;
}

std::vector<StoredObject> ConfigCore::Private::takeChanged()
{
    std::vector<StoredObject> objects;
    if (!m_isStarted) {
        return objects;
    }
    for (const auto &it : std::exchange(m_changed, {})) {
        auto object = toObject(it, *m_store.find(it));
        if (object) {
            objects.push_back(std::move(*object));
        }
    }
    return objects;
}

std::string ConfigCore::Private::missingReason() const
{
    if (m_isStarted && m_store.hasKind(ObjectKind::Service)) {
        return {};
    }
    if (m_store.all().empty()) {
        return m_peers.empty()
            ? "no peer is known and the platform has delivered no document"
            : fmt::format("none of {} known peers has delivered a document, nor has the platform", m_peers.size());
    }
    if (!m_isStarted) {
        return fmt::format("start: {} of {} peers agree on the versions", m_agreeingPeers.size(),
                           std::min(m_settings.startupPeers, m_peers.size()));
    }
    return "objects are known, but no service document is among them";
}

std::vector<DaemonVersions> ConfigCore::Private::reports() const
{
    std::vector<DaemonVersions> result;
    for (const auto &[vm, report] : m_reports) {
        DaemonVersions versions{vm, report.message.root == m_store.root(), {}, report.at};
        for (const auto &it : report.message.latest) {
            if (it.version < m_store.versionOf(it.key)) {
                versions.lagging.push_back({it.key, it.version});
            }
        }
        result.push_back(std::move(versions));
    }
    return result;
}

ConfigCore::ConfigCore(ConfigSettings settings)
    : m_data(std::make_unique<Private>(std::move(settings)))
{
}

ConfigCore::~ConfigCore() = default;
ConfigCore::ConfigCore(ConfigCore &&) noexcept = default;
ConfigCore &ConfigCore::operator=(ConfigCore &&) noexcept = default;

ControlActions ConfigCore::step(Instant now, const ControlEvent &event)
{
    return m_data->step(now, event);
}

std::vector<StoredObject> ConfigCore::takeChanged()
{
    return m_data->takeChanged();
}

bool ConfigCore::shouldWatch() const
{
    return m_data->m_isRelay;
}

std::vector<std::string> ConfigCore::relays() const
{
    return m_data->m_relays;
}

bool ConfigCore::hasConfiguration() const
{
    return m_data->m_isStarted && m_data->m_store.hasKind(ObjectKind::Service);
}

std::string ConfigCore::missingReason() const
{
    return m_data->missingReason();
}

std::optional<StoredObject> ConfigCore::find(const ObjectKey &key) const
{
    const auto *entry = m_data->m_store.find(key);
    return entry == nullptr ? std::nullopt : toObject(key, *entry);
}

std::vector<ObjectVersion> ConfigCore::versions() const
{
    std::vector<ObjectVersion> result;
    for (const auto &[key, entry] : m_data->m_store.all()) {
        result.push_back({key, entry.version});
    }
    return result;
}

std::vector<DaemonVersions> ConfigCore::reports() const
{
    return m_data->reports();
}

std::uint64_t ConfigCore::digest() const
{
    return m_data->m_store.root();
}

const ConfigCounters &ConfigCore::counters() const
{
    return m_data->m_counters;
}

}

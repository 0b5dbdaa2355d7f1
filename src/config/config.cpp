#include "config/config_p.h"

#include <algorithm>

#include <fmt/format.h>

#include "config/events_p.h"

namespace Galenarock
{

namespace
{
/// Interval of the questions to peers during the start.
constexpr Duration startQueryInterval = milliseconds(250);
/// Objects accepted at once that are logged by name; the rest is summed up.
constexpr std::size_t loggedObjects = 8;
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
        // Different phases, so that daemons that start together do not compare digests together.
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
    spreadNews();
    return std::exchange(m_actions, {});
}

bool ConfigCore::Private::isSpread(const std::string &kind) const
{
    return std::find(m_settings.kinds.begin(), m_settings.kinds.end(), kind) != m_settings.kinds.end();
}

void ConfigCore::Private::onTick()
{
    if (!m_isStarted) {
        startStep();
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

void ConfigCore::Private::startStep()
{
    const auto needed = std::min(m_settings.startPeers, m_peers.size());
    const bool isAgreed = needed > 0 && m_agreeing.size() >= needed;
    const bool isLate = m_now - *m_startedAt >= m_settings.startGrace;
    if (!m_store.all().empty() && (isAgreed || isLate)) {
        endStart();
        return;
    }
    if (m_now < m_nextStartQuery) {
        return;
    }
    m_nextStartQuery = m_now + startQueryInterval;
    for (const auto &it : randomPeers(m_settings.startPeers)) {
        sendDigest(it, true, false);
    }
}

void ConfigCore::Private::endStart()
{
    m_isStarted = true;
    const auto text = fmt::format("{} objects, {} peers agree", m_store.all().size(), m_agreeing.size());
    m_actions.emplace_back(DecisionAction{Events::ConfigStarted, {}, {}, text});
    m_agreeing.clear();
}

void ConfigCore::Private::onMembers(const std::vector<Member> &members)
{
    m_peers.clear();
    m_names.clear();
    for (const auto &it : members) {
        m_names.insert(it.identity.name);
        const bool isUsable = it.status == MemberStatus::Alive || it.status == MemberStatus::Leaving;
        if (!isUsable || it.identity.name == m_settings.self.name) {
            continue;
        }
        m_peers.push_back(it.identity.name);
    }
    chooseRelays(members);
    for (auto it = m_reports.begin(); it != m_reports.end();) {
        it = m_isRelay && m_names.count(it->first) != 0 ? std::next(it) : m_reports.erase(it);
    }
}

void ConfigCore::Private::chooseRelays(const std::vector<Member> &members)
{
    // By the hash of the name: every daemon makes the same choice, and the loss of one relay moves no other.
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
    if (!isSpread(object.key.kind) || object.version == 0) {
        return;
    }
    // A watch may lag and a conflict may name an old version: only a higher version counts. The version is compared
    // first, because the text of a large value takes milliseconds to make.
    if (object.version < m_store.versionOf(object.key)) {
        ++m_counters.stale;
        return;
    }
    // Text that is not UTF-8 can only come from this process itself; it must not end the control thread.
    auto text = object.value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
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
        m_actions.emplace_back(DecisionAction{
            Events::ConfigContradiction,
            item.key.name,
            {},
            fmt::format("{}/{} version {} exists with two contents", item.key.kind, item.key.name, item.version)});
        return false;
    case ObjectStore::Outcome::Newer:
        break;
    }
    m_asked.erase(item.key);
    m_news.push_back(item.key);
    m_changed.insert(item.key);
    if (m_news.size() <= loggedObjects) {
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
        return fmt::format("start: {} of {} peers agree on the versions", m_agreeing.size(),
                           std::min(m_settings.startPeers, m_peers.size()));
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

bool ConfigCore::wantsWatch() const
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

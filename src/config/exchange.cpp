#include "config/config_p.h"

#include <algorithm>

/// Message exchange of the configuration core: gossip of updates and anti-entropy repair by digests.
namespace Galenarock
{

namespace
{
/// A queried object is not queried again within this time.
constexpr Duration QueryRetryInterval = seconds(1);
constexpr std::size_t MaxPendingQueries = 4096;
}

std::vector<std::string> ConfigCore::Private::randomPeers(std::size_t count)
{
    std::vector<std::string> chosen;
    for (std::size_t n = 0; n < 4 * count && chosen.size() < std::min(count, m_peers.size()); ++n) {
        const auto &peer = m_peers[m_random() % m_peers.size()];
        if (std::find(chosen.begin(), chosen.end(), peer) == chosen.end()) {
            chosen.push_back(peer);
        }
    }
    return chosen;
}

void ConfigCore::Private::sendDigest(const std::string &receiver, bool isReplyRequired, bool withBuckets)
{
    DigestMessage message;
    message.root = m_store.root();
    message.isReplyRequired = isReplyRequired;
    if (withBuckets) {
        message.buckets.assign(m_store.buckets().begin(), m_store.buckets().end());
    }
    send(receiver, ConfigMessage::Digest, std::move(message));
}

void ConfigCore::Private::sendVersions(const std::string &receiver, std::uint64_t buckets,
                                       const std::vector<ObjectKey> &keys)
{
    VersionsMessage message;
    message.buckets = buckets;
    for (const auto &it : keys) {
        message.versions.push_back({it, m_store.versionOf(it)});
    }
    send(receiver, ConfigMessage::Versions, std::move(message));
}

void ConfigCore::Private::sendItems(const std::string &receiver, const std::vector<ObjectKey> &keys)
{
    ItemsMessage message;
    std::size_t bytes = 0;
    for (const auto &it : keys) {
        const auto *entry = m_store.find(it);
        if (entry == nullptr) {
            continue;
        }
        auto item = toItem(it, *entry);
        const bool isFull = !message.items.empty() && bytes + item.size() > maxItemsBytes;
        if (isFull || message.items.size() >= maxListedVersions) {
            break; // the remaining items follow after the next digest exchange
        }
        bytes += item.size();
        message.items.push_back(std::move(item));
    }
    if (!message.items.empty()) {
        send(receiver, ConfigMessage::Items, std::move(message));
    }
}

void ConfigCore::Private::sendQuery(const std::string &receiver, std::vector<WireVersion> wanted)
{
    if (wanted.size() > maxListedVersions) {
        wanted.resize(maxListedVersions);
    }
    if (!wanted.empty()) {
        send(receiver, ConfigMessage::Query, QueryMessage{std::move(wanted)});
    }
}

void ConfigCore::Private::sendReport()
{
    if (m_relays.empty() || m_isRelay || !m_isStarted) {
        return;
    }
    ReportMessage message;
    message.root = m_store.root();
    for (const auto &it : m_store.latest()) {
        message.latest.push_back({it, m_store.versionOf(it)});
    }
    for (const auto &it : m_relays) {
        send(it, ConfigMessage::Report, message);
    }
}

void ConfigCore::Private::gossipUpdates()
{
    const auto updates = std::exchange(m_pendingUpdates, {});
    if (updates.empty()) {
        return;
    }
    std::size_t bytes = 0;
    for (const auto &it : updates) {
        bytes += toItem(it, *m_store.find(it)).size();
    }
    for (const auto &peer : randomPeers(m_settings.fanOut)) {
        if (bytes <= maxEagerPushBytes) {
            sendItems(peer, updates);
            continue;
        }
        const auto count = std::min(updates.size(), maxListedVersions);
        sendVersions(peer, 0, {updates.begin(), updates.begin() + static_cast<std::ptrdiff_t>(count)});
    }
}

void ConfigCore::Private::onPeer(const PeerEvent &event)
{
    const auto &sender = event.sender.name;
    switch (event.type) {
    case ConfigMessage::Digest:
        decode<DigestMessage>(event, [&](const DigestMessage &message) { onDigest(sender, message); });
        break;
    case ConfigMessage::Items:
        decode<ItemsMessage>(event, [&](const ItemsMessage &message) { onItems(message); });
        break;
    case ConfigMessage::Versions:
        decode<VersionsMessage>(event, [&](const VersionsMessage &message) { onVersions(sender, message); });
        break;
    case ConfigMessage::Query:
        decode<QueryMessage>(event, [&](const QueryMessage &message) { onQuery(sender, message); });
        break;
    case ConfigMessage::Report:
        decode<ReportMessage>(event, [&](ReportMessage message) { onReport(sender, std::move(message)); });
        break;
    default:
        break; // handled by another module
    }
}

void ConfigCore::Private::onDigest(const std::string &sender, const DigestMessage &message)
{
    const bool isEqual = message.root == m_store.root();
    if (message.buckets.empty()) {
        if (!isEqual || message.isReplyRequired) {
            sendDigest(sender, false, true);
        }
        return;
    }
    if (isEqual) {
        if (!m_isStarted) {
            m_agreeingPeers.insert(sender);
        }
        return;
    }
    std::uint64_t different = 0;
    std::vector<ObjectKey> keys;
    for (std::size_t n = 0; n < std::min(message.buckets.size(), bucketCount); ++n) {
        const auto inBucket = m_store.keysOf(n);
        const bool fits = keys.size() + inBucket.size() <= maxListedVersions;
        if (message.buckets[n] == m_store.buckets()[n] || !fits) {
            continue;
        }
        different |= std::uint64_t(1) << n;
        keys.insert(keys.end(), inBucket.begin(), inBucket.end());
    }
    sendVersions(sender, different, keys);
}

void ConfigCore::Private::onItems(const ItemsMessage &message)
{
    for (const auto &it : message.items) {
        const bool isValid = isDistributed(it.key.kind) && !it.key.name.empty() && it.version != 0;
        if (!isValid || !nlohmann::json::accept(it.value)) {
            ++m_counters.malformed;
            continue;
        }
        m_counters.fromPeers += accept(it) ? 1 : 0;
    }
}

bool ConfigCore::Private::shouldQuery(const WireVersion &wanted)
{
    if (!isDistributed(wanted.key.kind)) {
        return false;
    }
    if (m_pendingQueries.size() >= MaxPendingQueries) {
        m_pendingQueries.clear(); // bounds memory; at worst some queries are sent twice
    }
    auto &query = m_pendingQueries[wanted.key];
    if (query.version >= wanted.version && m_now < query.until) {
        return false;
    }
    query = PendingQuery{wanted.version, m_now + QueryRetryInterval};
    return true;
}

void ConfigCore::Private::onVersions(const std::string &sender, const VersionsMessage &message)
{
    std::vector<ObjectKey> keysToSend;
    std::vector<WireVersion> versionsToQuery;
    std::set<ObjectKey> listed;
    for (const auto &it : message.versions) {
        listed.insert(it.key);
        const auto version = m_store.versionOf(it.key);
        if (version > it.version) {
            keysToSend.push_back(it.key);
        } else if (version < it.version && shouldQuery(it)) {
            versionsToQuery.push_back(it);
        }
    }
    for (std::size_t n = 0; n < bucketCount; ++n) {
        if ((message.buckets >> n & 1) == 0) {
            continue;
        }
        for (const auto &it : m_store.keysOf(n)) {
            if (listed.count(it) == 0) {
                keysToSend.push_back(it);
            }
        }
    }
    sendItems(sender, keysToSend);
    sendQuery(sender, std::move(versionsToQuery));
}

void ConfigCore::Private::onQuery(const std::string &sender, const QueryMessage &message)
{
    std::vector<ObjectKey> keys;
    for (const auto &it : message.wanted) {
        keys.push_back(it.key);
    }
    sendItems(sender, keys);
}

void ConfigCore::Private::onReport(const std::string &sender, ReportMessage message)
{
    if (!m_isRelay || m_memberNames.count(sender) == 0) {
        return;
    }
    m_reports[sender] = Report{std::move(message), m_now};
}

}

#pragma once

#include <random>
#include <set>

#include <galenarock/config.h>

#include "config/objectstore_p.h"

namespace Galenarock
{

class ConfigCore::Private
{
public:
    explicit Private(ConfigSettings settings);

    ControlActions step(Instant now, const ControlEvent &event);
    std::vector<StoredObject> takeChanged();
    std::string missingReason() const;
    std::vector<DaemonVersions> reports() const;

    const ConfigSettings m_settings;
    ObjectStore m_store;
    ConfigCounters m_counters;
    std::vector<std::string> m_relays;
    bool m_isRelay = false;
    bool m_isStarted = false; ///< Startup has ended.

private:
    struct Report
    {
        ReportMessage message;
        Instant at;
    };
    struct PendingQuery
    {
        std::uint64_t version = 0;
        Instant until;
    };

    void onTick();
    void onMembers(const std::vector<Member> &members);
    void chooseRelays(const std::vector<Member> &members);
    void onPlatformObject(const StoredObject &object);
    void onPeer(const PeerEvent &event);
    void onDigest(const std::string &sender, const DigestMessage &message);
    void onItems(const ItemsMessage &message);
    void onVersions(const std::string &sender, const VersionsMessage &message);
    void onQuery(const std::string &sender, const QueryMessage &message);
    void onReport(const std::string &sender, ReportMessage message);

    bool accept(const WireItem &item);
    bool isDistributed(const std::string &kind) const;
    void continueStartup();
    void endStartup();
    void sendDigest(const std::string &receiver, bool isReplyRequired, bool withBuckets);
    void sendVersions(const std::string &receiver, std::uint64_t buckets, const std::vector<ObjectKey> &keys);
    void sendItems(const std::string &receiver, const std::vector<ObjectKey> &keys);
    void sendQuery(const std::string &receiver, std::vector<WireVersion> wanted);
    void sendReport();
    void gossipUpdates();
    std::vector<std::string> randomPeers(std::size_t count);
    bool shouldQuery(const WireVersion &wanted);
    template<typename Message> void send(const std::string &receiver, std::uint16_t type, Message message);
    template<typename Message, typename Handle> void decode(const PeerEvent &event, Handle handle);

    std::mt19937_64 m_random;
    Instant m_now;
    std::optional<Instant> m_startedAt;
    Instant m_nextStartupQuery;
    Instant m_nextDigest;
    Instant m_nextReport;
    std::vector<std::string> m_peers; ///< Alive members other than this daemon.
    std::set<std::string> m_memberNames;
    std::set<std::string> m_agreeingPeers; ///< Peers that reported an equal digest during startup.
    std::map<ObjectKey, PendingQuery> m_pendingQueries;
    std::vector<ObjectKey> m_pendingUpdates;
    std::set<ObjectKey> m_changed;
    std::map<std::string, Report> m_reports;
    ControlActions m_actions;
};

template<typename Message>
void ConfigCore::Private::send(const std::string &receiver, std::uint16_t type, Message message)
{
    m_actions.emplace_back(SendPeerAction{receiver, type, Wire::encode(std::move(message))});
}

template<typename Message, typename Handle> void ConfigCore::Private::decode(const PeerEvent &event, Handle handle)
{
    auto message = tryOr([&]() -> Result<std::optional<Message>> { return Wire::decode<Message>(event.payload); },
                         [](ErrorCode, const std::string &) { return std::optional<Message>(); });
    if (!message) {
        ++m_counters.malformed;
        return;
    }
    handle(std::move(*message));
}

}

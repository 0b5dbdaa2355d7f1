#include "controller_p.h"

#include <algorithm>
#include <cmath>

#include <fmt/format.h>

#include "events_p.h"

/// Routing table, messages between daemons, and load by key.
namespace Galenarock
{

namespace
{
constexpr double NegligibleRate = 0.02;
constexpr double ServiceTimeSampleWeight = 0.3;
constexpr Duration ServiceTimeMemory = seconds(20);

double decay(Duration age, double halfLifeSeconds)
{
    return std::exp2(-std::chrono::duration<double>(age).count() / halfLifeSeconds);
}

/// Bytes of a message on the network in addition to its payload.
constexpr double MessageOverheadBytes = 130;
/// Longest time for which a change is held back to be sent with others; until then, requests for a released key fail.
constexpr Duration LongestTablePause = milliseconds(100);
/// Time after which a leader that still waits for earlier ones is told again that this daemon has stopped.
constexpr Duration StoppedInterval = milliseconds(500);
/// Announcement intervals after which a follower that has not heard the leader sends it no reports.
constexpr int UnheardAnnouncements = 2;
/// Minimum time between two requests for the table: a second reply would only add load to the leader's network link.
constexpr Duration TableRequestInterval = milliseconds(250);
}

/// The table of the earlier leader stays in use until this one may make grants: the servers hold their keys meanwhile.
void LeaseController::Private::publishIfChanged()
{
    if (m_role != LeaseRole::Leader || m_slices.all().empty() || !m_isTableStale || mayFormerLeaderGrant()) {
        return;
    }
    m_isTableStale = false;
    Assignment table;
    table.service = m_settings.service;
    table.epoch = m_epoch;
    std::map<Identity, ServerIndex> known;
    for (const auto &it : m_slices.all()) {
        const bool isServed = it.isGranted && !it.isReleasing;
        const auto owner = isServed ? findOrAddServer(table, known, it.holder) : noServer;
        table.slices.push_back({it.range, owner, it.fencingToken & 0xffffff, {}});
    }
    if (table.epoch == m_table.epoch && table.servers == m_table.servers && table.slices == m_table.slices) {
        return;
    }
    table.nextSequence = ++m_nextSequence + 1;
    m_table = std::move(table);
    m_actions.control.emplace_back(PublishAssignmentAction{m_table});
}

/// Sends the changes since the last message, at a limited rate so that the network link stays free for requests: during
/// the start of a fleet the table changes with every server that registers.
void LeaseController::Private::sendChangesIfDue()
{
    const bool isSent = m_sentTable.epoch == m_table.epoch && m_sentTable.nextSequence == m_table.nextSequence;
    if (m_role != LeaseRole::Leader || m_table.epoch != m_epoch || isSent || m_now < m_nextTableAt) {
        return;
    }
    const bool hasBase = m_sentTable.epoch == m_epoch;
    auto payload = hasBase ? encode(changeBetween(m_sentTable, m_table)) : encodeLeaseTable(m_table);
    const double bytes =
        (static_cast<double>(payload.size()) + MessageOverheadBytes) * static_cast<double>(m_members.size());
    const auto pause = duration_cast<Duration>(std::chrono::duration<double>(bytes / m_settings.tableBytesPerSecond));
    m_nextTableAt = m_now + std::min(pause, LongestTablePause);
    m_sentTable = m_table;
    sendPeer({}, hasBase ? LeaseMessage::TableChange : LeaseMessage::Table, std::move(payload));
}

LeaseNotice LeaseController::Private::notice() const
{
    return {m_settings.service, m_epoch, m_sentTable.epoch == m_epoch ? m_sentTable.nextSequence : 0,
            m_role == LeaseRole::Leader && m_former.empty(), wantsSuccessor()};
}

void LeaseController::Private::announce()
{
    m_nextAnnounceAt = m_now + m_settings.announceEvery;
    sendPeer({}, LeaseMessage::Announce, encode(notice()));
}

/// Sends the version of the table on which the next change message is based.
void LeaseController::Private::sendTable(const std::string &vm)
{
    if (m_sentTable.epoch == m_epoch) {
        sendPeer(vm, LeaseMessage::Table, encodeLeaseTable(m_sentTable));
    }
}

void LeaseController::Private::requestTable(const std::string &vm)
{
    if (m_now < m_nextTableRequestAt) {
        return;
    }
    m_nextTableRequestAt = m_now + TableRequestInterval;
    sendPeer(vm, LeaseMessage::TableRequest, encode(LeaseNotice{m_settings.service}));
}

/// Sends to one member, or with an empty name to all others that are not dead. Announcements go to dead members as
/// well: a daemon that is wrongly considered dead would otherwise miss them and start a takeover.
void LeaseController::Private::sendPeer(const std::string &vm, std::uint16_t type, std::string payload)
{
    if (!vm.empty()) {
        m_actions.control.emplace_back(SendPeerAction{vm, type, std::move(payload)});
        return;
    }
    for (const auto &it : m_members) {
        if (it.identity.name != m_settings.self.name
            && (it.status != MemberStatus::Dead || type == LeaseMessage::Announce)) {
            m_actions.control.emplace_back(SendPeerAction{it.identity.name, type, payload});
        }
    }
}

void LeaseController::Private::onPeer(const PeerEvent &event)
{
    const auto report = [&](ErrorCode code, const std::string &detail) {
        decide(LeaseEvents::MessageMalformed, {},
               fmt::format("type {} from {}: {} {}", event.type, event.sender.name, errorMessage(code), detail));
    };
    tryOr(
        [&]() -> Result<void> {
            if (event.type == LeaseMessage::Table) {
                BOOST_LEAF_AUTO(table, decodeLeaseTable(event.payload));
                if (table.service == m_settings.service) {
                    adoptTable(table);
                }
                return {};
            }
            if (event.type == LeaseMessage::TableChange) {
                BOOST_LEAF_AUTO(change, decodeTableChange(event.payload));
                if (change.service == m_settings.service) {
                    adoptChange(event, change);
                }
                return {};
            }
            if (event.type == LeaseMessage::Load) {
                BOOST_LEAF_AUTO(load, decodeKeyLoad(event.payload));
                if (load.service == m_settings.service && m_role == LeaseRole::Leader) {
                    receiveLoad(event.sender.name, load);
                }
                return {};
            }
            if (event.type < LeaseMessage::Announce || event.type > LeaseMessage::Stopped) {
                return {};
            }
            BOOST_LEAF_AUTO(notice, decodeLeaseNotice(event.payload));
            if (notice.service == m_settings.service) {
                onNotice(event, notice);
            }
            return {};
        },
        report);
}

void LeaseController::Private::onNotice(const PeerEvent &event, const LeaseNotice &notice)
{
    if (event.type == LeaseMessage::TableRequest) {
        if (m_role == LeaseRole::Leader) {
            sendTable(event.sender.name);
        }
        return;
    }
    if (event.type == LeaseMessage::Stopped) {
        if (m_role == LeaseRole::Leader) {
            removeFormerLeaders([&](const Identity &it) { return it == event.sender; });
        } else if (m_role == LeaseRole::Follower && notice.epoch >= m_seenEpoch) {
            m_stoppedEpoch = notice.epoch;
            // There is no leader: the position in the takeover order alone determines the delay.
            m_leaderHeardAt = std::min(m_leaderHeardAt, m_now - m_settings.takeoverAfter);
        }
        return;
    }
    if (notice.epoch < m_seenEpoch) {
        return;
    }
    if (m_role == LeaseRole::Leader) {
        if (notice.epoch > m_epoch) {
            m_seenEpoch = notice.epoch;
            loseLeadership(fmt::format("{} leads under epoch {}", event.sender.name, notice.epoch));
            sendPeer(event.sender.name, LeaseMessage::Stopped, encode(notice));
        }
        return;
    }
    noteTakeovers(notice.epoch, event.sender.name);
    m_seenEpoch = notice.epoch;
    m_heardEpoch = notice.epoch;
    m_leaderHeardAt = m_now;
    m_leaderName = event.sender.name;
    noteSuccessorWanted(notice);
    m_soleEpoch = notice.isSole ? notice.epoch : (m_soleEpoch == notice.epoch ? 0 : m_soleEpoch);
    tellStopped(event.sender.name, notice);
    if (std::tie(m_table.epoch, m_table.nextSequence) < std::tie(notice.epoch, notice.version)) {
        requestTable(event.sender.name);
    }
}

/// A new leader must learn that a daemon which has led, or which the record may name since its write had no answer,
/// sends no lease calls. Repeated while the leader still waits for earlier ones, since the message may be lost.
void LeaseController::Private::tellStopped(const std::string &leader, const LeaseNotice &notice)
{
    const bool isNewLeader = m_stoppedSentEpoch < notice.epoch;
    const bool isAwaited = !notice.isSole && m_now >= m_nextStoppedAt;
    if (!m_wasCandidate || m_role != LeaseRole::Follower || !(isNewLeader || isAwaited)) {
        return;
    }
    m_stoppedSentEpoch = notice.epoch;
    m_nextStoppedAt = m_now + StoppedInterval;
    sendPeer(leader, LeaseMessage::Stopped, encode(notice));
}

void LeaseController::Private::adoptTable(const Assignment &table)
{
    if (table.epoch < m_seenEpoch || m_role == LeaseRole::Leader
        || std::tie(table.epoch, table.nextSequence) <= std::tie(m_table.epoch, m_table.nextSequence)) {
        return;
    }
    m_seenEpoch = table.epoch;
    m_leaderHeardAt = m_now;
    m_table = table;
    m_actions.control.emplace_back(PublishAssignmentAction{m_table});
}

void LeaseController::Private::adoptChange(const PeerEvent &event, const TableChange &change)
{
    if (change.epoch < m_seenEpoch || m_role == LeaseRole::Leader) {
        return;
    }
    if (const auto table = applyChange(m_table, change)) {
        adoptTable(*table);
    } else if (std::tie(m_table.epoch, m_table.nextSequence) < std::tie(change.epoch, change.toVersion)) {
        requestTable(event.sender.name);
    }
}

/// A report is evidence of the lead for its receiver (LeadProof), and this daemon makes no grant while it is valid. So
/// a follower that is about to take the lead sends none.
void LeaseController::Private::addLoad(const KeyLoad &load)
{
    if (m_role == LeaseRole::Leader) {
        receiveLoad(m_settings.self.name, load);
        return;
    }
    const bool isHeard = m_now - m_leaderHeardAt <= UnheardAnnouncements * m_settings.announceEvery;
    if (m_role == LeaseRole::Follower && isHeard && !m_leaderName.empty() && m_leaderName != m_settings.self.name) {
        m_reportedAt = m_now;
        sendPeer(m_leaderName, LeaseMessage::Load, encode(load));
    }
}

void LeaseController::Private::receiveLoad(const std::string &daemon, const KeyLoad &load)
{
    if (daemon != m_settings.self.name) {
        m_leadProof.reported(daemon, m_now);
        if (load.hasServerContact) {
            m_contactReportedAt[daemon] = m_now;
        }
    }
    for (const auto &[position, count] : load.positions) {
        auto &it = m_positions[position];
        const auto age = m_now - it.updatedAt;
        it.shortRate = it.shortRate * decay(age, ShortHalfLifeSeconds) + count * M_LN2 / ShortHalfLifeSeconds;
        it.longRate = it.longRate * decay(age, LongHalfLifeSeconds) + count * M_LN2 / LongHalfLifeSeconds;
        it.updatedAt = m_now;
        m_hotRanges.count(position, count);
    }
    for (const auto &it : load.servers) {
        if (it.serviceSeconds <= 0) {
            continue;
        }
        auto &known = m_serviceTimes[it.server];
        const bool isNew = known.seconds == 0;
        known.seconds += (isNew ? 1 : ServiceTimeSampleWeight) * (it.serviceSeconds - known.seconds);
        known.updatedAt = m_now;
    }
}

/// Decays all rates to the current time and removes positions without recent requests.
void LeaseController::Private::refreshPositions()
{
    for (auto it = m_positions.begin(); it != m_positions.end();) {
        auto &load = it->second;
        const auto age = m_now - load.updatedAt;
        load.shortRate *= decay(age, ShortHalfLifeSeconds);
        load.longRate *= decay(age, LongHalfLifeSeconds);
        load.updatedAt = m_now;
        it = load.longRate < NegligibleRate ? m_positions.erase(it) : std::next(it);
    }
}

LeaseLoad LeaseController::Private::currentLoad()
{
    LeaseLoad load;
    load.requestRates = m_requestRates;
    refreshPositions();
    for (const auto &it : m_hotRanges.update(m_now, m_positions, m_settings.minRangeWidth)) {
        decide(LeaseEvents::HotRangeFound, it, "the load of neighbouring keys has risen suddenly");
    }
    for (const auto &slice : m_slices.all()) {
        const auto begin = m_positions.lower_bound(slice.range.first);
        const auto end = m_positions.upper_bound(slice.range.last);
        double shortSum = 0;
        double longSum = 0;
        for (auto it = begin; it != end; ++it) {
            shortSum += it->second.shortRate;
            longSum += it->second.longRate;
        }
        const bool isHot = isBurst(shortSum, longSum);
        for (auto it = begin; it != end; ++it) {
            load.positions.emplace_hint(load.positions.end(), it->first,
                                        isHot ? it->second.shortRate : it->second.longRate);
        }
    }
    m_hotRanges.apply(m_now, m_settings.minRangeWidth, load);
    for (const auto &[identity, it] : m_serviceTimes) {
        if (m_now - it.updatedAt < ServiceTimeMemory) {
            load.serviceSeconds.emplace(identity, it.seconds);
        }
    }
    return load;
}

void LeaseController::Private::decide(const EventType &event, const SliceRange &range, std::string text)
{
    m_actions.control.emplace_back(DecisionAction{event, m_settings.service, range, std::move(text)});
}

}

#pragma once

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <numeric>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include <fmt/format.h>

#include <galenarock/leases.h>

namespace Galenarock
{

/// Load of a keyed service in which a group of neighbouring keys becomes hot for a time.
struct HotKeyLoad
{
    std::size_t servers = 72;
    std::uint32_t slots = 2;
    std::size_t queueLength = 8;
    double workSeconds = 0.12;
    /// Speeds of the servers, repeated.
    std::vector<double> speeds{0.7, 0.7, 1.6};
    double requestsPerSecond = 541;
    std::size_t keys = 60'000;
    double skew = 0.5;
    std::size_t daemons = 58;
    std::size_t hotKeys = 200;
    double hotShare = 0.32;
    /// Requests for the hot keys themselves are skewed by this.
    double hotSkew = 0;
    Duration before = seconds(20);
    Duration hotTime = seconds(15);
    Duration after = seconds(10);
    double callsPerSecond = 2'000;
    std::uint64_t seed = 1;
};

struct HotKeyResult
{
    /// From the start of the hot phase to the time from which busiest/mean of the owners stays below 1.5; negative if
    /// it does not.
    double spreadSeconds = -1;
    /// From the start of the hot phase to the last grant of a moved range before its end.
    double lastGrantSeconds = 0;
    /// Busiest/mean utilization 0.5, 1, 2, 3 and 5 s after the start, and the mean from 2 s to the end of the phase.
    std::vector<double> busiestAt;
    double busiestLater = 0;
    double busiestWorstLater = 0;
    std::size_t movesHot = 0;
    std::size_t movesAfter = 0;
    /// Positions that changed owner, during the phase, after it and in the 10 s before it.
    std::size_t movedHot = 0;
    std::size_t movedAfter = 0;
    std::size_t movedBefore = 0;
    double refusedShareHot = 0;
    double refusedShareFirst = 0;
    /// Means over the moves of the phase, in seconds: from the plan to the release call, from there to its answer, and
    /// to the answer of the grant.
    double recordSeconds = 0;
    double releaseSeconds = 0;
    double longestReleaseSeconds = 0;
    double grantSeconds = 0;
    double firstPlanSeconds = -1;
    std::size_t hotOwners = 0;
    std::size_t ranges = 0;
};

/// Runs one LeaseController as leader with servers that have slots and queues, and daemons that report the load by key.
/// The store answers after 10 ms, a lease call after 5 ms, a release once the running work for its range has ended.
class HotKeyWorld
{
public:
    explicit HotKeyWorld(const HotKeyLoad &load)
        : m_load(load)
        , m_random(load.seed)
        , m_controller(settings(load))
        , m_counts(load.daemons)
    {
        makeRates();
        makeServers();
        lead();
    }

    HotKeyResult run()
    {
        m_hotFrom = m_now + m_load.before;
        m_hotUntil = m_hotFrom + m_load.hotTime;
        const auto end = m_hotUntil + m_load.after;
        while (m_now < end) {
            step();
        }
        finish();
        return m_result;
    }

private:
    static constexpr std::size_t Positions = 65'536;
    static constexpr Duration StepTime = milliseconds(1);
    static constexpr Duration TickTime = milliseconds(50);
    static constexpr Duration ReportTime = milliseconds(250);
    static constexpr Duration MeasureTime = milliseconds(50);
    static constexpr Duration StoreDelay = milliseconds(10);
    static constexpr Duration CallDelay = milliseconds(5);
    static constexpr Duration TableDelay = milliseconds(20);
    static constexpr Duration LongestWait = milliseconds(500);
    static constexpr double LimitOfBusiest = 1.5;

    struct Server
    {
        LeaseServer entry;
        double seconds = 0;
        std::vector<Instant> freeAt;
        /// End and position of the requests that run or wait.
        std::vector<std::pair<Instant, std::size_t>> work;
    };
    struct Move
    {
        Instant plannedAt{};
        Instant releasedFrom{};
        Instant releasedAt{};
        Instant grantedAt{};
    };

    static LeaseSettings settings(const HotKeyLoad &load)
    {
        LeaseSettings settings;
        settings.self = {"vm-0", 1};
        settings.service = "trasee";
        settings.callsPerSecond = load.callsPerSecond;
        return settings;
    }

    static KeyHash hash(std::size_t position)
    {
        return KeyHash(position) << 48;
    }

    void makeRates()
    {
        std::vector<std::size_t> positionOfKey(m_load.keys);
        for (std::size_t n = 0; n < m_load.keys; ++n) {
            positionOfKey[n] = n * Positions / m_load.keys;
        }
        const auto firstHot = m_random() % (m_load.keys - m_load.hotKeys);
        m_hot.assign(Positions, 0);
        for (std::size_t n = 0; n < m_load.hotKeys; ++n) {
            m_hot[positionOfKey[firstHot + n]] += std::pow(static_cast<double>(n + 1), -m_load.hotSkew);
        }
        std::shuffle(positionOfKey.begin(), positionOfKey.end(), m_random);
        m_even.assign(Positions, 0);
        for (std::size_t n = 0; n < m_load.keys; ++n) {
            m_even[positionOfKey[n]] += std::pow(static_cast<double>(n + 1), -m_load.skew);
        }
        normalize(m_hot);
        normalize(m_even);
        m_drawHot = std::discrete_distribution<std::size_t>(m_hot.begin(), m_hot.end());
        m_drawEven = std::discrete_distribution<std::size_t>(m_even.begin(), m_even.end());
    }

    static void normalize(std::vector<double> &rates)
    {
        const double sum = std::accumulate(rates.begin(), rates.end(), 0.0);
        for (auto &it : rates) {
            it /= sum;
        }
    }

    void makeServers()
    {
        for (std::size_t n = 0; n < m_load.servers; ++n) {
            Server server;
            server.entry = {
                {fmt::format("s-{:03}", n), n + 1}, fmt::format("10.0.0.{}:80", n), "a", m_load.slots, false};
            server.seconds = m_load.workSeconds / m_load.speeds[n % m_load.speeds.size()];
            server.freeAt.resize(m_load.slots);
            m_servers.emplace(server.entry.identity, std::move(server));
        }
    }

    void lead()
    {
        std::vector<LeaseServer> servers;
        LeaseRecord record;
        record.service = "trasee";
        record.epoch = 1;
        for (const auto &[identity, it] : m_servers) {
            const auto n = servers.size();
            servers.push_back(it.entry);
            const auto last =
                n + 1 == m_servers.size() ? ~KeyHash(0) : hash(Positions * (n + 1) / m_servers.size()) - 1;
            record.ranges.push_back({{hash(Positions * n / m_servers.size()), last}, identity, {}});
        }
        MembersEvent members;
        for (std::size_t n = 0; n < m_load.daemons; ++n) {
            members.members.push_back({{fmt::format("vm-{}", n), n + 1}, "a", "", "", MemberStatus::Alive, true, 100});
        }
        execute(m_controller.step(m_now, members));
        execute(m_controller.setServers(m_now, servers));
        m_stored = {{ObjectKind::Lease, "trasee"}, m_version, 0, toJson(record)};
        while (!m_controller.isLeader()) {
            step();
        }
    }

    bool isHot() const
    {
        return m_now >= m_hotFrom && m_now < m_hotUntil;
    }

    void step()
    {
        m_now += StepTime;
        while (!m_replies.empty() && m_replies.top().time <= m_now) {
            auto event = m_replies.top().event;
            m_replies.pop();
            onGrantReply(event);
            execute(m_controller.step(m_now, event));
        }
        if (m_now >= m_nextTick) {
            m_nextTick += TickTime;
            execute(m_controller.step(m_now, TickEvent()));
        }
        report();
        followTable();
        arrivals();
        if (m_now >= m_nextMeasure) {
            m_nextMeasure += MeasureTime;
            measure();
        }
    }

    void arrivals()
    {
        std::poisson_distribution<int> count(m_load.requestsPerSecond * 1e-3);
        for (int n = count(m_random); n > 0; --n) {
            const bool isForHot = isHot() && std::uniform_real_distribution<double>()(m_random) < m_load.hotShare;
            const auto position = isForHot ? m_drawHot(m_random) : m_drawEven(m_random);
            ++m_counts[m_random() % m_load.daemons][position];
            if (isHot()) {
                ++m_offered;
                m_offeredFirst += m_now < m_hotFrom + seconds(3) ? 1 : 0;
            }
            offer(position, m_now, isHot());
        }
        auto waiting = std::move(m_waiting);
        m_waiting.clear();
        for (const auto &[position, since, wasHot] : waiting) {
            offer(position, since, wasHot);
        }
    }

    void offer(std::size_t position, Instant since, bool wasHot)
    {
        auto *server = owner(position);
        if (!server) {
            if (m_now - since < LongestWait) {
                m_waiting.emplace_back(position, since, wasHot);
            } else {
                refuse(since, wasHot);
            }
            return;
        }
        auto &work = server->work;
        work.erase(std::remove_if(work.begin(), work.end(), [&](const auto &it) { return it.first <= m_now; }),
                   work.end());
        if (work.size() >= m_load.queueLength + m_load.slots) {
            refuse(since, wasHot);
            return;
        }
        auto &slot = *std::min_element(server->freeAt.begin(), server->freeAt.end());
        slot = std::max(slot, m_now) + duration_cast<Duration>(std::chrono::duration<double>(server->seconds));
        work.emplace_back(slot, position);
    }

    void refuse(Instant since, bool wasHot)
    {
        m_refused += wasHot ? 1 : 0;
        m_refusedFirst += wasHot && since < m_hotFrom + seconds(3) ? 1 : 0;
    }

    Server *owner(std::size_t position)
    {
        const auto *slice = m_routed.find(hash(position));
        if (!slice || slice->owner == noServer) {
            return nullptr;
        }
        return &m_servers.at(m_routed.servers[slice->owner]);
    }

    /// All daemons use the table that the leader published a moment ago.
    void followTable()
    {
        while (!m_tables.empty() && m_tables.front().first <= m_now) {
            countMovedPositions(m_tables.front().second);
            m_routed = std::move(m_tables.front().second);
            m_tables.pop_front();
        }
    }

    void countMovedPositions(const Assignment &table)
    {
        m_lastOwner.resize(Positions);
        for (std::size_t n = 0; n < Positions; ++n) {
            const auto *slice = table.find(hash(n));
            if (!slice || slice->owner == noServer) {
                continue;
            }
            const auto &now = table.servers[slice->owner];
            const bool isCounted = m_hotFrom != Instant() && m_now >= m_hotFrom - seconds(10);
            if (!m_lastOwner[n].name.empty() && m_lastOwner[n] != now && isCounted) {
                ++(m_now < m_hotFrom ? m_result.movedBefore : isHot() ? m_result.movedHot : m_result.movedAfter);
            }
            m_lastOwner[n] = now;
        }
    }

    void report()
    {
        const auto interval = duration_cast<Duration>(ReportTime) / static_cast<int>(m_load.daemons);
        while (m_now >= m_nextReport) {
            m_nextReport += interval;
            auto &counts = m_counts[m_nextDaemon];
            KeyLoad load{"trasee", 0.25, {}, {}, true};
            for (const auto &[position, count] : counts) {
                load.positions.emplace_back(hash(position), count);
            }
            counts.clear();
            for (const auto &[identity, it] : m_servers) {
                load.servers.push_back({identity, it.seconds});
            }
            if (m_nextDaemon == 0) {
                execute(m_controller.addLoad(m_now, load));
            } else {
                PeerEvent event{
                    {fmt::format("vm-{}", m_nextDaemon), m_nextDaemon + 1}, LeaseMessage::Load, encode(load)};
                execute(m_controller.step(m_now, event));
            }
            m_nextDaemon = (m_nextDaemon + 1) % m_load.daemons;
        }
    }

    void execute(LeaseActions actions)
    {
        for (auto &it : actions.calls) {
            answer(std::move(it));
        }
        for (const auto &it : actions.control) {
            if (const auto *write = std::get_if<WriteObjectAction>(&it)) {
                m_stored = {write->key, ++m_version, write->writer, write->value};
                m_replies.push({m_now + StoreDelay, ++m_order,
                                WriteResultEvent{write->key, write->writer, m_now, WriteStatus::Applied, m_stored}});
            } else if (std::holds_alternative<ReadObjectAction>(it)) {
                m_replies.push({m_now + StoreDelay, ++m_order, ObjectEvent{m_stored, true}});
            } else if (const auto *table = std::get_if<PublishAssignmentAction>(&it)) {
                m_tables.emplace_back(m_now + TableDelay, table->assignment);
            } else if (const auto *decision = std::get_if<DecisionAction>(&it)) {
                onDecision(*decision);
            }
        }
    }

    void onDecision(const DecisionAction &decision)
    {
        const auto name = decision.event.name;
        if (name == "lease-move-planned") {
            if (isHot()) {
                m_moves[decision.range.first] = {m_now, {}, {}, {}};
                ++m_result.movesHot;
                if (m_result.firstPlanSeconds < 0) {
                    m_result.firstPlanSeconds = sinceHot(m_now);
                }
            } else if (m_hotFrom != Instant() && m_now >= m_hotUntil) {
                ++m_result.movesAfter;
            }
        } else if (name == "lease-released") {
            if (const auto it = m_moves.find(decision.range.first); it != m_moves.end()) {
                it->second.releasedAt = m_now;
            }
        }
    }

    void answer(LeaseCall call)
    {
        LeaseReplyEvent reply;
        reply.sentAt = m_now;
        reply.status = LeaseCallStatus::Accepted;
        reply.connection = 1;
        auto until = m_now + CallDelay;
        if (call.command == LeaseCommand::Release) {
            const auto move = m_moves.find(call.range.first);
            if (move != m_moves.end() && move->second.releasedFrom == Instant()) {
                move->second.releasedFrom = m_now;
            }
            for (const auto &[end, position] : m_servers.at(call.server).work) {
                until = call.range.contains(hash(position)) ? std::max(until, end) : until;
            }
            reply.releaseProof = "proof";
        }
        reply.endedAt = until;
        reply.call = std::move(call);
        m_replies.push({until, ++m_order, std::move(reply)});
    }

    void onGrantReply(const ControlEvent &event)
    {
        const auto *reply = std::get_if<LeaseReplyEvent>(&event);
        if (!reply || reply->call.command != LeaseCommand::Grant) {
            return;
        }
        const auto move = m_moves.find(reply->call.range.first);
        if (move == m_moves.end() || move->second.releasedFrom == Instant() || move->second.releasedAt == Instant()
            || move->second.grantedAt != Instant()) {
            return;
        }
        auto &it = move->second;
        it.grantedAt = m_now;
        m_finished.push_back(it);
        if (isHot()) {
            m_result.lastGrantSeconds = sinceHot(m_now);
        }
    }

    double sinceHot(Instant time) const
    {
        return std::chrono::duration<double>(time - m_hotFrom).count();
    }

    /// Utilization of the owners that the true rates of the keys give; a range that is moving counts for its last
    /// owner.
    void measure()
    {
        if (!isHot() || m_lastOwner.empty()) {
            return;
        }
        std::map<Identity, double> loads;
        for (std::size_t n = 0; n < Positions; ++n) {
            loads[m_lastOwner[n]] +=
                m_load.requestsPerSecond * (m_load.hotShare * m_hot[n] + (1 - m_load.hotShare) * m_even[n]);
        }
        double sum = 0;
        double capacity = 0;
        double busiest = 0;
        for (const auto &[identity, it] : m_servers) {
            const double own = m_load.slots / it.seconds;
            sum += loads[identity];
            capacity += own;
            busiest = std::max(busiest, loads[identity] / own);
        }
        m_busiest.emplace_back(sinceHot(m_now), busiest / (sum / capacity));
    }

    void finish()
    {
        std::size_t count = 0;
        for (const auto &[time, busiest] : m_busiest) {
            m_result.spreadSeconds = busiest >= LimitOfBusiest ? -1
                : m_result.spreadSeconds < 0                   ? time
                                                               : m_result.spreadSeconds;
            if (time >= 2) {
                m_result.busiestLater += busiest;
                m_result.busiestWorstLater = std::max(m_result.busiestWorstLater, busiest);
                ++count;
            }
        }
        m_result.busiestLater /= static_cast<double>(std::max<std::size_t>(1, count));
        for (const double at : {0.5, 1.0, 2.0, 3.0, 5.0}) {
            const auto it =
                std::find_if(m_busiest.begin(), m_busiest.end(), [&](const auto &m) { return m.first >= at; });
            m_result.busiestAt.push_back(it == m_busiest.end() ? 0 : it->second);
        }
        for (const auto &it : m_finished) {
            const auto inSeconds = [](Duration duration) {
                return std::chrono::duration<double>(duration).count();
            };
            const auto n = static_cast<double>(m_finished.size());
            m_result.recordSeconds += inSeconds(it.releasedFrom - it.plannedAt) / n;
            m_result.releaseSeconds += inSeconds(it.releasedAt - it.releasedFrom) / n;
            m_result.longestReleaseSeconds =
                std::max(m_result.longestReleaseSeconds, inSeconds(it.releasedAt - it.releasedFrom));
            m_result.grantSeconds += inSeconds(it.grantedAt - it.releasedAt) / n;
        }
        m_result.refusedShareHot =
            static_cast<double>(m_refused) / static_cast<double>(std::max<std::size_t>(1, m_offered));
        m_result.refusedShareFirst =
            static_cast<double>(m_refusedFirst) / static_cast<double>(std::max<std::size_t>(1, m_offeredFirst));
        m_result.ranges = m_controller.table().slices.size();
    }

    struct Reply
    {
        Instant time;
        std::uint64_t order;
        ControlEvent event;
        friend bool operator<(const Reply &a, const Reply &b)
        {
            return std::tie(a.time, a.order) > std::tie(b.time, b.order);
        }
    };

    const HotKeyLoad m_load;
    std::mt19937_64 m_random;
    Instant m_now{seconds(1'000)};
    Instant m_nextTick{m_now};
    Instant m_nextReport{m_now};
    Instant m_nextMeasure{m_now};
    Instant m_hotFrom{};
    Instant m_hotUntil{};
    LeaseController m_controller;
    std::vector<double> m_hot;
    std::vector<double> m_even;
    std::discrete_distribution<std::size_t> m_drawHot;
    std::discrete_distribution<std::size_t> m_drawEven;
    std::map<Identity, Server> m_servers;
    std::priority_queue<Reply> m_replies;
    std::uint64_t m_order = 0;
    std::uint64_t m_version = 7;
    /// The record in the store.
    StoredObject m_stored;
    std::deque<std::pair<Instant, Assignment>> m_tables;
    Assignment m_routed;
    std::vector<Identity> m_lastOwner;
    std::vector<std::map<std::size_t, std::uint32_t>> m_counts;
    std::size_t m_nextDaemon = 0;
    std::vector<std::tuple<std::size_t, Instant, bool>> m_waiting;
    std::map<KeyHash, Move> m_moves;
    std::vector<Move> m_finished;
    std::vector<std::pair<double, double>> m_busiest;
    std::size_t m_offered = 0;
    std::size_t m_refused = 0;
    std::size_t m_offeredFirst = 0;
    std::size_t m_refusedFirst = 0;
    HotKeyResult m_result;
};

}

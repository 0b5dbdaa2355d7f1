#include <benchmark/benchmark.h>

#include <deque>

#include <fmt/format.h>

#include <galenarock/leases.h>

using namespace Galenarock;

/// Processor time that the leader of one keyed service spends per second on its control core, by the number of ranges.
/// Servers and store answer at once; 69 daemons report the load of random positions.
namespace
{
constexpr std::size_t Servers = 140;
constexpr std::size_t Daemons = 69;
constexpr std::size_t PositionsPerReport = 6;
constexpr Duration TickTime = milliseconds(50);
constexpr Duration ReportTime = milliseconds(250);
constexpr Duration ReplyDelay = milliseconds(5);

class LeaderWorld
{
public:
    explicit LeaderWorld(std::size_t ranges)
        : m_controller(settings())
    {
        std::vector<LeaseServer> servers;
        for (std::size_t n = 0; n < Servers; ++n) {
            servers.push_back(
                {{fmt::format("i-{:010x}", n * 7919), n + 1}, fmt::format("10.0.0.{}:80", n), "a", 2, false});
        }
        LeaseRecord record;
        record.service = "shop";
        record.epoch = 1;
        const KeyHash width = ~KeyHash(0) / ranges + 1;
        for (std::size_t n = 0; n < ranges; ++n) {
            const KeyHash last = n + 1 == ranges ? ~KeyHash(0) : width * (n + 1) - 1;
            record.ranges.push_back({{width * n, last}, servers[n % Servers].identity, {}});
        }
        MembersEvent members;
        for (std::size_t n = 0; n < Daemons; ++n) {
            members.members.push_back({{fmt::format("vm-{}", n), n + 1}, "a", "", "", MemberStatus::Alive, true, 100});
        }
        execute(m_controller.step(m_now, members));
        execute(m_controller.setServers(m_now, servers));
        const StoredObject stored{{ObjectKind::Lease, "shop"}, 7, 0, toJson(record)};
        while (!m_controller.isLeader()) {
            run(TickTime);
            execute(m_controller.step(m_now, ObjectEvent{stored, true}));
        }
        run(seconds(2));
    }

    void run(Duration duration)
    {
        const auto end = m_now + duration;
        while (m_now < end) {
            m_now += milliseconds(5);
            while (!m_replies.empty() && m_replies.front().first <= m_now) {
                const auto event = std::move(m_replies.front().second);
                m_replies.pop_front();
                execute(m_controller.step(m_now, event));
            }
            if (m_now >= m_nextTick) {
                m_nextTick = m_now + TickTime;
                execute(m_controller.step(m_now, TickEvent()));
            }
            while (m_now >= m_nextReport) {
                m_nextReport += ReportTime / Daemons;
                report();
            }
        }
    }

    std::size_t calls = 0;

private:
    static LeaseSettings settings()
    {
        LeaseSettings settings;
        settings.self = {"vm-0", 1};
        settings.service = "shop";
        return settings;
    }

    void report()
    {
        KeyLoad load{"shop", 0.25, {}, {}};
        for (std::size_t n = 0; n < PositionsPerReport; ++n) {
            m_random = m_random * 6364136223846793005ULL + 1442695040888963407ULL;
            load.positions.emplace_back(m_random & ~((KeyHash(1) << 48) - 1), 1);
        }
        execute(m_controller.addLoad(m_now, load));
    }

    void execute(LeaseActions actions)
    {
        for (auto &it : actions.calls) {
            ++calls;
            m_replies.emplace_back(m_now + ReplyDelay,
                                   LeaseReplyEvent{std::move(it), m_now, LeaseCallStatus::Accepted, {}, {}});
        }
        for (const auto &it : actions.control) {
            if (const auto *write = std::get_if<WriteObjectAction>(&it)) {
                const StoredObject stored{write->key, ++m_version, write->writer, write->value};
                m_replies.emplace_back(
                    m_now + ReplyDelay,
                    WriteResultEvent{write->key, write->writer, m_now, WriteStatus::Applied, stored});
            }
        }
    }

    Instant m_now{seconds(1'000)};
    Instant m_nextTick{};
    Instant m_nextReport{m_now};
    std::uint64_t m_random = 1;
    std::uint64_t m_version = 7;
    std::deque<std::pair<Instant, ControlEvent>> m_replies;
    LeaseController m_controller;
};

void leaderSecond(benchmark::State &state)
{
    LeaderWorld world(static_cast<std::size_t>(state.range(0)));
    world.calls = 0;
    for (auto _ : state) {
        world.run(seconds(1));
    }
    state.counters["calls/s"] = static_cast<double>(world.calls) / static_cast<double>(state.iterations());
}
}

BENCHMARK(leaderSecond)->Arg(140)->Arg(420)->Arg(840)->Arg(1'680)->Unit(benchmark::kMillisecond);
BENCHMARK_MAIN();

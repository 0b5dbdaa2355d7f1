#include <gtest/gtest.h>

#include <deque>
#include <memory>

#include <fmt/format.h>

#include <galenarock/serverlimits.h>

using namespace Galenarock;

namespace
{
constexpr Duration Step = milliseconds(10);
constexpr Duration Delay = milliseconds(2);
constexpr Duration Window = seconds(4);
/// Time after which the daemons must keep to a rate.
constexpr Duration Grace = seconds(3);
const Identity Shop{"shop-1", 7};

/// Daemons with simulated time and messages, all of which send requests to one server.
class Fleet
{
public:
    explicit Fleet(std::size_t size, std::uint64_t seed)
        : m_random(seed)
    {
        for (std::size_t n = 0; n < size; ++n) {
            m_daemons.push_back({fmt::format("vm-{}", n), nullptr});
            start(n);
        }
        setMembers();
    }

    std::function<bool(std::size_t from, std::size_t to)> isDelivered = [](std::size_t, std::size_t) {
        return true;
    };

    void start(std::size_t n)
    {
        auto &daemon = m_daemons[n];
        daemon.core = std::make_unique<ServerLimits>(daemon.name, m_random());
        daemon.core->setFleetListed();
    }
    void kill(std::size_t n)
    {
        m_daemons[n].core.reset();
    }
    /// Tells daemon `n` which members it sees; the others are dead to it.
    void setMembers(std::size_t n, const std::function<bool(std::size_t)> &isSeen)
    {
        std::vector<Member> members;
        for (std::size_t it = 0; it < m_daemons.size(); ++it) {
            Member member;
            member.identity = {m_daemons[it].name, 1};
            member.status = it == n || isSeen(it) ? MemberStatus::Alive : MemberStatus::Dead;
            members.push_back(member);
        }
        if (m_daemons[n].core) {
            m_daemons[n].core->setMembers(m_now, members);
        }
    }
    void setMembers()
    {
        for (std::size_t n = 0; n < m_daemons.size(); ++n) {
            setMembers(n, [&](std::size_t it) { return m_daemons[it].core != nullptr; });
        }
    }

    /// Each running daemon gets `perSecond` requests at random times; the server states `rate`, or nothing when empty.
    void run(Duration duration, double perSecond, std::optional<double> rate)
    {
        for (const auto end = m_now + duration; m_now < end; m_now += Step) {
            deliver();
            for (std::size_t n = 0; n < m_daemons.size(); ++n) {
                if (m_daemons[n].core) {
                    step(n, perSecond, rate);
                }
            }
        }
    }

    /// Largest number of requests that the server got within one window that begins at `from` or later.
    std::size_t mostInWindow(Instant from) const
    {
        std::size_t most = 0;
        for (auto first = m_arrivals.begin(); first != m_arrivals.end(); ++first) {
            if (*first < from) {
                continue;
            }
            const auto last = std::find_if(first, m_arrivals.end(), [&](Instant it) { return it >= *first + Window; });
            most = std::max(most, static_cast<std::size_t>(last - first));
        }
        return most;
    }
    std::size_t arrivalsSince(Instant from) const
    {
        return static_cast<std::size_t>(
            std::count_if(m_arrivals.begin(), m_arrivals.end(), [&](Instant it) { return it >= from; }));
    }
    Instant now() const
    {
        return m_now;
    }
    ServerLimits &core(std::size_t n)
    {
        return *m_daemons[n].core;
    }

private:
    struct Daemon
    {
        std::string name;
        std::unique_ptr<ServerLimits> core;
    };
    struct Message
    {
        Instant at;
        std::size_t from;
        std::size_t to;
        PeerEvent event;
    };
    double uniform()
    {
        return static_cast<double>(m_random() >> 11) * 0x1p-53;
    }

    void step(std::size_t n, double perSecond, std::optional<double> rate)
    {
        LimitActions actions;
        auto &core = *m_daemons[n].core;
        core.step(m_now, actions);
        const std::chrono::duration<double> seconds = Step;
        if (uniform() < perSecond * seconds.count()) {
            const auto decision = core.ask(m_now, Shop, 0, Duration(), actions);
            if (decision.state == PermitState::NotNeeded || decision.state == PermitState::Granted) {
                send(n, rate);
            }
        }
        for (const auto &it : actions.outcomes) {
            if (it.permit.isGranted) {
                send(n, rate);
            }
        }
        post(n, actions);
    }
    void send(std::size_t n, std::optional<double> rate)
    {
        m_arrivals.push_back(m_now);
        m_daemons[n].core->observe(m_now, Shop, rate);
    }
    void post(std::size_t from, const LimitActions &actions)
    {
        for (const auto &it : actions.messages) {
            const auto to = static_cast<std::size_t>(std::stoul(it.vm.substr(3)));
            if (isDelivered(from, to)) {
                m_messages.push_back({m_now + Delay, from, to, {{m_daemons[from].name, 1}, it.type, it.payload}});
            }
        }
    }
    void deliver()
    {
        while (!m_messages.empty() && m_messages.front().at <= m_now) {
            const auto message = std::move(m_messages.front());
            m_messages.pop_front();
            auto &core = m_daemons[message.to].core;
            if (!core) {
                continue;
            }
            LimitActions actions;
            tryOr([&]() -> Result<void> { return core->receive(m_now, message.event, actions); },
                  [](ErrorCode, const std::string &detail) { FAIL() << detail; });
            for (const auto &it : actions.outcomes) {
                if (it.permit.isGranted) {
                    send(message.to, m_rate);
                }
            }
            post(message.to, actions);
        }
    }

public:
    /// Rate that the server states in answers to requests that waited for a permit.
    std::optional<double> m_rate;

private:
    Instant m_now = Instant() + seconds(1'000);
    std::mt19937_64 m_random;
    std::vector<Daemon> m_daemons;
    std::deque<Message> m_messages;
    std::vector<Instant> m_arrivals;
};

/// Requests that a server with this rate may get within one window.
std::size_t allowed(double rate)
{
    return static_cast<std::size_t>(1.5 * 4 * rate + 5);
}

struct Case
{
    std::size_t daemons;
    double rate;
};

/// A fleet whose server states a rate; the daemons get four times as many requests as it takes.
class ServerLimitsFleetTest : public testing::TestWithParam<Case>
{
protected:
    ServerLimitsFleetTest()
        : fleet(GetParam().daemons, 42)
    {
        fleet.m_rate = GetParam().rate;
    }
    void run(Duration duration)
    {
        fleet.run(duration, 4 * GetParam().rate / static_cast<double>(GetParam().daemons), GetParam().rate);
    }
    void checkSince(Instant from) const
    {
        EXPECT_LE(fleet.mostInWindow(from), allowed(GetParam().rate));
    }
    Fleet fleet;
};
}

INSTANTIATE_TEST_SUITE_P(Sizes, ServerLimitsFleetTest,
                         testing::Values(Case{9, 6.4}, Case{9, 1}, Case{82, 6.4}, Case{82, 1}, Case{300, 4}));

// Guards against daemons that each keep to a rate that the server means for all of them together.
TEST_P(ServerLimitsFleetTest, AllDaemonsTogetherKeepToTheRateAndUseIt)
{
    const auto begin = fleet.now();
    run(seconds(20));
    checkSince(begin + Grace);
    const auto used = static_cast<double>(fleet.arrivalsSince(begin + seconds(10)));
    EXPECT_GE(used, 0.8 * GetParam().rate * 10);
}

// Guards against a rate that holds no more, or holds twice, while the daemon that gives the permits is lost.
TEST_P(ServerLimitsFleetTest, KeepsToTheRateWhenDaemonsAreLost)
{
    const auto begin = fleet.now();
    run(seconds(6));
    for (std::size_t n = 0; n < GetParam().daemons / 2; ++n) {
        fleet.kill(n);
    }
    run(seconds(2)); // not noticed yet
    fleet.setMembers();
    run(seconds(10));
    checkSince(begin + Grace);
}

// Guards against a daemon that takes the whole rate for itself once it no longer sees the others.
TEST_P(ServerLimitsFleetTest, DaemonsThatAreCutOffKeepToTheRate)
{
    const auto begin = fleet.now();
    run(seconds(6));
    const auto isCutOff = [](std::size_t n) {
        return n % 3 == 0;
    };
    fleet.isDelivered = [&](std::size_t from, std::size_t to) {
        return !isCutOff(from) && !isCutOff(to);
    };
    run(seconds(2));
    for (std::size_t n = 0; n < GetParam().daemons; ++n) {
        fleet.setMembers(n, [&](std::size_t it) { return !isCutOff(n) && !isCutOff(it); });
    }
    run(seconds(12));
    fleet.isDelivered = [](std::size_t, std::size_t) {
        return true;
    };
    run(milliseconds(500));
    fleet.setMembers();
    run(seconds(6));
    checkSince(begin + Grace);
}

// Guards against two halves that each take the whole rate.
TEST_P(ServerLimitsFleetTest, TwoHalvesOfAFleetKeepToTheRate)
{
    const auto begin = fleet.now();
    run(seconds(6));
    const auto isSameHalf = [](std::size_t a, std::size_t b) {
        return a % 2 == b % 2;
    };
    fleet.isDelivered = isSameHalf;
    run(seconds(2));
    for (std::size_t n = 0; n < GetParam().daemons; ++n) {
        fleet.setMembers(n, [&](std::size_t it) { return isSameHalf(n, it); });
    }
    run(seconds(12));
    checkSince(begin + Grace);
}

// Guards against a daemon that has just started and sends as if no server had stated a rate, until it sees a response.
TEST_P(ServerLimitsFleetTest, ADaemonThatHasJustStartedKnowsTheRate)
{
    run(seconds(8));
    fleet.kill(0);
    fleet.setMembers();
    run(seconds(5));
    fleet.start(0);
    fleet.setMembers();
    fleet.run(seconds(1), 0, GetParam().rate);
    EXPECT_TRUE(fleet.core(0).isLimited(Shop));
}

TEST_P(ServerLimitsFleetTest, KeepsToTheRateWhenMessagesAreLost)
{
    const auto begin = fleet.now();
    std::mt19937_64 random(7);
    fleet.isDelivered = [&](std::size_t, std::size_t) {
        return random() % 5 != 0;
    };
    run(seconds(20));
    checkSince(begin + Grace);
}

TEST_P(ServerLimitsFleetTest, AllDaemonsLearnThatTheRateIsNoLongerStated)
{
    run(seconds(8));
    fleet.m_rate.reset();
    fleet.run(seconds(6), 2, std::nullopt);
    for (std::size_t n = 0; n < GetParam().daemons; ++n) {
        EXPECT_FALSE(fleet.core(n).isLimited(Shop)) << n;
    }
}

// Guards against a daemon without any other one in sight that takes itself for the whole fleet.
TEST(ServerLimitsTest, ADaemonThatHasNotSeenTheFleetUsesASmallPart)
{
    ServerLimits limits("vm-1", 1);
    const auto begin = Instant() + seconds(1'000);
    limits.observe(begin, Shop, 10);
    int sent = 0;
    for (auto now = begin; now < begin + seconds(10); now += Step) {
        LimitActions actions;
        sent += limits.ask(now, Shop, 0, Duration(), actions).state == PermitState::Granted ? 1 : 0;
    }
    EXPECT_GT(sent, 0);
    EXPECT_LE(sent, 100 / 16 + 1);
    limits.setFleetListed();
    LimitActions actions;
    int later = 0;
    for (auto now = begin + seconds(10); now < begin + seconds(20); now += Step) {
        later += limits.ask(now, Shop, 0, Duration(), actions).state == PermitState::Granted ? 1 : 0;
    }
    EXPECT_GE(later, 90);
}

// Guards against sending requests on permits that were given before this daemon stood still.
TEST(ServerLimitsTest, AReplyAfterAPauseIsNoPermit)
{
    ServerLimits limits("vm-1", 1);
    const auto begin = Instant() + seconds(1'000);
    Member self;
    self.identity = {"vm-1", 1};
    Member other;
    other.identity = {"vm-2", 1};
    limits.setMembers(begin, {self, other});
    Identity server{"s", 1};
    PermitDecision decision;
    LimitActions actions;
    for (int n = 0; decision.state != PermitState::Pending; ++n) {
        server.name = fmt::format("s-{}", n);
        limits.observe(begin, server, 1);
        decision = limits.ask(begin, server, 0, Duration(), actions);
    }
    PermitReply reply{decision.number, {server, 1, 1}, {true, {}}};
    actions = {};
    tryOr(
        [&]() -> Result<void> {
            return limits.receive(begin + seconds(5), {{"vm-2", 1}, RequestMessage::PermitReply, encode(reply)},
                                  actions);
        },
        [](ErrorCode, const std::string &detail) { FAIL() << detail; });
    EXPECT_TRUE(actions.outcomes.empty());
    limits.step(begin + seconds(5), actions);
    ASSERT_EQ(actions.outcomes.size(), 1U);
}

// Guards against a reply to a question of this daemon's earlier process, which counted its questions from 1 as well,
// being taken for the reply about another server (LIMIT).
TEST(ServerLimitsTest, ReplyAboutAnotherServerIsNotTaken)
{
    const Instant begin = Instant() + seconds(1'000);
    ServerLimits limits("vm-1", 1);
    Member self;
    self.identity = {"vm-1", 2};
    Member other;
    other.identity = {"vm-2", 1};
    limits.setMembers(begin, {self, other});
    Identity server{"s", 1};
    PermitDecision decision;
    LimitActions actions;
    for (int n = 0; decision.state != PermitState::Pending; ++n) {
        server.name = fmt::format("s-{}", n);
        limits.observe(begin, server, 1);
        decision = limits.ask(begin, server, 0, Duration(), actions);
    }
    const PermitReply late{decision.number, {{"earlier", 1}, 1, 1}, {true, {}}};
    actions = {};
    tryOr(
        [&]() -> Result<void> {
            return limits.receive(begin + milliseconds(1), {{"vm-2", 1}, RequestMessage::PermitReply, encode(late)},
                                  actions);
        },
        [](ErrorCode, const std::string &detail) { FAIL() << detail; });
    EXPECT_TRUE(actions.outcomes.empty());
}

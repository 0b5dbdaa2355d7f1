#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>

#include <fmt/format.h>

#include <galenarock/serverlimits.h>

using namespace Galenarock;

namespace
{
constexpr Duration Step = milliseconds(10);
constexpr Duration LongestMessageDelay = milliseconds(40);
/// How much later than permitted a busy daemon sends a request; well below the time after which it gives up the permit.
constexpr Duration LatestSend = milliseconds(150);
/// As in RequestHandler.
constexpr Duration LongestPermitWait = milliseconds(300);
/// Time within which all daemons have read the entry of a server.
constexpr Duration EntrySpread = milliseconds(600);
constexpr Duration ColdAgainPause = seconds(1);
constexpr std::size_t Daemons = 58;
/// Requests per second for the server, from all daemons together: many times what it takes while it is cold.
constexpr double Demand = 300;
constexpr double WarmupPerSecond = 3.6;
const WarmupBound Bound{1.5, 8};
/// Whole requests within 1.5 x 3.6 + 8.
constexpr std::size_t MostInSecond = 13;

/// Daemons with simulated time, messages and servers.
class ColdFleet
{
public:
    ColdFleet()
    {
        for (std::size_t n = 0; n < Daemons; ++n) {
            m_daemons.emplace_back();
            m_daemons.back().name = fmt::format("vm-{}", n);
            m_daemons.back().core = std::make_unique<ServerLimits>(m_daemons.back().name, m_random());
            m_daemons.back().core->setFleetListed();
        }
        setMembers([](std::size_t, std::size_t) { return true; });
    }

    std::function<bool(std::size_t from, std::size_t to)> isDelivered = [](std::size_t, std::size_t) {
        return true;
    };
    /// How the servers answer.
    PaceSigns answer{1, 0, 0, 0};

    /// Which daemons each one sees; the others are dead to it.
    void setMembers(const std::function<bool(std::size_t self, std::size_t other)> &isSeen)
    {
        for (std::size_t n = 0; n < Daemons; ++n) {
            std::vector<Member> members;
            for (std::size_t other = 0; other < Daemons; ++other) {
                Member member;
                member.identity = {m_daemons[other].name, 1};
                member.status = other == n || isSeen(n, other) ? MemberStatus::Alive : MemberStatus::Dead;
                members.push_back(member);
            }
            if (m_daemons[n].core) {
                m_daemons[n].core->setMembers(m_now, members);
            }
        }
    }
    void kill(std::size_t n)
    {
        m_daemons[n].core.reset();
    }
    /// The server is there; daemons that have read its entry send to it.
    void add(const Identity &server)
    {
        for (auto &it : m_daemons) {
            it.reads.push_back({m_now + part(EntrySpread), server, {}, true});
        }
    }
    /// The entry of the server says that it is cold. Daemons that have not read this yet know nothing of it.
    void setCold(const Identity &server, Duration duration, Duration pause)
    {
        for (auto &it : m_daemons) {
            const auto at = m_now + part(EntrySpread);
            const ColdServer cold{server, coldRate(WarmupPerSecond, Bound), at + pause, at + duration};
            it.reads.push_back({at, server, cold, false});
        }
    }
    void run(Duration duration)
    {
        for (const auto end = m_now + duration; m_now < end; m_now += Step) {
            deliver();
            for (std::size_t n = 0; n < Daemons; ++n) {
                if (m_daemons[n].core) {
                    step(n);
                }
            }
        }
    }
    /// Largest number of requests that reach the server within one second that begins at `from` or later.
    std::size_t mostInSecond(const Identity &server, Instant from, Instant to = Instant::max())
    {
        auto &times = m_arrivals[server];
        std::sort(times.begin(), times.end());
        std::size_t most = 0;
        for (auto first = std::lower_bound(times.begin(), times.end(), from); first != times.end(); ++first) {
            const auto last = std::lower_bound(first, times.end(), std::min(to, *first + seconds(1)));
            most = std::max(most, static_cast<std::size_t>(std::max<std::ptrdiff_t>(0, last - first)));
        }
        return most;
    }
    double perSecond(const Identity &server, Instant from, Instant to)
    {
        const auto &times = m_arrivals[server];
        const auto n = std::count_if(times.begin(), times.end(), [&](Instant it) { return it >= from && it < to; });
        return static_cast<double>(n) / std::chrono::duration<double>(to - from).count();
    }
    Instant now() const
    {
        return m_now;
    }

private:
    /// An entry that a daemon is going to read.
    struct Read
    {
        Instant at;
        Identity server;
        ColdServer cold;
        bool isAdded = false;
    };
    struct Daemon
    {
        std::string name;
        std::unique_ptr<ServerLimits> core;
        std::vector<Read> reads;
        std::vector<Identity> servers;
        std::map<Identity, ColdServer> cold;
        std::map<std::uint64_t, Identity> questions;
    };
    struct Message
    {
        std::size_t from;
        std::size_t to;
        PeerEvent event;
    };
    double uniform()
    {
        return static_cast<double>(m_random() >> 11) * 0x1p-53;
    }
    Duration part(Duration duration)
    {
        return duration_cast<Duration>(duration * uniform());
    }
    void readEntries(Daemon &daemon)
    {
        for (auto it = daemon.reads.begin(); it != daemon.reads.end();) {
            if (it->at > m_now) {
                ++it;
                continue;
            }
            if (it->isAdded) {
                daemon.servers.push_back(it->server);
            } else {
                daemon.cold[it->server] = it->cold;
                std::vector<ColdServer> list;
                for (const auto &[server, cold] : daemon.cold) {
                    list.push_back(cold);
                }
                daemon.core->setColdServers(list);
            }
            it = daemon.reads.erase(it);
        }
    }
    void step(std::size_t n)
    {
        auto &daemon = m_daemons[n];
        readEntries(daemon);
        LimitActions actions;
        daemon.core->step(m_now, actions);
        const double chance = Demand / Daemons * std::chrono::duration<double>(Step).count();
        for (const auto &server : daemon.servers) {
            if (uniform() >= chance) {
                continue;
            }
            const auto decision = daemon.core->ask(m_now, server, 0, LongestPermitWait, actions);
            if (decision.state == PermitState::Pending) {
                daemon.questions[decision.number] = server;
            } else if (decision.state == PermitState::NotNeeded) {
                m_arrivals[server].push_back(m_now);
            } else if (decision.state == PermitState::Granted) {
                send(daemon, server, decision.delay);
            }
        }
        carryOut(n, actions);
    }
    void send(Daemon &daemon, const Identity &server, Duration delay)
    {
        m_arrivals[server].push_back(m_now + delay + part(LatestSend));
        daemon.core->observeAnswer(m_now, server, answer);
    }
    void carryOut(std::size_t from, const LimitActions &actions)
    {
        auto &daemon = m_daemons[from];
        for (const auto &it : actions.outcomes) {
            const auto question = daemon.questions.extract(it.number);
            if (it.permit.isGranted && !question.empty()) {
                send(daemon, question.mapped(), it.permit.delay);
            }
        }
        for (const auto &it : actions.messages) {
            const auto to = static_cast<std::size_t>(std::stoul(it.vm.substr(3)));
            if (isDelivered(from, to)) {
                m_messages.emplace(m_now + part(LongestMessageDelay),
                                   Message{from, to, {{daemon.name, 1}, it.type, it.payload}});
            }
        }
    }
    void deliver()
    {
        while (!m_messages.empty() && m_messages.begin()->first <= m_now) {
            const auto message = m_messages.extract(m_messages.begin()).mapped();
            auto &core = m_daemons[message.to].core;
            if (!core) {
                continue;
            }
            LimitActions actions;
            tryOr([&]() -> Result<void> { return core->receive(m_now, message.event, actions); },
                  [](ErrorCode, const std::string &detail) { FAIL() << detail; });
            carryOut(message.to, actions);
        }
    }

    Instant m_now = Instant() + seconds(1'000);
    std::mt19937_64 m_random{42};
    std::vector<Daemon> m_daemons;
    std::multimap<Instant, Message> m_messages;
    std::map<Identity, std::vector<Instant>> m_arrivals;
};

const Identity Booking{"booking-1", 7};

/// 58 daemons that get 300 requests per second for a server which tolerates 3.6 while it is cold.
class ColdServerFleetTest : public testing::Test
{
protected:
    void addCold(const Identity &server, Duration duration)
    {
        fleet.setCold(server, duration, {});
        fleet.run(EntrySpread); // an entry says at once that its server is there and that it is cold
        fleet.add(server);
    }
    ColdFleet fleet;
};
}

// Guards against the burst of all daemons that see a new server at the same time (17 and 14 in a second were observed).
TEST_F(ColdServerFleetTest, ServerThatHasJustBeenAddedGetsNoBurst)
{
    const auto begin = fleet.now();
    addCold(Booking, seconds(20));
    fleet.run(seconds(18));
    EXPECT_LE(fleet.mostInSecond(Booking, begin), MostInSecond);
    const auto rate = fleet.perSecond(Booking, begin + seconds(8), begin + seconds(18));
    EXPECT_GE(rate, 0.8 * coldRate(WarmupPerSecond, Bound));
    EXPECT_LE(rate, WarmupPerSecond);
}

// Guards against requests under way being added to those with permits when a server becomes cold in the middle of
// traffic.
TEST_F(ColdServerFleetTest, ServerThatBecomesColdInTheMiddleOfTrafficKeepsTheBound)
{
    fleet.add(Booking);
    fleet.run(seconds(3));
    fleet.setCold(Booking, seconds(10), ColdAgainPause);
    const auto known = fleet.now() + EntrySpread;
    fleet.run(seconds(9));
    EXPECT_LE(fleet.mostInSecond(Booking, known, fleet.now()), MostInSecond);
    EXPECT_GT(fleet.perSecond(Booking, known + seconds(2), fleet.now()), 1);
}

// Guards against a server that stays limited, or is left unused, once it is warm.
TEST_F(ColdServerFleetTest, WarmServerReachesFullUse)
{
    addCold(Booking, seconds(6));
    fleet.run(seconds(10));
    EXPECT_GE(fleet.perSecond(Booking, fleet.now() - seconds(3), fleet.now()), 0.9 * Demand);
}

// Guards against the load of a release: servers that start one after the other, some of them cold at the same time.
TEST_F(ColdServerFleetTest, ReleaseOfAllServersOneAfterTheOtherKeepsTheBound)
{
    std::vector<Identity> servers;
    std::vector<Instant> coldUntil;
    for (int n = 0; n < 12; ++n) {
        servers.push_back({fmt::format("booking-{}", n), 8});
        coldUntil.push_back(fleet.now() + seconds(5));
        addCold(servers.back(), seconds(5));
        fleet.run(milliseconds(400));
    }
    fleet.run(seconds(4));
    for (std::size_t n = 0; n < servers.size(); ++n) {
        EXPECT_LE(fleet.mostInSecond(servers[n], Instant(), coldUntil[n]), MostInSecond) << n;
    }
}

// Guards against daemons that do not hear the issuer and each send as if they were alone, before and after they are
// taken for dead.
TEST_F(ColdServerFleetTest, DaemonsThatDoNotHearTheIssuerKeepTheBound)
{
    const auto begin = fleet.now();
    const auto isCutOff = [](std::size_t n) {
        return n % 3 == 0;
    };
    fleet.isDelivered = [&](std::size_t from, std::size_t to) {
        return !isCutOff(from) && !isCutOff(to);
    };
    addCold(Booking, seconds(120));
    fleet.run(seconds(4));
    fleet.setMembers([&](std::size_t a, std::size_t b) { return !isCutOff(a) && !isCutOff(b); });
    // Longer than the time for which the rates that servers state count daemons that died.
    fleet.run(seconds(70));
    fleet.isDelivered = [](std::size_t, std::size_t) {
        return true;
    };
    fleet.run(milliseconds(500));
    fleet.setMembers([](std::size_t, std::size_t) { return true; });
    fleet.run(seconds(5));
    EXPECT_LE(fleet.mostInSecond(Booking, begin), MostInSecond);
}

// Guards against many small groups of daemons whose issuers begin, and give their first permits, at the same time.
TEST_F(ColdServerFleetTest, ManyPartsOfAFleetKeepTheBound)
{
    const auto begin = fleet.now();
    addCold(Booking, seconds(120));
    fleet.run(seconds(5));
    const auto isSameGroup = [](std::size_t a, std::size_t b) {
        return a / 3 == b / 3;
    };
    fleet.isDelivered = isSameGroup;
    fleet.run(seconds(2));
    fleet.setMembers(isSameGroup);
    fleet.run(seconds(60));
    EXPECT_LE(fleet.mostInSecond(Booking, begin), MostInSecond);
}

// Guards against two issuers that each give out the whole rate.
TEST_F(ColdServerFleetTest, TwoHalvesOfAFleetKeepTheBound)
{
    const auto begin = fleet.now();
    addCold(Booking, seconds(60));
    fleet.run(seconds(5));
    const auto isSameHalf = [](std::size_t a, std::size_t b) {
        return a % 2 == b % 2;
    };
    fleet.isDelivered = isSameHalf;
    fleet.run(seconds(2));
    fleet.setMembers(isSameHalf);
    fleet.run(seconds(10));
    EXPECT_LE(fleet.mostInSecond(Booking, begin), MostInSecond);
}

// Guards against permits that are given again by another daemon when those that give them are lost.
TEST_F(ColdServerFleetTest, LossOfHalfOfTheDaemonsKeepsTheBound)
{
    const auto begin = fleet.now();
    addCold(Booking, seconds(60));
    fleet.run(seconds(5));
    for (std::size_t n = 0; n < Daemons / 2; ++n) {
        fleet.kill(n);
    }
    fleet.run(seconds(2));
    fleet.setMembers([](std::size_t, std::size_t other) { return other >= Daemons / 2; });
    fleet.run(seconds(5));
    EXPECT_LE(fleet.mostInSecond(Booking, begin), MostInSecond);
    EXPECT_GT(fleet.perSecond(Booking, fleet.now() - seconds(4), fleet.now()), 0.5);
}

// Guards against lost questions and replies that set permits free.
TEST_F(ColdServerFleetTest, KeepsTheBoundWhenMessagesAreLost)
{
    const auto begin = fleet.now();
    std::mt19937_64 random(7);
    fleet.isDelivered = [&](std::size_t, std::size_t) {
        return random() % 5 != 0;
    };
    addCold(Booking, seconds(60));
    fleet.run(seconds(15));
    EXPECT_LE(fleet.mostInSecond(Booking, begin), MostInSecond);
}

// Guards against daemons that have just started, see no other one, and each send.
TEST(ColdServerTest, DaemonsThatHaveNotSeenTheFleetSendFewRequestsTogether)
{
    const auto begin = Instant() + seconds(1'000);
    const ColdServer cold{Booking, coldRate(WarmupPerSecond, Bound), {}, begin + seconds(300)};
    std::vector<std::unique_ptr<ServerLimits>> daemons;
    for (std::size_t n = 0; n < Daemons; ++n) {
        daemons.push_back(std::make_unique<ServerLimits>(fmt::format("vm-{}", n), n));
        daemons.back()->setColdServers({cold});
    }
    std::vector<Instant> sent;
    for (auto now = begin; now < begin + seconds(200); now += Step) {
        for (auto &it : daemons) {
            LimitActions actions;
            if (it->ask(now, Booking, 0, Duration(), actions).state == PermitState::Granted) {
                sent.push_back(now);
            }
        }
    }
    for (auto first = sent.begin(); first != sent.end(); ++first) {
        const auto last = std::lower_bound(first, sent.end(), *first + seconds(1));
        ASSERT_LE(static_cast<std::size_t>(last - first), MostInSecond);
    }
}

// Guards against a rate that stays up at a cold server which refuses requests or does not answer.
TEST_F(ColdServerFleetTest, ServerThatRefusesGetsLess)
{
    fleet.answer = {0, 0, 1, 0};
    addCold(Booking, seconds(60));
    fleet.run(seconds(20));
    const auto refusing = fleet.perSecond(Booking, fleet.now() - seconds(10), fleet.now());
    EXPECT_LE(refusing, 0.35 * coldRate(WarmupPerSecond, Bound));
    fleet.answer = {1, 0, 0, 0};
    fleet.run(seconds(20));
    EXPECT_GE(fleet.perSecond(Booking, fleet.now() - seconds(10), fleet.now()), 2 * refusing);
}

// Guards against a daemon whose issuer has not read the server's entry yet and gives any number of permits.
TEST(ColdServerTest, IssuerThatDoesNotKnowThatTheServerIsColdKeepsTheRateOfTheQuestion)
{
    ServerLimits issuer("vm-1", 1);
    issuer.setFleetListed();
    const auto begin = Instant() + seconds(1'000);
    std::size_t granted = 0;
    for (std::uint64_t n = 1; n <= 100; ++n) {
        LimitActions actions;
        const PermitRequest request{n, {Booking, 2, 0}, 0, {}, {}};
        tryOr(
            [&]() -> Result<void> {
                return issuer.receive(begin + n * milliseconds(10),
                                      {{"vm-2", 1}, RequestMessage::PermitRequest, encode(request)}, actions);
            },
            [](ErrorCode, const std::string &detail) { FAIL() << detail; });
        ASSERT_EQ(actions.messages.size(), 1U);
        tryOr(
            [&]() -> Result<void> {
                BOOST_LEAF_AUTO(reply, decodePermitReply(actions.messages.front().payload));
                granted += reply.permit.isGranted ? 1 : 0;
                return {};
            },
            [](ErrorCode, const std::string &detail) { FAIL() << detail; });
    }
    EXPECT_LE(granted, 3U);
    EXPECT_FALSE(issuer.isLimited(Booking)) << "the rate of a cold server is not one that it states";
}

// Guards against answers that are lost between the builds, and against an older build that cannot read the question.
TEST(ColdServerTest, QuestionCarriesTheAnswersOfTheServer)
{
    const PermitRequest plain{3, {Booking, 2, 0}, 1, milliseconds(20), {}};
    auto withSigns = plain;
    withSigns.signs = {4, 3, 2, 1};
    EXPECT_EQ(encode(withSigns).substr(0, encode(plain).size()), encode(plain));
    for (const auto &it : {plain, withSigns}) {
        tryOr(
            [&]() -> Result<void> {
                BOOST_LEAF_AUTO(read, decodePermitRequest(encode(it)));
                EXPECT_EQ(read, it);
                return {};
            },
            [](ErrorCode, const std::string &detail) { FAIL() << detail; });
    }
}

// Guards against keys that are planned for a cold server at its full capacity, and against keeping it at the cold rate
// once it is warm.
TEST(ColdServerTest, RateOfAColdServerIsItsCapacityUntilItIsWarm)
{
    ServerLimits limits("vm-1", 1);
    const auto begin = Instant() + seconds(1'000);
    const Identity other{"booking-2", 7};
    limits.observe(begin, other, 1);
    limits.setColdServers({{Booking, 2, {}, begin + seconds(3)}, {other, 2, {}, begin + seconds(3)}});
    EXPECT_EQ(limits.rates(), (std::map<Identity, double>{{Booking, 2}, {other, 1}}));
    LimitActions actions;
    limits.step(begin + seconds(3), actions);
    EXPECT_EQ(limits.rates(), (std::map<Identity, double>{{other, 1}}));
    EXPECT_EQ(limits.ask(begin + seconds(3), Booking, 0, {}, actions).state, PermitState::NotNeeded);
}

// Guards against a message that ends the daemon: a length field without its bytes, and a message that ends early.
TEST(ColdServerTest, MalformedQuestionIsRefused)
{
    const PermitRequest request{3, {Booking, 2, 0}, 1, milliseconds(20), {4, 3, 2, 1}};
    const auto payload = encode(request);
    const auto plain = encode(PermitRequest{3, {Booking, 2, 0}, 1, milliseconds(20), {}});
    const auto isRead = [](const std::string &text) {
        return tryOr(
            [&]() -> Result<bool> {
                BOOST_LEAF_CHECK(decodePermitRequest(text));
                return true;
            },
            [](ErrorCode, const std::string &) { return false; });
    };
    EXPECT_TRUE(isRead(payload));
    for (std::size_t n = 0; n < payload.size(); ++n) {
        EXPECT_EQ(isRead(payload.substr(0, n)), n == plain.size()) << n;
    }
    // After the byte order mark and the number follows the length of the server's name, of 8 bytes.
    auto huge = payload;
    huge.replace(9, 8, std::string(8, '\x7f'));
    EXPECT_FALSE(isRead(huge));
}

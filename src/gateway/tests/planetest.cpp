#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <optional>

#include "gateway/plane_p.h"

using namespace Galenarock;

namespace
{
constexpr Duration StepTime = milliseconds(5);
constexpr Duration TickTime = milliseconds(50);
constexpr Duration NetworkDelay = milliseconds(5);
/// Each daemon asks the store for a sign of life at this interval, which tells it the era.
constexpr Duration HeartbeatTime = milliseconds(500);
/// Time within which a deployment must have recovered from any fault.
constexpr Duration RecoveryLimit = seconds(15);

/// Control planes of several daemons, the store, and the messages between the daemons, with a common clock.
class PlaneFleet
{
public:
    explicit PlaneFleet(std::size_t count)
        : m_daemons(count)
    {
        for (std::size_t n = 0; n < count; ++n) {
            start(n);
        }
    }

    void start(std::size_t index)
    {
        auto &daemon = m_daemons[index];
        daemon = Daemon();
        daemon.identity = {"vm-" + std::to_string(index), m_nextBoot++};
        daemon.address = "10.0.0." + std::to_string(index) + ":" + std::to_string(daemon.identity.boot);
        GatewayControlPlaneSettings settings;
        settings.self = daemon.identity;
        settings.failureDomain = "a";
        settings.address = "10.1.0.1:80";
        settings.seed = daemon.identity.boot * 7'919;
        GatewayDialect dialect;
        dialect.configuration = {"config", "main"};
        dialect.serverKind = "servers";
        daemon.plane = std::make_unique<GatewayControlPlane>(settings, dialect, hooks(index));
    }
    void kill(std::size_t index)
    {
        m_daemons[index] = Daemon();
    }
    /// The store continues from an empty copy.
    void loseObjects()
    {
        m_objects.clear();
        ++m_era;
    }
    void loseObject(const ObjectKey &key)
    {
        m_objects.erase({key.kind, key.name});
        ++m_era;
    }
    std::optional<StoredObject> object(const std::string &kind, const std::string &name) const
    {
        const auto it = m_objects.find({kind, name});
        return it == m_objects.end() ? std::nullopt : std::optional(it->second);
    }
    void run(Duration duration)
    {
        for (const auto end = m_now + duration; m_now < end;) {
            step();
        }
    }
    /// What is missing until every daemon uses the key of the store, has its entry there and takes all for alive.
    std::string faults() const
    {
        const auto key = object(ObjectKind::Fleet, "peer-key");
        std::string text = key ? "" : "no key in the store;";
        for (const auto &it : m_daemons) {
            const auto &name = it.identity.name;
            text += key && it.key == key->value["key"] ? "" : " " + name + " uses another key;";
            text += object(ObjectKind::Daemon, name) ? "" : " " + name + " has no entry;";
            const auto alive = std::count_if(it.members.begin(), it.members.end(),
                                             [](const Member &m) { return m.status == MemberStatus::Alive; });
            const bool areAllAlive = static_cast<std::size_t>(alive) == m_daemons.size();
            text += areAllAlive ? "" : " " + name + " hears " + std::to_string(alive) + ";";
        }
        return text;
    }
    std::size_t reads() const
    {
        return m_reads;
    }

    bool isStoreUp = true;

private:
    struct Daemon
    {
        Identity identity;
        std::string address;
        std::unique_ptr<GatewayControlPlane> plane;
        std::string key;
        std::uint64_t foreignFrames = 0;
        std::vector<Member> members;
        std::uint64_t era = 0;
    };

    GatewayHooks hooks(std::size_t index)
    {
        GatewayHooks hooks;
        hooks.readObject = [this, index](const ReadObjectAction &it) {
            ++m_reads;
            callStore(index, [this, it]() -> std::vector<ControlEvent> {
                const auto found = object(it.key.kind, it.key.name);
                return {found ? ControlEvent(ObjectEvent{*found, true}) : ControlEvent(ObjectMissingEvent{it.key})};
            });
        };
        hooks.writeObject = [this, index](const WriteObjectAction &it) {
            callStore(index, [this, it]() -> std::vector<ControlEvent> { return {write(it)}; });
        };
        hooks.listObjects = [this, index](const std::string &kind) {
            callStore(index, [this, kind] {
                std::vector<ControlEvent> events;
                for (const auto &[key, it] : m_objects) {
                    if (key.first == kind) {
                        events.emplace_back(ObjectEvent{it, true});
                    }
                }
                return events;
            });
        };
        hooks.sendPeer = [this, index](const SendPeerAction &it) {
            send(m_daemons[index], it);
        };
        hooks.membersChanged = [this, index](const std::vector<Member> &it) {
            m_daemons[index].members = it;
        };
        hooks.openPeers = [this, index](const std::string &it) {
            m_daemons[index].key = it;
            return m_daemons[index].address;
        };
        hooks.changePeerKey = [this, index](const std::string &it) {
            m_daemons[index].key = it;
            return true;
        };
        hooks.foreignFrames = [this, index] {
            return m_daemons[index].foreignFrames;
        };
        hooks.callServer = [](const LeaseCall &) {
        };
        hooks.relaysChanged = [](const std::vector<Member> &) {
        };
        hooks.snapshotChanged = [](const std::shared_ptr<const RoutingSnapshot> &) {
        };
        hooks.unknownValuesChanged = [](std::size_t) {
        };
        hooks.evacuationsChanged = [](std::size_t) {
        };
        hooks.bootSeen = [](const std::string &, std::uint64_t) {
        };
        hooks.stoppedAsPlanned = [](const Identity &) {
        };
        hooks.takeLoads = [] {
            return std::vector<KeyLoad>();
        };
        hooks.requestMessage = [](const PeerEvent &) {
        };
        hooks.coldServersChanged = [](const std::vector<ColdServer> &) {
        };
        hooks.requestRates = [] {
            return std::map<Identity, double>();
        };
        hooks.reachesServers = [] {
            return true;
        };
        hooks.fleetListed = [] {
        };
        hooks.isStoreReachable = [this] {
            return isStoreUp;
        };
        hooks.setFeed = [](const WatchFeedView &) {
        };
        hooks.applyChange = [](const WatchChange &) {
        };
        hooks.takeChanges = [] {
            return std::vector<WatchChange>();
        };
        return hooks;
    }

    void schedule(Duration delay, std::function<void()> action)
    {
        m_scheduled.emplace(m_now + delay, std::move(action));
    }
    /// Passes the response on after the event of its era, if the process still runs. The store client drops responses
    /// of an earlier era.
    void callStore(std::size_t index, std::function<std::vector<ControlEvent>()> call)
    {
        const auto boot = m_daemons[index].identity.boot;
        schedule(NetworkDelay, [this, index, boot, call] {
            if (!isStoreUp) {
                return;
            }
            schedule(NetworkDelay, [this, index, boot, events = call(), era = m_era] {
                auto &daemon = m_daemons[index];
                if (daemon.identity.boot != boot || era < daemon.era) {
                    return;
                }
                if (std::exchange(daemon.era, era) != era) {
                    daemon.plane->handle(m_now, StoreEraEvent{era});
                }
                for (const auto &it : events) {
                    daemon.plane->handle(m_now, it);
                }
                daemon.plane->endBatch(m_now);
            });
        });
    }
    WriteResultEvent write(const WriteObjectAction &action)
    {
        WriteResultEvent result{action.key, action.writer, m_now, WriteStatus::Conflict, {}};
        auto &stored = m_objects[{action.key.kind, action.key.name}];
        if (stored.version == action.expectedVersion) {
            stored = {action.key, ++m_version, action.writer, action.value};
            result.status = WriteStatus::Applied;
        }
        result.current = stored;
        return result;
    }
    void send(const Daemon &sender, const SendPeerAction &message)
    {
        const auto member = std::find_if(sender.members.begin(), sender.members.end(),
                                         [&](const Member &it) { return it.identity.name == message.vm; });
        const auto address = member == sender.members.end() ? message.vm : member->peerAddress;
        const PeerEvent event{sender.identity, message.type, message.payload};
        schedule(NetworkDelay, [this, address, event, key = sender.key] {
            for (auto &it : m_daemons) {
                if (!it.plane || it.address != address) {
                    continue;
                }
                if (it.key == key) {
                    it.plane->handle(m_now, event);
                    it.plane->endBatch(m_now);
                } else {
                    ++it.foreignFrames;
                }
            }
        });
    }
    void step()
    {
        m_now += StepTime;
        while (!m_scheduled.empty() && m_scheduled.begin()->first <= m_now) {
            const auto action = std::move(m_scheduled.begin()->second);
            m_scheduled.erase(m_scheduled.begin());
            action();
        }
        for (std::size_t n = 0; n < m_daemons.size(); ++n) {
            auto &it = m_daemons[n];
            if (!it.plane) {
                continue;
            }
            if (m_now.time_since_epoch() % TickTime == Duration()) {
                it.plane->handle(m_now, TickEvent());
                it.plane->endBatch(m_now);
            }
            if (m_now.time_since_epoch() % HeartbeatTime == Duration()) {
                callStore(n, [] { return std::vector<ControlEvent>(); });
            }
        }
    }

    Instant m_now{seconds(1'000)};
    std::multimap<Instant, std::function<void()>> m_scheduled;
    std::vector<Daemon> m_daemons;
    std::map<std::pair<std::string, std::string>, StoredObject> m_objects;
    std::uint64_t m_version = 1;
    std::uint64_t m_era = 1;
    std::uint64_t m_nextBoot = 100;
    std::size_t m_reads = 0;
};
}

// A daemon starts after the store came back from a copy that is older than all that the daemons wrote, and creates a
// key of its own. Guards against daemons that never understand each other again (review/2, RECOVER).
TEST(PlaneTest, DaemonsAgreeOnAKeyAfterOneStartsInAnEmptyStore)
{
    for (int phase = 0; phase < 40; ++phase) {
        PlaneFleet fleet(3);
        fleet.run(seconds(5));
        ASSERT_EQ(fleet.faults(), "");
        fleet.isStoreUp = false;
        fleet.kill(2);
        fleet.run(seconds(1));
        fleet.loseObjects();
        fleet.isStoreUp = true;
        fleet.run(phase * milliseconds(60));
        fleet.start(2);
        fleet.run(RecoveryLimit);
        EXPECT_EQ(fleet.faults(), "") << phase;
    }
}

// Only a minority goes on running, and the others start at different times in an empty store. Guards against two groups
// that each keep a key of their own.
TEST(PlaneTest, DaemonsAgreeOnAKeyAfterMostStartInAnEmptyStore)
{
    for (int phase = 0; phase < 40; ++phase) {
        PlaneFleet fleet(5);
        fleet.run(seconds(5));
        fleet.isStoreUp = false;
        for (std::size_t n = 0; n < 3; ++n) {
            fleet.kill(n);
        }
        fleet.run(seconds(1));
        fleet.loseObjects();
        fleet.isStoreUp = true;
        for (std::size_t n = 0; n < 3; ++n) {
            fleet.run(phase * milliseconds(20));
            fleet.start(n);
        }
        fleet.run(RecoveryLimit);
        EXPECT_EQ(fleet.faults(), "") << phase;
    }
}

// The store loses everything again before the daemons have agreed on a key. Guards against a key that returns.
TEST(PlaneTest, DaemonsAgreeOnAKeyAfterTwoDrills)
{
    for (int phase = 0; phase < 40; ++phase) {
        PlaneFleet fleet(3);
        fleet.run(seconds(5));
        fleet.kill(0);
        fleet.loseObjects();
        fleet.run(milliseconds(50));
        fleet.start(0);
        fleet.run(phase * milliseconds(60));
        fleet.loseObjects();
        fleet.kill(1);
        fleet.run(milliseconds(100));
        fleet.start(1);
        fleet.run(RecoveryLimit);
        EXPECT_EQ(fleet.faults(), "") << phase;
    }
}

// Each object of the daemons is missing in the copy in turn, and a daemon starts afterwards. Guards against a daemon
// that is not found any more, or finds none.
TEST(PlaneTest, DaemonsWriteAgainWhatTheCopyDoesNotHave)
{
    const std::vector<ObjectKey> keys{{ObjectKind::Fleet, "peer-key"},
                                      {ObjectKind::Daemon, "vm-0"},
                                      {ObjectKind::Daemon, "vm-1"},
                                      {ObjectKind::Daemon, "vm-2"}};
    for (const auto &it : keys) {
        PlaneFleet fleet(3);
        fleet.run(seconds(5));
        fleet.kill(2);
        fleet.loseObject(it);
        fleet.run(milliseconds(100));
        fleet.start(2);
        fleet.run(RecoveryLimit);
        EXPECT_EQ(fleet.faults(), "") << it.kind << " " << it.name;
    }
}

// Guards against reads of the key while all is well, and against ever more of them while other daemons stay away.
TEST(PlaneTest, KeyIsReadRarelyAndOnlyWhenDaemonsAreNotHeard)
{
    PlaneFleet fleet(3);
    fleet.run(seconds(60));
    EXPECT_EQ(fleet.reads(), 0U);
    fleet.kill(0);
    fleet.kill(1);
    fleet.run(seconds(80));
    EXPECT_GE(fleet.reads(), 5U);
    EXPECT_LE(fleet.reads(), 20U);
}

namespace
{
constexpr const char *ServerKind = "servers";
const ObjectKey ConfigurationKey{"config", "main"};

/// One control plane that reads entries of servers of one service, whose cold servers tolerate 3.6 requests per second
/// for 4 s.
class ColdPlane
{
public:
    explicit ColdPlane(double overshoot)
        : m_plane(settings(overshoot), dialect(), hooks())
    {
        put({ConfigurationKey, 1, 0, nlohmann::json::object()});
    }
    void putServer(const std::string &name, std::uint64_t boot, Duration warmupLeft)
    {
        const auto left = duration_cast<milliseconds>(warmupLeft).count();
        put({{ServerKind, name}, ++m_sequence, 0, {{"boot", boot}, {"left", left}, {"sequence", m_sequence}}});
    }
    void serversListed()
    {
        m_plane.handle(m_now, KindSyncedEvent{ServerKind, 1});
        m_plane.endBatch(m_now);
    }
    void receive(const PeerEvent &message)
    {
        m_plane.handle(m_now, message);
        m_plane.endBatch(m_now);
    }
    void wait(Duration duration)
    {
        m_now += duration;
    }
    Instant now() const
    {
        return m_now;
    }

    /// What the store client was told of other daemons.
    WatchFeedView feed;
    std::vector<ColdServer> cold;
    /// Lists of cold servers and routing snapshots in the order in which they were passed on.
    std::string order;

private:
    static GatewayControlPlaneSettings settings(double overshoot)
    {
        GatewayControlPlaneSettings settings;
        settings.self = {"vm-0", 1};
        settings.warmupBound = {overshoot, 8};
        return settings;
    }
    static GatewayDialect dialect()
    {
        GatewayDialect dialect;
        dialect.configuration = ConfigurationKey;
        dialect.serverKind = ServerKind;
        dialect.readConfiguration = [](const StoredObject &) {
            ParsedConfiguration parsed;
            parsed.configuration.version = 1;
            ServiceRule rule;
            rule.name = "booking";
            rule.warmupMs = 4'000;
            rule.warmupPerSecond = 3.6;
            parsed.configuration.services = {rule};
            return parsed;
        };
        dialect.readServer = [](const StoredObject &object) {
            ParsedServer parsed;
            parsed.server.identity = {object.key.name, object.value["boot"].get<std::uint64_t>()};
            parsed.server.service = "booking";
            parsed.server.address = "10.0.0.1:80";
            parsed.server.sequence = object.value["sequence"].get<std::uint64_t>();
            parsed.server.warmupLeft = milliseconds(object.value["left"].get<std::int64_t>());
            return parsed;
        };
        return dialect;
    }
    GatewayHooks hooks()
    {
        GatewayHooks hooks;
        hooks.unknownValuesChanged = [](std::size_t) {
        };
        hooks.bootSeen = [](const std::string &, std::uint64_t) {
        };
        hooks.takeChanges = [] {
            return std::vector<WatchChange>();
        };
        hooks.setFeed = [this](const WatchFeedView &it) {
            feed = it;
        };
        hooks.coldServersChanged = [this](const std::vector<ColdServer> &it) {
            cold = it;
            order += 'c';
        };
        hooks.snapshotChanged = [this](const std::shared_ptr<const RoutingSnapshot> &) {
            order += 's';
        };
        return hooks;
    }
    void put(const StoredObject &object)
    {
        m_plane.handle(m_now, ObjectEvent{object, true});
        m_plane.endBatch(m_now);
    }

    Instant m_now = Instant() + seconds(1'000);
    std::uint64_t m_sequence = 0;
    GatewayControlPlane m_plane;
};
}

// Guards against requests without a permit: a server in a routing snapshot before it is known to be cold.
TEST(ColdPlaneTest, ServerIsKnownToBeColdBeforeItIsRouted)
{
    ColdPlane plane(1.5);
    plane.putServer("s-1", 1, {});
    plane.serversListed();
    EXPECT_TRUE(plane.cold.empty());
    plane.order.clear();
    plane.putServer("s-2", 1, seconds(3));
    EXPECT_EQ(plane.order, "cs");
    ASSERT_EQ(plane.cold.size(), 1U);
    EXPECT_EQ(plane.cold[0].server, (Identity{"s-2", 1}));
    EXPECT_EQ(plane.cold[0].until, plane.now() + seconds(3));
    EXPECT_EQ(plane.cold[0].openAt, Instant());
    EXPECT_DOUBLE_EQ(plane.cold[0].perSecond, coldRate(3.6, {1.5, 8}));
}

// Guards against a burst to a server that has joined and whose entry does not say yet that it is cold.
TEST(ColdPlaneTest, ServerThatJoinsIsColdForTheTimeOfItsService)
{
    ColdPlane plane(1.5);
    plane.putServer("s-1", 1, {});
    plane.serversListed();
    plane.wait(seconds(12));
    plane.putServer("s-2", 1, {});
    ASSERT_EQ(plane.cold.size(), 1U);
    EXPECT_EQ(plane.cold[0].until, plane.now() + seconds(4));
}

// Guards against requests under way being added to those with permits, and against a snapshot for each heartbeat.
TEST(ColdPlaneTest, ServerThatBecomesColdAgainGetsAPauseAndNoNewSnapshot)
{
    ColdPlane plane(1.5);
    plane.putServer("s-1", 1, {});
    plane.serversListed();
    plane.order.clear();
    plane.putServer("s-1", 1, seconds(3));
    ASSERT_EQ(plane.cold.size(), 1U);
    EXPECT_EQ(plane.cold[0].openAt, plane.now() + seconds(1));
    plane.wait(seconds(2));
    plane.putServer("s-1", 1, seconds(1));
    EXPECT_EQ(plane.order, "c");
    plane.putServer("s-1", 1, {});
    EXPECT_EQ(plane.order, "cc");
    EXPECT_TRUE(plane.cold.empty());
}

// Guards against a changed behaviour in deployments that state no bound.
TEST(ColdPlaneTest, WithoutABoundNoServerIsCold)
{
    ColdPlane plane(0);
    plane.putServer("s-1", 1, seconds(9));
    plane.serversListed();
    plane.putServer("s-2", 1, seconds(9));
    EXPECT_EQ(plane.order.find('c'), std::string::npos);
}

// review/8. Guards against a statement of a verifier that does not reach the store client, whose watches then wait only
// briefly at the store's expense, or for too long (CONFIG, DRAIN).
TEST(PlaneTest, StatementOfAVerifierReachesTheStoreClient)
{
    ColdPlane plane(0);
    plane.receive({{"vm-1", 1}, WatchMessage::Verified, encode(WatchStatus{0, true, {{ServerKind, 7}}})});
    const auto verified = plane.feed.verified.find(ServerKind);
    ASSERT_NE(verified, plane.feed.verified.end());
    EXPECT_EQ(verified->second.lastChange, 7U);
    EXPECT_GT(verified->second.until, plane.now());
}

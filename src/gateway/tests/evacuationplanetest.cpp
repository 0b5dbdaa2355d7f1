#include <gtest/gtest.h>

#include "gateway/plane_p.h"

using namespace Galenarock;

namespace
{
constexpr const char *EvacuationKind = "evacuations";

Instant at(int ms)
{
    return Instant(seconds(1'000) + milliseconds(ms));
}

/// One control plane with the balanced service "orders" and a server of it in each of two failure domains. The test
/// passes it what the store says.
class EvacuationPlaneTest : public testing::Test
{
protected:
    static constexpr const char *ServerKind = "servers";

    void start(Duration bound)
    {
        GatewayControlPlaneSettings settings;
        settings.self = {"vm-1", 7};
        settings.failureDomain = "rioja";
        settings.address = "10.1.0.1:80";
        settings.evacuationBound = bound;
        GatewayDialect dialect;
        dialect.configuration = {"config", "main"};
        dialect.serverKind = ServerKind;
        dialect.evacuationKind = EvacuationKind;
        dialect.readConfiguration = [](const StoredObject &object) {
            ParsedConfiguration parsed;
            parsed.configuration.version = object.version;
            parsed.configuration.services = {{"orders", "", 10, false}};
            return parsed;
        };
        dialect.readServer = [](const StoredObject &object) {
            ParsedServer parsed;
            parsed.server = {{object.key.name, 5}, "orders", "10.0.0.1:80", object.key.name, 4, false, 0};
            return parsed;
        };
        plane = std::make_unique<GatewayControlPlane>(settings, dialect, hooks());
        tick(0);
    }
    /// The store's answers to the first calls, without the evacuations.
    void readServers()
    {
        put({"config", "main"}, 0);
        put({ServerKind, "rioja"}, 0);
        put({ServerKind, "navarra"}, 0);
        synced(ServerKind, 0);
    }
    void put(const ObjectKey &key, int ms)
    {
        StoredObject object;
        object.key = key;
        object.version = ++m_version;
        pass(ms, ObjectEvent{object, true});
    }
    void remove(const ObjectKey &key, int ms)
    {
        pass(ms, ObjectMissingEvent{key});
    }
    void synced(const std::string &kind, int ms)
    {
        pass(ms, KindSyncedEvent{kind, m_version});
    }
    void tick(int ms)
    {
        pass(ms, TickEvent());
    }
    /// Failure domains of the servers to which requests go; "none" before the first snapshot.
    std::string usedDomains() const
    {
        if (!snapshot) {
            return "none";
        }
        std::string text;
        for (const auto &it : snapshot->find("orders")->servers()) {
            text += it.acceptsWork() ? it.failureDomain + " " : "";
        }
        return text;
    }

    std::unique_ptr<GatewayControlPlane> plane;
    std::shared_ptr<const RoutingSnapshot> snapshot;
    std::size_t evacuated = 0;
    bool isStoreUp = true;

private:
    void pass(int ms, const ControlEvent &event)
    {
        plane->handle(at(ms), event);
        plane->endBatch(at(ms));
    }
    GatewayHooks hooks()
    {
        GatewayHooks hooks;
        hooks.readObject = [](const ReadObjectAction &) {
        };
        hooks.writeObject = [](const WriteObjectAction &) {
        };
        hooks.listObjects = [](const std::string &) {
        };
        hooks.snapshotChanged = [this](const std::shared_ptr<const RoutingSnapshot> &it) {
            snapshot = it;
        };
        hooks.unknownValuesChanged = [](std::size_t) {
        };
        hooks.evacuationsChanged = [this](std::size_t n) {
            evacuated = n;
        };
        hooks.bootSeen = [](const std::string &, std::uint64_t) {
        };
        hooks.takeLoads = [] {
            return std::vector<KeyLoad>();
        };
        hooks.requestRates = [] {
            return std::map<Identity, double>();
        };
        hooks.reachesServers = [] {
            return true;
        };
        hooks.isStoreReachable = [this] {
            return isStoreUp;
        };
        hooks.setFeed = [](const WatchFeedView &) {
        };
        hooks.takeChanges = [] {
            return std::vector<WatchChange>();
        };
        hooks.foreignFrames = [] {
            return 0;
        };
        return hooks;
    }

    std::uint64_t m_version = 0;
};
}

// Guards against a daemon that starts during an evacuation and routes before it knows of it.
TEST_F(EvacuationPlaneTest, NothingIsRoutedBeforeTheEvacuationsAreKnown)
{
    start(seconds(5));
    readServers();
    EXPECT_EQ(usedDomains(), "none");
    EXPECT_FALSE(plane->isReady());
    put({EvacuationKind, "rioja"}, 100);
    EXPECT_EQ(usedDomains(), "none");
    synced(EvacuationKind, 100);
    EXPECT_EQ(usedDomains(), "navarra ");
    EXPECT_TRUE(plane->isReady());
}

// Guards against a deployment without evacuations that waits for the kind or acts on objects of its name.
TEST_F(EvacuationPlaneTest, NothingChangesWhenOff)
{
    start(Duration::zero());
    readServers();
    EXPECT_TRUE(plane->isReady());
    put({EvacuationKind, "rioja"}, 100);
    EXPECT_EQ(usedDomains(), "navarra rioja ");
    EXPECT_EQ(evacuated, 0U);
    EXPECT_FALSE(plane->status().contains("evacuated"));
}

// Guards against requests to the domain after its evacuation has begun, and against servers that stay unused after it
// has ended.
TEST_F(EvacuationPlaneTest, ServersAreLeftOutUntilTheObjectIsDeleted)
{
    start(seconds(5));
    readServers();
    synced(EvacuationKind, 0);
    EXPECT_EQ(usedDomains(), "navarra rioja ");
    put({EvacuationKind, "navarra"}, 1'000);
    EXPECT_EQ(usedDomains(), "rioja ");
    EXPECT_EQ(evacuated, 1U);
    put({EvacuationKind, "rioja"}, 2'000);
    EXPECT_EQ(usedDomains(), "");
    EXPECT_TRUE(snapshot->find("orders")->isEvacuated());
    EXPECT_EQ(evacuated, 2U);
    remove({EvacuationKind, "navarra"}, 3'000);
    EXPECT_EQ(usedDomains(), "navarra ");
    remove({EvacuationKind, "rioja"}, 3'500);
    EXPECT_EQ(usedDomains(), "navarra rioja ");
    tick(4'000);
    EXPECT_EQ(plane->status()["evacuated"], nlohmann::json::array());
}

// The store falls silent during an evacuation. Guards against a daemon that uses the domain again by itself, and
// against one that forgets to do so when the store shows the end.
TEST_F(EvacuationPlaneTest, EvacuationStaysInForceWhileTheStoreIsSilent)
{
    start(seconds(5));
    readServers();
    synced(EvacuationKind, 0);
    put({EvacuationKind, "navarra"}, 1'000);
    isStoreUp = false;
    for (int ms = 1'050; ms < 30'000; ms += 50) {
        tick(ms);
        ASSERT_EQ(usedDomains(), "rioja ");
    }
    EXPECT_EQ(plane->status()["evacuated"], nlohmann::json::array({"navarra"}));
    isStoreUp = true;
    remove({EvacuationKind, "navarra"}, 30'000);
    EXPECT_EQ(usedDomains(), "navarra rioja ");
}

// The store falls silent before an evacuation that it has accepted reaches this daemon. Guards against a daemon that
// stops to route, and against one that does not act when the store answers again.
TEST_F(EvacuationPlaneTest, EvacuationThatTheSilentStoreHeldBackBeginsLate)
{
    start(seconds(5));
    readServers();
    synced(EvacuationKind, 0);
    isStoreUp = false;
    for (int ms = 50; ms < 10'000; ms += 50) {
        tick(ms);
    }
    EXPECT_EQ(usedDomains(), "navarra rioja ");
    EXPECT_TRUE(plane->isReady());
    isStoreUp = true;
    put({EvacuationKind, "rioja"}, 10'000);
    EXPECT_EQ(usedDomains(), "navarra ");
}

// The domain loses power while it is evacuated: the entries of its servers disappear. Guards against a set of domains
// that depends on their servers, so that a server that registers again gets requests.
TEST_F(EvacuationPlaneTest, ServerThatRegistersAgainInTheDomainGetsNoRequests)
{
    start(seconds(5));
    readServers();
    synced(EvacuationKind, 0);
    put({EvacuationKind, "rioja"}, 1'000);
    remove({ServerKind, "rioja"}, 2'000);
    EXPECT_EQ(usedDomains(), "navarra ");
    put({ServerKind, "rioja"}, 3'000);
    EXPECT_EQ(usedDomains(), "navarra ");
}

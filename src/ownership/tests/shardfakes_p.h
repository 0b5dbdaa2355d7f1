#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>

#include <galenarock/ownership.h>

/// Fakes at the interface of ShardController: a few daemons, servers and an object store in simulated time.
namespace Galenarock::ShardFakes
{

inline constexpr Duration hop = milliseconds(2);
inline constexpr Duration callTimeout = milliseconds(300);
inline constexpr std::size_t sampledKeys = 32;

struct FakePlatform
{
    bool down = false;
    /// The next writes take effect, but their responses are lost.
    int loseAnswers = 0;
    /// The next writes are reported as unknown and take effect after this delay.
    int delayEffects = 0;
    Duration effectDelay{};
    /// Reads return the version before the newest.
    bool staleReads = false;
    std::map<ObjectKey, std::vector<StoredObject>> objects;
    std::map<std::string, int> writes;

    const StoredObject *newest(const ObjectKey &key) const
    {
        const auto it = objects.find(key);
        return it == objects.end() ? nullptr : &it->second.back();
    }
    bool apply(const WriteObjectAction &write)
    {
        const auto *const current = newest(write.key);
        if ((current ? current->version : 0) != write.expectedVersion) {
            return false;
        }
        objects[write.key].push_back({write.key, write.expectedVersion + 1, write.writer, write.value});
        ++writes[write.key.kind];
        return true;
    }
};

struct FakeServer
{
    std::unique_ptr<GrantHolder> holder;
    /// Frozen: calls time out; requests are not judged until it runs again.
    bool frozen = false;
    bool dead = false;
    bool listed = true;
    VmState state = VmState::Live;
};

struct FakeDaemon
{
    std::unique_ptr<ShardController> controller;
    Identity identity;
    std::string failureDomain;
    bool dead = false;
    bool paused = false;
    bool leaving = false;
    std::deque<ControlEvent> heldBack;
    std::vector<DecisionAction> decisions;
    /// Pools that do not check grants: what this daemon routes by, and its requests in flight by key sample.
    Assignment routes;
    std::optional<Instant> permitEnd;
    std::map<std::size_t, std::string> running;
};

struct Cluster
{
    Instant now = Instant(seconds(100));
    FakePlatform platform;
    std::map<std::string, FakeServer> servers;
    std::map<std::string, FakeDaemon> daemons;
    std::multimap<Instant, std::function<void()>> queue;
    std::set<std::pair<std::string, std::string>> cutLinks;
    ServiceDocument document;
    std::uint64_t nextBoot = 100;
    std::uint64_t listRevision = 0;
    std::vector<std::string> violations;
    /// Longest time for which a sampled key was not served, since resetGaps().
    std::vector<Instant> servedAt = std::vector<Instant>(sampledKeys);
    Duration longestGap{};

    Cluster(int daemonCount, int serverCount, bool checksGrants = true);
    void startDaemon(const std::string &name);
    void startServer(const std::string &name);
    void sendLists();
    void run(Duration duration);
    void resetGaps();
    void cut(const std::string &a, const std::string &b);
    void carryOut(const std::string &daemon, ControlActions actions);
    void deliver(const std::string &daemon, const ControlEvent &event);
    FakeDaemon *coordinator();
    FakeDaemon *deputy();
    std::string ownerOf(KeyHash hash) const;
    static KeyHash sample(std::size_t n);
    std::size_t servedCount() const;

private:
    void at(Duration delay, std::function<void()> body);
    void judge();
    void judgeRoutes();
    std::string routeOf(const FakeDaemon &daemon, KeyHash hash) const;
    void read(const std::string &daemon, const ReadObjectAction &action);
    void write(const std::string &daemon, const WriteObjectAction &action);
    void call(const std::string &daemon, const CallServerAction &action);
    void send(const std::string &daemon, const SendPeerAction &action);
    bool isCut(const std::string &a, const std::string &b) const;
};

}

/// A drill: the store is away for a moment and comes back from a copy some seconds old, from before the first start of
/// the gateways. One gateway is killed meanwhile and starts again.
#include "case.h"

using namespace Review;

namespace
{
constexpr std::int64_t RecoveryMs = 15'000;
constexpr std::int64_t CalmMs = 6'000;
constexpr std::int64_t AwayMs = 1'000;
/// Time after the return of the store at which the killed gateway starts again.
constexpr std::int64_t StartsAfterMs = 50;
constexpr std::int64_t AfterRecoveryMs = 25'000;
/// One in this many requests is an order; the others are reads of the keyed service.
constexpr int OrderEvery = 6;
}

int main(int argc, char **argv)
{
    Case setup(argc, argv);
    Store store;
    std::vector<std::unique_ptr<Server>> servers;
    for (const std::string service : {"catalogue", "desk"}) {
        for (int n = 1; n <= 5; ++n) {
            Server::Settings settings;
            settings.id = "i-" + service + std::to_string(n);
            settings.service = service;
            settings.isSharded = service == "catalogue";
            servers.push_back(std::make_unique<Server>(settings, store));
            servers.back()->enroll("ready");
        }
    }
    const auto configuration = makeConfiguration(
        3, {{"a.example", "/goods/", "safe", "catalogue", 1'000}, {"a.example", "/orders/", "unsafe", "desk", 1'200}},
        {makeCluster("catalogue", true), makeCluster("desk", false)});
    store.put("config", "main", configuration);
    const auto copy = store.copy();
    const auto copiedAt = nowMs();
    setup.startGateways(store, {"front-rioja-1", "front-rioja-2", "front-rioja-3"});
    std::atomic<int> number{0};
    Load load(setup.gateways(), 60, [&](const Gateway &it) {
        const int n = ++number;
        if (n % OrderEvery == 0) {
            return callOnce(it, "POST", "a.example", "/orders/1", std::string(400, 'o'), 2'500);
        }
        const auto key = std::to_string((n * 977) % 65'536);
        return callOnce(it, "GET", "a.example", "/goods/" + key, "", 2'000, {{"Shard-Key", key}});
    });
    sleepMs(CalmMs);
    const auto faultAt = nowMs();
    const auto setTrouble = [&](StoreTrouble trouble) {
        for (std::size_t n = 0; n < setup.gateways().size(); ++n) {
            setup.door(n).trouble = trouble;
        }
    };
    if (setup.hasTrouble()) {
        record.line("the store goes away");
        setTrouble(StoreTrouble::Reset);
    }
    auto &killed = *setup.gateways().back();
    killed.signal(SIGKILL);
    killed.wait(1'000);
    sleepMs(AwayMs);
    if (setup.hasTrouble()) {
        store.restore(copy);
        setTrouble(StoreTrouble::None);
        record.line("the store is back from a copy that is " + std::to_string(nowMs() - copiedAt) + " ms old");
        // The operator and the servers write again what they wrote; it is the same as in the copy.
        store.put("config", "main", configuration);
        for (const auto &it : servers) {
            it->enroll("ready");
        }
    }
    sleepMs(StartsAfterMs);
    killed.start(setup.logs());
    const auto backAt = nowMs();
    // What the platform sees of the leaders: the record of the keyed service.
    std::string leader;
    int changes = 0;
    while (nowMs() < backAt + RecoveryMs + AfterRecoveryMs) {
        sleepMs(50);
        const auto object = store.get("galenarock-lease", "catalogue");
        const auto spec = object.is_object() ? object.value("spec", json::object()) : json::object();
        const auto value = spec.is_object() ? spec.value("value", json::object()) : json::object();
        const auto name = value.is_object() ? value.value("leader", json()).dump() : std::string();
        if (name != leader) {
            leader = name;
            ++changes;
            record.line("the record of the keyed service names the leader " + name);
        }
    }
    const auto outcomes = load.stop();

    // RECOVER: sent later than recoveryS after the machines are back.
    const auto share = [&](std::int64_t from, std::int64_t to, int &all) {
        int served = 0;
        all = 0;
        for (const auto &it : outcomes) {
            if (it.sentMs >= from && it.sentMs < to) {
                ++all;
                served += it.status == 200 ? 1 : 0;
            }
        }
        return all == 0 ? 0.0 : static_cast<double>(served) / all;
    };
    int before = 0;
    int after = 0;
    const auto shareBefore = share(0, faultAt, before);
    const auto shareAfter = share(backAt + RecoveryMs, backAt + RecoveryMs + AfterRecoveryMs, after);
    char text[300];
    std::snprintf(text, sizeof text,
                  "served %.3f of %d requests before the fault and %.3f of %d sent later than recoveryS after it; the "
                  "record of the keyed service changed its leader %d times after the fault",
                  shareBefore, before, shareAfter, after, changes);
    return setup.finish(shareBefore >= 0.25 && shareAfter < 0.25, text);
}

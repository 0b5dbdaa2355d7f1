/// The store is silent for a second and a half, shortly after a change of the configuration. Three and a half seconds
/// after its return the operator moves a route to another service.
#include "case.h"

using namespace Review;

namespace
{
constexpr std::int64_t ContactMs = 3'000;
constexpr std::int64_t ConfigApplyMs = 2'000;
/// Watches wait longer and longer in calm times, up to 20 s.
constexpr std::int64_t CalmMs = 36'000;
constexpr std::int64_t SilentMs = 1'500;

json configuration(int version, const std::string &service, int timeoutMs)
{
    return makeConfiguration(
        version, {{"a.example", "/orders/", "unsafe", service, timeoutMs}},
        {makeCluster("desk", false), makeCluster("counter", false), makeCluster("catalogue", true)});
}
}

int main(int argc, char **argv)
{
    Case setup(argc, argv);
    Store store;
    std::vector<std::unique_ptr<Server>> servers;
    for (const std::string service : {"desk", "counter", "catalogue"}) {
        for (int n = 1; n <= 3; ++n) {
            Server::Settings settings;
            settings.id = "i-" + service + std::to_string(n);
            settings.service = service;
            settings.isSharded = service == "catalogue"; // without requests; its leader calls the store
            servers.push_back(std::make_unique<Server>(settings, store));
            servers.back()->enroll("ready");
        }
    }
    store.put("config", "main", configuration(3, "desk", 1'200));
    setup.startGateways(store, {"front-rioja-1", "front-rioja-2", "front-rioja-3"});
    Load load(setup.gateways(), 30, [](const Gateway &it) {
        return callOnce(it, "POST", "a.example", "/orders/1", std::string(400, 'o'), 2'500);
    });
    sleepMs(CalmMs);
    record.line("the operator writes version 5 (time-out of a route)");
    store.put("config", "main", configuration(5, "desk", 1'300));
    sleepMs(60);
    if (setup.hasTrouble()) {
        record.line("the store falls silent");
        for (std::size_t n = 0; n < setup.gateways().size(); ++n) {
            setup.door(n).trouble = StoreTrouble::Silent;
        }
    }
    sleepMs(SilentMs);
    for (std::size_t n = 0; n < setup.gateways().size(); ++n) {
        setup.door(n).trouble = StoreTrouble::None;
    }
    record.line("the store answers");
    sleepMs(ContactMs + 500);
    store.put("config", "main", configuration(8, "counter", 1'300));
    const auto ackedAt = nowMs();
    record.line("the operator writes version 8 (route to the service 'counter'); acked by the store");
    sleepMs(25'000);
    const auto outcomes = load.stop();

    // CONFIG: sent later than configApplyMs after the ack, run by the old service.
    std::map<std::string, int> late;
    std::int64_t last = 0;
    for (const auto &server : servers) {
        for (const auto &it : server->runs()) {
            if (server->settings.service == "desk" && it.sentMs > ackedAt + ConfigApplyMs) {
                ++late[it.via];
                last = std::max(last, it.sentMs - ackedAt);
                record.line("CONFIG: " + it.id + ", sent " + std::to_string(it.sentMs - ackedAt)
                            + " ms after the ack of version 8 to " + it.via + ", was run by " + it.server
                            + " as version 5 says");
            }
        }
    }
    std::string text = std::to_string(outcomes.size()) + " orders in all";
    for (const auto &[gateway, n] : late) {
        text += "; " + std::to_string(n) + " run by the old service through " + gateway;
    }
    return setup.finish(!late.empty(), text + "; the last one sent " + std::to_string(last) + " ms after the ack");
}

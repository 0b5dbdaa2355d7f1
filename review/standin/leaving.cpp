/// A server leaves while the store turns one gateway away. The server says so in all its answers (`Server-Leaving`).
#include "case.h"

using namespace Review;

namespace
{
constexpr std::int64_t DrainMs = 2'000;
/// Time for which the store turns one of three gateways away.
constexpr std::int64_t TurnedAwayMs = 8'000;
constexpr std::int64_t ServesOnMs = 3'500;
}

int main(int argc, char **argv)
{
    Case setup(argc, argv);
    Store store;
    std::vector<std::unique_ptr<Server>> servers;
    for (int n = 1; n <= 3; ++n) {
        Server::Settings settings;
        settings.id = "i-desk" + std::to_string(n);
        settings.service = "desk";
        settings.slots = 8;
        settings.workMs = 300;
        servers.push_back(std::make_unique<Server>(settings, store));
        servers.back()->enroll("ready");
    }
    store.put("config", "main",
              makeConfiguration(3, {{"a.example", "/orders/", "unsafe", "desk"}}, {makeCluster("desk", false)}));
    setup.startGateways(store, {"front-rioja-1", "front-rioja-2", "front-rioja-3"});
    Load load(setup.gateways(), 60, [](const Gateway &it) {
        return callOnce(it, "POST", "a.example", "/orders/1", std::string(400, 'o'), 2'500);
    });
    sleepMs(5'000);
    if (setup.hasTrouble()) {
        record.line("the store turns front-rioja-1 away (503)");
        setup.door(0).trouble = StoreTrouble::Busy;
    }
    sleepMs(500);
    auto &leaving = *servers.front();
    leaving.enroll("draining");
    leaving.isLeaving = true;
    sleepMs(ServesOnMs);
    leaving.exit();
    store.remove("servers", leaving.settings.id);
    sleepMs(TurnedAwayMs - 500 - ServesOnMs);
    setup.door(0).trouble = StoreTrouble::None;
    sleepMs(2'000);
    const auto outcomes = load.stop();

    // DRAIN (news): sent later than drainMs after the machine had passed on an answer with Server-Leaving.
    std::map<std::string, std::int64_t> firstPassedOn;
    int broken = 0;
    int lost = 0;
    for (const auto &it : outcomes) {
        if (!it.answer.header("Server-Leaving").empty()) {
            const auto [found, isNew] = firstPassedOn.try_emplace(it.via, it.endedMs);
            found->second = std::min(found->second, it.endedMs);
        }
    }
    for (const auto &it : leaving.runs()) {
        const auto found = firstPassedOn.find(it.via);
        if (found != firstPassedOn.end() && it.sentMs > found->second + DrainMs) {
            ++broken;
            const auto outcome =
                std::find_if(outcomes.begin(), outcomes.end(), [&](const Outcome &o) { return o.id == it.id; });
            const int status = outcome == outcomes.end() ? 0 : outcome->status;
            lost += status == 200 ? 0 : 1;
            record.line("DRAIN: " + it.id + ", sent " + std::to_string(it.sentMs - found->second) + " ms after "
                        + it.via + " had passed on Server-Leaving, reached " + it.server + "; its caller got "
                        + std::to_string(status));
        }
    }
    const auto passedOn = firstPassedOn.size();
    return setup.finish(broken > 0,
                        std::to_string(broken) + " orders reached the server too late, " + std::to_string(lost)
                            + " of them were lost; " + std::to_string(passedOn)
                            + " gateways had passed on Server-Leaving; " + std::to_string(outcomes.size())
                            + " orders in all");
}

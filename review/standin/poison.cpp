/// A request that crashes each server that begins to run it comes again and again, at any gateway.
///
/// `dark`: the machines of the crashed servers fall silent, so that no connection ends. `quota`: connections are reset;
/// five servers have crashed one after the other before, each with some orders under way.
#include "case.h"

using namespace Review;

namespace
{
constexpr std::int64_t ContactMs = 3'000;
constexpr std::int64_t DownMs = 3'300;
constexpr std::int64_t EntryLapsesMs = 2'610; ///< Three ping intervals of 870 ms.
constexpr std::int64_t PoisonEveryMs = 1'000;
constexpr std::int64_t CrashEveryMs = 4'000;
constexpr int Servers = 6;
constexpr int EarlierCrashes = 5;
constexpr int PoisonRequests = 30;

/// The servers of the service; a crashed one is back under a new name.
class Pool
{
public:
    Pool(Store &store, bool isDark)
        : m_store(store)
        , m_isDark(isDark)
    {
        for (int n = 0; n < Servers; ++n) {
            start();
        }
    }
    void crash(Server &server)
    {
        std::thread([this, &server] {
            if (m_isDark) {
                server.goDark();
            } else {
                server.exit(true);
            }
            sleepMs(EntryLapsesMs);
            m_store.remove("servers", server.settings.id);
            sleepMs(DownMs - EntryLapsesMs);
            if (m_isDark) {
                server.exit(true);
            }
            ++m_toStart;
        }).detach();
    }
    void startDue()
    {
        while (m_toStart > 0) {
            --m_toStart;
            start();
        }
    }
    Server &at(std::size_t n)
    {
        const std::lock_guard lock(m_mutex);
        return *m_servers.at(n);
    }
    std::vector<std::int64_t> crashes()
    {
        const std::lock_guard lock(m_mutex);
        return m_crashes;
    }

private:
    void start()
    {
        const std::lock_guard lock(m_mutex);
        Server::Settings settings;
        settings.id = "i-desk" + std::to_string(m_servers.size() + 1);
        settings.service = "desk";
        auto server = std::make_unique<Server>(settings, m_store);
        auto *raw = server.get();
        raw->onRequest = [this, raw](Socket &, const Message &request, bool &isDone) {
            if (request.target() != "/orders/poison" || request.header("Target-Instance") != raw->settings.id) {
                return true;
            }
            isDone = true;
            {
                const std::lock_guard guard(m_mutex);
                m_crashes.push_back(nowMs());
                record.line("the poison reaches " + raw->settings.id + " through " + request.header("X-Via")
                            + ", crash " + std::to_string(m_crashes.size()));
            }
            crash(*raw);
            sleepMs(m_isDark ? 30 : 200);
            return false;
        };
        raw->enroll("ready");
        m_servers.push_back(std::move(server));
    }

    Store &m_store;
    const bool m_isDark;
    std::atomic<int> m_toStart{0};
    std::mutex m_mutex;
    std::vector<std::unique_ptr<Server>> m_servers;
    std::vector<std::int64_t> m_crashes;
};
}

int main(int argc, char **argv)
{
    Case setup(argc, argv);
    const bool isDark = argc > 3 && std::string(argv[3]) == "dark";
    Store store;
    Pool pool(store, isDark);
    store.put("config", "main",
              makeConfiguration(3, {{"a.example", "/orders/", "unsafe", "desk"}}, {makeCluster("desk", false)}));
    setup.startGateways(store, {"front-rioja-1", "front-rioja-2", "front-rioja-3"});
    std::atomic<int> orders{0};
    Load load(setup.gateways(), isDark ? 60 : 140, [&](const Gateway &it) {
        const auto body = "order " + std::to_string(++orders) + std::string(400, 'o');
        return callOnce(it, "POST", "a.example", "/orders/1", body, 2'500);
    });
    sleepMs(4'000);
    if (!isDark && setup.hasTrouble()) {
        for (std::size_t n = 0; n < EarlierCrashes; ++n) {
            pool.crash(pool.at(n));
            sleepMs(CrashEveryMs);
            pool.startDue();
        }
    }
    // In the dark case the poison is the disruption; in the other one it comes also without the earlier crashes.
    for (std::size_t n = 0; n < PoisonRequests; ++n) {
        if (!isDark || setup.hasTrouble()) {
            const auto *gateway = setup.gateways()[n % setup.gateways().size()].get();
            std::thread([gateway] {
                callOnce(*gateway, "POST", "a.example", "/orders/poison", "poison", 2'500);
            }).detach();
        }
        sleepMs(PoisonEveryMs);
        pool.startDue();
    }
    const auto outcomes = load.stop();
    const auto count = [&](const std::function<bool(int)> &matches) {
        return std::to_string(
            std::count_if(outcomes.begin(), outcomes.end(), [&](const Outcome &it) { return matches(it.status); }));
    };
    const auto crashes = pool.crashes();
    const auto late = crashes.size() < 3
        ? 0
        : std::count_if(crashes.begin(), crashes.end(), [&](std::int64_t it) { return it > crashes[2] + ContactMs; });
    return setup.finish(late > 3,
                        std::to_string(late) + " retries reached servers later than contactMs after the third crash ("
                            + std::to_string(crashes.size()) + " crashes); of " + std::to_string(outcomes.size())
                            + " other orders " + count([](int it) { return it == 0 || it == 502 || it == 504; })
                            + " were lost or unknown, " + count([](int it) { return it == 503; }) + " refused");
}

#pragma once

#include "servers.h"

namespace Review
{

/// One run of a case: gateways, folders, and the result.
class Case
{
public:
    /// Arguments: the folder of the case, and a temporary folder for the logs.
    Case(int argc, char **argv)
    {
        if (argc < 3) {
            std::fprintf(stderr, "usage: %s CASE-FOLDER TEMPORARY-FOLDER\n", argv[0]);
            std::exit(2);
        }
        ::signal(SIGPIPE, SIG_IGN);
        m_logs = argv[2];
        record.open(std::string(argv[1]) + "/record.txt");
        const auto *trouble = std::getenv("TROUBLE");
        m_hasTrouble = trouble == nullptr || std::string(trouble) != "0";
        record.line(m_hasTrouble ? "with the disruption" : "without the disruption (TROUBLE=0)");
    }
    bool hasTrouble() const
    {
        return m_hasTrouble;
    }
    void startGateways(Store &store, const std::vector<std::string> &names)
    {
        for (const auto &it : names) {
            m_doors.push_back(&store.addDoor());
            m_gateways.push_back(std::make_unique<Gateway>(it, "rioja", "127.0.0.1", m_doors.back()->listener->port));
            m_gateways.back()->start(m_logs);
        }
        for (const auto &it : m_gateways) {
            if (!it->waitReady(15'000)) {
                fail(it->name + " is not ready after 15 s");
            }
        }
    }
    std::vector<std::unique_ptr<Gateway>> &gateways()
    {
        return m_gateways;
    }
    Store::Door &door(std::size_t n)
    {
        return *m_doors.at(n);
    }
    const std::string &logs() const
    {
        return m_logs;
    }
    void endAll()
    {
        for (const auto &it : m_gateways) {
            it->end();
        }
    }
    [[noreturn]] void fail(const std::string &why)
    {
        record.line("the case could not run: " + why);
        std::printf("could not run: %s\n", why.c_str());
        std::fflush(stdout);
        endAll();
        std::_Exit(2);
    }
    /// Ends the gateways and the process, with detached threads still about.
    [[noreturn]] int finish(bool isBroken, const std::string &summary)
    {
        endAll();
        record.line(std::string(isBroken ? "BROKEN: " : "held: ") + summary);
        std::printf("%s: %s\n", isBroken ? "BROKEN" : "held", summary.c_str());
        std::fflush(stdout);
        std::_Exit(isBroken ? 1 : 0);
    }

private:
    std::string m_logs;
    bool m_hasTrouble = true;
    std::vector<Store::Door *> m_doors;
    std::vector<std::unique_ptr<Gateway>> m_gateways;
};

/// Callers that send `perSecond` requests in turn to the gateways, each one in a thread of its own.
class Load
{
public:
    using Call = std::function<Outcome(const Gateway &)>;

    Load(std::vector<std::unique_ptr<Gateway>> &gateways, int perSecond, Call call)
        : m_gateways(gateways)
        , m_pauseMs(1'000 / perSecond)
        , m_call(std::move(call))
    {
        m_thread = std::thread([this] { run(); });
    }
    /// Ends the load, waits for the last answers and returns all.
    std::vector<Outcome> stop()
    {
        m_isStopping = true;
        m_thread.join();
        for (const auto until = inMs(5'000); m_open > 0 && Clock::now() < until; sleepMs(20)) {}
        const std::lock_guard lock(m_mutex);
        return m_outcomes;
    }

private:
    void run()
    {
        for (std::size_t n = 0; !m_isStopping && n < 20'000; ++n, sleepMs(m_pauseMs)) {
            const auto *gateway = m_gateways[n % m_gateways.size()].get();
            ++m_open;
            std::thread([this, gateway] {
                auto outcome = m_call(*gateway);
                const std::lock_guard lock(m_mutex);
                m_outcomes.push_back(std::move(outcome));
                --m_open;
            }).detach();
        }
    }

    std::vector<std::unique_ptr<Gateway>> &m_gateways;
    const int m_pauseMs;
    const Call m_call;
    std::atomic<bool> m_isStopping{false};
    std::atomic<int> m_open{0};
    std::mutex m_mutex;
    std::vector<Outcome> m_outcomes;
    std::thread m_thread;
};

}

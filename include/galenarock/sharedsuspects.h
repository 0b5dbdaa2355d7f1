#pragma once

#include <atomic>
#include <functional>
#include <mutex>
#include <optional>
#include <string>

#include <galenarock/suspects.h>

namespace Galenarock
{

/// Crash suspects of the daemon, shared by its workers and the control thread. Thread-safe.
class SharedSuspects
{
    template<typename Body> auto locked(Body &&body)
    {
        const std::lock_guard lock(m_mutex);
        auto result = body(m_suspects);
        m_size.store(m_suspects.size(), std::memory_order_relaxed);
        m_silences.store(m_suspects.unconfirmedSilences(), std::memory_order_relaxed);
        return result;
    }

public:
    /// Called with every report to be sent to the other daemons. Set before the threads start.
    using ReportHook = std::function<void(const SuspectReport &)>;
    void setReportHook(ReportHook hook)
    {
        m_onReport = std::move(hook);
    }

    void connectionLost(Instant now, const LostRequest &lost)
    {
        send(locked([&](CrashSuspects &it) { return it.connectionLost(now, lost); }));
    }
    void unanswered(Instant now, const LostRequest &lost)
    {
        send(locked([&](CrashSuspects &it) { return it.unanswered(now, lost); }));
    }
    void answered(const std::string &server, std::uint64_t boot)
    {
        if (m_silences.load(std::memory_order_relaxed) == 0) {
            return; // most answers take no lock
        }
        locked([&](CrashSuspects &it) {
            it.answered(server, boot);
            return 0;
        });
    }
    void stoppedAsPlanned(Instant now, const std::string &server, std::uint64_t boot)
    {
        locked([&](CrashSuspects &it) {
            it.stoppedAsPlanned(now, server, boot);
            return 0;
        });
    }
    void bootSeen(Instant now, const std::string &server, std::uint64_t boot)
    {
        send(locked([&](CrashSuspects &it) { return it.bootSeen(now, server, boot); }));
    }
    void succeeded(Instant now, Fingerprint fingerprint)
    {
        if (m_size.load(std::memory_order_relaxed) == 0) {
            return; // there are rarely any suspects, so most requests take no lock
        }
        send(locked([&](CrashSuspects &it) { return it.succeeded(now, fingerprint); }));
    }
    void reportReceived(Instant now, const SuspectReport &report)
    {
        locked([&](CrashSuspects &it) {
            it.reportReceived(now, report);
            return 0;
        });
    }
    std::optional<Refusal> refusalFor(Instant now, Fingerprint fingerprint)
    {
        if (m_size.load(std::memory_order_relaxed) == 0) {
            return {};
        }
        return locked([&](CrashSuspects &it) { return it.refusalFor(now, fingerprint); });
    }
    void expire(Instant now)
    {
        locked([&](CrashSuspects &it) {
            it.expire(now);
            return 0;
        });
    }
    std::size_t size() const
    {
        return m_size.load(std::memory_order_relaxed);
    }

private:
    void send(const std::vector<SuspectReport> &reports)
    {
        for (const auto &it : reports) {
            m_onReport(it);
        }
    }

    ReportHook m_onReport = [](const SuspectReport &) {
    };
    std::mutex m_mutex;
    std::atomic<std::size_t> m_size{0};
    std::atomic<std::size_t> m_silences{0};
    CrashSuspects m_suspects;
};

}

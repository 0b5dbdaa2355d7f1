#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <galenarock/metrics.h>

#include "entryset_p.h"
#include "requestrecord_p.h"
#include "transfers_p.h"
#include "workload_p.h"

namespace Galenarock::Standin
{

struct LoadOptions
{
    WorkloadOptions workload;
    /// `ip:port` of the entries; the next one is tried when a connection is refused.
    std::vector<std::string> entries;
    /// Admin addresses of the entries, in their order; empty for no readiness checks.
    std::vector<std::string> readiness;
    /// Requests under way at the same time. Further ones wait, and their latency counts from the intended start.
    std::uint32_t connections = 64;
    std::uint64_t orderBytes = 200;
    std::uint64_t uploadBytes = 262'144;
    std::size_t chunkBytes = 16'384;
    /// Attempts after an unknown outcome of an order, with the same id.
    std::uint32_t resends = 0;
    milliseconds resendDelay{200};
    milliseconds timeout = seconds(15);
    /// Marks the targets of this run.
    std::string run;
};

/// Sends the schedule of a Workload and records what became of each request.
class LoadRun
{
public:
    /// `onFinished` is called once, when every request has its outcome.
    LoadRun(EventLoop &loop, LoadOptions options, std::function<void()> onFinished);

    void start();
    /// Sends nothing new; requests under way still get their outcome.
    void stopSending();
    /// One line on the state.
    std::string progressLine();

    const std::vector<RequestRecord> &records() const
    {
        return m_records;
    }
    /// Latency of answered requests of service `i` of the mix, from the intended start.
    const LatencyHistogram &latency(std::size_t i) const
    {
        return *m_latencies[i];
    }
    const LoadOptions &options() const
    {
        return m_options;
    }
    Duration elapsed() const
    {
        return MonotonicClock::now() - m_startedAt;
    }

private:
    /// State of one request under way.
    struct Flight
    {
        std::uint64_t record = 0;
        std::string requestId;
        /// Entries that refused the connection in this attempt.
        std::uint32_t refusals = 0;
    };

    void scheduleNext();
    void arrive();
    void launchWaiting();
    void launch(Flight flight);
    TransferRequest makeRequest(const Flight &flight, const std::string &entry);
    void onDone(Flight flight, std::size_t entry, const TransferResult &result);
    void note(RequestRecord &record, AttemptVerdict verdict, const std::string &reason);
    bool resends(const RequestRecord &record) const;
    void complete(const RequestRecord &record);
    void checkFinished();
    const ServiceProfile &profile(const RequestRecord &record) const
    {
        return m_options.workload.mix[record.service].profile;
    }
    std::uint64_t bodyBytes(const ServiceProfile &profile) const;

    EventLoop &m_loop;
    LoadOptions m_options;
    std::function<void()> m_onFinished;
    Workload m_workload;
    Transfers m_transfers;
    EntrySet m_entries;
    std::mt19937_64 m_idRandom;
    std::optional<PlannedRequest> m_next;
    Instant m_startedAt;
    std::vector<RequestRecord> m_records;
    std::vector<std::unique_ptr<LatencyHistogram>> m_latencies;
    std::unique_ptr<LatencyHistogram> m_window;
    std::deque<Flight> m_waiting;
    std::uint32_t m_underWay = 0;
    std::uint32_t m_resending = 0;
    std::uint64_t m_answered = 0;
    std::uint64_t m_notRun = 0;
    std::uint64_t m_unknown = 0;
    bool m_finished = false;
};

}

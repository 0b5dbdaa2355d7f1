#include <galenarock/replay.h>

#include <algorithm>
#include <limits>
#include <map>

#include <fmt/format.h>

namespace Galenarock
{

namespace
{
/// A caller's request with the outcomes recorded for it.
struct TracedRequest
{
    std::string trace;
    /// The trace is incomplete, for example after a crash of the daemon, so the outcome may be missing.
    bool isTraceCut = false;
    AcceptedRecord accepted;
    std::vector<OutcomeRecord> outcomes;

    bool isNotRun() const
    {
        return outcomes.size() == 1 && outcomes.front().outcome == Outcome::NotRun;
    }
};

struct LeavingInterval
{
    Instant from = Instant::max();
    /// When a later VM list shows the name as live again, because a new VM has it.
    Instant until = Instant::max();
};

using RunsByName = std::map<std::string, std::vector<JournalRecord>>;

class Checker
{
public:
    explicit Checker(const CheckOptions &options)
        : m_options(options)
    {
    }

    CheckReport run(const std::vector<Trace> &traces)
    {
        for (const auto &it : traces) {
            readTrace(it);
        }
        checkOutcomes();
        checkRuns();
        checkTokens();
        checkHolds();
        checkLeaving();
        auto &violations = m_report.violations;
        std::sort(violations.begin(), violations.end(), [](const Violation &a, const Violation &b) {
            return std::tie(a.rule, a.text) < std::tie(b.rule, b.text);
        });
        return std::move(m_report);
    }

private:
    void report(std::string_view rule, std::string text)
    {
        m_report.violations.push_back({rule, std::move(text)});
    }

    void readTrace(const Trace &trace)
    {
        m_clockOffset = Duration(0);
        if (m_options.usesWallClock) {
            m_clockOffset = milliseconds(trace.header.startedWallMs) - trace.header.startedAt.time_since_epoch();
        }
        m_traceName = trace.name;
        m_isTraceCut = !trace.findings.empty();
        m_highestVersions.clear();
        m_indexByNumber.clear();
        for (const auto &it : trace.records) {
            std::visit([this](const auto &record) { read(record); }, it);
        }
    }

    void read(const TraceHeader &)
    {
    }
    void read(const ActionRecord &)
    {
    }
    void read(const TraceEnd &)
    {
    }

    void read(const EventRecord &record)
    {
        const auto *const event = std::get_if<VmListEvent>(&record.event);
        if (event == nullptr) {
            return;
        }
        for (const auto &it : event->list.vms) {
            if (it.role != VmRole::Backend) {
                continue;
            }
            if (it.state == VmState::Leaving) {
                markLeaving(it.name, record.at + m_clockOffset);
                continue;
            }
            const auto leaving = m_leaving.find(it.name);
            if (leaving != m_leaving.end() && record.at + m_clockOffset > leaving->second.from) {
                leaving->second.until = std::min(leaving->second.until, record.at + m_clockOffset);
            }
        }
    }

    void read(const LeavingRecord &record)
    {
        markLeaving(record.server, record.at + m_clockOffset);
    }

    void markLeaving(const std::string &server, Instant at)
    {
        auto &leaving = m_leaving[server];
        leaving.from = std::min(leaving.from, at);
    }

    void read(const AcceptedRecord &record)
    {
        ++m_report.requests;
        if (m_indexByNumber.count(record.number) != 0) {
            report("one-outcome", fmt::format("{}: request number {} was accepted twice", m_traceName, record.number));
            return;
        }
        m_indexByNumber[record.number] = m_tracedRequests.size();
        m_tracedRequests.push_back({m_traceName, m_isTraceCut, record, {}});
        m_tracedRequests.back().accepted.at += m_clockOffset;
    }

    void read(const OutcomeRecord &record)
    {
        const auto it = m_indexByNumber.find(record.number);
        if (it == m_indexByNumber.end()) {
            report("one-outcome", fmt::format("{}: outcome for unknown request number {}", m_traceName, record.number));
            return;
        }
        m_tracedRequests[it->second].outcomes.push_back(record);
    }

    void read(const JournalRecord &record)
    {
        ++m_report.runs;
        auto adjusted = record;
        adjusted.startedAt += m_clockOffset;
        adjusted.endedAt += m_clockOffset;
        // Repeatable requests may have no id; their runs cannot be matched with a caller's request.
        if (!record.requestId.empty()) {
            m_runsById[record.requestId].push_back(adjusted);
        }
        if (record.token != Token()) {
            m_runsByKey[record.service + "/" + record.key].push_back(adjusted);
        }
        m_runsByServer[record.server.name].push_back(std::move(adjusted));
    }

    void read(const HoldRecord &record)
    {
        ++m_report.holds;
        m_holds.push_back(record);
        m_holds.back().from += m_clockOffset;
        m_holds.back().until += m_clockOffset;
    }

    void read(const ConfigurationRecord &record)
    {
        ++m_report.versions;
        auto &version = m_highestVersions[record.service];
        if (record.version < version) {
            report("version-fell",
                   fmt::format("{}: document {} fell from version {} to {}", m_traceName, record.service, version,
                               record.version));
        }
        version = std::max(version, record.version);
    }

    void checkOutcomes()
    {
        for (const auto &it : m_tracedRequests) {
            const bool isLostWithDaemon = it.isTraceCut && it.outcomes.empty();
            if (it.outcomes.size() != 1 && !isLostWithDaemon) {
                report("one-outcome",
                       fmt::format("{}: request {} (number {}) has {} outcomes", it.trace, it.accepted.requestId,
                                   it.accepted.number, it.outcomes.size()));
            }
            m_tracedRequestsById[it.accepted.requestId].push_back(&it);
        }
    }

    /// A caller may repeat a request id after the outcome "not run", so a run is valid if any request with its id was
    /// accepted before the run and has another outcome.
    bool hasMatchingRequest(const JournalRecord &run, const std::vector<const TracedRequest *> &tracedRequests) const
    {
        return std::any_of(tracedRequests.begin(), tracedRequests.end(), [&](const TracedRequest *it) {
            return !it->isNotRun() && it->accepted.at <= run.startedAt + m_options.clockAllowance;
        });
    }

    void checkRuns()
    {
        for (const auto &[id, runs] : m_runsById) {
            const auto tracedRequests = m_tracedRequestsById.find(id);
            if (tracedRequests == m_tracedRequestsById.end()) {
                continue;
            }
            for (const auto &it : runs) {
                if (!hasMatchingRequest(it, tracedRequests->second)) {
                    report("not-run-ran",
                           fmt::format("request {} was reported as not run, but ran on {}", id, toString(it.server)));
                }
            }
            const auto isNonRepeatable = [](const TracedRequest *it) {
                return !it->accepted.isRepeatable;
            };
            if (runs.size() > 1
                && std::any_of(tracedRequests->second.begin(), tracedRequests->second.end(), isNonRepeatable)) {
                report("ran-twice",
                       fmt::format("non-repeatable request {} ran {} times, on {} and {}", id, runs.size(),
                                   toString(runs[0].server), toString(runs[1].server)));
            }
        }
    }

    /// Tokens of a key only increase, and each belongs to one server. A run with an older token than an earlier run on
    /// another server means that two servers acted as the owner at the same time.
    void checkTokens()
    {
        for (auto &[key, runs] : m_runsByKey) {
            std::sort(runs.begin(), runs.end(), [](const JournalRecord &a, const JournalRecord &b) {
                return std::tie(a.startedAt, a.token) < std::tie(b.startedAt, b.token);
            });
            const JournalRecord *newest = nullptr;
            for (const auto &it : runs) {
                if (newest != nullptr) {
                    checkTokenOrder(key, *newest, it);
                }
                newest = newest == nullptr || newest->token < it.token ? &it : newest;
            }
        }
    }

    void checkTokenOrder(const std::string &key, const JournalRecord &newest, const JournalRecord &run)
    {
        const bool isOlder = run.token < newest.token && newest.startedAt + m_options.clockAllowance <= run.startedAt;
        if ((run.token == newest.token || isOlder) && run.server != newest.server) {
            report("owner-overlap",
                   fmt::format("key {}: request {} started on {} under token {} after {} had token {}", key,
                               run.requestId, toString(run.server), toString(run.token), toString(newest.server),
                               toString(newest.token)));
        }
    }

    void checkHolds()
    {
        std::sort(m_holds.begin(), m_holds.end(), [](const HoldRecord &a, const HoldRecord &b) {
            return std::tie(a.service, a.from, a.range) < std::tie(b.service, b.from, b.range);
        });
        std::vector<const HoldRecord *> active;
        for (const auto &it : m_holds) {
            const auto hasEnded = [&](const HoldRecord *old) {
                return old->service != it.service || old->until - m_options.clockAllowance <= it.from;
            };
            active.erase(std::remove_if(active.begin(), active.end(), hasEnded), active.end());
            for (const auto *old : active) {
                if (old->server == it.server || !old->range.overlaps(it.range)) {
                    continue;
                }
                report("owner-overlap",
                       fmt::format("service {}: {} ({}) and {} ({}) both held position {}", it.service,
                                   toString(old->server), toString(old->token), toString(it.server), toString(it.token),
                                   toHex(std::max(old->range.first, it.range.first))));
            }
            active.push_back(&it);
        }
    }

    void checkLeaving()
    {
        m_report.leavings = m_leaving.size();
        for (const auto &[server, leaving] : m_leaving) {
            const auto allowedUntil = leaving.from + m_options.leavingAllowance + m_options.clockAllowance;
            for (const auto &it : m_runsByServer[server]) {
                if (it.startedAt <= allowedUntil || it.startedAt >= leaving.until) {
                    continue;
                }
                const auto elapsedMs = std::chrono::duration_cast<milliseconds>(it.startedAt - leaving.from).count();
                report("work-after-leaving",
                       fmt::format("request {} started on {} {} ms after it was leaving", it.requestId,
                                   toString(it.server), elapsedMs));
            }
        }
    }

    const CheckOptions m_options;
    CheckReport m_report;
    std::string m_traceName;
    bool m_isTraceCut = false;
    Duration m_clockOffset{0};
    std::map<std::uint64_t, std::size_t> m_indexByNumber;
    std::map<std::string, std::uint64_t> m_highestVersions;
    std::vector<TracedRequest> m_tracedRequests;
    std::map<std::string, std::vector<const TracedRequest *>> m_tracedRequestsById;
    RunsByName m_runsById;
    RunsByName m_runsByKey;
    RunsByName m_runsByServer;
    std::vector<HoldRecord> m_holds;
    std::map<std::string, LeavingInterval> m_leaving;
};
}

CheckReport checkTraces(const std::vector<Trace> &traces, const CheckOptions &options)
{
    return Checker(options).run(traces);
}

}

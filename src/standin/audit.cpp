#include "audit_p.h"

#include <algorithm>

#include <fmt/format.h>

#include <galenarock/assignment.h>

#include "measures_p.h"

namespace Galenarock::Standin
{

namespace
{
constexpr std::size_t maxExamples = 20;

/// Runs of each request number.
using RunCounts = std::map<std::uint64_t, std::uint64_t>;

class Auditor
{
public:
    explicit Auditor(const AuditInput &input)
        : m_input(input)
    {
    }

    AuditReport run()
    {
        m_report.journalsComplete = m_input.journalsComplete;
        countRuns();
        for (const auto &it : m_input.records) {
            countOutcome(it);
            checkRecord(it);
        }
        checkOwners();
        m_report.measures = measure(m_input);
        return std::move(m_report);
    }

private:
    void countRuns()
    {
        m_report.journalEntries = m_input.journal.size();
        for (const auto &it : m_input.journal) {
            const auto number = numberOfTarget(it.target, m_input.run);
            if (!number) {
                ++m_report.foreignEntries;
                continue;
            }
            if (hasRun(it.state)) {
                ++m_runs[*number];
            }
        }
    }

    const ServiceProfile &profile(const RequestRecord &record) const
    {
        return m_input.mix[record.service].profile;
    }

    void countOutcome(const RequestRecord &record)
    {
        auto &counts = m_report.counts[profile(record).name];
        ++counts.requests;
        counts.resent += record.attempts > 1 ? record.attempts - 1 : 0;
        switch (record.outcome()) {
        case Outcome::Answered:
            ++counts.answered;
            return;
        case Outcome::NotRun:
            ++counts.notRun;
            break;
        case Outcome::Unknown:
            ++counts.unknown;
            break;
        }
        ++counts.reasons[record.reason.empty() ? "none" : record.reason];
    }

    void checkRecord(const RequestRecord &record)
    {
        const auto it = m_runs.find(record.number);
        const auto runs = it == m_runs.end() ? 0 : it->second;
        const auto outcome = record.outcome();
        if (record.wasMixedUp) {
            found(m_report.mixedUp, "mixed up", record);
        }
        if (record.wasCut) {
            found(m_report.cut, "cut", record);
        }
        if (!profile(record).isRepeatable && runs > 1) {
            found(m_report.doubled, fmt::format("ran {} times", runs), record);
        }
        if (outcome == Outcome::NotRun && runs > 0) {
            found(m_report.falseNotRun, "told not-run but ran", record);
        }
        if (outcome == Outcome::Answered && runs == 0 && m_input.journalsComplete) {
            found(m_report.answeredWithoutRun, "answered but in no journal", record);
        }
    }

    void found(std::uint64_t &count, const std::string &what, const RequestRecord &record)
    {
        ++count;
        if (m_report.examples.size() < maxExamples) {
            m_report.examples.push_back(fmt::format("{} {} number {} (reason {}, {} attempts)", what,
                                                    profile(record).name, record.number,
                                                    record.reason.empty() ? "none" : record.reason, record.attempts));
        }
    }

    void checkOwners()
    {
        std::map<std::string, std::vector<const JournalEntry *>> byKey;
        for (const auto &it : m_input.journal) {
            if (!it.key.empty() && parseToken(it.token)) {
                byKey[it.service + "/" + it.key].push_back(&it);
            }
        }
        for (auto &[key, entries] : byKey) {
            std::sort(entries.begin(), entries.end(), [](const auto *a, const auto *b) { return a->start < b->start; });
            checkTokenOrder(key, entries);
        }
    }

    void checkTokenOrder(const std::string &key, const std::vector<const JournalEntry *> &entries)
    {
        const JournalEntry *newest = nullptr;
        std::uint64_t newestSequence = 0;
        for (const auto *it : entries) {
            const auto sequence = parseToken(it->token)->sequence;
            if (newest == nullptr || sequence >= newestSequence) {
                newest = it;
                newestSequence = sequence;
                continue;
            }
            if (it->server == newest->server) {
                continue;
            }
            ++m_report.staleOwnerRuns;
            if (m_report.examples.size() < maxExamples) {
                m_report.examples.push_back(fmt::format("key {} ran on {} under {} after it ran on {} under {}", key,
                                                        it->server, it->token, newest->server, newest->token));
            }
        }
    }

    const AuditInput &m_input;
    AuditReport m_report;
    RunCounts m_runs;
};
}

AuditReport audit(const AuditInput &input)
{
    return Auditor(input).run();
}

}

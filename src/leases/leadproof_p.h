#pragma once

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include <galenarock/leases.h>

namespace Galenarock
{

/// Evidence of a leader that no other daemon makes grants as its successor.
///
/// It comes from the store, or from the load reports of other daemons. A response of the store is valid for
/// StoreLifetime after its call was sent, since a successor makes no grant for that time after it has taken the lead. A
/// report is valid for ReportLifetime after its arrival: its sender makes no grant for that time, but any other daemon
/// may take the lead by the record, so the reports are evidence only when they come from every other daemon that may
/// run.
///
/// Reports count after they have come for two announcement intervals, within which a new leader would have been heard:
/// those that waited in a connection during a partition arrive at its end. They count only while servers accept the
/// renewals of this leader.
class LeadProof
{
public:
    /// Time after the sending of a call to the store for which its response is valid.
    static constexpr Duration StoreLifetime = milliseconds(300);
    /// Time after the arrival of a report for which it is valid; reports come each 250 ms.
    static constexpr Duration ReportLifetime = milliseconds(500);

    explicit LeadProof(const LeaseSettings &settings)
        : m_settleTime(2 * settings.announceEvery)
        , m_acceptedLifetime(settings.renewEvery + settings.sendWithin)
    {
    }

    /// The store has confirmed the lead in its response to a call that was sent at this time.
    void confirmed(Instant sentAt)
    {
        m_confirmedAt = std::max(m_confirmedAt, sentAt);
    }
    /// A server has accepted a grant of this leader.
    void accepted(Instant now)
    {
        m_acceptedAt = now;
    }
    /// Another daemon has reported to this leader.
    void reported(const std::string &daemon, Instant now)
    {
        if (now >= m_acceptedAt + m_acceptedLifetime) {
            return;
        }
        auto &it = m_reports[daemon];
        it.since = now < it.lastAt + ReportLifetime ? it.since : now;
        it.lastAt = now;
    }
    /// Sets the other daemons that may run.
    void setOthers(std::vector<std::string> others)
    {
        m_others = std::move(others);
    }
    /// Until when the evidence is valid; in the past if there is none.
    Instant validUntil() const
    {
        return std::max(storeValidUntil(), reportsValidUntil());
    }
    /// Until when the last response of the store is valid.
    Instant storeValidUntil() const
    {
        return m_confirmedAt + StoreLifetime;
    }
    /// Call when the lead is taken: earlier evidence concerns another epoch.
    void reset()
    {
        m_confirmedAt = {};
        m_reports.clear();
        m_acceptedAt = {};
    }

private:
    struct Reports
    {
        Instant since{};
        Instant lastAt{};
    };

    Instant reportsValidUntil() const
    {
        auto until = m_others.empty() ? Instant() : Instant::max();
        for (const auto &it : m_others) {
            const auto found = m_reports.find(it);
            const auto reports = found == m_reports.end() ? Reports() : found->second;
            const bool isSettled = reports.lastAt - reports.since >= m_settleTime;
            until = std::min(until, isSettled ? reports.lastAt + ReportLifetime : Instant());
        }
        return until;
    }

    Duration m_settleTime;
    Duration m_acceptedLifetime;
    std::vector<std::string> m_others;
    std::map<std::string, Reports> m_reports;
    Instant m_confirmedAt{};
    Instant m_acceptedAt{};
};

}

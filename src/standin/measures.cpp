#include "measures_p.h"

#include <algorithm>
#include <set>

namespace Galenarock::Standin
{

namespace
{
/// Max / mean of the values; 0 when there are none.
double imbalanceOf(const std::map<std::string, std::uint64_t> &values)
{
    std::uint64_t sum = 0;
    std::uint64_t most = 0;
    for (const auto &[name, n] : values) {
        sum += n;
        most = std::max(most, n);
    }
    return sum == 0 ? 0 : static_cast<double>(most) * static_cast<double>(values.size()) / static_cast<double>(sum);
}

/// What the journals show of one service.
struct ServiceRuns
{
    std::map<std::string, std::uint64_t> runsPerServer;
    std::map<std::string, std::set<std::string>> serversPerKey;
    std::map<std::string, std::uint64_t> keysPerServer;
    std::uint64_t keyMoves = 0;
};

void addRuns(ServiceRuns &service, std::vector<const JournalEntry *> entries)
{
    std::sort(entries.begin(), entries.end(), [](const auto *a, const auto *b) { return a->start < b->start; });
    std::map<std::string, std::string> lastServer;
    for (const auto *it : entries) {
        ++service.runsPerServer[it->server];
        if (it->key.empty()) {
            continue;
        }
        auto &last = lastServer[it->key];
        service.keyMoves += !last.empty() && last != it->server ? 1 : 0;
        last = it->server;
        const auto isNew = service.serversPerKey[it->key].insert(it->server).second;
        service.keysPerServer[it->server] += isNew ? 1 : 0;
    }
}

/// Failures that are further apart belong to different outages.
constexpr double outageGapSeconds = 1;

/// Spans of failed requests, merged over all keys of a service.
class OutageMeter
{
public:
    void addFailure(double at)
    {
        if (m_since < 0 || at - m_last > outageGapSeconds) {
            close();
            m_since = at;
        }
        m_last = at;
    }
    void close()
    {
        if (m_since < 0) {
            return;
        }
        m_longest = std::max(m_longest, m_last - m_since);
        m_total += m_last - m_since;
        m_since = -1;
    }
    double longest() const
    {
        return m_longest;
    }
    double total() const
    {
        return m_total;
    }

private:
    double m_since = -1;
    double m_last = 0;
    double m_longest = 0;
    double m_total = 0;
};

void addOutages(const AuditInput &input, std::uint32_t service, ServiceMeasures &measures)
{
    OutageMeter meter;
    std::map<std::uint32_t, double> failedSince;
    double end = 0;
    const auto closeKey = [&](double since, double at) {
        measures.keyUnavailableAtMostSeconds = std::max(measures.keyUnavailableAtMostSeconds, at - since);
    };
    for (const auto &it : input.records) { // records are in the order of their intended start
        if (it.service != service) {
            continue;
        }
        const auto at = std::chrono::duration<double>(it.intended).count();
        end = at;
        if (it.outcome() != Outcome::Answered) {
            meter.addFailure(at);
            failedSince.emplace(it.key, at);
            continue;
        }
        const auto failed = failedSince.find(it.key);
        if (failed != failedSince.end()) {
            closeKey(failed->second, at);
            failedSince.erase(failed);
        }
    }
    for (const auto &[key, since] : failedSince) {
        closeKey(since, end);
    }
    meter.close();
    measures.longestUnavailableSeconds = meter.longest();
    measures.totalUnavailableSeconds = meter.total();
    if (!input.mix[service].profile.isKeyed) {
        measures.keyUnavailableAtMostSeconds = 0;
    }
}
}

std::map<std::string, ServiceMeasures> measure(const AuditInput &input)
{
    std::map<std::string, ServiceRuns> runs;
    for (const auto &it : input.servers) { // servers without a run count as well
        runs[it.service].runsPerServer.emplace(it.name, 0);
        runs[it.service].keysPerServer.emplace(it.name, 0);
    }
    std::map<std::string, std::vector<const JournalEntry *>> entries;
    for (const auto &it : input.journal) {
        if (hasRun(it.state) && numberOfTarget(it.target, input.run)) {
            entries[it.service].push_back(&it);
        }
    }
    std::map<std::string, ServiceMeasures> all;
    for (std::uint32_t i = 0; i < input.mix.size(); ++i) {
        const auto &name = input.mix[i].profile.name;
        auto &service = runs[name];
        addRuns(service, entries[name]);
        auto &measures = all[name];
        measures.servers = service.runsPerServer.size();
        measures.loadImbalance = imbalanceOf(service.runsPerServer);
        measures.keyImbalance = imbalanceOf(service.keysPerServer);
        measures.keysServed = service.serversPerKey.size();
        measures.keyMoves = service.keyMoves;
        addOutages(input, i, measures);
    }
    return all;
}

}

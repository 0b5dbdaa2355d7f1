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

/// Spans between the first failed request and the next answered one.
class OutageMeter
{
public:
    void add(const RequestRecord &record)
    {
        const auto at = std::chrono::duration<double>(record.intended).count();
        m_end = at;
        if (record.outcome() != Outcome::Answered) {
            m_failedSince = m_failedSince < 0 ? at : m_failedSince;
            return;
        }
        close(at);
    }
    /// Counts a span that lasts to the end of the load.
    void finish()
    {
        close(m_end);
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
    void close(double at)
    {
        if (m_failedSince < 0) {
            return;
        }
        m_longest = std::max(m_longest, at - m_failedSince);
        m_total += at - m_failedSince;
        m_failedSince = -1;
    }

    double m_failedSince = -1;
    double m_end = 0;
    double m_longest = 0;
    double m_total = 0;
};

void addOutages(const AuditInput &input, std::uint32_t service, ServiceMeasures &measures)
{
    const auto isKeyed = input.mix[service].profile.isKeyed;
    std::map<std::uint32_t, OutageMeter> meters;
    for (const auto &it : input.records) { // records are in the order of their intended start
        if (it.service == service) {
            meters[isKeyed ? it.key : 0].add(it);
        }
    }
    for (auto &[key, meter] : meters) {
        meter.finish();
        measures.longestUnavailableSeconds = std::max(measures.longestUnavailableSeconds, meter.longest());
        measures.totalUnavailableSeconds += meter.total();
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

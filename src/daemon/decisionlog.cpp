#include "decisionlog_p.h"

namespace Galenarock
{

void DecisionLog::add(const DecisionAction &decision, WallMilliseconds when)
{
    const std::lock_guard lock(m_mutex);
    auto &entries = m_entries[decision.service];
    entries.push_front({when, decision.range, std::string(decision.event.name), decision.text});
    if (entries.size() > maxEntriesPerService) {
        entries.pop_back();
    }
}

nlohmann::json DecisionLog::find(const std::string &service, KeyHash hash) const
{
    const std::lock_guard lock(m_mutex);
    auto found = nlohmann::json::array();
    const auto entries = m_entries.find(service);
    if (entries == m_entries.end()) {
        return found;
    }
    for (const auto &it : entries->second) {
        if (!it.range.contains(hash)) {
            continue;
        }
        found.push_back({{"whenMs", it.when}, {"event", it.event}, {"text", it.text}});
        if (found.size() == maxResults) {
            break;
        }
    }
    return found;
}

}

#include <galenarock/keyloads.h>

#include <algorithm>

namespace Galenarock
{

void KeyLoadCounter::count(KeyHash position)
{
    const auto found = m_counts.find(position);
    if (found != m_counts.end()) {
        ++found->second;
    } else if (m_counts.size() < maxPositions) {
        m_counts.emplace(position, 1);
    }
}

KeyLoad KeyLoadCounter::take()
{
    KeyLoad load;
    load.positions.assign(m_counts.begin(), m_counts.end());
    std::sort(load.positions.begin(), load.positions.end());
    m_counts.clear();
    return load;
}

void KeyLoadCollector::add(const KeyLoad &load)
{
    const std::lock_guard lock(m_mutex);
    auto &sum = m_loads[load.service];
    sum.service = load.service;
    sum.seconds = std::max(sum.seconds, load.seconds);
    sum.hasServerContact = sum.hasServerContact || load.hasServerContact;
    sum.positions.insert(sum.positions.end(), load.positions.begin(), load.positions.end());
    sum.servers.insert(sum.servers.end(), load.servers.begin(), load.servers.end());
}

std::vector<KeyLoad> KeyLoadCollector::takeAll()
{
    const std::lock_guard lock(m_mutex);
    std::vector<KeyLoad> loads;
    for (auto &[service, it] : m_loads) {
        loads.push_back(std::move(it));
    }
    m_loads.clear();
    return loads;
}

}

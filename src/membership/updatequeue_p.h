#pragma once

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Galenarock
{

/// Names of members with updates still to be gossiped, least often sent first.
class UpdateQueue
{
public:
    /// Queues an update about a member and resets its transmission count.
    void add(const std::string &name)
    {
        const auto it = m_transmissions.find(name);
        if (it != m_transmissions.end()) {
            m_byTransmissions.erase({it->second, name});
        }
        m_transmissions[name] = 0;
        m_byTransmissions.insert({0, name});
    }

    void remove(const std::string &name)
    {
        const auto it = m_transmissions.find(name);
        if (it == m_transmissions.end()) {
            return;
        }
        m_byTransmissions.erase({it->second, name});
        m_transmissions.erase(it);
    }

    /// Passes names in order to `tryAppend` until it returns false because the message is full. A name that was sent
    /// `limit` times is removed.
    template<typename TryAppend> void select(std::size_t limit, TryAppend tryAppend)
    {
        std::vector<std::pair<std::size_t, std::string>> selected;
        for (const auto &it : m_byTransmissions) {
            if (!tryAppend(it.second)) {
                break;
            }
            selected.push_back(it);
        }
        for (auto &[transmissions, name] : selected) {
            m_byTransmissions.erase({transmissions, name});
            if (transmissions + 1 >= limit) {
                m_transmissions.erase(name);
                continue;
            }
            m_transmissions[name] = transmissions + 1;
            m_byTransmissions.insert({transmissions + 1, name});
        }
    }

    std::size_t size() const
    {
        return m_transmissions.size();
    }

private:
    std::map<std::string, std::size_t> m_transmissions;
    std::set<std::pair<std::size_t, std::string>> m_byTransmissions;
};

}

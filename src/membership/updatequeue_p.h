#pragma once

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Galenarock
{

/// Names of members whose news still have to travel, least often sent first.
class UpdateQueue
{
public:
    /// Starts the count of a member again.
    void add(const std::string &name)
    {
        const auto known = m_sent.find(name);
        if (known != m_sent.end()) {
            m_order.erase({known->second, name});
        }
        m_sent[name] = 0;
        m_order.insert({0, name});
    }

    void remove(const std::string &name)
    {
        const auto known = m_sent.find(name);
        if (known == m_sent.end()) {
            return;
        }
        m_order.erase({known->second, name});
        m_sent.erase(known);
    }

    /// Offers names in order to `take`, which returns false when the message is full; a name that was sent `limit`
    /// times is dropped.
    template<typename Take> void select(std::size_t limit, Take take)
    {
        std::vector<std::pair<std::size_t, std::string>> taken;
        for (const auto &it : m_order) {
            if (!take(it.second)) {
                break;
            }
            taken.push_back(it);
        }
        for (auto &[sent, name] : taken) {
            m_order.erase({sent, name});
            if (sent + 1 >= limit) {
                m_sent.erase(name);
                continue;
            }
            m_sent[name] = sent + 1;
            m_order.insert({sent + 1, name});
        }
    }

    std::size_t size() const
    {
        return m_sent.size();
    }

private:
    std::map<std::string, std::size_t> m_sent;
    std::set<std::pair<std::size_t, std::string>> m_order;
};

}

#pragma once

#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include <galenarock/control.h>

namespace Galenarock
{

/// The latest decisions of the control cores on each service, for the admin path `/explain`. Thread-safe.
class DecisionLog
{
public:
    void add(const DecisionAction &decision, WallMilliseconds when);
    /// JSON array, newest first, of the decisions that affect `hash`.
    nlohmann::json find(const std::string &service, KeyHash hash) const;

private:
    struct Entry
    {
        WallMilliseconds when;
        SliceRange range;
        std::string event;
        std::string text;
    };
    static constexpr std::size_t maxEntriesPerService = 1'000;
    static constexpr std::size_t maxResults = 20;

    mutable std::mutex m_mutex;
    std::map<std::string, std::deque<Entry>> m_entries;
};

}

#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

#include <galenarock/leases.h>

/// Requests by key position: counted by each worker, added up for the daemon, sent to the service's leader.
namespace Galenarock
{

/// Counts requests by key position on one worker thread.
class KeyLoadCounter
{
public:
    /// Maximum number of positions that are counted between two reports. Requests for further positions are not
    /// counted, since the leader only needs the load of busy positions.
    static constexpr std::size_t maxPositions = 4'096;

    void count(KeyHash position);
    /// Returns the counts since the last call and clears them. Only `positions` is filled in.
    KeyLoad take();

private:
    std::unordered_map<KeyHash, std::uint32_t> m_counts;
};

/// Merges the counts of all workers, by service, until the control thread takes them. Thread-safe.
class KeyLoadCollector
{
public:
    void add(const KeyLoad &load);
    std::vector<KeyLoad> takeAll();

private:
    std::mutex m_mutex;
    std::map<std::string, KeyLoad> m_loads;
};

}

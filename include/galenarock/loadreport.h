#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include <galenarock/control.h>
#include <galenarock/placement.h>

/// Load by key range: counted on the request path, reported to the shard's coordinator, fed to placement.
namespace Galenarock
{

/// The hash space is counted in this many equal buckets, whatever the slices are, so that a report stays valid when
/// slices change. With 17 servers a bucket holds 3% of one server's keys.
inline constexpr std::size_t loadBuckets = 512;

/// Load of one service at one daemon over some time.
struct LoadReport
{
    std::string service;
    /// Length of the counted time.
    double seconds = 0;
    std::vector<std::uint32_t> buckets;
    /// Keys with the most requests, and how many.
    std::vector<std::pair<KeyHash, std::uint32_t>> hotKeys;

    friend bool operator==(const LoadReport &a, const LoadReport &b)
    {
        return a.service == b.service && a.seconds == b.seconds && a.buckets == b.buckets && a.hotKeys == b.hotKeys;
    }
};

namespace LoadMessage
{
inline constexpr std::uint16_t Report = PeerMessageRange::Requests + 3;
}

/// cereal portable binary; about 0.6 KB when counts are below 128, since each is stored in as many bytes as it needs.
std::string encode(const LoadReport &report);
Result<LoadReport> decodeLoadReport(const std::string &payload);

/// Counts the requests of one service on one worker thread.
///
/// Hot keys are found with the Misra-Gries summary: a key with more than 1/(maxKeys + 1) of the requests is never
/// missed.
class LoadCounter
{
public:
    static constexpr std::size_t maxKeys = 127;

    void count(KeyHash hash);
    /// What was counted since the last call.
    LoadReport take(Instant now);

private:
    std::array<std::uint32_t, loadBuckets> m_buckets{};
    std::unordered_map<KeyHash, std::uint32_t> m_keys;
    Instant m_since{};
};

/// Adds up reports of the workers until the control thread takes them. Thread-safe.
class LoadCollector
{
public:
    void add(const LoadReport &report);
    std::vector<LoadReport> takeAll();

private:
    std::mutex m_mutex;
    std::map<std::string, LoadReport> m_reports;
};

/// Load of one service over all daemons, on its coordinator.
class LoadBook
{
public:
    /// The newest report of a daemon replaces its earlier one.
    void add(Instant now, const std::string &daemon, LoadReport report);
    /// Load of each slice, in the order of the assignment; reports older than 30 s are left out.
    std::vector<SliceLoad> sliceLoads(Instant now, const Assignment &assignment);
    /// Hottest first.
    std::vector<HotKey> hotKeys(Instant now);

private:
    struct Entry
    {
        Instant receivedAt;
        LoadReport report;
    };
    void expire(Instant now);

    std::map<std::string, Entry> m_entries;
};

}

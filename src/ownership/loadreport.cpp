#include <galenarock/loadreport.h>

#include <algorithm>
#include <cmath>
#include <sstream>

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/vector.hpp>

namespace Galenarock
{

namespace
{
constexpr std::size_t ReportedKeys = 16;
constexpr std::size_t MaxReportedKeys = 256;
constexpr Duration ReportLifetime = seconds(30); // three report intervals, so that one lost report does not show
constexpr unsigned BucketShift = 64 - 9;
static_assert(std::size_t(1) << (64 - BucketShift) == loadBuckets);

/// Little-endian base 128, so that small counts take one byte.
void writeNumber(std::string &out, std::uint32_t n)
{
    while (n >= 0x80) {
        out.push_back(static_cast<char>(n | 0x80));
        n >>= 7;
    }
    out.push_back(static_cast<char>(n));
}

std::uint32_t readNumber(const std::string &in, std::size_t &position)
{
    std::uint32_t n = 0;
    for (unsigned shift = 0; shift < 32 && position < in.size(); shift += 7) {
        const auto byte = static_cast<unsigned char>(in[position++]);
        n |= static_cast<std::uint32_t>(byte & 0x7f) << shift;
        if (byte < 0x80) {
            break;
        }
    }
    return n;
}

void sortHottestFirst(std::vector<std::pair<KeyHash, std::uint32_t>> &keys)
{
    std::sort(keys.begin(), keys.end(), [](const auto &a, const auto &b) {
        return a.second != b.second ? a.second > b.second : a.first < b.first;
    });
}

double bucketWidth()
{
    return std::ldexp(1.0, static_cast<int>(BucketShift));
}
}

std::string encode(const LoadReport &report)
{
    std::string counts;
    for (const auto it : report.buckets) {
        writeNumber(counts, it);
    }
    std::ostringstream stream;
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(report.service, report.seconds, counts, report.hotKeys);
    return stream.str();
}

Result<LoadReport> decodeLoadReport(const std::string &payload)
{
    try {
        std::istringstream stream(payload);
        cereal::PortableBinaryInputArchive archive(stream);
        LoadReport report;
        std::string counts;
        archive(report.service, report.seconds, counts);
        std::uint64_t keys = 0;
        const auto position = stream.tellg();
        archive(cereal::make_size_tag(keys));
        if (keys > MaxReportedKeys || !(report.seconds > 0) || report.seconds > 3'600) {
            return fail(ErrorCode::MalformedMessage, "load report");
        }
        stream.seekg(position);
        archive(report.hotKeys);
        for (std::size_t n = 0; n < counts.size() && report.buckets.size() < loadBuckets;) {
            report.buckets.push_back(readNumber(counts, n));
        }
        report.buckets.resize(loadBuckets);
        return report;
    } catch (const std::exception &error) {
        return fail(ErrorCode::MalformedMessage, error.what());
    }
}

void LoadCounter::count(KeyHash hash)
{
    ++m_buckets[hash >> BucketShift];
    const auto found = m_keys.find(hash);
    if (found != m_keys.end()) {
        ++found->second;
        return;
    }
    if (m_keys.size() < maxKeys) {
        m_keys.emplace(hash, 1);
        return;
    }
    for (auto it = m_keys.begin(); it != m_keys.end();) {
        it = --it->second == 0 ? m_keys.erase(it) : std::next(it);
    }
}

LoadReport LoadCounter::take(Instant now)
{
    LoadReport report;
    report.seconds = m_since == Instant{} ? 1 : std::chrono::duration<double>(now - m_since).count();
    m_since = now;
    report.buckets.assign(m_buckets.begin(), m_buckets.end());
    report.hotKeys.assign(m_keys.begin(), m_keys.end());
    sortHottestFirst(report.hotKeys);
    report.hotKeys.resize(std::min(report.hotKeys.size(), ReportedKeys));
    m_buckets.fill(0);
    m_keys.clear();
    return report;
}

void LoadCollector::add(const LoadReport &report)
{
    const std::lock_guard lock(m_mutex);
    auto &sum = m_reports[report.service];
    sum.service = report.service;
    sum.seconds = std::max(sum.seconds, report.seconds);
    sum.buckets.resize(loadBuckets);
    for (std::size_t n = 0; n < loadBuckets; ++n) {
        sum.buckets[n] += report.buckets[n];
    }
    std::map<KeyHash, std::uint32_t> keys(sum.hotKeys.begin(), sum.hotKeys.end());
    for (const auto &[hash, n] : report.hotKeys) {
        keys[hash] += n;
    }
    sum.hotKeys.assign(keys.begin(), keys.end());
    sortHottestFirst(sum.hotKeys);
    sum.hotKeys.resize(std::min(sum.hotKeys.size(), ReportedKeys));
}

std::vector<LoadReport> LoadCollector::takeAll()
{
    const std::lock_guard lock(m_mutex);
    std::vector<LoadReport> list;
    for (auto &[service, it] : m_reports) {
        list.push_back(std::move(it));
    }
    m_reports.clear();
    return list;
}

void LoadBook::add(Instant now, const std::string &daemon, LoadReport report)
{
    m_entries[daemon] = {now, std::move(report)};
}

void LoadBook::expire(Instant now)
{
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        it = now - it->second.receivedAt > ReportLifetime ? m_entries.erase(it) : std::next(it);
    }
}

std::vector<SliceLoad> LoadBook::sliceLoads(Instant now, const Assignment &assignment)
{
    expire(now);
    if (m_entries.empty()) {
        return {};
    }
    std::array<double, loadBuckets> rates{};
    for (const auto &[daemon, it] : m_entries) {
        for (std::size_t n = 0; n < loadBuckets; ++n) {
            rates[n] += it.report.buckets[n] / it.report.seconds;
        }
    }
    std::map<KeyHash, double> hot;
    for (const auto &it : hotKeys(now)) {
        hot[it.hash] = it.requestsPerSecond;
        auto &rate = rates[it.hash >> BucketShift];
        rate = std::max(0.0, rate - it.requestsPerSecond); // a hot key belongs to one slice, not to its whole bucket
    }
    std::vector<SliceLoad> loads;
    for (const auto &it : assignment.slices) {
        SliceLoad load;
        const auto first = it.range.first >> BucketShift;
        const auto last = it.range.last >> BucketShift;
        for (auto bucket = first; bucket <= last; ++bucket) {
            const auto from = std::max(it.range.first, bucket << BucketShift);
            const auto to = std::min(it.range.last, ((bucket + 1) << BucketShift) - 1);
            load.requestsPerSecond += rates[bucket] * (static_cast<double>(to - from) + 1) / bucketWidth();
        }
        for (auto key = hot.lower_bound(it.range.first); key != hot.end() && key->first <= it.range.last; ++key) {
            load.requestsPerSecond += key->second;
        }
        loads.push_back(load);
    }
    return loads;
}

std::vector<HotKey> LoadBook::hotKeys(Instant now)
{
    expire(now);
    std::map<KeyHash, double> rates;
    for (const auto &[daemon, it] : m_entries) {
        for (const auto &[hash, n] : it.report.hotKeys) {
            rates[hash] += n / it.report.seconds;
        }
    }
    std::vector<HotKey> keys;
    for (const auto &[hash, rate] : rates) {
        keys.push_back({hash, rate});
    }
    std::sort(keys.begin(), keys.end(),
              [](const HotKey &a, const HotKey &b) { return a.requestsPerSecond > b.requestsPerSecond; });
    return keys;
}

}

#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include <galenarock/base.h>
#include <galenarock/document.h>
#include <galenarock/error.h>

namespace Galenarock::Standin
{

/// How requests of one service look.
struct ServiceProfile
{
    std::string name;
    TrafficClass trafficClass = TrafficClass::Read;
    bool isKeyed = false;
    /// Keyed services: header with the key; empty when the key is the first path segment.
    std::string keyHeader;
    std::string method = "GET";
    /// Ran twice is a fault.
    bool isRepeatable = true;
};

/// The six services of the design page, section 1.2.
const std::vector<ServiceProfile> &serviceProfiles();

/// Share of one service in the load.
struct MixEntry
{
    ServiceProfile profile;
    double weight = 1;
};

/// Parses `vitrina=70,tostadero=20`; everything that is wrong is added to `findings`.
std::vector<MixEntry> parseMix(std::string_view text, Findings &findings);

struct WorkloadOptions
{
    std::vector<MixEntry> mix;
    /// Mean rate of the Poisson arrivals.
    double requestsPerSecond = 200;
    Duration duration = seconds(5);
    std::uint64_t seed = 1;
    std::uint32_t keys = 10'000;
    /// 0 is uniform; 1 gives the key of rank n a share proportional to 1/n.
    double zipfExponent = 1.0;
};

/// One request of the schedule.
struct PlannedRequest
{
    /// Offset from the start of the load.
    Duration at{};
    /// Identifies the request in targets and journals, from 0.
    std::uint64_t number = 0;
    /// Index into WorkloadOptions::mix.
    std::uint32_t service = 0;
    std::uint32_t key = 0;

    friend bool operator==(const PlannedRequest &a, const PlannedRequest &b)
    {
        return a.at == b.at && a.number == b.number && a.service == b.service && a.key == b.key;
    }
};

/// Draws ranks from a Zipf distribution by binary search in its cumulative sums.
class ZipfSampler
{
public:
    ZipfSampler(std::uint32_t count, double exponent);
    /// `uniform` is in [0, 1).
    std::uint32_t rank(double uniform) const;

private:
    std::vector<double> m_cumulative;
};

/// The schedule of an open loop: equal options give equal requests. Has no clock.
class Workload
{
public:
    explicit Workload(WorkloadOptions options);

    /// The next request; empty at the end.
    std::optional<PlannedRequest> next();
    const WorkloadOptions &options() const
    {
        return m_options;
    }

private:
    WorkloadOptions m_options;
    std::mt19937_64 m_random;
    ZipfSampler m_zipf;
    std::discrete_distribution<std::uint32_t> m_service;
    std::exponential_distribution<> m_gap;
    std::uint64_t m_number = 0;
    double m_seconds = 0;
};

std::string keyName(std::uint32_t key);
/// UUIDv7 (RFC 9562) with the given time and random bits.
std::string makeRequestId(WallMilliseconds time, std::uint64_t randomHigh, std::uint64_t randomLow);
/// Bytes [offset, offset + size) of the body of request `number`; every body differs from all others.
void fillBody(std::uint64_t number, std::uint64_t offset, char *buf, std::size_t size);

/// Target of a request: `/<service>/<key>?n=<run>-<number>`.
std::string makeTarget(const ServiceProfile &profile, std::uint32_t key, const std::string &run, std::uint64_t number);
/// Number of the request with this target; empty when it belongs to another run or is no such target.
std::optional<std::uint64_t> numberOfTarget(std::string_view target, std::string_view run);

}

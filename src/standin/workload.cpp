#include "workload_p.h"

#include <algorithm>
#include <charconv>
#include <cmath>

#include <fmt/format.h>

namespace Galenarock::Standin
{

const std::vector<ServiceProfile> &serviceProfiles()
{
    static const std::vector<ServiceProfile> profiles{
        {"vitrina", TrafficClass::Read, true, "", "GET", true},
        {"tostadero", TrafficClass::Order, false, "", "POST", false},
        {"almacen", TrafficClass::Upload, false, "", "PUT", true},
        {"lamp-history", TrafficClass::Read, true, "X-Lamp", "GET", true},
        {"job-desk", TrafficClass::Order, false, "", "POST", false},
        {"report-bay", TrafficClass::Upload, false, "", "PUT", true},
    };
    return profiles;
}

std::vector<MixEntry> parseMix(std::string_view text, Findings &findings)
{
    std::vector<MixEntry> mix;
    while (!text.empty()) {
        const auto part = text.substr(0, text.find(','));
        text.remove_prefix(std::min(part.size() + 1, text.size()));
        const auto equals = part.find('=');
        const auto name = part.substr(0, equals);
        const auto digits = equals == std::string_view::npos ? std::string_view("1") : part.substr(equals + 1);
        const auto &profiles = serviceProfiles();
        const auto it = std::find_if(profiles.begin(), profiles.end(), [&](const auto &it) { return it.name == name; });
        if (it == profiles.end()) {
            findings.push_back({ErrorCode::NotFound, "--mix", fmt::format("no such service: {}", name)});
            continue;
        }
        double weight = 0;
        const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), weight);
        if (ec != std::errc() || end != digits.data() + digits.size() || !(weight > 0)) {
            findings.push_back({ErrorCode::OutOfRange, "--mix", fmt::format("not a positive weight: {}", part)});
            continue;
        }
        mix.push_back({*it, weight});
    }
    if (mix.empty() && findings.empty()) {
        findings.push_back({ErrorCode::MissingField, "--mix", "no service is named"});
    }
    return mix;
}

ZipfSampler::ZipfSampler(std::uint32_t count, double exponent)
{
    double sum = 0;
    m_cumulative.reserve(count);
    for (std::uint32_t rank = 1; rank <= count; ++rank) {
        sum += std::pow(rank, -exponent);
        m_cumulative.push_back(sum);
    }
}

std::uint32_t ZipfSampler::rank(double uniform) const
{
    const auto it = std::upper_bound(m_cumulative.begin(), m_cumulative.end(), uniform * m_cumulative.back());
    const auto n =
        std::min<std::ptrdiff_t>(it - m_cumulative.begin(), static_cast<std::ptrdiff_t>(m_cumulative.size()) - 1);
    return static_cast<std::uint32_t>(n);
}

namespace
{
std::vector<double> weights(const std::vector<MixEntry> &mix)
{
    std::vector<double> weights;
    weights.reserve(mix.size());
    for (const auto &it : mix) {
        weights.push_back(it.weight);
    }
    return weights;
}
}

Workload::Workload(WorkloadOptions options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
    , m_zipf(m_options.keys, m_options.zipfExponent)
    , m_gap(m_options.requestsPerSecond)
{
    const auto shares = weights(m_options.mix);
    m_service = std::discrete_distribution<std::uint32_t>(shares.begin(), shares.end());
}

std::optional<PlannedRequest> Workload::next()
{
    m_seconds += m_gap(m_random);
    const std::chrono::duration<double> offset(m_seconds);
    if (offset >= m_options.duration) {
        return {};
    }
    PlannedRequest request;
    request.at = duration_cast<Duration>(offset);
    request.number = m_number++;
    request.service = m_service(m_random);
    request.key = m_zipf.rank(std::uniform_real_distribution<>(0, 1)(m_random));
    return request;
}

std::string keyName(std::uint32_t key)
{
    return fmt::format("item-{:06}", key);
}

std::string makeRequestId(WallMilliseconds time, std::uint64_t randomHigh, std::uint64_t randomLow)
{
    const auto ms = static_cast<std::uint64_t>(time);
    const auto variant = 0x8000 | (randomLow >> 50); // two variant bits and 14 random ones
    return fmt::format("{:08x}-{:04x}-7{:03x}-{:04x}-{:012x}", ms >> 16, ms & 0xffff, randomHigh & 0xfff, variant,
                       randomLow & 0xffffffffffff);
}

void fillBody(std::uint64_t number, std::uint64_t offset, char *buf, std::size_t size)
{
    for (std::size_t i = 0; i < size;) {
        const auto position = offset + i;
        // Each block of eight bytes is a function of the request and the block, so a missing or swapped part shows.
        std::uint64_t block = (number + 1) * 0x9e3779b97f4a7c15 ^ (position / 8) * 0xbf58476d1ce4e5b9;
        block ^= block >> 31;
        for (auto byte = position % 8; byte < 8 && i < size; ++byte, ++i) {
            buf[i] = static_cast<char>(block >> (8 * byte));
        }
    }
}

std::string makeTarget(const ServiceProfile &profile, std::uint32_t key, const std::string &run, std::uint64_t number)
{
    return fmt::format("/{}/{}?n={}-{}", profile.name, keyName(key), run, number);
}

std::optional<std::uint64_t> numberOfTarget(std::string_view target, std::string_view run)
{
    const auto mark = target.rfind("?n=");
    if (mark == std::string_view::npos) {
        return {};
    }
    const auto id = target.substr(mark + 3);
    if (id.size() <= run.size() + 1 || id.substr(0, run.size()) != run || id[run.size()] != '-') {
        return {};
    }
    const auto digits = id.substr(run.size() + 1);
    std::uint64_t number = 0;
    const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), number);
    if (ec != std::errc() || end != digits.data() + digits.size()) {
        return {};
    }
    return number;
}

}

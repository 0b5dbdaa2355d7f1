#include <galenarock/metrics.h>

#include <fmt/format.h>

namespace Galenarock
{

namespace
{
constexpr double LowestSeconds = 1e-5;
constexpr double HighestSeconds = 100.0;
constexpr unsigned BucketCount = 330; // ln(1e7) / ln(1.05), so that a bucket is 5% wide

std::string braces(const std::string &labels, const std::string &extra = {})
{
    if (labels.empty() && extra.empty()) {
        return {};
    }
    const char *separator = labels.empty() || extra.empty() ? "" : ",";
    return fmt::format("{{{}{}{}}}", labels, separator, extra);
}
}

LatencyHistogram::LatencyHistogram()
    : m_histogram(boost::histogram::make_histogram(Axis(BucketCount, LowestSeconds, HighestSeconds)))
{
}

void LatencyHistogram::record(double seconds)
{
    const std::lock_guard lock(m_mutex);
    m_histogram(seconds);
    ++m_count;
    m_sum += seconds;
}

double LatencyHistogram::quantile(double q) const
{
    const std::lock_guard lock(m_mutex);
    if (m_count == 0) {
        return 0;
    }
    const double rank = q * static_cast<double>(m_count);
    double seen = static_cast<double>(m_histogram.at(-1));
    if (seen >= rank) {
        return LowestSeconds;
    }
    for (int bucket = 0; bucket < static_cast<int>(BucketCount); ++bucket) {
        seen += static_cast<double>(m_histogram.at(bucket));
        if (seen < rank) {
            continue;
        }
        return m_histogram.axis().bin(bucket).upper();
    }
    return HighestSeconds;
}

std::uint64_t LatencyHistogram::count() const
{
    const std::lock_guard lock(m_mutex);
    return m_count;
}

double LatencyHistogram::sum() const
{
    const std::lock_guard lock(m_mutex);
    return m_sum;
}

Counter &Metrics::counter(std::string_view name, std::string_view labels)
{
    const std::lock_guard lock(m_mutex);
    auto &slot = m_counters[Id{std::string(name), std::string(labels)}];
    if (!slot) {
        slot = std::make_unique<Counter>();
    }
    return *slot;
}

LatencyHistogram &Metrics::histogram(std::string_view name, std::string_view labels)
{
    const std::lock_guard lock(m_mutex);
    auto &slot = m_histograms[Id{std::string(name), std::string(labels)}];
    if (!slot) {
        slot = std::make_unique<LatencyHistogram>();
    }
    return *slot;
}

void Metrics::gauge(std::string_view name, std::string_view labels, std::function<double()> read)
{
    const std::lock_guard lock(m_mutex);
    m_gauges[Id{std::string(name), std::string(labels)}] = std::move(read);
}

std::string Metrics::prometheusText() const
{
    const std::lock_guard lock(m_mutex);
    std::string text;
    std::string typed;
    const auto declareType = [&](const std::string &name, const char *type) {
        if (typed == name) {
            return;
        }
        typed = name;
        text += fmt::format("# TYPE {} {}\n", name, type);
    };
    for (const auto &[id, it] : m_counters) {
        declareType(id.name, "counter");
        text += fmt::format("{}{} {}\n", id.name, braces(id.labels), it->value());
    }
    for (const auto &[id, it] : m_gauges) {
        declareType(id.name, "gauge");
        text += fmt::format("{}{} {}\n", id.name, braces(id.labels), it());
    }
    for (const auto &[id, it] : m_histograms) {
        declareType(id.name, "summary");
        for (const double q : {0.5, 0.99, 0.999}) {
            const auto quantileLabel = fmt::format("quantile=\"{}\"", q);
            text += fmt::format("{}{} {}\n", id.name, braces(id.labels, quantileLabel), it->quantile(q));
        }
        text += fmt::format("{}_sum{} {}\n", id.name, braces(id.labels), it->sum());
        text += fmt::format("{}_count{} {}\n", id.name, braces(id.labels), it->count());
    }
    return text;
}

}

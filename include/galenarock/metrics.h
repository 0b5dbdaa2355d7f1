#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

#include <boost/histogram.hpp>

/// Counters and latency histograms, exported as Prometheus text.
namespace Galenarock
{

/// A counter that any thread may increment.
class Counter
{
public:
    void add(std::uint64_t n = 1)
    {
        m_value.fetch_add(n, std::memory_order_relaxed);
    }
    std::uint64_t value() const
    {
        return m_value.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::uint64_t> m_value{0};
};

/// Histogram of durations in seconds, 5% wide logarithmic buckets from 10 us to 100 s. Thread-safe.
class LatencyHistogram
{
public:
    LatencyHistogram();
    void record(double seconds);
    /// Upper edge of the bucket that holds the quantile `q` in [0, 1]; 0 when empty. Unit: seconds.
    double quantile(double q) const;
    std::uint64_t count() const;
    double sum() const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Storage = decltype(boost::histogram::make_histogram(std::declval<Axis>()));
    mutable std::mutex m_mutex;
    Storage m_histogram;
    std::uint64_t m_count = 0;
    double m_sum = 0;
};

/// Registry of a process. References stay valid for the registry's lifetime, so the request path looks a counter up
/// once and increments it without a lock.
class Metrics
{
public:
    /// `labels` is Prometheus syntax without braces: `service="vitrina",reason="shed"`; may be empty.
    Counter &counter(std::string_view name, std::string_view labels = {});
    LatencyHistogram &histogram(std::string_view name, std::string_view labels = {});
    /// A value read when the metrics are exported.
    void gauge(std::string_view name, std::string_view labels, std::function<double()> read);

    /// Prometheus text format, version 0.0.4; histograms as summaries with 0.5, 0.99 and 0.999.
    std::string prometheusText() const;

private:
    struct Id
    {
        std::string name;
        std::string labels;
        friend bool operator<(const Id &a, const Id &b)
        {
            return std::tie(a.name, a.labels) < std::tie(b.name, b.labels);
        }
    };
    mutable std::mutex m_mutex;
    std::map<Id, std::unique_ptr<Counter>> m_counters;
    std::map<Id, std::unique_ptr<LatencyHistogram>> m_histograms;
    std::map<Id, std::function<double()>> m_gauges;
};

}

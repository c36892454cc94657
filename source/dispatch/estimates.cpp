#include "dispatch/estimates.h"

#include <algorithm>
#include <cmath>

namespace poplarshed::dispatch {

namespace {

constexpr double bucket_ratio = 1.2;
constexpr double first_bucket_seconds = 0.001;
/// Weight at which all buckets of a histogram are halved, so that it follows changes of the run times.
constexpr double max_histogram_weight = 4000.0;
constexpr double min_histogram_values = 50.0;
constexpr double default_seconds = 0.3;
/// Greatest ratio that counts, so that a single task of several seconds does not make its runner look slow.
constexpr double max_slowdown_ratio = 8.0;
/// Number of average results with which the estimate of a new runner starts.
constexpr double slowdown_prior_weight = 4.0;
constexpr double recent_weight = 1.0 / 16.0;
/// Ratio of recent to long-term slowdown, in either direction, at which the older values are dropped.
constexpr double slowdown_change = 2.5;

}  // namespace

void window_mean::add(double value)
{
    if (m_weight >= m_window) {
        m_sum /= 2.0;
        m_weight /= 2.0;
    }
    m_sum += value;
    m_weight += 1.0;
}

double window_mean::mean(double prior, double prior_weight) const
{
    const double weight = m_weight + prior_weight;
    return weight > 0.0 ? (m_sum + prior * prior_weight) / weight : prior;
}

void window_mean::reset(double value, double weight)
{
    m_sum = value * weight;
    m_weight = weight;
}

void run_time_histogram::add(double run_seconds)
{
    const double bucket =
        std::log(std::max(run_seconds / first_bucket_seconds, 1.0)) / std::log(bucket_ratio);
    m_counts.at(std::min(static_cast<std::size_t>(bucket), buckets - 1)) += 1.0;
    m_total += 1.0;
    if (m_total >= max_histogram_weight) {
        std::for_each(m_counts.begin(), m_counts.end(), [](double& count) { count /= 2.0; });
        m_total /= 2.0;
    }
}

double run_time_histogram::quantile(double part) const
{
    if (m_total < min_histogram_values) {
        return 0.0;
    }
    double sum = 0.0;
    std::size_t bucket = 0;
    while (bucket + 1 < buckets && sum + m_counts.at(bucket) < part * m_total) {
        sum += m_counts.at(bucket);
        ++bucket;
    }
    return first_bucket_seconds * std::pow(bucket_ratio, static_cast<double>(bucket + 1));
}

void service_times::add(double run_seconds)
{
    m_mean.add(run_seconds);
    m_histogram.add(run_seconds);
}

void service_times::declare(double run_seconds)
{
    m_declared.add(run_seconds);
}

double service_times::mean() const
{
    return m_mean.mean(m_declared.mean(default_seconds, 0.1), 1.0);
}

void runner_slowdown::add(double ratio)
{
    const double value = std::min(ratio, max_slowdown_ratio);
    m_long_term.add(value);
    m_recent += (value - m_recent) * recent_weight;
    if (++m_recent_count < 16) {
        return;
    }
    const double long_term = factor();
    if (m_recent > long_term * slowdown_change || m_recent * slowdown_change < long_term) {
        m_long_term.reset(m_recent, 16.0);
    }
}

double runner_slowdown::factor() const
{
    return m_long_term.mean(1.0, slowdown_prior_weight);
}

}  // namespace poplarshed::dispatch

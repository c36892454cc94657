#pragma once

#include <array>
#include <cstddef>

#include "common/common.h"

namespace poplarshed::dispatch {

/// Mean that gives recent values more weight: once the total weight reaches the window, the weight of all
/// values so far is halved.
class window_mean {
public:
    explicit window_mean(double window) : m_window(window) {}

    void add(double value);
    /// Mean of the added values together with `prior_weight` values equal to `prior`.
    double mean(double prior, double prior_weight) const;
    double weight() const { return m_weight; }
    /// Replaces the contents by `weight` values equal to `value`.
    void reset(double value, double weight);

private:
    double m_window;
    double m_sum = 0.0;
    double m_weight = 0.0;
};

/// Histogram of run times with exponential buckets. The weight of old values decreases as new ones are added.
class run_time_histogram {
public:
    void add(double run_seconds);
    /// Quantile of the run times in seconds, rounded up to a bucket boundary; 0 if there are too few values.
    /// @param part fraction of the values that do not exceed the result, from 0 to 1
    double quantile(double part) const;

private:
    static constexpr std::size_t buckets = 72;
    std::array<double, buckets> m_counts{};
    double m_total = 0.0;
};

/// Observed run times of one service over all runners, in seconds.
class service_times {
public:
    void add(double run_seconds);
    /// Adds a run time declared by a caller; it serves as the estimate until run times are observed.
    void declare(double run_seconds);
    double mean() const;
    double quantile(double part) const { return m_histogram.quantile(part); }

private:
    window_mean m_mean{2000.0};
    window_mean m_declared{50.0};
    run_time_histogram m_histogram;
};

/// Run time on one runner relative to the mean of the service on all runners: 1 is an average runner, 2 takes
/// twice as long.
class runner_slowdown {
public:
    /// @param ratio observed run time divided by the mean run time of the service
    void add(double ratio);
    double factor() const;

private:
    window_mean m_long_term{256.0};
    double m_recent = 1.0;  ///< exponential moving average, to detect a change of speed
    int m_recent_count = 0;
};

}  // namespace poplarshed::dispatch

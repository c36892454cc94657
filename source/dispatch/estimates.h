#pragma once

#include <array>
#include <cstddef>

#include "common/common.h"

namespace poplarshed::dispatch {

/// Mean over a sliding window: the older half of the weight is dropped once the window is full.
class window_mean {
public:
    explicit window_mean(double window) : m_window(window) {}

    void add(double value);
    /// Mean of the values and of `prior_weight` values equal to `prior`.
    double mean(double prior, double prior_weight) const;
    double weight() const { return m_weight; }
    /// Forgets all but `weight` values equal to `value`.
    void reset(double value, double weight);

private:
    double m_window;
    double m_sum = 0.0;
    double m_weight = 0.0;
};

/// Distribution of run times in buckets of equal ratio. Old values lose weight over time.
class run_time_histogram {
public:
    void add(double run_seconds);
    /// Time that the share `part` of the values does not exceed, in seconds; 0 without enough values.
    double quantile(double part) const;

private:
    static constexpr std::size_t buckets = 72;
    std::array<double, buckets> m_counts{};
    double m_total = 0.0;
};

/// Observed time of one service on all runners, in seconds.
class service_times {
public:
    void add(double run_seconds);
    /// Start value until enough run times are observed.
    void declare(double run_seconds);
    double mean() const;
    double quantile(double part) const { return m_histogram.quantile(part); }

private:
    window_mean m_mean{2000.0};
    window_mean m_declared{50.0};
    run_time_histogram m_histogram;
};

/// Observed time of one runner relative to the mean of the service that it ran. 1 is an average runner.
class runner_slowdown {
public:
    /// @param ratio observed time over the mean time of the service
    void add(double ratio);
    double factor() const;

private:
    window_mean m_long_term{256.0};
    double m_recent = 1.0;  ///< exponential mean of the last values, to notice a change of pace
    int m_recent_count = 0;
};

}  // namespace poplarshed::dispatch

#include "workers/speed.h"

#include <algorithm>
#include <cmath>

namespace poplarshed::workers {

namespace {

// Estimates are off by about 40%, so one run says little; eight runs settle the ratio within 15%.
constexpr double weight = 0.2;
// Bounds of one observation; an estimate that is off by more says nothing about the worker.
constexpr double least_ratio = 0.2;
constexpr double greatest_ratio = 12.0;
// Without observations a slow worker is tried again: the excess halves in this time.
constexpr double recovery_half_life_s = 3.0;
// Ratios up to this come from the mixed age of workers and do not fade.
constexpr double ordinary_ratio = 2.0;

}  // namespace

double speed_estimate::ratio(time_point now) const
{
    if (m_ratio <= ordinary_ratio) {
        return m_ratio;
    }
    const double idle_s = std::chrono::duration<double>(now - m_updated).count();
    return ordinary_ratio + (m_ratio - ordinary_ratio) * std::exp2(-idle_s / recovery_half_life_s);
}

void speed_estimate::observe(time_point now, milliseconds estimate, milliseconds actual)
{
    if (estimate.count() <= 0) {
        return;
    }
    const double seen =
        std::clamp(static_cast<double>(actual.count()) / static_cast<double>(estimate.count()), least_ratio,
                   greatest_ratio);
    const double before = ratio(now);
    // The mean is taken of logarithms, so that too low and too high estimates weigh alike.
    m_ratio = std::exp(std::log(before) * (1 - weight) + std::log(seen) * weight);
    m_updated = now;
}

void speed_estimate::observe_running(time_point now, milliseconds estimate, milliseconds elapsed)
{
    if (estimate.count() <= 0) {
        return;
    }
    const double seen = static_cast<double>(elapsed.count()) / static_cast<double>(estimate.count());
    if (seen > ratio(now)) {
        m_ratio = std::min(seen, greatest_ratio);
        m_updated = now;
    }
}

}  // namespace poplarshed::workers

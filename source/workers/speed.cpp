#include "workers/speed.h"

#include <algorithm>
#include <cmath>

namespace poplarshed::workers {

namespace {

// Weight of one observation. Estimates are off by about 40%, so a single run says little; after eight runs
// the ratio is within 15%.
constexpr double observation_weight = 0.2;
// Bounds of one observation; a larger error of the estimate says nothing about the worker.
constexpr double min_ratio = 0.2;
constexpr double max_ratio = 12.0;
// The excess over the ordinary ratio halves in this time without observations, so that a slow worker is
// tried again.
constexpr double recovery_half_life_s = 3.0;
// Ratios up to this result from mixed hardware generations and do not decay.
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
    const double observed = std::clamp(
        static_cast<double>(actual.count()) / static_cast<double>(estimate.count()), min_ratio, max_ratio);
    const double previous = ratio(now);
    // A mean of logarithms weighs too low and too high estimates equally.
    m_ratio =
        std::exp(std::log(previous) * (1 - observation_weight) + std::log(observed) * observation_weight);
    m_updated = now;
}

void speed_estimate::observe_running(time_point now, milliseconds estimate, milliseconds elapsed)
{
    if (estimate.count() <= 0) {
        return;
    }
    const double observed = static_cast<double>(elapsed.count()) / static_cast<double>(estimate.count());
    if (observed > ratio(now)) {
        m_ratio = std::min(observed, max_ratio);
        m_updated = now;
    }
}

}  // namespace poplarshed::workers

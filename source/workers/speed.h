#pragma once

#include "common/clock.h"

namespace poplarshed::workers {

/// Learns how long a worker takes for work of a given estimate.
/// Load pattern: workers of mixed age, and workers that turn several times slower for a few seconds.
class speed_estimate {
public:
    /// Expected duration over estimate; 1 before any observation.
    double ratio(time_point now) const;
    /// A run of `estimate` took `actual`.
    void observe(time_point now, milliseconds estimate, milliseconds actual);
    /// A run of `estimate` has taken `elapsed` and goes on: a lower bound of its duration.
    void observe_running(time_point now, milliseconds estimate, milliseconds elapsed);

private:
    double m_ratio = 1.0;
    time_point m_updated{};
};

}  // namespace poplarshed::workers

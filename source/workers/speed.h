#pragma once

#include "common/clock.h"

namespace poplarshed::workers {

/// Moving average of the durations of runs on a worker relative to their estimates.
/// Load pattern: workers of mixed hardware generations, and workers that become several times slower for a
/// few seconds.
class speed_estimate {
public:
    /// Expected duration divided by the estimate; 1 before any observation.
    double ratio(time_point now) const;
    /// Records that a run with this estimate took `actual`.
    void observe(time_point now, milliseconds estimate, milliseconds actual);
    /// Records that a run with this estimate still runs after `elapsed`, which is a lower bound of its
    /// duration.
    void observe_running(time_point now, milliseconds estimate, milliseconds elapsed);

private:
    double m_ratio = 1.0;
    time_point m_updated{};
};

}  // namespace poplarshed::workers

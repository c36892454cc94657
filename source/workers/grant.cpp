#include "workers/grant.h"

namespace poplarshed::workers {

milliseconds clock_reading(time_point now)
{
    return std::chrono::duration_cast<milliseconds>(now.time_since_epoch());
}

std::optional<time_point> granted_until(time_point now, milliseconds echo)
{
    if (echo == milliseconds(0)) {
        return unlimited_grant;
    }
    // A reading ahead of the clock is of a former life of this machine.
    if (echo > clock_reading(now) || echo + offer_validity < clock_reading(now)) {
        return std::nullopt;
    }
    return time_point(echo + offer_validity);
}

}  // namespace poplarshed::workers

#include "workers/grant.h"

namespace poplarshed::workers {

milliseconds clock_reading(time_point now)
{
    return std::chrono::duration_cast<milliseconds>(now.time_since_epoch());
}

std::optional<time_point> grant_expiry(time_point now, milliseconds echoed_clock)
{
    if (echoed_clock == milliseconds(0)) {
        return unlimited_grant;
    }
    // A reading ahead of the clock dates from before a restart of this machine.
    if (echoed_clock > clock_reading(now) || echoed_clock + offer_validity < clock_reading(now)) {
        return std::nullopt;
    }
    return time_point(echoed_clock + offer_validity);
}

}  // namespace poplarshed::workers

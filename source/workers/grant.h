#pragma once

#include <optional>

#include "common/clock.h"
#include "workers/types.h"

/// How long a holder may act for a job without news of its owner. An owner repeats the holder's own clock in
/// what it sends, so the holder knows how old a message is at most, however long it was on its way, and the
/// owner knows that the grant has ended a fixed time after it last heard the holder.
namespace poplarshed::workers {

/// Validity of an offer, from the time of the holder's clock that the owner repeats. Two intervals between
/// instances that share a job (150 ms each) are usual; the rest bridges a pause of the sender of 540 ms.
inline constexpr milliseconds offer_validity{840};
/// A job that is new to the holder needs this much of its grant, or it would be stopped before the second
/// status of its owner arrives (150 ms each, and 30 ms between the checks of what is due).
inline constexpr milliseconds min_new_grant{360};
/// What runs for a job ends on its worker at most this long after its grant.
inline constexpr milliseconds run_grace_period{300};
/// Runs of a former holder that no owner has claimed by then are stopped. Owners offer their jobs again
/// within three ticks of a status of the new holder.
inline constexpr milliseconds adoption_timeout{400};
/// Clocks of instances and workers that drift by 2% over the times above, and orders on their way.
inline constexpr milliseconds clock_drift_margin{150};
/// Longest lease of a worker; it may have granted this one where its clock was misread. From the platform.
inline constexpr milliseconds max_worker_lease{1000};
static_assert(run_grace_period <= max_worker_lease);
/// Nothing of a job runs in a pool this long after its owner last heard the holder: its grant has ended and
/// what it started has lapsed, since no later holder renews the lease of a run that its owner has not
/// claimed.
inline constexpr milliseconds reassignment_delay = offer_validity + max_worker_lease + clock_drift_margin;

/// End of the grants of an owner that sends no clock, as a former release does. They hold until the owner
/// counts as silent.
inline constexpr time_point unlimited_grant = time_point::max() - std::chrono::hours(1);

/// This instance's clock, as statuses carry it.
milliseconds clock_reading(time_point now);
/// Time until which a message that repeats this instance's clock grants a job.
/// @returns nothing if that time is over, or the reading is none of this instance's
std::optional<time_point> grant_expiry(time_point now, milliseconds echoed_clock);

/// The offers of an owner that a holder may act on, as a status tells them.
struct active_offers {
    endpoint owner;
    milliseconds echoed_clock{};
    std::vector<offer_number> numbers;  ///< ascending
    offer_number last{};                ///< later offers are not in the list yet
};

}  // namespace poplarshed::workers

#pragma once

#include <optional>

#include "common/clock.h"
#include "workers/types.h"

/// Grants limit how long a holder may act for a job without a message from its owner. Owners echo the
/// holder's clock in their messages, so that the holder can bound the age of a message regardless of its
/// delay, and the owner can rely on its expiry a fixed time after the last message from the holder.
namespace poplarshed::workers {

/// Validity of an offer, counted from the echoed clock of the holder. It covers two status intervals between
/// instances that share a job (150 ms each) and a pause of the sender of up to 540 ms.
inline constexpr milliseconds offer_validity{840};
/// Minimum remaining grant of a job that is new to the holder. With less, the job would be stopped before the
/// second status of its owner arrives (150 ms each, plus 30 ms between checks for due statuses).
inline constexpr milliseconds min_new_grant{360};
/// Runs of a job end on their workers at most this long after its grant expires.
inline constexpr milliseconds run_grace_period{300};
/// Runs of a former holder that no owner has claimed within this time are stopped. Owners offer their jobs
/// again within three ticks of a status of the new holder.
inline constexpr milliseconds adoption_timeout{400};
/// Allows for clock drift of 2% between instances and workers over the times above, and for commands in
/// transit.
inline constexpr milliseconds clock_drift_margin{150};
/// Maximum lease that a worker grants (platform limit). A worker may have granted it when its clock was
/// misread.
inline constexpr milliseconds max_worker_lease{1000};
static_assert(run_grace_period <= max_worker_lease);
/// Time after the last message from the holder at which the owner may assign the job elsewhere: the grant has
/// expired, and so have the leases of its runs, since later holders do not renew the lease of an unclaimed
/// run.
inline constexpr milliseconds reassignment_delay = offer_validity + max_worker_lease + clock_drift_margin;

/// The former holder can start nothing more this long before the end of reassignment_delay, since its grant
/// has expired. What it has started may still run.
inline constexpr milliseconds expired_grant_delay = reassignment_delay - offer_validity;

/// Expiry of grants of owners that send no clock (previous release). They are valid until the owner counts
/// as unreachable.
inline constexpr time_point unlimited_grant = time_point::max() - std::chrono::hours(1);

/// Clock of this instance as sent in status messages, in milliseconds.
milliseconds clock_reading(time_point now);
/// Time until which a message with this echoed clock grants a job; unlimited_grant without an echoed clock.
/// @returns nothing if that time has passed, or the clock reading is from before a restart of this machine
std::optional<time_point> grant_expiry(time_point now, milliseconds echoed_clock);

/// The offers of an owner that a holder may act on, as listed in a status of the owner.
struct active_offers {
    endpoint owner;
    milliseconds echoed_clock{};
    std::vector<offer_number> numbers;  ///< ascending
    offer_number last{};                ///< the list does not cover later offers
};

}  // namespace poplarshed::workers

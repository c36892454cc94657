#pragma once

#include <optional>
#include <span>

#include "routing/types.h"

namespace poplarshed::routing {

/// A pool that may get a job.
struct pool_candidate {
    pool_id pool;
    milliseconds cost{};  ///< expected finish, with surcharges
    std::int64_t free_cpu =
        0;  ///< capacity for whole tasks that would start at once, in thousandths of a core

    bool operator==(const pool_candidate&) const = default;
};

/// Pools whose costs differ by less than this are equally good; load figures are no more precise.
inline constexpr milliseconds similar_cost{4};

/// Chooses the pool for a job. Load pattern: many instances choose by statuses of the same age. If each took
/// the best pool, all would send their jobs to the same one until its next status; so they spread them over
/// the pools of similar cost, in proportion to the free capacity. The choice depends on the job and the pools
/// only.
/// @returns index of the pool; nothing without candidates
std::optional<std::size_t> choose_pool(std::span<const pool_candidate> candidates, const job_id& job);

/// Chooses the pool whose holder orders the owners of a job. The same for all instances that know the same
/// pools, whatever their load.
/// @returns index of the pool; nothing without pools
std::optional<std::size_t> choose_ordering_pool(std::span<const pool_id> pools, const job_id& job);

}  // namespace poplarshed::routing

#pragma once

#include <cstdint>
#include <optional>
#include <span>

#include "common/clock.h"
#include "workers/types.h"

/// Stateless decisions under load. Each names the load pattern that it handles.
namespace poplarshed::workers {

/// Response times beyond this multiple of the objective are useless to callers (service terms).
inline constexpr int max_objective_multiple = 3;

/// Capacity of a pool in thousandths of a core, and the work queued ahead of a job in thousandths of a core
/// times milliseconds.
struct backlog {
    std::int64_t capacity_cpu = 0;  ///< estimated work done in a millisecond
    std::int64_t free_cpu = 0;      ///< of tasks that would start at once
    std::int64_t ahead_cpu_ms = 0;  ///< queued work that is served first
};

/// Work and resource needs of a queued job.
struct job_demand {
    std::int64_t cpu = 0;          ///< of all waiting tasks
    std::int64_t cpu_ms = 0;       ///< the same times their estimates
    milliseconds critical_path{};  ///< longest chain of tasks, as estimated for this pool's workers
};

/// Estimated duration of the longest chain of dependent steps, with one task of each.
milliseconds critical_path(const std::vector<job_step>& steps);

/// Expected time until the job ends. Load pattern: bursts beyond the capacity, where an immediate refusal is
/// better than a wait that cannot end in time. @returns nothing if the pool has no capacity
std::optional<milliseconds> expected_finish(const backlog& queue, const job_demand& demand);

/// Rank of a queued job; lower ranks are served first.
struct queue_rank {
    bool overdue = false;  ///< can no longer meet its objective
    time_point latest_start;
    std::int64_t remaining_cpu_ms = 0;

    /// Jobs that can still meet their objective go first, in order of their latest start. Overdue jobs
    /// follow, least work first. Load pattern: bursts of short urgent jobs beside long ones with slack; under
    /// overload, jobs that are already late must not delay the others.
    friend bool operator<(const queue_rank& left, const queue_rank& right)
    {
        if (left.overdue != right.overdue) {
            return right.overdue;
        }
        return left.overdue ? left.remaining_cpu_ms < right.remaining_cpu_ms
                            : left.latest_start < right.latest_start;
    }
};

/// A worker with free capacity for a task.
struct placement_candidate {
    std::size_t index = 0;
    milliseconds duration{};    ///< expected, on this worker
    std::int64_t cpu_left = 0;  ///< after the task has started
};

/// Time limits of a placement.
struct placement_goal {
    time_point now;
    time_point objective_at;
    time_point useful_until;
    bool scarce = false;  ///< most of the pool is in use
};

/// Chooses the worker for a task. Load pattern: workers differ in speed by a factor of two or three; when
/// capacity is scarce, slow workers take the tasks that meet their objective there, so that fast workers
/// stay free for the others.
/// @returns nothing if the task would finish too late on every candidate
std::optional<std::size_t> choose_worker(std::span<const placement_candidate> candidates,
                                         const placement_goal& goal);

}  // namespace poplarshed::workers

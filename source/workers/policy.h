#pragma once

#include <cstdint>
#include <optional>
#include <span>

#include "common/clock.h"
#include "workers/types.h"

/// Decisions under load, without state. Each names the load pattern that it answers.
namespace poplarshed::workers {

/// Response times beyond this multiple of the objective are of no more use to callers. From the service
/// terms.
inline constexpr int max_objective_multiple = 3;

/// Capacity of a pool and the work in front of a job, in thousandths of a core times milliseconds.
struct backlog {
    std::int64_t capacity_cpu = 0;  ///< estimated work done in a millisecond
    std::int64_t free_cpu = 0;      ///< of tasks that would start at once
    std::int64_t ahead_cpu_ms = 0;  ///< waiting work that is served first
};

/// Work and needs of a job that waits.
struct job_demand {
    std::int64_t cpu = 0;          ///< of all waiting tasks
    std::int64_t cpu_ms = 0;       ///< the same times their estimates
    milliseconds critical_path{};  ///< longest chain of tasks, as estimated for this pool's workers
};

/// Duration of the longest chain of steps, one task of each, as estimated.
milliseconds critical_path(const std::vector<job_step>& steps);

/// Expected time until the job ends. Load pattern: bursts beyond the capacity, where refusing at once is
/// better than a wait that cannot end in time. @returns nothing if the pool has no capacity
std::optional<milliseconds> expected_finish(const backlog& queue, const job_demand& demand);

/// Place of a waiting job in the queue; lower goes first.
struct queue_rank {
    bool overdue = false;  ///< can no longer meet its objective
    time_point latest_start;
    std::int64_t remaining_cpu_ms = 0;

    /// Jobs that can still be in time go first, by the latest time at which they can start. The rest follows,
    /// the least work first. Load pattern: short urgent jobs arrive in bursts beside long ones with slack; in
    /// overload, jobs that are late already must not make the others late as well.
    friend bool operator<(const queue_rank& left, const queue_rank& right)
    {
        if (left.overdue != right.overdue) {
            return right.overdue;
        }
        return left.overdue ? left.remaining_cpu_ms < right.remaining_cpu_ms
                            : left.latest_start < right.latest_start;
    }
};

/// A worker with room for a task.
struct placement_candidate {
    std::size_t index = 0;
    milliseconds duration{};    ///< expected, on this worker
    std::int64_t cpu_left = 0;  ///< after the task has started
};

/// What a placement must reach.
struct placement_goal {
    time_point now;
    time_point objective_at;
    time_point useful_until;
    bool scarce = false;  ///< most of the pool is in use
};

/// Chooses the worker for a task. Load pattern: workers differ in speed by a factor of two or three; when
/// room is scarce, slow workers take the tasks that are in time there, so that fast ones stay free for the
/// others.
/// @returns nothing if the task would be of no use on any of them
std::optional<std::size_t> choose_worker(std::span<const placement_candidate> candidates,
                                         const placement_goal& goal);

}  // namespace poplarshed::workers

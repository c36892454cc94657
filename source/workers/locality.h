#pragma once

#include <cstddef>
#include <optional>
#include <span>
#include <vector>

#include "common/clock.h"
#include "workers/types.h"

/// Decides how long tasks wait for a worker near their data. No I/O; not thread-safe.
namespace poplarshed::workers {

/// Resources of a worker that are expected to become free.
struct room_release {
    time_point at;
    resources amount;

    bool operator==(const room_release&) const = default;
};

/// Expected end of a run. The time left of a run that has exceeded its expected duration grows with the time
/// that it has taken, since some runs take several times the mean.
time_point expected_run_end(time_point now, time_point sent, milliseconds expected);

/// Expected free resources of one worker over time: what is free now, the ends of its runs, and the tasks
/// that are expected to start on it later.
class room_forecast {
public:
    /// @param releases in any order
    room_forecast(time_point now, const resources& left, std::vector<room_release> releases);

    /// Earliest time at which the need fits; nothing if it never does.
    std::optional<time_point> available(const resources& need) const;
    /// Adds a task. Tasks that are added later do not start before it.
    void occupy(time_point from, const resources& need, milliseconds duration);

private:
    time_point m_from;
    resources m_left;                      ///< free at m_from
    std::vector<room_release> m_releases;  ///< after m_from, ascending
};

/// A worker near the data, with the expected duration of a task on it.
struct near_worker {
    room_forecast* forecast = nullptr;
    milliseconds duration{};
};

/// Expected start and end of a task near its data.
struct near_run {
    time_point start;
    time_point end;

    bool operator==(const near_run&) const = default;
};

/// What a wait of the tasks of a step is compared with.
struct wait_terms {
    time_point now;
    time_point due;            ///< the job is in time if the tasks have ended by then
    milliseconds elsewhere{};  ///< expected duration on the worker that would be taken elsewhere
    bool scarce = false;       ///< the pool is short of room
};

/// Latest start elsewhere with which the job is in time. A wait ends then.
time_point wait_end(const wait_terms& terms);

/// True if a task should wait for this run near its data rather than start elsewhere now. Load pattern: many
/// jobs want the same rack for some seconds while other racks have room; a run elsewhere takes a multiple of
/// the time and of the room, which others lack when the pool is nearly full.
bool wait_pays(const near_run& run, const wait_terms& terms);

/// Tasks of a step that wait for their rack; the others of the step start elsewhere.
struct rack_plan {
    std::size_t waiting = 0;
    near_run first;  ///< expected run of the first task, whether it waits or not

    bool operator==(const rack_plan&) const = default;
};

/// Decides for the tasks of a step together, and adds those that wait to the forecasts, so that later
/// decisions count them as ahead in the queue.
/// @param workers near the data; all are busy
/// @param tasks that wait; at most max_tasks_together of them wait for the rack
rack_plan plan_wait(std::span<const near_worker> workers, const resources& need, std::size_t tasks,
                    const wait_terms& terms);

/// Upper bound of the tasks of one step that wait for their rack, which bounds the cost of a decision.
inline constexpr std::size_t max_tasks_together = 64;

/// Estimated duration of the longest chain of steps that depend on the step; 0 if none does.
milliseconds time_after(const std::vector<job_step>& steps, std::uint32_t step);

}  // namespace poplarshed::workers

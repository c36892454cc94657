#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "dispatch/types.h"

namespace poplarshed::dispatch {

/// Index of a runner in its table; does not change after the runner was first listed.
using runner_index = std::uint32_t;

struct class_queue;

/// One task of an admitted job.
struct task_state {
    std::uint32_t attempts = 0;             ///< started so far
    std::uint32_t failures = 0;             ///< failed attempts on runners that succeed with most tasks
    std::array<attempt_id, 2> running{};    ///< attempts in flight; the second is a hedge
    std::optional<runner_index> failed_on;  ///< runner of the last failed attempt
    verdict ran = verdict::not_run;         ///< combined verdict of the attempts that ended
    bool done = false;
    bool queued = true;  ///< waits for a slot, not for a retry delay or a result

    std::size_t in_flight() const;
    void remove_running(attempt_id id);
};

/// Reason of a job that has failed but is not answered until its abandoned attempts have ended.
struct pending_failure {
    refusal_reason reason = refusal_reason::internal_error;
    std::optional<std::uint32_t> task;
};

/// A job from its admission to its answer.
struct job {
    job(job_request admitted, configuration::service service);

    /// Number of tasks that wait for a slot.
    std::size_t waiting() const { return request.tasks.size() - next_unstarted + retry_tasks.size(); }
    /// Removes the next task from the queue and returns its index. Requires waiting() > 0.
    std::uint32_t pop_next_task();
    /// Verdict on the whole job: not_run if certainly no task ran, ran if every task ran, else
    /// may_have_run.
    verdict ran() const;
    /// True if there are attempts in flight and every ended attempt has the verdict not_run, so that the
    /// verdict on the job depends only on the attempts in flight.
    bool verdict_depends_on_in_flight() const;

    job_request request;
    configuration::service settings;  ///< as admitted
    std::vector<task_state> tasks;
    std::vector<std::string> results;
    std::vector<std::uint32_t> retry_tasks;  ///< queued again after a failed attempt
    std::uint32_t next_unstarted = 0;        ///< index of the first task that was never started
    std::size_t unfinished;
    std::size_t in_flight = 0;  ///< attempts
    bool started = false;       ///< at least one attempt was started
    /// Set once the job has failed; it is answered when its attempts have ended.
    std::optional<pending_failure> failing;
    double order = 0.0;            ///< sort key in its queue
    class_queue* queue = nullptr;  ///< used by the expected_finish policy only
};

/// One attempt between its start and its result.
struct attempt {
    job* parent_job = nullptr;  ///< null once the attempt is abandoned
    std::uint32_t task = 0;
    runner_index runner = 0;
    service_id service;
    time_point started;
    bool hedge = false;
    class_queue* queue = nullptr;   ///< queue of the job
    double expected_seconds = 0.0;  ///< run time that was estimated at the start
};

}  // namespace poplarshed::dispatch

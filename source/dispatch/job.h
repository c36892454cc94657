#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "dispatch/types.h"

namespace poplarshed::dispatch {

/// Position of a runner in its table; stays the same while the runner is known.
using runner_index = std::uint32_t;

struct class_queue;

/// One task of an admitted job.
struct task_state {
    std::uint32_t attempts = 0;             ///< started so far
    std::uint32_t failures = 0;             ///< attempts that failed on a runner that succeeds with others
    std::array<attempt_id, 2> running{};    ///< attempts in flight; the second is a hedge
    std::optional<runner_index> failed_on;  ///< runner of the last failed attempt
    verdict ran = verdict::not_run;         ///< of the attempts that ended
    bool done = false;
    bool queued = true;  ///< waits for a slot, not for a retry delay or a result

    std::size_t in_flight() const;
    void remove_running(attempt_id id);
};

/// Why a job fails while its abandoned attempts have not ended.
struct pending_failure {
    refusal_reason reason = refusal_reason::internal_error;
    std::optional<std::uint32_t> task;
};

/// A job from its admission to its answer.
struct job {
    job(job_request admitted, configuration::service service);

    /// Tasks that wait for a slot.
    std::size_t waiting() const { return request.tasks.size() - next_unstarted + retry_tasks.size(); }
    /// Next task that waits for a slot, taken out of the queue. Requires waiting() > 0.
    std::uint32_t pop_next_task();
    /// What is known of the job as a whole: not_run if no task ran, ran if every task ran.
    verdict ran() const;
    /// True if only attempts in flight leave open whether anything ran.
    bool verdict_depends_on_in_flight() const;

    job_request request;
    configuration::service settings;  ///< as admitted
    std::vector<task_state> tasks;
    std::vector<std::string> results;
    std::vector<std::uint32_t> retry_tasks;  ///< tasks that wait for a slot after a failed attempt
    std::uint32_t next_unstarted = 0;        ///< tasks from here on have not been started
    std::size_t unfinished;
    std::size_t in_flight = 0;               ///< attempts
    bool started = false;                    ///< an attempt was started
    std::optional<pending_failure> failing;  ///< the job is answered when its attempts have ended
    double order = 0.0;                      ///< place in the queue of its class
    class_queue* queue = nullptr;            ///< of the expected_finish policy
};

/// One attempt between its start and its result.
struct attempt {
    job* parent_job = nullptr;  ///< nothing once abandoned
    std::uint32_t task = 0;
    runner_index runner = 0;
    service_id service;
    time_point started;
    bool hedge = false;
    class_queue* queue = nullptr;   ///< class of the job
    double expected_seconds = 0.0;  ///< as estimated at the start
};

}  // namespace poplarshed::dispatch

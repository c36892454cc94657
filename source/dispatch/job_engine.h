#pragma once

#include <deque>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

#include "dispatch/dispatch.h"
#include "dispatch/job.h"

namespace poplarshed::dispatch {

/// Life cycle of jobs and attempts, common to all policies: results, verdicts, retries, deadlines and
/// cancellation. A policy decides on admission, placement and retry delays by the protected virtual
/// functions.
class job_engine : public dispatcher {
public:
    void apply(const configuration::bundle& bundle, time_point now) override;
    std::optional<refusal> check(const job_request& request, time_point now) const override;
    std::vector<action> submit(job_request request, time_point now) override;
    std::vector<action> on_result(attempt_result result, time_point now) override;
    std::vector<action> cancel(job_key key, refusal_reason reason, time_point now) override;
    std::vector<action> on_timer(time_point now) override;
    std::size_t jobs_in_flight() const override { return m_jobs.size(); }

protected:
    /// Refuses a job that the policy cannot finish in time. The service, the workspace and its permissions
    /// are checked before the call; quotas are up to the policy.
    virtual std::optional<refusal> admit(const job_request& request, time_point now) const = 0;
    /// Called when all tasks of a new job, or one task after a failed attempt, wait for a slot.
    virtual void on_tasks_queued(job& parent_job, time_point now) = 0;
    /// Called when a job ends; its waiting tasks are to be removed from the queue.
    virtual void on_job_end(job& parent_job, time_point now) = 0;
    /// Called when an attempt has ended, also for attempts that were abandoned before.
    virtual void on_attempt_end(const attempt& ended, const attempt_result& result, time_point now) = 0;
    /// Delay before the task is queued again; nothing if its job fails instead.
    virtual std::optional<duration> retry_delay(const job& parent_job, const task_state& task,
                                                time_point now) = 0;
    /// Starts waiting tasks on idle runners.
    virtual void place_tasks(time_point now) = 0;
    /// Called by on_timer for the timers of the policy.
    virtual void on_policy_timer(time_point now) = 0;
    /// True if the task failed on so many healthy runners that the task itself is taken to be faulty.
    virtual bool is_faulty(const task_state& task) const = 0;
    /// Called when a new configuration was applied.
    virtual void on_bundle(time_point now) = 0;

    /// Starts a task that was taken by job::pop_next_task, or a hedge of a task in flight.
    attempt_id start(job& parent_job, std::uint32_t task, runner_index runner, const endpoint& address,
                     time_point now, double expected_seconds = 0.0);
    /// Ends a job: with job_refused if none of its tasks was started, else with job_failed.
    void fail(job& parent_job, refusal_reason reason, std::optional<std::uint32_t> task, time_point now);
    /// Like fail, but waits for the results of the abandoned attempts if these decide the verdict.
    void fail_after_attempts_end(job& parent_job, refusal_reason reason, std::uint32_t task, time_point now);
    /// Abandons the remaining attempts of a failed job and answers it.
    void finish_failed_job(job& parent_job, time_point now);
    /// Emits an action that counts a retry or a wasted message.
    void count(retry_reason reason, const service_id& service);
    /// Constructs the action in place. g++ 12 with -O3 reports the move of a whole action as the use of
    /// uninitialized members.
    template <class Next>
    void emit(Next&& next)
    {
        m_actions.emplace_back(std::forward<Next>(next));
    }
    std::vector<action> take_actions();

    const configuration::bundle& bundle() const { return m_bundle; }
    const attempt* find_attempt(attempt_id id) const;
    const std::unordered_map<job_key, std::unique_ptr<job>>& jobs() const { return m_jobs; }
    /// Number of tasks of the workspace's jobs that are admitted and not yet answered.
    std::size_t tasks_in_flight(const workspace_id& workspace) const;

private:
    enum class timer_kind { deadline, attempt_timeout, retry };
    struct timer {
        time_point due;
        timer_kind kind = timer_kind::deadline;
        job_key key;
        std::uint64_t attempt_or_task = 0;  ///< attempt id, or index of the task to retry
        bool operator>(const timer& other) const { return due > other.due; }
    };

    std::optional<refusal> check_configuration(const job_request& request, time_point now) const;
    void run_timer(const timer& expired, time_point now);
    void finish_attempt(const attempt_result& result, time_point now);
    void on_success(job& parent_job, std::uint32_t task, std::string body, time_point now);
    void on_failure(job& parent_job, const attempt& failed, const attempt_result& result, time_point now);
    void abandon_running(job& parent_job, task_state& task, retry_reason reason);
    void answer(job& parent_job, job_outcome outcome, time_point now);

    configuration::bundle m_bundle;
    std::unordered_map<job_key, std::unique_ptr<job>> m_jobs;
    std::unordered_map<attempt_id, attempt> m_attempts;
    std::map<workspace_id, std::size_t> m_workspace_tasks;
    std::priority_queue<timer, std::vector<timer>, std::greater<>> m_timers;
    attempt_id m_last_attempt;
    std::vector<action> m_actions;
};

}  // namespace poplarshed::dispatch

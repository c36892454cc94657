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

/// Life of jobs and attempts, common to every policy: results, verdicts, retries, deadlines, cancellation.
/// A policy decides on admission, placement and retry delays through the protected functions.
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
    /// Refuses a job that the policy cannot finish in time; services, workspaces and quotas are already
    /// checked.
    virtual std::optional<refusal> admit(const job_request& request, time_point now) const = 0;
    /// The job, or a task of it after a failed attempt, waits for a slot.
    virtual void on_tasks_queued(job& parent_job, time_point now) = 0;
    /// The job leaves; its waiting tasks need no slot any more.
    virtual void on_job_end(job& parent_job, time_point now) = 0;
    /// An attempt left its runner.
    virtual void on_attempt_end(const attempt& ended, const attempt_result& result, time_point now) = 0;
    /// Time to wait before the task is tried again; nothing to fail its job instead.
    virtual std::optional<duration> retry_delay(const job& parent_job, const task_state& task,
                                                time_point now) = 0;
    /// Starts what can be started.
    virtual void place_tasks(time_point now) = 0;
    /// Runs timers of the policy.
    virtual void on_policy_timer(time_point now) = 0;
    /// The task failed on enough healthy runners to blame the task.
    virtual bool is_faulty(const task_state& task) const = 0;
    virtual void on_bundle(time_point now) = 0;

    /// Starts a task that was taken with job::take_next, or a hedge of a running one.
    attempt_id start(job& parent_job, std::uint32_t task, runner_index runner, const endpoint& address,
                     time_point now, double expected_seconds = 0.0);
    /// Ends a job with a refusal if no task of it started, else with a failure.
    void fail(job& parent_job, refusal_reason reason, std::optional<std::uint32_t> task, time_point now);
    void fail_after_attempts_end(job& parent_job, refusal_reason reason, std::uint32_t task, time_point now);
    void finish_failed_job(job& parent_job, time_point now);
    void count(retry_reason reason, const service_id& service);
    void emit(action next) { m_actions.push_back(std::move(next)); }
    std::vector<action> take_actions();

    const configuration::bundle& bundle() const { return m_bundle; }
    const attempt* find_attempt(attempt_id id) const;
    const std::unordered_map<job_key, std::unique_ptr<job>>& jobs() const { return m_jobs; }
    /// Tasks admitted and not finished.
    std::size_t tasks_in_flight(const workspace_id& workspace) const;

private:
    enum class timer_kind { deadline, attempt_timeout, retry };
    struct timer {
        time_point due;
        timer_kind kind = timer_kind::deadline;
        job_key key;
        std::uint64_t attempt_or_task = 0;  ///< attempt id or task
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

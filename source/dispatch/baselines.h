#pragma once

#include <deque>
#include <map>
#include <set>
#include <vector>

#include "dispatch/job_engine.h"

namespace poplarshed::dispatch {

/// Common base of the baseline policies: jobs are queued in order of arrival (ascending keys) and failed
/// tasks are retried without delay.
class baseline : public job_engine {
public:
    std::vector<action> set_runners(const std::vector<runner>& runners, time_point now) override;
    std::vector<action> set_peers(std::size_t index, std::size_t count, time_point now) override;

protected:
    struct runner_entry {
        runner listed;
        std::uint32_t in_flight = 0;
        bool usable = true;            ///< listed by the platform and not leaving
        bool leave_announced = false;  ///< by a response; reset when the platform drops the runner
    };

    /// Chooses a runner for the next task of the service; nothing if the task has to wait.
    virtual std::optional<runner_index> choose(const service_id& service) = 0;

    const std::vector<runner_entry>& runners() const { return m_runners; }
    /// Usable runners that offer the service, in order of their indices.
    const std::vector<runner_index>& runners_of(const service_id& service) const;
    std::size_t peers() const { return m_peers; }

    std::optional<refusal> admit(const job_request& request, time_point now) const override;
    void on_tasks_queued(job& parent_job, time_point now) override;
    void on_job_end(job& parent_job, time_point now) override;
    void on_attempt_end(const attempt& ended, const attempt_result& result, time_point now) override;
    std::optional<duration> retry_delay(const job& parent_job, const task_state& task,
                                        time_point now) override;
    void place_tasks(time_point now) override;
    void on_policy_timer(time_point now) override;
    bool is_faulty(const task_state& task) const override;
    void on_bundle(time_point now) override;

private:
    void index_services();

    std::vector<runner_entry> m_runners;
    std::map<endpoint, runner_index> m_by_address;
    std::map<service_id, std::vector<runner_index>> m_by_service;
    std::map<service_id, std::set<job_key>> m_waiting;
    std::size_t m_peers = 1;
};

/// Baseline: sends each task to a random runner, without admission control or concurrency limits.
class random_choice : public baseline {
public:
    explicit random_choice(std::uint64_t seed) : m_random(seed) {}

protected:
    std::optional<runner_index> choose(const service_id& service) override;

private:
    random_source m_random;
};

/// Baseline: round robin with a static concurrency limit for each runner, its slots divided by the number of
/// entry instances.
class round_robin_static : public baseline {
protected:
    std::optional<runner_index> choose(const service_id& service) override;

private:
    std::map<service_id, std::size_t> m_next;
};

}  // namespace poplarshed::dispatch

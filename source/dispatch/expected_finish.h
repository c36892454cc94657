#pragma once

#include <deque>
#include <map>
#include <memory>
#include <queue>
#include <vector>

#include "dispatch/budget.h"
#include "dispatch/fair_queue.h"
#include "dispatch/job_engine.h"
#include "dispatch/runner_table.h"
#include "dispatch/slot_ledger.h"

namespace poplarshed::dispatch {

/// Policy that admits only jobs that are expected to meet their deadline, shares slots fairly between
/// workspaces, and places each task on the runner where it is expected to finish first.
class expected_finish : public job_engine {
public:
    expected_finish(std::uint64_t seed, const policy_options& options);

    std::vector<action> set_runners(const std::vector<runner>& runners, time_point now) override;
    std::vector<action> set_peers(std::size_t index, std::size_t count, time_point now) override;
    std::vector<action> on_slot_demand(const slot_demand& message, time_point now) override;
    std::vector<action> on_slot_grant(const slot_grant& message, time_point now) override;

protected:
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
    /// An attempt in flight that is hedged once its run time exceeds a high quantile of the service.
    struct hedge_candidate {
        attempt_id id;
        time_point started;
    };
    /// An abandoned attempt that is expected to occupy its runner's slot until `busy_until`.
    struct abandoned_attempt {
        time_point busy_until;
        attempt ended;
        bool operator>(const abandoned_attempt& other) const { return busy_until > other.busy_until; }
    };

    std::optional<refusal> check_deadline(const job_request& request, service_index service,
                                          const workspace_entry& workspace, time_point now) const;
    /// Expected seconds until the end of a job of `tasks` tasks that is admitted now.
    double time_to_finish(std::size_t tasks, service_index service, const workspace_entry& workspace) const;
    /// Sort key of a job among the waiting jobs of its workspace, in seconds of the clock; the lowest goes
    /// first.
    double queue_order(const job& parent_job, service_index service, time_point now) const;
    /// True if a task of the queue can start now.
    bool is_ready(const class_queue& queue) const;
    /// Runner for the next task of the first job in the queue; nothing if the task should wait.
    std::optional<runner_index> choose_runner(const class_queue& queue) const;
    /// Longest expected run time, in seconds, for which a waiting task takes an idle slot instead of waiting
    /// for a faster one.
    double longest_acceptable_run(service_index service) const;
    /// Idle fast slots that are reserved for small jobs.
    slot_ledger::reserve small_job_reserve(service_index service) const;
    bool is_small(const job& parent_job, service_index service) const;
    /// True if even short runs of the waiting tasks would end after the deadline.
    bool cannot_meet_deadline(const job& parent_job, time_point now) const;
    /// Starts the next task of the first job in the queue.
    void start_next(class_queue& queue, time_point now);
    /// Frees the slot of an attempt and updates the estimates.
    void release(const attempt& ended, const attempt_result& result, time_point now);
    void start_hedges(service_index service, std::deque<hedge_candidate>& candidates, time_point now);
    /// @returns false if the hedge has to wait for a slot or for budget; true if it was started or is no
    /// longer
    ///     needed
    bool start_hedge(const attempt& slow, service_index service, time_point now);
    /// Returns borrowed slots that are needed elsewhere, and reports demand.
    void share_slots(time_point now);
    void send_demand(time_point now);
    /// Returns idle borrowed slots; see slot_ledger::return_borrowed.
    void return_slots(bool only_if_wanted);
    void lend_to(std::uint32_t peer, const service_demand& demand);
    /// Lends idle slots beyond the target of this instance to the peer furthest below its own target.
    void lend_surplus();
    std::vector<service_demand> unmet_demand() const;

    std::unique_ptr<slot_sharing> m_sharing;
    runner_table m_runners;
    fair_queue m_queue;
    slot_ledger m_ledger;
    budget m_retries;
    budget m_hedges;
    random_source m_random;
    std::map<service_id, service_index> m_services;
    std::map<service_index, std::deque<hedge_candidate>> m_hedge_candidates;
    std::priority_queue<abandoned_attempt, std::vector<abandoned_attempt>, std::greater<>> m_abandoned;
    time_point m_last_demand;
    bool m_demand_reported = false;
};

}  // namespace poplarshed::dispatch

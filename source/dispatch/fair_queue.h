#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "dispatch/job.h"
#include "dispatch/runner_table.h"

namespace poplarshed::dispatch {

/// Jobs of one service and workspace that have waiting tasks. Small jobs form a class of their own, so that
/// they do not wait behind a large job for a slot that only they may use.
struct class_queue {
    service_index service = 0;
    bool small = false;
    struct workspace_entry* workspace = nullptr;
    std::set<std::pair<double, job*>> jobs;  ///< by job::order
    double first = 0.0;                      ///< order of the first job, as in workspace_entry::backlog
    std::size_t waiting = 0;                 ///< tasks
};

/// One workspace and what it holds.
struct workspace_entry {
    workspace_id id;
    double weight = 1.0;
    double guaranteed = 0.0;
    std::map<std::pair<service_index, bool>, class_queue> queues;  ///< by service and size
    /// Classes with waiting tasks, by the order of their first jobs.
    std::set<std::pair<double, class_queue*>> backlog;
    std::size_t waiting = 0;    ///< tasks
    std::size_t in_flight = 0;  ///< attempts
    double deficit = 0.0;       ///< seconds of slot time that the workspace may still take in this round
    bool active = false;
    double local_share = 1.0;  ///< part of the workspace's work in the data centre that is at this instance
    bool last_served_small = false;  ///< the last task was one of a small job
    std::list<workspace_entry*>::iterator position;
};

/// Waiting jobs of all workspaces. Chooses whose task starts next: workspaces below their guaranteed share
/// first, then deficit round robin by weight; within a workspace small and large jobs in turn, each kind by
/// job::order. A cost is the expected time for which a task holds its slot, in seconds.
class fair_queue {
public:
    using ready_check = std::function<bool(const class_queue&)>;

    void configure(const std::map<workspace_id, configuration::workspace>& workspaces);
    /// Class of a job; sets job::owner.
    class_queue& assign_queue(job& queued_job, service_index service, bool small);
    /// Adds a job with waiting tasks, or counts the tasks added to one that is already in the queue.
    void add(job& queued_job, std::size_t new_tasks);
    /// Takes a job out; does nothing if it is not queued.
    void remove(job& queued_job);
    /// Class that may start a task now, whose first job is the one to serve.
    class_queue* choose(const ready_check& ready, double slots);
    /// Takes one task of the first job of the class.
    std::pair<job*, std::uint32_t> pop_task(class_queue& queue, double cost);
    void attempt_ended(class_queue& queue, double expected_cost, double actual_cost);

    /// Part of the data centre that the workspace may claim if every workspace has work.
    double entitled_share(const workspace_id& workspace) const;
    void set_local_share(const workspace_id& workspace, double local_share);
    /// Workspaces with waiting tasks.
    std::vector<workspace_demand> demand() const;

    bool empty() const { return m_waiting == 0; }
    std::size_t waiting() const { return m_waiting; }
    std::size_t waiting(service_index service) const;
    const workspace_entry* find(const workspace_id& workspace) const;
    /// Part of the slots that the workspace gets while every workspace that has work now wants more.
    double active_share(const workspace_entry& workspace) const;

private:
    void activate(workspace_entry& workspace);
    void deactivate(workspace_entry& workspace);
    void remove_waiting(class_queue& queue, std::size_t tasks);
    void reorder(class_queue& queue);
    class_queue* first_ready(workspace_entry& workspace, const ready_check& ready) const;
    class_queue* choose_guaranteed(const ready_check& ready, double slots);
    class_queue* choose_in_turn(const ready_check& ready);
    double quantum(const workspace_entry& workspace) const;

    std::map<workspace_id, workspace_entry> m_workspaces;
    double m_all_weights = 1.0;
    double m_all_guarantees = 0.0;
    std::list<workspace_entry*> m_active;
    std::list<workspace_entry*>::iterator m_next_workspace = m_active.end();
    std::vector<workspace_entry*> m_guaranteed;  ///< active workspaces with a guaranteed share
    std::vector<std::size_t> m_service_waiting;
    std::size_t m_waiting = 0;
    double m_active_weight = 0.0;
    double m_active_guarantee = 0.0;
    double m_min_weight = 1.0;
    double m_max_cost = 0.01;  ///< longest expected run so far, in seconds
};

}  // namespace poplarshed::dispatch

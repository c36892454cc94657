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

/// Jobs with waiting tasks of one class: one service, one workspace, and either small or large jobs. Small
/// jobs have a queue of their own, so that they do not wait behind a large job for a slot that only small
/// jobs may use.
struct class_queue {
    service_index service = 0;
    bool small = false;
    struct workspace_entry* workspace = nullptr;
    std::set<std::pair<double, job*>> jobs;  ///< by job::order
    double first = 0.0;       ///< key of the first job, under which workspace_entry::backlog holds the queue
    std::size_t waiting = 0;  ///< tasks
};

/// Settings, queues and use of slots of one workspace.
struct workspace_entry {
    workspace_id id;
    double weight = 1.0;
    double guaranteed = 0.0;
    std::map<std::pair<service_index, bool>, class_queue> queues;  ///< by service and size
    /// Queues with waiting tasks, by job::order of their first jobs.
    std::set<std::pair<double, class_queue*>> backlog;
    std::size_t waiting = 0;    ///< tasks
    std::size_t in_flight = 0;  ///< attempts
    double deficit = 0.0;       ///< seconds of slot time that the workspace may still use in this round
    bool active = false;
    double local_share = 1.0;  ///< part of the workspace's tasks in the data centre that are at this instance
    bool last_served_small = false;  ///< the task that was taken last belongs to a small job
    std::list<workspace_entry*>::iterator position;
};

/// Waiting jobs of all workspaces. Chooses the task that starts next: workspaces below their guaranteed share
/// first, then deficit round robin by weight. Within a workspace small and large jobs alternate, each kind by
/// job::order. The cost of a task is the time for which it is expected to occupy its slot, in seconds.
class fair_queue {
public:
    /// Returns whether a task of the queue can start now.
    using ready_check = std::function<bool(const class_queue&)>;

    /// Applies weights and guaranteed shares.
    void configure(const std::map<workspace_id, configuration::workspace>& workspaces);
    /// Finds the queue of a job and sets job::queue.
    class_queue& assign_queue(job& queued_job, service_index service, bool small);
    /// Adds a job with waiting tasks, or counts the tasks added to one that is already in the queue.
    void add(job& queued_job, std::size_t new_tasks);
    /// Removes a job; does nothing if it is not queued.
    void remove(job& queued_job);
    /// Queue whose first job starts a task next; nothing if no queue is ready.
    /// @param slots number of slots to which guaranteed shares refer
    class_queue* choose(const ready_check& ready, double slots);
    /// Removes the next task of the first job in the queue and charges its cost to the workspace.
    std::pair<job*, std::uint32_t> pop_task(class_queue& queue, double cost);
    /// Frees the slot and corrects the deficit by the difference of expected and actual cost, in seconds.
    void attempt_ended(class_queue& queue, double expected_cost, double actual_cost);

    /// Part of the data centre's slots to which the workspace is entitled if every workspace has work.
    double entitled_share(const workspace_id& workspace) const;
    /// Sets the part of the workspace's tasks in the data centre that are at this instance.
    void set_local_share(const workspace_id& workspace, double local_share);
    /// Workspaces with waiting tasks, and the number of their waiting and running tasks.
    std::vector<workspace_demand> demand() const;

    bool empty() const { return m_waiting == 0; }
    std::size_t waiting() const { return m_waiting; }
    std::size_t waiting(service_index service) const;
    const workspace_entry* find(const workspace_id& workspace) const;
    /// Part of the slots that the workspace gets if every workspace that has waiting tasks now needs more
    /// slots.
    double active_share(const workspace_entry& workspace) const;

private:
    void activate(workspace_entry& workspace);
    void deactivate(workspace_entry& workspace);
    void remove_waiting(class_queue& queue, std::size_t tasks);
    /// Updates the key of the queue in the backlog of its workspace.
    void reorder(class_queue& queue);
    /// First ready queue of the workspace; small and large jobs alternate.
    class_queue* first_ready(workspace_entry& workspace, const ready_check& ready) const;
    /// Ready queue of the workspace that uses the smallest part of its guaranteed share; null if all use
    /// theirs.
    class_queue* choose_guaranteed(const ready_check& ready, double slots);
    /// Ready queue by deficit round robin.
    class_queue* choose_in_turn(const ready_check& ready);
    /// Seconds of slot time that a workspace gets in each round.
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
    double m_min_weight = 1.0;  ///< of all workspaces
    double m_max_cost = 0.01;   ///< longest expected run so far, in seconds
};

}  // namespace poplarshed::dispatch

#include "dispatch/fair_queue.h"

#include <algorithm>
#include <iterator>

namespace poplarshed::dispatch {

namespace {

/// Greatest negative deficit, in rounds, that a workspace accumulates for tasks that ran longer than
/// expected.
constexpr double max_debt_rounds = 4.0;
constexpr double min_weight = 1e-3;
/// Bounds the number of rounds that a workspace with few of its tasks at this instance waits for its turn.
constexpr double min_local_share = 0.05;

}  // namespace

void fair_queue::configure(const std::map<workspace_id, configuration::workspace>& workspaces)
{
    m_min_weight = 1e9;
    m_all_weights = m_all_guarantees = 0.0;
    for (const auto& [id, settings] : workspaces) {
        workspace_entry& workspace = m_workspaces[id];
        const bool active = workspace.active;
        if (active) {
            deactivate(workspace);
        }
        workspace.weight = std::max(settings.weight, min_weight);
        workspace.guaranteed = settings.guaranteed_share;
        workspace.id = id;
        m_all_weights += workspace.weight;
        m_all_guarantees += workspace.guaranteed;
        m_min_weight = std::min(m_min_weight, workspace.weight);
        if (active) {
            activate(workspace);
        }
    }
}

class_queue& fair_queue::assign_queue(job& queued_job, service_index service, bool small)
{
    workspace_entry& workspace = m_workspaces[queued_job.request.workspace];
    class_queue& queue = workspace.queues[{service, small}];
    queue.service = service;
    queue.small = small;
    queue.workspace = &workspace;
    queued_job.queue = &queue;
    if (m_service_waiting.size() <= service) {
        m_service_waiting.resize(service + 1, 0);
    }
    return queue;
}

void fair_queue::add(job& queued_job, std::size_t new_tasks)
{
    class_queue& queue = *queued_job.queue;
    queue.jobs.emplace(queued_job.order, &queued_job);
    queue.waiting += new_tasks;
    queue.workspace->waiting += new_tasks;
    m_waiting += new_tasks;
    m_service_waiting[queue.service] += new_tasks;
    reorder(queue);
    if (!queue.workspace->active) {
        activate(*queue.workspace);
    }
}

void fair_queue::reorder(class_queue& queue)
{
    auto& backlog = queue.workspace->backlog;
    if (!queue.jobs.empty() && queue.jobs.begin()->first == queue.first) {
        backlog.emplace(queue.first, &queue);
        return;
    }
    backlog.erase({queue.first, &queue});
    if (!queue.jobs.empty()) {
        queue.first = queue.jobs.begin()->first;
        backlog.emplace(queue.first, &queue);
    }
}

void fair_queue::remove_waiting(class_queue& queue, std::size_t tasks)
{
    queue.waiting -= tasks;
    queue.workspace->waiting -= tasks;
    m_waiting -= tasks;
    m_service_waiting[queue.service] -= tasks;
    reorder(queue);
    if (queue.workspace->backlog.empty() && queue.workspace->active) {
        deactivate(*queue.workspace);
        queue.workspace->deficit = std::min(queue.workspace->deficit, 0.0);
    }
}

void fair_queue::remove(job& queued_job)
{
    class_queue& queue = *queued_job.queue;
    if (queue.jobs.erase({queued_job.order, &queued_job}) > 0) {
        remove_waiting(queue, queued_job.waiting());
    }
}

void fair_queue::activate(workspace_entry& workspace)
{
    workspace.active = true;
    m_active.push_back(&workspace);
    workspace.position = std::prev(m_active.end());
    m_active_weight += workspace.weight;
    m_active_guarantee += workspace.guaranteed;
    if (workspace.guaranteed > 0.0) {
        m_guaranteed.push_back(&workspace);
    }
}

void fair_queue::deactivate(workspace_entry& workspace)
{
    workspace.active = false;
    if (m_next_workspace == workspace.position) {
        ++m_next_workspace;
    }
    m_active.erase(workspace.position);
    m_active_weight -= workspace.weight;
    m_active_guarantee -= workspace.guaranteed;
    std::erase(m_guaranteed, &workspace);
}

double fair_queue::quantum(const workspace_entry& workspace) const
{
    return m_max_cost * workspace.weight * workspace.local_share / m_min_weight;
}

double fair_queue::entitled_share(const workspace_id& workspace) const
{
    const workspace_entry* found = find(workspace);
    if (found == nullptr) {
        return 0.0;
    }
    return found->guaranteed + std::max(0.0, 1.0 - m_all_guarantees) * found->weight / m_all_weights;
}

void fair_queue::set_local_share(const workspace_id& workspace, double local_share)
{
    const auto found = m_workspaces.find(workspace);
    if (found != m_workspaces.end()) {
        found->second.local_share = std::clamp(local_share, min_local_share, 1.0);
    }
}

std::vector<workspace_demand> fair_queue::demand() const
{
    std::vector<workspace_demand> workspaces;
    for (const workspace_entry* workspace : m_active) {
        workspaces.push_back(
            {workspace->id, static_cast<std::uint32_t>(workspace->waiting + workspace->in_flight)});
    }
    return workspaces;
}

class_queue* fair_queue::first_ready(workspace_entry& workspace, const ready_check& ready) const
{
    class_queue* other = nullptr;
    for (const auto& [order, queue] : workspace.backlog) {
        if (queue->small == workspace.last_served_small && other != nullptr) {
            continue;
        }
        if (!ready(*queue)) {
            continue;
        }
        if (queue->small != workspace.last_served_small) {
            return queue;
        }
        other = queue;
    }
    return other;
}

class_queue* fair_queue::choose_guaranteed(const ready_check& ready, double slots)
{
    class_queue* best = nullptr;
    double lowest_use = 1.0;
    for (workspace_entry* workspace : m_guaranteed) {
        const double used =
            static_cast<double>(workspace->in_flight) / std::max(workspace->guaranteed * slots, 1.0);
        class_queue* queue = used < lowest_use ? first_ready(*workspace, ready) : nullptr;
        if (queue != nullptr) {
            best = queue;
            lowest_use = used;
        }
    }
    return best;
}

class_queue* fair_queue::choose_in_turn(const ready_check& ready)
{
    while (true) {
        class_queue* only = nullptr;
        std::size_t found = 0;
        for (std::size_t visited = 0, count = m_active.size(); visited < count; ++visited) {
            if (m_next_workspace == m_active.end()) {
                m_next_workspace = m_active.begin();
            }
            workspace_entry& workspace = **m_next_workspace;
            class_queue* queue = first_ready(workspace, ready);
            if (queue != nullptr && workspace.deficit > 0.0) {
                return queue;
            }
            if (queue != nullptr) {
                workspace.deficit += quantum(workspace);
                only = queue;
                ++found;
            }
            ++m_next_workspace;
        }
        if (found == 0) {
            return nullptr;
        }
        if (found == 1) {
            // No other workspace can use a slot now, so the deficits need not be compared.
            only->workspace->deficit = std::max(only->workspace->deficit, 0.0);
            return only;
        }
    }
}

class_queue* fair_queue::choose(const ready_check& ready, double slots)
{
    if (m_active.empty()) {
        return nullptr;
    }
    class_queue* queue = m_guaranteed.empty() ? nullptr : choose_guaranteed(ready, slots);
    return queue != nullptr ? queue : choose_in_turn(ready);
}

std::pair<job*, std::uint32_t> fair_queue::pop_task(class_queue& queue, double cost)
{
    job& queued_job = *queue.jobs.begin()->second;
    const std::uint32_t task = queued_job.pop_next_task();
    if (queued_job.waiting() == 0) {
        queue.jobs.erase(queue.jobs.begin());
    }
    m_max_cost = std::max(m_max_cost, cost);
    queue.workspace->deficit -= cost;
    queue.workspace->last_served_small = queue.small;
    ++queue.workspace->in_flight;
    remove_waiting(queue, 1);
    return {&queued_job, task};
}

void fair_queue::attempt_ended(class_queue& queue, double expected_cost, double actual_cost)
{
    workspace_entry& workspace = *queue.workspace;
    --workspace.in_flight;
    const double floor = -max_debt_rounds * quantum(workspace);
    workspace.deficit =
        std::max(workspace.deficit + expected_cost - actual_cost, std::min(workspace.deficit, floor));
}

std::size_t fair_queue::waiting(service_index service) const
{
    return service < m_service_waiting.size() ? m_service_waiting[service] : 0;
}

const workspace_entry* fair_queue::find(const workspace_id& workspace) const
{
    const auto found = m_workspaces.find(workspace);
    return found == m_workspaces.end() ? nullptr : &found->second;
}

double fair_queue::active_share(const workspace_entry& workspace) const
{
    const double weights = m_active_weight + (workspace.active ? 0.0 : workspace.weight);
    const double guarantees = m_active_guarantee + (workspace.active ? 0.0 : workspace.guaranteed);
    return workspace.guaranteed + std::max(0.0, 1.0 - guarantees) * workspace.weight / weights;
}

}  // namespace poplarshed::dispatch

#include "dispatch/fair_queue.h"

#include <algorithm>
#include <iterator>

namespace poplarshed::dispatch {

namespace {

/// Rounds of debt that a team carries, for tasks that ran longer than expected.
constexpr double max_debt_rounds = 4.0;
constexpr double min_weight = 1e-3;
/// Bounds the rounds until a team with little work here has its turn.
constexpr double min_local_share = 0.05;

}  // namespace

void fair_queue::configure(const std::map<team_id, configuration::team>& teams)
{
    m_min_weight = 1e9;
    m_all_weights = m_all_guarantees = 0.0;
    for (const auto& [id, settings] : teams) {
        team_entry& team = m_teams[id];
        const bool active = team.active;
        if (active) {
            deactivate(team);
        }
        team.weight = std::max(settings.weight, min_weight);
        team.guaranteed = settings.guaranteed_share;
        team.id = id;
        m_all_weights += team.weight;
        m_all_guarantees += team.guaranteed;
        m_min_weight = std::min(m_min_weight, team.weight);
        if (active) {
            activate(team);
        }
    }
}

class_queue& fair_queue::assign_queue(job& queued_job, service_index service, bool small)
{
    team_entry& team = m_teams[queued_job.request.team];
    class_queue& queue = team.queues[{service, small}];
    queue.service = service;
    queue.small = small;
    queue.team = &team;
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
    queue.team->waiting += new_tasks;
    m_waiting += new_tasks;
    m_service_waiting[queue.service] += new_tasks;
    reorder(queue);
    if (!queue.team->active) {
        activate(*queue.team);
    }
}

void fair_queue::reorder(class_queue& queue)
{
    auto& backlog = queue.team->backlog;
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
    queue.team->waiting -= tasks;
    m_waiting -= tasks;
    m_service_waiting[queue.service] -= tasks;
    reorder(queue);
    if (queue.team->backlog.empty() && queue.team->active) {
        deactivate(*queue.team);
        queue.team->deficit = std::min(queue.team->deficit, 0.0);
    }
}

void fair_queue::remove(job& queued_job)
{
    class_queue& queue = *queued_job.queue;
    if (queue.jobs.erase({queued_job.order, &queued_job}) > 0) {
        remove_waiting(queue, queued_job.waiting());
    }
}

void fair_queue::activate(team_entry& team)
{
    team.active = true;
    m_active.push_back(&team);
    team.position = std::prev(m_active.end());
    m_active_weight += team.weight;
    m_active_guarantee += team.guaranteed;
    if (team.guaranteed > 0.0) {
        m_guaranteed.push_back(&team);
    }
}

void fair_queue::deactivate(team_entry& team)
{
    team.active = false;
    if (m_next_team == team.position) {
        ++m_next_team;
    }
    m_active.erase(team.position);
    m_active_weight -= team.weight;
    m_active_guarantee -= team.guaranteed;
    std::erase(m_guaranteed, &team);
}

double fair_queue::quantum(const team_entry& team) const
{
    return m_max_cost * team.weight * team.local_share / m_min_weight;
}

double fair_queue::entitled_share(const team_id& team) const
{
    const team_entry* found = find(team);
    if (found == nullptr) {
        return 0.0;
    }
    return found->guaranteed + std::max(0.0, 1.0 - m_all_guarantees) * found->weight / m_all_weights;
}

void fair_queue::set_local_share(const team_id& team, double local_share)
{
    const auto found = m_teams.find(team);
    if (found != m_teams.end()) {
        found->second.local_share = std::clamp(local_share, min_local_share, 1.0);
    }
}

std::vector<team_demand> fair_queue::demand() const
{
    std::vector<team_demand> teams;
    for (const team_entry* team : m_active) {
        teams.push_back({team->id, static_cast<std::uint32_t>(team->waiting + team->in_flight)});
    }
    return teams;
}

class_queue* fair_queue::first_ready(team_entry& team, const ready_check& ready) const
{
    class_queue* other = nullptr;
    for (const auto& [order, queue] : team.backlog) {
        if (queue->small == team.last_served_small && other != nullptr) {
            continue;
        }
        if (!ready(*queue)) {
            continue;
        }
        if (queue->small != team.last_served_small) {
            return queue;
        }
        other = queue;
    }
    return other;
}

class_queue* fair_queue::choose_guaranteed(const ready_check& ready, double slots)
{
    class_queue* best = nullptr;
    double least = 1.0;
    for (team_entry* team : m_guaranteed) {
        const double used = static_cast<double>(team->in_flight) / std::max(team->guaranteed * slots, 1.0);
        class_queue* queue = used < least ? first_ready(*team, ready) : nullptr;
        if (queue != nullptr) {
            best = queue;
            least = used;
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
            if (m_next_team == m_active.end()) {
                m_next_team = m_active.begin();
            }
            team_entry& team = **m_next_team;
            class_queue* queue = first_ready(team, ready);
            if (queue != nullptr && team.deficit > 0.0) {
                return queue;
            }
            if (queue != nullptr) {
                team.deficit += quantum(team);
                only = queue;
                ++found;
            }
            ++m_next_team;
        }
        if (found == 0) {
            return nullptr;
        }
        if (found == 1) {
            // Nobody else can use the slot: the round is of no consequence.
            only->team->deficit = std::max(only->team->deficit, 0.0);
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
    queue.team->deficit -= cost;
    queue.team->last_served_small = queue.small;
    ++queue.team->in_flight;
    remove_waiting(queue, 1);
    return {&queued_job, task};
}

void fair_queue::attempt_ended(class_queue& queue, double expected_cost, double actual_cost)
{
    team_entry& team = *queue.team;
    --team.in_flight;
    const double floor = -max_debt_rounds * quantum(team);
    team.deficit = std::max(team.deficit + expected_cost - actual_cost, std::min(team.deficit, floor));
}

std::size_t fair_queue::waiting(service_index service) const
{
    return service < m_service_waiting.size() ? m_service_waiting[service] : 0;
}

const team_entry* fair_queue::find(const team_id& team) const
{
    const auto found = m_teams.find(team);
    return found == m_teams.end() ? nullptr : &found->second;
}

double fair_queue::active_share(const team_entry& team) const
{
    const double weights = m_active_weight + (team.active ? 0.0 : team.weight);
    const double guarantees = m_active_guarantee + (team.active ? 0.0 : team.guaranteed);
    return team.guaranteed + std::max(0.0, 1.0 - guarantees) * team.weight / weights;
}

}  // namespace poplarshed::dispatch

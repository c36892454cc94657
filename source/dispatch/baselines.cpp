#include "dispatch/baselines.h"

#include <algorithm>

namespace poplarshed::dispatch {

std::vector<action> baseline::set_runners(const std::vector<runner>& runners, time_point now)
{
    std::vector<bool> seen(m_runners.size() + runners.size(), false);
    for (const runner& listed : runners) {
        const auto next = static_cast<runner_index>(m_runners.size());
        const auto [position, added] = m_by_address.emplace(listed.address, next);
        if (added) {
            m_runners.emplace_back();
        }
        seen[position->second] = true;
        runner_entry& entry = m_runners[position->second];
        entry.listed = listed;
        entry.usable = !listed.leaving && !entry.leave_announced;
    }
    for (runner_index i = 0; i < m_runners.size(); ++i) {
        m_runners[i].usable = m_runners[i].usable && seen[i];
        m_runners[i].leave_announced = m_runners[i].leave_announced && seen[i];
    }
    index_services();
    place_tasks(now);
    return take_actions();
}

std::vector<action> baseline::set_peers(std::size_t /*index*/, std::size_t count, time_point now)
{
    m_peers = std::max<std::size_t>(count, 1);
    place_tasks(now);
    return take_actions();
}

void baseline::index_services()
{
    m_by_service.clear();
    for (runner_index i = 0; i < m_runners.size(); ++i) {
        if (!m_runners[i].usable) {
            continue;
        }
        for (const service_id& service : m_runners[i].listed.services) {
            m_by_service[service].push_back(i);
        }
    }
}

const std::vector<runner_index>& baseline::runners_of(const service_id& service) const
{
    static const std::vector<runner_index> none;
    const auto found = m_by_service.find(service);
    return found == m_by_service.end() ? none : found->second;
}

std::optional<refusal> baseline::admit(const job_request& /*request*/, time_point /*now*/) const
{
    return std::nullopt;
}

void baseline::on_tasks_queued(job& parent_job, time_point /*now*/)
{
    m_waiting[parent_job.request.service].insert(parent_job.request.key);
}

void baseline::on_job_end(job& parent_job, time_point /*now*/)
{
    m_waiting[parent_job.request.service].erase(parent_job.request.key);
}

void baseline::on_attempt_end(const attempt& ended, const attempt_result& result, time_point /*now*/)
{
    runner_entry& entry = m_runners[ended.runner];
    --entry.in_flight;
    if (result.runner_leaving && entry.usable) {
        entry.usable = false;
        entry.leave_announced = true;
        index_services();
    }
}

std::optional<duration> baseline::retry_delay(const job& /*parent_job*/, const task_state& /*task*/,
                                              time_point /*now*/)
{
    return duration::zero();
}

void baseline::place_tasks(time_point now)
{
    for (auto& [service, keys] : m_waiting) {
        while (!keys.empty()) {
            const auto chosen = choose(service);
            if (!chosen) {
                break;
            }
            job& parent_job = *jobs().at(*keys.begin());
            const std::uint32_t task = parent_job.pop_next_task();
            ++m_runners[*chosen].in_flight;
            start(parent_job, task, *chosen, m_runners[*chosen].listed.address, now);
            if (parent_job.waiting() == 0) {
                keys.erase(keys.begin());
            }
        }
    }
}

void baseline::on_policy_timer(time_point /*now*/) {}

bool baseline::is_faulty(const task_state& /*task*/) const
{
    return false;
}

void baseline::on_bundle(time_point /*now*/) {}

std::optional<runner_index> random_choice::choose(const service_id& service)
{
    const auto& candidates = runners_of(service);
    if (candidates.empty()) {
        return std::nullopt;
    }
    return candidates[m_random.below(candidates.size())];
}

std::optional<runner_index> round_robin_static::choose(const service_id& service)
{
    const auto& candidates = runners_of(service);
    std::size_t& next = m_next[service];
    for (std::size_t tried = 0; tried < candidates.size(); ++tried) {
        const runner_index index = candidates[next++ % candidates.size()];
        const runner_entry& entry = runners()[index];
        const auto limit =
            std::max<std::uint32_t>(entry.listed.slots / static_cast<std::uint32_t>(peers()), 1);
        if (entry.in_flight < limit) {
            return index;
        }
    }
    return std::nullopt;
}

}  // namespace poplarshed::dispatch

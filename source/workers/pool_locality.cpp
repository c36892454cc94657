#include <algorithm>

#include "workers/pool.h"

namespace poplarshed::workers {

bool pool::waits_for_rack(time_point now, job_record& job, std::uint32_t number, const worker_choice& choice,
                          std::size_t chosen)
{
    const job_step& step = step_of(job, number);
    const std::uint32_t index = ref_of(job, number).step;
    const milliseconds elsewhere = choice.candidates.at(chosen).duration;
    if (choice.rack.empty()) {
        report_rack(job, index, decision::rack_missing, elsewhere, elsewhere);
        return false;
    }
    if (choice.workers.at(chosen)->entry.has_label(step.preferred_label)) {
        return false;
    }
    if (!choice.near.empty()) {
        report_rack(job, index, decision::left_rack, choice.near.front().duration, elsewhere);
        return false;
    }
    if (!m_step_plan || m_step_plan->job != job.offer.job || m_step_plan->step != index) {
        plan_step(now, job, number, choice, elsewhere);
    }
    // The tasks that go elsewhere are started before the others wait, since a job whose task waits is not
    // looked at further.
    job.waits_for_rack = waiting_in_step(job, index) <= m_step_plan->plan.waiting;
    const milliseconds near = std::max(
        milliseconds(0), std::chrono::duration_cast<milliseconds>(m_step_plan->plan.first.end - now));
    report_rack(job, index, job.waits_for_rack ? decision::waits_for_rack : decision::left_rack, near,
                elsewhere);
    return job.waits_for_rack;
}

void pool::plan_step(time_point now, const job_record& job, std::uint32_t number, const worker_choice& choice,
                     milliseconds elsewhere)
{
    const job_step& step = step_of(job, number);
    const std::uint32_t index = ref_of(job, number).step;
    std::vector<near_worker> workers;
    for (const worker_record* worker : choice.rack) {
        workers.push_back({&forecast(now, *worker), expected_duration(now, *worker, step)});
    }
    const time_point due = job.objective_at - time_after(job.offer.steps, index) - reporting_time();
    m_step_plan = step_plan{
        job.offer.job, index,
        plan_wait(workers, step.need, waiting_in_step(job, index), {now, due, elsewhere, choice.scarce})};
}

room_forecast& pool::forecast(time_point now, const worker_record& worker)
{
    const auto known = m_forecasts.find(worker.entry.id);
    if (known != m_forecasts.end()) {
        return known->second;
    }
    std::vector<room_release> releases;
    for (const auto& [ref, run] : worker.runs) {
        releases.push_back({expected_run_end(now, run.sent, run.expected), run.need});
    }
    room_forecast created(now, worker.entry.capacity.minus(worker.used), std::move(releases));
    return m_forecasts.emplace(worker.entry.id, std::move(created)).first->second;
}

std::size_t pool::waiting_in_step(const job_record& job, std::uint32_t step)
{
    const auto first = job.tasks.begin() + job.first_task.at(step);
    return static_cast<std::size_t>(
        std::count_if(first, first + job.offer.steps.at(step).tasks,
                      [](const task_record& task) { return task.state == task_state::waiting; }));
}

void pool::report_rack(job_record& job, std::uint32_t step, decision kind, milliseconds near,
                       milliseconds elsewhere)
{
    if (job.rack_reports.emplace(step, kind).second) {
        record(kind, job.offer.job, {},
               "step " + std::to_string(step) + " prefers " + job.offer.steps.at(step).preferred_label, near,
               elsewhere);
    }
}

}  // namespace poplarshed::workers

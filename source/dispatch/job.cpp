#include "dispatch/job.h"

#include <algorithm>
#include <utility>

namespace poplarshed::dispatch {

std::size_t task_state::in_flight() const
{
    return static_cast<std::size_t>(
        std::count_if(running.begin(), running.end(), [](attempt_id id) { return id != attempt_id(); }));
}

void task_state::remove_running(attempt_id id)
{
    std::replace(running.begin(), running.end(), id, attempt_id());
}

job::job(job_request admitted, configuration::service service)
    : request(std::move(admitted)),
      settings(service),
      tasks(request.tasks.size()),
      results(request.tasks.size()),
      unfinished(request.tasks.size())
{}

std::uint32_t job::pop_next_task()
{
    std::uint32_t task = 0;
    if (retry_tasks.empty()) {
        task = next_unstarted++;
    } else {
        task = retry_tasks.back();
        retry_tasks.pop_back();
    }
    tasks[task].queued = false;
    return task;
}

verdict job::ran() const
{
    std::size_t ran_tasks = 0;
    bool uncertain = false;
    for (const task_state& task : tasks) {
        ran_tasks += task.ran == verdict::ran ? 1U : 0U;
        uncertain = uncertain || task.ran == verdict::may_have_run || task.in_flight() > 0;
    }
    if (ran_tasks == tasks.size()) {
        return verdict::ran;
    }
    return uncertain || ran_tasks > 0 ? verdict::may_have_run : verdict::not_run;
}

bool job::verdict_depends_on_in_flight() const
{
    return in_flight > 0 && std::all_of(tasks.begin(), tasks.end(),
                                        [](const task_state& task) { return task.ran == verdict::not_run; });
}

}  // namespace poplarshed::dispatch

#include <algorithm>

#include "workers/pool.h"

namespace poplarshed::workers {

namespace {

// A task under which this many workers have crashed is not started again (users' rules).
constexpr std::uint32_t max_crashes = 2;
// The same with silent workers counted. One more, since a cut looks the same.
constexpr std::uint32_t max_losses = max_crashes + 1;
// A crashed worker is back after some seconds, or its entry lapses after three heartbeats of 1.5 s.
constexpr milliseconds explanation_time{5000};
// One in this many workers may run suspected tasks, so that many of them at once leave most of the pool to
// the others.
constexpr std::size_t pool_share_for_suspects = 4;
// The same for tasks that are likely to crash their worker, while less than one part in min_free_share of the
// pool is free: a worker that is down for some seconds costs many other tasks their place then.
constexpr std::size_t pool_share_for_crashes = 8;
constexpr std::int64_t min_free_share = 4;
// A crashed worker is back or replaced within this time, or counts as lost.
constexpr milliseconds max_crash_downtime{4000};
// Longer than a task waits for its next start.
constexpr milliseconds explanation_retention{60'000};
// Suspected tasks of a job share its payload, so that they crash workers together.
constexpr std::ptrdiff_t max_isolated_per_job = 2;

std::string task_text(std::uint32_t step, std::uint32_t index)
{
    return "task " + std::to_string(step) + '.' + std::to_string(index);
}

}  // namespace

std::uint64_t pool::incarnation_of(const worker_record& worker)
{
    return worker.incarnation != 0 ? worker.incarnation : worker.entry.incarnation;
}

bool pool::has_announced_end(const worker_record& worker)
{
    return worker.entry.draining || worker.leaving_incarnation == incarnation_of(worker);
}

void pool::on_process_ended(time_point now, worker_record& worker, std::string_view evidence,
                            bool unconfirmed)
{
    const bool planned = has_announced_end(worker);
    std::vector<task_ref> ended;
    for (auto& [ref, run] : worker.runs) {
        // Answers arrive in order, so that no later process has confirmed a run yet.
        if (unconfirmed || run.first_list_with_run) {
            ended.push_back(ref);
        } else {
            run.process_ended = !planned;
        }
    }
    if (!std::exchange(worker.process_ended, true) || !ended.empty()) {
        record(planned ? decision::worker_lapsed : decision::worker_crashed, {}, worker.entry.id,
               std::string(planned ? "left" : evidence),
               milliseconds(static_cast<std::int64_t>(ended.size())));
    }
    if (unconfirmed) {
        m_crashed_by_suspects.erase(worker.entry.id);
    }
    explain_silence(now, worker, std::nullopt);
    if (!planned) {
        add_crash_group(worker, ended);
    }
    for (const task_ref& ref : ended) {
        end_run(now, worker, ref, planned ? run_end::lapsed : run_end::crashed);
    }
    worker.listed = false;
}

void pool::add_silent_loss(time_point now, worker_record& worker, const task_ref& ref)
{
    if (has_announced_end(worker)) {
        return;
    }
    worker.silent_losses.push_back({ref, incarnation_of(worker)});
    job_record* job = find_job(ref.job);
    const auto number = job == nullptr ? std::nullopt : find_task(*job, ref.step, ref.index);
    if (!number) {
        return;
    }
    task_record& task = job->tasks[*number];
    ++task.silent_losses;
    if (task.crashes + task.silent_losses >= max_crashes) {
        task.retry_at = now + explanation_time;
    }
    count_suspects(*job);
    give_up_if_crashing(now, ref.job);
}

void pool::explain_silence(time_point now, worker_record& worker, std::optional<std::uint64_t> present)
{
    for (const silent_loss& loss : std::exchange(worker.silent_losses, {})) {
        job_record* job = find_job(loss.task.job);
        const auto number = job == nullptr ? std::nullopt : find_task(*job, loss.task.step, loss.task.index);
        if (number) {
            task_record& task = job->tasks[*number];
            task.silent_losses -= std::min(task.silent_losses, 1U);
            task.retry_at = time_point{};
            count_suspects(*job);
        }
        const bool planned = worker.entry.draining || worker.leaving_incarnation == loss.incarnation;
        if (!planned && loss.incarnation != 0 && loss.incarnation != present) {
            count_crash(now, worker.entry.id, loss.incarnation, loss.task);
        }
    }
}

void pool::count_crash(time_point now, const worker_id& worker, std::uint64_t incarnation,
                       const task_ref& ref)
{
    const std::vector<task_crash> crashes{{ref.step, ref.index, worker, incarnation}};
    m_actions.emplace_back(job_crashes{ref.job, crashes});
    on_crashes(now, ref.job, crashes);
}

void pool::on_crashes(time_point now, const job_id& id, const std::vector<task_crash>& crashes)
{
    job_record* job = find_job(id);
    if (job == nullptr || !merge_crashes(job->offer.crashes, crashes)) {
        return;
    }
    count_known_crashes(*job);
    for (const task_crash& crash : crashes) {
        record(decision::task_suspected, id, crash.worker, task_text(crash.step, crash.index));
    }
    give_up_if_crashing(now, id);
}

bool pool::is_suspect(const task_record& task)
{
    return task.suspicions > 0 || task.silent_losses >= max_crashes;
}

// A task that has run on for longer is less likely to have caused the crash.
void pool::add_crash_group(const worker_record& worker, std::vector<task_ref> tasks)
{
    std::sort(tasks.begin(), tasks.end(), [&worker](const task_ref& left, const task_ref& right) {
        return worker.runs.at(right).sent < worker.runs.at(left).sent;
    });
    m_crash_groups.insert_or_assign({worker.entry.id, incarnation_of(worker)}, std::move(tasks));
}

bool pool::is_open(time_point now, const task_ref& ref) const
{
    const auto job = m_jobs.find(ref.job);
    if (job == m_jobs.end() || !may_start_tasks(now, *job->second)) {
        return false;
    }
    const auto number = find_task(*job->second, ref.step, ref.index);
    return number && job->second->tasks[*number].state != task_state::done;
}

bool pool::is_first_suspect(time_point now, const job_record& job, std::uint32_t number) const
{
    const task_ref ref = ref_of(job, number);
    return std::all_of(job.offer.crashes.begin(), job.offer.crashes.end(), [&](const task_crash& crash) {
        const auto group = m_crash_groups.find({crash.worker, crash.incarnation});
        if (crash.step != ref.step || crash.index != ref.index || group == m_crash_groups.end()) {
            return true;
        }
        const auto first = std::find_if(group->second.begin(), group->second.end(),
                                        [&](const task_ref& other) { return is_open(now, other); });
        return first == group->second.end() || *first == ref;
    });
}

void pool::clear_neighbours(time_point now, const job_record& job, const task_ref& culprit)
{
    for (const task_crash& crash : job.offer.crashes) {
        if (crash.step != culprit.step || crash.index != culprit.index) {
            continue;
        }
        const worker_life life(crash.worker, crash.incarnation);
        m_explained_crashes[life] = now;
        const auto group = m_crash_groups.extract(life);
        if (group.empty()) {
            continue;
        }
        for (const task_ref& other : group.mapped()) {
            if (job_record* neighbour = find_job(other.job)) {
                count_known_crashes(*neighbour);
            }
        }
    }
}

void pool::forget_crash_groups(time_point now)
{
    std::erase_if(m_crash_groups, [&](const auto& group) {
        return std::none_of(group.second.begin(), group.second.end(),
                            [&](const task_ref& ref) { return is_open(now, ref); });
    });
    std::erase_if(m_explained_crashes,
                  [now](const auto& entry) { return now > entry.second + explanation_retention; });
}

std::optional<std::uint32_t> pool::find_task(const job_record& job, std::uint32_t step, std::uint32_t index)
{
    if (step >= job.offer.steps.size() || index >= job.offer.steps[step].tasks) {
        return std::nullopt;
    }
    return job.first_task.at(step) + index;
}

void pool::count_known_crashes(job_record& job) const
{
    for (task_record& task : job.tasks) {
        task.crashes = 0;
        task.suspicions = 0;
    }
    for (const task_crash& crash : job.offer.crashes) {
        if (const auto number = find_task(job, crash.step, crash.index)) {
            const bool explained = m_explained_crashes.contains({crash.worker, crash.incarnation});
            ++job.tasks[*number].crashes;
            job.tasks[*number].suspicions += explained ? 0 : 1;
        }
    }
    count_suspects(job);
}

void pool::count_suspects(job_record& job) const
{
    for (std::uint32_t step = 0; step < job.offer.steps.size(); ++step) {
        const auto first = job.tasks.begin() + job.first_task.at(step);
        job.suspects_in_step.at(step) = static_cast<std::uint32_t>(std::count_if(
            first, first + job.offer.steps[step].tasks,
            [](const task_record& task) { return task.state != task_state::done && is_suspect(task); }));
    }
}

void pool::give_up_if_crashing(time_point now, const job_id& id)
{
    const job_record& job = *find_job(id);
    const auto found = std::find_if(job.tasks.begin(), job.tasks.end(), [](const task_record& task) {
        return task.state != task_state::done &&
               (task.crashes >= max_crashes || task.crashes + task.silent_losses >= max_losses);
    });
    if (found == job.tasks.end()) {
        return;
    }
    const task_ref ref = ref_of(job, static_cast<std::uint32_t>(found - job.tasks.begin()));
    record(decision::task_given_up, id, {},
           task_text(ref.step, ref.index) + ": " + std::to_string(found->crashes) + " workers crashed, " +
               std::to_string(found->silent_losses) + " fell silent");
    clear_neighbours(now, job, ref);
    job_result result = make_result(job, job_end::failed);
    result.may_have_run = true;
    result.reason = refusal_reason::attempts_exhausted;
    finish_job(now, id, std::move(result));
}

bool pool::refuse_crashing(const endpoint& owner, const job_offer& offer)
{
    // Crashes under one task stand side by side.
    const auto same_task = [](const task_crash& left, const task_crash& right) {
        return left.step == right.step && left.index == right.index;
    };
    static_assert(max_crashes == 2);
    const auto found = std::adjacent_find(offer.crashes.begin(), offer.crashes.end(), same_task);
    if (found == offer.crashes.end()) {
        return false;
    }
    record(decision::task_given_up, offer.job, {},
           task_text(found->step, found->index) + ": known to crash its workers");
    job_result result;
    result.job = offer.job;
    result.holder = m_options.own_address;
    result.end = job_end::failed;
    result.reason = refusal_reason::attempts_exhausted;
    result.number = offer.number;
    notify_owner(owner, std::move(result));
    return true;
}

pool::suspect_limits pool::limits_for_suspects(time_point now)
{
    std::erase_if(m_crashed_by_suspects, [&](const auto& entry) {
        const auto worker = m_workers.find(entry.first);
        return now > entry.second + max_crash_downtime || worker == m_workers.end() || worker->second.listed;
    });
    std::size_t present = 0;
    std::size_t isolated = 0;
    std::size_t crashing = m_crashed_by_suspects.size();
    for (const auto& [id, worker] : m_workers) {
        present += worker.present ? 1 : 0;
        for (const auto& [ref, run] : worker.runs) {
            isolated += run.isolated ? 1 : 0;
            crashing += run.first_suspect ? 1 : 0;
        }
    }
    const std::size_t most_isolated = std::max<std::size_t>(1, present / pool_share_for_suspects);
    const backlog queue = current_backlog(now);
    const bool scarce = queue.free_cpu * min_free_share < queue.capacity_cpu;
    const std::size_t most_crashing =
        scarce ? std::max<std::size_t>(1, present / pool_share_for_crashes) : most_isolated;
    return {most_isolated - std::min(most_isolated, isolated),
            most_crashing - std::min(most_crashing, crashing), 0};
}

// Load pattern: many jobs at once with a task that crashes its worker, beside jobs that only shared the
// worker.
void pool::start_suspects(time_point now, const std::vector<job_record*>& waiting, std::size_t& window)
{
    m_kept_free.clear();
    const auto has_suspects = [](const job_record* job) {
        return std::any_of(job->suspects_in_step.begin(), job->suspects_in_step.end(),
                           [](std::uint32_t count) { return count > 0; });
    };
    if (std::none_of(waiting.begin(), waiting.end(), has_suspects)) {
        return;
    }
    suspect_limits left = limits_for_suspects(now);
    left.window = window;
    for (job_record* job : waiting) {
        if (has_suspects(job) && may_start_tasks(now, *job)) {
            start_suspects_of(now, *job, left);
        }
    }
    window = left.window;
}

void pool::start_suspects_of(time_point now, job_record& job, suspect_limits& left)
{
    auto running = std::count_if(job.tasks.begin(), job.tasks.end(), [](const task_record& task) {
        return is_suspect(task) && task.state != task_state::waiting && task.state != task_state::done;
    });
    for (std::uint32_t number = 0; number < job.tasks.size(); ++number) {
        if (running >= max_isolated_per_job || left.workers == 0 || left.window == 0) {
            return;
        }
        if (!is_suspect(job.tasks[number]) || !is_ready(now, job, number)) {
            continue;
        }
        // The others of a crash wait for the verdict, unless the first suspect cannot be tried now.
        const bool first = is_first_suspect(now, job, number);
        if (first != (left.crashes > 0)) {
            continue;
        }
        ++running;
        --left.workers;
        left.crashes -= first ? 1 : 0;
        if (const auto idle = select_worker(now, job, number, true)) {
            worker_record& worker = m_workers.at(*idle);
            start_task(now, job, number, worker, true);
            worker.runs.at(ref_of(job, number)).first_suspect = first;
            --left.window;
        } else if (const auto next = next_idle_worker(now, step_of(job, number))) {
            m_kept_free.insert(*next);
        }
    }
}

std::optional<worker_id> pool::next_idle_worker(time_point now, const job_step& step) const
{
    std::optional<worker_id> found;
    time_point idle_at = time_point::max();
    for (const auto& [id, worker] : m_workers) {
        const auto& labels = worker.entry.labels;
        const bool labelled = step.required_label.empty() ||
                              std::find(labels.begin(), labels.end(), step.required_label) != labels.end();
        if (!is_usable(now, worker) || !labelled || !worker.entry.capacity.fits(step.need) ||
            m_kept_free.contains(id)) {
            continue;
        }
        time_point last_end = now;
        for (const auto& [ref, run] : worker.runs) {
            last_end = std::max(last_end, run.sent + run.expected);
        }
        if (last_end < idle_at) {
            idle_at = last_end;
            found = id;
        }
    }
    return found;
}

}  // namespace poplarshed::workers

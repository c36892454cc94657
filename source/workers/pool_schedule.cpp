#include <algorithm>
#include <cmath>

#include "workers/pool.h"

namespace poplarshed::workers {

namespace {

// Share of the pool's processors in use above which capacity counts as scarce.
constexpr double scarce_share = 0.6;
// Under a shorter lease a start would be rejected, or the lease would expire before its renewal.
constexpr milliseconds min_lease{250};
// Least part of the objective reserved for sending the start and receiving the end of a task.
constexpr milliseconds min_reporting_time{10};
constexpr milliseconds start_patience{80};

milliseconds scaled(milliseconds value, double factor)
{
    return milliseconds(std::llround(static_cast<double>(value.count()) * factor));
}

}  // namespace

bool pool::is_usable(time_point now, const worker_record& worker) const
{
    const bool lease_ends = std::any_of(worker.runs.begin(), worker.runs.end(), [now](const auto& entry) {
        return entry.second.limit && *entry.second.limit < now + min_lease;
    });
    // An entry of another incarnation does not tell the present capacity and labels.
    const bool described = worker.entry.incarnation == 0 || worker.incarnation == 0 ||
                           worker.entry.incarnation == worker.incarnation;
    return worker.present && worker.listed && !worker.unreachable && !worker.entry.draining && !lease_ends &&
           described && now >= worker.no_start_until && now >= worker.ejected_until &&
           worker.clock_offset_ms.has_value();
}

// A list shows the runs of former holders, and no command of theirs is executed after it, unless the worker
// restarts and forgets the token. So only lists sent after a former holder's last start count for its job.
// False while the directory is incomplete: entries missing after an outage of it may return.
bool pool::all_workers_listed(time_point since) const
{
    return m_directory_complete &&
           std::all_of(m_workers.begin(), m_workers.end(), [since](const auto& entry) {
               return entry.second.listed && entry.second.answered_list_sent >= since;
           });
}

time_point pool::last_former_start(const job_record& job)
{
    return job.uncertain_until - expired_grant_delay;
}

bool pool::awaits_former_runs(time_point now, const job_record& job)
{
    return now < job.uncertain_until && job.waiting > 0 &&
           std::any_of(job.uncertain.begin(), job.uncertain.end(), [&job](std::uint32_t number) {
               return number < job.tasks.size() && job.tasks[number].state == task_state::waiting;
           });
}

time_point pool::lists_needed_since(time_point now) const
{
    time_point since{};
    for (const auto& [id, job] : m_jobs) {
        const time_point last_start = last_former_start(*job);
        if (m_directory_complete && last_start <= now && last_start > since &&
            awaits_former_runs(now, *job)) {
            since = last_start;
        }
    }
    return since;
}

milliseconds pool::list_wait(time_point now, const worker_record& worker) const
{
    milliseconds wait = m_options.list_wait;
    for (const auto& [id, job] : m_jobs) {
        const time_point last_start = last_former_start(*job);
        if (m_directory_complete && worker.answered_list_sent < last_start && awaits_former_runs(now, *job)) {
            const auto left = std::chrono::ceil<milliseconds>(last_start - now);
            wait = std::clamp(left, milliseconds(0), wait);
        }
    }
    return wait;
}

milliseconds pool::expected_duration(time_point now, const worker_record& worker, const job_step& step) const
{
    double factor = worker.speed.ratio(now);
    if (!step.preferred_label.empty() && !worker.entry.has_label(step.preferred_label)) {
        factor *= m_options.remote_slowdown;
    }
    return scaled(step.estimate, factor);
}

milliseconds pool::local_estimate(const worker_record& worker, const job_step& step) const
{
    const bool remote = !step.preferred_label.empty() && !worker.entry.has_label(step.preferred_label);
    return remote ? scaled(step.estimate, m_options.remote_slowdown) : step.estimate;
}

double pool::mean_ratio(time_point now) const
{
    double rate = 0;
    std::size_t count = 0;
    for (const auto& [id, worker] : m_workers) {
        if (is_usable(now, worker)) {
            rate += 1 / worker.speed.ratio(now);
            ++count;
        }
    }
    return count == 0 ? 1.0 : static_cast<double>(count) / rate;
}

job_demand pool::demand(const job_record& job, double ratio) const
{
    job_demand need;
    std::uint32_t number = 0;
    for (const job_step& step : job.offer.steps) {
        std::uint32_t waiting = 0;
        for (std::uint32_t i = 0; i < step.tasks; ++i) {
            waiting += job.tasks[number++].state == task_state::waiting ? 1 : 0;
        }
        need.cpu += step.need.cpu_milli * waiting;
        need.cpu_ms += step.need.cpu_milli * waiting * scaled(step.estimate, ratio).count();
    }
    need.critical_path = scaled(critical_path(job.offer.steps), ratio) + reporting_time();
    return need;
}

queue_rank pool::rank(time_point now, const job_record& job, double ratio) const
{
    const milliseconds chain = scaled(critical_path(job.offer.steps), ratio);
    const time_point latest = job.objective_at - chain - reporting_time();
    // A started job keeps its rank: its finished tasks are wasted unless the remaining ones run.
    const bool overdue = !job.started && now > latest;
    return {overdue, latest, demand(job, ratio).cpu_ms};
}

std::vector<pool::job_record*> pool::waiting_in_order(time_point now)
{
    const double ratio = mean_ratio(now);
    std::vector<std::pair<queue_rank, job_record*>> ranked;
    for (const auto& [id, job] : m_jobs) {
        if (job->waiting > 0) {
            ranked.emplace_back(rank(now, *job, ratio), job.get());
        }
    }
    std::sort(ranked.begin(), ranked.end(),
              [](const auto& left, const auto& right) { return left.first < right.first; });
    std::vector<job_record*> ordered;
    ordered.reserve(ranked.size());
    for (const auto& [key, job] : ranked) {
        ordered.push_back(job);
    }
    return ordered;
}

std::int64_t pool::typical_cpu() const
{
    return std::max<std::int64_t>(1, std::llround(m_needs.mean()));
}

milliseconds pool::reporting_time() const
{
    const milliseconds observed = 2 * m_path.typical_answer_time();
    const auto is_unanswered = [](const auto& entry) {
        return !entry.second.first_list_with_run && !entry.second.stopping;
    };
    // Without starts on the way nothing keeps the path slow, and the answer times date from before. If they
    // counted, short jobs could be refused for ever, since only further starts are observed.
    const bool in_use = observed > min_reporting_time &&
                        std::any_of(m_workers.begin(), m_workers.end(), [&](const auto& worker) {
                            const auto& runs = worker.second.runs;
                            return std::any_of(runs.begin(), runs.end(), is_unanswered);
                        });
    return in_use ? observed : min_reporting_time;
}

std::size_t pool::unanswered_starts() const
{
    std::size_t count = 0;
    for (const auto& [id, worker] : m_workers) {
        count += static_cast<std::size_t>(std::count_if(
            worker.runs.begin(), worker.runs.end(),
            [](const auto& entry) { return !entry.second.first_list_with_run && !entry.second.stopping; }));
    }
    return count;
}

backlog pool::current_backlog(time_point now) const
{
    backlog queue;
    if (m_evacuated_at) {
        return queue;
    }
    for (const auto& [id, worker] : m_workers) {
        if (!is_usable(now, worker)) {
            continue;
        }
        queue.capacity_cpu += m_needs.expected_cpu(worker.entry.capacity.cpu_milli);
        queue.free_cpu += m_needs.expected_cpu(worker.entry.capacity.minus(worker.used).cpu_milli);
    }
    return queue;
}

void pool::schedule(time_point now)
{
    if (m_fenced) {
        return;
    }
    m_forecasts.clear();
    m_step_plan.reset();
    std::size_t window = m_path.window();
    window -= std::min(window, unanswered_starts());
    m_window_full = window == 0;
    const std::vector<job_record*> waiting = waiting_in_order(now);
    start_suspects(now, waiting, window);
    m_window_full = window == 0;
    for (job_record* job : waiting) {
        if (!may_start_tasks(now, *job)) {
            continue;
        }
        const bool former_runs_known = knows_former_runs(now, *job);
        for (std::uint32_t number = 0; number < job->tasks.size() && job->waiting > 0 && window > 0;
             ++number) {
            // Tasks of a step share a payload. While one of them is suspected, the others wait.
            if (job->tasks[number].state != task_state::waiting ||
                job->suspects_in_step.at(ref_of(*job, number).step) > 0 ||
                (!former_runs_known && job->uncertain.contains(number))) {
                continue;
            }
            if (!place_task(now, *job, number)) {
                break;
            }
            --window;
            m_window_full = window == 0;
        }
    }
}

// The owner may assign the job to another holder some time after the grant has expired. An owner that has
// only asked for the order does not expect the job to be started here.
bool pool::may_start_tasks(time_point now, const job_record& job) const
{
    const bool evacuated = m_evacuated_at && (!job.started || now >= *m_evacuated_at + evacuation_grace);
    return !evacuated && now <= job.granted_until && !has_other_owner(job) &&
           job.offer.order != owner_order::only;
}

bool pool::knows_former_runs(time_point now, const job_record& job) const
{
    return now >= job.uncertain_until || all_workers_listed(last_former_start(job));
}

bool pool::follows_finished_steps(const job_record& job, std::uint32_t number) const
{
    const std::vector<std::uint32_t>& after = step_of(job, number).after;
    return std::all_of(after.begin(), after.end(),
                       [&job](std::uint32_t earlier) { return job.unfinished_in_step.at(earlier) == 0; });
}

bool pool::is_ready(time_point now, const job_record& job, std::uint32_t number) const
{
    const task_record& task = job.tasks[number];
    return task.state == task_state::waiting && now >= task.retry_at && follows_finished_steps(job, number) &&
           (!job.uncertain.contains(number) || knows_former_runs(now, job));
}

bool pool::place_task(time_point now, job_record& job, std::uint32_t number)
{
    if (!follows_finished_steps(job, number)) {
        return false;
    }
    const auto chosen = select_worker(now, job, number, false);
    if (!chosen) {
        return false;
    }
    worker_record& worker = m_workers.at(*chosen);
    start_task(now, job, number, worker, false);
    const auto expected = m_forecasts.find(*chosen);
    if (expected != m_forecasts.end()) {
        const job_step& step = step_of(job, number);
        expected->second.occupy(now, step.need, expected_duration(now, worker, step));
    }
    return true;
}

bool pool::may_run(const worker_record& worker, const job_record& job, std::uint32_t number,
                   bool isolated) const
{
    const job_step& step = step_of(job, number);
    const worker_id& id = worker.entry.id;
    const bool labelled = step.required_label.empty() || worker.entry.has_label(step.required_label);
    const bool isolates = isolated ? !worker.runs.empty()
                                   : std::any_of(worker.runs.begin(), worker.runs.end(),
                                                 [](const auto& entry) { return entry.second.isolated; });
    const auto same_step = [&, index = ref_of(job, number).step](const auto& entry) {
        return entry.first.job == job.offer.job && entry.first.step == index;
    };
    // A worker restored after an ejection gets one task at a time until a task succeeds.
    const bool probing = worker.failures_in_row > 0 && worker.ejections > 0 && !worker.runs.empty();
    if (!labelled || id == job.tasks[number].avoid || probing || isolates || m_kept_free.contains(id)) {
        return false;
    }
    return step.max_per_worker == 0 || std::count_if(worker.runs.begin(), worker.runs.end(), same_step) <
                                           static_cast<std::ptrdiff_t>(step.max_per_worker);
}

pool::worker_choice pool::find_workers(time_point now, const job_record& job, std::uint32_t number,
                                       bool isolated) const
{
    const job_step& step = step_of(job, number);
    worker_choice choice;
    std::int64_t capacity = 0;
    std::int64_t used = 0;
    for (const auto& [id, worker] : m_workers) {
        if (!is_usable(now, worker)) {
            continue;
        }
        capacity += worker.entry.capacity.cpu_milli;
        used += worker.used.cpu_milli;
        const resources left = worker.entry.capacity.minus(worker.used);
        const bool has_room = left.fits(step.need);
        const bool near = !step.preferred_label.empty() && worker.entry.capacity.fits(step.need) &&
                          worker.entry.has_label(step.preferred_label);
        if ((!has_room && !near) || !may_run(worker, job, number, isolated)) {
            continue;
        }
        if (near) {
            choice.rack.push_back(&worker);
        }
        if (has_room) {
            choice.candidates.push_back({choice.workers.size(), expected_duration(now, worker, step),
                                         left.cpu_milli - step.need.cpu_milli});
            choice.workers.push_back(&worker);
        }
        if (has_room && near) {
            choice.near.push_back(choice.candidates.back());
        }
    }
    choice.scarce = static_cast<double>(used) > static_cast<double>(capacity) * scarce_share;
    if (!step.preferred_label.empty() && choice.rack.empty()) {
        // Data of a rack without workers is near to none of them.
        for (placement_candidate& candidate : choice.candidates) {
            candidate.duration = scaled(step.estimate, choice.workers[candidate.index]->speed.ratio(now));
        }
    }
    return choice;
}

std::optional<worker_id> pool::select_worker(time_point now, job_record& job, std::uint32_t number,
                                             bool isolated)
{
    const worker_choice choice = find_workers(now, job, number, isolated);
    // A suspected task may cost its worker, so that a slow one serves, too.
    const bool scarce = isolated || choice.scarce;
    const time_point until = job.started ? job.deadline_at : job.useful_until;
    const placement_goal goal{now, job.objective_at, until, scarce};
    const auto id_of = [&choice](std::size_t index) { return choice.workers.at(index)->entry.id; };
    const bool labelled = !step_of(job, number).preferred_label.empty();
    job.waits_for_rack = false;
    if (!labelled || isolated || m_options.remote_slowdown <= 1) {
        const auto chosen = choose_worker(choice.candidates, goal);
        return chosen ? std::optional(id_of(*chosen)) : std::nullopt;
    }
    if (scarce) {
        // A run elsewhere takes more of the room that is short, so any worker near the data that is in time
        // goes first.
        const auto near =
            choose_worker(choice.near, {now, goal.objective_at, std::min(until, goal.objective_at), scarce});
        if (near) {
            return id_of(*near);
        }
    }
    const auto chosen = choose_worker(choice.candidates, goal);
    if (!chosen || waits_for_rack(now, job, number, choice, *chosen)) {
        return std::nullopt;
    }
    return id_of(*chosen);
}

void pool::start_task(time_point now, job_record& job, std::uint32_t number, worker_record& worker,
                      bool isolated)
{
    const job_step& step = step_of(job, number);
    const task_ref ref = ref_of(job, number);
    const run_number assigned(++m_last_run);
    task_record& task = job.tasks[number];
    task.state = task_state::starting;
    task.run = assigned;
    task.worker = worker.entry.id;
    --job.waiting;
    job.started = true;
    run_record created;
    created.task = ref;
    created.number = assigned;
    created.need = step.need;
    created.estimate = local_estimate(worker, step);
    created.expected = expected_duration(now, worker, step);
    created.sent = now;
    created.isolated = isolated;
    run_record& run = worker.runs.insert_or_assign(ref, created).first->second;
    run.lease_until_ms = worker_time(std::min(now + m_options.lease, lease_limit(worker)), worker);
    worker.used = worker.used.plus(step.need);
    extend_leases(now, worker);
    record(decision::started, job.offer.job, worker.entry.id,
           std::to_string(number) + (isolated ? " alone" : ""), created.expected,
           std::chrono::duration_cast<milliseconds>(job.objective_at - now));
    m_actions.emplace_back(start_command{{worker.entry.id, worker.entry.address},
                                         ref,
                                         assigned,
                                         job.offer.payload,
                                         run.lease_until_ms,
                                         m_options.token,
                                         m_path.patience(start_patience)});
    if (!worker.list_pending) {
        send_list(now, worker);
    }
}

pool_load pool::load(time_point now) const
{
    pool_load value;
    value.pool = m_options.pool;
    value.service = m_options.service;
    value.token = m_options.token;
    const backlog queue = current_backlog(now);
    value.capacity_cpu = queue.capacity_cpu;
    value.free_cpu = unanswered_starts() < m_path.window() ? queue.free_cpu : 0;
    const double ratio = mean_ratio(now);
    for (const auto& [id, job] : m_jobs) {
        const std::int64_t work = job->waiting > 0 ? demand(*job, ratio).cpu_ms : 0;
        (rank(now, *job, ratio).overdue ? value.overdue_cpu_ms : value.waiting_cpu_ms) += work;
    }
    for (const auto& [id, worker] : m_workers) {
        for (const auto& [ref, run] : worker.runs) {
            const auto left = std::chrono::duration_cast<milliseconds>(run.sent + run.expected - now);
            value.running_cpu_ms += run.need.cpu_milli * std::max<std::int64_t>(0, left.count());
        }
    }
    return value;
}

}  // namespace poplarshed::workers

#include <algorithm>

#include "workers/pool.h"

namespace poplarshed::workers {

namespace {

// A task under which this many workers have crashed is not started again (users' rules).
constexpr std::uint32_t max_crashes = 2;
// The same with silent workers counted. One more, since a cut looks the same.
constexpr std::uint32_t max_losses = max_crashes + 1;
// The same with workers counted that were lost together with others. The users' rule allows two more starts
// after three crashes.
constexpr std::uint32_t max_lost_starts = 5;
// A crashed worker is back after some seconds, or its entry lapses after three heartbeats of 1.5 s.
constexpr milliseconds explanation_time{5000};
// Workers of a rack or behind a cut become silent together.
constexpr std::size_t workers_lost_together = 3;
// One in this many workers may run suspected tasks, so that many of them at once leave most of the pool to
// the others.
constexpr std::size_t pool_share_for_suspects = 3;
// The same for tasks that are likely to crash their worker, which is down for some seconds then; fewer while
// less than one part in min_free_share of the pool is free, since that costs many other tasks their place.
constexpr std::size_t pool_share_for_crashes = 4;
constexpr std::size_t scarce_pool_share_for_crashes = 8;
constexpr std::int64_t min_free_share = 4;
// A crashed worker is back or replaced within this time, or counts as lost.
constexpr milliseconds max_crash_downtime{4000};
// Suspected tasks of a job share its payload, so that they crash workers together.
constexpr std::ptrdiff_t max_isolated_per_job = 2;

/// True if so many crashes show that the task causes them. A task may share two crashed workers with others,
/// or be hit by two failures that it has not caused.
bool is_guilty(std::uint32_t crashes, bool alone)
{
    return crashes >= (alone ? max_crashes : max_losses);
}

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

void pool::sort_by_start(const worker_record& worker, std::vector<task_ref>& tasks)
{
    std::sort(tasks.begin(), tasks.end(), [&worker](const task_ref& left, const task_ref& right) {
        return worker.runs.at(right).sent < worker.runs.at(left).sent;
    });
}

void pool::on_worker_replaced(time_point now, worker_record& worker)
{
    const bool planned = has_announced_end(worker);
    std::vector<task_ref> ended;
    for (const auto& [ref, run] : worker.runs) {
        ended.push_back(ref);
    }
    if (!std::exchange(worker.replaced, true) || !ended.empty()) {
        record(planned ? decision::worker_lapsed : decision::worker_crashed, {}, worker.entry.id, "replaced",
               milliseconds(static_cast<std::int64_t>(ended.size())));
    }
    m_crashed_by_suspects.erase(worker.entry.id);
    const bool crashed = !planned && ended_suddenly(worker);
    note_silence(now, worker, true);
    explain_silence(now, worker, std::nullopt);
    explain_reported(now, worker, std::nullopt);
    sort_by_start(worker, ended);
    for (const task_ref& ref : ended) {
        end_run(now, worker, ref, crashed ? run_end::crashed : run_end::lapsed);
    }
    add_loss(now, worker, ended, crashed);
    worker.listed = false;
}

bool pool::ended_suddenly(const worker_record& worker)
{
    return !worker.unreachable || worker.silent_by_disconnect;
}

void pool::note_silence(time_point now, worker_record& worker, bool disconnected)
{
    if (worker.unreachable) {
        return;
    }
    worker.silent_since = now;
    worker.silent_by_disconnect = disconnected;
    worker.disconnect_reported = false;
    worker.silent_jobs.clear();
    for (const auto& [ref, run] : worker.runs) {
        worker.silent_jobs.insert(ref.job);
    }
    worker.silent_alone = std::any_of(worker.runs.begin(), worker.runs.end(),
                                      [](const auto& entry) { return entry.second.isolated; });
}

bool pool::is_lost_with_others(const worker_record& worker, const job_id& job) const
{
    if (worker.silent_since == time_point{}) {
        return false;
    }
    // Suspected tasks crash their workers at the same time now and then.
    std::size_t near = worker.silent_alone ? 0 : 1;
    for (const auto& [id, other] : m_workers) {
        const duration apart = other.silent_since - worker.silent_since;
        const milliseconds window = worker.silent_by_disconnect && other.silent_by_disconnect
                                        ? common_disconnect_window
                                        : common_silence_window;
        const bool counts = &other != &worker && !other.silent_alone && !other.silent_jobs.contains(job);
        near += counts && std::max(apart, -apart) <= window ? 1 : 0;
    }
    return near >= workers_lost_together;
}

pool::worker_loss& pool::note_loss(time_point now, const worker_record& worker,
                                   const std::vector<task_ref>& tasks, bool crashed)
{
    const std::uint64_t incarnation = incarnation_of(worker);
    auto loss = std::find_if(m_losses.begin(), m_losses.end(), [&](const worker_loss& known) {
        return known.worker == worker.entry.id && known.incarnation == incarnation;
    });
    if (loss == m_losses.end()) {
        m_losses.push_back({worker.entry.id, incarnation, now, false, false, false, false, {}, {}});
        loss = std::prev(m_losses.end());
    }
    loss->crashed = loss->crashed || crashed;
    loss->disconnected = loss->disconnected || worker.silent_by_disconnect;
    for (const task_ref& ref : tasks) {
        if (is_lost_with_others(worker, ref.job)) {
            loss->excused.insert(ref.job);
        }
        if (std::find(loss->tasks.begin(), loss->tasks.end(), ref) == loss->tasks.end()) {
            loss->tasks.push_back(ref);
        }
    }
    loss->alone = worker.silent_alone && loss->tasks.size() == 1;
    return *loss;
}

loss_cause pool::cause_of(const worker_loss& loss)
{
    if (loss.crashed) {
        return loss_cause::crash;
    }
    return loss.disconnected ? loss_cause::disconnected : loss_cause::unknown;
}

void pool::add_loss(time_point now, worker_record& worker, const std::vector<task_ref>& tasks, bool crashed)
{
    if (tasks.empty() || has_announced_end(worker)) {
        return;
    }
    const worker_loss& loss = note_loss(now, worker, tasks, crashed);
    report_loss(loss, tasks, cause_of(loss));
    for (const task_ref& ref : tasks) {
        job_record* job = find_job(ref.job);
        const auto number = job == nullptr ? std::nullopt : find_task(*job, ref.step, ref.index);
        if (number && loss.excused.contains(ref.job)) {
            ++job->tasks[*number].common_losses;
        }
    }
    on_losses_changed(now, tasks);
}

void pool::report_disconnected(time_point now, worker_record& worker)
{
    if (!worker.unreachable || !worker.silent_by_disconnect || worker.disconnect_reported ||
        worker.runs.empty() || has_announced_end(worker)) {
        return;
    }
    worker.disconnect_reported = true;
    std::vector<task_ref> tasks;
    for (const auto& [ref, run] : worker.runs) {
        tasks.push_back(ref);
    }
    sort_by_start(worker, tasks);
    const worker_loss& loss = note_loss(now, worker, tasks, false);
    report_loss(loss, tasks, cause_of(loss));
    on_losses_changed(now, tasks);
}

loss_cause pool::explained_cause(const worker_record& worker, std::uint64_t incarnation,
                                 std::optional<std::uint64_t> present, loss_cause known)
{
    const bool left = worker.entry.draining || worker.leaving_incarnation == incarnation;
    if (present == incarnation || incarnation == 0 || left) {
        return loss_cause::survived;
    }
    // A worker that fell silent first, as behind a cut, may have ended for any reason later.
    return known == loss_cause::unknown ? loss_cause::unknown : loss_cause::crash;
}

void pool::explain_silence(time_point now, const worker_record& worker, std::optional<std::uint64_t> present)
{
    std::vector<task_ref> explained;
    for (worker_loss& loss : m_losses) {
        if (loss.worker != worker.entry.id || loss.crashed) {
            continue;
        }
        const loss_cause cause = explained_cause(worker, loss.incarnation, present, cause_of(loss));
        if (cause == loss_cause::unknown) {
            continue;
        }
        explained.insert(explained.end(), loss.tasks.begin(), loss.tasks.end());
        report_loss(loss, loss.tasks, cause);
        loss.crashed = cause == loss_cause::crash;
        if (!loss.crashed) {
            loss.tasks.clear();
        }
    }
    std::erase_if(m_losses, [](const worker_loss& loss) { return loss.tasks.empty(); });
    on_losses_changed(now, explained);
}

void pool::explain_reported(time_point now, const worker_record& worker, std::optional<std::uint64_t> present)
{
    std::vector<job_id> failed;
    for (auto& [id, job] : m_jobs) {
        if (explain_losses_of(*job, worker, present)) {
            count_losses(now, *job);
            failed.push_back(id);
        }
    }
    for (const job_id& id : failed) {
        give_up_if_crashing(now, id);
    }
}

bool pool::explain_losses_of(job_record& job, const worker_record& worker,
                             std::optional<std::uint64_t> present)
{
    std::vector<task_loss> explained;
    for (const task_loss& row : job.offer.losses) {
        const bool open = row.cause == loss_cause::unknown || row.cause == loss_cause::disconnected;
        if (!open || row.worker != worker.entry.id || row.incarnation == 0) {
            continue;
        }
        const loss_cause cause = explained_cause(worker, row.incarnation, present, row.cause);
        if (cause != loss_cause::unknown) {
            explained.push_back(row);
            explained.back().cause = cause;
        }
    }
    if (explained.empty()) {
        return false;
    }
    merge_losses(job.offer.losses, explained);
    m_actions.emplace_back(job_losses{job.offer.job, std::move(explained)});
    return true;
}

void pool::report_loss(const worker_loss& loss, const std::vector<task_ref>& tasks, loss_cause cause)
{
    for (const task_ref& ref : tasks) {
        if (loss.excused.contains(ref.job)) {
            continue;
        }
        const std::vector<task_loss> losses{
            {ref.step, ref.index, loss.worker, loss.incarnation, cause, loss.alone}};
        m_actions.emplace_back(job_losses{ref.job, losses});
        if (job_record* job = find_job(ref.job)) {
            merge_losses(job->offer.losses, losses);
        }
    }
}

void pool::on_losses_changed(time_point now, const std::vector<task_ref>& tasks)
{
    for (const task_ref& ref : tasks) {
        job_record* job = find_job(ref.job);
        const auto number = job == nullptr ? std::nullopt : find_task(*job, ref.step, ref.index);
        if (!number) {
            continue;
        }
        const task_record& task = job->tasks[*number];
        const auto before = std::pair(task.crashes, task.silent_losses);
        count_losses(now, *job);
        if (task.suspected && before != std::pair(task.crashes, task.silent_losses)) {
            record(decision::task_suspected, ref.job, {},
                   task_text(ref.step, ref.index) + ": " + std::to_string(task.crashes) +
                       " workers crashed, " + std::to_string(task.silent_losses) + " fell silent");
        }
        give_up_if_crashing(now, ref.job);
    }
}

void pool::on_losses(time_point now, const job_id& id, const std::vector<task_loss>& losses)
{
    job_record* job = find_job(id);
    if (job == nullptr || !merge_losses(job->offer.losses, losses)) {
        return;
    }
    explain_by_directory(*job);
    count_losses(now, *job);
    give_up_if_crashing(now, id);
}

void pool::explain_by_directory(job_record& job)
{
    for (const task_loss& row : std::vector<task_loss>(job.offer.losses)) {
        const auto found = m_workers.find(row.worker);
        if (found == m_workers.end()) {
            continue;
        }
        const std::uint64_t latest = std::max(found->second.incarnation, found->second.entry.incarnation);
        if (latest > row.incarnation) {
            explain_losses_of(job, found->second, latest);
        }
    }
}

std::optional<std::uint32_t> pool::find_task(const job_record& job, std::uint32_t step, std::uint32_t index)
{
    if (step >= job.offer.steps.size() || index >= job.offer.steps[step].tasks) {
        return std::nullopt;
    }
    return job.first_task.at(step) + index;
}

void pool::count_losses(time_point now, job_record& job) const
{
    for (task_record& task : job.tasks) {
        task.crashes = 0;
        task.crashed_alone = false;
        task.silent_losses = 0;
        task.suspected = false;
    }
    for (const task_loss& row : job.offer.losses) {
        const auto number = find_task(job, row.step, row.index);
        if (!number || row.cause == loss_cause::survived) {
            continue;
        }
        const auto known = std::find_if(m_losses.begin(), m_losses.end(), [&row](const worker_loss& loss) {
            return loss.worker == row.worker && loss.incarnation == row.incarnation;
        });
        const bool explained = known != m_losses.end() && known->other_cause;
        task_record& task = job.tasks[*number];
        if (row.cause == loss_cause::crash) {
            ++task.crashes;
            task.crashed_alone = task.crashed_alone || row.alone;
        } else {
            ++task.silent_losses;
        }
        task.suspected = task.suspected || (row.cause != loss_cause::unknown && !explained) ||
                         task.silent_losses >= max_crashes;
    }
    for (task_record& task : job.tasks) {
        if (task.crashes + task.silent_losses < max_crashes) {
            task.retry_at = time_point{};
        } else if (task.retry_at == time_point{}) {
            task.retry_at = now + explanation_time;
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
            [](const task_record& task) { return task.state != task_state::done && task.suspected; }));
    }
}

void pool::give_up_if_crashing(time_point now, const job_id& id)
{
    const job_record* const held = find_job(id);
    if (held == nullptr) {
        return;
    }
    const job_record& job = *held;
    const auto found = std::find_if(job.tasks.begin(), job.tasks.end(), [](const task_record& task) {
        const std::uint32_t losses = task.crashes + task.silent_losses;
        return task.state != task_state::done &&
               (is_guilty(task.crashes, task.crashed_alone) ||
                (task.state == task_state::waiting &&
                 (losses >= max_losses || losses + task.common_losses >= max_lost_starts)));
    });
    if (found == job.tasks.end()) {
        return;
    }
    const task_ref ref = ref_of(job, static_cast<std::uint32_t>(found - job.tasks.begin()));
    record(decision::task_given_up, id, {},
           task_text(ref.step, ref.index) + ": " + std::to_string(found->crashes) + " workers crashed, " +
               std::to_string(found->silent_losses) + " fell silent");
    clear_neighbours(now, ref);
    job_result result = make_result(job, job_end::failed);
    result.may_have_run = true;
    result.reason = refusal_reason::attempts_exhausted;
    finish_job(now, id, std::move(result));
}

void pool::clear_neighbours(time_point now, const task_ref& culprit)
{
    for (worker_loss& loss : m_losses) {
        if (std::find(loss.tasks.begin(), loss.tasks.end(), culprit) == loss.tasks.end()) {
            continue;
        }
        loss.other_cause = true;
        for (const task_ref& other : loss.tasks) {
            job_record* neighbour = find_job(other.job);
            if (neighbour != nullptr && other.job != culprit.job) {
                count_losses(now, *neighbour);
            }
        }
    }
}

bool pool::refuse_crashing(const endpoint& owner, const job_offer& offer)
{
    struct loss_count {
        std::uint32_t crashes = 0;
        std::uint32_t silent = 0;
        bool alone = false;
    };
    std::map<std::pair<std::uint32_t, std::uint32_t>, loss_count> tasks;
    for (const task_loss& loss : offer.losses) {
        loss_count& counted = tasks[{loss.step, loss.index}];
        const bool crashed = loss.cause == loss_cause::crash;
        counted.crashes += crashed ? 1 : 0;
        counted.silent += crashed || loss.cause == loss_cause::survived ? 0 : 1;
        counted.alone = counted.alone || (crashed && loss.alone);
    }
    const auto found = std::find_if(tasks.begin(), tasks.end(), [](const auto& entry) {
        const loss_count& counted = entry.second;
        return is_guilty(counted.crashes, counted.alone) || counted.crashes + counted.silent >= max_losses;
    });
    if (found == tasks.end()) {
        return false;
    }
    record(decision::task_given_up, offer.job, {},
           task_text(found->first.first, found->first.second) + ": known to crash its workers");
    job_result result;
    result.job = offer.job;
    result.holder = m_options.own_address;
    result.end = job_end::failed;
    result.reason = refusal_reason::attempts_exhausted;
    result.number = offer.number;
    notify_owner(owner, std::move(result));
    return true;
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

// A task that has run on for longer is less likely to have caused the crash.
bool pool::is_first_suspect(time_point now, const task_ref& ref) const
{
    return std::all_of(m_losses.begin(), m_losses.end(), [&](const worker_loss& loss) {
        const bool may_be_caused =
            (loss.crashed || loss.disconnected) && !loss.other_cause && !loss.excused.contains(ref.job);
        if (!may_be_caused || std::find(loss.tasks.begin(), loss.tasks.end(), ref) == loss.tasks.end()) {
            return true;
        }
        const auto first = std::find_if(loss.tasks.begin(), loss.tasks.end(),
                                        [&](const task_ref& other) { return is_open(now, other); });
        return first == loss.tasks.end() || *first == ref;
    });
}

pool::suspect_limits pool::limits_for_suspects(time_point now)
{
    std::erase_if(m_crashed_by_suspects, [&](const auto& entry) {
        const auto worker = m_workers.find(entry.first);
        return now > entry.second + max_crash_downtime || worker == m_workers.end() ||
               !worker->second.unreachable;
    });
    std::size_t present = 0;
    std::size_t isolated = 0;
    std::size_t crashing = m_crashed_by_suspects.size();
    for (const auto& [id, worker] : m_workers) {
        present += worker.present ? 1 : 0;
        for (const auto& [ref, run] : worker.runs) {
            const bool active = run.isolated && !m_crashed_by_suspects.contains(id);
            isolated += active ? 1 : 0;
            crashing += active && run.first_suspect ? 1 : 0;
        }
    }
    const backlog queue = current_backlog(now);
    const bool scarce = queue.free_cpu * min_free_share < queue.capacity_cpu;
    const std::size_t most_isolated = std::max<std::size_t>(1, present / pool_share_for_suspects);
    const std::size_t most_crashing =
        std::max<std::size_t>(1, present / (scarce ? scarce_pool_share_for_crashes : pool_share_for_crashes));
    suspect_limits left;
    left.workers = most_isolated - std::min(most_isolated, isolated);
    left.crashes_limited = !m_crashed_by_suspects.empty();
    left.crashes = left.crashes_limited ? most_crashing - std::min(most_crashing, crashing) : left.workers;
    return left;
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
    for (const bool first : {true, false}) {
        // The others of a loss wait for the verdict, unless the first suspect cannot be tried now.
        if (left.crashes_limited && first != (left.crashes > 0)) {
            continue;
        }
        for (job_record* job : waiting) {
            if (has_suspects(job) && may_start_tasks(now, *job)) {
                start_suspects_of(now, *job, first, left);
            }
        }
    }
    window = left.window;
}

void pool::start_suspects_of(time_point now, job_record& job, bool first, suspect_limits& left)
{
    auto running = std::count_if(job.tasks.begin(), job.tasks.end(), [](const task_record& task) {
        return task.suspected && task.state != task_state::waiting && task.state != task_state::done;
    });
    for (std::uint32_t number = 0; number < job.tasks.size(); ++number) {
        if (running >= max_isolated_per_job || left.workers == 0 || left.window == 0 ||
            (first && left.crashes == 0)) {
            return;
        }
        const task_ref ref = ref_of(job, number);
        if (!job.tasks[number].suspected || !is_ready(now, job, number) ||
            is_first_suspect(now, ref) != first) {
            continue;
        }
        ++running;
        --left.workers;
        left.crashes -= first ? 1 : 0;
        if (const auto idle = select_worker(now, job, number, true)) {
            worker_record& worker = m_workers.at(*idle);
            start_task(now, job, number, worker, true);
            worker.runs.at(ref).first_suspect = first;
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

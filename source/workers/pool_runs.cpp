#include <algorithm>
#include <array>
#include <string_view>

#include "workers/pool.h"

namespace poplarshed::workers {

namespace {

// A run that exceeds this multiple of its expected duration plus the extra time is considered stuck.
constexpr int overdue_factor = 3;
constexpr milliseconds overdue_extra{150};
// A list command without an answer is repeated at once, since the answer may have been lost; two such
// attempts fit into the lease. Later ones are repeated at the retry interval.
constexpr unsigned max_immediate_lists = 2;
constexpr milliseconds unreachable_retry_interval{250};
// A worker answers a command within a few milliseconds; ten times that covers a busy link.
constexpr milliseconds stop_patience{100};
constexpr milliseconds list_patience{120};
// Unacknowledged stops are sent again after this time.
constexpr milliseconds stop_retry_interval{100};
// No task is started on a worker that reported itself unhealthy for this time.
constexpr milliseconds unhealthy_pause{200};
// A worker that reports no room runs tasks unknown to the pool. A list command is sent at once to find them,
// and no task is started there for this time.
constexpr milliseconds no_room_pause{60};
// A worker that fails tasks of this many jobs in a row is ejected. Tasks fail for reasons of their own in
// 0.2% of runs.
constexpr unsigned failures_to_eject = 3;
constexpr milliseconds initial_ejection{1000};
constexpr unsigned max_ejection_doublings = 2;
constexpr milliseconds orphan_end_retention{3000};
// Longer than a task waits for its next start.
constexpr milliseconds loss_retention{60'000};
// A worker's steady clock may be 2% slow (platform protocol, "Running tasks").
constexpr int clock_drift_divisor = 50;
// Maximum age of a worker's clock offset: idle workers are listed this often, so that clock drift takes at
// most 200 ms of the lease of the next run.
constexpr milliseconds max_clock_age{10'000};
// A command without an answer may be executed seconds later (platform protocol, "Running tasks"), also by a
// worker that has restarted meanwhile.
constexpr milliseconds max_command_delay{15'000};
// A clock that is behind by more than drift and the delay of an answer explain was reset by a restart.
constexpr milliseconds clock_tolerance{1000};
// Commands carry a lower bound of the worker's clock at their sending. A clock that is behind it by more than
// this, which allows for rounding and drift, was reset by a restart.
constexpr milliseconds max_clock_lag{40};
// Run numbers derive from the holder's clock, so those of a former holder may be higher. Added to the run
// number when a worker rejects a start as superseded.
constexpr std::uint64_t run_number_step = 10'000'000;

constexpr std::array<std::string_view, start_outcome_count> start_outcome_names{
    "started",           "fenced",   "superseded",  "expired",   "no_room", "no_ticket", "unhealthy",
    "other_incarnation", "rejected", "unreachable", "unanswered"};

milliseconds elapsed(time_point now, time_point start)
{
    return std::chrono::duration_cast<milliseconds>(now - start);
}

std::int64_t steady_ms(time_point at)
{
    return std::chrono::duration_cast<milliseconds>(at.time_since_epoch()).count();
}

}  // namespace

void pool::on_directory(time_point now, const std::vector<worker_entry>& entries)
{
    for (auto& [id, worker] : m_workers) {
        worker.present = false;
    }
    for (const worker_entry& entry : entries) {
        const auto [position, added] = m_workers.try_emplace(entry.id);
        worker_record& worker = position->second;
        const bool restarted = !added && worker.entry.incarnation != entry.incarnation;
        worker.present = true;
        worker.entry = entry;
        if (entry.draining) {
            worker.leaving_incarnation = entry.incarnation;
        }
        if (restarted) {
            // An answer of the previous incarnation may still be in transit.
            worker.clock_offset_ms.reset();
            worker.first_clock_list = worker.lists_sent + 1;
            on_worker_restart(now, worker);
            if (!worker.list_pending) {
                send_list(now, worker);
            }
        } else if (added) {
            worker.long_leases_expire_at = now + m_options.max_lease + m_options.lease_margin;
            worker.leases_expire_at = worker.long_leases_expire_at;
            send_list(now, worker);
        }
    }
    remove_departed_workers();
}

void pool::remove_departed_workers()
{
    std::erase_if(m_workers, [](const auto& entry) {
        return !entry.second.present && entry.second.runs.empty() && !entry.second.list_pending;
    });
}

std::int64_t pool::worker_time(time_point at, const worker_record& worker) const
{
    return steady_ms(at) + worker.clock_offset_ms.value_or(0) -
           elapsed(at, worker.clock_updated_at).count() / clock_drift_divisor;
}

void pool::update_clock_offset(time_point now, worker_record& worker, std::int64_t clock_ms)
{
    if (worker.clock_offset_ms && clock_ms + clock_tolerance.count() < worker_time(now, worker)) {
        on_worker_restart(now, worker);
    }
    worker.clock_offset_ms = clock_ms - steady_ms(now);
    worker.clock_updated_at = now;
}

// Commands for a previous incarnation carry expiry times far ahead of the reset clock, so a late one is
// accepted and grants the maximum lease.
void pool::on_worker_restart(time_point now, worker_record& worker)
{
    worker.restart_detected_at = now;
    worker.long_leases_until = now + max_command_delay;
    extend_leases(now, worker);
}

void pool::extend_leases(time_point now, worker_record& worker) const
{
    const time_point long_end = now + m_options.max_lease + m_options.lease_margin;
    const time_point end =
        now < worker.long_leases_until ? long_end : now + m_options.lease + m_options.lease_margin;
    worker.leases_expire_at = std::max(worker.leases_expire_at, end);
    worker.long_leases_expire_at = std::max(worker.long_leases_expire_at, long_end);
}

void pool::send_list(time_point now, worker_record& worker)
{
    // Another instance holds the pool; workers that it has not reached yet would renew the leases.
    if (m_fenced) {
        return;
    }
    list_command command{
        {worker.entry.id, worker.entry.address}, std::nullopt, worker.acknowledged, {}, m_options.token, {}};
    const time_point until = std::min(now + m_options.lease, lease_limit(worker));
    if (worker.listed && !worker.unreachable && !worker.runs.empty() && worker.clock_offset_ms &&
        until > now) {
        command.lease_until_ms = worker_time(until, worker);
        command.wait = list_wait(now, worker);
        extend_leases(now, worker);
    }
    command.answer_within = command.wait + m_path.patience(list_patience);
    ++worker.lists_sent;
    worker.list_pending = true;
    worker.ends_pending = false;
    worker.list_sent = now;
    m_actions.emplace_back(std::move(command));
}

// A worker has a single lease for all its runs. A run whose grant was not renewed, or whose stop is not
// acknowledged, therefore limits the lease of the other runs on the worker.
time_point pool::lease_limit(const worker_record& worker) const
{
    time_point end = time_point::max();
    for (const auto& [ref, run] : worker.runs) {
        const auto owner = m_jobs.find(ref.job);
        const bool granted = !run.limit && owner != m_jobs.end();
        end = std::min(end, granted ? owner->second->granted_until + run_grace_period
                                    : run.limit.value_or(time_point{}));
    }
    return end;
}

void pool::on_start_reply(time_point now, const start_reply& reply)
{
    const auto position = m_workers.find(reply.worker);
    if (position == m_workers.end()) {
        return;
    }
    worker_record& worker = position->second;
    if (reply.clock_ms) {
        worker.last_answer_at = now;
    }
    const auto found = worker.runs.find(reply.task);
    if (found == worker.runs.end() || found->second.number != reply.run) {
        return;
    }
    run_record& run = found->second;
    if (reply.outcome != start_outcome::unreachable) {
        m_path.observe(elapsed(now, run.sent));
    }
    if (reply.clock_ms && worker.clock_offset_ms && run.sent > worker.restart_detected_at) {
        if (run.lease_until_ms - *reply.clock_ms > (m_options.lease + max_clock_lag).count()) {
            on_worker_restart(now, worker);
        }
        update_clock_offset(now, worker, *reply.clock_ms);
    }
    if (reply.outcome == start_outcome::started) {
        confirm_run(worker, run);
        job_record* job = find_job(reply.task.job);
        if (job != nullptr && !run.stopping) {
            job->tasks[task_number(*job, reply.task)].state = task_state::running;
        }
        if (m_window_full) {
            schedule(now);
        }
        return;
    }
    record(decision::start_failed, reply.task.job, reply.worker,
           std::string(start_outcome_names.at(static_cast<std::size_t>(reply.outcome))),
           elapsed(now, run.sent));
    if (reply.outcome == start_outcome::unanswered) {
        send_stop(now, worker, run);
        return;
    }
    if (reply.outcome == start_outcome::fenced) {
        m_fenced = true;
        return;
    }
    if (reply.outcome == start_outcome::superseded) {
        m_last_run += run_number_step;
    }
    if (reply.outcome == start_outcome::no_room) {
        worker.no_start_until = now + no_room_pause;
        if (!worker.list_pending) {
            send_list(now, worker);
        }
    } else if (reply.outcome != start_outcome::superseded && reply.outcome != start_outcome::expired) {
        worker.no_start_until = now + unhealthy_pause;
    }
    end_run(now, worker, reply.task, run_end::stopped);
    schedule(now);
}

void pool::on_stop_reply(time_point now, const stop_reply& reply)
{
    const auto position = m_workers.find(reply.worker);
    if (position == m_workers.end()) {
        return;
    }
    const auto found = position->second.runs.find(reply.task);
    if (found == position->second.runs.end() || found->second.number != reply.run) {
        return;
    }
    if (reply.outcome == stop_outcome::stopped) {
        found->second.stop_acknowledged = now;
    } else if (reply.outcome == stop_outcome::fenced) {
        m_fenced = true;
    }
}

void pool::on_listing(time_point now, const listing& answer)
{
    const auto position = m_workers.find(answer.worker);
    if (position == m_workers.end()) {
        return;
    }
    worker_record& worker = position->second;
    const bool list_state_lost =
        worker.unreachable || !worker.listed || answer.incarnation != worker.incarnation;
    worker.list_pending = false;
    worker.replaced = false;
    worker.answered_list_sent = worker.list_sent;
    worker.unanswered_lists = 0;
    const bool was_unreachable = worker.unreachable;
    if (worker.unreachable) {
        worker.unreachable = false;
        record(decision::worker_back, {}, answer.worker, {}, elapsed(now, worker.list_sent));
    }
    const bool restarted = worker.incarnation != 0 && answer.incarnation != worker.incarnation;
    const bool unannounced = restarted && !has_announced_end(worker);
    const bool crashed = unannounced && (!was_unreachable || worker.silent_by_disconnect);
    if (restarted) {
        // The new incarnation numbers its ends from the beginning. A start in transit may run in it, so runs
        // are still compared with the list as usual.
        record(unannounced ? decision::worker_crashed : decision::worker_lapsed, {}, answer.worker,
               "restarted", milliseconds(static_cast<std::int64_t>(worker.runs.size())));
        worker.acknowledged = 0;
        on_worker_restart(now, worker);
    }
    if (crashed && !was_unreachable) {
        note_silence(now, worker, true);
    }
    explain_silence(now, worker, answer.incarnation);
    if (list_state_lost && answer.incarnation != 0) {
        explain_reported(now, worker, answer.incarnation);
    }
    if (worker.lists_sent >= worker.first_clock_list) {
        update_clock_offset(now, worker, answer.clock_ms);
    } else {
        worker.next_list = now;
    }
    std::set<task_ref> present;
    std::set<job_id> adopting;
    std::vector<task_ref> unknown;
    for (const listed_run& listed : answer.running) {
        present.insert(listed.task);
        const auto found = worker.runs.find(listed.task);
        if (found != worker.runs.end() && !(listed.run < found->second.number)) {
            confirm_run(worker, found->second);
        } else if (found == worker.runs.end()) {
            add_unknown_run(now, worker, listed);
            unknown.push_back(listed.task);
            adopting.insert(listed.task.job);
        }
    }
    const bool first_list = !std::exchange(worker.listed, true);
    if (list_state_lost) {
        reject_abandoned_starts(worker);
    }
    for (const listed_end& ended : answer.ended) {
        if (ended.number <= worker.acknowledged) {
            continue;
        }
        worker.acknowledged = ended.number;
        worker.ends_pending = true;
        const auto found = worker.runs.find(ended.task);
        if (found != worker.runs.end() && found->second.number == ended.run) {
            end_run(now, worker, ended.task, ended.end);
        } else if (ended.end == run_end::done && now - m_created < orphan_end_retention) {
            m_orphan_ends.emplace(ended.task, now);
            adopting.insert(ended.task.job);
        }
    }
    for (const job_id& id : adopting) {
        if (job_record* job = find_job(id)) {
            adopt_runs(now, *job);
            finish_if_done(now, id);
        }
    }
    stop_unknown_runs(now, worker, unknown, first_list);
    std::vector<task_ref> missing;
    for (const auto& [ref, run] : worker.runs) {
        if (run.first_list_with_run && !present.contains(ref) &&
            *run.first_list_with_run <= worker.lists_sent) {
            missing.push_back(ref);
        }
    }
    sort_by_start(worker, missing);
    for (const task_ref& ref : missing) {
        end_run(now, worker, ref, crashed ? run_end::crashed : run_end::lapsed);
    }
    if (unannounced) {
        // Starts that got no answer may have been what the former process ran last.
        for (const auto& [ref, run] : worker.runs) {
            if (!run.first_list_with_run && run.sent <= worker.list_sent && !present.contains(ref)) {
                missing.push_back(ref);
            }
        }
        add_loss(now, worker, missing, crashed);
    }
    worker.incarnation = answer.incarnation;
    if (!worker.runs.empty() || worker.ends_pending) {
        send_list(now, worker);
    }
    schedule(now);
}

void pool::on_list_failure(time_point now, const worker_id& id, list_failure cause)
{
    const auto position = m_workers.find(id);
    if (position == m_workers.end()) {
        return;
    }
    worker_record& worker = position->second;
    worker.list_pending = false;
    ++worker.unanswered_lists;
    worker.next_list =
        worker.unanswered_lists <= max_immediate_lists ? now : now + unreachable_retry_interval;
    if (cause == list_failure::fenced) {
        m_fenced = true;
        record(decision::fenced, {}, id, {});
        return;
    }
    if (cause == list_failure::other_incarnation) {
        on_worker_replaced(now, worker);
        return;
    }
    // Some cuts refuse connections, too, so that runs count as ended only when their leases have expired.
    const bool disconnected =
        cause == list_failure::connection_refused || cause == list_failure::connection_lost;
    const bool isolates = std::any_of(worker.runs.begin(), worker.runs.end(),
                                      [](const auto& entry) { return entry.second.isolated; });
    if (disconnected && isolates) {
        m_crashed_by_suspects.try_emplace(id, now);
    }
    // The worker is reachable if it has answered another command since the list was sent.
    const bool reachable = cause != list_failure::connection_refused &&
                           worker.last_answer_at > worker.list_sent &&
                           worker.unanswered_lists <= max_immediate_lists;
    if (!worker.unreachable && !reachable) {
        note_silence(now, worker, disconnected);
        worker.unreachable = true;
        record(decision::worker_silent, {}, id, std::string(to_string(cause)), elapsed(now, worker.list_sent),
               elapsed(worker.leases_expire_at, now));
    }
}

void pool::expire_runs(time_point now, worker_record& worker)
{
    std::vector<task_ref> expired;
    for (const auto& [ref, run] : worker.runs) {
        if (now >= (run.first_list_with_run ? worker.leases_expire_at : worker.long_leases_expire_at)) {
            expired.push_back(ref);
        }
    }
    if (expired.empty()) {
        return;
    }
    worker.listed = false;
    record(decision::worker_lapsed, {}, worker.entry.id, "lease lapsed",
           milliseconds(static_cast<std::int64_t>(expired.size())));
    // The directory may know of the next incarnation before the worker answers.
    const bool crashed = worker.incarnation != 0 && worker.entry.incarnation > worker.incarnation &&
                         !has_announced_end(worker) && ended_suddenly(worker);
    sort_by_start(worker, expired);
    for (const task_ref& ref : expired) {
        end_run(now, worker, ref, crashed ? run_end::crashed : run_end::lapsed);
    }
    add_loss(now, worker, expired, crashed);
}

void pool::requeue(job_record& job, std::uint32_t number)
{
    job.tasks[number].state = task_state::waiting;
    ++job.waiting;
}

// A list answer in transit at this time may predate the run, so only later lists must contain it.
void pool::confirm_run(const worker_record& worker, run_record& run)
{
    if (!run.first_list_with_run) {
        run.first_list_with_run = worker.lists_sent + 1;
    }
}

void pool::add_unknown_run(time_point now, worker_record& worker, const listed_run& listed)
{
    run_record orphan;
    orphan.task = listed.task;
    orphan.number = listed.run;
    orphan.need = {typical_cpu(), 0, 0};
    orphan.sent = now;
    confirm_run(worker, orphan);
    orphan.orphan = true;
    orphan.limit = now;
    worker.used = worker.used.plus(orphan.need);
    worker.runs.emplace(listed.task, orphan);
    // Its lease was granted by a command that this pool did not send, or sent long ago.
    worker.leases_expire_at =
        std::max(worker.leases_expire_at, now + m_options.max_lease + m_options.lease_margin);
}

void pool::stop_unknown_runs(time_point now, worker_record& worker, const std::vector<task_ref>& unknown,
                             bool keep_unclaimed)
{
    for (const task_ref& ref : unknown) {
        const auto found = worker.runs.find(ref);
        if (found != worker.runs.end() && found->second.orphan &&
            (!keep_unclaimed || find_job(ref.job) != nullptr)) {
            record(decision::orphan_stopped, ref.job, worker.entry.id, {});
            send_stop(now, worker, found->second);
        }
    }
}

void pool::end_run(time_point now, worker_record& worker, const task_ref& ref, run_end end)
{
    const auto found = worker.runs.find(ref);
    const run_record ended = found->second;
    worker.runs.erase(found);
    worker.used = worker.used.minus(ended.need);
    const bool lost = end == run_end::lapsed || end == run_end::crashed;
    if (!ended.first_list_with_run && (ended.stopping || lost)) {
        worker.abandoned.insert_or_assign(ref, abandoned_run{ended.number, now});
    }
    record(decision::run_ended, ref.job, worker.entry.id, std::string(to_string(end)),
           elapsed(now, ended.sent), ended.expected);
    if (end == run_end::done) {
        worker.failures_in_row = 0;
        worker.ejections = 0;
        if (!ended.orphan) {
            worker.speed.observe(now, ended.estimate, elapsed(now, ended.sent));
        }
    } else if (end == run_end::failed) {
        record_failure(now, worker, ref.job);
    }
    job_record* job = find_job(ref.job);
    if (job == nullptr || ended.orphan) {
        if (ended.orphan && end == run_end::done) {
            m_orphan_ends.emplace(ref, now);
        }
        return;
    }
    const std::uint32_t number = task_number(*job, ref);
    task_record& task = job->tasks[number];
    if (task.state == task_state::done || task.run != ended.number) {
        return;
    }
    if (end == run_end::done) {
        task.state = task_state::done;
        ++job->done;
        --job->unfinished_in_step.at(ref.step);
        if (job->suspects_in_step.at(ref.step) > 0) {
            count_suspects(*job);
        }
        m_finished_tasks[ref.job].push_back(number);
        if (job->done == job->tasks.size()) {
            m_finished_tasks.erase(ref.job);
        }
        finish_if_done(now, ref.job);
        return;
    }
    if (end == run_end::failed) {
        task.avoid = worker.entry.id;
        if (++task.failures >= job->offer.max_attempts) {
            task.state = task_state::waiting;
            job_result result = make_result(*job, job_end::failed);
            result.reason = refusal_reason::attempts_exhausted;
            finish_job(now, ref.job, std::move(result));
            return;
        }
    } else if (ended.overdue) {
        task.avoid = worker.entry.id;
    }
    requeue(*job, number);
}

void pool::record_failure(time_point now, worker_record& worker, const job_id& failed)
{
    if (worker.last_failed == failed && worker.failures_in_row > 0) {
        return;
    }
    worker.last_failed = failed;
    ++worker.failures_in_row;
    if (worker.failures_in_row < failures_to_eject && worker.ejections == 0) {
        return;
    }
    const milliseconds pause = initial_ejection * (1U << std::min(worker.ejections, max_ejection_doublings));
    worker.ejected_until = now + pause;
    ++worker.ejections;
    record(decision::worker_ejected, failed, worker.entry.id, "failures",
           milliseconds(worker.failures_in_row), pause);
}

void pool::send_stop(time_point now, worker_record& worker, run_record& run)
{
    run.stopping = true;
    run.stop_sent = now;
    if (job_record* job = find_job(run.task.job)) {
        task_record& task = job->tasks[task_number(*job, run.task)];
        if (task.run == run.number && task.state != task_state::done) {
            task.state = task_state::stopping;
        }
    }
    m_actions.emplace_back(make_stop(worker, run.task, run.number));
}

stop_command pool::make_stop(const worker_record& worker, const task_ref& task, run_number number) const
{
    return {{worker.entry.id, worker.entry.address},
            task,
            number,
            m_options.token,
            m_path.patience(stop_patience)};
}

void pool::reject_abandoned_starts(const worker_record& worker)
{
    for (const auto& [ref, start] : worker.abandoned) {
        const auto found = worker.runs.find(ref);
        if (found != worker.runs.end() && found->second.number == start.number) {
            continue;  // It has started after all, and is adopted or stopped as an unknown run.
        }
        m_actions.emplace_back(make_stop(worker, ref, start.number));
    }
}

void pool::check_runs(time_point now, worker_record& worker)
{
    std::vector<task_ref> stopped;
    for (auto& [ref, run] : worker.runs) {
        if (run.stop_acknowledged && now > *run.stop_acknowledged + 2 * m_options.stop_time) {
            stopped.push_back(ref);
        } else if (run.stopping && !run.stop_acknowledged &&
                   now > run.stop_sent + m_path.patience(stop_retry_interval) && !worker.unreachable) {
            send_stop(now, worker, run);
        } else if (run.orphan && !run.stopping && now > run.sent + adoption_timeout) {
            record(decision::orphan_stopped, ref.job, worker.entry.id, {});
            send_stop(now, worker, run);
        } else if (!run.orphan && !run.stopping && !worker.unreachable &&
                   now > run.sent + run.expected * overdue_factor + overdue_extra) {
            // Load pattern: workers on which tasks hang or slow down while their listings look healthy.
            run.overdue = true;
            worker.speed.observe_running(now, run.estimate, elapsed(now, run.sent));
            record(decision::run_overdue, ref.job, worker.entry.id, {}, elapsed(now, run.sent), run.expected);
            send_stop(now, worker, run);
        }
    }
    for (const task_ref& ref : stopped) {
        end_run(now, worker, ref, run_end::stopped);
    }
}

void pool::on_tick(time_point now)
{
    if (m_fenced) {
        return;
    }
    expire_grants(now);
    forget_released_owners(now);
    std::erase_if(m_losses, [now](const worker_loss& loss) { return now > loss.at + loss_retention; });
    const time_point listed_since = lists_needed_since(now);
    for (auto& [id, worker] : m_workers) {
        check_runs(now, worker);
        std::erase_if(worker.abandoned,
                      [now](const auto& entry) { return now > entry.second.at + max_command_delay; });
        if (now >= worker.silent_since + common_disconnect_window) {
            report_disconnected(now, worker);
        }
        if (worker.unreachable || !worker.listed) {
            expire_runs(now, worker);
        }
        const bool clock_known = worker.clock_offset_ms && now < worker.clock_updated_at + max_clock_age;
        const bool idle = worker.listed && worker.runs.empty() && !worker.unreachable &&
                          !worker.ends_pending && clock_known && worker.answered_list_sent >= listed_since;
        if (!worker.list_pending && !idle && now >= worker.next_list) {
            send_list(now, worker);
        }
    }
    std::erase_if(m_orphan_ends,
                  [now](const auto& entry) { return now > entry.second + orphan_end_retention; });
    remove_departed_workers();
    clear_evacuated(now);
    schedule(now);
    refuse_infeasible(now);
    return_surplus(now);
}

}  // namespace poplarshed::workers

#include <algorithm>
#include <array>
#include <string_view>

#include "workers/pool.h"

namespace poplarshed::workers {

namespace {

// A run that takes this many times its expected duration, and the extra time, is taken to be stuck.
constexpr int overdue_factor = 3;
constexpr milliseconds overdue_extra{150};
// A list order is repeated at once where the worker has not answered, since an answer may have been lost; two
// such answers fit into the lease. After that it is repeated after a pause.
constexpr unsigned quick_lists = 2;
constexpr milliseconds silent_retry{250};
// A stop without an answer is sent again.
constexpr milliseconds stop_retry{100};
// An unhealthy worker gets no start for this time.
constexpr milliseconds unhealthy_pause{200};
// Something unknown runs on a worker without room; a list order that is sent at once tells what it is.
constexpr milliseconds no_room_pause{60};
// A worker that fails tasks of this many jobs in a row is ejected. Tasks fail by their own fault in 0.2% of
// runs.
constexpr unsigned failures_to_eject = 3;
constexpr milliseconds first_ejection{1000};
constexpr unsigned max_ejection_doublings = 2;
constexpr milliseconds orphan_end_time{3000};
// A worker's steady clock may be 2% slow (the platform's protocol, "Running tasks").
constexpr int clock_drift_divisor = 50;
// An idle worker is listed this often, so that drift takes at most 200 ms of the lease of its next run.
constexpr milliseconds clock_lifetime{10'000};
// A call without an answer may be carried out seconds later (the platform's protocol, "Running tasks"), also
// by a worker that has started anew meanwhile.
constexpr milliseconds late_order_time{15'000};
// A clock that reads less than drift and the time of an answer explain has begun anew.
constexpr milliseconds clock_tolerance{1000};
// Run numbers of a former holder may be higher where clocks differ.
constexpr std::uint64_t run_number_step = 10'000'000;

constexpr std::array<std::string_view, start_outcome_count> outcome_names{
    "started",           "fenced",   "superseded",  "expired",   "no_room", "no_ticket", "unhealthy",
    "other_incarnation", "rejected", "unreachable", "unanswered"};

milliseconds since(time_point now, time_point then)
{
    return std::chrono::duration_cast<milliseconds>(now - then);
}

std::int64_t steady_ms(time_point at)
{
    return std::chrono::duration_cast<milliseconds>(at.time_since_epoch()).count();
}

}  // namespace

void pool::on_directory(time_point now, const std::vector<worker_entry>& entries)
{
    for (auto& [id, on] : m_workers) {
        on.present = false;
    }
    for (const worker_entry& entry : entries) {
        const auto [position, added] = m_workers.try_emplace(entry.id);
        worker& on = position->second;
        const bool anew = !added && on.entry.incarnation != entry.incarnation;
        on.present = true;
        on.entry = entry;
        if (anew) {
            // An answer of the earlier life may be on its way.
            on.clock_offset_ms.reset();
            on.clock_list = on.lists + 1;
            on_new_life(now, on);
            if (!on.list_pending) {
                send_list(now, on);
            }
        } else if (added) {
            on.lapse_at = now + m_options.max_lease + m_options.lease_margin;
            send_list(now, on);
        }
    }
    forget_departed();
}

void pool::forget_departed()
{
    std::erase_if(m_workers, [](const auto& item) {
        return !item.second.present && item.second.runs.empty() && !item.second.list_pending;
    });
}

std::int64_t pool::worker_time(time_point at, const worker& on) const
{
    return steady_ms(at) + on.clock_offset_ms.value_or(0) -
           since(at, on.clock_noted).count() / clock_drift_divisor;
}

void pool::note_clock(time_point now, worker& on, std::int64_t clock_ms)
{
    if (on.clock_offset_ms && clock_ms + clock_tolerance.count() < worker_time(now, on)) {
        on_new_life(now, on);
    }
    on.clock_offset_ms = clock_ms - steady_ms(now);
    on.clock_noted = now;
}

// Orders that were meant for an earlier life expire far ahead on a clock that has begun anew, so that they
// are accepted late and give the greatest lease.
void pool::on_new_life(time_point now, worker& on)
{
    on.life_known = now;
    on.long_leases_until = now + late_order_time;
    on.lapse_at = std::max(on.lapse_at, now + lapse_time(now, on));
}

milliseconds pool::lapse_time(time_point now, const worker& on) const
{
    // The clock of a worker that was idle may have begun anew.
    const bool long_lease = now < on.long_leases_until || now > on.clock_noted + clock_tolerance;
    return (long_lease ? m_options.max_lease : m_options.lease) + m_options.lease_margin;
}

void pool::send_list(time_point now, worker& on)
{
    list_command order{{on.entry.id, on.entry.address}, std::nullopt, on.acknowledged, {}, m_options.token};
    const time_point until = std::min(now + m_options.lease, lease_limit(on));
    if (on.listed && !on.silent && !on.runs.empty() && on.clock_offset_ms && until > now) {
        order.lease_until_ms = worker_time(until, on);
        order.wait = m_options.list_wait;
        on.lapse_at = std::max(on.lapse_at, now + lapse_time(now, on));
    }
    ++on.lists;
    on.list_pending = true;
    on.ends_pending = false;
    on.list_sent = now;
    m_actions.emplace_back(std::move(order));
}

// A run whose owner has not renewed the grant, or whose stop is not acknowledged, must end although others on
// its worker go on; the worker knows one lease for all.
time_point pool::lease_limit(const worker& on) const
{
    time_point end = time_point::max();
    for (const auto& [ref, item] : on.runs) {
        const auto owner = m_jobs.find(ref.job);
        const bool granted = !item.limit && owner != m_jobs.end();
        end = std::min(end, granted ? owner->second->granted_until + run_grace_period
                                    : item.limit.value_or(time_point{}));
    }
    return end;
}

void pool::on_start_reply(time_point now, const start_reply& reply)
{
    const auto position = m_workers.find(reply.worker);
    if (position == m_workers.end()) {
        return;
    }
    worker& on = position->second;
    if (reply.clock_ms) {
        on.answered = now;
    }
    const auto found = on.runs.find(reply.task);
    if (found == on.runs.end() || found->second.number != reply.run) {
        return;
    }
    run& item = found->second;
    if (reply.clock_ms && on.clock_offset_ms && item.sent > on.life_known) {
        note_clock(now, on, *reply.clock_ms);
    }
    if (reply.outcome == start_outcome::started) {
        confirm(on, item);
        job* owner = find_job(reply.task.job);
        if (owner != nullptr && !item.stopping) {
            owner->tasks[number_of(*owner, reply.task)].state = task_state::running;
        }
        return;
    }
    record(decision::start_failed, reply.task.job, reply.worker,
           std::string(outcome_names.at(static_cast<std::size_t>(reply.outcome))), since(now, item.sent));
    if (reply.outcome == start_outcome::unanswered) {
        send_stop(now, on, item);
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
        on.no_start_until = now + no_room_pause;
        if (!on.list_pending) {
            send_list(now, on);
        }
    } else if (reply.outcome != start_outcome::superseded && reply.outcome != start_outcome::expired) {
        on.no_start_until = now + unhealthy_pause;
    }
    end_run(now, on, reply.task, run_end::stopped);
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
    worker& on = position->second;
    const bool back = on.silent || !on.listed || answer.incarnation != on.incarnation;
    on.list_pending = false;
    on.unanswered_lists = 0;
    if (on.silent) {
        on.silent = false;
        record(decision::worker_back, {}, answer.worker, {}, since(now, on.list_sent));
    }
    if (on.listed && answer.incarnation != on.incarnation) {
        // Ends are numbered anew. A start that was on its way may run in the new life, so runs are judged by
        // the list as usual.
        record(decision::worker_lapsed, {}, answer.worker, "started anew",
               milliseconds(static_cast<std::int64_t>(on.runs.size())));
        on.acknowledged = 0;
        on_new_life(now, on);
    }
    on.incarnation = answer.incarnation;
    if (on.lists >= on.clock_list) {
        note_clock(now, on, answer.clock_ms);
    } else {
        on.next_list = now;
    }
    std::set<task_ref> present;
    std::set<job_id> adopting;
    for (const listed_run& item : answer.running) {
        present.insert(item.task);
        const auto found = on.runs.find(item.task);
        if (found != on.runs.end() && !(item.run < found->second.number)) {
            confirm(on, found->second);
        } else if (found == on.runs.end() && !on.listed) {
            run orphan;
            orphan.task = item.task;
            orphan.number = item.run;
            orphan.need = {typical_cpu(), 0, 0};
            orphan.sent = now;
            confirm(on, orphan);
            orphan.orphan = true;
            orphan.limit = now;
            on.used = on.used.plus(orphan.need);
            on.runs.emplace(item.task, orphan);
            adopting.insert(item.task.job);
        } else if (found == on.runs.end()) {
            // A start that was given up and has arrived after all.
            m_actions.emplace_back(
                stop_command{{on.entry.id, on.entry.address}, item.task, item.run, m_options.token});
        }
    }
    on.listed = true;
    if (back) {
        close_given_up(on);
    }
    for (const listed_end& item : answer.ended) {
        if (item.number <= on.acknowledged) {
            continue;
        }
        on.acknowledged = item.number;
        on.ends_pending = true;
        const auto found = on.runs.find(item.task);
        if (found != on.runs.end() && found->second.number == item.run) {
            end_run(now, on, item.task, item.how);
        } else if (item.how == run_end::done && now - m_created < orphan_end_time) {
            m_orphan_ends.emplace(item.task, now);
            adopting.insert(item.task.job);
        }
    }
    for (const job_id& id : adopting) {
        if (job* item = find_job(id)) {
            adopt(now, *item);
            finish_if_done(now, id);
        }
    }
    std::vector<task_ref> gone;
    for (const auto& [ref, item] : on.runs) {
        if (item.shown_since && !present.contains(ref) && *item.shown_since <= on.lists) {
            gone.push_back(ref);
        }
    }
    for (const task_ref& ref : gone) {
        end_run(now, on, ref, run_end::lapsed);
    }
    if (!on.runs.empty() || on.ends_pending) {
        send_list(now, on);
    }
    schedule(now);
}

void pool::on_list_failure(time_point now, const worker_id& id, list_failure cause)
{
    const auto position = m_workers.find(id);
    if (position == m_workers.end()) {
        return;
    }
    worker& on = position->second;
    on.list_pending = false;
    ++on.unanswered_lists;
    on.next_list = on.unanswered_lists <= quick_lists ? now : now + silent_retry;
    if (cause == list_failure::fenced) {
        m_fenced = true;
        record(decision::fenced, {}, id, {});
        return;
    }
    if (cause == list_failure::other_incarnation) {
        lapse_all(now, on, "replaced");
        on.listed = false;
        return;
    }
    // It has answered another order meanwhile, so it lives.
    const bool alive = on.answered > on.list_sent && on.unanswered_lists <= quick_lists;
    if (!on.silent && !alive) {
        on.silent = true;
        record(decision::worker_silent, {}, id, {}, since(now, on.list_sent), since(on.lapse_at, now));
    }
}

void pool::lapse_all(time_point now, worker& on, std::string_view cause)
{
    record(decision::worker_lapsed, {}, on.entry.id, std::string(cause),
           milliseconds(static_cast<std::int64_t>(on.runs.size())));
    while (!on.runs.empty()) {
        end_run(now, on, task_ref(on.runs.begin()->first), run_end::lapsed);
    }
}

void pool::requeue(job& item, std::uint32_t number)
{
    item.tasks[number].state = task_state::waiting;
    ++item.waiting;
}

// An answer that was on its way when the worker told of the run may be older than the run.
void pool::confirm(const worker& on, run& item)
{
    if (!item.shown_since) {
        item.shown_since = on.lists + 1;
    }
}

void pool::end_run(time_point now, worker& on, const task_ref& ref, run_end how)
{
    const auto found = on.runs.find(ref);
    const run ended = found->second;
    on.runs.erase(found);
    on.used = on.used.minus(ended.need);
    if (!ended.shown_since && (ended.stopping || how == run_end::lapsed)) {
        on.given_up.insert_or_assign(ref, given_up_run{ended.number, now});
    }
    record(decision::run_ended, ref.job, on.entry.id, std::string(to_string(how)), since(now, ended.sent),
           ended.expected);
    if (how == run_end::done) {
        on.failures_in_row = 0;
        on.ejections = 0;
        if (!ended.orphan) {
            on.speed.observe(now, ended.estimate, since(now, ended.sent));
        }
    } else if (how == run_end::failed) {
        note_failure(now, on, ref.job);
    }
    job* item = find_job(ref.job);
    if (item == nullptr || ended.orphan) {
        if (ended.orphan && how == run_end::done) {
            m_orphan_ends.emplace(ref, now);
        }
        return;
    }
    const std::uint32_t number = number_of(*item, ref);
    task& one = item->tasks[number];
    if (one.state == task_state::done || one.run != ended.number) {
        return;
    }
    if (how == run_end::done) {
        one.state = task_state::done;
        ++item->done;
        --item->step_left.at(ref.step);
        m_progress[ref.job].push_back(number);
        if (item->done == item->tasks.size()) {
            m_progress.erase(ref.job);
        }
        finish_if_done(now, ref.job);
        return;
    }
    if (how == run_end::failed) {
        one.avoid = on.entry.id;
        if (++one.failures >= item->offer.max_attempts) {
            one.state = task_state::waiting;
            job_result result = answer_to(*item, job_end::failed);
            result.reason = refusal_reason::attempts_exhausted;
            finish_job(now, ref.job, std::move(result));
            return;
        }
    } else if (ended.overdue) {
        one.avoid = on.entry.id;
    }
    requeue(*item, number);
}

void pool::note_failure(time_point now, worker& on, const job_id& failed)
{
    if (on.last_failed == failed && on.failures_in_row > 0) {
        return;
    }
    on.last_failed = failed;
    ++on.failures_in_row;
    if (on.failures_in_row < failures_to_eject && on.ejections == 0) {
        return;
    }
    const milliseconds pause = first_ejection * (1U << std::min(on.ejections, max_ejection_doublings));
    on.ejected_until = now + pause;
    ++on.ejections;
    record(decision::worker_ejected, failed, on.entry.id, "failures", milliseconds(on.failures_in_row),
           pause);
}

void pool::send_stop(time_point now, worker& on, run& item)
{
    item.stopping = true;
    item.stop_sent = now;
    if (job* owner = find_job(item.task.job)) {
        task& one = owner->tasks[number_of(*owner, item.task)];
        if (one.run == item.number && one.state != task_state::done) {
            one.state = task_state::stopping;
        }
    }
    m_actions.emplace_back(
        stop_command{{on.entry.id, on.entry.address}, item.task, item.number, m_options.token});
}

void pool::close_given_up(const worker& on)
{
    for (const auto& [ref, item] : on.given_up) {
        m_actions.emplace_back(
            stop_command{{on.entry.id, on.entry.address}, ref, item.number, m_options.token});
    }
}

void pool::check_runs(time_point now, worker& on)
{
    std::vector<task_ref> stopped;
    for (auto& [ref, item] : on.runs) {
        if (item.stop_acknowledged && now > *item.stop_acknowledged + 2 * m_options.stop_time) {
            stopped.push_back(ref);
        } else if (item.stopping && !item.stop_acknowledged && now > item.stop_sent + stop_retry &&
                   !on.silent) {
            send_stop(now, on, item);
        } else if (item.orphan && !item.stopping && now > item.sent + adoption_timeout) {
            record(decision::orphan_stopped, ref.job, on.entry.id, {});
            send_stop(now, on, item);
        } else if (!item.orphan && !item.stopping && !on.silent &&
                   now > item.sent + item.expected * overdue_factor + overdue_extra) {
            // Load pattern: workers on which tasks stand still or crawl while their listings look well.
            item.overdue = true;
            on.speed.observe_running(now, item.estimate, since(now, item.sent));
            record(decision::run_overdue, ref.job, on.entry.id, {}, since(now, item.sent), item.expected);
            send_stop(now, on, item);
        }
    }
    for (const task_ref& ref : stopped) {
        end_run(now, on, ref, run_end::stopped);
    }
}

void pool::on_tick(time_point now)
{
    if (m_fenced) {
        return;
    }
    end_grants(now);
    for (auto& [id, on] : m_workers) {
        check_runs(now, on);
        std::erase_if(on.given_up,
                      [now](const auto& item) { return now > item.second.at + late_order_time; });
        if ((on.silent || !on.listed) && !on.runs.empty() && now >= on.lapse_at) {
            lapse_all(now, on, "lease lapsed");
            on.listed = false;
        }
        const bool clock_known = on.clock_offset_ms && now < on.clock_noted + clock_lifetime;
        const bool idle = on.listed && on.runs.empty() && !on.silent && !on.ends_pending && clock_known;
        if (!on.list_pending && !idle && now >= on.next_list) {
            send_list(now, on);
        }
    }
    std::erase_if(m_orphan_ends, [now](const auto& item) { return now > item.second + orphan_end_time; });
    forget_departed();
    schedule(now);
    refuse_hopeless(now);
    return_surplus(now);
}

}  // namespace poplarshed::workers

#include <algorithm>

#include "workers/pool.h"

namespace poplarshed::workers {

namespace {

// A job is returned only if another pool is expected to finish it earlier by at least this much.
constexpr milliseconds min_transfer_gain{25};
// Bounds of the retry delay in refusals.
constexpr milliseconds min_retry_after{100};
constexpr milliseconds max_retry_after{2000};
// An admitted job is refused if its expected finish exceeds the useful time by this factor; below it the
// forecast is not reliable enough.
constexpr double infeasible_factor = 1.25;

milliseconds elapsed(time_point now, time_point start)
{
    return std::chrono::duration_cast<milliseconds>(now - start);
}

}  // namespace

pool::pool(pool_options options, time_point now)
    : m_options(std::move(options)), m_created(now), m_last_run(m_options.first_run_number)
{
    if (m_options.evacuated) {
        m_evacuated_at = now - evacuation_grace;
    }
}

pool::~pool() = default;

pool::job_record* pool::find_job(const job_id& id)
{
    const auto found = m_jobs.find(id);
    return found == m_jobs.end() ? nullptr : found->second.get();
}

std::uint32_t pool::task_number(const job_record& job, const task_ref& ref) const
{
    return job.first_task.at(ref.step) + ref.index;
}

const job_step& pool::step_of(const job_record& job, std::uint32_t number) const
{
    return job.offer.steps.at(ref_of(job, number).step);
}

task_ref pool::ref_of(const job_record& job, std::uint32_t number) const
{
    const auto next = std::upper_bound(job.first_task.begin(), job.first_task.end(), number);
    const auto step = static_cast<std::uint32_t>(std::distance(job.first_task.begin(), next) - 1);
    return {job.offer.job, step, number - job.first_task.at(step)};
}

void pool::on_offer(time_point now, const endpoint& owner, job_offer offer)
{
    const auto granted = grant_expiry(now, offer.echoed_clock);
    on_losses(now, offer.job, offer.losses);
    job_record* const known = find_job(offer.job);
    // An order says who may start the job, and is no permission itself.
    const bool order_only = known == nullptr && offer.order == owner_order::only;
    if (!order_only && (!granted || (known == nullptr && *granted < now + min_new_grant))) {
        record(decision::offer_expired, offer.job, {}, owner.value(), clock_reading(now) - offer.echoed_clock,
               offer_validity);
        job_result answer;
        if (known != nullptr) {
            answer = not_held_answer(*known);
        } else {
            answer.job = offer.job;
            answer.holder = m_options.own_address;
            answer.end = job_end::not_held;
            answer.may_have_run = false;
            answer.uncertain_tasks = offer.uncertain_tasks;
        }
        answer.number = offer.number;
        notify_owner(owner, std::move(answer));
        return;
    }
    if (known != nullptr) {
        on_known_offer(now, *known, owner, offer, *granted);
        return;
    }
    if (refuse_crashing(owner, offer)) {
        return;
    }
    if (m_fenced && order_only) {
        job_result answer;
        answer.job = offer.job;
        answer.holder = m_options.own_address;
        answer.end = job_end::not_held;
        answer.may_have_run = false;
        answer.number = offer.number;
        notify_owner(owner, std::move(answer));
        return;
    }
    if (order_owners(now, owner, offer)) {
        return;
    }
    auto created = std::make_unique<job_record>();
    job_record& job = *created;
    job.owner = owner;
    job.granted_until = granted.value_or(now);
    set_times(now, job, offer);
    for (const job_step& step : offer.steps) {
        job.first_task.push_back(static_cast<std::uint32_t>(job.tasks.size()));
        job.unfinished_in_step.push_back(step.tasks);
        job.suspects_in_step.push_back(0);
        job.tasks.resize(job.tasks.size() + step.tasks);
    }
    job.waiting = static_cast<std::uint32_t>(job.tasks.size());
    job.uncertain.insert(offer.uncertain_tasks.begin(), offer.uncertain_tasks.end());
    job.uncertain_until = now + offer.uncertain_for;
    job.offer = std::move(offer);
    job.started = job.offer.may_have_run;
    for (const std::uint32_t number : job.offer.done_tasks) {
        mark_done(job, number);
    }
    explain_by_directory(job);
    count_losses(now, job);
    adopt_runs(now, job);
    // Tasks may have been started for a former owner, so a refusal would not be true, and the job must not
    // move to another pool.
    job.started = job.started || may_run_here(job.offer.job);
    if (has_other_owner(job)) {
        job.started = true;
        record(decision::awaits_owner, job.offer.job, {}, owner.value());
    }
    if (!job.started && refuse_oversized(now, job)) {
        return;
    }
    learn_needs(job.offer);
    if (!job.started && !admit(now, job)) {
        return;
    }
    if (job.offer.order == owner_order::only) {
        notify_owner(owner, job_progress{job.offer.job, {}});
    }
    const job_id id = job.offer.job;
    m_jobs.emplace(id, std::move(created));
    give_up_if_crashing(now, id);
    finish_if_done(now, id);
    schedule(now);
}

void pool::set_times(time_point now, job_record& job, const job_offer& offer)
{
    job.arrived = now - offer.age;
    job.objective_at = job.arrived + offer.objective;
    job.deadline_at = job.arrived + offer.deadline;
    job.useful_until = std::min(job.arrived + offer.objective * max_objective_multiple, job.deadline_at);
}

// The owner has offered the job again, or the caller has sent it again through another instance. The runs
// continue under the new offer.
void pool::on_known_offer(time_point now, job_record& job, const endpoint& owner, const job_offer& offer,
                          time_point granted)
{
    if (offer.order == owner_order::only) {
        notify_owner(owner, job_progress{offer.job, {}});
    }
    if (job.owner == owner && !(job.offer.number < offer.number)) {
        return;
    }
    if (job.owner != owner) {
        // Offer numbers of two owners cannot be compared. A delayed offer looks younger by its delay, at most
        // offer_validity; a caller usually waits for longer before it sends a job again.
        const bool newer = now - offer.age > job.arrived;
        job_result superseded = make_result(job, job_end::gave_up);
        superseded.reason = refusal_reason::cancelled;
        superseded.number = newer ? job.offer.number : offer.number;
        record(decision::owner_superseded, offer.job, {}, newer ? job.owner.value() : owner.value());
        notify_owner(newer ? job.owner : owner, std::move(superseded));
        if (!newer) {
            return;
        }
        job.owner = owner;
    }
    set_times(now, job, offer);
    job.offer.number = offer.number;
    job.offer.attempt = offer.attempt;
    job.offer.order = offer.order;
    job.granted_until = granted;
    for (const std::uint32_t number : offer.done_tasks) {
        mark_done(job, number);
    }
    for (const std::uint32_t number : offer.uncertain_tasks) {
        if (number < job.tasks.size() && job.tasks[number].state == task_state::waiting) {
            job.uncertain.insert(number);
        }
    }
    job.uncertain_until = std::max(job.uncertain_until, now + offer.uncertain_for);
    finish_if_done(now, offer.job);
    schedule(now);
}

void pool::mark_done(job_record& job, std::uint32_t number)
{
    if (number >= job.tasks.size() || job.tasks[number].state != task_state::waiting) {
        return;
    }
    job.tasks[number].state = task_state::done;
    --job.waiting;
    ++job.done;
    --job.unfinished_in_step.at(ref_of(job, number).step);
}

// Adopts runs that a former holder started or saw end, and runs of a previously dropped job that are still
// being stopped. Called for each offer and each listing, since a new holder receives the two in any order.
void pool::adopt_runs(time_point now, job_record& job)
{
    for (std::uint32_t number = 0; number < job.tasks.size(); ++number) {
        if (m_orphan_ends.erase(ref_of(job, number)) > 0) {
            mark_done(job, number);
            m_finished_tasks[job.offer.job].push_back(number);
            job.started = true;
        }
    }
    for (auto& [id, worker] : m_workers) {
        for (auto& [ref, run] : worker.runs) {
            if (ref.job != job.offer.job || ref.step >= job.first_task.size() ||
                ref.index >= job.offer.steps.at(ref.step).tasks) {
                continue;
            }
            const std::uint32_t number = task_number(job, ref);
            if (number >= job.tasks.size() || job.tasks[number].state != task_state::waiting) {
                continue;
            }
            // A former holder may end its run and start the task elsewhere while its grant lasts.
            if (!std::exchange(run.orphan, false)) {
                job.uncertain.erase(number);
            }
            run.limit.reset();
            worker.used = worker.used.minus(run.need).plus(step_of(job, number).need);
            run.need = step_of(job, number).need;
            run.estimate = local_estimate(worker, step_of(job, number));
            run.expected = expected_duration(now, worker, step_of(job, number));
            job.tasks[number].state = run.stopping ? task_state::stopping : task_state::running;
            job.tasks[number].run = run.number;
            job.tasks[number].worker = id;
            run.isolated = job.tasks[number].suspected;
            job.started = true;
            --job.waiting;
        }
    }
}

void pool::finish_if_done(time_point now, const job_id& id)
{
    const job_record* job = find_job(id);
    if (job != nullptr && job->done == job->tasks.size()) {
        finish_job(now, id, make_result(*job, job_end::completed));
    }
}

bool pool::admit(time_point now, job_record& job)
{
    if (m_evacuated_at) {
        record(decision::evacuated, job.offer.job, {}, "not admitted");
        pass_on(job);
        return false;
    }
    const double ratio = mean_ratio(now);
    const queue_rank own = rank(now, job, ratio);
    backlog queue = current_backlog(now);
    for (const auto& [id, other] : m_jobs) {
        if (other->waiting > 0 && !(own < rank(now, *other, ratio))) {
            queue.ahead_cpu_ms += demand(*other, ratio).cpu_ms;
        }
    }
    const job_demand need = demand(job, ratio);
    const auto predicted = expected_finish(queue, need);
    const milliseconds left = elapsed(job.useful_until, now);
    if (!predicted) {
        refuse(now, job, refusal_reason::no_runners, min_retry_after, {});
        return false;
    }
    if (*predicted > elapsed(job.objective_at, now) && job.offer.returns < max_returns) {
        for (const pool_load& other : m_other_pools) {
            const auto other_finish =
                expected_finish({other.capacity_cpu, other.free_cpu, other.waiting_cpu_ms}, need);
            if (other_finish && *other_finish + min_transfer_gain < *predicted) {
                record(decision::returned_to_owner, job.offer.job, {}, other.pool.value(), *predicted,
                       *other_finish);
                pass_on(job);
                return false;
            }
        }
    }
    if (*predicted > left) {
        refuse(now, job, refusal_reason::deadline_unreachable,
               std::clamp(*predicted - left, min_retry_after, max_retry_after), *predicted);
        return false;
    }
    record(decision::admitted, job.offer.job, {}, {}, *predicted, left);
    return true;
}

void pool::refuse(time_point now, const job_record& job, refusal_reason reason, milliseconds retry_after,
                  milliseconds predicted)
{
    const bool no_worker = reason == refusal_reason::no_runners || reason == refusal_reason::impossible;
    record(no_worker ? decision::refused_no_worker : decision::refused_too_late, job.offer.job, {},
           std::string(to_string(reason)), predicted, elapsed(job.useful_until, now));
    job_result result = make_result(job, job_end::refused);
    result.reason = reason;
    result.retry_after = retry_after;
    notify_owner(job.owner, std::move(result));
}

// Load pattern: a burst of urgent jobs after others were admitted. Jobs that have not started and can no
// longer finish in time are refused at once rather than at their deadline.
void pool::refuse_infeasible(time_point now)
{
    const double ratio = mean_ratio(now);
    backlog queue = current_backlog(now);
    std::vector<job_id> infeasible;
    for (const job_record* job : waiting_in_order(now)) {
        const job_demand need = demand(*job, ratio);
        const auto predicted = expected_finish(queue, need);
        const milliseconds left = elapsed(job->started ? job->deadline_at : job->useful_until, now);
        const bool late = predicted && static_cast<double>(predicted->count()) >
                                           static_cast<double>(left.count()) * infeasible_factor;
        if (left < need.critical_path / 2 || (late && !job->started)) {
            infeasible.push_back(job->offer.job);
            continue;
        }
        queue.ahead_cpu_ms += need.cpu_ms;
    }
    for (const job_id& id : infeasible) {
        const job_record& job = *find_job(id);
        if (job.started) {
            job_result result = make_result(job, job_end::gave_up);
            result.reason = refusal_reason::timed_out;
            finish_job(now, id, std::move(result));
            continue;
        }
        refuse(now, job, refusal_reason::deadline_unreachable, min_retry_after, {});
        m_jobs.erase(id);
    }
}

// Load pattern: callers are spread unevenly over data centres, so that one pool has a backlog while another
// has free capacity.
void pool::return_surplus(time_point now)
{
    std::int64_t room = 0;
    for (const pool_load& other : m_other_pools) {
        room += other.waiting_cpu_ms == 0 ? other.free_cpu : 0;
    }
    if (room <= 0) {
        return;
    }
    const double ratio = mean_ratio(now);
    std::vector<job_id> moved;
    for (const job_record* job : waiting_in_order(now)) {
        // A job that waits for its rack does not lack room here.
        if (job->started || job->offer.returns >= max_returns || job->waits_for_rack) {
            continue;
        }
        const job_demand need = demand(*job, ratio);
        if (need.cpu > room) {
            continue;
        }
        room -= need.cpu;
        moved.push_back(job->offer.job);
    }
    for (const job_id& id : moved) {
        record(decision::returned_to_owner, id, {}, "another pool has room");
        pass_on(*find_job(id));
        m_jobs.erase(id);
    }
}

void pool::set_evacuated(time_point now, bool evacuated)
{
    if (evacuated == m_evacuated_at.has_value()) {
        return;
    }
    m_evacuated_at = evacuated ? std::optional(now) : std::nullopt;
    clear_evacuated(now);
    schedule(now);
}

void pool::clear_evacuated(time_point now)
{
    if (!m_evacuated_at) {
        return;
    }
    std::vector<job_id> moved;
    std::vector<job_id> ended;
    for (const auto& [id, job] : m_jobs) {
        if (!job->started && job->offer.order != owner_order::only) {
            moved.push_back(id);
        } else if (job->started && job->waiting > 0 && now >= *m_evacuated_at + evacuation_grace &&
                   knows_former_runs(now, *job)) {
            ended.push_back(id);
        }
    }
    for (const job_id& id : moved) {
        record(decision::evacuated, id, {}, "moved");
        pass_on(*find_job(id));
        m_jobs.erase(id);
    }
    for (const job_id& id : ended) {
        record(decision::evacuated, id, {}, "ended");
        job_result result = make_result(*find_job(id), job_end::gave_up);
        result.reason = refusal_reason::no_runners;
        finish_job(now, id, std::move(result));
    }
}

job_result pool::make_result(const job_record& job, job_end end) const
{
    job_result result;
    result.job = job.offer.job;
    result.holder = m_options.own_address;
    result.end = end;
    result.may_have_run = job.started;
    result.number = job.offer.number;
    return result;
}

void pool::finish_job(time_point now, const job_id& id, job_result result)
{
    const job_record* job = find_job(id);
    stop_tasks(now, *job);
    record(decision::job_ended, id, {}, std::string(to_string(result.end)), elapsed(now, job->arrived),
           job->offer.objective);
    notify_owner(job->owner, std::move(result));
    m_jobs.erase(id);
}

void pool::drop_job(time_point now, const job_id& id, std::string_view cause)
{
    const job_record* job = find_job(id);
    if (job == nullptr) {
        return;
    }
    record(decision::job_ended, id, {}, std::string(cause), elapsed(now, job->arrived), job->offer.objective);
    stop_tasks(now, *job);
    m_jobs.erase(id);
}

job_result pool::not_held_answer(const job_record& job) const
{
    job_result result = make_result(job, job_end::not_held);
    for (std::uint32_t number = 0; number < job.tasks.size(); ++number) {
        const task_state state = job.tasks[number].state;
        const bool open = state == task_state::waiting && job.uncertain.contains(number);
        if (open || (state != task_state::waiting && state != task_state::done)) {
            result.uncertain_tasks.push_back(number);
        }
    }
    return result;
}

void pool::give_back(const job_record& job)
{
    // Before the result, because the owner offers the job again as soon as it has that.
    if (auto finished = m_finished_tasks.extract(job.offer.job)) {
        notify_owner(job.owner, job_progress{job.offer.job, std::move(finished.mapped())});
    }
    if (has_other_owner(job)) {
        // The next holder knows nothing of the other owner, and must not start the job before its runs have
        // ended.
        job_result result = make_result(job, job_end::gave_up);
        result.reason = refusal_reason::cancelled;
        notify_owner(job.owner, std::move(result));
        return;
    }
    notify_owner(job.owner, not_held_answer(job));
}

void pool::hand_over(time_point now)
{
    for (auto& [id, worker] : m_workers) {
        report_disconnected(now, worker);
    }
    for (const auto& [id, job] : m_jobs) {
        give_back(*job);
    }
    m_jobs.clear();
}

void pool::on_active_offers(time_point now, const active_offers& offers)
{
    release_withdrawn_owners(now, offers);
    const auto granted = grant_expiry(now, offers.echoed_clock);
    std::vector<job_id> withdrawn;
    for (const auto& [id, job] : m_jobs) {
        // An owner that has sent a clock once sends it in every message.
        if (job->owner != offers.owner || job->granted_until == unlimited_grant ||
            granted == unlimited_grant) {
            continue;
        }
        if (std::binary_search(offers.numbers.begin(), offers.numbers.end(), job->offer.number)) {
            job->granted_until = std::max(job->granted_until, granted.value_or(time_point{}));
        } else if (!(offers.last < job->offer.number)) {
            withdrawn.push_back(id);
        }
    }
    for (const job_id& id : withdrawn) {
        record(decision::grant_ended, id, {}, "withdrawn by the owner");
        drop_job(now, id, "withdrawn");
    }
}

void pool::expire_grants(time_point now)
{
    std::vector<job_id> ended;
    for (const auto& [id, job] : m_jobs) {
        if (now > job->granted_until) {
            ended.push_back(id);
        }
    }
    for (const job_id& id : ended) {
        const job_record& job = *find_job(id);
        record(decision::grant_ended, id, {}, "no status from the owner", elapsed(now, job.granted_until));
        give_back(job);
        drop_job(now, id, "grant expired");
    }
}

void pool::stop_tasks(time_point now, const job_record& job)
{
    for (std::uint32_t number = 0; number < job.tasks.size(); ++number) {
        const task_record& task = job.tasks[number];
        if (task.state == task_state::waiting || task.state == task_state::done) {
            continue;
        }
        worker_record& worker = m_workers.at(task.worker);
        const auto found = worker.runs.find(ref_of(job, number));
        if (found == worker.runs.end()) {
            continue;
        }
        // The grant of an owner that sends no clock does not expire.
        found->second.limit = std::min(job.granted_until, now + offer_validity) + run_grace_period;
        if (task.state != task_state::stopping) {
            send_stop(now, worker, found->second);
        }
    }
}

void pool::on_cancel(time_point now, const job_cancel& cancel)
{
    const auto admitted = m_admitted_owners.find(cancel.job);
    if (admitted != m_admitted_owners.end() && admitted->second.owner == cancel.owner &&
        admitted->second.attempt == cancel.number) {
        if (cancel.nothing_runs) {
            m_admitted_owners.erase(admitted);
            schedule(now);
        } else {
            release_owner(now, cancel.job, admitted->second, "cancelled");
        }
    }
    const job_record* job = find_job(cancel.job);
    if (job != nullptr && job->owner == cancel.owner && !(cancel.number < job->offer.number)) {
        drop_job(now, cancel.job, "cancelled");
        schedule(now);
    }
}

void pool::on_owner_lost(time_point now, const endpoint& owner)
{
    std::vector<job_id> lost;
    for (const auto& [id, job] : m_jobs) {
        if (job->owner == owner) {
            lost.push_back(id);
        }
    }
    for (const job_id& id : lost) {
        // In a one-way partition the owner may still receive messages from this instance; without this result
        // it would wait for the job until the deadline.
        give_back(*find_job(id));
        drop_job(now, id, "owner lost");
    }
}

void pool::on_other_pools(std::vector<pool_load> loads)
{
    m_other_pools = std::move(loads);
}

void pool::record(decision kind, const job_id& id, const worker_id& worker, std::string detail,
                  milliseconds input, milliseconds limit)
{
    const job_record* job = find_job(id);
    m_actions.emplace_back(decision_record{kind, id, worker, std::move(detail), input.count(), limit.count(),
                                           job == nullptr ? offer_number() : job->offer.number});
}

void pool::notify_owner(const endpoint& owner, owner_message message)
{
    m_actions.emplace_back(owner_notification{owner, std::move(message)});
}

std::vector<action> pool::take_actions()
{
    for (auto& [id, tasks] : m_finished_tasks) {
        if (const job_record* job = find_job(id)) {
            notify_owner(job->owner, job_progress{id, std::move(tasks)});
        }
    }
    m_finished_tasks.clear();
    return std::exchange(m_actions, {});
}

std::size_t pool::job_count() const
{
    return m_jobs.size();
}

void pool::add_owners(std::set<endpoint>& owners) const
{
    for (const auto& [id, job] : m_jobs) {
        owners.insert(job->owner);
    }
}

std::size_t pool::run_count() const
{
    std::size_t total = 0;
    for (const auto& [id, worker] : m_workers) {
        total += worker.runs.size();
    }
    return total;
}

}  // namespace poplarshed::workers

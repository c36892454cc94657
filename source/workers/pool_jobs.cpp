#include <algorithm>

#include "workers/pool.h"

namespace poplarshed::workers {

namespace {

// A job moves between pools at most this often; further moves cost more than they gain.
constexpr std::uint32_t max_returns = 2;
// Another pool must end a job sooner by this much to be worth the way there.
constexpr milliseconds worthwhile_gain{25};
// Least and greatest time after which a refused caller may try again.
constexpr milliseconds least_retry_after{100};
constexpr milliseconds greatest_retry_after{2000};
// A forecast beyond the useful time by this factor is certain enough to refuse a job that was admitted.
constexpr double hopeless_factor = 1.25;

milliseconds since(time_point now, time_point then)
{
    return std::chrono::duration_cast<milliseconds>(now - then);
}

}  // namespace

pool::pool(pool_options options, time_point now)
    : m_options(std::move(options)), m_created(now), m_last_run(m_options.first_run_number)
{}

pool::~pool() = default;

pool::job* pool::find_job(const job_id& id)
{
    const auto found = m_jobs.find(id);
    return found == m_jobs.end() ? nullptr : found->second.get();
}

std::uint32_t pool::number_of(const job& item, const task_ref& ref) const
{
    return item.first_task.at(ref.step) + ref.index;
}

const job_step& pool::step_of(const job& item, std::uint32_t number) const
{
    return item.offer.steps.at(ref_of(item, number).step);
}

task_ref pool::ref_of(const job& item, std::uint32_t number) const
{
    const auto next = std::upper_bound(item.first_task.begin(), item.first_task.end(), number);
    const auto step = static_cast<std::uint32_t>(std::distance(item.first_task.begin(), next) - 1);
    return {item.offer.job, step, number - item.first_task.at(step)};
}

void pool::on_offer(time_point now, const endpoint& owner, job_offer offer)
{
    const auto granted = grant_expiry(now, offer.echoed_clock);
    job* const known = find_job(offer.job);
    if (!granted || (known == nullptr && *granted < now + min_new_grant)) {
        record(decision::offer_expired, offer.job, {}, owner.value(), clock_reading(now) - offer.echoed_clock,
               offer_validity);
        tell(owner, job_result{offer.job,
                               m_options.own_address,
                               job_end::not_held,
                               {},
                               {},
                               offer.may_have_run,
                               offer.uncertain_tasks,
                               offer.number});
        return;
    }
    if (known != nullptr) {
        // The job was offered again, or the caller has sent it again through another instance. The runs go on
        // under the new offer; an earlier one that was held up changes nothing.
        if (known->owner != owner || known->offer.number < offer.number) {
            known->owner = owner;
            known->offer.number = offer.number;
            known->granted_until = *granted;
        }
        return;
    }
    auto created = std::make_unique<job>();
    job& item = *created;
    item.owner = owner;
    item.arrived = now - offer.age;
    item.objective_at = item.arrived + offer.objective;
    item.deadline_at = item.arrived + offer.deadline;
    item.granted_until = *granted;
    item.useful_until = std::min(item.arrived + offer.objective * max_objective_multiple, item.deadline_at);
    for (const job_step& step : offer.steps) {
        item.first_task.push_back(static_cast<std::uint32_t>(item.tasks.size()));
        item.step_left.push_back(step.tasks);
        item.tasks.resize(item.tasks.size() + step.tasks);
    }
    item.waiting = static_cast<std::uint32_t>(item.tasks.size());
    item.uncertain.insert(offer.uncertain_tasks.begin(), offer.uncertain_tasks.end());
    item.uncertain_until = now + offer.uncertain_for;
    item.offer = std::move(offer);
    item.started = item.offer.may_have_run;
    for (const std::uint32_t number : item.offer.done_tasks) {
        mark_done(item, number);
    }
    adopt(now, item);
    if (!item.started && !admit(now, item)) {
        return;
    }
    const job_id id = item.offer.job;
    m_jobs.emplace(id, std::move(created));
    finish_if_done(now, id);
    schedule(now);
}

void pool::mark_done(job& item, std::uint32_t number)
{
    if (number >= item.tasks.size() || item.tasks[number].state != task_state::waiting) {
        return;
    }
    item.tasks[number].state = task_state::done;
    --item.waiting;
    ++item.done;
    --item.step_left.at(ref_of(item, number).step);
}

// Takes what a former holder has started or seen end, and what is still being stopped of a job that was given
// up here. Called with each offer, and again for each listing, since owners and workers answer a new holder
// in any order.
void pool::adopt(time_point now, job& item)
{
    for (std::uint32_t number = 0; number < item.tasks.size(); ++number) {
        if (m_orphan_ends.erase(ref_of(item, number)) > 0) {
            mark_done(item, number);
            item.started = true;
        }
    }
    for (auto& [id, on] : m_workers) {
        for (auto& [ref, running] : on.runs) {
            if (ref.job != item.offer.job || ref.step >= item.first_task.size() ||
                ref.index >= item.offer.steps.at(ref.step).tasks) {
                continue;
            }
            const std::uint32_t number = number_of(item, ref);
            if (number >= item.tasks.size() || item.tasks[number].state != task_state::waiting) {
                continue;
            }
            running.orphan = false;
            running.limit.reset();
            on.used = on.used.minus(running.need).plus(step_of(item, number).need);
            running.need = step_of(item, number).need;
            item.uncertain.erase(number);
            running.estimate = step_of(item, number).estimate;
            running.expected = expected_on(now, on, step_of(item, number));
            item.tasks[number].state = running.stopping ? task_state::stopping : task_state::running;
            item.tasks[number].run = running.number;
            item.tasks[number].worker = id;
            item.started = true;
            --item.waiting;
        }
    }
}

void pool::finish_if_done(time_point now, const job_id& id)
{
    const job* item = find_job(id);
    if (item != nullptr && item->done == item->tasks.size()) {
        finish_job(now, id, answer_to(*item, job_end::completed));
    }
}

bool pool::admit(time_point now, job& item)
{
    const double ratio = mean_ratio(now);
    const queue_rank own = rank(now, item, ratio);
    backlog queue = current_backlog(now);
    for (const auto& [id, other] : m_jobs) {
        if (other->waiting > 0 && !(own < rank(now, *other, ratio))) {
            queue.ahead_cpu_ms += demand(*other, ratio).cpu_ms;
        }
    }
    const job_demand need = demand(item, ratio);
    const auto predicted = expected_finish(queue, need);
    const milliseconds left = since(item.useful_until, now);
    if (!predicted) {
        refuse(now, item, refusal_reason::no_runners, least_retry_after, {});
        return false;
    }
    if (*predicted > since(item.objective_at, now) && item.offer.returns < max_returns) {
        for (const pool_load& other : m_others) {
            const auto there =
                expected_finish({other.capacity_cpu, other.free_cpu, other.waiting_cpu_ms}, need);
            if (there && *there + worthwhile_gain < *predicted) {
                record(decision::returned_to_owner, item.offer.job, {}, other.pool.value(), *predicted,
                       *there);
                tell(item.owner, answer_to(item, job_end::returned));
                return false;
            }
        }
    }
    if (*predicted > left) {
        refuse(now, item, refusal_reason::deadline_unreachable,
               std::clamp(*predicted - left, least_retry_after, greatest_retry_after), *predicted);
        return false;
    }
    record(decision::admitted, item.offer.job, {}, {}, *predicted, left);
    return true;
}

void pool::refuse(time_point now, const job& item, refusal_reason reason, milliseconds retry_after,
                  milliseconds predicted)
{
    const bool no_worker = reason == refusal_reason::no_runners;
    record(no_worker ? decision::refused_no_worker : decision::refused_too_late, item.offer.job, {},
           std::string(to_string(reason)), predicted, since(item.useful_until, now));
    job_result result = answer_to(item, job_end::refused);
    result.reason = reason;
    result.retry_after = retry_after;
    tell(item.owner, std::move(result));
}

// Load pattern: a burst of urgent jobs after others were admitted. Those that cannot be in time any more and
// have not started are refused now, not when their time is over.
void pool::refuse_hopeless(time_point now)
{
    const double ratio = mean_ratio(now);
    backlog queue = current_backlog(now);
    std::vector<job_id> hopeless;
    for (const job* item : waiting_in_order(now)) {
        const job_demand need = demand(*item, ratio);
        const auto predicted = expected_finish(queue, need);
        const milliseconds left = since(item->started ? item->deadline_at : item->useful_until, now);
        const bool late = predicted && static_cast<double>(predicted->count()) >
                                           static_cast<double>(left.count()) * hopeless_factor;
        if (left < need.critical_path / 2 || (late && !item->started)) {
            hopeless.push_back(item->offer.job);
            continue;
        }
        queue.ahead_cpu_ms += need.cpu_ms;
    }
    for (const job_id& id : hopeless) {
        const job& item = *find_job(id);
        if (item.started) {
            job_result result = answer_to(item, job_end::gave_up);
            result.reason = refusal_reason::timed_out;
            finish_job(now, id, std::move(result));
            continue;
        }
        refuse(now, item, refusal_reason::deadline_unreachable, least_retry_after, {});
        m_jobs.erase(id);
    }
}

// Load pattern: callers are spread unevenly over data centres, so that one pool queues while another has
// room.
void pool::return_surplus(time_point now)
{
    std::int64_t room = 0;
    for (const pool_load& other : m_others) {
        room += other.waiting_cpu_ms == 0 ? other.free_cpu : 0;
    }
    if (room <= 0) {
        return;
    }
    const double ratio = mean_ratio(now);
    std::vector<job_id> moved;
    for (const job* item : waiting_in_order(now)) {
        if (item->started || item->offer.returns >= max_returns) {
            continue;
        }
        const job_demand need = demand(*item, ratio);
        if (need.cpu > room) {
            continue;
        }
        room -= need.cpu;
        moved.push_back(item->offer.job);
    }
    for (const job_id& id : moved) {
        record(decision::returned_to_owner, id, {}, "another pool has room");
        tell(find_job(id)->owner, answer_to(*find_job(id), job_end::returned));
        m_jobs.erase(id);
    }
}

job_result pool::answer_to(const job& item, job_end end) const
{
    job_result result;
    result.job = item.offer.job;
    result.holder = m_options.own_address;
    result.end = end;
    result.may_have_run = item.started;
    result.number = item.offer.number;
    return result;
}

void pool::finish_job(time_point now, const job_id& id, job_result result)
{
    const job* item = find_job(id);
    stop_tasks(now, *item);
    record(decision::job_ended, id, {}, std::string(to_string(result.end)), since(now, item->arrived),
           item->offer.objective);
    tell(item->owner, std::move(result));
    m_jobs.erase(id);
}

void pool::drop_job(time_point now, const job_id& id, std::string_view cause)
{
    const job* item = find_job(id);
    if (item == nullptr) {
        return;
    }
    record(decision::job_ended, id, {}, std::string(cause), since(now, item->arrived), item->offer.objective);
    stop_tasks(now, *item);
    m_jobs.erase(id);
}

job_result pool::not_held_answer(const job& item) const
{
    job_result result = answer_to(item, job_end::not_held);
    for (std::uint32_t number = 0; number < item.tasks.size(); ++number) {
        const task_state state = item.tasks[number].state;
        const bool open = state == task_state::waiting && item.uncertain.contains(number);
        if (open || (state != task_state::waiting && state != task_state::done)) {
            result.uncertain_tasks.push_back(number);
        }
    }
    return result;
}

void pool::hand_over()
{
    for (const auto& [id, item] : m_jobs) {
        tell(item->owner, not_held_answer(*item));
    }
    m_jobs.clear();
}

void pool::on_active_offers(time_point now, const active_offers& offers)
{
    const auto granted = grant_expiry(now, offers.echoed_clock);
    std::vector<job_id> withdrawn;
    for (const auto& [id, item] : m_jobs) {
        // An owner that has sent a clock once does so always.
        if (item->owner != offers.owner || item->granted_until == unlimited_grant ||
            granted == unlimited_grant) {
            continue;
        }
        if (std::binary_search(offers.numbers.begin(), offers.numbers.end(), item->offer.number)) {
            item->granted_until = std::max(item->granted_until, granted.value_or(time_point{}));
        } else if (!(offers.last < item->offer.number)) {
            withdrawn.push_back(id);
        }
    }
    for (const job_id& id : withdrawn) {
        record(decision::grant_ended, id, {}, "withdrawn by the owner");
        drop_job(now, id, "withdrawn");
    }
}

void pool::end_grants(time_point now)
{
    std::vector<job_id> ended;
    for (const auto& [id, item] : m_jobs) {
        if (now > item->granted_until) {
            ended.push_back(id);
        }
    }
    for (const job_id& id : ended) {
        const job& item = *find_job(id);
        record(decision::grant_ended, id, {}, "no news of the owner", since(now, item.granted_until));
        tell(item.owner, not_held_answer(item));
        drop_job(now, id, "owner not heard");
    }
}

void pool::stop_tasks(time_point now, const job& item)
{
    for (std::uint32_t number = 0; number < item.tasks.size(); ++number) {
        const task& one = item.tasks[number];
        if (one.state == task_state::waiting || one.state == task_state::done) {
            continue;
        }
        worker& on = m_workers.at(one.worker);
        const auto found = on.runs.find(ref_of(item, number));
        if (found == on.runs.end()) {
            continue;
        }
        found->second.limit = item.granted_until + run_grace_period;
        if (one.state != task_state::stopping) {
            send_stop(now, on, found->second);
        }
    }
}

void pool::on_cancel(time_point now, const job_cancel& cancel)
{
    const job* item = find_job(cancel.job);
    if (item != nullptr && item->owner == cancel.owner && !(cancel.number < item->offer.number)) {
        drop_job(now, cancel.job, "cancelled");
        schedule(now);
    }
}

void pool::on_owner_lost(time_point now, const endpoint& owner)
{
    std::vector<job_id> lost;
    for (const auto& [id, item] : m_jobs) {
        if (item->owner == owner) {
            lost.push_back(id);
        }
    }
    for (const job_id& id : lost) {
        // A cut in one direction: the owner may hear this instance, and waits for the job until it is told.
        tell(owner, not_held_answer(*find_job(id)));
        drop_job(now, id, "owner lost");
    }
}

void pool::on_other_pools(std::vector<pool_load> loads)
{
    m_others = std::move(loads);
}

void pool::record(decision what, const job_id& subject, const worker_id& on, std::string detail,
                  milliseconds input, milliseconds limit)
{
    const job* item = find_job(subject);
    m_actions.emplace_back(decision_record{what, subject, on, std::move(detail), input.count(), limit.count(),
                                           item == nullptr ? offer_number() : item->offer.number});
}

void pool::tell(const endpoint& owner, owner_message message)
{
    m_actions.emplace_back(owner_notification{owner, std::move(message)});
}

std::vector<action> pool::take_actions()
{
    for (auto& [id, tasks] : m_progress) {
        if (const job* item = find_job(id)) {
            tell(item->owner, job_progress{id, std::move(tasks)});
        }
    }
    m_progress.clear();
    return std::exchange(m_actions, {});
}

std::size_t pool::job_count() const
{
    return m_jobs.size();
}

void pool::add_owners(std::set<endpoint>& owners) const
{
    for (const auto& [id, item] : m_jobs) {
        owners.insert(item->owner);
    }
}

std::size_t pool::run_count() const
{
    std::size_t total = 0;
    for (const auto& [id, item] : m_workers) {
        total += item.runs.size();
    }
    return total;
}

}  // namespace poplarshed::workers

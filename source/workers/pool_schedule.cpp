#include <algorithm>
#include <cmath>

#include "workers/pool.h"

namespace poplarshed::workers {

namespace {

// Share of the pool's processors in use above which room counts as scarce.
constexpr double scarce_share = 0.6;
// Need of a task where none is known yet, for the estimate of how many tasks fit.
constexpr std::int64_t default_task_cpu = 8000;
// A start under a shorter lease would be rejected or lapse before the lease is renewed.
constexpr milliseconds least_lease{250};
// Part of the last objective time that is kept back: starting a task and hearing of its end take this long.
constexpr milliseconds round_trips{10};

milliseconds scaled(milliseconds value, double factor)
{
    return milliseconds(std::llround(static_cast<double>(value.count()) * factor));
}

}  // namespace

bool pool::usable(time_point now, const worker& item) const
{
    const bool lease_ends = std::any_of(item.runs.begin(), item.runs.end(), [now](const auto& running) {
        return running.second.limit && *running.second.limit < now + least_lease;
    });
    return item.present && item.listed && !item.silent && !item.entry.draining && !lease_ends &&
           now >= item.no_start_until && now >= item.ejected_until && item.clock_offset_ms.has_value();
}

// Every worker has been listed under this pool's token, so that no former holder renews a lease there.
// Entries that are missing after an outage of the directory may come back.
bool pool::knows_all_runs() const
{
    return m_complete && std::all_of(m_workers.begin(), m_workers.end(),
                                     [](const auto& item) { return item.second.listed; });
}

milliseconds pool::expected_on(time_point now, const worker& item, const job_step& step) const
{
    double factor = item.speed.ratio(now);
    const auto& labels = item.entry.labels;
    if (!step.preferred_label.empty() &&
        std::find(labels.begin(), labels.end(), step.preferred_label) == labels.end()) {
        factor *= m_options.remote_slowdown;
    }
    return scaled(step.estimate, factor);
}

double pool::mean_ratio(time_point now) const
{
    double rate = 0;
    std::size_t count = 0;
    for (const auto& [id, item] : m_workers) {
        if (usable(now, item)) {
            rate += 1 / item.speed.ratio(now);
            ++count;
        }
    }
    return count == 0 ? 1.0 : static_cast<double>(count) / rate;
}

job_demand pool::demand(const job& item, double ratio) const
{
    job_demand need;
    std::uint32_t number = 0;
    for (const job_step& step : item.offer.steps) {
        std::uint32_t waiting = 0;
        for (std::uint32_t i = 0; i < step.tasks; ++i) {
            waiting += item.tasks[number++].state == task_state::waiting ? 1 : 0;
        }
        need.cpu += step.need.cpu_milli * waiting;
        need.cpu_ms += step.need.cpu_milli * waiting * scaled(step.estimate, ratio).count();
    }
    need.critical_path = scaled(critical_path(item.offer.steps), ratio) + round_trips;
    return need;
}

queue_rank pool::rank(time_point now, const job& item, double ratio) const
{
    const milliseconds chain = scaled(critical_path(item.offer.steps), ratio);
    const time_point latest = item.objective_at - chain - round_trips;
    // A job with tasks that have run keeps its place: its work is lost unless the rest follows.
    const bool overdue = !item.started && now > latest;
    return {overdue, latest, demand(item, ratio).cpu_ms};
}

std::vector<pool::job*> pool::waiting_in_order(time_point now)
{
    const double ratio = mean_ratio(now);
    std::vector<std::pair<queue_rank, job*>> ranked;
    for (const auto& [id, item] : m_jobs) {
        if (item->waiting > 0) {
            ranked.emplace_back(rank(now, *item, ratio), item.get());
        }
    }
    std::sort(ranked.begin(), ranked.end(),
              [](const auto& left, const auto& right) { return left.first < right.first; });
    std::vector<job*> ordered;
    ordered.reserve(ranked.size());
    for (const auto& [key, item] : ranked) {
        ordered.push_back(item);
    }
    return ordered;
}

std::int64_t pool::typical_cpu() const
{
    std::int64_t total = 0;
    std::int64_t count = 0;
    for (const auto& [id, item] : m_workers) {
        for (const auto& [ref, running] : item.runs) {
            total += running.need.cpu_milli;
            ++count;
        }
    }
    return count == 0 ? default_task_cpu : total / count;
}

backlog pool::current_backlog(time_point now) const
{
    const std::int64_t typical = std::max<std::int64_t>(1, typical_cpu());
    backlog queue;
    for (const auto& [id, item] : m_workers) {
        if (!usable(now, item)) {
            continue;
        }
        const std::int64_t whole = item.entry.capacity.cpu_milli / typical * typical;
        queue.capacity_cpu += whole;
        const std::int64_t left = item.entry.capacity.cpu_milli - item.used.cpu_milli;
        queue.free_cpu += std::max<std::int64_t>(0, left) / typical * typical;
    }
    return queue;
}

void pool::schedule(time_point now)
{
    if (m_fenced) {
        return;
    }
    const bool all_known = knows_all_runs();
    for (job* item : waiting_in_order(now)) {
        for (std::uint32_t number = 0; number < item->tasks.size() && item->waiting > 0; ++number) {
            if (item->tasks[number].state != task_state::waiting ||
                (!all_known && now < item->uncertain_until && item->uncertain.contains(number))) {
                continue;
            }
            if (!place(now, *item, number)) {
                break;
            }
        }
    }
}

bool pool::place(time_point now, job& item, std::uint32_t number)
{
    for (const std::uint32_t earlier : step_of(item, number).after) {
        if (item.step_left.at(earlier) > 0) {
            return false;
        }
    }
    const auto chosen = choose(now, item, number);
    if (!chosen) {
        return false;
    }
    start(now, item, number, m_workers.at(*chosen));
    return true;
}

std::optional<worker_id> pool::choose(time_point now, const job& item, std::uint32_t number)
{
    const job_step& step = step_of(item, number);
    const task& one = item.tasks[number];
    const std::uint32_t step_index = ref_of(item, number).step;
    std::vector<placement_candidate> candidates;
    std::vector<const worker_id*> ids;
    std::int64_t capacity = 0;
    std::int64_t used = 0;
    for (const auto& [id, on] : m_workers) {
        if (!usable(now, on)) {
            continue;
        }
        capacity += on.entry.capacity.cpu_milli;
        used += on.used.cpu_milli;
        const resources left = on.entry.capacity.minus(on.used);
        const auto& labels = on.entry.labels;
        const bool labelled = step.required_label.empty() ||
                              std::find(labels.begin(), labels.end(), step.required_label) != labels.end();
        const auto same_step = [&](const auto& running) {
            return running.first.job == item.offer.job && running.first.step == step_index;
        };
        // A worker that has just been restored gets one task until it has ended one well.
        const bool probing = on.failures_in_row > 0 && on.ejections > 0 && !on.runs.empty();
        if (!left.fits(step.need) || !labelled || id == one.avoid || probing ||
            (step.max_per_worker > 0 && std::count_if(on.runs.begin(), on.runs.end(), same_step) >=
                                            static_cast<std::ptrdiff_t>(step.max_per_worker))) {
            continue;
        }
        candidates.push_back({ids.size(), expected_on(now, on, step), left.cpu_milli - step.need.cpu_milli});
        ids.push_back(&id);
    }
    const bool scarce = static_cast<double>(used) > static_cast<double>(capacity) * scarce_share;
    const time_point until = item.started ? item.deadline_at : item.useful_until;
    const auto chosen = choose_worker(candidates, {now, item.objective_at, until, scarce});
    return chosen ? std::optional(*ids.at(*chosen)) : std::nullopt;
}

void pool::start(time_point now, job& item, std::uint32_t number, worker& on)
{
    const job_step& step = step_of(item, number);
    const task_ref ref = ref_of(item, number);
    const run_number assigned(++m_last_run);
    task& one = item.tasks[number];
    one.state = task_state::starting;
    one.run = assigned;
    one.worker = on.entry.id;
    --item.waiting;
    item.started = true;
    run created;
    created.task = ref;
    created.number = assigned;
    created.need = step.need;
    created.estimate = step.estimate;
    created.expected = expected_on(now, on, step);
    created.sent = now;
    on.runs.insert_or_assign(ref, created);
    on.used = on.used.plus(step.need);
    on.lapse_at = std::max(on.lapse_at, now + lapse_time(now, on));
    record(decision::started, item.offer.job, on.entry.id, std::to_string(number), created.expected,
           std::chrono::duration_cast<milliseconds>(item.objective_at - now));
    m_actions.emplace_back(start_command{{on.entry.id, on.entry.address},
                                         ref,
                                         assigned,
                                         item.offer.payload,
                                         worker_time(std::min(now + m_options.lease, lease_limit(on)), on),
                                         m_options.token});
    if (!on.list_pending) {
        send_list(now, on);
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
    value.free_cpu = queue.free_cpu;
    const double ratio = mean_ratio(now);
    for (const auto& [id, item] : m_jobs) {
        const std::int64_t work = item->waiting > 0 ? demand(*item, ratio).cpu_ms : 0;
        (rank(now, *item, ratio).overdue ? value.overdue_cpu_ms : value.waiting_cpu_ms) += work;
    }
    for (const auto& [id, on] : m_workers) {
        for (const auto& [ref, running] : on.runs) {
            const auto left = std::chrono::duration_cast<milliseconds>(running.sent + running.expected - now);
            value.running_cpu_ms += running.need.cpu_milli * std::max<std::int64_t>(0, left.count());
        }
    }
    return value;
}

}  // namespace poplarshed::workers

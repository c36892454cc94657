#include "virtual_workers.h"

#include <algorithm>

#include "pool_fixture.h"

namespace poplarshed::workers::test {

namespace {

constexpr milliseconds tick_interval{20};
// Runs of a lost holder have ended after this time; the value of the router.
constexpr milliseconds lost_holder_timeout{1900};
// Upper bound of the time after which a holder without messages from the owner stops its tasks.
constexpr std::uint64_t max_owner_timeout_ms = 690;
// The directory counts as incomplete for this time after it has lost a worker.
constexpr milliseconds directory_incomplete_time{30'000};
// Upper bound of the time until the directory shows a new incarnation of a worker.
constexpr std::uint64_t directory_lag_ms = 1500;
// Below the pause of 600 ms after which an instance releases its pools.
constexpr std::uint64_t max_pause_ms = 590;
// A run of an unknown or ended job must have ended after this time, which covers the adoption timeout, four
// stop commands of which three are lost, and the lease.
constexpr milliseconds max_unwanted_run_time{3000};
constexpr std::int64_t first_clock_ms = 77'000;

}  // namespace

virtual_site::virtual_site(std::size_t workers, std::uint64_t seed,
                           const std::vector<std::int64_t>& capacities, rack_layout racks)
    : m_random(seed), m_workers(workers), m_racks(racks)
{
    for (std::size_t i = 0; i < workers; ++i) {
        virtual_worker& worker = m_workers[i];
        worker.entry = capacities.empty() ? pool_fixture::entry(i)
                                          : pool_fixture::entry(i, capacities[i % capacities.size()]);
        worker.entry.incarnation = worker.incarnation;
        if (racks.workers_per_rack > 0) {
            worker.entry.labels = {"r" + std::to_string(i / racks.workers_per_rack)};
        }
        worker.capacities = {{m_now, worker.entry.capacity.cpu_milli}};
        worker.clock_base_ms = first_clock_ms;
        worker.clock_since = m_now;
    }
    replace_holder();
    advance(milliseconds(40));
}

void virtual_site::replace_holder()
{
    for (const holder_state& former : m_holders) {
        const auto unreachable_after =
            milliseconds(static_cast<std::int64_t>(m_random.below(max_owner_timeout_ms)));
        after(unreachable_after, [this, number = former.number] {
            call_holder(number, [this](workers::pool& pool) {
                pool.on_owner_lost(m_now, pool_fixture::offer("any", 1).owner);
            });
        });
    }
    pool_options options = pool_fixture::options();
    options.token = fencing_token(10 + m_last_holder);
    options.remote_slowdown = m_racks.remote_slowdown;
    options.first_run_number = (m_last_holder + 1) * 1'000'000;
    m_holders.push_back({std::make_unique<workers::pool>(options, m_now), ++m_last_holder, {}});
    holder().on_directory_completeness(is_complete());
    holder().on_directory(m_now, listed_workers());
    for (auto& [id, job] : m_jobs) {
        job.offer.may_have_run = true;
        job.offer.age = std::chrono::duration_cast<milliseconds>(m_now - job.offered);
        job.offer.uncertain_for = lost_holder_timeout;
        job.offer.uncertain_tasks.clear();
        std::uint32_t total = 0;
        for (const job_step& step : job.offer.steps) {
            total += step.tasks;
        }
        for (std::uint32_t number = 0; number < total; ++number) {
            const auto& done = job.offer.done_tasks;
            if (std::find(done.begin(), done.end(), number) == done.end()) {
                job.offer.uncertain_tasks.push_back(number);
            }
        }
        holder().on_offer(m_now, job.offer.owner, job.offer);
    }
    process_actions();
}

void virtual_site::drop_former()
{
    m_holders.erase(m_holders.begin(), m_holders.end() - 1);
}

void virtual_site::crash_worker(std::size_t index, milliseconds down, crash_kind kind)
{
    virtual_worker& worker = m_workers.at(index);
    worker.refuses = kind == crash_kind::refusing;
    for (const auto& closed : std::exchange(worker.connections, {})) {
        if (worker.refuses) {
            after(milliseconds(1), closed);
        }
    }
    worker.runs.clear();
    worker.closed.clear();
    worker.ends.clear();
    worker.waiting_lists.clear();
    worker.last_end = 0;
    worker.token = {};
    worker.lease_until_ms = 0;
    worker.up_at = m_now + down;
    worker.clock_base_ms = 0;
    worker.clock_since = worker.up_at;
    ++worker.incarnation;
    worker.capacities = {{m_now, worker.capacities.back().second}};
    add_history({}, worker.entry.id.value() + " crashes, up in " + std::to_string(down.count()) + " ms");
    const auto lag = milliseconds(static_cast<std::int64_t>(m_random.below(directory_lag_ms)));
    after(down + lag, [this, &worker, incarnation = worker.incarnation] {
        add_history({}, "directory learns of the restart of " + worker.entry.id.value());
        worker.entry.incarnation = std::max(worker.entry.incarnation, incarnation);
        worker.entry.capacity.cpu_milli = worker.capacities.back().second;
        update_directory();
    });
}

void virtual_site::set_capacity(std::size_t index, std::int64_t cpu_milli)
{
    virtual_worker& worker = m_workers.at(index);
    worker.capacities.emplace_back(m_now, cpu_milli);
    add_history({}, worker.entry.id.value() + " has " + std::to_string(cpu_milli) + " thousandths of a core");
    const auto lag = milliseconds(static_cast<std::int64_t>(m_random.below(directory_lag_ms)));
    after(lag, [this, &worker, incarnation = worker.incarnation] {
        if (worker.entry.incarnation == incarnation) {
            worker.entry.capacity.cpu_milli = worker.capacities.back().second;
            update_directory();
        }
    });
}

void virtual_site::restart_with_capacity(std::size_t index, milliseconds down, std::int64_t cpu_milli)
{
    crash_worker(index, down);
    m_workers.at(index).capacities = {{m_now, cpu_milli}};
    add_history({}, m_workers.at(index).entry.id.value() + " restarts with " + std::to_string(cpu_milli) +
                        " thousandths of a core");
}

void virtual_site::set_clock_rate(std::size_t index, double rate)
{
    virtual_worker& worker = m_workers.at(index);
    worker.clock_base_ms = clock_ms(worker);
    worker.clock_since = std::max(m_now, worker.up_at);
    worker.clock_rate = rate;
}

void virtual_site::set_listed(std::size_t index, bool listed)
{
    virtual_worker& worker = m_workers.at(index);
    if (worker.listed && !listed) {
        m_worker_delisted_at = m_now;
    }
    worker.listed = listed;
    add_history({}, "directory " + std::string(listed ? "lists " : "loses ") + worker.entry.id.value());
    update_directory();
}

std::vector<worker_entry> virtual_site::listed_workers() const
{
    std::vector<worker_entry> entries;
    for (const virtual_worker& worker : m_workers) {
        if (worker.listed) {
            entries.push_back(worker.entry);
        }
    }
    return entries;
}

bool virtual_site::is_complete() const
{
    return m_worker_delisted_at == time_point{} || m_now > m_worker_delisted_at + directory_incomplete_time;
}

void virtual_site::update_directory()
{
    for (const holder_state& holder_entry : m_holders) {
        call_holder(holder_entry.number, [this](workers::pool& pool) {
            pool.on_directory_completeness(is_complete());
            pool.on_directory(m_now, listed_workers());
        });
    }
    process_actions();
}

void virtual_site::offer(const job_offer& offer, milliseconds work, std::optional<crashing_task> crashing)
{
    if (crashing) {
        m_crashing.emplace(offer.job, *crashing);
    }
    this->offer(offer, std::vector<milliseconds>{work});
}

void virtual_site::offer(const job_offer& offer, std::vector<milliseconds> work)
{
    m_jobs.emplace(offer.job, open_job{offer, m_now, std::move(work)});
    call_holder(m_last_holder,
                [this, offer](workers::pool& pool) { pool.on_offer(m_now, offer.owner, offer); });
    process_actions();
}

// The state does not change between events and ticks while no worker runs a task.
time_point virtual_site::next_step() const
{
    const bool busy = std::any_of(m_workers.begin(), m_workers.end(),
                                  [](const virtual_worker& worker) { return !worker.runs.empty(); });
    if (busy) {
        return m_now + milliseconds(1);
    }
    const time_point next_tick = m_now + tick_interval - m_now.time_since_epoch() % tick_interval;
    const time_point next = m_events.empty() ? next_tick : std::min(next_tick, m_events.begin()->first);
    return std::max(next, m_now + milliseconds(1));
}

void virtual_site::advance(milliseconds time)
{
    const time_point until = m_now + time;
    while (m_now < until) {
        m_now = std::min(until, next_step());
        for (virtual_worker& worker : m_workers) {
            expire(worker);
        }
        while (!m_events.empty() && m_events.begin()->first <= m_now) {
            const auto call = std::move(m_events.begin()->second);
            m_events.erase(m_events.begin());
            call();
            process_actions();
        }
        if (m_now.time_since_epoch() % tick_interval == milliseconds(0)) {
            tick();
        }
    }
}

void virtual_site::tick()
{
    for (const holder_state& holder_entry : m_holders) {
        if (m_now >= holder_entry.paused_until) {
            holder_entry.pool->on_directory_completeness(is_complete());
            holder_entry.pool->on_tick(m_now);
        }
    }
    process_actions();
}

void virtual_site::add_history(const job_id& id, const std::string& what)
{
    const auto at = std::chrono::duration_cast<milliseconds>(m_now.time_since_epoch()).count() - 1'000'000;
    m_history[id] += "\n  " + std::to_string(at) + " ms " + what;
}

void virtual_site::add_violation(const job_id& id, const std::string& what)
{
    m_violations.push_back(what + " " + id.value() + m_history[id] + "\nworkers:" + m_history[{}]);
}

void virtual_site::process_actions()
{
    for (std::size_t i = 0; i < m_holders.size(); ++i) {
        if (m_now >= m_holders[i].paused_until) {
            process_actions(m_holders[i]);
        }
    }
}

void virtual_site::process_actions(holder_state& from)
{
    const std::vector<action> actions = from.pool->take_actions();
    const std::uint64_t number = from.number;
    if (actions.empty() || !happens(m_pauses)) {
        for (const action& next : actions) {
            execute(number, next);
        }
        return;
    }
    const milliseconds pause(static_cast<std::int64_t>(m_random.below(max_pause_ms)));
    from.paused_until = m_now + pause;
    after(pause, [this, number, actions] {
        for (const action& next : actions) {
            execute(number, next);
        }
    });
}

void virtual_site::call_holder(std::uint64_t holder, const std::function<void(workers::pool&)>& what)
{
    holder_state* found = find(holder);
    if (found == nullptr) {
        return;
    }
    if (m_now < found->paused_until) {
        m_events.emplace(found->paused_until, [this, holder, what] { call_holder(holder, what); });
        return;
    }
    what(*found->pool);
}

void virtual_site::after(milliseconds delay, std::function<void()> call)
{
    m_events.emplace(m_now + delay, std::move(call));
}

virtual_site::holder_state* virtual_site::find(std::uint64_t holder)
{
    const auto found =
        std::find_if(m_holders.begin(), m_holders.end(),
                     [holder](const holder_state& holder_entry) { return holder_entry.number == holder; });
    return found == m_holders.end() ? nullptr : &*found;
}

virtual_site::virtual_worker& virtual_site::at(const worker_id& id)
{
    return *std::find_if(m_workers.begin(), m_workers.end(),
                         [&id](const virtual_worker& worker) { return worker.entry.id == id; });
}

std::int64_t virtual_site::clock_ms(const virtual_worker& worker) const
{
    const auto passed = std::chrono::duration_cast<milliseconds>(m_now - worker.clock_since);
    return worker.clock_base_ms +
           static_cast<std::int64_t>(static_cast<double>(passed.count()) * worker.clock_rate);
}

void virtual_site::execute(std::uint64_t holder, const action& next)
{
    if (const auto* record = std::get_if<decision_record>(&next)) {
        add_history(record->job, "holder " + std::to_string(holder) + " " +
                                     std::string(to_string(record->kind)) + " " + record->worker.value() +
                                     " " + record->detail);
    } else if (const auto* start = std::get_if<start_command>(&next)) {
        execute(holder, *start);
    } else if (const auto* stop = std::get_if<stop_command>(&next)) {
        execute(holder, *stop);
    } else if (const auto* list = std::get_if<list_command>(&next)) {
        execute(holder, *list);
    } else if (const auto* report = std::get_if<job_losses>(&next)) {
        const auto job = m_jobs.find(report->job);
        if (job != m_jobs.end()) {
            merge_losses(job->second.offer.losses, report->losses);
        }
    } else {
        execute(std::get<owner_notification>(next), holder);
    }
}

void virtual_site::execute(const owner_notification& out, std::uint64_t holder)
{
    if (const auto* progress = std::get_if<job_progress>(&out.message)) {
        const auto job = m_jobs.find(progress->job);
        if (job != m_jobs.end()) {
            auto& done = job->second.offer.done_tasks;
            done.insert(done.end(), progress->done_tasks.begin(), progress->done_tasks.end());
        }
        return;
    }
    const auto& result = std::get<job_result>(out.message);
    const auto job = m_jobs.find(result.job);
    // Owners accept results of a former holder only for completed jobs.
    if (job == m_jobs.end() || (holder != m_last_holder && result.end != job_end::completed)) {
        return;
    }
    if (result.end == job_end::refused && m_started_jobs.contains(result.job)) {
        add_violation(result.job, "refused as not run after a start:");
    }
    m_outcomes.emplace(result.job,
                       outcome{result, std::chrono::duration_cast<milliseconds>(m_now - job->second.offered),
                               job->second.offer.objective});
    m_answered.emplace(result.job, m_now);
    m_jobs.erase(job);
}

bool virtual_site::runs_elsewhere(const task_ref& ref, const virtual_worker& here) const
{
    return std::any_of(m_workers.begin(), m_workers.end(), [&](const virtual_worker& worker) {
        return &worker != &here && worker.runs.contains(ref);
    });
}

void virtual_site::end_run(virtual_worker& worker, const task_ref& ref, run_end how)
{
    const run_number number = worker.runs.at(ref).number;
    add_history(ref.job, worker.entry.id.value() + " ends task " + std::to_string(ref.index) + " as " +
                             std::to_string(static_cast<int>(how)));
    worker.runs.erase(ref);
    run_number& closed = worker.closed[ref];
    closed = std::max(closed, number);
    worker.ends.push_back({++worker.last_end, ref, number, how});
    for (const auto& call : std::exchange(worker.waiting_lists, {})) {
        call();
    }
}

void virtual_site::expire(virtual_worker& worker)
{
    std::vector<std::pair<task_ref, run_end>> ended;
    for (auto& [ref, running] : worker.runs) {
        if (m_now >= running.ends_at) {
            ended.emplace_back(ref, running.fails ? run_end::failed : run_end::done);
        } else if (clock_ms(worker) >= worker.lease_until_ms) {
            ended.emplace_back(ref, run_end::lapsed);
        } else {
            check_unwanted_run(worker, ref, running);
        }
    }
    for (const auto& [ref, how] : ended) {
        end_run(worker, ref, how);
    }
}

void virtual_site::check_unwanted_run(virtual_worker& worker, const task_ref& ref, live_run& running)
{
    const auto answered = m_answered.find(ref.job);
    if (answered == m_answered.end() ||
        m_now <= std::max(answered->second, running.started) + max_unwanted_run_time) {
        return;
    }
    add_violation(ref.job, "unwanted run is not stopped: task " + std::to_string(ref.index) + " on " +
                               worker.entry.id.value() + ":");
    // Reports each run once.
    running.started = m_now;
}

std::size_t virtual_site::crashes_under(const job_id& job) const
{
    std::size_t most = 0;
    for (const auto& [ref, counted] : m_crashes) {
        most = ref.job == job ? std::max(most, counted.crashes) : most;
    }
    return most;
}

std::size_t virtual_site::count(job_end end) const
{
    return static_cast<std::size_t>(
        std::count_if(m_outcomes.begin(), m_outcomes.end(),
                      [end](const auto& item) { return item.second.result.end == end; }));
}

std::size_t virtual_site::in_time() const
{
    return static_cast<std::size_t>(std::count_if(m_outcomes.begin(), m_outcomes.end(), [](const auto& item) {
        return item.second.result.end == job_end::completed && item.second.after <= item.second.objective;
    }));
}

}  // namespace poplarshed::workers::test

#include "virtual_workers.h"

#include <algorithm>

#include "pool_fixture.h"

namespace poplarshed::workers::test {

namespace {

// Of a task whose job is not known any more.
constexpr std::int64_t unknown_cpu = 14'000;
constexpr milliseconds one_way{1};
constexpr milliseconds start_timeout{80};
constexpr milliseconds stop_timeout{100};
constexpr milliseconds list_extra{120};
constexpr milliseconds stop_time{50};
constexpr milliseconds tick{20};
constexpr milliseconds longest_lease{1000};
// After this time nothing of a lost holder's runs is left; the router's figure.
constexpr milliseconds lost_holder_time{1900};

}  // namespace

virtual_site::virtual_site(std::size_t workers, std::uint64_t seed) : m_random(seed), m_workers(workers)
{
    for (std::size_t i = 0; i < workers; ++i) {
        m_workers[i].entry = pool_fixture::entry(i);
    }
    replace_holder();
    advance(milliseconds(40));
}

void virtual_site::replace_holder()
{
    pool_options options = pool_fixture::options();
    options.token = fencing_token(10 + m_last_holder);
    options.first_run = (m_last_holder + 1) * 1'000'000;
    std::vector<worker_entry> entries;
    for (const virtual_worker& on : m_workers) {
        entries.push_back(on.entry);
    }
    m_holders.push_back({std::make_unique<workers::pool>(options, m_now), ++m_last_holder});
    holder().on_completeness(true);
    holder().on_directory(m_now, entries);
    for (auto& [id, job] : m_jobs) {
        job.offer.may_have_run = true;
        job.offer.age = std::chrono::duration_cast<milliseconds>(m_now - job.offered);
        job.offer.uncertain_for = lost_holder_time;
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
    pump();
}

void virtual_site::drop_former()
{
    m_holders.erase(m_holders.begin(), m_holders.end() - 1);
}

void virtual_site::crash_worker(std::size_t index)
{
    virtual_worker& on = m_workers.at(index);
    on.runs.clear();
    on.closed.clear();
    on.ends.clear();
    on.last_end = 0;
    on.token = {};
    ++on.incarnation;
}

void virtual_site::offer(const job_offer& offer, milliseconds work)
{
    m_jobs.emplace(offer.job, open_job{offer, m_now, work});
    holder().on_offer(m_now, offer.owner, offer);
    pump();
}

void virtual_site::advance(milliseconds time)
{
    const time_point until = m_now + time;
    while (m_now < until) {
        m_now += milliseconds(1);
        for (virtual_worker& on : m_workers) {
            expire(on);
        }
        while (!m_events.empty() && m_events.begin()->first <= m_now) {
            const auto call = std::move(m_events.begin()->second);
            m_events.erase(m_events.begin());
            call();
            pump();
        }
        if (m_now.time_since_epoch() % tick == milliseconds(0)) {
            for (holder_state& item : m_holders) {
                item.pool->on_tick(m_now);
            }
            pump();
        }
    }
}

void virtual_site::note(const job_id& id, const std::string& what)
{
    const auto at = std::chrono::duration_cast<milliseconds>(m_now.time_since_epoch()).count() - 1'000'000;
    m_history[id] += "\n  " + std::to_string(at) + " ms " + what;
}

void virtual_site::violate(const job_id& id, const std::string& what)
{
    m_violations.push_back(what + " " + id.value() + m_history[id]);
}

void virtual_site::pump()
{
    for (std::size_t i = 0; i < m_holders.size(); ++i) {
        for (const action& item : m_holders[i].pool->take_actions()) {
            execute(m_holders[i].number, item);
        }
    }
}

void virtual_site::after(milliseconds delay, std::function<void()> call)
{
    m_events.emplace(m_now + delay, std::move(call));
}

workers::pool* virtual_site::find(std::uint64_t holder)
{
    for (holder_state& item : m_holders) {
        if (item.number == holder) {
            return item.pool.get();
        }
    }
    return nullptr;
}

virtual_site::virtual_worker& virtual_site::at(const worker_id& id)
{
    return *std::find_if(m_workers.begin(), m_workers.end(),
                         [&id](const virtual_worker& on) { return on.entry.id == id; });
}

std::int64_t virtual_site::clock_ms() const
{
    return std::chrono::duration_cast<milliseconds>(m_now.time_since_epoch()).count() + 77'000;
}

void virtual_site::execute(std::uint64_t holder, const action& item)
{
    if (const auto* record = std::get_if<decision_record>(&item)) {
        note(record->job, "holder " + std::to_string(holder) + " " + std::string(to_string(record->what)) +
                              " " + record->worker.value() + " " + record->detail);
    } else if (const auto* start = std::get_if<start_order>(&item)) {
        execute(holder, *start);
    } else if (const auto* stop = std::get_if<stop_order>(&item)) {
        execute(holder, *stop);
    } else if (const auto* list = std::get_if<list_order>(&item)) {
        execute(holder, *list);
    } else if (const auto* out = std::get_if<to_owner>(&item)) {
        if (const auto* progress = std::get_if<job_progress>(&out->message)) {
            const auto job = m_jobs.find(progress->job);
            if (job != m_jobs.end()) {
                auto& done = job->second.offer.done_tasks;
                done.insert(done.end(), progress->done_tasks.begin(), progress->done_tasks.end());
            }
            return;
        }
        const auto& result = std::get<job_result>(out->message);
        const auto job = m_jobs.find(result.job);
        // Owners take results of a former holder only if the job is complete.
        if (job == m_jobs.end() || (holder != m_last_holder && result.end != job_end::completed)) {
            return;
        }
        if (result.end == job_end::refused && m_started_jobs.contains(result.job)) {
            violate(result.job, "refused as not run after a start:");
        }
        m_outcomes.emplace(
            result.job, outcome{result, std::chrono::duration_cast<milliseconds>(m_now - job->second.offered),
                                job->second.offer.objective});
        m_jobs.erase(job);
    }
}

bool virtual_site::runs_elsewhere(const task_ref& ref, const virtual_worker& here) const
{
    return std::any_of(m_workers.begin(), m_workers.end(),
                       [&](const virtual_worker& on) { return &on != &here && on.runs.contains(ref); });
}

void virtual_site::start_at_worker(const start_order& order, const std::function<void(start_outcome)>& answer)
{
    virtual_worker& on = at(order.target.worker);
    note(order.task.job,
         order.target.worker.value() + " gets a start of task " + std::to_string(order.task.index));
    if (order.token < on.token) {
        answer(start_outcome::fenced);
        return;
    }
    on.token = order.token;
    if (order.lease_until_ms < clock_ms()) {
        answer(start_outcome::expired);
        return;
    }
    const auto closed = on.closed.find(order.task);
    if (closed != on.closed.end() && !(closed->second < order.run)) {
        answer(start_outcome::superseded);
        return;
    }
    const auto job = m_jobs.find(order.task.job);
    const std::int64_t need =
        job == m_jobs.end() ? unknown_cpu : job->second.offer.steps.at(0).need.cpu_milli;
    std::int64_t used = need;
    for (const auto& [ref, running] : on.runs) {
        used += running.cpu_milli;
    }
    if (used > on.entry.capacity.cpu_milli) {
        answer(start_outcome::no_room);
        return;
    }
    if (runs_elsewhere(order.task, on)) {
        violate(order.task.job, "two runs at one time of task " + std::to_string(order.task.index) + ":");
    }
    const milliseconds work = job == m_jobs.end() ? milliseconds(100) : job->second.work;
    const auto duration =
        milliseconds(static_cast<std::int64_t>(static_cast<double>(work.count()) * on.behaviour.slowness));
    on.runs.insert_or_assign(order.task,
                             live_run{order.run, m_now + (on.behaviour.fails ? milliseconds(1) : duration),
                                      on.behaviour.fails, need});
    on.lease_until = std::max(
        on.lease_until, m_now + std::min(longest_lease, milliseconds(order.lease_until_ms - clock_ms())));
    note(order.task.job, order.target.worker.value() + " starts task " + std::to_string(order.task.index) +
                             " of run " + std::to_string(order.run.value()));
    ++on.starts;
    ++m_starts;
    m_started_jobs.insert(order.task.job);
    answer(start_outcome::started);
}

void virtual_site::execute(std::uint64_t holder, const start_order& order)
{
    virtual_worker& on = at(order.target.worker);
    const auto reply = [this, holder, order](start_outcome reached) {
        if (workers::pool* pool = find(holder)) {
            start_reply value{order.target.worker, order.task, order.run, reached, {}};
            if (reached != start_outcome::unanswered) {
                value.clock_ms = clock_ms();
            }
            pool->on_start_reply(m_now, value);
        }
    };
    const bool late = m_random.unit() < on.behaviour.late_share;
    if (on.behaviour.silent || late) {
        after(start_timeout, [reply] { reply(start_outcome::unanswered); });
        if (late) {
            after(milliseconds(2000 + static_cast<std::int64_t>(m_random.below(3000))),
                  [this, order] { start_at_worker(order, [](start_outcome) {}); });
        }
        return;
    }
    after(one_way, [this, order, reply] {
        start_at_worker(order, [this, reply](start_outcome reached) {
            after(one_way, [reply, reached] { reply(reached); });
        });
    });
}

void virtual_site::execute(std::uint64_t holder, const stop_order& order)
{
    const auto reply = [this, holder, order](stop_outcome reached) {
        if (workers::pool* pool = find(holder)) {
            pool->on_stop_reply(m_now, {order.target.worker, order.task, order.run, reached});
        }
    };
    if (at(order.target.worker).behaviour.silent) {
        after(stop_timeout, [reply] { reply(stop_outcome::failed); });
        return;
    }
    after(one_way, [this, order, reply] {
        virtual_worker& on = at(order.target.worker);
        if (order.token < on.token) {
            after(one_way, [reply] { reply(stop_outcome::fenced); });
            return;
        }
        on.token = order.token;
        run_number& closed = on.closed[order.task];
        closed = std::max(closed, order.run);
        after(stop_time, [this, order] {
            virtual_worker& later = at(order.target.worker);
            const auto found = later.runs.find(order.task);
            if (found != later.runs.end() && !(order.run < found->second.number)) {
                end_run(later, order.task, run_end::stopped);
            }
        });
        after(one_way, [reply] { reply(stop_outcome::stopped); });
    });
}

void virtual_site::execute(std::uint64_t holder, const list_order& order)
{
    // An order is answered once: by the worker, or by its time-out.
    const auto answered = std::make_shared<bool>(false);
    const auto fail = [this, holder, order, answered](list_failure cause) {
        workers::pool* pool = find(holder);
        if (pool != nullptr && !std::exchange(*answered, true)) {
            pool->on_list_failure(m_now, order.target.worker, cause);
        }
    };
    after(order.wait + list_extra, [fail] { fail(list_failure::unanswered); });
    const worker_behaviour& behaviour = at(order.target.worker).behaviour;
    if (behaviour.silent || m_random.unit() < behaviour.lost_lists) {
        return;
    }
    after(one_way, [this, holder, order, fail, answered] {
        virtual_worker& on = at(order.target.worker);
        if (order.token < on.token) {
            after(one_way, [fail] { fail(list_failure::fenced); });
            return;
        }
        on.token = order.token;
        std::erase_if(on.ends,
                      [&order](const listed_end& item) { return item.number <= order.acknowledged; });
        if (order.lease_until_ms && *order.lease_until_ms > clock_ms()) {
            on.lease_until =
                std::max(on.lease_until,
                         m_now + std::min(longest_lease, milliseconds(*order.lease_until_ms - clock_ms())));
        }
        const auto answer = [this, holder, order, answered] { answer_list(holder, order, answered); };
        if (!on.ends.empty() || order.wait == milliseconds(0)) {
            answer();
            return;
        }
        on.waiting_lists.emplace_back(answer);
        after(order.wait, answer);
    });
}

void virtual_site::answer_list(std::uint64_t holder, const list_order& order,
                               const std::shared_ptr<bool>& answered)
{
    const virtual_worker& on = at(order.target.worker);
    if (on.behaviour.silent || *answered) {
        return;
    }
    listing answer;
    answer.worker = on.entry.id;
    answer.incarnation = on.incarnation;
    answer.clock_ms = clock_ms();
    for (const auto& [ref, running] : on.runs) {
        answer.running.push_back({ref, running.number, 0});
    }
    answer.ended = on.ends;
    after(one_way, [this, holder, answer, answered] {
        workers::pool* pool = find(holder);
        if (pool != nullptr && !std::exchange(*answered, true)) {
            pool->on_listing(m_now, answer);
        }
    });
}

void virtual_site::end_run(virtual_worker& on, const task_ref& ref, run_end how)
{
    const run_number number = on.runs.at(ref).number;
    note(ref.job, on.entry.id.value() + " ends task " + std::to_string(ref.index) + " as " +
                      std::to_string(static_cast<int>(how)));
    on.runs.erase(ref);
    run_number& closed = on.closed[ref];
    closed = std::max(closed, number);
    on.ends.push_back({++on.last_end, ref, number, how});
    for (const auto& call : std::exchange(on.waiting_lists, {})) {
        call();
    }
}

void virtual_site::expire(virtual_worker& on)
{
    std::vector<std::pair<task_ref, run_end>> ended;
    for (const auto& [ref, running] : on.runs) {
        if (m_now >= running.ends_at) {
            ended.emplace_back(ref, running.fails ? run_end::failed : run_end::done);
        } else if (m_now >= on.lease_until) {
            ended.emplace_back(ref, run_end::lapsed);
        }
    }
    for (const auto& [ref, how] : ended) {
        end_run(on, ref, how);
    }
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

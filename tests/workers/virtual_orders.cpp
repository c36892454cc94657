#include <algorithm>

#include "virtual_workers.h"

namespace poplarshed::workers::test {

namespace {

// Of a task whose job is not known any more.
constexpr std::int64_t unknown_cpu = 14'000;
constexpr milliseconds one_way{1};
constexpr milliseconds start_timeout{80};
constexpr milliseconds stop_timeout{100};
constexpr milliseconds list_extra{120};
constexpr milliseconds stop_time{50};
constexpr std::int64_t longest_lease_ms = 1000;
// Ends in one answer (the platform's protocol).
constexpr std::size_t max_listed_ends = 500;
// Late orders are carried out after this time and up to late_spread more.
constexpr milliseconds least_lateness{2000};
constexpr std::uint64_t late_spread_ms = 10'000;

}  // namespace

milliseconds virtual_site::travel(const virtual_worker& on)
{
    const auto spread = static_cast<std::uint64_t>(on.behaviour.jitter.count());
    return one_way + milliseconds(spread == 0 ? 0 : static_cast<std::int64_t>(m_random.below(spread + 1)));
}

void virtual_site::carry(std::uint64_t holder, const worker_id& to, milliseconds timeout, bool lost,
                         bool late, const std::function<void(const respond&)>& at_worker,
                         const std::function<void(workers::pool&)>& unanswered)
{
    virtual_worker& on = at(to);
    const auto open = std::make_shared<bool>(true);
    const auto once = [this, holder, open](const std::function<void(workers::pool&)>& what) {
        if (std::exchange(*open, false)) {
            call(holder, what);
        }
    };
    const std::uint64_t life = on.incarnation;
    const auto reaches = [this, &on, life] {
        return m_now >= on.up_at && (m_orders_outlive || on.incarnation == life);
    };
    const bool is_doubled = !late && happens(on.behaviour.doubled);
    const bool no_answer = late || is_doubled || happens(on.behaviour.lost_answers);
    const respond answer = [this, &on, once, no_answer](const std::function<void(workers::pool&)>& what) {
        if (!no_answer && !on.behaviour.silent) {
            after(travel(on), [once, what] { once(what); });
        }
    };
    after(timeout, [once, unanswered] { once(unanswered); });
    if (late || is_doubled) {
        const milliseconds lateness =
            least_lateness + milliseconds(static_cast<std::int64_t>(m_random.below(late_spread_ms)));
        after(lateness, [reaches, at_worker] {
            if (reaches()) {
                at_worker([](const auto&) {});
            }
        });
    }
    if (!late && !on.behaviour.silent && !lost) {
        after(travel(on), [reaches, at_worker, answer] {
            if (reaches()) {
                at_worker(answer);
            }
        });
    }
}

// A lease is never shortened, and a longer one than the greatest is cut.
void virtual_site::prolong(virtual_worker& on, std::int64_t until_ms) const
{
    on.lease_until_ms = std::max(on.lease_until_ms, std::min(until_ms, clock_ms(on) + longest_lease_ms));
}

start_outcome virtual_site::start_at_worker(const start_command& order)
{
    virtual_worker& on = at(order.target.worker);
    note(order.task.job, order.target.worker.value() + " gets a start of task " +
                             std::to_string(order.task.index) + " of run " +
                             std::to_string(order.run.value()));
    if (order.token < on.token) {
        return start_outcome::fenced;
    }
    on.token = order.token;
    if (order.lease_until_ms < clock_ms(on)) {
        return start_outcome::expired;
    }
    prolong(on, order.lease_until_ms);
    const auto present = on.runs.find(order.task);
    if (present != on.runs.end() && present->second.number == order.run) {
        return start_outcome::started;
    }
    const auto closed = on.closed.find(order.task);
    if ((closed != on.closed.end() && !(closed->second < order.run)) ||
        (present != on.runs.end() && order.run < present->second.number)) {
        return start_outcome::superseded;
    }
    const auto job = m_jobs.find(order.task.job);
    const std::int64_t need =
        job == m_jobs.end() ? unknown_cpu : job->second.offer.steps.at(0).need.cpu_milli;
    std::int64_t used = need;
    for (const auto& [ref, running] : on.runs) {
        used += running.cpu_milli;
    }
    if (used > on.entry.capacity.cpu_milli) {
        if (on.behaviour.guards_capacity) {
            return start_outcome::no_room;
        }
        violate(order.task.job, "capacity overrun on " + on.entry.id.value() + ":");
    }
    if (present != on.runs.end() || runs_elsewhere(order.task, on)) {
        violate(order.task.job, "two runs at one time of task " + std::to_string(order.task.index) + ":");
    }
    const milliseconds work = job == m_jobs.end() ? milliseconds(100) : job->second.work;
    const auto duration =
        milliseconds(static_cast<std::int64_t>(static_cast<double>(work.count()) * on.behaviour.slowness));
    on.runs.insert_or_assign(
        order.task, live_run{order.run, m_now, m_now + (on.behaviour.fails ? milliseconds(1) : duration),
                             on.behaviour.fails, need});
    note(order.task.job, order.target.worker.value() + " starts task " + std::to_string(order.task.index) +
                             " of run " + std::to_string(order.run.value()));
    ++on.starts;
    ++m_starts;
    m_started_jobs.insert(order.task.job);
    return start_outcome::started;
}

void virtual_site::execute(std::uint64_t holder, const start_command& order)
{
    const auto reply = [this, order](workers::pool& pool, start_outcome reached,
                                     std::optional<std::int64_t> clock) {
        pool.on_start_reply(m_now, {order.target.worker, order.task, order.run, reached, clock});
    };
    const worker_behaviour& behaviour = at(order.target.worker).behaviour;
    const bool late = m_random.unit() < std::max(behaviour.late_share, behaviour.late_orders);
    carry(
        holder, order.target.worker, start_timeout, false, late,
        [this, order, reply](const respond& answer) {
            const start_outcome reached = start_at_worker(order);
            const std::int64_t clock = clock_ms(at(order.target.worker));
            answer([reply, reached, clock](workers::pool& pool) { reply(pool, reached, clock); });
        },
        [reply](workers::pool& pool) { reply(pool, start_outcome::unanswered, std::nullopt); });
}

void virtual_site::stop_at_worker(const stop_command& order, const respond& answer)
{
    virtual_worker& on = at(order.target.worker);
    const auto reply = [this, order](stop_outcome reached) {
        return [this, order, reached](workers::pool& pool) {
            pool.on_stop_reply(m_now, {order.target.worker, order.task, order.run, reached});
        };
    };
    if (order.token < on.token) {
        answer(reply(stop_outcome::fenced));
        return;
    }
    on.token = order.token;
    note(order.task.job,
         order.target.worker.value() + " gets a stop of run " + std::to_string(order.run.value()));
    run_number& closed = on.closed[order.task];
    closed = std::max(closed, order.run);
    const std::uint64_t life = on.incarnation;
    after(stop_time, [this, &on, order, life] {
        const auto found = on.runs.find(order.task);
        if (on.incarnation == life && found != on.runs.end() && !(order.run < found->second.number)) {
            end_run(on, order.task, run_end::stopped);
        }
    });
    answer(reply(stop_outcome::stopped));
}

void virtual_site::execute(std::uint64_t holder, const stop_command& order)
{
    const worker_behaviour& behaviour = at(order.target.worker).behaviour;
    carry(
        holder, order.target.worker, stop_timeout, happens(behaviour.lost_stops),
        happens(behaviour.late_orders),
        [this, order](const respond& answer) { stop_at_worker(order, answer); },
        [this, order](workers::pool& pool) {
            pool.on_stop_reply(m_now, {order.target.worker, order.task, order.run, stop_outcome::failed});
        });
}

void virtual_site::list_at_worker(const list_command& order, const respond& answer)
{
    virtual_worker& on = at(order.target.worker);
    if (order.token < on.token) {
        answer([this, order](workers::pool& pool) {
            pool.on_list_failure(m_now, order.target.worker, list_failure::fenced);
        });
        return;
    }
    on.token = order.token;
    std::erase_if(on.ends, [&order](const listed_end& item) { return item.number <= order.acknowledged; });
    if (order.lease_until_ms) {
        prolong(on, *order.lease_until_ms);
    }
    const auto given = std::make_shared<bool>(false);
    const std::uint64_t life = on.incarnation;
    const auto respond_once = [this, &on, life, answer, given] {
        if (on.incarnation == life && !std::exchange(*given, true)) {
            answer([this, listed = listing_of(on)](workers::pool& pool) { pool.on_listing(m_now, listed); });
        }
    };
    if (!on.ends.empty() || order.wait == milliseconds(0)) {
        respond_once();
        return;
    }
    on.waiting_lists.emplace_back(respond_once);
    after(order.wait, respond_once);
}

void virtual_site::execute(std::uint64_t holder, const list_command& order)
{
    const worker_behaviour& behaviour = at(order.target.worker).behaviour;
    const bool lost = !behaviour.silent && m_random.unit() < behaviour.lost_lists;
    carry(
        holder, order.target.worker, order.wait + list_extra, lost, happens(behaviour.late_orders),
        [this, order](const respond& answer) { list_at_worker(order, answer); },
        [this, order](workers::pool& pool) {
            pool.on_list_failure(m_now, order.target.worker, list_failure::unanswered);
        });
}

listing virtual_site::listing_of(const virtual_worker& on) const
{
    listing value;
    value.worker = on.entry.id;
    value.incarnation = on.incarnation;
    value.clock_ms = clock_ms(on);
    for (const auto& [ref, running] : on.runs) {
        value.running.push_back({ref, running.number, 0});
    }
    const auto count = std::min(on.ends.size(), max_listed_ends);
    value.ended.assign(on.ends.begin(), on.ends.begin() + static_cast<std::ptrdiff_t>(count));
    return value;
}

}  // namespace poplarshed::workers::test

#include <algorithm>

#include "virtual_workers.h"

namespace poplarshed::workers::test {

namespace {

// Processor need of a task whose job is no longer known, in thousandths of a core.
constexpr std::int64_t unknown_job_cpu = 14'000;
constexpr milliseconds one_way{1};
constexpr milliseconds stop_time{50};
constexpr std::int64_t max_lease_ms = 1000;
// Maximum number of ends in one answer (platform protocol).
constexpr std::size_t max_listed_ends = 500;
// Late commands are executed after this delay plus a random part of the spread.
constexpr milliseconds min_command_delay{2000};
constexpr std::uint64_t command_delay_spread_ms = 10'000;
// A task under which this many workers have crashed is started less often than the second number (users'
// rule).
constexpr milliseconds contact_time{3000};
constexpr milliseconds heartbeat_interval{1500};
constexpr std::size_t max_crashes = 3;
constexpr std::size_t max_later_starts = 3;

}  // namespace

milliseconds virtual_site::travel(const virtual_worker& worker)
{
    const auto spread = static_cast<std::uint64_t>(worker.behaviour.jitter.count());
    return one_way + milliseconds(spread == 0 ? 0 : static_cast<std::int64_t>(m_random.below(spread + 1)));
}

void virtual_site::deliver_command(std::uint64_t holder, const worker_id& to, milliseconds timeout, bool lost,
                                   bool late, const std::function<void(const respond&)>& at_worker,
                                   const report_failure& failed)
{
    virtual_worker& worker = at(to);
    const auto open = std::make_shared<bool>(true);
    const auto once = [this, holder, open](const std::function<void(workers::pool&)>& what) {
        if (std::exchange(*open, false)) {
            call_holder(holder, what);
        }
    };
    const std::uint64_t incarnation = worker.incarnation;
    const auto reaches = [this, &worker, incarnation] {
        return m_now >= worker.up_at && (m_commands_outlive_restarts || worker.incarnation == incarnation);
    };
    const bool is_duplicated = !late && happens(worker.behaviour.duplicated_commands);
    const bool no_answer = late || is_duplicated || happens(worker.behaviour.lost_answers);
    const respond answer = [this, &worker, once, no_answer](const std::function<void(workers::pool&)>& what) {
        if (!no_answer && !worker.behaviour.unreachable && !worker.behaviour.refuses_connections) {
            after(travel(worker), [once, what] { once(what); });
        }
    };
    const auto fail = [once, failed](list_failure cause) {
        once([failed, cause](workers::pool& pool) { failed(pool, cause); });
    };
    after(timeout, [fail] { fail(list_failure::unanswered); });
    worker.connections.emplace_back([fail] { fail(list_failure::connection_lost); });
    if (late || is_duplicated) {
        const milliseconds command_delay =
            min_command_delay +
            milliseconds(static_cast<std::int64_t>(m_random.below(command_delay_spread_ms)));
        after(command_delay, [reaches, at_worker] {
            if (reaches()) {
                at_worker([](const auto&) {});
            }
        });
    }
    if (!late && !worker.behaviour.unreachable && !lost) {
        after(travel(worker), [this, &worker, reaches, at_worker, answer, fail] {
            const bool refused =
                worker.behaviour.refuses_connections || (m_now < worker.up_at && worker.refuses);
            if (reaches() && !refused) {
                at_worker(answer);
            } else if (refused) {
                after(one_way, [fail] { fail(list_failure::connection_refused); });
            }
        });
    }
}

// Leases are never shortened, and are capped at the maximum.
void virtual_site::renew_lease(virtual_worker& worker, std::int64_t until_ms) const
{
    worker.lease_until_ms =
        std::max(worker.lease_until_ms, std::min(until_ms, clock_ms(worker) + max_lease_ms));
}

std::string virtual_site::token_history(const virtual_worker& worker, fencing_token token)
{
    return " token " + std::to_string(token.value()) + " after " + std::to_string(worker.token.value());
}

start_outcome virtual_site::execute_start(const start_command& command)
{
    virtual_worker& worker = at(command.target.worker);
    add_history(command.task.job, command.target.worker.value() + " gets a start of task " +
                                      std::to_string(command.task.index) + " of run " +
                                      std::to_string(command.run.value()) +
                                      token_history(worker, command.token));
    if (command.token < worker.token) {
        return start_outcome::fenced;
    }
    worker.token = command.token;
    if (command.lease_until_ms < clock_ms(worker)) {
        return start_outcome::expired;
    }
    renew_lease(worker, command.lease_until_ms);
    const auto present = worker.runs.find(command.task);
    if (present != worker.runs.end() && present->second.number == command.run) {
        return start_outcome::started;
    }
    const auto closed = worker.closed.find(command.task);
    if ((closed != worker.closed.end() && !(closed->second < command.run)) ||
        (present != worker.runs.end() && command.run < present->second.number)) {
        return start_outcome::superseded;
    }
    const auto job = m_jobs.find(command.task.job);
    const std::int64_t need =
        job == m_jobs.end() ? unknown_job_cpu : job->second.offer.steps.at(0).need.cpu_milli;
    std::int64_t used = need;
    for (const auto& [ref, running] : worker.runs) {
        used += running.cpu_milli;
    }
    if (used > worker.capacities.back().second && worker.behaviour.guards_capacity) {
        return start_outcome::no_room;
    }
    if (used > allowed_cpu(worker)) {
        add_violation(command.task.job, "capacity overrun on " + worker.entry.id.value() + ":");
    }
    if (present != worker.runs.end() || runs_elsewhere(command.task, worker)) {
        add_violation(command.task.job,
                      "two runs at one time of task " + std::to_string(command.task.index) + ":");
    }
    milliseconds work{100};
    std::string rack;
    if (job != m_jobs.end()) {
        const std::vector<milliseconds>& each = job->second.work;
        work = each.at(std::min<std::size_t>(command.task.index, each.size() - 1));
        rack = job->second.offer.steps.at(0).preferred_label;
    }
    const bool remote = !rack.empty() && !worker.entry.has_label(rack);
    m_remote_starts += remote ? 1 : 0;
    const double slowness = worker.behaviour.slowness * (remote ? m_racks.remote_slowdown : 1);
    const auto duration =
        milliseconds(static_cast<std::int64_t>(static_cast<double>(work.count()) * slowness));
    worker.runs.insert_or_assign(
        command.task,
        live_run{command.run, m_now, m_now + (worker.behaviour.fails ? milliseconds(1) : duration),
                 worker.behaviour.fails, need});
    add_history(command.task.job, command.target.worker.value() + " starts task " +
                                      std::to_string(command.task.index) + " of run " +
                                      std::to_string(command.run.value()));
    ++worker.starts;
    ++m_starts;
    m_started_jobs.insert(command.task.job);
    crash_under_task(worker, command);
    return start_outcome::started;
}

std::int64_t virtual_site::allowed_cpu(const virtual_worker& worker) const
{
    const time_point since = m_now - contact_time - heartbeat_interval;
    std::int64_t most = 0;
    for (std::size_t i = 0; i < worker.capacities.size(); ++i) {
        const bool last = i + 1 == worker.capacities.size();
        if (last || worker.capacities[i + 1].first > since) {
            most = std::max(most, worker.capacities[i].second);
        }
    }
    return most;
}

void virtual_site::crash_under_task(const virtual_worker& worker, const start_command& command)
{
    const auto crashing = m_crashing.find(command.task.job);
    if (crashing == m_crashing.end() || crashing->second.index != command.task.index) {
        return;
    }
    crash_count& counted = m_crashes[command.task];
    if (counted.crashes >= max_crashes && ++counted.later_starts >= max_later_starts) {
        add_violation(command.task.job,
                      "started three times more after three workers have crashed under it:");
    }
    const auto index = static_cast<std::size_t>(&worker - m_workers.data());
    after(crashing->second.after, [this, index, command, crash = crashing->second] {
        const virtual_worker& running = m_workers.at(index);
        const auto found = running.runs.find(command.task);
        if (found != running.runs.end() && found->second.number == command.run) {
            ++m_crashes[command.task].crashes;
            crash_worker(index, crash.down, crash.kind);
        }
    });
}

void virtual_site::execute(std::uint64_t holder, const start_command& command)
{
    const auto reply = [this, command](workers::pool& pool, start_outcome reached,
                                       std::optional<std::int64_t> clock) {
        pool.on_start_reply(m_now, {command.target.worker, command.task, command.run, reached, clock});
    };
    const worker_behaviour& behaviour = at(command.target.worker).behaviour;
    const bool late = m_random.unit() < std::max(behaviour.delayed_starts, behaviour.delayed_commands);
    deliver_command(
        holder, command.target.worker, command.answer_within, false, late,
        [this, command, reply](const respond& answer) {
            const start_outcome reached = execute_start(command);
            const std::int64_t clock = clock_ms(at(command.target.worker));
            answer([reply, reached, clock](workers::pool& pool) { reply(pool, reached, clock); });
        },
        [reply](workers::pool& pool, list_failure cause) {
            reply(pool,
                  cause == list_failure::connection_refused ? start_outcome::unreachable
                                                            : start_outcome::unanswered,
                  std::nullopt);
        });
}

void virtual_site::execute_stop(const stop_command& command, const respond& answer)
{
    virtual_worker& worker = at(command.target.worker);
    const auto reply = [this, command](stop_outcome reached) {
        return [this, command, reached](workers::pool& pool) {
            pool.on_stop_reply(m_now, {command.target.worker, command.task, command.run, reached});
        };
    };
    if (command.token < worker.token) {
        answer(reply(stop_outcome::fenced));
        return;
    }
    worker.token = command.token;
    add_history(command.task.job,
                command.target.worker.value() + " gets a stop of run " + std::to_string(command.run.value()));
    run_number& closed = worker.closed[command.task];
    closed = std::max(closed, command.run);
    const std::uint64_t incarnation = worker.incarnation;
    after(stop_time, [this, &worker, command, incarnation] {
        const auto found = worker.runs.find(command.task);
        if (worker.incarnation == incarnation && found != worker.runs.end() &&
            !(command.run < found->second.number)) {
            end_run(worker, command.task, run_end::stopped);
        }
    });
    answer(reply(stop_outcome::stopped));
}

void virtual_site::execute(std::uint64_t holder, const stop_command& command)
{
    const worker_behaviour& behaviour = at(command.target.worker).behaviour;
    deliver_command(
        holder, command.target.worker, command.answer_within, happens(behaviour.lost_stops),
        happens(behaviour.delayed_commands),
        [this, command](const respond& answer) { execute_stop(command, answer); },
        [this, command](workers::pool& pool, list_failure /*cause*/) {
            pool.on_stop_reply(m_now,
                               {command.target.worker, command.task, command.run, stop_outcome::failed});
        });
}

void virtual_site::execute_list(const list_command& command, const respond& answer)
{
    virtual_worker& worker = at(command.target.worker);
    if (worker.token < command.token) {
        add_history({}, worker.entry.id.value() + " gets a list," + token_history(worker, command.token));
    }
    if (command.token < worker.token) {
        answer([this, command](workers::pool& pool) {
            pool.on_list_failure(m_now, command.target.worker, list_failure::fenced);
        });
        return;
    }
    worker.token = command.token;
    std::erase_if(worker.ends,
                  [&command](const listed_end& item) { return item.number <= command.acknowledged; });
    if (command.lease_until_ms) {
        renew_lease(worker, *command.lease_until_ms);
    }
    const auto given = std::make_shared<bool>(false);
    const std::uint64_t incarnation = worker.incarnation;
    const auto respond_once = [this, &worker, incarnation, answer, given] {
        if (worker.incarnation == incarnation && !std::exchange(*given, true)) {
            answer(
                [this, listed = listing_of(worker)](workers::pool& pool) { pool.on_listing(m_now, listed); });
        }
    };
    if (!worker.ends.empty() || command.wait == milliseconds(0)) {
        respond_once();
        return;
    }
    worker.waiting_lists.emplace_back(respond_once);
    after(command.wait, respond_once);
}

void virtual_site::execute(std::uint64_t holder, const list_command& command)
{
    const worker_behaviour& behaviour = at(command.target.worker).behaviour;
    const bool lost = !behaviour.unreachable && m_random.unit() < behaviour.lost_lists;
    deliver_command(
        holder, command.target.worker, command.answer_within, lost, happens(behaviour.delayed_commands),
        [this, command](const respond& answer) { execute_list(command, answer); },
        [this, command](workers::pool& pool, list_failure cause) {
            pool.on_list_failure(m_now, command.target.worker, cause);
        });
}

listing virtual_site::listing_of(const virtual_worker& worker) const
{
    listing value;
    value.worker = worker.entry.id;
    value.incarnation = worker.incarnation;
    value.clock_ms = clock_ms(worker);
    for (const auto& [ref, running] : worker.runs) {
        value.running.push_back({ref, running.number, 0});
    }
    const auto count = std::min(worker.ends.size(), max_listed_ends);
    value.ended.assign(worker.ends.begin(), worker.ends.begin() + static_cast<std::ptrdiff_t>(count));
    return value;
}

}  // namespace poplarshed::workers::test

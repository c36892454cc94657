#pragma once

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

#include "workers/workers.h"

namespace poplarshed::workers::test {

/// A pool whose commands are recorded instead of sent. Tests trigger the answers of the workers.
class pool_fixture {
public:
    explicit pool_fixture(std::size_t worker_count = 1, std::int64_t cpu = 32'000) : m_pool(options(), m_now)
    {
        std::vector<worker_entry> entries;
        for (std::size_t i = 0; i < worker_count; ++i) {
            entries.push_back(entry(i, cpu));
        }
        m_pool.on_directory_completeness(true);
        m_pool.on_directory(m_now, entries);
        collect_actions();
    }

    static pool_options options()
    {
        pool_options values;
        values.pool = pool_id("ollur/desk/0");
        values.service = service_id("desk");
        values.own_address = endpoint("10.0.0.1:1");
        values.token = fencing_token(7);
        return values;
    }

    static worker_entry entry(std::size_t index, std::int64_t cpu = 32'000)
    {
        worker_entry value;
        value.id = worker_id("w" + std::to_string(index));
        value.address = endpoint("10.1.0." + std::to_string(index + 1) + ":1");
        value.service = service_id("desk");
        value.data_centre = data_centre_id("ollur");
        value.capacity = {cpu, 65'536, 0};
        return value;
    }

    static job_offer offer(const std::string& id, std::uint32_t tasks,
                           milliseconds estimate = milliseconds(200))
    {
        job_offer value;
        value.job = job_id(id);
        value.owner = endpoint("10.0.0.2:1");
        value.service = service_id("desk");
        job_step step;
        step.tasks = tasks;
        step.need = {14'000, 64, 0};
        step.estimate = estimate;
        value.steps = {step};
        value.max_attempts = 3;
        value.objective = estimate * 8 / 5 + milliseconds(60);
        value.deadline = milliseconds(3000);
        return value;
    }

    void offer_job(const job_offer& value)
    {
        m_pool.on_offer(m_now, value.owner, value);
        collect_actions();
    }

    void list(std::size_t index, std::vector<listed_run> running = {}, std::vector<listed_end> ended = {},
              std::uint64_t incarnation = 1, std::int64_t clock_ms = 5000)
    {
        listing answer;
        answer.worker = entry(index).id;
        answer.incarnation = incarnation;
        answer.clock_ms = clock_ms;
        answer.running = std::move(running);
        answer.ended = std::move(ended);
        m_pool.on_listing(m_now, answer);
        collect_actions();
    }

    /// The worker of a start confirms it.
    void confirm(const start_command& start)
    {
        m_pool.on_start_reply(m_now,
                              {start.target.worker, start.task, start.run, start_outcome::started, {}});
        collect_actions();
    }

    void fail_list(const worker_id& worker, list_failure cause)
    {
        m_pool.on_list_failure(m_now, worker, cause);
        collect_actions();
    }

    /// Sets the workers, with the given changes of their entries.
    void change_directory(std::size_t worker_count,
                          const std::function<void(std::vector<worker_entry>&)>& change)
    {
        std::vector<worker_entry> entries;
        for (std::size_t i = 0; i < worker_count; ++i) {
            entries.push_back(entry(i));
        }
        change(entries);
        m_pool.on_directory(m_now, entries);
        collect_actions();
    }

    void advance(milliseconds time)
    {
        m_now += time;
        m_pool.on_tick(m_now);
        collect_actions();
    }

    /// Moves the commands and results of the pool into the lists below.
    void collect_actions()
    {
        for (action& item : m_pool.take_actions()) {
            if (auto* start = std::get_if<start_command>(&item)) {
                starts.push_back(*start);
            } else if (auto* stop = std::get_if<stop_command>(&item)) {
                stops.push_back(*stop);
            } else if (auto* list_sent = std::get_if<list_command>(&item)) {
                lists.push_back(*list_sent);
            } else if (auto* out = std::get_if<owner_notification>(&item)) {
                if (auto* result = std::get_if<job_result>(&out->message)) {
                    results.push_back(*result);
                    result_receivers.push_back(out->owner);
                } else {
                    progress.push_back(std::get<job_progress>(out->message));
                }
            } else if (auto* report = std::get_if<job_losses>(&item)) {
                losses.push_back(*report);
            } else if (auto* made = std::get_if<decision_record>(&item)) {
                decisions.push_back(*made);
            }
        }
    }

    pool& get() { return m_pool; }
    time_point now() const { return m_now; }
    std::size_t count(decision kind) const
    {
        return static_cast<std::size_t>(std::count_if(
            decisions.begin(), decisions.end(), [kind](const auto& made) { return made.kind == kind; }));
    }

    std::vector<start_command> starts;
    std::vector<stop_command> stops;
    std::vector<list_command> lists;
    std::vector<job_result> results;
    std::vector<endpoint> result_receivers;  ///< of each result
    std::vector<job_progress> progress;
    std::vector<job_losses> losses;
    std::vector<decision_record> decisions;

private:
    time_point m_now{seconds(1000)};
    pool m_pool;
};

}  // namespace poplarshed::workers::test

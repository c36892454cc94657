#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "common/random_source.h"
#include "workers/workers.h"

namespace poplarshed::workers::test {

/// How a worker behaves.
struct worker_behaviour {
    double slowness = 1;    ///< durations are multiplied by it
    bool fails = false;     ///< every run fails at once
    bool silent = false;    ///< orders get lost; what runs goes on under its lease
    double late_share = 0;  ///< part of the starts that get no answer and arrive seconds later
    double lost_lists = 0;  ///< part of the list orders that get lost
};

/// Workers and one or two holders in virtual time. Records what callers are told and every broken rule.
class virtual_site {
public:
    explicit virtual_site(std::size_t workers, std::uint64_t seed = 1);

    /// Makes a new holder with a higher token and offers it every open job. The former one goes on, as an
    /// instance does that was paused, until drop_former().
    void replace_holder();
    void drop_former();
    void crash_worker(std::size_t index);
    worker_behaviour& behaviour(std::size_t index) { return m_workers.at(index).behaviour; }

    /// @param work duration of each task on a worker of slowness 1
    void offer(const job_offer& offer, milliseconds work);
    void advance(milliseconds time);

    pool& holder() { return *m_holders.back().pool; }
    time_point now() const { return m_now; }
    /// Job to its result and the time from its offer.
    struct outcome {
        job_result result;
        milliseconds after{};
        milliseconds objective{};
    };
    const std::map<job_id, outcome>& outcomes() const { return m_outcomes; }
    std::size_t count(job_end end) const;
    std::size_t in_time() const;
    std::size_t starts() const { return m_starts; }
    std::size_t starts_on(std::size_t index) const { return m_workers.at(index).starts; }
    /// Each with the history of its job.
    const std::vector<std::string>& violations() const { return m_violations; }

private:
    struct live_run {
        run_number number;
        time_point ends_at;
        bool fails = false;
        std::int64_t cpu_milli = 0;
    };

    struct virtual_worker {
        worker_entry entry;
        worker_behaviour behaviour;
        std::uint64_t incarnation = 1;
        fencing_token token;
        time_point lease_until;
        std::map<task_ref, live_run> runs;
        std::map<task_ref, run_number> closed;  ///< highest run that was stopped or has ended
        std::vector<listed_end> ends;
        std::uint64_t last_end = 0;
        std::size_t starts = 0;
        std::vector<std::function<void()>> waiting_lists;
    };

    struct holder_state {
        std::unique_ptr<workers::pool> pool;
        std::uint64_t number = 0;
    };

    struct open_job {
        job_offer offer;
        time_point offered;
        milliseconds work{};
    };

    void note(const job_id& id, const std::string& what);
    void violate(const job_id& id, const std::string& what);
    void pump();
    void execute(std::uint64_t holder, const action& item);
    void execute(std::uint64_t holder, const start_order& order);
    void execute(std::uint64_t holder, const stop_order& order);
    void execute(std::uint64_t holder, const list_order& order);
    void start_at_worker(const start_order& order, const std::function<void(start_outcome)>& answer);
    void answer_list(std::uint64_t holder, const list_order& order, const std::shared_ptr<bool>& answered);
    void after(milliseconds delay, std::function<void()> call);
    workers::pool* find(std::uint64_t holder);
    virtual_worker& at(const worker_id& id);
    void end_run(virtual_worker& on, const task_ref& ref, run_end how);
    void expire(virtual_worker& on);
    std::int64_t clock_ms() const;
    bool runs_elsewhere(const task_ref& ref, const virtual_worker& here) const;

    random_source m_random;
    time_point m_now{seconds(1000)};
    std::vector<virtual_worker> m_workers;
    std::vector<holder_state> m_holders;
    std::uint64_t m_last_holder = 0;
    std::map<job_id, open_job> m_jobs;
    std::map<job_id, outcome> m_outcomes;
    std::set<job_id> m_started_jobs;
    std::multimap<time_point, std::function<void()>> m_events;
    std::size_t m_starts = 0;
    std::map<job_id, std::string> m_history;
    std::vector<std::string> m_violations;
};

}  // namespace poplarshed::workers::test

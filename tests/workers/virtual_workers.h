#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/random_source.h"
#include "workers/workers.h"

namespace poplarshed::workers::test {

/// Behaviour of a virtual worker and of the network to it.
struct worker_behaviour {
    double slowness = 1;               ///< factor on durations
    bool fails = false;                ///< every run fails at once
    bool unreachable = false;          ///< commands are lost; runs continue under their lease
    double delayed_starts = 0;         ///< share of starts that get no answer and arrive seconds later
    double lost_lists = 0;             ///< share of lost list commands
    double delayed_commands = 0;       ///< share of commands that get no answer and arrive seconds later
    double duplicated_commands = 0;    ///< share of commands that get no answer and arrive twice
    double lost_answers = 0;           ///< share of lost answers
    double lost_stops = 0;             ///< share of lost stop commands
    milliseconds jitter{};             ///< maximum random delay of each command and each answer
    bool refuses_connections = false;  ///< like unreachable, and the sender learns it at once
    bool guards_capacity = true;       ///< starts beyond the capacity are rejected
};

/// What callers see of a worker whose process has ended.
enum class crash_kind {
    dark,      ///< nothing answers, as after a loss of power
    refusing,  ///< connections end, and new ones are refused
};

/// A task that crashes each worker which runs it.
struct crashing_task {
    std::uint32_t index = 0;  ///< in the first step
    milliseconds after{};     ///< from its start to the crash
    milliseconds down{3000};  ///< until the worker is back
    crash_kind kind = crash_kind::refusing;
};

/// Racks of the workers: those of rack N have the label "rN".
struct rack_layout {
    std::size_t workers_per_rack = 0;  ///< 0 for workers without labels
    double remote_slowdown = 3;  ///< factor on the duration of a task elsewhere than its preferred label
};

/// Simulates workers and one or two holders in virtual time. Records the results of jobs and every violated
/// rule.
class virtual_site {
public:
    /// @param capacities processors of the workers in thousandths of a core, repeated over them; empty for
    /// those of the fixture
    explicit virtual_site(std::size_t workers, std::uint64_t seed = 1,
                          const std::vector<std::int64_t>& capacities = {}, rack_layout racks = {});

    /// Creates a new holder with a higher token and offers it every open job. The former holder continues,
    /// like an instance that was paused, until drop_former().
    void replace_holder();
    void drop_former();
    /// Restarts the worker under the same id after the given downtime; its clock and counters restart at 0.
    void crash_worker(std::size_t index, milliseconds down = {}, crash_kind kind = crash_kind::dark);
    /// Changes the processors of a worker while it runs; the directory shows it some time later.
    void set_capacity(std::size_t index, std::int64_t cpu_milli);
    /// Restarts the worker under the same id as one of another size; the directory shows it some time later.
    void restart_with_capacity(std::size_t index, milliseconds down, std::int64_t cpu_milli);
    /// @param rate speed of the worker's clock from now on; 1 is exact
    void set_clock_rate(std::size_t index, double rate);
    /// Removes the worker, which continues to run, from the directory, or lists it again.
    void set_listed(std::size_t index, bool listed);
    bool is_listed(std::size_t index) const { return m_workers.at(index).listed; }
    /// Share of the steps of a holder after which it pauses before its commands are sent.
    void set_pauses(double share) { m_pauses = share; }
    /// Sets whether a worker executes late commands that were sent to a previous incarnation.
    void set_commands_outlive_restarts(bool outlive) { m_commands_outlive_restarts = outlive; }
    worker_behaviour& behaviour(std::size_t index) { return m_workers.at(index).behaviour; }

    /// @param work duration of each task on a worker of slowness 1
    /// @param crashing task that crashes its workers
    void offer(const job_offer& offer, milliseconds work, std::optional<crashing_task> crashing = {});
    /// The same with a duration for each task of the first step.
    void offer(const job_offer& offer, std::vector<milliseconds> work);
    void advance(milliseconds time);

    pool& holder() { return *m_holders.back().pool; }
    time_point now() const { return m_now; }
    /// Result of a job and the time since its offer.
    struct outcome {
        job_result result;
        milliseconds after{};
        milliseconds objective{};
    };
    const std::map<job_id, outcome>& outcomes() const { return m_outcomes; }
    std::size_t count(job_end end) const;
    std::size_t in_time() const;
    std::size_t starts() const { return m_starts; }
    /// Starts of tasks on workers without the label that their step prefers.
    std::size_t remote_starts() const { return m_remote_starts; }
    std::size_t starts_on(std::size_t index) const { return m_workers.at(index).starts; }
    /// Workers that tasks of the job have crashed; the highest number for one task.
    std::size_t crashes_under(const job_id& job) const;
    /// Violated rules, each with the history of its job and of the workers.
    const std::vector<std::string>& violations() const { return m_violations; }

private:
    struct live_run {
        run_number number;
        time_point started;
        time_point ends_at;
        bool fails = false;
        std::int64_t cpu_milli = 0;
    };

    struct virtual_worker {
        worker_entry entry;
        worker_behaviour behaviour;
        std::uint64_t incarnation = 1;
        bool listed = true;  ///< by the directory
        time_point up_at;
        double clock_rate = 1;
        std::int64_t clock_base_ms = 0;
        time_point clock_since;
        fencing_token token;
        std::int64_t lease_until_ms = 0;  ///< on the worker's clock
        std::map<task_ref, live_run> runs;
        std::map<task_ref, run_number> closed;  ///< highest run number that was stopped or has ended
        std::vector<listed_end> ends;
        std::uint64_t last_end = 0;
        /// Capacities of the present process, each with the time from which it holds.
        std::vector<std::pair<time_point, std::int64_t>> capacities;
        std::size_t starts = 0;
        bool refuses = false;  ///< connections while it is down
        std::vector<std::function<void()>> waiting_lists;
        std::vector<std::function<void()>> connections;  ///< called when the connection of a command ends
    };

    struct holder_state {
        std::unique_ptr<workers::pool> pool;
        std::uint64_t number = 0;
        time_point paused_until;
    };

    struct open_job {
        job_offer offer;
        time_point offered;
        std::vector<milliseconds> work;  ///< of each task of the first step; the last one for further tasks
    };

    /// Crashes under a task, and the starts of it after the third one.
    struct crash_count {
        std::size_t crashes = 0;
        std::size_t later_starts = 0;
    };

    /// Passes an answer to the simulated network, which delivers it to the pool of the sender.
    using respond = std::function<void(std::function<void(workers::pool&)>)>;

    void add_history(const job_id& id, const std::string& what);
    /// The token of a command and the highest one that the worker had before.
    static std::string token_history(const virtual_worker& worker, fencing_token token);
    void add_violation(const job_id& id, const std::string& what);
    void process_actions();
    void process_actions(holder_state& from);
    void execute(std::uint64_t holder, const action& next);
    void execute(const owner_notification& out, std::uint64_t holder);
    void execute(std::uint64_t holder, const start_command& command);
    void execute(std::uint64_t holder, const stop_command& command);
    void execute(std::uint64_t holder, const list_command& command);
    /// Tells a holder that a command got no answer, and why.
    using report_failure = std::function<void(workers::pool&, list_failure)>;

    /// Delivers a command to a worker once, late, twice or never. The holder receives the answer, a timeout,
    /// or the end of the connection.
    void deliver_command(std::uint64_t holder, const worker_id& to, milliseconds timeout, bool lost,
                         bool late, const std::function<void(const respond&)>& at_worker,
                         const report_failure& failed);
    /// Calls a holder's pool as soon as the holder is not paused.
    void call_holder(std::uint64_t holder, const std::function<void(workers::pool&)>& what);
    bool happens(double share) { return share > 0 && m_random.unit() < share; }
    milliseconds travel(const virtual_worker& worker);
    start_outcome execute_start(const start_command& command);
    /// What a start may use: a capacity that has shrunk counts some time later (users' rules).
    std::int64_t allowed_cpu(const virtual_worker& worker) const;
    /// Counts a start of a task that crashes its workers, and crashes this one some time later.
    void crash_under_task(const virtual_worker& worker, const start_command& command);
    void execute_list(const list_command& command, const respond& answer);
    void execute_stop(const stop_command& command, const respond& answer);
    void renew_lease(virtual_worker& worker, std::int64_t until_ms) const;
    listing listing_of(const virtual_worker& worker) const;
    void after(milliseconds delay, std::function<void()> call);
    void update_directory();
    std::vector<worker_entry> listed_workers() const;
    bool is_complete() const;
    void tick();
    time_point next_step() const;
    holder_state* find(std::uint64_t holder);
    virtual_worker& at(const worker_id& id);
    void end_run(virtual_worker& worker, const task_ref& ref, run_end how);
    void expire(virtual_worker& worker);
    void check_unwanted_run(virtual_worker& worker, const task_ref& ref, live_run& running);
    std::int64_t clock_ms(const virtual_worker& worker) const;
    bool runs_elsewhere(const task_ref& ref, const virtual_worker& here) const;

    random_source m_random;
    time_point m_now{seconds(1000)};
    std::vector<virtual_worker> m_workers;
    std::vector<holder_state> m_holders;
    std::uint64_t m_last_holder = 0;
    double m_pauses = 0;
    bool m_commands_outlive_restarts = false;
    time_point m_worker_delisted_at;  ///< last removal of a worker from the directory
    std::map<job_id, open_job> m_jobs;
    std::map<job_id, crashing_task> m_crashing;
    std::map<task_ref, crash_count> m_crashes;
    std::map<job_id, outcome> m_outcomes;
    std::map<job_id, time_point> m_answered;
    std::set<job_id> m_started_jobs;
    std::multimap<time_point, std::function<void()>> m_events;
    rack_layout m_racks;
    std::size_t m_starts = 0;
    std::size_t m_remote_starts = 0;
    std::map<job_id, std::string> m_history;
    std::vector<std::string> m_violations;
};

}  // namespace poplarshed::workers::test

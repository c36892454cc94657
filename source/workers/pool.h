#pragma once

#include <map>
#include <memory>
#include <set>
#include <unordered_map>

#include "workers/grant.h"
#include "workers/policy.h"
#include "workers/speed.h"
#include "workers/types.h"

namespace poplarshed::workers {

struct pool_options {
    pool_id pool;
    service_id service;
    endpoint own_address;
    fencing_token token;
    std::uint64_t first_run_number = 1;  ///< run numbers start here; grows from holder to holder
    /// Greatest lease that workers grant; what a former holder started ends within it.
    milliseconds max_lease{1000};
    /// Lease of what runs; short, so that the tasks of an unreachable worker can start elsewhere soon.
    milliseconds lease{700};
    /// Time that a worker holds a list order back while nothing ends; renews the lease almost three times.
    milliseconds list_wait{150};
    /// Added to a lease before its runs count as ended: delivery of the order and 2% of clock drift.
    milliseconds lease_margin{120};
    /// Time that a worker takes to stop a run after its answer to the order.
    milliseconds stop_time{50};
    double remote_slowdown = 3;  ///< of a task that runs away from its data
};

/// Holds the workers of a pool: admits jobs, starts their tasks, renews leases, and takes note of ends. At
/// most one run of a task exists at a time, also across holders. Not thread-safe; no I/O.
class pool {
public:
    pool(pool_options options, time_point now);
    pool(const pool&) = delete;
    pool& operator=(const pool&) = delete;
    ~pool();

    /// The workers of the pool.
    void on_directory(time_point now, const std::vector<worker_entry>& entries);
    /// @param complete no worker is missing because the directory was away
    void on_directory_completeness(bool complete) { m_complete = complete; }
    void on_offer(time_point now, const endpoint& owner, job_offer offer);
    void on_cancel(time_point now, const job_cancel& cancel);
    /// Prolongs the grants of an owner's jobs, and drops those that the owner has withdrawn.
    void on_active_offers(time_point now, const active_offers& offers);
    /// An instance is silent; its callers have lost their connections.
    void on_owner_lost(time_point now, const endpoint& owner);
    void on_start_reply(time_point now, const start_reply& reply);
    void on_stop_reply(time_point now, const stop_reply& reply);
    void on_listing(time_point now, const listing& answer);
    void on_list_failure(time_point now, const worker_id& id, list_failure cause);
    /// Loads of the other pools of the service.
    void on_other_pools(std::vector<pool_load> loads);
    void on_tick(time_point now);
    /// Gives every job back to its owner, with the tasks that may run. The runs go on under their lease.
    void hand_over();

    /// A worker has seen a higher token: another instance holds the pool.
    bool is_fenced() const { return m_fenced; }
    fencing_token token() const { return m_options.token; }
    const service_id& service() const { return m_options.service; }
    pool_load load(time_point now) const;
    std::size_t job_count() const;
    /// Adds the instances whose jobs are here.
    void add_owners(std::set<endpoint>& owners) const;
    std::size_t run_count() const;
    std::vector<action> take_actions();

private:
    enum class task_state : std::uint8_t { waiting, starting, running, stopping, done };

    struct task {
        task_state state = task_state::waiting;
        std::uint32_t failures = 0;
        run_number run;
        worker_id worker;
        worker_id avoid;  ///< where the last run failed
    };

    struct job {
        job_offer offer;
        endpoint owner;
        time_point arrived;
        time_point objective_at;
        time_point useful_until;
        time_point deadline_at;
        time_point granted_until;  ///< the owner may give the job to another pool some time after
        std::vector<task> tasks;
        std::vector<std::uint32_t> first_task;  ///< global number of each step's first task
        std::vector<std::uint32_t> step_left;   ///< tasks of each step that are not done
        std::uint32_t waiting = 0;
        std::uint32_t done = 0;
        bool started = false;               ///< a start was sent, here or by a former holder
        std::set<std::uint32_t> uncertain;  ///< tasks that a former holder may have started
        time_point uncertain_until;         ///< what it started has lapsed by then
    };

    struct run {
        task_ref task;
        run_number number;
        resources need;
        milliseconds expected{};
        milliseconds estimate{};
        time_point sent;
        time_point stop_sent;
        std::optional<time_point> stop_acknowledged;
        /// Number of the first list that must show it; nothing until the worker has told of it.
        std::optional<std::uint64_t> shown_since;
        /// Where no job is here for the run: leases on its worker do not reach beyond it.
        std::optional<time_point> limit;
        bool stopping = false;
        bool orphan = false;  ///< of a former holder; no owner has claimed it yet
        bool overdue = false;
    };

    /// A run that the worker has never told of.
    struct given_up_run {
        run_number number;
        time_point at;
    };

    struct worker {
        worker_entry entry;
        bool present = false;  ///< the directory lists it
        bool listed = false;   ///< what runs there is known
        bool silent = false;
        std::uint64_t lists = 0;        ///< sent so far; at most one is on its way
        unsigned unanswered_lists = 0;  ///< in a row
        time_point answered;            ///< any order but a list
        bool list_pending = false;
        bool ends_pending = false;  ///< ends to acknowledge
        time_point lapse_at;        ///< what runs there has ended by then, unless the lease is renewed
        time_point list_sent;
        time_point next_list;
        time_point no_start_until;
        std::optional<std::int64_t> clock_offset_ms;  ///< the worker's clock less the local steady clock
        time_point clock_noted;                       ///< when the offset was learned
        std::uint64_t clock_list = 0;  ///< number of the first list whose answer may tell the clock
        time_point life_known;         ///< the answer to an earlier start may be of an earlier life
        time_point long_leases_until;  ///< an order of an earlier life may give the greatest lease
        std::uint64_t incarnation = 0;
        std::uint64_t acknowledged = 0;
        std::map<task_ref, run> runs;
        std::map<task_ref, given_up_run> given_up;  ///< may be carried out late
        resources used;
        speed_estimate speed;
        unsigned failures_in_row = 0;
        unsigned ejections = 0;
        job_id last_failed;
        time_point ejected_until;
    };

    // Jobs
    job* find_job(const job_id& id);
    void mark_done(job& item, std::uint32_t number);
    void adopt(time_point now, job& item);
    void finish_if_done(time_point now, const job_id& id);
    bool admit(time_point now, job& item);
    /// The answer to the offer under which a job is here.
    job_result answer_to(const job& item, job_end end) const;
    void finish_job(time_point now, const job_id& id, job_result result);
    void drop_job(time_point now, const job_id& id, std::string_view cause);
    /// Jobs whose owner has not been heard in time.
    void end_grants(time_point now);
    /// Tells the owner that the job is given up here, and which tasks may run.
    job_result not_held_answer(const job& item) const;
    void stop_tasks(time_point now, const job& item);
    void refuse_hopeless(time_point now);
    void return_surplus(time_point now);
    void refuse(time_point now, const job& item, refusal_reason reason, milliseconds retry_after,
                milliseconds predicted);
    // Scheduling
    void schedule(time_point now);
    bool place(time_point now, job& item, std::uint32_t number);
    std::optional<worker_id> choose(time_point now, const job& item, std::uint32_t number);
    void start(time_point now, job& item, std::uint32_t number, worker& on);
    bool usable(time_point now, const worker& item) const;
    bool knows_all_runs() const;
    milliseconds expected_on(time_point now, const worker& item, const job_step& step) const;
    double mean_ratio(time_point now) const;
    queue_rank rank(time_point now, const job& item, double ratio) const;
    job_demand demand(const job& item, double ratio) const;
    std::vector<job*> waiting_in_order(time_point now);
    backlog current_backlog(time_point now) const;
    std::int64_t typical_cpu() const;
    // Runs
    /// The worker has told of a run, so lists that are sent from now on show it until it ends.
    static void confirm(const worker& on, run& item);
    void end_run(time_point now, worker& on, const task_ref& ref, run_end how);
    void requeue(job& item, std::uint32_t number);
    void note_failure(time_point now, worker& on, const job_id& failed);
    void send_stop(time_point now, worker& on, run& item);
    void check_runs(time_point now, worker& on);
    /// Makes the worker refuse the starts that were given up and may still be on their way.
    void close_given_up(const worker& on);
    // Workers
    void send_list(time_point now, worker& on);
    /// Time by which what runs on a worker must have ended, unless an owner renews its grant.
    time_point lease_limit(const worker& on) const;
    void lapse_all(time_point now, worker& on, std::string_view cause);
    void note_clock(time_point now, worker& on, std::int64_t clock_ms);
    void on_new_life(time_point now, worker& on);
    /// Time after which a run has ended whose lease an order of now has prolonged, unless it is prolonged
    /// again.
    milliseconds lapse_time(time_point now, const worker& on) const;
    /// Least time that the worker's clock can show; it may be slow.
    std::int64_t worker_time(time_point at, const worker& on) const;
    void forget_departed();

    std::uint32_t number_of(const job& item, const task_ref& ref) const;
    const job_step& step_of(const job& item, std::uint32_t number) const;
    task_ref ref_of(const job& item, std::uint32_t number) const;
    void record(decision what, const job_id& subject, const worker_id& on, std::string detail,
                milliseconds input = {}, milliseconds limit = {});
    void tell(const endpoint& owner, owner_message message);

    pool_options m_options;
    time_point m_created;
    bool m_fenced = false;
    bool m_complete = false;
    std::uint64_t m_last_run;
    std::map<worker_id, worker> m_workers;
    std::unordered_map<job_id, std::unique_ptr<job>> m_jobs;
    std::map<task_ref, time_point> m_orphan_ends;  ///< done before their job was claimed
    std::vector<pool_load> m_others;
    std::map<job_id, std::vector<std::uint32_t>> m_progress;
    std::vector<action> m_actions;
};

}  // namespace poplarshed::workers

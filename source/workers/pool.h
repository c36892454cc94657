#pragma once

#include <map>
#include <memory>
#include <set>
#include <unordered_map>

#include "workers/command_path.h"
#include "workers/grant.h"
#include "workers/locality.h"
#include "workers/policy.h"
#include "workers/room.h"
#include "workers/speed.h"
#include "workers/types.h"

namespace poplarshed::workers {

struct pool_options {
    pool_id pool;
    service_id service;
    endpoint own_address;
    fencing_token token;
    std::uint64_t first_run_number = 1;  ///< lower bound of run numbers; increases from holder to holder
    /// Maximum lease that workers grant; runs of a former holder end within it.
    milliseconds max_lease{1000};
    /// Lease of runs; short, so that tasks of an unreachable worker can soon start elsewhere.
    milliseconds lease{700};
    /// Time that a worker may delay the answer to a list command while no run ends. The lease is renewed with
    /// each list, almost three times before it expires.
    milliseconds list_wait{150};
    /// Added to a lease before its runs count as ended, for delivery of the command and 2% of clock drift.
    milliseconds lease_margin{120};
    /// Time that a worker needs to stop a run after it has acknowledged the command.
    milliseconds stop_time{50};
    double remote_slowdown = 3;  ///< factor on the duration of a task that runs remote from its data
    bool evacuated = false;      ///< the data centre was evacuated before the pool was taken
};

/// Maximum number of moves of a job between pools; further moves cost more than they gain.
inline constexpr std::uint32_t max_returns = 2;

/// Jobs that have started may start their remaining tasks for this time after an evacuation became known:
/// mostly they wait for room that their own runs leave. An order must take effect within five seconds of its
/// acknowledgement, and may be known here up to 3.2 s after it, when a watch has gone silent. A pool that is
/// taken during an evacuation has no such time: the age of the order is not known.
inline constexpr milliseconds evacuation_grace{500};

/// Manages the workers of a pool: admits jobs, starts their tasks, renews leases and processes the ends of
/// runs. At most one run of a task exists at a time, also across holders. Not thread-safe; no I/O.
class pool {
public:
    pool(pool_options options, time_point now);
    pool(const pool&) = delete;
    pool& operator=(const pool&) = delete;
    ~pool();

    /// Sets the workers of the pool.
    void on_directory(time_point now, const std::vector<worker_entry>& entries);
    /// @param complete false if workers may be missing after an outage of the directory
    void on_directory_completeness(bool complete) { m_directory_complete = complete; }
    void on_offer(time_point now, const endpoint& owner, job_offer offer);
    void on_cancel(time_point now, const job_cancel& cancel);
    /// Renews the grants of an owner's jobs, and drops jobs whose offer the owner has withdrawn.
    void on_active_offers(time_point now, const active_offers& offers);
    /// The owner is unreachable; its callers have lost their connections.
    void on_owner_lost(time_point now, const endpoint& owner);
    /// The statuses of the owner have timed out: jobs that it may have started elsewhere get no other owner
    /// until their runs have ended.
    void on_owner_timed_out(time_point now, const endpoint& owner);
    /// Workers were lost under tasks of a job, as far as any instance knows.
    void on_losses(time_point now, const job_id& id, const std::vector<task_loss>& losses);
    void on_start_reply(time_point now, const start_reply& reply);
    void on_stop_reply(time_point now, const stop_reply& reply);
    void on_listing(time_point now, const listing& answer);
    void on_list_failure(time_point now, const worker_id& id, list_failure cause);
    /// Loads of the other pools of the service.
    void on_other_pools(std::vector<pool_load> loads);
    /// Begins or ends the evacuation of the data centre: no job is started here meanwhile. Jobs of which
    /// nothing has started go back to their owners; started ones may start their remaining tasks for
    /// evacuation_grace. Runs go on.
    void set_evacuated(time_point now, bool evacuated);
    void on_tick(time_point now);
    /// Returns every job to its owner with the tasks that may run. The runs continue under their leases.
    void hand_over(time_point now);

    /// True if a worker has reported a higher token: another instance holds the pool.
    bool is_fenced() const { return m_fenced; }
    fencing_token token() const { return m_options.token; }
    const service_id& service() const { return m_options.service; }
    pool_load load(time_point now) const;
    std::size_t job_count() const;
    /// Adds the owners of the jobs in the pool to `owners`.
    void add_owners(std::set<endpoint>& owners) const;
    std::size_t run_count() const;
    std::vector<action> take_actions();

private:
    enum class task_state : std::uint8_t { waiting, starting, running, stopping, done };

    struct task_record {
        task_state state = task_state::waiting;
        std::uint32_t failures = 0;
        run_number run;
        worker_id worker;
        worker_id avoid;                  ///< worker on which the last run failed
        std::uint32_t crashes = 0;        ///< workers that have crashed under the task
        bool crashed_alone = false;       ///< one of them while the task ran alone on it
        std::uint32_t silent_losses = 0;  ///< workers that may have crashed, or may be cut off
        std::uint32_t common_losses = 0;  ///< workers that were lost together with several others
        bool suspected = false;           ///< of crashing its workers
        time_point retry_at;              ///< not started before, unless a silence is explained
    };

    struct job_record {
        job_offer offer;
        endpoint owner;
        time_point arrived;
        time_point objective_at;
        time_point useful_until;
        time_point deadline_at;
        time_point granted_until;  ///< the owner may assign the job to another pool some time later
        std::vector<task_record> tasks;
        std::vector<std::uint32_t> first_task;          ///< global number of the first task of each step
        std::vector<std::uint32_t> unfinished_in_step;  ///< unfinished tasks of each step
        std::vector<std::uint32_t> suspects_in_step;    ///< unfinished tasks that are suspected
        std::uint32_t waiting = 0;
        std::uint32_t done = 0;
        bool started = false;               ///< a start was sent by this or a former holder
        std::set<std::uint32_t> uncertain;  ///< tasks that a former holder may have started
        time_point uncertain_until;         ///< runs of the former holder have expired by then
        bool waits_for_rack = false;        ///< at its last placement a task waited for its rack
        /// Decisions about the rack of a step that were reported: each step reports each of them once.
        std::set<std::pair<std::uint32_t, decision>> rack_reports;
    };

    struct run_record {
        task_ref task;
        run_number number;
        resources need;
        milliseconds expected{};
        milliseconds estimate{};
        time_point sent;
        std::int64_t lease_until_ms = 0;  ///< of the start command, on the worker's clock
        time_point stop_sent;
        std::optional<time_point> stop_acknowledged;
        /// Number of the first list that must contain the run; empty until the worker has confirmed it.
        std::optional<std::uint64_t> first_list_with_run;
        /// Set for runs without a job: the lease of the worker is not renewed beyond it.
        std::optional<time_point> limit;
        bool stopping = false;
        bool orphan = false;  ///< unknown to this pool when it was listed, and not claimed by an owner yet
        bool overdue = false;
        bool isolated = false;       ///< no other task is started on the worker meanwhile
        bool first_suspect = false;  ///< its task is the most likely cause of an earlier crash
    };

    /// A worker that was lost while tasks ran on it, without having announced its end.
    struct worker_loss {
        worker_id worker;
        std::uint64_t incarnation = 0;
        time_point at;
        bool crashed = false;         ///< proved: the process has ended
        bool disconnected = false;    ///< connections are refused or closed, as after most crashes
        bool other_cause = false;     ///< another task is known to crash its workers
        bool alone = false;           ///< a suspected task ran alone on it
        std::set<job_id> excused;     ///< jobs that did not cause it, since others were lost at the same time
        std::vector<task_ref> tasks;  ///< the one that was started last first
    };

    /// A start that the worker never confirmed and that may be executed late.
    struct abandoned_run {
        run_number number;
        time_point at;
    };

    struct worker_record {
        worker_entry entry;
        bool present = false;  ///< listed by the directory
        bool listed = false;   ///< a list answer has shown its runs
        bool unreachable = false;
        std::uint64_t lists_sent = 0;   ///< list commands sent; at most one is in transit
        unsigned unanswered_lists = 0;  ///< consecutive
        time_point last_answer_at;      ///< last answer to a command other than a list
        bool list_pending = false;
        bool ends_pending = false;    ///< there are ends to acknowledge
        time_point leases_expire_at;  ///< confirmed runs have ended by then unless the lease is renewed
        /// The same for runs that the worker has not confirmed: it may have restarted with a reset clock
        /// before it received the command, and then has granted the maximum lease.
        time_point long_leases_expire_at;
        time_point list_sent;
        time_point answered_list_sent;  ///< sending time of the last list that was answered
        time_point next_list;
        time_point no_start_until;
        std::optional<std::int64_t> clock_offset_ms;  ///< the worker's clock minus the local steady clock
        time_point clock_updated_at;                  ///< time of the last update of the offset
        std::uint64_t first_clock_list = 0;           ///< first list whose answer may update the offset
        time_point restart_detected_at;  ///< answers to earlier starts may be of a previous incarnation
        time_point long_leases_until;    ///< a command for a previous incarnation may grant the maximum lease
        std::uint64_t incarnation = 0;
        std::uint64_t acknowledged = 0;
        std::map<task_ref, run_record> runs;
        std::map<task_ref, abandoned_run> abandoned;  ///< may be executed late
        bool disconnect_reported = false;             ///< the tasks that it ran are known to all instances
        bool replaced = false;                        ///< its process is known to have ended
        time_point silent_since;                      ///< last time that it became unreachable or restarted
        bool silent_by_disconnect = false;            ///< connections were refused or closed at that time
        std::set<job_id> silent_jobs;                 ///< ran on it at that time
        bool silent_alone = false;                    ///< a suspected task ran on it at that time
        std::optional<std::uint64_t> leaving_incarnation;  ///< the last one that announced its end
        resources used;
        speed_estimate speed;
        unsigned failures_in_row = 0;
        unsigned ejections = 0;
        job_id last_failed;
        time_point ejected_until;
    };

    /// Owner that this pool has admitted for a job that may run in another pool.
    struct admitted_owner {
        endpoint owner;
        offer_number attempt;
        offer_number number;     ///< of its last request
        time_point arrived;      ///< the caller's request
        time_point deadline_at;  ///< the owner gives the job up by then
        /// Set when the owner has given the job up: its runs have ended by then.
        std::optional<time_point> runs_ended_at;
    };

    // Owners of jobs
    /// Orders the owners of a job that may run in another pool.
    /// @returns true if the offer needs no more
    bool order_owners(time_point now, const endpoint& owner, const job_offer& offer);
    /// Tells an owner to give the job up.
    void notify_superseded(const endpoint& owner, const job_id& id, offer_number number);
    /// Returns a job to its owner, which may have it started in another pool.
    void pass_on(const job_record& job);
    void admit_owner(const endpoint& owner, const job_offer& offer, time_point arrived);
    /// The owner works on the job no longer.
    void release_owner(time_point now, const job_id& id, admitted_owner& admitted, std::string_view cause);
    void release_withdrawn_owners(time_point now, const active_offers& offers);
    void forget_released_owners(time_point now);
    /// True while runs of a job that was dropped here may still be active on the workers of this pool.
    bool may_run_here(const job_id& id) const;
    /// True while another owner of the job, or its runs, may be active in another pool.
    bool has_other_owner(const job_record& job) const;
    // Jobs
    job_record* find_job(const job_id& id);
    static void set_times(time_point now, job_record& job, const job_offer& offer);
    void on_known_offer(time_point now, job_record& job, const endpoint& owner, const job_offer& offer,
                        time_point granted);
    void mark_done(job_record& job, std::uint32_t number);
    void adopt_runs(time_point now, job_record& job);
    void finish_if_done(time_point now, const job_id& id);
    bool admit(time_point now, job_record& job);
    /// Result for the owner, with the number of the offer under which the pool holds the job.
    job_result make_result(const job_record& job, job_end end) const;
    void finish_job(time_point now, const job_id& id, job_result result);
    void drop_job(time_point now, const job_id& id, std::string_view cause);
    /// Drops jobs whose grant has expired.
    void expire_grants(time_point now);
    /// Reports to the owner which tasks are done, that the job was dropped, and which tasks may run.
    void give_back(const job_record& job);
    job_result not_held_answer(const job_record& job) const;
    void stop_tasks(time_point now, const job_record& job);
    /// Moves or ends the jobs that cannot be started here because of an evacuation.
    void clear_evacuated(time_point now);
    void refuse_infeasible(time_point now);
    void return_surplus(time_point now);
    void refuse(time_point now, const job_record& job, refusal_reason reason, milliseconds retry_after,
                milliseconds predicted);
    // Scheduling
    void schedule(time_point now);
    bool place_task(time_point now, job_record& job, std::uint32_t number);
    /// Workers for a task.
    struct worker_choice {
        std::vector<const worker_record*> workers;    ///< those with room
        std::vector<placement_candidate> candidates;  ///< the same
        std::vector<placement_candidate> near;        ///< those of them that have the preferred label
        std::vector<const worker_record*> rack;       ///< have the preferred label, with room or without
        bool scarce = false;                          ///< most of the pool is in use
    };
    /// Decision about the tasks of a step that wait; holds for one call of schedule().
    struct step_plan {
        job_id job;
        std::uint32_t step = 0;
        rack_plan plan;
    };
    /// @param isolated only idle workers
    std::optional<worker_id> select_worker(time_point now, job_record& job, std::uint32_t number,
                                           bool isolated);
    worker_choice find_workers(time_point now, const job_record& job, std::uint32_t number,
                               bool isolated) const;
    /// True if the worker may run the task, now or as soon as it has room.
    bool may_run(const worker_record& worker, const job_record& job, std::uint32_t number,
                 bool isolated) const;
    /// True if the task waits for a worker near its data rather than start on the chosen one.
    bool waits_for_rack(time_point now, job_record& job, std::uint32_t number, const worker_choice& choice,
                        std::size_t chosen);
    /// Decides how many tasks of a step wait for their rack, all workers of which are busy.
    /// @param elsewhere expected duration on the worker that would be taken otherwise
    void plan_step(time_point now, const job_record& job, std::uint32_t number, const worker_choice& choice,
                   milliseconds elsewhere);
    /// Expected room of a worker in this call of schedule().
    room_forecast& forecast(time_point now, const worker_record& worker);
    /// Number of tasks of the step that have not been started.
    static std::size_t waiting_in_step(const job_record& job, std::uint32_t step);
    /// Reports a decision about the rack of a step once.
    void report_rack(job_record& job, std::uint32_t step, decision kind, milliseconds near,
                     milliseconds elsewhere);
    void start_task(time_point now, job_record& job, std::uint32_t number, worker_record& worker,
                    bool isolated);
    /// True if tasks of the job may be started now.
    bool may_start_tasks(time_point now, const job_record& job) const;
    /// True if all runs are known that a former holder of the job has started.
    bool knows_former_runs(time_point now, const job_record& job) const;
    /// True if all steps that the task waits for have finished.
    bool follows_finished_steps(const job_record& job, std::uint32_t number) const;
    /// True if the task waits for nothing but a worker.
    bool is_ready(time_point now, const job_record& job, std::uint32_t number) const;
    bool is_usable(time_point now, const worker_record& worker) const;
    /// True when every worker has answered a list that was sent at or after this time.
    bool all_workers_listed(time_point since) const;
    /// Time after which a former holder of the job starts nothing more.
    static time_point last_former_start(const job_record& job);
    /// True if tasks wait for the end of runs that a former holder may have started.
    static bool awaits_former_runs(time_point now, const job_record& job);
    /// Time after which lists must be sent before tasks that await former runs can start; the latest of those
    /// that have passed.
    time_point lists_needed_since(time_point now) const;
    /// Time that a worker may delay its answer to a list sent now.
    milliseconds list_wait(time_point now, const worker_record& worker) const;
    milliseconds expected_duration(time_point now, const worker_record& worker, const job_step& step) const;
    /// Expected duration on a worker of average speed that is as near to the data as this one. Speeds are
    /// observed relative to it, so that runs remote from their data do not make workers appear slow.
    milliseconds local_estimate(const worker_record& worker, const job_step& step) const;
    double mean_ratio(time_point now) const;
    queue_rank rank(time_point now, const job_record& job, double ratio) const;
    job_demand demand(const job_record& job, double ratio) const;
    std::vector<job_record*> waiting_in_order(time_point now);
    backlog current_backlog(time_point now) const;
    /// Mean processor need of a task, in thousandths of a core.
    std::int64_t typical_cpu() const;
    /// Adds the needs of an offered job to the distribution that rooms are counted by.
    void learn_needs(const job_offer& offer);
    /// False if every worker of the directory is smaller than the need.
    bool can_ever_fit(const resources& need) const;
    /// Returns or refuses a job of which a task is greater than every worker. @returns false for others
    bool refuse_oversized(time_point now, const job_record& job);
    /// Starts that the worker has neither answered nor failed to answer.
    std::size_t unanswered_starts() const;
    /// Part of the objective that is needed to send the start and to receive the end of a task.
    milliseconds reporting_time() const;
    // Tasks that crash their workers
    /// Workers that fall silent within this time of each other may have a common cause: each is noticed when
    /// its list is due.
    static constexpr milliseconds common_silence_window{300};
    /// The same for workers that close their connections, which is noticed within a few milliseconds.
    static constexpr milliseconds common_disconnect_window{50};
    /// The incarnation of a worker that was heard last.
    static std::uint64_t incarnation_of(const worker_record& worker);
    /// True if the worker's present incarnation has announced that it leaves.
    static bool has_announced_end(const worker_record& worker);
    /// Another worker has the address: ends all runs.
    void on_worker_replaced(time_point now, worker_record& worker);
    /// Sorts tasks that run on a worker, the one that was started last first.
    static void sort_by_start(const worker_record& worker, std::vector<task_ref>& tasks);
    /// Notes when a worker that was reachable so far was lost.
    static void note_silence(time_point now, worker_record& worker, bool disconnected);
    /// True if the worker was reachable until its process ended, or closed its connections then.
    static bool ended_suddenly(const worker_record& worker);
    /// Notes that runs were lost with a worker, or may be.
    /// @param crashed its process is known to have ended
    worker_loss& note_loss(time_point now, const worker_record& worker, const std::vector<task_ref>& tasks,
                           bool crashed);
    /// What is known of a loss so far.
    static loss_cause cause_of(const worker_loss& loss);
    /// Reports runs on a worker that has closed its connections, although their leases have not expired.
    void report_disconnected(time_point now, worker_record& worker);
    /// Notes that runs have ended with a worker.
    /// @param crashed its process is known to have ended
    void add_loss(time_point now, worker_record& worker, const std::vector<task_ref>& tasks, bool crashed);
    /// True if several workers that did not run the job fell silent at the same time, which it does not
    /// cause.
    bool is_lost_with_others(const worker_record& worker, const job_id& job) const;
    /// Cause of a loss, now that the worker, or another at its address, has answered.
    /// @param present its incarnation; nothing if its process has ended
    static loss_cause explained_cause(const worker_record& worker, std::uint64_t incarnation,
                                      std::optional<std::uint64_t> present, loss_cause known);
    /// Tells crashes from cuts when a silent worker is heard of again.
    /// @param present its incarnation; nothing if its process has ended
    void explain_silence(time_point now, const worker_record& worker, std::optional<std::uint64_t> present);
    /// The same for losses that another holder has reported, since it may be gone.
    void explain_reported(time_point now, const worker_record& worker, std::optional<std::uint64_t> present);
    /// Sets the cause of the job's losses of a worker and tells all instances. @returns true if there are any
    bool explain_losses_of(job_record& job, const worker_record& worker,
                           std::optional<std::uint64_t> present);
    /// Explains losses of workers that have restarted since.
    void explain_by_directory(job_record& job);
    /// Tells all instances, and the job if it is here, of a loss or of its cause.
    void report_loss(const worker_loss& loss, const std::vector<task_ref>& tasks, loss_cause cause);
    /// Updates what is known of the tasks' jobs, and ends those that crash workers.
    void on_losses_changed(time_point now, const std::vector<task_ref>& tasks);
    /// Number of the task in the job; nothing if the job has no such task.
    static std::optional<std::uint32_t> find_task(const job_record& job, std::uint32_t step,
                                                  std::uint32_t index);
    /// Counts the known losses of each task.
    void count_losses(time_point now, job_record& job) const;
    /// Counts the suspected tasks of each step.
    void count_suspects(job_record& job) const;
    /// Answers an offer of a job under a task of which too many workers have crashed. @returns false for
    /// others
    bool refuse_crashing(const endpoint& owner, const job_offer& offer);
    /// Ends the job if too many workers were lost under a task.
    void give_up_if_crashing(time_point now, const job_id& id);
    /// A task is known to crash its workers: clears the tasks that only shared them.
    void clear_neighbours(time_point now, const task_ref& culprit);
    /// True while the task is not done and may be started here.
    bool is_open(time_point now, const task_ref& ref) const;
    /// True if no other task that was lost with the same worker is to be tried before this one.
    bool is_first_suspect(time_point now, const task_ref& ref) const;
    /// Starts suspected tasks, each alone on a worker, and keeps workers free for those that wait.
    void start_suspects(time_point now, const std::vector<job_record*>& waiting, std::size_t& window);
    /// Numbers of further workers on which suspected tasks may run.
    struct suspect_limits {
        std::size_t workers = 0;
        bool crashes_limited = false;  ///< a suspected task has crashed its worker lately
        std::size_t crashes = 0;       ///< workers for first suspects, which are likely to crash them
        std::size_t window = 0;        ///< starts that may wait for an answer
    };
    /// @param first only those that are first suspects of a loss, or only the others
    void start_suspects_of(time_point now, job_record& job, bool first, suspect_limits& left);
    suspect_limits limits_for_suspects(time_point now);
    /// The worker that is expected to be idle first; nothing if none can take the task.
    std::optional<worker_id> next_idle_worker(time_point now, const job_step& step) const;
    // Runs
    /// The worker has confirmed the run, so lists sent from now on contain it until it ends.
    static void confirm_run(const worker_record& worker, run_record& run);
    /// Records a listed run that this pool does not know: of a former holder, or a late start that was
    /// abandoned.
    void add_unknown_run(time_point now, worker_record& worker, const listed_run& listed);
    /// Stops those of the unknown runs that were not adopted.
    /// @param keep_unclaimed keep runs of unknown jobs, which their owners may still offer
    void stop_unknown_runs(time_point now, worker_record& worker, const std::vector<task_ref>& unknown,
                           bool keep_unclaimed);
    void end_run(time_point now, worker_record& worker, const task_ref& ref, run_end end);
    void requeue(job_record& job, std::uint32_t number);
    void record_failure(time_point now, worker_record& worker, const job_id& failed);
    void send_stop(time_point now, worker_record& worker, run_record& run);
    stop_command make_stop(const worker_record& worker, const task_ref& task, run_number number) const;
    void check_runs(time_point now, worker_record& worker);
    /// Makes the worker reject abandoned starts that may still be in transit.
    void reject_abandoned_starts(const worker_record& worker);
    // Workers
    void send_list(time_point now, worker_record& worker);
    /// Time by which all runs on a worker must have ended unless an owner renews its grant.
    time_point lease_limit(const worker_record& worker) const;
    /// Ends the runs whose lease has expired.
    void expire_runs(time_point now, worker_record& worker);
    void update_clock_offset(time_point now, worker_record& worker, std::int64_t clock_ms);
    void on_worker_restart(time_point now, worker_record& worker);
    /// Notes that a command sent now may renew the lease of the worker.
    void extend_leases(time_point now, worker_record& worker) const;
    /// Lower bound of the worker's clock at a time, in milliseconds; the clock may be slow.
    std::int64_t worker_time(time_point at, const worker_record& worker) const;
    void remove_departed_workers();

    std::uint32_t task_number(const job_record& job, const task_ref& ref) const;
    const job_step& step_of(const job_record& job, std::uint32_t number) const;
    task_ref ref_of(const job_record& job, std::uint32_t number) const;
    void record(decision kind, const job_id& id, const worker_id& worker, std::string detail,
                milliseconds input = {}, milliseconds limit = {});
    void notify_owner(const endpoint& owner, owner_message message);

    pool_options m_options;
    time_point m_created;
    bool m_fenced = false;
    bool m_directory_complete = false;
    std::optional<time_point> m_evacuated_at;  ///< when the evacuation became known here
    std::uint64_t m_last_run;
    command_path m_path;
    bool m_window_full = false;  ///< tasks wait for the answers to earlier starts
    std::map<worker_id, worker_record> m_workers;
    std::unordered_map<job_id, std::unique_ptr<job_record>> m_jobs;
    std::unordered_map<job_id, admitted_owner> m_admitted_owners;
    std::map<task_ref, time_point> m_orphan_ends;  ///< finished before their job was claimed
    std::vector<pool_load> m_other_pools;
    need_distribution m_needs;  ///< of the tasks offered here
    std::map<job_id, std::vector<std::uint32_t>> m_finished_tasks;
    std::vector<worker_loss> m_losses;                      ///< recent
    std::set<worker_id> m_kept_free;                        ///< for suspected tasks
    std::map<worker_id, room_forecast> m_forecasts;         ///< of workers near data, in one schedule()
    std::optional<step_plan> m_step_plan;                   ///< the last one of the present schedule()
    std::map<worker_id, time_point> m_crashed_by_suspects;  ///< workers that are not back yet
    std::vector<action> m_actions;
};

}  // namespace poplarshed::workers

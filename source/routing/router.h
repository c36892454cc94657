#pragma once

#include <map>
#include <set>
#include <unordered_map>
#include <variant>

#include "routing/peers.h"

namespace poplarshed::routing {

/// A job as received from a caller.
struct caller_job {
    job_id job;
    std::string payload;
    std::vector<workers::job_step> steps;
    milliseconds time_limit{};  ///< from the arrival; the caller stops waiting then
};

/// Message to the holder of a pool.
struct send_to_holder {
    endpoint holder;
    std::variant<workers::job_offer, workers::job_cancel> message;
};

enum class answer_kind {
    completed,
    failed,
    refused,      ///< no task has run or will run
    unknown_end,  ///< tasks may have run, but the job is not complete; the caller may send it again
};

inline constexpr std::size_t answer_kind_count = 4;

struct answer_caller {
    caller_id caller;
    job_id job;
    answer_kind kind = answer_kind::refused;
    refusal_reason reason = refusal_reason::internal_error;
    milliseconds retry_after{};
    service_id service;
    milliseconds waited{};  ///< since the job arrived
};

enum class routing_decision {
    offered,
    offered_again,      ///< to the new holder of the pool
    offered_elsewhere,  ///< to the holder of another pool
    waits_for_lapse,    ///< the holder is lost; its leases must expire before the job can start elsewhere
    answered,
    caller_left,
    result_ignored,   ///< the result belongs to an earlier offer
    given_back,       ///< the holder does not hold the pool, or has dropped the job
    order_requested,  ///< of the holder that orders the owners of the job
    superseded,       ///< the caller has sent the job again through another instance
};
inline constexpr std::size_t routing_decision_count = 10;

/// Name of a decision in logs and metrics.
std::string_view to_string(routing_decision value);

struct routing_record {
    routing_decision decision = routing_decision::offered;
    job_id job;
    endpoint holder;
    std::string detail;
    milliseconds predicted_finish{};  ///< expected finish of the job
    milliseconds status_age{};        ///< age of the holder's status
    workers::offer_number offer{};
    std::vector<std::uint32_t> uncertain_tasks{};  ///< may run on workers, as offered or as reported
    milliseconds uncertain_for{};                  ///< of the offer
};

/// True for decisions about every job that completes, false for those that explain a failed job.
bool is_routine(const routing_record& record);

using routing_action = std::variant<send_to_holder, answer_caller, routing_record>;

struct router_options {
    /// This long after the last status of a lost holder, none of its tasks can run any more.
    milliseconds lost_holder_timeout = workers::reassignment_delay;
    /// When no pool has had a holder for this time, requests are refused at once. A start or a takeover takes
    /// less.
    milliseconds max_holder_absence{2500};
    /// After a pause of this process no job is offered for this time. Requests that waited meanwhile are read
    /// at once, the end of their callers' connections only later; such callers have sent their jobs again
    /// elsewhere. Time for some hundred requests; re-offers to the same holder wait for 100 ms anyway.
    milliseconds offer_delay_after_pause{80};
    /// Offer numbers are greater than this. Must be greater in each later incarnation of the instance.
    std::uint64_t offer_number_base = 1;
};

/// Owns the jobs of this instance's callers: chooses a pool for each job, offers the job again when the
/// holder of its pool changes, and answers the caller once. Not thread-safe; no I/O.
class router {
public:
    router(router_options options, const peer_table& peers, time_point started);

    /// @returns the previous caller if the job was sent again while in progress; that caller gets no answer
    std::optional<caller_id> on_job(time_point now, caller_id caller, const route& target, caller_job job);
    /// @returns false if the job is not known here
    bool on_cancelled(time_point now, const job_id& id);
    /// True if a task of the job is done; nothing if the job is not known here.
    std::optional<bool> has_done_tasks(const job_id& id) const;
    void on_caller_left(time_point now, caller_id caller);
    /// The caller that waits for a job; nothing if the job is not known here.
    std::optional<caller_id> caller_of(const job_id& id) const;
    void on_progress(const workers::job_progress& progress);
    void on_result(time_point now, const endpoint& from, const workers::job_result& result);
    void on_tick(time_point now);
    /// This process was paused; holders may have treated it as unreachable and dropped its jobs. No job is
    /// offered for the time of offer_delay_after_pause.
    void on_pause(time_point now);
    /// Data centres whose pools get no more jobs.
    void set_evacuated(std::set<data_centre_id> evacuated) { m_evacuated = std::move(evacuated); }
    /// A status has arrived; its load figures include the offers that were sent before.
    void on_status(const endpoint& holder);
    std::size_t job_count() const { return m_jobs.size(); }
    /// Writes into a status the offers that its receiver may execute, the number of the last offer, and the
    /// receiver's clock reading.
    void add_offers_in_force(time_point now, const endpoint& to, workers::instance_status& status);
    /// Adds the instances that hold jobs of this one.
    void add_holders(std::set<endpoint>& holders) const;
    std::vector<routing_action> take_actions();

private:
    struct job {
        caller_id caller;
        workers::job_offer offer;
        time_point arrived;
        time_point deadline_at;
        endpoint holder;  ///< empty while the job is not offered to a pool
        time_point offered_at;
        /// Arrival of the last status of the holder before the latest message, an offer or a status, that
        /// granted it the job. The grant expires a fixed time later.
        time_point granted_at;
        time_point lost_at;  ///< if lost: last status of the holder, or when the loss was detected
        bool lost = false;   ///< the holder is unreachable, or no longer holds the pool or the job
        std::optional<time_point> cancelled_at;  ///< when a cancel was sent to the lost holder
        bool runs_reported = false;              ///< the holder has reported which tasks may be running
        /// Tasks that holders may have started, and when their runs have ended at the latest. Only time and
        /// finished tasks remove an entry: a later holder need not know of the runs of an earlier one.
        std::map<std::uint32_t, time_point> possible_runs;
        std::vector<pool_id> returned_by;  ///< pools that have returned the job
        /// Holder that was last asked to admit this instance as the owner of the job; empty if none was.
        endpoint ordering_holder;
        pool_id ordering_pool;  ///< for which it was asked
        bool admitted = false;  ///< the ordering holder has returned the job
        bool kept = false;      ///< the ordering holder has kept the job, whose runs have not ended there
        bool offered = false;   ///< to a holder that may start it
        time_point order_sent;  ///< last request of the order
        routing_decision decision_after_order = routing_decision::offered;
    };

    /// A pool and the instance that holds it.
    struct pool_at {
        pool_id pool;
        endpoint holder;
    };

    struct choice {
        pool_id pool;
        endpoint holder;
        milliseconds predicted_finish{};
        milliseconds status_age{};
    };

    /// Load of a pool in the last status, with the work that was sent to it since.
    workers::backlog expected_backlog(const endpoint& holder, const workers::pool_load& load) const;
    std::optional<choice> choose(time_point now, const job& pending_job) const;
    /// True if the service has pools, and the data centres of all of them are evacuated.
    bool is_evacuated(time_point now, const service_id& service) const;
    /// False for a short time after a pause of this process.
    bool may_offer(time_point now) const { return now >= m_no_offers_until; }
    bool offer(time_point now, job& pending_job, routing_decision decision);
    /// The pool whose holder orders the owners of a job, so that two instances that have read the same
    /// request do not both start it.
    std::optional<pool_at> ordering_pool(time_point now, const job& pending_job) const;
    /// True while the job waits for the answer of the holder that orders its owners; nothing is started.
    static bool awaits_order(const job& pending_job);
    void request_order(time_point now, job& pending_job, const pool_at& at, routing_decision decision);
    void send_order_request(time_point now, job& pending_job);
    /// Repeats an unanswered request of the order, or sends it to another holder.
    void check_order(time_point now, const job_id& id);
    /// Tells the ordering holder that this instance works on the job no longer.
    /// @param nothing_runs no task that was started for this instance can run any more
    void release_order(const job& pending_job, bool nothing_runs);
    /// Sets what all offers of a job to a holder contain.
    void prepare_message(time_point now, job& pending_job, const pool_at& at);
    void send_offer(time_point now, job& pending_job, const choice& chosen, routing_decision decision);
    void answer(time_point now, const job_id& id, answer_kind kind, refusal_reason reason,
                milliseconds retry_after);
    /// Offers a job without a holder to a pool, or lets it wait for one.
    void find_holder(time_point now, const job_id& id, routing_decision decision);
    /// Keeps the job without a holder, or ends it if no holder is expected in time.
    void wait_for_holder(time_point now, const job_id& id);
    /// False when the job can no longer end in useful time.
    static bool may_still_start(time_point now, const job& pending_job);
    /// Answers the caller of a job that this instance cannot have started now.
    void end_unstarted(time_point now, const job_id& id);
    void on_returned(time_point now, const workers::job_result& result);
    void on_not_held(time_point now, const workers::job_result& result);
    workers::job_cancel cancel_of(const job& pending_job) const;
    /// Records that the holder may have started these tasks.
    void add_possible_runs(job& pending_job, const std::vector<std::uint32_t>& tasks) const;
    /// Before another offer: sets which tasks former holders may have started, and for how long they may run.
    void prepare_reoffer(time_point now, job& pending_job) const;
    /// Cancels the job at its holder and answers the caller that its end is unknown.
    void give_up(time_point now, const job_id& id, refusal_reason reason);
    /// Offers the job again if its holder has changed, has returned, or is lost for long enough.
    void check_holder(time_point now, const job_id& id);
    /// True if the job's holder still holds the pool.
    bool holder_has_pool(time_point now, const job& pending_job) const;
    /// Records that a message now grants the job to its holder.
    void record_grant(time_point now, job& pending_job) const;

    router_options m_options;
    const peer_table& m_peers;
    time_point m_holder_expected_until;
    time_point m_no_offers_until;
    std::uint64_t m_last_offer;
    std::unordered_map<job_id, job> m_jobs;
    std::unordered_map<caller_id, job_id> m_callers;
    /// Demand of offers that the holder's last status does not include yet.
    struct sent_work {
        std::int64_t cpu = 0;     ///< milli-cores
        std::int64_t cpu_ms = 0;  ///< milli-cores multiplied by milliseconds
    };
    std::map<endpoint, std::map<pool_id, sent_work>> m_sent_work;  ///< since the holder's last status
    std::set<data_centre_id> m_evacuated;
    std::vector<routing_action> m_actions;
};

}  // namespace poplarshed::routing

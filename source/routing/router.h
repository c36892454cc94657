#pragma once

#include <set>
#include <unordered_map>
#include <variant>

#include "routing/peers.h"

namespace poplarshed::routing {

/// A job as a caller sent it.
struct caller_job {
    job_id job;
    std::string payload;
    std::vector<workers::job_step> steps;
    milliseconds time_limit{};  ///< after which the caller stops waiting
};

/// Message to the holder of a pool.
struct send_to_holder {
    endpoint holder;
    std::variant<workers::job_offer, workers::job_cancel> message;
};

enum class answer_kind {
    completed,
    failed,
    refused,      ///< nothing has run and nothing will
    unknown_end,  ///< tasks may have run and the job is not complete; the caller may send it again
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
    offered_again,  ///< to the new holder of the pool
    offered_elsewhere,
    waits_for_lapse,  ///< the holder is lost; its runs must have ended before the job can start elsewhere
    answered,
    caller_left,
    result_ignored,  ///< the answer to an earlier offer
};
inline constexpr std::size_t routing_decision_count = 7;

/// Name of a decision in logs and metrics.
std::string_view to_string(routing_decision value);

struct routing_record {
    routing_decision decision = routing_decision::offered;
    job_id job;
    endpoint holder;
    std::string detail;
    milliseconds predicted_finish{};  ///< expected finish
    milliseconds status_age{};        ///< age of the holder's status
    workers::offer_number offer{};
};

/// True for what happens to every job that ends well, false for what explains a failed one.
bool is_routine(const routing_record& record);

using routing_action = std::variant<send_to_holder, answer_caller, routing_record>;

struct router_options {
    /// After this time without news of a holder nothing of its jobs runs in the pool.
    milliseconds lost_holder_timeout = workers::grant_end;
    /// While no pool has had a holder for longer, requests are refused at once. A start or takeover takes
    /// less.
    milliseconds max_holder_absence{2500};
    std::uint64_t offer_number_base =
        1;  ///< offer numbers start here; grows from one life of the instance to the next
};

/// Owns the jobs of this instance's callers: chooses a pool for each, follows holders, and answers once.
/// Not thread-safe; no I/O.
class router {
public:
    router(router_options options, const peer_table& peers, time_point started);

    /// @returns the former caller of a job that was sent again; it gets no answer
    std::optional<caller_id> on_job(time_point now, caller_id caller, const route& target, caller_job job);
    /// @returns false if the job is not known here
    bool on_cancelled(time_point now, const job_id& id);
    /// True once a task is done; nothing if the job is not known here.
    std::optional<bool> has_done_tasks(const job_id& id) const;
    void on_caller_left(time_point now, caller_id caller);
    void on_progress(const workers::job_progress& progress);
    void on_result(time_point now, const endpoint& from, const workers::job_result& result);
    void on_tick(time_point now);
    /// This process did not run for a while; holders may have taken it for gone.
    void on_pause(time_point now);
    /// A status has arrived; offers sent before it are part of its figures.
    void on_status(const endpoint& holder);
    std::size_t job_count() const { return m_jobs.size(); }
    /// Writes into a status what its receiver may act on.
    void add_offers_in_force(time_point now, const endpoint& to, workers::instance_status& status);
    /// Adds the instances that have jobs of this one.
    void add_holders(std::set<endpoint>& holders) const;
    std::vector<routing_action> take_actions();

private:
    struct job {
        caller_id caller;
        workers::job_offer offer;
        time_point arrived;
        time_point deadline_at;
        endpoint holder;  ///< empty while no pool has the job
        time_point offered_at;
        /// When the holder had last been heard as it was told, in an offer or a status, that it has the job.
        time_point granted_at;
        time_point lost_at;  ///< when the holder was last heard, while it is lost
        bool lost = false;
        std::optional<time_point> cancelled_at;  ///< when the lost holder was told to drop the job
        bool uncertain_known = false;            ///< the former holder has told which tasks may run
        std::vector<pool_id> returned_by;
    };

    struct choice {
        pool_id pool;
        endpoint holder;
        milliseconds predicted_finish{};
        milliseconds status_age{};
    };

    std::optional<choice> choose(time_point now, const job& item) const;
    bool offer(time_point now, job& item, routing_decision what);
    void send_offer(time_point now, job& item, const choice& chosen, routing_decision what);
    void answer(time_point now, const job_id& id, answer_kind kind, refusal_reason reason,
                milliseconds retry_after);
    void wait_for_holder(time_point now, const job_id& id);
    void on_not_held(time_point now, const workers::job_result& result);
    workers::job_cancel cancel_of(const job& item) const;
    /// Before another offer: which tasks the former holder may have started.
    void prepare_again(time_point now, job& item) const;
    void give_up(time_point now, const job_id& id, refusal_reason reason);
    void follow_holder(time_point now, const job_id& id);
    bool holds_pool(time_point now, const job& item) const;
    /// Notes that a message tells the holder of the job.
    void note_grant(time_point now, job& item) const;

    router_options m_options;
    const peer_table& m_peers;
    time_point m_holder_expected_until;
    std::uint64_t m_last_offer;
    std::unordered_map<job_id, job> m_jobs;
    std::unordered_map<caller_id, job_id> m_callers;
    struct sent_work {
        std::int64_t cpu = 0;
        std::int64_t cpu_ms = 0;
    };
    std::map<endpoint, std::map<pool_id, sent_work>> m_sent;  ///< since the holder's last status
    std::vector<routing_action> m_actions;
};

}  // namespace poplarshed::routing

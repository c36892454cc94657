#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "configuration/bundle.h"
#include "dispatch/slot_sharing.h"
#include "dispatch/types.h"

namespace poplarshed::dispatch {

/// Policies of admission and placement. The two baselines serve for comparison in measurements.
enum class policy_kind {
    expected_finish,     ///< places each task where it is expected to finish first; see expected_finish.h
    random_choice,       ///< baseline: random runner, no admission control
    round_robin_static,  ///< baseline: round robin with a static limit for each runner
};

/// Admits jobs and places their tasks. A state machine without I/O: each call returns the actions that the
/// caller has to carry out. Not thread-safe: all calls come from one thread. `now` must not decrease from
/// call to call.
class dispatcher {
public:
    virtual ~dispatcher() = default;

    /// Applies a configuration. Jobs that are already admitted keep the service settings with which they were
    /// admitted.
    virtual void apply(const configuration::bundle& bundle, time_point now) = 0;
    /// Replaces the list of runners of this data centre.
    virtual std::vector<action> set_runners(const std::vector<runner>& runners, time_point now) = 0;
    /// Checks whether a job would be admitted now, without admitting it. Called before the job is claimed in
    /// the registry, so that no claim is made for a job that would be refused.
    /// @returns a refusal with the verdict not_run, or nothing if the job would be admitted
    virtual std::optional<refusal> check(const job_request& job, time_point now) const = 0;
    /// Admits a job, or refuses it with the action answer_job and the outcome job_refused.
    virtual std::vector<action> submit(job_request job, time_point now) = 0;
    /// Processes the result of an attempt. Results of attempts that have ended already are counted as
    /// late_duplicate and dropped.
    virtual std::vector<action> on_result(attempt_result result, time_point now) = 0;
    /// Ends a job with the given reason; does nothing if there is no such job.
    virtual std::vector<action> cancel(job_key key, refusal_reason reason, time_point now) = 0;
    /// Sets the position of this instance, from which its part of each runner's slots follows.
    /// @param index position among the entry instances of the data centre in rendezvous order
    /// @param count number of entry instances of the data centre
    virtual std::vector<action> set_peers(std::size_t index, std::size_t count, time_point now) = 0;
    /// Processes messages of the other entry instances of the data centre. A policy without slot lending
    /// drops them.
    virtual std::vector<action> on_slot_demand(const slot_demand& message, time_point now);
    virtual std::vector<action> on_slot_grant(const slot_grant& message, time_point now);
    /// Handles what is due: timeouts, retries, hedges and expired queue entries. To be called at least every
    /// 10 ms.
    virtual std::vector<action> on_timer(time_point now) = 0;
    /// Number of jobs that are admitted and not yet answered.
    virtual std::size_t jobs_in_flight() const = 0;
};

/// Options of the policy expected_finish; the baselines ignore them.
struct policy_options {
    sharing_kind sharing = sharing_kind::lending;
    double retry_share = 0.1;   ///< greatest ratio of retries to first attempts
    double hedge_share = 0.01;  ///< greatest ratio of hedges to first attempts
};

/// Creates a dispatcher with the given policy.
/// @param seed seed of its random number generator
std::unique_ptr<dispatcher> make_dispatcher(policy_kind kind, std::uint64_t seed,
                                            const policy_options& options = {});

}  // namespace poplarshed::dispatch

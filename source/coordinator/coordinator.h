#pragma once

#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "common/common.h"
#include "configuration/bundle.h"
#include "coordinator/outbox.h"
#include "dispatch/dispatch.h"
#include "jobs/jobs.h"
#include "membership/membership.h"
#include "registry/registry.h"

namespace poplarshed::coordinator {

/// Identity and limits of a coordinator.
struct options {
    instance_id self;
    data_centre_id data_centre;
    dispatch::policy_kind policy = dispatch::policy_kind::expected_finish;
    jobs::replay_limits replay;
    membership::member_options membership;
    registry::registrar_options registry;
    std::size_t max_jobs = 20'000;  ///< limit on running jobs; further ones are refused
    std::uint64_t seed = 1;
};

/// Connects the dispatcher, the registrar and the membership state machine of one instance: claims a
/// submission, dispatches it or follows it at its owner, answers it and retains the outcome for
/// resubmissions. No I/O; every call belongs to the core thread and `now` must not decrease. Requests to the
/// registrar are queued until flush().
class coordinator {
public:
    coordinator(options settings, outbox& out);

    /// Submits a caller's job. The answer goes to outbox::reply(), possibly before this call returns.
    void submit(jobs::caller_id caller, jobs::job_submission job, time_point now);
    /// Cancels a job of the workspace. @returns false if this instance does not run such a job
    bool cancel(const submission_id& id, const workspace_id& workspace, time_point now);

    void on_result(dispatch::attempt_result result, time_point now);
    void on_message(const instance_id& from, wire::message message, time_point now);
    void on_linked(const instance_id& peer) { m_member.on_linked(peer); }
    void on_unlinked(const endpoint& address) { m_member.on_unlinked(address); }
    void on_evidence(const instance_id& peer, membership::evidence evidence, time_point now);
    void on_platform(const membership::platform_snapshot& snapshot, time_point now);
    void on_swap(membership::swap_status status, membership::key_revision revision, time_point now);
    void set_platform_reachable(bool reachable);

    /// Puts a configuration in force.
    void apply(const configuration::bundle& bundle, time_point now);
    void set_runners(const std::vector<dispatch::runner>& runners, time_point now);
    /// Refuses new jobs, finishes those in progress and transfers the claim records to the other instances.
    void drain(time_point now);
    /// Ends every unfinished job with the reason `drain_limit`.
    void end_unfinished_jobs(time_point now);
    /// Handles timeouts, intervals and expired submissions. Call at least every 10 ms.
    void on_timer(time_point now);
    /// Executes the registrar's queued actions. Call once after each batch of events, so that claims are sent
    /// in batches.
    void flush(time_point now);

    /// Whether the instance accepts jobs: it has a configuration, has a view of its data centre and does not
    /// drain.
    bool ready() const;
    bool draining() const { return m_draining; }
    /// Whether the claim records are transferred and the instance has been removed from its view.
    bool handed_over() const { return m_handed_over; }
    std::size_t jobs_in_progress() const { return m_submissions.in_progress(); }
    const jobs::submission_table& submissions() const { return m_submissions; }
    const membership::member& member() const { return m_member; }
    registry::registrar_counts claims() const { return m_registrar.counts(); }
    configuration_version version() const;
    /// Whether this instance is the member of its data centre's view with the lowest address.
    bool is_first_member() const;
    /// Epoch of the view of this data centre, which is part of the ids that this instance issues.
    view_epoch epoch() const;

private:
    // Submissions.
    /// Adds a caller to a submission with the same id that the table already holds.
    void attach(jobs::submission& submission, jobs::caller_id caller, const jobs::job_submission& job);
    void claim(jobs::submission& submission, time_point now);
    void run(jobs::submission& submission, time_point now);
    void follow(jobs::submission& submission, const instance_id& owner, time_point now);
    /// Ends a submission that this instance owns; releases the claim if nothing ran.
    void end_own(const submission_id& id, dispatch::job_outcome outcome, time_point now);
    void finish(const submission_id& id, dispatch::job_outcome outcome, time_point now);
    /// Outcome of a finished submission, or the answer that replaces an evicted one.
    static jobs::shared_outcome kept_outcome(const jobs::submission& submission);
    void answer(const jobs::waiter& waiter, const jobs::submission& submission,
                const jobs::shared_outcome& outcome);
    void claim_again(jobs::submission& submission, time_point now);
    void attach_follower(jobs::submission& submission, const instance_id& follower);
    void check_followed(time_point now);
    time_point deadline_of(const jobs::job_submission& job, time_point now) const;
    const configuration::service* find_service(const service_id& id) const;
    /// Reason to refuse a granted job at this instance, if any.
    std::optional<refusal> local_refusal(const jobs::submission& submission, time_point now) const;

    // Actions of the dispatcher.
    void execute(std::vector<dispatch::action> actions, time_point now);
    void execute(dispatch::start_attempt& action, time_point now);
    void execute(dispatch::abandon_attempt& action, time_point now);
    void execute(dispatch::answer_job& action, time_point now);
    void execute(dispatch::count_retry& action, time_point now);
    void execute(dispatch::send_slot_demand& action, time_point now);
    void execute(dispatch::send_slot_grant& action, time_point now);

    // Actions of the registrar.
    void execute(registry::send_message& action, time_point now);
    void execute(registry::claim_granted& action, time_point now);
    void execute(registry::follow_owner& action, time_point now);
    void execute(registry::claim_refused& action, time_point now);
    void execute(registry::records_synced& action, time_point now);

    // Actions of membership.
    void execute(std::vector<membership::action> actions, time_point now);
    void execute(membership::send_message& action, time_point now);
    void execute(membership::propose_view& action, time_point now);
    void execute(membership::read_platform& action, time_point now);
    void execute(membership::view_adopted& action, time_point now);
    void execute(membership::instance_failed& action, time_point now);
    void execute(membership::skip_member& action, time_point now);
    void execute(membership::may_exit& action, time_point now);

    // Messages of peers.
    void receive(const instance_id& from, wire::job_follow& message, time_point now);
    void receive(const instance_id& from, wire::job_answer& message, time_point now);
    void receive(const instance_id& from, dispatch::slot_demand& message, time_point now);
    void receive(const instance_id& from, dispatch::slot_grant& message, time_point now);
    void receive(const instance_id& from, membership::heartbeat& message, time_point now);
    void receive(const instance_id& from, membership::view_offer& message, time_point now);
    // Forwards messages of the registry to the registrar and ignores the others: handshake, bundles and
    // directories are handled outside of the coordinator.
    template <class Message>
    void receive(const instance_id& from, Message& message, time_point now);

    void update_peers(const membership::view& view, time_point now);

    options m_options;
    outbox& m_out;
    std::unique_ptr<dispatch::dispatcher> m_dispatcher;
    jobs::submission_table m_submissions;
    membership::member m_member;
    registry::registrar m_registrar;
    std::unordered_map<job_key, submission_id> m_running;
    std::vector<instance_id>
        m_local_peers;  // members of this data centre, this instance included, by address
    std::optional<configuration::bundle> m_bundle;
    std::uint64_t m_last_key = 0;
    time_point m_next_follow_check;
    bool m_draining = false;
    bool m_handed_over = false;
};

}  // namespace poplarshed::coordinator

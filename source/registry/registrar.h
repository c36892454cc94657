#pragma once

#include <vector>

#include "registry/claimant.h"
#include "registry/record_keeper.h"
#include "registry/types.h"

namespace poplarshed::registry {

/// Decides for each submission id whether this instance may start the job, and holds the claim records of the
/// ids for which this instance is a registrar. One object per process covers all data centres. A state
/// machine without I/O: calls queue actions; take_actions() returns them, batched by receiver, once per turn
/// of the event loop. Not thread-safe: call it only on the core thread, with values of `now` that never
/// decrease.
class registrar {
public:
    registrar(instance_id self, data_centre_id data_centre, registrar_options options, random_source random);
    registrar(const registrar&) = delete;
    registrar& operator=(const registrar&) = delete;

    /// Requests the claim of a submission. Produces exactly one of claim_granted, follow_owner and
    /// claim_refused, at the latest after the claim timeout.
    void begin_claim(const claim_request& request, time_point now);
    /// Handles a message from an authenticated peer.
    void on_message(const instance_id& from, const message& body, time_point now);
    /// Handles a view that membership has adopted.
    void on_view(const membership::view& view, time_point now);
    /// Handles a report by membership or a peer link that the process of an instance is known to have ended.
    void on_instance_failed(const instance_id& instance, time_point now);
    /// Handles the decision of membership that the chains of an epoch may skip a failed member.
    void on_member_skipped(const data_centre_id& home, view_epoch epoch, const instance_id& instance);
    /// Retries claims and record transfers, and expires records. Call it at least every 20 ms.
    void on_timer(time_point now);
    /// Gives up a pending or granted claim. The job must not have been started, and must not be started
    /// later.
    void release(const submission_id& id, time_point now);
    /// Returns the state of an id at this instance, for a follower with this body digest. If the result is
    /// `none`, also releases any record that the registrars still hold for a claim that was given up here.
    ownership answer_follower(const submission_id& id, const digest& body, time_point now);
    /// Sets whether the platform is reachable. Selects the refusal reason (evidence_ambiguous or
    /// registrar_unavailable) of a claim without a decision; run_if_ambiguous applies to the former.
    void set_platform_reachable(bool reachable);

    /// Returns the queued actions. Messages of this instance to itself are handled here and not returned.
    std::vector<action> take_actions(time_point now);

    registrar_counts counts() const;

private:
    instance_id m_self;
    registrar_options m_options;
    outbox m_out;
    record_keeper m_keeper;
    claimant m_claimant;
};

}  // namespace poplarshed::registry

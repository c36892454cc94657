#pragma once

#include <vector>

#include "registry/claimant.h"
#include "registry/record_keeper.h"
#include "registry/types.h"

namespace poplarshed::registry {

/// Decides for each submission id whether this instance may start the job, and keeps the claim records of the
/// ids it is a registrar of. One object per process covers all data centres. A state machine without I/O:
/// calls queue their actions, and take_actions() returns them, batched by receiver, once per turn of the
/// event loop. Every call belongs to the core thread; `now` never goes back.
class registrar {
public:
    registrar(instance_id self, data_centre_id data_centre, registrar_options options, random_source random);
    registrar(const registrar&) = delete;
    registrar& operator=(const registrar&) = delete;

    /// Asks for the claim of a submission. Exactly one of claim_granted, follow_owner and claim_refused
    /// follows, at the latest after the claim timeout.
    void begin_claim(const claim_request& request, time_point now);
    /// Takes a message of an authenticated peer.
    void on_message(const instance_id& from, const message& body, time_point now);
    /// Takes a view that membership adopted.
    void on_view(const membership::view& view, time_point now);
    /// Takes an instance that membership or a link reports as proven dead.
    void on_instance_failed(const instance_id& instance, time_point now);
    /// Takes a dead member that membership lets the chains of an epoch skip.
    void on_member_skipped(const data_centre_id& home, view_epoch epoch, const instance_id& instance);
    /// Called at least every 20 ms.
    void on_timer(time_point now);
    /// Gives up a claim, pending or granted, of which nothing was started and nothing will be.
    void release(const submission_id& id, time_point now);
    /// Answers a follower that asks with the digest of its body. A negative answer releases what a registrar
    /// may still hold of a claim that was given up.
    ownership answer_follower(const submission_id& id, const digest& body, time_point now);
    /// Tells whether the platform answers; it decides between two refusal reasons only.
    void set_platform_reachable(bool reachable);

    /// Returns the queued actions. Messages of this instance to itself are handled on the way.
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

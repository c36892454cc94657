#pragma once

#include <variant>
#include <vector>

#include "membership/membership.h"
#include "registry/messages.h"

namespace poplarshed::registry {

/// Rules that a checker switches off to show that it notices. Never set in a running system.
struct disabled_rules {
    bool epoch_check = false;      ///< registrars accept claims that carry another epoch
    bool tail = false;             ///< the head grants without the tail
    bool late_grant = false;       ///< a grant that arrives after the claim was given up is accepted
    bool sync = false;             ///< records are not sent after a change of the view
    bool freeze = false;           ///< records may be released or replaced while the view is unsettled
    bool body_check = false;       ///< a claim attaches to a record with another body
    bool unknown_verdict = false;  ///< a claim without decision answers not_run for every submission
};

struct registrar_options {
    /// All data centres, in the same order in every instance.
    std::vector<data_centre_id> data_centres;
    milliseconds claim_timeout{2'000};        ///< a claim without decision is refused after this time
    milliseconds initial_retry_interval{40};  ///< doubled at each retry
    milliseconds max_retry_interval{320};
    milliseconds retention{600'000};      ///< how long a record is kept
    milliseconds retry_hint{500};         ///< `retry_after` of refusals that may pass
    std::size_t max_records = 4'000'000;  ///< of one home data centre; further claims are refused
    std::size_t sync_chunk = 512;         ///< records in one records_sync
    std::size_t sync_window = 8;          ///< chunks to one receiver without acknowledgement
    milliseconds sync_retry{100};
    disabled_rules disabled;
};

/// A job that asks for a claim.
struct claim_request {
    submission_id id;
    digest body;  ///< of service, workspace and body
    time_point deadline = time_point::max();
    bool rerun_if_owner_lost = false;  ///< only for idempotent services
    bool run_if_ambiguous = false;     ///< only for idempotent services
    /// The caller states that it never sent this id before; a refusal without a decision is then `not_run`.
    bool first_submission = false;
};

/// Action: send a message to an instance.
struct send_message {
    instance_id to;
    message body;
};

/// Action: this instance owns the job and may start it.
struct claim_granted {
    submission_id id;
    bool recorded = true;  ///< false for a job that runs without claim (`run_if_ambiguous`)
    /// A lost owner may have started the job before, so that a later refusal may not say `not_run`.
    bool rerun = false;
};

/// Action: another claim stands, perhaps with another body. Ask its owner, which may be this instance, with
/// the body digest; the owner answers from registrar::answer_follower(). On `none`, call begin_claim() again.
struct follow_owner {
    submission_id id;
    instance_id owner;
};

/// What an instance is to an id that a follower asks for.
enum class ownership {
    none,           ///< it gave the claim up or never had it; claim the id anew
    pending,        ///< it is claiming the id with the same body; follow it
    pending_other,  ///< it is claiming the id with another body; ask again
    granted,        ///< it owns the job; follow it
    granted_other,  ///< it owns the id with another body: `id_reused`, and `not_run` is true of the
                    ///< follower's
};

/// Action: answer the caller with the refusal.
struct claim_refused {
    submission_id id;
    refusal cause;
};

/// Action: every record that this instance owes for the epoch was acknowledged; pass it to membership.
struct records_synced {
    data_centre_id home;
    view_epoch epoch;
};

using action = std::variant<send_message, claim_granted, follow_owner, claim_refused, records_synced>;

/// Figures for metrics.
struct registrar_counts {
    std::size_t records = 0;       ///< held as registrar
    std::size_t record_bytes = 0;  ///< estimate
    std::size_t owned = 0;         ///< granted to this instance in the retention window
    std::size_t owned_bytes = 0;   ///< estimate
    std::size_t pending_claims = 0;
    std::uint64_t claims_started = 0;
    std::uint64_t claims_retried = 0;
    std::uint64_t late_grants = 0;  ///< ignored, since the claim had been given up
    std::uint64_t records_synced = 0;
};

}  // namespace poplarshed::registry

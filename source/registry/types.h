#pragma once

#include <variant>
#include <vector>

#include "membership/membership.h"
#include "registry/messages.h"

namespace poplarshed::registry {

/// Protocol rules that tests disable one at a time, to verify that the schedule checker detects the resulting
/// violation. Never set in production.
struct disabled_rules {
    bool epoch_check = false;      ///< registrars accept claims of another view epoch
    bool tail = false;             ///< the head grants without forwarding to the tail
    bool late_grant = false;       ///< a grant is accepted after its claim was given up
    bool sync = false;             ///< records are not transferred after a view change
    bool freeze = false;           ///< records may be released or replaced in an unsettled view
    bool body_check = false;       ///< a claim may follow a record with another body
    bool unknown_verdict = false;  ///< every claim without a decision is refused as not_run
};

struct registrar_options {
    /// All data centres, in the same order on every instance.
    std::vector<data_centre_id> data_centres;
    milliseconds claim_timeout{2'000};        ///< a claim without a decision is refused after this time
    milliseconds initial_retry_interval{40};  ///< doubled at each retry
    milliseconds max_retry_interval{320};
    milliseconds retention{600'000};      ///< time for which a record is kept
    milliseconds retry_hint{500};         ///< `retry_after` of refusals with a temporary cause
    std::size_t max_records = 4'000'000;  ///< per home data centre; further claims are refused
    std::size_t sync_chunk = 512;         ///< records per records_sync message
    std::size_t sync_window = 8;          ///< unacknowledged chunks per receiver
    milliseconds sync_retry{100};
    disabled_rules disabled;
};

/// Request to claim the submission id of a job.
struct claim_request {
    submission_id id;
    digest body;  ///< digest over service, workspace and job body
    time_point deadline = time_point::max();
    bool rerun_if_owner_lost = false;  ///< only for idempotent services
    bool run_if_ambiguous = false;     ///< only for idempotent services
    /// The caller states that it has not sent this id before; a refusal without a decision is then `not_run`.
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
    bool recorded = true;  ///< false if the job runs without a claim record (`run_if_ambiguous`)
    /// A failed owner may have started the job before, so a later refusal must not say `not_run`.
    bool rerun = false;
};

/// Action: the id is already claimed, possibly with another body. Query the owner, which may be this
/// instance, with the body digest; the owner responds with the result of registrar::answer_follower(). If
/// that is `none`, call begin_claim() again.
struct follow_owner {
    submission_id id;
    instance_id owner;
};

/// State of a submission id at the instance that a follower queries.
enum class ownership {
    none,           ///< it gave up the claim or never had it; claim the id again
    pending,        ///< it is claiming the id with the same body; follow it
    pending_other,  ///< it is claiming the id with another body; query it again
    granted,        ///< it owns the job; follow it
    granted_other,  ///< it owns the id with another body: refuse with `id_reused` and `not_run`, which
                    ///< holds for the follower's body
};

/// Action: send the refusal to the caller.
struct claim_refused {
    submission_id id;
    refusal cause;
};

/// Action: all records that this instance has to transfer for the epoch are acknowledged; pass it to
/// membership.
struct records_synced {
    data_centre_id home;
    view_epoch epoch;
};

using action = std::variant<send_message, claim_granted, follow_owner, claim_refused, records_synced>;

/// Counts for metrics.
struct registrar_counts {
    std::size_t records = 0;       ///< held as a registrar
    std::size_t record_bytes = 0;  ///< estimate
    std::size_t owned = 0;         ///< granted to this instance in the retention window
    std::size_t owned_bytes = 0;   ///< estimate
    std::size_t pending_claims = 0;
    std::uint64_t claims_started = 0;
    std::uint64_t claims_retried = 0;
    std::uint64_t late_grants = 0;  ///< grants ignored because the claim had been given up
    std::uint64_t records_synced = 0;
};

}  // namespace poplarshed::registry

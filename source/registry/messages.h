#pragma once

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "common/common.h"

namespace poplarshed::registry {

/// Sequence number of a claim, assigned by its owner; a later claim of the same id has a higher number.
using claim_sequence = number_id<struct claim_sequence_tag>;

/// One claim of the owner named in the message header.
struct claim_entry {
    digest id;    ///< digest of the submission id
    digest body;  ///< digest over service, workspace and job body
    claim_sequence sequence;
    view_epoch issued;                      ///< view epoch in the submission id; 0 for none
    std::optional<instance_id> supersedes;  ///< failed owner whose record this claim replaces (a rerun)

    bool operator==(const claim_entry&) const = default;
};

/// Refers to a claim of the receiver or, if the message has an owner field, of that owner.
struct claim_reference {
    digest id;
    claim_sequence sequence;

    bool operator==(const claim_reference&) const = default;
};

/// Sent by an owner to the head of the chain: requests claims.
struct claim {
    data_centre_id home;
    view_epoch epoch;
    instance_id owner;
    std::vector<claim_entry> entries;

    bool operator==(const claim&) const = default;
};

/// Sent by the head to the tail: claims that the head has accepted.
struct claim_forward {
    data_centre_id home;
    view_epoch epoch;
    instance_id owner;
    std::vector<claim_entry> entries;

    bool operator==(const claim_forward&) const = default;
};

/// Grant of one claim.
struct grant_entry {
    claim_reference claim;
    /// The claim replaced that of a failed owner, which may have started the job.
    bool rerun = false;

    bool operator==(const grant_entry&) const = default;
};

/// Sent by the tail, or by the head of a chain of one, to the owner: the owner may start the jobs.
struct claim_grant {
    data_centre_id home;
    view_epoch epoch;
    std::vector<grant_entry> claims;

    bool operator==(const claim_grant&) const = default;
};

/// Record that conflicts with a claim.
struct known_entry {
    claim_reference asked;    ///< the receiver's claim
    digest body;              ///< body digest in the record
    instance_id owner;        ///< owner in the record
    claim_sequence sequence;  ///< sequence number in the record

    bool operator==(const known_entry&) const = default;
};

/// Sent by head or tail to the owner: another owner has already claimed the id.
struct claim_known {
    data_centre_id home;
    view_epoch epoch;
    std::vector<known_entry> entries;

    bool operator==(const claim_known&) const = default;
};

/// Why a registrar did not decide a claim.
enum class refuse_cause : std::uint8_t {
    other_epoch,    ///< the registrar has adopted a different view epoch
    not_registrar,  ///< the receiver has another position in the chain, for example since a failed member is
                    ///< skipped
    unsettled,      ///< the record must not change until the view has settled
    history_lost,   ///< records of the id may have been lost
    overloaded,     ///< the registrar holds its maximum number of records
};

/// Sent by head or tail to the owner: the claims were not decided.
struct claim_refuse {
    data_centre_id home;
    view_epoch epoch;  ///< epoch of the sender's current view
    refuse_cause cause = refuse_cause::other_epoch;
    std::vector<claim_reference> claims;

    bool operator==(const claim_refuse&) const = default;
};

/// Claim record in transfer between registrars.
struct claim_record {
    digest id;
    digest body;
    instance_id owner;
    claim_sequence sequence;
    std::optional<instance_id> replaced;  ///< failed owner whose claim this one replaced
    milliseconds age{};                   ///< time since the claim was recorded

    bool operator==(const claim_record&) const = default;
};

/// Sent after a view change by a member that stays in the chain of the ids to the member that joins it.
struct records_sync {
    data_centre_id home;
    view_epoch epoch;
    std::uint32_t chunk = 0;
    std::vector<claim_record> records;

    bool operator==(const records_sync&) const = default;
};

/// Acknowledges one chunk of `records_sync`.
struct sync_ack {
    data_centre_id home;
    view_epoch epoch;
    std::uint32_t chunk = 0;

    bool operator==(const sync_ack&) const = default;
};

/// Sent by the owner to both registrars: it has not started the jobs of these claims and never will.
struct claim_release {
    data_centre_id home;
    instance_id owner;
    std::vector<claim_reference> claims;

    bool operator==(const claim_release&) const = default;
};

using message = std::variant<claim, claim_forward, claim_grant, claim_known, claim_refuse, records_sync,
                             sync_ack, claim_release>;

}  // namespace poplarshed::registry

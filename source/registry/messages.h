#pragma once

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "common/common.h"

namespace poplarshed::registry {

/// Number of a claim among those of its owner; a later claim of the same id has a higher one.
using claim_sequence = number_id<struct claim_sequence_tag>;

/// One claim of an owner that the message names.
struct claim_entry {
    digest id;    ///< of the submission id
    digest body;  ///< of service, workspace and body
    claim_sequence sequence;
    view_epoch issued;                      ///< epoch in the submission id; 0 for none
    std::optional<instance_id> supersedes;  ///< owner proven dead whose record this claim replaces (`rerun`)

    bool operator==(const claim_entry&) const = default;
};

/// Names a claim of the receiver, or of the owner that the message names.
struct claim_reference {
    digest id;
    claim_sequence sequence;

    bool operator==(const claim_reference&) const = default;
};

/// Owner to head of the chain.
struct claim {
    data_centre_id home;
    view_epoch epoch;
    instance_id owner;
    std::vector<claim_entry> entries;

    bool operator==(const claim&) const = default;
};

/// Head to tail.
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
    /// The claim took the place of one whose owner was lost and may have started the job.
    bool rerun = false;

    bool operator==(const grant_entry&) const = default;
};

/// Tail to owner: the owner may start the job.
struct claim_grant {
    data_centre_id home;
    view_epoch epoch;
    std::vector<grant_entry> claims;

    bool operator==(const claim_grant&) const = default;
};

/// The record that stands against a claim.
struct known_entry {
    claim_reference asked;    ///< the receiver's claim
    digest body;              ///< recorded
    instance_id owner;        ///< recorded
    claim_sequence sequence;  ///< recorded

    bool operator==(const known_entry&) const = default;
};

/// Head or tail to owner: the id is claimed by another owner.
struct claim_known {
    data_centre_id home;
    view_epoch epoch;
    std::vector<known_entry> entries;

    bool operator==(const claim_known&) const = default;
};

/// Why a registrar does not decide on a claim.
enum class refuse_cause : std::uint8_t {
    other_epoch,    ///< the registrar has another view in force
    not_registrar,  ///< the receiver has another place in the chain, for example because of a tombstone
    unsettled,      ///< the record may be changed only after the view has settled
    history_lost,   ///< records of the id may be lost
    overloaded,     ///< the registrar holds as many records as it may
};

/// Head or tail to owner.
struct claim_refuse {
    data_centre_id home;
    view_epoch epoch;  ///< in force at the sender
    refuse_cause cause = refuse_cause::other_epoch;
    std::vector<claim_reference> claims;

    bool operator==(const claim_refuse&) const = default;
};

/// One claim record as it is sent between registrars.
struct claim_record {
    digest id;
    digest body;
    instance_id owner;
    claim_sequence sequence;
    std::optional<instance_id> replaced;  ///< lost owner whose claim this one took the place of
    milliseconds age{};                   ///< since the claim was recorded

    bool operator==(const claim_record&) const = default;
};

/// Member that stays in the chain of the ids to the member that enters it.
struct records_sync {
    data_centre_id home;
    view_epoch epoch;
    std::uint32_t chunk = 0;
    std::vector<claim_record> records;

    bool operator==(const records_sync&) const = default;
};

/// Answer to `records_sync`.
struct sync_ack {
    data_centre_id home;
    view_epoch epoch;
    std::uint32_t chunk = 0;

    bool operator==(const sync_ack&) const = default;
};

/// Owner to both registrars: the owner started nothing for these claims and will not.
struct claim_release {
    data_centre_id home;
    instance_id owner;
    std::vector<claim_reference> claims;

    bool operator==(const claim_release&) const = default;
};

using message = std::variant<claim, claim_forward, claim_grant, claim_known, claim_refuse, records_sync,
                             sync_ack, claim_release>;

}  // namespace poplarshed::registry

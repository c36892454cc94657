#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "common/common.h"
#include "dispatch/messages.h"
#include "dispatch/types.h"
#include "membership/messages.h"
#include "registry/messages.h"
#include "workers/types.h"

namespace poplarshed::wire {

/// Version of the handshake and of the frames. Instances with different versions refuse each other.
inline constexpr std::uint32_t protocol_version = 1;

using handshake_nonce = std::array<std::uint8_t, 32>;
/// HMAC-SHA256 over the identities and nonces of both sides.
using handshake_proof = std::array<std::uint8_t, 32>;

/// First frame in each direction.
struct hello {
    std::uint32_t protocol = protocol_version;
    data_centre_id data_centre;
    instance_id instance;
    handshake_nonce nonce{};

    bool operator==(const hello&) const = default;
};

/// Proof of the shared key over both nonces. The connecting side sends it first; the accepting side answers
/// only a valid one, so that an unknown peer learns no proof.
struct hello_proof {
    handshake_proof proof{};

    bool operator==(const hello_proof&) const = default;
};

/// Asks the owner of a job for its answer as soon as there is one.
struct job_follow {
    submission_id submission;
    digest body;  ///< of the follower's job

    bool operator==(const job_follow&) const = default;
};

/// The whole answer to a followed job.
struct job_answer {
    submission_id submission;
    dispatch::job_outcome outcome;

    bool operator==(const job_answer&) const = default;
};

/// Asks a peer for the bundle of a version that it has announced.
struct bundle_pull {
    configuration_version version;

    bool operator==(const bundle_pull&) const = default;
};

/// Text of a bundle, as stored on the platform.
struct bundle_push {
    configuration_version version;
    std::string text;

    bool operator==(const bundle_push&) const = default;
};

/// Every message of the internal protocol. A receiver passes each group on to its core.
using message =
    std::variant<hello, hello_proof, job_follow, job_answer, bundle_pull, bundle_push, membership::heartbeat,
                 membership::view_offer, registry::claim, registry::claim_forward, registry::claim_grant,
                 registry::claim_known, registry::claim_refuse, registry::records_sync, registry::sync_ack,
                 registry::claim_release, dispatch::slot_demand, dispatch::slot_grant, workers::job_offer,
                 workers::job_progress, workers::job_result, workers::job_cancel, workers::instance_status,
                 workers::directory_pull, workers::directory_push, workers::job_losses>;

/// Wraps a message of a core's own variant.
template <class... Group>
message to_message(std::variant<Group...> value)
{
    return std::visit([](auto& item) { return message(std::move(item)); }, value);
}

}  // namespace poplarshed::wire

#pragma once

#include <variant>
#include <vector>

#include "common/common.h"
#include "dispatch/types.h"
#include "jobs/jobs.h"
#include "membership/membership.h"
#include "peer/peer.h"
#include "platform/platform.h"
#include "wire/wire.h"

namespace poplarshed::entry {

/// Events that other threads hand to the core thread.
struct job_arrived {
    jobs::caller_id caller;
    jobs::job_submission job;
};

struct cancel_requested {
    jobs::caller_id caller;
    submission_id submission;
    workspace_id workspace;
};

struct ids_requested {
    jobs::caller_id caller;
    std::size_t count = 1;
};

struct status_requested {
    jobs::caller_id caller;
};

struct drain_requested {
    /// A second request that insists ends the drain; one over HTTP does not, since clients repeat lost calls.
    bool insists = false;
};

struct runners_listed {
    std::vector<dispatch::runner> runners;
};

struct membership_read {
    bool reachable = false;  ///< the platform answered
    membership::platform_snapshot snapshot;
};

struct view_swapped {
    membership::swap_status status = membership::swap_status::unknown;
    membership::key_revision revision;
};

struct lease_answered {
    platform::lease_outcome outcome;
};

struct live_key_written {
    platform::write_outcome outcome;
};

struct key_read {
    std::string key;
    platform::read_status status = platform::read_status::unavailable;
    platform::entry entry;  ///< where found
};

struct peer_message {
    instance_id from;
    data_centre_id data_centre;
    wire::message message;
};

struct peer_up {
    instance_id instance;
    data_centre_id data_centre;
};

struct peer_down {
    endpoint address;
    peer::down_evidence evidence = peer::down_evidence::timed_out;
};

using core_event =
    std::variant<job_arrived, cancel_requested, ids_requested, status_requested, drain_requested,
                 dispatch::attempt_result, runners_listed, membership_read, view_swapped, lease_answered,
                 live_key_written, key_read, peer_message, peer_up, peer_down>;

using core_inbox = bounded_ring<core_event>;

}  // namespace poplarshed::entry

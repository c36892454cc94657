#pragma once

#include "dispatch/types.h"
#include "jobs/jobs.h"
#include "membership/membership.h"
#include "wire/wire.h"

namespace poplarshed::coordinator {

/// Performs the I/O that the coordinator requests. Implemented by the daemon and by tests. Called on the core
/// thread.
class outbox {
public:
    virtual ~outbox() = default;

    /// Answers a caller of this instance; called exactly once for each submit().
    virtual void reply(jobs::caller_id caller, const jobs::submission& submission,
                       const jobs::shared_outcome& outcome) = 0;
    /// Sends a task to a runner.
    virtual void start(dispatch::start_attempt attempt) = 0;
    /// Stops waiting for the result of an attempt.
    virtual void abandon(dispatch::abandon_attempt attempt) = 0;
    /// Counts a retry for the metrics.
    virtual void count(const dispatch::count_retry& retry) = 0;
    /// Sends a message to an instance with the given incarnation. The message may be lost.
    virtual void send(const instance_id& to, wire::message message) = 0;
    /// Writes the view of the own data centre by compare-and-swap; the result goes to coordinator::on_swap().
    virtual void propose_view(const membership::view& view, membership::key_revision expected) = 0;
    /// Reads the views and the live instances; the result goes to coordinator::on_platform().
    virtual void read_membership() = 0;
};

}  // namespace poplarshed::coordinator

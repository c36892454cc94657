#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "common/common.h"
#include "configuration/bundle.h"
#include "dispatch/messages.h"

namespace poplarshed::dispatch {

/// How one attempt ended, as determined by the upstream client that sent the request.
enum class attempt_status {
    succeeded,
    rejected,            ///< the runner answered with a status 4xx: the task itself failed
    runner_failed,       ///< the runner answered with a status 5xx
    runner_full,         ///< the runner answered 503: it has no free slot
    connection_refused,  ///< the connection failed before any byte was written
    connection_lost,
    timed_out,
    abandoned,  ///< cancelled by this instance
};

/// One task of a job.
struct task_request {
    std::string payload;
    std::optional<milliseconds> declared_run_time;  ///< initial estimate until run times are observed

    bool operator==(const task_request&) const = default;
};

/// A job whose claim in the registry was granted.
struct job_request {
    job_key key;
    submission_id submission;
    service_id service;
    workspace_id workspace;
    time_point arrival;
    time_point deadline;
    std::vector<task_request> tasks;
};

/// A runner as listed by the platform.
struct runner {
    endpoint address;
    data_centre_id data_centre;
    std::string rack;
    std::string worker;
    std::uint32_t slots = 0;
    std::vector<service_id> services;
    double declared_speed = 1.0;
    std::uint64_t memory_mb = 0;
    std::uint32_t accelerators = 0;
    bool leaving = false;

    bool operator==(const runner&) const = default;
};

/// Result of one attempt.
struct attempt_result {
    attempt_id attempt;
    attempt_status status = attempt_status::abandoned;
    verdict ran = verdict::may_have_run;
    std::string body;             ///< result of the task on success, else the error text of the runner
    bool runner_leaving = false;  ///< the response announced that the runner is leaving
};

/// Action: send a task to a runner.
struct start_attempt {
    attempt_id attempt;
    endpoint runner;
    service_id service;
    submission_id submission;
    std::uint32_t task = 0;
    std::uint32_t attempt_number = 1;
    std::string payload;
    milliseconds timeout{};
    bool promises_not_run = false;
};

/// Action: abandon an attempt, whose result is no longer needed.
struct abandon_attempt {
    attempt_id attempt;
};

/// Complete answer of a job, results in task order.
struct job_complete {
    std::vector<std::string> results;

    bool operator==(const job_complete&) const = default;
};

/// The job failed as a whole; the verdict in `cause` says whether its tasks ran.
struct job_failed {
    refusal cause;
    std::optional<std::uint32_t> task;

    bool operator==(const job_failed&) const = default;
};

/// The job was refused before any of its tasks started.
struct job_refused {
    refusal cause;

    bool operator==(const job_refused&) const = default;
};

using job_outcome = std::variant<job_complete, job_failed, job_refused>;

/// Action: answer the job with its outcome; emitted exactly once for each submitted job.
struct answer_job {
    job_key key;
    job_outcome outcome;
};

/// Action: count a retry or a message that served no purpose.
struct count_retry {
    retry_reason reason = retry_reason::late_duplicate;
    service_id service;
};

/// Action: send a message to every other entry instance of the data centre.
struct send_slot_demand {
    slot_demand message;
};

/// Action: send a message to the instance with the index `to` in rendezvous order.
struct send_slot_grant {
    std::uint32_t to = 0;
    slot_grant message;
};

using action =
    std::variant<start_attempt, abandon_attempt, answer_job, count_retry, send_slot_demand, send_slot_grant>;

}  // namespace poplarshed::dispatch

#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "common/common.h"

namespace poplarshed::workers {

using worker_id = text_id<struct worker_id_tag>;
/// Identifies a job to its caller and to workers; chosen by the caller.
using job_id = text_id<struct worker_job_id_tag>;
/// Identifies a set of workers that is held by one instance at a time.
using pool_id = text_id<struct pool_id_tag>;
/// Number of a run of a task; increases with each start.
using run_number = number_id<struct run_number_tag>;
/// Number of an offer of an instance; increases with each offer, also across restarts of the instance.
using offer_number = number_id<struct offer_number_tag>;
/// Workers reject commands whose token is lower than the highest one they have received.
using fencing_token = number_id<struct fencing_token_tag>;

/// Resources of a worker or needs of a task.
struct resources {
    std::int64_t cpu_milli = 0;  ///< thousandths of a core
    std::int64_t memory_mb = 0;
    std::int64_t accelerators = 0;

    auto operator<=>(const resources&) const = default;

    bool fits(const resources& need) const
    {
        return cpu_milli >= need.cpu_milli && memory_mb >= need.memory_mb &&
               accelerators >= need.accelerators;
    }
    resources plus(const resources& other) const
    {
        return {cpu_milli + other.cpu_milli, memory_mb + other.memory_mb, accelerators + other.accelerators};
    }
    resources minus(const resources& other) const
    {
        return {cpu_milli - other.cpu_milli, memory_mb - other.memory_mb, accelerators - other.accelerators};
    }
};

/// Directory entry of a worker.
struct worker_entry {
    worker_id id;
    endpoint address;
    service_id service;
    data_centre_id data_centre;
    resources capacity;
    std::vector<std::string> labels;  ///< hardware kind and rack
    bool draining = false;
    std::uint64_t incarnation = 0;  ///< changes when the worker restarts under the same id

    bool operator==(const worker_entry&) const = default;

    bool has_label(const std::string& label) const
    {
        return std::find(labels.begin(), labels.end(), label) != labels.end();
    }
};

/// Step of a job; all its tasks have the same needs and estimate.
struct job_step {
    std::uint32_t tasks = 1;
    resources need;
    milliseconds estimate{};           ///< approximate duration of a task on an average worker
    std::vector<std::uint32_t> after;  ///< indices of the steps that must finish first
    std::string preferred_label;       ///< rack of the data; tasks elsewhere take longer
    std::string required_label;        ///< label that the worker must have; empty for none
    std::uint32_t max_per_worker = 0;  ///< tasks of the step on one worker; 0 for no limit

    bool operator==(const job_step&) const = default;
};

/// What became of a worker that was lost while it ran a task. Later values replace earlier ones.
enum class loss_cause : std::uint8_t {
    unknown,       ///< it fell silent
    disconnected,  ///< connections to it are refused or closed, as after a crash and in some cuts
    crash,         ///< its process has ended
    survived,      ///< the same process was heard of again
};
inline constexpr std::size_t loss_cause_count = 4;

/// A worker that was lost while it ran a task of a job.
struct task_loss {
    std::uint32_t step = 0;
    std::uint32_t index = 0;  ///< of the task within the step
    worker_id worker;
    std::uint64_t incarnation = 0;  ///< of the worker
    loss_cause cause = loss_cause::unknown;
    bool alone = false;  ///< nothing else ran on the worker

    auto operator<=>(const task_loss&) const = default;
};

/// Adds the losses that are not known yet, and what is new of others.
/// @param known ascending, one for each task and incarnation, also afterwards
/// @returns true if anything was new
bool merge_losses(std::vector<task_loss>& known, const std::vector<task_loss>& more);

/// Message to all instances: workers that were lost under tasks of a job.
struct job_losses {
    job_id job;
    std::vector<task_loss> losses;

    bool operator==(const job_losses&) const = default;
};

/// Part of a holder in ordering the owners of a job. A caller may have sent the job through several
/// instances; one holder, the same for all of them, admits one owner at a time.
enum class owner_order : std::uint8_t {
    elsewhere,  ///< another holder has admitted the owner, or the owner is of a former release
    here,       ///< the holder admits the owner and may start the job
    only,       ///< the holder admits the owner and returns the job, which then starts in another pool
};
inline constexpr std::size_t owner_order_count = 3;

/// Offer of a job to a pool. Times are relative to the message that carries it.
struct job_offer {
    job_id job;
    endpoint owner;  ///< instance that sends the answer to the caller
    pool_id pool;
    service_id service;
    std::string payload;
    std::vector<job_step> steps;
    std::uint32_t priority = 0;      ///< 0 is the most urgent
    std::uint32_t max_attempts = 1;  ///< runs of a task that may fail
    milliseconds age{};              ///< since the caller's request arrived
    milliseconds objective{};        ///< target response time
    milliseconds deadline{};         ///< response time after which the caller has left
    std::uint32_t returns = 0;       ///< pools that have returned the job
    bool may_have_run = false;       ///< a former holder may have started tasks
    std::vector<std::uint32_t>
        uncertain_tasks;           ///< global numbers of tasks that a former holder may have started
    milliseconds uncertain_for{};  ///< after this time their runs have ended unless a worker lists them
    std::vector<std::uint32_t> done_tasks;  ///< global numbers of finished tasks
    offer_number number{};                  ///< of this offer; each further offer of the job has a new number
    milliseconds echoed_clock{};            ///< latest clock reading of the holder that the owner received
    owner_order order = owner_order::elsewhere;
    offer_number attempt{};         ///< number of the first offer for the same request of the caller
    std::vector<task_loss> losses;  ///< known so far, ascending

    bool operator==(const job_offer&) const = default;
};

/// Message: tasks of a job that have finished; without tasks, that the first start was sent.
struct job_progress {
    job_id job;
    std::vector<std::uint32_t> done_tasks;

    bool operator==(const job_progress&) const = default;
};

enum class job_end : std::uint8_t {
    completed,
    failed,    ///< a task used up its attempts
    refused,   ///< nothing has run and the job cannot finish in time
    returned,  ///< nothing has run and another pool would finish it earlier
    gave_up,   ///< tasks have run and the rest cannot finish before the deadline
    not_held,  ///< the receiver does not hold the pool, or has dropped the job
};
inline constexpr std::size_t job_end_count = 6;

/// Message: how a job ended at a pool.
struct job_result {
    job_id job;
    endpoint holder;  ///< the sender
    job_end end = job_end::completed;
    refusal_reason reason = refusal_reason::internal_error;  ///< where refused or gave_up
    milliseconds retry_after{};                              ///< where refused; 0 for none
    /// Where not_held: false if the holder has started nothing under the answered offer.
    bool may_have_run = true;
    /// Where not_held: tasks that may run, as far as the holder knows. Tasks that it leaves out may still run
    /// under earlier holders.
    std::vector<std::uint32_t> uncertain_tasks;
    offer_number number{};  ///< number of the answered offer

    bool operator==(const job_result&) const = default;
};

/// Message: cancels an offer, because the caller has disconnected or another pool has the job.
struct job_cancel {
    job_id job;
    endpoint owner;
    offer_number number{};      ///< this offer and earlier ones are cancelled, later ones are not
    bool nothing_runs = false;  ///< no task that the owner has had started can run any more

    bool operator==(const job_cancel&) const = default;
};

/// Load of a pool, for the choice between pools.
struct pool_load {
    pool_id pool;
    service_id service;
    fencing_token token;
    std::int64_t capacity_cpu = 0;    ///< of usable workers, in thousandths of a core
    std::int64_t free_cpu = 0;        ///< capacity for whole tasks that would start at once
    std::int64_t running_cpu_ms = 0;  ///< remaining work of current runs
    std::int64_t waiting_cpu_ms = 0;  ///< queued work that can still meet its objective
    std::int64_t overdue_cpu_ms = 0;  ///< queued work that is overdue

    bool operator==(const pool_load&) const = default;
};

/// Message: sent to other instances at intervals; also serves as the heartbeat.
struct instance_status {
    endpoint address;
    data_centre_id data_centre;
    std::int64_t cpu_milli = 0;  ///< processor share of the instance, in thousandths of a core
    bool leaving = false;
    bool directory_current = false;  ///< the sender receives changes from the store or a source
    std::uint64_t configuration_version = 0;
    std::uint64_t directory_sequence = 0;  ///< number of the sender's last change of the directory
    std::vector<pool_load> pools;          ///< held by the sender
    milliseconds next_status_within{};     ///< maximum time until the next status to the receiver
    bool directory_source = false;         ///< the sender watches the store and relays changes
    milliseconds clock{};                  ///< of the sender
    milliseconds echoed_clock{};           ///< latest clock reading of the receiver that the sender received
    std::vector<offer_number> offers;      ///< of the sender, in force at the receiver; ascending
    offer_number last_offer{};             ///< the list does not cover later offers
    bool orders_owners = false;            ///< the pools of the sender order the owners of jobs

    bool operator==(const instance_status&) const = default;
};

/// A store item as relayed by an instance. An empty value marks a removed item.
struct directory_item {
    std::string key;
    std::uint64_t revision = 0;
    std::string value;

    bool operator==(const directory_item&) const = default;
};

/// Message: requests the items changed since a sequence number of the receiver; 0 requests all items.
struct directory_pull {
    endpoint from;
    std::uint64_t since = 0;
    bool configuration_only = false;  ///< requests the configuration, regardless of `since`

    bool operator==(const directory_pull&) const = default;
};

/// Message: the items changed since the sequence number of the pull.
struct directory_push {
    endpoint source;
    std::uint64_t sequence = 0;  ///< of the source's last change
    std::uint64_t revision = 0;  ///< highest revision of the source's items
    bool complete = false;       ///< contains all items; items that are missing were removed
    std::vector<directory_item> items;
    bool configuration_only =
        false;  ///< answers a request for the configuration; says nothing of other items

    bool operator==(const directory_push&) const = default;
};

/// A task of a job.
struct task_ref {
    job_id job;
    std::uint32_t step = 0;
    std::uint32_t index = 0;  ///< within the step

    auto operator<=>(const task_ref&) const = default;
};

/// Recipient of a command: one incarnation of a worker.
struct command_target {
    worker_id worker;
    endpoint address;

    bool operator==(const command_target&) const = default;
};

/// Command: starts a task.
struct start_command {
    command_target target;
    task_ref task;
    run_number run;
    std::string payload;
    std::int64_t lease_until_ms = 0;  ///< on the worker's clock; a start that arrives later is rejected
    fencing_token token;
    milliseconds answer_within{};  ///< the start counts as unanswered after this time

    bool operator==(const start_command&) const = default;
};

/// Command: stops a run, and rejects its start if that arrives later.
struct stop_command {
    command_target target;
    task_ref task;
    run_number run;
    fencing_token token;
    milliseconds answer_within{};

    bool operator==(const stop_command&) const = default;
};

/// Command: lists runs and ends, acknowledges ends, and renews the lease of all runs on the worker.
struct list_command {
    command_target target;
    std::optional<std::int64_t>
        lease_until_ms;              ///< on the worker's clock; if absent, the lease is not renewed
    std::uint64_t acknowledged = 0;  ///< acknowledges ends up to this number
    milliseconds wait{};             ///< time that the worker delays its answer unless a run ends
    fencing_token token;
    milliseconds answer_within{};  ///< `wait` included

    bool operator==(const list_command&) const = default;
};

enum class start_outcome {
    started,
    fenced,      ///< the worker has received a higher token from another holder
    superseded,  ///< the worker has received a higher run number of the task
    expired,     ///< the lease had expired on the worker's clock
    no_room,
    no_ticket,
    unhealthy,  ///< the worker reports itself unhealthy and ignored the command
    other_incarnation,
    rejected,     ///< the worker does not accept the command
    unreachable,  ///< nothing was sent
    unanswered,   ///< may have started, or may start later
};
inline constexpr std::size_t start_outcome_count = 11;

struct start_reply {
    worker_id worker;
    task_ref task;
    run_number run;
    start_outcome outcome = start_outcome::unanswered;
    std::optional<std::int64_t> clock_ms;  ///< the worker's clock
};

enum class stop_outcome { stopped, fenced, other_incarnation, failed };

struct stop_reply {
    worker_id worker;
    task_ref task;
    run_number run;
    stop_outcome outcome = stop_outcome::failed;
};

enum class run_end {
    done,
    failed,
    stopped,
    lapsed,
    peer_ended,
    peers_missing,
    crashed,  ///< concluded by the holder: the worker's process has ended without notice
};
inline constexpr std::size_t run_end_count = 7;

struct listed_run {
    task_ref task;
    run_number run;
    int percent = 0;
};

struct listed_end {
    std::uint64_t number = 0;
    task_ref task;
    run_number run;
    run_end end = run_end::lapsed;
};

/// Answer of a worker to a list command.
struct listing {
    worker_id worker;
    std::uint64_t incarnation = 0;  ///< 0 if the worker does not report it
    std::int64_t clock_ms = 0;
    std::vector<listed_run> running;
    std::vector<listed_end> ended;
};

enum class list_failure {
    fenced,
    other_incarnation,   ///< another worker has the address
    refused,             ///< the worker does not accept the command, or its answer cannot be read
    unanswered,          ///< no answer in time
    connection_lost,     ///< the connection ended without an answer
    connection_refused,  ///< which a cut may do as well as a host without the process
};
inline constexpr std::size_t list_failure_count = 6;

/// Message to the instance that owns a job.
using owner_message = std::variant<job_progress, job_result>;

struct owner_notification {
    endpoint owner;
    owner_message message;
};

/// Why a decision was made; for logs and counters.
enum class decision {
    admitted,
    refused_no_worker,
    refused_too_late,
    returned_to_owner,
    started,
    start_failed,
    run_ended,
    run_overdue,
    worker_ejected,
    worker_restored,
    worker_silent,
    worker_back,
    worker_lapsed,
    job_ended,
    orphan_stopped,
    fenced,
    offer_expired,     ///< the offer was in transit for too long
    grant_ended,       ///< no status from the owner in time, or the owner withdrew the offer
    owner_superseded,  ///< the caller has sent the job again through another instance
    owner_admitted,    ///< the owner may have the job started in another pool
    owner_released,    ///< the owner works on the job no longer
    awaits_owner,      ///< the job waits until the runs of its former owner have ended
    worker_crashed,    ///< its process has ended without notice
    task_suspected,    ///< workers were lost under the task, which runs alone on a worker from now on
    task_given_up,     ///< too many workers were lost under the task
    evacuated,         ///< the job was moved or ended because its data centre is evacuated
    waits_for_rack,    ///< tasks of a step wait for a worker near their data
    left_rack,         ///< a task of a step was started elsewhere although its rack has workers
    rack_missing,      ///< no usable worker has the preferred label of a step, which is ignored
};
inline constexpr std::size_t decision_count = 29;

/// Name of a decision in logs and metrics.
std::string_view to_string(decision value);
/// Name of a failure in logs.
std::string_view to_string(list_failure value);
/// Name of a run's end in logs.
std::string_view to_string(run_end value);
/// Name of a job's end in logs and metrics.
std::string_view to_string(job_end value);

/// One decision with the figures behind it.
struct decision_record {
    decision kind = decision::admitted;
    job_id job;
    worker_id worker;
    std::string detail;         ///< outcome or cause
    std::int64_t input_ms = 0;  ///< the deciding time: predicted finish, elapsed run, time without an answer
    std::int64_t limit_ms = 0;  ///< the limit it was compared with
    offer_number offer{};       ///< offer under which the pool holds the job
};

/// True for decisions in the normal course of a job, false for those that explain a failure.
bool is_routine(const decision_record& record);

using action =
    std::variant<start_command, stop_command, list_command, owner_notification, job_losses, decision_record>;

}  // namespace poplarshed::workers

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "common/common.h"

namespace poplarshed::workers {

using worker_id = text_id<struct worker_id_tag>;
/// Names a job to its caller and to workers; chosen by the caller.
using job_id = text_id<struct worker_job_id_tag>;
/// Names a set of workers that one instance holds at a time.
using pool_id = text_id<struct pool_id_tag>;
/// Number of a start of a task; grows with each start.
using run_number = number_id<struct run_number_tag>;
/// Numbers the offers of an instance; grows with each offer, also from one life of the instance to the next.
using offer_number = number_id<struct offer_number_tag>;
/// Workers ignore orders below the highest token that they have seen.
using fencing_token = number_id<struct fencing_token_tag>;

/// What a worker has or a task needs.
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

/// A worker as the directory lists it.
struct worker_entry {
    worker_id id;
    endpoint address;
    service_id service;
    data_centre_id data_centre;
    resources capacity;
    std::vector<std::string> labels;  ///< hardware kind and rack
    bool draining = false;
    std::uint64_t incarnation = 0;  ///< changes when the worker starts anew under its id

    bool operator==(const worker_entry&) const = default;
};

/// Tasks of one step are alike.
struct job_step {
    std::uint32_t tasks = 1;
    resources need;
    milliseconds estimate{};           ///< rough duration of a task on an average worker
    std::vector<std::uint32_t> after;  ///< steps whose tasks must be done first
    std::string preferred_label;       ///< rack of the data; tasks elsewhere take longer
    std::string required_label;        ///< label that the worker must have; empty for none
    std::uint32_t max_per_worker = 0;  ///< tasks of the step on one worker; 0 for no limit

    bool operator==(const job_step&) const = default;
};

/// A job to run, with times relative to the message that carries it.
struct job_offer {
    job_id job;
    endpoint owner;  ///< instance that answers the caller
    pool_id pool;
    service_id service;
    std::string payload;
    std::vector<job_step> steps;
    std::uint32_t priority = 0;                  ///< 0 is the most urgent
    std::uint32_t max_attempts = 1;              ///< runs of a task that may fail
    milliseconds age{};                          ///< since the caller's request arrived
    milliseconds objective{};                    ///< response time that the caller counts as in time
    milliseconds deadline{};                     ///< response time after which the caller has left
    std::uint32_t returns = 0;                   ///< pools that have returned the job
    bool may_have_run = false;                   ///< a former holder may have started tasks
    std::vector<std::uint32_t> uncertain_tasks;  ///< global numbers of those that it may have started
    milliseconds uncertain_for{};  ///< after this time their runs have ended, unless a worker lists them
    std::vector<std::uint32_t> done_tasks;  ///< global task numbers that are known to be done
    offer_number number{};                  ///< of this offer; a job that is offered again gets a new one
    milliseconds echoed_clock{};            ///< clock of the holder, as the owner had it last

    bool operator==(const job_offer&) const = default;
};

/// Message: tasks of a job that ended as done, or that its first start was sent.
struct job_progress {
    job_id job;
    std::vector<std::uint32_t> done_tasks;

    bool operator==(const job_progress&) const = default;
};

enum class job_end : std::uint8_t {
    completed,
    failed,    ///< a task used up its attempts
    refused,   ///< nothing has run and the job cannot be served in time
    returned,  ///< nothing has run and another pool would serve it sooner
    gave_up,   ///< tasks have run and the rest cannot be served before the deadline
    not_held,  ///< the receiver does not hold the pool, or has given the job up
};
inline constexpr std::size_t job_end_count = 6;

/// Message: how a job ended at a pool.
struct job_result {
    job_id job;
    endpoint holder;  ///< that sends it
    job_end end = job_end::completed;
    refusal_reason reason = refusal_reason::internal_error;  ///< where refused or gave_up
    milliseconds retry_after{};                              ///< where refused; 0 for none
    bool may_have_run = true;                                ///< where not_held: a start was sent
    std::vector<std::uint32_t> uncertain_tasks;              ///< where not_held: tasks that may run
    offer_number number{};                                   ///< of the offer that it answers

    bool operator==(const job_result&) const = default;
};

/// Message: the caller has left, or another pool has the job.
struct job_cancel {
    job_id job;
    endpoint owner;
    offer_number number{};  ///< ends this offer and earlier ones, not a later one

    bool operator==(const job_cancel&) const = default;
};

/// What a pool can take, for the choice between pools.
struct pool_load {
    pool_id pool;
    service_id service;
    fencing_token token;
    std::int64_t capacity_cpu = 0;    ///< thousandths of a core, of workers that can be used
    std::int64_t free_cpu = 0;        ///< of whole tasks that would start at once
    std::int64_t running_cpu_ms = 0;  ///< work left in what runs
    std::int64_t waiting_cpu_ms = 0;  ///< work that waits and can still be in time
    std::int64_t overdue_cpu_ms = 0;  ///< work that waits behind it

    bool operator==(const pool_load&) const = default;
};

/// Message: sent to other instances at intervals; also the sign of life.
struct instance_status {
    endpoint address;
    data_centre_id data_centre;
    std::int64_t cpu_milli = 0;  ///< processor share of the instance, in thousandths of a core
    bool leaving = false;
    bool directory_current = false;  ///< the sender hears of changes, from the store or from a source
    std::uint64_t configuration_version = 0;
    std::uint64_t directory_sequence = 0;  ///< number of the sender's last change of the directory
    std::vector<pool_load> pools;          ///< that the sender holds
    milliseconds next_status_within{};     ///< the receiver gets the next status within this time
    bool directory_source = false;         ///< the sender watches the store and passes changes on
    milliseconds clock{};                  ///< of the sender
    milliseconds echoed_clock{};           ///< clock of the receiver, as the sender had it last
    std::vector<offer_number> offers;      ///< of the sender, in force at the receiver; ascending
    offer_number last_offer{};             ///< later offers of the sender are not in the list yet

    bool operator==(const instance_status&) const = default;
};

/// One item of the store, as an instance relays it. An empty value stands for a removed item.
struct directory_item {
    std::string key;
    std::uint64_t revision = 0;
    std::string value;

    bool operator==(const directory_item&) const = default;
};

/// Message: asks for the items that changed since a sequence number of the receiver; 0: all of them.
struct directory_pull {
    endpoint from;
    std::uint64_t since = 0;

    bool operator==(const directory_pull&) const = default;
};

/// Message: the items that changed since the sequence number of the pull.
struct directory_push {
    endpoint source;
    std::uint64_t sequence = 0;  ///< of the source's last change
    std::uint64_t revision = 0;  ///< greatest of the source's items
    bool complete = false;       ///< all items; those that are missing are gone
    std::vector<directory_item> items;

    bool operator==(const directory_push&) const = default;
};

/// A task of a job.
struct task_ref {
    job_id job;
    std::uint32_t step = 0;
    std::uint32_t index = 0;  ///< within the step

    auto operator<=>(const task_ref&) const = default;
};

/// Where an order goes: one incarnation of a worker.
struct command_target {
    worker_id worker;
    endpoint address;

    bool operator==(const command_target&) const = default;
};

/// Order: start a task.
struct start_command {
    command_target target;
    task_ref task;
    run_number run;
    std::string payload;
    std::int64_t lease_until_ms = 0;  ///< on the worker's clock; a start that arrives later is rejected
    fencing_token token;

    bool operator==(const start_command&) const = default;
};

/// Order: stop a run, and reject it if it is not there yet.
struct stop_command {
    command_target target;
    task_ref task;
    run_number run;
    fencing_token token;

    bool operator==(const stop_command&) const = default;
};

/// Order: list runs and ends, acknowledge ends, and prolong the lease of everything that runs there.
struct list_command {
    command_target target;
    std::optional<std::int64_t> lease_until_ms;  ///< on the worker's clock; absent: the lease stays as it is
    std::uint64_t acknowledged = 0;              ///< ends up to this number
    milliseconds wait{};                         ///< the worker answers early when a run ends
    fencing_token token;

    bool operator==(const list_command&) const = default;
};

enum class start_outcome {
    started,
    fenced,      ///< another holder has a higher token
    superseded,  ///< the worker has seen a higher run number of the task
    expired,     ///< the lease time had passed on the worker's clock
    no_room,
    no_ticket,
    unhealthy,  ///< the worker did nothing
    other_incarnation,
    rejected,     ///< the worker does not accept the order as it is
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

enum class run_end { done, failed, stopped, lapsed, peer_ended, peers_missing };
inline constexpr std::size_t run_end_count = 6;

struct listed_run {
    task_ref task;
    run_number run;
    int percent = 0;
};

struct listed_end {
    std::uint64_t number = 0;
    task_ref task;
    run_number run;
    run_end how = run_end::lapsed;
};

/// Answer of a worker to a list order.
struct listing {
    worker_id worker;
    std::uint64_t incarnation = 0;  ///< 0 where the worker does not tell
    std::int64_t clock_ms = 0;
    std::vector<listed_run> running;
    std::vector<listed_end> ended;
};

enum class list_failure { fenced, other_incarnation, refused, unanswered };

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
    offer_expired,  ///< it was on its way for too long
    grant_ended,    ///< no news of the owner, or it has withdrawn the offer
};
inline constexpr std::size_t decision_count = 18;

/// Name of a decision in logs and metrics.
std::string_view to_string(decision value);
/// Name of a run's end in logs.
std::string_view to_string(run_end value);
/// Name of a job's end in logs and metrics.
std::string_view to_string(job_end value);

/// One decision with the figures behind it.
struct decision_record {
    decision what = decision::admitted;
    job_id job;
    worker_id worker;
    std::string detail;         ///< outcome or cause
    std::int64_t input_ms = 0;  ///< the time that decided: predicted finish, elapsed run, silence
    std::int64_t limit_ms = 0;  ///< what it was compared with
    offer_number offer{};       ///< under which the job is here
};

/// True for what happens to every job that ends well, false for what explains a failed one.
bool is_routine(const decision_record& record);

using action = std::variant<start_command, stop_command, list_command, owner_notification, decision_record>;

}  // namespace poplarshed::workers

#pragma once

#include <cstddef>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

#include "common/common.h"
#include "dispatch/types.h"

namespace poplarshed::jobs {

/// Identifies an HTTP request that waits for an answer; unique within the process.
using caller_id = number_id<struct caller_id_tag>;

/// A job as submitted by a caller.
struct job_submission {
    submission_id submission;
    service_id service;
    workspace_id workspace;
    std::optional<milliseconds> time_limit;  ///< from the arrival; the service's deadline if absent
    digest body;  ///< digest of service, workspace and body; identifies the content
    std::vector<dispatch::task_request> tasks;
    /// The caller declares that it has not sent this id before, so no part of the job can have run.
    bool first_send = false;
};

/// An outcome retained so that resubmissions get the same answer.
using shared_outcome = std::shared_ptr<const dispatch::job_outcome>;

/// Receiver of the outcome: a caller of this instance, or a peer that follows the job for its own callers.
using waiter = std::variant<caller_id, instance_id>;

/// Progress of a submission at this instance.
enum class stage {
    claiming,   ///< waits for the decision of the registrars
    running,    ///< this instance owns the job
    following,  ///< another instance owns the job
    finished,   ///< the outcome is known; it may have been evicted
};

/// State of one submission at this instance.
struct submission {
    job_submission job;
    jobs::stage stage = jobs::stage::claiming;
    time_point arrival;
    time_point deadline;
    std::vector<waiter> waiters;
    job_key key;                                          ///< while running
    instance_id owner;                                    ///< while following
    time_point next_follow_request;                       ///< while following
    std::uint32_t repeated_claims = 0;                    ///< because the owner no longer had the job
    bool may_have_run_before = false;                     ///< an earlier owner may have started the job
    shared_outcome outcome;                               ///< once finished, unless evicted
    std::optional<dispatch::job_failed> eviction_answer;  ///< replaces an evicted outcome
};

/// Limits on the outcomes retained for resubmissions.
struct replay_limits {
    std::size_t max_bytes = std::size_t{16} * 1024 * 1024;  ///< of outcomes; beyond it the oldest are evicted
    std::size_t max_entries = 500'000;                      ///< finished submissions, including evicted ones
    duration retention = std::chrono::minutes(10);          ///< after which a finished submission is removed
};

/// Submissions in progress at this instance and those that finished within the retention time. No I/O; every
/// call belongs to the core thread.
class submission_table {
public:
    explicit submission_table(replay_limits limits) : m_limits(limits) {}

    /// @returns the submission, or nullptr; the pointer is valid until the submission is erased
    submission* find(const submission_id& id);
    /// Adds a submission whose id is not in the table.
    submission& add(job_submission job, time_point arrival, time_point deadline);
    /// Removes a submission that is not finished, such as one that was not run.
    void erase(const submission_id& id);
    /// Stores the outcome and starts the retention time. The calling code must have answered the waiters.
    void finish(submission& finished, shared_outcome outcome, time_point now);
    /// Removes the submissions that finished longer ago than the retention time.
    void expire(time_point now);
    /// Calls `action` for each submission in the given stage, which must not be `finished`. `action` must not
    /// add, finish or erase submissions. Visits only those in progress, since the finished ones outnumber
    /// them by far.
    template <class Action>
    void for_each(stage wanted, Action action)
    {
        for (submission* candidate : m_in_progress) {
            if (candidate->stage == wanted) {
                action(*candidate);
            }
        }
    }

    std::size_t size() const { return m_submissions.size(); }
    std::size_t in_progress() const { return m_in_progress.size(); }
    /// Approximate memory of the retained outcomes.
    std::size_t kept_bytes() const { return m_kept_bytes; }
    std::size_t evicted_count() const { return m_evicted_count; }

private:
    struct finished_entry {
        submission_id id;
        time_point finished_at;
        std::size_t bytes = 0;
    };

    void enforce_limits();
    void remove_oldest();

    replay_limits m_limits;
    std::unordered_map<submission_id, submission> m_submissions;
    std::unordered_set<submission*> m_in_progress;  // elements of the map keep their addresses
    std::list<finished_entry> m_finished;           // oldest first
    std::list<finished_entry>::iterator m_first_kept = m_finished.end();  // oldest one with its outcome
    std::size_t m_kept_bytes = 0;
    std::size_t m_evicted_count = 0;
};

/// Approximate memory of an outcome in bytes.
std::size_t outcome_bytes(const dispatch::job_outcome& outcome);
/// @returns true if the verdict states that no part of the job ran
bool is_not_run(const dispatch::job_outcome& outcome);
/// Replaces the verdict of a failed or refused job; no effect on a complete one.
void set_verdict(dispatch::job_outcome& outcome, verdict ran);
/// Outcome of a job that was refused before it started here.
dispatch::job_outcome refused(verdict ran, refusal_reason reason, std::string detail = {},
                              std::optional<milliseconds> retry_after = {});
/// Outcome of a job that failed after it may have started.
dispatch::job_outcome failed(verdict ran, refusal_reason reason, std::string detail = {});

}  // namespace poplarshed::jobs

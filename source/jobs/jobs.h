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

/// One HTTP request that waits for an answer; unique within a process.
using caller_id = number_id<struct caller_id_tag>;

/// A job as a caller sent it.
struct job_submission {
    submission_id submission;
    service_id service;
    workspace_id workspace;
    std::optional<milliseconds> time_limit;  ///< from arrival; the service's deadline if absent
    digest body;                             ///< of service, workspace and body: the identity of the job
    std::vector<dispatch::task_request> tasks;
    /// The caller states that it sends this id for the first time, so that nothing of it can have run before.
    bool first_send = false;
};

/// An outcome that is kept so that resubmissions get the same answer.
using shared_outcome = std::shared_ptr<const dispatch::job_outcome>;

/// Who is told the outcome: a caller of this instance, or a peer that follows the job for its own callers.
using waiter = std::variant<caller_id, instance_id>;

enum class stage {
    claiming,   ///< waits for the registrars of the id
    running,    ///< this instance owns the job
    following,  ///< another instance owns the job
    finished,   ///< the outcome is known here; it may have been evicted
};

/// What this instance knows of one submission.
struct submission {
    job_submission job;
    jobs::stage stage = jobs::stage::claiming;
    time_point arrival;
    time_point deadline;
    std::vector<waiter> waiters;
    job_key key;                       ///< while running
    instance_id owner;                 ///< while following
    time_point next_follow;            ///< while following: when the request to the owner is repeated
    std::uint32_t reclaims = 0;        ///< claims repeated because the owner no longer knew the job
    bool may_have_run_before = false;  ///< an earlier owner may have started the job
    shared_outcome outcome;            ///< once finished, unless evicted
    std::optional<dispatch::job_failed> evicted;  ///< answer in place of an evicted outcome
};

/// Bounds of the answers kept for resubmissions.
struct replay_limits {
    std::size_t max_bytes = std::size_t{16} * 1024 * 1024;  ///< of outcomes; the oldest are evicted first
    std::size_t max_entries = 500'000;  ///< of finished submissions, with or without their outcome
    duration retention = std::chrono::minutes(10);
};

/// Submissions known to this instance: those in progress and those finished within the retention time.
/// No I/O; every call belongs to the core thread.
class submission_table {
public:
    explicit submission_table(replay_limits limits) : m_limits(limits) {}

    /// @returns the submission or nullptr; valid until the next call that erases
    submission* find(const submission_id& id);
    /// Adds a submission that is not yet known.
    submission& add(job_submission job, time_point arrival, time_point deadline);
    /// Forgets a submission, for one that was not run.
    void erase(const submission_id& id);
    /// Records the outcome and starts the retention time. The caller answers the waiters.
    void finish(submission& item, shared_outcome outcome, time_point now);
    /// Erases what is older than the retention time.
    void expire(time_point now);
    /// Calls `action` for each submission in progress that is in the stage. `action` must not add, finish or
    /// erase. Costs nothing for the finished ones, which outnumber those in progress by far.
    template <class Action>
    void for_each(stage wanted, Action action)
    {
        for (submission* item : m_in_progress) {
            if (item->stage == wanted) {
                action(*item);
            }
        }
    }

    std::size_t size() const { return m_items.size(); }
    std::size_t in_progress() const { return m_in_progress.size(); }
    std::size_t kept_bytes() const { return m_kept_bytes; }
    std::size_t evicted_count() const { return m_evicted_count; }

private:
    struct finished_entry {
        submission_id id;
        time_point time;
        std::size_t bytes = 0;
    };

    void evict_to_bounds();
    void drop_oldest();

    replay_limits m_limits;
    std::unordered_map<submission_id, submission> m_items;
    std::unordered_set<submission*> m_in_progress;  // addresses of map elements stay valid
    std::list<finished_entry> m_finished;           // oldest first
    std::list<finished_entry>::iterator m_first_kept =
        m_finished.end();  // oldest whose outcome is still kept
    std::size_t m_kept_bytes = 0;
    std::size_t m_evicted_count = 0;
};

/// Approximate memory of an outcome in bytes.
std::size_t outcome_bytes(const dispatch::job_outcome& outcome);
/// True if the outcome promises that nothing of the job ran.
bool is_not_run(const dispatch::job_outcome& outcome);
/// Replaces the verdict of an outcome that is not complete.
void set_verdict(dispatch::job_outcome& outcome, verdict ran);
/// Outcome of a job refused before it started.
dispatch::job_outcome refused(verdict ran, refusal_reason reason, std::string detail = {},
                              std::optional<milliseconds> retry_after = {});
/// Outcome of a job that failed after it may have started.
dispatch::job_outcome failed(verdict ran, refusal_reason reason, std::string detail = {});

}  // namespace poplarshed::jobs

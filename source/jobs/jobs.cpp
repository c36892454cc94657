#include "jobs/jobs.h"

#include <utility>

namespace poplarshed::jobs {

namespace {

// Approximate memory of a finished submission without its results.
constexpr std::size_t entry_overhead_bytes = 256;

struct byte_counter {
    std::size_t operator()(const dispatch::job_complete& outcome) const
    {
        std::size_t bytes = entry_overhead_bytes;
        for (const std::string& result : outcome.results) {
            bytes += sizeof(std::string) + result.size();
        }
        return bytes;
    }
    std::size_t operator()(const dispatch::job_failed& outcome) const
    {
        return entry_overhead_bytes + outcome.cause.detail.size();
    }
    std::size_t operator()(const dispatch::job_refused& outcome) const
    {
        return entry_overhead_bytes + outcome.cause.detail.size();
    }
};

struct not_run_test {
    bool operator()(const dispatch::job_complete& /*outcome*/) const { return false; }
    bool operator()(const dispatch::job_failed& outcome) const
    {
        return outcome.cause.ran == verdict::not_run;
    }
    bool operator()(const dispatch::job_refused& outcome) const
    {
        return outcome.cause.ran == verdict::not_run;
    }
};

// Short answer in place of an evicted outcome: a complete job is reported as run, a failed one with its
// verdict and reason.
std::optional<dispatch::job_failed> make_eviction_answer(const dispatch::job_outcome& outcome)
{
    if (const auto* failure = std::get_if<dispatch::job_failed>(&outcome)) {
        return dispatch::job_failed{{failure->cause.ran, failure->cause.reason, {}, {}}, failure->task};
    }
    return dispatch::job_failed{{verdict::ran, refusal_reason::answer_expired, {}, {}}, {}};
}

}  // namespace

submission* submission_table::find(const submission_id& id)
{
    const auto found = m_submissions.find(id);
    return found == m_submissions.end() ? nullptr : &found->second;
}

submission& submission_table::add(job_submission job, time_point arrival, time_point deadline)
{
    const submission_id id = job.submission;
    submission& added = m_submissions[id];
    added.job = std::move(job);
    added.arrival = arrival;
    added.deadline = deadline;
    m_in_progress.insert(&added);
    return added;
}

void submission_table::erase(const submission_id& id)
{
    const auto found = m_submissions.find(id);
    if (found != m_submissions.end()) {
        m_in_progress.erase(&found->second);
        m_submissions.erase(found);
    }
}

void submission_table::finish(submission& finished, shared_outcome outcome, time_point now)
{
    finished.stage = stage::finished;
    m_in_progress.erase(&finished);
    finished.job.tasks = {};
    finished.waiters = {};
    const std::size_t bytes = outcome_bytes(*outcome);
    finished.outcome = std::move(outcome);
    m_kept_bytes += bytes;
    const auto added = m_finished.insert(m_finished.end(), {finished.job.submission, now, bytes});
    if (m_first_kept == m_finished.end()) {
        m_first_kept = added;
    }
    enforce_limits();
}

void submission_table::expire(time_point now)
{
    while (!m_finished.empty() && now - m_finished.front().finished_at >= m_limits.retention) {
        remove_oldest();
    }
}

void submission_table::enforce_limits()
{
    while (m_kept_bytes > m_limits.max_bytes && m_first_kept != m_finished.end()) {
        submission& oldest = m_submissions.at(m_first_kept->id);
        oldest.eviction_answer = make_eviction_answer(*oldest.outcome);
        oldest.outcome.reset();
        m_kept_bytes -= m_first_kept->bytes;
        ++m_evicted_count;
        ++m_first_kept;
    }
    while (m_finished.size() > m_limits.max_entries) {
        remove_oldest();
    }
}

void submission_table::remove_oldest()
{
    if (m_first_kept == m_finished.begin()) {
        m_kept_bytes -= m_first_kept->bytes;
        ++m_first_kept;
    }
    m_submissions.erase(m_finished.front().id);
    m_finished.pop_front();
}

std::size_t outcome_bytes(const dispatch::job_outcome& outcome)
{
    return std::visit(byte_counter{}, outcome);
}

bool is_not_run(const dispatch::job_outcome& outcome)
{
    return std::visit(not_run_test{}, outcome);
}

void set_verdict(dispatch::job_outcome& outcome, verdict ran)
{
    if (auto* failure = std::get_if<dispatch::job_failed>(&outcome)) {
        failure->cause.ran = ran;
    } else if (auto* refusal = std::get_if<dispatch::job_refused>(&outcome)) {
        refusal->cause.ran = ran;
    }
}

dispatch::job_outcome refused(verdict ran, refusal_reason reason, std::string detail,
                              std::optional<milliseconds> retry_after)
{
    return dispatch::job_refused{{ran, reason, retry_after, std::move(detail)}};
}

dispatch::job_outcome failed(verdict ran, refusal_reason reason, std::string detail)
{
    return dispatch::job_failed{{ran, reason, {}, std::move(detail)}, {}};
}

}  // namespace poplarshed::jobs

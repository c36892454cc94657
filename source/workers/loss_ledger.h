#pragma once

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

#include "common/clock.h"
#include "workers/types.h"

namespace poplarshed::workers {

/// Remembers the workers that were lost under the tasks of a job, also after the job has ended: a caller that
/// got no answer sends it again, through any instance. Losses are identified by the worker's incarnation, so
/// that reports of one loss by several instances count once. Not thread-safe; no I/O.
class loss_ledger {
public:
    /// @returns true if anything was new
    bool add(time_point now, const job_id& job, const std::vector<task_loss>& losses);
    /// Known losses under tasks of the job, ascending.
    std::vector<task_loss> find(const job_id& job) const;
    std::size_t job_count() const { return m_jobs.size(); }

private:
    void forget_old(time_point now);

    struct first_loss {
        time_point at;
        job_id job;
    };

    std::unordered_map<job_id, std::vector<task_loss>> m_jobs;
    std::deque<first_loss> m_order;  ///< of the jobs, in order of time
};

}  // namespace poplarshed::workers

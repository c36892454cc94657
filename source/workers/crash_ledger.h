#pragma once

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

#include "common/clock.h"
#include "workers/types.h"

namespace poplarshed::workers {

/// Remembers the workers that have crashed under the tasks of a job, also after the job has ended: a caller
/// that got no answer sends it again, through any instance. Crashes are identified by the worker's
/// incarnation, so that reports of one crash by several instances count once. Not thread-safe; no I/O.
class crash_ledger {
public:
    /// @returns true if a crash was not known
    bool add(time_point now, const job_id& job, const std::vector<task_crash>& crashes);
    /// Known crashes under tasks of the job, ascending.
    std::vector<task_crash> find(const job_id& job) const;
    std::size_t job_count() const { return m_jobs.size(); }

private:
    void forget_old(time_point now);

    struct first_crash {
        time_point at;
        job_id job;
    };

    std::unordered_map<job_id, std::vector<task_crash>> m_jobs;
    std::deque<first_crash> m_order;  ///< of the jobs, in order of time
};

}  // namespace poplarshed::workers

#include <algorithm>

#include "workers/pool.h"

namespace poplarshed::workers {

void pool::learn_needs(const job_offer& offer)
{
    if (offer.order == owner_order::only) {
        return;
    }
    for (const job_step& step : offer.steps) {
        m_needs.observe(step.need.cpu_milli, step.tasks);
    }
}

// The capacity of a worker whose entry is of another incarnation is not known.
bool pool::can_ever_fit(const resources& need) const
{
    return std::any_of(m_workers.begin(), m_workers.end(), [&need](const auto& item) {
        const worker_record& worker = item.second;
        const bool described = worker.entry.incarnation == 0 || worker.incarnation == 0 ||
                               worker.entry.incarnation == worker.incarnation;
        return worker.present && (!described || worker.entry.capacity.fits(need));
    });
}

bool pool::refuse_oversized(time_point now, const job_record& job)
{
    const bool any_present =
        std::any_of(m_workers.begin(), m_workers.end(), [](const auto& item) { return item.second.present; });
    // A job that is only ordered here runs in another pool.
    const bool runs_here = job.offer.order != owner_order::only && !m_evacuated_at;
    if (!m_directory_complete || !any_present || !runs_here) {
        return false;
    }
    const auto& steps = job.offer.steps;
    const auto oversized = std::find_if(steps.begin(), steps.end(),
                                        [this](const job_step& step) { return !can_ever_fit(step.need); });
    if (oversized == steps.end()) {
        return false;
    }
    const bool elsewhere = std::any_of(m_other_pools.begin(), m_other_pools.end(),
                                       [](const pool_load& other) { return other.capacity_cpu > 0; });
    if (elsewhere && job.offer.returns < max_returns) {
        record(decision::returned_to_owner, job.offer.job, {}, "greater than every worker");
        pass_on(job);
        return true;
    }
    refuse(now, job, refusal_reason::impossible, {}, {});
    return true;
}

}  // namespace poplarshed::workers

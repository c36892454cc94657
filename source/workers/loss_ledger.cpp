#include "workers/loss_ledger.h"

namespace poplarshed::workers {

namespace {

// Longer than callers send a job again after its last attempt.
constexpr std::chrono::minutes retention{10};
// Bounds the memory to about 2 MB.
constexpr std::size_t max_jobs = 8192;

}  // namespace

bool loss_ledger::add(time_point now, const job_id& job, const std::vector<task_loss>& losses)
{
    if (losses.empty()) {
        return false;
    }
    const auto [position, is_new] = m_jobs.try_emplace(job);
    const bool added = merge_losses(position->second, losses);
    if (is_new) {
        m_order.push_back({now, job});
        forget_old(now);
    }
    return added;
}

std::vector<task_loss> loss_ledger::find(const job_id& job) const
{
    const auto found = m_jobs.find(job);
    return found == m_jobs.end() ? std::vector<task_loss>() : found->second;
}

void loss_ledger::forget_old(time_point now)
{
    while (!m_order.empty() && (m_order.size() > max_jobs || now > m_order.front().at + retention)) {
        m_jobs.erase(m_order.front().job);
        m_order.pop_front();
    }
}

}  // namespace poplarshed::workers

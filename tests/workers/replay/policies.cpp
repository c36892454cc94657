#include "replay/policies.h"

#include <cmath>
#include <map>
#include <optional>

#include "../pool_fixture.h"
#include "../virtual_workers.h"

namespace poplarshed::workers::replay {

namespace {

// Maximum time that a job may continue after the end of the trace.
constexpr milliseconds drain_time{6000};

/// Serves jobs in a fixed order, task by task, on the first worker with free capacity. A task that fits
/// nowhere blocks the later ones.
class ordered_queue {
public:
    ordered_queue(const trace& day, const std::vector<arrival>& jobs, bool by_priority)
        : m_day(day), m_jobs(jobs), m_by_priority(by_priority)
    {
        for (std::size_t worker = 0; worker < day.workers; ++worker) {
            m_free.push_back(capacity_of(day, worker));
        }
    }

    in_time serve()
    {
        in_time served(m_jobs.size());
        std::size_t next = 0;
        for (milliseconds now{}; now < m_day.length + drain_time; ++now) {
            for (; next < m_jobs.size() && m_jobs[next].at <= now; ++next) {
                const job_kind& kind = m_day.kinds[m_jobs[next].kind];
                m_waiting.emplace(std::pair(m_by_priority ? kind.priority : 0, next), kind.tasks);
                m_left[next] = kind.tasks;
            }
            end_runs(now, served);
            start_tasks(now);
        }
        return served;
    }

private:
    struct run {
        std::size_t job = 0;
        std::size_t worker = 0;
    };

    void end_runs(milliseconds now, in_time& served)
    {
        while (!m_runs.empty() && m_runs.begin()->first <= now) {
            const run ended = m_runs.begin()->second;
            m_runs.erase(m_runs.begin());
            const job_kind& kind = m_day.kinds[m_jobs[ended.job].kind];
            m_free[ended.worker] += task_cpu(m_day, m_jobs[ended.job]);
            if (--m_left[ended.job] == 0) {
                served[ended.job] = now - m_jobs[ended.job].at <= kind.objective;
            }
        }
    }

    void start_tasks(milliseconds now)
    {
        while (!m_waiting.empty()) {
            const auto head = m_waiting.begin();
            const std::size_t job = head->first.second;
            const std::int64_t cpu = task_cpu(m_day, m_jobs[job]);
            const auto worker = find_room(now, cpu);
            if (!worker) {
                return;
            }
            m_free[*worker] -= cpu;
            const milliseconds work = task_work(m_day, m_jobs[job])[head->second - 1];
            const auto duration = static_cast<double>(work.count()) * slowness_at(m_day, *worker, now);
            m_runs.emplace(now + milliseconds(static_cast<std::int64_t>(duration)), run{job, *worker});
            if (--head->second == 0) {
                m_waiting.erase(head);
            }
        }
    }

    std::optional<std::size_t> find_room(milliseconds now, std::int64_t cpu) const
    {
        for (std::size_t worker = 0; worker < m_free.size(); ++worker) {
            if (m_free[worker] >= cpu && slowness_at(m_day, worker, now) > 0) {
                return worker;
            }
        }
        return std::nullopt;
    }

    const trace& m_day;
    const std::vector<arrival>& m_jobs;
    bool m_by_priority;
    std::vector<std::int64_t> m_free;                                          ///< by worker
    std::map<std::pair<std::uint32_t, std::size_t>, std::uint32_t> m_waiting;  ///< tasks not started
    std::map<std::size_t, std::uint32_t> m_left;                               ///< tasks not ended, by job
    std::multimap<milliseconds, run> m_runs;                                   ///< by end
};

/// Factor on the durations of a worker without faults.
double base_slowness(const trace& day, std::size_t worker)
{
    return day.worker_slowness[worker % day.worker_slowness.size()];
}

void set_faults(const trace& day, milliseconds now, test::virtual_site& site)
{
    for (const worker_fault& fault : day.faults) {
        const bool begins = now == fault.at;
        if (!begins && now != fault.at + fault.length) {
            continue;
        }
        for (std::size_t i = fault.first; i < std::min(fault.first + fault.count, day.workers); ++i) {
            test::worker_behaviour& worker = site.behaviour(i);
            const bool slow = begins && fault.what == worker_fault::kind::slow;
            worker.slowness = base_slowness(day, i) * (slow ? fault.factor : 1);
            worker.unreachable = begins && fault.what == worker_fault::kind::silent;
            worker.fails = begins && fault.what == worker_fault::kind::fails;
        }
    }
}

job_offer offer_of(const trace& day, const arrival& job, std::size_t number)
{
    const job_kind& kind = day.kinds[job.kind];
    const auto estimate = static_cast<double>(kind.work.count()) * job.estimate_factor;
    job_offer offer = test::pool_fixture::offer("replay-" + std::to_string(number), kind.tasks,
                                                milliseconds(std::llround(estimate)));
    offer.steps[0].need = {task_cpu(day, job), 64, 0};
    offer.objective = kind.objective;
    offer.deadline = kind.deadline;
    offer.priority = kind.priority;
    return offer;
}

}  // namespace

in_time serve_with_pool(const trace& day, const std::vector<arrival>& jobs)
{
    test::virtual_site site(day.workers, 1, day.worker_cpu);
    for (std::size_t worker = 0; worker < day.workers; ++worker) {
        site.behaviour(worker).slowness = base_slowness(day, worker);
    }
    std::size_t next = 0;
    for (milliseconds now{}; now < day.length + drain_time; ++now) {
        set_faults(day, now, site);
        for (; next < jobs.size() && jobs[next].at <= now; ++next) {
            site.offer(offer_of(day, jobs[next], next), task_work(day, jobs[next]));
        }
        site.advance(milliseconds(1));
    }
    in_time served(jobs.size());
    for (std::size_t i = 0; i < jobs.size(); ++i) {
        const auto found = site.outcomes().find(job_id("replay-" + std::to_string(i)));
        served[i] = found != site.outcomes().end() && found->second.result.end == job_end::completed &&
                    found->second.after <= day.kinds[jobs[i].kind].objective;
    }
    return served;
}

in_time serve_in_order(const trace& day, const std::vector<arrival>& jobs)
{
    return ordered_queue(day, jobs, false).serve();
}

in_time serve_by_priority(const trace& day, const std::vector<arrival>& jobs)
{
    return ordered_queue(day, jobs, true).serve();
}

}  // namespace poplarshed::workers::replay

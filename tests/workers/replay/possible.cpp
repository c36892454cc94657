#include <algorithm>
#include <cmath>
#include <numeric>

#include "replay/policies.h"

namespace poplarshed::workers::replay {

namespace {

// Arrivals and objectives are rounded to windows in favour of the job, so that the result remains an upper
// bound.
constexpr milliseconds window{100};

/// Remaining processor time between each pair of windows.
class free_time {
public:
    free_time(const trace& day, std::size_t windows) : m_windows(windows), m_left(windows * windows)
    {
        std::vector<double> capacity(windows);
        for (std::size_t i = 0; i < windows; ++i) {
            for (std::size_t worker = 0; worker < day.workers; ++worker) {
                const double slowness = slowness_at(day, worker, window * static_cast<std::int64_t>(i));
                capacity[i] += slowness > 0
                                   ? static_cast<double>(capacity_of(day, worker) * window.count()) / slowness
                                   : 0;
            }
        }
        for (std::size_t first = 0; first < windows; ++first) {
            double sum = 0;
            for (std::size_t last = first; last < windows; ++last) {
                sum += capacity[last];
                m_left[first * windows + last] = sum;
            }
        }
    }

    /// Allocates as much of the wanted time between two windows as the previous jobs leave free. By Hall's
    /// condition a set of jobs fits if, for each pair of windows, the jobs that must run between them fit.
    /// @returns the allocated time
    double take(std::size_t first, std::size_t last, double wanted)
    {
        double granted = wanted;
        for_each_around(first, last, [&granted](double& left) { granted = std::min(granted, left); });
        for_each_around(first, last, [granted](double& left) { left -= granted; });
        return granted;
    }

private:
    template <class Call>
    void for_each_around(std::size_t first, std::size_t last, Call call)
    {
        for (std::size_t from = 0; from <= first; ++from) {
            for (std::size_t until = last; until < m_windows; ++until) {
                call(m_left[from * m_windows + until]);
            }
        }
    }

    std::size_t m_windows;
    std::vector<double> m_left;  ///< by first and last window
};

/// Lowest factor on durations of any worker.
double least_slowness(const trace& day)
{
    return *std::min_element(day.worker_slowness.begin(), day.worker_slowness.end());
}

/// False if a task of the job exceeds the objective even on the fastest worker.
bool can_be_in_time(const trace& day, const arrival& job, double fastest)
{
    const std::vector<milliseconds> work = task_work(day, job);
    const auto longest = static_cast<double>(std::max_element(work.begin(), work.end())->count());
    return longest * fastest <= static_cast<double>(day.kinds[job.kind].objective.count());
}

}  // namespace

// Serves jobs in order of worth per processor time. The feasible allocations form a polymatroid, for which
// this greedy order is optimal.
double possible_worth(const trace& day, const std::vector<arrival>& jobs)
{
    milliseconds longest{};
    for (const job_kind& kind : day.kinds) {
        longest = std::max(longest, kind.objective);
    }
    free_time free(day, static_cast<std::size_t>((day.length + longest) / window) + 1);
    std::vector<std::size_t> order(jobs.size());
    std::iota(order.begin(), order.end(), 0);
    const auto density = [&](std::size_t index) {
        return day.kinds[jobs[index].kind].worth / static_cast<double>(cpu_ms(day, jobs[index]));
    };
    std::stable_sort(order.begin(), order.end(),
                     [&](std::size_t left, std::size_t right) { return density(left) > density(right); });
    const double fastest = least_slowness(day);
    double sum = 0;
    for (const std::size_t index : order) {
        const arrival& job = jobs[index];
        const job_kind& kind = day.kinds[job.kind];
        if (!can_be_in_time(day, job, fastest)) {
            continue;
        }
        const auto wanted = static_cast<double>(cpu_ms(day, job));
        const double got = free.take(static_cast<std::size_t>(job.at / window),
                                     static_cast<std::size_t>((job.at + kind.objective) / window), wanted);
        sum += kind.worth * got / wanted;
    }
    return sum;
}

double worth_of(const trace& day, const std::vector<arrival>& jobs, const in_time& served)
{
    double sum = 0;
    for (std::size_t i = 0; i < jobs.size(); ++i) {
        sum += served[i] ? day.kinds[jobs[i].kind].worth : 0;
    }
    return sum;
}

}  // namespace poplarshed::workers::replay

#include "dispatch/workload.h"

#include <algorithm>
#include <cmath>

namespace poplarshed::dispatch {

namespace {

/// Run times are log-uniform between these bounds, except for a share of long tasks.
constexpr double min_run_seconds = 0.05;
constexpr double max_run_seconds = 1.0;
/// Share of long tasks, and the bounds of their uniformly distributed run times.
constexpr double tail_share = 0.02;
constexpr double min_tail_seconds = 2.0;
constexpr double max_tail_seconds = 5.0;
constexpr microseconds round_trip_time{1000};

/// Share of the jobs, and the smallest and largest number of their tasks.
struct size_band {
    double part;
    std::uint64_t min_tasks;
    std::uint64_t max_tasks;
};

constexpr size_band bands[] = {{0.50, 1, 1}, {0.30, 2, 8}, {0.17, 10, 40}, {0.03, 100, 400}};

double mean_size()
{
    double sum = 0.0;
    for (const size_band& band : bands) {
        sum += band.part * static_cast<double>(band.min_tasks + band.max_tasks) / 2.0;
    }
    return sum;
}

double mean_run()
{
    const double body = (max_run_seconds - min_run_seconds) / std::log(max_run_seconds / min_run_seconds);
    return (1.0 - tail_share) * body + tail_share * (min_tail_seconds + max_tail_seconds) / 2.0;
}

}  // namespace

workload::workload(const workload_options& options) : m_options(options), m_random(options.seed) {}

std::vector<fake_runner> workload::runners()
{
    std::vector<fake_runner> made(m_options.runners);
    m_capacity = 0.0;
    for (std::size_t i = 0; i < made.size(); ++i) {
        fake_runner& made_runner = made[i];
        made_runner.listed.address = endpoint("10.0.0." + std::to_string(i) + ":9000");
        made_runner.listed.rack = "r" + std::to_string(i / 8);
        made_runner.listed.slots = m_options.slots;
        made_runner.listed.services = {service_id("plain"), service_id("urgent")};
        // Speeds are evenly spaced instead of random, so that seeds differ in arrivals but not in capacity.
        const double step =
            static_cast<double>(i) / static_cast<double>(std::max<std::size_t>(made.size(), 2) - 1);
        made_runner.speed = m_options.least_speed + step * (m_options.greatest_speed - m_options.least_speed);
        if (m_options.faults && i % 10 == 3) {
            made_runner.speed /= 5.0;
        }
        if (m_options.faults && i % 50 == 17) {
            made_runner.mode = runner_mode::failing;
        } else {
            m_capacity += made_runner.speed * made_runner.listed.slots;
        }
    }
    return made;
}

std::size_t workload::job_size()
{
    double draw = m_random.unit();
    for (const size_band& band : bands) {
        if (draw < band.part) {
            return band.min_tasks + m_random.below(band.max_tasks - band.min_tasks + 1);
        }
        draw -= band.part;
    }
    return 1;
}

microseconds workload::run_time()
{
    double run = min_run_seconds * std::pow(max_run_seconds / min_run_seconds, m_random.unit());
    if (m_random.unit() < tail_share) {
        run = min_tail_seconds + m_random.unit() * (max_tail_seconds - min_tail_seconds);
    }
    return microseconds(static_cast<std::int64_t>(run * 1e6));
}

job_request workload::job(const workspace_id& workspace, const service_id& service, time_point now,
                          duration deadline)
{
    job_request made;
    made.key = job_key(++m_last_job);
    made.submission = submission_id("s" + std::to_string(m_last_job));
    made.service = service;
    made.workspace = workspace;
    made.arrival = now;
    made.deadline = now + deadline;
    made.tasks.resize(job_size());
    for (task_request& task : made.tasks) {
        task.payload = std::to_string(run_time().count());
    }
    return made;
}

double workload::rate(double load) const
{
    return load * m_capacity / (mean_size() * mean_run());
}

duration workload::gap(double rate)
{
    const double wait = -std::log(1.0 - m_random.unit()) / rate;
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(wait));
}

duration ideal_time(const job_request& job, const std::vector<fake_runner>& runners)
{
    std::vector<double> work;
    for (const task_request& task : job.tasks) {
        work.push_back(std::stod(task.payload) * 1e-6);
    }
    std::sort(work.begin(), work.end(), std::greater<>());
    std::vector<std::priority_queue<double, std::vector<double>, std::greater<>>> busy(runners.size());
    double last = 0.0;
    for (const double seconds_of_work : work) {
        std::size_t best = 0;
        double best_end = 1e9;
        for (std::size_t i = 0; i < runners.size(); ++i) {
            if (runners[i].mode != runner_mode::normal) {
                continue;
            }
            const double begin = busy[i].size() < runners[i].listed.slots ? 0.0 : busy[i].top();
            const double end = begin + seconds_of_work / runners[i].speed;
            if (end < best_end) {
                best_end = end;
                best = i;
            }
        }
        if (busy[best].size() >= runners[best].listed.slots) {
            busy[best].pop();
        }
        busy[best].push(best_end);
        last = std::max(last, best_end);
    }
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(last)) + round_trip_time;
}

configuration::bundle workload_bundle()
{
    configuration::bundle made;
    const service_id plain("plain");
    const service_id urgent("urgent");
    made.version = configuration_version(1);
    configuration::service settings;
    settings.idempotent = true;
    settings.timeout = seconds(30);
    settings.hedge = true;
    settings.urgency = 0;
    made.services[plain] = settings;
    settings.urgency = 9;
    made.services[urgent] = settings;
    for (const char* name : {"t0", "t1", "t2", "t3", "flood"}) {
        made.workspaces[workspace_id(name)] = {.services = {plain, urgent}};
    }
    return made;
}

}  // namespace poplarshed::dispatch

#include "dispatch/workload.h"

#include <algorithm>
#include <cmath>

namespace poplarshed::dispatch {

namespace {

constexpr double least_run = 0.05;
constexpr double greatest_run = 1.0;
constexpr double tail_part = 0.02;
constexpr double least_tail = 2.0;
constexpr double greatest_tail = 5.0;
constexpr microseconds round_trip{1000};

/// Part of the jobs and bounds of their sizes.
struct size_band {
    double part;
    std::uint64_t least;
    std::uint64_t greatest;
};

constexpr size_band bands[] = {{0.50, 1, 1}, {0.30, 2, 8}, {0.17, 10, 40}, {0.03, 100, 400}};

double mean_size()
{
    double sum = 0.0;
    for (const size_band& band : bands) {
        sum += band.part * static_cast<double>(band.least + band.greatest) / 2.0;
    }
    return sum;
}

double mean_run()
{
    const double body = (greatest_run - least_run) / std::log(greatest_run / least_run);
    return (1.0 - tail_part) * body + tail_part * (least_tail + greatest_tail) / 2.0;
}

}  // namespace

workload::workload(const workload_options& options) : m_options(options), m_random(options.seed) {}

std::vector<fake_runner> workload::runners()
{
    std::vector<fake_runner> made(m_options.runners);
    m_capacity = 0.0;
    for (std::size_t i = 0; i < made.size(); ++i) {
        fake_runner& item = made[i];
        item.listed.address = endpoint("10.0.0." + std::to_string(i) + ":9000");
        item.listed.rack = "r" + std::to_string(i / 8);
        item.listed.slots = m_options.slots;
        item.listed.services = {service_id("plain"), service_id("urgent")};
        // Even steps: the three seeds differ in their arrivals, not in the capacity.
        const double step =
            static_cast<double>(i) / static_cast<double>(std::max<std::size_t>(made.size(), 2) - 1);
        item.speed = m_options.least_speed + step * (m_options.greatest_speed - m_options.least_speed);
        if (m_options.faults && i % 10 == 3) {
            item.speed /= 5.0;
        }
        if (m_options.faults && i % 50 == 17) {
            item.mode = runner_mode::failing;
        } else {
            m_capacity += item.speed * item.listed.slots;
        }
    }
    return made;
}

std::size_t workload::job_size()
{
    double draw = m_random.unit();
    for (const size_band& band : bands) {
        if (draw < band.part) {
            return band.least + m_random.below(band.greatest - band.least + 1);
        }
        draw -= band.part;
    }
    return 1;
}

microseconds workload::run_time()
{
    double run = least_run * std::pow(greatest_run / least_run, m_random.unit());
    if (m_random.unit() < tail_part) {
        run = least_tail + m_random.unit() * (greatest_tail - least_tail);
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
    for (const double item : work) {
        std::size_t best = 0;
        double best_end = 1e9;
        for (std::size_t i = 0; i < runners.size(); ++i) {
            if (runners[i].mode != runner_mode::normal) {
                continue;
            }
            const double begin = busy[i].size() < runners[i].listed.slots ? 0.0 : busy[i].top();
            const double end = begin + item / runners[i].speed;
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
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(last)) + round_trip;
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

#pragma once

#include <vector>

#include "dispatch/fake_data_centre.h"

namespace poplarshed::dispatch {

/// Size of the fake data centre and of its load.
struct workload_options {
    std::uint32_t instances = 6;
    std::size_t runners = 50;
    std::uint32_t slots = 8;
    double least_speed = 0.5;
    double greatest_speed = 1.5;
    bool faults = false;  ///< one runner in ten is slower by a factor of 5, one in fifty fails every task
    std::uint64_t seed = 1;
};

/// Generates runners, and jobs of random sizes and run times.
class workload {
public:
    explicit workload(const workload_options& options);

    std::vector<fake_runner> runners();
    /// A job of random size that arrives at `now` and whose deadline is `deadline` later.
    job_request job(const workspace_id& workspace, const service_id& service, time_point now,
                    duration deadline);
    /// Jobs per second that use the part `load` of the data centre's capacity.
    double rate(double load) const;
    /// Random time until the next arrival of a Poisson process with `rate` arrivals per second.
    duration gap(double rate);
    random_source& random() { return m_random; }

private:
    std::size_t job_size();
    microseconds run_time();

    workload_options m_options;
    random_source m_random;
    std::uint64_t m_last_job = 0;
    double m_capacity = 0.0;  ///< seconds of work at speed 1 per second
};

/// Response time of a job on idle runners of known speed: the longest tasks are placed first, each where it
/// finishes first.
duration ideal_time(const job_request& job, const std::vector<fake_runner>& runners);

/// Bundle with the services "plain" and "urgent" for the workspaces "t0" to "t3" and "flood".
configuration::bundle workload_bundle();

}  // namespace poplarshed::dispatch

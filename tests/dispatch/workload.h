#pragma once

#include <vector>

#include "dispatch/fake_data_centre.h"

namespace poplarshed::dispatch {

/// Size of the fake data centre and of its load.
struct workload_options {
    std::uint32_t cores = 6;
    std::size_t runners = 50;
    std::uint32_t slots = 8;
    double least_speed = 0.5;
    double greatest_speed = 1.5;
    bool faults = false;  ///< one runner in ten slower by a factor of 5, one in fifty failing every task
    std::uint64_t seed = 1;
};

/// Draws runners, run times and job sizes.
class workload {
public:
    explicit workload(const workload_options& options);

    std::vector<fake_runner> runners();
    /// A job of random size, due `deadline` after `now`.
    job_request job(const workspace_id& workspace, const service_id& service, time_point now,
                    duration deadline);
    /// Jobs per second that use the given part of the data centre's capacity.
    double rate(double load) const;
    /// Time until the next arrival at a mean rate per second.
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

/// Response time of a job on the idle runners with perfect placement: the longest tasks first, each where it
/// finishes first.
duration ideal_time(const job_request& job, const std::vector<fake_runner>& runners);

/// Services "plain" and "urgent" for the workspaces "t0" to "t3" and "flood".
configuration::bundle workload_bundle();

}  // namespace poplarshed::dispatch

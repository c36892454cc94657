#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "load/scenario.h"

namespace poplarshed::load {

/// One job of a run, drawn before the run starts, so that sending does no work that could delay it.
struct planned_job {
    microseconds at{0};      ///< intended send time from the start of the run
    std::uint32_t kind = 0;  ///< index in scenario::kinds
    std::uint32_t entry = 0;
    std::vector<std::uint32_t> run_ms;         ///< true run time of each task at speed 1
    std::optional<std::uint32_t> resubmit_to;  ///< entry that gets the job again after kind::resubmit_after

    bool operator==(const planned_job&) const = default;
};

/// Draws all jobs of a run in order of time. The same seed gives the same jobs.
/// @param entries number of entry addresses
std::vector<planned_job> make_plan(const scenario& what, std::size_t entries, std::uint64_t seed);

/// Mean work of one job, in seconds of run time at speed 1; from a sample with a fixed seed.
double mean_work_of(const kind& what);

/// Least time in milliseconds that any placement needs for tasks on idle slots: for each k, the k longest
/// tasks cannot finish before the k fastest slots have done their work.
/// @param speeds of each slot, fastest first; not empty
double ideal_ms(std::vector<std::uint32_t> run_ms, const std::vector<double>& speeds);

/// Speeds of the slots that serve a service in a data centre, fastest first. An empty data centre means all.
std::vector<double> slot_speeds(const std::vector<runner_group>& runners, const service_id& service,
                                const data_centre_id& data_centre);

/// Trace text: one JSON line for the header, then one for each job.
std::string write_trace(const scenario& what, std::uint64_t seed, const std::vector<planned_job>& jobs);

/// Reads a trace back. Kinds are matched by name. @returns an error that names the line
result<std::vector<planned_job>> read_trace(std::string_view text, const scenario& what, std::size_t entries);

}  // namespace poplarshed::load

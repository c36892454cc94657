#pragma once

#include "instance/fleet_world.h"

namespace poplarshed::instance::test {

/// @returns the number that an environment variable gives
std::uint64_t number_from(const char* variable, std::uint64_t otherwise);

/// Faults that every random schedule has; each function draws one.
milliseconds fault_length(virtual_time& time);
void disturb_links(virtual_fleet& fleet);
void disturb_processes(virtual_fleet& fleet);
void disturb_workers(virtual_fleet& fleet);

/// How a schedule has ended.
struct outcome {
    std::vector<std::string> violations;
    fleet_coverage coverage;
    int step = 0;
};

/// Runs the steps of a schedule, each followed by up to 250 ms, and then waits for the end of every job.
outcome play(virtual_fleet& fleet, const std::function<void(virtual_fleet&)>& run_step);

}  // namespace poplarshed::instance::test

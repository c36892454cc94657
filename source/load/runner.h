#pragma once

#include <functional>

#include "load/statistics.h"

namespace poplarshed::load {

/// Progress of a run, for a line on a terminal.
struct progress {
    milliseconds elapsed{0};
    std::size_t planned = 0;
    std::size_t sent = 0;
    std::size_t answered = 0;
    std::size_t complete = 0;
};

/// What a run needs besides the scenario.
struct run_options {
    std::uint64_t seed = 1;
    std::vector<entry_address> entries;
    std::function<void(const progress&)> on_progress;  ///< about five times a second
};

/// Sends the planned jobs at their times, whatever happened to earlier ones, and waits for the answers.
/// Latency counts from the intended send time. Blocks; runs on the calling thread.
/// @returns an error if an entry does not answer before the start
result<run_summary> run_load(const scenario& what, const std::vector<planned_job>& jobs,
                             const run_options& options);

}  // namespace poplarshed::load

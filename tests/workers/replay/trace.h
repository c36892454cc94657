#pragma once

#include <string>
#include <vector>

#include "workers/workers.h"

/// Traces replayed in virtual time, to compare the jobs that the pool serves with baselines and with an upper
/// bound.
namespace poplarshed::workers::replay {

/// Kind of jobs; all tasks of a job are equal.
struct job_kind {
    std::string name;
    std::uint32_t tasks = 1;
    std::int64_t cpu_milli = 0;  ///< of a task, in thousandths of a core
    milliseconds work{};         ///< duration of a task on a worker of average speed
    milliseconds objective{};    ///< response time that counts as in time
    milliseconds deadline{};     ///< response time after which the caller has left
    double per_second = 0;       ///< arrivals
    double worth = 1;            ///< value of a job that is answered in time
    std::uint32_t priority = 0;  ///< 0 is the most urgent

    /// Processor time of a job, in thousandths of a core times milliseconds.
    std::int64_t cpu_ms() const { return cpu_milli * work.count() * tasks; }
};

/// Period with a higher arrival rate of all kinds.
struct burst {
    milliseconds at{};
    milliseconds length{};
    double factor = 1;
};

/// Period in which some workers are faulty.
struct worker_fault {
    enum class kind {
        slow,    ///< durations are multiplied
        silent,  ///< commands are lost
        fails    ///< every run fails at once
    };

    kind what = kind::slow;
    milliseconds at{};
    milliseconds length{};
    std::size_t first = 0;
    std::size_t count = 0;
    double factor = 1;
};

struct trace {
    std::string name;
    milliseconds length{};
    std::size_t workers = 0;  ///< of 32 cores each
    std::vector<job_kind> kinds;
    std::vector<burst> bursts;
    std::vector<worker_fault> faults;
    double least_share = 0;  ///< minimum share of the possible worth that the pool must serve
};

struct arrival {
    milliseconds at{};
    std::size_t kind = 0;
};

/// Processor capacity of a worker, in thousandths of a core.
inline constexpr std::int64_t worker_cpu = 32'000;

/// Reads a trace (JSON with comments). @returns all errors of the file if it is invalid
result<trace> read_trace(const std::string& path);

/// Draws the arrivals of a trace in order of time; deterministic for a seed.
std::vector<arrival> draw_arrivals(const trace& day, std::uint64_t seed);

/// Factor on the duration of tasks that a worker starts at a time; 0 if it runs nothing.
double slowness_at(const trace& day, std::size_t worker, milliseconds at);

}  // namespace poplarshed::workers::replay

#pragma once

#include <string>
#include <vector>

#include "workers/workers.h"

/// Days in virtual time, to compare what the pool serves with baselines and with what is possible.
namespace poplarshed::workers::replay {

/// Jobs of one kind; all tasks of a job are alike.
struct job_kind {
    std::string name;
    std::uint32_t tasks = 1;
    std::int64_t cpu_milli = 0;  ///< of a task, in thousandths of a core
    milliseconds work{};         ///< duration of a task on a worker of usual speed
    milliseconds objective{};    ///< response time that counts as in time
    milliseconds deadline{};     ///< response time after which the caller has left
    double per_second = 0;       ///< arrivals
    double worth = 1;            ///< of a job that is answered in time
    std::uint32_t priority = 0;  ///< 0 is the most urgent

    /// Processor time of a job, in thousandths of a core times milliseconds.
    std::int64_t cpu_ms() const { return cpu_milli * work.count() * tasks; }
};

/// More arrivals of all kinds for a time.
struct burst {
    milliseconds at{};
    milliseconds length{};
    double factor = 1;
};

/// Workers that misbehave for a time.
struct worker_fault {
    enum class kind {
        slow,    ///< durations are multiplied
        silent,  ///< orders get lost
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
    double least_share = 0;  ///< of what is possible, that the pool must serve
};

struct arrival {
    milliseconds at{};
    std::size_t kind = 0;
};

/// Cores of a worker, in thousandths.
inline constexpr std::int64_t worker_cpu = 32'000;

/// Reads a trace (JSON with comments). @returns every fault of the file
result<trace> read_trace(const std::string& path);

/// Draws the arrivals of a trace in order of time. The same seed draws the same ones.
std::vector<arrival> draw_arrivals(const trace& day, std::uint64_t seed);

/// Factor on the duration of what a worker starts at a time. 0: it takes nothing.
double slowness_at(const trace& day, std::size_t worker, milliseconds at);

}  // namespace poplarshed::workers::replay

#pragma once

#include <string>
#include <vector>

#include "workers/workers.h"

/// Traces replayed in virtual time, to compare the jobs that the pool serves with baselines and with an upper
/// bound.
namespace poplarshed::workers::replay {

/// Processor capacity of a worker unless the trace gives others, in thousandths of a core.
inline constexpr std::int64_t default_worker_cpu = 32'000;

/// Kind of jobs; the tasks of a job differ in their durations only.
struct job_kind {
    std::string name;
    std::uint32_t tasks = 1;
    std::int64_t cpu_milli = 0;  ///< of a task, in thousandths of a core; the mean if needs vary
    milliseconds work{};         ///< duration of a task on a worker of average speed, without the tail
    milliseconds objective{};    ///< response time that counts as in time
    milliseconds deadline{};     ///< response time after which the caller has left
    double per_second = 0;       ///< arrivals
    double worth = 1;            ///< value of a job that is answered in time
    std::uint32_t priority = 0;  ///< 0 is the most urgent
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

/// Demand that rises and falls as a sine wave.
struct demand_wave {
    double depth = 0;  ///< share of the mean rate by which the demand rises and falls
    milliseconds period{15'000};
};

/// Runs that take much longer than the others.
struct run_tail {
    double share = 0;   ///< of the runs
    double factor = 7;  ///< on the duration of these runs
};

struct trace {
    std::string name;
    milliseconds length{};
    std::size_t workers = 0;
    std::vector<std::int64_t> worker_cpu{default_worker_cpu};  ///< repeated over the workers
    std::vector<double> worker_slowness{1};                    ///< factors on durations; repeated likewise
    std::vector<job_kind> kinds;
    double need_spread = 0;     ///< needs of jobs are uniform within this share of the mean
    double estimate_error = 0;  ///< estimates of jobs are uniform within this share of the duration
    run_tail tail;
    demand_wave wave;
    std::vector<burst> bursts;
    std::vector<worker_fault> faults;
    double least_share = 0;  ///< minimum share of the possible worth that the pool must serve
};

struct arrival {
    milliseconds at{};
    std::size_t kind = 0;
    double need_factor = 1;             ///< on the need of each task
    double estimate_factor = 1;         ///< on the estimate of each task
    std::vector<double> run_factors{};  ///< on the duration of each task; 1 for those that are missing
};

/// Processor need of each task of a job, in thousandths of a core.
std::int64_t task_cpu(const trace& day, const arrival& job);
/// Duration of each task of a job on a worker of average speed.
std::vector<milliseconds> task_work(const trace& day, const arrival& job);
/// Processor time of a job, in thousandths of a core times milliseconds.
std::int64_t cpu_ms(const trace& day, const arrival& job);
/// Processor capacity of a worker, in thousandths of a core.
std::int64_t capacity_of(const trace& day, std::size_t worker);

/// Reads a trace (JSON with comments). @returns all errors of the file if it is invalid
result<trace> read_trace(const std::string& path);

/// Draws the arrivals of a trace in order of time; deterministic for a seed.
std::vector<arrival> draw_arrivals(const trace& day, std::uint64_t seed);

/// Factor on the duration of tasks that a worker starts at a time, with its speed and its faults; 0 if it
/// runs nothing.
double slowness_at(const trace& day, std::size_t worker, milliseconds at);

}  // namespace poplarshed::workers::replay

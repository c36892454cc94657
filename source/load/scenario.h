#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/common.h"

namespace poplarshed::load {

/// An entry instance that receives jobs.
struct entry_address {
    endpoint address;
    data_centre_id data_centre;  ///< its runners give the ideal time; empty: all runners

    bool operator==(const entry_address&) const = default;
};

/// Runners of one kind, for capacity and ideal time.
struct runner_group {
    std::uint32_t count = 1;
    std::uint32_t slots = 8;
    double speed = 1.0;
    data_centre_id data_centre;         ///< empty: any
    std::vector<std::string> services;  ///< empty: all

    bool operator==(const runner_group&) const = default;
};

enum class arrival_process {
    poisson,
    bursts,  ///< groups of jobs at once, the groups being Poisson
};

/// Tasks of a job: log-uniform in [min, max], so that small jobs are frequent and the largest occur.
struct task_count {
    std::uint32_t min = 1;
    std::uint32_t max = 1;

    bool operator==(const task_count&) const = default;
};

/// True run time of a task on a runner of speed 1: lognormal within bounds, with a share of long tasks.
struct run_time {
    double median_ms = 150;
    double sigma = 0.6;
    double min_ms = 50;
    double max_ms = 1000;
    double tail_share = 0;
    double tail_min_ms = 2000;
    double tail_max_ms = 5000;

    bool operator==(const run_time&) const = default;
};

/// One kind of work: a service, a workspace and how its jobs arrive.
struct kind {
    std::string name;
    service_id service;
    workspace_id workspace;
    arrival_process process = arrival_process::poisson;
    std::uint32_t burst_jobs = 10;  ///< jobs of one burst
    double load = 0;                ///< offered work as a share of the fleet's capacity; or:
    double jobs_per_s = 0;
    milliseconds from{0};
    milliseconds until{0};  ///< 0: the end of the run
    task_count tasks;
    run_time run;
    std::optional<double> declared_factor = 1.0;  ///< declared over true run time; absent: none declared
    std::optional<milliseconds> deadline;
    double resubmit_share = 0;
    milliseconds resubmit_after{200};
    bool flood = false;       ///< not part of the other work whose goodput is compared
    bool impossible = false;  ///< its service needs more than any worker has; not part of the offered load

    bool operator==(const kind&) const = default;
};

/// Cancels a share of the jobs of a kind that are in flight.
struct cancel_wave {
    milliseconds at{0};
    std::string kind;
    double share = 1.0;

    bool operator==(const cancel_wave&) const = default;
};

/// A call to the control port of a stand-in.
struct fault {
    milliseconds at{0};
    std::string url;
    std::string body;

    bool operator==(const fault&) const = default;
};

/// Part of the run for which goodput is compared.
struct phase {
    std::string name;
    milliseconds from{0};
    milliseconds until{0};

    bool operator==(const phase&) const = default;
};

/// What one run of the load generator does.
struct scenario {
    std::string name;
    milliseconds duration{10'000};
    milliseconds warm_up{0};   ///< jobs before this time are sent and not measured
    milliseconds grace{5000};  ///< wait for answers after the last job
    bool issued_ids = true;    ///< ids from POST /v1/submission-ids; else made here
    std::vector<entry_address> entries;
    std::vector<runner_group> runners;
    std::vector<kind> kinds;
    std::vector<cancel_wave> cancel_waves;
    std::vector<fault> faults;
    std::vector<phase> phases;

    bool operator==(const scenario&) const = default;
};

/// Reads a scenario, JSON with comments. Errors name the key. Thread-safe.
result<scenario> parse_scenario(std::string_view text, std::string_view name);

/// Reads "ollur@127.0.0.1:8080" or "127.0.0.1:8080".
result<entry_address> parse_entry(const std::string& text);

/// Work that the runners do in one second, in seconds of run time at speed 1.
double capacity_of(const std::vector<runner_group>& runners);

}  // namespace poplarshed::load

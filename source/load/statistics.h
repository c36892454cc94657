#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "load/plan.h"

namespace poplarshed::load {

enum class job_end { complete, failed, refused, no_answer };

/// What became of one job.
struct job_record {
    std::uint32_t kind = 0;
    std::uint32_t tasks = 0;
    microseconds at{0};
    microseconds response{0};  ///< from the intended send time to the end of the answer
    job_end end = job_end::no_answer;
    std::string reason;  ///< of a failure, refusal or transport error
    double ideal_ms = 0;
    bool cancelled = false;  ///< by a cancel wave of the scenario; not part of the measures
    bool wrong = false;  ///< a complete answer without exactly one result for each task, or two that differ
};

/// Percentiles of one quantity.
struct percentiles {
    std::uint64_t count = 0;
    double p50 = 0;
    double p90 = 0;
    double p99 = 0;
};

/// Percentiles from a logarithmic histogram whose bins are 0.7% wide; 0 without samples.
percentiles percentiles_of(const std::vector<double>& samples);

/// Totals of one kind, or of several.
struct kind_summary {
    std::string name;
    bool flood = false;
    std::uint64_t sent = 0;
    std::uint64_t complete = 0;
    std::uint64_t on_time = 0;  ///< complete within the deadline
    std::uint64_t failed = 0;
    std::uint64_t refused = 0;
    std::uint64_t no_answer = 0;
    std::uint64_t wrong = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t tasks_sent = 0;
    std::uint64_t tasks_complete = 0;
    double on_time_tasks_per_s = 0;
    std::map<std::string, std::uint64_t> failed_by_reason;
    std::map<std::string, std::uint64_t> refused_by_reason;
    std::map<std::string, std::uint64_t> no_answer_by_reason;
    percentiles response_ms;  ///< of complete jobs
    percentiles stretch;      ///< of complete jobs
};

/// Goodput of the work that is not part of a flood during one phase, by intended send time.
struct phase_summary {
    std::string name;
    std::uint64_t tasks_sent = 0;
    std::uint64_t tasks_on_time = 0;
    double on_time_tasks_per_s = 0;
    double on_time_share = 0;
    double kept = 1;  ///< on_time_share divided by that of the first phase
};

/// Tasks of the jobs whose intended send time lies in one second of the run.
struct timeline_second {
    std::uint64_t sent = 0;
    std::uint64_t on_time = 0;
    std::uint64_t flood_sent = 0;
    std::uint64_t flood_on_time = 0;
};

/// Result of one run.
struct run_summary {
    std::string scenario;
    std::uint64_t seed = 0;
    std::vector<kind_summary> kinds;
    kind_summary other_work;  ///< every kind but floods and impossible ones
    std::vector<phase_summary> phases;
    std::vector<timeline_second> timeline;
    std::vector<double> stretch_curve;               ///< of other work: percentiles 1 to 99
    std::map<std::string, double> wasted_by_reason;  ///< messages, from the entries' metrics
    double wasted_per_task = 0;
    percentiles send_delay_ms;  ///< how late this program sent; a large value makes the run worthless
};

/// Computes the summary from the records. Jobs before the warm-up are left out.
run_summary summarize(const scenario& what, std::uint64_t seed, const std::vector<job_record>& records);

/// Difference of `poplarshed_retries_total` between two sums over the entries, by reason.
std::map<std::string, double> wasted_between(const std::map<std::string, double>& before,
                                             const std::map<std::string, double>& after);

/// Adds the values of `poplarshed_retries_total` in a metrics page, by reason.
void add_retries(std::string_view metrics_page, std::map<std::string, double>& into);

}  // namespace poplarshed::load

#pragma once

#include <string>
#include <vector>

#include "json/json.h"
#include "load/statistics.h"

namespace poplarshed::load {

/// Result of a run as JSON.
json::value to_json(const run_summary& summary);

/// A page with the tables and plots of a run, complete in itself.
std::string to_html(const run_summary& summary);

/// A short text of the three measures for a terminal.
std::string to_text(const run_summary& summary);

/// Median of the seeds for one scenario on one deployment.
struct experiment_row {
    std::string scenario;
    std::string deployment;
    std::size_t seeds = 0;
    double stretch_p50 = 0;
    double stretch_p99 = 0;
    double wasted_per_task = 0;
    double on_time_tasks_per_s = 0;
    double on_time_share = 0;  ///< of jobs
    double kept = 0;           ///< least of the phases after the first; 1 without phases
};

/// Median of each figure. @param runs not empty
experiment_row median_of(const std::string& deployment, const std::vector<run_summary>& runs);

/// Aligned table with one line for each row.
std::string to_table(const std::vector<experiment_row>& rows);

json::value to_json(const std::vector<experiment_row>& rows);

}  // namespace poplarshed::load

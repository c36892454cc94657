#pragma once

#include "replay/trace.h"

namespace poplarshed::workers::replay {

/// Which jobs were answered in time, in the order of the arrivals.
using in_time = std::vector<bool>;

/// A way to serve a day.
struct policy {
    std::string_view name;
    in_time (*serve)(const trace& day, const std::vector<arrival>& jobs);
};

/// The pool of this repository, on workers that answer its orders.
in_time serve_with_pool(const trace& day, const std::vector<arrival>& jobs);
/// First come, first served, with no refusals. Knows at once which workers are silent or fail.
in_time serve_in_order(const trace& day, const std::vector<arrival>& jobs);
/// The most urgent kind first, then in order, with no refusals.
in_time serve_by_priority(const trace& day, const std::vector<arrival>& jobs);

/// Worth of the jobs that were in time.
double worth_of(const trace& day, const std::vector<arrival>& jobs, const in_time& served);

/// No schedule is worth more: jobs may be served in part, and tasks may be split over all workers and moved
/// at any time. What is kept are the processor time of each moment, and that a job runs between its arrival
/// and its objective.
double possible_worth(const trace& day, const std::vector<arrival>& jobs);

}  // namespace poplarshed::workers::replay

#pragma once

#include "replay/trace.h"

namespace poplarshed::workers::replay {

/// Whether each job was answered in time, in order of arrival.
using in_time = std::vector<bool>;

/// A scheduling policy under comparison.
struct policy {
    std::string_view name;
    in_time (*serve)(const trace& day, const std::vector<arrival>& jobs);
};

/// Serves the trace with the pool of this library and virtual workers.
in_time serve_with_pool(const trace& day, const std::vector<arrival>& jobs);
/// First come, first served, without refusals. Detects unreachable and failing workers without delay.
in_time serve_in_order(const trace& day, const std::vector<arrival>& jobs);
/// Most urgent kind first, then in order of arrival, without refusals.
in_time serve_by_priority(const trace& day, const std::vector<arrival>& jobs);

/// Total worth of the jobs that were answered in time.
double worth_of(const trace& day, const std::vector<arrival>& jobs, const in_time& served);

/// Upper bound of the worth of any schedule. Jobs may be served in part, and tasks may be split over all
/// workers and moved at any time; the processor capacity at each time and the window from arrival to
/// objective of each job are respected.
double possible_worth(const trace& day, const std::vector<arrival>& jobs);

}  // namespace poplarshed::workers::replay

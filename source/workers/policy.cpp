#include "workers/policy.h"

#include <algorithm>
#include <cmath>

namespace poplarshed::workers {

namespace {

// Estimates of single tasks are off by 40%, so a placement adds a quarter to the expected duration.
constexpr double duration_margin = 1.25;

// Durations within this factor count as similar: observed speeds are no more precise than that.
constexpr double similar_duration_factor = 1.3;

/// Class of similar durations; longer durations have higher numbers.
int duration_class(milliseconds value)
{
    const auto ms = static_cast<double>(std::max<std::int64_t>(1, value.count()));
    return static_cast<int>(std::floor(std::log(ms) / std::log(similar_duration_factor)));
}

milliseconds with_margin(milliseconds value)
{
    return milliseconds(static_cast<std::int64_t>(static_cast<double>(value.count()) * duration_margin));
}

}  // namespace

milliseconds critical_path(const std::vector<job_step>& steps)
{
    std::vector<milliseconds> ends;
    milliseconds longest{};
    for (const job_step& step : steps) {
        milliseconds begin{};
        for (const std::uint32_t earlier : step.after) {
            begin = std::max(begin, ends.at(earlier));
        }
        ends.push_back(begin + step.estimate);
        longest = std::max(longest, ends.back());
    }
    return longest;
}

std::optional<milliseconds> expected_finish(const backlog& queue, const job_demand& demand)
{
    if (queue.capacity_cpu <= 0) {
        return std::nullopt;
    }
    const std::int64_t per_core =
        demand.cpu > 0 ? demand.cpu_ms * std::min(queue.free_cpu, demand.cpu) / demand.cpu : demand.cpu_ms;
    const std::int64_t queued = std::max<std::int64_t>(0, queue.ahead_cpu_ms + demand.cpu_ms - per_core);
    return milliseconds(queued / queue.capacity_cpu) + demand.critical_path;
}

std::optional<std::size_t> choose_worker(std::span<const placement_candidate> candidates,
                                         const placement_goal& goal)
{
    const placement_candidate* in_time = nullptr;
    const placement_candidate* fastest = nullptr;
    // Of workers of similar speed, the one with the least capacity left over: large tasks need whole workers.
    const auto better = [](const placement_candidate* best, const placement_candidate& candidate, int sign) {
        if (best == nullptr) {
            return true;
        }
        const int difference = sign * (duration_class(candidate.duration) - duration_class(best->duration));
        return difference != 0 ? difference > 0 : candidate.cpu_left < best->cpu_left;
    };
    for (const placement_candidate& candidate : candidates) {
        if (better(fastest, candidate, -1)) {
            fastest = &candidate;
        }
        if (goal.now + with_margin(candidate.duration) <= goal.objective_at &&
            better(in_time, candidate, 1)) {
            in_time = &candidate;
        }
    }
    if (goal.scarce && in_time != nullptr) {
        return in_time->index;
    }
    if (fastest == nullptr || goal.now + fastest->duration > goal.useful_until) {
        return std::nullopt;
    }
    return fastest->index;
}

}  // namespace poplarshed::workers

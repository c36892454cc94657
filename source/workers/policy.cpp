#include "workers/policy.h"

#include <algorithm>

namespace poplarshed::workers {

namespace {

// Estimates of single tasks are off by 40%; a placement counts on a quarter more.
constexpr double duration_margin = 1.25;

milliseconds with_margin(milliseconds value)
{
    return milliseconds(static_cast<std::int64_t>(static_cast<double>(value.count()) * duration_margin));
}

}  // namespace

milliseconds longest_chain(const std::vector<job_step>& steps)
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
    return milliseconds(queued / queue.capacity_cpu) + demand.chain;
}

std::optional<std::size_t> choose_worker(std::span<const placement_candidate> candidates,
                                         const placement_goal& goal)
{
    const placement_candidate* in_time = nullptr;
    const placement_candidate* fastest = nullptr;
    for (const placement_candidate& item : candidates) {
        if (fastest == nullptr || item.duration < fastest->duration ||
            (item.duration == fastest->duration && item.cpu_left < fastest->cpu_left)) {
            fastest = &item;
        }
        if (goal.now + with_margin(item.duration) > goal.objective_at) {
            continue;
        }
        const bool slower = in_time == nullptr || item.duration > in_time->duration;
        const bool tighter =
            in_time != nullptr && item.duration == in_time->duration && item.cpu_left < in_time->cpu_left;
        if (slower || tighter) {
            in_time = &item;
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

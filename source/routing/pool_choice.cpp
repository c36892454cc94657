#include "routing/pool_choice.h"

#include <algorithm>
#include <cmath>

namespace poplarshed::routing {

namespace {

/// A number between 0 and 1, uniformly distributed over jobs and pools.
double uniform_hash(const job_id& job, const pool_id& pool)
{
    constexpr std::uint64_t golden_ratio = 0x9e3779b97f4a7c15U;
    // The finalizer of SplitMix64; std::hash alone may map similar texts to similar numbers.
    std::uint64_t mixed = std::hash<job_id>{}(job) + golden_ratio * (std::hash<pool_id>{}(pool) | 1U);
    mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9U;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebU;
    mixed ^= mixed >> 31U;
    return std::ldexp(static_cast<double>(mixed >> 11U) + 0.5, -53);
}

}  // namespace

std::optional<std::size_t> choose_pool(std::span<const pool_candidate> candidates, const job_id& job)
{
    const auto cheapest =
        std::min_element(candidates.begin(), candidates.end(),
                         [](const auto& left, const auto& right) { return left.cost < right.cost; });
    std::optional<std::size_t> chosen;
    double best = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const pool_candidate& candidate = candidates[i];
        if (candidate.cost >= cheapest->cost + similar_cost) {
            continue;
        }
        // The least of exponential variables with these rates: weighted rendezvous hashing.
        const auto weight = static_cast<double>(std::max<std::int64_t>(1, candidate.free_cpu));
        const double score = -std::log(uniform_hash(job, candidate.pool)) / weight;
        if (!chosen || score < best) {
            best = score;
            chosen = i;
        }
    }
    return chosen;
}

std::optional<std::size_t> choose_ordering_pool(std::span<const pool_id> pools, const job_id& job)
{
    std::optional<std::size_t> chosen;
    std::uint64_t best = 0;
    for (std::size_t i = 0; i < pools.size(); ++i) {
        // Instances of different builds must agree, which std::hash does not promise.
        const std::uint64_t score = digest::of(job.value() + '#' + pools[i].value()).prefix();
        if (!chosen || score > best) {
            best = score;
            chosen = i;
        }
    }
    return chosen;
}

}  // namespace poplarshed::routing
